//! Targets by their own announcements.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Instant;

/// Time without an announcement after which a target gets no new work. Announcements come about every
/// 1.2 s, so three in a row are missing.
pub const LEASE: Duration = Duration::from_millis(4_500);

/// Time for which the start of a target that left is remembered, so that a delayed announcement does
/// not bring it back. It exceeds the longest delay of an announcement that the platform names.
const TOMBSTONE: Duration = Duration::from_mins(2);

/// State that a target announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Takes work.
    Ready,
    /// Finishes its work and leaves.
    Draining,
    /// Has left.
    Gone,
}

/// What a target says of itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// Identifies the running target; another start mostly has another name.
    pub name: Arc<str>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// State.
    pub state: State,
    /// Time for which it stays in cold start, ms.
    pub cold_ms: u64,
    /// Wall-clock time of its start, ms; zero if it does not say.
    pub started_ms: u64,
    /// Grows with each announcement of one start.
    pub sequence: u64,
}

impl Announcement {
    fn order(&self) -> (u64, bool, u64) {
        // The end of a start comes after all its announcements.
        (self.started_ms, self.state == State::Gone, self.sequence)
    }
}

/// An announcement with its age at the sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The announcement.
    pub announcement: Announcement,
    /// Time since it arrived at the first process of ours, ms.
    pub age_ms: u64,
}

/// Dense id of a target in one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Target(pub u32);

#[derive(Debug, Clone)]
pub(super) struct Record {
    pub(super) announcement: Announcement,
    /// When the newest announcement arrived.
    pub(super) heard: Instant,
    /// End of the cold start.
    pub(super) cold_until: Instant,
    /// Hash of the name: all VMs order targets alike.
    pub(super) order: u64,
}

impl Record {
    /// Returns whether the target takes new work.
    pub(super) fn usable(&self, now: Instant) -> bool {
        self.announcement.state == State::Ready && now.since(self.heard) < LEASE
    }
}

/// Targets of the region.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    ids: HashMap<Arc<str>, Target>,
    records: Vec<Option<Record>>,
}

impl Directory {
    /// Takes an announcement that arrived at `heard`; returns the id if it changed anything.
    pub fn announce(&mut self, heard: Instant, announcement: Announcement) -> Option<Target> {
        let id = self.ids.get(&announcement.name).copied();
        if let Some(id) = id
            && let Some(record) = &mut self.records[id.0 as usize]
        {
            if announcement.order() <= record.announcement.order() {
                return None;
            }
            record.heard = record.heard.max(heard);
            record.cold_until = heard + Duration::from_millis(announcement.cold_ms);
            record.announcement = announcement;
            return Some(id);
        }
        if self.outdated(&announcement) {
            return None;
        }
        let id = Target(self.records.len() as u32);
        self.ids.insert(Arc::clone(&announcement.name), id);
        self.records.push(Some(Record {
            heard,
            cold_until: heard + Duration::from_millis(announcement.cold_ms),
            order: xxhash_rust::xxh3::xxh3_64(announcement.name.as_bytes()),
            announcement,
        }));
        Some(id)
    }

    /// Returns whether a later start holds the address of an announcement.
    fn outdated(&self, announcement: &Announcement) -> bool {
        self.records.iter().flatten().any(|record| {
            let other = &record.announcement;
            other.address == announcement.address
                && other.state != State::Gone
                && other.started_ms > announcement.started_ms
        })
    }

    /// Marks a target as gone; returns its id if it was known and present.
    pub fn withdraw(&mut self, now: Instant, name: &str) -> Option<Target> {
        let id = *self.ids.get(name)?;
        let record = self.records[id.0 as usize].as_mut()?;
        if record.announcement.state == State::Gone {
            return None;
        }
        record.announcement.state = State::Gone;
        record.heard = now;
        Some(id)
    }

    /// Counts a target as last heard at `heard`; its next announcement brings it back.
    pub(super) fn suspect(&mut self, target: Target, heard: Instant) {
        if let Some(Some(record)) = self.records.get_mut(target.0 as usize) {
            record.heard = heard;
        }
    }

    /// Forgets targets that were silent for long, so that the table stays bounded.
    pub fn expire(&mut self, now: Instant) {
        for slot in &mut self.records {
            if let Some(record) = slot
                && now.since(record.heard) > TOMBSTONE
            {
                self.ids.remove(&record.announcement.name);
                *slot = None;
            }
        }
    }

    /// Returns the id of a target by its name.
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
    pub(super) fn by_order(&self, order: u64) -> Option<Target> {
        let mut records = self.records();
        let found = records.find(|(_, record)| record.order == order);
        found.map(|(target, _)| target)
    }

    pub(super) fn records(&self) -> impl Iterator<Item = (Target, &Record)> {
        let numbered = self.records.iter().enumerate();
        numbered.filter_map(|(index, record)| Some((Target(index as u32), record.as_ref()?)))
    }

    /// Returns all announcements with their age, for a process that starts.
    pub fn entries(&self, now: Instant) -> Vec<Entry> {
        self.records()
            .map(|(_, record)| Entry {
                announcement: record.announcement.clone(),
                age_ms: now.since(record.heard).as_millis() as u64,
            })
            .collect()
    }

    /// Returns the number of targets that take new work.
    pub fn usable(&self, now: Instant) -> usize {
        self.records()
            .filter(|(_, record)| record.usable(now))
            .count()
    }
}
