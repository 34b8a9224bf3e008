//! The entry process as a value.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use actix_rt::net::TcpListener;
use actix_rt::time::{sleep, timeout};
use eyre::{WrapErr, eyre};
use primrosepin_config::settings::Entry;
use primrosepin_core::message::Message;
use primrosepin_core::registry::Config;
use primrosepin_core::serving::event::Event;
use primrosepin_core::serving::{Policy, Reducer, Settings};
use primrosepin_core::vm;
use primrosepin_transport::{Endpoint, Identity, Incoming};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::{mpsc, oneshot, watch};

use crate::admin::OperatorApi;
use crate::driver::Driver;
use crate::metrics::Metrics;
use crate::node::{Node, Phase};
use crate::{admin, callers, control, listen, targets};

/// Operators' calls that wait for a snapshot; more are slowed down.
const QUERY_QUEUE_LENGTH: usize = 16;

/// Options of a server that are no settings of the process.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// Seed of all random choices; drawn from the system if absent.
    pub seed: Option<u64>,
    /// Placement policy.
    pub policy: Policy,
    /// Identity for messages between processes; read from the files in the settings if absent.
    pub identity: Option<Identity>,
    /// Configuration to start with, before control is asked.
    pub config: Option<Arc<Config>>,
}

/// Addresses that a server listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// HTTP for callers.
    pub callers: SocketAddr,
    /// HTTP for targets.
    pub targets: SocketAddr,
    /// HTTP for operators.
    pub admin: SocketAddr,
    /// QUIC for other processes.
    pub peers: SocketAddr,
}

/// A running entry process. It has its own thread, so several may run in one program.
#[derive(Debug)]
pub struct Server {
    addresses: Addresses,
    endpoint: Endpoint,
    event_sender: mpsc::UnboundedSender<Event>,
    stop: oneshot::Sender<()>,
    ended: oneshot::Receiver<eyre::Result<()>>,
}

impl Server {
    /// Binds all addresses and starts to serve.
    pub async fn start(settings: Entry, options: Options) -> eyre::Result<Self> {
        let (started, start_result) = oneshot::channel();
        let (ended, end_result) = oneshot::channel();
        let (stop, stopped) = oneshot::channel();
        thread::Builder::new()
            .name(format!("entry-{}", settings.vm))
            .spawn(move || {
                let result = actix_rt::Runtime::new()
                    .wrap_err("cannot start the runtime")
                    .and_then(|runtime| runtime.block_on(run(settings, options, started, stopped)));
                // Fails only if the server was dropped.
                let _ = ended.send(result);
            })?;
        let Ok((addresses, endpoint, event_sender)) = start_result.await else {
            end_result.await.wrap_err("the entry thread ended")??;
            return Err(eyre!("the entry thread ended"));
        };
        Ok(Self {
            addresses,
            endpoint,
            event_sender,
            stop,
            ended: end_result,
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

    /// Hands in a configuration as if control had sent it.
    pub fn configure(&self, config: Arc<Config>) {
        // Fails only if the thread ended, which `stop` reports.
        let _ = self.event_sender.send(Event::Configured(config));
    }

    /// Shuts down gracefully: readiness fails, running requests finish, then connections close.
    pub async fn stop(self) -> eyre::Result<()> {
        // Fails only if the thread ended by itself, which the next line reports.
        let _ = self.stop.send(());
        self.ended.await.wrap_err("the entry thread ended")?
    }
}

/// Longest wait for calls that outlive their requests. What an unreachable engine holds ends with its
/// lease.
const BACKGROUND_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait until peers have acknowledged the goodbye.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval of the check for such calls.
const BACKGROUND_POLL_INTERVAL: Duration = Duration::from_millis(20);

type Started = (Addresses, Endpoint, mpsc::UnboundedSender<Event>);

async fn run(
    mut settings: Entry,
    options: Options,
    started: oneshot::Sender<Started>,
    stopped: oneshot::Receiver<()>,
) -> eyre::Result<()> {
    let callers = bind(&mut settings.listen.callers).await?;
    let targets = bind(&mut settings.listen.targets).await?;
    let admin = bind(&mut settings.listen.admin).await?;
    let tls = &settings.tls;
    let identity = options.identity.map_or_else(
        || Identity::read(&tls.authority, &tls.certificate, &tls.key),
        Ok,
    )?;
    let instance = vm::Instance {
        name: Arc::clone(&settings.vm),
        incarnation: vm::Incarnation(
            SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .wrap_err("the clock is before 1970")?
                .as_millis() as u64,
        ),
    };
    let (endpoint, incoming) = Endpoint::start(primrosepin_transport::Settings {
        bind: settings.listen.peers,
        identity,
        instance: instance.clone(),
    })?;
    settings.listen.peers = endpoint.local_address()?;
    let listen = settings.listen;
    let seed = options.seed.unwrap_or_else(rand::random);
    let (event_sender, event_receiver) = mpsc::unbounded_channel();
    let (phase, phases) = watch::channel(Phase::Serving);
    let limits = settings.limits;
    let reducer_settings = Settings {
        vm: instance.clone(),
        address: vm::Address {
            peers: listen.peers,
            callers: Some(listen.callers),
        },
        zone: Arc::clone(&settings.zone),
        seeds: settings.seeds.clone(),
        other_zones: settings.other_zones.clone(),
        control: settings.control.clone(),
        policy: options.policy,
    };
    let metrics = Metrics::new(&settings.vm, &settings.zone)?;
    let (query, queries) = mpsc::channel(QUERY_QUEUE_LENGTH);
    let node = Rc::new(Node::new(
        settings,
        &instance,
        event_sender.clone(),
        phases.clone(),
        endpoint.clone(),
        metrics,
        StdRng::seed_from_u64(seed),
    ));
    let reducer = Reducer::new(reducer_settings, seed, node.now());
    let driver =
        actix_rt::spawn(Driver::new(Rc::clone(&node), reducer).run(event_receiver, queries));
    if let Some(config) = options.config {
        node.report(Event::Configured(config));
    }
    let receive = actix_rt::spawn(receive(Rc::clone(&node), incoming));
    let pull = actix_rt::spawn(control::pull_config(Rc::clone(&node)));
    let for_callers = Rc::clone(&node);
    let callers = actix_rt::spawn(listen::serve(callers, Rc::clone(&node), move |request| {
        callers::serve(Rc::clone(&for_callers), request)
    }));
    let for_targets = Rc::clone(&node);
    let targets = actix_rt::spawn(listen::serve(targets, Rc::clone(&node), move |request| {
        targets::serve(Rc::clone(&for_targets), request)
    }));
    let operator_api = Rc::new(OperatorApi::new(Rc::clone(&node), query));
    let admin = actix_rt::spawn(listen::serve(admin, Rc::clone(&node), move |request| {
        admin::serve(Rc::clone(&operator_api), request)
    }));
    let addresses = Addresses {
        callers: listen.callers,
        targets: listen.targets,
        admin: listen.admin,
        peers: listen.peers,
    };
    log::info!(
        "callers at {}, targets at {}",
        listen.callers,
        listen.targets
    );
    // Fails only if `start` was cancelled, which drops the other end of `stopped` as well.
    let _ = started.send((addresses, endpoint.clone(), event_sender));
    // A dropped server stops as well.
    let _ = stopped.await;
    log::info!("shutdown: not ready");
    phase.send_replace(Phase::Draining);
    node.report(Event::Drain);
    sleep(Duration::from_millis(limits.drain_ms)).await;
    log::info!(
        "shutdown: {} requests are running",
        node.calls.borrow().len()
    );
    phase.send_replace(Phase::Closing);
    callers.await??;
    targets.await??;
    admin.await??;
    finish_background(&node).await;
    // Running requests still receive messages; afterwards the peers are told.
    pull.abort();
    receive.abort();
    driver.abort();
    // Peers that do not answer would hold the shutdown for several round-trip timeouts.
    if timeout(CLOSE_TIMEOUT, endpoint.close()).await.is_err() {
        log::debug!("some peers did not acknowledge the goodbye");
    }
    log::info!("shutdown: done");
    Ok(())
}

/// Waits for cancel and ledger calls of the last requests, so that no engine memory and no ledger entry
/// is left to its lease.
async fn finish_background(node: &Node) {
    let end = Instant::now() + BACKGROUND_TIMEOUT;
    loop {
        // The first pause lets the reducer take the events of the connections that closed.
        sleep(BACKGROUND_POLL_INTERVAL).await;
        if node.background_calls.get() == 0 || Instant::now() >= end {
            return;
        }
    }
}

/// Binds an address and stores the bound port.
async fn bind(address: &mut SocketAddr) -> eyre::Result<TcpListener> {
    let listener = TcpListener::bind(*address)
        .await
        .wrap_err_with(|| format!("cannot bind {address}"))?;
    *address = listener.local_addr()?;
    Ok(listener)
}

/// Turns messages from other processes into events.
async fn receive(node: Rc<Node>, mut incoming: mpsc::Receiver<Incoming>) {
    while let Some(Incoming {
        from,
        message,
        reply,
        ..
    }) = incoming.recv().await
    {
        match (message, reply) {
            (Message::ConfigPush(config), _) => node.report(Event::Configured(config)),
            (Message::ConfigPull { have }, Some(reply)) => {
                if let Some(config_index) = node.config_index()
                    && config_index.config.version > have
                {
                    let config = Arc::clone(&config_index.config);
                    actix_rt::spawn(reply.send(Message::ConfigPush(config)));
                }
            }
            (message, _) => node.report(Event::Received { from, message }),
        }
    }
}
