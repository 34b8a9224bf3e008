//! The control process as a value.

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
use crate::disk::Disk;
use crate::meters::Meters;
use crate::node::{self, Input, Setup};
use crate::peers;
use crate::proposer::Proposer;
use crate::seen::Signs;
use crate::shared::Shared;

/// Time in which the last messages, such as the leader's resignation, leave the endpoint before it closes.
const LINGER: Duration = Duration::from_millis(50);

/// Inputs that wait for the node. Further messages are dropped, as on a lossy network, and further commands
/// are refused.
pub(crate) const QUEUED_INPUTS: usize = 8_192;

/// Options of a server that are no settings of the process.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// Seed of election timeouts; drawn from the system if absent.
    pub seed: Option<u64>,
    /// Identity for messages between processes; read from the files in the settings if absent.
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
        let (started, starts) = oneshot::channel();
        let (ended, ends) = oneshot::channel();
        let (stop, stopped) = oneshot::channel();
        thread::Builder::new()
            .name(format!("control-{}", settings.vm))
            .spawn(move || {
                let result = actix_rt::Runtime::new()
                    .wrap_err("cannot start the runtime")
                    .and_then(|runtime| runtime.block_on(run(settings, options, started, stopped)));
                // Fails only if the server was dropped.
                let _ = ended.send(result);
            })?;
        let Ok((addresses, endpoint)) = starts.await else {
            ends.await.wrap_err("the control thread ended")??;
            return Err(eyre!("the control thread ended"));
        };
        Ok(Self {
            addresses,
            endpoint,
            stop,
            ended: ends,
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

    /// Shuts down gracefully: running calls finish, leadership is handed over, connections close.
    pub async fn stop(self) -> eyre::Result<()> {
        // Fails only if the thread ended by itself, which the next line reports.
        let _ = self.stop.send(());
        self.ended.await.wrap_err("the control thread ended")?
    }
}

async fn run(
    settings: Control,
    options: Options,
    started: oneshot::Sender<(Addresses, Endpoint)>,
    stopped: oneshot::Receiver<()>,
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
        .wrap_err("the clock is before 1970")?
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
    let (outgoing, to_send) = mpsc::unbounded_channel();
    let (inputs, node_inputs) = std_mpsc::sync_channel(QUEUED_INPUTS);
    // Other replicas reach this one at the address in the settings, which may differ from the bound one.
    let listed = settings
        .replicas
        .iter()
        .find(|replica| replica.vm == settings.vm && replica.peers.port() != 0);
    let own = listed.map_or(addresses.peers, |replica| replica.peers);
    let setup = Setup {
        data: settings.data.clone(),
        vm: Arc::clone(&settings.vm),
        address: own,
        replicas: settings
            .replicas
            .iter()
            .map(|replica| (Arc::clone(&replica.vm), replica.peers))
            .collect(),
        bootstrap: settings.bootstrap,
        open: false,
        seed: options.seed.unwrap_or_else(rand::random),
        shared: Arc::clone(&shared),
        meters: meters.clone(),
        outgoing,
    };
    let (node_ended, node_ends) = oneshot::channel();
    thread::Builder::new()
        .name(format!("node-{}", settings.vm))
        .spawn(move || {
            node::run(&setup, disk, &node_inputs);
            // Fails only if the server ended first.
            let _ = node_ended.send(());
        })?;
    let proposer = Proposer {
        shared,
        node: inputs.clone(),
        endpoint: endpoint.clone(),
        meters,
    };
    let signs = Arc::new(Signs::default());
    let sender = actix_rt::spawn(peers::send(endpoint.clone(), to_send));
    let receiver = actix_rt::spawn(peers::receive(
        proposer.clone(),
        Arc::clone(&signs),
        incoming,
    ));
    let spreader = actix_rt::spawn(peers::spread_seen(
        proposer.clone(),
        Arc::clone(&signs),
        own,
    ));
    let (stopping, stops) = watch::channel(false);
    let admin = Admin {
        proposer,
        signs,
        keys_sha256: settings.operator_keys_sha256.clone(),
        vm: Arc::clone(&settings.vm),
        metrics: metrics.clone(),
    };
    let admin = actix_rt::spawn(admin::serve(listener, Rc::new(admin), stops));
    log::info!(
        "operators at {}, peers at {}",
        addresses.admin,
        addresses.peers
    );
    // Fails only if `start` was cancelled, which drops the other end of `stopped` as well.
    let _ = started.send((addresses, endpoint.clone()));
    // A dropped server stops as well.
    let _ = stopped.await;
    log::info!("shutdown: running calls finish");
    stopping.send_replace(true);
    admin.await??;
    // Fails only if the node ended by itself.
    let _ = inputs.send(Input::Stop);
    let _ = node_ends.await;
    // The node has dropped its sender, so this ends when its last messages are handed over.
    sender.await?;
    // The endpoint sends messages by tasks of its own and drops those that wait when it closes.
    sleep(LINGER).await;
    spreader.abort();
    receiver.abort();
    endpoint.close().await;
    metrics.shutdown();
    log::info!("shutdown: done");
    Ok(())
}
