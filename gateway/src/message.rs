//! Messages between the processes.

use std::net::SocketAddr;
use std::sync::Arc;

use eyre::{bail, ensure};
use primrosepin_core::consensus;
use primrosepin_core::fleet::{Entry, LoadReport, PlannerMessage};
use serde::{Deserialize, Serialize};

/// Version of the message format. A process refuses messages of other versions.
pub const VERSION: u8 = 2;

/// Largest message, bytes. Configurations and snapshots are the largest ones.
pub const MAX_BYTES: usize = 16 * 1024 * 1024;

/// An entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryVm {
    /// Name of the VM.
    pub vm: Arc<str>,
    /// Address for datagrams.
    pub address: SocketAddr,
}

/// A message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Keeps a link alive.
    Heartbeat,
    /// An entry VM opens its link to control.
    Hello(EntryVm),
    /// Asks for the revision in force.
    RevisionRequest {
        /// Clock of the asking VM, microseconds.
        request_sent_us: u64,
    },
    /// Answers [`Message::RevisionRequest`], or tells of a new revision.
    Revision {
        /// Clock that the question gave; none if nothing was asked.
        request_sent_us: Option<u64>,
        /// Age of the leader's contact with a quorum, microseconds; none unless the sender leads.
        quorum_age_us: Option<u64>,
        /// Revision that the sender has applied.
        revision: u64,
    },
    /// Asks for the configuration.
    ConfigRequest,
    /// The configuration.
    Config {
        /// Revision.
        revision: u64,
        /// Compressed document; empty before the first one.
        document: Arc<[u8]>,
        /// Zones whose targets get no new work.
        zones_out: Vec<Arc<str>>,
    },
    /// Announcements of targets.
    Targets(Vec<Entry>),
    /// The entry VMs that keep a link to the sender, and the control VMs that it knows.
    Roster {
        /// Entry VMs.
        entry_vms: Vec<EntryVm>,
        /// Addresses of control VMs.
        control_vms: Vec<SocketAddr>,
    },
    /// A message of the replicated log.
    Consensus(consensus::Message),
    /// An announcement that must survive the sender; answered by [`Message::RelayAck`].
    Relay {
        /// Number of the relay at the sender.
        number: u64,
        /// The announcement.
        entry: Entry,
    },
    /// The announcement is held.
    RelayAck {
        /// Number of the relay.
        number: u64,
    },
    /// Work of an entry VM at targets; sent as a datagram.
    Share {
        /// Name of the VM.
        vm: Arc<str>,
        /// The work.
        share: LoadReport,
    },
    /// A message about a long prompt; sent as a datagram.
    Note {
        /// Name of the sending VM.
        vm: Arc<str>,
        /// What it tells.
        note: PlannerMessage,
    },
}

impl Message {
    /// Encodes the message after its version.
    pub fn encode(&self) -> eyre::Result<Vec<u8>> {
        let bytes = postcard::to_extend(self, vec![VERSION])?;
        ensure!(bytes.len() <= MAX_BYTES, "message of {} bytes", bytes.len());
        Ok(bytes)
    }

    /// Decodes a message.
    pub fn decode(bytes: &[u8]) -> eyre::Result<Self> {
        match bytes.split_first() {
            Some((&VERSION, body)) => {
                let (message, rest) = postcard::take_from_bytes(body)?;
                ensure!(rest.is_empty(), "{} bytes after the message", rest.len());
                Ok(message)
            }
            Some((version, _)) => bail!("message of version {version}, expected {VERSION}"),
            None => bail!("empty message"),
        }
    }
}
