//! Days of a region: what arrives, and what goes wrong.

use std::path::Path;

use eyre::WrapErr;
use primrosepin_core::fleet::Engine;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Deserialize;

/// A day.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// Name in tables.
    pub name: String,
    /// Time in which requests arrive, s.
    pub length_s: f64,
    /// Availability zones.
    pub zones: Vec<Zone>,
    /// Figures of every engine.
    pub engine: Engine,
    /// Requests that wait at an engine before it refuses more.
    pub queue: usize,
    /// Requests in a second that an engine in cold start bears.
    pub cold_per_s: f64,
    /// One-way time between zones, ms.
    pub cross_zone_ms: f64,
    /// Kinds of request.
    pub classes: Vec<Class>,
    /// Times with another rate of a class.
    pub bursts: Vec<Burst>,
    /// Faults and planned work.
    pub troubles: Vec<Trouble>,
    /// How the parts of the result are weighed.
    pub weights: Weights,
}

/// An availability zone.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Entry VMs.
    pub vms: usize,
    /// Engines.
    pub engines: usize,
    /// Share of the callers.
    pub callers: f64,
}

/// A kind of request.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name, also of its route.
    pub name: String,
    /// Requests in a second, over all zones.
    pub per_s: f64,
    /// Prompt, tokens.
    pub prompt: Size,
    /// Answer, tokens.
    pub answer: Size,
    /// Time to the first event that is on time, ms.
    pub objective_ms: u64,
    /// Longest pause between events that is on time, ms.
    pub gap_ms: u64,
    /// Time that the caller and the route allow, ms.
    pub timeout_ms: u64,
    /// Worth of an answer of mean size that is on time.
    pub worth: f64,
    /// Worth of a late one.
    pub late_worth: f64,
    /// Times that a caller comes back after a refusal.
    pub retries: u32,
}

/// A size, from a log-normal distribution.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Mean.
    pub mean: f64,
    /// Standard deviation in relation to the mean.
    pub spread: f64,
    /// Largest.
    pub max: f64,
}

/// A time with another rate of a class.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Class.
    pub class: String,
    /// Begin, s.
    pub at_s: f64,
    /// Length, s.
    pub for_s: f64,
    /// Factor on the rate.
    pub factor: f64,
}

/// A fault or planned work.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "kind")]
pub enum Trouble {
    /// The engines of a zone are to get nothing.
    ZoneOut {
        /// Begin, s.
        at_s: f64,
        /// Length, s.
        for_s: f64,
        /// Index of the zone.
        zone: usize,
    },
    /// The engines of a zone stop, and come back cold.
    ZoneCold {
        /// Begin, s.
        at_s: f64,
        /// Length, s.
        for_s: f64,
        /// Index of the zone.
        zone: usize,
    },
    /// Engines fall silent, and come back cold.
    Crash {
        /// Begin, s.
        at_s: f64,
        /// Length, s.
        for_s: f64,
        /// Share of all engines.
        share: f64,
    },
    /// Engines take longer for everything.
    Slow {
        /// Begin, s.
        at_s: f64,
        /// Length, s.
        for_s: f64,
        /// Share of all engines.
        share: f64,
        /// Factor on all times.
        factor: f64,
    },
    /// Engines say that they leave, and leave for good.
    Leave {
        /// Begin, s.
        at_s: f64,
        /// Share of all engines.
        share: f64,
    },
    /// Messages between entry VMs are lost.
    Lossy {
        /// Begin, s.
        at_s: f64,
        /// Length, s.
        for_s: f64,
        /// Share of the messages.
        share: f64,
    },
    /// Entry VMs are killed and start again.
    VmsLost {
        /// Begin, s.
        at_s: f64,
        /// Length, s.
        for_s: f64,
        /// Share of all entry VMs.
        share: f64,
    },
}

/// How the parts of a result are weighed; the sum is 1.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Whole day.
    pub day: f64,
    /// Mean of the two worst windows.
    pub windows: f64,
    /// Worst class.
    pub class: f64,
    /// Worst zone.
    pub zone: f64,
}

/// A request of a day.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// Time since the begin of the day, ms.
    pub at_ms: f64,
    /// Index of the class.
    pub class: usize,
    /// Index of the caller's zone.
    pub zone: usize,
    /// Prompt, tokens.
    pub prompt: u64,
    /// Answer, tokens.
    pub answer: u64,
    /// Worth if it is on time.
    pub worth: f64,
    /// Worth if it is late.
    pub late_worth: f64,
}

impl Size {
    fn draw(&self, random: &mut StdRng) -> f64 {
        let variance = (1.0 + self.spread * self.spread).ln();
        // Two uniform draws give one of a normal distribution (Box-Muller).
        let (first, second) = (1.0 - random.random::<f64>(), random.random::<f64>());
        let normal = (-2.0 * first.ln()).sqrt() * (std::f64::consts::TAU * second).cos();
        let value = self.mean * (normal * variance.sqrt() - variance / 2.0).exp();
        value.clamp(1.0, self.max)
    }
}

impl Day {
    /// Reads a day from a file of JSON with comments.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, is no JSON, or has a field that is missing, unknown or
    /// out of range.
    pub fn read(file: &Path) -> eyre::Result<Self> {
        let text = std::fs::read_to_string(file).wrap_err_with(|| file.display().to_string())?;
        let day: Self =
            jsonc_parser::parse_to_serde_value(&text, &jsonc_parser::ParseOptions::default())
                .map_err(|error| eyre::eyre!("{}: {error}", file.display()))?;
        day.check().wrap_err_with(|| file.display().to_string())?;
        Ok(day)
    }

    fn check(&self) -> eyre::Result<()> {
        eyre::ensure!(self.length_s > 0.0, "length_s must be above 0");
        eyre::ensure!(!self.classes.is_empty(), "classes must not be empty");
        let vms = self.zones.iter().all(|zone| zone.vms > 0);
        eyre::ensure!(vms && !self.zones.is_empty(), "each zone needs an entry VM");
        for burst in &self.bursts {
            let known = self.classes.iter().any(|class| class.name == burst.class);
            eyre::ensure!(
                known,
                "burst of class {:?}, which is not there",
                burst.class
            );
        }
        for trouble in &self.troubles {
            if let Trouble::ZoneOut { zone, .. } | Trouble::ZoneCold { zone, .. } = trouble {
                eyre::ensure!(*zone < self.zones.len(), "zone {zone} is not there");
            }
        }
        Ok(())
    }

    /// Draws the requests of the day, ordered by time.
    pub fn arrivals(&self, seed: u64) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        for (index, class) in self.classes.iter().enumerate() {
            let mut random =
                StdRng::seed_from_u64(seed.wrapping_mul(31).wrapping_add(index as u64));
            let bursts = || self.bursts.iter().filter(|burst| burst.class == class.name);
            let most = bursts().fold(1.0_f64, |most, burst| most.max(burst.factor));
            let mut at_s = 0.0;
            loop {
                // Thinning: arrivals at the highest rate, of which the current rate keeps its part.
                at_s -= (1.0 - random.random::<f64>()).ln() / (class.per_s * most);
                if at_s >= self.length_s {
                    break;
                }
                let now = bursts().find(|b| (b.at_s..b.at_s + b.for_s).contains(&at_s));
                let factor = now.map_or(1.0, |burst| burst.factor);
                if random.random::<f64>() * most >= factor {
                    continue;
                }
                let prompt = class.prompt.draw(&mut random);
                let answer = class.answer.draw(&mut random);
                // The sheets weigh a request by its size, up to four times the mean.
                let size = (0.3 + 0.7 * prompt / class.prompt.mean).min(4.0);
                arrivals.push(Arrival {
                    at_ms: at_s * 1e3,
                    class: index,
                    zone: self.draw_zone(&mut random),
                    prompt: prompt as u64,
                    answer: answer as u64,
                    worth: class.worth * size,
                    late_worth: class.late_worth * size,
                });
            }
        }
        arrivals.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        arrivals
    }

    fn draw_zone(&self, random: &mut StdRng) -> usize {
        let total: f64 = self.zones.iter().map(|zone| zone.callers).sum();
        let mut point = random.random::<f64>() * total;
        for (index, zone) in self.zones.iter().enumerate() {
            if point < zone.callers {
                return index;
            }
            point -= zone.callers;
        }
        self.zones.len() - 1
    }
}
