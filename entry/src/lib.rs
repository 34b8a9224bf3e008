//! Entry process: accepts callers' HTTP requests, relays them to targets, and takes target
//! announcements.
//!
//! A [`Server`] runs on a single thread. One task on it owns the serving reducer: connection tasks
//! turn input into events, and the owning task executes the reducer's effects. All serving
//! decisions are made by the reducer.
//!
//! Invariants:
//! - Each request gets exactly one final outcome, decided by the reducer.
//! - Response bytes are relayed to the caller only after the attempt id of the response, and of
//!   each stream event, has been verified.
//! - An attempt ends as `NotRun` only if no byte of it was written or the target stated that it did
//!   not run the request.

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
