//! Entry VMs: delivery of events to the reducers and execution of their effects.

use super::{
    Action, ENGINE_LEASE, Stage, TICK_INTERVAL, World, control_address, instance, time_limit,
    vm_address, zone_name,
};
use crate::defect::Defect;
use crate::engine::ANSWER_TOKENS;
use crate::promise::Promise;
use primrosepin_core::message::{Credit, Message, Span};
use primrosepin_core::request::{End, Id, Outcome};
use primrosepin_core::serving::effect::{Dispatch, Effect, Refusal};
use primrosepin_core::serving::event::Event;
use primrosepin_core::serving::{Policy, Reducer, Settings};
use primrosepin_core::target::State;
use rand::RngExt;
use std::net::SocketAddr;
use std::sync::Arc;

impl World {
    pub(super) fn start_node(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.incarnation += 1;
        node.paused = false;
        node.shutting_down = false;
        node.config_version = 0;
        node.backlog.clear();
        let zone = node.zone;
        let incarnation = node.incarnation;
        let settings = Settings {
            vm: instance(index, incarnation),
            address: vm_address(index),
            zone: zone_name(zone).into(),
            seeds: (0..self.options.nodes_per_zone)
                .map(|n| vm_address(zone * self.options.nodes_per_zone + n).peers)
                .filter(|seed| *seed != vm_address(index).peers)
                .collect(),
            other_zones: (0..self.nodes.len())
                .filter(|n| n / self.options.nodes_per_zone != zone)
                .map(|n| vm_address(n).peers)
                .collect(),
            control: vec![control_address()],
            policy: Policy::Length,
        };
        let seed = self.seed ^ ((index as u64) << 32) ^ incarnation;
        self.nodes[index].reducer = Some(Reducer::new(settings, seed, self.now));
        self.schedule_after(TICK_INTERVAL, Action::Tick(index, incarnation));
        self.pull_config(index);
    }

    /// Delivers the current configuration to a node, standing in for the entry process, which
    /// polls the control VMs each second.
    pub(super) fn pull_config(&mut self, node: usize) {
        let control_unreachable = self.zones_without_control.contains(&self.nodes[node].zone)
            || self.isolated_nodes.contains(&node);
        if !control_unreachable && self.nodes[node].config_version < self.config.version {
            let mut config = Arc::clone(&self.config);
            match self.defect {
                Some(Defect::ZoneOrderIgnored) => Arc::make_mut(&mut config).zones_out.clear(),
                Some(Defect::TargetOrderIgnored) => Arc::make_mut(&mut config).targets_out.clear(),
                _ => {}
            }
            self.apply(node, Event::Configured(config));
        }
    }

    pub(super) fn crash_node(&mut self, index: usize) {
        self.nodes[index].reducer = None;
        self.nodes[index].incarnation += 1;
        // Engines free what they hold for the crashed process when its lease expires.
        self.schedule_after(ENGINE_LEASE, Action::ExpireLeases(index));
    }

    pub(super) fn resume_node(&mut self, index: usize) {
        self.nodes[index].paused = false;
        let backlog = std::mem::take(&mut self.nodes[index].backlog);
        for event in backlog {
            self.apply(index, event);
        }
    }

    pub(super) fn apply(&mut self, index: usize, event: Event) {
        if self.nodes[index].paused {
            if !matches!(event, Event::Tick) {
                self.nodes[index].backlog.push(event);
            }
            return;
        }
        let now = self.now;
        let event = match (self.defect, event) {
            (Some(Defect::ColdAsWarm), Event::Announced(mut announcement)) => {
                announcement.state = State::Warm;
                announcement.incarnation = 1;
                announcement.seq = now.as_micros();
                Event::Announced(announcement)
            }
            (Some(Defect::TokenTwice), Event::Progress { attempt, tokens }) => Event::Progress {
                attempt,
                tokens: tokens * 2,
            },
            (_, event) => event,
        };
        if let Event::Arrived(arrival) = &event
            && let Some(caller) = self.callers.get_mut(&arrival.id)
        {
            // The time limit starts on admission, which a paused process delays until it resumes.
            caller.deadline = now + time_limit(arrival);
        }
        if let Event::Progress { attempt, tokens } = &event
            && let Some(caller) = self.callers.get_mut(&attempt.request)
        {
            caller.tokens += tokens;
            let stage = if caller.tokens * 2 >= ANSWER_TOKENS {
                Stage::Streaming
            } else {
                Stage::FirstToken
            };
            self.reached_stages.push(stage);
        }
        let Some(reducer) = &mut self.nodes[index].reducer else {
            return;
        };
        let mut effects = Vec::new();
        reducer.apply(now, event, &mut effects);
        for effect in effects {
            self.handle_effect(index, effect);
        }
    }

    pub(super) fn handle_effect(&mut self, index: usize, effect: Effect) {
        let effect = match (self.defect, effect) {
            (Some(Defect::NoRefusal), Effect::Respond(_))
            | (Some(Defect::NoCancel), Effect::Cancel { .. }) => return,
            (Some(Defect::AlwaysNotRun), Effect::Respond(refusal)) => Effect::Respond(Refusal {
                outcome: Outcome::NotRun,
                ..refusal
            }),
            (Some(Defect::DispatchTwice), Effect::Dispatch(dispatch)) => {
                let other = (self.engine_by_address(dispatch.address).unwrap_or(0) + 1)
                    % self.engines.len();
                let address = self.engines[other].announcement.address;
                let again = Dispatch {
                    address,
                    ..dispatch.clone()
                };
                self.send_attempt(index, again);
                Effect::Dispatch(dispatch)
            }
            (Some(Defect::ConfigReverts), Effect::InForce(mut config)) => {
                if config.version > 1 {
                    Arc::make_mut(&mut config).version = 1;
                }
                Effect::InForce(config)
            }
            (_, effect) => effect,
        };
        let incarnation = self.nodes[index].incarnation;
        match effect {
            Effect::Dispatch(dispatch) => {
                self.reached_stages.push(Stage::Dispatched);
                self.send_attempt(index, dispatch);
            }
            Effect::Abort(attempt) => {
                for engine in &mut self.engines {
                    if let Some(allocation) = engine.allocations.get_mut(&attempt) {
                        self.last_stream += 1;
                        allocation.stream = self.last_stream;
                    }
                }
            }
            Effect::Cancel { address, attempt } => {
                if let Some(engine) = self.engine_by_address(address) {
                    let delay = self.latency() * 2;
                    self.schedule_after(delay, Action::Cancel { engine, attempt });
                }
            }
            Effect::Reserve { attempt, parts, .. } => {
                let delay = self.latency();
                self.schedule_after(
                    delay,
                    Action::Reserve {
                        node: index,
                        incarnation,
                        attempt,
                        parts,
                    },
                );
            }
            Effect::ReleaseReservations { attempt, parts } => {
                for part in parts {
                    if let Some(engine) = self.engine_by_address(part) {
                        self.engines[engine].reservations.remove(&attempt);
                    }
                }
            }
            Effect::Respond(refusal) => self.record_outcome(refusal.request, refusal.outcome),
            Effect::Replay {
                request, outcome, ..
            } => self.record_outcome(request, outcome),
            Effect::Complete(request) => self.record_outcome(request, Outcome::Answered),
            Effect::HandOver { request, address } => self.hand_over(index, request, address),
            Effect::Ledger { request, call } => {
                self.reached_stages.push(Stage::LedgerAsked);
                let delay = self.latency();
                self.schedule_after(
                    delay,
                    Action::CallLedger {
                        node: index,
                        incarnation,
                        request,
                        call,
                    },
                );
            }
            Effect::Probe { target, address } => {
                let alive = self
                    .engine_by_address(address)
                    .is_some_and(|engine| self.engines[engine].is_alive());
                let delay = self.latency() * 2;
                self.schedule_after(
                    delay,
                    Action::DeliverEvent {
                        node: index,
                        incarnation,
                        event: Event::Probed { target, alive },
                    },
                );
            }
            Effect::Reconcile { address, live, .. } => {
                if let Some(engine) = self.engine_by_address(address) {
                    self.reconcile(engine, &live);
                }
            }
            Effect::Send { to, message, .. } => self.send_message(index, to, &message),
            Effect::InForce(config) => {
                if config.version < self.nodes[index].config_version {
                    self.report_violation(
                        Promise::Config,
                        format!(
                            "node {index} reverts to configuration version {}",
                            config.version
                        ),
                    );
                }
                self.nodes[index].config_version = config.version;
            }
            Effect::Ready(_) | Effect::Notice(_) => {}
        }
    }

    fn send_attempt(&mut self, index: usize, dispatch: Dispatch) {
        let incarnation = self.nodes[index].incarnation;
        let delay = self.latency();
        self.schedule_after(
            delay,
            Action::DeliverAttempt {
                node: index,
                incarnation,
                sent_at: self.now,
                dispatch,
            },
        );
    }

    pub(super) fn send_message(&mut self, from: usize, to: SocketAddr, message: &Message) {
        if matches!(
            message,
            Message::Credit(Credit::Request { .. }) | Message::Span(Span::Request { .. })
        ) {
            self.reached_stages.push(Stage::CoordinatorAsked);
        }
        if to == control_address() {
            return;
        }
        let Some(node) = (0..self.nodes.len()).find(|&n| vm_address(n).peers == to) else {
            return;
        };
        if self.isolated_nodes.contains(&from) || self.isolated_nodes.contains(&node) {
            return;
        }
        if self.rng.random_range(0..100) < self.options.loss_percent {
            return;
        }
        let copies = if self.rng.random_range(0..100) < self.options.duplicate_percent {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let delay = self.latency();
            let event = Event::Received {
                from: instance(from, self.nodes[from].incarnation),
                message: message.clone(),
            };
            let incarnation = self.nodes[node].incarnation;
            self.schedule_event(delay, (node, incarnation), event);
        }
    }

    pub(super) fn hand_over(&mut self, index: usize, request: Id, to: SocketAddr) {
        let incarnation = self.nodes[index].incarnation;
        let target = (0..self.nodes.len()).find(|&n| vm_address(n).callers == Some(to));
        let reachable = target.filter(|&n| {
            self.nodes[n].reducer.is_some()
                && !self.isolated_nodes.contains(&n)
                && !self.isolated_nodes.contains(&index)
                && !self.nodes[n].paused
        });
        let Some(node) = reachable else {
            let event = Event::HandedOver {
                request,
                end: End::NotRun { busy: false },
            };
            let delay = self.latency();
            return self.schedule_after(
                delay,
                Action::DeliverEvent {
                    node: index,
                    incarnation,
                    event,
                },
            );
        };
        let Some(caller) = self.callers.get(&request) else {
            return;
        };
        let mut arrival = caller.arrival.clone();
        arrival.id = Id(self.next_request_id);
        self.next_request_id += 1;
        arrival.handed_over = true;
        self.deliver_request(node, arrival, Some(request));
    }
}
