//! Availability zones.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Name of an availability zone.
pub type Name = Arc<str>;

/// Dense id of an availability zone within one configuration version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u16);

/// Capacity of a zone, published by its coordinator to the other zones.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Described zone.
    pub zone: Name,
    /// Increases with each summary within one epoch.
    pub sequence: u64,
    /// Epoch of the coordinator's zone lease.
    pub epoch: u64,
    /// Capacity of each service with at least one target.
    pub services: Vec<Capacity>,
    /// Caller addresses of entry VMs that accept requests handed over from other zones.
    pub entries: Vec<std::net::SocketAddr>,
}

/// Capacity of one service in one zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Capacity {
    /// Name of the service.
    pub service: Arc<str>,
    /// Warm targets that accept new work.
    pub warm_targets: u32,
    /// Total prefill rate of the warm targets, tokens per second.
    pub prefill_tokens_per_s: f64,
    /// Prompt tokens in the zone that wait for prefill.
    pub backlog_tokens: u64,
    /// KV memory of the largest target, tokens.
    pub largest_kv_tokens: u64,
    /// Total KV memory of the targets that accept parts of spanning requests, tokens.
    pub spanning_kv_tokens: u64,
}
