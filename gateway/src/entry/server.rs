//! The entry process as a whole.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use primrosepin_core::fleet::Event;
use primrosepin_process::{Hangup, Shutdown};
use primrosepin_telemetry::metrics::Metrics;
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::{interval, sleep, timeout};

use super::node::{Node, Phase};
use super::{caller, uplink};
use crate::http::{self, Connection};
use crate::protocol::Protocol;
use crate::settings::{Front, Source};
use crate::{metrics, net};

/// Interval of the reducer's ticks.
const TICK: Duration = Duration::from_millis(30);

/// Time after the request to stop for which new connections are taken: the platform asks once a second and
/// sends callers elsewhere after two misses.
const LEAVE: Duration = Duration::from_millis(2_950);

/// Time before the end of the grace period at which the process ends by itself.
const MARGIN: Duration = Duration::from_millis(300);

/// Longest head of a question for readiness, bytes, and the time for it.
const READY_HEAD: (usize, Duration) = (8 * 1024, Duration::from_secs(3));

/// Runs an entry process until it is told to stop and its requests have ended. `hangup` tells that the source
/// of the settings has changed.
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
    let callers = net::listen(settings.callers)
        .wrap_err_with(|| format!("cannot listen on {}", settings.callers))?;
    let ready = net::listen(settings.ready)
        .wrap_err_with(|| format!("cannot listen on {}", settings.ready))?;
    let datagrams = UdpSocket::bind(common.address())
        .await
        .wrap_err_with(|| format!("cannot bind {}", common.address()))?;
    let registry = Metrics::new("entry", &common.vm, &common.zone)?;
    let node = Rc::new(Node::new(settings, protocol, registry.clone(), datagrams));
    log::info!(vm = &*common.vm, zone = &*common.zone, seeds = common.seeds.len(); "entry started");
    let refreshed = Rc::clone(&node);
    metrics::spawn_server(common.metrics, registry, move || refreshed.refresh());
    actix_rt::spawn(uplink::run(Rc::clone(&node)));
    let sharing = Rc::clone(&node);
    actix_rt::spawn(async move { sharing.receive_shares().await });
    actix_rt::spawn(tick(Rc::clone(&node)));
    actix_rt::spawn(reload(Rc::clone(&node), source, hangup));
    actix_rt::spawn(answer_ready(Rc::clone(&node), ready));
    actix_rt::spawn(accept(Rc::clone(&node), callers));
    shutdown.wait().await;
    leave(&node, common.grace).await;
    log::info!(vm = &*common.vm, pending = node.pending(); "entry stopped");
    Ok(())
}

async fn tick(node: Rc<Node>) {
    let mut ticks = interval(TICK);
    loop {
        ticks.tick().await;
        node.apply(Event::Tick);
        node.pool.borrow_mut().expire();
    }
}

/// Reads the settings again at each signal, and from time to time, since they may change without one.
async fn reload<S>(node: Rc<Node>, source: S, mut hangup: Hangup)
where
    S: Source,
{
    loop {
        /// Interval without a signal. New seeds matter only once control VMs that are known are lost.
        const INTERVAL: Duration = Duration::from_secs(3);
        let signalled = timeout(INTERVAL, hangup.wait()).await.is_ok();
        match source.seeds() {
            Ok(seeds) => {
                let known = node.seeds.replace(seeds);
                if signalled || known != *node.seeds.borrow() {
                    log::info!(
                        signalled = signalled, seeds = format!("{:?}", node.seeds.borrow());
                        "settings read again"
                    );
                }
            }
            Err(error) => log::warn!("settings cannot be read again: {error:#}"),
        }
    }
}

async fn accept(node: Rc<Node>, listener: TcpListener) {
    loop {
        let (stream, _) = net::accept(&listener).await;
        drop(actix_rt::spawn(caller::serve(Rc::clone(&node), stream)));
    }
}

/// Tells the platform whether this VM takes new callers.
async fn answer_ready(node: Rc<Node>, listener: TcpListener) {
    loop {
        let (stream, _) = net::accept(&listener).await;
        let node = Rc::clone(&node);
        actix_rt::spawn(async move {
            let mut connection = Connection::new(stream);
            while let Ok(Some(head)) = connection
                .read_request(READY_HEAD.0, READY_HEAD.1, READY_HEAD.1)
                .await
            {
                let status = if node.ready() { 200 } else { 503 };
                let answer = http::encode_response(status, "", b"", head.closes);
                if connection.write(&answer).await.is_err() || head.closes {
                    return;
                }
            }
        });
    }
}

/// Stops without cutting a request: new callers go elsewhere first, then open connections close once they
/// have no request, and the process ends when all have been answered.
async fn leave(node: &Node, grace: Duration) {
    let grace_left = grace.saturating_sub(MARGIN);
    let end = primrosepin_process::now() + grace_left;
    log::info!(pending = node.pending(), grace_ms = grace.as_millis() as u64; "entry leaves");
    node.phase.send_replace(Phase::Leaving);
    sleep(LEAVE.min(grace / 2)).await;
    // Callers that still come get an answer only if it can end in time.
    node.apply(Event::ShuttingDown { until: end });
    node.phase.send_replace(Phase::Closing);
    /// Interval at which running requests are looked at.
    const CHECK: Duration = Duration::from_millis(50);
    // Connections that closed together with the phase get their last answers out.
    sleep(CHECK).await;
    while node.pending() > 0 && primrosepin_process::now() < end {
        sleep(CHECK).await;
    }
}
