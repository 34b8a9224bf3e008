//! Logging and metrics for the primrosepin processes.
//!
//! [`log`] sets up the process-wide logger. [`metrics`] are kept per server, because tests and the
//! quickstart run several servers in one process.

pub mod log;
pub mod metrics;
