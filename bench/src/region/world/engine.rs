//! Engines: admission of requests and prompt parts, ends of passes, delivery of tokens.

use std::time::Duration;

use primrosepin_core::fleet::{Event, Outcome as End, Prefix, Reason, Refusal};
use primrosepin_standin::passes;

use super::super::Disruption;
use super::{AttemptId, COLD_FACTOR, COLD_SLACK, CallerEvent, EngineInput, START, SimEvent, World};

impl World<'_> {
    pub(super) fn apply_input(&mut self, number: usize, input: EngineInput) {
        let now = self.now;
        match input {
            EngineInput::Request(attempt) => self.admit(number, attempt),
            EngineInput::PrefillPart(attempt) => {
                let Some(running) = self.attempts.get(&attempt) else {
                    return;
                };
                let (call, delivered_before) = (running.call, running.delivered_before);
                let prefill_targets = running.helpers.len() as u32 + 1;
                let target = &mut self.targets[number];
                if target.up {
                    let prompt = self.arrivals[call].prompt + delivered_before;
                    target
                        .engine
                        .prefill_part(now, attempt, prompt, prefill_targets);
                }
            }
            EngineInput::PartPrefilled(attempt) => {
                if self.targets[number].up {
                    self.targets[number].engine.part_prefilled(now, attempt);
                }
            }
            EngineInput::Cancel(attempt) => self.targets[number].engine.cancel(attempt),
        }
        self.schedule_pass(number);
    }

    /// Delivers a request to an engine, which accepts or refuses it.
    fn admit(&mut self, number: usize, attempt: AttemptId) {
        let Some(running) = self.attempts.get(&attempt) else {
            return;
        };
        let (vm, id, call) = (running.vm, running.id, running.call);
        let delay = self.latency(self.vms[vm].zone, self.targets[number].zone);
        if !self.targets[number].up {
            // The engine crashed after the request was sent: no answer comes, and the stall timeout
            // ends the attempt.
            return;
        }
        if self.targets[number].incarnation != running.incarnation {
            self.cancel(attempt, Duration::ZERO);
            self.send_vm(delay, vm, Event::Ended(id, End::WrongTarget));
            return;
        }
        let capacity = self.day.engine.slots as usize + self.day.queue;
        if self.targets[number].engine.request_count() >= capacity {
            self.cancel(attempt, Duration::ZERO);
            if self.policy.is_product() {
                self.send_vm(delay, vm, Event::Ended(id, End::Full));
            } else {
                let refused = CallerEvent::Refused(Refusal {
                    reason: Reason::Busy,
                    not_run: true,
                    retry_after: None,
                });
                self.pending.remove(&(vm, id));
                self.send_caller(Duration::ZERO, call, refused);
            }
            return;
        }
        self.count_cold(number);
        let out = self.zones_out.contains(&self.targets[number].zone);
        if out && self.policy.is_product() && self.knows_zone_out(number) {
            self.audit.to_zone_out += 1;
        }
        if let Some(caller) = &mut self.callers[call] {
            caller.reached_engine = true;
        }
        let Some(running) = self.attempts.get(&attempt) else {
            return;
        };
        let helpers = running.helpers.clone();
        let arrival = self.arrivals[call];
        let request = passes::Request {
            id: attempt,
            prompt_tokens: arrival.prompt + running.delivered_before,
            answer_tokens: arrival
                .answer
                .saturating_sub(running.delivered_before)
                .max(1),
            prefill_targets: helpers.len() as u32 + 1,
            remote_kv_tokens: helpers.iter().map(|(_, tokens)| *tokens).sum(),
            priority: 5,
        };
        let prefixes = if self.day.engine.prefix_cache_tokens > 0 {
            Prefix::all(&self.day.sized_parts(call, &arrival)).into_vec()
        } else {
            Vec::new()
        };
        self.targets[number]
            .engine
            .submit_with_prefixes(self.now, request, prefixes);
        for (helper, _) in helpers {
            let delay = self.latency(self.targets[number].zone, self.targets[helper].zone);
            let help = SimEvent::ToEngine(helper, EngineInput::PrefillPart(attempt));
            self.push(self.now + delay, help);
        }
    }

    /// Returns whether the zone of an engine has been out for long enough that all VMs know.
    fn knows_zone_out(&self, number: usize) -> bool {
        const PROPAGATION_S: f64 = 5.0;
        let since = self.now.since(START).as_secs_f64();
        self.day
            .disruptions
            .iter()
            .any(|disruption| match disruption {
                Disruption::ZoneOut { at_s, for_s, zone } => {
                    *zone == self.targets[number].zone
                        && (at_s + PROPAGATION_S..at_s + for_s).contains(&since)
                }
                _ => false,
            })
    }

    fn count_cold(&mut self, number: usize) {
        let target = &mut self.targets[number];
        if self.now >= target.cold_until {
            return;
        }
        let second = self.now.as_micros() / 1_000_000;
        if target.cold_accepted.0 != second {
            target.cold_accepted = (second, 0);
        }
        target.cold_accepted.1 += 1;
        let limit = self.day.cold_per_s * COLD_FACTOR + COLD_SLACK;
        if target.cold_accepted.1 as f64 > limit {
            self.audit.cold_overruns += 1;
        }
    }

    pub(super) fn schedule_pass(&mut self, number: usize) {
        if let Some(at) = self.targets[number].engine.pass_end() {
            self.push(at, SimEvent::EndPass(number));
        }
    }

    pub(super) fn end_pass(&mut self, number: usize) {
        let Some(at) = self.targets[number].engine.pass_end() else {
            return;
        };
        if at > self.now {
            return;
        }
        let mut events = Vec::new();
        self.targets[number].engine.advance(self.now, &mut events);
        for event in events {
            match event {
                passes::Event::PartPrefilled(attempt) => {
                    let Some(running) = self.attempts.get(&attempt) else {
                        continue;
                    };
                    let primary = running.primary;
                    let delay = self.latency(self.targets[number].zone, self.targets[primary].zone);
                    let prefilled =
                        SimEvent::ToEngine(primary, EngineInput::PartPrefilled(attempt));
                    self.push(self.now + delay, prefilled);
                }
                passes::Event::Generated(attempt, tokens) => {
                    self.deliver_tokens(number, attempt, tokens);
                }
                passes::Event::Finished(attempt) => self.complete(number, attempt),
                passes::Event::Preempted(_) => {}
            }
        }
        self.schedule_pass(number);
    }

    fn deliver_tokens(&mut self, number: usize, attempt: AttemptId, tokens: u64) {
        let Some(running) = self.attempts.get_mut(&attempt) else {
            return;
        };
        let gap = self
            .now
            .since(std::mem::replace(&mut running.last_event, self.now));
        let first = !std::mem::replace(&mut running.started, true);
        let (vm, id, call) = (running.vm, running.id, running.call);
        let delay = self.latency(self.vms[vm].zone, self.targets[number].zone);
        if let Some(pending) = self.pending.get_mut(&(vm, id)) {
            pending.delivered += tokens;
        }
        if first {
            self.send_vm(delay, vm, Event::Started(id));
        } else {
            self.send_vm(delay, vm, Event::Continued(id, gap));
        }
        let Some(caller) = &mut self.callers[call] else {
            return;
        };
        caller.first_at_engine.get_or_insert(self.now + delay);
        self.send_caller(delay, call, CallerEvent::Tokens);
    }

    fn complete(&mut self, number: usize, attempt: AttemptId) {
        let Some(running) = self.attempts.remove(&attempt) else {
            return;
        };
        for (helper, _) in &running.helpers {
            self.targets[*helper].engine.release(attempt);
        }
        if !self.policy.is_product() {
            let count = &mut self.vms[running.vm].running[running.primary];
            *count = count.saturating_sub(1);
        }
        let delay = self.latency(self.vms[running.vm].zone, self.targets[number].zone);
        self.send_vm(delay, running.vm, Event::Ended(running.id, End::Served));
        self.send_caller(delay, running.call, CallerEvent::Done);
    }
}
