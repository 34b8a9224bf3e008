//! Settings of a stand-in engine.

use std::net::{Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};

/// A model that the engine has loaded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name that callers put in their requests.
    pub name: String,
    /// Version of the weights.
    pub version: String,
}

/// Most work that the target can handle at the same time while it is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Requests that have not ended; an engine also counts those in its queue.
    pub requests: u32,
    /// Total prompt tokens of these requests.
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
    /// Service that the target belongs to.
    pub service: String,
    /// Loaded models.
    pub models: Vec<Model>,
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Addresses where the zone's entry VMs listen for targets (`targets` in their settings).
    pub entries: Vec<SocketAddr>,
    /// Bearer key for announcements.
    pub announce_key: String,
    /// Factor on all service rates; leases and announcements stay in real time.
    pub speed: f64,
    /// Capacity of the KV memory, tokens.
    pub kv_tokens: u64,
    /// Most requests in the batch.
    pub max_running: u32,
    /// Most requests in the queue; further ones are refused as not run.
    pub max_waiting: u32,
    /// Prefill rate, tokens per second.
    pub prefill_tokens_per_s: u64,
    /// Most tokens prefilled in one step.
    pub chunk_tokens: u64,
    /// Time that decoding adds to a step with at least one decoding stream, microseconds.
    pub decode_step_us: u64,
    /// Additional time of a step for each decoding stream, microseconds.
    pub decode_stream_us: u64,
    /// Fixed time of every step, microseconds.
    pub step_overhead_us: u64,
    /// Whether the engine starts cold.
    pub start_cold: bool,
    /// Limits while cold. They double each time that as many requests as the limit allows have got
    /// their first token.
    pub cold_budget: Budget,
    /// Factor on step times while announced as cold.
    pub cold_slowdown: f64,
    /// Factor on step times while cold without announcing it. It is above 4, because entry VMs treat a
    /// first token as late if it takes more than 4 times the predicted time.
    pub silent_cold_slowdown: f64,
    /// Time after turning cold in which excess requests are counted but do not cause a crash,
    /// milliseconds. The announcement takes up to 1 s to reach all entry VMs.
    pub cold_grace_ms: u64,
    /// Time from a crash by overload to the restart, milliseconds.
    pub down_ms: u64,
    /// Lag of the reported load, milliseconds.
    pub load_lag_ms: u64,
    /// Time between announcements, milliseconds.
    pub announce_ms: u64,
    /// Lag of published cache events, milliseconds.
    pub cache_lag_ms: u64,
    /// Fraction of cache events that are never published.
    pub cache_gap: f64,
    /// Whether the engine accepts parts of prompts that span several targets.
    pub spans: bool,
    /// Whether the engine refuses orders with a fencing number lower than an earlier one.
    pub checks_fencing: bool,
    /// Time to load a model, milliseconds.
    pub load_ms: u64,
    /// Seed of all random choices.
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
            // Small enough that a prompt of one million tokens does not fit on two engines.
            kv_tokens: 400_000,
            max_running: 64,
            max_waiting: 256,
            // A step with 2,048 prefill tokens and a full batch takes 71 ms, which meets the
            // objective of 74 ms between tokens.
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
    /// Returns the time of a step that prefills `prefill_tokens` tokens and decodes `decoding`
    /// streams, microseconds.
    pub fn step_us(&self, prefill_tokens: u64, decoding: u64) -> u64 {
        let prefill_us = prefill_tokens as f64 * 1e6 / self.prefill_tokens_per_s.max(1) as f64;
        let decode_us = if decoding == 0 {
            0
        } else {
            self.decode_step_us + self.decode_stream_us * decoding
        };
        let total_us = (self.step_overhead_us + decode_us) as f64 + prefill_us;
        (total_us / self.speed.max(0.001)).ceil() as u64
    }

    /// Returns the time to first token of a prompt on an otherwise idle, warm engine with an empty
    /// cache, milliseconds.
    pub fn ttft_alone_ms(&self, prompt_tokens: u64) -> f64 {
        let chunk = self.chunk_tokens.max(1);
        let full_us = prompt_tokens / chunk * self.step_us(chunk, 0);
        let rest_us = match prompt_tokens % chunk {
            0 => 0,
            rest => self.step_us(rest, 0),
        };
        (full_us + rest_us) as f64 / 1e3
    }
}
