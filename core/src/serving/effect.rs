//! Effects that the serving reducer requests.

use std::net::SocketAddr;
use std::sync::Arc;

use smallvec::SmallVec;

use crate::ledger;
use crate::message::Message;
use crate::registry::Config;
use crate::request;
use crate::vm;

/// An action for the process to carry out, in the order of emission.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send an attempt to a target.
    Dispatch(Dispatch),
    /// Close the stream to the target and discard data of the attempt that still arrives.
    Abort(request::Attempt),
    /// Tell the engine to release the resources of an attempt. Repeated until acknowledged.
    Cancel {
        /// Address of the engine.
        address: SocketAddr,
        /// Attempt to release.
        attempt: request::Attempt,
    },
    /// Reserve the parts of a spanning request in the given order, all or none, and report
    /// `Reserved`.
    Reserve {
        /// Attempt that needs the parts.
        attempt: request::Attempt,
        /// Engine addresses and tokens.
        parts: Vec<(SocketAddr, u64)>,
        /// Lease of the reservations, milliseconds.
        lease_ms: u64,
    },
    /// Release the reservations of a spanning request.
    ReleaseReservations {
        /// Attempt that held the parts.
        attempt: request::Attempt,
        /// Engine addresses.
        parts: Vec<SocketAddr>,
    },
    /// End a request without a complete answer. A stream that has started ends with the outcome
    /// event.
    Respond(Refusal),
    /// Answer a repeated request from the ledger's record.
    Replay {
        /// Request to answer.
        request: request::Id,
        /// Recorded outcome.
        outcome: request::Outcome,
        /// Recorded response.
        response: ledger::Response,
    },
    /// The complete answer was delivered. Finish the response with outcome `answered`.
    Complete(request::Id),
    /// Hand a request over to an entry VM of another zone.
    HandOver {
        /// Request to hand over.
        request: request::Id,
        /// Caller address of the other entry VM.
        address: SocketAddr,
    },
    /// Call the ledger and report `Event::Ledger`.
    ///
    /// The reducer does not see bodies. The process that carries out the effect sets
    /// `Call::Begin::content_hash`, and `Call::Finish::response` if the answer is small enough.
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
    /// Request the list of what an engine holds, and cancel everything whose owner is not in
    /// `live`.
    Reconcile {
        /// Target name.
        target: Arc<str>,
        /// Address of the engine.
        address: SocketAddr,
        /// Entry processes whose attempts, reservations and pins must be kept.
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
    /// A newer configuration version came into force.
    InForce(Arc<Config>),
    /// Readiness for the load balancer changed.
    Ready(bool),
    /// A change of state to be logged for operators.
    Notice(Notice),
}

/// A dispatch of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Dispatch {
    /// Attempt to send.
    pub attempt: request::Attempt,
    /// Target name.
    pub target: Arc<str>,
    /// Target address.
    pub address: SocketAddr,
    /// Engine priority from 0, the highest, to 7.
    pub priority: u8,
    /// Lease of the resources that the engine holds for the attempt, milliseconds.
    pub lease_ms: u64,
    /// Whether to open a new connection instead of reusing an idle one.
    pub fresh_connection: bool,
    /// Attempt and token index from which to resume a stream on the same engine.
    pub resume: Option<(request::Attempt, u32)>,
    /// Parts of a spanning request: engine addresses and tokens.
    pub parts: SmallVec<[(SocketAddr, u64); 4]>,
}

/// Outcome of a request without a complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Request that ends.
    pub request: request::Id,
    /// Outcome reported to the caller.
    pub outcome: request::Outcome,
    /// Reason reported to the caller.
    pub reason: request::Reason,
    /// Time after which a retry may succeed, milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// A change of state for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    /// A new target was announced.
    TargetJoined(Arc<str>),
    /// A target's lease expired.
    TargetLost(Arc<str>),
    /// A target became cold.
    TargetCold(Arc<str>),
    /// A target became warm.
    TargetWarm(Arc<str>),
    /// A second address announces the name of a target.
    TargetConflict(Arc<str>),
    /// A member joined the zone.
    MemberJoined(Arc<str>),
    /// A member stopped sending heartbeats or restarted.
    MemberLost(Arc<str>),
    /// This VM acquired the zone lease with this epoch.
    CoordinatorGained(u64),
    /// This VM lost the zone lease with this epoch.
    CoordinatorLost(u64),
    /// The rules on requests that crash targets changed; carries their number.
    QuarantineRules(usize),
}
