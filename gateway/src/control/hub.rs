//! Targets and entry VMs as one control VM knows them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use primrosepin_control::replica::Replica;
use primrosepin_core::fleet::{Announcement, Directory, Entry, State};
use primrosepin_core::time::Instant;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use super::peers::Peers;
use crate::message::{EntryVm, Message};
use crate::{link, metrics};

/// Number of a link to an entry VM in one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Id(u64);

#[derive(Debug)]
struct EntryLink {
    entry_vm: EntryVm,
    outgoing: mpsc::Sender<Message>,
}

/// Targets and entry VMs as one control VM knows them.
pub(super) struct Hub {
    pub(super) replica: Replica,
    pub(super) peers: Peers,
    pub(super) instruments: metrics::Control,
    directory: RefCell<Directory>,
    links: RefCell<BTreeMap<Id, EntryLink>>,
    next: Cell<u64>,
    /// Announcements without news that wait to be told together.
    renewals: RefCell<Vec<(Announcement, Instant)>>,
    roster_due: Cell<bool>,
}

impl Hub {
    pub(super) fn new(replica: Replica, peers: Peers, instruments: metrics::Control) -> Self {
        Self {
            replica,
            peers,
            instruments,
            directory: RefCell::default(),
            links: RefCell::default(),
            next: Cell::new(0),
            renewals: RefCell::default(),
            roster_due: Cell::new(false),
        }
    }

    /// Takes an announcement; entry VMs hear of news at once. Returns whether it was the newest.
    pub(super) fn announce(&self, announcement: Announcement, age_ms: u64) -> bool {
        let now = primrosepin_process::now();
        let heard = now - Duration::from_millis(age_ms);
        let mut directory = self.directory.borrow_mut();
        let known = directory
            .id(&announcement.name)
            .and_then(|id| directory.get(id))
            .cloned();
        if directory.announce(heard, announcement.clone()).is_none() {
            return false;
        }
        drop(directory);
        let renewal = known.as_ref().is_some_and(|known| {
            known.state == announcement.state
                && known.started_ms == announcement.started_ms
                && known.address == announcement.address
                && (known.cold_ms == 0) == (announcement.cold_ms == 0)
        });
        if renewal {
            self.renewals.borrow_mut().push((announcement, heard));
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

    /// Marks a target as gone; returns its last announcement with that state, if it was known.
    pub(super) fn withdraw(&self, name: &str) -> Option<Announcement> {
        let now = primrosepin_process::now();
        let mut directory = self.directory.borrow_mut();
        let id = directory.withdraw(now, name)?;
        let announcement = directory.get(id)?.clone();
        drop(directory);
        log::info!(target_name = name; "target left");
        let entry = Entry {
            announcement: announcement.clone(),
            age_ms: 0,
        };
        self.broadcast(&Message::Targets(vec![entry]));
        Some(announcement)
    }

    /// Tells entry VMs of announcements that bring no news, and of changes of the roster.
    pub(super) fn flush(&self) {
        let now = primrosepin_process::now();
        let renewals = std::mem::take(&mut *self.renewals.borrow_mut());
        if !renewals.is_empty() {
            let entry = |(announcement, heard): (Announcement, Instant)| Entry {
                announcement,
                age_ms: now.since(heard).as_millis() as u64,
            };
            self.broadcast(&Message::Targets(renewals.into_iter().map(entry).collect()));
        }
        if self.roster_due.replace(false) {
            let roster = self.roster();
            self.broadcast(&roster);
        }
        self.directory.borrow_mut().expire(now);
    }

    /// Notes that the roster changed.
    pub(super) fn roster_changed(&self) {
        self.roster_due.set(true);
    }

    fn roster(&self) -> Message {
        let links = self.links.borrow();
        let entry_vms = links.values().map(|linked| linked.entry_vm.clone());
        Message::Roster {
            entry_vms: entry_vms.collect(),
            control_vms: self.replica.members(),
        }
    }

    /// Returns the revision that this VM has applied, as an answer or as news.
    pub(super) fn revision(&self, request_sent_us: Option<u64>) -> Message {
        // The age comes first: what is applied later is newer than it says.
        let quorum_at = self.replica.quorum_at();
        let age = quorum_at.map(|at| primrosepin_process::now().since(at).as_micros() as u64);
        Message::Revision {
            request_sent_us,
            quorum_age_us: age,
            revision: self.replica.published().revision,
        }
    }

    fn broadcast(&self, message: &Message) {
        for linked in self.links.borrow().values() {
            self.send(&linked.outgoing, message.clone());
        }
    }

    /// Tells all entry VMs of the revision that this VM has applied.
    pub(super) fn broadcast_revision(&self) {
        self.broadcast(&self.revision(None));
    }

    fn send(&self, outgoing: &mpsc::Sender<Message>, message: Message) {
        if outgoing.try_send(message).is_err() {
            self.instruments.dropped_messages.add(1, &[]);
        }
    }

    /// Sets the gauges.
    pub(super) fn refresh(&self) {
        self.instruments
            .entry_vms
            .record(self.links.borrow().len() as u64, &[]);
    }

    /// Runs a link that another process opened.
    pub(super) async fn serve(self: Rc<Self>, stream: TcpStream, peer: SocketAddr) {
        crate::net::set_options(&stream);
        let (outgoing, queue) = mpsc::channel(link::QUEUE_MESSAGES);
        let id = Id(self.next.get());
        self.next.set(id.0 + 1);
        let ended = link::run(stream, queue, |message| self.take(id, &outgoing, message)).await;
        let linked = self.links.borrow_mut().remove(&id);
        if let Some(linked) = linked {
            let cause = ended
                .err()
                .map_or_else(|| "closed".into(), |error| format!("{error:#}"));
            log::warn!(entry = &*linked.entry_vm.vm, cause = cause; "link to entry VM lost");
            self.roster_changed();
        } else if let Err(error) = ended {
            log::debug!("link of {peer} ended: {error:#}");
        }
    }

    fn take(&self, id: Id, outgoing: &mpsc::Sender<Message>, message: Message) {
        match message {
            Message::Hello(entry_vm) => {
                log::info!(entry = &*entry_vm.vm; "link to entry VM opened");
                let entries = self.directory.borrow().entries(primrosepin_process::now());
                self.send(outgoing, Message::Targets(entries));
                self.send(outgoing, self.revision(None));
                let linked = EntryLink {
                    entry_vm,
                    outgoing: outgoing.clone(),
                };
                self.links.borrow_mut().insert(id, linked);
                self.send(outgoing, self.roster());
                self.roster_changed();
            }
            Message::RevisionRequest { request_sent_us } => {
                self.send(outgoing, self.revision(Some(request_sent_us)))
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
            Message::Consensus(message) => self.replica.receive(message),
            Message::Relay { number, entry } => {
                if entry.announcement.state == State::Gone {
                    self.withdraw(&entry.announcement.name);
                }
                self.announce(entry.announcement, entry.age_ms);
                self.send(outgoing, Message::RelayAck { number });
            }
            Message::Heartbeat
            | Message::Revision { .. }
            | Message::Config { .. }
            | Message::Targets(_)
            | Message::Roster { .. }
            | Message::RelayAck { .. }
            | Message::Share { .. }
            | Message::Note { .. } => {}
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
