//! Requests, and parts of prompts, that crash targets.
//!
//! Entry VMs report each target that ended under requests whose answers had not begun, as a [`Crash`], and what was
//! answered. A control VM collects these reports in an [`Evidence`] and derives [`Rule`]s: requests that a rule
//! matches are not sent to targets.
//!
//! A request is known by the parts of its prompt that others may share, at one service, and by two parts that
//! stand for the request as a whole ([`ANY_SERVICE`]): what it asks for together with the caller's key, and with the
//! caller's organisation. Copies of a request have these in common, whatever their IDs.
//!
//! A request that shares a target with the one that ends it, or shares other parts with it, is as much in the
//! reports. Two things tell them apart: a part that was answered at about the time of a crash, or later, did
//! not cause it, and a crash that a rule explains counts against no other part. A connection that is lost looks like a
//! crash too: a VM withdraws its report once the target announces itself again.
//!
//! # Invariants
//!
//! - A rule rests on [`MIN_CRASHES`], or [`MIN_REQUEST_CRASHES`], different processes of targets, and on no report that
//!   an answer refutes.
//! - The parts of a rule were all in each of the requests that count for it, so requests that share only some
//!   of them are not affected.
//! - Rules on whole requests do not delay those on parts of prompts.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fleet::{PartId, PartIds};
use crate::time::Instant;

/// Number of targets that must have ended under a part of a prompt. With fewer, a sound part is taken for a bad one
/// where many targets end for another reason.
pub const MIN_CRASHES: usize = 4;

/// Number of targets that must have ended under a whole request. Copies of one request are rarer than requests that
/// share a part, so fewer crashes tell as much.
pub const MIN_REQUEST_CRASHES: usize = 3;

/// Takes the place of a service's hash for parts that stand for whole requests: what crashes the targets of one service
/// is not tried at another one.
pub const ANY_SERVICE: u64 = 0;

/// Time from the last report that is needed until a rule is derived. Other VMs tell within it which of the
/// parts they have seen answered.
const CONFIRM_TIME: Duration = Duration::from_millis(400);

/// How long before a crash an answer still shows that a part did not cause it.
const REFUTING_TIME: Duration = Duration::from_secs(2);

/// How long reports count and rules hold. A part is tried again afterwards, since a new version of a model
/// may bear it.
const RETENTION: Duration = Duration::from_mins(10);

/// A sound request may meet targets that end for other reasons. One crash more is needed for a rule where more than
/// this many times as many targets ended without it within [`COINCIDENCE_TIME`], and another one for twice as many.
const COINCIDENCE_RATIO: usize = 3;
const COINCIDENCE_TIME: Duration = Duration::from_secs(10);
const MAX_COINCIDENCES: usize = 2;

/// Largest number of crashes that are kept.
const MAX_CRASHES: usize = 1_024;

/// Largest number of prompts that are kept of one crash.
const MAX_PROMPTS: usize = 64;

/// Largest number of answered parts that are kept.
const MAX_ANSWERED: usize = 16 * 1024;

/// A part of a prompt at one service, or of any request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Part {
    /// Hash of the service's name, or [`ANY_SERVICE`].
    pub service: u64,
    /// ID of the part.
    pub id: PartId,
}

/// Returns the hash that stands for a service, or for a target in [`process`].
pub fn name_hash(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

/// Returns the identity of a target's process. A target that starts again has another one.
pub fn process(name_hash: u64, started_ms: u64) -> u64 {
    name_hash.rotate_left(1) ^ started_ms
}

/// A target that ended under requests whose answers had not begun, as one VM saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Identifies the process of the target; see [`process`].
    pub process: u64,
    /// Hash of the service's name, or [`ANY_SERVICE`].
    pub service: u64,
    /// Parts of each request.
    pub prompts: Vec<PartIds>,
    /// Time since the target ended, ms.
    pub age_ms: u32,
}

/// Requests with all of these parts are not sent to targets of the service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Rule {
    /// Hash of the service's name, or [`ANY_SERVICE`].
    pub service: u64,
    /// The parts, sorted.
    pub parts: PartIds,
}

impl Rule {
    /// Returns whether a request with these parts has all parts of the rule.
    pub fn matches(&self, service: u64, prompt: &[PartId]) -> bool {
        self.service == service && self.parts.iter().all(|part| prompt.contains(part))
    }

    /// Returns whether each request that `other` matches is matched by this rule too.
    fn covers(&self, other: &Self) -> bool {
        self.matches(other.service, &other.parts)
    }
}

#[derive(Debug, Clone)]
struct Record {
    process: u64,
    service: u64,
    prompts: Vec<PartIds>,
    at: Instant,
    reported_at: Instant,
}

impl Record {
    /// Returns whether a rule explains the crash.
    fn is_explained_by(&self, rule: &Rule) -> bool {
        let mut prompts = self.prompts.iter();
        prompts.any(|prompt| rule.matches(self.service, prompt))
    }
}

/// Reports of crashes and answers, and the rules that follow from them.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    crashes: VecDeque<Record>,
    /// When parts were last answered.
    answered: HashMap<Part, Instant>,
    /// Rules in force, with the time until which they hold.
    rules: BTreeMap<Rule, Instant>,
}

impl Evidence {
    /// Creates evidence without reports and rules.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the report of a crash. Reports of the same process are joined.
    pub fn record_crash(&mut self, now: Instant, crash: Crash) {
        let at = now - Duration::from_millis(crash.age_ms.into());
        let known = self
            .crashes
            .iter_mut()
            .find(|record| record.process == crash.process && record.service == crash.service);
        if let Some(record) = known {
            record.at = record.at.min(at);
            for prompt in crash.prompts {
                if record.prompts.len() < MAX_PROMPTS && !record.prompts.contains(&prompt) {
                    record.prompts.push(prompt);
                }
            }
            return;
        }
        if self.crashes.len() == MAX_CRASHES {
            self.crashes.pop_front();
        }
        let mut prompts = crash.prompts;
        prompts.truncate(MAX_PROMPTS);
        self.crashes.push_back(Record {
            process: crash.process,
            service: crash.service,
            prompts,
            at,
            reported_at: now,
        });
    }

    /// Withdraws the reports about a process that has not ended, and rules that rest on too few crashes without it.
    pub fn withdraw(&mut self, process: u64) {
        let (withdrawn, kept): (VecDeque<Record>, VecDeque<Record>) =
            std::mem::take(&mut self.crashes)
                .into_iter()
                .partition(|record| record.process == process);
        self.crashes = kept;
        let crashes = &self.crashes;
        self.rules.retain(|rule, _| {
            let rested_on_it = withdrawn.iter().any(|record| record.is_explained_by(rule));
            let left = crashes.iter().filter(|record| record.is_explained_by(rule));
            !rested_on_it || left.count() >= min_crashes(rule.service)
        });
    }

    /// Records that a part was answered `age` ago. Rules lose the part.
    pub fn record_answered(&mut self, now: Instant, part: Part, age: Duration) {
        let at = now - age;
        if self.answered.len() < MAX_ANSWERED || self.answered.contains_key(&part) {
            let known = self.answered.entry(part).or_insert(at);
            *known = at.max(*known);
        }
        let rules = std::mem::take(&mut self.rules).into_iter();
        let without = |(mut rule, until): (Rule, Instant)| {
            // A rule that was derived longer after the answer rests on later crashes.
            let derived_at = until - RETENTION;
            if rule.service == part.service && at + REFUTING_TIME >= derived_at {
                rule.parts.retain(|id| *id != part.id);
            }
            (!rule.parts.is_empty()).then_some((rule, until))
        };
        self.rules = rules.filter_map(without).collect();
    }

    /// Returns the parts of a report that were answered so lately that they did not cause the crash, with the time since
    /// then, ms.
    pub fn answered_parts(&self, now: Instant, crashes: &[Crash]) -> Vec<(Part, u32)> {
        let parts = crashes.iter().flat_map(|crash| {
            let ids = crash.prompts.iter().flatten();
            ids.map(|id| Part {
                service: crash.service,
                id: *id,
            })
        });
        let answered = parts.filter_map(|part| {
            let age = now.since(*self.answered.get(&part)?);
            (age < REFUTING_TIME).then_some((part, age.as_millis() as u32))
        });
        answered.collect()
    }

    /// Takes over rules that were derived earlier and stored.
    pub fn restore(&mut self, now: Instant, stored: &[Rule]) {
        for rule in stored {
            self.rules.entry(rule.clone()).or_insert(now + RETENTION);
        }
    }

    /// Removes a rule that was stored and has been lifted elsewhere.
    pub fn remove(&mut self, rule: &Rule) {
        self.rules.remove(rule);
    }

    /// Returns the parts that several crashes have in common, or that rules name. Answers with them matter.
    pub fn suspects(&self) -> BTreeSet<Part> {
        let mut processes: BTreeMap<Part, BTreeSet<u64>> = BTreeMap::new();
        for record in &self.crashes {
            for id in record.prompts.iter().flatten() {
                let part = Part {
                    service: record.service,
                    id: *id,
                };
                if !self.is_refuted(part, record) {
                    processes.entry(part).or_default().insert(record.process);
                }
            }
        }
        let repeated = processes.into_iter().filter(|(_, by)| by.len() > 1);
        let named = self.rules.keys().flat_map(|rule| {
            let parts = rule.parts.iter();
            parts.map(|id| Part {
                service: rule.service,
                id: *id,
            })
        });
        repeated.map(|(part, _)| part).chain(named).collect()
    }

    /// Drops what is older than [`RETENTION`], derives new rules and returns all rules in force, sorted.
    pub fn rules(&mut self, now: Instant) -> Vec<Rule> {
        self.crashes
            .retain(|record| now.since(record.at) < RETENTION);
        self.answered.retain(|_, at| now.since(*at) < RETENTION);
        self.rules.retain(|_, until| now < *until);
        for rule in self.derive(now) {
            self.rules.entry(rule).or_insert(now + RETENTION);
        }
        let all: Vec<Rule> = self.rules.keys().cloned().collect();
        self.rules.retain(|rule, _| {
            let mut others = all.iter().filter(|other| *other != rule);
            !others.any(|other| other.covers(rule))
        });
        self.rules.keys().cloned().collect()
    }

    fn is_refuted(&self, part: Part, record: &Record) -> bool {
        let answered = self.answered.get(&part);
        answered.is_some_and(|at| *at + REFUTING_TIME >= record.at)
    }

    /// Returns the parts of a prompt that no answer refutes.
    fn unrefuted(&self, record: &Record, prompt: &PartIds) -> PartIds {
        let refuted = |id: &PartId| {
            let part = Part {
                service: record.service,
                id: *id,
            };
            self.is_refuted(part, record)
        };
        prompt.iter().filter(|id| !refuted(id)).copied().collect()
    }

    fn derive(&self, now: Instant) -> BTreeSet<Rule> {
        let (requests, prompts): (Vec<&Record>, Vec<&Record>) = self
            .crashes
            .iter()
            .partition(|record| record.service == ANY_SERVICE);
        let mut rules = self.derive_from(now, &prompts, MIN_CRASHES);
        let explained = prompts
            .iter()
            .filter(|record| rules.iter().any(|rule| record.is_explained_by(rule)));
        let explained: BTreeSet<u64> = explained.map(|record| record.process).collect();
        let requests: Vec<&Record> = requests
            .into_iter()
            .filter(|record| !explained.contains(&record.process))
            .collect();
        rules.extend(self.derive_from(now, &requests, MIN_REQUEST_CRASHES));
        rules
    }

    /// Derives rules from some crashes: repeatedly takes the parts under which most targets ended, and leaves out the
    /// crashes that they explain.
    fn derive_from(&self, now: Instant, crashes: &[&Record], min_crashes: usize) -> BTreeSet<Rule> {
        let mut rules = BTreeSet::new();
        let mut unexplained: Vec<(&Record, Vec<PartIds>)> = crashes
            .iter()
            .map(|record| {
                let prompts = record.prompts.iter();
                let prompts = prompts.map(|prompt| self.unrefuted(record, prompt));
                (*record, prompts.collect())
            })
            .collect();
        loop {
            let mut by_part: BTreeMap<Part, Vec<usize>> = BTreeMap::new();
            for (index, (record, prompts)) in unexplained.iter().enumerate() {
                for id in prompts.iter().flatten() {
                    let part = Part {
                        service: record.service,
                        id: *id,
                    };
                    let crashes = by_part.entry(part).or_default();
                    if crashes.last() != Some(&index) {
                        crashes.push(index);
                    }
                }
            }
            let most = by_part.values().map(Vec::len).max().unwrap_or(0);
            // Crashes with a part that may get a rule of its own are not chance.
            let repeated: BTreeSet<usize> = by_part
                .values()
                .filter(|crashes| crashes.len() >= min_crashes)
                .flatten()
                .copied()
                .collect();
            let recent = unexplained
                .iter()
                .enumerate()
                .filter(|(_, (record, _))| now.since(record.at) < COINCIDENCE_TIME);
            let others = recent
                .filter(|(index, _)| !repeated.contains(index))
                .count();
            let needed = min_crashes + coincidences(others, most);
            if most < needed {
                return rules;
            }
            let top = by_part
                .into_iter()
                .filter(|(_, crashes)| crashes.len() == most);
            let found: BTreeSet<Rule> = top
                .filter(|(_, crashes)| {
                    let last = unexplained[crashes[needed - 1]].0;
                    now.since(last.reported_at) >= CONFIRM_TIME
                })
                .map(|(part, crashes)| {
                    let all = crashes.iter().flat_map(|index| &unexplained[*index].1);
                    let with_part = all.filter(|prompt| prompt.contains(&part.id));
                    common_parts(part, with_part)
                })
                .collect();
            if found.is_empty() {
                return rules;
            }
            unexplained
                .retain(|(record, _)| !found.iter().any(|rule| record.is_explained_by(rule)));
            rules.extend(found);
        }
    }
}

/// Returns how many of the crashes under a part may be due to chance, where `others` targets ended without it.
fn coincidences(others: usize, crashes: usize) -> usize {
    let ratio = others.saturating_sub(1) / (COINCIDENCE_RATIO * crashes).max(1);
    ratio.min(MAX_COINCIDENCES)
}

/// Returns the number of targets that must have ended for a rule, chance apart.
fn min_crashes(service: u64) -> usize {
    if service == ANY_SERVICE {
        MIN_REQUEST_CRASHES
    } else {
        MIN_CRASHES
    }
}

/// Returns the rule of the parts that all prompts with `part` have.
fn common_parts<'p, I>(part: Part, prompts: I) -> Rule
where
    I: Iterator<Item = &'p PartIds>,
{
    let mut common: Option<PartIds> = None;
    for prompt in prompts {
        match &mut common {
            Some(common) => common.retain(|id| prompt.contains(id)),
            None => common = Some(prompt.clone()),
        }
    }
    let mut parts = common.unwrap_or_else(|| PartIds::from_slice(&[part.id]));
    parts.sort_unstable();
    parts.dedup();
    Rule {
        service: part.service,
        parts,
    }
}
