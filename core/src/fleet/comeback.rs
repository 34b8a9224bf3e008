//! Return of refused requests.
//!
//! A crowd that is refused with one constant retry time returns at one moment, finds no room again and is refused a
//! second time, which costs its callers most. And a request that waited as told has no better place than one that
//! repeats at once. So each VM keeps a [`Book`] of refused requests. A retry time comes from the time in which the
//! region ends what waits, runs and is due to return, and differs between the requests of a crowd. A request that
//! returns at its time gets the place of one that waited; one that returns sooner is not placed before others.
//!
//! Callers retry at other VMs, so peers get the places in bounded messages. Which VM is asked makes no difference
//! once they have arrived; before, the request counts as a new one.
//!
//! # Invariants
//!
//! - An early return does not move the time of the place, in either direction.
//! - A place is used once at a VM, and dropped [`PLACE_LEASE`] after its time.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Organisation;
use crate::fingerprint::Fingerprint;
use crate::time::Instant;

/// Shortest retry time. A new attempt that returns sooner meets the same requests.
pub const MIN_RETRY: Duration = Duration::from_millis(100);

/// Largest part of the time that a caller has left. Callers honour up to a third; the rest allows for the way of the
/// answer to them.
const MAX_LEFT_FRACTION: f64 = 0.3;

/// Part of the time until there is room over which retry times differ even if nothing else returns. VMs that have not
/// heard of each other's refusals compute the same time.
const SPREAD_FRACTION: f64 = 0.25;

/// How much before its time a request may return. Retry times are sent in hundredths of a second.
const EARLY_TOLERANCE: Duration = Duration::from_millis(50);

/// How long after its time a place is kept.
const PLACE_LEASE: Duration = Duration::from_secs(3);

/// Most places that are kept, of this VM and its peers together.
const MAX_PLACES: usize = 4_096;

/// Most places in one message; later messages carry the rest.
const MAX_STATED: usize = 16;

/// Most places that wait to be sent. Older ones are dropped first, since their requests return first.
const MAX_UNSENT: usize = 64;

/// Time in which past ends lose half their weight.
const RATE_HALF_LIFE: Duration = Duration::from_secs(4);

/// Longest time that a peer may state until a request returns. Timeouts of callers are shorter.
const MAX_STATED_WAIT: Duration = Duration::from_mins(1);

/// Identifies a request among the refused ones: what it asks for, and which organisation asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub u32);

impl Key {
    /// Returns the key of a request; none if its fingerprint is not known. All VMs compute the same one.
    pub fn new(fingerprint: Fingerprint, organisation: Option<&Organisation>) -> Option<Self> {
        let caller = organisation.map_or("", |organisation| &organisation.name);
        (fingerprint != Fingerprint::default())
            .then(|| Self(fingerprint.with_caller(caller) as u32))
    }
}

/// Requests that compete for the same room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// They share targets and need a slot.
    Shared,
    /// They need targets without short prompts.
    Exclusive,
}

/// Where a refused request finds room.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Room {
    /// Requests of the same kind that wait in the region.
    pub waiting: f64,
    /// Requests of the kind that the region ends per second.
    pub per_s: f64,
    /// Time that the caller has left.
    pub left: Duration,
}

/// The place of a request that was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// Time until the request was to return; zero if it returned as told.
    pub early: Duration,
}

/// A place as a VM states it to its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// The request.
    pub key: Key,
    /// Time until it returns, ms.
    pub due_ms: u16,
}

/// Ends of requests of one kind in the last seconds.
#[derive(Debug, Clone, Copy, Default)]
struct Ends {
    count: f64,
    total_s: f64,
    at: Instant,
}

impl Ends {
    fn at(self, now: Instant) -> Self {
        let half_lives = now.since(self.at).as_secs_f64() / RATE_HALF_LIFE.as_secs_f64();
        let factor = (-half_lives).exp2();
        Self {
            count: self.count * factor,
            total_s: self.total_s * factor,
            at: now,
        }
    }
}

/// Requests that were refused and may return.
#[derive(Debug, Clone, Default)]
pub struct Book {
    /// When each request is to return.
    places: HashMap<Key, Instant>,
    /// Places that peers have not been told of, oldest first.
    unsent: Vec<Key>,
    shared: Ends,
    exclusive: Ends,
}

impl Book {
    /// Records that a request of this VM ended after `taken` at its target.
    pub fn record_end(&mut self, now: Instant, kind: Kind, taken: Duration) {
        let ends = match kind {
            Kind::Shared => &mut self.shared,
            Kind::Exclusive => &mut self.exclusive,
        };
        *ends = ends.at(now);
        ends.count += 1.0;
        ends.total_s += taken.as_secs_f64();
    }

    /// Returns the mean time of the requests that ended at this VM in the last seconds; `predicted` counts as one end,
    /// so that few ends do not mislead.
    pub fn duration(&self, now: Instant, kind: Kind, predicted: Duration) -> Duration {
        let ends = match kind {
            Kind::Shared => self.shared,
            Kind::Exclusive => self.exclusive,
        };
        let ends = ends.at(now);
        (predicted + Duration::from_secs_f64(ends.total_s)).div_f64(1.0 + ends.count)
    }

    /// Returns the time after which a refused request finds room, and keeps its place. A request that was refused
    /// before and returned early keeps the time that it was given.
    pub fn refuse(&mut self, now: Instant, key: Option<Key>, room: Room) -> Duration {
        let longest = room.left.mul_f64(MAX_LEFT_FRACTION).max(MIN_RETRY);
        if let Some(due) = key.and_then(|key| self.places.get(&key))
            && *due > now + EARLY_TOLERANCE
        {
            return due.since(now).clamp(MIN_RETRY, longest);
        }
        let returning = self.places.values().filter(|due| **due > now).count() as f64;
        let per_s = room.per_s.max(f64::MIN_POSITIVE);
        let seconds = |requests: f64| (requests / per_s).min(longest.as_secs_f64());
        // What waits is served first. What returns is served after it in an order without meaning, so a new place is
        // anywhere among the others.
        let drained = seconds(room.waiting + returning + 1.0);
        let spread = drained - seconds(room.waiting) + drained * SPREAD_FRACTION;
        let mixed = key.map_or(0, |key| u64::from(key.0)) ^ now.as_micros();
        let hash = xxhash_rust::xxh3::xxh3_64(&mixed.to_le_bytes());
        let point = hash as f64 / u64::MAX as f64;
        let wait = Duration::from_secs_f64((drained - spread * point).max(0.0));
        let wait = wait.clamp(MIN_RETRY, longest);
        if let Some(key) = key
            && self.places.len() < MAX_PLACES
        {
            self.places.insert(key, now + wait);
            if self.unsent.len() >= MAX_UNSENT {
                self.unsent.remove(0);
            }
            self.unsent.push(key);
        }
        wait
    }

    /// Returns the place of a request that arrives; none if it is a new one. The place is used up unless the request
    /// is early.
    pub fn claim(&mut self, now: Instant, key: Option<Key>) -> Option<Claim> {
        let key = key?;
        let due = *self.places.get(&key)?;
        let early = due.since(now + EARLY_TOLERANCE);
        if !early.is_zero() {
            return Some(Claim {
                early: due.since(now),
            });
        }
        self.places.remove(&key);
        (now.since(due) < PLACE_LEASE).then_some(Claim {
            early: Duration::ZERO,
        })
    }

    /// Takes over the places that a peer stated.
    pub fn merge(&mut self, now: Instant, places: &[Place]) {
        for place in places.iter().take(MAX_STATED) {
            let wait = Duration::from_millis(place.due_ms.into()).min(MAX_STATED_WAIT);
            if self.places.len() < MAX_PLACES {
                self.places.insert(place.key, now + wait);
            }
        }
    }

    /// Returns places that peers have not been told of; each is stated once.
    pub fn statements(&mut self, now: Instant) -> Vec<Place> {
        let count = self.unsent.len().min(MAX_STATED);
        let unsent = self.unsent.drain(..count);
        let stated = unsent.filter_map(|key| {
            let due = self.places.get(&key)?;
            let due_ms = due.since(now).as_millis().min(u128::from(u16::MAX)) as u16;
            Some(Place { key, due_ms })
        });
        stated.collect()
    }

    /// Drops the places of requests that have not returned.
    pub fn expire(&mut self, now: Instant) {
        self.places.retain(|_, due| now.since(*due) < PLACE_LEASE);
    }

    /// Returns the number of places that are kept.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether no place is kept.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }
}
