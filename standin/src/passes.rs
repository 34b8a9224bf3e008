//! Model of an engine that works in passes, in virtual time.
//!
//! The engine does all its work in passes. A pass in which requests decode takes `stride` steps. In each
//! step every decoding request generates one token, and up to `chunk` prompt tokens are prefilled. A request
//! that arrives during a pass waits for its end, and gets its first token at the end of the pass that
//! completes the prefill of its prompt. A pass without decoding requests is a single step.
//!
//! A prompt may be split: helper engines prefill equal parts of it, ahead of their own prompts, and the
//! request starts to decode once all parts are prefilled. KV memory for such a prompt can be held with
//! [`Engine::reserve`].
//!
//! With `prefix_cache_tokens`, the engine keeps the parts of prompts after their requests in KV memory that it does not
//! need otherwise, and does not prefill them again for a prompt that it prefills alone. It keeps those of each prompt
//! whose KV memory it holds by itself; parts that helpers prefill arrive there too.
//!
//! # Invariants
//!
//! - No more than `slots` requests are admitted at once.
//! - KV memory in use exceeds the engine's capacity for no longer than one pass; the newest request is then
//!   preempted and prefilled again.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use primrosepin_core::fleet;
use primrosepin_core::fleet::Prefix;
use primrosepin_core::time::Instant;

use crate::prefix_cache::PrefixCache;

/// Remaining prefill below which a prompt counts as prefilled: passes prefill fractions of tokens, so
/// rounding can leave a remainder.
const MIN_REMAINING_TOKENS: f64 = 0.5;

/// Number of a request. A part has the number of its request.
pub type Id = u64;

/// A request that one engine answers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request {
    /// Number of the request.
    pub id: Id,
    /// Length of the prompt, tokens.
    pub prompt_tokens: u64,
    /// Length of the answer, tokens.
    pub answer_tokens: u64,
    /// Targets that prefill the prompt, this one included.
    pub prefill_targets: u32,
    /// Part of the prompt whose KV memory is held on other targets, tokens.
    pub remote_kv_tokens: u64,
    /// Priority in the queue; lower values are admitted first.
    pub priority: u8,
}

/// What happened in a pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The prefill of a part is complete; another engine answers the request.
    PartPrefilled(Id),
    /// The request generated this many tokens.
    Generated(Id, u64),
    /// The request generated its last token.
    Finished(Id),
    /// The request lost its KV memory and will be prefilled again.
    Preempted(Id),
}

#[derive(Debug, Clone, Copy)]
struct Admitted {
    request: Request,
    /// Prompt tokens that this engine has yet to prefill, and after a preemption also the generated tokens.
    remaining_tokens: f64,
    /// Prefill time per token, ms.
    ms_per_token: f64,
    /// Parts that helpers have yet to prefill.
    parts_left: u32,
    generated: u64,
}

impl Admitted {
    /// Begins a request of whose prompt `held_tokens` are in the prefix cache.
    fn new(parameters: &fleet::Engine, request: Request, generated: u64, held_tokens: u64) -> Self {
        let tokens = request.prompt_tokens + generated;
        let (mut remaining_tokens, mut ms_per_token) =
            equal_part(parameters, tokens, request.prefill_targets);
        if held_tokens > 0 && request.prefill_targets <= 1 {
            // At least one token is computed to generate the next one.
            let held = held_tokens.min(tokens.saturating_sub(1));
            remaining_tokens = (tokens - held) as f64;
            let ms = parameters.prefill_ms(tokens) - parameters.prefill_ms(held);
            ms_per_token = ms / remaining_tokens;
        }
        Self {
            request,
            remaining_tokens,
            ms_per_token,
            parts_left: request.prefill_targets.saturating_sub(1),
            generated,
        }
    }

    fn is_decoding(&self) -> bool {
        self.remaining_tokens <= 0.0 && self.parts_left == 0
    }

    fn kv_tokens(&self) -> u64 {
        let prompt = self.request.prompt_tokens;
        prompt.saturating_sub(self.request.remote_kv_tokens) + self.generated
    }

    /// Tokens of context that each decoding step attends to on this engine.
    fn context_tokens(&self) -> u64 {
        let total = self.request.prompt_tokens + self.generated;
        total / u64::from(self.request.prefill_targets.max(1))
    }
}

#[derive(Debug, Clone, Copy)]
struct Part {
    id: Id,
    remaining_tokens: f64,
    ms_per_token: f64,
}

#[derive(Debug, Clone)]
struct Pass {
    steps: u32,
    end: Instant,
    /// Prefill work of the pass, for parts and for admitted requests.
    prefills: Vec<Prefill>,
    /// Requests that decode in the pass.
    decoding: Vec<Id>,
}

#[derive(Debug, Clone, Copy)]
struct Prefill {
    id: Id,
    is_part: bool,
    tokens: f64,
    ms: f64,
}

/// Returns the tokens of one of `prefill_targets` equal parts of a prompt and the prefill time per token, ms.
fn equal_part(parameters: &fleet::Engine, tokens: u64, prefill_targets: u32) -> (f64, f64) {
    let prefill_targets = f64::from(prefill_targets.max(1));
    let part = tokens as f64 / prefill_targets;
    (
        part,
        parameters.prefill_ms(tokens) / prefill_targets / part.max(1.0),
    )
}

/// A simulated engine. Its owner calls [`Engine::advance`] at each [`Engine::pass_end`].
#[derive(Debug, Clone)]
pub struct Engine {
    parameters: fleet::Engine,
    /// Factor on the time of each pass.
    slowdown: f64,
    /// Requests in the queue, and the tokens that they generated before they were preempted.
    waiting: VecDeque<(Request, u64)>,
    admitted: Vec<Admitted>,
    parts: Vec<Part>,
    reservations: BTreeMap<Id, u64>,
    pass: Option<Pass>,
    cache: PrefixCache,
    /// Prefixes of the prompts of requests that are not prefilled yet.
    prefixes: BTreeMap<Id, Vec<Prefix>>,
    /// Prompt tokens that were not prefilled because the cache held them.
    saved_tokens: u64,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(parameters: fleet::Engine) -> Self {
        Self {
            parameters,
            slowdown: 1.0,
            waiting: VecDeque::new(),
            admitted: Vec::new(),
            parts: Vec::new(),
            reservations: BTreeMap::new(),
            pass: None,
            cache: PrefixCache::default(),
            prefixes: BTreeMap::new(),
            saved_tokens: 0,
        }
    }

    /// Multiplies the time of all work by `slowdown`, from the next pass on.
    pub fn set_slowdown(&mut self, slowdown: f64) {
        self.slowdown = slowdown;
    }

    /// Queues a request.
    pub fn submit(&mut self, now: Instant, request: Request) {
        let lower_priority = |other: &(Request, u64)| other.0.priority > request.priority;
        let at = self.waiting.iter().position(lower_priority);
        self.waiting
            .insert(at.unwrap_or(self.waiting.len()), (request, 0));
        self.begin_pass(now);
    }

    /// Queues a request whose prompt has these prefixes, the shortest first.
    pub fn submit_with_prefixes(&mut self, now: Instant, request: Request, prefixes: Vec<Prefix>) {
        if self.parameters.prefix_cache_tokens > 0 && !prefixes.is_empty() {
            self.prefixes.insert(request.id, prefixes);
        }
        self.submit(now, request);
    }

    /// Queues the prefill of an equal part of a prompt that another engine answers.
    pub fn prefill_part(&mut self, now: Instant, id: Id, prompt_tokens: u64, prefill_targets: u32) {
        let (remaining_tokens, ms_per_token) =
            equal_part(&self.parameters, prompt_tokens, prefill_targets);
        self.parts.push(Part {
            id,
            remaining_tokens,
            ms_per_token,
        });
        self.begin_pass(now);
    }

    /// Records that a helper has prefilled its part of a request of this engine.
    pub fn part_prefilled(&mut self, now: Instant, id: Id) {
        let mut admitted = self.admitted.iter_mut();
        if let Some(admitted) = admitted.find(|admitted| admitted.request.id == id) {
            admitted.parts_left = admitted.parts_left.saturating_sub(1);
        } else if let Some((request, _)) = self.waiting.iter_mut().find(|(r, _)| r.id == id) {
            // The part was prefilled before the request was admitted.
            request.prefill_targets = request.prefill_targets.saturating_sub(1).max(1);
        }
        self.begin_pass(now);
    }

    /// Reserves KV memory for a request; returns whether enough was free.
    pub fn reserve(&mut self, id: Id, tokens: u64) -> bool {
        let before = self.reservations.get(&id).copied().unwrap_or_default();
        let free = self
            .parameters
            .kv_tokens
            .saturating_sub(self.kv_tokens_used() - before);
        if tokens > free {
            return false;
        }
        self.reservations.insert(id, tokens);
        self.shrink_cache();
        true
    }

    /// Releases the reserved memory of a request.
    pub fn release(&mut self, id: Id) {
        self.reservations.remove(&id);
    }

    /// Removes a request, its part and its reservation, whether or not work on it has begun.
    pub fn cancel(&mut self, id: Id) {
        self.waiting.retain(|(request, _)| request.id != id);
        self.admitted.retain(|admitted| admitted.request.id != id);
        self.parts.retain(|part| part.id != id);
        self.reservations.remove(&id);
        self.prefixes.remove(&id);
    }

    /// Drops all work; returns the requests that this engine was to answer.
    pub fn crash(&mut self) -> Vec<Id> {
        self.pass = None;
        self.parts.clear();
        self.reservations.clear();
        self.cache = PrefixCache::default();
        self.prefixes.clear();
        let waiting = self.waiting.drain(..).map(|(request, _)| request.id);
        let admitted = self.admitted.drain(..).map(|admitted| admitted.request.id);
        waiting.chain(admitted).collect()
    }

    /// Returns the number of waiting and admitted requests.
    pub fn request_count(&self) -> usize {
        self.waiting.len() + self.admitted.len()
    }

    /// Returns the KV memory of admitted requests and reservations, tokens.
    pub fn kv_tokens_used(&self) -> u64 {
        let used: u64 = self.admitted.iter().map(Admitted::kv_tokens).sum();
        used + self.reservations.values().sum::<u64>()
    }

    /// Returns the KV memory that the prefix cache takes, tokens.
    pub fn cached_tokens(&self) -> u64 {
        self.cache.tokens()
    }

    /// Returns the number of prompt tokens so far that were not prefilled because the cache held them.
    pub fn saved_tokens(&self) -> u64 {
        self.saved_tokens
    }

    /// Returns the most tokens that the prefix cache may take now.
    fn cache_limit(&self) -> u64 {
        let free = self
            .parameters
            .kv_tokens
            .saturating_sub(self.kv_tokens_used());
        free.min(self.parameters.prefix_cache_tokens)
    }

    /// Evicts prefixes whose memory requests need.
    fn shrink_cache(&mut self) {
        let limit = self.cache_limit();
        self.cache.shrink(limit);
    }

    /// Returns when the current pass ends; `None` while the engine is idle.
    pub fn pass_end(&self) -> Option<Instant> {
        self.pass.as_ref().map(|pass| pass.end)
    }

    /// If the current pass is over, applies it, appends what happened to `events` and begins the next pass.
    pub fn advance(&mut self, now: Instant, events: &mut Vec<Event>) {
        let Some(pass) = self.pass.take_if(|pass| pass.end <= now) else {
            return;
        };
        self.apply_prefill(&pass, events);
        self.keep_prefixes();
        self.apply_decode(&pass, events);
        self.preempt(events);
        self.begin_pass(pass.end);
    }

    /// Admits waiting requests and begins a pass, unless one is running.
    fn begin_pass(&mut self, now: Instant) {
        if self.pass.is_some() {
            return;
        }
        while let Some((request, generated)) = self.waiting.front().copied() {
            let prefixes = self.prefixes.get(&request.id);
            let held_tokens = prefixes.map_or(0, |prefixes| self.cache.held_tokens(prefixes));
            let admitted = Admitted::new(&self.parameters, request, generated, held_tokens);
            let fits = self.kv_tokens_used() + admitted.kv_tokens() <= self.parameters.kv_tokens;
            if self.admitted.len() >= self.parameters.slots as usize || !fits {
                break;
            }
            self.waiting.pop_front();
            if request.prefill_targets <= 1 {
                self.saved_tokens += held_tokens.min(request.prompt_tokens);
            }
            self.admitted.push(admitted);
        }
        self.shrink_cache();
        let decoding = || self.admitted.iter().filter(|a| a.is_decoding());
        let decoding_ids: Vec<Id> = decoding().map(|a| a.request.id).collect();
        // A split prompt generates its first token one step after its last part is prefilled.
        let steps = if decoding().any(|a| a.generated > 0) {
            self.parameters.stride
        } else {
            1
        };
        let prefills = self.plan_prefill(steps);
        if decoding_ids.is_empty() && prefills.is_empty() {
            return;
        }
        let single_step = fleet::Engine {
            stride: 1,
            ..self.parameters
        };
        let context_tokens = decoding().map(Admitted::context_tokens).sum();
        let mut step_ms = single_step.pass_ms(decoding_ids.len() as u32, context_tokens);
        if decoding().any(|a| a.request.prefill_targets > 1) {
            step_ms += self.parameters.hop_ms;
        }
        let prefill_ms: f64 = prefills.iter().map(|prefill| prefill.ms).sum();
        let ms = (step_ms * f64::from(steps) + prefill_ms) * self.slowdown;
        self.pass = Some(Pass {
            steps,
            end: now + Duration::from_secs_f64(ms / 1e3),
            prefills,
            decoding: decoding_ids,
        });
    }

    /// Plans the prefill work of a pass: first the parts, in equal shares, then the admitted requests in order.
    fn plan_prefill(&self, steps: u32) -> Vec<Prefill> {
        let mut left = f64::from(self.parameters.chunk) * f64::from(steps);
        let mut plan: Vec<Prefill> = Vec::new();
        // Smallest part first, so that the unused rest of its equal share goes to the others.
        let mut parts: Vec<&Part> = self.parts.iter().collect();
        parts.sort_by(|a, b| a.remaining_tokens.total_cmp(&b.remaining_tokens));
        for (index, part) in parts.iter().enumerate() {
            let tokens = part
                .remaining_tokens
                .min(left / (parts.len() - index) as f64);
            left -= tokens;
            plan.push(Prefill {
                id: part.id,
                is_part: true,
                tokens,
                ms: tokens * part.ms_per_token,
            });
        }
        for admitted in self.admitted.iter().filter(|a| a.remaining_tokens > 0.0) {
            let tokens = left.min(admitted.remaining_tokens);
            left -= tokens;
            plan.push(Prefill {
                id: admitted.request.id,
                is_part: false,
                tokens,
                ms: tokens * admitted.ms_per_token,
            });
        }
        plan.retain(|prefill| prefill.tokens > 0.0);
        plan
    }

    fn apply_prefill(&mut self, pass: &Pass, events: &mut Vec<Event>) {
        for prefill in &pass.prefills {
            if prefill.is_part {
                let mut parts = self.parts.iter_mut();
                if let Some(part) = parts.find(|part| part.id == prefill.id) {
                    part.remaining_tokens -= prefill.tokens;
                }
            } else {
                let mut admitted = self.admitted.iter_mut();
                if let Some(admitted) = admitted.find(|a| a.request.id == prefill.id) {
                    admitted.remaining_tokens -= prefill.tokens;
                    if admitted.remaining_tokens < MIN_REMAINING_TOKENS {
                        admitted.remaining_tokens = 0.0;
                    }
                }
            }
        }
        let complete = self
            .parts
            .iter()
            .filter(|part| part.remaining_tokens < MIN_REMAINING_TOKENS);
        events.extend(complete.map(|part| Event::PartPrefilled(part.id)));
        self.parts
            .retain(|part| part.remaining_tokens >= MIN_REMAINING_TOKENS);
    }

    /// Keeps the prefixes of prompts whose prefill is complete.
    fn keep_prefixes(&mut self) {
        if self.prefixes.is_empty() {
            return;
        }
        let decoding = self.admitted.iter().filter(|a| a.is_decoding());
        let prefilled: Vec<(Id, bool)> = decoding
            .map(|a| (a.request.id, a.request.remote_kv_tokens == 0))
            .collect();
        let limit = self.cache_limit();
        for (id, holds_all) in prefilled {
            if let Some(prefixes) = self.prefixes.remove(&id).filter(|_| holds_all) {
                self.cache.keep(&prefixes, limit);
            }
        }
    }

    fn apply_decode(&mut self, pass: &Pass, events: &mut Vec<Event>) {
        for admitted in self.admitted.iter_mut().filter(|a| a.is_decoding()) {
            let id = admitted.request.id;
            // A request whose prefill completed in this pass gets its first token at the end of the pass.
            let steps = if pass.decoding.contains(&id) {
                u64::from(pass.steps)
            } else {
                1
            };
            let left = admitted
                .request
                .answer_tokens
                .saturating_sub(admitted.generated);
            let tokens = steps.min(left);
            admitted.generated += tokens;
            events.push(Event::Generated(id, tokens));
            if admitted.generated >= admitted.request.answer_tokens {
                events.push(Event::Finished(id));
            }
        }
        self.admitted
            .retain(|a| a.generated < a.request.answer_tokens);
    }

    fn preempt(&mut self, events: &mut Vec<Event>) {
        while self.kv_tokens_used() > self.parameters.kv_tokens {
            let Some(newest) = self.admitted.pop() else {
                break;
            };
            let request = Request {
                prefill_targets: 1,
                ..newest.request
            };
            events.push(Event::Preempted(request.id));
            self.waiting.push_front((request, newest.generated));
        }
    }
}
