//! Replays recorded histories, one in each file of `tests/cases`.

use std::path::Path;

use primrosepin_tests::world::Options;
use primrosepin_tests::{Step, World};

/// Seed of files without a `seed` line.
const DEFAULT_SEED: u64 = 11;

/// Guards against regressions of failures that fuzzing found.
#[test]
fn recorded_histories_keep_the_promises() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/cases");
    let mut ran = 0;
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let text = std::fs::read_to_string(&path).unwrap();
        let lines = text
            .lines()
            .filter(|line| !line.is_empty() && !line.starts_with('#'));
        let (seeds, steps): (Vec<&str>, Vec<&str>) =
            lines.partition(|line| line.starts_with("seed "));
        let seed = seeds
            .first()
            .map_or(DEFAULT_SEED, |line| line[5..].parse().unwrap());
        let mut world = World::new(Options::default(), seed);
        for line in steps {
            world.step(line.parse::<Step>().unwrap());
        }
        world.settle();
        assert_eq!(
            world.violations(),
            [],
            "{}: {:#?}",
            path.display(),
            world.describe()
        );
        ran += 1;
    }
    assert!(ran >= 3, "expected at least 3 case files, found {ran}");
}
