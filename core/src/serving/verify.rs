//! Independent checker of the serving reducer's invariants, for tests and fuzzing.
//!
//! It sees the events and effects of one reducer, but not its state, and keeps its own record of
//! requests, attempts, targets and credits.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::inventory::Kind;
use crate::ledger::{Answer, Call};
use crate::membership::Override;
use crate::message::{Credit, Message};
use crate::registry::Config;
use crate::request::{Attempt, End, Id, Outcome};
use crate::target::{Announcement, State};
use crate::time::Instant;

use super::effect::{Dispatch, Effect, Notice};
use super::event::Event;
use super::settings::Settings;

/// Tolerance for a final outcome after the deadline. Events arrive at least every 20 ms.
const DEADLINE_MARGIN: Duration = Duration::from_millis(100);

/// Time limit before a configuration is known.
const DEADLINE_MAX: Duration = Duration::from_mins(10);

/// A violated invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// Dispatch for a request that does not exist or has ended.
    UnknownRequest(Attempt),
    /// The same attempt was dispatched twice.
    RepeatedAttempt(Attempt),
    /// Dispatch while another attempt of the request was running.
    ConcurrentAttempt(Attempt),
    /// A request that must run at most once was dispatched without a claim.
    NotClaimed(Attempt),
    /// A request that must run at most once was dispatched again although it may have run.
    AtMostOnceRepeated(Attempt),
    /// A request that is not repeatable was dispatched again although it may have run.
    UnsafeRetry(Attempt),
    /// Resume of an attempt that was not dispatched, has been cancelled or runs on another engine.
    WrongResume(Attempt),
    /// Dispatch to a target that is not announced at this address.
    UnknownTarget(Attempt),
    /// Dispatch to a draining target.
    TargetDraining(Attempt),
    /// Dispatch to a target that operators took out of service.
    TargetOut(Attempt),
    /// Dispatch in a zone that operators took out of service.
    ZoneOut(Attempt),
    /// Dispatch to a cold target without a credit.
    NoCredit(Attempt),
    /// The coordinator itself dispatched more attempts to a cold target than its budget allows.
    OverBudget(Attempt),
    /// Second final outcome of a request, or one for an unknown request.
    RepeatedOutcome(Id),
    /// Outcome `not_run` for a request that may have run.
    WrongNotRun(Id),
    /// Outcome `answered` for a request without a complete answer.
    WrongAnswered(Id),
    /// No final outcome by the deadline, or a dispatch after it.
    DeadlineMissed(Id),
    /// A request ended while an engine still holds memory for one of its attempts.
    NotCancelled(Attempt),
    /// A complete answer was not followed by the final outcome.
    LostAnswer(Id),
    /// A request that sent a claim ended without a record of its outcome in the ledger.
    OutcomeNotRecorded(Id),
    /// A configuration came into force after one with the same or a higher version.
    ConfigReverted(u64),
    /// Hand-over of a request that may not be handed over, or not again.
    RepeatedHandOver(Id),
}

#[derive(Debug)]
struct Request {
    deadline: Instant,
    at_most_once: bool,
    repeatable: bool,
    from_other_zone: bool,
    claim_sent: bool,
    claimed: bool,
    recorded: bool,
    may_have_run: bool,
    complete: bool,
    handed_over: bool,
    running: Option<Attempt>,
}

#[derive(Debug)]
struct Sent {
    target: Arc<str>,
    address: SocketAddr,
    engine: bool,
    /// Attempt id known to the engine; differs after a resume.
    engine_attempt: Attempt,
    incarnation: u64,
    first_token: bool,
}

/// Checks one reducer.
#[derive(Debug)]
pub struct Verifier {
    settings: Settings,
    config: Option<Arc<Config>>,
    targets: BTreeMap<Arc<str>, Announcement>,
    requests: BTreeMap<Id, Request>,
    ended: BTreeSet<Id>,
    sent: BTreeMap<Attempt, Sent>,
    /// Attempts for which engines may hold memory and that have not been cancelled.
    uncancelled: BTreeMap<Attempt, SocketAddr>,
    granted: BTreeSet<Attempt>,
    /// First tokens by target and incarnation, observed here or reported to this VM as coordinator.
    healthy_first_tokens: BTreeMap<(Arc<str>, u64), u32>,
    coordinator: bool,
    /// Local order for this zone that still applies.
    order: Option<Override>,
}

impl Verifier {
    /// Creates the verifier of a reducer with these settings.
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            config: None,
            targets: BTreeMap::new(),
            requests: BTreeMap::new(),
            ended: BTreeSet::new(),
            sent: BTreeMap::new(),
            uncancelled: BTreeMap::new(),
            granted: BTreeSet::new(),
            healthy_first_tokens: BTreeMap::new(),
            coordinator: false,
            order: None,
        }
    }

    /// Checks the effects of an event. Returns the first violation.
    pub fn observe(
        &mut self,
        now: Instant,
        event: &Event,
        effects: &[Effect],
    ) -> Result<(), Violation> {
        self.record_event(now, event);
        for effect in effects {
            self.check_effect(now, effect)?;
        }
        if let Event::Ended {
            attempt,
            end: End::Complete { .. },
        } = event
            && let Some(request) = self.requests.get(&attempt.request)
            && request.complete
        {
            return Err(Violation::LostAnswer(attempt.request));
        }
        let overdue = self
            .requests
            .iter()
            .find(|(_, request)| request.deadline + DEADLINE_MARGIN < now);
        overdue.map_or(Ok(()), |(&id, _)| Err(Violation::DeadlineMissed(id)))
    }

    /// Returns the attempts for which engines may hold memory without a cancel. None once all
    /// requests have ended.
    pub fn uncancelled(&self) -> impl Iterator<Item = Attempt> {
        self.uncancelled.keys().copied()
    }

    fn record_event(&mut self, now: Instant, event: &Event) {
        match event {
            Event::Announced(announcement) => self.record_announcement(announcement),
            Event::Arrived(arrival) => {
                let known = self.requests.contains_key(&arrival.id);
                if known || self.ended.contains(&arrival.id) {
                    return;
                }
                let limit = self.limit(arrival.prompt_tokens);
                let limit = arrival
                    .deadline
                    .map_or(limit, |requested| requested.min(limit));
                let request = Request {
                    deadline: now + limit,
                    at_most_once: arrival.at_most_once,
                    repeatable: arrival.repeatable,
                    from_other_zone: arrival.handed_over,
                    claim_sent: false,
                    claimed: false,
                    recorded: false,
                    may_have_run: false,
                    complete: false,
                    handed_over: false,
                    running: None,
                };
                self.requests.insert(arrival.id, request);
            }
            Event::Progress { attempt, tokens } => self.record_progress(*attempt, *tokens),
            Event::Ended { attempt, end } => self.record_end(*attempt, end),
            Event::HandedOver { request, end } => {
                if let Some(request) = self.requests.get_mut(request)
                    && request.handed_over
                {
                    request.handed_over = false;
                    match end {
                        End::Complete { .. } => request.complete = true,
                        End::NotRun { .. } => {}
                        End::NoAnswer | End::Truncated => request.may_have_run = true,
                    }
                }
            }
            Event::Ledger {
                request,
                answer: Answer::Claimed,
            } => {
                if let Some(request) = self.requests.get_mut(request) {
                    request.claimed = true;
                }
            }
            Event::Ledger {
                request,
                answer: Answer::InFlight | Answer::Conflict | Answer::Finished { .. },
            } => {
                if let Some(request) = self.requests.get_mut(request)
                    && !request.claimed
                {
                    // The key belongs to another request, so no outcome may be recorded.
                    request.claim_sent = false;
                }
            }
            Event::Received {
                message: Message::Targets(announcements),
                ..
            } => {
                for announcement in announcements {
                    self.record_announcement(announcement);
                }
            }
            Event::LocalOrder(order) => self.record_order(order),
            Event::Received {
                message: Message::Heartbeat(heartbeat),
                ..
            } => {
                for order in &heartbeat.local_out {
                    self.record_order(order);
                }
            }
            Event::Received {
                message: Message::Credit(Credit::Grant { attempt, .. }),
                ..
            } => {
                self.granted.insert(*attempt);
            }
            Event::Received {
                message:
                    Message::Credit(Credit::Return {
                        target,
                        incarnation,
                        healthy: true,
                        ..
                    }),
                ..
            } => {
                let key = (Arc::clone(target), *incarnation);
                *self.healthy_first_tokens.entry(key).or_default() += 1;
            }
            _ => {}
        }
    }

    fn limit(&self, prompt_tokens: u64) -> Duration {
        let Some(config) = &self.config else {
            return DEADLINE_MAX;
        };
        let deadlines = &config.inventory.rules.deadlines;
        let entry = deadlines
            .iter()
            .find(|entry| prompt_tokens <= entry.prompt_tokens_max)
            .or(deadlines.last());
        entry.map_or(DEADLINE_MAX, |entry| Duration::from_millis(entry.ms))
    }

    fn record_order(&mut self, order: &Override) {
        let known = self.order.as_ref();
        let newer =
            known.is_none_or(|known| (order.sequence, order.out) > (known.sequence, known.out));
        if order.zone == self.settings.zone && newer && !self.is_superseded(order) {
            self.order = Some(order.clone());
        }
    }

    /// Returns whether the configuration supersedes a local order: it is later, and the order put
    /// the zone back into service or the configuration takes it out.
    fn is_superseded(&self, order: &Override) -> bool {
        self.config.as_ref().is_some_and(|config| {
            config.version > order.config
                && (!order.out || config.zones_out.contains(&self.settings.zone))
        })
    }

    fn zone_out(&self) -> bool {
        match (&self.order, &self.config) {
            (Some(order), _) => order.out,
            (None, Some(config)) => config.zones_out.contains(&self.settings.zone),
            (None, None) => false,
        }
    }

    fn record_announcement(&mut self, announcement: &Announcement) {
        if announcement.zone != self.settings.zone {
            return;
        }
        if let Some(known) = self.targets.get(&announcement.name) {
            let order = |entry: &Announcement| (entry.incarnation, entry.seq);
            let moved = announcement.incarnation == known.incarnation
                && announcement.address != known.address;
            if order(announcement) <= order(known) || moved {
                return;
            }
        }
        let name = Arc::clone(&announcement.name);
        self.targets.insert(name, announcement.clone());
    }

    fn record_progress(&mut self, attempt: Attempt, tokens: u32) {
        let engine_attempt = self
            .sent
            .get(&attempt)
            .map_or(attempt, |sent| sent.engine_attempt);
        if let Some(sent) = self.sent.get_mut(&engine_attempt)
            && tokens > 0
            && !sent.first_token
        {
            sent.first_token = true;
            let key = (Arc::clone(&sent.target), sent.incarnation);
            *self.healthy_first_tokens.entry(key).or_default() += 1;
        }
    }

    /// Returns whether this VM's attempts on a cold target exceed its budget, which grows by one
    /// with each timely first token.
    fn is_over_budget(&self, target: &Announcement) -> bool {
        let key = (Arc::clone(&target.name), target.incarnation);
        let healthy_first_tokens = self.healthy_first_tokens.get(&key).copied().unwrap_or(0);
        let running = self
            .requests
            .values()
            .filter_map(|request| self.sent.get(&request.running?))
            .filter(|sent| sent.target == target.name && sent.incarnation == target.incarnation);
        running.count() as u32 >= target.cold_budget.requests + healthy_first_tokens
    }

    fn record_end(&mut self, attempt: Attempt, end: &End) {
        let Some(request) = self.requests.get_mut(&attempt.request) else {
            return;
        };
        if request.running != Some(attempt) {
            return;
        }
        let engine_attempt = self
            .sent
            .get(&attempt)
            .map_or(attempt, |sent| sent.engine_attempt);
        request.running = None;
        match end {
            End::Complete { .. } => {
                request.complete = true;
                self.uncancelled.remove(&engine_attempt);
            }
            // If a resume is refused, the attempt that it continues may still have run.
            End::NotRun { .. } if engine_attempt == attempt => {}
            End::NotRun { .. } | End::NoAnswer | End::Truncated => request.may_have_run = true,
        }
    }

    fn check_effect(&mut self, now: Instant, effect: &Effect) -> Result<(), Violation> {
        match effect {
            Effect::Dispatch(dispatch) => self.check_dispatch(now, dispatch),
            Effect::Abort(attempt) => {
                if let Some(request) = self.requests.get_mut(&attempt.request)
                    && request.running == Some(*attempt)
                {
                    request.running = None;
                    request.may_have_run = true;
                }
                Ok(())
            }
            Effect::Cancel { address, attempt } => {
                if self.uncancelled.get(attempt) == Some(address) {
                    self.uncancelled.remove(attempt);
                }
                Ok(())
            }
            Effect::HandOver { request: id, .. } => {
                let Some(request) = self.requests.get_mut(id) else {
                    return Err(Violation::RepeatedOutcome(*id));
                };
                if request.from_other_zone || request.handed_over || request.may_have_run {
                    return Err(Violation::RepeatedHandOver(*id));
                }
                request.handed_over = true;
                Ok(())
            }
            Effect::Ledger { request, call } => {
                if let Some(request) = self.requests.get_mut(request) {
                    match call {
                        Call::Begin { .. } => request.claim_sent = true,
                        Call::Finish { .. } => request.recorded = true,
                    }
                }
                Ok(())
            }
            Effect::Respond(refusal) => self.check_outcome(refusal.request, refusal.outcome),
            Effect::Complete(id) => self.check_outcome(*id, Outcome::Answered),
            Effect::Replay { request: id, .. } => {
                let request = self
                    .requests
                    .remove(id)
                    .ok_or(Violation::RepeatedOutcome(*id))?;
                self.ended.insert(*id);
                let from_ledger = request.at_most_once && !request.claimed;
                from_ledger
                    .then_some(())
                    .ok_or(Violation::WrongAnswered(*id))
            }
            Effect::InForce(config) => {
                let known = self.config.as_ref().map_or(0, |known| known.version);
                self.config = Some(Arc::clone(config));
                if self
                    .order
                    .as_ref()
                    .is_some_and(|order| self.is_superseded(order))
                {
                    self.order = None;
                }
                (config.version > known)
                    .then_some(())
                    .ok_or(Violation::ConfigReverted(config.version))
            }
            Effect::Notice(Notice::CoordinatorGained(_)) => {
                self.coordinator = true;
                Ok(())
            }
            Effect::Notice(Notice::CoordinatorLost(_)) => {
                self.coordinator = false;
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn check_dispatch(&mut self, now: Instant, dispatch: &Dispatch) -> Result<(), Violation> {
        let attempt = dispatch.attempt;
        let request = self
            .requests
            .get_mut(&attempt.request)
            .ok_or(Violation::UnknownRequest(attempt))?;
        if self.sent.contains_key(&attempt) {
            return Err(Violation::RepeatedAttempt(attempt));
        }
        if request.deadline < now {
            return Err(Violation::DeadlineMissed(attempt.request));
        }
        if request.running.is_some() || request.handed_over || request.complete {
            return Err(Violation::ConcurrentAttempt(attempt));
        }
        request.running = Some(attempt);
        if let Some((engine_attempt, _)) = dispatch.resume {
            let sent = self
                .sent
                .get(&engine_attempt)
                .filter(|sent| sent.engine && sent.address == dispatch.address)
                .filter(|_| self.uncancelled.contains_key(&engine_attempt))
                .ok_or(Violation::WrongResume(attempt))?;
            let resumed = Sent {
                target: Arc::clone(&sent.target),
                engine_attempt: sent.engine_attempt,
                ..*sent
            };
            self.sent.insert(attempt, resumed);
            return Ok(());
        }
        if request.at_most_once && !request.claimed {
            return Err(Violation::NotClaimed(attempt));
        }
        if request.may_have_run && request.at_most_once {
            return Err(Violation::AtMostOnceRepeated(attempt));
        }
        if request.may_have_run && !request.repeatable {
            return Err(Violation::UnsafeRetry(attempt));
        }
        let target = self
            .targets
            .get(&dispatch.target)
            .filter(|target| target.address == dispatch.address)
            .ok_or(Violation::UnknownTarget(attempt))?;
        if target.state == State::Draining {
            return Err(Violation::TargetDraining(attempt));
        }
        if let Some(config) = &self.config
            && config.targets_out.contains(&dispatch.target)
        {
            return Err(Violation::TargetOut(attempt));
        }
        if self.zone_out() {
            return Err(Violation::ZoneOut(attempt));
        }
        let credit = self.granted.contains(&attempt) || self.coordinator;
        if target.state == State::Cold && !credit {
            return Err(Violation::NoCredit(attempt));
        }
        // The attempt to be dispatched is not in `sent` yet.
        if target.state == State::Cold
            && !self.granted.contains(&attempt)
            && self.is_over_budget(target)
        {
            return Err(Violation::OverBudget(attempt));
        }
        let engine = target.kind == Kind::Engine;
        if engine {
            self.uncancelled.insert(attempt, dispatch.address);
        }
        let sent = Sent {
            target: Arc::clone(&dispatch.target),
            address: dispatch.address,
            engine,
            engine_attempt: attempt,
            incarnation: target.incarnation,
            first_token: false,
        };
        self.sent.insert(attempt, sent);
        Ok(())
    }

    fn check_outcome(&mut self, id: Id, outcome: Outcome) -> Result<(), Violation> {
        let request = self
            .requests
            .remove(&id)
            .ok_or(Violation::RepeatedOutcome(id))?;
        self.ended.insert(id);
        // The ledger's outcome for a key that another request holds is passed on unchanged.
        let from_ledger = request.at_most_once && !request.claimed && !request.claim_sent;
        let may_have_run = request.may_have_run || request.running.is_some() || request.handed_over;
        if outcome == Outcome::NotRun && (may_have_run || request.complete) {
            return Err(Violation::WrongNotRun(id));
        }
        if outcome == Outcome::Answered && !request.complete && !from_ledger {
            return Err(Violation::WrongAnswered(id));
        }
        if request.claim_sent && !request.recorded {
            return Err(Violation::OutcomeNotRecorded(id));
        }
        let leak = self
            .uncancelled
            .keys()
            .find(|attempt| attempt.request == id);
        leak.map_or(Ok(()), |&attempt| Err(Violation::NotCancelled(attempt)))
    }
}
