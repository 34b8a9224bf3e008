//! Simulation of a region in virtual time.

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

/// Guards against day files that cannot be read, and against unended requests, excess attempts,
/// overloaded cold starts, leaked memory and requests to zones that are out.
#[test]
fn no_day_violates_an_invariant() {
    let files = days();
    assert!(files.len() >= 6, "{files:?}");
    for file in files {
        let day = Day::read(&file).unwrap();
        let report = World::new(&day, Policy::Product, 1).run();
        assert_eq!(
            report.audit.violations(),
            0,
            "{}: {:?}",
            day.name,
            report.audit
        );
    }
}

/// Guards against nondeterminism, which would make comparisons between policies meaningless.
#[test]
fn runs_with_the_same_seed_are_identical() {
    let day = day("small-zones.jsonc");
    let first = World::new(&day, Policy::Product, 3).run();
    let second = World::new(&day, Policy::Product, 3).run();
    let same = format!("{first:?}") == format!("{second:?}");
    assert!(same, "worth {} and {}", first.worth, second.worth);
}

/// Guards against worth that is credited to requests that were not served.
#[test]
fn worth_is_earned_by_served_requests_only() {
    let day = day("small-heavy.jsonc");
    let report: Report = World::new(&day, Policy::Product, 2).run();
    let total_worth: f64 = report.records.iter().map(|record| record.worth).sum();
    let earned: f64 = report.records.iter().map(|record| record.earned).sum();
    assert!((report.whole - earned / total_worth).abs() < 1e-9);
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

/// Guards against an upper bound below an achieved result, and against one too loose to limit an
/// overload.
#[test]
fn the_bound_exceeds_results_and_limits_an_overload() {
    let mut day = day("small-calm.jsonc");
    let report = World::new(&day, Policy::Product, 1).run();
    assert!(report.whole <= bound(&day, &day.arrivals(1)));
    for class in &mut day.classes {
        class.per_s *= 6.0;
    }
    let crowded = bound(&day, &day.arrivals(1));
    assert!(
        crowded < 0.9,
        "bound too loose at six times the load: {crowded}"
    );
}

/// Guards against a baseline that serves nothing, and against a product that is no better than the
/// baselines.
#[test]
fn the_product_earns_more_than_the_baselines() {
    let day = day("small-calm.jsonc");
    let product = World::new(&day, Policy::Product, 1).run();
    for policy in [Policy::RoundRobin, Policy::LeastLoad] {
        let other = World::new(&day, policy, 1).run();
        assert_eq!(other.audit.without_end, 0);
        assert!(other.whole > 0.05, "{policy} serves nothing");
        assert!(product.whole > other.whole, "{policy}: {}", other.whole);
    }
}

/// Guards against invalid day files that are accepted.
#[test]
fn invalid_days_are_rejected() {
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

/// Guards against retained prefixes that change days whose engines retain nothing, and against a comparison in which both
/// policies are the same.
#[test]
fn retained_prefixes_matter_only_where_engines_retain_them() {
    let without = |name: &str| {
        let day = day(name);
        let run = |policy| format!("{:?}", World::new(&day, policy, 1).run().records);
        run(Policy::Product) == run(Policy::ProductWithoutPrefixes)
    };
    assert!(without("small-calm.jsonc"));
    assert!(!without("prefixes-one-hot.jsonc"));
}
