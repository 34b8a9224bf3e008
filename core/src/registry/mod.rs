//! The replicated state machine of control: configuration, ledger, order issuers.
//!
//! [`State`] changes only through [`State::apply`], which depends on nothing but the state and the
//! command, so that replicas that applied the same log are equal. Time comes from the commands; the
//! state keeps the highest time it has seen, so that it never goes backwards when the leader changes.

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

pub use history::{Change, Kind};
pub use ledgers::MAX_RESPONSE_BYTES;
pub use orders::{MAX_CLOCK_SKEW_MS, MAX_TRANSIT_MS};
pub use outcomes::MAX_OUTCOMES;
pub use published::Published;
pub use state::State;

/// The configuration in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Grows by one with each accepted change.
    pub version: u64,
    /// Inventory and rules.
    pub inventory: Inventory,
    /// Zones that operators took out.
    pub zones_out: Vec<Arc<str>>,
    /// Targets that operators took out.
    pub targets_out: Vec<Arc<str>>,
    /// Version of the latest accepted order for each zone that was ordered out or in. Such an order ends
    /// local orders that were given under an earlier version.
    pub zone_orders: Vec<(Arc<str>, u64)>,
}

/// A command for the replicated log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the inventory.
    Apply {
        /// Identifies the operator's call; a resend gets the first outcome.
        id: Arc<str>,
        /// Wall-clock time at the leader.
        now_ms: u64,
        /// Hash of the document as the operator sent it; tells a resend from another change that
        /// uses the same id.
        content_hash: u64,
        /// Version that the operator edited.
        base: u64,
        /// New inventory.
        inventory: Inventory,
    },
    /// Takes a zone or target out, or brings it back.
    SetOut {
        /// Identifies the operator's call.
        id: Arc<str>,
        /// Wall-clock time at the leader.
        now_ms: u64,
        /// What is taken out or brought back.
        subject: Subject,
        /// Whether it is out.
        out: bool,
    },
    /// A ledger call, with the leader's wall-clock time in milliseconds.
    Ledger {
        /// Wall-clock time at the leader.
        now_ms: u64,
        /// The call.
        call: ledger::Call,
    },
    /// Issues an order to a target.
    IssueOrder {
        /// Identifies the operator's call.
        id: Arc<str>,
        /// Wall-clock time at the leader.
        now_ms: u64,
        /// Target name.
        target: Arc<str>,
        /// Process that will send the order.
        issuer: crate::vm::Instance,
        /// Whether the order draws on the weight store.
        uses_weight_store: bool,
        /// Lease of the issuer, milliseconds.
        lease_ms: u64,
    },
    /// Publishes a configuration whose versions the operators choose; the highest one counts.
    Publish {
        /// Version that the operators gave.
        version: u64,
        /// The document, as it is to be read back.
        document: Arc<[u8]>,
    },
    /// Takes a zone of the published configuration out, or brings it back.
    Evacuate {
        /// The zone.
        zone: Arc<str>,
        /// Whether its targets get no new work.
        out: bool,
    },
    /// Ends an order and gives its weight-store permit back.
    CompleteOrder {
        /// Call id of the order.
        id: Arc<str>,
    },
}

impl Command {
    /// Sets the time of the command. The leader does so when it takes the command into its log.
    #[must_use]
    pub fn with_now_ms(mut self, at: u64) -> Self {
        match &mut self {
            Self::Apply { now_ms, .. }
            | Self::SetOut { now_ms, .. }
            | Self::Ledger { now_ms, .. }
            | Self::IssueOrder { now_ms, .. } => *now_ms = at,
            Self::Publish { .. } | Self::Evacuate { .. } | Self::CompleteOrder { .. } => {}
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
    /// The change is accepted under this version.
    Accepted {
        /// New configuration version.
        version: u64,
    },
    /// Another change came first.
    Conflict {
        /// Version in force.
        version: u64,
    },
    /// The change names an unknown zone.
    Unknown,
    /// The id was used for another change.
    Reused,
    /// The command may have been taken into the log; a resend gives its outcome.
    Undecided,
    /// Answer of the ledger.
    Ledger(ledger::Answer),
    /// The order may be sent with this fencing number after the wait.
    Issued {
        /// Fencing number, higher than all earlier ones of the target.
        fencing: u64,
        /// Time to wait before sending to a target that does not check fencing, milliseconds.
        wait_ms: u64,
    },
    /// Another issuer holds the target, or no weight-store permit is free.
    Busy {
        /// Time after which a new try may succeed, milliseconds.
        retry_after_ms: u64,
    },
    /// The order is complete.
    Completed,
    /// The published configuration or its zones are in force under this revision.
    Published {
        /// Grows with each change.
        revision: u64,
    },
}
