//! Events that the serving reducer consumes.

use std::sync::Arc;

use crate::ledger;
use crate::membership;
use crate::message::Message;
use crate::registry::Config;
use crate::request;
use crate::target::Announcement;
use crate::vm;

/// An input of the reducer.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Time has passed. Delivered at least every 20 ms.
    Tick,
    /// A target announced itself at this VM.
    Announced(Announcement),
    /// A request from a caller arrived and was authenticated and parsed.
    Arrived(Box<request::Arrival>),
    /// The caller closed the connection.
    CallerGone(request::Id),
    /// The response header of the target arrived.
    Started(request::Attempt),
    /// Generated tokens arrived and were forwarded to the caller.
    Progress {
        /// Attempt that produced the tokens.
        attempt: request::Attempt,
        /// Tokens since the last such event.
        tokens: u32,
    },
    /// An attempt ended.
    Ended {
        /// Attempt that ended.
        attempt: request::Attempt,
        /// How it ended.
        end: request::End,
    },
    /// A request that was handed over to another zone ended there.
    HandedOver {
        /// Request that was handed over.
        request: request::Id,
        /// How the request ended in the other zone.
        end: request::End,
    },
    /// The ledger answered a call.
    Ledger {
        /// Request that the call was about.
        request: request::Id,
        /// Answer of the ledger.
        answer: ledger::Answer,
    },
    /// A probe of a target on a new connection finished.
    Probed {
        /// Target name.
        target: Arc<str>,
        /// Whether the target answered.
        alive: bool,
    },
    /// The reservations for a spanning request were made or failed.
    Reserved {
        /// Attempt that needs the reservations.
        attempt: request::Attempt,
        /// Whether all parts are reserved. If not, none is.
        all: bool,
    },
    /// A message from another process arrived.
    Received {
        /// Sender, authenticated by the transport.
        from: vm::Instance,
        /// Message content.
        message: Message,
    },
    /// A configuration arrived from a control VM or a peer.
    Configured(Arc<Config>),
    /// An operator changed the availability of a zone at this VM.
    LocalOrder(membership::Override),
    /// Graceful shutdown begins.
    Drain,
}
