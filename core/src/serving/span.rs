//! Spanning requests, whose prompts exceed the memory of a single engine.
//!
//! The coordinator allocates memory on several targets, all parts or none. The requesting
//! VM, the holder of the allocation, then reserves the parts on the engines in ascending name order,
//! so that two holders cannot deadlock. The request is dispatched to the first target, the head.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::message::{Message, Span};
use crate::request::{Attempt, Id, Reason};
use crate::target::State;
use crate::time::Instant;
use crate::vm;

use super::admission::Denial;
use super::effect::Effect;
use super::placement::{Choice, SHORT_RESERVED_KV_PERCENT};
use super::reducer::{ENGINE_LEASE_MS, Reducer};
use super::request::{Request, Stage};

/// Time after which an unanswered request for an allocation is cancelled.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which reservations that the engines have not answered are cancelled.
const RESERVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay before the next request for an allocation after a denial or failure.
const REQUEST_BACKOFF: Duration = Duration::from_millis(250);

/// Age from which load reports include an allocation.
const REPORT_DELAY: Duration = Duration::from_secs(1);

/// Time by which reservations outlive the deadline of their request.
const LEASE_MARGIN_MS: u64 = 5_000;

/// Retry hint when there is no coordinator.
const NO_COORDINATOR_RETRY_MS: u64 = 3_000;

/// Parts of a spanning request: engine address and tokens.
pub(super) type Parts = Vec<(SocketAddr, u64)>;

/// Retry hint when too many targets are out of service.
const OUT_RETRY_MS: u64 = 10_000;

/// Time that a spanning request waits for a coordinator: one lease duration and an election.
const COORDINATOR_WAIT: Duration = Duration::from_secs(5);

/// State of spanning requests, as coordinator and as holder.
#[derive(Debug, Default)]
pub(super) struct Spans {
    allocations: BTreeMap<Attempt, Allocation>,
    /// Parts whose reservation was requested from the engines, until they answer.
    reserving: BTreeMap<Attempt, Parts>,
    /// Earliest time to request the next allocation.
    next_request: Instant,
}

#[derive(Debug)]
struct Allocation {
    holder: vm::Instance,
    parts: Vec<(Arc<str>, u64)>,
    granted: Instant,
    expires: Option<Instant>,
}

impl Reducer {
    /// Checks whether a request that exceeds one engine's memory can be served here. Returns the
    /// denial if it cannot.
    pub(super) fn check_span_eligibility(&self, request: &Request) -> Option<Denial> {
        let memory: u64 = self
            .table
            .members(request.group)
            .filter(|(_, target)| target.announcement.spans)
            .map(|(_, target)| target.announcement.kv_tokens)
            .sum();
        if request.cost.kv_tokens > memory {
            return Some((Reason::FleetTooSmall, None));
        }
        let waited = self.now.since(request.arrived);
        (!self.has_coordinator() && waited >= COORDINATOR_WAIT)
            .then_some((Reason::FleetBusy, Some(NO_COORDINATOR_RETRY_MS)))
    }

    /// Requests an allocation for a waiting spanning request. Returns false if the request has to
    /// keep waiting.
    pub(super) fn place_span(&mut self, id: Id, effects: &mut Vec<Effect>) -> bool {
        if !self.has_coordinator() {
            let denial = self
                .requests
                .get(&id)
                .and_then(|request| self.check_span_eligibility(request));
            let Some(denial) = denial else { return false };
            self.deny(id, denial, effects);
            return true;
        }
        if self.spans.next_request > self.now {
            return false;
        }
        self.dequeue(id);
        let Some(request) = self.requests.get_mut(&id) else {
            return true;
        };
        let attempt = request.new_attempt();
        request.stage = Stage::Span {
            attempt,
            requested: self.now,
        };
        let service = Arc::clone(&request.arrival.service);
        let tokens = request.cost.kv_tokens;
        if let Some(epoch) = self.coordinator_epoch() {
            let own = self.settings.vm.clone();
            let answer = self.allocate(&own, attempt, &service, tokens, epoch);
            self.handle_span(&own, answer, effects);
        } else if let Some((holder, _)) = self.other_coordinator() {
            let holder = holder.clone();
            let message = Span::Request {
                attempt,
                service,
                tokens,
            };
            self.send(&holder, Message::Span(message), effects);
        }
        true
    }

    /// Allocates memory as coordinator, all parts or none.
    fn allocate(
        &mut self,
        holder: &vm::Instance,
        attempt: Attempt,
        service: &Arc<str>,
        tokens: u64,
        epoch: u64,
    ) -> Span {
        let (mut possible, mut possible_without_reserve) = (0_u64, 0_u64);
        let mut free: Vec<(u64, u64, Arc<str>)> = Vec::new();
        for (_, target) in self.table.iter() {
            let announcement = &target.announcement;
            if !announcement.spans || announcement.service != *service {
                continue;
            }
            if target.out || announcement.state == State::Draining {
                continue;
            }
            let short = announcement.kv_tokens / 100 * SHORT_RESERVED_KV_PERCENT;
            possible += announcement.kv_tokens;
            possible_without_reserve += announcement.kv_tokens - short;
            if !target.is_open(self.now) || target.is_cold() {
                continue;
            }
            let allocated: u64 = self
                .spans
                .allocations
                .values()
                .filter(|allocation| self.now.since(allocation.granted) < REPORT_DELAY)
                .flat_map(|allocation| &allocation.parts)
                .filter(|(name, _)| *name == announcement.name)
                .map(|(_, tokens)| tokens)
                .sum();
            let memory = announcement
                .kv_tokens
                .saturating_sub(target.kv_used())
                .saturating_sub(allocated);
            free.push((memory, short, Arc::clone(&announcement.name)));
        }
        // The share reserved for short requests is only used for a prompt that does not fit
        // otherwise.
        let keeps_reserve = possible_without_reserve >= tokens;
        let mut free: Vec<(u64, Arc<str>)> = free
            .into_iter()
            .map(|(memory, short, name)| {
                (
                    if keeps_reserve {
                        memory.saturating_sub(short)
                    } else {
                        memory
                    },
                    name,
                )
            })
            .collect();
        // The targets with the most free memory come first, so that a request spans as few as
        // possible.
        free.sort_by(|first, second| second.0.cmp(&first.0).then(first.1.cmp(&second.1)));
        let mut parts = Vec::new();
        let mut left = tokens;
        for (memory, name) in free {
            if left == 0 || memory == 0 {
                break;
            }
            let part = memory.min(left);
            left -= part;
            parts.push((name, part));
        }
        if left > 0 {
            return Span::Deny {
                attempt,
                possible: possible >= tokens,
            };
        }
        parts.sort();
        self.spans.allocations.insert(
            attempt,
            Allocation {
                holder: holder.clone(),
                parts: parts.clone(),
                granted: self.now,
                expires: None,
            },
        );
        Span::Grant {
            attempt,
            epoch,
            parts,
        }
    }

    /// Handles a message about allocations.
    pub(super) fn handle_span(
        &mut self,
        from: &vm::Instance,
        span: Span,
        effects: &mut Vec<Effect>,
    ) {
        if *from != self.settings.vm && self.members.get(from).is_none() {
            return;
        }
        match span {
            Span::Request {
                attempt,
                service,
                tokens,
            } => {
                let answer = match self.coordinator_epoch() {
                    Some(epoch) => self.allocate(from, attempt, &service, tokens, epoch),
                    None => Span::Deny {
                        attempt,
                        possible: true,
                    },
                };
                self.send(from, Message::Span(answer), effects);
            }
            Span::Grant { attempt, parts, .. } => {
                if !self.reserve_parts(attempt, &parts, effects) {
                    self.return_span(attempt, effects);
                }
            }
            Span::Deny { attempt, possible } => {
                if !self.is_waiting_for_span(attempt) {
                    return;
                }
                self.spans.next_request = self.now + REQUEST_BACKOFF;
                if possible {
                    self.enqueue(attempt.request);
                } else {
                    let request = self.requests.get(&attempt.request);
                    let denial = request.and_then(|request| self.check_span_eligibility(request));
                    // Targets that are out of service may return.
                    let denial = denial.unwrap_or((Reason::FleetBusy, Some(OUT_RETRY_MS)));
                    self.deny(attempt.request, denial, effects);
                }
            }
            Span::Return { attempt } => {
                self.spans.allocations.remove(&attempt);
            }
        }
    }

    fn is_waiting_for_span(&self, attempt: Attempt) -> bool {
        let request = self.requests.get(&attempt.request);
        request.is_some_and(|request| {
            matches!(request.stage, Stage::Span { attempt: requested, .. } if requested == attempt)
        })
    }

    fn reserve_parts(
        &mut self,
        attempt: Attempt,
        names: &[(Arc<str>, u64)],
        effects: &mut Vec<Effect>,
    ) -> bool {
        if !self.is_waiting_for_span(attempt) {
            return false;
        }
        let mut parts = Parts::new();
        for (name, tokens) in names {
            let target = self.target_id(name).and_then(|id| self.table.get(id));
            if let Some(target) =
                target.filter(|target| target.is_open(self.now) && !target.is_cold())
            {
                parts.push((target.announcement.address, *tokens));
            }
        }
        let head = names.first().and_then(|(name, _)| self.target_id(name));
        let (Some(head), true) = (head, parts.len() == names.len()) else {
            self.enqueue(attempt.request);
            return false;
        };
        let Some(request) = self.requests.get_mut(&attempt.request) else {
            return false;
        };
        let left = request.deadline.since(self.now).as_millis() as u64;
        self.spans.reserving.insert(attempt, parts.clone());
        effects.push(Effect::Reserve {
            attempt,
            parts: parts.clone(),
            lease_ms: left + LEASE_MARGIN_MS,
        });
        request.stage = Stage::Reserving {
            attempt,
            head,
            parts,
            since: self.now,
        };
        true
    }

    /// Handles the engines' answer to the reservations and dispatches to the head.
    pub(super) fn handle_reserved(
        &mut self,
        attempt: Attempt,
        all: bool,
        effects: &mut Vec<Effect>,
    ) {
        let id = attempt.request;
        let requested = self.spans.reserving.remove(&attempt);
        let stage = self
            .requests
            .get(&id)
            .map(|request| (request, &request.stage));
        let Some((request, Stage::Reserving { head, parts, .. })) =
            stage.filter(|(_, stage)| {
                matches!(stage, Stage::Reserving { attempt: waiting, .. } if *waiting == attempt)
            })
        else {
            // The request ended in the meantime. Its release may have reached the engines before
            // the reservation.
            if let Some(parts) = requested.filter(|_| all) {
                self.release_parts(attempt, &parts, effects);
            }
            return;
        };
        let (head, parts) = (*head, parts.clone());
        let prefill = request.cost.prefill_tokens / parts.len().max(1) as u64;
        // A target may have closed or become cold while the engines answered.
        let usable = parts.iter().all(|&(address, _)| {
            self.table.iter().any(|(_, target)| {
                target.announcement.address == address
                    && target.is_open(self.now)
                    && !target.is_cold()
            })
        });
        let head_target = self
            .table
            .get(head)
            .filter(|target| usable && target.announcement.address == parts[0].0);
        let ttft_us = head_target
            .map(|target| target.wait_us(self.now, request.class) + target.prefill_us(prefill));
        let (Some(ttft_us), true, false) = (ttft_us, all, self.zone_out()) else {
            self.cancel_span(id, effects);
            self.spans.next_request = self.now + REQUEST_BACKOFF;
            self.enqueue(id);
            return;
        };
        let choice = Choice {
            target: head,
            cold: false,
            ttft_us,
            prefill_tokens: prefill,
        };
        self.dispatch_attempt(id, attempt, choice, None, parts, effects);
    }

    /// Releases the allocation or reservations of a request that was not dispatched. Returns
    /// whether it had any or was waiting for them.
    pub(super) fn cancel_span(&mut self, id: Id, effects: &mut Vec<Effect>) -> bool {
        let Some(request) = self.requests.get_mut(&id) else {
            return false;
        };
        let (attempt, parts) = match &mut request.stage {
            Stage::Span { attempt, .. } => (*attempt, Parts::new()),
            Stage::Reserving { attempt, parts, .. } => (*attempt, std::mem::take(parts)),
            _ => return false,
        };
        request.stage = Stage::Queued;
        self.release_parts(attempt, &parts, effects);
        true
    }

    /// Releases the parts of an attempt on the engines and returns the allocation to the
    /// coordinator.
    pub(super) fn release_parts(
        &mut self,
        attempt: Attempt,
        parts: &Parts,
        effects: &mut Vec<Effect>,
    ) {
        if !parts.is_empty() {
            effects.push(Effect::ReleaseReservations {
                attempt,
                parts: parts.iter().map(|&(address, _)| address).collect(),
            });
        }
        self.return_span(attempt, effects);
    }

    fn return_span(&mut self, attempt: Attempt, effects: &mut Vec<Effect>) {
        let span = Span::Return { attempt };
        if self.coordinator_epoch().is_some() {
            self.spans.allocations.remove(&attempt);
        } else if let Some((holder, _)) = self.other_coordinator() {
            let holder = holder.clone();
            self.send(&holder, Message::Span(span), effects);
        }
    }

    pub(super) fn clear_allocations(&mut self) {
        self.spans.allocations.clear();
    }

    pub(super) fn expire_member_allocations(&mut self, instance: &vm::Instance) {
        let expires = self.now + Duration::from_millis(ENGINE_LEASE_MS);
        for allocation in self.spans.allocations.values_mut() {
            if allocation.holder == *instance {
                allocation.expires.get_or_insert(expires);
            }
        }
    }

    /// Cancels unanswered requests and reservations, and drops expired allocations.
    pub(super) fn maintain_spans(&mut self, effects: &mut Vec<Effect>) {
        let now = self.now;
        self.spans
            .allocations
            .retain(|_, allocation| allocation.expires.is_none_or(|expires| expires > now));
        let unanswered: Vec<Id> = self
            .requests
            .iter()
            .filter(|(_, request)| match request.stage {
                Stage::Span { requested, .. } => now.since(requested) >= REQUEST_TIMEOUT,
                Stage::Reserving { since, .. } => now.since(since) >= RESERVE_TIMEOUT,
                _ => false,
            })
            .map(|(&id, _)| id)
            .collect();
        for id in unanswered {
            self.cancel_span(id, effects);
            self.spans.next_request = now + REQUEST_BACKOFF;
            self.enqueue(id);
        }
    }
}
