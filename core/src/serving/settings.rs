//! Settings of the serving reducer.

use std::net::SocketAddr;

use crate::vm;
use crate::zone;

/// How requests are placed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// Placement by prompt length and predicted time to first token; the product.
    #[default]
    Length,
    /// Rotation over the targets; a baseline for measurements.
    RoundRobin,
    /// The target with the fewest running requests; a baseline for measurements.
    LeastLoad,
}

/// What an entry VM knows at its start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This process.
    pub vm: vm::Instance,
    /// Where this process is reached.
    pub address: vm::Address,
    /// Zone of this VM.
    pub zone: zone::Name,
    /// QUIC addresses of entry VMs of the same zone, through which the others are found.
    pub seeds: Vec<SocketAddr>,
    /// QUIC addresses of entry VMs of other zones, which receive this zone's summaries.
    pub other_zones: Vec<SocketAddr>,
    /// QUIC addresses of control VMs, asked for the configuration.
    pub control: Vec<SocketAddr>,
    /// Placement policy.
    pub policy: Policy,
}
