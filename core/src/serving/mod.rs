//! The reducer of an entry VM.
//!
//! [`Reducer::apply`] takes the time and an event and appends effects. Each concern is a module:
//! `target` keeps the zone's targets, `placement` chooses among them, `admission` refuses what cannot
//! be answered in time, `fairness` orders what waits, `claim` keeps at-most-once requests in the
//! ledger, `health` judges targets and connections, `membership` and `coordinator` keep the zone
//! together, `credit` and `span` hand out what only the coordinator may hand out.
//!
//! Invariants, checked by [`verify::Verifier`]:
//!
//! - Each request gets exactly one final outcome, by its deadline.
//! - `not_run` is only said of a request that was never sent or that every target proved not to run.
//! - An at-most-once request is sent after its claim only, and again only after such proof.
//! - No attempt goes to a target or zone that is out or drains, nor without a credit to a cold target.
//! - Each attempt at an engine that did not give a whole answer is cancelled there.

mod admission;
mod attempts;
mod claim;
mod coordinator;
mod cost;
mod counters;
mod credit;
mod drain;
pub mod effect;
pub mod event;
mod fairness;
mod handover;
mod health;
mod membership;
mod placement;
mod prefix;
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
pub use reducer::Reducer;
pub use settings::{Policy, Settings};
pub use target::View as TargetView;
