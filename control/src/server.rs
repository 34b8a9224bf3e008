//! The control process as a library, so that tests and benches can run several in one program.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, mpsc as std_mpsc};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use actix_rt::net::TcpListener;
use actix_rt::time::sleep;
use eyre::{WrapErr, eyre};
use primrosepin_config::settings::Control;
use primrosepin_core::vm;
use primrosepin_telemetry::metrics::Metrics;
use primrosepin_transport::{Endpoint, Identity, Settings};
use tokio::sync::{mpsc, oneshot, watch};

use crate::admin::{self, Admin};
use crate::contacts::Contacts;
use crate::disk::Disk;
use crate::meters::Meters;
use crate::node::{self, Input, Setup};
use crate::peers;
use crate::proposer::Proposer;
use crate::shared::Shared;

/// Delay before the endpoint closes, in which it sends the last messages, such as the transfer of
/// leadership.
const FLUSH_DELAY: Duration = Duration::from_millis(50);

/// Capacity of the node's input queue. When it is full, messages are dropped, as on a lossy network, and
/// commands are refused.
pub(crate) const INPUT_QUEUE_CAPACITY: usize = 8_192;

/// Options of a server that are not in the settings file.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// Seed of the random election timeouts; random if absent.
    pub seed: Option<u64>,
    /// TLS identity for messages between processes; read from the files in the settings if absent.
    pub identity: Option<Identity>,
}

/// Addresses that a server listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// HTTP for operators.
    pub admin: SocketAddr,
    /// QUIC for other processes.
    pub peers: SocketAddr,
}

/// A running control process. It has its own threads, so several may run in one program.
#[derive(Debug)]
pub struct Server {
    addresses: Addresses,
    endpoint: Endpoint,
    stop: oneshot::Sender<()>,
    ended: oneshot::Receiver<eyre::Result<()>>,
}

impl Server {
    /// Opens the data folder, binds all addresses and starts to serve.
    pub async fn start(settings: Control, options: Options) -> eyre::Result<Self> {
        let (started_tx, started_rx) = oneshot::channel();
        let (ended_tx, ended_rx) = oneshot::channel();
        let (stop_tx, stop_rx) = oneshot::channel();
        thread::Builder::new()
            .name(format!("control-{}", settings.vm))
            .spawn(move || {
                let result = actix_rt::Runtime::new()
                    .wrap_err("cannot start the async runtime")
                    .and_then(|runtime| {
                        runtime.block_on(run(settings, options, started_tx, stop_rx))
                    });
                // Fails only if the server was dropped.
                let _ = ended_tx.send(result);
            })?;
        let Ok((addresses, endpoint)) = started_rx.await else {
            ended_rx
                .await
                .wrap_err("the control thread panicked during startup")??;
            return Err(eyre!("the control thread ended during startup"));
        };
        Ok(Self {
            addresses,
            endpoint,
            stop: stop_tx,
            ended: ended_rx,
        })
    }

    /// Returns the bound addresses.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns the endpoint for messages between processes, for fault injection.
    pub fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Shuts down gracefully: waits for running calls, transfers leadership, then closes all connections.
    pub async fn stop(self) -> eyre::Result<()> {
        // Fails only if the thread ended by itself, which the next line reports.
        let _ = self.stop.send(());
        self.ended.await.wrap_err("the control thread panicked")?
    }
}

async fn run(
    settings: Control,
    options: Options,
    started_tx: oneshot::Sender<(Addresses, Endpoint)>,
    stop_rx: oneshot::Receiver<()>,
) -> eyre::Result<()> {
    let disk = Disk::open(&settings.data, settings.replicas.len())?;
    let listener = TcpListener::bind(settings.listen.admin)
        .await
        .wrap_err_with(|| format!("cannot bind {}", settings.listen.admin))?;
    let tls = &settings.tls;
    let identity = options.identity.map_or_else(
        || Identity::read(&tls.authority, &tls.certificate, &tls.key),
        Ok,
    )?;
    let incarnation = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .wrap_err("the system clock is set before 1970")?
        .as_millis() as u64;
    let (endpoint, incoming) = Endpoint::start(Settings {
        bind: settings.listen.peers,
        identity,
        instance: vm::Instance {
            name: Arc::clone(&settings.vm),
            incarnation: vm::Incarnation(incarnation),
        },
    })?;
    let addresses = Addresses {
        admin: listener.local_addr()?,
        peers: endpoint.local_address()?,
    };
    let metrics = Metrics::new("control", &settings.vm, &settings.zone)?;
    let meters = Meters::new(&metrics);
    let shared = Arc::new(Shared::new());
    let (outgoing_tx, outgoing_rx) = mpsc::unbounded_channel();
    let (input_tx, input_rx) = std_mpsc::sync_channel(INPUT_QUEUE_CAPACITY);
    // Other replicas reach this one at the address listed in the settings, which may differ from the
    // bound address.
    let listed = settings
        .replicas
        .iter()
        .find(|replica| replica.vm == settings.vm && replica.peers.port() != 0);
    let own_address = listed.map_or(addresses.peers, |replica| replica.peers);
    let setup = Setup {
        data: settings.data.clone(),
        vm: Arc::clone(&settings.vm),
        address: own_address,
        replicas: settings
            .replicas
            .iter()
            .map(|replica| (Arc::clone(&replica.vm), replica.peers))
            .collect(),
        bootstrap: settings.bootstrap,
        open_membership: false,
        zone: None,
        tolerance: 1,
        seed: options.seed.unwrap_or_else(rand::random),
        shared: Arc::clone(&shared),
        meters: meters.clone(),
        outgoing: outgoing_tx,
    };
    let (node_ended_tx, node_ended_rx) = oneshot::channel();
    thread::Builder::new()
        .name(format!("node-{}", settings.vm))
        .spawn(move || {
            node::run(&setup, disk, &input_rx);
            // Fails only if the server ended first.
            let _ = node_ended_tx.send(());
        })?;
    let proposer = Proposer {
        shared,
        node: input_tx.clone(),
        endpoint: endpoint.clone(),
        meters,
    };
    let contacts = Arc::new(Contacts::default());
    let sender = actix_rt::spawn(peers::send(endpoint.clone(), outgoing_rx));
    let receiver = actix_rt::spawn(peers::receive(
        proposer.clone(),
        Arc::clone(&contacts),
        incoming,
    ));
    let broadcaster = actix_rt::spawn(peers::broadcast_contacts(
        proposer.clone(),
        Arc::clone(&contacts),
        own_address,
    ));
    let (stopping_tx, stopping_rx) = watch::channel(false);
    let admin = Admin {
        proposer,
        contacts,
        keys_sha256: settings.operator_keys_sha256.clone(),
        vm: Arc::clone(&settings.vm),
        metrics: metrics.clone(),
    };
    let admin = actix_rt::spawn(admin::serve(listener, Rc::new(admin), stopping_rx));
    log::info!(
        "listening at {} for operators and at {} for peers",
        addresses.admin,
        addresses.peers
    );
    // Fails only if `start` was cancelled, which drops the sender of `stop_rx` as well.
    let _ = started_tx.send((addresses, endpoint.clone()));
    // Dropping the server closes the channel, which stops it as well.
    let _ = stop_rx.await;
    log::info!("shutdown: waiting for running calls");
    stopping_tx.send_replace(true);
    admin.await??;
    // Fails only if the node ended by itself.
    let _ = input_tx.send(Input::Stop);
    let _ = node_ended_rx.await;
    // The node has dropped its sender, so this task ends once it has passed on the last messages.
    sender.await?;
    // The endpoint sends in background tasks and drops queued messages when it closes.
    sleep(FLUSH_DELAY).await;
    broadcaster.abort();
    receiver.abort();
    endpoint.close().await;
    metrics.shutdown();
    log::info!("shutdown: done");
    Ok(())
}
