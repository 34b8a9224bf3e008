//! Cost model of a model engine, from its published figures.
//!
//! An engine works in passes. A pass that decodes runs `stride` steps, each of which prefills up to
//! `chunk` prompt tokens. A request that arrives during a pass waits for its end, and each decoding
//! sequence emits one event per pass. Prefill time has a term linear in the tokens and one linear
//! in the pairs of tokens.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Fraction of the gap objective that a pass and the prefill in it may take.
const GAP_FRACTION: f64 = 0.9;

/// Upper limit of predictions. Engine figures and prompt lengths come from outside and may have any
/// value.
const MAX_MS: f64 = 1e9;

/// Converts a predicted time to a duration; values that are not finite become the upper limit.
pub(super) fn predicted_duration(ms: f64) -> Duration {
    let ms = if ms.is_finite() {
        ms.clamp(0.0, MAX_MS)
    } else {
        MAX_MS
    };
    Duration::from_secs_f64(ms / 1e3)
}

/// Figures of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Capacity of the KV cache, tokens.
    pub kv_tokens: u64,
    /// Steps in a pass that decodes.
    pub stride: u32,
    /// Base time of a step, ms.
    pub step_ms: f64,
    /// Time that each decoding sequence adds to a step, ms.
    pub per_sequence_ms: f64,
    /// Time that 1,000 tokens of context add to a step, ms.
    pub context_ms_per_k: f64,
    /// Prefill throughput, prompt tokens per ms.
    pub read_tokens_per_ms: f64,
    /// Prefill time per million pairs of prompt tokens, ms.
    pub pairs_ms_per_m: f64,
    /// Most prompt tokens that are prefilled in one step.
    pub chunk: u32,
    /// Time that helpers add to a step of the engine that decodes, ms.
    pub hop_ms: f64,
    /// KV cache in which it keeps the parts of prompts after their requests, tokens; zero if it keeps none.
    #[serde(default)]
    pub prefix_cache_tokens: u64,
}

impl Engine {
    /// Returns the time to prefill a prompt on one idle engine, ms.
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        let tokens = tokens as f64;
        tokens / self.read_tokens_per_ms + tokens * tokens / 2e6 * self.pairs_ms_per_m
    }

    /// Returns the time of a pass that decodes `sequences` sequences without prefill, ms.
    pub fn pass_ms(&self, sequences: u32, context_tokens: u64) -> f64 {
        let step = self.step_ms
            + self.per_sequence_ms * f64::from(sequences)
            + self.context_ms_per_k * context_tokens as f64 / 1e3;
        step * f64::from(self.stride)
    }

    /// Returns the time to decode an answer, ms.
    pub fn decode_ms(&self, tokens: u64, sequences: u32, context_tokens: u64) -> f64 {
        self.pass_ms(sequences, context_tokens) * tokens as f64 / f64::from(self.stride.max(1))
    }

    /// Returns whether prefilling a prompt in the passes of decoding sequences keeps their gaps
    /// within `gap`. Such prompts share targets; others are placed on targets without short
    /// prompts.
    pub fn can_share_passes(&self, tokens: u64, gap: Duration) -> bool {
        let pass = self.pass_ms(self.slots, 0);
        pass + self.prefill_ms(tokens) <= gap.as_secs_f64() * 1e3 * GAP_FRACTION
    }
}
