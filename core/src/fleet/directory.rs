//! Directory of the region's targets, built from their announcements.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Instant;

/// Time without an announcement after which a target gets no new work. Targets announce themselves
/// about every 1.2 s, so three announcements in a row are missing by then.
pub const ANNOUNCEMENT_LEASE: Duration = Duration::from_millis(4_500);

/// How long a target is remembered after it was last heard, so that a delayed announcement of a
/// target that left does not bring it back. It exceeds the longest delay of an announcement that
/// the platform specifies.
const TOMBSTONE_TTL: Duration = Duration::from_mins(2);

/// Time for which announcements of a target are ignored after it was withdrawn where its current start was
/// not known: one that is still under way cannot be told from one of a later start.
const WITHDRAWAL_HOLD: Duration = Duration::from_secs(10);

/// Time after a withdrawal within which another one of the same target is a copy of it.
const WITHDRAWAL_COPIES: Duration = Duration::from_secs(5);

/// Maximum number of names that are held at the same time.
const MAX_HELD_NAMES: usize = 1_024;

/// Longest time for which a target is believed that it takes no work.
const MAX_CLOSED_TIME: Duration = Duration::from_mins(10);

/// What the answer of a target says about new work from this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Notice {
    /// The target leaves.
    Leaving,
    /// The target takes no work for this time.
    Closed(Duration),
}

/// State that a target announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Accepts new work.
    Ready,
    /// Finishes its running work, accepts no new work and then leaves.
    Draining,
    /// Has left.
    Gone,
}

/// State of a target as the target announces it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// Unique name of the running target. A restarted target usually has a new name.
    pub name: Arc<str>,
    /// Service that it serves.
    pub service: Arc<str>,
    /// Address that takes requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it accepts work.
    pub state: State,
    /// Remaining time of its cold start, ms.
    pub cold_ms: u64,
    /// Wall-clock time at which it started, ms; zero if it is unknown.
    pub started_ms: u64,
    /// Increases with each announcement since the target started.
    pub sequence: u64,
}

impl Announcement {
    /// Creates the withdrawal of a target by its name alone, whichever start of it a receiver knows.
    pub fn withdrawal(name: &str) -> Self {
        Self {
            name: name.into(),
            service: Arc::default(),
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            zone: Arc::default(),
            slots: 0,
            state: State::Gone,
            cold_ms: 0,
            started_ms: 0,
            sequence: 0,
        }
    }

    /// Returns whether this is the withdrawal of a target by its name alone.
    pub fn is_withdrawal(&self) -> bool {
        self.state == State::Gone && self.sequence == 0
    }

    fn recency(&self) -> (u64, bool, u64) {
        // The end of a target orders after all announcements since the same start.
        (self.started_ms, self.state == State::Gone, self.sequence)
    }
}

/// An announcement with its age.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The announcement.
    pub announcement: Announcement,
    /// Time since the announcement arrived at the first VM that received it, ms.
    pub age_ms: u64,
}

/// A repeated announcement in which nothing changed, without what is known from the earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// Hash of the target's name.
    pub name_hash: u64,
    /// Wall-clock time at which the target started, ms.
    pub started_ms: u64,
    /// Sequence number of the announcement.
    pub sequence: u64,
    /// Announced state. A receiver that knows another one has missed an announcement.
    pub state: State,
    /// Time since the announcement arrived at the first VM that received it, ms.
    pub age_ms: u64,
}

impl Renewal {
    /// Creates the renewal for an announcement that is `age_ms` old.
    pub fn new(announcement: &Announcement, age_ms: u64) -> Self {
        Self {
            name_hash: xxhash_rust::xxh3::xxh3_64(announcement.name.as_bytes()),
            started_ms: announcement.started_ms,
            sequence: announcement.sequence,
            state: announcement.state,
            age_ms,
        }
    }
}

/// Process-local ID of a target, an index into the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Target(pub u32);

#[derive(Debug, Clone)]
pub(super) struct Record {
    pub(super) announcement: Announcement,
    /// When the newest announcement arrived.
    pub(super) heard: Instant,
    /// End of the cold start.
    pub(super) cold_until: Instant,
    /// Hash of the name. It gives all VMs the same order of targets.
    pub(super) name_hash: u64,
    /// What this VM heard from the target itself since it started.
    notice: Notices,
}

/// What a target has told this VM about new work in its answers.
#[derive(Debug, Clone, Copy, Default)]
struct Notices {
    /// It leaves, whether or not it announces so.
    leaving: bool,
    /// It takes no work from this VM before this time.
    closed_until: Instant,
}

impl Record {
    /// Returns whether the target takes new work.
    pub(super) fn usable(&self, now: Instant) -> bool {
        self.announcement.state == State::Ready
            && now.since(self.heard) < ANNOUNCEMENT_LEASE
            && !self.notice.leaving
            && now >= self.notice.closed_until
    }
}

/// All known targets of the region.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    ids: HashMap<Arc<str>, Target>,
    by_hash: HashMap<u64, Target>,
    records: Vec<Option<Record>>,
    /// Names whose announcements are ignored for [`WITHDRAWAL_HOLD`], with the time of the withdrawal.
    held: HashMap<Arc<str>, Instant>,
}

impl Directory {
    /// Records an announcement that arrived at `heard`; returns the ID of the target if the
    /// announcement is newer than the known one.
    pub fn announce(&mut self, heard: Instant, announcement: Announcement) -> Option<Target> {
        if announcement.state != State::Gone && self.is_held(heard, &announcement.name) {
            return None;
        }
        let id = self.ids.get(&announcement.name).copied();
        if let Some(id) = id
            && let Some(record) = &mut self.records[id.0 as usize]
        {
            if announcement.recency() <= record.announcement.recency() {
                return None;
            }
            if announcement.started_ms != record.announcement.started_ms {
                record.notice = Notices::default();
            }
            record.heard = record.heard.max(heard);
            record.cold_until = heard + Duration::from_millis(announcement.cold_ms);
            record.announcement = announcement;
            return Some(id);
        }
        if self.is_superseded(&announcement) {
            return None;
        }
        let id = Target(self.records.len() as u32);
        let name_hash = xxhash_rust::xxh3::xxh3_64(announcement.name.as_bytes());
        self.ids.insert(Arc::clone(&announcement.name), id);
        self.by_hash.insert(name_hash, id);
        self.records.push(Some(Record {
            heard,
            cold_until: heard + Duration::from_millis(announcement.cold_ms),
            name_hash,
            announcement,
            notice: Notices::default(),
        }));
        Some(id)
    }

    /// Records a repeated announcement of a known target; returns false if the target is unknown, has
    /// started again or is in another state, so that its full announcement is needed.
    pub fn renew(&mut self, now: Instant, renewal: &Renewal) -> bool {
        let Some(id) = self.by_name_hash(renewal.name_hash) else {
            return false;
        };
        let Some(Some(record)) = self.records.get_mut(id.0 as usize) else {
            return false;
        };
        let known = &mut record.announcement;
        if renewal.started_ms > known.started_ms {
            return false;
        }
        let is_newer = renewal.started_ms == known.started_ms
            && renewal.sequence > known.sequence
            && known.state != State::Gone;
        if is_newer && renewal.state != known.state {
            return false;
        }
        if is_newer {
            known.sequence = renewal.sequence;
            record.heard = record
                .heard
                .max(now - Duration::from_millis(renewal.age_ms));
        }
        true
    }

    /// Returns whether a target that started later has the address of an announcement.
    fn is_superseded(&self, announcement: &Announcement) -> bool {
        self.records.iter().flatten().any(|record| {
            let other = &record.announcement;
            other.address == announcement.address
                && other.state != State::Gone
                && other.started_ms > announcement.started_ms
        })
    }

    /// Marks a target as gone; returns its ID if it was known and present. Otherwise the withdrawal may be
    /// that of a start of which only other VMs know, so announcements are ignored for a while.
    pub fn withdraw(&mut self, now: Instant, name: &str) -> Option<Target> {
        let id = self.id(name);
        if let Some(id) = id
            && let Some(Some(record)) = self.records.get_mut(id.0 as usize)
        {
            if record.announcement.state != State::Gone {
                record.announcement.state = State::Gone;
                record.heard = now;
                return Some(id);
            }
            if now.since(record.heard) < WITHDRAWAL_COPIES {
                return None;
            }
        }
        if self.held.len() < MAX_HELD_NAMES {
            self.held.insert(name.into(), now);
        }
        None
    }

    fn is_held(&self, heard: Instant, name: &str) -> bool {
        let withdrawn_at = self.held.get(name);
        withdrawn_at.is_some_and(|at| heard.since(*at) < WITHDRAWAL_HOLD)
    }

    /// Records what a target says about new work, until it starts again.
    pub(super) fn record_notice(&mut self, now: Instant, target: Target, notice: Notice) {
        let Some(Some(record)) = self.records.get_mut(target.0 as usize) else {
            return;
        };
        match notice {
            Notice::Leaving => record.notice.leaving = true,
            Notice::Closed(time) => {
                let until = now + time.min(MAX_CLOSED_TIME);
                record.notice.closed_until = record.notice.closed_until.max(until);
            }
        }
    }

    /// Sets when a target was last heard. Its next announcement makes it usable again.
    pub(super) fn set_last_heard(&mut self, target: Target, heard: Instant) {
        if let Some(Some(record)) = self.records.get_mut(target.0 as usize) {
            record.heard = heard;
        }
    }

    /// Removes targets that were last heard more than [`TOMBSTONE_TTL`] ago, so that the directory
    /// stays bounded.
    pub fn expire(&mut self, now: Instant) {
        self.held.retain(|_, at| now.since(*at) < WITHDRAWAL_HOLD);
        for slot in &mut self.records {
            if let Some(record) = slot
                && now.since(record.heard) > TOMBSTONE_TTL
            {
                self.ids.remove(&record.announcement.name);
                self.by_hash.remove(&record.name_hash);
                *slot = None;
            }
        }
    }

    /// Returns the ID of a target by its name.
    pub fn id(&self, name: &str) -> Option<Target> {
        self.ids.get(name).copied()
    }

    /// Returns the announcement of a target.
    pub fn get(&self, target: Target) -> Option<&Announcement> {
        Some(&self.record(target)?.announcement)
    }

    pub(super) fn record(&self, target: Target) -> Option<&Record> {
        self.records.get(target.0 as usize)?.as_ref()
    }

    /// Returns a target by the hash of its name.
    pub(super) fn by_name_hash(&self, name_hash: u64) -> Option<Target> {
        self.by_hash.get(&name_hash).copied()
    }

    pub(super) fn records(&self) -> impl Iterator<Item = (Target, &Record)> {
        let numbered = self.records.iter().enumerate();
        numbered.filter_map(|(index, record)| Some((Target(index as u32), record.as_ref()?)))
    }

    /// Returns all announcements with their ages, to initialise a process that starts.
    pub fn entries(&self, now: Instant) -> Vec<Entry> {
        self.records()
            .map(|(_, record)| Entry {
                announcement: record.announcement.clone(),
                age_ms: now.since(record.heard).as_millis() as u64,
            })
            .collect()
    }

    /// Returns whether a target that has not left has this address.
    pub fn has_address(&self, address: SocketAddr) -> bool {
        self.records().any(|(_, record)| {
            let announcement = &record.announcement;
            announcement.address == address && announcement.state != State::Gone
        })
    }

    /// Returns the addresses of the targets that take new work.
    pub fn usable_addresses(&self, now: Instant) -> impl Iterator<Item = SocketAddr> {
        let usable = self.records().filter(move |(_, record)| record.usable(now));
        usable.map(|(_, record)| record.announcement.address)
    }

    /// Returns whether a target takes new work.
    pub fn is_usable(&self, now: Instant, name: &str) -> bool {
        let record = self.id(name).and_then(|id| self.record(id));
        record.is_some_and(|record| record.usable(now))
    }

    /// Returns the number of targets that take new work.
    pub fn usable(&self, now: Instant) -> usize {
        self.records()
            .filter(|(_, record)| record.usable(now))
            .count()
    }
}
