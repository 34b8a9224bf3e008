//! Trials of requests that a rule refuses as a whole.
//!
//! A rule on a whole request may rest on chance: the request ran at targets that ended for other reasons. Once
//! every copy of it is refused, none is answered, so nothing refutes the rule. One copy is therefore sent to a
//! target now and then; an answer lifts the rule.
//!
//! # Invariants
//!
//! - Each rule allows as many trials as [`TRIAL_TIMES`] has times, since each may end a target.
//! - Each trial belongs to one VM in the region, which all agree on by name. It stays open until that VM gets a copy of
//!   the request: callers may ask one VM alone.
//! - A trial is sent to one target: if it breaks off, the rule applies again.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::quarantine::{ANY_SERVICE, Rule};
use crate::time::Instant;

/// Times from the arrival of a rule at which the next trial becomes possible. After the last one, three VMs have had
/// theirs, in less than the minute after which a refused caller is told to return.
const TRIAL_TIMES: [Duration; 3] = [
    Duration::from_secs(10),
    Duration::from_secs(30),
    Duration::from_secs(50),
];

#[derive(Debug, Clone, Copy)]
struct Record {
    /// When this VM heard of the rule.
    since: Instant,
    /// Number of trials that this VM may no longer take.
    taken: usize,
}

/// Trials of the rules in force.
#[derive(Debug, Clone, Default)]
pub(super) struct Trials {
    rules: HashMap<Rule, Record>,
}

impl Trials {
    /// Replaces the rules in force.
    pub(super) fn set_rules(&mut self, now: Instant, rules: &[Rule]) {
        self.rules.retain(|rule, _| rules.contains(rule));
        for rule in rules.iter().filter(|rule| rule.service == ANY_SERVICE) {
            self.rules.entry(rule.clone()).or_insert(Record {
                since: now,
                taken: 0,
            });
        }
    }

    /// Takes the trial of a request that these rules refuse; returns whether the VM `own` may send it. `candidates`
    /// are the VMs that take trials in turn.
    pub(super) fn take<'r, I>(
        &mut self,
        now: Instant,
        matching: I,
        own: &Arc<str>,
        candidates: &[Arc<str>],
    ) -> bool
    where
        I: Iterator<Item = &'r Rule> + Clone,
    {
        let mut rules = matching.clone().peekable();
        if rules.peek().is_none() || !rules.all(|rule| self.is_due(now, rule, own, candidates)) {
            return false;
        }
        for rule in matching {
            if let Some(record) = self.rules.get_mut(rule) {
                record.taken = elapsed_trials(now, record.since);
            }
        }
        true
    }

    /// Returns whether a trial of a rule is due at this VM.
    fn is_due(&self, now: Instant, rule: &Rule, own: &Arc<str>, candidates: &[Arc<str>]) -> bool {
        let Some(record) = self.rules.get(rule) else {
            return false;
        };
        if candidates.is_empty() {
            return false;
        }
        let first = rule.parts.iter().fold(0, |hash, part| hash ^ part.0);
        let mut open = record.taken + 1..=elapsed_trials(now, record.since);
        open.any(|number| {
            let turn = first.wrapping_add(number as u64) % candidates.len() as u64;
            candidates[turn as usize] == *own
        })
    }
}

/// Returns the number of trials whose time has come.
fn elapsed_trials(now: Instant, since: Instant) -> usize {
    let age = now.since(since);
    TRIAL_TIMES.iter().filter(|time| age >= **time).count()
}
