//! Rules that follow from reports of crashes and answers.

use std::time::Duration;

use primrosepin_core::fleet::{PartId, PartIds};
use primrosepin_core::quarantine::{ANY_SERVICE, Crash, Evidence, Part, Rule};
use primrosepin_core::time::Instant;

const SERVICE: u64 = 9;
const START: Instant = Instant::from_micros(1_000_000_000);

/// Time after the last report after which rules are derived.
const SETTLED: Duration = Duration::from_secs(1);

fn parts(ids: &[u64]) -> PartIds {
    ids.iter().map(|id| PartId(*id)).collect()
}

fn rule(ids: &[u64]) -> Rule {
    Rule {
        service: SERVICE,
        parts: parts(ids),
    }
}

/// Reports that a target ended under prompts with these parts.
fn crash(evidence: &mut Evidence, now: Instant, process: u64, prompts: &[&[u64]]) {
    crash_at(SERVICE, evidence, now, process, prompts);
}

fn crash_at(service: u64, evidence: &mut Evidence, now: Instant, process: u64, prompts: &[&[u64]]) {
    let crash = Crash {
        process,
        service,
        prompts: prompts.iter().map(|ids| parts(ids)).collect(),
        age_ms: 0,
    };
    evidence.record_crash(now, crash);
}

fn answered(evidence: &mut Evidence, now: Instant, id: u64) {
    let part = Part {
        service: SERVICE,
        id: PartId(id),
    };
    evidence.record_answered(now, part, Duration::ZERO);
}

/// Guards against a rule on a sound part that was in all prompts with the bad one: only prompts with both are
/// refused, until an answer or a crash tells them apart.
#[test]
fn parts_that_always_come_together_are_told_apart_later() {
    let mut evidence = Evidence::new();
    for process in 0..4 {
        crash(&mut evidence, START, process, &[&[1, 2, 10 + process]]);
    }
    assert_eq!(evidence.rules(START), [], "before other VMs could object");
    let now = START + SETTLED;
    assert_eq!(evidence.rules(now), [rule(&[1, 2])]);
    let mut by_answer = evidence.clone();
    answered(&mut by_answer, now, 1);
    assert_eq!(by_answer.rules(now), [rule(&[2])]);
    crash(&mut evidence, now, 4, &[&[2, 30]]);
    assert_eq!(evidence.rules(now + SETTLED), [rule(&[2])]);
}

/// Guards against a bad part that another one hides, and against rules on parts of prompts that only shared a target
/// with a bad one.
#[test]
fn each_crash_counts_for_one_rule() {
    let mut evidence = Evidence::new();
    for process in 0..6 {
        crash(&mut evidence, START, process, &[&[1, 20 + process], &[7]]);
    }
    for process in 6..10 {
        crash(&mut evidence, START, process, &[&[2, 20 + process]]);
    }
    answered(&mut evidence, START, 7);
    let now = START + SETTLED;
    assert_eq!(evidence.rules(now), [rule(&[1]), rule(&[2])]);
    // A part in some crashes of the first bad one only has no rule of its own.
    for process in 10..14 {
        crash(&mut evidence, now, process, &[&[1, 50 + process], &[8]]);
    }
    assert_eq!(evidence.rules(now + SETTLED), [rule(&[1]), rule(&[2])]);
}

/// Guards against one crash that several VMs report, or report again on a new link, and that counts more than once.
#[test]
fn reports_of_one_crash_count_once() {
    let mut evidence = Evidence::new();
    for _ in 0..9 {
        for process in 1..4 {
            crash(&mut evidence, START, process, &[&[1]]);
        }
    }
    assert_eq!(evidence.rules(START + SETTLED), []);
}

/// Guards against rules that hold for ever: a new version of a model may bear the part.
#[test]
fn rules_and_reports_end() {
    let mut evidence = Evidence::new();
    for process in 0..4 {
        crash(&mut evidence, START, process, &[&[1]]);
    }
    evidence.restore(START, &[rule(&[3])]);
    assert_eq!(evidence.rules(START + SETTLED), [rule(&[1]), rule(&[3])]);
    let later = START + Duration::from_mins(11);
    assert_eq!(evidence.rules(later), []);
    assert!(evidence.suspects().is_empty());
}

/// Guards against a part that is tried on more targets because whole requests with it have rules already.
#[test]
fn rules_on_requests_do_not_delay_those_on_parts() {
    let mut evidence = Evidence::new();
    for process in 0..4 {
        // Three of the crashes are due to copies of one request.
        let asks = if process < 3 { 100 } else { 101 };
        crash(&mut evidence, START, process, &[&[1]]);
        crash_at(ANY_SERVICE, &mut evidence, START, process, &[&[asks]]);
    }
    assert_eq!(evidence.rules(START + SETTLED), [rule(&[1])]);
    let whole = Rule {
        service: ANY_SERVICE,
        parts: parts(&[100]),
    };
    let mut early = Evidence::new();
    for process in 0..3 {
        crash(&mut early, START, process, &[&[1]]);
        crash_at(ANY_SERVICE, &mut early, START, process, &[&[100]]);
    }
    assert_eq!(early.rules(START + SETTLED), std::slice::from_ref(&whole));
    crash(&mut early, START + SETTLED, 3, &[&[1]]);
    crash_at(ANY_SERVICE, &mut early, START + SETTLED, 3, &[&[101]]);
    let rules = early.rules(START + SETTLED * 2);
    assert_eq!(rules, [whole, rule(&[1])]);
}

/// Guards against fatal requests that hide each other: the crashes of the others are not chance.
#[test]
fn many_fatal_requests_at_once_are_all_found() {
    for count in 1..12 {
        let mut evidence = Evidence::new();
        for request in 0..count {
            for process in 0..3 {
                let process = request * 3 + process;
                crash_at(ANY_SERVICE, &mut evidence, START, process, &[&[request]]);
            }
        }
        let rules = evidence.rules(START + SETTLED);
        assert_eq!(rules.len(), count as usize, "{rules:?}");
    }
}

/// Guards against refusing a request because connections to targets were lost: reports on processes that still run
/// are withdrawn, and rules that rest on them end.
#[test]
fn a_withdrawn_report_ends_the_rule_that_rests_on_it() {
    let mut evidence = Evidence::new();
    for process in 0..4 {
        crash_at(ANY_SERVICE, &mut evidence, START, process, &[&[100]]);
    }
    let now = START + SETTLED;
    assert_eq!(evidence.rules(now).len(), 1);
    evidence.withdraw(0);
    assert_eq!(evidence.rules(now).len(), 1, "three crashes are left");
    evidence.withdraw(1);
    assert_eq!(evidence.rules(now), []);
    assert_eq!(evidence.rules(now + SETTLED), []);
}
