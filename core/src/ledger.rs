//! Calls of entry VMs to the ledger of requests that must run at most once.

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

/// Response kept for a resend.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Value of `content-type`.
    pub content_type: Arc<str>,
    /// Body, at most 64 KiB.
    pub body: Vec<u8>,
}

/// A call to the ledger. Calls are idempotent: the holder and key identify them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Claims the key for one run. Must be committed before the request is dispatched.
    Begin {
        /// Key to claim.
        key: Key,
        /// Process that will dispatch the request.
        holder: vm::Instance,
        /// Request that claims the key.
        request: request::Id,
        /// Time from commit until the entry counts as `unknown`, milliseconds.
        expires_ms: u64,
        /// Hash of method, path and body; a resend with other content is a conflict.
        content_hash: u64,
    },
    /// Records how the run ended.
    Finish {
        /// Claimed key.
        key: Key,
        /// Process that claimed it.
        holder: vm::Instance,
        /// Request that claimed it.
        request: request::Id,
        /// Recorded outcome; `NotRun` releases the key for another run.
        outcome: request::Outcome,
        /// Response for resends, if small enough.
        response: Option<Response>,
    },
}

/// Answer to [`Call`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The key is claimed by the caller of `Begin`; the request may be dispatched once.
    Claimed,
    /// Another request holds the key and may be running.
    InFlight,
    /// The key was used with other content.
    Conflict,
    /// The key's run ended.
    Finished {
        /// Recorded outcome.
        outcome: request::Outcome,
        /// Recorded response, if it was kept.
        response: Option<Response>,
    },
    /// `Finish` was recorded.
    Recorded,
    /// The ledger could not commit; nothing may be concluded about the call.
    Unavailable,
}
