//! Engines: attempts, tokens, reservations and faults.

use super::{ANNOUNCE, DOWN, Delivery, Stage, World, instance};
use crate::engine::{ANSWER_TOKENS, Held, PREFILL_TOKENS_PER_S, TOKEN_INTERVAL};
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
    pub(super) fn kill(&mut self, engine: usize) {
        let until = self.now + DOWN;
        self.cut(engine);
        self.engines[engine].die(until);
        self.push(until, Delivery::Return(engine));
    }

    pub(super) fn turn_cold(&mut self, engine: usize) {
        self.cut(engine);
        let now = self.now;
        self.engines[engine].turn_cold(now);
    }

    /// Ends all open streams of an engine; what the engine holds stays.
    pub(super) fn cut(&mut self, engine: usize) {
        let open: Vec<_> = self.engines[engine]
            .held
            .iter()
            .filter(|(_, held)| !held.finished)
            .map(|(attempt, held)| (*attempt, held.clone()))
            .collect();
        for (attempt, held) in open {
            if let Some(kept) = self.engines[engine].held.get_mut(&attempt) {
                self.streams += 1;
                kept.stream = self.streams;
            }
            self.end_stream(attempt, &held);
        }
    }

    pub(super) fn announce(&mut self, engine: usize) {
        self.push_after(ANNOUNCE, Delivery::Announce(engine));
        if engine == 0 {
            // Nodes ask control for the configuration about as often.
            for node in 0..self.nodes.len() {
                self.pull_config(node);
            }
        }
        if !self.engines[engine].alive() {
            return;
        }
        let now = self.now;
        let announcement = self.engines[engine].announce(now);
        let first = self.engines[engine].zone * self.size.nodes_per_zone;
        // An engine goes on to the next entry VM when one does not answer.
        let start = self.rng.random_range(0..self.size.nodes_per_zone);
        let alive = (0..self.size.nodes_per_zone)
            .map(|n| first + (start + n) % self.size.nodes_per_zone)
            .find(|&node| self.nodes[node].reducer.is_some() && !self.nodes[node].paused);
        if let Some(node) = alive {
            let incarnation = self.nodes[node].incarnation;
            let delay = self.latency();
            self.tell_node(delay, (node, incarnation), Event::Announced(announcement));
        }
    }

    pub(super) fn engine_at(&self, address: SocketAddr) -> Option<usize> {
        self.engines
            .iter()
            .position(|engine| engine.announcement.address == address)
    }

    pub(super) fn attempt_arrives(
        &mut self,
        node: usize,
        incarnation: u64,
        sent: Instant,
        dispatch: &Dispatch,
    ) {
        let attempt = dispatch.attempt;
        let answer = |world: &mut Self, end: End| {
            let delay = world.latency();
            let event = Event::Ended { attempt, end };
            world.tell_node(delay, (node, incarnation), event);
        };
        let Some(index) = self
            .engine_at(dispatch.address)
            .filter(|&e| self.engines[e].alive())
        else {
            return answer(self, End::NotRun { busy: false });
        };
        if let Some((held, from)) = dispatch.resume {
            return self.resume_stream(index, node, incarnation, attempt, held, from);
        }
        if self.engines[index].cancelled.contains(&attempt) {
            return answer(self, End::NotRun { busy: false });
        }
        self.check_out(index, node, attempt);
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
        self.check_cold(index, node, sent, attempt, tokens);
        self.record_run(index, attempt);
        self.streams += 1;
        let stream = self.streams;
        let engine = &mut self.engines[index];
        engine.held.insert(
            attempt,
            Held {
                owner: (node, incarnation),
                sent,
                tokens,
                next: 0,
                silent: false,
                finished: false,
                stream,
            },
        );
        let engine_incarnation = engine.announcement.incarnation;
        let backlog: u64 = engine
            .held
            .values()
            .filter(|h| h.next == 0)
            .map(|h| h.tokens)
            .sum();
        let prefill = Duration::from_micros(backlog * 1_000_000 / PREFILL_TOKENS_PER_S);
        self.push_after(
            prefill,
            Delivery::Token {
                engine: index,
                incarnation: engine_incarnation,
                attempt,
                stream,
                reply: attempt,
            },
        );
    }

    pub(super) fn resume_stream(
        &mut self,
        engine: usize,
        node: usize,
        incarnation: u64,
        attempt: Attempt,
        held: Attempt,
        from: u32,
    ) {
        let kept = self.engines[engine]
            .held
            .get_mut(&held)
            .filter(|kept| kept.next >= from);
        let Some(kept) = kept else {
            let delay = self.latency();
            let event = Event::Ended {
                attempt,
                end: End::NoAnswer,
            };
            return self.tell_node(delay, (node, incarnation), event);
        };
        self.streams += 1;
        kept.stream = self.streams;
        kept.silent = false;
        kept.finished = false;
        kept.next = from;
        let stream = self.streams;
        let engine_incarnation = self.engines[engine].announcement.incarnation;
        self.push_after(
            TOKEN_INTERVAL,
            Delivery::Token {
                engine,
                incarnation: engine_incarnation,
                attempt: held,
                stream,
                reply: attempt,
            },
        );
    }

    pub(super) fn token(&mut self, engine: usize, attempt: Attempt, stream: u64, reply: Attempt) {
        let state = &mut self.engines[engine];
        let Some(held) = state.held.get_mut(&attempt) else {
            return;
        };
        if held.stream != stream {
            return;
        }
        let (node, incarnation) = held.owner;
        let event = if held.next < ANSWER_TOKENS {
            state.first_tokens += u32::from(held.next == 0);
            held.next += 1;
            Event::Progress {
                attempt: reply,
                tokens: 1,
            }
        } else {
            held.finished = true;
            let prompt_tokens = held.tokens;
            Event::Ended {
                attempt: reply,
                end: End::Complete {
                    prompt_tokens,
                    cached_tokens: 0,
                    generated_tokens: u64::from(ANSWER_TOKENS),
                },
            }
        };
        if held.silent {
            // The engine goes on; nobody receives it.
            held.finished = held.next >= ANSWER_TOKENS;
            return;
        }
        let finished = held.finished;
        let engine_incarnation = self.engines[engine].announcement.incarnation;
        if finished {
            self.engines[engine].held.remove(&attempt);
        } else {
            self.push_after(
                TOKEN_INTERVAL,
                Delivery::Token {
                    engine,
                    incarnation: engine_incarnation,
                    attempt,
                    stream,
                    reply,
                },
            );
        }
        // Delivered at once: a stream keeps its order.
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
            .filter_map(|(address, tokens)| Some((self.engine_at(*address)?, *tokens)))
            .filter(|(engine, _)| self.engines[*engine].alive())
            .collect();
        let all = engines.len() == parts.len();
        if all {
            for (engine, tokens) in engines {
                self.engines[engine]
                    .reserved
                    .insert(attempt, (tokens, (node, incarnation)));
            }
        }
        let delay = self.latency();
        self.stages.push(Stage::Reserved);
        let event = Event::Reserved { attempt, all };
        self.tell_node(delay, (node, incarnation), event);
    }

    /// Releases what belongs to processes that are not in `live`, and ends their streams.
    pub(super) fn reconcile(&mut self, engine: usize, live: &[Instance]) {
        let is_live = |owner: (usize, u64)| live.contains(&instance(owner.0, owner.1));
        let gone: Vec<_> = self.engines[engine]
            .held
            .iter()
            .filter(|(_, held)| !is_live(held.owner))
            .map(|(attempt, held)| (*attempt, held.clone()))
            .collect();
        for (attempt, held) in gone {
            self.engines[engine].held.remove(&attempt);
            if held.finished {
                continue;
            }
            self.end_stream(attempt, &held);
        }
        self.engines[engine]
            .reserved
            .retain(|_, (_, owner)| is_live(*owner));
    }

    /// Reports the end of an attempt's connection to the node that reads it.
    fn end_stream(&mut self, attempt: Attempt, held: &Held) {
        let end = if held.next == 0 {
            End::NoAnswer
        } else {
            End::Truncated
        };
        let (node, incarnation) = held.owner;
        let delay = self.latency();
        let event = Event::Ended { attempt, end };
        self.tell_node(delay, (node, incarnation), event);
    }
}
