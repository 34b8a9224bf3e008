//! Model of an engine that works in passes, in virtual time.
//!
//! All work of an engine is done in passes. A pass in which requests write takes `stride` steps, in each
//! of which every writer makes a token and up to `chunk` prompt tokens are read. A request that arrives
//! during a pass waits for its end, and has its first token at the end of the pass in which its prompt is
//! read. Without writers a pass is a single step.
//!
//! A prompt may be split: helpers read even parts ahead of whole prompts, and the request begins to write
//! when all parts are read. Memory for such a prompt can be held in [`Engine::hold`] tickets.
//!
//! # Invariants
//!
//! - No more than `slots` requests are admitted at once.
//! - Memory in use exceeds the engine's memory for no longer than one pass; the newest request is then
//!   preempted and read again.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use primrosepin_core::fleet;
use primrosepin_core::time::Instant;

/// Rest of a prompt that counts as read: shares of a pass are not whole tokens.
const LEAST_TOKENS: f64 = 0.5;

/// Number of a request. A part has the number of its request.
pub type Id = u64;

/// A request that one engine answers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request {
    /// Number of the request.
    pub id: Id,
    /// Prompt, tokens.
    pub prompt: u64,
    /// Answer, tokens.
    pub answer: u64,
    /// Targets that read the prompt, this one included.
    pub readers: u32,
    /// Part of the prompt whose memory is held elsewhere, tokens.
    pub held_elsewhere: u64,
    /// Rank in the queue; lower ones are admitted first.
    pub rank: u8,
}

/// What happened in a pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A part for a request that another engine answers is read.
    PartRead(Id),
    /// The request wrote so many tokens.
    Wrote(Id, u64),
    /// The request wrote its last token.
    Ended(Id),
    /// The request lost its memory and is read again.
    Preempted(Id),
}

#[derive(Debug, Clone, Copy)]
struct Admitted {
    request: Request,
    /// Prompt tokens of its own that are not read yet.
    unread: f64,
    /// Time for each of them, ms.
    ms_per_token: f64,
    /// Parts at helpers that are not read yet.
    parts_left: u32,
    written: u64,
}

impl Admitted {
    fn new(figures: &fleet::Engine, request: Request, written: u64) -> Self {
        let tokens = request.prompt + written;
        let (unread, ms_per_token) = share(figures, tokens, request.readers);
        Self {
            request,
            unread,
            ms_per_token,
            parts_left: request.readers.saturating_sub(1),
            written,
        }
    }

    fn writes(&self) -> bool {
        self.unread <= 0.0 && self.parts_left == 0
    }

    fn memory(&self) -> u64 {
        let prompt = self.request.prompt;
        prompt.saturating_sub(self.request.held_elsewhere) + self.written
    }

    /// Tokens that each of its steps attends to here.
    fn context(&self) -> u64 {
        let whole = self.request.prompt + self.written;
        whole / u64::from(self.request.readers.max(1))
    }
}

#[derive(Debug, Clone, Copy)]
struct Part {
    id: Id,
    unread: f64,
    ms_per_token: f64,
}

#[derive(Debug, Clone)]
struct Pass {
    steps: u32,
    end: Instant,
    /// Tokens that it reads, of parts and of whole prompts.
    reads: Vec<Read>,
    /// Requests that write in it.
    writers: Vec<Id>,
}

#[derive(Debug, Clone, Copy)]
struct Read {
    id: Id,
    part: bool,
    tokens: f64,
    ms: f64,
}

/// Returns the tokens of an even part of a prompt and the time for each, ms.
fn share(figures: &fleet::Engine, tokens: u64, readers: u32) -> (f64, f64) {
    let readers = f64::from(readers.max(1));
    let part = tokens as f64 / readers;
    (part, figures.prefill_ms(tokens) / readers / part.max(1.0))
}

/// An engine.
#[derive(Debug, Clone)]
pub struct Engine {
    figures: fleet::Engine,
    /// Factor on the time of everything.
    pace: f64,
    waiting: VecDeque<(Request, u64)>,
    admitted: Vec<Admitted>,
    parts: Vec<Part>,
    tickets: BTreeMap<Id, u64>,
    pass: Option<Pass>,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(figures: fleet::Engine) -> Self {
        Self {
            figures,
            pace: 1.0,
            waiting: VecDeque::new(),
            admitted: Vec::new(),
            parts: Vec::new(),
            tickets: BTreeMap::new(),
            pass: None,
        }
    }

    /// Makes everything take `pace` times as long from the next pass on.
    pub fn set_pace(&mut self, pace: f64) {
        self.pace = pace;
    }

    /// Adds a request.
    pub fn add(&mut self, now: Instant, request: Request) {
        let rank = |other: &(Request, u64)| other.0.rank > request.rank;
        let at = self.waiting.iter().position(rank);
        self.waiting
            .insert(at.unwrap_or(self.waiting.len()), (request, 0));
        self.begin(now);
    }

    /// Adds an even part of a prompt for another engine.
    pub fn help(&mut self, now: Instant, id: Id, prompt: u64, readers: u32) {
        let (unread, ms_per_token) = share(&self.figures, prompt, readers);
        self.parts.push(Part {
            id,
            unread,
            ms_per_token,
        });
        self.begin(now);
    }

    /// Tells that a helper has read its part for a request here.
    pub fn part_read(&mut self, now: Instant, id: Id) {
        let mut admitted = self.admitted.iter_mut();
        if let Some(admitted) = admitted.find(|admitted| admitted.request.id == id) {
            admitted.parts_left = admitted.parts_left.saturating_sub(1);
        } else if let Some((request, _)) = self.waiting.iter_mut().find(|(r, _)| r.id == id) {
            // It is read before the request is admitted.
            request.readers = request.readers.saturating_sub(1).max(1);
        }
        self.begin(now);
    }

    /// Holds memory for a request; returns whether it was free.
    pub fn hold(&mut self, id: Id, tokens: u64) -> bool {
        let before = self.tickets.get(&id).copied().unwrap_or_default();
        let free = self
            .figures
            .kv_tokens
            .saturating_sub(self.memory() - before);
        if tokens > free {
            return false;
        }
        self.tickets.insert(id, tokens);
        true
    }

    /// Gives held memory back.
    pub fn release(&mut self, id: Id) {
        self.tickets.remove(&id);
    }

    /// Ends a request or its part, whether or not it has begun.
    pub fn cancel(&mut self, id: Id) {
        self.waiting.retain(|(request, _)| request.id != id);
        self.admitted.retain(|admitted| admitted.request.id != id);
        self.parts.retain(|part| part.id != id);
        self.tickets.remove(&id);
    }

    /// Loses all work; returns the requests that it answered.
    pub fn crash(&mut self) -> Vec<Id> {
        self.pass = None;
        self.parts.clear();
        self.tickets.clear();
        let waiting = self.waiting.drain(..).map(|(request, _)| request.id);
        let admitted = self.admitted.drain(..).map(|admitted| admitted.request.id);
        waiting.chain(admitted).collect()
    }

    /// Returns the requests here, waiting ones included.
    pub fn requests(&self) -> usize {
        self.waiting.len() + self.admitted.len()
    }

    /// Returns the memory in use, tokens.
    pub fn memory(&self) -> u64 {
        let used: u64 = self.admitted.iter().map(Admitted::memory).sum();
        used + self.tickets.values().sum::<u64>()
    }

    /// Returns when the current pass ends; none while there is nothing to do.
    pub fn next(&self) -> Option<Instant> {
        self.pass.as_ref().map(|pass| pass.end)
    }

    /// Ends the current pass if it is over and begins the next one. Appends what happened.
    pub fn advance(&mut self, now: Instant, events: &mut Vec<Event>) {
        let Some(pass) = self.pass.take_if(|pass| pass.end <= now) else {
            return;
        };
        self.read(&pass, events);
        self.write(&pass, events);
        self.preempt(events);
        self.begin(pass.end);
    }

    /// Admits what waits and begins a pass, if none is running.
    fn begin(&mut self, now: Instant) {
        if self.pass.is_some() {
            return;
        }
        while let Some((request, written)) = self.waiting.front().copied() {
            let admitted = Admitted::new(&self.figures, request, written);
            let room = self.memory() + admitted.memory() <= self.figures.kv_tokens;
            if self.admitted.len() >= self.figures.slots as usize || !room {
                break;
            }
            self.waiting.pop_front();
            self.admitted.push(admitted);
        }
        let writing = || self.admitted.iter().filter(|a| a.writes());
        let writers: Vec<Id> = writing().map(|a| a.request.id).collect();
        // The first token follows at once on the last part of a split prompt.
        let steps = if writing().any(|a| a.written > 0) {
            self.figures.stride
        } else {
            1
        };
        let reads = self.plan(steps);
        if writers.is_empty() && reads.is_empty() {
            return;
        }
        let single = fleet::Engine {
            stride: 1,
            ..self.figures
        };
        let context = writing().map(Admitted::context).sum();
        let mut step_ms = single.pass_ms(writers.len() as u32, context);
        if writing().any(|a| a.request.readers > 1) {
            step_ms += self.figures.hop_ms;
        }
        let reading_ms: f64 = reads.iter().map(|read| read.ms).sum();
        let ms = (step_ms * f64::from(steps) + reading_ms) * self.pace;
        self.pass = Some(Pass {
            steps,
            end: now + Duration::from_secs_f64(ms / 1e3),
            reads,
            writers,
        });
    }

    /// Returns what a pass reads: of the parts first, evenly, and then of the whole prompts in their order.
    fn plan(&self, steps: u32) -> Vec<Read> {
        let mut left = f64::from(self.figures.chunk) * f64::from(steps);
        let mut plan: Vec<Read> = Vec::new();
        // The smallest part first: what it leaves of its even share goes to the others.
        let mut parts: Vec<&Part> = self.parts.iter().collect();
        parts.sort_by(|a, b| a.unread.total_cmp(&b.unread));
        for (index, part) in parts.iter().enumerate() {
            let tokens = part.unread.min(left / (parts.len() - index) as f64);
            left -= tokens;
            plan.push(Read {
                id: part.id,
                part: true,
                tokens,
                ms: tokens * part.ms_per_token,
            });
        }
        for admitted in self.admitted.iter().filter(|a| a.unread > 0.0) {
            let tokens = left.min(admitted.unread);
            left -= tokens;
            plan.push(Read {
                id: admitted.request.id,
                part: false,
                tokens,
                ms: tokens * admitted.ms_per_token,
            });
        }
        plan.retain(|read| read.tokens > 0.0);
        plan
    }

    fn read(&mut self, pass: &Pass, events: &mut Vec<Event>) {
        for read in &pass.reads {
            if read.part {
                let mut parts = self.parts.iter_mut();
                if let Some(part) = parts.find(|part| part.id == read.id) {
                    part.unread -= read.tokens;
                }
            } else {
                let mut admitted = self.admitted.iter_mut();
                if let Some(admitted) = admitted.find(|a| a.request.id == read.id) {
                    admitted.unread -= read.tokens;
                    if admitted.unread < LEAST_TOKENS {
                        admitted.unread = 0.0;
                    }
                }
            }
        }
        let read = self.parts.iter().filter(|part| part.unread < LEAST_TOKENS);
        events.extend(read.map(|part| Event::PartRead(part.id)));
        self.parts.retain(|part| part.unread >= LEAST_TOKENS);
    }

    fn write(&mut self, pass: &Pass, events: &mut Vec<Event>) {
        for admitted in self.admitted.iter_mut().filter(|a| a.writes()) {
            let id = admitted.request.id;
            // A prompt that was read in this pass has its first token at the end of it.
            let steps = if pass.writers.contains(&id) {
                u64::from(pass.steps)
            } else {
                1
            };
            let left = admitted.request.answer.saturating_sub(admitted.written);
            let tokens = steps.min(left);
            admitted.written += tokens;
            events.push(Event::Wrote(id, tokens));
            if admitted.written >= admitted.request.answer {
                events.push(Event::Ended(id));
            }
        }
        self.admitted.retain(|a| a.written < a.request.answer);
    }

    fn preempt(&mut self, events: &mut Vec<Event>) {
        while self.memory() > self.figures.kv_tokens {
            let Some(newest) = self.admitted.pop() else {
                break;
            };
            let request = Request {
                readers: 1,
                ..newest.request
            };
            events.push(Event::Preempted(request.id));
            self.waiting.push_front((request, newest.written));
        }
    }
}
