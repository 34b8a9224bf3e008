//! The reducer of an entry VM.

mod admission;
mod cache;
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
