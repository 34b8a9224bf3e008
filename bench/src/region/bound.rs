//! A bound that no placement exceeds.

use primrosepin_core::fleet::Engine;

use super::{Arrival, Day};

/// Step of the bound's clock, ms.
const STEP_MS: f64 = 20.0;

/// Returns an upper bound on the part of the worth of all requests that can be on time.
///
/// It knows all arrivals and lets the engines read any part of any prompt at any moment, without passes,
/// writers, memory or faults. A prompt is on time to the part to which its reading fits between its arrival
/// and its objective. Worth is taken in the order of worth for a ms of reading; because reading capacity is
/// a polymatroid over the steps, this order is optimal for the relaxed problem.
pub fn bound(day: &Day, arrivals: &[Arrival]) -> f64 {
    let engines: usize = day.zones.iter().map(|zone| zone.engines).sum();
    let steps = (day.length_s * 1e3 / STEP_MS) as usize + 2_000;
    let mut jobs: Vec<Job> = arrivals
        .iter()
        .map(|arrival| Job::new(day, &day.engine, arrival))
        .collect();
    jobs.sort_by(|a, b| (b.worth / b.read_ms).total_cmp(&(a.worth / a.read_ms)));
    let mut capacity = Capacity::new(steps, engines as f64 * STEP_MS);
    let owed: f64 = jobs.iter().map(|job| job.worth).sum();
    let earned: f64 = jobs
        .iter()
        .map(|job| {
            let read = capacity.take(job);
            job.worth * read / job.read_ms + job.late_worth * (1.0 - read / job.read_ms)
        })
        .sum();
    earned / owed.max(f64::MIN_POSITIVE)
}

#[derive(Debug)]
struct Job {
    first: usize,
    last: usize,
    read_ms: f64,
    worth: f64,
    late_worth: f64,
}

impl Job {
    fn new(day: &Day, engine: &Engine, arrival: &Arrival) -> Self {
        let objective = day.classes[arrival.class].objective_ms as f64;
        Self {
            first: (arrival.at_ms / STEP_MS) as usize,
            last: ((arrival.at_ms + objective) / STEP_MS) as usize,
            read_ms: engine.prefill_ms(arrival.prompt).max(f64::MIN_POSITIVE),
            worth: arrival.worth,
            late_worth: arrival.late_worth,
        }
    }
}

/// Reading that is left in each step, with the jobs that take it: one with a later end moves to later steps
/// when another needs its place.
#[derive(Debug)]
struct Capacity {
    left: Vec<f64>,
    /// Reading in each step by the last step of its job.
    taken: Vec<Vec<(usize, f64)>>,
}

impl Capacity {
    fn new(steps: usize, each: f64) -> Self {
        Self {
            left: vec![each; steps],
            taken: vec![Vec::new(); steps],
        }
    }

    /// Takes as much reading for a job as fits, moving other jobs' reading to later steps.
    fn take(&mut self, job: &Job) -> f64 {
        let mut wanted = job.read_ms;
        let last = job.last.min(self.left.len() - 1);
        for step in job.first..=last {
            if wanted <= 0.0 {
                break;
            }
            let amount = wanted.min(self.left[step]);
            if amount > 0.0 {
                self.put(step, job.last, amount);
                wanted -= amount;
            }
        }
        for step in job.first..=last {
            if wanted <= 1e-6 {
                break;
            }
            wanted -= self.make_room(step, job.last, wanted);
        }
        job.read_ms - wanted.max(0.0)
    }

    fn put(&mut self, step: usize, end: usize, amount: f64) {
        self.left[step] -= amount;
        self.taken[step].push((end, amount));
    }

    /// Moves reading out of a step to free later ones and puts that of the job there.
    fn make_room(&mut self, step: usize, end: usize, wanted: f64) -> f64 {
        let mut moved = 0.0;
        let mut index = 0;
        while index < self.taken[step].len() && moved < wanted {
            let (other, amount) = self.taken[step][index];
            let mut rest = amount.min(wanted - moved);
            let begin = rest;
            for later in step + 1..=other.min(self.left.len() - 1) {
                let part = rest.min(self.left[later]);
                if part > 0.0 {
                    self.put(later, other, part);
                    rest -= part;
                }
                if rest <= 1e-9 {
                    break;
                }
            }
            let gone = begin - rest;
            self.taken[step][index].1 -= gone;
            self.left[step] += gone;
            moved += gone;
            index += 1;
        }
        if moved > 0.0 {
            self.put(step, end, moved);
        }
        self.taken[step].retain(|(_, amount)| *amount > 1e-9);
        moved
    }
}
