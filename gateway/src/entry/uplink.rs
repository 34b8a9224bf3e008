//! Links to the control VMs.

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
use crate::message::{EntryVm, Message};
use crate::{document, link, net};

/// Interval at which the revision is asked for, which renews the freshness of the configuration.
const ASK: Duration = Duration::from_millis(500);

/// Shortest interval between two fetches of the configuration. The next answer of a control VM repeats a
/// revision that was passed over.
const PULL_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which missing links are looked for.
const CHECK: Duration = Duration::from_millis(250);

/// Pause before a control VM is tried again.
const PAUSE: Duration = Duration::from_millis(250);

/// Time for a new connection to a control VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Keeps a link to every control VM that is known.
pub(super) async fn run(node: Rc<Node>) {
    let running = Rc::new(std::cell::RefCell::new(BTreeSet::<IpAddr>::new()));
    let mut ticks = interval(CHECK);
    loop {
        ticks.tick().await;
        for ip in known(&node) {
            if running.borrow_mut().insert(ip) {
                let (node, running) = (Rc::clone(&node), Rc::clone(&running));
                actix_rt::spawn(async move {
                    connect(&node, ip).await;
                    sleep(PAUSE).await;
                    running.borrow_mut().remove(&ip);
                });
            }
        }
    }
}

/// Returns the control VMs of the settings and those that linked ones name.
fn known(node: &Node) -> BTreeSet<IpAddr> {
    let links = node.links.borrow();
    let named = links
        .values()
        .flat_map(|link| link.control_vms.iter().map(SocketAddr::ip));
    named.chain(node.seeds.borrow().iter().copied()).collect()
}

/// Connects to a control VM and runs the link to its end.
async fn connect(node: &Rc<Node>, ip: IpAddr) {
    let common = &node.settings.common;
    let address = SocketAddr::new(ip, common.port);
    let stream = match net::connect(address, CONNECT_TIMEOUT).await {
        Ok(stream) => stream,
        Err(error) => {
            log::debug!("no link to {address}: {error}");
            return;
        }
    };
    let (outgoing, queue) = mpsc::channel(link::QUEUE_MESSAGES);
    let hello = Message::Hello(EntryVm {
        vm: Arc::clone(&common.vm),
        address: common.address(),
    });
    // A new queue has room.
    drop(outgoing.try_send(hello));
    let entry = Link {
        outgoing: outgoing.clone(),
        entry_vms: Vec::new(),
        control_vms: Vec::new(),
    };
    node.links.borrow_mut().insert(ip, entry);
    log::info!(control = address.to_string(); "link to control opened");
    let asker = actix_rt::spawn(ask(outgoing));
    let ended = link::run(stream, queue, |message| take(node, ip, message)).await;
    asker.abort();
    node.links.borrow_mut().remove(&ip);
    let cause = ended
        .err()
        .map_or_else(|| "closed".into(), |error| format!("{error:#}"));
    log::warn!(control = address.to_string(), cause = cause; "link to control lost");
}

/// Asks for the revision again and again.
async fn ask(outgoing: mpsc::Sender<Message>) {
    let mut ticks = interval(ASK);
    loop {
        ticks.tick().await;
        let request_sent_us = primrosepin_process::now().as_micros();
        // A full queue means that the link stands still; the next question may pass.
        drop(outgoing.try_send(Message::RevisionRequest { request_sent_us }));
    }
}

fn take(node: &Rc<Node>, ip: IpAddr, message: Message) {
    match message {
        Message::Revision {
            request_sent_us,
            quorum_age_us,
            revision,
        } => {
            if revision > node.revision() {
                // Changes that come in quick succession are fetched together.
                let pulled = node.pulled_at.get();
                let now = primrosepin_process::now();
                if now.since(pulled) >= PULL_INTERVAL
                    && let Some(link) = node.links.borrow().get(&ip)
                {
                    node.pulled_at.set(now);
                    // The next answer repeats the revision if the queue is full.
                    drop(link.outgoing.try_send(Message::ConfigRequest));
                }
            }
            if let (Some(request_sent_us), Some(age_us)) = (request_sent_us, quorum_age_us) {
                node.apply(Event::Confirmed {
                    asked: Instant::from_micros(request_sent_us),
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
            if revision <= node.revision() || document.is_empty() {
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
                Err(error) => log::error!(revision = revision; "configuration unreadable: {error}"),
            }
        }
        Message::Targets(entries) => {
            for entry in entries {
                node.apply(Event::Announced(entry));
            }
        }
        Message::Roster {
            entry_vms,
            control_vms,
        } => {
            if let Some(link) = node.links.borrow_mut().get_mut(&ip) {
                link.entry_vms = entry_vms;
                link.control_vms = control_vms;
            }
            node.update_peers();
        }
        Message::Heartbeat
        | Message::Hello(_)
        | Message::RevisionRequest { .. }
        | Message::ConfigRequest
        | Message::Consensus(_)
        | Message::Relay { .. }
        | Message::RelayAck { .. }
        | Message::Share { .. }
        | Message::Note { .. } => {}
    }
}
