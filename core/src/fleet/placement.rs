//! Which targets run a request.
//!
//! Short prompts share targets: they fill the targets of their own zone in an order that all entry VMs
//! know, so that the rest of the fleet stays free of them. Longer prompts would stretch the passes of
//! the writers beside them, so they read on the other targets, taken from the end of the same order, in
//! parts that are short enough for the writers there.

use std::net::SocketAddr;
use std::time::Duration;

use smallvec::SmallVec;

use super::engine::predicted;
use super::{Engine, Load, Target, Tokens};

/// Part of the slots that short prompts fill before the next target in the order is used. The rest
/// takes what peers send before this VM hears of it.
const FILL: f64 = 0.75;

/// Part of the objective within which a long prompt is to start, so that errors of the prediction do not
/// make it late.
const ON_TIME: f64 = 0.65;

/// Part of the sound targets that usually read a long prompt.
const USUAL_READERS: f64 = 0.6;

/// Mean reading that waits at the targets above which the fleet is busy, ms.
const BUSY_MS: f64 = 250.0;

/// Worth of a late answer in relation to one on time, together with what its refusal would cost.
const LATE_WORTH: f64 = 0.5;

/// Worth for a ms of reading below which a busy fleet refuses a prompt. A prompt of 180,000 tokens has
/// 48 on time, one of 640,000 has 17.
const LEAST_WORTH_PER_MS: f64 = 18.0;

/// Largest number of targets that read one prompt: the engine takes 16 helpers.
pub const MAX_READERS: usize = 17;

/// Time that a reader waits for the pass of writers beside it, as a part of the pass.
const PASS_WAIT: f64 = 0.5;

/// Reading in one pass that a long prompt is split down to if enough targets are free. It stalls the
/// writers beside it by less than the shortest pause that counts as late.
const PART_MS: f64 = 150.0;

/// Fewest readers of a long prompt. Engines read parts ahead of whole prompts, so a prompt without
/// helpers would wait for all parts that come after it.
const MIN_READERS: usize = 2;

/// Prompt of a usual short request, tokens.
const SHORT_TOKENS: u64 = 5_000;

/// Prompt of a usual request of medium length, tokens.
const MEDIUM_TOKENS: u64 = 45_000;

/// Pause after which the callers of short prompts leave soon, ms.
const LEAVE_MS: f64 = 1_000.0;

/// Worth of an answer that is lost and asked for again, in relation to one that is late.
const LOST_WORTH: f64 = 1.5;

/// Reading on one engine above which a prompt leaves some targets to shorter ones, ms.
const LONG_MS: f64 = 1_000.0;

/// Reading that waits at a target up to which it counts as idle, ms.
const IDLE_MS: f64 = 60.0;

/// Reading that waits in the lane for medium prompts up to which they keep to it, ms.
const LANE_MS: f64 = 500.0;

/// One of so many targets without short prompts is kept for prompts of medium length.
const LANE_PART: usize = 5;

/// Predictions that are this close count as equal, ms.
const NEAR_MS: f64 = 20.0;

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
    /// Order among equals that differs from VM to VM, so that those that decide at the same time choose
    /// different targets.
    pub spread: u64,
}

impl Candidate {
    /// Returns whether it is sound and has no short prompts.
    fn apart(&self) -> bool {
        !self.avoided && !self.cold && self.shared() == 0
    }

    /// Returns the number of short prompts there.
    fn shared(&self) -> u16 {
        self.load.running.saturating_sub(self.load.exclusive)
    }
}

/// A target that reads a part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Helper {
    /// The target.
    pub target: Target,
    /// Its address.
    pub address: SocketAddr,
    /// Memory of the prompt that it holds while the request runs, tokens.
    pub held_tokens: u64,
}

/// Where a request runs.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The target that answers.
    pub target: Target,
    /// Targets that read parts of the prompt.
    pub helpers: SmallVec<[Helper; 4]>,
    /// Predicted time to the first event.
    pub predicted: Duration,
    /// Predicted reading at each of the targets, ms.
    pub prefill_ms: f64,
    /// Whether the prompt needs targets without other work.
    pub exclusive: bool,
    /// Worth that the placement is expected to make late, in relation to that of the request.
    pub cost: f64,
    /// Whether no target has to end other work first: it reads no other long prompt, or has a free slot
    /// for a short one.
    pub idle: bool,
}

/// Limits for one request.
#[derive(Debug, Clone, Copy)]
pub struct Placement {
    /// Time within which the first event is on time, counted from now.
    pub objective: Duration,
    /// Shortest of the pauses between events that are on time for the service's routes.
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
        if Self::apart(engine, tokens, self.gap) {
            self.exclusive(engine, tokens, candidates)
        } else {
            self.shared(engine, tokens, candidates)
        }
    }

    /// Returns whether a prompt reads apart from short ones: it would stretch the pauses beside it beyond
    /// `gap`, or does not fit into one engine's memory.
    pub fn apart(engine: &Engine, tokens: Tokens, gap: Duration) -> bool {
        let fits_one = tokens.total() as f64 <= engine.kv_tokens as f64 * (1.0 - KV_RESERVE);
        !fits_one || !engine.shares_passes(tokens.prompt, gap)
    }

    /// Returns how long a long prompt may still wait for better targets and be on time.
    pub fn slack(&self, engine: &Engine, tokens: Tokens, candidates: &[Candidate]) -> Duration {
        let sound = candidates.iter().filter(|c| !c.avoided && !c.cold).count();
        let readers = (sound as f64 * USUAL_READERS).clamp(1.0, MAX_READERS as f64);
        let least_ms = engine.prefill_ms(tokens.prompt) / readers;
        self.objective
            .mul_f64(ON_TIME)
            .saturating_sub(predicted(least_ms))
    }

    /// Returns whether a prompt is worth its reading. While targets have work that waits, one that takes
    /// many times the reading of others for its worth makes more of them late than it is worth.
    pub fn pays(
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
        let late = if choice.cost >= 0.5 { LATE_WORTH } else { 1.0 };
        !busy
            || worth(tokens.prompt) * late / engine.prefill_ms(tokens.prompt) >= LEAST_WORTH_PER_MS
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
            prefill_ms: 0.0,
            exclusive: false,
            cost: 0.0,
            idle: true,
        })
    }

    /// Chooses the target with the least reading among those that short prompts fill.
    fn shared(&self, engine: &Engine, tokens: Tokens, candidates: &[Candidate]) -> Option<Choice> {
        let prefill_ms = engine.prefill_ms(tokens.prompt);
        let gap_ms = self.gap.as_secs_f64() * 1e3;
        let mut fitting: SmallVec<[&Candidate; 32]> = candidates
            .iter()
            .filter(|candidate| fits(engine, candidate, tokens))
            .collect();
        fitting.sort_by_key(|c| (!c.local, c.avoided, c.cold, c.order));
        let filled = |c: &&Candidate| f64::from(c.shared()) / (f64::from(c.slots) * FILL);
        let needed = fitting
            .iter()
            .filter(|c| c.local)
            .map(filled)
            .sum::<f64>()
            .floor() as usize
            + 1;
        let rank = |c: &&&Candidate| {
            (
                (first_event_ms(engine, c, prefill_ms) / NEAR_MS) as u64,
                c.spread,
            )
        };
        let open = |c: &&&Candidate| {
            let running = u32::from(c.load.running);
            let pass = engine.pass_ms(running + 1, u64::from(c.load.kv_tokens));
            !c.avoided
                && running < c.slots
                && c.load.exclusive == 0
                && pass + f64::from(c.load.prefill_ms) + prefill_ms <= gap_ms
        };
        let local = fitting.iter().filter(|c| c.local).count();
        let chosen = fitting[..needed.min(local)]
            .iter()
            .filter(open)
            .min_by_key(rank);
        let chosen = chosen.or_else(|| fitting[..local].iter().find(open));
        let chosen = chosen.or_else(|| fitting[local..].iter().filter(open).min_by_key(rank));
        // Next best are targets where the writers' pauses grow, and then those without a free slot.
        let room = |c: &&&Candidate| !c.avoided && u32::from(c.load.running) < c.slots;
        let chosen = chosen.or_else(|| fitting.iter().filter(room).min_by_key(rank));
        let idle = chosen.is_some();
        let chosen =
            chosen.or_else(|| fitting.iter().min_by_key(|c| (c.avoided, c.cold, rank(c))))?;
        Some(Choice {
            target: chosen.target,
            helpers: SmallVec::new(),
            predicted: predicted(first_event_ms(engine, chosen, prefill_ms)),
            prefill_ms,
            exclusive: false,
            cost: 0.0,
            idle,
        })
    }
}

impl Placement {
    /// Splits the reading of a long prompt over several targets: each part stalls the writers beside it
    /// for a shorter time, and the first event comes sooner for the same work. Of the possible numbers
    /// of parts the one is taken that makes the least worth late: that of this prompt, and that of the
    /// short prompts beside its parts.
    fn exclusive(
        &self,
        engine: &Engine,
        tokens: Tokens,
        candidates: &[Candidate],
    ) -> Option<Choice> {
        let prefill_ms = engine.prefill_ms(tokens.prompt);
        let gap_ms = self.gap.as_secs_f64() * 1e3;
        let mut free: SmallVec<[&Candidate; 32]> = candidates.iter().collect();
        let long = prefill_ms > LONG_MS;
        let lane = lane_end(&free);
        if long && let Some(end) = lane {
            free.retain(|c| !(c.apart() && c.order <= end));
        }
        // An engine that gets a part of another prompt meanwhile reads both later. News of the end of reading
        // takes tens of ms to come around; the prediction gives the target to the next prompt without it.
        let reads = |c: &Candidate| f64::from(c.load.prefill_ms) > IDLE_MS;
        let idle = !long || free.iter().any(|c| !c.avoided && !reads(c));
        if long && idle {
            free.retain(|c| !reads(c));
        } else if let Some(end) = lane
            && !long
            && free
                .iter()
                .any(|c| c.apart() && c.order <= end && f64::from(c.load.prefill_ms) < LANE_MS)
        {
            free.retain(|c| c.apart() && c.order <= end);
        }
        // Writers of medium length stay within their lane, where no long parts stall them.
        let head = |c: &Candidate| {
            let outside = lane.is_some_and(|end| c.order > end);
            (!long && outside, c.load.running, c.order)
        };
        free.sort_by_key(|c| {
            let reading = (f64::from(c.load.prefill_ms) / NEAR_MS) as u64;
            // Prompts of medium length take the targets that longer ones leave to them first.
            let order = if long { u64::MAX - c.order } else { c.order };
            (c.avoided, c.cold, c.shared(), reading, order)
        });
        let sound = free.iter().filter(|c| !c.avoided && !c.cold).count();
        let wanted = ((prefill_ms / PART_MS).ceil() as usize).max(MIN_READERS);
        let most = wanted.min(sound).clamp(1, MAX_READERS).min(free.len());
        let least = MIN_READERS.min(most);
        let mut best: Option<(f64, f64, usize, Memory)> = None;
        for readers in least..=most {
            let chosen = &free[..readers];
            let Some(memory) = Memory::new(engine, tokens, chosen, head) else {
                continue;
            };
            let part = prefill_ms / readers as f64;
            let last = chosen.iter().map(|c| first_event_ms(engine, c, part));
            let last = last.fold(0.0, f64::max);
            let stalled: f64 = chosen
                .iter()
                .map(|c| stalled_worth(engine, c, part, gap_ms))
                .sum();
            let late = late_part(last, self.objective.as_secs_f64() * 1e3);
            let cost = late * worth(tokens.prompt) + stalled;
            if best
                .as_ref()
                .is_none_or(|(other, ms, ..)| (cost, last) < (*other, *ms))
            {
                best = Some((cost, last, readers, memory));
            }
        }
        let (cost, ms, readers, memory) = if let Some(best) = best {
            best
        } else {
            // Few targets are free, and their memory does not take the prompt.
            let readers = free.len().min(MAX_READERS);
            let memory = Memory::new(engine, tokens, &free[..readers], head)?;
            let part = prefill_ms / readers as f64;
            let firsts = free[..readers]
                .iter()
                .map(|c| first_event_ms(engine, c, part));
            (
                worth(tokens.prompt),
                firsts.fold(0.0, f64::max),
                readers,
                memory,
            )
        };
        let helpers = free[..readers].iter().enumerate();
        let helpers = helpers.filter(|(index, _)| *index != memory.head);
        let helper = |(index, c): (usize, &&Candidate)| {
            let held = memory.held.iter().find(|(holder, _)| *holder == index);
            Helper {
                target: c.target,
                address: c.address,
                held_tokens: held.map_or(0, |(_, tokens)| *tokens),
            }
        };
        Some(Choice {
            target: free[memory.head].target,
            helpers: helpers.map(helper).collect(),
            predicted: predicted(ms),
            prefill_ms: prefill_ms / readers as f64,
            exclusive: true,
            cost: cost / worth(tokens.prompt),
            idle,
        })
    }
}

/// Where the memory of a prompt and its answer is.
#[derive(Debug)]
struct Memory {
    /// Index of the target that answers and holds all that no other does.
    head: usize,
    /// Indexes of targets that hold a part, with its tokens.
    held: SmallVec<[(usize, u64); 2]>,
}

impl Memory {
    /// Places the memory on as few targets as possible; none if it does not fit. If one target can hold
    /// all, it is the one with the lowest rank.
    fn new<F>(engine: &Engine, tokens: Tokens, chosen: &[&Candidate], rank: F) -> Option<Self>
    where
        F: Fn(&Candidate) -> (bool, u16, u64),
    {
        let room = |c: &Candidate| {
            let limit = (engine.kv_tokens as f64 * (1.0 - KV_RESERVE)) as u64;
            limit.saturating_sub(u64::from(c.load.kv_tokens))
        };
        let needed = tokens.total();
        let fitting = chosen.iter().enumerate().filter(|(_, c)| room(c) >= needed);
        if let Some((head, _)) = fitting.min_by_key(|(_, c)| rank(c)) {
            let held = SmallVec::new();
            return Some(Self { head, held });
        }
        let mut rooms: SmallVec<[(u64, usize); 32]> = chosen
            .iter()
            .enumerate()
            .map(|(index, c)| (room(c), index))
            .collect();
        rooms.sort_unstable_by(|a, b| b.cmp(a));
        let (first, head) = *rooms.first()?;
        // The answer grows at the target that writes it.
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
        (left == 0).then_some(Self { head, held })
    }
}

/// Returns the last position of the targets that are kept for prompts of medium length, if there are
/// enough. Such prompts would wait behind parts of longer ones that take many times as long.
fn lane_end(free: &[&Candidate]) -> Option<u64> {
    let apart = free.iter().filter(|c| c.apart());
    let mut orders: SmallVec<[u64; 32]> = apart.map(|c| c.order).collect();
    orders.sort_unstable();
    let last = (orders.len() / LANE_PART).checked_sub(1)?;
    Some(orders[last])
}

/// Returns the worth of a generation in relation to others. It grows with the prompt; the constant keeps
/// short ones from counting for nothing.
fn worth(prompt_tokens: u64) -> f64 {
    5_000.0 + prompt_tokens as f64
}

/// Returns the worth of the answers at a target that a part makes late: their pauses last for a pass and
/// the reading in it.
fn stalled_worth(engine: &Engine, candidate: &Candidate, part_ms: f64, gap_ms: f64) -> f64 {
    let load = candidate.load;
    let pass = engine.pass_ms(u32::from(load.running), u64::from(load.kv_tokens));
    let pause = pass + f64::from(load.prefill_ms) + part_ms;
    let mut stalled = 0.0;
    if pause > gap_ms {
        // After a long stall callers leave, or their streams are resumed elsewhere and read again.
        let lost = if pause > LEAVE_MS { LOST_WORTH } else { 1.0 };
        stalled += f64::from(candidate.shared()) * worth(SHORT_TOKENS) * lost;
    }
    if load.gap_ms > 0 && pause > f64::from(load.gap_ms) {
        stalled += f64::from(load.exclusive) * worth(MEDIUM_TOKENS);
    }
    stalled
}

/// Returns the probability that a first event comes late. Predictions are off by a third either way.
fn late_part(predicted_ms: f64, objective_ms: f64) -> f64 {
    const EARLY: f64 = 0.6;
    const LATE: f64 = 1.1;
    let part = predicted_ms / objective_ms.max(1.0);
    ((part - EARLY) / (LATE - EARLY)).clamp(0.0, 1.0)
}

/// Returns whether the memory of a target takes a prompt and its answer.
fn fits(engine: &Engine, candidate: &Candidate, tokens: Tokens) -> bool {
    let limit = engine.kv_tokens as f64 * (1.0 - KV_RESERVE);
    let needed = u64::from(candidate.load.kv_tokens).saturating_add(tokens.total());
    needed as f64 <= limit
}

/// Predicts the time to the first event of a prompt that reads beside the work of a target, ms.
fn first_event_ms(engine: &Engine, candidate: &Candidate, prefill_ms: f64) -> f64 {
    let load = candidate.load;
    let writers = u32::from(load.running).min(engine.slots);
    let pass = engine.pass_ms(writers, u64::from(load.kv_tokens));
    let wait = if writers == 0 { 0.0 } else { pass * PASS_WAIT };
    // A request beyond the slots waits until a writer ends; an answer takes about 30 passes.
    const PASSES_OF_ANSWER: f64 = 30.0;
    let queued = (u32::from(load.running) + 1).saturating_sub(engine.slots);
    let queue = f64::from(queued) * pass * PASSES_OF_ANSWER / f64::from(engine.slots.max(1));
    (wait + queue + f64::from(load.prefill_ms) + prefill_ms) * candidate.pace
}
