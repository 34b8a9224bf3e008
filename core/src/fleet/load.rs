//! Load of each target, from this VM and its peers.
//!
//! Engines report their load with a delay, in which more work arrives. Each VM therefore counts its
//! own requests when it sends them, and reports them to its peers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::LoadReport;
use super::planner::is_peer_request;
use crate::time::Instant;

/// Age after which a peer's load no longer counts. Its requests have been cut off by then.
const PEER_LEASE: Duration = Duration::from_secs(5);

/// Age after which a peer's queue no longer counts.
const QUEUE_LEASE: Duration = Duration::from_millis(700);

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

#[derive(Debug, Clone)]
struct Peer {
    heard: Instant,
    sequence: u64,
    loads: HashMap<u64, Load>,
    /// Time until which its most urgent queued long prompt can wait and meet its objective.
    latest_start: Option<Instant>,
    /// Its short prompts that wait for a slot.
    waiting: u32,
    /// Whether it may act as the planner.
    can_plan: bool,
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
        let state = Peer {
            heard: now,
            sequence: report.sequence,
            loads: report.loads.into_iter().collect(),
            waiting: u32::from(report.waiting),
            can_plan: report.can_plan,
            latest_start: report
                .min_slack_ms
                .map(|ms| now + Duration::from_millis(u64::from(ms))),
        };
        self.peers.insert(peer, state);
    }

    /// Removes peers that have not reported for [`PEER_LEASE`].
    pub(super) fn expire(&mut self, now: Instant) {
        self.peers
            .retain(|_, peer| now.since(peer.heard) < PEER_LEASE);
    }

    /// Returns the load of a target.
    pub fn load(&self, target: u64, now: Instant) -> Load {
        let mut load = self.own(target, now, true);
        for peer in self.peers.values() {
            if let Some(other) = peer.loads.get(&target) {
                let other = other.after(now.since(peer.heard));
                // A target prefills its prompts one after the other, and each VM reports the time
                // until all that it knows of are prefilled. So the longest time counts, not the
                // sum.
                let prefill_ms = load.prefill_ms.max(other.prefill_ms);
                load.add(other);
                load.prefill_ms = prefill_ms;
            }
        }
        load
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

    /// Returns the time since a peer reported that it may act as the planner.
    pub(super) fn beacon_age(&self, peer: &str, now: Instant) -> Duration {
        let peer = self.peers.get(peer).filter(|peer| peer.can_plan);
        peer.map_or(Duration::MAX, |peer| now.since(peer.heard))
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
