//! Availability zones.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Name of an availability zone.
pub type Name = Arc<str>;

/// Dense id of an availability zone within one configuration version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u16);

/// Free capacity of one zone, published by its coordinator to the other zones.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Zone that the summary describes.
    pub zone: Name,
    /// Grows with each summary of one coordinator epoch.
    pub sequence: u64,
    /// Epoch of the coordinator's zone lease.
    pub epoch: u64,
    /// Capacity for each service with at least one target.
    pub services: Vec<Capacity>,
    /// Caller addresses of entry VMs that accept requests handed over.
    pub entries: Vec<std::net::SocketAddr>,
}

/// Capacity of one service in one zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Capacity {
    /// Name of the service.
    pub service: Arc<str>,
    /// Warm targets that accept new work.
    pub warm_targets: u32,
    /// Prefill rate of these targets together, tokens per second.
    pub prefill_tokens_per_s: f64,
    /// Prefill tokens that wait in the zone.
    pub backlog_tokens: u64,
    /// KV memory of the largest target, tokens.
    pub largest_kv_tokens: u64,
    /// KV memory of all targets that take parts of spanning requests, tokens.
    pub spanning_kv_tokens: u64,
}
