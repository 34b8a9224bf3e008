//! The entry process.
//!
//! One task per caller connection reads requests and registers them with `Node`, which owns the
//! reducer. The reducer's decisions return to the task over a channel. `attempt` carries out a
//! dispatch at a target, and the task reports the outcome to the reducer. `uplink` maintains the links
//! to control VMs, `Node` exchanges datagrams with other entry VMs. `path` connects to targets, through the
//! `tunnel` of another entry VM where this one has no path.

mod attempt;
mod caller;
mod delivery;
mod events;
mod node;
mod path;
mod pool;
mod reservation;
mod server;
pub mod tunnel;
mod uplink;

pub use server::run;
