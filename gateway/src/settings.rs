//! Settings of the processes.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use primrosepin_core::fleet;

/// Where settings come from, so that they can be read again.
pub trait Source: 'static {
    /// Returns the control VMs by which others are found, as the settings name them now.
    fn seeds(&self) -> eyre::Result<Vec<IpAddr>>;
}

/// Settings that both processes need.
#[derive(Debug, Clone)]
pub struct Common {
    /// Name of the VM.
    pub vm: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Address of the VM.
    pub ip: IpAddr,
    /// Port for links and datagrams between processes, the same on all VMs.
    pub port: u16,
    /// Control VMs by which others are found.
    pub seeds: Vec<IpAddr>,
    /// Address for metrics.
    pub metrics: SocketAddr,
    /// Time from the request to stop until the process is killed.
    pub grace: Duration,
}

impl Common {
    /// Returns the address for links and datagrams of this process.
    pub fn address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.port)
    }
}

/// Settings of an entry process.
#[derive(Debug, Clone)]
pub struct Front {
    /// What both processes need.
    pub common: Common,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address where the platform asks whether this VM takes new callers.
    pub ready: SocketAddr,
    /// Settings of the decisions.
    pub decisions: fleet::Settings,
}

/// Settings of a control process.
#[derive(Debug, Clone)]
pub struct Core {
    /// What both processes need.
    pub common: Common,
    /// Address for operators and targets; its port is the same on all control VMs.
    pub calls: SocketAddr,
    /// Data folder.
    pub data: PathBuf,
    /// Whether the deployment starts for the first time.
    pub bootstrap: bool,
    /// Time within which operators expect an outcome from one VM.
    pub call_timeout: Duration,
}
