//! Fakes around the serving reducer for the fault matrix and stateful fuzzing.
//!
//! A [`World`] runs several reducers in virtual time against fake engines, a fake ledger and a network
//! that loses, doubles, delays and reorders messages. Verdicts come from what the engines ran and what
//! the callers were told, never from the reducers' own counters. Each run is determined by its seed
//! and its [`Step`]s.

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
