//! The control process.
//!
//! [`hub`] owns what the process knows of targets and its links to entry VMs; [`peers`] the links to
//! other control VMs; [`calls`] answers operators and targets over HTTP. The replicated log is that of
//! [`primrosepin_control::replica`].

mod calls;
mod hub;
mod peers;
mod server;

pub use server::run;
