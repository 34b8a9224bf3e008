//! Cost model of a model engine, from its published figures.
//!
//! An engine works in passes. A pass in which requests write runs `stride` steps, each with up to
//! `chunk` prompt tokens read; a request that arrives during a pass waits for its end, and writers emit
//! one event a pass. Reading takes time for the tokens and for the pairs of tokens.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Part of a pause that one prompt's reading may take up together with the pass.
const PART_OF_GAP: f64 = 0.9;

/// Longest time that a prediction gives; figures and prompts from outside may have any size.
const MAX_MS: f64 = 1e9;

/// Returns a predicted time as a duration.
pub(super) fn predicted(ms: f64) -> Duration {
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
    /// Requests that run at once.
    pub slots: u32,
    /// Memory for prompts and answers, tokens.
    pub kv_tokens: u64,
    /// Steps of a pass with writers.
    pub stride: u32,
    /// Time of a step, ms.
    pub step_ms: f64,
    /// Time that each writer adds to a step, ms.
    pub per_sequence_ms: f64,
    /// Time that 1,000 tokens of a writer's context add to a step, ms.
    pub context_ms_per_k: f64,
    /// Prompt tokens read in a ms.
    pub read_tokens_per_ms: f64,
    /// Time for a million pairs of prompt tokens, ms.
    pub pairs_ms_per_m: f64,
    /// Prompt tokens read in one step.
    pub chunk: u32,
    /// Time that helpers add to a step of the engine that writes, ms.
    pub hop_ms: f64,
}

impl Engine {
    /// Returns the time to read a prompt on one idle engine, ms.
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        let tokens = tokens as f64;
        tokens / self.read_tokens_per_ms + tokens * tokens / 2e6 * self.pairs_ms_per_m
    }

    /// Returns the time of a pass with writers and no reading, ms.
    pub fn pass_ms(&self, writers: u32, context_tokens: u64) -> f64 {
        let step = self.step_ms
            + self.per_sequence_ms * f64::from(writers)
            + self.context_ms_per_k * context_tokens as f64 / 1e3;
        step * f64::from(self.stride)
    }

    /// Returns the time to write an answer, ms.
    pub fn decode_ms(&self, tokens: u64, writers: u32, context_tokens: u64) -> f64 {
        self.pass_ms(writers, context_tokens) * tokens as f64 / f64::from(self.stride.max(1))
    }

    /// Returns whether reading a prompt inside the passes of other writers keeps their pauses within
    /// `gap`. Such prompts share targets; others read on targets of their own.
    pub fn shares_passes(&self, tokens: u64, gap: Duration) -> bool {
        let pass = self.pass_ms(self.slots, 0);
        pass + self.prefill_ms(tokens) <= gap.as_secs_f64() * 1e3 * PART_OF_GAP
    }
}
