//! Work at each target, of this VM and of its peers.
//!
//! Engines report their load with a lag, so what was sent since counts: every VM knows its own work at
//! once and tells its peers of it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::LoadReport;
use super::planner::is_foreign;
use crate::time::Instant;

/// Age after which a peer's work counts no more; its own requests have been cut by then.
const PEER_LEASE: Duration = Duration::from_secs(5);

/// Age after which a peer's line counts no more.
const URGENT_LEASE: Duration = Duration::from_millis(700);

/// Work at one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests there.
    pub running: u16,
    /// Of these, prompts that read on targets of their own.
    pub exclusive: u16,
    /// Long prompts of which it reads a part, its own included.
    pub prefilling: u16,
    /// Time until all prompts are read, ms.
    pub prefill_ms: u32,
    /// Memory of prompts and answers, tokens.
    pub kv_tokens: u32,
    /// Shortest pause that is on time for the exclusive requests that write there, ms; zero without any.
    pub gap_ms: u16,
}

impl Load {
    /// Adds work.
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

    /// Returns the load after `passed`, during which prompts were read.
    fn after(mut self, passed: Duration) -> Self {
        self.prefill_ms = self.prefill_ms.saturating_sub(passed.as_millis() as u32);
        self
    }
}

#[derive(Debug, Clone)]
struct Peer {
    heard: Instant,
    sequence: u64,
    loads: HashMap<u64, Load>,
    /// Until when its most urgent long prompt can wait.
    urgent_until: Option<Instant>,
    /// Its short prompts in line for a slot.
    waiting: u32,
    /// Whether it may place long prompts of others.
    can_plan: bool,
}

/// One piece of this VM's work at a target.
#[derive(Debug, Clone, Copy)]
pub(super) struct Piece {
    pub(super) load: Load,
    /// Whether the target only reads a part of the prompt.
    pub(super) helps: bool,
    /// When its prompt is read, as predicted.
    pub(super) read_at: Instant,
}

/// Work at all targets, by hash of the target's name.
#[derive(Debug, Clone, Default)]
pub struct LoadTable {
    own: HashMap<u64, Vec<(super::Id, Piece)>>,
    peers: HashMap<Arc<str>, Peer>,
}

impl LoadTable {
    /// Adds work of this VM.
    pub(super) fn add(&mut self, target: u64, request: super::Id, piece: Piece) {
        self.own.entry(target).or_default().push((request, piece));
    }

    /// Marks the prompt of a request as read: the targets that helped have nothing more to do with it.
    pub(super) fn read(&mut self, request: super::Id, now: Instant) {
        self.own.retain(|_, pieces| {
            pieces.retain(|(id, piece)| *id != request || !piece.helps);
            for (_, piece) in pieces.iter_mut().filter(|(id, _)| *id == request) {
                piece.read_at = piece.read_at.min(now);
                piece.load.prefilling = 0;
            }
            !pieces.is_empty()
        });
    }

    /// Removes the work of a request.
    pub(super) fn remove(&mut self, request: super::Id) {
        self.own.retain(|_, pieces| {
            pieces.retain(|(id, _)| *id != request);
            !pieces.is_empty()
        });
    }

    /// Returns this VM's work at a target, with or without what it handed out to other VMs.
    fn own(&self, target: u64, now: Instant, handed_out: bool) -> Load {
        let mut load = Load::default();
        let pieces = self.own.get(&target).into_iter().flatten();
        for (_, piece) in pieces.filter(|(id, _)| handed_out || !is_foreign(*id)) {
            load.add(Load {
                prefill_ms: 0,
                ..piece.load
            });
            let left = piece.read_at.since(now).as_millis() as u32;
            load.prefill_ms = load.prefill_ms.max(left);
        }
        load
    }

    /// Takes a peer's message.
    pub(super) fn share(&mut self, now: Instant, peer: Arc<str>, report: LoadReport) {
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
            urgent_until: report
                .min_slack_ms
                .map(|ms| now + Duration::from_millis(u64::from(ms))),
        };
        self.peers.insert(peer, state);
    }

    /// Forgets silent peers.
    pub(super) fn expire(&mut self, now: Instant) {
        self.peers
            .retain(|_, peer| now.since(peer.heard) < PEER_LEASE);
    }

    /// Returns the work at a target.
    pub fn load(&self, target: u64, now: Instant) -> Load {
        let mut load = self.own(target, now, true);
        for peer in self.peers.values() {
            if let Some(other) = peer.loads.get(&target) {
                let other = other.after(now.since(peer.heard));
                // Prompts are read one after the other, and each VM gives the end of all it knows.
                let prefill_ms = load.prefill_ms.max(other.prefill_ms);
                load.add(other);
                load.prefill_ms = prefill_ms;
            }
        }
        load
    }

    /// Returns the peers whose lines still count.
    fn lines(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let peers = self.peers.values();
        peers.filter(move |peer| now.since(peer.heard) < URGENT_LEASE)
    }

    /// Returns whether a peer has a long prompt in line that can wait less long than until `until`.
    pub(super) fn peer_before(&self, until: Instant, now: Instant) -> bool {
        let mut urgent = self.lines(now).filter_map(|peer| peer.urgent_until);
        urgent.any(|other| now < other && other < until)
    }

    /// Returns the time since a peer said that it may place long prompts of others.
    pub(super) fn plans_since(&self, peer: &str, now: Instant) -> Duration {
        let peer = self.peers.get(peer).filter(|peer| peer.can_plan);
        peer.map_or(Duration::MAX, |peer| now.since(peer.heard))
    }

    /// Returns the short prompts that wait at peers for a slot.
    pub(super) fn peers_waiting(&self, now: Instant) -> u32 {
        self.lines(now).map(|peer| peer.waiting).sum()
    }

    /// Returns whether a peer has a long prompt in line that can still be on time.
    pub(super) fn peer_waits(&self, now: Instant) -> bool {
        let mut urgent = self.lines(now).filter_map(|peer| peer.urgent_until);
        urgent.any(|other| now < other)
    }

    /// Returns this VM's work for its peers.
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
