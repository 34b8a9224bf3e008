//! Engines: attempts, answer streams, reservations and faults.

use super::{ANNOUNCE_INTERVAL, Action, ENGINE_DOWNTIME, Stage, World, instance};
use crate::engine::{ANSWER_TOKENS, Allocation, PREFILL_TOKENS_PER_S, TOKEN_INTERVAL};
use primrosepin_core::request::{Attempt, End};
use primrosepin_core::serving::effect::Dispatch;
use primrosepin_core::serving::event::Event;
use primrosepin_core::target::State;
use primrosepin_core::time::Instant;
use primrosepin_core::vm::Instance;
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;

impl World {
    pub(super) fn kill_engine(&mut self, engine: usize) {
        let until = self.now + ENGINE_DOWNTIME;
        self.cut_streams(engine);
        self.engines[engine].die(until);
        self.schedule_at(until, Action::RestartEngine(engine));
    }

    pub(super) fn turn_cold(&mut self, engine: usize) {
        self.cut_streams(engine);
        let now = self.now;
        self.engines[engine].turn_cold(now);
    }

    /// Ends all open streams of an engine; their KV memory stays allocated.
    pub(super) fn cut_streams(&mut self, engine: usize) {
        let open: Vec<_> = self.engines[engine]
            .allocations
            .iter()
            .filter(|(_, allocation)| !allocation.finished)
            .map(|(attempt, allocation)| (*attempt, allocation.clone()))
            .collect();
        for (attempt, allocation) in open {
            if let Some(allocation) = self.engines[engine].allocations.get_mut(&attempt) {
                self.last_stream += 1;
                allocation.stream = self.last_stream;
            }
            self.end_stream(attempt, &allocation);
        }
    }

    pub(super) fn announce(&mut self, engine: usize) {
        self.schedule_after(ANNOUNCE_INTERVAL, Action::Announce(engine));
        if engine == 0 {
            // The nodes poll the control VMs for the configuration at the announcement interval of engine 0,
            // which is close to the interval of the entry process.
            for node in 0..self.nodes.len() {
                self.pull_config(node);
            }
        }
        if !self.engines[engine].is_alive() {
            return;
        }
        let now = self.now;
        let announcement = self.engines[engine].announce(now);
        let first = self.engines[engine].zone * self.options.nodes_per_zone;
        // An engine tries the next entry VM of its zone when one does not answer.
        let start = self.rng.random_range(0..self.options.nodes_per_zone);
        let alive = (0..self.options.nodes_per_zone)
            .map(|n| first + (start + n) % self.options.nodes_per_zone)
            .find(|&node| self.nodes[node].reducer.is_some() && !self.nodes[node].paused);
        if let Some(node) = alive {
            let incarnation = self.nodes[node].incarnation;
            let delay = self.latency();
            self.schedule_event(delay, (node, incarnation), Event::Announced(announcement));
        }
    }

    pub(super) fn engine_by_address(&self, address: SocketAddr) -> Option<usize> {
        self.engines
            .iter()
            .position(|engine| engine.announcement.address == address)
    }

    pub(super) fn receive_attempt(
        &mut self,
        node: usize,
        incarnation: u64,
        sent_at: Instant,
        dispatch: &Dispatch,
    ) {
        let attempt = dispatch.attempt;
        let answer = |world: &mut Self, end: End| {
            let delay = world.latency();
            let event = Event::Ended { attempt, end };
            world.schedule_event(delay, (node, incarnation), event);
        };
        let Some(index) = self
            .engine_by_address(dispatch.address)
            .filter(|&e| self.engines[e].is_alive())
        else {
            return answer(self, End::NotRun { busy: false });
        };
        if let Some((original, from)) = dispatch.resume {
            return self.resume_stream(index, node, incarnation, attempt, original, from);
        }
        if self.engines[index].cancelled.contains(&attempt) {
            return answer(self, End::NotRun { busy: false });
        }
        self.check_removals(index, node, attempt);
        let engine = &self.engines[index];
        let busy = engine.running() >= engine.announcement.max_running as usize
            || engine.announcement.state == State::Draining;
        let tokens = self
            .callers
            .get(&attempt.request)
            .map_or(0, |c| c.arrival.prompt_tokens);
        if busy {
            return answer(self, End::NotRun { busy: true });
        }
        self.check_cold_budget(index, node, sent_at, attempt, tokens);
        self.record_run(index, attempt);
        self.last_stream += 1;
        let stream = self.last_stream;
        let engine = &mut self.engines[index];
        engine.allocations.insert(
            attempt,
            Allocation {
                owner: (node, incarnation),
                sent_at,
                tokens,
                next_token: 0,
                silent: false,
                finished: false,
                stream,
            },
        );
        let engine_incarnation = engine.announcement.incarnation;
        let backlog: u64 = engine
            .allocations
            .values()
            .filter(|allocation| allocation.next_token == 0)
            .map(|allocation| allocation.tokens)
            .sum();
        let prefill = Duration::from_micros(backlog * 1_000_000 / PREFILL_TOKENS_PER_S);
        self.schedule_after(
            prefill,
            Action::EmitToken {
                engine: index,
                incarnation: engine_incarnation,
                attempt,
                stream,
                reported_as: attempt,
            },
        );
    }

    pub(super) fn resume_stream(
        &mut self,
        engine: usize,
        node: usize,
        incarnation: u64,
        attempt: Attempt,
        original: Attempt,
        from: u32,
    ) {
        let allocation = self.engines[engine]
            .allocations
            .get_mut(&original)
            .filter(|allocation| allocation.next_token >= from);
        let Some(allocation) = allocation else {
            let delay = self.latency();
            let event = Event::Ended {
                attempt,
                end: End::NoAnswer,
            };
            return self.schedule_event(delay, (node, incarnation), event);
        };
        self.last_stream += 1;
        allocation.stream = self.last_stream;
        allocation.silent = false;
        allocation.finished = false;
        allocation.next_token = from;
        let stream = self.last_stream;
        let engine_incarnation = self.engines[engine].announcement.incarnation;
        self.schedule_after(
            TOKEN_INTERVAL,
            Action::EmitToken {
                engine,
                incarnation: engine_incarnation,
                attempt: original,
                stream,
                reported_as: attempt,
            },
        );
    }

    pub(super) fn emit_token(
        &mut self,
        engine: usize,
        attempt: Attempt,
        stream: u64,
        reported_as: Attempt,
    ) {
        let state = &mut self.engines[engine];
        let Some(allocation) = state.allocations.get_mut(&attempt) else {
            return;
        };
        if allocation.stream != stream {
            return;
        }
        let (node, incarnation) = allocation.owner;
        let event = if allocation.next_token < ANSWER_TOKENS {
            state.first_tokens += u32::from(allocation.next_token == 0);
            allocation.next_token += 1;
            Event::Progress {
                attempt: reported_as,
                tokens: 1,
            }
        } else {
            allocation.finished = true;
            let prompt_tokens = allocation.tokens;
            Event::Ended {
                attempt: reported_as,
                end: End::Complete {
                    prompt_tokens,
                    cached_tokens: 0,
                    generated_tokens: u64::from(ANSWER_TOKENS),
                },
            }
        };
        if allocation.silent {
            // The engine keeps the memory and emits no further token on a silent connection.
            allocation.finished = allocation.next_token >= ANSWER_TOKENS;
            return;
        }
        let finished = allocation.finished;
        let engine_incarnation = self.engines[engine].announcement.incarnation;
        if finished {
            self.engines[engine].allocations.remove(&attempt);
        } else {
            self.schedule_after(
                TOKEN_INTERVAL,
                Action::EmitToken {
                    engine,
                    incarnation: engine_incarnation,
                    attempt,
                    stream,
                    reported_as,
                },
            );
        }
        // Delivered without a random latency, which could reorder the tokens of a stream.
        if self.nodes[node].incarnation == incarnation {
            self.apply(node, event);
        }
    }

    pub(super) fn reserve(
        &mut self,
        node: usize,
        incarnation: u64,
        attempt: Attempt,
        parts: &[(SocketAddr, u64)],
    ) {
        let engines: Vec<_> = parts
            .iter()
            .filter_map(|(address, tokens)| Some((self.engine_by_address(*address)?, *tokens)))
            .filter(|(engine, _)| self.engines[*engine].is_alive())
            .collect();
        let all = engines.len() == parts.len();
        if all {
            for (engine, tokens) in engines {
                self.engines[engine]
                    .reservations
                    .insert(attempt, (tokens, (node, incarnation)));
            }
        }
        let delay = self.latency();
        self.reached_stages.push(Stage::Reserved);
        let event = Event::Reserved { attempt, all };
        self.schedule_event(delay, (node, incarnation), event);
    }

    /// Frees the memory and reservations of processes that are not in `live`, and ends their streams.
    pub(super) fn reconcile(&mut self, engine: usize, live: &[Instance]) {
        let is_live = |owner: (usize, u64)| live.contains(&instance(owner.0, owner.1));
        let gone: Vec<_> = self.engines[engine]
            .allocations
            .iter()
            .filter(|(_, allocation)| !is_live(allocation.owner))
            .map(|(attempt, allocation)| (*attempt, allocation.clone()))
            .collect();
        for (attempt, allocation) in gone {
            self.engines[engine].allocations.remove(&attempt);
            if allocation.finished {
                continue;
            }
            self.end_stream(attempt, &allocation);
        }
        self.engines[engine]
            .reservations
            .retain(|_, (_, owner)| is_live(*owner));
    }

    /// Reports to the node that sent an attempt that its stream ended before the answer was complete.
    fn end_stream(&mut self, attempt: Attempt, allocation: &Allocation) {
        let end = if allocation.next_token == 0 {
            End::NoAnswer
        } else {
            End::Truncated
        };
        let (node, incarnation) = allocation.owner;
        let delay = self.latency();
        let event = Event::Ended { attempt, end };
        self.schedule_event(delay, (node, incarnation), event);
    }
}
