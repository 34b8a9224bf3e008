//! Effects that the serving reducer asks for.

use std::net::SocketAddr;
use std::sync::Arc;

use smallvec::SmallVec;

use crate::ledger;
use crate::message::Message;
use crate::registry::Config;
use crate::request;
use crate::vm;

/// An effect to carry out. Effects are carried out in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send an attempt to a target.
    Dispatch(Dispatch),
    /// Close the stream to the target and drop what still arrives of the attempt.
    Abort(request::Attempt),
    /// Tell the engine to release what it holds for an attempt; repeated until acknowledged.
    Cancel {
        /// Address of the engine.
        address: SocketAddr,
        /// Attempt to release.
        attempt: request::Attempt,
    },
    /// Reserve the parts of a spanning request in order, all or none, and report `Reserved`.
    Reserve {
        /// Attempt that needs the parts.
        attempt: request::Attempt,
        /// Engine addresses and tokens.
        parts: Vec<(SocketAddr, u64)>,
        /// Lease of the reservations, milliseconds.
        lease_ms: u64,
    },
    /// Release the parts of a spanning request.
    ReleaseReservations {
        /// Attempt that held the parts.
        attempt: request::Attempt,
        /// Engine addresses.
        parts: Vec<SocketAddr>,
    },
    /// End a request without a whole answer. A started stream ends with the outcome event.
    Respond(Refusal),
    /// Answer a resend from the ledger's record.
    Replay {
        /// Request to answer.
        request: request::Id,
        /// Recorded outcome.
        outcome: request::Outcome,
        /// Recorded response.
        response: ledger::Response,
    },
    /// The whole answer was delivered; finish the response with outcome `answered`.
    Complete(request::Id),
    /// Hand a request to an entry VM of another zone.
    HandOver {
        /// Request to hand over.
        request: request::Id,
        /// Caller address of the other entry VM.
        address: SocketAddr,
    },
    /// Call the ledger and report `Event::Ledger`.
    ///
    /// The reducer never sees bodies: the process that carries out the effect sets
    /// `Call::Begin::content_hash`, and `Call::Finish::response` for an answer that is small enough.
    Ledger {
        /// Request that the call is about.
        request: request::Id,
        /// The call.
        call: ledger::Call,
    },
    /// Probe a target on a new connection and report `Event::Probed`.
    Probe {
        /// Target name.
        target: Arc<str>,
        /// Address to probe.
        address: SocketAddr,
    },
    /// List what an engine holds and cancel what belongs to an owner that is not in `live`.
    Reconcile {
        /// Target name.
        target: Arc<str>,
        /// Address of the engine.
        address: SocketAddr,
        /// Entry processes whose attempts, reservations and pins are kept.
        live: Vec<vm::Instance>,
    },
    /// Send a message to another entry VM.
    Send {
        /// QUIC address of the receiver.
        to: SocketAddr,
        /// Receiver, if known.
        receiver: Option<vm::Instance>,
        /// The message.
        message: Message,
    },
    /// A higher configuration version is in force.
    InForce(Arc<Config>),
    /// Readiness for the balancer changed.
    Ready(bool),
    /// A state changed that operators should see in the log.
    Notice(Notice),
}

/// An attempt to send.
#[derive(Debug, Clone, PartialEq)]
pub struct Dispatch {
    /// Attempt to send.
    pub attempt: request::Attempt,
    /// Target name.
    pub target: Arc<str>,
    /// Target address.
    pub address: SocketAddr,
    /// Engine priority, 0 highest to 7.
    pub priority: u8,
    /// Lease of what the engine holds for the attempt, milliseconds.
    pub lease_ms: u64,
    /// Whether to open a new connection instead of using an idle one.
    pub fresh_connection: bool,
    /// Attempt and index from which to resume a stream at the same engine.
    pub resume: Option<(request::Attempt, u32)>,
    /// Parts of a spanning request: engine addresses and tokens.
    pub parts: SmallVec<[(SocketAddr, u64); 4]>,
}

/// End of a request without a whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Request that ends.
    pub request: request::Id,
    /// What the caller may conclude.
    pub outcome: request::Outcome,
    /// Why.
    pub reason: request::Reason,
    /// Time after which a new try may succeed, milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// A change of state for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    /// A target appeared.
    TargetJoined(Arc<str>),
    /// A target's lease expired.
    TargetLost(Arc<str>),
    /// A target turned cold.
    TargetCold(Arc<str>),
    /// A target became warm.
    TargetWarm(Arc<str>),
    /// Two targets announce one name.
    TargetConflict(Arc<str>),
    /// A member joined the zone.
    MemberJoined(Arc<str>),
    /// A member is gone.
    MemberLost(Arc<str>),
    /// This VM holds the zone lease.
    CoordinatorGained(u64),
    /// This VM lost the zone lease.
    CoordinatorLost(u64),
}
