//! What a stand-in knows of each run.

use serde::{Deserialize, Serialize};

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// Still waiting or running.
    Running,
    /// The complete answer was generated.
    #[serde(rename = "whole")]
    Completed,
    /// The caller cancelled.
    Cancelled,
    /// The lease expired.
    LeaseExpired,
    /// The process died.
    Died,
}

/// One run of one attempt. Times are microseconds since the Unix epoch; zero is never.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Name of the target.
    pub target: String,
    /// Incarnation of the target.
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
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Tokens to generate.
    pub max_tokens: u64,
    /// Tokens generated.
    pub generated_tokens: u64,
    /// Whether the target was cold when the request arrived.
    pub cold: bool,
    /// KV tokens held by others when the request arrived.
    pub kv_tokens_held: u64,
    /// Requests in the batch and in the queue when the request arrived.
    pub ahead: u32,
    /// Arrival.
    pub received_us: u64,
    /// Begin of the run; zero if it never left the queue.
    pub started_us: u64,
    /// First token.
    pub first_token_us: u64,
    /// End of the run.
    pub ended_us: u64,
    /// How it ended.
    pub end: End,
    /// Whether the whole answer was handed to the connection.
    pub delivered: bool,
    /// KV tokens still held although nobody reads, cancelled or will; changes until released.
    pub orphaned_kv_tokens: u64,
    /// Sum over time of KV tokens held without a reader, token seconds.
    pub orphaned_kv_token_s: u64,
}

/// State of a stand-in as it is.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the target.
    pub name: String,
    /// Incarnation.
    pub incarnation: u64,
    /// Whether it is up.
    pub up: bool,
    /// Whether it is cold.
    pub cold: bool,
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// KV tokens held by attempts and reservations; the prefix cache is not counted.
    pub kv_tokens_held: u64,
    /// KV tokens held by attempts without a reader and by reservations that no attempt uses.
    pub kv_tokens_orphaned: u64,
    /// Times that it fell over because it got more than it could take while cold.
    pub cold_overruns: u64,
    /// Requests beyond the cold budget within the grace time after turning cold.
    pub cold_excess_in_grace: u64,
    /// Orders carried out with a fencing number lower than an earlier one.
    pub stale_orders_applied: u64,
    /// Requests refused.
    pub refused: u64,
}
