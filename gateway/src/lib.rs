//! Entry and control processes of a region in which every entry VM can dispatch to every target.
//!
//! [`entry::run`] accepts requests from callers and proxies them to targets. [`control::run`] stores the
//! configuration in the replicated log, receives announcements from targets and sends both to entry VMs.
//! [`primrosepin_core::fleet`] makes the scheduling decisions and [`primrosepin_core::consensus`] replicates
//! the log; this crate performs their I/O: it decodes input into events and carries out effects. An
//! implementation of [`protocol::Protocol`] translates the formats of callers, targets and operators.
//!
//! # Processes and connections
//!
//! - Every entry VM keeps a [`link`] to every known control VM: the seeds in its settings and the control
//!   VMs listed in rosters. Announcements, revisions and rosters arrive over it.
//! - Entry VMs exchange load reports and planner messages as datagrams.
//! - Control VMs exchange consensus messages and announcements over links.
//!
//! # Invariants
//!
//! - A response goes only to the caller that sent the request. It arrives complete, or the caller can detect
//!   that it is truncated.
//! - A connection with unread or unexpected bytes is never reused.
//! - Sending never blocks: log output, links and datagrams drop and count what does not fit.

pub mod account;
pub mod control;
pub mod document;
pub mod entry;
pub mod http;
pub mod limits;
pub mod link;
pub mod message;
pub mod metrics;
pub mod net;
pub mod protocol;
mod reload;
pub mod settings;
