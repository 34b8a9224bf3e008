//! Weighted fair queue of waiting requests by organisation.
//!
//! The organisation with the least decayed cost per share, summed over the zone's entry VMs, goes
//! first. The queue is work-conserving: an organisation whose requests cannot be placed does not
//! hold back the others.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::inventory;
use crate::membership::Usage;
use crate::request::{Class, Id};
use crate::time::Instant;

/// Interval of [`Queue::decay`].
pub(super) const DECAY_INTERVAL: Duration = Duration::from_millis(250);

/// Decay for each interval: half in 10 s.
const DECAY_FACTOR: f64 = 0.982_820_598_545_251_2;

/// Cost below which an organisation counts as idle, prefill tokens.
const NEGLIGIBLE_COST: f64 = 1.0;

/// Wait after which a request counts as one class shorter.
pub(super) const AGEING_STEP: Duration = Duration::from_secs(5);

/// Requests of one organisation and class that are tried when the first ones need busy targets.
const LOOKAHEAD: usize = 32;

/// Waiting requests and usage by organisation.
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
    /// By class, in the order of arrival.
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

/// Waiting requests of one class for one group of targets.
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

    /// Returns this VM's part of the concurrency limit.
    ///
    /// The limit is split by running and waiting requests. A silent peer may still run requests
    /// that are not known here, so that equal parts apply while one is silent.
    fn limit(&self, members: u32, silent: bool) -> u32 {
        if members <= 1 || self.max_running == u32::MAX {
            return self.max_running;
        }
        if silent {
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

    /// Takes shares and limits from a configuration.
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

    /// Returns the running and waiting requests of an organisation at this VM.
    pub fn load(&self, name: &str) -> (u32, usize) {
        let organisation = self.organisations.get(name);
        organisation.map_or((0, 0), |entry| (entry.running, entry.waiting()))
    }

    /// Returns this VM's part of an organisation's concurrency limit.
    pub fn limit(&self, name: &str, members: u32, silent: bool) -> u32 {
        let organisation = self.organisations.get(name);
        organisation.map_or(u32::MAX, |entry| entry.limit(members, silent))
    }

    /// Adds a waiting request; `order` grows with arrival.
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

    /// Removes a request; returns whether it waited.
    pub fn remove(&mut self, name: &Arc<str>, class: Class, order: u64) -> bool {
        let waiting = &mut self.organisation(name).waiting[class as usize];
        let waited = waiting.remove(&order).is_some();
        self.waiting -= usize::from(waited);
        waited
    }

    /// Counts a request that starts to run.
    pub fn start(&mut self, name: &Arc<str>) {
        self.organisation(name).running += 1;
    }

    /// Charges the cost of an attempt.
    pub fn charge(&mut self, name: &Arc<str>, cost: f64) {
        self.organisation(name).cost += cost;
    }

    /// Counts a request that no longer runs.
    pub fn stop(&mut self, name: &Arc<str>) {
        let organisation = self.organisation(name);
        organisation.running = organisation.running.saturating_sub(1);
    }

    /// Replaces the usage at the other entry VMs.
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

    /// Returns the usage at this VM for a heartbeat.
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

    /// Lets past cost count less; called once for each [`DECAY_INTERVAL`].
    pub fn decay(&mut self) {
        for organisation in self.organisations.values_mut() {
            organisation.cost *= DECAY_FACTOR;
        }
    }

    /// Returns the request to try next, leaving out classes that are known to find no target.
    pub fn next(
        &self,
        now: Instant,
        blocked: &Blocked,
        skipped: &[Id],
        members: u32,
        silent: bool,
    ) -> Option<Id> {
        if self.waiting == 0 {
            return None;
        }
        let mut best: Option<(f64, i64, u64, Id)> = None;
        for organisation in self.organisations.values() {
            if organisation.waiting.iter().all(BTreeMap::is_empty)
                || organisation.running >= organisation.limit(members, silent)
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

    /// Returns all waiting requests in the order of arrival.
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
