//! Simulated workloads of a region: arrivals and disruptions.

use std::path::Path;

use eyre::WrapErr;
use primrosepin_core::fleet::{Engine, PartId, SizedPart, SizedParts};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Deserialize;

/// A simulated workload, read from a JSON file: fleet, request classes, disruptions and the weights
/// of the score.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// Name in tables and reports.
    pub name: String,
    /// Time span in which requests arrive, s.
    pub length_s: f64,
    /// Availability zones.
    pub zones: Vec<Zone>,
    /// Performance model that every engine uses.
    pub engine: Engine,
    /// Requests that may wait at an engine besides those in its slots; it refuses further ones.
    pub queue: usize,
    /// Request rate that an engine in cold start can serve, per second.
    pub cold_per_s: f64,
    /// One-way latency between zones, ms.
    pub cross_zone_ms: f64,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Organisations of the callers; none if callers have no keys.
    #[serde(default)]
    pub organisations: Vec<Organisation>,
    /// Periods in which the arrival rate of a class differs.
    pub bursts: Vec<Burst>,
    /// Faults and planned changes.
    #[serde(rename = "troubles")]
    pub disruptions: Vec<Disruption>,
    /// Weights of the parts of the score.
    pub weights: Weights,
}

/// An availability zone.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Number of entry VMs.
    pub vms: usize,
    /// Number of engines.
    pub engines: usize,
    /// Share of the callers, relative to the sum over all zones.
    pub callers: f64,
}

/// An organisation of callers.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: String,
    /// Share of the requests of every class, relative to the sum over all organisations.
    pub load: f64,
    /// Whether its callers ignore retry times and repeat refused requests at once until their timeout.
    #[serde(default)]
    pub repeats_at_once: bool,
}

/// A request class.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class and of its route.
    pub name: String,
    /// Requests per second, over all zones.
    pub per_s: f64,
    /// Prompt length, tokens.
    pub prompt: Size,
    /// Answer length, tokens.
    pub answer: Size,
    /// Longest time to the first event that counts as on time, ms.
    pub objective_ms: u64,
    /// Longest gap between events that counts as on time, ms.
    pub gap_ms: u64,
    /// Timeout of the caller and of the route, ms.
    pub timeout_ms: u64,
    /// Score of an on-time answer to a request whose prompt has the mean length.
    pub worth: f64,
    /// Score of a late answer to such a request.
    pub late_worth: f64,
    /// Retries of a caller after a refusal or a closed connection.
    pub retries: u32,
    /// Priority; 0 is the highest.
    #[serde(default = "usual_priority")]
    pub priority: u8,
    /// Prefixes that prompts share; without them, no two prompts have a part in common.
    #[serde(default)]
    pub prefixes: Option<Prefixes>,
}

/// Prefixes that the prompts of a class share, such as instructions or documents.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Prefixes {
    /// Number of different prefixes.
    pub count: u32,
    /// Length of each prefix, tokens. Prompts that are not longer have none.
    pub tokens: u64,
    /// Share of the longer prompts that begin with one of the prefixes.
    pub share: f64,
    /// Exponent of the popularity of the prefixes: the prefix of rank `n` is chosen in proportion to
    /// `1 / n^skew`.
    pub skew: f64,
}

impl Prefixes {
    /// Draws the rank of the prefix of a prompt, from 1; none if the prompt has none.
    fn draw(&self, prompt: u64, random: &mut StdRng) -> Option<u32> {
        let (share, point) = (random.random::<f64>(), random.random::<f64>());
        if prompt <= self.tokens || share >= self.share {
            return None;
        }
        let weight = |rank: u32| f64::from(rank).powf(-self.skew);
        let mut left = point * (1..=self.count).map(weight).sum::<f64>();
        let mut ranks = 1..=self.count;
        ranks.find(|rank| {
            left -= weight(*rank);
            left < 0.0
        })
    }
}

/// Priority of a class that sets none, so that days without priorities have one class of urgency.
fn usual_priority() -> u8 {
    1
}

/// A log-normal distribution of sizes.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Mean.
    pub mean: f64,
    /// Standard deviation divided by the mean.
    pub spread: f64,
    /// Upper limit; larger draws are clamped to it.
    pub max: f64,
}

/// A period in which the arrival rate of a class differs.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Name of the class.
    pub class: String,
    /// Start, s.
    pub at_s: f64,
    /// Duration, s.
    pub for_s: f64,
    /// Factor on the arrival rate.
    pub factor: f64,
}

/// A fault or a planned change.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "kind")]
pub enum Disruption {
    /// An operator takes a zone out: its engines must not get requests.
    ZoneOut {
        /// Start, s.
        at_s: f64,
        /// Duration, s.
        for_s: f64,
        /// Index of the zone.
        zone: usize,
    },
    /// All engines of a zone crash and restart in cold start.
    ZoneCold {
        /// Start, s.
        at_s: f64,
        /// Duration, s.
        for_s: f64,
        /// Index of the zone.
        zone: usize,
    },
    /// Engines crash without closing their connections and restart in cold start.
    Crash {
        /// Start, s.
        at_s: f64,
        /// Duration, s.
        for_s: f64,
        /// Share of all engines.
        share: f64,
    },
    /// Engines slow down.
    Slow {
        /// Start, s.
        at_s: f64,
        /// Duration, s.
        for_s: f64,
        /// Share of all engines.
        share: f64,
        /// Factor on all processing times.
        factor: f64,
    },
    /// Engines announce that they drain, and stop for good.
    Leave {
        /// Start, s.
        at_s: f64,
        /// Share of all engines.
        share: f64,
    },
    /// Messages between entry VMs are lost.
    Lossy {
        /// Start, s.
        at_s: f64,
        /// Duration, s.
        for_s: f64,
        /// Share of the messages.
        share: f64,
    },
    /// Entry VMs are killed and restarted.
    VmsLost {
        /// Start, s.
        at_s: f64,
        /// Duration, s.
        for_s: f64,
        /// Share of all entry VMs.
        share: f64,
    },
}

/// Weights of the parts of the score; their sum is 1.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Weight of the score of all requests.
    pub day: f64,
    /// Weight of the mean of the two worst time windows.
    pub windows: f64,
    /// Weight of the worst class.
    pub class: f64,
    /// Weight of the worst zone.
    pub zone: f64,
}

/// A request of a day.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
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
    /// Answer length, tokens.
    pub answer: u64,
    /// Score if the answer is on time.
    pub worth: f64,
    /// Score if the answer is late.
    pub late_worth: f64,
    /// Rank of the shared prefix of the prompt among those of its class.
    pub prefix: Option<u32>,
}

impl Size {
    fn draw(&self, random: &mut StdRng) -> f64 {
        let variance = (1.0 + self.spread * self.spread).ln();
        // Box-Muller transform: two uniform draws give one normal draw.
        let (first, second) = (1.0 - random.random::<f64>(), random.random::<f64>());
        let normal = (-2.0 * first.ln()).sqrt() * (std::f64::consts::TAU * second).cos();
        let value = self.mean * (normal * variance.sqrt() - variance / 2.0).exp();
        value.clamp(1.0, self.max)
    }
}

impl Day {
    /// Reads a day from a JSON file with comments.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or parsed, or has a missing, unknown or invalid
    /// field.
    pub fn read(file: &Path) -> eyre::Result<Self> {
        let text = std::fs::read_to_string(file).wrap_err_with(|| file.display().to_string())?;
        let day: Self =
            jsonc_parser::parse_to_serde_value(&text, &jsonc_parser::ParseOptions::default())
                .map_err(|error| eyre::eyre!("{}: {error}", file.display()))?;
        day.check().wrap_err_with(|| file.display().to_string())?;
        Ok(day)
    }

    fn check(&self) -> eyre::Result<()> {
        eyre::ensure!(self.length_s > 0.0, "length_s must be greater than 0");
        eyre::ensure!(!self.classes.is_empty(), "classes must not be empty");
        let vms = self.zones.iter().all(|zone| zone.vms > 0);
        eyre::ensure!(
            vms && !self.zones.is_empty(),
            "zones must not be empty, and each zone needs at least one entry VM"
        );
        for burst in &self.bursts {
            let known = self.classes.iter().any(|class| class.name == burst.class);
            eyre::ensure!(known, "bursts: class {:?} is not defined", burst.class);
        }
        for disruption in &self.disruptions {
            if let Disruption::ZoneOut { zone, .. } | Disruption::ZoneCold { zone, .. } = disruption
            {
                eyre::ensure!(
                    *zone < self.zones.len(),
                    "troubles: zone {zone} is not defined"
                );
            }
        }
        Ok(())
    }

    /// Draws the requests of the day, ordered by arrival time.
    pub fn arrivals(&self, seed: u64) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        for (index, class) in self.classes.iter().enumerate() {
            let mut random =
                StdRng::seed_from_u64(seed.wrapping_mul(31).wrapping_add(index as u64));
            // A source of its own, so that prefixes do not change the other draws.
            let mut prefix_random =
                StdRng::seed_from_u64(seed.wrapping_mul(37).wrapping_add(1_000 + index as u64));
            let bursts = || self.bursts.iter().filter(|burst| burst.class == class.name);
            let peak = bursts().fold(1.0_f64, |peak, burst| peak.max(burst.factor));
            let mut at_s = 0.0;
            loop {
                // Thinning: draws arrivals at the peak rate and keeps each with
                // probability (current rate) / (peak rate).
                at_s -= (1.0 - random.random::<f64>()).ln() / (class.per_s * peak);
                if at_s >= self.length_s {
                    break;
                }
                let burst = bursts().find(|b| (b.at_s..b.at_s + b.for_s).contains(&at_s));
                let factor = burst.map_or(1.0, |burst| burst.factor);
                if random.random::<f64>() * peak >= factor {
                    continue;
                }
                let prompt = class.prompt.draw(&mut random);
                let answer = class.answer.draw(&mut random);
                // The score of a request grows with its prompt length, up to four times that of a
                // mean prompt.
                let size = (0.3 + 0.7 * prompt / class.prompt.mean).min(4.0);
                arrivals.push(Arrival {
                    at_ms: at_s * 1e3,
                    class: index,
                    zone: self.draw_zone(&mut random),
                    organisation: 0,
                    prompt: prompt as u64,
                    answer: answer as u64,
                    worth: class.worth * size,
                    late_worth: class.late_worth * size,
                    prefix: class
                        .prefixes
                        .and_then(|prefixes| prefixes.draw(prompt as u64, &mut prefix_random)),
                });
            }
        }
        arrivals.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        // A random source of its own keeps the other draws of a seed as they are on days without organisations.
        let mut random = StdRng::seed_from_u64(seed ^ 0x0AC5_0F05);
        for arrival in &mut arrivals {
            arrival.organisation = self.draw_organisation(&mut random);
        }
        arrivals
    }

    /// Returns the parts of the prompt of a request with this number.
    pub fn sized_parts(&self, number: usize, arrival: &Arrival) -> SizedParts {
        let mut parts = Vec::new();
        let shared = self.classes[arrival.class].prefixes;
        let mut own = arrival.prompt;
        if let (Some(prefixes), Some(rank)) = (shared, arrival.prefix) {
            parts.push(SizedPart {
                id: PartId::from_text(&format!("class {} prefix {rank}", arrival.class)),
                tokens: prefixes.tokens,
            });
            own -= prefixes.tokens;
        }
        parts.push(SizedPart {
            id: PartId::from_text(&format!("request {number}")),
            tokens: own,
        });
        parts.into()
    }

    fn draw_organisation(&self, random: &mut StdRng) -> usize {
        let total: f64 = self.organisations.iter().map(|o| o.load).sum();
        let mut point = random.random::<f64>() * total;
        for (index, organisation) in self.organisations.iter().enumerate() {
            if point < organisation.load {
                return index;
            }
            point -= organisation.load;
        }
        0
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
