//! Tests of the engine model that works in passes.

use std::time::Duration;

use primrosepin_core::fleet;
use primrosepin_core::fleet::Prefix;
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
        prefix_cache_tokens: 0,
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

/// Runs an engine until it is idle; returns its events with the time since `from`, ms.
fn run(engine: &mut Engine, from: Instant) -> Vec<(f64, Event)> {
    let mut log = Vec::new();
    while let Some(end) = engine.pass_end() {
        let mut events = Vec::new();
        engine.advance(end, &mut events);
        let ms = end.since(from).as_secs_f64() * 1e3;
        log.extend(events.into_iter().map(|event| (ms, event)));
    }
    log
}

/// Returns the time of an event, ms.
fn time_of(log: &[(f64, Event)], wanted: Event) -> f64 {
    let found = log.iter().find(|(_, event)| *event == wanted);
    found
        .unwrap_or_else(|| panic!("no {wanted:?} in {log:?}"))
        .0
}

/// Guards against a first token that takes longer than the prefill and its steps.
#[test]
fn idle_engine_generates_first_token_at_end_of_prefill() {
    let mut engine = Engine::new(figures());
    let start = Instant::default();
    engine.submit(start, request(1, 4_096, 69));
    let log = run(&mut engine, start);
    let first = time_of(&log, Event::Generated(1, 1));
    let expected = figures().prefill_ms(4_096) + 2.0 * 1.31;
    assert!(
        (first - expected).abs() < 0.1,
        "first token after {first} ms, expected {expected} ms"
    );
    let end = time_of(&log, Event::Finished(1));
    let passes = 2.0 * 34.0 * 1.31;
    assert!(
        (end - first - passes).abs() < 0.1,
        "answer ended after {end} ms"
    );
}

/// Guards against prefill outside the passes of decoding requests: prefill must lengthen the pass, and
/// with it the gap between their tokens.
#[test]
fn prefill_lengthens_the_pass_of_decoding_requests() {
    let mut engine = Engine::new(figures());
    let start = Instant::default();
    engine.submit(start, request(1, 100, 500));
    let mut events = Vec::new();
    while let Some(end) = engine.pass_end().filter(|_| events.is_empty()) {
        engine.advance(end, &mut events);
    }
    let pass_start = engine.pass_end().expect("the request still decodes");
    engine.submit(
        pass_start - Duration::from_millis(1),
        request(2, 30_000, 34),
    );
    let mut events = Vec::new();
    engine.advance(pass_start, &mut events);
    let pass_ms = engine
        .pass_end()
        .expect("a pass with prefill")
        .since(pass_start)
        .as_secs_f64()
        * 1e3;
    let expected = 34.0 * 1.31 + figures().prefill_ms(30_000);
    assert!(
        (pass_ms - expected).abs() < 0.1,
        "pass took {pass_ms} ms, expected {expected} ms"
    );
}

/// Guards against a split prompt that decodes before all its parts are prefilled, and against parts that
/// wait for the helper's own prompts.
#[test]
fn split_prompt_decodes_after_its_last_part() {
    let mut primary = Engine::new(figures());
    let mut helper = Engine::new(figures());
    let start = Instant::default();
    let split = Request {
        prefill_targets: 2,
        ..request(1, 60_000, 10)
    };
    helper.submit(start, request(7, 50_000, 10));
    primary.submit(start, split);
    helper.prefill_part(start, 1, 60_000, 2);
    let log = run(&mut helper, start);
    let part = time_of(&log, Event::PartPrefilled(1));
    assert!(part < time_of(&log, Event::Generated(7, 1)), "{log:?}");
    assert!(
        run(&mut primary, start).is_empty(),
        "decoded before the helper prefilled its part"
    );
    let prefilled_at = start + Duration::from_secs_f64(part / 1e3);
    primary.part_prefilled(prefilled_at, 1);
    let log = run(&mut primary, start);
    assert!(matches!(log[0].1, Event::Generated(1, _)), "{log:?}");
    assert!(log[0].0 - part < 2.0, "{log:?}");
}

/// Guards against KV memory that is allocated twice, and against reservations that are never released.
#[test]
fn memory_limits_admission() {
    let mut engine = Engine::new(figures());
    let start = Instant::default();
    assert!(engine.reserve(9, 60_000));
    assert!(
        !engine.reserve(8, 50_000),
        "reserved more memory than is free"
    );
    engine.submit(start, request(1, 50_000, 10));
    assert_eq!(engine.pass_end(), None, "admitted without free memory");
    engine.release(9);
    engine.submit(start, request(2, 10_000, 10));
    let log = run(&mut engine, start);
    time_of(&log, Event::Finished(1));
    time_of(&log, Event::Finished(2));
    assert_eq!(engine.kv_tokens_used(), 0);
}

/// Guards against KV memory that stays over its capacity while answers grow, and against preemption that
/// loses or repeats tokens.
#[test]
fn newest_request_is_preempted_and_prefilled_again() {
    let mut engine = Engine::new(figures());
    let start = Instant::default();
    engine.submit(start, request(1, 49_000, 2_000));
    engine.submit(start, request(2, 49_000, 2_000));
    let log = run(&mut engine, start);
    time_of(&log, Event::Preempted(2));
    assert!(time_of(&log, Event::Finished(1)) < time_of(&log, Event::Finished(2)));
    let generated = |id| -> u64 {
        let tokens = log.iter().filter_map(|(_, event)| match event {
            Event::Generated(other, tokens) if *other == id => Some(*tokens),
            _ => None,
        });
        tokens.sum()
    };
    assert_eq!(
        (generated(1), generated(2)),
        (2_000, 2_000),
        "tokens lost or repeated by preemption"
    );
}

/// Guards against work and memory that remain after a request was cancelled.
#[test]
fn cancel_removes_work_and_memory() {
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

/// Guards against retained prefixes that save nothing or more than their prefill, that are kept beyond their limit or in
/// memory that requests need, and against engines that retain something although they are not configured to.
#[test]
fn a_retained_prefix_is_not_prefilled_again() {
    let prefixes = |own| {
        let document = Prefix {
            hash: 7,
            tokens: 20_000,
        };
        let whole = Prefix {
            hash: own,
            tokens: 21_000,
        };
        vec![document, whole]
    };
    let saved_ms = |limit, between: u64| {
        let figures = fleet::Engine {
            prefix_cache_tokens: limit,
            ..figures()
        };
        let mut engine = Engine::new(figures);
        let mut firsts = Vec::new();
        for (id, tokens) in [(1, 21_000), (2, between), (3, 21_000)] {
            let start = Instant::from_micros(id * 10_000_000);
            let prefixes = if id == 2 {
                Vec::new()
            } else {
                prefixes(100 + id)
            };
            engine.submit_with_prefixes(start, request(id, tokens, 1), prefixes);
            let log = run(&mut engine, start);
            firsts.push(time_of(&log, Event::Generated(id, 1)));
            assert!(engine.cached_tokens() <= limit);
        }
        firsts[0] - firsts[2]
    };
    let prefill_ms = figures().prefill_ms(20_000);
    // The rest of the prompt takes fewer steps, of 1.31 ms each.
    let held = saved_ms(50_000, 1_000);
    assert!((prefill_ms..prefill_ms + 15.0).contains(&held), "{held} ms");
    assert!(saved_ms(0, 1_000).abs() < 0.1);
    assert!(saved_ms(10_000, 1_000).abs() < 0.1);
    // A request that needs nearly all memory evicts the prefix.
    assert!(saved_ms(50_000, 95_000).abs() < 0.1);
}
