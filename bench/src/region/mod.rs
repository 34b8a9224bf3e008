//! Offline experiments with the decisions of a whole region.
//!
//! [`World`] drives the reducers of all entry VMs over the model of engines in virtual time, with the
//! arrivals and faults of a [`Day`], so that thousands of days take minutes. [`Report`] counts what callers
//! got, and [`bound`] tells what no placement can exceed. All choices come from one seed: a day with the
//! same seed gives the same figures.
//!
//! What is left out: control, plain services, sockets and processor time. Requests reach entry VMs and
//! engines after fixed delays.

mod bound;
mod day;
mod plot;
mod policy;
mod report;
mod world;

pub use bound::bound;
pub use day::{Arrival, Class, Day, Trouble};
pub use plot::write as plot;
pub use policy::Policy;
pub use report::{Outcome, Record, Report};
pub use world::{Audit, World};

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// Runs a day with several seeds on all cores but one; returns a report for each seed, in their order.
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
