//! Reports of runs.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::scenario::{Options, policy_name};

/// Upper ends of the prompt-length buckets, tokens.
pub const BUCKETS: [u64; 6] = [2_000, 4_000, 8_000, 32_000, 128_000, 1_000_000];

/// Percentiles of a measure.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// Median.
    pub p50: f64,
    /// 95 in 100 are at most this.
    pub p95: f64,
    /// 99 in 100 are at most this.
    pub p99: f64,
}

/// Collects values into a histogram with three significant digits.
#[derive(Debug)]
pub struct Collector {
    histogram: Histogram<u64>,
    scale: f64,
}

impl Collector {
    /// Creates a collector that keeps values in units of `1 / scale`.
    pub fn new(scale: f64) -> Self {
        let mut histogram = Histogram::new(3).expect("three digits are supported");
        histogram.auto(true);
        Self { histogram, scale }
    }

    /// Adds a value.
    pub fn add(&mut self, value: f64) {
        // `saturating_record` would clamp to the current range instead of growing it.
        if let Err(error) = self.histogram.record((value * self.scale).max(0.0) as u64) {
            log::error!("a value was not recorded: {error}");
        }
    }

    /// Returns the number of values.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// Returns the largest value.
    pub fn max(&self) -> f64 {
        self.histogram.max() as f64 / self.scale
    }

    /// Returns the percentiles; zero without values.
    pub fn percentiles(&self) -> Percentiles {
        let at = |quantile| self.histogram.value_at_quantile(quantile) as f64 / self.scale;
        Percentiles {
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
        }
    }
}

/// Calls up to one prompt length.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Bucket {
    /// Longest prompt.
    pub prompt_tokens_max: u64,
    /// Calls sent.
    pub sent: u64,
    /// Calls with a whole answer.
    pub answered: u64,
    /// Time to first token from the intended send time.
    pub ttft_ms: Percentiles,
    /// Time to first token divided by that of the same length alone on an idle engine.
    pub slowdown: Percentiles,
}

/// Counters of promises; from the records of the stand-ins and the callers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Calls that were not refused as `not_run`.
    pub admitted: u64,
    /// Calls with the whole answer.
    pub answered: u64,
    /// Calls with outcome `not_run`.
    pub refused_not_run: u64,
    /// Calls with outcome `failed`.
    pub failed: u64,
    /// Calls with outcome `unknown`.
    pub outcome_unknown: u64,
    /// Calls without any outcome.
    pub lost: u64,
    /// Calls that got a part of another answer, or an incomplete answer called `answered`.
    pub mixed_up: u64,
    /// At-most-once calls that ran more than once.
    pub ran_twice: u64,
    /// Calls with outcome `not_run` that a stand-in ran.
    pub false_not_run: u64,
    /// KV tokens still held after all leases.
    pub kv_tokens_leaked: u64,
    /// Times that a target fell over because it got too much while cold.
    pub cold_overruns: u64,
    /// Calls that ended more than 500 ms after their deadline.
    pub late_past_deadline: u64,
    /// Requests that reached a removed zone or target more than 3 s after the removal.
    pub work_after_removal: u64,
}

/// One second of service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Second after the begin of the load.
    pub second: u64,
    /// Calls due.
    pub sent: u64,
    /// Of these, calls answered.
    pub answered: u64,
    /// Time to first token of calls due in this second.
    pub p95_ttft_ms: f64,
}

/// Report of one run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Scenario.
    pub scenario: String,
    /// Placement policy.
    pub policy: String,
    /// Seed of arrivals and choices.
    pub seed: u64,
    /// Length of the load, seconds.
    pub duration_s: u64,
    /// Factor on the engines' rates.
    pub speed: f64,
    /// Calls by prompt length.
    pub buckets: Vec<Bucket>,
    /// Prompts up to 4,000 tokens together.
    pub short: Bucket,
    /// Time between two pieces of a stream.
    pub token_gap_ms: Percentiles,
    /// Plain calls.
    pub plain: Bucket,
    /// Prompt and generated tokens of answered calls that the engines worked off in a second of the
    /// load, after its first fifth.
    pub goodput_tokens_per_s: f64,
    /// Share of calls answered.
    pub answered_share: f64,
    /// Counters of promises.
    #[serde(flatten)]
    pub counters: Counters,
    /// Error codes with their counts.
    pub codes: BTreeMap<String, u64>,
    /// Service over time.
    pub seconds: Vec<Second>,
    /// Prompt length and time to first token of a sample of calls.
    pub points: Vec<(u64, f64)>,
    /// What was done at which second.
    pub actions: Vec<(f64, String)>,
    /// Figures of one scenario only.
    #[serde(default, skip_serializing_if = "Value::is_null")]
    pub extra: Value,
}

impl Report {
    /// Creates a report of a scenario that has figures of its own only.
    pub fn empty(
        scenario: &str,
        options: &Options,
        actions: Vec<(f64, String)>,
        extra: Value,
    ) -> Self {
        let bucket = |prompt_tokens_max| Bucket {
            prompt_tokens_max,
            ..Bucket::default()
        };
        Self {
            scenario: scenario.into(),
            policy: policy_name(options.policy).into(),
            seed: options.seed,
            duration_s: options.duration_s,
            speed: options.speed,
            buckets: BUCKETS.map(bucket).to_vec(),
            short: bucket(4_000),
            token_gap_ms: Percentiles::default(),
            plain: bucket(0),
            goodput_tokens_per_s: 0.0,
            answered_share: 0.0,
            counters: Counters::default(),
            codes: BTreeMap::new(),
            seconds: Vec::new(),
            points: Vec::new(),
            actions,
            extra,
        }
    }

    fn write_calls(&self, out: &mut String) {
        use std::fmt::Write;
        // Writing to a string cannot fail.
        let _ = writeln!(
            out,
            "{:>12} {:>6} {:>8} {:>10} {:>10} {:>10} {:>8} {:>8} {:>8}",
            "prompt up to", "sent", "answered", "ttft p50", "p95", "p99", "slow p50", "p95", "p99"
        );
        let named = self
            .buckets
            .iter()
            .map(|bucket| (bucket.prompt_tokens_max.to_string(), bucket))
            .chain([
                ("short<=4000".into(), &self.short),
                ("plain".into(), &self.plain),
            ]);
        for (name, bucket) in named {
            let (ttft, slowdown) = (bucket.ttft_ms, bucket.slowdown);
            let _ = writeln!(
                out,
                "{name:>12} {:>6} {:>8} {:>10.1} {:>10.1} {:>10.1} {:>8.2} {:>8.2} {:>8.2}",
                bucket.sent,
                bucket.answered,
                ttft.p50,
                ttft.p95,
                ttft.p99,
                slowdown.p50,
                slowdown.p95,
                slowdown.p99
            );
        }
        let gap = self.token_gap_ms;
        let _ = writeln!(
            out,
            "between tokens p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms; goodput {:.0} tokens/s",
            gap.p50, gap.p95, gap.p99, self.goodput_tokens_per_s
        );
        let counters = serde_json::to_value(self.counters).unwrap_or_default();
        let _ = writeln!(out, "{}", flat(&counters));
    }

    /// Returns the table for people.
    pub fn table(&self) -> String {
        use std::fmt::Write;
        let mut out = String::new();
        // Writing to a string cannot fail.
        let _ = writeln!(
            out,
            "{} policy={} seed={} duration={}s speed={}",
            self.scenario, self.policy, self.seed, self.duration_s, self.speed
        );
        if self.buckets.iter().any(|bucket| bucket.sent > 0) {
            self.write_calls(&mut out);
        }
        if !self.codes.is_empty() {
            let codes = serde_json::to_value(&self.codes).unwrap_or_default();
            let _ = writeln!(out, "codes: {}", flat(&codes));
        }
        if !self.extra.is_null() {
            let _ = writeln!(out, "{}", flat(&self.extra));
        }
        out
    }
}

/// Prints the fields of an object in one line.
pub fn flat(value: &Value) -> String {
    let Some(object) = value.as_object() else {
        return value.to_string();
    };
    let fields: Vec<_> = object
        .iter()
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    fields.join(" ")
}

/// Prints the ratios of two reports, the second relative to the first.
pub fn compare(first: &Report, second: &Report) -> String {
    use std::fmt::Write;
    let ratio = |a: f64, b: f64| {
        if a > 0.0 {
            format!("{:.2}", b / a)
        } else {
            "-".into()
        }
    };
    let mut out = format!(
        "{} {} seed {} -> {} {} seed {}\n{:>12} {:>10} {:>10} {:>10} {:>10} {:>10}\n",
        first.scenario,
        first.policy,
        first.seed,
        second.scenario,
        second.policy,
        second.seed,
        "prompt up to",
        "answered",
        "ttft p50",
        "ttft p95",
        "slow p50",
        "slow p95"
    );
    let pairs = first
        .buckets
        .iter()
        .zip(&second.buckets)
        .map(|(a, b)| (a.prompt_tokens_max.to_string(), a, b))
        .chain([
            ("short<=4000".into(), &first.short, &second.short),
            ("plain".into(), &first.plain, &second.plain),
        ]);
    for (name, a, b) in pairs {
        // Writing to a string cannot fail.
        let _ = writeln!(
            out,
            "{name:>12} {:>10} {:>10} {:>10} {:>10} {:>10}",
            ratio(a.answered as f64, b.answered as f64),
            ratio(a.ttft_ms.p50, b.ttft_ms.p50),
            ratio(a.ttft_ms.p95, b.ttft_ms.p95),
            ratio(a.slowdown.p50, b.slowdown.p50),
            ratio(a.slowdown.p95, b.slowdown.p95),
        );
    }
    let _ = writeln!(
        out,
        "goodput {}",
        ratio(first.goodput_tokens_per_s, second.goodput_tokens_per_s)
    );
    let [before, after] = [first, second].map(|report| {
        let counters = serde_json::to_value(report.counters).unwrap_or_default();
        counters.as_object().cloned().unwrap_or_default()
    });
    for (name, value) in &before {
        let other = after.get(name).unwrap_or(&Value::Null);
        let _ = writeln!(out, "{name:>20} {value} -> {other}");
    }
    out
}
