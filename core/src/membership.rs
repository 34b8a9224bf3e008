//! Messages for membership of a zone: heartbeats and votes on the zone lease.

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
    /// Increases with each heartbeat of one incarnation.
    pub sequence: u64,
    /// Configuration version in force at the sender.
    pub config: u64,
    /// Whether the sender is shutting down and accepts no new requests.
    pub draining: bool,
    /// Members known to the sender, so that a new member learns of all members from one seed. Sent after a
    /// change and at intervals, otherwise empty.
    pub members: Vec<(vm::Instance, vm::Address)>,
    /// Work that the sender dispatched to each target since the target's latest load report known to it.
    pub dispatched: Vec<Dispatched>,
    /// Usage by organisation of the requests that the sender handles.
    pub usage: Vec<Usage>,
    /// Local orders, which operators gave at entry VMs while control was unreachable.
    pub local_out: Vec<Override>,
    /// Epoch of the zone lease, if the sender holds it.
    pub epoch: Option<u64>,
    /// Digest of the sender's cold states of targets; members whose digests differ exchange the states.
    pub cold_states_digest: u64,
}

/// Work that an entry VM dispatched to a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatched {
    /// Target name.
    pub target: Arc<str>,
    /// Running attempts of the sender.
    pub running: u32,
    /// Sequence number of the target's load report to which `tokens` refers.
    pub since_seq: u64,
    /// Prompt tokens dispatched since that load report and not yet prefilled.
    pub tokens: u64,
    /// Running attempts of the classes `long` and `huge`.
    pub long: u32,
    /// Prompt tokens of running attempts before their first token, by class.
    pub unprefilled: [u64; 4],
    /// KV memory that running attempts will need by their end, tokens.
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
    /// Consumed cost, decayed over time, in prefill-token equivalents.
    pub cost: f64,
}

/// A local order: an order for a zone given at an entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Override {
    /// Zone that the order applies to.
    pub zone: Arc<str>,
    /// Whether the zone is taken out of service.
    pub out: bool,
    /// Increases with each local order for the zone; the highest takes effect.
    pub sequence: u64,
    /// Configuration version that was in force when the order was given.
    pub config: u64,
}

/// Messages of the zone lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Vote {
    /// Requests or renews the zone lease.
    Request {
        /// Requested epoch.
        epoch: u64,
        /// Duration of the lease, milliseconds. The requester counts it from sending and the voter from
        /// receipt, so that the requester's lease ends first.
        lease_ms: u64,
        /// Identifies the round, so that late votes are not counted in a later round.
        round: u64,
    },
    /// Grants the lease.
    Grant {
        /// Granted epoch.
        epoch: u64,
        /// Round answered.
        round: u64,
    },
    /// Refuses the lease.
    Deny {
        /// Highest epoch known to the voter.
        epoch: u64,
        /// Round answered.
        round: u64,
    },
}
