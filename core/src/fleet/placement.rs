//! Which targets run a request.
//!
//! Short prompts share targets: they fill the targets of their own zone in an order that all entry VMs
//! know, so that the rest of the fleet stays free of writers. Longer prompts would stretch the passes of
//! the writers beside them, so they read on targets without other work, taken from the end of the same
//! order, and on as many of them as it takes to be on time.

use std::net::SocketAddr;
use std::time::Duration;

use smallvec::SmallVec;

use super::{Engine, Load, Target, Tokens};

/// Part of the slots that short prompts fill before the next target in the order is used. The rest
/// takes what peers send before this VM hears of it.
const FILL: f64 = 0.75;

/// Part of the objective within which a target that is first in the order is taken without comparing.
const EARLY: f64 = 0.5;

/// Part of the objective that the prediction for a long prompt may use; the rest covers passes in
/// progress and the spread of the model.
const ON_TIME: f64 = 0.7;

/// Largest number of targets that read one prompt: the engine takes 16 helpers.
pub const MAX_READERS: usize = 17;

/// Time that a reader waits for the pass of writers beside it, as a part of the pass.
const PASS_WAIT: f64 = 0.5;

/// Penalty for reading beside the writers of prompts that were read exclusively: their pauses grow, ms.
const BESIDE_WRITERS_MS: f64 = 300.0;

/// Part of an engine's memory that predictions leave free, since answers grow and peers' news is late.
const KV_RESERVE: f64 = 0.05;

/// A target that may run the request.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The target.
    pub target: Target,
    /// Its address.
    pub address: SocketAddr,
    /// Position that all VMs agree on.
    pub order: u64,
    /// Whether it is in the zone of this VM.
    pub local: bool,
    /// Work there.
    pub load: Load,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it failed lately, or is slow.
    pub avoided: bool,
    /// Whether it is in cold start.
    pub cold: bool,
    /// How many times longer than predicted it takes.
    pub pace: f64,
}

/// Where a request runs.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The target that answers.
    pub target: Target,
    /// Targets that read parts of the prompt, with their addresses.
    pub helpers: SmallVec<[(Target, SocketAddr); 4]>,
    /// Predicted time to the first event.
    pub predicted: Duration,
    /// Predicted reading at each of the targets, ms.
    pub read_ms: f64,
    /// Whether the prompt needs targets without other work.
    pub exclusive: bool,
}

/// Limits for one request.
#[derive(Debug, Clone, Copy)]
pub struct Placement {
    /// Time within which the first event is on time, counted from now.
    pub objective: Duration,
    /// Longest pause between events that is on time.
    pub gap: Duration,
}

impl Placement {
    /// Chooses targets for a generation; none if no target has the memory.
    pub fn generation(
        &self,
        engine: &Engine,
        tokens: Tokens,
        candidates: &[Candidate],
    ) -> Option<Choice> {
        if engine.shares_passes(tokens.prompt, self.gap) {
            self.shared(engine, tokens, candidates)
        } else {
            self.exclusive(engine, tokens, candidates)
        }
    }

    /// Chooses a target for a request to a plain service.
    pub fn plain(candidates: &[Candidate]) -> Option<Choice> {
        let best = candidates.iter().min_by_key(|candidate| {
            let full = u32::from(candidate.load.running) >= candidate.slots;
            (
                candidate.avoided,
                full,
                candidate.cold,
                !candidate.local,
                candidate.load.running,
                candidate.order,
            )
        })?;
        Some(Choice {
            target: best.target,
            helpers: SmallVec::new(),
            predicted: Duration::ZERO,
            read_ms: 0.0,
            exclusive: false,
        })
    }

    fn shared(&self, engine: &Engine, tokens: Tokens, candidates: &[Candidate]) -> Option<Choice> {
        let read_ms = engine.read_ms(tokens.prompt);
        let early_ms = self.objective.as_secs_f64() * 1e3 * EARLY;
        let mut best: Option<(bool, f64, &Candidate)> = None;
        let mut first: Option<((bool, bool, u64), f64, &Candidate)> = None;
        for candidate in candidates.iter().filter(|c| fits(engine, c, tokens)) {
            let ms = first_event_ms(engine, candidate, read_ms);
            let key = (candidate.avoided, ms);
            if best.is_none_or(|(avoided, other, _)| key < (avoided, other)) {
                best = Some((candidate.avoided, ms, candidate));
            }
            let filled = f64::from(candidate.load.running) >= f64::from(candidate.slots) * FILL;
            let rank = (candidate.cold, !candidate.local, candidate.order);
            if !candidate.avoided
                && !filled
                && candidate.load.exclusive == 0
                && ms <= early_ms.max(read_ms * 1.5)
                && first.is_none_or(|(other, ..)| rank < other)
            {
                first = Some((rank, ms, candidate));
            }
        }
        let first = first.map(|(_, ms, candidate)| (ms, candidate));
        let best = best.map(|(_, ms, candidate)| (ms, candidate));
        let (ms, candidate) = first.or(best)?;
        Some(Choice {
            target: candidate.target,
            helpers: SmallVec::new(),
            predicted: Duration::from_secs_f64(ms / 1e3),
            read_ms,
            exclusive: false,
        })
    }

    fn exclusive(
        &self,
        engine: &Engine,
        tokens: Tokens,
        candidates: &[Candidate],
    ) -> Option<Choice> {
        let read_ms = engine.read_ms(tokens.prompt);
        let goal_ms = self.objective.as_secs_f64() * 1e3 * ON_TIME;
        let mut free: SmallVec<[(f64, &Candidate); 32]> = candidates
            .iter()
            .map(|candidate| (free_in_ms(engine, candidate), candidate))
            .collect();
        free.sort_by(|(a_ms, a), (b_ms, b)| {
            let key = |ms: &f64, c: &Candidate| (c.avoided, (ms / 50.0) as u64, c.cold, !c.local);
            let order = key(a_ms, a).cmp(&key(b_ms, b));
            order.then(b.order.cmp(&a.order))
        });
        let mut best: Option<(f64, usize, usize)> = None;
        let mut wait_ms = 0.0_f64;
        let mut head: Option<usize> = None;
        for (index, (ms, candidate)) in free.iter().take(MAX_READERS).enumerate() {
            if candidate.avoided && best.is_some() {
                break;
            }
            wait_ms = wait_ms.max(*ms);
            if head.is_none() && fits(engine, candidate, tokens) {
                head = Some(index);
            }
            let Some(head) = head else {
                continue;
            };
            let readers = index + 1;
            let pace = free[..readers]
                .iter()
                .map(|(_, c)| c.pace)
                .fold(1.0, f64::max);
            let total = wait_ms + read_ms * pace / readers as f64;
            if best.is_none_or(|(other, ..)| total < other) {
                best = Some((total, readers, head));
            }
            if total <= goal_ms {
                break;
            }
        }
        let (total, readers, head) = best?;
        let helpers = free[..readers].iter().enumerate();
        let helpers = helpers
            .filter(|(index, _)| *index != head)
            .map(|(_, (_, candidate))| (candidate.target, candidate.address));
        Some(Choice {
            target: free[head].1.target,
            helpers: helpers.collect(),
            predicted: Duration::from_secs_f64(total / 1e3),
            read_ms: read_ms / readers as f64,
            exclusive: true,
        })
    }
}

/// Returns whether the memory of a target takes a prompt and its answer.
fn fits(engine: &Engine, candidate: &Candidate, tokens: Tokens) -> bool {
    let limit = engine.kv_tokens as f64 * (1.0 - KV_RESERVE);
    let needed = u64::from(candidate.load.kv_tokens) + tokens.prompt + tokens.answer;
    needed as f64 <= limit
}

/// Predicts the time to the first event of a prompt that reads beside the work of a target, ms.
fn first_event_ms(engine: &Engine, candidate: &Candidate, read_ms: f64) -> f64 {
    let load = candidate.load;
    let writers = u32::from(load.running).min(engine.slots);
    let pass = engine.pass_ms(writers, u64::from(load.kv_tokens));
    let wait = if writers == 0 { 0.0 } else { pass * PASS_WAIT };
    // A request beyond the slots waits until a writer ends; an answer takes about 30 passes.
    const PASSES_OF_ANSWER: f64 = 30.0;
    let queued = (u32::from(load.running) + 1).saturating_sub(engine.slots);
    let queue = f64::from(queued) * pass * PASSES_OF_ANSWER / f64::from(engine.slots.max(1));
    (wait + queue + f64::from(load.read_ms) + read_ms) * candidate.pace
}

/// Predicts when a target can start to read a prompt that needs it alone, ms.
fn free_in_ms(engine: &Engine, candidate: &Candidate) -> f64 {
    let load = candidate.load;
    let shared = load.running - load.exclusive.min(load.running);
    let mut ms = f64::from(load.read_ms);
    if shared > 0 {
        // All answers here would be late, so a target with short prompts counts as taken until they end.
        const PASSES_OF_ANSWER: f64 = 40.0;
        let pass = engine.pass_ms(u32::from(load.running), u64::from(load.kv_tokens));
        ms += pass * PASSES_OF_ANSWER * f64::from(shared).sqrt();
    } else if load.exclusive > 0 && load.read_ms == 0 {
        ms += BESIDE_WRITERS_MS;
    }
    ms
}
