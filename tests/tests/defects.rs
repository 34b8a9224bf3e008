//! For each promise one deliberate defect that its check catches.

use primrosepin_tests::world::Options;
use primrosepin_tests::{Defect, Promise, Step, World};

/// Faults and work that exercise all promises.
const HISTORY: &str = include_str!("cases/all-promises.txt");

/// Seed of the histories.
const SEED: u64 = 11;

fn run(defect: Option<Defect>) -> Vec<Promise> {
    let mut world = World::new(Options::default(), SEED);
    if let Some(defect) = defect {
        world = world.with_defect(defect);
    }
    // A shutdown is judged only while nothing else can interrupt a request.
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

/// Guards against a check that cannot fail.
#[test]
fn each_defect_is_caught_by_the_check_of_its_promise() {
    assert_eq!(
        run(None),
        [],
        "the history must keep all promises without a defect"
    );
    for (promise, defect) in Promise::ALL.into_iter().zip(Defect::ALL) {
        let broken = run(Some(defect));
        println!("{defect:?} breaks {broken:?}");
        assert!(
            broken.contains(&promise),
            "{defect:?} breaks {broken:?}, not {promise:?}"
        );
    }
}
