//! Arrivals and request bodies.

use primrosepin_bench::workload::{Kind, Load, MIXED, body};

const LOAD: Load = Load {
    mixture: MIXED,
    engine_rate: 100.0,
    plain_rate: 10.0,
    max_tokens: (16, 128),
    organisations: 10,
};

/// Guards against arrivals that depend on more than the seed; policies would be compared on
/// different load.
#[test]
fn arrivals_depend_on_the_seed_only() {
    let calls = LOAD.calls(5, 10_000_000);
    assert_eq!(calls, LOAD.calls(5, 10_000_000));
    assert_ne!(calls, LOAD.calls(6, 10_000_000));
    assert!(calls.is_sorted_by_key(|call| call.at_us));
}

/// Guards against prompt lengths or a rate that differ from the configured ones.
#[test]
fn the_mixture_has_one_long_prompt_in_fifty() {
    let calls = LOAD.calls(5, 1_000_000_000);
    let prompts: Vec<u64> = calls
        .iter()
        .filter_map(|call| match call.kind {
            Kind::Engine { prompt_tokens, .. } => Some(prompt_tokens),
            Kind::PlainGet | Kind::PlainPost => None,
        })
        .collect();
    let share = |low: u64, high: u64| {
        let inside = prompts.iter().filter(|tokens| (low..high).contains(tokens));
        inside.count() as f64 / prompts.len() as f64
    };
    assert!(
        (99_000..101_000).contains(&prompts.len()),
        "{}",
        prompts.len()
    );
    assert!((0.019..0.021).contains(&share(100_000, 1_000_001)));
    assert!((0.845..0.855).contains(&share(1_000, 8_000)));
    let mean = prompts.iter().sum::<u64>() as f64 / prompts.len() as f64;
    assert!((mean / MIXED.mean_tokens() - 1.0).abs() < 0.02, "{mean}");
}

/// Guards against bodies whose size does not match their stated number of tokens.
#[test]
fn a_body_is_as_long_as_its_tokens() {
    for (tokens, bytes) in [(1_000, 4), (1_000_000, 5)] {
        let body = body("lm", "u1", tokens, 16, bytes);
        assert_eq!(body.len(), tokens as usize * bytes);
        let value: serde_json::Value = serde_json::from_slice(&body).expect("body is JSON");
        assert_eq!(value["prompt_tokens"], tokens);
    }
}
