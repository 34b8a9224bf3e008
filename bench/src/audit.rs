//! Counters and percentiles from the records of the stand-ins and the callers.
//!
//! Nothing comes from the product's own metrics. The only input from the product is the outcome
//! that it reported to the caller, which is checked against the stand-ins' records.

use std::collections::{BTreeMap, HashMap, HashSet};

use primrosepin_standin::Record;
use primrosepin_standin::engine;
use primrosepin_standin::record::End;

use crate::caller::{Observation, Outcome};
use crate::report::{BUCKETS, Bucket, Collector, Counters, Percentiles, Second};
use crate::workload::Kind;

/// Time allowed after a deadline for the transport of the last bytes, microseconds.
const DEADLINE_SLACK_US: u64 = 500_000;

/// Time after a removal within which new work may still reach a target, microseconds.
const REMOVAL_GRACE_US: u64 = 3_000_000;

/// Maximum number of points in a plot.
const POINTS_MAX: usize = 3_000;

/// A removal of targets, after which they must get no new work until their return.
#[derive(Debug, Clone, PartialEq)]
pub struct Removal {
    /// Names of the targets.
    pub targets: Vec<String>,
    /// Time at which the removal was accepted.
    pub from_us: u64,
    /// Time at which the return was requested; none if the targets stay out.
    pub until_us: Option<u64>,
}

/// Records of the stand-ins and removals, collected at the end of a run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Evidence {
    /// Records of the engines.
    pub engine_records: Vec<Record>,
    /// Records of the plain services.
    pub plain_records: Vec<Record>,
    /// KV tokens still held after all leases have expired.
    pub kv_tokens_leaked: u64,
    /// Crashes of targets that were overloaded during a cold start.
    pub cold_overruns: u64,
    /// Removals of zones and targets by operators.
    pub removals: Vec<Removal>,
}

/// Counts outcomes and violated guarantees.
pub fn counters(observations: &[Observation], evidence: &Evidence) -> Counters {
    let mut runs: HashMap<&str, u64> = HashMap::new();
    for record in &evidence.engine_records {
        if record.started_us > 0
            && let Some(user) = &record.user
        {
            *runs.entry(user).or_default() += 1;
        }
    }
    for record in &evidence.plain_records {
        if let Some(user) = &record.user {
            *runs.entry(user).or_default() += 1;
        }
    }
    let mut counters = Counters {
        kv_tokens_leaked: evidence.kv_tokens_leaked,
        cold_overruns: evidence.cold_overruns,
        ..Counters::default()
    };
    for call in observations {
        let ran = runs.get(call.call.user.as_str()).copied().unwrap_or(0);
        let counter = match call.outcome {
            Some(Outcome::Answered) => &mut counters.answered,
            Some(Outcome::NotRun) => &mut counters.refused_not_run,
            Some(Outcome::Failed) => &mut counters.failed,
            Some(Outcome::Unknown) => &mut counters.outcome_unknown,
            None => &mut counters.lost,
        };
        *counter += 1;
        if call.outcome == Some(Outcome::NotRun) {
            counters.false_not_run += u64::from(ran > 0);
        } else {
            counters.admitted += 1;
        }
        let incomplete = call.outcome == Some(Outcome::Answered) && !call.complete;
        counters.mixed_up += u64::from(call.foreign || incomplete);
        counters.ran_twice += u64::from(call.call.kind == Kind::PlainPost && ran > 1);
        let limit_us = call.deadline_ms * 1000 + DEADLINE_SLACK_US;
        counters.late_past_deadline += u64::from(call.end_us - call.due_us > limit_us);
    }
    let records = evidence
        .engine_records
        .iter()
        .chain(&evidence.plain_records);
    for record in records {
        let late = evidence.removals.iter().any(|removal| {
            removal.targets.contains(&record.target)
                && record.received_us > removal.from_us + REMOVAL_GRACE_US
                && removal
                    .until_us
                    .is_none_or(|until_us| record.received_us < until_us)
        });
        counters.work_after_removal += u64::from(late);
    }
    counters
}

/// Returns the prompt and generated tokens of answered calls that the engines processed within a
/// time span. The tokens of a run are spread evenly over its duration, so that a run across an edge
/// of the span counts in part.
pub fn goodput_tokens(
    observations: &[Observation],
    evidence: &Evidence,
    from_us: u64,
    to_us: u64,
) -> f64 {
    let answered: HashSet<&str> = observations
        .iter()
        .filter(|call| call.outcome == Some(Outcome::Answered))
        .map(|call| call.call.user.as_str())
        .collect();
    let good = evidence.engine_records.iter().filter(|record| {
        let user = record.user.as_deref();
        record.end == End::Completed && user.is_some_and(|user| answered.contains(user))
    });
    good.map(|record| {
        let tokens = (record.prompt_tokens + record.generated_tokens) as f64;
        let length_us = record.ended_us.saturating_sub(record.started_us).max(1);
        let inside_us = record
            .ended_us
            .min(to_us)
            .saturating_sub(record.started_us.max(from_us));
        tokens * inside_us as f64 / length_us as f64
    })
    .sum()
}

/// Latency figures of a run.
#[derive(Debug)]
pub struct Summary {
    /// Calls by prompt length.
    pub buckets: Vec<Bucket>,
    /// Calls with prompts up to 4,000 tokens.
    pub short: Bucket,
    /// Plain calls. Their slowdown is relative to a call on the idle deployment.
    pub plain: Bucket,
    /// Time between two consecutive reads with events of a stream.
    pub token_gap_ms: Percentiles,
    /// Calls that were not answered, by error code or HTTP status.
    pub codes: BTreeMap<String, u64>,
    /// Calls by the second in which they were due.
    pub seconds: Vec<Second>,
    /// Prompt length, and time to first token in ms, of a sample of calls.
    pub points: Vec<(u64, f64)>,
}

struct BucketBuilder {
    max: u64,
    sent: u64,
    answered: u64,
    ttft: Collector,
    slowdown: Collector,
}

impl BucketBuilder {
    fn new(max: u64) -> Self {
        Self {
            max,
            sent: 0,
            answered: 0,
            ttft: Collector::new(1e3),
            slowdown: Collector::new(1e3),
        }
    }

    fn add(&mut self, call: &Observation, idle_ms: f64) {
        self.sent += 1;
        if call.outcome != Some(Outcome::Answered) {
            return;
        }
        self.answered += 1;
        if let Some(ttft_ms) = call.ttft_ms() {
            self.ttft.add(ttft_ms);
            self.slowdown.add(ttft_ms / idle_ms);
        }
    }

    fn bucket(&self) -> Bucket {
        Bucket {
            prompt_tokens_max: self.max,
            sent: self.sent,
            answered: self.answered,
            ttft_ms: self.ttft.percentiles(),
            slowdown: self.slowdown.percentiles(),
        }
    }
}

/// Summarises the observations of the callers. Slowdown is relative to the time to first token of
/// the engine model on an idle engine, and to `plain_idle_ms` for plain calls.
pub fn summarise(
    observations: &[Observation],
    begin_us: u64,
    model: &engine::Settings,
    plain_idle_ms: f64,
) -> Summary {
    let mut buckets: Vec<_> = BUCKETS.iter().map(|max| BucketBuilder::new(*max)).collect();
    let (mut short, mut plain) = (BucketBuilder::new(4_000), BucketBuilder::new(0));
    let mut gaps = Collector::new(1e3);
    let mut codes: BTreeMap<String, u64> = BTreeMap::new();
    let mut seconds: BTreeMap<u64, (Second, Collector)> = BTreeMap::new();
    let mut points = Vec::new();
    for call in observations {
        let answered = call.outcome == Some(Outcome::Answered);
        let second = call.due_us.saturating_sub(begin_us) / 1_000_000;
        let (slot, ttft) = seconds
            .entry(second)
            .or_insert_with(|| (Second::default(), Collector::new(1e3)));
        slot.second = second;
        slot.sent += 1;
        slot.answered += u64::from(answered);
        if !answered {
            let code = if call.code.is_empty() {
                format!("status {}", call.status)
            } else {
                call.code.clone()
            };
            *codes.entry(code).or_default() += 1;
        }
        let Kind::Engine { prompt_tokens, .. } = call.call.kind else {
            plain.add(call, plain_idle_ms);
            continue;
        };
        let idle_ms = model.ttft_alone_ms(prompt_tokens);
        let index = buckets
            .iter()
            .position(|bucket| prompt_tokens <= bucket.max);
        let last = buckets.len() - 1;
        buckets[index.unwrap_or(last)].add(call, idle_ms);
        if prompt_tokens <= short.max {
            short.add(call, idle_ms);
        }
        for gap_us in &call.gaps_us {
            gaps.add(f64::from(*gap_us) / 1e3);
        }
        if answered && let Some(ttft_ms) = call.ttft_ms() {
            ttft.add(ttft_ms);
            if points.len() < POINTS_MAX {
                points.push((prompt_tokens, (ttft_ms * 10.0).round() / 10.0));
            }
        }
    }
    Summary {
        buckets: buckets.iter().map(BucketBuilder::bucket).collect(),
        short: short.bucket(),
        plain: plain.bucket(),
        token_gap_ms: gaps.percentiles(),
        codes,
        seconds: seconds
            .into_values()
            .map(|(mut second, ttft)| {
                second.p95_ttft_ms = ttft.percentiles().p95;
                second
            })
            .collect(),
        points,
    }
}
