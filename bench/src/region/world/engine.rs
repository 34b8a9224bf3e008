//! Engines: requests and parts arrive, passes end, tokens go to VMs and callers.

use std::time::Duration;

use primrosepin_core::fleet::{Event, Outcome as End, Reason, Refusal};
use primrosepin_standin::passes;

use super::super::{Policy, Trouble};
use super::{AttemptId, COLD_FACTOR, COLD_SLACK, Input, START, ToCaller, What, World};

impl World<'_> {
    pub(super) fn input(&mut self, number: usize, input: Input) {
        let now = self.now;
        match input {
            Input::Request(attempt) => self.offer(number, attempt),
            Input::Help(attempt) => {
                let Some(running) = self.attempts.get(&attempt) else {
                    return;
                };
                let (call, before) = (running.call, running.before);
                let readers = running.helpers.len() as u32 + 1;
                let worker = &mut self.workers[number];
                if worker.up {
                    let prompt = self.arrivals[call].prompt + before;
                    worker.engine.prefill_part(now, attempt, prompt, readers);
                }
            }
            Input::PartRead(attempt) => {
                if self.workers[number].up {
                    self.workers[number].engine.part_prefilled(now, attempt);
                }
            }
            Input::Cancel(attempt) => self.workers[number].engine.cancel(attempt),
        }
        self.schedule(number);
    }

    /// Offers a request to an engine.
    fn offer(&mut self, number: usize, attempt: AttemptId) {
        let Some(running) = self.attempts.get(&attempt) else {
            return;
        };
        let (vm, id, call) = (running.vm, running.id, running.call);
        let back = self.between(self.vms[vm].zone, self.workers[number].zone);
        if !self.workers[number].up {
            // The connection is there, but nobody reads it.
            return;
        }
        if self.workers[number].born != running.born {
            self.cancel(attempt, Duration::ZERO);
            self.send_vm(back, vm, Event::Ended(id, End::WrongTarget));
            return;
        }
        let room = self.day.engine.slots as usize + self.day.queue;
        if self.workers[number].engine.request_count() >= room {
            self.cancel(attempt, Duration::ZERO);
            if self.policy == Policy::Product {
                self.send_vm(back, vm, Event::Ended(id, End::Full));
            } else {
                let refused = ToCaller::Refused(Refusal {
                    reason: Reason::Busy,
                    not_run: true,
                    retry_after: None,
                });
                self.held.remove(&(vm, id));
                self.tell_caller(Duration::ZERO, call, refused);
            }
            return;
        }
        self.count_cold(number);
        let out = self.zones_out.contains(&self.workers[number].zone);
        if out && self.policy == Policy::Product && self.out_since(number) {
            self.audit.to_zone_out += 1;
        }
        if let Some(caller) = &mut self.callers[call] {
            caller.offered = true;
        }
        let Some(running) = self.attempts.get(&attempt) else {
            return;
        };
        let helpers = running.helpers.clone();
        let arrival = self.arrivals[call];
        let request = passes::Request {
            id: attempt,
            prompt_tokens: arrival.prompt + running.before,
            answer_tokens: arrival.answer.saturating_sub(running.before).max(1),
            prefill_targets: helpers.len() as u32 + 1,
            remote_kv_tokens: helpers.iter().map(|(_, tokens)| *tokens).sum(),
            priority: 5,
        };
        self.workers[number].engine.submit(self.now, request);
        for (helper, _) in helpers {
            let delay = self.between(self.workers[number].zone, self.workers[helper].zone);
            let help = What::ToEngine(helper, Input::Help(attempt));
            self.push(self.now + delay, help);
        }
    }

    /// Returns whether the zone of an engine is out for so long that all VMs must know.
    fn out_since(&self, number: usize) -> bool {
        const KNOWN: f64 = 5.0;
        let since = self.now.since(START).as_secs_f64();
        self.day.troubles.iter().any(|trouble| match trouble {
            Trouble::ZoneOut { at_s, for_s, zone } => {
                *zone == self.workers[number].zone && (at_s + KNOWN..at_s + for_s).contains(&since)
            }
            _ => false,
        })
    }

    fn count_cold(&mut self, number: usize) {
        let worker = &mut self.workers[number];
        if self.now >= worker.cold_until {
            return;
        }
        let second = self.now.as_micros() / 1_000_000;
        if worker.cold.0 != second {
            worker.cold = (second, 0);
        }
        worker.cold.1 += 1;
        let limit = self.day.cold_per_s * COLD_FACTOR + COLD_SLACK;
        if worker.cold.1 as f64 > limit {
            self.audit.cold_overruns += 1;
        }
    }

    pub(super) fn schedule(&mut self, number: usize) {
        if let Some(at) = self.workers[number].engine.pass_end() {
            self.push(at, What::Pass(number));
        }
    }

    pub(super) fn pass(&mut self, number: usize) {
        let Some(at) = self.workers[number].engine.pass_end() else {
            return;
        };
        if at > self.now {
            return;
        }
        let mut events = Vec::new();
        self.workers[number].engine.advance(self.now, &mut events);
        for event in events {
            match event {
                passes::Event::PartPrefilled(attempt) => {
                    let Some(running) = self.attempts.get(&attempt) else {
                        continue;
                    };
                    let head = running.head;
                    let delay = self.between(self.workers[number].zone, self.workers[head].zone);
                    let read = What::ToEngine(head, Input::PartRead(attempt));
                    self.push(self.now + delay, read);
                }
                passes::Event::Generated(attempt, tokens) => self.wrote(number, attempt, tokens),
                passes::Event::Finished(attempt) => self.whole(number, attempt),
                passes::Event::Preempted(_) => {}
            }
        }
        self.schedule(number);
    }

    fn wrote(&mut self, number: usize, attempt: AttemptId, tokens: u64) {
        let Some(running) = self.attempts.get_mut(&attempt) else {
            return;
        };
        running.heard = self.now;
        let first = !std::mem::replace(&mut running.started, true);
        let (vm, id, call) = (running.vm, running.id, running.call);
        let delay = self.between(self.vms[vm].zone, self.workers[number].zone);
        if let Some(held) = self.held.get_mut(&(vm, id)) {
            held.delivered += tokens;
        }
        if first {
            self.send_vm(delay, vm, Event::Started(id));
        }
        let Some(caller) = &mut self.callers[call] else {
            return;
        };
        caller.engine_first.get_or_insert(self.now + delay);
        self.tell_caller(delay, call, ToCaller::Wrote);
    }

    fn whole(&mut self, number: usize, attempt: AttemptId) {
        let Some(running) = self.attempts.remove(&attempt) else {
            return;
        };
        for (helper, _) in &running.helpers {
            self.workers[*helper].engine.release(attempt);
        }
        if self.policy != Policy::Product {
            let left = &mut self.vms[running.vm].running[running.head];
            *left = left.saturating_sub(1);
        }
        let delay = self.between(self.vms[running.vm].zone, self.workers[number].zone);
        self.send_vm(delay, running.vm, Event::Ended(running.id, End::Served));
        self.tell_caller(delay, running.call, ToCaller::Done);
    }
}
