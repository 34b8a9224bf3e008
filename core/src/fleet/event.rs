//! Events of the serving decisions.

use std::sync::Arc;
use std::time::Duration;

use super::{Config, Entry, Id, LoadReport, PlannerMessage, Request};

/// What became of a dispatched request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer was delivered.
    Served,
    /// No connection to the target; nothing was sent.
    Unreachable,
    /// The target says that it did not run the request, since it has no room.
    Full,
    /// Another target has the address; the request did not run.
    WrongTarget,
    /// The target answered with an error of its own.
    Error,
    /// The answer is missing or broken; the request may have run. Whether events were delivered.
    Broken {
        /// Whether a part of the answer went to the caller.
        delivered: bool,
    },
    /// The caller left.
    CallerGone,
    /// The time is over.
    TimedOut,
}

/// An event.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A configuration is committed, with the zones that operators took out.
    Configured {
        /// Grows with each committed change.
        revision: u64,
        /// The configuration.
        config: Arc<Config>,
        /// Zones that get no new work.
        zones_out: Vec<Arc<str>>,
    },
    /// The configuration was the committed one.
    Confirmed {
        /// When this VM asked.
        asked: crate::time::Instant,
        /// Age of the leader's contact with a quorum when it answered.
        age: Duration,
        /// Revision at the leader.
        revision: u64,
    },
    /// A target announced itself.
    Announced(Entry),
    /// This VM stops at a time; what cannot end before is refused.
    ShuttingDown {
        /// The time.
        until: crate::time::Instant,
    },
    /// Names of the other entry VMs that are known to run.
    Peers(Vec<Arc<str>>),
    /// A peer tells of its work at targets.
    LoadReported {
        /// Name of the VM.
        peer: Arc<str>,
        /// Its work.
        report: LoadReport,
    },
    /// A peer tells of a long prompt.
    PlannerMessage {
        /// Name of the VM.
        peer: Arc<str>,
        /// What it tells.
        message: PlannerMessage,
    },
    /// A request arrived.
    Arrived(Id, Request),
    /// The first byte of a target's answer arrived.
    Started(Id),
    /// A dispatched request ended at its target.
    Ended(Id, Outcome),
}
