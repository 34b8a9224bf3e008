//! What VMs tell each other of long prompts that one of them places.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::Tokens;

/// A message about one long prompt. Each may be lost: the asking VM repeats its question, and decides by
/// itself if there is no answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PlannerMessage {
    /// Asks for targets, also to stay in line.
    Query(Query),
    /// The asking VM does not need targets for the request any more.
    Withdraw(u64),
    /// The request waits in line, with the length of the line.
    Queued(u64, u16),
    /// Targets for the request.
    Granted(Grant),
    /// There are no targets for the request.
    Denied(u64, Denial),
}

/// A long prompt that needs targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Query {
    /// Number of the request at the asking VM.
    pub id: u64,
    /// Id that the caller gave, for logs.
    pub request_id: Arc<str>,
    /// Route.
    pub route: Arc<str>,
    /// Service.
    pub service: Arc<str>,
    /// Size.
    pub tokens: Tokens,
    /// Time since the request arrived, ms.
    pub waited_ms: u32,
    /// Time until its caller's limit, ms.
    pub left_ms: u32,
    /// Targets that were tried, or that the asking VM avoids, by hash of their names.
    pub excluded: SmallVec<[u64; 4]>,
}

/// Where a long prompt runs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Number of the request at the asking VM.
    pub id: u64,
    /// Target that answers, by hash of its name.
    pub target: u64,
    /// Targets that read parts of the prompt, with the memory that each one holds, tokens.
    pub helpers: SmallVec<[(u64, u64); 4]>,
    /// Predicted time to the first event, ms.
    pub predicted_ms: f64,
    /// Predicted reading at each of the targets, ms.
    pub prefill_ms: f64,
}

/// Why a request gets no targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Denial {
    /// It cannot be on time, and is worth less than what it would make late.
    Busy,
    /// The asked VM cannot tell; the asking one decides by itself.
    Unknown,
}
