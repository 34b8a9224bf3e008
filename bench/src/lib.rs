//! Load driver, experiments, tables, plots and JSON reports.
//!
//! An experiment starts a whole deployment in one process ([`cluster`]), sends open-loop calls
//! ([`workload`], [`load`], [`caller`]) and counts kept and broken promises from the records of the
//! stand-ins and the callers ([`audit`]). Offline experiments need no sockets: they drive the decisions of a
//! whole region over a model of its engines ([`region`]).

pub mod audit;
pub mod caller;
pub mod capacity;
pub mod changes;
pub mod clock;
pub mod cluster;
pub mod load;
pub mod plot;
pub mod progress;
pub mod quickstart;
pub mod region;
pub mod relay;
pub mod report;
pub mod scenario;
pub mod workload;
