//! Settings of entry and control processes.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use primrosepin_core::fleet;

use crate::limits;

/// Source from which settings can be reloaded.
pub trait Source: 'static {
    /// Reads the current addresses of the seed control VMs.
    fn seeds(&self) -> eyre::Result<Vec<IpAddr>>;
}

/// Settings shared by entry and control processes.
#[derive(Debug, Clone)]
pub struct Common {
    /// Name of the VM.
    pub vm: Arc<str>,
    /// Availability zone of the VM.
    pub zone: Arc<str>,
    /// Address of the VM.
    pub ip: IpAddr,
    /// Port for links and datagrams between processes, the same on all VMs.
    pub port: u16,
    /// Control VMs to contact first; they name the others.
    pub seeds: Vec<IpAddr>,
    /// Listen address for metrics.
    pub metrics: SocketAddr,
    /// Time from the termination signal until the process is killed.
    pub grace: Duration,
    /// Memory and descriptors of the VM.
    pub process: limits::Process,
    /// Limits on clients.
    pub clients: limits::Clients,
}

impl Common {
    /// Returns this process's address for links and datagrams.
    pub fn address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.port)
    }
}

/// Settings of an entry process. The option `--check` prints this name.
#[derive(Debug, Clone)]
pub struct Front {
    /// Settings shared with control processes.
    pub common: Common,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for readiness probes of the platform.
    pub ready: SocketAddr,
    /// Settings of the scheduling decisions.
    pub decisions: fleet::Settings,
    /// Limits on messages of targets.
    pub messages: limits::Messages,
}

/// Settings of a control process. The option `--check` prints this name.
#[derive(Debug, Clone)]
pub struct Core {
    /// Settings shared with entry processes.
    pub common: Common,
    /// Listen address for API calls of operators and targets; the port is the same on all control VMs.
    pub calls: SocketAddr,
    /// Folder for the replicated log and snapshots.
    pub data: PathBuf,
    /// Whether this VM, if it has no data, may bootstrap a new deployment.
    pub bootstrap: bool,
    /// Number of control VMs that may lose their disks at the same time.
    pub tolerance: usize,
    /// Time limit for deciding a change that an operator proposes. Operators try another control VM after it.
    pub call_timeout: Duration,
}
