//! Upper bound on the score of any placement.

use primrosepin_core::fleet::Engine;

use super::{Arrival, Day};

/// Length of a time step, ms.
const STEP_MS: f64 = 20.0;

/// Returns an upper bound on the share of the total worth that any placement can earn.
///
/// The relaxed problem knows all arrivals and lets every engine prefill any fraction of any prompt
/// at any time; it ignores batching, decoding, memory and disruptions. A prompt counts as on time
/// in proportion to the prefill that fits between its arrival and its objective. Jobs are allocated
/// greedily, highest worth per ms of prefill first; because the prefill capacity over the steps is
/// a polymatroid, the greedy order is optimal for the relaxed problem.
pub fn bound(day: &Day, arrivals: &[Arrival]) -> f64 {
    let engines: usize = day.zones.iter().map(|zone| zone.engines).sum();
    let steps = (day.length_s * 1e3 / STEP_MS) as usize + 2_000;
    let mut jobs: Vec<Job> = arrivals
        .iter()
        .map(|arrival| Job::new(day, &day.engine, arrival))
        .collect();
    jobs.sort_by(|a, b| (b.worth / b.prefill_ms).total_cmp(&(a.worth / a.prefill_ms)));
    let mut capacity = Capacity::new(steps, engines as f64 * STEP_MS);
    let total_worth: f64 = jobs.iter().map(|job| job.worth).sum();
    let earned: f64 = jobs
        .iter()
        .map(|job| {
            let prefilled_ms = capacity.allocate(job);
            job.worth * prefilled_ms / job.prefill_ms
                + job.late_worth * (1.0 - prefilled_ms / job.prefill_ms)
        })
        .sum();
    earned / total_worth.max(f64::MIN_POSITIVE)
}

#[derive(Debug)]
struct Job {
    first_step: usize,
    last_step: usize,
    prefill_ms: f64,
    worth: f64,
    late_worth: f64,
}

impl Job {
    fn new(day: &Day, engine: &Engine, arrival: &Arrival) -> Self {
        let objective = day.classes[arrival.class].objective_ms as f64;
        Self {
            first_step: (arrival.at_ms / STEP_MS) as usize,
            last_step: ((arrival.at_ms + objective) / STEP_MS) as usize,
            prefill_ms: engine.prefill_ms(arrival.prompt).max(f64::MIN_POSITIVE),
            worth: arrival.worth,
            late_worth: arrival.late_worth,
        }
    }
}

/// Prefill capacity of each step and its allocation. Allocated work moves to a later step, up to
/// the last step of its job, when another job needs the capacity.
#[derive(Debug)]
struct Capacity {
    free_ms: Vec<f64>,
    /// Allocated prefill in each step: the last step of the job, and the amount in ms.
    allocated: Vec<Vec<(usize, f64)>>,
}

impl Capacity {
    fn new(steps: usize, step_capacity_ms: f64) -> Self {
        Self {
            free_ms: vec![step_capacity_ms; steps],
            allocated: vec![Vec::new(); steps],
        }
    }

    /// Allocates as much of the prefill of a job as fits, moving other jobs' work to later steps.
    /// Returns the amount allocated, ms.
    fn allocate(&mut self, job: &Job) -> f64 {
        let mut wanted = job.prefill_ms;
        let last = job.last_step.min(self.free_ms.len() - 1);
        for step in job.first_step..=last {
            if wanted <= 0.0 {
                break;
            }
            let amount = wanted.min(self.free_ms[step]);
            if amount > 0.0 {
                self.put(step, job.last_step, amount);
                wanted -= amount;
            }
        }
        for step in job.first_step..=last {
            if wanted <= 1e-6 {
                break;
            }
            wanted -= self.displace(step, job.last_step, wanted);
        }
        job.prefill_ms - wanted.max(0.0)
    }

    fn put(&mut self, step: usize, end: usize, amount: f64) {
        self.free_ms[step] -= amount;
        self.allocated[step].push((end, amount));
    }

    /// Moves allocated work from a step to later steps with free capacity, and allocates the freed
    /// capacity to the job. Returns the amount freed, ms.
    fn displace(&mut self, step: usize, end: usize, wanted: f64) -> f64 {
        let mut moved = 0.0;
        let mut index = 0;
        while index < self.allocated[step].len() && moved < wanted {
            let (other, amount) = self.allocated[step][index];
            let mut remaining = amount.min(wanted - moved);
            let wanted_here = remaining;
            for later in step + 1..=other.min(self.free_ms.len() - 1) {
                let part = remaining.min(self.free_ms[later]);
                if part > 0.0 {
                    self.put(later, other, part);
                    remaining -= part;
                }
                if remaining <= 1e-9 {
                    break;
                }
            }
            let freed = wanted_here - remaining;
            self.allocated[step][index].1 -= freed;
            self.free_ms[step] += freed;
            moved += freed;
            index += 1;
        }
        if moved > 0.0 {
            self.put(step, end, moved);
        }
        self.allocated[step].retain(|(_, amount)| *amount > 1e-9);
        moved
    }
}
