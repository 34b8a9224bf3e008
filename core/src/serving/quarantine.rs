//! The part of an entry VM of a self-contained zone in [`crate::quarantine`]: each VM collects the reports of its zone
//! and derives rules by itself, so no VM has to be asked.
//!
//! A VM that starts has no rules until it hears of further crashes.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::fleet::{MAX_PARTS, PartId, PartIds};
use crate::message::Message;
use crate::quarantine::{ANY_SERVICE, Crash, Evidence, Part, Rule, name_hash, process};
use crate::request::{Arrival, Id, Reason};
use crate::time::Instant;

use super::effect::{Effect, Notice};
use super::reducer::Reducer;
use super::request::Run;

/// Time from a reported crash after which an announcement shows that the process has not ended.
const ALIVE_TIME: Duration = Duration::from_secs(2);

/// Interval at which rules are derived without reports, so that old ones end.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);

/// Time from the last report for which rules are derived at each check. It exceeds the time that a rule is held back
/// for answers.
const SETTLE_TIME: Duration = Duration::from_millis(600);

/// How long own reports are kept to be withdrawn.
const MEMORY: Duration = Duration::from_mins(1);

/// Retry hint for a request that crashes targets. Rules hold for minutes.
const RETRY_MS: u64 = 60_000;

/// A report to the other VMs of the zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Report {
    /// A target ended under a request.
    Crashed(Vec<Crash>),
    /// Suspected parts were answered, with the time since then, ms.
    Answered(Vec<(Part, u32)>),
    /// A process that was reported as ended still runs.
    Alive(u64),
}

/// What a VM knows of requests that crash targets.
#[derive(Debug, Default)]
pub(super) struct Quarantine {
    evidence: Evidence,
    rules: Vec<Rule>,
    /// Parts that several crashes have in common.
    suspects: BTreeSet<Part>,
    /// Processes that this VM reported as ended, with the time; the report may have to be withdrawn.
    reported: VecDeque<(Instant, u64)>,
    heard_at: Instant,
    derived_at: Instant,
}

/// Returns the parts by which a request is known, with their services.
fn parts_by_service(arrival: &Arrival) -> SmallVec<[(u64, PartIds); 2]> {
    let service =
        name_hash(&arrival.service) ^ arrival.model.as_deref().map_or(0, name_hash).rotate_left(1);
    let prefix = arrival.prefix.iter().take(MAX_PARTS).map(|id| PartId(*id));
    let whole = arrival.fingerprint.with_caller(&arrival.organisation);
    let both = [
        (service, prefix.collect()),
        (ANY_SERVICE, PartIds::from_slice(&[PartId(whole)])),
    ];
    both.into_iter()
        .filter(|(_, parts): &(u64, PartIds)| !parts.is_empty())
        .collect()
}

impl Quarantine {
    fn matches(&self, arrival: &Arrival) -> bool {
        let mut all = parts_by_service(arrival).into_iter();
        !self.rules.is_empty()
            && all.any(|(service, parts)| {
                let mut rules = self.rules.iter();
                rules.any(|rule| rule.matches(service, &parts))
            })
    }
}

impl Reducer {
    /// Ends a request that a rule matches; returns whether it did.
    pub(super) fn refuse_quarantined(&mut self, id: Id, effects: &mut Vec<Effect>) -> bool {
        let request = self.requests.get(&id);
        let matches = request.is_some_and(|request| self.quarantine.matches(&request.arrival));
        if matches {
            self.fail(id, Reason::Quarantined, Some(RETRY_MS), effects);
        }
        matches
    }

    /// Records that an attempt got no answer, which may be because its target ended.
    pub(super) fn report_crash(&mut self, id: Id, run: &Run, effects: &mut Vec<Effect>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let target = self.table.get(run.target);
        let Some(target) = target.filter(|target| target.generation == run.generation) else {
            return;
        };
        let process = process(name_hash(&run.name), target.announcement.incarnation);
        let crashes = parts_by_service(&request.arrival).into_iter();
        let crashes = crashes.map(|(service, parts)| Crash {
            process,
            service,
            prompts: vec![parts],
            age_ms: 0,
        });
        let crashes: Vec<Crash> = crashes.collect();
        self.quarantine.reported.push_back((self.now, process));
        self.record_crashes(&crashes);
        let message = Message::Quarantine(Report::Crashed(crashes));
        self.broadcast(&message, effects);
    }

    fn record_crashes(&mut self, crashes: &[Crash]) {
        self.quarantine.heard_at = self.now;
        for crash in crashes {
            self.quarantine
                .evidence
                .record_crash(self.now, crash.clone());
        }
        self.quarantine.suspects = self.quarantine.evidence.suspects();
    }

    /// Records that a request was answered, and tells the zone of its suspected parts.
    pub(super) fn record_answered(&mut self, arrival: &Arrival, effects: &mut Vec<Effect>) {
        let mut reported = Vec::new();
        for (service, parts) in parts_by_service(arrival) {
            for id in parts {
                let part = Part { service, id };
                let evidence = &mut self.quarantine.evidence;
                evidence.record_answered(self.now, part, Duration::ZERO);
                if self.quarantine.suspects.contains(&part) {
                    reported.push((part, 0));
                }
            }
        }
        if !reported.is_empty() {
            self.quarantine.heard_at = self.now;
            let message = Message::Quarantine(Report::Answered(reported));
            self.broadcast(&message, effects);
        }
    }

    /// Handles a report of another VM of the zone.
    pub(super) fn handle_quarantine_report(&mut self, report: Report, effects: &mut Vec<Effect>) {
        self.quarantine.heard_at = self.now;
        match report {
            Report::Crashed(crashes) => {
                let known = self.quarantine.evidence.answered_parts(self.now, &crashes);
                self.record_crashes(&crashes);
                if !known.is_empty() {
                    let message = Message::Quarantine(Report::Answered(known));
                    self.broadcast(&message, effects);
                }
            }
            Report::Answered(parts) => {
                for (part, age_ms) in parts {
                    let age = Duration::from_millis(u64::from(age_ms));
                    let evidence = &mut self.quarantine.evidence;
                    evidence.record_answered(self.now, part, age);
                }
            }
            Report::Alive(process) => self.quarantine.evidence.withdraw(process),
        }
    }

    /// Withdraws own reports on a target that announces itself again with the same process.
    pub(super) fn withdraw_crash(
        &mut self,
        name: &str,
        incarnation: u64,
        effects: &mut Vec<Effect>,
    ) {
        if self.quarantine.reported.is_empty() {
            return;
        }
        let process = process(name_hash(name), incarnation);
        let now = self.now;
        let mut reported = self.quarantine.reported.iter();
        let is_alive =
            reported.any(|(at, reported)| *reported == process && now.since(*at) >= ALIVE_TIME);
        if !is_alive {
            return;
        }
        self.quarantine
            .reported
            .retain(|(_, reported)| *reported != process);
        self.quarantine.heard_at = now;
        self.quarantine.evidence.withdraw(process);
        let message = Message::Quarantine(Report::Alive(process));
        self.broadcast(&message, effects);
    }

    /// Derives rules if they may have changed, and refuses waiting requests that they match.
    pub(super) fn maintain_quarantine(&mut self, effects: &mut Vec<Effect>) {
        let now = self.now;
        let quarantine = &mut self.quarantine;
        let is_settled = now.since(quarantine.heard_at) >= SETTLE_TIME;
        if is_settled && now.since(quarantine.derived_at) < EXPIRE_INTERVAL {
            return;
        }
        quarantine.derived_at = now;
        quarantine
            .reported
            .retain(|(at, _)| now.since(*at) < MEMORY);
        let rules = quarantine.evidence.rules(now);
        quarantine.suspects = quarantine.evidence.suspects();
        if rules == quarantine.rules {
            return;
        }
        quarantine.rules = rules;
        let count = quarantine.rules.len();
        effects.push(Effect::Notice(Notice::QuarantineRules(count)));
        for id in self.queue.waiting_ids() {
            self.refuse_quarantined(id, effects);
        }
    }
}
