//! Reports of scenarios.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::scenario::{Options, policy_name};

/// Upper limits of the prompt-length buckets, tokens.
pub const BUCKETS: [u64; 6] = [2_000, 4_000, 8_000, 32_000, 128_000, 1_000_000];

/// Percentiles of a measure.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// Histogram of values with three significant digits.
#[derive(Debug)]
pub struct Collector {
    histogram: Histogram<u64>,
    scale: f64,
}

impl Collector {
    /// Creates a histogram with a resolution of `1 / scale`.
    pub fn new(scale: f64) -> Self {
        let mut histogram = Histogram::new(3).expect("three significant digits are valid");
        histogram.auto(true);
        Self { histogram, scale }
    }

    /// Adds a value.
    pub fn add(&mut self, value: f64) {
        // `saturating_record` would clamp to the current range instead of extending it.
        if let Err(error) = self.histogram.record((value * self.scale).max(0.0) as u64) {
            log::error!("cannot record value in histogram: {error}");
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

    /// Returns the percentiles; zero if there are no values.
    pub fn percentiles(&self) -> Percentiles {
        let at = |quantile| self.histogram.value_at_quantile(quantile) as f64 / self.scale;
        Percentiles {
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
        }
    }
}

/// Calls of one bucket of prompt lengths.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Bucket {
    /// Longest prompt, tokens.
    pub prompt_tokens_max: u64,
    /// Calls sent.
    pub sent: u64,
    /// Calls with outcome `answered`.
    pub answered: u64,
    /// Time to first token since the scheduled send time.
    pub ttft_ms: Percentiles,
    /// Time to first token divided by that of the same prompt length on an idle engine.
    pub slowdown: Percentiles,
}

/// Counters of outcomes and violated guarantees, from the records of the stand-ins and the callers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Calls that were not refused as `not_run`.
    pub admitted: u64,
    /// Calls with outcome `answered`.
    pub answered: u64,
    /// Calls with outcome `not_run`.
    pub refused_not_run: u64,
    /// Calls with outcome `failed`.
    pub failed: u64,
    /// Calls with outcome `unknown`.
    pub outcome_unknown: u64,
    /// Calls without any outcome.
    pub lost: u64,
    /// Calls that got part of another call's answer, or an incomplete answer with outcome
    /// `answered`.
    pub mixed_up: u64,
    /// At-most-once calls that ran more than once.
    pub ran_twice: u64,
    /// Calls with outcome `not_run` that a stand-in ran.
    pub false_not_run: u64,
    /// KV tokens still held after all leases have expired.
    pub kv_tokens_leaked: u64,
    /// Crashes of targets that were overloaded during a cold start.
    pub cold_overruns: u64,
    /// Calls that ended more than 500 ms after their deadline.
    pub late_past_deadline: u64,
    /// Requests that reached a removed zone or target more than 3 s after the removal.
    pub work_after_removal: u64,
}

/// Calls due in one second of the load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Seconds since the start of the load.
    pub second: u64,
    /// Calls due.
    pub sent: u64,
    /// Calls of these that were answered.
    pub answered: u64,
    /// 95th percentile of their time to first token.
    pub p95_ttft_ms: f64,
}

/// Report of one run of a scenario.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Placement policy.
    pub policy: String,
    /// Seed of the arrivals and of all other random choices.
    pub seed: u64,
    /// Duration of the load, seconds.
    pub duration_s: u64,
    /// Speed of the engines, as a factor on their rates.
    pub speed: f64,
    /// Calls by prompt length.
    pub buckets: Vec<Bucket>,
    /// Calls with prompts up to 4,000 tokens.
    pub short: Bucket,
    /// Time between two consecutive reads with events of a stream.
    pub token_gap_ms: Percentiles,
    /// Plain calls.
    pub plain: Bucket,
    /// Prompt and generated tokens of answered calls that the engines processed per second, without
    /// the first fifth of the load.
    pub goodput_tokens_per_s: f64,
    /// Share of calls answered.
    pub answered_share: f64,
    /// Counters of outcomes and violated guarantees.
    #[serde(flatten)]
    pub counters: Counters,
    /// Number of calls that were not answered, by error code or HTTP status.
    pub codes: BTreeMap<String, u64>,
    /// Calls by the second in which they were due.
    pub seconds: Vec<Second>,
    /// Prompt length, and time to first token in ms, of a sample of calls.
    pub points: Vec<(u64, f64)>,
    /// Actions, each with its time in seconds since the start of the load.
    pub actions: Vec<(f64, String)>,
    /// Figures that are specific to the scenario.
    #[serde(default, skip_serializing_if = "Value::is_null")]
    pub extra: Value,
}

impl Report {
    /// Creates a report without load figures, for scenarios that report only `extra`.
    pub fn without_load(
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
        let _ = writeln!(out, "{}", format_fields(&counters));
    }

    /// Returns the report as a table for terminals.
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
            let _ = writeln!(out, "codes: {}", format_fields(&codes));
        }
        if !self.extra.is_null() {
            let _ = writeln!(out, "{}", format_fields(&self.extra));
        }
        out
    }
}

/// Formats the fields of an object in one line.
pub fn format_fields(value: &Value) -> String {
    let Some(object) = value.as_object() else {
        return value.to_string();
    };
    let fields: Vec<_> = object
        .iter()
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    fields.join(" ")
}

/// Returns a table of the second report's figures relative to the first's.
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
