//! Format of reports.

use primrosepin_bench::report::{Collector, Counters, Report, compare};
use primrosepin_bench::scenario::Options;
use primrosepin_bench::{plot, report};
use primrosepin_core::serving::Policy;
use serde_json::Value;

fn example(policy: Policy, answered: u64) -> Report {
    let options = Options {
        policy,
        seed: 7,
        duration_s: 60,
        speed: 2.0,
        load: None,
        controls: 3,
        prompt_tokens_max: None,
    };
    let mut report = Report::without_load("mixed-lengths", &options, Vec::new(), Value::Null);
    let mut ttft = Collector::new(1e3);
    for ms in [10.0, 20.0, 4_000.0] {
        ttft.add(ms);
    }
    report.buckets[0].sent = 10;
    report.buckets[0].answered = answered;
    report.buckets[0].ttft_ms = ttft.percentiles();
    report.counters = Counters {
        answered,
        ..Counters::default()
    };
    report.codes.insert("fleet_busy".into(), 1);
    report.seconds = vec![report::Second {
        second: 0,
        sent: 10,
        answered,
        p95_ttft_ms: 20.0,
    }];
    report.points = vec![(1_000, 10.0), (500_000, 4_000.0)];
    report.actions = vec![(15.0, "zone surat-a out".into())];
    report
}

/// Guards against changed field names or a changed structure, on which scripts depend.
#[test]
fn the_json_has_a_stable_shape() {
    let text =
        serde_json::to_string_pretty(&example(Policy::Length, 9)).expect("report serializes");
    insta::assert_snapshot!(text);
    let back: Report = serde_json::from_str(&text).expect("report deserializes");
    assert_eq!(back, example(Policy::Length, 9));
}

/// Guards against inverted ratios.
#[test]
fn a_comparison_is_relative_to_the_first() {
    let text = compare(
        &example(Policy::RoundRobin, 5),
        &example(Policy::Length, 10),
    );
    insta::assert_snapshot!(text);
}

/// Guards against plots that omit a report.
#[test]
fn plots_show_each_report() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let reports = [example(Policy::RoundRobin, 5), example(Policy::Length, 10)];
    let names = plot::write(&reports, folder.path()).expect("plots are written");
    for name in names {
        let svg = std::fs::read_to_string(folder.path().join(&name)).expect("plot is readable");
        assert!(svg.contains("round-robin"), "{name}");
        assert!(svg.contains("length"), "{name}");
    }
}
