//! Start and shutdown of the entry process.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use primrosepin_core::fleet::Event;
use primrosepin_process::{Hangup, Shutdown};
use primrosepin_telemetry::metrics::Metrics;
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::{interval, sleep};

use super::node::{Node, Phase};
use super::{caller, path, tunnel, uplink};
use crate::account::{Kind, Stage};
use crate::http::{self, Connection};
use crate::protocol::Protocol;
use crate::settings::{Front, Source};
use crate::{metrics, net, reload};

/// Interval at which the reducer handles timers.
const TICK_INTERVAL: Duration = Duration::from_millis(30);

/// Time after the termination signal for which new connections are accepted. The platform probes
/// readiness once per second and redirects callers after two failed probes.
const READINESS_DRAIN_TIME: Duration = Duration::from_millis(2_950);

/// Time before the end of the grace period at which the process exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(300);

/// Maximum size of the head of a readiness probe, bytes.
const MAX_PROBE_HEAD_BYTES: usize = 8 * 1024;

/// Time in which the head of a readiness probe must start to arrive, and then be complete.
const PROBE_HEAD_TIMEOUT: Duration = Duration::from_secs(3);

/// Runs an entry process until a termination signal arrives and its requests have ended. `hangup`
/// signals that `source` may have changed. Fails if the process cannot bind its addresses.
pub async fn run<S>(
    settings: Front,
    source: S,
    protocol: Arc<dyn Protocol>,
    hangup: Hangup,
) -> eyre::Result<()>
where
    S: Source,
{
    let shutdown = Shutdown::new()?;
    let common = settings.common.clone();
    let caller_listener = net::listen(settings.callers, Kind::Caller)
        .wrap_err_with(|| format!("cannot listen on {}", settings.callers))?;
    let readiness_listener = net::listen(settings.ready, Kind::Probe)
        .wrap_err_with(|| format!("cannot listen on {}", settings.ready))?;
    let datagrams = UdpSocket::bind(common.address())
        .await
        .wrap_err_with(|| format!("cannot bind {}", common.address()))?;
    let tunnel_listener = net::listen(common.address(), Kind::Tunnel)
        .wrap_err_with(|| format!("cannot listen on {}", common.address()))?;
    let registry = Metrics::new("entry", &common.vm, &common.zone)?;
    let node = Rc::new(Node::new(settings, protocol, registry.clone(), datagrams));
    log::info!(vm = &*common.vm, zone = &*common.zone, seeds = common.seeds.len(); "entry started");
    let gauge_source = Rc::clone(&node);
    metrics::spawn_server(common.metrics, registry, node.account.clone(), move || {
        gauge_source.record_gauges();
    });
    actix_rt::spawn(uplink::run(Rc::clone(&node)));
    let receiver = Rc::clone(&node);
    actix_rt::spawn(async move { receiver.receive_datagrams().await });
    actix_rt::spawn(tick(Rc::clone(&node)));
    actix_rt::spawn(node.account.clone().measure_lag());
    let reloaded = Rc::clone(&node);
    actix_rt::spawn(reload::run(common.seeds, source, hangup, move |seeds| {
        *reloaded.seeds.borrow_mut() = seeds.to_vec();
    }));
    actix_rt::spawn(serve_readiness(Rc::clone(&node), readiness_listener));
    actix_rt::spawn(accept(Rc::clone(&node), caller_listener));
    actix_rt::spawn(tunnel::accept(Rc::clone(&node), tunnel_listener));
    shutdown.wait().await;
    drain(&node, common.grace).await;
    log::info!(vm = &*common.vm, pending = node.pending(); "entry stopped");
    Ok(())
}

async fn tick(node: Rc<Node>) {
    let mut ticks = interval(TICK_INTERVAL);
    loop {
        ticks.tick().await;
        node.apply(Event::Tick);
        uplink::fetch_config(&node);
        path::check_lost(&node);
        node.pool.borrow_mut().expire();
    }
}

async fn accept(node: Rc<Node>, listener: TcpListener) {
    loop {
        let (stream, _, client) = net::accept(&listener, &node.account, Kind::Caller).await;
        let eviction = client.eviction();
        let serve = caller::serve(Rc::clone(&node), stream, client);
        drop(actix_rt::spawn(eviction.guard(serve)));
    }
}

/// Answers readiness probes of the platform: 200 if this VM accepts new callers, otherwise 503.
async fn serve_readiness(node: Rc<Node>, listener: TcpListener) {
    loop {
        let (stream, _, client) = net::accept(&listener, &node.account, Kind::Probe).await;
        let node = Rc::clone(&node);
        let eviction = client.eviction();
        actix_rt::spawn(eviction.guard(async move {
            let mut connection = Connection::with_client(stream, client);
            while let Ok(Some(head)) = connection
                .read_request(MAX_PROBE_HEAD_BYTES, PROBE_HEAD_TIMEOUT, PROBE_HEAD_TIMEOUT)
                .await
            {
                let status = if node.is_ready() { 200 } else { 503 };
                let response = http::encode_response(status, "", b"", head.closes);
                connection.set_stage(Stage::Writing);
                if connection.write(&response).await.is_err() || head.closes {
                    return;
                }
            }
        }));
    }
}

/// Drains the process without interrupting requests. It first reports that it is not ready, so that new
/// callers go elsewhere, then closes idle connections, and returns when all requests have ended or the
/// grace period is over.
async fn drain(node: &Node, grace: Duration) {
    let drain_time = grace.saturating_sub(EXIT_MARGIN);
    let deadline = primrosepin_process::now() + drain_time;
    log::info!(pending = node.pending(), grace_ms = grace.as_millis() as u64; "entry stopping");
    node.phase.send_replace(Phase::Draining);
    sleep(READINESS_DRAIN_TIME.min(grace / 2)).await;
    // From here on a request is accepted only if it can finish before the process exits.
    node.apply(Event::ShuttingDown { until: deadline });
    node.phase.send_replace(Phase::Closing);
    /// Interval at which the number of pending requests is checked.
    const CHECK_INTERVAL: Duration = Duration::from_millis(50);
    // Lets connections that close at the change of phase deliver their last responses.
    sleep(CHECK_INTERVAL).await;
    while node.pending() > 0 && primrosepin_process::now() < deadline {
        sleep(CHECK_INTERVAL).await;
    }
}
