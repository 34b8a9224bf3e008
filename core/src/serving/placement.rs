//! Choice of a target for a request.
//!
//! Long work is bounded for each target and goes to a set of targets that grows and shrinks with
//! demand; short requests prefer targets without long work. Several entry VMs act on the same
//! lagging load reports, so that the choice among near-equal targets is random.

use rand::Rng;
use smallvec::SmallVec;

use crate::request::{Class, Id as RequestId};
use crate::target::Id;
use crate::time::Instant;

use super::settings::Policy;
use super::target::{Table, Target};

/// Long requests that one target runs at a time.
const LONG_PER_TARGET: u32 = 2;

/// Slots that only short requests may use.
const SHORT_SLOTS: u32 = 1;

/// Part of the KV memory that only short requests may use, percent.
const SHORT_KV_PERCENT: u64 = 10;

/// Predicted wait above which a request waits in the fair queue instead of at the target.
const TARGET_BACKLOG_US: f64 = 1_000_000.0;

/// Wait that a short or medium request accepts to avoid a target that runs long work.
const BESIDE_LONG_PENALTY_US: f64 = 300_000.0;

/// Wait that a request accepts to get an idle target instead of one with all slots taken, since
/// the streams of a batch slow each other down.
const FULL_BATCH_PENALTY_US: f64 = 50_000.0;

/// Targets count as near-equal up to this ratio of their predictions, plus [`NEAR_US`].
const NEAR_RATIO: f64 = 1.1;

/// Difference below which predictions count as near-equal, because reports lag by more.
const NEAR_US: f64 = 5_000.0;

/// Time without short arrivals after which long work may use all targets.
const SHORT_QUIET_US: u64 = 5_000_000;

/// What a request asks of a target.
#[derive(Debug)]
pub(super) struct Ask<'a> {
    pub request: RequestId,
    pub group: u32,
    pub class: Class,
    pub prompt_tokens: u64,
    pub kv_tokens: u64,
    /// Targets that the request must not use.
    pub excluded: &'a [Id],
    /// Targets that cache a part of the prompt, with its tokens.
    pub cached: &'a [(Id, u64)],
    /// Whether the request has waited so long that it may use targets outside the long set.
    pub aged: bool,
    /// Whether cold credits can be asked for.
    pub credits: bool,
}

/// A chosen target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Choice {
    pub target: Id,
    /// Whether a cold credit is needed.
    pub cold: bool,
    /// Predicted time to the first token, microseconds.
    pub ttft_us: f64,
    /// Prompt tokens to prefill.
    pub prefill_tokens: u64,
}

/// Finds targets; holds the buffer of the scan.
#[derive(Debug, Default)]
pub(super) struct Placement {
    candidates: Vec<Candidate>,
}

#[derive(Debug, Clone, Copy)]
struct Candidate {
    choice: Choice,
    score: f64,
    running: u32,
}

impl Placement {
    /// Chooses a target for a request, or none if all suitable targets are busy.
    pub fn choose<Random>(
        &mut self,
        policy: Policy,
        table: &mut Table,
        ask: &Ask,
        now: Instant,
        random: &mut Random,
    ) -> Option<Choice>
    where
        Random: Rng,
    {
        self.candidates.clear();
        match policy {
            Policy::Length => self.scan_by_length(table, ask, now),
            Policy::RoundRobin | Policy::LeastLoad => self.scan_by_load(table, ask, now),
        }
        if self.candidates.is_empty() {
            return None;
        }
        match policy {
            Policy::Length => Some(self.near_best(random)),
            Policy::RoundRobin => {
                let group = table.group_mut(ask.group);
                let at = group.cursor % self.candidates.len();
                group.cursor = group.cursor.wrapping_add(1);
                Some(self.candidates[at].choice)
            }
            Policy::LeastLoad => {
                let least = self.candidates.iter().map(|entry| entry.running).min()?;
                self.candidates.retain(|entry| entry.running == least);
                let at = random.next_u64() as usize % self.candidates.len();
                Some(self.candidates[at].choice)
            }
        }
    }

    fn scan_by_length(&mut self, table: &Table, ask: &Ask, now: Instant) {
        let group = table.group(ask.group);
        let reserved = group
            .reserved
            .filter(|&(_, request)| request != ask.request);
        let long = ask.class >= Class::Long;
        let short = ask.class == Class::Short;
        let mut open = 0;
        for (id, target) in table.members(ask.group) {
            if !target.is_open(now) {
                continue;
            }
            let cold = target.is_cold();
            let in_long_set = !cold && open < group.long_targets;
            open += usize::from(!cold);
            let running = target.zone_running();
            let slots = target.announcement.max_running;
            let kept = if short || slots <= SHORT_SLOTS {
                0
            } else {
                SHORT_SLOTS
            };
            if running + kept >= slots
                || (long && !in_long_set && !ask.aged)
                || (long
                    && (target.zone_long() >= LONG_PER_TARGET || target.unprefilled_long() > 0))
                || (!short && reserved.is_some_and(|(target, _)| target == id))
                || (cold && !may_ask_credit(target, ask, now))
                || !kv_fits(target, ask, short)
                || ask.excluded.contains(&id)
            {
                continue;
            }
            let wait = target.wait_us(now, ask.class);
            if wait > TARGET_BACKLOG_US && running > 0 {
                continue;
            }
            let choice = predict(id, target, ask, cold, wait);
            let mut score = choice.ttft_us
                + FULL_BATCH_PENALTY_US * f64::from(running) / f64::from(slots.max(1));
            if !long && target.zone_long() > 0 {
                score += BESIDE_LONG_PENALTY_US;
            }
            self.candidates.push(Candidate {
                choice,
                score,
                running,
            });
        }
    }

    fn scan_by_load(&mut self, table: &Table, ask: &Ask, now: Instant) {
        for (id, target) in table.members(ask.group) {
            let running = target.zone_running();
            let cold = target.is_cold();
            if !target.is_open(now)
                || running >= target.announcement.max_running
                || (cold && !may_ask_credit(target, ask, now))
                || !kv_fits(target, ask, true)
                || ask.excluded.contains(&id)
            {
                continue;
            }
            let wait = target.wait_us(now, Class::Huge);
            self.candidates.push(Candidate {
                choice: predict(id, target, ask, cold, wait),
                score: 0.0,
                running,
            });
        }
    }

    /// Takes two of the near-equal targets at random and returns the one with less running work.
    fn near_best<Random>(&mut self, random: &mut Random) -> Choice
    where
        Random: Rng,
    {
        let best = self
            .candidates
            .iter()
            .map(|entry| entry.score)
            .fold(f64::INFINITY, f64::min);
        let near = best * NEAR_RATIO + NEAR_US;
        self.candidates.retain(|entry| entry.score <= near);
        let count = self.candidates.len();
        let first = random.next_u64() as usize % count;
        if count == 1 {
            return self.candidates[first].choice;
        }
        let second = (first + 1 + random.next_u64() as usize % (count - 1)) % count;
        let (first, second) = (self.candidates[first], self.candidates[second]);
        if second.running < first.running {
            second.choice
        } else {
            first.choice
        }
    }
}

fn predict(id: Id, target: &Target, ask: &Ask, cold: bool, wait_us: f64) -> Choice {
    let cached = ask.cached.iter().find(|(cached, _)| *cached == id);
    let cached_tokens = cached.map_or(0, |&(_, tokens)| tokens);
    let prefill_tokens = ask.prompt_tokens.saturating_sub(cached_tokens);
    Choice {
        target: id,
        cold,
        ttft_us: wait_us + target.prefill_us(prefill_tokens),
        prefill_tokens,
    }
}

fn kv_fits(target: &Target, ask: &Ask, whole: bool) -> bool {
    let memory = target.announcement.kv_tokens;
    if memory == 0 {
        return true;
    }
    if target.zone_running() == 0 {
        return ask.kv_tokens <= memory;
    }
    let usable = if whole {
        memory
    } else {
        memory / 100 * (100 - SHORT_KV_PERCENT)
    };
    target.kv_used().saturating_add(ask.kv_tokens) <= usable
}

/// Returns whether a credit may be asked for. One unanswered ask for each target keeps a burst from
/// waiting for credits that the budget cannot give.
fn may_ask_credit(target: &Target, ask: &Ask, now: Instant) -> bool {
    ask.credits
        && ask.class < Class::Long
        && target.asks == 0
        && target.denied_until <= now
        && ask.prompt_tokens <= target.announcement.cold_budget.tokens
}

/// Recalculates how many targets of a group take long work, from waiting and running long requests.
pub(super) fn size_long_set(table: &mut Table, index: u32, now: Instant) {
    /// Time for which a smaller set must do before the set shrinks.
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
    let most = if quiet {
        open
    } else {
        usize::div_ceil(open, 2)
    };
    let wanted = (demand.div_ceil(LONG_PER_TARGET) as usize).clamp(1, most.max(1));
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

/// Keeps the open target with the least memory in use free for a long request that has waited long.
pub(super) fn reserve(table: &mut Table, ask: &Ask, now: Instant) {
    if table.group(ask.group).reserved.is_some() {
        return;
    }
    let best = table
        .members(ask.group)
        .filter(|(id, target)| {
            target.is_open(now)
                && !target.is_cold()
                && target.announcement.kv_tokens >= ask.kv_tokens
                && !ask.excluded.contains(id)
        })
        .min_by_key(|(id, target)| (target.zone_long(), target.kv_used(), *id))
        .map(|(id, _)| id);
    table.group_mut(ask.group).reserved = best.map(|id| (id, ask.request));
}

/// Targets that cache a part of a prompt.
pub(super) type Cached = SmallVec<[(Id, u64); 4]>;
