//! Entry VMs: what their reducers decide is carried out.

use std::sync::Arc;
use std::time::Duration;

use primrosepin_core::fleet::{Dispatch, Effect, Event, Id, Outcome as End};
use rand::RngExt;
use smallvec::SmallVec;

use super::super::Policy;
use super::{Attempt, AttemptId, CONNECT, Input, ToCaller, What, World};

/// Failed connections that a VM may add to the attempts of a request.
const UNREACHABLE: u32 = 5;

impl World<'_> {
    pub(super) fn apply(&mut self, vm: usize, event: Event) {
        let mut effects = Vec::new();
        match &event {
            Event::Ended(id, End::Served | End::CallerGone | End::TimedOut) => {
                self.held.remove(&(vm, *id));
            }
            Event::Ended(id, _) => {
                if let Some(held) = self.held.get_mut(&(vm, *id)) {
                    held.attempt = None;
                }
            }
            _ => {}
        }
        self.vms[vm].reducer.apply(self.now, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Dispatch(id, dispatch) => self.dispatch(vm, id, &dispatch),
                Effect::Refuse(id, refusal) => {
                    if let Some(held) = self.held.remove(&(vm, id)) {
                        let refused = ToCaller::Refused(refusal);
                        self.tell_caller(Duration::ZERO, held.call, refused);
                    }
                }
                Effect::Queue(..)
                | Effect::PlannerTimedOut(..)
                | Effect::PlannerDecision(_)
                | Effect::PlannerChanged(_) => {}
                Effect::SendToPeer(peer, note) => {
                    let names = self.names.iter();
                    let Some(peer) = names.clone().position(|name| *name == peer) else {
                        continue;
                    };
                    if self.vms[peer].up && !self.loses() {
                        let after = self.between(self.vms[vm].zone, self.vms[peer].zone);
                        let vm = Arc::clone(&self.names[vm]);
                        self.send_vm(
                            after,
                            peer,
                            Event::PlannerMessage {
                                peer: vm,
                                message: note,
                            },
                        );
                    }
                }
                Effect::ReportLoad(share) => {
                    for peer in 0..self.vms.len() {
                        if peer != vm && self.vms[peer].up && !self.loses() {
                            let after = self.between(self.vms[vm].zone, self.vms[peer].zone);
                            let event = Event::LoadReported {
                                peer: Arc::clone(&self.names[vm]),
                                report: share.clone(),
                            };
                            self.send_vm(after, peer, event);
                        }
                    }
                }
            }
        }
    }

    /// Returns whether the next message between entry VMs is lost.
    fn loses(&mut self) -> bool {
        self.loss > 0.0 && self.random.random::<f64>() < self.loss
    }

    pub(super) fn dispatch(&mut self, vm: usize, id: Id, dispatch: &Dispatch) {
        let find = |address| self.by_address.get(address).copied();
        let Some(head) = find(&dispatch.address) else {
            return;
        };
        let helpers = dispatch.helpers.iter();
        let helpers: SmallVec<[(usize, u64); 4]> = helpers
            .filter_map(|helper| Some((find(&helper.address)?.0, helper.held_tokens)))
            .collect();
        self.send(
            vm,
            id,
            head,
            &helpers,
            (
                dispatch.stall_timeout,
                dispatch.predicted,
                dispatch.time_left,
            ),
        );
    }

    /// Sends a request to an engine and parts of its prompt to others.
    pub(super) fn send(
        &mut self,
        vm: usize,
        id: Id,
        (head, born): (usize, u64),
        helpers: &[(usize, u64)],
        (silence, predicted, time_left): (Duration, Duration, Duration),
    ) {
        self.next += 1;
        let attempt = self.next;
        let Some(held) = self.held.get_mut(&(vm, id)) else {
            return;
        };
        held.attempt = Some(attempt);
        held.attempts += 1;
        let (call, before) = (held.call, held.delivered);
        if held.attempts > 2 + UNREACHABLE {
            self.audit.over_attempts += 1;
        }
        if let Some(caller) = &mut self.callers[call] {
            caller.dispatched = Some(self.now);
            caller.predicted = Some(predicted);
            caller.engine_first = None;
            caller.readers = helpers.len() + 1;
        }
        let deadline = self.now + time_left;
        let own = self.between(self.vms[vm].zone, self.workers[head].zone);
        self.attempts.insert(
            attempt,
            Attempt {
                call,
                vm,
                id,
                head,
                born,
                helpers: helpers.iter().copied().collect(),
                silence,
                predicted,
                deadline,
                heard: self.now,
                started: false,
                before,
            },
        );
        if !self.workers[head].up {
            self.attempts.remove(&attempt);
            self.send_vm(CONNECT, vm, Event::Ended(id, End::Unreachable));
            return;
        }
        // Memory is held before the request is sent, one helper after the other.
        let mut wait = Duration::ZERO;
        for (worker, tokens) in helpers.iter().filter(|(_, tokens)| *tokens > 0) {
            wait += self.between(self.vms[vm].zone, self.workers[*worker].zone) * 4;
            let helper = &mut self.workers[*worker];
            if !helper.up || !helper.engine.reserve(attempt, *tokens) {
                self.cancel(attempt, Duration::ZERO);
                self.send_vm(wait, vm, Event::Ended(id, End::Full));
                return;
            }
        }
        self.push(
            self.now + wait + own,
            What::ToEngine(head, Input::Request(attempt)),
        );
        let check = (self.now + silence + predicted).min(deadline);
        self.push(check, What::Silence(attempt));
    }

    /// Ends an attempt and tells the VM.
    pub(super) fn ended(&mut self, vm: usize, id: Id, end: End, after: Duration) {
        if let Some(held) = self.held.get(&(vm, id))
            && let Some(attempt) = held.attempt
        {
            self.cancel(attempt, after);
        }
        self.send_vm(after, vm, Event::Ended(id, end));
    }

    /// Ends an attempt at its engines.
    pub(super) fn cancel(&mut self, attempt: AttemptId, after: Duration) {
        let Some(gone) = self.attempts.remove(&attempt) else {
            return;
        };
        let zone = self.vms[gone.vm].zone;
        let workers = gone.helpers.iter().map(|(worker, _)| *worker);
        let workers: SmallVec<[usize; 8]> = workers.chain([gone.head]).collect();
        for worker in workers {
            let delay = after + self.between(zone, self.workers[worker].zone);
            let cancel = What::ToEngine(worker, Input::Cancel(attempt));
            self.push(self.now + delay, cancel);
        }
        if self.policy != Policy::Product {
            let running = &mut self.vms[gone.vm].running[gone.head];
            *running = running.saturating_sub(1);
        }
    }

    pub(super) fn silence(&mut self, attempt: AttemptId) {
        let Some(running) = self.attempts.get(&attempt) else {
            return;
        };
        let (vm, id) = (running.vm, running.id);
        if self.now >= running.deadline {
            let call = running.call;
            self.ended(vm, id, End::TimedOut, Duration::ZERO);
            self.tell_caller(Duration::ZERO, call, ToCaller::Closed);
            return;
        }
        let limit = if running.started {
            running.silence
        } else {
            running.silence + running.predicted
        };
        let at = (running.heard + limit).min(running.deadline);
        if self.now < at {
            self.push(at, What::Silence(attempt));
            return;
        }
        let delivered = running.started || running.before > 0;
        self.ended(vm, id, End::Broken { delivered }, Duration::ZERO);
    }

    /// Places a request as a baseline does.
    pub(super) fn baseline(&mut self, vm: usize, id: Id) {
        let usable: Vec<usize> = (0..self.workers.len())
            .filter(|worker| {
                let worker = &self.workers[*worker];
                worker.up && !worker.leaving && !self.zones_out.contains(&worker.zone)
            })
            .collect();
        let Some(held) = self.held.get(&(vm, id)).copied() else {
            return;
        };
        if usable.is_empty() {
            return;
        }
        let at = &mut self.vms[vm];
        at.turn += 1;
        let head = match self.policy {
            Policy::LeastLoad => {
                let offset = at.turn;
                let rank = |position: usize| {
                    let worker = usable[(position + offset) % usable.len()];
                    (at.running[worker], position)
                };
                let least = (0..usable.len()).min_by_key(|position| rank(*position));
                usable[(least.unwrap_or_default() + offset) % usable.len()]
            }
            Policy::Product | Policy::RoundRobin => usable[at.turn % usable.len()],
        };
        at.running[head] += 1;
        let class = &self.day.classes[self.arrivals[held.call].class];
        let left = Duration::from_millis(class.timeout_ms);
        let born = self.workers[head].born;
        self.send(vm, id, (head, born), &[], (left, left, left));
    }
}
