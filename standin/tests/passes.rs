//! Model of an engine that works in passes.

use std::time::Duration;

use primrosepin_core::fleet;
use primrosepin_core::time::Instant;
use primrosepin_standin::passes::{Engine, Event, Request};

fn figures() -> fleet::Engine {
    fleet::Engine {
        slots: 4,
        kv_tokens: 100_000,
        stride: 34,
        step_ms: 1.31,
        per_sequence_ms: 0.0,
        context_ms_per_k: 0.0,
        read_tokens_per_ms: 154.0,
        pairs_ms_per_m: 0.162,
        chunk: 2_048,
        hop_ms: 0.1,
    }
}

fn request(id: u64, prompt_tokens: u64, answer_tokens: u64) -> Request {
    Request {
        id,
        prompt_tokens,
        answer_tokens,
        prefill_targets: 1,
        remote_kv_tokens: 0,
        priority: 5,
    }
}

/// Runs an engine until it has nothing to do; returns what happened with the time since `from`, ms.
fn run(engine: &mut Engine, from: Instant) -> Vec<(f64, Event)> {
    let mut log = Vec::new();
    while let Some(at) = engine.pass_end() {
        let mut events = Vec::new();
        engine.advance(at, &mut events);
        let ms = at.since(from).as_secs_f64() * 1e3;
        log.extend(events.into_iter().map(|event| (ms, event)));
    }
    log
}

fn at(log: &[(f64, Event)], wanted: Event) -> f64 {
    let found = log.iter().find(|(_, event)| *event == wanted);
    found
        .unwrap_or_else(|| panic!("no {wanted:?} in {log:?}"))
        .0
}

/// Guards against a first token that costs more than the reading and the steps in which it is done.
#[test]
fn an_idle_engine_writes_the_first_token_when_the_prompt_is_read() {
    let mut engine = Engine::new(figures());
    let start = Instant::default();
    engine.submit(start, request(1, 4_096, 69));
    let log = run(&mut engine, start);
    let first = at(&log, Event::Generated(1, 1));
    let read = figures().prefill_ms(4_096) + 2.0 * 1.31;
    assert!((first - read).abs() < 0.1, "{first} ms instead of {read}");
    let end = at(&log, Event::Finished(1));
    let passes = 2.0 * 34.0 * 1.31;
    assert!((end - first - passes).abs() < 0.1, "{end} ms");
}

/// Guards against prompts that are read outside the passes of writers: their pauses grow by the reading.
#[test]
fn reading_stretches_the_pass_of_writers() {
    let mut engine = Engine::new(figures());
    let start = Instant::default();
    engine.submit(start, request(1, 100, 500));
    let mut events = Vec::new();
    while let Some(next) = engine.pass_end().filter(|_| events.is_empty()) {
        engine.advance(next, &mut events);
    }
    let begun = engine.pass_end().expect("the writer goes on");
    engine.submit(begun - Duration::from_millis(1), request(2, 30_000, 34));
    let mut events = Vec::new();
    engine.advance(begun, &mut events);
    let pass = engine
        .pass_end()
        .expect("a pass")
        .since(begun)
        .as_secs_f64()
        * 1e3;
    let expected = 34.0 * 1.31 + figures().prefill_ms(30_000);
    assert!(
        (pass - expected).abs() < 0.1,
        "{pass} ms instead of {expected}"
    );
}

/// Guards against a split prompt that begins before all its parts are read, and against parts that wait
/// for whole prompts.
#[test]
fn a_split_prompt_begins_with_its_last_part() {
    let mut head = Engine::new(figures());
    let mut helper = Engine::new(figures());
    let start = Instant::default();
    let split = Request {
        prefill_targets: 2,
        ..request(1, 60_000, 10)
    };
    helper.submit(start, request(7, 50_000, 10));
    head.submit(start, split);
    helper.prefill_part(start, 1, 60_000, 2);
    let log = run(&mut helper, start);
    let part = at(&log, Event::PartPrefilled(1));
    assert!(part < at(&log, Event::Generated(7, 1)), "{log:?}");
    assert!(run(&mut head, start).is_empty(), "begun without its part");
    let read_at = start + Duration::from_secs_f64(part / 1e3);
    head.part_prefilled(read_at, 1);
    let log = run(&mut head, start);
    assert!(matches!(log[0].1, Event::Generated(1, _)), "{log:?}");
    assert!(log[0].0 - part < 2.0, "{log:?}");
}

/// Guards against memory that is given out twice, and against held memory that stays.
#[test]
fn memory_limits_what_is_admitted() {
    let mut engine = Engine::new(figures());
    let start = Instant::default();
    assert!(engine.reserve(9, 60_000));
    assert!(!engine.reserve(8, 50_000), "more memory than there is");
    engine.submit(start, request(1, 50_000, 10));
    assert_eq!(engine.pass_end(), None, "admitted without memory");
    engine.release(9);
    engine.submit(start, request(2, 10_000, 10));
    let log = run(&mut engine, start);
    at(&log, Event::Finished(1));
    at(&log, Event::Finished(2));
    assert_eq!(engine.kv_tokens_used(), 0);
}

/// Guards against an engine whose memory stays over its limit while answers grow.
#[test]
fn the_newest_request_is_preempted_and_read_again() {
    let mut engine = Engine::new(figures());
    let start = Instant::default();
    engine.submit(start, request(1, 49_000, 2_000));
    engine.submit(start, request(2, 49_000, 2_000));
    let log = run(&mut engine, start);
    at(&log, Event::Preempted(2));
    assert!(at(&log, Event::Finished(1)) < at(&log, Event::Finished(2)));
    let wrote = |id| -> u64 {
        let own = log.iter().filter_map(|(_, event)| match event {
            Event::Generated(other, tokens) if *other == id => Some(*tokens),
            _ => None,
        });
        own.sum()
    };
    assert_eq!(
        (wrote(1), wrote(2)),
        (2_000, 2_000),
        "tokens lost or doubled"
    );
}

/// Guards against work that goes on after its request was cancelled.
#[test]
fn a_cancelled_request_leaves_nothing() {
    let mut engine = Engine::new(figures());
    let start = Instant::default();
    engine.submit(start, request(1, 5_000, 500));
    engine.prefill_part(start, 2, 90_000, 3);
    assert!(engine.reserve(2, 1_000));
    engine.cancel(1);
    engine.cancel(2);
    assert!(run(&mut engine, start).is_empty());
    assert_eq!((engine.kv_tokens_used(), engine.request_count()), (0, 0));
}
