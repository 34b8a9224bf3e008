//! Simulated days with random overlapping disruptions, checked against the audit.
//!
//! `PRIMROSEPIN_REGION_SEED` and `PRIMROSEPIN_REGION_SEEDS` set the first seed and the number of
//! seeds. A seed that failed is added to [`REGRESSION_SEEDS`], with the cause of the failure.

use std::path::Path;

use primrosepin_bench::region::{Day, Disruption, Policy, World};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Seeds that run in CI: a fixed set, and all seeds that have failed.
const REGRESSION_SEEDS: [u64; 12] = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12];

/// Length of each day, s.
const LENGTH_S: f64 = 14.0;

fn setting(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Draws a day with two to six disruptions, which may overlap.
fn random_day(seed: u64) -> Day {
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
    day.disruptions = (0..random.random_range(2..=6))
        .map(|_| {
            let at_s = random.random_range(0.2..LENGTH_S - 2.0);
            let for_s = random.random_range(0.3..6.0);
            let share = random.random_range(0.05..0.6);
            let zone = random.random_range(0..day.zones.len());
            match random.random_range(0..7) {
                0 => Disruption::ZoneOut { at_s, for_s, zone },
                1 => Disruption::ZoneCold { at_s, for_s, zone },
                2 => Disruption::Crash { at_s, for_s, share },
                3 => Disruption::Slow {
                    at_s,
                    for_s,
                    share,
                    factor: random.random_range(1.5..10.0),
                },
                4 => Disruption::Leave { at_s, share },
                5 => Disruption::Lossy { at_s, for_s, share },
                _ => Disruption::VmsLost { at_s, for_s, share },
            }
        })
        .collect();
    day
}

/// Guards against unended requests, leaked memory and work, overloaded cold starts, and attempts
/// beyond the limit of the route, while disruptions overlap.
#[test]
fn overlapping_disruptions_violate_no_invariant() {
    let first = setting("PRIMROSEPIN_REGION_SEED");
    let count = setting("PRIMROSEPIN_REGION_SEEDS").unwrap_or(1);
    let seeds: Vec<u64> = match first {
        Some(first) => (first..first + count).collect(),
        None => REGRESSION_SEEDS.to_vec(),
    };
    let failures: Vec<String> = seeds
        .into_iter()
        .filter_map(|seed| {
            let day = random_day(seed);
            let report = World::new(&day, Policy::Product, seed).run();
            let disruptions = &day.disruptions;
            (report.audit.violations() > 0)
                .then(|| format!("seed {seed}: {:?} with {disruptions:?}", report.audit))
        })
        .collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
