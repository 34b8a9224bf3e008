//! Messages between processes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::consensus;
use crate::ledger;
use crate::membership;
use crate::registry;
use crate::request;
use crate::target;
use crate::zone;

/// Body of a frame between two processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Liveness, load and usage of an entry VM.
    Heartbeat(membership::Heartbeat),
    /// Announcements that the receiver may lack.
    Targets(Vec<target::Announcement>),
    /// Zone lease: request, vote.
    Vote(membership::Vote),
    /// Cold credits.
    Credit(Credit),
    /// Reservations for requests that span several targets.
    Span(Span),
    /// Cold states of targets, sent to a member whose view differs.
    ColdStates(Vec<target::ColdState>),
    /// Capacity of a zone.
    Summary(zone::Summary),
    /// The sender holds this configuration version and asks for a higher one.
    ConfigPull {
        /// Version that the sender holds; zero if none.
        have: u64,
    },
    /// A configuration in force.
    ConfigPush(Arc<registry::Config>),
    /// Ledger call, answered with [`Message::LedgerAnswer`] on the same stream.
    Ledger(ledger::Call),
    /// Answer to a ledger call.
    LedgerAnswer(ledger::Answer),
    /// Between control replicas.
    Consensus(consensus::Message),
    /// A command for the control leader, answered with [`Message::Proposed`].
    Propose(registry::Command),
    /// Answer to [`Message::Propose`]; none if it could not be committed.
    Proposed(Option<registry::Outcome>),
}

/// Cold credits between a member and its zone's coordinator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Credit {
    /// Asks for one credit.
    Ask {
        /// Attempt that needs the credit.
        attempt: request::Attempt,
        /// Target name.
        target: Arc<str>,
        /// Target incarnation.
        incarnation: u64,
        /// Prompt tokens of the attempt.
        tokens: u64,
    },
    /// Grants a credit for one attempt.
    Grant {
        /// Attempt that may be dispatched.
        attempt: request::Attempt,
        /// Target name.
        target: Arc<str>,
        /// Target incarnation.
        incarnation: u64,
        /// Epoch of the coordinator's zone lease.
        epoch: u64,
        /// Time from the ask within which the attempt must be dispatched, milliseconds.
        dispatch_within_ms: u64,
    },
    /// Refuses a credit.
    Deny {
        /// Attempt that must not be dispatched.
        attempt: request::Attempt,
        /// Target name.
        target: Arc<str>,
    },
    /// Gives a credit back after the attempt ended or was not dispatched.
    Return {
        /// Attempt that held the credit.
        attempt: request::Attempt,
        /// Target name.
        target: Arc<str>,
        /// Target incarnation.
        incarnation: u64,
        /// Whether the target answered within the predicted time.
        healthy: bool,
    },
    /// All credits that a member holds, sent to a new coordinator.
    Holdings {
        /// Epoch of the new coordinator.
        epoch: u64,
        /// Attempts with target name, target incarnation and prompt tokens.
        held: Vec<(request::Attempt, Arc<str>, u64, u64)>,
    },
}

/// Reservations for spanning requests between a member and its zone's coordinator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Span {
    /// Asks to reserve memory over several targets.
    Ask {
        /// Attempt that needs the memory.
        attempt: request::Attempt,
        /// Service name.
        service: Arc<str>,
        /// Tokens to hold.
        tokens: u64,
    },
    /// All parts are allotted.
    Grant {
        /// Attempt that may reserve and dispatch.
        attempt: request::Attempt,
        /// Epoch of the coordinator's zone lease.
        epoch: u64,
        /// Target names and tokens, in ascending name order; the first is the head.
        parts: Vec<(Arc<str>, u64)>,
    },
    /// Not now.
    Deny {
        /// Attempt that must not be dispatched.
        attempt: request::Attempt,
        /// Whether the zone could hold the request when idle.
        possible: bool,
    },
    /// The attempt no longer needs its parts.
    Return {
        /// Attempt that held the parts.
        attempt: request::Attempt,
    },
}
