//! The control process as a whole.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use primrosepin_control::replica::{self, Replica};
use primrosepin_process::{Hangup, Shutdown};
use primrosepin_telemetry::metrics::Metrics;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{interval, sleep, timeout};

use super::calls::{self, Context};
use super::hub::Hub;
use super::peers::{self, Peers};
use crate::protocol::Protocol;
use crate::settings::Core;
use crate::{metrics, net};

/// Interval at which renewed announcements are told to entry VMs.
const FLUSH: Duration = Duration::from_millis(300);

/// Time in which the last messages leave before the process ends.
const LINGER: Duration = Duration::from_millis(150);

/// Longest time for the replica to hand over leadership.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs a control process until it is told to stop.
pub async fn run(
    settings: Core,
    protocol: Arc<dyn Protocol>,
    mut hangup: Hangup,
) -> eyre::Result<()> {
    let shutdown = Shutdown::new()?;
    let common = settings.common.clone();
    let own = common.address();
    let links = net::listen(own).wrap_err_with(|| format!("cannot listen on {own}"))?;
    let callers = net::listen(settings.calls)
        .wrap_err_with(|| format!("cannot listen on {}", settings.calls))?;
    let registry = Metrics::new("control", &common.vm, &common.zone)?;
    let (outgoing, to_send) = mpsc::unbounded_channel();
    let name = |address: SocketAddr| Arc::<str>::from(address.to_string());
    let seeds = common
        .seeds
        .iter()
        .map(|ip| SocketAddr::new(*ip, common.port));
    // A replica is named by its address: that of its successor on the same VM is the same, and one
    // elsewhere is another replica.
    let (replica, ended) = Replica::start(
        replica::Settings {
            data: settings.data.clone(),
            vm: name(own),
            address: own,
            replicas: seeds.map(|address| (name(address), address)).collect(),
            bootstrap: settings.bootstrap,
        },
        &registry,
        outgoing,
    )?;
    let peers = Peers::default();
    let (sent, all_sent) = oneshot::channel();
    actix_rt::spawn(peers::send_log(peers.clone(), to_send, sent));
    let hub = Rc::new(Hub::new(
        replica.clone(),
        peers,
        metrics::Control::new(&registry),
    ));
    let refreshed = Rc::clone(&hub);
    metrics::spawn_server(common.metrics, registry, move || refreshed.refresh());
    log::info!(
        vm = &*common.vm, zone = &*common.zone, seeds = common.seeds.len(),
        bootstrap = settings.bootstrap; "control started"
    );
    let context = Rc::new(Context {
        hub: Rc::clone(&hub),
        protocol,
        own,
        port: settings.calls.port(),
        call_timeout: settings.call_timeout,
    });
    actix_rt::spawn(accept_links(Rc::clone(&hub), links));
    actix_rt::spawn(accept_calls(context, callers));
    actix_rt::spawn(flush(Rc::clone(&hub)));
    actix_rt::spawn(spread(Rc::clone(&hub)));
    actix_rt::spawn(async move {
        loop {
            hangup.wait().await;
            // A replica finds the others by its log; the seeds matter only to one that starts.
            log::info!("settings may have changed; a running replica needs none of them");
        }
    });
    shutdown.wait().await;
    log::info!(vm = &*common.vm; "control stops");
    replica.stop();
    // The process is killed if the disk stands still for longer.
    drop(timeout(STOP_TIMEOUT, ended).await);
    drop(timeout(LINGER, all_sent).await);
    sleep(LINGER).await;
    log::info!(vm = &*common.vm; "control stopped");
    Ok(())
}

async fn accept_links(hub: Rc<Hub>, listener: TcpListener) {
    loop {
        let (stream, peer) = net::accept(&listener).await;
        actix_rt::spawn(Rc::clone(&hub).serve(stream, peer));
    }
}

async fn accept_calls(context: Rc<Context>, listener: TcpListener) {
    loop {
        let (stream, _) = net::accept(&listener).await;
        actix_rt::spawn(calls::serve(Rc::clone(&context), stream));
    }
}

async fn flush(hub: Rc<Hub>) {
    let mut ticks = interval(FLUSH);
    loop {
        ticks.tick().await;
        hub.flush();
    }
}

/// Tells entry VMs of each new revision, and of changes of the members.
async fn spread(hub: Rc<Hub>) {
    let mut changes = hub.replica.changes();
    let (mut revision, mut members) = (0, Vec::new());
    let mut term = hub.replica.term();
    while changes.changed().await {
        let applied = hub.replica.published().revision;
        if applied != revision {
            revision = applied;
            log::info!(revision = revision; "revision applied");
            hub.broadcast_revision();
        }
        let now = hub.replica.members();
        if now != members {
            log::info!(members = format!("{now:?}"); "members of control changed");
            members = now;
            hub.roster_changed();
        }
        let role = hub.replica.term();
        if role != term {
            term = role;
            log::info!(term = role.0, role = format!("{:?}", role.1); "role changed");
        }
    }
}
