//! Settings of the serving reducer.

use std::net::SocketAddr;

use crate::vm;
use crate::zone;

/// Placement policy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// By prompt length and predicted time to first token. Used in production.
    #[default]
    Length,
    /// Round robin over the targets. A baseline for benchmarks.
    RoundRobin,
    /// The target with the fewest running requests. A baseline for benchmarks.
    LeastLoad,
}

/// Settings that are fixed for the lifetime of the process.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This process.
    pub vm: vm::Instance,
    /// Addresses of this process.
    pub address: vm::Address,
    /// Zone of this VM.
    pub zone: zone::Name,
    /// QUIC addresses of entry VMs of the same zone, used to discover the other members.
    pub seeds: Vec<SocketAddr>,
    /// QUIC addresses of entry VMs in other zones, to which capacity summaries are sent.
    pub other_zones: Vec<SocketAddr>,
    /// QUIC addresses of control VMs, from which configurations are pulled.
    pub control: Vec<SocketAddr>,
    /// Placement policy.
    pub policy: Policy,
}
