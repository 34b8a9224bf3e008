//! Metrics of the entry process.
//!
//! Latencies are recorded by class and by organisation in separate histograms: combining the labels
//! would give 4,800 series per histogram at 1,200 organisations. Gaps between tokens are recorded
//! per read by class, but only as the mean of a request by organisation, since a lookup by
//! organisation for each token would cost more.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use primrosepin_core::request::Outcome;
use primrosepin_core::serving::Counters;
use primrosepin_telemetry::metrics::{Counter, Gauge, Histogram, Label};

use crate::driver::Snapshot;
use crate::node::Call;

/// Largest prompt of the classes `short`, `medium` and `long`; longer prompts are `huge`.
const CLASS_PROMPT_TOKENS_MAX: [(u64, &str); 3] =
    [(4_000, "short"), (32_000, "medium"), (128_000, "long")];

/// Histogram labels of one request.
#[derive(Debug)]
pub(crate) struct Labels {
    class: [Label; 1],
    organisation: [Label; 1],
}

/// Metrics of the entry process.
#[derive(Debug)]
pub(crate) struct Metrics {
    metrics: primrosepin_telemetry::metrics::Metrics,
    by_class: Latencies,
    by_organisation: Latencies,
    rejections: Counter<u64>,
    events: Counter<u64>,
    outcomes: Counter<u64>,
    reasons: Counter<u64>,
    running: Gauge<u64>,
    waiting: Gauge<u64>,
    targets: Gauge<u64>,
    members: Gauge<u64>,
    coordinator: Gauge<u64>,
    buffered: Gauge<u64>,
    /// Rejections by error code, for the status of operators.
    rejected: RefCell<BTreeMap<&'static str, u64>>,
    /// Reducer counters as of the last export.
    exported: RefCell<Counters>,
}

#[derive(Debug)]
struct Latencies {
    queue: Histogram<f64>,
    first_token: Histogram<f64>,
    gap: Histogram<f64>,
    total: Histogram<f64>,
}

impl Metrics {
    pub(crate) fn new(vm: &Arc<str>, zone: &Arc<str>) -> eyre::Result<Self> {
        let metrics = primrosepin_telemetry::metrics::Metrics::new("entry", vm, zone)?;
        let by_class = Latencies {
            queue: metrics.seconds("queue", "Time from arrival to the first attempt."),
            first_token: metrics.seconds("first_token", "Time from arrival to the first token."),
            gap: metrics.seconds("gap", "Time between two reads of a stream."),
            total: metrics.seconds("request", "Time from arrival to the end."),
        };
        let by_organisation = Latencies {
            queue: metrics.seconds(
                "organisation_queue",
                "Time from arrival to the first attempt.",
            ),
            first_token: metrics.seconds(
                "organisation_first_token",
                "Time from arrival to the first token.",
            ),
            gap: metrics.seconds(
                "organisation_mean_gap",
                "Mean time between two tokens of a stream.",
            ),
            total: metrics.seconds("organisation_request", "Time from arrival to the end."),
        };
        Ok(Self {
            by_class,
            by_organisation,
            rejections: metrics.counter(
                "rejections",
                "Requests rejected before a decision, by error code.",
            ),
            events: metrics.counter("events", "Events of the reducer, by name."),
            outcomes: metrics.counter("requests", "Requests that ended, by outcome."),
            reasons: metrics.counter("refusals", "Requests without a whole answer, by reason."),
            running: metrics.gauge("requests_live", "Requests without a final outcome."),
            waiting: metrics.gauge("requests_waiting", "Requests that wait for a target."),
            members: metrics.gauge(
                "members",
                "Entry VMs of the zone that are heard, with this one.",
            ),
            coordinator: metrics.gauge("coordinator", "Whether this VM holds the zone lease."),
            targets: metrics.gauge("targets", "Targets of the zone, by state."),
            buffered: metrics.gauge("buffered_bytes", "Bytes of request bodies that are held."),
            rejected: RefCell::default(),
            exported: RefCell::default(),
            metrics,
        })
    }

    /// Returns the labels of a request.
    pub(crate) fn labels(&self, organisation: &Arc<str>, prompt_tokens: u64) -> Labels {
        let class = CLASS_PROMPT_TOKENS_MAX
            .iter()
            .find(|(max, _)| prompt_tokens <= *max)
            .map_or("huge", |(_, class)| class);
        Labels {
            class: [Label::new("class", class)],
            organisation: [self.metrics.organisation(organisation)],
        }
    }

    /// Records the queueing time when the first attempt of a request is dispatched.
    pub(crate) fn dispatched(&self, call: &Call) {
        let time = call.arrived.elapsed().as_secs_f64();
        self.by_class.queue.record(time, &call.labels.class);
        self.by_organisation
            .queue
            .record(time, &call.labels.organisation);
    }

    /// Records the first token or the gap to the previous one when tokens of a stream are relayed.
    pub(crate) fn tokens_relayed(&self, call: &Call) {
        let now = Instant::now();
        if let Some(last) = call.last_token.replace(Some(now)) {
            let gap = (now - last).as_secs_f64();
            self.by_class.gap.record(gap, &call.labels.class);
        } else {
            let time = (now - call.arrived).as_secs_f64();
            call.first_token.set(Some(now));
            self.by_class.first_token.record(time, &call.labels.class);
            self.by_organisation
                .first_token
                .record(time, &call.labels.organisation);
        }
    }

    /// Records the end of a request.
    pub(crate) fn finished(&self, call: &Call) {
        let time = call.arrived.elapsed().as_secs_f64();
        self.by_class.total.record(time, &call.labels.class);
        self.by_organisation
            .total
            .record(time, &call.labels.organisation);
        if let (Some(first), Some(last)) = (call.first_token.get(), call.last_token.get())
            && call.delivered.get() > 1
        {
            let gap = (last - first).as_secs_f64() / f64::from(call.delivered.get() - 1);
            self.by_organisation
                .gap
                .record(gap, &call.labels.organisation);
        }
    }

    /// Counts a request that is rejected before it reaches the reducer.
    pub(crate) fn rejected(&self, code: &'static str) {
        *self.rejected.borrow_mut().entry(code).or_default() += 1;
        self.rejections.add(1, &[Label::new("code", code)]);
    }

    /// Returns the number of rejected requests by error code.
    pub(crate) fn rejections(&self) -> BTreeMap<&'static str, u64> {
        self.rejected.borrow().clone()
    }

    /// Returns all metrics in the Prometheus text format. `buffered` is the number of buffered body
    /// bytes.
    pub(crate) fn text(&self, snapshot: &Snapshot, buffered: usize) -> eyre::Result<String> {
        self.export(&snapshot.counters);
        self.running.record(snapshot.live as u64, &[]);
        self.waiting.record(snapshot.waiting as u64, &[]);
        let alive = snapshot
            .members
            .iter()
            .filter(|member| member.alive)
            .count();
        self.members.record(alive as u64 + 1, &[]);
        self.coordinator
            .record(u64::from(snapshot.epoch.is_some()), &[]);
        self.buffered.record(buffered as u64, &[]);
        let cold = snapshot.targets.iter().filter(|target| target.cold).count();
        let warm = snapshot.targets.len() - cold;
        self.targets
            .record(cold as u64, &[Label::new("state", "cold")]);
        self.targets
            .record(warm as u64, &[Label::new("state", "warm")]);
        self.metrics.text()
    }

    /// Adds the reducer's counts since the last export to the metrics.
    fn export(&self, counters: &Counters) {
        let exported = self.exported.replace(counters.clone());
        for ((name, total), (_, before)) in totals(counters).into_iter().zip(totals(&exported)) {
            self.events
                .add(total - before, &[Label::new("event", name)]);
        }
        for outcome in OUTCOMES {
            let increase = counters.outcome(outcome) - exported.outcome(outcome);
            self.outcomes
                .add(increase, &[Label::new("outcome", outcome.as_str())]);
        }
        for (reason, total) in &counters.reasons {
            let increase = total - exported.reasons.get(reason).copied().unwrap_or(0);
            self.reasons.add(increase, &[Label::new("reason", *reason)]);
        }
    }
}

pub(crate) const OUTCOMES: [Outcome; 4] = [
    Outcome::Answered,
    Outcome::NotRun,
    Outcome::Failed,
    Outcome::Unknown,
];

/// Returns the reducer's unlabelled counters with their names.
pub(crate) fn totals(counters: &Counters) -> [(&'static str, u64); 14] {
    [
        ("arrived", counters.arrived),
        ("dispatched", counters.dispatched),
        ("retries", counters.retries),
        ("retries_over_budget", counters.retries_over_budget),
        ("resumes", counters.resumes),
        ("late_events", counters.late_events),
        ("stale_announcements", counters.stale_announcements),
        ("conflicts", counters.conflicts),
        ("credits_asked", counters.credits_asked),
        ("credits_granted", counters.credits_granted),
        ("credits_denied", counters.credits_denied),
        ("handed_over", counters.handed_over),
        ("probes", counters.probes),
        ("replayed", counters.replayed),
    ]
}
