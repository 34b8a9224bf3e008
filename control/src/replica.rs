//! A control replica whose messages the embedding process sends and receives.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use primrosepin_core::consensus::{self, Role};
use primrosepin_core::message::Message;
use primrosepin_core::quarantine::Rule;
use primrosepin_core::registry::{Command, Published};
use primrosepin_core::time::Instant;
use primrosepin_core::{vm, zone};
use primrosepin_telemetry::metrics::Metrics;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

use crate::disk::Disk;
use crate::meters::Meters;
use crate::node::{self, Input, Setup};
use crate::server::INPUT_QUEUE_CAPACITY;
use crate::shared::{Shared, View};

pub use crate::node::Decision;

/// Settings of a replica.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Folder for log and snapshots.
    pub data: PathBuf,
    /// Name of the VM.
    pub vm: vm::Name,
    /// Address at which other replicas reach this one.
    pub address: SocketAddr,
    /// Names and addresses of the initial replicas; others may join later.
    pub replicas: Vec<(vm::Name, SocketAddr)>,
    /// Whether a replica without data may bootstrap a deployment.
    pub bootstrap: bool,
    /// Availability zone of the VM.
    pub zone: zone::Name,
    /// Number of replicas that may lose their data at the same time.
    pub tolerance: usize,
}

/// A running replica. It sends messages through a channel; the embedding process passes received messages
/// to [`Replica::receive`].
#[derive(Debug, Clone)]
pub struct Replica {
    node: SyncSender<Input>,
    shared: Arc<Shared>,
}

/// Receiver of changes of a replica's role, leader, members or applied index.
#[derive(Debug, Clone)]
pub struct ChangeReceiver(watch::Receiver<View>);

impl ChangeReceiver {
    /// Waits for a change; returns whether the replica still runs.
    pub async fn changed(&mut self) -> bool {
        self.0.changed().await.is_ok()
    }
}

impl Replica {
    /// Opens the data folder and starts the replica's thread. The returned receiver resolves when the
    /// thread has ended.
    pub fn start(
        settings: Settings,
        metrics: &Metrics,
        outgoing: mpsc::UnboundedSender<(SocketAddr, Message)>,
    ) -> eyre::Result<(Self, oneshot::Receiver<()>)> {
        /// More than one, so that damaged data is set aside: other replicas have a copy.
        const REPLICAS: usize = 2;
        let disk = Disk::open(&settings.data, REPLICAS)?;
        let shared = Arc::new(Shared::new());
        let (node, inputs) = sync_channel(INPUT_QUEUE_CAPACITY);
        let setup = Setup {
            data: settings.data,
            vm: settings.vm,
            address: settings.address,
            replicas: settings.replicas,
            bootstrap: settings.bootstrap,
            open_membership: true,
            zone: Some(settings.zone),
            tolerance: settings.tolerance,
            seed: rand::random(),
            shared: Arc::clone(&shared),
            meters: Meters::new(metrics),
            outgoing,
        };
        let (ended_tx, ended_rx) = oneshot::channel();
        thread::Builder::new().name("node".into()).spawn(move || {
            node::run(&setup, disk, &inputs);
            // Fails only if the process ends first.
            let _ = ended_tx.send(());
        })?;
        Ok((Self { node, shared }, ended_rx))
    }

    /// Passes in a message from another replica. It is dropped if the queue is full because the replica
    /// waits for its disk.
    pub fn receive(&self, message: consensus::Message) {
        drop(self.node.try_send(Input::Received(message)));
    }

    /// Proposes a command; not accepted unless this replica leads.
    pub async fn propose(&self, command: Command, within: Duration) -> Decision {
        let (reply, decision) = oneshot::channel();
        let input = Input::Propose(command, reply);
        if self.node.try_send(input).is_err() {
            return Decision::NotAccepted;
        }
        match timeout(within, decision).await {
            Ok(Ok(decision)) => decision,
            Ok(Err(_)) | Err(_) => Decision::Unknown,
        }
    }

    /// Returns whether this replica is the leader.
    pub fn is_leader(&self) -> bool {
        self.shared.view().role == Role::Leader
    }

    /// Returns the address of the leader, if known.
    pub fn leader_address(&self) -> Option<SocketAddr> {
        self.shared.view().leader.map(|(_, address)| address)
    }

    /// Returns the current term and role.
    pub fn term_and_role(&self) -> (u64, Role) {
        let view = self.shared.view();
        (view.term, view.role)
    }

    /// Returns the addresses of all known replicas of the deployment. Without data these are the members that
    /// have told this replica where they are.
    pub fn member_addresses(&self) -> Vec<SocketAddr> {
        let view = self.shared.view();
        let members = view.members.list.iter().map(|member| member.address);
        members.chain(view.contacts).collect()
    }

    /// Returns the last time at which a quorum was known to follow this leader; none unless leader.
    pub fn last_quorum_contact(&self) -> Option<Instant> {
        self.shared.last_quorum_contact()
    }

    /// Returns the published configuration that this replica has applied.
    pub fn published(&self) -> Published {
        self.shared.state().published().clone()
    }

    /// Returns the rules on prompts that this replica has applied.
    pub fn quarantine(&self) -> Vec<Rule> {
        self.shared.state().quarantine().to_vec()
    }

    /// Returns a receiver that is notified of changes.
    pub fn watch(&self) -> ChangeReceiver {
        ChangeReceiver(self.shared.watch())
    }

    /// Sets the addresses that the settings list, where a replica that lost the others looks for them.
    pub fn set_listed(&self, listed: Vec<SocketAddr>) {
        // Dropped if the queue is full because the replica waits for its disk; the settings are read again.
        drop(self.node.try_send(Input::Listed(listed)));
    }

    /// Hands over leadership and stops.
    pub fn stop(&self) {
        // Fails only if the node ended by itself.
        drop(self.node.try_send(Input::Stop));
    }
}
