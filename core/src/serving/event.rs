//! Events that the serving reducer consumes.

use std::sync::Arc;

use crate::ledger;
use crate::membership;
use crate::message::Message;
use crate::registry::Config;
use crate::request;
use crate::target::Announcement;
use crate::vm;

/// An event at an entry VM.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Time passed; delivered at least every 20 ms.
    Tick,
    /// A target announced itself here.
    Announced(Announcement),
    /// A caller's request arrived, authenticated and parsed.
    Arrived(Box<request::Arrival>),
    /// The caller closed the connection.
    CallerGone(request::Id),
    /// The target's response header arrived.
    Started(request::Attempt),
    /// Generated tokens arrived and were passed on to the caller.
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
    /// A handed-over request got its whole answer from the other zone, or failed there.
    HandedOver {
        /// Request that was handed over.
        request: request::Id,
        /// How the hand-over ended.
        end: request::End,
    },
    /// The ledger answered.
    Ledger {
        /// Request that the call was about.
        request: request::Id,
        /// The answer.
        answer: ledger::Answer,
    },
    /// A target was probed on a new connection.
    Probed {
        /// Target name.
        target: Arc<str>,
        /// Whether it answered.
        alive: bool,
    },
    /// Parts of a spanning request were reserved on the engines, or not.
    Reserved {
        /// Attempt that needs the parts.
        attempt: request::Attempt,
        /// Whether all parts are reserved; if not, none is.
        all: bool,
    },
    /// A message from another process.
    Received {
        /// Sender, authenticated by the transport.
        from: vm::Instance,
        /// The message.
        message: Message,
    },
    /// A configuration arrived from control or a peer.
    Configured(Arc<Config>),
    /// An operator gave a zone order at this VM.
    LocalOrder(membership::Override),
    /// A graceful shutdown begins.
    Drain,
}
