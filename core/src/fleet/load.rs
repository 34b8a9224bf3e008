//! Load of each target, from this VM and its peers.
//!
//! Engines report their load with a delay, in which more work arrives. Each VM therefore counts its
//! own requests when it sends them, and reports them to its peers. In large fleets, sums that a relay
//! passes on stand for the VMs of other zones; see [`super::topology`].

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::LoadReport;
use super::planner::is_peer_request;
use crate::time::Instant;

/// Age after which a peer's load no longer counts. Its requests have been cut off by then.
const PEER_LEASE: Duration = Duration::from_secs(5);

/// Age after which a peer's queue no longer counts.
const QUEUE_LEASE: Duration = Duration::from_millis(700);

/// Age after which the sums of a relay no longer count, so that the next relay's do: three missed reports
/// with a margin.
pub(super) const RELAY_LEASE: Duration = Duration::from_millis(700);

/// Load of one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that run there.
    pub running: u16,
    /// Of these, requests placed on targets without short prompts.
    pub exclusive: u16,
    /// Long prompts of which it prefills a part, including those that it answers.
    pub prefilling: u16,
    /// Time until all prompts there are prefilled, ms.
    pub prefill_ms: u32,
    /// Use of the KV cache, tokens.
    pub kv_tokens: u32,
    /// Smallest gap objective of the exclusive requests that decode there, ms; zero if there are
    /// none.
    pub gap_ms: u16,
}

impl Load {
    /// Adds another load.
    pub fn add(&mut self, other: Self) {
        self.running += other.running;
        self.exclusive += other.exclusive;
        self.prefilling += other.prefilling;
        self.prefill_ms += other.prefill_ms;
        self.kv_tokens += other.kv_tokens;
        self.gap_ms = match (self.gap_ms, other.gap_ms) {
            (0, gap) | (gap, 0) => gap,
            (first, second) => first.min(second),
        };
    }

    /// Returns the load after `elapsed`, during which prefill continued.
    fn after(mut self, elapsed: Duration) -> Self {
        self.prefill_ms = self.prefill_ms.saturating_sub(elapsed.as_millis() as u32);
        self
    }
}

/// What a VM reported.
#[derive(Debug, Clone)]
struct Peer {
    /// Number of the peer in [`Contribution::peer`].
    number: u32,
    heard: Instant,
    sequence: u64,
    /// Targets at which it has load.
    targets: Vec<u64>,
    /// Time until which its most urgent queued long prompt can wait and meet its objective.
    latest_start: Option<Instant>,
    /// Its short prompts that wait for a slot.
    waiting: u32,
    /// Whether it may act as the planner.
    can_plan: bool,
    /// What it last relayed from other zones.
    relayed: Option<RelayedLoads>,
}

/// Loads of VMs of other zones, passed on by a relay.
#[derive(Debug, Clone)]
struct RelayedLoads {
    heard: Instant,
    loads: HashMap<u64, Load>,
    /// Planner candidates that the relay hears, by hash of their names, with the time of their last report.
    planners: HashMap<u64, Instant>,
}

/// Load of one peer at one target.
#[derive(Debug, Clone, Copy)]
struct Contribution {
    peer: u32,
    heard: Instant,
    load: Load,
}

/// Work of one request of this VM at one target.
#[derive(Debug, Clone, Copy)]
pub(super) struct Work {
    pub(super) load: Load,
    /// Whether the target only prefills a part of the prompt.
    pub(super) prefill_only: bool,
    /// Predicted end of the prefill.
    pub(super) prefill_ends_at: Instant,
}

/// Loads of all targets, by hash of the target's name.
#[derive(Debug, Clone, Default)]
pub struct LoadTable {
    own: HashMap<u64, Vec<(super::Id, Work)>>,
    peers: HashMap<Arc<str>, Peer>,
    next_peer: u32,
    /// Loads of peers, by hash of the target's name.
    by_target: HashMap<u64, Vec<Contribution>>,
    /// Relays whose sums count, in order of precedence.
    relays: SmallVec<[Arc<str>; 2]>,
}

impl LoadTable {
    /// Adds work of this VM.
    pub(super) fn add(&mut self, target: u64, request: super::Id, work: Work) {
        self.own.entry(target).or_default().push((request, work));
    }

    /// Marks the prefill of a request as finished, which ends the work of helpers that only
    /// prefill.
    pub(super) fn finish_prefill(&mut self, request: super::Id, now: Instant) {
        self.own.retain(|_, entries| {
            entries.retain(|(id, work)| *id != request || !work.prefill_only);
            for (_, work) in entries.iter_mut().filter(|(id, _)| *id == request) {
                work.prefill_ends_at = work.prefill_ends_at.min(now);
                work.load.prefilling = 0;
            }
            !entries.is_empty()
        });
    }

    /// Removes the work of a request.
    pub(super) fn remove(&mut self, request: super::Id) {
        self.own.retain(|_, entries| {
            entries.retain(|(id, _)| *id != request);
            !entries.is_empty()
        });
    }

    /// Returns this VM's load at a target, with or without the grants that it made to other VMs.
    fn own(&self, target: u64, now: Instant, include_granted: bool) -> Load {
        let mut load = Load::default();
        let entries = self.own.get(&target).into_iter().flatten();
        for (_, work) in entries.filter(|(id, _)| include_granted || !is_peer_request(*id)) {
            load.add(Load {
                prefill_ms: 0,
                ..work.load
            });
            let left = work.prefill_ends_at.since(now).as_millis() as u32;
            load.prefill_ms = load.prefill_ms.max(left);
        }
        load
    }

    /// Records a peer's load report.
    pub(super) fn update_peer(&mut self, now: Instant, peer: Arc<str>, report: LoadReport) {
        let known = self.peers.get(&peer);
        let restarted = report.sequence <= 1;
        if !restarted && known.is_some_and(|known| known.sequence >= report.sequence) {
            return;
        }
        let known = self.peers.remove(&peer);
        let (number, kept) = if let Some(known) = known {
            self.remove_contributions(&known);
            (known.number, known.relayed)
        } else {
            self.next_peer += 1;
            (self.next_peer, None)
        };
        for (target, load) in &report.loads {
            self.by_target
                .entry(*target)
                .or_default()
                .push(Contribution {
                    peer: number,
                    heard: now,
                    load: *load,
                });
        }
        let relayed = report.relayed.map(|relayed| RelayedLoads {
            heard: now,
            loads: relayed.loads.into_iter().collect(),
            planners: relayed
                .planners
                .into_iter()
                .map(|(planner, age_ms)| (planner, now - Duration::from_millis(age_ms.into())))
                .collect(),
        });
        let state = Peer {
            number,
            heard: now,
            sequence: report.sequence,
            targets: report.loads.iter().map(|(target, _)| *target).collect(),
            waiting: u32::from(report.waiting),
            can_plan: report.can_plan,
            latest_start: report
                .min_slack_ms
                .map(|ms| now + Duration::from_millis(u64::from(ms))),
            relayed: relayed.or(kept),
        };
        self.peers.insert(peer, state);
    }

    fn remove_contributions(&mut self, peer: &Peer) {
        for target in &peer.targets {
            if let Some(contributions) = self.by_target.get_mut(target) {
                contributions.retain(|contribution| contribution.peer != peer.number);
                if contributions.is_empty() {
                    self.by_target.remove(target);
                }
            }
        }
    }

    /// Sets the relays whose sums count, in order of precedence. A relay itself hears all VMs and uses
    /// none.
    pub(super) fn set_relays(&mut self, relays: SmallVec<[Arc<str>; 2]>) {
        self.relays = relays;
    }

    /// Removes peers that have not reported for [`PEER_LEASE`].
    pub(super) fn expire(&mut self, now: Instant) {
        let silent = |peer: &Peer| now.since(peer.heard) >= PEER_LEASE;
        let expired: Vec<Peer> = self
            .peers
            .extract_if(|_, peer| silent(peer))
            .map(|(_, peer)| peer)
            .collect();
        for peer in expired {
            self.remove_contributions(&peer);
        }
    }

    /// Returns the sums of the first relay that was heard recently.
    fn relayed(&self, now: Instant) -> Option<&RelayedLoads> {
        let relays = self.relays.iter();
        let mut relayed = relays.filter_map(|relay| self.peers.get(relay)?.relayed.as_ref());
        relayed.find(|relayed| now.since(relayed.heard) < RELAY_LEASE)
    }

    /// Returns the load of a target.
    pub fn load(&self, target: u64, now: Instant) -> Load {
        let mut load = self.own(target, now, true);
        // A target prefills its prompts one after the other, and each VM reports the time until all that
        // it knows of are prefilled. So the longest time counts, not the sum.
        let mut add = |other: Load, heard: Instant| {
            let other = other.after(now.since(heard));
            let prefill_ms = load.prefill_ms.max(other.prefill_ms);
            load.add(other);
            load.prefill_ms = prefill_ms;
        };
        for contribution in self.by_target.get(&target).into_iter().flatten() {
            add(contribution.load, contribution.heard);
        }
        if let Some(relayed) = self.relayed(now)
            && let Some(other) = relayed.loads.get(&target)
        {
            add(*other, relayed.heard);
        }
        load
    }

    /// Returns the sums of the loads of some peers, to pass on.
    pub(super) fn sums<F>(&self, now: Instant, included: F) -> Vec<(u64, Load)>
    where
        F: Fn(&str) -> bool,
    {
        let numbers: HashSet<u32> = self
            .peers
            .iter()
            .filter(|(name, _)| included(name))
            .map(|(_, peer)| peer.number)
            .collect();
        let mut sums: Vec<(u64, Load)> = Vec::new();
        for (target, contributions) in &self.by_target {
            let mut sum = Load::default();
            for contribution in contributions {
                if numbers.contains(&contribution.peer) {
                    let other = contribution.load.after(now.since(contribution.heard));
                    let prefill_ms = sum.prefill_ms.max(other.prefill_ms);
                    sum.add(other);
                    sum.prefill_ms = prefill_ms;
                }
            }
            if sum != Load::default() {
                sums.push((*target, sum));
            }
        }
        sums.sort_unstable_by_key(|(target, _)| *target);
        sums
    }

    /// Returns the time since a peer was heard.
    pub(super) fn age(&self, peer: &str, now: Instant) -> Duration {
        let peer = self.peers.get(peer);
        peer.map_or(Duration::MAX, |peer| now.since(peer.heard))
    }

    /// Returns the peers whose queues still count.
    fn fresh_peers(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let peers = self.peers.values();
        peers.filter(move |peer| now.since(peer.heard) < QUEUE_LEASE)
    }

    /// Returns whether a peer has queued a long prompt that must start before `until` and can still
    /// meet its objective.
    pub(super) fn peer_more_urgent(&self, until: Instant, now: Instant) -> bool {
        let mut urgent = self.fresh_peers(now).filter_map(|peer| peer.latest_start);
        urgent.any(|other| now < other && other < until)
    }

    /// Returns the time since a peer reported, to this VM or to a relay, that it may act as the planner.
    pub(super) fn beacon_age(&self, peer: &str, now: Instant) -> Duration {
        let direct = self.peers.get(peer).filter(|peer| peer.can_plan);
        let direct = direct.map_or(Duration::MAX, |peer| now.since(peer.heard));
        let relayed = self.relayed(now).and_then(|relayed| {
            let planners = &relayed.planners;
            planners.get(&xxhash_rust::xxh3::xxh3_64(peer.as_bytes()))
        });
        direct.min(relayed.map_or(Duration::MAX, |heard| now.since(*heard)))
    }

    /// Returns the number of short prompts that wait for a slot at peers.
    pub(super) fn peers_waiting(&self, now: Instant) -> u32 {
        self.fresh_peers(now).map(|peer| peer.waiting).sum()
    }

    /// Returns whether a peer has queued a long prompt that can still meet its objective.
    pub(super) fn peer_has_urgent(&self, now: Instant) -> bool {
        let mut urgent = self.fresh_peers(now).filter_map(|peer| peer.latest_start);
        urgent.any(|other| now < other)
    }

    /// Returns this VM's loads to report to its peers.
    pub(super) fn own_loads(&self, now: Instant) -> Vec<(u64, Load)> {
        let mut loads: Vec<_> = self
            .own
            .keys()
            .map(|target| (*target, self.own(*target, now, false)))
            .filter(|(_, load)| *load != Load::default())
            .collect();
        loads.sort_unstable_by_key(|(target, _)| *target);
        loads
    }
}
