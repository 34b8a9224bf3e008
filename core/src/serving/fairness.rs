//! Weighted fair queue of waiting requests, by organisation.
//!
//! The organisation with the lowest decayed cost per share goes first. Cost is summed over the
//! entry VMs of the zone. The queue is work-conserving: an organisation whose requests cannot be
//! placed does not block the others.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::inventory;
use crate::membership::Usage;
use crate::request::{Class, Id};
use crate::time::Instant;

/// Interval of [`Queue::decay`].
pub(super) const DECAY_INTERVAL: Duration = Duration::from_millis(250);

/// Factor by which cost decays per interval. It gives a half-life of 10 s.
const DECAY_FACTOR: f64 = 0.982_820_598_545_251_2;

/// Cost in prefill tokens below which an organisation without requests is omitted from heartbeats.
const NEGLIGIBLE_COST: f64 = 1.0;

/// Waiting time that raises a request by one class in the order of scheduling.
pub(super) const AGEING_STEP: Duration = Duration::from_secs(5);

/// Number of requests of one organisation and class that are examined when the first ones cannot be
/// placed.
const LOOKAHEAD: usize = 32;

/// Waiting requests, running requests and cost of each organisation.
#[derive(Debug, Default)]
pub(super) struct Queue {
    organisations: BTreeMap<Arc<str>, Organisation>,
    waiting: usize,
}

#[derive(Debug)]
struct Organisation {
    share: f64,
    max_running: u32,
    running: u32,
    cost: f64,
    peers: PeerUsage,
    /// Indexed by class and ordered by arrival.
    waiting: [BTreeMap<u64, Entry>; 4],
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    request: Id,
    group: u32,
    since: Instant,
}

/// Usage of an organisation at the other entry VMs of the zone.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct PeerUsage {
    pub running: u32,
    pub waiting: u32,
    pub cost: f64,
}

/// Pairs of group and class for which no target was found in the current scheduling pass.
pub(super) type Blocked = smallvec::SmallVec<[(u32, Class); 8]>;

const CLASSES: [Class; 4] = [Class::Short, Class::Medium, Class::Long, Class::Huge];

impl Organisation {
    fn new() -> Self {
        Self {
            share: 1.0,
            max_running: u32::MAX,
            running: 0,
            cost: 0.0,
            peers: PeerUsage::default(),
            waiting: [const { BTreeMap::new() }; 4],
        }
    }

    fn waiting(&self) -> usize {
        self.waiting.iter().map(BTreeMap::len).sum()
    }

    /// Returns this VM's share of the concurrency limit.
    ///
    /// The limit is split in proportion to running and waiting requests. A suspected peer may run
    /// requests that are not known here, so the limit is split equally while any peer is
    /// suspected.
    fn limit(&self, members: u32, any_suspect: bool) -> u32 {
        if members <= 1 || self.max_running == u32::MAX {
            return self.max_running;
        }
        if any_suspect {
            return (self.max_running / members).max(1);
        }
        let own = u64::from(self.running) + self.waiting() as u64;
        let all = own + u64::from(self.peers.running) + u64::from(self.peers.waiting);
        let part = (u64::from(self.max_running) * own)
            .checked_div(all)
            .unwrap_or_default() as u32;
        let free = self.max_running.saturating_sub(self.peers.running);
        part.min(free).max(1)
    }
}

impl Queue {
    fn organisation(&mut self, name: &Arc<str>) -> &mut Organisation {
        self.organisations
            .entry(Arc::clone(name))
            .or_insert_with(Organisation::new)
    }

    /// Applies shares and limits from a configuration.
    pub fn configure(&mut self, organisations: &[inventory::Organisation]) {
        for entry in organisations {
            let organisation = self.organisation(&entry.name);
            organisation.share = f64::from(entry.share.max(1));
            organisation.max_running = entry.max_running;
        }
    }

    /// Returns the number of waiting requests.
    pub const fn len(&self) -> usize {
        self.waiting
    }

    /// Returns the numbers of running and waiting requests of an organisation at this VM.
    pub fn load(&self, name: &str) -> (u32, usize) {
        let organisation = self.organisations.get(name);
        organisation.map_or((0, 0), |entry| (entry.running, entry.waiting()))
    }

    /// Returns this VM's share of an organisation's concurrency limit.
    pub fn limit(&self, name: &str, members: u32, any_suspect: bool) -> u32 {
        let organisation = self.organisations.get(name);
        organisation.map_or(u32::MAX, |entry| entry.limit(members, any_suspect))
    }

    /// Adds a waiting request. `order` increases with arrival.
    pub fn push(
        &mut self,
        name: &Arc<str>,
        class: Class,
        order: u64,
        request: Id,
        group: u32,
        since: Instant,
    ) {
        let entry = Entry {
            request,
            group,
            since,
        };
        let waiting = &mut self.organisation(name).waiting[class as usize];
        if waiting.insert(order, entry).is_none() {
            self.waiting += 1;
        }
    }

    /// Removes a request. Returns whether it was waiting.
    pub fn remove(&mut self, name: &Arc<str>, class: Class, order: u64) -> bool {
        let waiting = &mut self.organisation(name).waiting[class as usize];
        let waited = waiting.remove(&order).is_some();
        self.waiting -= usize::from(waited);
        waited
    }

    /// Counts a request as running.
    pub fn start(&mut self, name: &Arc<str>) {
        self.organisation(name).running += 1;
    }

    /// Adds the cost of an attempt to an organisation.
    pub fn charge(&mut self, name: &Arc<str>, cost: f64) {
        self.organisation(name).cost += cost;
    }

    /// Counts a request as no longer running.
    pub fn stop(&mut self, name: &Arc<str>) {
        let organisation = self.organisation(name);
        organisation.running = organisation.running.saturating_sub(1);
    }

    /// Replaces the usage reported by the other entry VMs.
    pub fn set_peer_usage<'a, Usages>(&mut self, usages: Usages)
    where
        Usages: Iterator<Item = &'a Usage>,
    {
        for organisation in self.organisations.values_mut() {
            organisation.peers = PeerUsage::default();
        }
        for usage in usages {
            let peers = &mut self.organisation(&usage.organisation).peers;
            peers.running += usage.running;
            peers.waiting += usage.waiting;
            if usage.cost.is_finite() {
                peers.cost += usage.cost.max(0.0);
            }
        }
    }

    /// Returns the usage at this VM, for heartbeats.
    pub fn usage(&self) -> Vec<Usage> {
        self.organisations
            .iter()
            .filter(|(_, entry)| {
                entry.running > 0 || entry.waiting() > 0 || entry.cost > NEGLIGIBLE_COST
            })
            .map(|(name, entry)| Usage {
                organisation: Arc::clone(name),
                running: entry.running,
                waiting: entry.waiting() as u32,
                cost: entry.cost,
            })
            .collect()
    }

    /// Applies one step of cost decay. Called once per [`DECAY_INTERVAL`].
    pub fn decay(&mut self) {
        for organisation in self.organisations.values_mut() {
            organisation.cost *= DECAY_FACTOR;
        }
    }

    /// Returns the request to try next. Skips blocked groups and classes, and the requests in
    /// `skipped`.
    pub fn next(
        &self,
        now: Instant,
        blocked: &Blocked,
        skipped: &[Id],
        members: u32,
        any_suspect: bool,
    ) -> Option<Id> {
        if self.waiting == 0 {
            return None;
        }
        let mut best: Option<(f64, i64, u64, Id)> = None;
        for organisation in self.organisations.values() {
            if organisation.waiting.iter().all(BTreeMap::is_empty)
                || organisation.running >= organisation.limit(members, any_suspect)
            {
                continue;
            }
            let cost = (organisation.cost + organisation.peers.cost) / organisation.share;
            if best.is_some_and(|(lowest, ..)| cost > lowest) {
                continue;
            }
            for class in CLASSES {
                let waiting = &organisation.waiting[class as usize];
                let found = waiting.iter().take(LOOKAHEAD).find(|(_, entry)| {
                    !blocked.contains(&(entry.group, class)) && !skipped.contains(&entry.request)
                });
                let Some((&order, entry)) = found else {
                    continue;
                };
                let steps = now.since(entry.since).as_millis() / AGEING_STEP.as_millis();
                let rank = class as i64 - steps as i64;
                let key = (cost, rank, order, entry.request);
                if best.is_none_or(|known| {
                    key.0
                        .total_cmp(&known.0)
                        .then(key.1.cmp(&known.1))
                        .then(key.2.cmp(&known.2))
                        .is_lt()
                }) {
                    best = Some(key);
                }
            }
        }
        best.map(|(.., id)| id)
    }

    /// Returns the ids of all waiting requests in order of arrival.
    pub fn waiting_ids(&self) -> Vec<Id> {
        let mut all: Vec<(u64, Id)> = self
            .organisations
            .values()
            .flat_map(|entry| entry.waiting.iter().flatten())
            .map(|(&order, entry)| (order, entry.request))
            .collect();
        all.sort_unstable();
        all.into_iter().map(|(_, id)| id).collect()
    }
}
