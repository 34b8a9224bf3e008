//! The serving reducer: the decision logic of an entry VM.
//!
//! [`Reducer::apply`] takes the current time and an event and appends effects. It does no I/O. Each
//! concern has its own module:
//!
//! - `target` keeps the targets of the zone, `prefix` what they probably have cached.
//! - `admission` refuses requests that cannot be answered in time, `fairness` and `queueing` order
//!   the others, and `placement` selects their targets.
//! - `attempts` and `retry` follow dispatched requests, `health` detects slow targets and stalled
//!   connections, and `claim` records at-most-once requests in the ledger.
//! - `membership` exchanges heartbeats within the zone and `coordinator` elects one VM by a lease.
//! - `credit` limits work on cold targets and `span` divides long prompts over several targets;
//!   only the coordinator grants the credits and memory for them.
//! - `quarantine` keeps requests that crash targets from them.
//! - `handover` moves requests to other zones, `availability` takes zones and VMs out of service.
//!
//! Invariants, checked by [`verify::Verifier`]:
//!
//! - Each request gets exactly one final outcome, by its deadline.
//! - The outcome `not_run` is only given to a request that was never dispatched, or for which every
//!   target proved that it did not run it.
//! - An at-most-once request is dispatched only after its claim, and again only after such proof.
//! - No attempt is dispatched to a target or zone that is out of service or draining, nor to a cold
//!   target without a credit.
//! - Each attempt that ended on an engine without a complete answer is cancelled there.

mod admission;
mod attempts;
mod availability;
mod claim;
mod coordinator;
mod cost;
mod counters;
mod credit;
pub mod effect;
pub mod event;
mod fairness;
mod handover;
mod health;
mod membership;
mod placement;
mod prefix;
mod quarantine;
mod queueing;
mod reducer;
mod request;
mod retry;
mod settings;
mod span;
mod target;
pub mod verify;

pub use counters::Counters;
pub use membership::View as MemberView;
pub use quarantine::Report;
pub use reducer::Reducer;
pub use settings::{Policy, Settings};
pub use target::View as TargetView;
