//! Deterministic simulation of the serving reducer for the fault matrix and stateful fuzzing.
//!
//! A [`World`] runs several reducers in virtual time against fake engines, a fake ledger and a network
//! that loses, duplicates, delays and reorders messages. The checks compare what the engines ran with
//! what the callers received and never rely on the reducers' own counters. The seed and the [`Step`]s
//! determine a run completely.

pub mod defect;
pub mod engine;
pub mod ledger;
pub mod promise;
pub mod step;
pub mod world;

pub use defect::Defect;
pub use promise::{Promise, Violation};
pub use step::Step;
pub use world::World;
