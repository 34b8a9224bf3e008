//! The control process.
//!
//! `hub` holds the directory of targets and the links to entry VMs, `peers` the links to other control
//! VMs. `quarantine` keeps the rules on prompts that crash targets. `calls` serves the HTTP API for operators and targets. The replicated log is
//! [`primrosepin_control::replica`].

mod calls;
mod hub;
mod peers;
mod quarantine;
mod server;

pub use server::run;
