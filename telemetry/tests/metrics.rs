//! Separate metrics for servers in one process, and the bound on label values.

use std::sync::Arc;

use primrosepin_telemetry::metrics::{Label, MAX_ORGANISATIONS, Metrics};

fn metrics(vm: &str) -> Metrics {
    Metrics::new("entry", &vm.into(), &"trnava-a".into()).expect("metrics")
}

/// Guards against counters shared between servers in one process.
#[test]
fn each_server_has_its_own_registry() {
    let (first, second) = (metrics("entry-1"), metrics("entry-2"));
    first.counter("requests", "Requests").add(3, &[]);
    second.counter("requests", "Requests").add(5, &[]);
    assert!(
        first
            .text()
            .unwrap()
            .contains("\nprimrosepin_requests_total 3\n")
    );
    let text = second.text().unwrap();
    assert!(text.contains("\nprimrosepin_requests_total 5\n"), "{text}");
    assert!(text.contains("vm=\"entry-2\""), "{text}");
}

/// Guards against unbounded label values, and against series dropped at the library's default limit of 2,000.
#[test]
fn organisations_past_the_limit_are_counted_as_other() {
    let metrics = metrics("entry-1");
    let requests = metrics.counter("requests", "Requests by organisation and outcome");
    for index in 0..MAX_ORGANISATIONS + 300 {
        let name: Arc<str> = format!("org-{index}").into();
        for outcome in ["answered", "not_run", "failed", "unknown"] {
            let labels = [metrics.organisation(&name), Label::new("outcome", outcome)];
            requests.add(1, &labels);
        }
    }
    let text = metrics.text().unwrap();
    let series = text
        .lines()
        .filter(|line| line.starts_with("primrosepin_requests_total{"));
    assert_eq!(series.count(), (MAX_ORGANISATIONS + 1) * 4);
    assert!(
        text.contains(
            "primrosepin_requests_total{organisation=\"other\",outcome=\"failed\"} 300\n"
        ),
    );
    assert!(!text.contains("otel_metric_overflow"));
}

/// Guards against exported histogram names without the unit, and against unescaped label values.
#[test]
fn histogram_names_and_labels_are_encoded() {
    let metrics = metrics("entry-1");
    let ttft = metrics.seconds("ttft", "Time to first token");
    ttft.record(0.3, &[metrics.organisation(&"a\"b\\c\nd".into())]);
    metrics.seconds("queue_seconds", "Queue").record(0.3, &[]);
    let text = metrics.text().unwrap();
    assert!(text.contains("primrosepin_queue_seconds_count 1"), "{text}");
    let label = r#"organisation="a\"b\\c\nd""#;
    assert!(
        text.contains("# TYPE primrosepin_ttft_seconds histogram"),
        "{text}"
    );
    assert!(
        text.contains(&format!(
            "primrosepin_ttft_seconds_bucket{{{label},le=\"0.5\"}} 1"
        )),
        "{text}"
    );
    assert!(
        text.contains(&format!("primrosepin_ttft_seconds_count{{{label}}} 1")),
        "{text}"
    );
}
