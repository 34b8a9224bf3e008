//! Events that the reducer processes.

use std::sync::Arc;
use std::time::Duration;

use crate::quarantine::{Part, Rule};

use super::{
    Config, Entry, Id, LoadReport, Notice, OrderReport, Pace, Peer, PlannerMessage, Request,
    RetainedStatement,
};

/// How an attempt at a target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer was delivered.
    Served,
    /// The complete answer was delivered. It had no length and ended with its connection, so its end does not
    /// show that the target still runs.
    ServedUnframed,
    /// No connection to the target; nothing was sent.
    Unreachable,
    /// The target reported that it had no room and did not run the request.
    Full,
    /// Another target has the address; the request did not run.
    WrongTarget,
    /// The target answered with an error of its own.
    Error,
    /// The answer is missing or incomplete; the request may have run.
    Broken {
        /// Whether a part of the answer was delivered to the caller.
        delivered: bool,
        /// Whether the target closed or reset the connection.
        closed: bool,
    },
    /// This VM lost its path to the target, which may go on; the request may have run.
    Disconnected {
        /// Whether a part of the answer was delivered to the caller.
        delivered: bool,
    },
    /// The caller closed the connection.
    CallerGone,
    /// The deadline passed.
    TimedOut,
}

/// An input of the reducer.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A configuration was committed, with the zones that operators took out.
    Configured {
        /// Increases with each committed change.
        revision: u64,
        /// The configuration.
        config: Arc<Config>,
        /// Zones whose targets get no new work.
        zones_out: Vec<Arc<str>>,
    },
    /// The leader confirmed a revision as the committed one.
    Confirmed {
        /// When this VM sent its request to the leader.
        requested_at: crate::time::Instant,
        /// Age of the leader's last contact with a quorum when it answered.
        age: Duration,
        /// Committed revision at the leader.
        revision: u64,
    },
    /// A target announced itself.
    Announced(Entry),
    /// This VM shuts down; requests that cannot end before are refused.
    ShuttingDown {
        /// When the VM stops.
        until: crate::time::Instant,
    },
    /// Names of the other entry VMs that are known to run.
    Peers(Vec<Peer>),
    /// A peer reported its load at the targets.
    LoadReported {
        /// Name of the peer.
        peer: Arc<str>,
        /// The load report.
        report: LoadReport,
    },
    /// A peer told what it measured of deviating targets.
    PacesReported {
        /// Name of the peer.
        peer: Arc<str>,
        /// Its measurements.
        paces: Vec<Pace>,
    },
    /// A peer sent a message about a long prompt.
    PlannerMessage {
        /// Name of the peer.
        peer: Arc<str>,
        /// The message.
        message: PlannerMessage,
    },
    /// A peer told which targets were last seen with shared prefixes.
    RetainedReported(Vec<RetainedStatement>),
    /// A peer reported the waiting order of services with priorities.
    OrderReported {
        /// Name of the peer.
        peer: Arc<str>,
        /// The report.
        report: OrderReport,
    },
    /// Rules on prompts that crash targets are in force; they replace the earlier ones.
    Quarantined(Vec<Rule>),
    /// A control VM asks for answers to prompts with these parts.
    Suspected(Vec<Part>),
    /// A request arrived.
    Arrived(Id, Request),
    /// The first byte of a target's answer arrived.
    Started(Id),
    /// Further events of an answer arrived after this VM waited this time for the target. Only the first ones of each
    /// answer are used.
    Continued(Id, Duration),
    /// The answer of a target named a limit on its requests a second, or, if the target had named one, none.
    LimitNamed(Id, Option<f64>),
    /// The answer of a target says something about new work.
    Noticed(Id, Notice),
    /// An attempt ended at its target.
    Ended(Id, Outcome),
}
