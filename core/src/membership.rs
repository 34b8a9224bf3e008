//! Membership of a zone: heartbeats and the zone lease.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::vm;

/// Liveness, load and usage of an entry VM, sent to the members of its zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Zone of the sender.
    pub zone: Arc<str>,
    /// Addresses of the sender.
    pub address: vm::Address,
    /// Grows with each heartbeat of one incarnation.
    pub sequence: u64,
    /// Configuration version in force at the sender.
    pub config: u64,
    /// Whether the sender shuts down and takes no new requests.
    pub draining: bool,
    /// Members known to the sender, so that a new member finds all from one seed; sent after a change
    /// and at intervals, otherwise empty.
    pub members: Vec<(vm::Instance, vm::Address)>,
    /// Prompt tokens that the sender dispatched, for each target, since the load report it knows.
    pub dispatched: Vec<Dispatched>,
    /// Usage by organisation of requests that the sender runs.
    pub usage: Vec<Usage>,
    /// Zone orders given locally while control was unreachable.
    pub local_out: Vec<Override>,
    /// Epoch of the zone lease, if the sender holds it.
    pub epoch: Option<u64>,
    /// Digest of the cold states of targets at the sender; views that differ are exchanged.
    pub cold_states_digest: u64,
}

/// Work that one entry VM dispatched to one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatched {
    /// Target name.
    pub target: Arc<str>,
    /// Running attempts of the sender.
    pub running: u32,
    /// Prompt tokens dispatched after the report with this sequence number.
    pub since_seq: u64,
    /// Prompt tokens dispatched since that report and not yet prefilled.
    pub tokens: u64,
    /// Running attempts of the classes `long` and `huge`.
    pub long: u32,
    /// Prompt tokens of running attempts before their first token, by class.
    pub unprefilled: [u64; 4],
    /// KV memory that running attempts need up to their end, tokens.
    pub kv_tokens: u64,
}

/// Usage of one organisation at one entry VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Organisation name.
    pub organisation: Arc<str>,
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Cost consumed, decayed, in prefill-token equivalents.
    pub cost: f64,
}

/// A zone order given at an entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Override {
    /// Zone that the order is about.
    pub zone: Arc<str>,
    /// Whether the zone is out.
    pub out: bool,
    /// Grows with each local order of the zone; the higher wins.
    pub sequence: u64,
    /// Configuration version that was in force when the order was given.
    pub config: u64,
}

/// Messages of the zone lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Vote {
    /// Asks for the zone lease, or renews it.
    Ask {
        /// Epoch asked for.
        epoch: u64,
        /// Duration of the lease, milliseconds, counted from the ask at the asker and from receipt at
        /// the voter, so that the asker's lease ends first.
        lease_ms: u64,
        /// Identifies the round, so that late votes are not counted for a later round.
        round: u64,
    },
    /// Grants the lease.
    Grant {
        /// Epoch granted.
        epoch: u64,
        /// Round answered.
        round: u64,
    },
    /// Refuses the lease.
    Deny {
        /// Highest epoch that the voter has seen.
        epoch: u64,
        /// Round answered.
        round: u64,
    },
}
