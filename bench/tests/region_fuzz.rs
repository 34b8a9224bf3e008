//! Days with random faults, at random moments and more than one at a time, against the audit of the region.
//!
//! `PRIMROSEPIN_REGION_SEED` and `PRIMROSEPIN_REGION_SEEDS` choose the first seed and how many follow. A seed
//! that failed stays in [`KEPT`], with its cause.

use std::path::Path;

use primrosepin_bench::region::{Day, Policy, Trouble, World};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Seeds that run in CI: fixed ones, and all that ever failed.
const KEPT: [u64; 12] = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12];

/// Length of a day, s.
const LENGTH_S: f64 = 14.0;

fn setting(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Draws a day with two to six faults that overlap.
fn draw(seed: u64) -> Day {
    let mut random = StdRng::seed_from_u64(seed);
    let files = ["small-heavy.jsonc", "small-zones.jsonc"];
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("days");
    let mut day = Day::read(&folder.join(files[random.random_range(0..2)])).unwrap();
    day.name = format!("random-{seed}");
    day.length_s = LENGTH_S;
    for class in &mut day.classes {
        class.per_s *= random.random_range(0.5..1.8);
    }
    for burst in &mut day.bursts {
        burst.at_s /= 2.5;
        burst.for_s /= 2.5;
    }
    day.troubles = (0..random.random_range(2..=6))
        .map(|_| {
            let at_s = random.random_range(0.2..LENGTH_S - 2.0);
            let for_s = random.random_range(0.3..6.0);
            let share = random.random_range(0.05..0.6);
            let zone = random.random_range(0..day.zones.len());
            match random.random_range(0..7) {
                0 => Trouble::ZoneOut { at_s, for_s, zone },
                1 => Trouble::ZoneCold { at_s, for_s, zone },
                2 => Trouble::Crash { at_s, for_s, share },
                3 => Trouble::Slow {
                    at_s,
                    for_s,
                    share,
                    factor: random.random_range(1.5..10.0),
                },
                4 => Trouble::Leave { at_s, share },
                5 => Trouble::Lossy { at_s, for_s, share },
                _ => Trouble::VmsLost { at_s, for_s, share },
            }
        })
        .collect();
    day
}

/// Guards against requests without an end, memory and work that nobody gives back, cold starts that get too
/// much, and more attempts than a route allows, while faults overlap.
#[test]
fn no_mix_of_faults_breaks_a_rule() {
    let first = setting("PRIMROSEPIN_REGION_SEED");
    let count = setting("PRIMROSEPIN_REGION_SEEDS").unwrap_or(1);
    let seeds: Vec<u64> = match first {
        Some(first) => (first..first + count).collect(),
        None => KEPT.to_vec(),
    };
    let broken: Vec<String> = seeds
        .into_iter()
        .filter_map(|seed| {
            let day = draw(seed);
            let report = World::new(&day, Policy::Product, seed).run();
            let troubles = &day.troubles;
            (report.audit.broken() > 0)
                .then(|| format!("seed {seed}: {:?} with {troubles:?}", report.audit))
        })
        .collect();
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
