//! Cold credits limit the work on cold targets over all entry VMs of the zone.
//!
//! The coordinator grants one credit per attempt. A credit is outstanding until its holder returns
//! it or, if the holder is lost, until the engine's lease on the attempt has certainly expired. A
//! new coordinator grants nothing until all members have reported the credits that they hold.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::message::{Credit, Message};
use crate::request::{Attempt, Id};
use crate::target;
use crate::target::State;
use crate::time::Instant;
use crate::vm;

use super::effect::Effect;
use super::placement::Choice;
use super::reducer::{ENGINE_LEASE_MS, Reducer};
use super::request::{Request, Run, Stage};

/// Time after the request for a credit within which the attempt must be dispatched.
const DISPATCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which an unanswered request for a credit is cancelled.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);

/// Delay after a denial or timeout before this VM requests another credit for the same target.
const TARGET_BACKOFF: Duration = Duration::from_millis(100);

/// Delay after a denial or timeout before another credit is requested for the same caller's request.
/// It is longer than [`TARGET_BACKOFF`], so that a request that needs less of the budget can go first.
const REQUEST_BACKOFF: Duration = Duration::from_millis(300);

/// Longest time for which an unreachable VM can use a credit: dispatch limit, engine lease and
/// transit.
const CREDIT_LEASE: Duration = Duration::from_millis(ENGINE_LEASE_MS + 2_000);

/// Time after a grant within which a report of its holder may not include it yet. An older grant
/// that is missing from the report is not held any more.
const GRANT_REPORT_GRACE: Duration = Duration::from_secs(2);

/// Interval at which members report the credits that they hold.
pub(super) const HOLDINGS_INTERVAL: Duration = Duration::from_secs(1);

/// The coordinator's record of outstanding credits.
#[derive(Debug, Default)]
pub(super) struct Accounts {
    by_target: BTreeMap<Arc<str>, Account>,
    /// Members that have not reported their credits yet.
    unreported: BTreeSet<vm::Instance>,
    /// Whether a voter was unreachable when this VM became coordinator, so that its credits are
    /// unknown.
    unreachable: bool,
    /// Time at which all credits granted by earlier coordinators have expired.
    prior_grants_expire_at: Instant,
}

#[derive(Debug)]
struct Account {
    incarnation: u64,
    requests: u32,
    tokens: u64,
    /// Consecutive timely first tokens since the budget was last increased.
    healthy_first_tokens: u32,
    held: BTreeMap<Attempt, Grant>,
}

#[derive(Debug, Clone)]
struct Grant {
    holder: vm::Instance,
    tokens: u64,
    granted: Instant,
    /// Time at which the credit expires; set when the holder is lost.
    expires: Option<Instant>,
}

/// Credit held by an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct HeldCredit {
    pub attempt: Attempt,
    pub incarnation: u64,
}

impl Accounts {
    fn account(&mut self, target: &super::target::Target) -> &mut Account {
        let announcement = &target.announcement;
        let account = self
            .by_target
            .entry(Arc::clone(&announcement.name))
            .or_insert_with(|| Account::new(target));
        if account.incarnation < announcement.incarnation {
            *account = Account::new(target);
        }
        account
    }

    /// Returns whether unknown credits of earlier coordinators may be outstanding.
    fn is_collecting_holdings(&self, now: Instant) -> bool {
        (self.unreachable || !self.unreported.is_empty()) && now < self.prior_grants_expire_at
    }

    /// Drops expired credits of lost VMs.
    pub fn expire(&mut self, now: Instant) {
        for account in self.by_target.values_mut() {
            account
                .held
                .retain(|_, grant| grant.expires.is_none_or(|expires| expires > now));
        }
    }
}

impl Account {
    fn new(target: &super::target::Target) -> Self {
        let budget = target.announcement.cold_budget;
        // A target that announces itself as warm gets at least one request, because otherwise it
        // could never show that it is warm.
        let least = u32::from(target.announcement.state != State::Cold);
        Self {
            incarnation: target.announcement.incarnation,
            requests: budget.requests.max(least),
            tokens: budget.tokens,
            healthy_first_tokens: 0,
            held: BTreeMap::new(),
        }
    }
}

impl Reducer {
    /// Initialises the coordinator's state when this VM gains the zone lease.
    pub(super) fn begin_coordinating(&mut self) {
        let known = &self.members.known;
        let unreachable = self
            .voters()
            .iter()
            .any(|name| *name != self.settings.vm.name && !known.contains_key(name));
        self.credit_accounts = Accounts {
            by_target: BTreeMap::new(),
            unreported: known
                .values()
                .map(|member| member.instance.clone())
                .collect(),
            unreachable,
            prior_grants_expire_at: self.now + CREDIT_LEASE,
        };
        let own = self.settings.vm.clone();
        let held = self.holdings();
        self.merge_holdings(&own, &held);
    }

    /// Drops the coordinator's state when this VM loses the zone lease.
    pub(super) fn end_coordinating(&mut self) {
        self.credit_accounts = Accounts::default();
        self.clear_allocations();
    }

    /// Lets the credits and allocations of a lost VM expire.
    pub(super) fn expire_member_credits(&mut self, instance: &vm::Instance) {
        let expires = self.now + CREDIT_LEASE;
        for account in self.credit_accounts.by_target.values_mut() {
            for grant in account.held.values_mut() {
                if grant.holder == *instance {
                    grant.expires.get_or_insert(expires);
                }
            }
        }
        self.departed.insert(instance.clone(), expires);
        self.expire_member_allocations(instance);
    }

    /// Returns the processes whose attempts the engines must keep.
    pub(super) fn live_owners(&mut self) -> Vec<vm::Instance> {
        let now = self.now;
        self.departed.retain(|_, until| *until > now);
        let members = &self.members.known;
        let mut live: Vec<vm::Instance> = members
            .values()
            .map(|member| member.instance.clone())
            .chain([self.settings.vm.clone()])
            .collect();
        // A VM that only this one cannot reach may still read its streams. An earlier incarnation
        // of a live VM does not.
        let unreachable = self
            .departed
            .keys()
            .filter(|instance| !members.contains_key(&instance.name));
        live.extend(unreachable.cloned());
        live
    }

    /// Requests a credit for a waiting request.
    pub(super) fn request_credit(&mut self, id: Id, choice: Choice, effects: &mut Vec<Effect>) {
        self.dequeue(id);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(target) = self.table.get_mut(choice.target) else {
            return;
        };
        let attempt = request.new_attempt();
        let name = Arc::clone(&target.announcement.name);
        let incarnation = target.announcement.incarnation;
        target.pending_credit_requests += 1;
        request.stage = Stage::Credit {
            attempt,
            choice,
            generation: target.generation,
            incarnation,
            requested: self.now,
        };
        self.counters.credits_asked += 1;
        let tokens = choice.prefill_tokens;
        if self.coordinator_epoch().is_some() {
            let own = self.settings.vm.clone();
            if self.grant(&own, attempt, &name, incarnation, tokens) {
                self.use_credit(attempt, DISPATCH_TIMEOUT, effects);
            } else {
                self.cancel_credit_request(id);
                self.enqueue_without_schedule(id);
            }
            return;
        }
        let message = Credit::Request {
            attempt,
            target: name,
            incarnation,
            tokens,
        };
        if let Some((holder, _)) = self.other_coordinator() {
            let holder = holder.clone();
            self.send(&holder, Message::Credit(message), effects);
        }
    }

    /// Ends the wait for a credit and sets the delays before the next request. Returns whether the
    /// request was waiting for one.
    pub(super) fn cancel_credit_request(&mut self, id: Id) -> bool {
        let Some(request) = self.requests.get_mut(&id) else {
            return false;
        };
        let Stage::Credit {
            choice, generation, ..
        } = request.stage
        else {
            return false;
        };
        request.stage = Stage::Queued;
        request.credit_request_from = self.now + REQUEST_BACKOFF;
        if let Some(target) = self.table.get_generation_mut(choice.target, generation) {
            target.pending_credit_requests = target.pending_credit_requests.saturating_sub(1);
            target.credit_denied_until = self.now + TARGET_BACKOFF;
        }
        true
    }

    /// Dispatches the attempt for which a credit was granted. Returns false if the credit is not
    /// used.
    fn use_credit(
        &mut self,
        attempt: Attempt,
        within: Duration,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let id = attempt.request;
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let Stage::Credit {
            attempt: requested_attempt,
            choice,
            generation,
            incarnation,
            requested,
        } = request.stage
        else {
            return false;
        };
        let in_time = self.now.since(requested) <= within;
        if requested_attempt != attempt || !in_time {
            return false;
        }
        let open = self
            .table
            .get_generation_mut(choice.target, generation)
            .is_some_and(|target| target.is_open(self.now))
            && !self.zone_out();
        self.cancel_credit_request(id);
        if !open {
            self.enqueue(id);
            return false;
        }
        if let Some(target) = self.table.get_mut(choice.target) {
            target.credit_denied_until = self.now;
        }
        let held = HeldCredit {
            attempt,
            incarnation,
        };
        self.dispatch(id, choice, Some(held), effects);
        true
    }

    /// Returns the credit that an attempt held.
    pub(super) fn return_credit(&mut self, run: &Run, effects: &mut Vec<Effect>) {
        if let Some(held) = &run.credit {
            let credit = Credit::Return {
                attempt: held.attempt,
                target: Arc::clone(&run.name),
                incarnation: held.incarnation,
                healthy: run.healthy,
            };
            self.send_to_coordinator(credit, effects);
        }
    }

    fn send_to_coordinator(&mut self, credit: Credit, effects: &mut Vec<Effect>) {
        if self.coordinator_epoch().is_some() {
            let own = self.settings.vm.clone();
            self.handle_credit(&own, credit, effects);
        } else if let Some((holder, _)) = self.other_coordinator() {
            let holder = holder.clone();
            self.send(&holder, Message::Credit(credit), effects);
        }
    }

    /// Handles a message about cold credits.
    pub(super) fn handle_credit(
        &mut self,
        from: &vm::Instance,
        credit: Credit,
        effects: &mut Vec<Effect>,
    ) {
        if *from != self.settings.vm && self.members.get(from).is_none() {
            return;
        }
        match credit {
            Credit::Request {
                attempt,
                target,
                incarnation,
                tokens,
            } => {
                let granted = self.grant(from, attempt, &target, incarnation, tokens);
                let answer = match self.coordinator_epoch() {
                    Some(epoch) if granted => Credit::Grant {
                        attempt,
                        target,
                        incarnation,
                        epoch,
                        dispatch_within_ms: DISPATCH_TIMEOUT.as_millis() as u64,
                    },
                    _ => Credit::Deny { attempt, target },
                };
                self.send(from, Message::Credit(answer), effects);
            }
            Credit::Grant {
                attempt,
                target,
                incarnation,
                epoch,
                dispatch_within_ms,
            } => {
                let within = Duration::from_millis(dispatch_within_ms).min(DISPATCH_TIMEOUT);
                // A grant by an earlier coordinator is not in the report sent to the current one.
                let current = epoch >= self.reported_epoch;
                if !current || !self.use_credit(attempt, within, effects) {
                    let unused = Credit::Return {
                        attempt,
                        target,
                        incarnation,
                        healthy: false,
                    };
                    self.send(from, Message::Credit(unused), effects);
                }
            }
            Credit::Deny { attempt, .. } => {
                let requested = self.requests.get(&attempt.request).is_some_and(|request| {
                    matches!(&request.stage, Stage::Credit { attempt: waiting, .. } if *waiting == attempt)
                });
                if requested {
                    self.cancel_credit_request(attempt.request);
                    self.enqueue(attempt.request);
                }
            }
            Credit::Return {
                attempt,
                target,
                incarnation,
                healthy,
            } => self.accept_return(attempt, &target, incarnation, healthy, effects),
            Credit::Holdings { epoch, held } => {
                if self.coordinator_epoch() == Some(epoch) {
                    self.merge_holdings(from, &held);
                    self.credit_accounts.unreported.remove(from);
                    self.reschedule = true;
                }
            }
        }
    }

    /// Grants a credit as coordinator, if the target's budget allows it.
    fn grant(
        &mut self,
        holder: &vm::Instance,
        attempt: Attempt,
        name: &Arc<str>,
        incarnation: u64,
        tokens: u64,
    ) -> bool {
        let granted = self.try_grant(holder, attempt, name, incarnation, tokens);
        if granted {
            self.counters.credits_granted += 1;
        } else {
            self.counters.credits_denied += 1;
        }
        granted
    }

    fn try_grant(
        &mut self,
        holder: &vm::Instance,
        attempt: Attempt,
        name: &Arc<str>,
        incarnation: u64,
        tokens: u64,
    ) -> bool {
        if self.coordinator_epoch().is_none()
            || self.credit_accounts.is_collecting_holdings(self.now)
        {
            return false;
        }
        let Some(target) = self.table.id(name).and_then(|id| self.table.get(id)) else {
            return false;
        };
        if target.announcement.incarnation != incarnation || !target.is_open(self.now) {
            return false;
        }
        let load = target.announcement.load;
        let running = target.zone_running().max(load.running + load.waiting);
        let account = self.credit_accounts.account(target);
        if account.held.contains_key(&attempt) {
            return true;
        }
        // Work dispatched before the target became cold, or by entry VMs that restarted, uses the
        // budget too.
        let held = account.held.len() as u32;
        let used = running.max(held);
        let held_tokens: u64 = account.held.values().map(|grant| grant.tokens).sum();
        if used >= account.requests || held_tokens.saturating_add(tokens) > account.tokens {
            return false;
        }
        let grant = Grant {
            holder: holder.clone(),
            tokens,
            granted: self.now,
            expires: None,
        };
        account.held.insert(attempt, grant);
        true
    }

    /// Handles the return of a credit as coordinator. The budget doubles after as many timely first
    /// tokens in a row as it allows requests, until the target is warm.
    fn accept_return(
        &mut self,
        attempt: Attempt,
        name: &Arc<str>,
        incarnation: u64,
        healthy: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(account) = self.credit_accounts.by_target.get_mut(name) else {
            return;
        };
        if account.held.remove(&attempt).is_none() || account.incarnation != incarnation {
            return;
        }
        self.reschedule = true;
        if !healthy {
            account.healthy_first_tokens = 0;
            return;
        }
        account.healthy_first_tokens += 1;
        if account.healthy_first_tokens < account.requests {
            return;
        }
        let Some(id) = self.table.id(name) else {
            return;
        };
        let Some(target) = self.table.get(id) else {
            return;
        };
        let requests_max = target.announcement.max_running;
        account.healthy_first_tokens = 0;
        account.requests = account.requests.saturating_mul(2).min(requests_max.max(1));
        account.tokens = account.tokens.saturating_mul(2);
        if account.requests >= requests_max && target.announcement.state != State::Cold {
            self.credit_accounts.by_target.remove(name);
            self.mark_warm(id, effects);
        }
    }

    /// Updates the outstanding credits from a member's report of the credits that it holds.
    fn merge_holdings(&mut self, from: &vm::Instance, held: &[(Attempt, Arc<str>, u64, u64)]) {
        let now = self.now;
        for account in self.credit_accounts.by_target.values_mut() {
            account.held.retain(|attempt, grant| {
                grant.holder != *from
                    || now.since(grant.granted) < GRANT_REPORT_GRACE
                    || held.iter().any(|(known, ..)| known == attempt)
            });
        }
        for (attempt, name, incarnation, tokens) in held {
            let target = self.table.id(name).and_then(|id| self.table.get(id));
            let Some(target) =
                target.filter(|target| target.announcement.incarnation == *incarnation)
            else {
                continue;
            };
            self.credit_accounts
                .account(target)
                .held
                .entry(*attempt)
                .or_insert_with(|| Grant {
                    holder: from.clone(),
                    tokens: *tokens,
                    granted: now,
                    expires: None,
                });
        }
    }

    /// Returns the credits held by this VM.
    fn holdings(&self) -> Vec<(Attempt, Arc<str>, u64, u64)> {
        self.requests
            .values()
            .filter_map(Request::run)
            .filter_map(|run| {
                let held = run.credit.as_ref()?;
                let name = Arc::clone(&run.name);
                Some((held.attempt, name, held.incarnation, run.prefill_tokens))
            })
            .collect()
    }

    /// Reports the credits held by this VM to the coordinator.
    pub(super) fn send_holdings(&mut self, effects: &mut Vec<Effect>) {
        self.next_holdings = self.now + HOLDINGS_INTERVAL;
        let Some((holder, epoch)) = self.other_coordinator() else {
            return;
        };
        let holder = holder.clone();
        self.reported_epoch = self.reported_epoch.max(epoch);
        let report = Credit::Holdings {
            epoch,
            held: self.holdings(),
        };
        self.send(&holder, Message::Credit(report), effects);
    }

    /// Cancels unanswered requests for credits and drops expired credits of lost VMs.
    pub(super) fn maintain_credits(&mut self, effects: &mut Vec<Effect>) {
        self.credit_accounts.expire(self.now);
        if self.next_holdings <= self.now {
            self.send_holdings(effects);
        }
        let now = self.now;
        let unanswered: Vec<Id> = self
            .requests
            .iter()
            .filter(|(_, request)| {
                matches!(request.stage, Stage::Credit { requested, .. } if now.since(requested) >= REQUEST_TIMEOUT)
            })
            .map(|(&id, _)| id)
            .collect();
        for id in unanswered {
            self.cancel_credit_request(id);
            self.enqueue(id);
        }
    }

    /// Returns the number of outstanding credits by target. Empty unless this VM is the
    /// coordinator.
    pub fn outstanding_credits(&self) -> Vec<(Arc<str>, usize)> {
        self.credit_accounts
            .by_target
            .iter()
            .map(|(name, account)| (Arc::clone(name), account.held.len()))
            .collect()
    }

    pub(super) fn target_id(&self, name: &str) -> Option<target::Id> {
        self.table.id(name)
    }
}
