//! The control process.
//!
//! `hub` holds the directory of targets and the links to entry VMs, `peers` the links to other control
//! VMs. `relay` makes sure that those that route know of a target's leave before it is confirmed. `quarantine` keeps
//! the rules on prompts that crash targets. `calls` serves the HTTP API for operators and targets. The replicated
//! log is [`primrosepin_control::replica`].

mod calls;
mod hub;
mod peers;
mod quarantine;
mod relay;
mod server;

pub use server::run;
