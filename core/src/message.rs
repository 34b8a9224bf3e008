//! Messages between processes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::consensus;
use crate::ledger;
use crate::membership;
use crate::registry;
use crate::request;
use crate::serving;
use crate::target;
use crate::zone;

/// Body of a frame between two processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Liveness, load and usage of an entry VM.
    Heartbeat(membership::Heartbeat),
    /// Announcements of targets that the receiver may not have.
    Targets(Vec<target::Announcement>),
    /// Requests and votes for the zone lease.
    Vote(membership::Vote),
    /// Credits for attempts on cold targets.
    Credit(Credit),
    /// Reservations for requests that span several targets.
    Span(Span),
    /// Cold states of targets, sent to a member whose digest differs.
    ColdStates(Vec<target::ColdState>),
    /// Capacity of a zone.
    Summary(zone::Summary),
    /// Requests a configuration with a higher version than the sender's.
    ConfigPull {
        /// Version in force at the sender; zero if none.
        have: u64,
    },
    /// A configuration in force.
    ConfigPush(Arc<registry::Config>),
    /// Ledger call, answered with [`Message::LedgerAnswer`] on the same stream.
    Ledger(ledger::Call),
    /// Answer to a ledger call.
    LedgerAnswer(ledger::Answer),
    /// Message of the replicated log between control replicas.
    Consensus(consensus::Message),
    /// A command for the control leader, answered with [`Message::Proposed`].
    Propose(registry::Command),
    /// Answer to [`Message::Propose`]; none if the command could not be committed.
    Proposed(Option<registry::Outcome>),
    /// Report on requests that crash targets, between the entry VMs of a zone.
    Quarantine(serving::Report),
}

/// Messages between a member and its zone's coordinator about credits for attempts on cold targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Credit {
    /// Requests one credit.
    Request {
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
        /// Time from the request within which the attempt must be dispatched, milliseconds.
        dispatch_within_ms: u64,
    },
    /// Refuses a credit.
    Deny {
        /// Attempt that must not be dispatched.
        attempt: request::Attempt,
        /// Target name.
        target: Arc<str>,
    },
    /// Returns a credit after the attempt ended or was not dispatched.
    Return {
        /// Attempt that the credit was granted for.
        attempt: request::Attempt,
        /// Target name.
        target: Arc<str>,
        /// Target incarnation.
        incarnation: u64,
        /// Whether the target answered within the predicted time.
        healthy: bool,
    },
    /// Reports all credits that a member holds to a new coordinator.
    Holdings {
        /// Epoch of the new coordinator.
        epoch: u64,
        /// Attempt, target name, target incarnation and prompt tokens of each credit.
        held: Vec<(request::Attempt, Arc<str>, u64, u64)>,
    },
}

/// Messages between a member and its zone's coordinator about requests that span several targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Span {
    /// Requests KV memory on several targets.
    Request {
        /// Attempt that needs the memory.
        attempt: request::Attempt,
        /// Service name.
        service: Arc<str>,
        /// KV memory, tokens.
        tokens: u64,
    },
    /// Allots all parts of the memory.
    Grant {
        /// Attempt that may make its reservations and be dispatched.
        attempt: request::Attempt,
        /// Epoch of the coordinator's zone lease.
        epoch: u64,
        /// Target names and tokens, in ascending order of names; the attempt is dispatched to the
        /// first, the head.
        parts: Vec<(Arc<str>, u64)>,
    },
    /// Refuses the memory for now.
    Deny {
        /// Attempt that must not be dispatched.
        attempt: request::Attempt,
        /// Whether an idle zone could hold the request.
        possible: bool,
    },
    /// Returns parts that the attempt no longer needs.
    Return {
        /// Attempt that held the parts.
        attempt: request::Attempt,
    },
}
