//! Links to control VMs.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use primrosepin_core::fleet::Event;
use primrosepin_core::time::Instant;
use tokio::sync::mpsc;
use tokio::time::{interval, sleep};

use super::node::{Link, Node};
use crate::account::{Kind, Stage};
use crate::message::{EntryVm, Message};
use crate::{document, link, net};

/// Interval of revision requests. Each response confirms that the configuration is current.
const REVISION_REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum interval between two requests for all announcements.
const MIN_TARGETS_REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which missing links are opened.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Delay before reconnecting to a control VM.
const RECONNECT_DELAY: Duration = Duration::from_millis(250);

/// Time limit for opening a connection to a control VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Keeps a link to every known control VM; never returns.
pub(super) async fn run(node: Rc<Node>) {
    let running = Rc::new(std::cell::RefCell::new(BTreeSet::<IpAddr>::new()));
    let mut ticks = interval(CHECK_INTERVAL);
    loop {
        ticks.tick().await;
        for ip in control_vms(&node) {
            if running.borrow_mut().insert(ip) {
                let (node, running) = (Rc::clone(&node), Rc::clone(&running));
                actix_rt::spawn(async move {
                    run_link(&node, ip).await;
                    sleep(RECONNECT_DELAY).await;
                    running.borrow_mut().remove(&ip);
                });
            }
        }
    }
}

/// Returns the seed control VMs and those in the rosters of open links.
fn control_vms(node: &Node) -> BTreeSet<IpAddr> {
    let links = node.links.borrow();
    let named = links
        .values()
        .flat_map(|link| link.control_vms.iter().map(SocketAddr::ip));
    named.chain(node.seeds.borrow().iter().copied()).collect()
}

/// Connects to a control VM and runs the link until it ends.
async fn run_link(node: &Rc<Node>, ip: IpAddr) {
    let common = &node.settings.common;
    let address = SocketAddr::new(ip, common.port);
    let client = node.account.open(Kind::Link);
    client.set_stage(Stage::Busy);
    let stream = match net::connect(address, CONNECT_TIMEOUT).await {
        Ok(stream) => stream,
        Err(error) => {
            log::debug!("cannot connect to control VM {address}: {error}");
            return;
        }
    };
    let (outgoing, queue) = mpsc::channel(link::QUEUE_MESSAGES);
    let hello = Message::Hello(EntryVm {
        vm: Arc::clone(&common.vm),
        zone: Arc::clone(&common.zone),
        address: common.address(),
    });
    // Cannot fail: the queue is empty and its receiver exists.
    drop(outgoing.try_send(hello));
    let crashes = node.recent_crashes();
    if !crashes.is_empty() {
        // Cannot fail: the queue has room for two messages.
        drop(outgoing.try_send(Message::Crashes(crashes)));
    }
    let entry = Link {
        outgoing: outgoing.clone(),
        zone: None,
        entry_vms: Vec::new(),
        control_vms: Vec::new(),
    };
    node.links.borrow_mut().insert(ip, entry);
    log::info!(control = address.to_string(); "link to control VM opened");
    let requester = actix_rt::spawn(request_revisions(outgoing));
    let handle = |message| handle_message(node, ip, message);
    let ended = link::run(stream, client.share(), queue, handle).await;
    requester.abort();
    node.links.borrow_mut().remove(&ip);
    node.fetch.borrow_mut().lost(ip);
    let cause = ended
        .err()
        .map_or_else(|| "closed".into(), |error| format!("{error:#}"));
    log::warn!(control = address.to_string(), cause = cause; "link to control VM lost");
}

/// Requests the current revision periodically.
async fn request_revisions(outgoing: mpsc::Sender<Message>) {
    let mut ticks = interval(REVISION_REQUEST_INTERVAL);
    loop {
        ticks.tick().await;
        let request_sent_us = primrosepin_process::now().as_micros();
        // Dropped if the queue is full because the link is stalled; the next request may succeed.
        drop(outgoing.try_send(Message::RevisionRequest { request_sent_us }));
    }
}

/// Requests the configuration if a newer revision is known and it is time to.
pub(super) fn fetch_config(node: &Node) {
    let now = primrosepin_process::now();
    let applied = node.revision();
    let Some(ip) = node.fetch.borrow_mut().next(now, applied) else {
        return;
    };
    if let Some(link) = node.links.borrow().get(&ip) {
        // Dropped if the queue is full; another control VM is asked after a time without a response.
        drop(link.outgoing.try_send(Message::ConfigRequest));
    }
}

fn handle_message(node: &Rc<Node>, ip: IpAddr, message: Message) {
    match message {
        Message::Revision {
            request_sent_us,
            quorum_age_us,
            revision,
        } => {
            let link = node.links.borrow();
            let zone = link.get(&ip).and_then(|link| link.zone.as_ref());
            let local = zone == Some(&node.settings.common.zone);
            drop(link);
            let now = primrosepin_process::now();
            let applied = node.revision();
            let mut fetch = node.fetch.borrow_mut();
            fetch.heard(now, ip, local, revision, applied);
            drop(fetch);
            fetch_config(node);
            if let (Some(request_sent_us), Some(age_us)) = (request_sent_us, quorum_age_us) {
                node.apply(Event::Confirmed {
                    requested_at: Instant::from_micros(request_sent_us),
                    age: Duration::from_micros(age_us),
                    revision,
                });
            }
        }
        Message::Config {
            revision,
            document,
            zones_out,
        } => {
            let started = std::time::Instant::now();
            if revision <= node.revision() || document.is_empty() {
                let now = primrosepin_process::now();
                let applied = node.revision();
                let mut fetch = node.fetch.borrow_mut();
                fetch.received(now, ip, applied, Duration::ZERO);
                return;
            }
            let config = document::decompress(&document)
                .map_err(|error| format!("{error:#}"))
                .and_then(|document| node.protocol.decode_config(&document));
            match config {
                Ok(config) => {
                    log::info!(
                        revision = revision, version = config.version,
                        routes = config.routes().len(), zones_out = zones_out.len();
                        "configuration in force"
                    );
                    node.apply(Event::Configured {
                        revision,
                        config: config.into(),
                        zones_out,
                    });
                }
                Err(error) => {
                    log::error!(revision = revision; "cannot decode the configuration: {error}");
                }
            }
            let now = primrosepin_process::now();
            let applied = node.revision();
            let mut fetch = node.fetch.borrow_mut();
            fetch.received(now, ip, applied, started.elapsed());
        }
        Message::Targets(entries) => {
            for entry in entries {
                node.apply(Event::Announced(entry));
            }
        }
        Message::Relay { number, entry } => {
            node.apply(Event::Announced(entry));
            if let Some(link) = node.links.borrow().get(&ip) {
                // Dropped if the queue is full; the target's call then fails unless others acknowledge it.
                drop(link.outgoing.try_send(Message::RelayAck { number }));
            }
        }
        Message::Renewals(renewals) => {
            let now = primrosepin_process::now();
            let requested_at = node.targets_requested_at.get();
            if !node.renew(&renewals)
                && now.since(requested_at) >= MIN_TARGETS_REQUEST_INTERVAL
                && let Some(link) = node.links.borrow().get(&ip)
            {
                node.targets_requested_at.set(now);
                // Dropped if the queue is full; the next renewal triggers another request.
                drop(link.outgoing.try_send(Message::TargetsRequest));
            }
        }
        Message::Roster {
            zone,
            entry_vms,
            control_vms,
        } => {
            if let Some(link) = node.links.borrow_mut().get_mut(&ip) {
                link.zone = Some(zone);
                link.entry_vms = entry_vms;
                link.control_vms = control_vms;
            }
            node.update_peers();
        }
        Message::Quarantine(rules) => node.set_quarantine(ip, rules),
        Message::Suspects(parts) => node.apply(Event::Suspected(parts)),
        Message::Heartbeat
        | Message::Crashes(_)
        | Message::Answered(_)
        | Message::Alive(_)
        | Message::TunnelRequest { .. }
        | Message::TunnelAnswer(_)
        | Message::Hello(_)
        | Message::RevisionRequest { .. }
        | Message::ConfigRequest
        | Message::TargetsRequest
        | Message::Consensus(_)
        | Message::RelayAck { .. }
        | Message::Retained(_)
        | Message::LoadReport { .. }
        | Message::Paces { .. }
        | Message::OrderReport { .. }
        | Message::Planner { .. } => {}
    }
}
