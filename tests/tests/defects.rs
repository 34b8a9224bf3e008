//! Injects a deliberate defect for each promise and expects its check to report it.

use primrosepin_tests::world::Options;
use primrosepin_tests::{Defect, Promise, Step, World};

/// Requests and faults that exercise all promises.
const HISTORY: &str = include_str!("cases/all-promises.txt");

/// Seed of every run.
const SEED: u64 = 11;

fn run(defect: Option<Defect>) -> Vec<Promise> {
    let mut world = World::new(Options::default(), SEED);
    if let Some(defect) = defect {
        world = world.with_defect(defect);
    }
    // The check of graceful shutdown applies only while no fault can interrupt a request.
    let without_faults = defect == Some(Defect::ShutdownCuts);
    let steps = HISTORY
        .lines()
        .filter(|line| !line.is_empty() && !line.starts_with('#'));
    for line in steps {
        let step: Step = line.parse().unwrap();
        let allowed = matches!(step, Step::Send { .. } | Step::Wait(_) | Step::Shutdown(_));
        if !without_faults || allowed {
            world.step(step);
        }
    }
    world.settle();
    let mut broken: Vec<Promise> = world
        .violations()
        .iter()
        .map(|found| found.promise)
        .collect();
    broken.sort();
    broken.dedup();
    broken
}

/// Guards against a check that never fails.
#[test]
fn each_defect_is_caught_by_the_check_of_its_promise() {
    assert_eq!(
        run(None),
        [],
        "the history breaks promises without an injected defect"
    );
    for (promise, defect) in Promise::ALL.into_iter().zip(Defect::ALL) {
        let broken = run(Some(defect));
        println!("{defect:?} breaks {broken:?}");
        assert!(
            broken.contains(&promise),
            "{defect:?} breaks {broken:?}; expected {promise:?} among them"
        );
    }
}
