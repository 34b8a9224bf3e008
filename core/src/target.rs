//! Targets: model engines and plain services that announce themselves.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::inventory::Kind;

/// Dense id of a target in one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u32);

/// State that a target announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Takes only its cold budget.
    Cold,
    /// Takes full load.
    Warm,
    /// Finishes running work and takes no new work.
    Draining,
}

/// A model that a target has loaded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Name as callers use it.
    pub name: Arc<str>,
    /// Version of the weights.
    pub version: Arc<str>,
}

/// Work that a target bears at one time while it is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// Running requests.
    pub requests: u32,
    /// Prompt tokens of the running requests together.
    pub tokens: u64,
}

/// Load that a target reports, with a lag.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that prefill or decode.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Prompt tokens that are not yet prefilled.
    pub prefill_tokens: u64,
    /// KV memory in use, tokens.
    pub kv_tokens_used: u64,
}

/// What a target says of itself; valid for one lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name, unique in the deployment.
    pub name: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Service that the target answers for.
    pub service: Arc<str>,
    /// Kind of the target.
    pub kind: Kind,
    /// HTTP address.
    pub address: SocketAddr,
    /// Grows with each start of the target.
    pub incarnation: u64,
    /// Grows with each announcement of one incarnation.
    pub seq: u64,
    /// Announced state.
    pub state: State,
    /// Loaded models.
    #[serde(default)]
    pub models: Vec<Model>,
    /// What the target bears while cold.
    pub cold_budget: Budget,
    /// Requests that the target runs at one time when warm.
    pub max_running: u32,
    /// KV memory, tokens; zero for plain services.
    #[serde(default)]
    pub kv_tokens: u64,
    /// Prefill rate, tokens per second; zero for plain services.
    #[serde(default)]
    pub prefill_tokens_per_s: u64,
    /// Decode rate of one stream, tokens per second; zero for plain services.
    #[serde(default)]
    pub decode_tokens_per_s: u64,
    /// Whether the target takes parts of prompts that span several targets.
    #[serde(default)]
    pub spans: bool,
    /// Whether the target refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Current load.
    #[serde(default)]
    pub load: Load,
}

/// Cold state of one incarnation of a target, agreed on in its zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdState {
    /// Target name.
    pub target: Arc<str>,
    /// Target incarnation.
    pub incarnation: u64,
    /// Grows with each change; even while cold, odd while warm. The higher number wins.
    pub version: u64,
}
