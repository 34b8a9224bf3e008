//! The control process.
//!
//! `hub` holds the directory of targets and the links to entry VMs, `peers` the links to other control
//! VMs. `calls` serves the HTTP API for operators and targets. The replicated log is
//! [`primrosepin_control::replica`].

mod calls;
mod hub;
mod peers;
mod server;

pub use server::run;
