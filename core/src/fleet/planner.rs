//! Long prompts are placed by one VM of the region, the planner.
//!
//! A long prompt takes many targets at once. VMs that place such prompts by themselves choose the same
//! targets at the same time, or leave targets idle until news of their end has come around. So each VM
//! asks the planner, which has one line for the whole region. Short prompts need no such agreement.
//!
//! The planner is the first VM, in an order that all agree on, that was heard lately. It is not elected:
//! two VMs that take different ones for the planner place prompts as if there were none, which costs time
//! and breaks nothing. A VM without an answer decides by itself. What the planner hands out counts as work
//! until the asking VM's own news of it has come, or for [`GRANT_LEASE`].
//!
//! # Invariants
//!
//! - A grant is checked by the asking VM against its own state before it is used.
//! - A request is dispatched by the VM that took it from its caller, and by no other.

use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::attempts::BUSY_RETRY;
use super::pending::{Pending, duration, least_duration, reads_apart};
use super::planner_message::{Denial, Grant, PlannerMessage, Query};
use super::{
    Choice, Effect, Helper, Id, PlannerDecision, Reason, Reducer, Request, Target, Tokens,
};
use crate::time::Instant;

/// VMs that may be the planner: enough that some are left when a zone and single VMs are lost.
const STANDING: usize = 5;

/// Interval at which VMs that may be the planner are heard.
pub(super) const BEACON: Duration = Duration::from_millis(200);

/// Silence after which a VM is not the planner: three beacons.
const BEACON_LEASE: Duration = Duration::from_millis(650);

/// Interval at which a question is repeated.
const ASK_INTERVAL: Duration = Duration::from_millis(100);

/// Time without an answer after which a VM decides by itself.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a VM that gave no answer is not asked.
const SILENT_PAUSE: Duration = Duration::from_secs(2);

/// Time without a repeated question after which a request leaves the planner's line.
const ASK_LEASE: Duration = Duration::from_millis(350);

/// Time for which granted targets count as taken without news of the VM that asked.
const GRANT_LEASE: Duration = Duration::from_secs(1);

/// Marks the numbers of requests of other VMs.
const FOREIGN: u64 = 1 << 63;

/// A question that has no final answer yet.
#[derive(Debug, Clone)]
pub(super) struct Asked {
    planner: Arc<str>,
    sent: Instant,
    heard: Instant,
}

/// Origin of a request that another VM asked about.
#[derive(Debug, Clone)]
pub(super) struct Foreign {
    peer: Arc<str>,
    id: u64,
    renewed: Instant,
}

/// Targets that were handed out and that the asking VM has not confirmed.
#[derive(Debug, Clone)]
pub(super) struct Granted {
    peer: Arc<str>,
    grant: Grant,
    at: Instant,
}

/// Returns whether a request belongs to another VM.
pub(super) fn is_foreign(id: Id) -> bool {
    id.0 & FOREIGN != 0
}

impl Reducer {
    /// Takes the names of the other entry VMs.
    pub(super) fn set_peers(&mut self, peers: Vec<Arc<str>>) {
        self.peers = peers.len() + 1;
        let own = Arc::clone(&self.settings.vm);
        let mut standing: Vec<Arc<str>> = peers.into_iter().chain([own]).collect();
        standing.sort_by_key(|name| xxhash_rust::xxh3::xxh3_64(name.as_bytes()));
        standing.truncate(STANDING);
        self.standing = standing;
    }

    /// Returns whether this VM may be the planner.
    pub(super) fn plans(&self) -> bool {
        self.leaving.is_none() && self.config.is_some() && self.standing.contains(&self.settings.vm)
    }

    /// Returns the planner; none if it is this VM, or if no other is heard.
    fn planner(&self, now: Instant) -> Option<&Arc<str>> {
        let first = self.standing.iter().find(|name| {
            if **name == self.settings.vm {
                return self.plans();
            }
            let silent = self.silent.get(*name);
            silent.is_none_or(|until| now >= *until)
                && self.tally.plans_since(name, now) < BEACON_LEASE
        });
        first.filter(|name| **name != self.settings.vm)
    }

    /// Tells when another VM becomes the planner.
    pub(super) fn follow_planner(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let planner = self.planner(now).cloned();
        if planner != self.followed {
            self.followed.clone_from(&planner);
            effects.push(Effect::PlannerChanged(planner));
        }
    }

    /// Asks the planner for targets; returns false if this VM has to decide by itself.
    pub(super) fn ask(
        &mut self,
        now: Instant,
        id: Id,
        pending: &Pending,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let apart = reads_apart(&pending.service, pending.tokens());
        if pending.foreign.is_some() || pending.local || !apart {
            return false;
        }
        let Some(planner) = self.planner(now).cloned() else {
            return false;
        };
        let needed = least_duration(&pending.service, pending.tokens());
        if self.leaves_before(now, id, needed, effects) {
            return true;
        }
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.asked = Some(Asked {
                planner: Arc::clone(&planner),
                sent: now,
                heard: now,
            });
        }
        self.send_ask(now, id, planner, effects);
        true
    }

    fn send_ask(&mut self, now: Instant, id: Id, planner: Arc<str>, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        let order = |target: Target| Some(self.directory.record(target)?.order);
        let tried = pending.tried.iter().copied();
        let avoided = self
            .directory
            .records()
            .filter(|(target, record)| {
                let health = self.health.get(target);
                record.announcement.service == pending.service.name
                    && health.is_some_and(|health| health.avoided(now, record.heard))
            })
            .map(|(target, _)| target);
        let ask = Query {
            id: id.0,
            request_id: Arc::clone(&pending.request.request_id),
            route: Arc::clone(&pending.route.name),
            service: Arc::clone(&pending.service.name),
            tokens: pending.tokens(),
            waited_ms: now.since(pending.arrived).as_millis() as u32,
            left_ms: pending.deadline.since(now).as_millis() as u32,
            excluded: tried.chain(avoided).filter_map(order).collect(),
        };
        effects.push(Effect::SendToPeer(planner, PlannerMessage::Query(ask)));
    }

    /// Repeats questions, and decides without the planner where it is silent.
    pub(super) fn repeat_asks(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let mut waiting: SmallVec<[(Id, Asked); 8]> = SmallVec::new();
        for (id, pending) in &self.pending {
            if let Some(asked) = &pending.asked {
                waiting.push((*id, asked.clone()));
            }
        }
        for (id, asked) in waiting {
            let Some(pending) = self.pending.get(&id) else {
                continue;
            };
            if pending.deadline <= now {
                self.withdraw(id, effects);
                self.refuse(now, id, Reason::DeadlineExceeded, None, effects);
                continue;
            }
            let needed = least_duration(&pending.service, pending.tokens());
            if self.leaves_before(now, id, needed, effects) {
                continue;
            }
            let silent = now.since(asked.heard) >= ANSWER_TIMEOUT;
            let repeats = now.since(asked.sent) >= ASK_INTERVAL;
            if let Some(pending) = self.pending.get_mut(&id) {
                if silent {
                    pending.asked = None;
                    pending.local = true;
                } else if let Some(asked) = pending.asked.as_mut().filter(|_| repeats) {
                    asked.sent = now;
                }
            }
            if silent {
                effects.push(Effect::PlannerTimedOut(id, Arc::clone(&asked.planner)));
                self.silent.insert(asked.planner, now + SILENT_PAUSE);
                self.place(now, id, effects);
            } else if repeats {
                self.send_ask(now, id, asked.planner, effects);
            }
        }
    }

    /// Tells the planner that a request needs no targets any more.
    pub(super) fn withdraw(&mut self, id: Id, effects: &mut Vec<Effect>) {
        let pending = self.pending.get_mut(&id);
        if let Some(asked) = pending.and_then(|pending| pending.asked.take()) {
            effects.push(Effect::SendToPeer(
                asked.planner,
                PlannerMessage::Withdraw(id.0),
            ));
        }
    }

    /// Takes a message of another VM.
    pub(super) fn told(
        &mut self,
        now: Instant,
        peer: &Arc<str>,
        message: PlannerMessage,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            PlannerMessage::Query(ask) => self.asked_by(now, peer, &ask, effects),
            PlannerMessage::Withdraw(id) => {
                if let Some(id) = self.foreign(peer, id) {
                    self.pending.remove(&id);
                }
                self.confirm(peer, &[id]);
            }
            PlannerMessage::Queued(id, line) => {
                if let Some(pending) = self.answered(now, peer, Id(id))
                    && !std::mem::replace(&mut pending.queued, true)
                {
                    effects.push(Effect::Queue(Id(id), usize::from(line)));
                }
            }
            PlannerMessage::Granted(grant) => {
                let id = Id(grant.id);
                if let Some(pending) = self.answered(now, peer, id) {
                    pending.asked = None;
                    self.use_grant(now, id, peer, &grant, effects);
                } else if !self.pending.get(&id).is_some_and(Pending::runs_granted) {
                    effects.push(Effect::SendToPeer(
                        Arc::clone(peer),
                        PlannerMessage::Withdraw(id.0),
                    ));
                }
            }
            PlannerMessage::Denied(id, denial) => {
                let id = Id(id);
                let Some(pending) = self.answered(now, peer, id) else {
                    return;
                };
                pending.asked = None;
                match denial {
                    Denial::Busy => self.refuse(now, id, Reason::Busy, Some(BUSY_RETRY), effects),
                    Denial::Unknown => {
                        pending.local = true;
                        self.place(now, id, effects);
                    }
                }
            }
        }
    }

    /// Returns the request that a message of the planner answers.
    fn answered(&mut self, now: Instant, peer: &Arc<str>, id: Id) -> Option<&mut Pending> {
        let pending = self.pending.get_mut(&id)?;
        let asked = pending.asked.as_mut()?;
        if asked.planner != *peer {
            return None;
        }
        asked.heard = now;
        Some(pending)
    }

    /// Sends a request where the planner says, if this VM knows nothing that speaks against it.
    fn use_grant(
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
        let Some(choice) = self.choice(now, &pending, grant) else {
            if let Some(pending) = self.pending.get_mut(&id) {
                pending.local = true;
            }
            self.place(now, id, effects);
            return;
        };
        if left.is_zero() {
            self.refuse(now, id, Reason::DeadlineExceeded, None, effects);
            return;
        }
        let tokens = pending.tokens();
        let needed = duration(&pending.service, tokens, &choice);
        if self.leaves_before(now, id, needed, effects) {
            return;
        }
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.planner = Some(Arc::clone(planner));
        }
        self.dispatch(now, id, &choice, tokens, effects);
    }

    /// Returns a grant as a choice of this VM; none if a target is unknown, leaves, or may not be used.
    fn choice(&mut self, now: Instant, pending: &Pending, grant: &Grant) -> Option<Choice> {
        let usable = self.candidates(now, pending);
        let find = |order: u64| usable.iter().find(|candidate| candidate.order == order);
        let helpers: Option<SmallVec<[Helper; 4]>> = grant
            .helpers
            .iter()
            .map(|(order, held_tokens)| {
                let candidate = find(*order)?;
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
            predicted: super::engine::predicted(grant.predicted_ms),
            prefill_ms: grant.prefill_ms,
            exclusive: true,
            cost: 0.0,
            idle: true,
        })
    }

    /// Returns the numbers of requests that run at granted targets, for the planner.
    pub(super) fn used_grants(&self) -> Vec<u64> {
        let own = self.pending.iter();
        let own = own.filter(|(_, pending)| pending.runs_granted());
        own.map(|(id, _)| id.0).collect()
    }
}

/// What the planner does.
impl Reducer {
    /// Returns the number that a request of another VM has here.
    fn foreign(&self, peer: &Arc<str>, id: u64) -> Option<Id> {
        let foreign = self.pending.range(Id(FOREIGN)..);
        let mut found = foreign.filter(|(_, pending)| {
            let foreign = pending.foreign.as_ref();
            foreign.is_some_and(|foreign| foreign.peer == *peer && foreign.id == id)
        });
        found.next().map(|(id, _)| *id)
    }

    fn asked_by(&mut self, now: Instant, peer: &Arc<str>, ask: &Query, effects: &mut Vec<Effect>) {
        let tell = |note| Effect::SendToPeer(Arc::clone(peer), note);
        let granted = self.granted.values();
        let mut granted = granted.filter(|g| g.peer == *peer && g.grant.id == ask.id);
        if let Some(granted) = granted.next() {
            // The answer was lost.
            effects.push(tell(PlannerMessage::Granted(granted.grant.clone())));
            return;
        }
        if let Some(id) = self.foreign(peer, ask.id) {
            let pending = self.pending.get_mut(&id);
            if let Some(foreign) = pending.and_then(|pending| pending.foreign.as_mut()) {
                foreign.renewed = now;
            }
            self.hold_foreign(id, effects);
            return;
        }
        let unknown = tell(PlannerMessage::Denied(ask.id, Denial::Unknown));
        let config = self.config.as_ref().filter(|_| self.plans());
        let route = config.and_then(|config| config.route_named(&ask.route));
        let service = config.and_then(|config| config.service(&ask.service));
        let (Some(route), Some(service)) = (route.cloned(), service.cloned()) else {
            effects.push(unknown);
            return;
        };
        if !reads_apart(&service, ask.tokens) {
            effects.push(unknown);
            return;
        }
        self.next_foreign += 1;
        let id = Id(FOREIGN | self.next_foreign);
        let excluded = ask.excluded.iter();
        let tried = excluded.filter_map(|order| self.directory.by_order(*order));
        let left = Duration::from_millis(u64::from(ask.left_ms));
        let request = Request {
            request_id: Arc::clone(&ask.request_id),
            host: Arc::clone(&route.host),
            path: Arc::clone(&route.prefix),
            key: None,
            tokens: Some(ask.tokens),
            timeout: Some(left),
        };
        let pending = Pending {
            arrived: now - Duration::from_millis(u64::from(ask.waited_ms)),
            tried: tried.collect(),
            foreign: Some(Foreign {
                peer: Arc::clone(peer),
                id: ask.id,
                renewed: now,
            }),
            ..Pending::new(request, route, service, now, now + left)
        };
        self.pending.insert(id, pending);
        self.place(now, id, effects);
    }

    /// Answers the VM that asked about a request that waits in line here.
    pub(super) fn hold_foreign(&mut self, id: Id, effects: &mut Vec<Effect>) {
        let line = self.line.len().min(usize::from(u16::MAX)) as u16;
        let pending = self.pending.get(&id);
        if let Some(foreign) = pending.and_then(|pending| pending.foreign.as_ref()) {
            let held = PlannerMessage::Queued(foreign.id, line);
            effects.push(Effect::SendToPeer(Arc::clone(&foreign.peer), held));
        }
    }

    /// Returns the decision on a request of another VM, for logs.
    fn planned(
        &self,
        now: Instant,
        pending: &Pending,
        foreign: &Foreign,
        choice: Option<&Choice>,
    ) -> Effect {
        let target = choice.and_then(|choice| self.directory.get(choice.target));
        Effect::PlannerDecision(Box::new(PlannerDecision {
            request_id: Arc::clone(&pending.request.request_id),
            peer: Arc::clone(&foreign.peer),
            target: target.map(|announcement| Arc::clone(&announcement.name)),
            helpers: choice.map_or(0, |choice| choice.helpers.len()),
            prompt_tokens: pending.tokens().prompt,
            waited: now.since(pending.arrived),
            predicted: choice.map_or(Duration::ZERO, |choice| choice.predicted),
            queue_length: self.line.len(),
        }))
    }

    /// Refuses a request of another VM; returns false if it is one of this VM.
    pub(super) fn deny(
        &mut self,
        now: Instant,
        id: Id,
        reason: Reason,
        effects: &mut Vec<Effect>,
    ) -> bool {
        if !is_foreign(id) {
            return false;
        }
        let pending = self.pending.remove(&id);
        if let Some(pending) = pending
            && let Some(foreign) = &pending.foreign
        {
            let denial = match reason {
                Reason::Busy => Denial::Busy,
                _ => Denial::Unknown,
            };
            let denied = PlannerMessage::Denied(foreign.id, denial);
            effects.push(self.planned(now, &pending, foreign, None));
            effects.push(Effect::SendToPeer(Arc::clone(&foreign.peer), denied));
        }
        true
    }

    /// Hands the chosen targets to the VM that asked; returns false if the request is one of this VM.
    pub(super) fn grant(
        &mut self,
        now: Instant,
        id: Id,
        choice: &Choice,
        tokens: Tokens,
        effects: &mut Vec<Effect>,
    ) -> bool {
        if !is_foreign(id) {
            return false;
        }
        self.count_work(now, id, choice, tokens);
        let Some(pending) = self.pending.remove(&id) else {
            return true;
        };
        let Some(foreign) = &pending.foreign else {
            return true;
        };
        let order = |target| self.directory.record(target).map(|record| record.order);
        let helpers = choice.helpers.iter();
        let helpers = helpers.filter_map(|h| Some((order(h.target)?, h.held_tokens)));
        let Some(target) = order(choice.target) else {
            return true;
        };
        let grant = Grant {
            id: foreign.id,
            target,
            helpers: helpers.collect(),
            predicted_ms: choice.predicted.as_secs_f64() * 1e3,
            prefill_ms: choice.prefill_ms,
        };
        effects.push(self.planned(now, &pending, foreign, Some(choice)));
        let granted = PlannerMessage::Granted(grant.clone());
        effects.push(Effect::SendToPeer(Arc::clone(&foreign.peer), granted));
        let granted = Granted {
            peer: Arc::clone(&foreign.peer),
            grant,
            at: now,
        };
        self.granted.insert(id, granted);
        true
    }

    /// Stops to count targets that were handed out and that a VM counts itself, or does not use.
    pub(super) fn confirm(&mut self, peer: &Arc<str>, taken: &[u64]) {
        let tally = &mut self.tally;
        self.granted.retain(|id, granted| {
            let confirmed = granted.peer == *peer && taken.contains(&granted.grant.id);
            if confirmed {
                tally.remove(*id);
            }
            !confirmed
        });
    }

    /// Forgets requests that no VM asks about any more, and grants without news.
    pub(super) fn expire_foreign(&mut self, now: Instant) {
        let tally = &mut self.tally;
        self.granted.retain(|id, granted| {
            let holds = now.since(granted.at) < GRANT_LEASE;
            if !holds {
                tally.remove(*id);
            }
            holds
        });
        let foreign = self.pending.range(Id(FOREIGN)..);
        let expired: SmallVec<[Id; 8]> = foreign
            .filter(|(_, pending)| {
                let foreign = pending.foreign.as_ref();
                foreign.is_some_and(|foreign| now.since(foreign.renewed) >= ASK_LEASE)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.pending.remove(&id);
        }
    }
}
