//! Directory of targets and links to entry VMs.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use primrosepin_control::replica::Replica;
use primrosepin_core::fleet::{Announcement, Directory, Entry, Renewal, State};
use primrosepin_core::time::Instant;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use super::peers::Peers;
use super::quarantine::Quarantine;
use super::relay::{Acknowledgement, Relays};
use crate::account::{Client, Stage};
use crate::message::{EntryVm, Message};
use crate::{link, metrics};

/// Identifies a link within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LinkId(u64);

#[derive(Debug)]
struct EntryLink {
    entry_vm: EntryVm,
    outgoing: mpsc::Sender<Message>,
}

/// State of a control process: the directory of targets and the links to entry VMs, which it keeps
/// informed.
pub(super) struct Hub {
    /// Availability zone of this VM.
    zone: Arc<str>,
    pub(super) replica: Replica,
    /// Link address of this VM.
    address: SocketAddr,
    pub(super) peers: Peers,
    pub(super) relays: Rc<Relays>,
    pub(super) instruments: metrics::Control,
    directory: RefCell<Directory>,
    links: RefCell<BTreeMap<LinkId, EntryLink>>,
    next_link: Cell<u64>,
    /// Unchanged announcements, with their arrival times, that await the next batch.
    renewals: RefCell<Vec<(Announcement, Instant)>>,
    roster_outdated: Cell<bool>,
    pub(super) quarantine: RefCell<Quarantine>,
}

impl Hub {
    pub(super) fn new(
        zone: Arc<str>,
        address: SocketAddr,
        replica: Replica,
        peers: Peers,
        relays: Rc<Relays>,
        instruments: metrics::Control,
    ) -> Self {
        Self {
            zone,
            replica,
            address,
            peers,
            relays,
            instruments,
            directory: RefCell::default(),
            links: RefCell::default(),
            next_link: Cell::new(0),
            renewals: RefCell::default(),
            roster_outdated: Cell::new(false),
            quarantine: RefCell::default(),
        }
    }

    /// Records an announcement. Entry VMs receive changes immediately and unchanged announcements with
    /// the next [`Hub::flush`]. Returns whether it was newer than the known one.
    pub(super) fn announce(&self, announcement: Announcement, age_ms: u64) -> bool {
        let now = primrosepin_process::now();
        let received_at = now - Duration::from_millis(age_ms);
        let mut directory = self.directory.borrow_mut();
        let previous = directory
            .id(&announcement.name)
            .and_then(|id| directory.get(id))
            .cloned();
        if directory
            .announce(received_at, announcement.clone())
            .is_none()
        {
            return false;
        }
        drop(directory);
        let unchanged = previous.as_ref().is_some_and(|previous| {
            previous.state == announcement.state
                && previous.started_ms == announcement.started_ms
                && previous.address == announcement.address
                && previous.cold_ms == 0
                && announcement.cold_ms == 0
        });
        if unchanged {
            self.renewals.borrow_mut().push((announcement, received_at));
        } else {
            log::info!(
                target_name = &*announcement.name, service = &*announcement.service,
                zone = &*announcement.zone, state = state_name(announcement.state),
                sequence = announcement.sequence, cold_ms = announcement.cold_ms;
                "target announced"
            );
            let entry = Entry {
                announcement,
                age_ms,
            };
            self.broadcast(&Message::Targets(vec![entry]));
        }
        true
    }

    /// Marks a target as gone and tells entry VMs so by its name: they may know a target, or a later start of
    /// it, that this VM does not. Returns what tells the other control VMs.
    pub(super) fn withdraw(&self, name: &str) -> Entry {
        let now = primrosepin_process::now();
        let mut directory = self.directory.borrow_mut();
        let was_present = directory.withdraw(now, name).is_some();
        let known = directory.id(name).and_then(|id| directory.get(id)).cloned();
        drop(directory);
        log::info!(target_name = name, known = known.is_some(), was_present = was_present; "target withdrawn");
        let new_entry = |announcement| Entry {
            announcement,
            age_ms: 0,
        };
        let mut entries = vec![new_entry(Announcement::withdrawal(name))];
        entries.extend(known.map(new_entry));
        self.broadcast(&Message::Targets(entries.clone()));
        entries.swap_remove(entries.len() - 1)
    }

    /// Returns whether any entry VM is linked.
    pub(super) fn has_entry_vms(&self) -> bool {
        !self.links.borrow().is_empty()
    }

    /// Relays an announcement to the other control VMs.
    pub(super) fn relay_to_control(&self, number: u64, entry: &Entry) {
        for address in self.replica.member_addresses() {
            if address != self.address {
                let entry = entry.clone();
                self.peers.send(address, Message::Relay { number, entry });
            }
        }
    }

    /// Relays an announcement to the linked entry VMs, and returns their links.
    pub(super) fn relay_to_entry_vms(&self, number: u64, entry: &Entry) -> BTreeSet<LinkId> {
        let links = self.links.borrow();
        for link in links.values() {
            let entry = entry.clone();
            self.send(&link.outgoing, Message::Relay { number, entry });
        }
        links.keys().copied().collect()
    }

    /// Sends batched announcements and a changed roster to entry VMs, and drops expired targets.
    pub(super) fn flush(&self) {
        let now = primrosepin_process::now();
        let renewals = std::mem::take(&mut *self.renewals.borrow_mut());
        if !renewals.is_empty() {
            let renewal = |(announcement, received_at): &(Announcement, Instant)| {
                Renewal::new(announcement, now.since(*received_at).as_millis() as u64)
            };
            self.broadcast(&Message::Renewals(renewals.iter().map(renewal).collect()));
        }
        if self.roster_outdated.replace(false) {
            let roster = self.roster();
            self.broadcast(&roster);
        }
        self.directory.borrow_mut().expire(now);
    }

    /// Makes the next [`Hub::flush`] broadcast the roster.
    pub(super) fn mark_roster_outdated(&self) {
        self.roster_outdated.set(true);
    }

    fn roster(&self) -> Message {
        let links = self.links.borrow();
        let entry_vms = links.values().map(|link| link.entry_vm.clone());
        Message::Roster {
            zone: Arc::clone(&self.zone),
            entry_vms: entry_vms.collect(),
            control_vms: self.replica.member_addresses(),
        }
    }

    /// Builds a message with the revision that this VM has applied: a response if `request_sent_us` is
    /// given, or a notification.
    pub(super) fn revision(&self, request_sent_us: Option<u64>) -> Message {
        // Reads the age before the revision: a revision applied in between is then newer than the age
        // claims, never older.
        let quorum_at = self.replica.last_quorum_contact();
        let age = quorum_at.map(|at| primrosepin_process::now().since(at).as_micros() as u64);
        Message::Revision {
            request_sent_us,
            quorum_age_us: age,
            revision: self.replica.published().revision,
        }
    }

    pub(super) fn broadcast(&self, message: &Message) {
        for link in self.links.borrow().values() {
            self.send(&link.outgoing, message.clone());
        }
    }

    /// Notifies all entry VMs of the revision that this VM has applied.
    pub(super) fn broadcast_revision(&self) {
        self.broadcast(&self.revision(None));
    }

    fn send(&self, outgoing: &mpsc::Sender<Message>, message: Message) {
        if outgoing.try_send(message).is_err() {
            self.instruments.dropped_messages.add(1, &[]);
        }
    }

    /// Sends the announcements of all targets.
    fn send_targets(&self, outgoing: &mpsc::Sender<Message>) {
        let entries = self.directory.borrow().entries(primrosepin_process::now());
        self.send(outgoing, Message::Targets(entries));
    }

    /// Updates the gauges.
    pub(super) fn record_gauges(&self) {
        self.instruments
            .entry_vms
            .record(self.links.borrow().len() as u64, &[]);
    }

    /// Serves a link that another process opened, until it ends.
    pub(super) async fn serve(self: Rc<Self>, stream: TcpStream, peer: SocketAddr, client: Client) {
        crate::net::set_options(&stream);
        // The account may close it until its first message shows that it is a process of the deployment.
        client.set_stage(Stage::Reading);
        let (outgoing, queue) = mpsc::channel(link::QUEUE_MESSAGES);
        let id = LinkId(self.next_link.get());
        self.next_link.set(id.0 + 1);
        let ended = link::run(stream, client.share(), queue, |message| {
            client.set_stage(Stage::Busy);
            self.handle_message(id, &outgoing, message);
        })
        .await;
        let link = self.links.borrow_mut().remove(&id);
        if let Some(link) = link {
            let cause = ended
                .err()
                .map_or_else(|| "closed".into(), |error| format!("{error:#}"));
            log::warn!(entry = &*link.entry_vm.vm, cause = cause; "link to entry VM lost");
            self.mark_roster_outdated();
        } else if let Err(error) = ended {
            log::debug!("link from {peer} ended: {error:#}");
        }
    }

    fn handle_message(&self, id: LinkId, outgoing: &mpsc::Sender<Message>, message: Message) {
        match message {
            Message::Hello(entry_vm) => {
                log::info!(entry = &*entry_vm.vm; "link to entry VM opened");
                let link = EntryLink {
                    entry_vm,
                    outgoing: outgoing.clone(),
                };
                self.links.borrow_mut().insert(id, link);
                // The roster tells the zone, which decides from whom the configuration is fetched.
                self.send(outgoing, self.roster());
                self.send_targets(outgoing);
                self.send(outgoing, self.revision(None));
                self.send(outgoing, self.quarantine.borrow().rules_message());
                self.send(outgoing, self.quarantine.borrow().suspects_message());
                self.mark_roster_outdated();
            }
            Message::RevisionRequest { request_sent_us } => {
                self.send(outgoing, self.revision(Some(request_sent_us)));
            }
            Message::TargetsRequest => {
                self.send_targets(outgoing);
            }
            Message::ConfigRequest => {
                let published = self.replica.published();
                let config = Message::Config {
                    revision: published.revision,
                    document: published.document,
                    zones_out: published.zones_out,
                };
                self.send(outgoing, config);
            }
            Message::Crashes(crashes) => {
                let now = primrosepin_process::now();
                self.quarantine.borrow_mut().record_crashes(now, crashes);
            }
            Message::Answered(parts) => {
                let now = primrosepin_process::now();
                self.quarantine.borrow_mut().record_answered(now, &parts);
            }
            Message::Alive(processes) => {
                let now = primrosepin_process::now();
                self.quarantine.borrow_mut().withdraw(now, &processes);
            }
            Message::Consensus(message) => self.replica.receive(message),
            Message::Relay { number, entry } => {
                if entry.announcement.state == State::Gone {
                    self.withdraw(&entry.announcement.name);
                }
                if !entry.announcement.is_withdrawal() {
                    self.announce(entry.announcement, entry.age_ms);
                }
                // Without entry VMs, this VM cannot tell those that route.
                if self.has_entry_vms() {
                    self.send(outgoing, Message::RelayAck { number });
                }
            }
            Message::RelayAck { number } => {
                self.relays.acknowledge(number, Acknowledgement::Entry(id));
            }
            Message::Heartbeat
            | Message::Suspects(_)
            | Message::Quarantine(_)
            | Message::Revision { .. }
            | Message::Config { .. }
            | Message::Targets(_)
            | Message::Renewals(_)
            | Message::Roster { .. }
            | Message::Retained(_)
            | Message::LoadReport { .. }
            | Message::Paces { .. }
            | Message::TunnelRequest { .. }
            | Message::TunnelAnswer(_)
            | Message::Planner { .. }
            | Message::OrderReport { .. } => {}
        }
    }
}

fn state_name(state: State) -> &'static str {
    match state {
        State::Ready => "ready",
        State::Draining => "draining",
        State::Gone => "gone",
    }
}
