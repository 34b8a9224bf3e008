//! Startup, main task and shutdown of the entry process.

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

/// Maximum number of queued snapshot requests by operators; further ones wait.
const QUERY_QUEUE_LENGTH: usize = 16;

/// Options of a [`Server`] that are not part of the settings file.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// Seed of all random choices; random if absent.
    pub seed: Option<u64>,
    /// Placement policy.
    pub policy: Policy,
    /// TLS identity for messages between processes; read from the files named in the settings if
    /// absent.
    pub identity: Option<Identity>,
    /// Initial configuration, in force before one is pulled from control.
    pub config: Option<Arc<Config>>,
}

/// Addresses that a [`Server`] listens on, with the actual ports.
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

/// A running entry process. Each server runs on its own thread, so one program may run several.
#[derive(Debug)]
pub struct Server {
    addresses: Addresses,
    endpoint: Endpoint,
    event_sender: mpsc::UnboundedSender<Event>,
    stop: oneshot::Sender<()>,
    ended: oneshot::Receiver<eyre::Result<()>>,
}

impl Server {
    /// Binds all addresses and starts serving.
    pub async fn start(settings: Entry, options: Options) -> eyre::Result<Self> {
        let (started, start_result) = oneshot::channel();
        let (ended, end_result) = oneshot::channel();
        let (stop, stopped) = oneshot::channel();
        thread::Builder::new()
            .name(format!("entry-{}", settings.vm))
            .spawn(move || {
                let result = actix_rt::Runtime::new()
                    .wrap_err("cannot start the async runtime")
                    .and_then(|runtime| runtime.block_on(run(settings, options, started, stopped)));
                // Fails only if the `Server` has been dropped.
                let _ = ended.send(result);
            })?;
        let Ok((addresses, endpoint, event_sender)) = start_result.await else {
            end_result
                .await
                .wrap_err("the entry thread panicked during startup")??;
            return Err(eyre!("the entry thread ended during startup"));
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

    /// Applies a configuration as if control had sent it.
    pub fn configure(&self, config: Arc<Config>) {
        // Fails only if the thread has ended, which `stop` reports.
        let _ = self.event_sender.send(Event::Configured(config));
    }

    /// Shuts down gracefully: readiness fails, requests in progress finish, then connections are
    /// closed.
    pub async fn stop(self) -> eyre::Result<()> {
        // Fails only if the thread has already ended, which the next line reports.
        let _ = self.stop.send(());
        self.ended.await.wrap_err("the entry thread panicked")?
    }
}

/// Time limit for background calls that outlive their requests. Resources held by an unreachable
/// engine are freed when their leases expire.
const BACKGROUND_TIMEOUT: Duration = Duration::from_secs(2);

/// Time limit for peers to acknowledge that their connections are closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval at which a shutdown checks for unfinished background calls.
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
                .wrap_err("the system clock is set before 1970")?
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
        "listening for callers at {} and for targets at {}",
        listen.callers,
        listen.targets
    );
    // Fails only if the future of `start` was dropped, which also drops the sender of `stopped`.
    let _ = started.send((addresses, endpoint.clone(), event_sender));
    // Dropping the `Server` also triggers a shutdown.
    let _ = stopped.await;
    log::info!("shutdown: draining, readiness now fails");
    phase.send_replace(Phase::Draining);
    node.report(Event::Drain);
    sleep(Duration::from_millis(limits.drain_ms)).await;
    log::info!(
        "shutdown: listeners close, {} requests in progress",
        node.calls.borrow().len()
    );
    phase.send_replace(Phase::Closing);
    callers.await??;
    targets.await??;
    admin.await??;
    finish_background(&node).await;
    // Peer messages are received until all requests have finished; then the peers are disconnected.
    pull.abort();
    receive.abort();
    driver.abort();
    // Without a limit, unresponsive peers would delay the shutdown by several round-trip timeouts.
    if timeout(CLOSE_TIMEOUT, endpoint.close()).await.is_err() {
        log::debug!("some peers did not acknowledge the closing of their connections");
    }
    log::info!("shutdown: done");
    Ok(())
}

/// Waits for cancel and ledger calls of the last requests, so that no engine memory and no ledger
/// entry stays in use until its lease expires.
async fn finish_background(node: &Node) {
    let deadline = Instant::now() + BACKGROUND_TIMEOUT;
    loop {
        // Sleep first, so that the reducer can process the events of the closed connections.
        sleep(BACKGROUND_POLL_INTERVAL).await;
        if node.background_calls.get() == 0 || Instant::now() >= deadline {
            return;
        }
    }
}

/// Binds a listener and replaces `address` by the bound address.
async fn bind(address: &mut SocketAddr) -> eyre::Result<TcpListener> {
    let listener = TcpListener::bind(*address)
        .await
        .wrap_err_with(|| format!("cannot bind {address}"))?;
    *address = listener.local_addr()?;
    Ok(listener)
}

/// Converts messages from other processes into reducer events. Answers configuration pulls
/// directly.
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
