//! Settings of a stand-in engine.

use std::net::{Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};

/// A model that the engine has loaded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name as callers use it.
    pub name: String,
    /// Version of the weights.
    pub version: String,
}

/// Work that the target bears at one time while it is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Running requests.
    pub requests: u32,
    /// Prompt tokens of the running requests together.
    pub tokens: u64,
}

/// Settings of a stand-in engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Name of the target.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Service.
    pub service: String,
    /// Loaded models.
    pub models: Vec<Model>,
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// `targets` addresses of the zone's entry VMs.
    pub entries: Vec<SocketAddr>,
    /// Bearer key for announcements.
    pub announce_key: String,
    /// Factor on all service rates; leases and announcements stay in real time.
    pub speed: f64,
    /// KV memory, tokens.
    pub kv_tokens: u64,
    /// Requests in the batch.
    pub max_running: u32,
    /// Requests in the queue; more are refused with proof.
    pub max_waiting: u32,
    /// Prefill rate, tokens per second.
    pub prefill_tokens_per_s: u64,
    /// Prefill tokens in one step.
    pub chunk_tokens: u64,
    /// Time of a step with at least one decoding stream, microseconds.
    pub decode_step_us: u64,
    /// Additional time of a step for each decoding stream, microseconds.
    pub decode_stream_us: u64,
    /// Time of every step, microseconds.
    pub step_overhead_us: u64,
    /// Whether it starts cold.
    pub start_cold: bool,
    /// What it bears while cold; the limit doubles after each full set of first tokens.
    pub cold_budget: Budget,
    /// Factor on step times while announced as cold.
    pub cold_slowdown: f64,
    /// Factor on step times while silently cold. Above 4, so that the first tokens are slow
    /// by the definition in the design.
    pub silent_cold_slowdown: f64,
    /// Time after turning cold in which excess work is counted but does not make it fall over:
    /// the announcement takes up to 1 s to reach all entry VMs.
    pub cold_grace_ms: u64,
    /// Time for which it is gone after it fell over.
    pub down_ms: u64,
    /// Lag of the reported load.
    pub load_lag_ms: u64,
    /// Time between announcements.
    pub announce_ms: u64,
    /// Lag of cache events.
    pub cache_lag_ms: u64,
    /// Share of cache events that are never published.
    pub cache_gap: f64,
    /// Whether it takes parts of spanning prompts.
    pub spans: bool,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Time to load a model, milliseconds.
    pub load_ms: u64,
    /// Seed of its random choices.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: "engine-0".into(),
            zone: "zone-a".into(),
            service: "lm".into(),
            models: vec![Model {
                name: "lm".into(),
                version: "1".into(),
            }],
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            entries: Vec::new(),
            announce_key: String::new(),
            speed: 1.0,
            // A prompt of one million tokens exceeds twice this memory.
            kv_tokens: 400_000,
            max_running: 64,
            max_waiting: 256,
            // A full step of 2,048 prefill tokens and decode takes 71 ms, within the 74 ms between
            // tokens of the design.
            prefill_tokens_per_s: 40_000,
            chunk_tokens: 2_048,
            decode_step_us: 16_000,
            decode_stream_us: 50,
            step_overhead_us: 1_000,
            start_cold: false,
            cold_budget: Budget {
                requests: 4,
                tokens: 40_000,
            },
            cold_slowdown: 1.5,
            silent_cold_slowdown: 6.0,
            cold_grace_ms: 1_500,
            down_ms: 3_000,
            load_lag_ms: 500,
            announce_ms: 500,
            cache_lag_ms: 1_000,
            cache_gap: 0.05,
            spans: false,
            checks_fencing: true,
            load_ms: 2_000,
            seed: 1,
        }
    }
}

impl Settings {
    /// Returns the time of one step, microseconds.
    pub fn step_us(&self, prefill_tokens: u64, decoding: u64) -> u64 {
        let prefill = prefill_tokens as f64 * 1e6 / self.prefill_tokens_per_s.max(1) as f64;
        let decode = if decoding == 0 {
            0
        } else {
            self.decode_step_us + self.decode_stream_us * decoding
        };
        let work = (self.step_overhead_us + decode) as f64 + prefill;
        (work / self.speed.max(0.001)).ceil() as u64
    }

    /// Returns the time to first token that a prompt has alone on an idle, warm engine with an
    /// empty cache, milliseconds.
    pub fn ttft_alone_ms(&self, prompt_tokens: u64) -> f64 {
        let chunk = self.chunk_tokens.max(1);
        let full = prompt_tokens / chunk * self.step_us(chunk, 0);
        let rest = match prompt_tokens % chunk {
            0 => 0,
            rest => self.step_us(rest, 0),
        };
        (full + rest) as f64 / 1e3
    }
}
