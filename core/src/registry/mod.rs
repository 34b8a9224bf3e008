//! Replicated state machine of the control replicas: configuration, ledger and engine orders.
//!
//! [`State`] changes only through [`State::apply`], which depends only on the state and the command, so
//! that replicas that applied the same log are equal. Commands carry the time. The state keeps the highest
//! time it has seen, so that time never runs backwards when the leader changes.

mod history;
mod ledgers;
mod orders;
mod outcomes;
mod published;
mod state;

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::inventory::Inventory;
use crate::ledger;
use crate::quarantine::Rule;

pub use history::{Change, Kind};
pub use ledgers::MAX_RESPONSE_BYTES;
pub use orders::{MAX_CLOCK_SKEW_MS, MAX_TRANSIT_MS};
pub use outcomes::MAX_OUTCOMES;
pub use published::Published;
pub use state::State;

/// A version of the operators' configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Increases by one with each accepted change.
    pub version: u64,
    /// Inventory and rules.
    pub inventory: Inventory,
    /// Zones that operators took out of service, sorted.
    pub zones_out: Vec<Arc<str>>,
    /// Targets that operators took out of service, sorted.
    pub targets_out: Vec<Arc<str>>,
    /// Version of the latest accepted order for each zone that was ordered out or in. The order overrides
    /// local orders that were given under earlier versions.
    pub zone_orders: Vec<(Arc<str>, u64)>,
}

/// A command for the replicated log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the inventory.
    Apply {
        /// Id of the operator's call; a resend gets the first outcome.
        id: Arc<str>,
        /// Wall-clock time at the leader.
        now_ms: u64,
        /// Hash of the document as the operator sent it; distinguishes a resend from another change with
        /// the same id.
        content_hash: u64,
        /// Version that the change is based on; the change conflicts with any other version in force.
        base: u64,
        /// New inventory.
        inventory: Inventory,
    },
    /// Takes a zone or target out of service or brings it back.
    SetOut {
        /// Identifies the operator's call.
        id: Arc<str>,
        /// Wall-clock time at the leader.
        now_ms: u64,
        /// Zone or target.
        subject: Subject,
        /// Whether the subject is out.
        out: bool,
    },
    /// Applies a ledger call.
    Ledger {
        /// Wall-clock time at the leader.
        now_ms: u64,
        /// Call to apply.
        call: ledger::Call,
    },
    /// Issues a fencing number for an order to a target.
    IssueOrder {
        /// Identifies the operator's call.
        id: Arc<str>,
        /// Wall-clock time at the leader.
        now_ms: u64,
        /// Target name.
        target: Arc<str>,
        /// Process that sends the order.
        issuer: crate::vm::Instance,
        /// Whether the order needs a weight-store permit.
        uses_weight_store: bool,
        /// Duration of the issuer's lease on the target, milliseconds.
        lease_ms: u64,
    },
    /// Publishes a configuration whose versions the operators choose; the highest takes effect.
    Publish {
        /// Version given by the operators.
        version: u64,
        /// Document, exactly as it is to be read back.
        document: Arc<[u8]>,
    },
    /// Takes a zone of the published configuration out of service or brings it back.
    Evacuate {
        /// Name of the zone.
        zone: Arc<str>,
        /// Whether the zone is out, so that its targets get no new work.
        out: bool,
    },
    /// Ends an order and releases its lease and weight-store permit.
    CompleteOrder {
        /// Call id of the order.
        id: Arc<str>,
    },
    /// Replaces the rules on prompts that crash targets.
    Quarantine {
        /// All rules in force.
        rules: Vec<Rule>,
    },
}

impl Command {
    /// Sets the time of the command, milliseconds of wall-clock time. The leader does so when it proposes
    /// the command.
    #[must_use]
    pub fn with_now_ms(mut self, at: u64) -> Self {
        match &mut self {
            Self::Apply { now_ms, .. }
            | Self::SetOut { now_ms, .. }
            | Self::Ledger { now_ms, .. }
            | Self::IssueOrder { now_ms, .. } => *now_ms = at,
            Self::Publish { .. }
            | Self::Evacuate { .. }
            | Self::CompleteOrder { .. }
            | Self::Quarantine { .. } => {}
        }
        self
    }
}

/// Subject of [`Command::SetOut`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Subject {
    /// A zone, by name.
    Zone(Arc<str>),
    /// A target, by name.
    Target(Arc<str>),
}

/// Result of a command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The change is accepted; this version contains it.
    Accepted {
        /// New configuration version.
        version: u64,
    },
    /// The base version is no longer in force.
    Conflict {
        /// Version in force.
        version: u64,
    },
    /// The change names an unknown zone, or there is no configuration yet.
    Unknown,
    /// The id was used for another change.
    Reused,
    /// The command may or may not be committed; a resend returns its outcome.
    Undecided,
    /// Answer of the ledger.
    Ledger(ledger::Answer),
    /// The order may be sent with this fencing number after a wait.
    Issued {
        /// Fencing number, higher than all earlier ones for the target.
        fencing: u64,
        /// Time to wait before sending to a target that does not check fencing numbers, milliseconds.
        wait_ms: u64,
    },
    /// Another issuer has the lease on the target, or no weight-store permit is available.
    Busy {
        /// Time after which a retry may succeed, milliseconds.
        retry_after_ms: u64,
    },
    /// The order is ended.
    Completed,
    /// The published configuration is in force under this revision.
    Published {
        /// Revision of the published configuration; increases by one with each change.
        revision: u64,
    },
    /// The rules on prompts are replaced.
    Quarantined,
}
