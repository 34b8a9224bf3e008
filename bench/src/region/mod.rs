//! Discrete-event simulation of a region in virtual time, without sockets.
//!
//! [`World`] runs the reducers of all entry VMs against a model of the engines, with the arrivals
//! and disruptions of a [`Day`], so that thousands of runs take minutes. [`Report`] scores what the
//! callers received, and [`bound`] computes an upper bound on the score of any placement. All
//! random choices come from one seed: two runs with the same day, policy and seed give identical
//! reports.
//!
//! Not simulated: control VMs, plain services, sockets and processor time. Requests reach entry VMs
//! and engines after fixed delays.

mod bound;
mod day;
mod plot;
mod policy;
mod report;
mod world;

pub use bound::bound;
pub use day::{Arrival, Class, Day, Disruption, Organisation};
pub use plot::write as plot;
pub use policy::Policy;
pub use report::{Outcome, Record, Report};
pub use world::{Audit, World};

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// Simulates a day once per seed, on all cores but one. The reports are ordered by seed.
pub fn run(day: &Day, policy: Policy, seeds: std::ops::Range<u64>) -> Vec<Report> {
    let next = AtomicU64::new(seeds.start);
    let reports = Mutex::new(Vec::new());
    let cores = std::thread::available_parallelism().map_or(1, std::num::NonZero::get);
    std::thread::scope(|scope| {
        for _ in 1..cores.max(2) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if !seeds.contains(&seed) {
                        return;
                    }
                    let report = World::new(day, policy, seed).run();
                    let mut reports = reports.lock().unwrap_or_else(PoisonError::into_inner);
                    reports.push(report);
                }
            });
        }
    });
    let mut reports = reports.into_inner().unwrap_or_else(PoisonError::into_inner);
    reports.sort_by_key(|report| report.seed);
    reports
}
