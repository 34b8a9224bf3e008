//! VMs that run processes of primrosepin.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Name of a VM, unique in the deployment.
pub type Name = Arc<str>;

/// Grows with each start of the process on a VM; the higher incarnation of one name wins.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// One running process: its VM's name and its incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the VM.
    pub name: Name,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}

/// Where a VM is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    /// QUIC port for messages between processes.
    pub peers: SocketAddr,
    /// HTTP port for callers, also used by other zones to hand requests over; none on control VMs.
    pub callers: Option<SocketAddr>,
}
