//! Callers: they ask, come back after refusals, and leave when nothing comes.

use std::time::Duration;

use primrosepin_core::fleet::{Event, Id, Outcome as End, Request, Tokens};
use rand::RngExt;

use super::super::{Outcome, Policy};
use super::{CALLER, Caller, Held, RECONNECT, START, ToCaller, Vm, What, World, ms};

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
        self.next += 1;
        let id = Id(self.next);
        let now = self.now;
        let caller = self.callers[call].get_or_insert(Caller {
            tries: 0,
            vm,
            id,
            deadline,
            heard: now,
            first: None,
            longest: Duration::ZERO,
            again: false,
            offered: false,
            predicted: None,
            dispatched: None,
            engine_first: None,
            readers: 0,
            end: None,
        });
        caller.tries += 1;
        (caller.vm, caller.id, caller.heard) = (vm, id, now);
        let number = caller.tries;
        let request = Request {
            request_id: format!("{call}-{number}").into(),
            host: "host".into(),
            path: format!("/{}/1", class.name).into(),
            key: None,
            tokens: Some(Tokens {
                prompt: arrival.prompt,
                answer: arrival.answer,
            }),
            timeout: Some(deadline.since(now)),
        };
        let limit = self.patience_limit(call);
        self.push(now + limit, What::Patience(call, number));
        self.held.insert(
            (vm, id),
            Held {
                call,
                attempt: None,
                delivered: 0,
                attempts: 0,
            },
        );
        if self.policy == Policy::Product {
            self.send_vm(CALLER, vm, Event::Arrived(id, request));
        } else {
            self.baseline(vm, id);
        }
    }

    /// Returns how long a caller waits for an event.
    fn patience_limit(&self, call: usize) -> Duration {
        let class = &self.day.classes[self.arrivals[call].class];
        Duration::from_millis((class.objective_ms * 4).max(class.gap_ms * 8).max(2_000))
    }

    pub(super) fn hear(&mut self, call: usize, number: u32, what: ToCaller) {
        let class = &self.day.classes[self.arrivals[call].class];
        let arrived = START + ms(self.arrivals[call].at_ms);
        let now = self.now;
        let Some(caller) = self.callers[call].as_mut() else {
            return;
        };
        if caller.end.is_some() || caller.tries != number {
            return;
        }
        match what {
            ToCaller::Wrote => {
                if caller.first.is_some() {
                    caller.longest = caller.longest.max(now.since(caller.heard));
                } else {
                    caller.first = Some(now);
                }
                caller.heard = now;
            }
            ToCaller::Done => {
                let first = caller.first.map_or(Duration::MAX, |at| at.since(arrived));
                let outcome = if first > Duration::from_millis(class.objective_ms) {
                    Outcome::LateFirst
                } else if caller.longest > Duration::from_millis(class.gap_ms) {
                    Outcome::LatePause
                } else {
                    Outcome::OnTime
                };
                caller.end = Some((outcome, now));
            }
            ToCaller::Refused(refusal) => {
                let left = caller.deadline.since(now);
                if refusal.not_run && caller.tries <= class.retries && !left.is_zero() {
                    let wait = refusal.retry_after.unwrap_or(RECONNECT).min(left / 3);
                    caller.again = true;
                    self.push(now + wait, What::Arrive(call));
                } else if refusal.not_run {
                    caller.end = Some((Outcome::Refused, now));
                } else {
                    caller.end = Some((Outcome::Failed, now));
                }
            }
            ToCaller::Closed => {
                if caller.tries <= class.retries {
                    self.push(now + RECONNECT, What::Arrive(call));
                } else {
                    caller.end = Some((Outcome::Failed, now));
                }
            }
        }
    }

    /// Tells the caller of a request, who hears of it if the try is still the last one.
    pub(super) fn tell_caller(&mut self, after: Duration, call: usize, what: ToCaller) {
        let tries = self.callers[call].as_ref().map_or(0, |c| c.tries);
        let heard = self.now + after + CALLER;
        self.push(heard, What::ToCaller(call, tries, what));
    }

    pub(super) fn patience(&mut self, call: usize, number: u32) {
        let limit = self.patience_limit(call);
        let now = self.now;
        let Some(caller) = self.callers[call].as_mut() else {
            return;
        };
        if caller.end.is_some() || caller.tries != number {
            return;
        }
        let at = (caller.heard + limit).min(caller.deadline);
        if now < at {
            self.push(at, What::Patience(call, number));
            return;
        }
        caller.end = Some((Outcome::GivenUp, now));
        let (vm, id) = (caller.vm, caller.id);
        self.ended(vm, id, End::CallerGone, CALLER);
    }
}
