//! Cost of a request: prefill work, decode work and KV memory.

use std::time::Duration;

use crate::inventory::Rules;
use crate::request::{Arrival, Class};

/// Upper bounds of the classes `short`, `medium` and `long`, in uncached prompt tokens.
const CLASS_LIMITS_TOKENS: [u64; 3] = [4_000, 32_000, 128_000];

/// Cost of one generated token in prefill tokens, for one stream in a batch.
const DECODE_WEIGHT: f64 = 4.0;

/// Work and memory that a request needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cost {
    /// Prompt tokens to prefill, without the cached prefix.
    pub prefill_tokens: u64,
    /// Expected number of generated tokens.
    pub decode_tokens: u64,
    /// KV memory at the end of an answer of maximum length, tokens.
    pub kv_tokens: u64,
}

impl Cost {
    /// Computes the cost of an arrival whose first `cached` prompt tokens need no prefill.
    pub fn new(arrival: &Arrival, cached: u64, decode_tokens: u64) -> Self {
        Self {
            prefill_tokens: arrival.prompt_tokens.saturating_sub(cached),
            decode_tokens: decode_tokens.min(arrival.max_tokens),
            kv_tokens: arrival.prompt_tokens.saturating_add(arrival.max_tokens),
        }
    }

    /// Returns the cost in prefill-token equivalents, at least 1. Used for fair sharing between
    /// organisations.
    pub fn weight(&self) -> f64 {
        (self.prefill_tokens as f64 + DECODE_WEIGHT * self.decode_tokens as f64).max(1.0)
    }
}

/// Returns the class of a prompt by its number of uncached tokens.
pub const fn class(tokens: u64) -> Class {
    if tokens <= CLASS_LIMITS_TOKENS[0] {
        Class::Short
    } else if tokens <= CLASS_LIMITS_TOKENS[1] {
        Class::Medium
    } else if tokens <= CLASS_LIMITS_TOKENS[2] {
        Class::Long
    } else {
        Class::Huge
    }
}

/// Returns the engine priority of a class. 0 is the highest.
pub const fn priority(class: Class) -> u8 {
    2 * class as u8
}

/// Returns the time limit of an arrival: the limit that the rules set for its prompt length, or the
/// caller's if that is shorter.
pub fn deadline(arrival: &Arrival, rules: &Rules) -> Duration {
    let rule = rules
        .deadlines
        .iter()
        .find(|entry| arrival.prompt_tokens <= entry.prompt_tokens_max)
        .or(rules.deadlines.last());
    // Without rules, the longest default limit applies.
    let limit = Duration::from_millis(rule.map_or(600_000, |entry| entry.ms));
    arrival
        .deadline
        .map_or(limit, |requested| requested.min(limit))
}
