//! Entry and control processes for a region whose targets take work from every entry VM.
//!
//! [`front::Server`] takes callers' requests and relays them to targets. [`core::Server`] keeps the
//! configuration in the replicated log, takes the announcements of targets and tells entry VMs of both.
//! Decisions are those of [`primrosepin_core::fleet`] and [`primrosepin_core::consensus`]; this crate
//! turns bytes into events and effects into calls. What callers, targets and operators speak is behind
//! [`protocol::Protocol`].
//!
//! # Processes and connections
//!
//! - Every entry VM keeps a [`link`] to every control VM that it knows: the seeds of its settings and
//!   those that control names. Over it come announcements, revisions and the roster of entry VMs.
//! - Entry VMs tell each other of their work in datagrams.
//! - Control VMs exchange the messages of the replicated log and announcements over links.
//!
//! # Invariants
//!
//! - An answer reaches the caller that asked, whole, or visibly broken off.
//! - A connection that has unread or unexpected bytes is never used again.
//! - No call blocks: logs, links and datagrams drop what does not fit, and count it.

pub mod control;
pub mod document;
pub mod entry;
pub mod http;
pub mod link;
pub mod message;
pub mod metrics;
pub mod net;
pub mod protocol;
pub mod settings;
