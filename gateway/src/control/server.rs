//! Start and shutdown of the control process.

use std::cell::RefCell;
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
use super::quarantine;
use super::relay::Relays;
use crate::account::{Account, Book, Kind};
use crate::protocol::Protocol;
use crate::settings::{Core, Source};
use crate::{metrics, net, reload};

/// Interval at which unchanged announcements and roster changes are sent to entry VMs.
const FLUSH_INTERVAL: Duration = Duration::from_millis(300);

/// Time limit for passing the replica's last messages to the links, and the time that the links then get
/// to send them before the process exits.
const DRAIN_TIME: Duration = Duration::from_millis(150);

/// Time limit for the replica to commit its last commands, hand over its leadership and its vote, and stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(4);

/// Runs a control process until a termination signal arrives. `hangup` signals that `source` may have
/// changed. Fails if it cannot bind its addresses or open its data.
pub async fn run<S>(
    settings: Core,
    source: S,
    protocol: Arc<dyn Protocol>,
    hangup: Hangup,
) -> eyre::Result<()>
where
    S: Source,
{
    let shutdown = Shutdown::new()?;
    let common = settings.common.clone();
    let link_address = common.address();
    let link_listener = net::listen(link_address, Kind::Link)
        .wrap_err_with(|| format!("cannot listen on {link_address}"))?;
    let call_listener = net::listen(settings.calls, Kind::Call)
        .wrap_err_with(|| format!("cannot listen on {}", settings.calls))?;
    let registry = Metrics::new("control", &common.vm, &common.zone)?;
    let (outgoing, log_messages) = mpsc::unbounded_channel();
    let name = |address: SocketAddr| Arc::<str>::from(address.to_string());
    let seeds = common
        .seeds
        .iter()
        .map(|ip| SocketAddr::new(*ip, common.port));
    // Replicas are named by their address: a restarted process on the same VM keeps its name, and a
    // process at another address is a different replica.
    let (replica, ended) = Replica::start(
        replica::Settings {
            data: settings.data.clone(),
            vm: name(link_address),
            address: link_address,
            replicas: seeds.map(|address| (name(address), address)).collect(),
            bootstrap: settings.bootstrap,
            zone: Arc::clone(&common.zone),
            tolerance: settings.tolerance,
        },
        &registry,
        outgoing,
    )?;
    let relays = Rc::<Relays>::default();
    let book = Book::control(common.process, common.clients);
    let account = Account::new(book, common.clients, Some(&registry));
    let peers = Peers::new(Rc::clone(&relays), account.clone());
    let (sent, all_sent) = oneshot::channel();
    actix_rt::spawn(peers::send_log_messages(peers.clone(), log_messages, sent));
    let hub = Rc::new(Hub::new(
        Arc::clone(&common.zone),
        link_address,
        replica.clone(),
        peers,
        relays,
        metrics::Control::new(&registry),
    ));
    let gauge_source = Rc::clone(&hub);
    metrics::spawn_server(common.metrics, registry, account.clone(), move || {
        gauge_source.record_gauges();
    });
    log::info!(
        vm = &*common.vm, zone = &*common.zone, seeds = common.seeds.len(),
        bootstrap = settings.bootstrap; "control started"
    );
    let context = Rc::new(Context {
        hub: Rc::clone(&hub),
        protocol,
        call_port: settings.calls.port(),
        call_timeout: settings.call_timeout,
        document: RefCell::default(),
    });
    let links = accept_links(Rc::clone(&hub), link_listener, account.clone());
    actix_rt::spawn(links);
    actix_rt::spawn(account.clone().measure_lag());
    actix_rt::spawn(accept_calls(context, call_listener, account));
    actix_rt::spawn(flush_periodically(Rc::clone(&hub)));
    actix_rt::spawn(broadcast_changes(Rc::clone(&hub)));
    actix_rt::spawn(quarantine::run(Rc::clone(&hub)));
    let port = common.port;
    let seeds = common.seeds;
    actix_rt::spawn(reload::run(seeds, source, hangup, move |seeds| {
        let addresses = seeds.iter().map(|ip| SocketAddr::new(*ip, port));
        replica.set_listed(addresses.collect());
    }));
    shutdown.wait().await;
    log::info!(vm = &*common.vm; "control stopping");
    hub.replica.stop();
    // Does not wait longer for a stalled disk: the process would be killed.
    drop(timeout(STOP_TIMEOUT, ended).await);
    drop(timeout(DRAIN_TIME, all_sent).await);
    sleep(DRAIN_TIME).await;
    log::info!(vm = &*common.vm; "control stopped");
    Ok(())
}

async fn accept_links(hub: Rc<Hub>, listener: TcpListener, account: Account) {
    loop {
        let (stream, peer, client) = net::accept(&listener, &account, Kind::Link).await;
        let eviction = client.eviction();
        let serve = Rc::clone(&hub).serve(stream, peer, client);
        actix_rt::spawn(eviction.guard(serve));
    }
}

async fn accept_calls(context: Rc<Context>, listener: TcpListener, account: Account) {
    loop {
        let (stream, _, client) = net::accept(&listener, &account, Kind::Call).await;
        let eviction = client.eviction();
        let serve = calls::serve(Rc::clone(&context), stream, client);
        actix_rt::spawn(eviction.guard(serve));
    }
}

async fn flush_periodically(hub: Rc<Hub>) {
    let mut ticks = interval(FLUSH_INTERVAL);
    loop {
        ticks.tick().await;
        hub.flush();
    }
}

/// Notifies entry VMs of each new revision and of membership changes.
async fn broadcast_changes(hub: Rc<Hub>) {
    let mut changes = hub.replica.watch();
    let (mut revision, mut members) = (0, Vec::new());
    let mut term = hub.replica.term_and_role();
    while changes.changed().await {
        let applied = hub.replica.published().revision;
        if applied != revision {
            revision = applied;
            log::info!(revision = revision; "revision applied");
            hub.broadcast_revision();
        }
        let current_members = hub.replica.member_addresses();
        if current_members != members {
            log::info!(members = format!("{current_members:?}"); "control members changed");
            members = current_members;
            hub.mark_roster_outdated();
        }
        let current_term = hub.replica.term_and_role();
        if current_term != term {
            term = current_term;
            log::info!(term = term.0, role = format!("{:?}", term.1); "role changed");
        }
    }
}
