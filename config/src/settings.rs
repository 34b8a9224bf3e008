//! Settings files of the entry process and the control process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Settings of an entry process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Name of the VM, unique in the deployment.
    pub vm: Arc<str>,
    /// Availability zone of the VM.
    pub zone: Arc<str>,
    /// Addresses that the process listens on.
    pub listen: EntryListen,
    /// QUIC addresses of other entry VMs of the zone.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// QUIC addresses of the control replicas.
    pub control: Vec<SocketAddr>,
    /// QUIC addresses of entry VMs of other zones, to which a coordinator sends summaries.
    #[serde(default)]
    pub other_zones: Vec<SocketAddr>,
    /// Certificate files for mutual TLS between processes.
    pub tls: Tls,
    /// SHA-256 in hexadecimal of each operator key.
    pub operator_keys_sha256: Vec<Arc<str>>,
    /// Limits on callers' input.
    #[serde(default)]
    pub limits: Limits,
    /// Log output.
    #[serde(default)]
    pub log: Log,
}

/// Addresses that an entry process listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryListen {
    /// HTTP for callers.
    pub callers: SocketAddr,
    /// HTTP for targets' announcements.
    pub targets: SocketAddr,
    /// HTTP for operators and metrics.
    pub admin: SocketAddr,
    /// QUIC for messages between processes.
    pub peers: SocketAddr,
}

/// Settings of a control process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Name of the VM, unique in the deployment.
    pub vm: Arc<str>,
    /// Availability zone of the VM.
    pub zone: Arc<str>,
    /// Addresses that the process listens on.
    pub listen: ControlListen,
    /// Initial replicas of the deployment, including this one.
    pub replicas: Vec<Replica>,
    /// Folder for the log, snapshots and the replica's identity.
    pub data: PathBuf,
    /// Whether a replica with an empty data folder may bootstrap a new deployment. It must be unset for a
    /// replacement replica, which joins as a non-voter.
    #[serde(default)]
    pub bootstrap: bool,
    /// Certificate files for mutual TLS between processes.
    pub tls: Tls,
    /// SHA-256 in hexadecimal of each operator key.
    pub operator_keys_sha256: Vec<Arc<str>>,
    /// Log output.
    #[serde(default)]
    pub log: Log,
}

/// Addresses that a control process listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlListen {
    /// HTTP for operators and metrics.
    pub admin: SocketAddr,
    /// QUIC for messages between processes.
    pub peers: SocketAddr,
}

/// A control replica of the deployment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replica {
    /// Name of the VM.
    pub vm: Arc<str>,
    /// QUIC address for messages between processes.
    pub peers: SocketAddr,
}

/// PEM files for mutual TLS.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// Certificate of the deployment's authority.
    pub authority: PathBuf,
    /// Certificate of this process.
    pub certificate: PathBuf,
    /// Private key of this process.
    pub key: PathBuf,
}

/// Limits on callers' input.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Largest request body, bytes.
    pub body_bytes: usize,
    /// Largest total size of the request bodies held in memory, bytes.
    pub buffered_bytes: usize,
    /// Largest number of open connections from callers.
    pub connections: usize,
    /// Timeout for reading a request's headers, milliseconds.
    pub header_timeout_ms: u64,
    /// Timeout for reading a request's body, milliseconds.
    pub body_timeout_ms: u64,
    /// Time for which a process that shuts down still accepts requests, milliseconds.
    pub drain_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 8 * 1024 * 1024,
            buffered_bytes: 256 * 1024 * 1024,
            connections: 10_000,
            header_timeout_ms: 10_000,
            body_timeout_ms: 30_000,
            drain_ms: 5_000,
        }
    }
}

/// Log output.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// Lowest level that is written: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: Arc<str>,
    /// Format of a line.
    pub form: LogForm,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            level: "info".into(),
            form: LogForm::Human,
        }
    }
}

/// Format of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogForm {
    /// Text for reading by people.
    Human,
    /// One JSON object per line.
    Json,
}
