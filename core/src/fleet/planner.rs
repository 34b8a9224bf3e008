//! Placement of long prompts by one VM of the region, the planner.
//!
//! A long prompt takes many targets at once. VMs that place such prompts independently choose the
//! same targets at the same time, or leave targets idle until reports that they are free have
//! arrived. So each VM queries the planner, which keeps one queue for the whole region. Short
//! prompts need no such coordination.
//!
//! The planner is the first VM, in an order that all VMs agree on, that was heard recently. It is
//! not elected: VMs that disagree on the planner place prompts as if there were none, which costs
//! time but is safe. A VM that gets no answer decides by itself. Targets that the planner grants
//! count as loaded until the querying VM reports that load itself, or for [`GRANT_LEASE`].
//!
//! # Invariants
//!
//! - The querying VM checks a grant against its own state before it uses it.
//! - A request is dispatched only by the VM that received it from its caller.

use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::attempts::BUSY_RETRY;
use super::pending::{Pending, max_duration, min_duration, needs_exclusive};
use super::planner_message::{Denial, Grant, PlannerMessage, Query};
use super::topology::Topology;
use super::{
    Choice, Effect, Helper, Id, PartIds, Peer, PlannerDecision, Reason, Reducer, Request, Saving,
    SizedParts, Target, Tokens,
};
use crate::fingerprint::Fingerprint;
use crate::time::Instant;

/// Interval at which VMs that may be the planner report to their peers.
pub(super) const BEACON_INTERVAL: Duration = Duration::from_millis(200);

/// Silence after which a VM no longer counts as the planner: three missed beacons.
const BEACON_LEASE: Duration = Duration::from_millis(650);

/// The same where relays pass beacons on, which adds up to [`RELAY_INTERVAL`] to their age.
const RELAYED_BEACON_LEASE: Duration = Duration::from_secs(1);

/// Interval at which a relay passes on what VMs of other zones report.
pub(super) const RELAY_INTERVAL: Duration = Duration::from_millis(150);

/// Interval at which a query is repeated.
const QUERY_INTERVAL: Duration = Duration::from_millis(100);

/// Time without an answer after which a VM decides by itself.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a VM that did not answer is not queried.
const UNRESPONSIVE_PAUSE: Duration = Duration::from_secs(2);

/// Time without a repeated query after which a request leaves the planner's queue.
const QUERY_LEASE: Duration = Duration::from_millis(350);

/// How long granted targets count as loaded without a report of the querying VM.
const GRANT_LEASE: Duration = Duration::from_secs(1);

/// Bit set in the IDs of requests that belong to peers.
const PEER_REQUEST_BIT: u64 = 1 << 63;

/// A query that has no final answer yet.
#[derive(Debug, Clone)]
pub(super) struct PendingQuery {
    planner: Arc<str>,
    sent_at: Instant,
    heard_at: Instant,
}

/// Where a peer's request comes from.
#[derive(Debug, Clone)]
pub(super) struct Origin {
    peer: Arc<str>,
    id: u64,
    renewed_at: Instant,
}

/// A grant that the querying VM has not confirmed.
#[derive(Debug, Clone)]
pub(super) struct UnconfirmedGrant {
    peer: Arc<str>,
    grant: Grant,
    at: Instant,
}

/// Returns whether a request belongs to a peer.
pub(super) fn is_peer_request(id: Id) -> bool {
    id.0 & PEER_REQUEST_BIT != 0
}

impl Reducer {
    /// Sets the other entry VMs.
    pub(super) fn set_peers(&mut self, peers: &[Peer]) {
        let own = Peer {
            vm: Arc::clone(&self.settings.vm),
            zone: Arc::clone(&self.settings.zone),
        };
        self.topology = Topology::new(&own, peers);
        let relays = if self.topology.is_relay() {
            SmallVec::new()
        } else {
            self.topology.zone_relays().iter().cloned().collect()
        };
        self.loads.set_relays(relays);
    }

    /// Returns whether this VM may act as the planner.
    pub(super) fn can_plan(&self) -> bool {
        self.shutdown_at.is_none()
            && self.config.is_some()
            && self.topology.planners().contains(&self.settings.vm)
    }

    /// Returns the planner; none if it is this VM, or if no other candidate is heard.
    fn planner(&self, now: Instant) -> Option<&Arc<str>> {
        let lease = if self.topology.zone_relays().is_empty() {
            BEACON_LEASE
        } else {
            RELAYED_BEACON_LEASE
        };
        let first = self.topology.planners().iter().find(|name| {
            if **name == self.settings.vm {
                return self.can_plan();
            }
            let timed_out = self.unresponsive.get(*name);
            timed_out.is_none_or(|until| now >= *until) && self.loads.beacon_age(name, now) < lease
        });
        first.filter(|name| **name != self.settings.vm)
    }

    /// Reports a change of the planner.
    pub(super) fn report_planner_change(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let planner = self.planner(now).cloned();
        if planner != self.reported_planner {
            self.reported_planner.clone_from(&planner);
            effects.push(Effect::PlannerChanged(planner));
        }
    }

    /// Queries the planner for targets, or refuses the request if this VM shuts down too soon;
    /// returns false if this VM has to place the request itself.
    pub(super) fn query_planner(
        &mut self,
        now: Instant,
        id: Id,
        pending: &Pending,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let exclusive = needs_exclusive(&pending.service, pending.tokens());
        if pending.origin.is_some() || pending.decide_locally || !exclusive {
            return false;
        }
        let Some(planner) = self.planner(now).cloned() else {
            return false;
        };
        let needed = min_duration(&pending.service, pending.tokens());
        if self.refuse_before_shutdown(now, id, needed, effects) {
            return true;
        }
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.query = Some(PendingQuery {
                planner: Arc::clone(&planner),
                sent_at: now,
                heard_at: now,
            });
        }
        self.send_query(now, id, planner, effects);
        true
    }

    fn send_query(&mut self, now: Instant, id: Id, planner: Arc<str>, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        let name_hash = |target: Target| Some(self.directory.record(target)?.name_hash);
        let tried = pending.tried.iter().copied();
        let avoided = self
            .directory
            .records()
            .filter(|(target, record)| {
                record.announcement.service == pending.service.name
                    && self.is_avoided(now, &pending.service, *target, record)
            })
            .map(|(target, _)| target);
        let query = Query {
            id: id.0,
            request_id: Arc::clone(&pending.request.request_id),
            route: Arc::clone(&pending.route.name),
            service: Arc::clone(&pending.service.name),
            tokens: pending.tokens(),
            waited_ms: now.since(pending.arrived).as_millis() as u32,
            left_ms: pending.deadline.since(now).as_millis() as u32,
            excluded: tried.chain(avoided).filter_map(name_hash).collect(),
        };
        effects.push(Effect::SendToPeer(planner, PlannerMessage::Query(query)));
    }

    /// Repeats queries, and places requests without the planner if it does not answer.
    pub(super) fn repeat_queries(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let mut waiting: SmallVec<[(Id, PendingQuery); 8]> = SmallVec::new();
        for (id, pending) in &self.pending {
            if let Some(query) = &pending.query {
                waiting.push((*id, query.clone()));
            }
        }
        for (id, query) in waiting {
            let Some(pending) = self.pending.get(&id) else {
                continue;
            };
            if pending.deadline <= now {
                self.withdraw_query(id, effects);
                self.refuse(now, id, Reason::DeadlineExceeded, None, effects);
                continue;
            }
            let needed = min_duration(&pending.service, pending.tokens());
            if self.refuse_before_shutdown(now, id, needed, effects) {
                continue;
            }
            let timed_out = now.since(query.heard_at) >= ANSWER_TIMEOUT;
            let repeats = now.since(query.sent_at) >= QUERY_INTERVAL;
            if let Some(pending) = self.pending.get_mut(&id) {
                if timed_out {
                    pending.query = None;
                    pending.decide_locally = true;
                } else if let Some(query) = pending.query.as_mut().filter(|_| repeats) {
                    query.sent_at = now;
                }
            }
            if timed_out {
                effects.push(Effect::PlannerTimedOut(id, Arc::clone(&query.planner)));
                self.unresponsive
                    .insert(query.planner, now + UNRESPONSIVE_PAUSE);
                self.place(now, id, effects);
            } else if repeats {
                self.send_query(now, id, query.planner, effects);
            }
        }
    }

    /// Tells the planner that a request no longer needs targets.
    pub(super) fn withdraw_query(&mut self, id: Id, effects: &mut Vec<Effect>) {
        let pending = self.pending.get_mut(&id);
        if let Some(query) = pending.and_then(|pending| pending.query.take()) {
            effects.push(Effect::SendToPeer(
                query.planner,
                PlannerMessage::Withdraw(id.0),
            ));
        }
    }

    /// Processes a message of a peer.
    pub(super) fn receive_planner_message(
        &mut self,
        now: Instant,
        peer: &Arc<str>,
        message: PlannerMessage,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            PlannerMessage::Query(query) => self.receive_query(now, peer, &query, effects),
            PlannerMessage::Withdraw(id) => {
                if let Some(id) = self.find_peer_request(peer, id) {
                    self.pending.remove(&id);
                }
                self.confirm_grants(peer, &[id]);
            }
            PlannerMessage::Queued(id, queue_length) => {
                if let Some(pending) = self.match_answer(now, peer, Id(id))
                    && !std::mem::replace(&mut pending.queued, true)
                {
                    effects.push(Effect::Queue(Id(id), usize::from(queue_length)));
                }
            }
            PlannerMessage::Granted(grant) => {
                let id = Id(grant.id);
                if let Some(pending) = self.match_answer(now, peer, id) {
                    pending.query = None;
                    self.apply_grant(now, id, peer, &grant, effects);
                } else if !self.pending.get(&id).is_some_and(Pending::runs_on_grant) {
                    effects.push(Effect::SendToPeer(
                        Arc::clone(peer),
                        PlannerMessage::Withdraw(id.0),
                    ));
                }
            }
            PlannerMessage::Denied(id, denial) => {
                let id = Id(id);
                let Some(pending) = self.match_answer(now, peer, id) else {
                    return;
                };
                pending.query = None;
                match denial {
                    Denial::Busy => self.refuse(now, id, Reason::Busy, Some(BUSY_RETRY), effects),
                    Denial::Unknown => {
                        pending.decide_locally = true;
                        self.place(now, id, effects);
                    }
                }
            }
        }
    }

    /// Returns the request whose query to `peer` a message answers.
    fn match_answer(&mut self, now: Instant, peer: &Arc<str>, id: Id) -> Option<&mut Pending> {
        let pending = self.pending.get_mut(&id)?;
        let query = pending.query.as_mut()?;
        if query.planner != *peer {
            return None;
        }
        query.heard_at = now;
        Some(pending)
    }

    /// Dispatches a request to the granted targets if this VM's own state allows it; otherwise
    /// places it locally.
    fn apply_grant(
        &mut self,
        now: Instant,
        id: Id,
        planner: &Arc<str>,
        grant: &Grant,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.pending.get(&id).cloned() else {
            return;
        };
        let left = pending.deadline.since(now);
        let Some(choice) = self.choice_from_grant(now, &pending, grant) else {
            if let Some(pending) = self.pending.get_mut(&id) {
                pending.decide_locally = true;
            }
            self.place(now, id, effects);
            return;
        };
        if left.is_zero() {
            self.refuse(now, id, Reason::DeadlineExceeded, None, effects);
            return;
        }
        let tokens = pending.tokens();
        let needed = max_duration(&pending.service, tokens, &choice);
        if self.refuse_before_shutdown(now, id, needed, effects) {
            return;
        }
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.planner = Some(Arc::clone(planner));
        }
        self.dispatch(now, id, &choice, tokens, effects);
    }

    /// Converts a grant to a choice; none if a target is unknown, drains or may not be used.
    fn choice_from_grant(
        &mut self,
        now: Instant,
        pending: &Pending,
        grant: &Grant,
    ) -> Option<Choice> {
        let usable = self.candidates(now, pending);
        let find = |name_hash: u64| {
            usable
                .iter()
                .find(|candidate| candidate.name_hash == name_hash)
        };
        let helpers: Option<SmallVec<[Helper; 4]>> = grant
            .helpers
            .iter()
            .map(|(name_hash, held_tokens)| {
                let candidate = find(*name_hash)?;
                Some(Helper {
                    target: candidate.target,
                    address: candidate.address,
                    held_tokens: *held_tokens,
                })
            })
            .collect();
        Some(Choice {
            target: find(grant.target)?.target,
            helpers: helpers?,
            predicted: super::engine::predicted_duration(grant.predicted_ms),
            prefill_ms: grant.prefill_ms,
            exclusive: true,
            cost: 0.0,
            idle: true,
            saving: Saving::default(),
        })
    }

    /// Returns the IDs of requests that run on granted targets, for the planner.
    pub(super) fn used_grants(&self) -> Vec<u64> {
        let own = self.pending.iter();
        let own = own.filter(|(_, pending)| pending.runs_on_grant());
        own.map(|(id, _)| id.0).collect()
    }
}

/// Methods of the planner.
impl Reducer {
    /// Returns the local ID of a peer's request.
    fn find_peer_request(&self, peer: &Arc<str>, id: u64) -> Option<Id> {
        let peer_requests = self.pending.range(Id(PEER_REQUEST_BIT)..);
        let mut found = peer_requests.filter(|(_, pending)| {
            let origin = pending.origin.as_ref();
            origin.is_some_and(|origin| origin.peer == *peer && origin.id == id)
        });
        found.next().map(|(id, _)| *id)
    }

    fn receive_query(
        &mut self,
        now: Instant,
        peer: &Arc<str>,
        query: &Query,
        effects: &mut Vec<Effect>,
    ) {
        let answer = |message| Effect::SendToPeer(Arc::clone(peer), message);
        let granted = self.grants.values();
        let mut granted = granted.filter(|g| g.peer == *peer && g.grant.id == query.id);
        if let Some(granted) = granted.next() {
            // The peer repeats its query, so the first answer was lost.
            effects.push(answer(PlannerMessage::Granted(granted.grant.clone())));
            return;
        }
        if let Some(id) = self.find_peer_request(peer, query.id) {
            let pending = self.pending.get_mut(&id);
            if let Some(origin) = pending.and_then(|pending| pending.origin.as_mut()) {
                origin.renewed_at = now;
            }
            self.send_queued(id, effects);
            return;
        }
        let unknown = answer(PlannerMessage::Denied(query.id, Denial::Unknown));
        let config = self.config.as_ref().filter(|_| self.can_plan());
        let route = config.and_then(|config| config.route_named(&query.route));
        let service = config.and_then(|config| config.service(&query.service));
        let (Some(route), Some(service)) = (route.cloned(), service.cloned()) else {
            effects.push(unknown);
            return;
        };
        if !needs_exclusive(&service, query.tokens) {
            effects.push(unknown);
            return;
        }
        self.peer_request_count += 1;
        let id = Id(PEER_REQUEST_BIT | self.peer_request_count);
        let excluded = query.excluded.iter();
        let tried = excluded.filter_map(|name_hash| self.directory.by_name_hash(*name_hash));
        let left = Duration::from_millis(u64::from(query.left_ms));
        let request = Request {
            request_id: Arc::clone(&query.request_id),
            host: Arc::clone(&route.host),
            path: Arc::clone(&route.prefix),
            key: None,
            tokens: Some(query.tokens),
            // The VM that took the request checks its parts and its fingerprint.
            parts: PartIds::new(),
            sized_parts: SizedParts::default(),
            fingerprint: Fingerprint::default(),
            timeout: Some(left),
        };
        let pending = Pending {
            arrived: now - Duration::from_millis(u64::from(query.waited_ms)),
            tried: tried.collect(),
            origin: Some(Origin {
                peer: Arc::clone(peer),
                id: query.id,
                renewed_at: now,
            }),
            ..Pending::new(request, route, service, now, now + left)
        };
        self.pending.insert(id, pending);
        self.place(now, id, effects);
    }

    /// Tells the querying VM that its request is queued here.
    pub(super) fn send_queued(&mut self, id: Id, effects: &mut Vec<Effect>) {
        let queue_length = self.queue.len().min(usize::from(u16::MAX)) as u16;
        let pending = self.pending.get(&id);
        if let Some(origin) = pending.and_then(|pending| pending.origin.as_ref()) {
            let queued = PlannerMessage::Queued(origin.id, queue_length);
            effects.push(Effect::SendToPeer(Arc::clone(&origin.peer), queued));
        }
    }

    /// Returns the decision on a peer's request, for logs.
    fn decision(
        &self,
        now: Instant,
        pending: &Pending,
        origin: &Origin,
        choice: Option<&Choice>,
    ) -> Effect {
        let target = choice.and_then(|choice| self.directory.get(choice.target));
        Effect::PlannerDecision(Box::new(PlannerDecision {
            request_id: Arc::clone(&pending.request.request_id),
            peer: Arc::clone(&origin.peer),
            target: target.map(|announcement| Arc::clone(&announcement.name)),
            helpers: choice.map_or(0, |choice| choice.helpers.len()),
            prompt_tokens: pending.tokens().prompt,
            waited: now.since(pending.arrived),
            predicted: choice.map_or(Duration::ZERO, |choice| choice.predicted),
            queue_length: self.queue.len(),
        }))
    }

    /// Denies a peer's request; returns false if the request is not a peer's.
    pub(super) fn deny_peer_request(
        &mut self,
        now: Instant,
        id: Id,
        reason: Reason,
        effects: &mut Vec<Effect>,
    ) -> bool {
        if !is_peer_request(id) {
            return false;
        }
        let pending = self.pending.remove(&id);
        if let Some(pending) = pending
            && let Some(origin) = &pending.origin
        {
            let denial = match reason {
                Reason::Busy => Denial::Busy,
                _ => Denial::Unknown,
            };
            let denied = PlannerMessage::Denied(origin.id, denial);
            effects.push(self.decision(now, &pending, origin, None));
            effects.push(Effect::SendToPeer(Arc::clone(&origin.peer), denied));
        }
        true
    }

    /// Grants the chosen targets to the querying VM; returns false if the request is not a peer's.
    pub(super) fn grant_peer_request(
        &mut self,
        now: Instant,
        id: Id,
        choice: &Choice,
        tokens: Tokens,
        effects: &mut Vec<Effect>,
    ) -> bool {
        if !is_peer_request(id) {
            return false;
        }
        self.add_load(now, id, choice, tokens);
        let Some(pending) = self.pending.remove(&id) else {
            return true;
        };
        let Some(origin) = &pending.origin else {
            return true;
        };
        let name_hash = |target| self.directory.record(target).map(|record| record.name_hash);
        let helpers = choice.helpers.iter();
        let helpers = helpers.filter_map(|h| Some((name_hash(h.target)?, h.held_tokens)));
        let Some(target) = name_hash(choice.target) else {
            return true;
        };
        let grant = Grant {
            id: origin.id,
            target,
            helpers: helpers.collect(),
            predicted_ms: choice.predicted.as_secs_f64() * 1e3,
            prefill_ms: choice.prefill_ms,
        };
        effects.push(self.decision(now, &pending, origin, Some(choice)));
        let granted = PlannerMessage::Granted(grant.clone());
        effects.push(Effect::SendToPeer(Arc::clone(&origin.peer), granted));
        let granted = UnconfirmedGrant {
            peer: Arc::clone(&origin.peer),
            grant,
            at: now,
        };
        self.grants.insert(id, granted);
        true
    }

    /// Stops counting the load of grants that the peer now reports itself or does not use.
    pub(super) fn confirm_grants(&mut self, peer: &Arc<str>, used_grants: &[u64]) {
        let loads = &mut self.loads;
        self.grants.retain(|id, granted| {
            let confirmed = granted.peer == *peer && used_grants.contains(&granted.grant.id);
            if confirmed {
                loads.remove(*id);
            }
            !confirmed
        });
    }

    /// Removes requests whose queries are no longer repeated, and grants that were not confirmed in
    /// time.
    pub(super) fn expire_peer_requests(&mut self, now: Instant) {
        let loads = &mut self.loads;
        self.grants.retain(|id, granted| {
            let holds = now.since(granted.at) < GRANT_LEASE;
            if !holds {
                loads.remove(*id);
            }
            holds
        });
        let peer_requests = self.pending.range(Id(PEER_REQUEST_BIT)..);
        let expired: SmallVec<[Id; 8]> = peer_requests
            .filter(|(_, pending)| {
                let origin = pending.origin.as_ref();
                origin.is_some_and(|origin| now.since(origin.renewed_at) >= QUERY_LEASE)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.pending.remove(&id);
        }
    }
}
