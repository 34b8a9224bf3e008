//! Messages between entry and control processes.

use std::net::SocketAddr;
use std::sync::Arc;

use eyre::{bail, ensure};
use primrosepin_core::consensus;
use primrosepin_core::fleet::{
    Entry, LoadReport, OrderReport, Pace, PlannerMessage, Renewal, RetainedStatement,
};
use primrosepin_core::quarantine::{Crash, Part, Rule};
use serde::{Deserialize, Serialize};

use crate::entry::tunnel;

/// Version of the message format. Messages with another version are rejected.
pub const VERSION: u8 = 6;

/// Maximum size of an encoded message, bytes. Configurations and snapshots are the largest messages.
pub const MAX_BYTES: usize = 16 * 1024 * 1024;

/// Name, zone and datagram address of an entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryVm {
    /// Name of the VM.
    pub vm: Arc<str>,
    /// Availability zone of the VM.
    pub zone: Arc<str>,
    /// Address that receives datagrams.
    pub address: SocketAddr,
}

/// A message on a link or in a datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Sent while there is nothing else to send, so that the peer keeps the link open.
    Heartbeat,
    /// First message of an entry VM on a link to a control VM.
    Hello(EntryVm),
    /// Requests the current revision.
    RevisionRequest {
        /// Monotonic clock of the requesting VM when it sent the request, microseconds.
        request_sent_us: u64,
    },
    /// Response to [`Message::RevisionRequest`], or notification of a new revision.
    Revision {
        /// Clock value copied from the request; `None` for a notification.
        request_sent_us: Option<u64>,
        /// Time since the leader last heard from a quorum, microseconds; `None` unless the sender leads.
        quorum_age_us: Option<u64>,
        /// Revision that the sender has applied.
        revision: u64,
    },
    /// Requests the current configuration.
    ConfigRequest,
    /// Response to [`Message::ConfigRequest`].
    Config {
        /// Revision that the sender has applied.
        revision: u64,
        /// Document compressed by [`crate::document::compress`]; empty if none is published yet.
        document: Arc<[u8]>,
        /// Zones whose targets must not receive new requests.
        zones_out: Vec<Arc<str>>,
    },
    /// Announcements of targets, with their ages.
    Targets(Vec<Entry>),
    /// Repeated announcements of targets in which nothing changed.
    Renewals(Vec<Renewal>),
    /// Requests the announcements of all targets, after a renewal of one that the sender does not know.
    TargetsRequest,
    /// Entry VMs with a link to the sender, and control VMs known to the sender.
    Roster {
        /// Availability zone of the sender.
        zone: Arc<str>,
        /// Entry VMs with a link to the sender.
        entry_vms: Vec<EntryVm>,
        /// Link addresses of control VMs.
        control_vms: Vec<SocketAddr>,
    },
    /// Message between replicas of the log.
    Consensus(consensus::Message),
    /// Announcement that must not be lost with the sender, a control VM; acknowledged by [`Message::RelayAck`].
    /// Entry VMs of earlier builds ignore it, so they get [`Message::Targets`] as well.
    Relay {
        /// Sequence number chosen by the sender.
        number: u64,
        /// The announcement.
        entry: Entry,
    },
    /// Acknowledges a [`Message::Relay`]: the sender uses the announcement, or has passed it on to its entry VMs.
    RelayAck {
        /// Sequence number of the relay.
        number: u64,
    },
    /// Load that an entry VM places on targets; sent as a datagram.
    LoadReport {
        /// Name of the sending VM.
        vm: Arc<str>,
        /// Load per target, with the state of the queues and of the planner.
        report: LoadReport,
    },
    /// Message about the placement of a long prompt; sent as a datagram.
    Planner {
        /// Name of the sending VM.
        vm: Arc<str>,
        /// Query, response or withdrawal.
        message: PlannerMessage,
    },
    /// Targets that ended under requests; sent by an entry VM.
    Crashes(Vec<Crash>),
    /// Parts of prompts of which a control VM asks whether they were answered.
    Suspects(Vec<Part>),
    /// Suspected parts that were answered, with the time since then, ms; sent by an entry VM.
    Answered(Vec<(Part, u32)>),
    /// All rules on requests that are in force at a control VM.
    Quarantine(Vec<Rule>),
    /// Processes of targets that were reported as ended and still run; sent by an entry VM.
    Alive(Vec<u64>),
    /// Asks an entry VM for a connection to a target; the first message on a connection to it.
    TunnelRequest {
        /// ID of the request that needs the connection, for logs.
        request: Arc<str>,
        /// Address of the target.
        target: SocketAddr,
    },
    /// Answer to [`Message::TunnelRequest`]. Bytes to and from the target follow, unless it is a refusal.
    TunnelAnswer(Result<(), tunnel::Refusal>),
    /// Measurements of targets that deviate from their figures; sent as a datagram. Earlier builds ignore it.
    Paces {
        /// Name of the sending VM.
        vm: Arc<str>,
        /// What it measured since its last message.
        paces: Vec<Pace>,
    },
    /// Which targets were last seen with shared beginnings of prompts; sent as a datagram between entry VMs.
    Retained(Vec<RetainedStatement>),
    /// Waiting order of services with priorities; sent as a datagram, at most once a second. Entry VMs of earlier builds
    /// ignore it.
    OrderReport {
        /// Name of the sending VM.
        vm: Arc<str>,
        /// Use by organisations, and refused requests that may return.
        report: OrderReport,
    },
}

impl Message {
    /// Encodes the message, preceded by the format version. Fails if it exceeds [`MAX_BYTES`].
    pub fn encode(&self) -> eyre::Result<Vec<u8>> {
        let bytes = postcard::to_extend(self, vec![VERSION])?;
        ensure!(
            bytes.len() <= MAX_BYTES,
            "message of {} bytes exceeds the limit of {MAX_BYTES}",
            bytes.len()
        );
        Ok(bytes)
    }

    /// Decodes a message. Fails on an unknown version or kind, and on malformed input. Bytes after the message
    /// are fields that a newer build has added, and are ignored.
    pub fn decode(bytes: &[u8]) -> eyre::Result<Self> {
        match bytes.split_first() {
            Some((&VERSION, body)) => Ok(postcard::take_from_bytes(body)?.0),
            Some((version, _)) => {
                bail!("unsupported message version {version}, expected {VERSION}")
            }
            None => bail!("empty message"),
        }
    }
}

/// Returns whether an encoded message has the version of this build. Its kind may be unknown all the same.
pub(crate) fn has_known_version(bytes: &[u8]) -> bool {
    bytes.first() == Some(&VERSION)
}
