//! The entry process.
//!
//! A task for each caller's connection reads requests and hands them to [`Node`], which owns the reducer.
//! The reducer's orders come back to the task over a channel: [`attempt`] carries a dispatch out at a
//! target, and the task reports the outcome. [`uplink`] keeps the links to control, [`Node`] the
//! datagrams to peers.

mod attempt;
mod caller;
mod delivery;
mod node;
mod pool;
mod reservation;
mod server;
mod uplink;

pub use server::run;
