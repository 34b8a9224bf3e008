//! Logs and metrics of the primrosepin processes.
//!
//! [`log`] sets up the one logger of a process. [`metrics`] is per server, since several servers run in
//! one process in tests and in the quickstart.

pub mod log;
pub mod metrics;
