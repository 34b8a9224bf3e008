//! Stateful fuzzing: runs random histories of requests and faults and checks the promises.
//!
//! `PRIMROSEPIN_FUZZ_CASES` sets the number of histories and `PRIMROSEPIN_FUZZ_SEED` the seed. A failing
//! history is shrunk and printed in the format of the files in `tests/cases`.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::time::Instant;

use primrosepin_tests::world::Options;
use primrosepin_tests::{Step, World};
use proptest::prelude::*;
use proptest::strategy::Union;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::ReferenceStateMachine;

/// Default number of histories.
const HISTORIES: u64 = 48;

/// Default seed.
const SEED: u64 = 20_261_204;

/// Upper limit of the number of steps in a history, exclusive.
const STEPS_MAX: usize = 80;

/// State from which steps are generated that have an effect: which nodes are down or paused.
#[derive(Debug, Clone)]
struct Model {
    seed: u64,
    down: BTreeSet<u8>,
    paused: BTreeSet<u8>,
}

impl ReferenceStateMachine for Model {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        any::<u64>()
            .prop_map(|seed| Self {
                seed,
                down: BTreeSet::new(),
                paused: BTreeSet::new(),
            })
            .boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<Step> {
        let kilotokens = prop_oneof![6 => 1u16..8, 2 => 8u16..100, 1 => 100u16..1_000];
        let send = (0u8..6, kilotokens, proptest::option::weighted(0.3, 0u8..6)).prop_map(
            |(node, kilotokens, key)| Step::Send {
                node,
                kilotokens,
                key,
            },
        );
        let wait = prop_oneof![0u16..200, 200u16..5_000].prop_map(Step::Wait);
        let any_of = |make: fn(u8) -> Step| (0u8..6).prop_map(make).boxed();
        let one_of = |nodes: &BTreeSet<u8>, make: fn(u8) -> Step| {
            let nodes: Vec<u8> = nodes.iter().copied().collect();
            (!nodes.is_empty()).then(|| proptest::sample::select(nodes).prop_map(make).boxed())
        };
        let mut faults = vec![
            any_of(Step::CallerGone),
            any_of(Step::Kill),
            any_of(Step::Cold),
            any_of(Step::Silence),
            any_of(Step::Cut),
            any_of(Step::Drain),
            any_of(Step::Crash),
            any_of(Step::Pause),
            any_of(Step::Shutdown),
            any_of(Step::Isolate),
            any_of(Step::CutControl),
            Just(Step::Heal).boxed(),
            any_of(Step::ZoneOut),
            any_of(Step::ZoneIn),
            any_of(Step::TargetOut),
            any_of(Step::TargetIn),
        ];
        faults.extend(one_of(&state.down, Step::Restart));
        faults.extend(one_of(&state.paused, Step::Resume));
        prop_oneof![8 => send, 3 => wait, 4 => Union::new(faults)].boxed()
    }

    fn apply(mut state: Self, transition: &Step) -> Self {
        match *transition {
            Step::Crash(node) | Step::Shutdown(node) => drop(state.down.insert(node)),
            Step::Restart(node) => drop(state.down.remove(&node)),
            Step::Pause(node) => drop(state.paused.insert(node)),
            Step::Resume(node) => drop(state.paused.remove(&node)),
            _ => {}
        }
        state
    }

    fn preconditions(state: &Self, transition: &Step) -> bool {
        match transition {
            Step::Restart(node) => state.down.contains(node),
            Step::Resume(node) => state.paused.contains(node),
            Step::Crash(node) => !state.down.contains(node),
            _ => true,
        }
    }
}

fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// Guards against sequences of requests and faults that break a promise.
#[test]
fn random_histories_keep_the_promises() {
    let cases = env_number("PRIMROSEPIN_FUZZ_CASES", HISTORIES);
    let seed = env_number("PRIMROSEPIN_FUZZ_SEED", SEED);
    let config = Config {
        cases: cases as u32,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Config::default()
    };
    let histories = Model::sequential_strategy(1..STEPS_MAX);
    let totals = Cell::new([0; 4]);
    let started = Instant::now();
    let result = TestRunner::new(config).run(&histories, |(model, steps, executed)| {
        let mut world = World::new(Options::default(), model.seed);
        for &step in &steps {
            // The shrinker removes the steps that this counter shows as not executed.
            if let Some(executed) = &executed {
                executed.fetch_add(1, Ordering::SeqCst);
            }
            world.step(step);
        }
        world.settle();
        if let Some(violation) = world.violations().first() {
            let lines: Vec<String> = steps.iter().map(ToString::to_string).collect();
            let history = lines.join("\n");
            return Err(TestCaseError::fail(format!(
                "{violation}\nseed {}\n{history}\n",
                model.seed
            )));
        }
        let mut sum = totals.get();
        for (total, count) in sum.iter_mut().zip(world.outcomes()) {
            *total += count;
        }
        totals.set(sum);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
    let [answered, not_run, failed, unknown] = totals.get();
    println!(
        "{cases} histories with seed {seed}, {:.1} per second; answered {answered}, not run {not_run}, \
         failed {failed}, unknown {unknown}",
        cases as f64 / started.elapsed().as_secs_f64()
    );
    assert!(
        answered > 0,
        "no request was answered, so the histories exercise nothing"
    );
}
