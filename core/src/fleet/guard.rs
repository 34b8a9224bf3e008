//! The entry VM's side of [`crate::quarantine`]: what it reports, and which requests it does not send to targets.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use smallvec::SmallVec;

use super::pending::{Pending, Running};
use super::trial::Trials;
use super::{
    Effect, Id, Organisation, Outcome, PartId, PartIds, Reason, Reducer, Request, State, Target,
};
use crate::quarantine::{ANY_SERVICE, Crash, Part, Rule, name_hash, process};
use crate::time::Instant;

/// Time from the first event within which the end of a target may be due to the prompt. A target that crashes
/// on a prompt does so as it begins the answer.
const SUSPECT_TIME: Duration = Duration::from_millis(300);

/// Time for which an answer must have arrived to show that the target bears the prompt. It exceeds
/// [`SUSPECT_TIME`], since a slowed target may take longer to crash.
const ANSWERED_TIME: Duration = Duration::from_secs(1);

/// Time from a reported crash after which an announcement shows that the process has not ended. Announcements may
/// arrive late, after their sender has crashed.
const ALIVE_TIME: Duration = Duration::from_secs(2);

/// How long crashes are reported again on new links, and answered parts are remembered.
const MEMORY: Duration = Duration::from_mins(1);

/// Largest number of answered parts that are remembered.
const MAX_ANSWERED: usize = 16 * 1024;

/// How long a part stays watched after a control VM asked for it. Control VMs ask again in less time.
const WATCH_TIME: Duration = Duration::from_mins(1);

/// Shortest interval between two reports that a watched part was answered.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Retry hint for a request that crashes targets. Rules hold for minutes.
const QUARANTINE_RETRY: Duration = Duration::from_mins(1);

/// What this VM knows of requests that crash targets.
#[derive(Debug, Clone, Default)]
pub(super) struct Guard {
    /// Rules in force.
    rules: Vec<Rule>,
    trials: Trials,
    /// Own reports of crashes, with the targets that they are about.
    crashes: VecDeque<(Instant, Target, Crash)>,
    /// When parts were last answered.
    answered: HashMap<Part, Instant>,
    /// Parts that control VMs asked for, with the time until which they are watched and of the last report.
    watched: HashMap<Part, (Instant, Instant)>,
}

impl Guard {
    /// Records that a prompt was answered; returns the parts to report.
    fn record_answered(
        &mut self,
        now: Instant,
        service: u64,
        parts: &[PartId],
    ) -> Vec<(Part, u32)> {
        let mut reported = Vec::new();
        for id in parts {
            let part = Part { service, id: *id };
            if self.answered.len() < MAX_ANSWERED || self.answered.contains_key(&part) {
                self.answered.insert(part, now);
            }
            if let Some((until, reported_at)) = self.watched.get_mut(&part)
                && now < *until
                && now.since(*reported_at) >= REPORT_INTERVAL
            {
                *reported_at = now;
                reported.push((part, 0));
            }
        }
        reported
    }

    /// Drops what is too old.
    pub(super) fn expire(&mut self, now: Instant) {
        self.answered.retain(|_, at| now.since(*at) < MEMORY);
        self.watched.retain(|_, (until, _)| now < *until);
        self.crashes.retain(|(at, ..)| now.since(*at) < MEMORY);
    }
}

/// Returns the parts that stand for a request as a whole: what it asks for, with the caller's key and organisation.
pub(super) fn request_parts(request: &Request, organisation: Option<&Organisation>) -> PartIds {
    let key = format!("key {}", request.key.as_deref().unwrap_or_default());
    let organisation =
        organisation.map(|organisation| format!("organisation {}", organisation.name));
    let callers = [Some(key), organisation].into_iter().flatten();
    callers
        .map(|caller| PartId(request.fingerprint.with_caller(&caller)))
        .collect()
}

/// Returns the parts by which a request is known, with their services.
fn parts_by_service(pending: &Pending) -> SmallVec<[(u64, &PartIds); 2]> {
    let prompt = (name_hash(&pending.service.name), &pending.request.parts);
    let whole = (ANY_SERVICE, &pending.whole_request);
    let both = [prompt, whole].into_iter();
    both.filter(|(_, parts)| !parts.is_empty()).collect()
}

/// Returns the rules that match a request.
fn matching<'r>(rules: &'r [Rule], pending: &Pending) -> impl Iterator<Item = &'r Rule> + Clone {
    let parts = parts_by_service(pending);
    rules.iter().filter(move |rule| {
        let mut parts = parts.iter();
        parts.any(|(service, parts)| rule.matches(*service, parts))
    })
}

impl Reducer {
    /// Returns the crashes to report on a link that was just opened.
    pub fn recent_crashes(&self, now: Instant) -> Vec<Crash> {
        let crashes = self.guard.crashes.iter();
        let aged = crashes.map(|(at, _, crash)| Crash {
            age_ms: now.since(*at).as_millis() as u32,
            ..crash.clone()
        });
        aged.collect()
    }

    /// Replaces the rules, and refuses queued requests that they match.
    pub(super) fn set_quarantine(
        &mut self,
        now: Instant,
        rules: Vec<Rule>,
        effects: &mut Vec<Effect>,
    ) {
        self.guard.trials.set_rules(now, &rules);
        self.guard.rules = rules;
        let waiting = self.pending.iter();
        let waiting: Vec<Id> = waiting
            .filter(|(_, pending)| pending.running.is_none())
            .map(|(id, _)| *id)
            .collect();
        for id in waiting {
            self.refuse_quarantined(now, id, effects);
        }
    }

    /// Watches parts that control VMs suspect, and reports those that were answered lately.
    pub(super) fn watch(&mut self, now: Instant, parts: Vec<Part>, effects: &mut Vec<Effect>) {
        let mut answered = Vec::new();
        for part in parts {
            let watched = self.guard.watched.entry(part);
            let (until, _) = watched.or_insert((now, Instant::default()));
            *until = now + WATCH_TIME;
            if let Some(at) = self.guard.answered.get(&part) {
                answered.push((part, now.since(*at).as_millis() as u32));
            }
        }
        if !answered.is_empty() {
            effects.push(Effect::ReportAnswered(answered));
        }
    }

    /// Returns whether a request is refused by a rule now. Takes the trial of a request that may be tried.
    fn is_quarantined(&mut self, now: Instant, id: Id) -> bool {
        let Some(pending) = self.pending.get_mut(&id) else {
            return false;
        };
        let refusing = matching(&self.guard.rules, pending);
        if pending.is_trial || refusing.clone().next().is_none() {
            return false;
        }
        let is_trial =
            self.guard
                .trials
                .take(now, refusing, &self.settings.vm, self.topology.planners());
        pending.is_trial = is_trial;
        !is_trial
    }

    /// Returns whether a rule matches a request that is not a trial.
    pub(super) fn is_refused_by_rule(&self, pending: &Pending) -> bool {
        !pending.is_trial && matching(&self.guard.rules, pending).next().is_some()
    }

    /// Refuses a request that a rule matches, unless it is a trial; returns whether it did.
    pub(super) fn refuse_quarantined(
        &mut self,
        now: Instant,
        id: Id,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let matches = self.is_quarantined(now, id);
        if matches {
            self.withdraw_query(id, effects);
            self.refuse(
                now,
                id,
                Reason::Quarantined,
                Some(QUARANTINE_RETRY),
                effects,
            );
        }
        matches
    }

    /// Records what the end of an attempt tells about the request.
    pub(super) fn record_end(
        &mut self,
        now: Instant,
        id: Id,
        outcome: Outcome,
        running: &Running,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.pending.get(&id).cloned() else {
            return;
        };
        let started = running.started_at;
        let suspected = started.is_none_or(|at| now.since(at) < SUSPECT_TIME);
        match outcome {
            Outcome::Broken { closed: true, .. } if suspected => {
                self.record_crash(now, &pending, running, effects);
            }
            Outcome::Served => self.record_answered(now, &pending, effects),
            _ => {}
        }
    }

    /// Records that a target closed a connection before its answer had begun, or soon afterwards.
    fn record_crash(
        &mut self,
        now: Instant,
        pending: &Pending,
        running: &Running,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.directory.record(running.target) else {
            return;
        };
        let process = process(record.name_hash, record.announcement.started_ms);
        let crashes = parts_by_service(pending)
            .into_iter()
            .map(|(service, parts)| Crash {
                process,
                service,
                prompts: vec![parts.clone()],
                age_ms: 0,
            });
        let crashes: Vec<Crash> = crashes.collect();
        for crash in &crashes {
            let own = (now, running.target, crash.clone());
            self.guard.crashes.push_back(own);
        }
        effects.push(Effect::ReportCrashes(crashes));
    }

    /// Withdraws the reports on processes that have announced themselves since: their connections were lost, but they
    /// have not ended.
    pub(super) fn withdraw_reports(&mut self, effects: &mut Vec<Effect>) {
        let directory = &self.directory;
        let is_alive = |at: Instant, target: Target, crash: &Crash| {
            directory.record(target).is_some_and(|record| {
                let running = process(record.name_hash, record.announcement.started_ms);
                running == crash.process
                    && record.announcement.state != State::Gone
                    && record.heard >= at + ALIVE_TIME
            })
        };
        let (alive, kept): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut self.guard.crashes)
            .into_iter()
            .partition(|(at, target, crash)| is_alive(*at, *target, crash));
        self.guard.crashes = kept;
        let processes: BTreeSet<u64> = alive.iter().map(|(.., crash)| crash.process).collect();
        if !processes.is_empty() {
            effects.push(Effect::WithdrawCrashes(processes.into_iter().collect()));
        }
    }

    /// Records that a request was answered.
    fn record_answered(&mut self, now: Instant, pending: &Pending, effects: &mut Vec<Effect>) {
        let mut reported = Vec::new();
        for (service, parts) in parts_by_service(pending) {
            reported.extend(self.guard.record_answered(now, service, parts));
        }
        if !reported.is_empty() {
            effects.push(Effect::ReportAnswered(reported));
        }
    }

    /// Records the requests whose answers have arrived for [`ANSWERED_TIME`].
    pub(super) fn record_long_answers(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let mut answered = Vec::new();
        for pending in self.pending.values_mut() {
            let Some(running) = &mut pending.running else {
                continue;
            };
            let started = running.started_at;
            if !running.answered && started.is_some_and(|at| now.since(at) >= ANSWERED_TIME) {
                running.answered = true;
                answered.push(pending.clone());
            }
        }
        for pending in answered {
            self.record_answered(now, &pending, effects);
        }
    }
}
