//! Messages between VMs and the planner about long prompts.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::Tokens;

/// A message about one long prompt. Any message may be lost: the querying VM repeats its query, and
/// decides by itself if there is no answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PlannerMessage {
    /// Requests targets; repeated to keep the place in the queue.
    Query(Query),
    /// The querying VM no longer needs targets for the request with this ID.
    Withdraw(u64),
    /// The request with this ID is queued; carries the length of the queue.
    Queued(u64, u16),
    /// Targets are granted.
    Granted(Grant),
    /// The request with this ID gets no targets.
    Denied(u64, Denial),
}

/// A long prompt that needs targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Query {
    /// ID of the request at the querying VM.
    pub id: u64,
    /// ID given by the caller, for logs.
    pub request_id: Arc<str>,
    /// Name of the route.
    pub route: Arc<str>,
    /// Name of the service.
    pub service: Arc<str>,
    /// Size of the request.
    pub tokens: Tokens,
    /// Time since the request arrived, ms.
    pub waited_ms: u32,
    /// Time left until the deadline, ms.
    pub left_ms: u32,
    /// Targets that were tried or that the querying VM avoids, by hash of their names.
    pub excluded: SmallVec<[u64; 4]>,
}

/// The targets granted to a long prompt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// ID of the request at the querying VM.
    pub id: u64,
    /// Target that answers, by hash of its name.
    pub target: u64,
    /// Targets that prefill parts of the prompt, by hash of their names, with the KV cache that
    /// each one holds, tokens.
    pub helpers: SmallVec<[(u64, u64); 4]>,
    /// Predicted time to the first event, ms.
    pub predicted_ms: f64,
    /// Predicted prefill time at each of the targets, ms.
    pub prefill_ms: f64,
}

/// Why a request gets no targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Denial {
    /// It cannot meet its objective, and its value is less than the value that it would make late.
    Busy,
    /// The planner cannot decide, so the querying VM places the request itself.
    Unknown,
}
