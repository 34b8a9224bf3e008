//! Entry process: callers' HTTP, relay to targets, announcements and health.
//!
//! One thread runs everything of a [`Server`]. One task on it owns the serving reducer: connections
//! turn bytes into events, and the task turns the reducer's effects into calls. No decision is taken
//! elsewhere.
//!
//! Invariants:
//! - Each request gets exactly one final outcome, from the reducer.
//! - A byte of an answer reaches the caller only after the attempt id of its response, and of its
//!   event in a stream, was checked.
//! - An attempt ends as `NotRun` only if no byte of it was written or the target refused with proof.

mod admin;
mod attempt;
mod callers;
mod config_index;
mod control;
mod driver;
mod engine;
mod handover;
mod http2;
mod listen;
mod metrics;
mod node;
mod reconcile;
mod reply;
mod response;
mod scan;
mod server;
mod sse;
mod targets;

pub use server::{Addresses, Options, Server};
