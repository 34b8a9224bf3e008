//! Chooses the targets that run a request.
//!
//! Short prompts share targets. They fill the targets of their own zone in an order that all entry
//! VMs agree on, which keeps the rest of the fleet free of them. Longer prompts would lengthen the
//! passes of the requests that decode beside them. They are prefilled on the other targets, taken
//! from the end of the same order, in parts short enough for the requests that decode there.
//!
//! Elsewhere in `fleet`, all prompts that must not share targets with short ones are called long.
//! Here, those with a prefill time of up to [`LONG_PREFILL_MS`] are called medium. Some targets are
//! reserved for them.

use std::net::SocketAddr;
use std::time::Duration;

use smallvec::SmallVec;

use super::engine::predicted_duration;
use super::{Division, Engine, Load, Saving, Target, Tokens};

/// Fraction of the slots that short prompts fill before the next target in the order is used. The
/// rest absorbs requests of peers that have not been reported yet.
const FILL_FRACTION: f64 = 0.75;

/// Fraction of the objective within which a long prompt is to start, so that prediction errors do
/// not make it late.
const OBJECTIVE_FRACTION: f64 = 0.65;

/// Fraction of the healthy targets that usually prefill a long prompt.
const PREFILL_FRACTION: f64 = 0.6;

/// Mean prefill backlog of the targets above which the fleet is busy, ms.
const BUSY_MS: f64 = 250.0;

/// Value of a late answer relative to one on time, including what a refusal would cost.
const LATE_VALUE: f64 = 0.5;

/// Value per ms of prefill below which a busy fleet refuses a prompt. On time, a prompt of 180,000
/// tokens has 48 and one of 640,000 tokens has 17.
const MIN_VALUE_PER_MS: f64 = 18.0;

/// Most targets that prefill one prompt: the engine takes at most 16 helpers.
pub const MAX_PREFILL_TARGETS: usize = 17;

/// Mean time that a prompt waits for the current pass of the sequences beside it, as a fraction of
/// the pass.
const PASS_WAIT_FRACTION: f64 = 0.5;

/// Prefill time of one part into which a long prompt is split if enough targets are free, ms. Such a
/// part stalls the requests beside it for less than the smallest gap objective.
const PART_PREFILL_MS: f64 = 150.0;

/// Fewest targets that prefill a long prompt. Engines prefill parts before undivided prompts, so a
/// prompt without helpers would wait for all parts that arrive after it.
const MIN_PREFILL_TARGETS: usize = 2;

/// Prompt length of a typical short request, tokens.
const TYPICAL_SHORT_TOKENS: u64 = 5_000;

/// Prompt length of a typical medium request, tokens.
const TYPICAL_MEDIUM_TOKENS: u64 = 45_000;

/// Gap after which the callers of short prompts soon disconnect, ms.
const CALLER_DISCONNECTS_MS: f64 = 1_000.0;

/// Value of an answer that is lost and requested again, relative to one that is late.
const LOST_VALUE: f64 = 1.5;

/// Prefill time on one engine above which a prompt counts as long and does not use the targets
/// reserved for medium prompts, ms.
const LONG_PREFILL_MS: f64 = 1_000.0;

/// Prefill backlog up to which a target counts as idle, ms.
const IDLE_BACKLOG_MS: f64 = 60.0;

/// Prefill backlog up to which medium prompts stay on the targets reserved for them, ms.
const MEDIUM_BACKLOG_MS: f64 = 500.0;

/// Predictions closer than this count as equal, ms.
const TIE_MS: f64 = 20.0;

/// Fraction of the KV cache that placements leave free, since answers grow and peers' reports are
/// delayed.
const KV_RESERVE_FRACTION: f64 = 0.05;

/// A target that may run the request.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// ID of the target.
    pub target: Target,
    /// Address that takes requests.
    pub address: SocketAddr,
    /// Hash of the name; all VMs order targets by it.
    pub name_hash: u64,
    /// Whether it is in the zone of this VM.
    pub local: bool,
    /// Load of the target.
    pub load: Load,
    /// What it saves of the prefill of this prompt, undivided.
    pub saving: Saving,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it failed recently, is slow or has no room.
    pub avoided: bool,
    /// Whether it is in cold start.
    pub cold: bool,
    /// Ratio of the actual to the predicted time to the first event.
    pub slowdown: f64,
    /// Factor by which its passes and prefills exceed the announced times; 1 where its zones are close.
    pub pace: f64,
    /// Order among equal targets. It differs between VMs, so that VMs that decide at the same time
    /// choose different targets.
    pub tie_break: u64,
}

impl Candidate {
    /// Returns whether it is healthy and has no short prompts.
    fn is_dedicated(&self) -> bool {
        !self.avoided && !self.cold && self.short_prompts() == 0
    }

    /// Returns whether it runs as many requests as it can at the same time.
    pub(super) fn is_full(&self) -> bool {
        u32::from(self.load.running) >= self.slots
    }

    /// Returns the number of short prompts there.
    fn short_prompts(&self) -> u16 {
        self.load.running.saturating_sub(self.load.exclusive)
    }
}

/// A target that prefills a part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Helper {
    /// ID of the target.
    pub target: Target,
    /// Address that takes requests.
    pub address: SocketAddr,
    /// KV cache of the prompt that it holds until the request ends, tokens.
    pub held_tokens: u64,
}

/// The targets chosen for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The target that answers.
    pub target: Target,
    /// Targets that prefill parts of the prompt.
    pub helpers: SmallVec<[Helper; 4]>,
    /// Predicted time to the first event.
    pub predicted: Duration,
    /// Predicted prefill time at each of the targets, ms.
    pub prefill_ms: f64,
    /// Whether the prompt is placed on targets without short prompts.
    pub exclusive: bool,
    /// Value that the placement is expected to make late, relative to the value of the request.
    pub cost: f64,
    /// Whether the request does not have to wait for other work at its targets: a long prompt for
    /// the prefill of another one, a short prompt for a slot. Always true for a medium prompt.
    pub idle: bool,
    /// What the target is expected to save of the prefill.
    pub saving: Saving,
}

/// Objectives for placing one request.
#[derive(Debug, Clone, Copy)]
pub struct Placement {
    /// Time left in which the first event meets the objective.
    pub objective: Duration,
    /// Smallest gap objective of the service's routes.
    pub gap: Duration,
    /// Division of the targets between medium and long prompts.
    pub division: Division,
}

impl Placement {
    /// Chooses targets for a generation; none if no target has enough free KV cache.
    pub fn place_generation(
        &self,
        engine: &Engine,
        tokens: Tokens,
        candidates: &[Candidate],
    ) -> Option<Choice> {
        if Self::needs_exclusive(engine, tokens, self.gap) {
            self.place_exclusive(engine, tokens, candidates)
        } else {
            self.place_shared(engine, tokens, candidates)
        }
    }

    /// Returns whether a prompt must not share targets with short prompts: it would stretch their
    /// gaps beyond `gap`, or does not fit into the KV cache of one engine.
    pub fn needs_exclusive(engine: &Engine, tokens: Tokens, gap: Duration) -> bool {
        let fits_one =
            tokens.total() as f64 <= engine.kv_tokens as f64 * (1.0 - KV_RESERVE_FRACTION);
        !fits_one || !engine.can_share_passes(tokens.prompt, gap)
    }

    /// Returns how long a long prompt can still wait for better targets and meet its objective.
    pub fn slack(&self, engine: &Engine, tokens: Tokens, candidates: &[Candidate]) -> Duration {
        let healthy = candidates.iter().filter(|c| !c.avoided && !c.cold).count();
        let parts = (healthy as f64 * PREFILL_FRACTION).clamp(1.0, MAX_PREFILL_TARGETS as f64);
        let least_ms = engine.prefill_ms(tokens.prompt) / parts;
        self.objective
            .mul_f64(OBJECTIVE_FRACTION)
            .saturating_sub(predicted_duration(least_ms))
    }

    /// Returns whether a prompt is worth its prefill time. On a busy fleet, a prompt with little
    /// value per ms of prefill makes more value of other prompts late than its own.
    pub fn is_worthwhile(
        engine: &Engine,
        tokens: Tokens,
        choice: &Choice,
        candidates: &[Candidate],
    ) -> bool {
        let waiting: f64 = candidates
            .iter()
            .map(|c| f64::from(c.load.prefill_ms))
            .sum();
        let busy = waiting / candidates.len().max(1) as f64 > BUSY_MS;
        let late = if choice.cost >= 0.5 { LATE_VALUE } else { 1.0 };
        !busy || value(tokens.prompt) * late / engine.prefill_ms(tokens.prompt) >= MIN_VALUE_PER_MS
    }

    /// Chooses a target for a request to a plain service.
    pub fn place_plain(candidates: &[Candidate]) -> Option<Choice> {
        let best = candidates.iter().min_by_key(|candidate| {
            (
                candidate.avoided,
                candidate.is_full(),
                candidate.cold,
                !candidate.local,
                candidate.load.running,
                candidate.name_hash,
            )
        })?;
        Some(Choice {
            target: best.target,
            helpers: SmallVec::new(),
            predicted: Duration::ZERO,
            prefill_ms: 0.0,
            exclusive: false,
            cost: 0.0,
            idle: true,
            saving: Saving::default(),
        })
    }

    /// Chooses the target with the earliest first event among those that short prompts fill.
    fn place_shared(
        &self,
        engine: &Engine,
        tokens: Tokens,
        candidates: &[Candidate],
    ) -> Option<Choice> {
        let prefill_ms = engine.prefill_ms(tokens.prompt);
        let gap_ms = self.gap.as_secs_f64() * 1e3;
        let mut fitting: SmallVec<[&Candidate; 32]> = candidates
            .iter()
            .filter(|candidate| fits(engine, candidate, tokens))
            .collect();
        fitting.sort_by_key(|c| (!c.local, c.avoided, c.cold, c.name_hash));
        let filled =
            |c: &&Candidate| f64::from(c.short_prompts()) / (f64::from(c.slots) * FILL_FRACTION);
        let needed = fitting
            .iter()
            .filter(|c| c.local)
            .map(filled)
            .sum::<f64>()
            .floor() as usize
            + 1;
        let rest_ms = |c: &Candidate| prefill_ms - c.saving.expected_ms();
        let rank = |c: &&&Candidate| {
            (
                (first_event_ms(engine, c, rest_ms(c)) / TIE_MS) as u64,
                c.tie_break,
            )
        };
        let open = |c: &&&Candidate| {
            let running = u32::from(c.load.running);
            let pass = engine.pass_ms(running + 1, u64::from(c.load.kv_tokens));
            !c.avoided
                && running < c.slots
                && c.load.exclusive == 0
                && (pass + f64::from(c.load.prefill_ms) + rest_ms(c)) * c.pace <= gap_ms
        };
        let local = fitting.iter().filter(|c| c.local).count();
        // Targets further down the order take the prompt only if they run short ones anyway and save time.
        let holds = |c: &Candidate| c.short_prompts() > 0 && c.saving.expected_ms() >= TIE_MS;
        let first = needed.min(local);
        let others = fitting[first..local].iter().filter(|c| holds(c));
        let chosen = fitting[..first]
            .iter()
            .chain(others)
            .filter(open)
            .min_by_key(rank);
        let chosen = chosen.or_else(|| fitting[..local].iter().find(open));
        let chosen = chosen.or_else(|| fitting[local..].iter().filter(open).min_by_key(rank));
        // Next best are targets where the gaps of decoding requests grow, and then those without a
        // free slot.
        let room = |c: &&&Candidate| !c.avoided && !c.is_full();
        let chosen = chosen.or_else(|| fitting.iter().filter(room).min_by_key(rank));
        let idle = chosen.is_some();
        let chosen =
            chosen.or_else(|| fitting.iter().min_by_key(|c| (c.avoided, c.cold, rank(c))))?;
        Some(Choice {
            target: chosen.target,
            helpers: SmallVec::new(),
            predicted: predicted_duration(first_event_ms(engine, chosen, rest_ms(chosen))),
            prefill_ms: rest_ms(chosen),
            exclusive: false,
            cost: 0.0,
            idle,
            saving: chosen.saving,
        })
    }
}

impl Placement {
    /// Splits the prefill of a long prompt over several targets. Each part stalls the requests
    /// beside it for a shorter time, and the first event comes sooner for the same work. Chooses
    /// the number of parts for which the least [`value`] is expected to be late, that of this prompt
    /// and of the requests beside its parts.
    fn place_exclusive(
        &self,
        engine: &Engine,
        tokens: Tokens,
        candidates: &[Candidate],
    ) -> Option<Choice> {
        let prefill_ms = engine.prefill_ms(tokens.prompt);
        let gap_ms = self.gap.as_secs_f64() * 1e3;
        let mut free: SmallVec<[&Candidate; 32]> = candidates.iter().collect();
        let long = prefill_ms > LONG_PREFILL_MS;
        let medium_limit = medium_target_limit(&free, self.division);
        if long && let Some(end) = medium_limit {
            free.retain(|c| !(c.is_dedicated() && c.name_hash <= end));
        }
        // An engine that prefills parts of two prompts finishes both later. Reports that a prefill
        // has ended take tens of ms to arrive; with the predicted end, the next prompt can use the
        // target without them.
        let busy = |c: &Candidate| f64::from(c.load.prefill_ms) > IDLE_BACKLOG_MS;
        let idle = !long || free.iter().any(|c| !c.avoided && !busy(c));
        if long && idle {
            free.retain(|c| !busy(c));
        } else if let Some(end) = medium_limit
            && !long
            && free.iter().any(|c| {
                c.is_dedicated()
                    && c.name_hash <= end
                    && f64::from(c.load.prefill_ms) < MEDIUM_BACKLOG_MS
            })
        {
            free.retain(|c| c.is_dedicated() && c.name_hash <= end);
        }
        // Medium prompts decode on the targets reserved for them, where no parts of long prompts
        // stall them.
        let primary_rank = |c: &Candidate| {
            let outside = medium_limit.is_some_and(|end| c.name_hash > end);
            (!long && outside, c.load.running, c.name_hash)
        };
        free.sort_by_key(|c| {
            let backlog = (f64::from(c.load.prefill_ms) / TIE_MS) as u64;
            // Medium prompts first take the targets that long prompts take last.
            let order = if long {
                u64::MAX - c.name_hash
            } else {
                c.name_hash
            };
            (c.avoided, c.cold, c.short_prompts(), backlog, order)
        });
        let healthy = free.iter().filter(|c| !c.avoided && !c.cold).count();
        let wanted = ((prefill_ms / PART_PREFILL_MS).ceil() as usize).max(MIN_PREFILL_TARGETS);
        let most = wanted
            .min(healthy)
            .clamp(1, MAX_PREFILL_TARGETS)
            .min(free.len());
        let least = MIN_PREFILL_TARGETS.min(most);
        let mut best: Option<(f64, f64, usize, KvPlacement)> = None;
        for parts in least..=most {
            let chosen = &free[..parts];
            let Some(memory) = KvPlacement::new(engine, tokens, chosen, primary_rank) else {
                continue;
            };
            let part_ms = prefill_ms / parts as f64;
            let last = chosen.iter().map(|c| first_event_ms(engine, c, part_ms));
            let last = last.fold(0.0, f64::max);
            let stalled: f64 = chosen
                .iter()
                .map(|c| stalled_value(engine, c, part_ms, gap_ms))
                .sum();
            let late = late_probability(last, self.objective.as_secs_f64() * 1e3);
            let cost = late * value(tokens.prompt) + stalled;
            if best
                .as_ref()
                .is_none_or(|(other, ms, ..)| (cost, last) < (*other, *ms))
            {
                best = Some((cost, last, parts, memory));
            }
        }
        let (cost, ms, parts, memory) = if let Some(best) = best {
            best
        } else {
            // Few targets are free, and their KV caches cannot hold the prompt.
            let parts = free.len().min(MAX_PREFILL_TARGETS);
            let memory = KvPlacement::new(engine, tokens, &free[..parts], primary_rank)?;
            let part_ms = prefill_ms / parts as f64;
            let firsts = free[..parts]
                .iter()
                .map(|c| first_event_ms(engine, c, part_ms));
            (
                value(tokens.prompt),
                firsts.fold(0.0, f64::max),
                parts,
                memory,
            )
        };
        let helpers = free[..parts].iter().enumerate();
        let helpers = helpers.filter(|(index, _)| *index != memory.primary);
        let helper = |(index, c): (usize, &&Candidate)| {
            let held = memory.held.iter().find(|(holder, _)| *holder == index);
            Helper {
                target: c.target,
                address: c.address,
                held_tokens: held.map_or(0, |(_, tokens)| *tokens),
            }
        };
        Some(Choice {
            target: free[memory.primary].target,
            helpers: helpers.map(helper).collect(),
            predicted: predicted_duration(ms),
            prefill_ms: prefill_ms / parts as f64,
            exclusive: true,
            cost: cost / value(tokens.prompt),
            idle,
            saving: Saving::default(),
        })
    }
}

/// Placement of the KV cache of a prompt and its answer.
#[derive(Debug)]
struct KvPlacement {
    /// Index of the target that answers and holds everything that no other target holds.
    primary: usize,
    /// Indexes of the targets that hold a part, with its tokens.
    held: SmallVec<[(usize, u64); 2]>,
}

impl KvPlacement {
    /// Places the KV cache on as few targets as possible; none if it does not fit. If one target
    /// can hold everything, the one with the lowest rank is chosen.
    fn new<F>(engine: &Engine, tokens: Tokens, chosen: &[&Candidate], rank: F) -> Option<Self>
    where
        F: Fn(&Candidate) -> (bool, u16, u64),
    {
        let room = |c: &Candidate| {
            let limit = (engine.kv_tokens as f64 * (1.0 - KV_RESERVE_FRACTION)) as u64;
            limit.saturating_sub(u64::from(c.load.kv_tokens))
        };
        let needed = tokens.total();
        let fitting = chosen.iter().enumerate().filter(|(_, c)| room(c) >= needed);
        if let Some((primary, _)) = fitting.min_by_key(|(_, c)| rank(c)) {
            let held = SmallVec::new();
            return Some(Self { primary, held });
        }
        let mut rooms: SmallVec<[(u64, usize); 32]> = chosen
            .iter()
            .enumerate()
            .map(|(index, c)| (room(c), index))
            .collect();
        rooms.sort_unstable_by(|a, b| b.cmp(a));
        let (first, primary) = *rooms.first()?;
        // The answer grows on the target that decodes it.
        let mut left = tokens
            .prompt
            .checked_sub(first.checked_sub(tokens.answer)?)?;
        let mut held = SmallVec::new();
        for (room, index) in rooms.into_iter().skip(1) {
            if left == 0 {
                break;
            }
            let part = left.min(room);
            held.push((index, part));
            left -= part;
        }
        (left == 0).then_some(Self { primary, held })
    }
}

/// Returns the largest name hash of the targets reserved for medium prompts; none if there are too
/// few targets. Without the reserve, medium prompts would wait behind parts of long ones that take
/// many times as long.
fn medium_target_limit(free: &[&Candidate], division: Division) -> Option<u64> {
    let dedicated = free.iter().filter(|c| c.is_dedicated());
    let mut hashes: SmallVec<[u64; 32]> = dedicated.map(|c| c.name_hash).collect();
    hashes.sort_unstable();
    let last = division.reserved_targets(hashes.len()).checked_sub(1)?;
    Some(hashes[last])
}

/// Returns the value of a generation relative to others. It grows with the prompt; the constant
/// keeps short prompts from counting for nothing.
fn value(prompt_tokens: u64) -> f64 {
    5_000.0 + prompt_tokens as f64
}

/// Returns the value of the answers at a target that a part makes late. Their gap lasts for a pass
/// and the prefill in it.
pub(super) fn stalled_value(
    engine: &Engine,
    candidate: &Candidate,
    part_ms: f64,
    gap_ms: f64,
) -> f64 {
    let load = candidate.load;
    let pass = engine.pass_ms(u32::from(load.running), u64::from(load.kv_tokens));
    let stall_ms = pass + f64::from(load.prefill_ms) + part_ms;
    let mut stalled = 0.0;
    if stall_ms > gap_ms {
        // After a long stall callers disconnect, or their streams are resumed elsewhere and prefilled
        // again.
        let lost = if stall_ms > CALLER_DISCONNECTS_MS {
            LOST_VALUE
        } else {
            1.0
        };
        stalled += f64::from(candidate.short_prompts()) * value(TYPICAL_SHORT_TOKENS) * lost;
    }
    if load.gap_ms > 0 && stall_ms > f64::from(load.gap_ms) {
        stalled += f64::from(load.exclusive) * value(TYPICAL_MEDIUM_TOKENS);
    }
    stalled
}

/// Returns the probability that a first event comes late. Predictions are off by a third in either
/// direction.
fn late_probability(predicted_ms: f64, objective_ms: f64) -> f64 {
    /// Fraction of the objective up to which a prediction is certainly met.
    const EARLY: f64 = 0.6;
    /// Fraction of the objective from which a prediction is certainly late.
    const LATE: f64 = 1.1;
    let fraction = predicted_ms / objective_ms.max(1.0);
    ((fraction - EARLY) / (LATE - EARLY)).clamp(0.0, 1.0)
}

/// Returns whether the KV cache of a target can hold a prompt and its answer.
pub(super) fn fits(engine: &Engine, candidate: &Candidate, tokens: Tokens) -> bool {
    let limit = engine.kv_tokens as f64 * (1.0 - KV_RESERVE_FRACTION);
    let needed = u64::from(candidate.load.kv_tokens).saturating_add(tokens.total());
    needed as f64 <= limit
}

/// Predicts the time to the first event of a prompt that is prefilled beside the load of a target,
/// ms.
pub(super) fn first_event_ms(engine: &Engine, candidate: &Candidate, prefill_ms: f64) -> f64 {
    let load = candidate.load;
    let sequences = u32::from(load.running).min(engine.slots);
    let pass = engine.pass_ms(sequences, u64::from(load.kv_tokens));
    let wait = if sequences == 0 {
        0.0
    } else {
        pass * PASS_WAIT_FRACTION
    };
    // A request beyond the slots waits until another one ends; an answer takes about 30 passes.
    const PASSES_OF_ANSWER: f64 = 30.0;
    let queued = (u32::from(load.running) + 1).saturating_sub(engine.slots);
    let queue = f64::from(queued) * pass * PASSES_OF_ANSWER / f64::from(engine.slots.max(1));
    (wait + queue + f64::from(load.prefill_ms) + prefill_ms) * candidate.slowdown
}
