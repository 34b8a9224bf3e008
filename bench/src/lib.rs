//! Load driver, experiments, tables, plots and JSON reports.
//!
//! An experiment starts a whole deployment in one process ([`cluster`]), sends open-loop load
//! ([`workload`], [`load`], [`caller`]) and checks the guarantees of the product against the
//! records of the stand-ins and the callers ([`audit`]). The simulation of a region needs no
//! sockets: it runs the reducers of all entry VMs against a model of the engines in virtual time
//! ([`region`]).

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
