//! Counters of violated guarantees.

use std::net::{Ipv4Addr, SocketAddr};

use primrosepin_bench::audit::{Evidence, Removal, counters, goodput_tokens, summarise};
use primrosepin_bench::caller::{Observation, Outcome};
use primrosepin_bench::report::Counters;
use primrosepin_bench::workload::{Call, Kind};
use primrosepin_standin::record::End;
use primrosepin_standin::{Record, engine};

const BEGIN_US: u64 = 1_000_000;

fn observation(user: &str, kind: Kind, outcome: Option<Outcome>) -> Observation {
    Observation {
        call: Call {
            at_us: 0,
            user: user.into(),
            kind,
            organisation: 0,
            draw: 0,
        },
        entry: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        due_us: BEGIN_US,
        first_us: BEGIN_US + 50_000,
        end_us: BEGIN_US + 100_000,
        deadline_ms: 1_000,
        status: 200,
        outcome,
        code: String::new(),
        complete: outcome == Some(Outcome::Answered),
        foreign: false,
        tokens: 1,
        gaps_us: vec![2_000],
    }
}

fn record(user: &str, target: &str, received_us: u64) -> Record {
    Record {
        target: target.into(),
        incarnation: 1,
        attempt: "a".into(),
        request: None,
        idempotency_key: None,
        user: Some(user.into()),
        priority: 0,
        prompt_tokens: 1_000,
        cached_tokens: 0,
        max_tokens: 1,
        generated_tokens: 1,
        cold: false,
        kv_tokens_held: 0,
        ahead: 0,
        received_us,
        started_us: received_us,
        first_token_us: received_us,
        ended_us: received_us,
        end: End::Completed,
        delivered: true,
        orphaned_kv_tokens: 0,
        orphaned_kv_token_s: 0,
    }
}

const ENGINE: Kind = Kind::Engine {
    prompt_tokens: 1_000,
    max_tokens: 1,
};

/// Guards against a violated guarantee that is not counted. The observations violate each guarantee
/// at least once.
#[test]
fn each_violated_guarantee_is_counted() {
    let mut late = observation("late", ENGINE, Some(Outcome::Failed));
    late.end_us = BEGIN_US + 1_600_000;
    let mut foreign = observation("foreign", ENGINE, Some(Outcome::Answered));
    foreign.foreign = true;
    let mut incomplete = observation("incomplete", ENGINE, Some(Outcome::Answered));
    incomplete.complete = false;
    let all = [
        late,
        foreign,
        incomplete,
        observation("false", ENGINE, Some(Outcome::NotRun)),
        observation("true", ENGINE, Some(Outcome::NotRun)),
        observation("twice", Kind::PlainPost, Some(Outcome::Unknown)),
        observation("repeated", Kind::PlainGet, Some(Outcome::Answered)),
        observation("lost", ENGINE, None),
    ];
    let mut waited = record("true", "e0", BEGIN_US);
    waited.started_us = 0;
    let evidence = Evidence {
        engine_records: vec![
            record("false", "e0", BEGIN_US),
            waited,
            record("x", "e1", BEGIN_US + 2_999_999),
            record("x", "e1", BEGIN_US + 3_000_001),
            record("x", "e1", BEGIN_US + 9_000_001),
        ],
        plain_records: ["twice", "twice", "repeated", "repeated"]
            .map(|user| record(user, "p0", BEGIN_US))
            .to_vec(),
        kv_tokens_leaked: 7,
        cold_overruns: 2,
        removals: vec![Removal {
            targets: vec!["e1".into()],
            from_us: BEGIN_US,
            until_us: Some(BEGIN_US + 9_000_000),
        }],
    };
    let expected = Counters {
        admitted: 6,
        answered: 3,
        refused_not_run: 2,
        failed: 1,
        outcome_unknown: 1,
        lost: 1,
        mixed_up: 2,
        ran_twice: 1,
        false_not_run: 1,
        kv_tokens_leaked: 7,
        cold_overruns: 2,
        late_past_deadline: 1,
        work_after_removal: 1,
    };
    assert_eq!(counters(&all, &evidence), expected);
}

/// Guards against clamped percentiles, and against calls without an answer in the percentiles.
#[test]
fn slowdown_is_relative_to_an_idle_engine() {
    let model = engine::Settings::default();
    let idle_ms = model.ttft_alone_ms(1_000);
    let mut slow = observation("slow", ENGINE, Some(Outcome::Answered));
    slow.first_us = BEGIN_US + (idle_ms * 50_000.0) as u64;
    let refused = observation("refused", ENGINE, Some(Outcome::NotRun));
    let summary = summarise(&[slow, refused], BEGIN_US, &model, 1.0);
    let short = summary.short;
    assert_eq!((short.sent, short.answered), (2, 1));
    for slowdown in [short.slowdown.p50, short.slowdown.p99] {
        assert!((49.9..50.2).contains(&slowdown), "{slowdown}");
    }
    assert_eq!(summary.codes.get("status 200"), Some(&1));
    assert_eq!(summary.seconds[0].answered, 1);
}

/// Guards against a goodput that counts unanswered calls or work outside the time span.
#[test]
fn goodput_counts_answered_calls_in_the_time_span() {
    let calls = [
        observation("good", ENGINE, Some(Outcome::Answered)),
        observation("bad", ENGINE, Some(Outcome::Failed)),
    ];
    let mut good = record("good", "e0", BEGIN_US);
    good.prompt_tokens = 999;
    good.ended_us = BEGIN_US + 1_000_000;
    let mut bad = good.clone();
    bad.user = Some("bad".into());
    let evidence = Evidence {
        engine_records: vec![good, bad],
        ..Evidence::default()
    };
    let tokens = goodput_tokens(&calls, &evidence, BEGIN_US + 250_000, BEGIN_US + 500_000);
    assert_eq!(tokens, 250.0);
}
