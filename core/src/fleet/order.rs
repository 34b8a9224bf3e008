//! Waiting order of services with priorities: who goes first, and when a refused request returns.
//!
//! The reducer asks this module where requests of a service with priorities wait, start, end or are refused; for other
//! services it changes nothing. The decisions are those of the [`Ledger`] and of the [`Book`]; see there for the loads
//! that they address. Peers get both in one [`OrderReport`].

use std::cmp::Ordering;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::comeback::{Book, Key, Kind, Place, Room};
use super::engine::predicted_duration;
use super::pending::{Pending, min_duration, needs_exclusive};
use super::share::{Ledger, OrganisationId, Usage, cost_ms};
use super::{Effect, Id, Reason, Reducer, Tokens};
use crate::time::Instant;

/// Shortest interval between reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Most bytes of reports that a VM sends per second, to all recipients together. With more recipients, the interval is
/// longer.
const REPORT_BYTES_PER_S: f64 = 2_500.0;

/// Estimates of the size of a report: the headers of a datagram and the name of the VM, one use and one place.
const HEADER_BYTES: usize = 60;
const USAGE_BYTES: usize = 10;
const PLACE_BYTES: usize = 8;

/// Part of the price of a slot that a request pays which returned as told.
const CLAIM_PRICE: f64 = 0.5;

/// Use, relative to the mean, from which an organisation is logged as using more than its share, and below which it no
/// longer is.
const EXCEEDED_RATIO: f64 = 2.0;
const NORMAL_RATIO: f64 = 1.5;

/// Most organisations whose names are kept for logs.
const MAX_NAMES: usize = 256;

/// What VMs tell each other about the waiting order of services with priorities.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReport {
    /// Largest users of the engines at the reporting VM. They replace those of its last report.
    pub usages: Vec<Usage>,
    /// Requests that the reporting VM refused and that may return.
    pub places: Vec<Place>,
}

/// State of the waiting order.
#[derive(Debug, Clone, Default)]
pub(super) struct Order {
    ledger: Ledger,
    book: Book,
    /// When the next report may be sent.
    next_report: Instant,
    /// Names of the organisations that this VM served, and whether each was logged as using more than its share.
    names: HashMap<OrganisationId, (Arc<str>, bool)>,
}

impl Order {
    pub(super) fn expire(&mut self, now: Instant) {
        self.ledger.expire(now);
        self.book.expire(now);
        let ledger = &self.ledger;
        self.names
            .retain(|id, (_, exceeded)| *exceeded || ledger.usage(now, *id) > 0.0);
    }
}

/// A queued request with its rank.
#[derive(Debug)]
struct Ranked {
    /// Whether it is late, when it is due, and its ID.
    entry: (bool, Instant, Id),
    priority: u8,
    /// Use of its organisation with the requests before it, ms.
    used_ms: f64,
}

impl Ranked {
    fn new(entry: (bool, Instant, Id), priority: u8, used_ms: f64) -> Self {
        Self {
            entry,
            priority,
            used_ms,
        }
    }

    fn compare(&self, other: &Self) -> Ordering {
        let rank = |ranked: &Self| (ranked.entry.0, ranked.priority);
        let used_ms = self.used_ms.total_cmp(&other.used_ms);
        rank(self).cmp(&rank(other)).then(used_ms)
    }
}

/// Returns whether the waiting order applies to a request of this VM.
fn is_ordered(pending: &Pending) -> bool {
    pending.service.policy.has_priorities && pending.origin.is_none()
}

fn organisation_id(pending: &Pending) -> OrganisationId {
    OrganisationId::new(pending.organisation.as_deref())
}

fn kind(pending: &Pending) -> Kind {
    if needs_exclusive(&pending.service, pending.tokens()) {
        Kind::Exclusive
    } else {
        Kind::Shared
    }
}

fn key(pending: &Pending) -> Option<Key> {
    Key::new(pending.request.fingerprint, pending.organisation.as_deref())
}

impl Reducer {
    /// Recognises a returning request and lets a new one wait behind those that already wait for a slot here; returns
    /// whether it was refused or queued.
    pub(super) fn wait_for_turn(
        &mut self,
        now: Instant,
        id: Id,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(pending) = self.pending.get(&id).filter(|pending| is_ordered(pending)) else {
            return false;
        };
        let is_shared = kind(pending) == Kind::Shared;
        let service = Arc::clone(&pending.service.name);
        let claim = self.order.book.claim(now, key(pending));
        let others = self.queue.iter().filter_map(|id| self.pending.get(id));
        let mut others = others.filter(|other| other.service.name == service);
        let waits_here = others.any(Pending::waits_for_slot);
        if let Some(claim) = claim {
            let is_early = !claim.early.is_zero();
            effects.push(Effect::Returned { is_early });
            let is_scarce = if is_shared {
                waits_here || self.loads.peers_waiting(now) > 0
            } else {
                !self.queue.is_empty() || self.loads.peer_has_urgent(now)
            };
            if is_early && is_scarce {
                self.refuse(now, id, Reason::Busy, Some(claim.early), effects);
                return true;
            }
            if let Some(pending) = self.pending.get_mut(&id) {
                pending.claimed = !is_early;
            }
        }
        if is_shared && waits_here {
            if let Some(pending) = self.pending.get_mut(&id) {
                pending.needs_slot = true;
            }
            self.enqueue(id, effects);
            return true;
        }
        false
    }

    /// Reorders queued requests, given as (late, due, ID) in their usual order. Within a priority, requests of the
    /// organisation with the least use come first. Each request counts as used for the ones after it, so that
    /// organisations with equal use take turns.
    pub(super) fn order_by_share(&self, now: Instant, queue: &mut Vec<(bool, Instant, Id)>) {
        let ordered = |id: &Id| self.pending.get(id).filter(|pending| is_ordered(pending));
        if !queue.iter().any(|(_, _, id)| ordered(id).is_some()) {
            return;
        }
        let mut used: HashMap<(bool, u8, OrganisationId), f64> = HashMap::new();
        let claimed = |id: &Id| ordered(id).is_some_and(|pending| pending.claimed);
        queue.sort_by_key(|(late, due, id)| (*late, !claimed(id), *due, *id));
        let mut ranked: Vec<Ranked> = Vec::with_capacity(queue.len());
        for entry in queue.drain(..) {
            let (late, _, id) = entry;
            let Some(pending) = self.pending.get(&id) else {
                continue;
            };
            if !pending.service.policy.has_priorities {
                ranked.push(Ranked::new(entry, 0, 0.0));
                continue;
            }
            let organisation = pending.organisation.as_ref();
            let priority = organisation.and_then(|organisation| organisation.priority);
            let priority = priority.unwrap_or(pending.route.priority);
            let engine = pending.service.engine.as_ref();
            let (Some(engine), true) = (engine, pending.needs_slot) else {
                ranked.push(Ranked::new(entry, priority, 0.0));
                continue;
            };
            let organisation = organisation_id(pending);
            let used = used
                .entry((late, priority, organisation))
                .or_insert_with(|| self.order.ledger.usage(now, organisation));
            ranked.push(Ranked::new(entry, priority, *used));
            *used += cost_ms(engine, pending.tokens());
        }
        ranked.sort_by(Ranked::compare);
        queue.extend(ranked.into_iter().map(|ranked| ranked.entry));
    }

    /// Returns the group of requests that find no slot if one of them finds none, besides their service.
    pub(super) fn slot_group(pending: &Pending) -> OrganisationId {
        if is_ordered(pending) {
            organisation_id(pending)
        } else {
            OrganisationId::default()
        }
    }

    /// Returns the part of this VM's share of the free slots that a request takes with a slot.
    pub(super) fn slot_price(&self, now: Instant, id: Id) -> f64 {
        let Some(pending) = self.pending.get(&id).filter(|pending| is_ordered(pending)) else {
            return 1.0;
        };
        let price = self.order.ledger.slot_price(now, organisation_id(pending));
        if pending.claimed {
            price * CLAIM_PRICE
        } else {
            price
        }
    }

    /// Records the engine time of a request that is dispatched.
    pub(super) fn charge(&mut self, now: Instant, id: Id, tokens: Tokens) {
        let pending = self.pending.get(&id).filter(|pending| is_ordered(pending));
        if let Some(pending) = pending
            && let Some(engine) = &pending.service.engine
        {
            let organisation = organisation_id(pending);
            let cost_ms = cost_ms(engine, tokens);
            if let Some(named) = &pending.organisation
                && self.order.names.len() < MAX_NAMES
            {
                let name = || (Arc::clone(&named.name), false);
                self.order.names.entry(organisation).or_insert_with(name);
            }
            self.order.ledger.record(now, organisation, cost_ms);
        }
    }

    /// Takes back the engine time of an attempt that did not run.
    pub(super) fn refund(&mut self, now: Instant, id: Id) {
        let pending = self.pending.get(&id).filter(|pending| is_ordered(pending));
        if let Some(pending) = pending
            && let Some(engine) = &pending.service.engine
        {
            let cost_ms = cost_ms(engine, pending.tokens());
            let organisation = organisation_id(pending);
            self.order.ledger.record(now, organisation, -cost_ms);
        }
    }

    /// Records the time that a served request took at its target.
    pub(super) fn record_taken(&mut self, now: Instant, id: Id, taken: Duration) {
        let pending = self.pending.get(&id).filter(|pending| is_ordered(pending));
        if let Some(pending) = pending {
            let kind = kind(pending);
            self.order.book.record_end(now, kind, taken);
        }
    }

    /// Returns the retry time of a request that is refused because its targets are busy: that of its place. Other
    /// refusals keep the time that they were given.
    pub(super) fn retry_time(
        &mut self,
        now: Instant,
        pending: &Pending,
        reason: Reason,
        usual: Option<Duration>,
    ) -> Option<Duration> {
        let (Reason::Busy, true, Some(engine)) =
            (reason, is_ordered(pending), &pending.service.engine)
        else {
            return usual;
        };
        let (kind, tokens) = (kind(pending), pending.tokens());
        let mut running = 0;
        for (_, record) in self.directory.records() {
            if record.usable(now) && record.announcement.service == pending.service.name {
                let load = self.loads.load(record.name_hash, now);
                running += match kind {
                    Kind::Shared => u32::from(load.running.saturating_sub(load.exclusive)),
                    Kind::Exclusive => u32::from(load.exclusive),
                };
            }
        }
        let (waiting, predicted) = match kind {
            Kind::Shared => {
                let decode_ms = engine.decode_ms(tokens.answer, engine.slots, tokens.prompt);
                let predicted = predicted_duration(engine.prefill_ms(tokens.prompt) + decode_ms);
                let waiting = self.own_waiting(None) as u32 + self.loads.peers_waiting(now);
                (waiting, predicted)
            }
            Kind::Exclusive => {
                let queue = self.queue.iter().filter_map(|id| self.pending.get(id));
                let waiting = queue.filter(|pending| !pending.needs_slot).count();
                (waiting as u32, min_duration(&pending.service, tokens))
            }
        };
        let duration = self.order.book.duration(now, kind, predicted);
        let room = Room {
            waiting: f64::from(waiting),
            per_s: f64::from(running.max(1)) / duration.as_secs_f64().max(f64::MIN_POSITIVE),
            left: pending.deadline.since(now),
        };
        Some(self.order.book.refuse(now, key(pending), room))
    }

    /// Takes over what a peer reported.
    pub(super) fn merge_order(&mut self, now: Instant, peer: &Arc<str>, report: &OrderReport) {
        self.order.ledger.merge(now, peer, &report.usages);
        self.order.book.merge(now, &report.places);
    }

    /// Reports use and places to the recipients of load reports, if there are any to report.
    pub(super) fn report_order(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let recipients = Arc::clone(self.topology.recipients());
        if now < self.order.next_report || recipients.is_empty() {
            return;
        }
        let report = OrderReport {
            usages: self.order.ledger.statements(now),
            places: self.order.book.statements(now),
        };
        if report == OrderReport::default() {
            return;
        }
        let bytes =
            HEADER_BYTES + report.usages.len() * USAGE_BYTES + report.places.len() * PLACE_BYTES;
        let seconds = (bytes * recipients.len()) as f64 / REPORT_BYTES_PER_S;
        self.order.next_report = now + REPORT_INTERVAL.max(Duration::from_secs_f64(seconds));
        effects.push(Effect::ReportOrder(recipients, report));
    }

    /// Reports organisations whose use has come to exceed their share, or no longer does.
    pub(super) fn report_shares(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let Order { ledger, names, .. } = &mut self.order;
        for (id, (name, exceeded)) in names.iter_mut() {
            let ratio = ledger.ratio(now, *id);
            let exceeds = ratio
                >= if *exceeded {
                    NORMAL_RATIO
                } else {
                    EXCEEDED_RATIO
                };
            if exceeds != *exceeded {
                *exceeded = exceeds;
                effects.push(Effect::ShareChanged {
                    organisation: Arc::clone(name),
                    ratio,
                    exceeds,
                });
            }
        }
    }
}
