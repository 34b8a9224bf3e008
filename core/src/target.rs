//! Targets, the model engines and plain services that announce themselves.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::inventory::Kind;

/// Dense id of a target within one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u32);

/// State announced by a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Accepts work up to its cold budget.
    Cold,
    /// Accepts full load.
    Warm,
    /// Finishes running work and accepts no new work.
    Draining,
}

/// A model loaded by a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Name as callers use it.
    pub name: Arc<str>,
    /// Version of the weights.
    pub version: Arc<str>,
}

/// Maximum concurrent work of a target while it is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// Running requests.
    pub requests: u32,
    /// Prompt tokens of all running requests.
    pub tokens: u64,
}

/// Load reported by a target; it lags behind the actual load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in prefill or decode.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Prompt tokens of accepted requests that are not yet prefilled.
    pub prefill_tokens: u64,
    /// KV memory in use, tokens.
    pub kv_tokens_used: u64,
}

/// A target's announcement of itself; valid for one lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name, unique in the deployment.
    pub name: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Service that the target provides.
    pub service: Arc<str>,
    /// Kind of the target.
    pub kind: Kind,
    /// HTTP address.
    pub address: SocketAddr,
    /// Increases with each start of the target.
    pub incarnation: u64,
    /// Increases with each announcement of one incarnation.
    pub seq: u64,
    /// Announced state.
    pub state: State,
    /// Loaded models.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Maximum concurrent work while cold.
    pub cold_budget: Budget,
    /// Maximum number of concurrent requests while warm.
    pub max_running: u32,
    /// Size of the KV memory, tokens; zero for plain services.
    #[serde(default)]
    pub kv_tokens: u64,
    /// Prefill rate, tokens per second; zero for plain services.
    #[serde(default)]
    pub prefill_tokens_per_s: u64,
    /// Decode rate of one stream, tokens per second; zero for plain services.
    #[serde(default)]
    pub decode_tokens_per_s: u64,
    /// Whether the target accepts parts of prompts that span several targets.
    #[serde(default)]
    pub spans: bool,
    /// Whether the target rejects orders with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Current load.
    #[serde(default)]
    pub load: Load,
}

/// Cold state of one incarnation of a target, on which the members of its zone agree.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdState {
    /// Target name.
    pub target: Arc<str>,
    /// Target incarnation.
    pub incarnation: u64,
    /// Increases with each change; even while cold, odd while warm. The highest version takes effect.
    pub version: u64,
}
