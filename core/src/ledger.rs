//! Calls from entry VMs to the ledger, which records requests that must run at most once.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::request;
use crate::vm;

/// Key of a ledger entry.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Name of the organisation.
    pub organisation: Arc<str>,
    /// The caller's idempotency key, or the request id in hexadecimal.
    pub key: Arc<str>,
}

/// Response that is kept to answer a resent request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Value of `content-type`.
    pub content_type: Arc<str>,
    /// Body, up to 64 KiB.
    pub body: Vec<u8>,
}

/// A call to the ledger. Calls are idempotent; key, holder and request identify them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Claims a key for one run. The claim must be committed before the request is dispatched.
    Begin {
        /// Key to claim.
        key: Key,
        /// Process that will dispatch the request.
        holder: vm::Instance,
        /// Request that claims the key.
        request: request::Id,
        /// Time from commit after which an entry without a recorded outcome counts as `unknown`,
        /// milliseconds.
        expires_ms: u64,
        /// Hash of method, path and body; a resend with another hash is a conflict.
        content_hash: u64,
    },
    /// Records the outcome of a run.
    Finish {
        /// Claimed key.
        key: Key,
        /// Process that claimed it.
        holder: vm::Instance,
        /// Request that claimed it.
        request: request::Id,
        /// Recorded outcome; `NotRun` releases the key for another run.
        outcome: request::Outcome,
        /// Response for resends, if it is small enough to keep.
        response: Option<Response>,
    },
}

/// Answer to [`Call`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The key is claimed for the sender of `Begin`; the request may be dispatched once.
    Claimed,
    /// Another request has claimed the key and may be running.
    InFlight,
    /// The key was used with a different content hash.
    Conflict,
    /// The run of the key's request ended.
    Finished {
        /// Recorded outcome.
        outcome: request::Outcome,
        /// Recorded response, if it is kept.
        response: Option<Response>,
    },
    /// The outcome of `Finish` is recorded.
    Recorded,
    /// The ledger could not confirm a commit; the call may or may not take effect.
    Unavailable,
}
