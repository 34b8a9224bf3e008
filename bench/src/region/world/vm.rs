//! Entry VMs: execution of the effects of their reducers.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use primrosepin_core::fleet::{Dispatch, Effect, Event, Id, Outcome as End};
use rand::RngExt;
use smallvec::SmallVec;

use super::super::Policy;
use super::{Attempt, AttemptId, CONNECT_TIMEOUT, CallerEvent, EngineInput, SimEvent, World};

/// Failed connections that a request may have besides the two attempts of its route.
const UNREACHABLE_ATTEMPTS_MAX: u32 = 5;

impl World<'_> {
    pub(super) fn apply(&mut self, vm: usize, event: Event) {
        let mut effects = Vec::new();
        match &event {
            Event::Ended(id, End::Served | End::CallerGone | End::TimedOut) => {
                self.pending.remove(&(vm, *id));
            }
            Event::Ended(id, _) => {
                if let Some(pending) = self.pending.get_mut(&(vm, *id)) {
                    pending.attempt = None;
                }
            }
            _ => {}
        }
        self.vms[vm].reducer.apply(self.now, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Dispatch(id, dispatch) => self.dispatch(vm, id, &dispatch),
                Effect::Refuse(id, refusal) => {
                    if let Some(pending) = self.pending.remove(&(vm, id)) {
                        let refused = CallerEvent::Refused(refusal);
                        self.send_caller(Duration::ZERO, pending.call, refused);
                    }
                }
                Effect::Queue(..)
                | Effect::PlannerTimedOut(..)
                | Effect::PrefixMissed(..)
                | Effect::PlannerDecision(_)
                | Effect::ReportCrashes(_)
                | Effect::WithdrawCrashes(_)
                | Effect::ReportAnswered(_)
                | Effect::PaceChanged(..)
                | Effect::Returned { .. }
                | Effect::ShareChanged { .. }
                | Effect::PlannerChanged(_) => {}
                Effect::SendToPeer(peer, message) => {
                    let names = self.names.iter();
                    let Some(peer) = names.clone().position(|name| *name == peer) else {
                        continue;
                    };
                    if self.vms[peer].up && !self.drops_message() {
                        let after = self.latency(self.vms[vm].zone, self.vms[peer].zone);
                        let vm = Arc::clone(&self.names[vm]);
                        self.send_vm(after, peer, Event::PlannerMessage { peer: vm, message });
                    }
                }
                Effect::ReportPaces(recipients, paces) => {
                    let event = Event::PacesReported {
                        peer: Arc::clone(&self.names[vm]),
                        paces,
                    };
                    self.send_to_peers(vm, &recipients, &event);
                }
                Effect::ShareRetained(peer, statements) => {
                    let names = self.names.iter();
                    let Some(peer) = names.clone().position(|name| *name == peer) else {
                        continue;
                    };
                    let is_lost = self.policy == Policy::ProductWithOwnPrefixes;
                    if !is_lost && self.vms[peer].up && !self.drops_message() {
                        let after = self.latency(self.vms[vm].zone, self.vms[peer].zone);
                        self.send_vm(after, peer, Event::RetainedReported(statements));
                    }
                }
                Effect::ReportOrder(recipients, report) => {
                    let event = Event::OrderReported {
                        peer: Arc::clone(&self.names[vm]),
                        report,
                    };
                    self.send_to_peers(vm, &recipients, &event);
                }
                Effect::ReportLoad(recipients, report) => {
                    let event = Event::LoadReported {
                        peer: Arc::clone(&self.names[vm]),
                        report,
                    };
                    self.send_to_peers(vm, &recipients, &event);
                }
            }
        }
    }

    /// Sends a datagram from a VM to others.
    fn send_to_peers(&mut self, vm: usize, recipients: &[Arc<str>], event: &Event) {
        let recipients: HashSet<&Arc<str>> = recipients.iter().collect();
        for peer in 0..self.vms.len() {
            if recipients.contains(&self.names[peer]) && self.vms[peer].up && !self.drops_message()
            {
                let after = self.latency(self.vms[vm].zone, self.vms[peer].zone);
                self.send_vm(after, peer, event.clone());
            }
        }
    }

    /// Returns whether the next message between entry VMs is lost.
    fn drops_message(&mut self) -> bool {
        self.loss > 0.0 && self.random.random::<f64>() < self.loss
    }

    pub(super) fn dispatch(&mut self, vm: usize, id: Id, dispatch: &Dispatch) {
        let find = |address| self.by_address.get(address).copied();
        let Some(primary) = find(&dispatch.address) else {
            return;
        };
        let helpers = dispatch.helpers.iter();
        let helpers: SmallVec<[(usize, u64); 4]> = helpers
            .filter_map(|helper| Some((find(&helper.address)?.0, helper.held_tokens)))
            .collect();
        self.send(
            vm,
            id,
            primary,
            &helpers,
            (
                dispatch.stall_timeout,
                dispatch.predicted,
                dispatch.time_left,
            ),
        );
    }

    /// Sends a request to its primary engine and parts of its prompt to the helpers.
    pub(super) fn send(
        &mut self,
        vm: usize,
        id: Id,
        (primary, incarnation): (usize, u64),
        helpers: &[(usize, u64)],
        (stall_timeout, predicted, time_left): (Duration, Duration, Duration),
    ) {
        self.last_id += 1;
        let attempt = self.last_id;
        let Some(pending) = self.pending.get_mut(&(vm, id)) else {
            return;
        };
        pending.attempt = Some(attempt);
        pending.attempts += 1;
        let (call, delivered_before) = (pending.call, pending.delivered);
        if pending.attempts > 2 + UNREACHABLE_ATTEMPTS_MAX {
            self.audit.over_attempts += 1;
        }
        if let Some(caller) = &mut self.callers[call] {
            caller.dispatched = Some(self.now);
            caller.predicted = Some(predicted);
            caller.first_at_engine = None;
            caller.readers = helpers.len() + 1;
        }
        let deadline = self.now + time_left;
        let to_primary = self.latency(self.vms[vm].zone, self.targets[primary].zone);
        self.attempts.insert(
            attempt,
            Attempt {
                call,
                vm,
                id,
                primary,
                incarnation,
                helpers: helpers.iter().copied().collect(),
                stall_timeout,
                predicted,
                deadline,
                last_event: self.now,
                started: false,
                delivered_before,
            },
        );
        if !self.targets[primary].up {
            self.attempts.remove(&attempt);
            self.send_vm(CONNECT_TIMEOUT, vm, Event::Ended(id, End::Unreachable));
            return;
        }
        // Before the VM sends the request, it reserves KV-cache memory at one helper after the other,
        // each in four one-way latencies.
        let mut wait = Duration::ZERO;
        for (target, tokens) in helpers.iter().filter(|(_, tokens)| *tokens > 0) {
            wait += self.latency(self.vms[vm].zone, self.targets[*target].zone) * 4;
            let helper = &mut self.targets[*target];
            if !helper.up || !helper.engine.reserve(attempt, *tokens) {
                self.cancel(attempt, Duration::ZERO);
                self.send_vm(wait, vm, Event::Ended(id, End::Full));
                return;
            }
        }
        self.push(
            self.now + wait + to_primary,
            SimEvent::ToEngine(primary, EngineInput::Request(attempt)),
        );
        let check = (self.now + stall_timeout + predicted).min(deadline);
        self.push(check, SimEvent::CheckStall(attempt));
    }

    /// Cancels the current attempt of a request and reports its end to the VM.
    pub(super) fn end_attempt(&mut self, vm: usize, id: Id, end: End, after: Duration) {
        if let Some(pending) = self.pending.get(&(vm, id))
            && let Some(attempt) = pending.attempt
        {
            self.cancel(attempt, after);
        }
        self.send_vm(after, vm, Event::Ended(id, end));
    }

    /// Cancels an attempt at all of its engines.
    pub(super) fn cancel(&mut self, attempt: AttemptId, after: Duration) {
        let Some(ended) = self.attempts.remove(&attempt) else {
            return;
        };
        let zone = self.vms[ended.vm].zone;
        let targets = ended.helpers.iter().map(|(target, _)| *target);
        let targets: SmallVec<[usize; 8]> = targets.chain([ended.primary]).collect();
        for target in targets {
            let delay = after + self.latency(zone, self.targets[target].zone);
            let cancel = SimEvent::ToEngine(target, EngineInput::Cancel(attempt));
            self.push(self.now + delay, cancel);
        }
        if !self.policy.is_product() {
            let running = &mut self.vms[ended.vm].running[ended.primary];
            *running = running.saturating_sub(1);
        }
    }

    pub(super) fn check_stall(&mut self, attempt: AttemptId) {
        let Some(running) = self.attempts.get(&attempt) else {
            return;
        };
        let (vm, id) = (running.vm, running.id);
        if self.now >= running.deadline {
            let call = running.call;
            self.end_attempt(vm, id, End::TimedOut, Duration::ZERO);
            self.send_caller(Duration::ZERO, call, CallerEvent::Closed);
            return;
        }
        let limit = if running.started {
            running.stall_timeout
        } else {
            running.stall_timeout + running.predicted
        };
        let at = (running.last_event + limit).min(running.deadline);
        if self.now < at {
            self.push(at, SimEvent::CheckStall(attempt));
            return;
        }
        let delivered = running.started || running.delivered_before > 0;
        let broken = End::Broken {
            delivered,
            closed: false,
        };
        self.end_attempt(vm, id, broken, Duration::ZERO);
    }

    /// Places a request by a baseline policy.
    pub(super) fn dispatch_baseline(&mut self, vm: usize, id: Id) {
        let usable: Vec<usize> = (0..self.targets.len())
            .filter(|target| {
                let target = &self.targets[*target];
                target.up && !target.draining && !self.zones_out.contains(&target.zone)
            })
            .collect();
        let Some(pending) = self.pending.get(&(vm, id)).copied() else {
            return;
        };
        if usable.is_empty() {
            return;
        }
        let at = &mut self.vms[vm];
        at.turn += 1;
        let primary = match self.policy {
            Policy::LeastLoad => {
                let offset = at.turn;
                let rank = |position: usize| {
                    let target = usable[(position + offset) % usable.len()];
                    (at.running[target], position)
                };
                let least = (0..usable.len()).min_by_key(|position| rank(*position));
                usable[(least.unwrap_or_default() + offset) % usable.len()]
            }
            Policy::Product
            | Policy::ProductWithoutPrefixes
            | Policy::ProductWithOwnPrefixes
            | Policy::RoundRobin => usable[at.turn % usable.len()],
        };
        at.running[primary] += 1;
        let class = &self.day.classes[self.arrivals[pending.call].class];
        let left = Duration::from_millis(class.timeout_ms);
        let incarnation = self.targets[primary].incarnation;
        self.send(vm, id, (primary, incarnation), &[], (left, left, left));
    }
}
