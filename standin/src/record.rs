//! Records that a stand-in keeps of each run, and its status.

use serde::{Deserialize, Serialize};

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// Not ended: still waiting or running.
    Running,
    /// The complete answer was generated.
    #[serde(rename = "whole")]
    Completed,
    /// Cancelled by the caller.
    Cancelled,
    /// The lease of the attempt expired.
    LeaseExpired,
    /// The stand-in crashed or stopped.
    Died,
}

/// One run of one attempt. Times are microseconds since the Unix epoch; zero means not yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Name of the target.
    pub target: String,
    /// Incarnation of the target; each restart starts a new one.
    pub incarnation: u64,
    /// Header `x-primrosepin-attempt`.
    pub attempt: String,
    /// Header `x-primrosepin-request`.
    pub request: Option<String>,
    /// Header `idempotency-key`.
    pub idempotency_key: Option<String>,
    /// Field `user` of the body, or header `x-bench-user` of a plain call.
    pub user: Option<String>,
    /// Header `x-primrosepin-priority`.
    pub priority: u8,
    /// Length of the prompt, tokens.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Length of the complete answer, tokens.
    pub max_tokens: u64,
    /// Tokens generated so far.
    pub generated_tokens: u64,
    /// Whether the target was cold when the request arrived.
    pub cold: bool,
    /// KV tokens held by other attempts and reservations when the request arrived.
    pub kv_tokens_held: u64,
    /// Running and waiting requests when the request arrived.
    pub ahead: u32,
    /// When the request arrived.
    pub received_us: u64,
    /// When the run began; zero if the request never left the queue.
    pub started_us: u64,
    /// When the first token was generated.
    pub first_token_us: u64,
    /// When the run ended.
    pub ended_us: u64,
    /// How the run ended.
    pub end: End,
    /// Whether the complete answer was written to the connection.
    pub delivered: bool,
    /// KV tokens held while no reader is connected; zero again once they are released.
    pub orphaned_kv_tokens: u64,
    /// KV tokens held without a reader, summed over time, token seconds.
    pub orphaned_kv_token_s: u64,
}

/// Current state of a stand-in.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the target.
    pub name: String,
    /// Incarnation of the target; each restart starts a new one.
    pub incarnation: u64,
    /// Whether the target is up; false after an injected or simulated crash, until the restart.
    pub up: bool,
    /// Whether the target is cold.
    pub cold: bool,
    /// Requests in the batch.
    pub running: u32,
    /// Requests in the queue.
    pub waiting: u32,
    /// KV tokens held by attempts and reservations; the prefix cache is not counted.
    pub kv_tokens_held: u64,
    /// KV tokens held by attempts without a reader and by reservations that no attempt uses.
    pub kv_tokens_orphaned: u64,
    /// Crashes because the load exceeded the cold budget.
    pub cold_overruns: u64,
    /// Requests beyond the cold budget within the grace period after turning cold.
    pub cold_excess_in_grace: u64,
    /// Orders that were applied although their fencing number was lower than an earlier one.
    pub stale_orders_applied: u64,
    /// Refused requests and reservations.
    pub refused: u64,
}
