//! Limits that targets in need name in their answers: requests a second from all entry VMs together, for as long as
//! the answers name it.
//!
//! A VM that sees an answer tells its peers in its load reports, which pass it on as they do loads, and each VM
//! uses its share of the limit. A statement about a target has a version that grows with each change which a VM
//! sees, so that all VMs end up with the newest one whatever way it takes.
//!
//! # Invariants
//!
//! - Only an answer to a request that was sent after a limit was heard of ends it: an earlier one may have been
//!   made before the target named the limit.
//! - Silence of a target does not end its limit.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::attempts::within_share;
use super::{Id, Reducer, SlidingWindow};
use crate::time::Instant;

/// How long the end of a limit is passed on.
const END_MEMORY: Duration = Duration::from_mins(1);

/// What a target said about its limit, as a VM passes it on.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitStatement {
    /// Hash of the target's name.
    pub target: u64,
    /// Increases with each change.
    pub version: u32,
    /// Requests a second from all VMs together; none if the limit has ended.
    pub rate: Option<f64>,
}

#[derive(Debug, Clone)]
struct State {
    version: u32,
    rate: Option<f64>,
    /// When this VM heard of the last change.
    changed_at: Instant,
    /// Requests of this VM in the last second.
    sent: SlidingWindow,
}

/// Limits of all targets, by hash of the target's name.
#[derive(Debug, Clone, Default)]
pub(super) struct NamedLimits(HashMap<u64, State>);

impl NamedLimits {
    fn set(&mut self, now: Instant, statement: LimitStatement) {
        let state = self.0.entry(statement.target).or_insert_with(|| State {
            version: 0,
            rate: None,
            changed_at: now,
            sent: SlidingWindow::new(Duration::from_secs(1)),
        });
        state.version = statement.version;
        state.rate = statement.rate;
        state.changed_at = now;
    }

    /// Records what an answer said; returns whether it is new.
    fn record(&mut self, now: Instant, target: u64, sent_at: Instant, rate: Option<f64>) -> bool {
        let known = self.0.get(&target);
        let known_rate = known.and_then(|state| state.rate);
        let is_older = known.is_some_and(|state| sent_at <= state.changed_at);
        if known_rate == rate || rate.is_none() && is_older {
            return false;
        }
        let version = known.map_or(0, |state| state.version) + 1;
        self.set(
            now,
            LimitStatement {
                target,
                version,
                rate,
            },
        );
        true
    }

    /// Takes over what a peer passed on; returns whether anything is new.
    pub(super) fn merge(&mut self, now: Instant, statements: &[LimitStatement]) -> bool {
        let mut changed = false;
        for statement in statements {
            let known = self.0.get(&statement.target);
            let known = known.map_or((0, None), |state| (state.version, state.rate));
            // Of two changes that were seen at the same time, the lower limit holds.
            let lower = match (statement.rate, known.1) {
                (Some(rate), Some(known)) => rate < known,
                (rate, None) => rate.is_some(),
                (None, Some(_)) => false,
            };
            if statement.version > known.0 || statement.version == known.0 && lower {
                self.set(now, *statement);
                changed = true;
            }
        }
        changed
    }

    /// Returns what is passed on to peers.
    pub(super) fn statements(&self) -> Vec<LimitStatement> {
        let mut all: Vec<LimitStatement> = self
            .0
            .iter()
            .map(|(target, state)| LimitStatement {
                target: *target,
                version: state.version,
                rate: state.rate,
            })
            .collect();
        all.sort_unstable_by_key(|statement| statement.target);
        all
    }

    /// Returns the limit of a target.
    pub(super) fn rate(&self, target: u64) -> Option<f64> {
        self.0.get(&target)?.rate
    }

    /// Returns whether a target may get one more request from a VM that may use `fraction` of its limit. Of
    /// VMs that use less than one request a second, `offset` tells when it is their turn.
    pub(super) fn has_room(
        &mut self,
        now: Instant,
        target: u64,
        fraction: f64,
        offset: u64,
    ) -> bool {
        let Some(state) = self.0.get_mut(&target) else {
            return true;
        };
        let Some(rate) = state.rate else {
            return true;
        };
        let sent = state.sent.count(now);
        within_share(rate * fraction, sent, now, offset)
    }

    /// Counts a request that is sent to a target.
    pub(super) fn record_sent(&mut self, now: Instant, target: u64) {
        if let Some(state) = self.0.get_mut(&target) {
            state.sent.add(now);
            state.sent.count(now);
        }
    }

    fn expire<F>(&mut self, now: Instant, is_known: F)
    where
        F: Fn(u64) -> bool,
    {
        self.0.retain(|target, state| {
            let ended = state.rate.is_none() && now.since(state.changed_at) >= END_MEMORY;
            is_known(*target) && !ended
        });
    }
}

impl Reducer {
    /// Returns whether the target of a running request has named a limit.
    pub fn is_limited(&self, id: Id) -> bool {
        let running = self.pending.get(&id).and_then(|p| p.running.as_ref());
        let record = running.and_then(|running| self.directory.record(running.target));
        record.is_some_and(|record| self.named_limits.rate(record.name_hash).is_some())
    }

    /// Records the limit, or that there is none, in the answer to a request.
    pub(super) fn record_named_limit(&mut self, now: Instant, id: Id, rate: Option<f64>) {
        let running = self.pending.get(&id).and_then(|p| p.running.as_ref());
        let Some((target, sent_at)) = running.map(|running| (running.target, running.sent_at))
        else {
            return;
        };
        let Some(record) = self.directory.record(target) else {
            return;
        };
        let name_hash = record.name_hash;
        if self.named_limits.record(now, name_hash, sent_at, rate) {
            self.report_limits();
        }
    }

    /// Takes over the limits that a peer passed on.
    pub(super) fn merge_limits(&mut self, now: Instant, statements: &[LimitStatement]) {
        if !statements.is_empty() && self.named_limits.merge(now, statements) {
            self.report_limits();
        }
    }

    /// Reports at once, so that all VMs keep to the limit.
    fn report_limits(&mut self) {
        self.report_due = true;
        self.reported_at = Instant::default();
    }

    /// Drops the limits of targets that are gone.
    pub(super) fn expire_limits(&mut self, now: Instant) {
        let directory = &self.directory;
        self.named_limits
            .expire(now, |target| directory.by_name_hash(target).is_some());
    }
}
