//! VMs that run the processes of a deployment.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Name of a VM, unique in the deployment.
pub type Name = Arc<str>;

/// Increases with each start of the process on a VM; for one name, the highest incarnation is current.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// One run of a process, identified by VM name and incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the VM.
    pub name: Name,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}

/// Network addresses of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    /// QUIC address for messages between processes.
    pub peers: SocketAddr,
    /// HTTP address for callers and for requests that other zones hand over; none on control VMs.
    pub callers: Option<SocketAddr>,
}
