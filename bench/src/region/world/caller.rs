//! Callers: they send requests, retry after refusals, and give up when no event arrives.

use std::time::Duration;

use primrosepin_core::fingerprint::Fingerprint;
use primrosepin_core::fleet::{Event, Id, Outcome as End, PartIds, Request, SizedParts, Tokens};
use rand::RngExt;

use super::super::Outcome;
use super::{
    CALLER_LATENCY, Caller, CallerEvent, Pending, RETRY_DELAY, START, SimEvent, Vm, World, ms,
};

impl World<'_> {
    pub(super) fn arrive(&mut self, call: usize) {
        let arrival = self.arrivals[call];
        let class = &self.day.classes[arrival.class];
        let deadline = START + ms(arrival.at_ms) + Duration::from_millis(class.timeout_ms);
        let zone = arrival.zone;
        let up = |vms: &[Vm], zone: Option<usize>| -> Vec<usize> {
            let in_zone = |vm: &Vm| zone.is_none_or(|zone| vm.zone == zone);
            let all = vms.iter().enumerate();
            all.filter(|(_, vm)| vm.up && in_zone(vm))
                .map(|(number, _)| number)
                .collect()
        };
        let mut vms = up(&self.vms, Some(zone));
        if vms.is_empty() {
            vms = up(&self.vms, None);
        }
        if vms.is_empty() {
            return;
        }
        let vm = vms[self.random.random_range(0..vms.len())];
        self.last_id += 1;
        let id = Id(self.last_id);
        let now = self.now;
        let caller = self.callers[call].get_or_insert(Caller {
            tries: 0,
            vm,
            id,
            deadline,
            last_event: now,
            first: None,
            longest_gap: Duration::ZERO,
            retried: false,
            reached_engine: false,
            predicted: None,
            dispatched: None,
            first_at_engine: None,
            readers: 0,
            end: None,
        });
        caller.tries += 1;
        (caller.vm, caller.id, caller.last_event) = (vm, id, now);
        let number = caller.tries;
        let request = Request {
            request_id: format!("{call}-{number}").into(),
            host: "host".into(),
            path: format!("/{}/1", class.name).into(),
            key: self
                .day
                .organisations
                .get(arrival.organisation)
                .map(|o| o.name.as_str().into()),
            tokens: Some(Tokens {
                prompt: arrival.prompt,
                answer: arrival.answer,
            }),
            parts: PartIds::new(),
            sized_parts: if self.day.engine.prefix_cache_tokens > 0 {
                self.day.sized_parts(call, &arrival)
            } else {
                SizedParts::default()
            },
            fingerprint: Fingerprint::new("POST", "host", &class.name, &call.to_le_bytes()),
            timeout: Some(deadline.since(now)),
        };
        let limit = self.event_timeout(call);
        self.push(now + limit, SimEvent::CheckCaller(call, number));
        self.pending.insert(
            (vm, id),
            Pending {
                call,
                attempt: None,
                delivered: 0,
                attempts: 0,
            },
        );
        if self.policy.is_product() {
            self.send_vm(CALLER_LATENCY, vm, Event::Arrived(id, request));
        } else {
            self.dispatch_baseline(vm, id);
        }
    }

    /// Returns how long a caller waits for the next event.
    fn event_timeout(&self, call: usize) -> Duration {
        let class = &self.day.classes[self.arrivals[call].class];
        Duration::from_millis((class.objective_ms * 4).max(class.gap_ms * 8).max(2_000))
    }

    pub(super) fn deliver(&mut self, call: usize, number: u32, event: CallerEvent) {
        let class = &self.day.classes[self.arrivals[call].class];
        let arrived = START + ms(self.arrivals[call].at_ms);
        let now = self.now;
        let Some(caller) = self.callers[call].as_mut() else {
            return;
        };
        if caller.end.is_some() || caller.tries != number {
            return;
        }
        match event {
            CallerEvent::Tokens => {
                if caller.first.is_some() {
                    caller.longest_gap = caller.longest_gap.max(now.since(caller.last_event));
                } else {
                    caller.first = Some(now);
                }
                caller.last_event = now;
            }
            CallerEvent::Done => {
                let first = caller.first.map_or(Duration::MAX, |at| at.since(arrived));
                let outcome = if first > Duration::from_millis(class.objective_ms) {
                    Outcome::LateFirst
                } else if caller.longest_gap > Duration::from_millis(class.gap_ms) {
                    Outcome::LatePause
                } else {
                    Outcome::OnTime
                };
                caller.end = Some((outcome, now));
            }
            CallerEvent::Refused(refusal) => {
                let left = caller.deadline.since(now);
                let organisation = self.arrivals[call].organisation;
                let organisation = self.day.organisations.get(organisation);
                let repeats = organisation.is_some_and(|o| o.repeats_at_once);
                if repeats && refusal.not_run && left > RETRY_DELAY {
                    caller.retried = true;
                    self.push(now + RETRY_DELAY, SimEvent::Arrive(call));
                } else if refusal.not_run && caller.tries <= class.retries && !left.is_zero() {
                    let wait = refusal.retry_after.unwrap_or(RETRY_DELAY).min(left / 3);
                    caller.retried = true;
                    self.push(now + wait, SimEvent::Arrive(call));
                } else if refusal.not_run {
                    caller.end = Some((Outcome::Refused, now));
                } else {
                    caller.end = Some((Outcome::Failed, now));
                }
            }
            CallerEvent::Closed => {
                if caller.tries <= class.retries {
                    self.push(now + RETRY_DELAY, SimEvent::Arrive(call));
                } else {
                    caller.end = Some((Outcome::Failed, now));
                }
            }
        }
    }

    /// Sends an event to the caller of a request. The caller ignores it if it has started another
    /// try by then.
    pub(super) fn send_caller(&mut self, after: Duration, call: usize, event: CallerEvent) {
        let tries = self.callers[call].as_ref().map_or(0, |c| c.tries);
        let at = self.now + after + CALLER_LATENCY;
        self.push(at, SimEvent::ToCaller(call, tries, event));
    }

    pub(super) fn check_caller(&mut self, call: usize, number: u32) {
        let limit = self.event_timeout(call);
        let now = self.now;
        let Some(caller) = self.callers[call].as_mut() else {
            return;
        };
        if caller.end.is_some() || caller.tries != number {
            return;
        }
        let at = (caller.last_event + limit).min(caller.deadline);
        if now < at {
            self.push(at, SimEvent::CheckCaller(call, number));
            return;
        }
        caller.end = Some((Outcome::GivenUp, now));
        let (vm, id) = (caller.vm, caller.id);
        self.end_attempt(vm, id, End::CallerGone, CALLER_LATENCY);
    }
}
