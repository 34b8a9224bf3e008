//! Offline experiments with the decisions of a region.

use std::path::{Path, PathBuf};

use primrosepin_bench::region::{Day, Outcome, Policy, Report, World, bound};

fn day(name: &str) -> Day {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("days");
    Day::read(&folder.join(name)).unwrap()
}

fn days() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("days");
    let entries = std::fs::read_dir(folder).unwrap();
    let mut files: Vec<PathBuf> = entries.map(|entry| entry.unwrap().path()).collect();
    files.sort();
    files
}

/// Guards against days that cannot be read, and against requests without an end, too many attempts, cold
/// starts that get too much, memory that stays held and work in zones that are out.
#[test]
fn no_day_breaks_a_rule() {
    let files = days();
    assert!(files.len() >= 6, "{files:?}");
    for file in files {
        let day = Day::read(&file).unwrap();
        let report = World::new(&day, Policy::Product, 1).run();
        assert_eq!(report.audit.broken(), 0, "{}: {:?}", day.name, report.audit);
    }
}

/// Guards against figures that differ from run to run, which no comparison could use.
#[test]
fn a_seed_gives_the_same_figures() {
    let day = day("small-zones.jsonc");
    let first = World::new(&day, Policy::Product, 3).run();
    let second = World::new(&day, Policy::Product, 3).run();
    let same = format!("{first:?}") == format!("{second:?}");
    assert!(same, "worth {} and {}", first.worth, second.worth);
}

/// Guards against a report in which worth comes from requests that were not served.
#[test]
fn worth_follows_from_the_records() {
    let day = day("small-heavy.jsonc");
    let report: Report = World::new(&day, Policy::Product, 2).run();
    let owed: f64 = report.records.iter().map(|record| record.worth).sum();
    let earned: f64 = report.records.iter().map(|record| record.earned).sum();
    assert!((report.whole - earned / owed).abs() < 1e-9);
    for record in &report.records {
        let served = matches!(
            record.outcome,
            Outcome::OnTime | Outcome::LateFirst | Outcome::LatePause
        );
        assert_eq!(served, record.earned > 0.0, "{record:?}");
        assert!(record.earned <= record.worth);
    }
    let counted: usize = report.outcomes.iter().flatten().sum();
    assert_eq!(counted, report.records.len());
}

/// Guards against a bound below what was reached, and against one that does not bind.
#[test]
fn the_bound_binds() {
    let mut day = day("small-calm.jsonc");
    let report = World::new(&day, Policy::Product, 1).run();
    assert!(report.whole <= bound(&day, &day.arrivals(1)));
    for class in &mut day.classes {
        class.per_s *= 6.0;
    }
    let crowded = bound(&day, &day.arrivals(1));
    assert!(
        crowded < 0.9,
        "six times the load, and all on time: {crowded}"
    );
}

/// Guards against a baseline that does nothing, and against a product that does no better than it.
#[test]
fn the_product_serves_more_than_the_baselines() {
    let day = day("small-calm.jsonc");
    let product = World::new(&day, Policy::Product, 1).run();
    for policy in [Policy::RoundRobin, Policy::LeastLoad] {
        let other = World::new(&day, policy, 1).run();
        assert_eq!(other.audit.without_end, 0);
        assert!(other.whole > 0.05, "{policy} serves nothing");
        assert!(product.whole > other.whole, "{policy}: {}", other.whole);
    }
}

/// Guards against settings that are taken although they are wrong.
#[test]
fn wrong_days_are_refused() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("day.jsonc");
    let good = std::fs::read_to_string(&days()[0]).unwrap();
    for (from, to, expected) in [
        ("\"length_s\"", "\"lenght_s\"", "lenght_s"),
        ("\"class\": \"short\"", "\"class\": \"tiny\"", "tiny"),
        ("\"vms\": ", "\"vms\": 0, \"vmss\": ", "vmss"),
    ] {
        std::fs::write(&file, good.replacen(from, to, 1)).unwrap();
        let error = format!("{:#}", Day::read(&file).unwrap_err());
        assert!(error.contains(expected), "{error}");
    }
}
