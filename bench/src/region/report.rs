//! Scores of a simulated day.

use std::fmt::Write;

use serde::Serialize;

use super::{Arrival, Audit, Day, Policy};

/// Length of a time window, ms.
const WINDOW_MS: f64 = 2_000.0;

/// Price of a request that was retried after a refusal and still did not reach an engine, as a
/// share of its worth.
const REFUSED_RETRY_PRICE: f64 = 0.3;

/// Share of the objective for which an entry VM may hold a request that it then refuses, at no
/// price.
const FREE_HOLD_SHARE: f64 = 0.125;

/// Share of the timeout after which a held request that never reached an engine costs its full
/// worth.
const FULL_PRICE_HOLD_SHARE: f64 = 0.75;

/// Largest prompt lengths of the groups by which times to the first event are listed, tokens.
const LENGTHS: [u64; 5] = [4_000, 16_000, 64_000, 256_000, 1_000_000];

/// Final state of a request as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Outcome {
    /// Complete, with the first event and all gaps on time.
    OnTime,
    /// Complete, with a late first event.
    LateFirst,
    /// Complete, with the first event on time and a gap that was too long.
    LatePause,
    /// Refused, with no retry left.
    Refused,
    /// The caller gave up: its deadline passed, or no event came for too long.
    GivenUp,
    /// Ended before the answer was complete.
    Failed,
}

impl Outcome {
    const ALL: [Self; 6] = [
        Self::OnTime,
        Self::LateFirst,
        Self::LatePause,
        Self::Refused,
        Self::GivenUp,
        Self::Failed,
    ];
}

/// Result of one request.
#[derive(Debug, Clone, Serialize)]
pub struct Record {
    /// Arrival time since the start of the day, ms.
    pub at_ms: f64,
    /// Index of the class.
    pub class: usize,
    /// Index of the caller's zone.
    pub zone: usize,
    /// Index of the caller's organisation; zero if there are none.
    pub organisation: usize,
    /// Prompt length, tokens.
    pub prompt: u64,
    /// Score if the answer is on time.
    pub worth: f64,
    /// Score that the request earned.
    pub earned: f64,
    /// Deduction for a request that was held or refused without reaching an engine.
    pub price: f64,
    /// Final state.
    pub outcome: Outcome,
    /// Time from the arrival to the first event at the caller, ms.
    pub first_ms: Option<f64>,
    /// Predicted and measured time to the first event of the last dispatch, ms.
    pub predicted: Option<(f64, f64)>,
    /// Number of engines that prefilled parts of the prompt.
    pub readers: usize,
}

/// Outcome of a request as its caller saw it, before scoring.
#[derive(Debug, Clone, Copy)]
pub(super) struct Observed {
    pub(super) outcome: Outcome,
    /// Time from the arrival to the first event at the caller, ms.
    pub(super) first_ms: Option<f64>,
    /// Time of the end since the start of the day, ms.
    pub(super) end_ms: f64,
    /// Whether the caller retried the request after a refusal.
    pub(super) retried: bool,
    /// Whether an engine accepted the request at least once.
    pub(super) reached_engine: bool,
    pub(super) predicted: Option<(f64, f64)>,
    pub(super) readers: usize,
}

impl Record {
    pub(super) fn new(day: &Day, arrival: &Arrival, observed: Observed) -> Self {
        let class = &day.classes[arrival.class];
        let earned = match observed.outcome {
            Outcome::OnTime => arrival.worth,
            Outcome::LateFirst | Outcome::LatePause => arrival.late_worth,
            Outcome::Refused | Outcome::GivenUp | Outcome::Failed => 0.0,
        };
        let price = if earned > 0.0 || observed.reached_engine {
            0.0
        } else {
            let held_ms = observed.end_ms - arrival.at_ms;
            let free_ms = class.objective_ms as f64 * FREE_HOLD_SHARE;
            let full_price_ms = class.timeout_ms as f64 * FULL_PRICE_HOLD_SHARE;
            let part = match observed.outcome {
                Outcome::GivenUp => 1.0,
                _ => ((held_ms - free_ms) / (full_price_ms - free_ms)).clamp(0.0, 1.0),
            };
            arrival.worth
                * (part
                    + if observed.retried {
                        REFUSED_RETRY_PRICE
                    } else {
                        0.0
                    })
        };
        Self {
            at_ms: arrival.at_ms,
            class: arrival.class,
            zone: arrival.zone,
            organisation: arrival.organisation,
            prompt: arrival.prompt,
            worth: arrival.worth,
            earned,
            price,
            outcome: observed.outcome,
            first_ms: observed.first_ms,
            predicted: observed.predicted,
            readers: observed.readers,
        }
    }
}

/// Scores of one simulated day.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Name of the day.
    pub day: String,
    /// Name of the placement policy.
    pub policy: String,
    /// Seed of the run.
    pub seed: u64,
    /// Weighted sum of the parts, less the prices.
    pub worth: f64,
    /// Share of the worth of all requests that was earned.
    pub whole: f64,
    /// Mean share of the two worst time windows.
    pub windows: f64,
    /// Share earned by class.
    pub classes: Vec<f64>,
    /// Share earned by zone of the caller.
    pub zones: Vec<f64>,
    /// Sum of the prices divided by the worth of all requests.
    pub prices: f64,
    /// Number of requests by class and outcome, in the order of [`Outcome`].
    pub outcomes: Vec<[usize; 6]>,
    /// Prompt tokens that engines did not prefill because they retained them, relative to those of all requests; none
    /// if the engines retain none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub saved: Option<f64>,
    /// Violations of invariants.
    pub audit: Audit,
    /// Result of each request.
    pub records: Vec<Record>,
}

fn earned_share<'a, I>(records: I) -> Option<f64>
where
    I: Iterator<Item = &'a Record>,
{
    let (earned, total_worth) = records.fold((0.0, 0.0), |(earned, total_worth), record| {
        (earned + record.earned, total_worth + record.worth)
    });
    (total_worth > 0.0).then(|| earned / total_worth)
}

impl Report {
    pub(super) fn new(
        day: &Day,
        policy: Policy,
        seed: u64,
        records: Vec<Record>,
        saved_tokens: u64,
        audit: Audit,
    ) -> Self {
        let whole = earned_share(records.iter()).unwrap_or_default();
        let by =
            |select: &dyn Fn(&Record) -> bool| earned_share(records.iter().filter(|r| select(r)));
        let classes: Vec<f64> = (0..day.classes.len())
            .filter_map(|class| by(&|r| r.class == class))
            .collect();
        let zones: Vec<f64> = (0..day.zones.len())
            .filter_map(|zone| by(&|r| r.zone == zone))
            .collect();
        let count = (day.length_s * 1e3 / WINDOW_MS).ceil() as usize;
        let mut windows: Vec<f64> = (0..count)
            .filter_map(|window| by(&|r| (r.at_ms / WINDOW_MS) as usize == window))
            .collect();
        windows.sort_by(f64::total_cmp);
        windows.truncate(2);
        let windows = windows.iter().sum::<f64>() / windows.len().max(1) as f64;
        let total_worth: f64 = records.iter().map(|record| record.worth).sum();
        let prices = records.iter().map(|record| record.price).sum::<f64>() / total_worth.max(1.0);
        let worst = |parts: &[f64]| parts.iter().copied().fold(1.0, f64::min);
        let weights = day.weights;
        let worth = weights.day * whole
            + weights.windows * windows
            + weights.class * worst(&classes)
            + weights.zone * worst(&zones)
            - prices;
        let outcomes = (0..day.classes.len()).map(|class| {
            Outcome::ALL.map(|outcome| {
                let same = |r: &&Record| r.class == class && r.outcome == outcome;
                records.iter().filter(same).count()
            })
        });
        Self {
            day: day.name.clone(),
            policy: policy.to_string(),
            seed,
            worth,
            whole,
            windows,
            classes,
            zones,
            prices,
            outcomes: outcomes.collect(),
            saved: (day.engine.prefix_cache_tokens > 0).then(|| {
                let prompts: u64 = records.iter().map(|record| record.prompt).sum();
                saved_tokens as f64 / prompts.max(1) as f64
            }),
            audit,
            records,
        }
    }

    /// Writes the times to the first event by prompt length, over all seeds.
    fn write_lengths(table: &mut String, reports: &[Self]) {
        let mut shortest = 0;
        for longest in LENGTHS {
            let records = reports.iter().flat_map(|report| &report.records);
            let records = records.filter(|r| (shortest + 1..=longest).contains(&r.prompt));
            let records: Vec<&Record> = records.collect();
            let mut firsts: Vec<f64> = records.iter().filter_map(|r| r.first_ms).collect();
            firsts.sort_by(f64::total_cmp);
            if let Some(last) = firsts.len().checked_sub(1) {
                let quantile = |part: f64| firsts[(last as f64 * part).round() as usize];
                let on_time = records.iter().filter(|r| r.outcome == Outcome::OnTime);
                let _ = writeln!(
                    table,
                    "  tokens {shortest:>6} to {longest:>7}: {:>6} requests  on time {:.4}  first event mean {:.1} ms  p50 {:.1}  p90 {:.1}  p99 {:.1}",
                    records.len(),
                    on_time.count() as f64 / records.len() as f64,
                    firsts.iter().sum::<f64>() / firsts.len() as f64,
                    quantile(0.5),
                    quantile(0.9),
                    quantile(0.99),
                );
            }
            shortest = longest;
        }
    }

    /// Returns a table of the means over all seeds, with one line for each class.
    pub fn table(day: &Day, reports: &[Self], bounds: &[f64]) -> String {
        let mut table = String::new();
        let count = reports.len().max(1) as f64;
        let mean = |value: &dyn Fn(&Self) -> f64| reports.iter().map(value).sum::<f64>() / count;
        let worth = mean(&|r| r.worth);
        let variance = mean(&|r| (r.worth - worth).powi(2));
        let worst = |parts: &[f64]| parts.iter().copied().fold(1.0, f64::min);
        let policy = reports.first().map_or("none", |report| &report.policy);
        let _ = writeln!(
            table,
            "{:22} {policy:11} worth {worth:.4} +- {:.4}  day {:.4}  windows {:.4}  class {:.4}  zone {:.4}  prices {:.4}",
            day.name,
            (variance / count).sqrt(),
            mean(&|r| r.whole),
            mean(&|r| r.windows),
            mean(&|r| worst(&r.classes)),
            mean(&|r| worst(&r.zones)),
            mean(&|r| r.prices),
        );
        if !bounds.is_empty() {
            let bound = bounds.iter().sum::<f64>() / bounds.len() as f64;
            let _ = writeln!(table, "  bound of day {bound:.4}");
        }
        for (index, class) in day.classes.iter().enumerate() {
            let _ = write!(
                table,
                "  {:10} {:.4}",
                class.name,
                mean(&|r| r.classes.get(index).copied().unwrap_or_default())
            );
            for (outcome, name) in Outcome::ALL.iter().enumerate() {
                let _ = write!(
                    table,
                    "  {name:?} {:.1}",
                    mean(&|r| r.outcomes[index][outcome] as f64)
                );
            }
            table.push('\n');
        }
        if day.engine.prefix_cache_tokens > 0 {
            Self::write_lengths(&mut table, reports);
            let saved = mean(&|r| r.saved.unwrap_or_default());
            let _ = writeln!(table, "  prompt tokens not prefilled {saved:.4}");
        }
        for (index, organisation) in day.organisations.iter().enumerate() {
            let _ = write!(table, "  {:10}", organisation.name);
            for (outcome, name) in Outcome::ALL.iter().enumerate() {
                let count = mean(&|r| {
                    let own = r
                        .records
                        .iter()
                        .filter(|record| record.organisation == index);
                    own.filter(|record| record.outcome == Outcome::ALL[outcome])
                        .count() as f64
                });
                let _ = write!(table, "  {name:?} {count:.1}");
            }
            table.push('\n');
        }
        let audits = reports.iter().map(|r| r.audit.violations()).sum::<u64>();
        let _ = writeln!(table, "  rules broken {audits}");
        table
    }
}
