//! Selects a target for a request.
//!
//! Long work, of the classes `long` and `huge`, is limited per target and confined to the long set, a
//! set of targets that is resized with demand.
//! Short requests prefer targets without long work. Since several entry VMs act on the same delayed
//! load reports, the choice among near-equal targets is random.

use rand::Rng;
use smallvec::SmallVec;

use crate::request::{Class, Id as RequestId};
use crate::target::Id;
use crate::time::Instant;

use super::settings::Policy;
use super::target::{Snapshot, Table};

/// Maximum number of long requests running on one target.
const LONG_PER_TARGET: u32 = 2;

/// Slots per target reserved for short requests.
const SHORT_RESERVED_SLOTS: u32 = 1;

/// Percentage of a target's KV memory reserved for short requests.
pub(super) const SHORT_RESERVED_KV_PERCENT: u64 = 10;

/// Predicted wait above which a request stays in the fair queue instead of queueing at the target.
const TARGET_WAIT_MAX_US: f64 = 1_000_000.0;

/// Penalty for short and medium requests on targets that run long work. It is about the remaining
/// time of a prefill chunk that the engine does not interrupt. With a higher value, short requests
/// would queue up on the remaining targets.
const BESIDE_LONG_PENALTY_US: f64 = 50_000.0;

/// Penalty for a target with all slots taken, scaled by its utilisation, because the streams of a
/// batch slow each other down.
const FULL_BATCH_PENALTY_US: f64 = 50_000.0;

/// Predictions within this ratio of the best, plus [`NEAR_US`], are near-equal.
const NEAR_RATIO: f64 = 1.1;

/// Predictions that differ by less than this are near-equal, because the delay of load reports
/// causes larger errors.
const NEAR_US: f64 = 5_000.0;

/// Time without arrivals of short or medium requests after which long work may use all targets.
const SHORT_QUIET_US: u64 = 5_000_000;

/// Requirements of a request to be placed.
#[derive(Debug)]
pub(super) struct Query<'a> {
    pub request: RequestId,
    pub group: u32,
    pub class: Class,
    pub prompt_tokens: u64,
    pub kv_tokens: u64,
    /// Targets that the request must not use.
    pub excluded: &'a [Id],
    /// Targets that cache a prefix of the prompt, with its length in tokens.
    pub cached: &'a [(Id, u64)],
    /// Whether the request has waited long enough to use targets outside the long set.
    pub aged: bool,
    /// Whether cold credits can be requested.
    pub credits_available: bool,
}

/// Result of placement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Choice {
    pub target: Id,
    /// Whether the dispatch needs a cold credit.
    pub cold: bool,
    /// Predicted time to first token, microseconds.
    pub ttft_us: f64,
    /// Prompt tokens that are not cached and must be prefilled.
    pub prefill_tokens: u64,
}

/// Selects targets and reuses its buffer between scans.
#[derive(Debug, Default)]
pub(super) struct Placement {
    candidates: Vec<Candidate>,
}

#[derive(Debug, Clone, Copy)]
struct Candidate {
    target: Id,
    running: u32,
    score: f64,
}

impl Placement {
    /// Selects a target for a request. Returns none if all suitable targets are busy.
    pub fn choose<Random>(
        &mut self,
        policy: Policy,
        table: &mut Table,
        query: &Query,
        now: Instant,
        random: &mut Random,
    ) -> Option<Choice>
    where
        Random: Rng,
    {
        table.refresh();
        self.candidates.clear();
        let target = match policy {
            Policy::Length => {
                let best = self.scan_by_length(table, query, now);
                self.choose_near_equal(best, random)?
            }
            Policy::RoundRobin => {
                self.scan_by_load(table, query, now);
                let group = table.group_mut(query.group);
                let at = group.cursor.checked_rem(self.candidates.len())?;
                group.cursor = group.cursor.wrapping_add(1);
                self.candidates[at].target
            }
            Policy::LeastLoad => {
                self.scan_by_load(table, query, now);
                let least = self.candidates.iter().map(|entry| entry.running).min()?;
                self.candidates.retain(|entry| entry.running == least);
                let at = random.next_u64() as usize % self.candidates.len();
                self.candidates[at].target
            }
        };
        let snapshot = table.snapshot(target);
        let class = match policy {
            Policy::Length => query.class,
            // The baseline policies send all work with the same priority.
            Policy::RoundRobin | Policy::LeastLoad => Class::Huge,
        };
        let prefill_tokens = query.prefill_tokens(target);
        Some(Choice {
            target,
            cold: snapshot.cold,
            ttft_us: snapshot.wait_us(now, class) + snapshot.prefill_us(prefill_tokens),
            prefill_tokens,
        })
    }

    /// Collects the suitable targets and returns the lowest score.
    fn scan_by_length(&mut self, table: &Table, query: &Query, now: Instant) -> f64 {
        let group = table.group(query.group);
        let reserved = group
            .reserved
            .filter(|&(_, request)| request != query.request);
        let long = query.class >= Class::Long;
        let short = query.class == Class::Short;
        let mut best = f64::INFINITY;
        let mut open = 0;
        for &id in &group.targets {
            let snapshot = table.snapshot(id);
            if !snapshot.is_open(now) {
                continue;
            }
            let in_long_set = !snapshot.cold && open < group.long_targets;
            open += usize::from(!snapshot.cold);
            let reserved_slots = if short || snapshot.slots <= SHORT_RESERVED_SLOTS {
                0
            } else {
                SHORT_RESERVED_SLOTS
            };
            if snapshot.running + reserved_slots >= snapshot.slots
                || (long && !in_long_set && !query.aged)
                || (long && (snapshot.long >= LONG_PER_TARGET || snapshot.unprefilled_long))
                || (!short && reserved.is_some_and(|(target, _)| target == id))
                || (snapshot.cold && !may_request_credit(snapshot, query, now))
                || !kv_fits(snapshot, query, short)
                || query.excluded.contains(&id)
            {
                continue;
            }
            let wait = snapshot.wait_us(now, query.class);
            if wait > TARGET_WAIT_MAX_US && snapshot.running > 0 {
                continue;
            }
            let mut score = wait
                + snapshot.prefill_us(query.prefill_tokens(id))
                + FULL_BATCH_PENALTY_US * f64::from(snapshot.running) / f64::from(snapshot.slots);
            if !long && snapshot.long > 0 {
                score += BESIDE_LONG_PENALTY_US;
            }
            best = best.min(score);
            self.candidates.push(Candidate {
                target: id,
                running: snapshot.running,
                score,
            });
        }
        best
    }

    fn scan_by_load(&mut self, table: &Table, query: &Query, now: Instant) {
        for &id in &table.group(query.group).targets {
            let snapshot = table.snapshot(id);
            if snapshot.is_open(now)
                && snapshot.running < snapshot.slots
                && (!snapshot.cold || may_request_credit(snapshot, query, now))
                && kv_fits(snapshot, query, true)
                && !query.excluded.contains(&id)
            {
                self.candidates.push(Candidate {
                    target: id,
                    running: snapshot.running,
                    score: 0.0,
                });
            }
        }
    }

    /// Picks two of the near-equal targets at random and returns the one with fewer running
    /// requests.
    fn choose_near_equal<Random>(&mut self, best: f64, random: &mut Random) -> Option<Id>
    where
        Random: Rng,
    {
        let near = best * NEAR_RATIO + NEAR_US;
        self.candidates.retain(|entry| entry.score <= near);
        let count = self.candidates.len();
        let first = (random.next_u64() as usize).checked_rem(count)?;
        if count == 1 {
            return Some(self.candidates[first].target);
        }
        let second = (first + 1 + random.next_u64() as usize % (count - 1)) % count;
        let (first, second) = (self.candidates[first], self.candidates[second]);
        Some(if second.running < first.running {
            second.target
        } else {
            first.target
        })
    }
}

impl Query<'_> {
    /// Returns the prompt tokens that the target would have to prefill.
    fn prefill_tokens(&self, target: Id) -> u64 {
        let cached = self.cached.iter().find(|(cached, _)| *cached == target);
        let cached_tokens = cached.map_or(0, |&(_, tokens)| tokens);
        self.prompt_tokens.saturating_sub(cached_tokens)
    }
}

fn kv_fits(snapshot: &Snapshot, query: &Query, use_reserved: bool) -> bool {
    if snapshot.kv_tokens == 0 {
        return true;
    }
    if snapshot.running == 0 {
        return query.kv_tokens <= snapshot.kv_tokens;
    }
    let usable = if use_reserved {
        snapshot.kv_tokens
    } else {
        snapshot.kv_tokens / 100 * (100 - SHORT_RESERVED_KV_PERCENT)
    };
    snapshot.kv_used.saturating_add(query.kv_tokens) <= usable
}

/// Returns whether a credit may be requested for the target. Only one request per target may be
/// unanswered, which keeps a burst from waiting for credits that exceed the budget.
fn may_request_credit(snapshot: &Snapshot, query: &Query, now: Instant) -> bool {
    query.credits_available
        && query.class < Class::Long
        && snapshot.credit_request_from.is_some_and(|from| from <= now)
        && query.prompt_tokens <= snapshot.cold_tokens
}

/// Resizes the long set by the number of waiting and running long
/// requests.
pub(super) fn resize_long_set(table: &mut Table, index: u32, now: Instant) {
    /// Time for which a smaller set must suffice before the set shrinks.
    const SHRINK_AFTER_US: u64 = 2_000_000;
    let mut open = 0;
    let mut running = 0;
    for (_, target) in table.members(index) {
        if target.is_open(now) && !target.is_cold() {
            open += 1;
            running += target.zone_long();
        }
    }
    let group = table.group_mut(index);
    let quiet = group
        .last_short
        .is_none_or(|last| now.since(last).as_micros() as u64 >= SHORT_QUIET_US);
    let demand = group.waiting[2] + group.waiting[3] + running;
    let targets_max = if quiet {
        open
    } else {
        usize::div_ceil(open, 2)
    };
    let wanted = (demand.div_ceil(LONG_PER_TARGET) as usize).clamp(1, targets_max.max(1));
    if wanted >= group.long_targets {
        group.long_targets = wanted;
        group.shrink_since = None;
        return;
    }
    let since = *group.shrink_since.get_or_insert(now);
    if now.since(since).as_micros() as u64 >= SHRINK_AFTER_US {
        group.long_targets = wanted;
        group.shrink_since = None;
    }
}

/// Reserves a target for a long request that has waited too long: the one with the fewest long
/// requests, then with the least KV memory in use.
pub(super) fn reserve_target(table: &mut Table, query: &Query, now: Instant) {
    if table.group(query.group).reserved.is_some() {
        return;
    }
    let best = table
        .members(query.group)
        .filter(|(id, target)| {
            target.is_open(now)
                && !target.is_cold()
                && target.announcement.kv_tokens >= query.kv_tokens
                && !query.excluded.contains(id)
        })
        .min_by_key(|(id, target)| (target.zone_long(), target.kv_used(), *id))
        .map(|(id, _)| id);
    table.group_mut(query.group).reserved = best.map(|id| (id, query.request));
}

/// Targets that cache a prefix of a prompt, with its length in tokens.
pub(super) type Cached = SmallVec<[(Id, u64); 4]>;
