//! Admission to the queue, scheduling and placement of waiting requests.

use crate::request::{Arrival, Class, Id, Reason};

use super::effect::Effect;
use super::fairness::Blocked;
use super::placement::{self, Query};
use super::reducer::{LONG_WAIT, Reducer};
use super::request::Stage;
use super::settings::Policy;

impl Reducer {
    /// Queues a request, or claims its key first if it must run at most once.
    pub(super) fn admit(&mut self, id: Id, effects: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let largest = self.table.group(request.group).largest_kv_tokens;
        request.spanning = request.cost.kv_tokens > largest;
        if request.arrival.at_most_once && !request.claimed {
            self.claim(id, effects);
        } else {
            self.enqueue(id);
        }
    }

    /// Hands a request over to another zone, or refuses it if no zone can take it.
    pub(super) fn deny(
        &mut self,
        id: Id,
        (reason, hint): super::admission::Denial,
        effects: &mut Vec<Effect>,
    ) {
        if reason != Reason::OrganisationLimit && self.hand_over(id, effects) {
            return;
        }
        self.fail(id, reason, hint, effects);
    }

    /// Adds a request to the queue and triggers scheduling.
    pub(super) fn enqueue(&mut self, id: Id) {
        self.enqueue_without_schedule(id);
        self.reschedule = true;
    }

    /// Adds a request to the queue without triggering scheduling.
    pub(super) fn enqueue_without_schedule(&mut self, id: Id) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.stage = Stage::Queued;
        self.queue.push(
            &request.arrival.organisation,
            request.class,
            request.order,
            id,
            request.group,
            request.arrived,
        );
        let group = self.table.group_mut(request.group);
        group.waiting[request.class as usize] += 1;
        group.waiting_tokens[request.class as usize] += request.cost.prefill_tokens;
    }

    /// Removes a request from the queue. Does nothing if it is not queued.
    pub(super) fn dequeue(&mut self, id: Id) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let (organisation, class) = (&request.arrival.organisation, request.class);
        if !self.queue.remove(organisation, class, request.order) {
            return;
        }
        let group = self.table.group_mut(request.group);
        let waiting = &mut group.waiting[class as usize];
        *waiting = waiting.saturating_sub(1);
        let tokens = &mut group.waiting_tokens[class as usize];
        *tokens = tokens.saturating_sub(request.cost.prefill_tokens);
        if group.reserved.is_some_and(|(_, holder)| holder == id) {
            group.reserved = None;
        }
    }

    /// Tries to place waiting requests until none can be placed.
    pub(super) fn schedule(&mut self, effects: &mut Vec<Effect>) {
        if self.now < self.dispatch_resumes_at {
            return;
        }
        if !std::mem::take(&mut self.reschedule) || self.queue.len() == 0 {
            return;
        }
        if self.zone_out() {
            self.evict_queue(effects);
            return;
        }
        let mut blocked = Blocked::new();
        let mut skipped = Vec::new();
        let (members, any_suspect) = self.limit_basis();
        while let Some(id) = self
            .queue
            .next(self.now, &blocked, &skipped, members, any_suspect)
        {
            if self.place(id, effects) {
                continue;
            }
            let Some(request) = self.requests.get(&id) else {
                continue;
            };
            let blocks_class =
                request.failed_on.is_empty() && request.credit_request_from <= self.now;
            if blocks_class && !request.spanning {
                blocked.push((request.group, request.class));
            } else {
                skipped.push(id);
            }
        }
    }

    /// Tries to place a waiting request. Returns false if it has to keep waiting.
    pub(super) fn place(&mut self, id: Id, effects: &mut Vec<Effect>) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        if request.spanning {
            return self.place_span(id, effects);
        }
        let cached = self.cached_targets(&request.arrival);
        let aged = self.now.since(request.arrived) >= LONG_WAIT;
        let query = Query {
            request: id,
            group: request.group,
            class: request.class,
            prompt_tokens: request.arrival.prompt_tokens,
            kv_tokens: request.cost.kv_tokens,
            excluded: &request.failed_on,
            cached: &cached,
            aged,
            credits_available: self.has_coordinator() && request.credit_request_from <= self.now,
        };
        let choice = self.placement.choose(
            self.settings.policy,
            &mut self.table,
            &query,
            self.now,
            &mut self.rng,
        );
        let Some(choice) = choice else {
            let long = query.class >= Class::Long && self.settings.policy == Policy::Length;
            if aged && long {
                placement::reserve_target(&mut self.table, &query, self.now);
            }
            return false;
        };
        let Some(target) = self.table.get(choice.target) else {
            return false;
        };
        let needed = choice.ttft_us + target.decode_us(request.cost.decode_tokens);
        if let Some(denial) = self.check_deadline(id, needed) {
            self.deny(id, denial, effects);
            return true;
        }
        if choice.cold {
            self.request_credit(id, choice, effects);
            return true;
        }
        self.dequeue(id);
        self.record_start(id);
        self.dispatch(id, choice, None, effects);
        true
    }

    /// Returns the targets that probably have a prefix of the prompt in their cache.
    pub(super) fn cached_targets(&self, arrival: &Arrival) -> placement::Cached {
        self.prefix_hints
            .find(&arrival.prefix, arrival.prompt_tokens, |id, generation| {
                let target = self.table.get(id);
                target.is_some_and(|target| target.generation == generation)
            })
    }
}
