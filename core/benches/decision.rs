//! Duration of one placement decision: a short request arrives, is placed and ends.
//!
//! The goals are 20 µs with 309 targets and 200 µs with 3,400.
#![allow(missing_docs, reason = "criterion's macro adds a public function")]

use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use primrosepin_core::fingerprint::Fingerprint;
use primrosepin_core::inventory::{Inventory, Kind, Organisation, Rules, Service, Zone};
use primrosepin_core::registry::Config;
use primrosepin_core::request::{Arrival, End, Id};
use primrosepin_core::serving::effect::Effect;
use primrosepin_core::serving::event::Event;
use primrosepin_core::serving::{Policy, Reducer, Settings};
use primrosepin_core::target::{Announcement, Budget, Load, Model, State};
use primrosepin_core::time::Instant;
use primrosepin_core::vm;

const SEED: u64 = 7;

fn settings() -> Settings {
    Settings {
        vm: vm::Instance {
            name: "e1".into(),
            incarnation: vm::Incarnation(1),
        },
        address: vm::Address {
            peers: SocketAddr::from(([127, 0, 0, 1], 1)),
            callers: None,
        },
        zone: "a".into(),
        seeds: Vec::new(),
        other_zones: Vec::new(),
        control: Vec::new(),
        policy: Policy::Length,
    }
}

fn config() -> Config {
    Config {
        version: 1,
        inventory: Inventory {
            zones: vec![Zone {
                name: "a".into(),
                region: "r".into(),
                entries: vec!["e1".into()],
            }],
            services: vec![Service {
                name: "lm".into(),
                kind: Kind::Engine,
                models: vec!["m".into()],
                paths: Vec::new(),
                announce_keys_sha256: Vec::new(),
            }],
            organisations: vec![Organisation {
                name: "blue".into(),
                keys_sha256: Vec::new(),
                share: 1,
                max_running: u32::MAX,
            }],
            rules: Rules::default(),
        },
        zones_out: Vec::new(),
        targets_out: Vec::new(),
        zone_orders: Vec::new(),
    }
}

fn announcement(number: u32, load: u64) -> Announcement {
    Announcement {
        name: format!("target-{number:05}").into(),
        zone: "a".into(),
        service: "lm".into(),
        kind: Kind::Engine,
        address: SocketAddr::from(([127, 0, 0, 1], 2)),
        incarnation: 1,
        seq: 1,
        state: State::Warm,
        models: vec![Model {
            name: "m".into(),
            version: "1".into(),
        }],
        cold_budget: Budget {
            requests: 1,
            tokens: 8_000,
        },
        max_running: 32,
        kv_tokens: 400_000,
        prefill_tokens_per_s: 20_000,
        decode_tokens_per_s: 50,
        spans: false,
        checks_fencing: false,
        load: Load {
            running: 4,
            waiting: 0,
            prefill_tokens: load,
            kv_tokens_used: 40_000,
        },
    }
}

fn arrival(id: u128, tokens: u64) -> Box<Arrival> {
    Box::new(Arrival {
        id: Id(id),
        organisation: "blue".into(),
        service: "lm".into(),
        model: Some("m".into()),
        prompt_tokens: tokens,
        max_tokens: 200,
        prefix: [1, 2, 3, 4].into_iter().collect(),
        fingerprint: Fingerprint::new("POST", "lm", "/v1/completions", &id.to_le_bytes()),
        at_most_once: false,
        repeatable: true,
        key: None,
        deadline: None,
        handed_over: false,
    })
}

/// Creates a reducer whose targets report different loads and run three requests each on average.
fn loaded(targets: u32) -> (Reducer, Instant, u128) {
    let now = Instant::from_micros(1_000_000);
    let mut reducer = Reducer::new(settings(), SEED, now);
    let mut effects = Vec::new();
    reducer.apply(now, Event::Configured(Arc::new(config())), &mut effects);
    for number in 0..targets {
        let load = u64::from(number * 7_919 % 10_007);
        let event = Event::Announced(announcement(number, load));
        reducer.apply(now, event, &mut effects);
    }
    let mut id = 0;
    for _ in 0..targets * 3 {
        id += 1;
        reducer.apply(now, Event::Arrived(arrival(id, 500)), &mut effects);
    }
    (reducer, now, id)
}

fn decision(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision");
    for targets in [309, 3_400] {
        let (mut reducer, now, mut id) = loaded(targets);
        let now = now + Duration::from_millis(1);
        let mut effects = Vec::new();
        let parameter = BenchmarkId::from_parameter(targets);
        group.bench_function(parameter, |bencher| {
            bencher.iter(|| {
                id += 1;
                effects.clear();
                let event = Event::Arrived(arrival(id, 1_000));
                reducer.apply(now, event, &mut effects);
                let Some(Effect::Dispatch(dispatch)) = effects.first() else {
                    panic!("request was not dispatched: {effects:?}");
                };
                let attempt = dispatch.attempt;
                let end = End::Complete {
                    prompt_tokens: 1_000,
                    cached_tokens: 0,
                    generated_tokens: 200,
                };
                reducer.apply(now, Event::Ended { attempt, end }, &mut effects);
                black_box(&effects);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decision);
criterion_main!(benches);
