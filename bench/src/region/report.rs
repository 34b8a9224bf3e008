//! What callers got on a day.

use std::fmt::Write;

use serde::Serialize;

use super::{Arrival, Audit, Day, Policy};

/// Length of a window, ms.
const WINDOW_MS: f64 = 2_000.0;

/// Price of a request that came back after a refusal and was refused again, in relation to its worth.
const REFUSED_AGAIN: f64 = 0.3;

/// Part of the objective for which a request may be held without a price before it is refused.
const HELD_FREE: f64 = 0.125;

/// Part of its time after which a request that was held and not offered costs its whole worth.
const HELD_WHOLE: f64 = 0.75;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Outcome {
    /// Whole, with first event and pauses on time.
    OnTime,
    /// Whole, with a late first event.
    LateFirst,
    /// Whole, with a pause that was too long.
    LatePause,
    /// Refused for good.
    Refused,
    /// The caller left, or its time was over.
    GivenUp,
    /// Broken off.
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

/// One request of a day.
#[derive(Debug, Clone, Serialize)]
pub struct Record {
    /// Time since the begin of the day, ms.
    pub at_ms: f64,
    /// Index of the class.
    pub class: usize,
    /// Index of the caller's zone.
    pub zone: usize,
    /// Prompt, tokens.
    pub prompt: u64,
    /// Worth if it is on time.
    pub worth: f64,
    /// Worth that it got.
    pub earned: f64,
    /// Price of how it was refused.
    pub price: f64,
    /// How it ended.
    pub outcome: Outcome,
    /// Time to the first event since the caller first asked, ms.
    pub first_ms: Option<f64>,
    /// Time to the first event that the last dispatch predicted, and that it took, ms.
    pub predicted: Option<(f64, f64)>,
    /// Targets that read the prompt.
    pub readers: usize,
}

/// What became of a request, as its caller saw it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Seen {
    pub(super) outcome: Outcome,
    pub(super) first_ms: Option<f64>,
    pub(super) end_ms: f64,
    /// Whether it came back after a refusal.
    pub(super) again: bool,
    /// Whether it was sent to an engine.
    pub(super) offered: bool,
    pub(super) predicted: Option<(f64, f64)>,
    pub(super) readers: usize,
}

impl Record {
    pub(super) fn new(day: &Day, arrival: &Arrival, seen: Seen) -> Self {
        let class = &day.classes[arrival.class];
        let earned = match seen.outcome {
            Outcome::OnTime => arrival.worth,
            Outcome::LateFirst | Outcome::LatePause => arrival.late_worth,
            Outcome::Refused | Outcome::GivenUp | Outcome::Failed => 0.0,
        };
        let price = if earned > 0.0 || seen.offered {
            0.0
        } else {
            let held = seen.end_ms - arrival.at_ms;
            let free = class.objective_ms as f64 * HELD_FREE;
            let whole = class.timeout_ms as f64 * HELD_WHOLE;
            let part = match seen.outcome {
                Outcome::GivenUp => 1.0,
                _ => ((held - free) / (whole - free)).clamp(0.0, 1.0),
            };
            arrival.worth * (part + if seen.again { REFUSED_AGAIN } else { 0.0 })
        };
        Self {
            at_ms: arrival.at_ms,
            class: arrival.class,
            zone: arrival.zone,
            prompt: arrival.prompt,
            worth: arrival.worth,
            earned,
            price,
            outcome: seen.outcome,
            first_ms: seen.first_ms,
            predicted: seen.predicted,
            readers: seen.readers,
        }
    }
}

/// Figures of one day.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Day.
    pub day: String,
    /// Policy.
    pub policy: String,
    /// Seed.
    pub seed: u64,
    /// Weighed parts less prices.
    pub worth: f64,
    /// Part of the worth of all requests that was earned.
    pub whole: f64,
    /// Mean of the two worst windows.
    pub windows: f64,
    /// The same by class.
    pub classes: Vec<f64>,
    /// The same by zone.
    pub zones: Vec<f64>,
    /// Prices in relation to the worth of all requests.
    pub prices: f64,
    /// Requests by class and outcome, in the order of [`Outcome`].
    pub outcomes: Vec<[usize; 6]>,
    /// What must never happen.
    pub audit: Audit,
    /// Requests.
    pub records: Vec<Record>,
}

fn part<'a, I>(records: I) -> Option<f64>
where
    I: Iterator<Item = &'a Record>,
{
    let (earned, owed) = records.fold((0.0, 0.0), |(earned, owed), record| {
        (earned + record.earned, owed + record.worth)
    });
    (owed > 0.0).then(|| earned / owed)
}

impl Report {
    pub(super) fn new(
        day: &Day,
        policy: Policy,
        seed: u64,
        records: Vec<Record>,
        audit: Audit,
    ) -> Self {
        let whole = part(records.iter()).unwrap_or_default();
        let by = |select: &dyn Fn(&Record) -> bool| part(records.iter().filter(|r| select(r)));
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
        let owed: f64 = records.iter().map(|record| record.worth).sum();
        let prices = records.iter().map(|record| record.price).sum::<f64>() / owed.max(1.0);
        let least = |parts: &[f64]| parts.iter().copied().fold(1.0, f64::min);
        let weights = day.weights;
        let worth = weights.day * whole
            + weights.windows * windows
            + weights.class * least(&classes)
            + weights.zone * least(&zones)
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
            audit,
            records,
        }
    }

    /// Returns a table of the means over seeds, with the figures of each class.
    pub fn table(day: &Day, reports: &[Self], bounds: &[f64]) -> String {
        let mut table = String::new();
        let count = reports.len().max(1) as f64;
        let mean = |value: &dyn Fn(&Self) -> f64| reports.iter().map(value).sum::<f64>() / count;
        let worth = mean(&|r| r.worth);
        let variance = mean(&|r| (r.worth - worth).powi(2));
        let least = |parts: &[f64]| parts.iter().copied().fold(1.0, f64::min);
        let policy = reports.first().map_or("none", |report| &report.policy);
        let _ = writeln!(
            table,
            "{:22} {policy:11} worth {worth:.4} +- {:.4}  day {:.4}  windows {:.4}  class {:.4}  zone {:.4}  prices {:.4}",
            day.name,
            (variance / count).sqrt(),
            mean(&|r| r.whole),
            mean(&|r| r.windows),
            mean(&|r| least(&r.classes)),
            mean(&|r| least(&r.zones)),
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
        let audits = reports.iter().map(|r| r.audit.broken()).sum::<u64>();
        let _ = writeln!(table, "  rules broken {audits}");
        table
    }
}
