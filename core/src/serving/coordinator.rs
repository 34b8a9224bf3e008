//! The zone lease, and the duties of the coordinator that holds it.
//!
//! The entry VMs listed in the inventory for the zone are the voters. A vote is valid for one lease
//! duration from its receipt. The candidate counts its lease from when it requested it, so the
//! lease ends before the votes do. A voter abstains for one lease duration after its start, because
//! it does not know the votes that it gave before, and after a change of the list of voters.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::inventory::Kind;
use crate::membership::Vote;
use crate::message::Message;
use crate::time::Instant;
use crate::vm;
use crate::zone::{Capacity, Summary};

use super::effect::{Effect, Notice};
use super::reducer::Reducer;

/// Duration of the zone lease.
pub(super) const ZONE_LEASE: Duration = Duration::from_secs(3);

/// Longest lease that a voter accepts, milliseconds.
const LEASE_MAX_MS: u64 = 10_000;

/// Interval at which the holder renews the lease.
const RENEW_INTERVAL: Duration = Duration::from_millis(750);

/// Delay between candidates when the lease is vacant, so that their requests rarely collide.
const CANDIDATE_STAGGER: Duration = Duration::from_millis(250);

/// Upper bound of the random delay between rounds, milliseconds.
const ROUND_JITTER_MS: u64 = 100;

/// Time after which a round without a majority is abandoned.
const ROUND_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval at which capacity summaries are sent to other zones.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which engines release what they hold for lost entry VMs.
const RECONCILE_INTERVAL: Duration = Duration::from_secs(5);

/// State of the zone lease as known to this VM, as voter, candidate and holder.
#[derive(Debug)]
pub(super) struct Lease {
    abstain_until: Instant,
    voters: Vec<Arc<str>>,
    /// Vote given by this VM: candidate, epoch and expiry.
    granted_vote: Option<(vm::Instance, u64, Instant)>,
    /// Highest epoch seen in any message.
    highest_epoch: u64,
    pending: Option<Round>,
    last_round: u64,
    next_round: Instant,
    /// Epoch and expiry of the lease, if this VM holds it.
    held: Option<(u64, Instant)>,
    vacant_since: Instant,
    /// Another member that holds the lease, and its epoch.
    pub holder: Option<(vm::Instance, u64)>,
    next_summary: Instant,
    summary_sequence: u64,
    next_reconcile: Instant,
}

#[derive(Debug)]
struct Round {
    epoch: u64,
    round: u64,
    started: Instant,
    votes: BTreeSet<Arc<str>>,
}

impl Lease {
    pub fn new(now: Instant) -> Self {
        Self {
            abstain_until: now + ZONE_LEASE,
            voters: Vec::new(),
            granted_vote: None,
            highest_epoch: 0,
            pending: None,
            last_round: 0,
            next_round: now,
            held: None,
            vacant_since: now,
            holder: None,
            next_summary: now,
            summary_sequence: 0,
            next_reconcile: now,
        }
    }
}

impl Reducer {
    /// Returns the epoch of the zone lease, if this VM currently holds it.
    pub fn coordinator_epoch(&self) -> Option<u64> {
        let (epoch, until) = self.lease.held?;
        (until > self.now).then_some(epoch)
    }

    /// Returns the names of the zone's voters.
    pub(super) fn voters(&self) -> &[Arc<str>] {
        &self.lease.voters
    }

    /// Returns the coordinator and its epoch, if it is another VM that is reachable.
    pub(super) fn other_coordinator(&self) -> Option<(&vm::Instance, u64)> {
        let (holder, epoch) = self.lease.holder.as_ref()?;
        self.members.get(holder).map(|_| (holder, *epoch))
    }

    /// Returns whether there is a coordinator to request credits and allocations from.
    pub(super) fn has_coordinator(&self) -> bool {
        self.coordinator_epoch().is_some() || self.other_coordinator().is_some()
    }

    /// Applies the list of voters of the configuration in force.
    pub(super) fn update_voters(&mut self) {
        let Some(config) = &self.config else {
            return;
        };
        let zone = config
            .inventory
            .zones
            .iter()
            .find(|zone| zone.name == self.settings.zone);
        let voters = zone.map_or(&[][..], |zone| &zone.entries);
        if self.lease.voters == voters {
            return;
        }
        // The first list is covered by the abstention after process start.
        if !self.lease.voters.is_empty() {
            self.lease.abstain_until = self.now + ZONE_LEASE;
        }
        self.lease.voters = voters.to_vec();
    }

    /// Acquires, renews or gives up the zone lease, and performs the coordinator's duties.
    pub(super) fn maintain_lease(&mut self, effects: &mut Vec<Effect>) {
        if let Some((epoch, until)) = self.lease.held
            && until <= self.now
        {
            self.lease.held = None;
            self.lease.pending = None;
            self.end_coordinating();
            effects.push(Effect::Notice(Notice::CoordinatorLost(epoch)));
        }
        let own = &self.settings.vm.name;
        let is_voter = self.lease.voters.contains(own);
        if is_voter && !self.draining && self.lease.abstain_until <= self.now {
            match self.coordinator_epoch() {
                Some(epoch) if self.lease.next_round <= self.now => {
                    self.lease.next_round = self.now + RENEW_INTERVAL;
                    self.request_lease(epoch, effects);
                }
                Some(_) => {}
                None => self.try_acquire_lease(effects),
            }
        }
        if self.coordinator_epoch().is_some() {
            self.publish_summary(effects);
            self.reconcile(effects);
        }
    }

    /// Abandons a round without a majority and frees this VM's own vote. This is safe because late
    /// votes for the round are not counted.
    fn abandon_round(&mut self) {
        self.lease.pending = None;
        let own = &self.settings.vm;
        if self
            .lease
            .granted_vote
            .as_ref()
            .is_some_and(|(holder, ..)| holder == own)
        {
            self.lease.granted_vote = None;
        }
    }

    fn try_acquire_lease(&mut self, effects: &mut Vec<Effect>) {
        if let Some(pending) = &self.lease.pending {
            if self.now.since(pending.started) < ROUND_TIMEOUT {
                return;
            }
            self.abandon_round();
        }
        let held_by_member = self
            .members
            .known
            .values()
            .any(|member| member.epoch.is_some());
        let voted_for_other = self
            .lease
            .granted_vote
            .as_ref()
            .is_some_and(|(holder, _, until)| *holder != self.settings.vm && *until > self.now);
        if held_by_member || voted_for_other {
            self.lease.vacant_since = self.now;
            return;
        }
        let rank = self
            .lease
            .voters
            .iter()
            .filter(|&name| *name < self.settings.vm.name)
            .filter(|&name| self.members.known.contains_key(name))
            .count();
        let vacant_since = self.lease.vacant_since.max(self.lease.abstain_until);
        let delay = CANDIDATE_STAGGER * rank as u32;
        if vacant_since + delay > self.now || self.lease.next_round > self.now {
            return;
        }
        let pause = Duration::from_millis(self.rng.next_u64() % ROUND_JITTER_MS);
        self.lease.next_round = self.now + CANDIDATE_STAGGER + delay + pause;
        self.request_lease(self.lease.highest_epoch + 1, effects);
    }

    fn request_lease(&mut self, epoch: u64, effects: &mut Vec<Effect>) {
        self.lease.last_round += 1;
        let round = self.lease.last_round;
        self.lease.pending = Some(Round {
            epoch,
            round,
            started: self.now,
            votes: BTreeSet::new(),
        });
        let vote = Vote::Request {
            epoch,
            lease_ms: ZONE_LEASE.as_millis() as u64,
            round,
        };
        let others: Vec<vm::Instance> = self
            .members
            .known
            .values()
            .filter(|member| self.lease.voters.contains(&member.instance.name))
            .map(|member| member.instance.clone())
            .collect();
        for other in others {
            self.send(&other, Message::Vote(vote.clone()), effects);
        }
        let own = self.settings.vm.clone();
        if self.grant_vote(&own, epoch, ZONE_LEASE) {
            self.count_vote(&own, epoch, round, effects);
        }
    }

    /// Votes for a candidate, unless an earlier vote or a higher epoch forbids it.
    fn grant_vote(&mut self, candidate: &vm::Instance, epoch: u64, lease: Duration) -> bool {
        if self.lease.abstain_until > self.now {
            return false;
        }
        if let Some((holder, granted, until)) = &self.lease.granted_vote {
            let other = holder != candidate;
            if other && *until > self.now
                || epoch < self.lease.highest_epoch
                || epoch == self.lease.highest_epoch && (other || epoch != *granted)
            {
                return false;
            }
        } else if epoch <= self.lease.highest_epoch {
            return false;
        }
        self.lease.highest_epoch = epoch;
        self.lease.granted_vote = Some((candidate.clone(), epoch, self.now + lease));
        true
    }

    /// Handles a message about the zone lease.
    pub(super) fn handle_vote(
        &mut self,
        from: &vm::Instance,
        vote: &Vote,
        effects: &mut Vec<Effect>,
    ) {
        if !self.lease.voters.contains(&from.name) || self.members.get(from).is_none() {
            return;
        }
        match *vote {
            Vote::Request {
                epoch,
                lease_ms,
                round,
            } => {
                let is_voter = self.lease.voters.contains(&self.settings.vm.name);
                let lease = Duration::from_millis(lease_ms);
                let granted =
                    is_voter && lease_ms <= LEASE_MAX_MS && self.grant_vote(from, epoch, lease);
                let answer = if granted {
                    Vote::Grant { epoch, round }
                } else {
                    Vote::Deny {
                        epoch: self.lease.highest_epoch,
                        round,
                    }
                };
                self.send(from, Message::Vote(answer), effects);
            }
            Vote::Grant { epoch, round } => self.count_vote(from, epoch, round, effects),
            Vote::Deny { epoch, round } => {
                self.lease.highest_epoch = self.lease.highest_epoch.max(epoch);
                if round == self.lease.last_round && self.coordinator_epoch().is_none() {
                    self.abandon_round();
                }
            }
        }
    }

    fn count_vote(
        &mut self,
        from: &vm::Instance,
        epoch: u64,
        round: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = &mut self.lease.pending else {
            return;
        };
        if pending.epoch != epoch || pending.round != round {
            return;
        }
        pending.votes.insert(Arc::clone(&from.name));
        let votes = pending
            .votes
            .iter()
            .filter(|&name| self.lease.voters.contains(name))
            .count();
        let until = pending.started + ZONE_LEASE;
        if 2 * votes <= self.lease.voters.len() || until <= self.now {
            return;
        }
        let gained = self.coordinator_epoch() != Some(epoch);
        self.lease.held = Some((epoch, until));
        if gained {
            self.lease.holder = None;
            self.lease.next_round = self.now + RENEW_INTERVAL;
            effects.push(Effect::Notice(Notice::CoordinatorGained(epoch)));
            self.begin_coordinating();
            self.reschedule = true;
        }
    }

    /// Updates the known coordinator from the epoch in a member's heartbeat.
    pub(super) fn update_holder(
        &mut self,
        from: &vm::Instance,
        epoch: Option<u64>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(epoch) = epoch else {
            if self
                .lease
                .holder
                .as_ref()
                .is_some_and(|(holder, _)| holder == from)
            {
                self.lease.holder = None;
            }
            return;
        };
        self.lease.highest_epoch = self.lease.highest_epoch.max(epoch);
        let newer = self
            .lease
            .holder
            .as_ref()
            .is_none_or(|(_, known)| epoch > *known);
        if newer {
            self.lease.holder = Some((from.clone(), epoch));
            self.send_holdings(effects);
        }
    }

    /// Sends a summary of the zone's capacity to the other zones.
    fn publish_summary(&mut self, effects: &mut Vec<Effect>) {
        if self.lease.next_summary > self.now {
            return;
        }
        self.lease.next_summary = self.now + SUMMARY_INTERVAL;
        self.lease.summary_sequence += 1;
        let summary = Summary {
            zone: Arc::clone(&self.settings.zone),
            sequence: self.lease.summary_sequence,
            epoch: self.coordinator_epoch().unwrap_or_default(),
            services: if self.zone_out() {
                Vec::new()
            } else {
                self.service_capacities()
            },
            entries: self
                .members
                .known
                .values()
                .filter(|member| !member.draining)
                .map(|member| member.address.callers)
                .chain([self.settings.address.callers.filter(|_| !self.draining)])
                .flatten()
                .collect(),
        };
        for &to in &self.settings.other_zones {
            effects.push(Effect::Send {
                to,
                receiver: None,
                message: Message::Summary(summary.clone()),
            });
        }
    }

    fn service_capacities(&self) -> Vec<Capacity> {
        let mut services: BTreeMap<&Arc<str>, Capacity> = BTreeMap::new();
        for (_, target) in self.table.iter() {
            let announcement = &target.announcement;
            let capacity = services
                .entry(&announcement.service)
                .or_insert_with(|| Capacity {
                    service: Arc::clone(&announcement.service),
                    warm_targets: 0,
                    prefill_tokens_per_s: 0.0,
                    backlog_tokens: 0,
                    largest_kv_tokens: 0,
                    spanning_kv_tokens: 0,
                });
            if !target.is_open(self.now) || target.is_cold() {
                continue;
            }
            capacity.warm_targets += 1;
            capacity.prefill_tokens_per_s += announcement.prefill_tokens_per_s as f64;
            let rate = announcement.prefill_tokens_per_s as f64 / 1e6;
            let wait = target.wait_us(self.now, crate::request::Class::Huge);
            capacity.backlog_tokens += (wait * rate) as u64;
            capacity.largest_kv_tokens = capacity.largest_kv_tokens.max(announcement.kv_tokens);
            if announcement.spans {
                capacity.spanning_kv_tokens += announcement.kv_tokens;
            }
        }
        for group in self.table.groups() {
            if let Some(capacity) = services.get_mut(&group.service) {
                capacity.backlog_tokens += group.waiting_tokens.iter().sum::<u64>();
            }
        }
        services.into_values().collect()
    }

    /// Records another zone's summary. Relays it to the zone's members if it came from outside.
    pub(super) fn handle_summary(
        &mut self,
        from: &vm::Instance,
        summary: Summary,
        effects: &mut Vec<Effect>,
    ) {
        if summary.zone == self.settings.zone {
            return;
        }
        let newer = self.zones.update(self.now, summary.clone());
        if newer && self.members.get(from).is_none() {
            self.broadcast(&Message::Summary(summary), effects);
        }
    }

    /// Requests that the engines release what they hold for lost entry VMs.
    fn reconcile(&mut self, effects: &mut Vec<Effect>) {
        if self.lease.next_reconcile > self.now {
            return;
        }
        self.lease.next_reconcile = self.now + RECONCILE_INTERVAL;
        let live = self.live_owners();
        for (_, target) in self.table.iter() {
            if target.announcement.kind == Kind::Engine {
                effects.push(Effect::Reconcile {
                    target: Arc::clone(&target.announcement.name),
                    address: target.announcement.address,
                    live: live.clone(),
                });
            }
        }
    }
}
