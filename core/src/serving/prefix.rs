//! Prefix hints: which targets probably have a prompt's prefix in their KV cache.
//!
//! Hints are recorded from complete answers. They only affect speed: an engine that has evicted a
//! prefix reports fewer cached tokens, and its hints are then removed.

use std::collections::{BTreeMap, VecDeque};

use smallvec::SmallVec;

use crate::target::Id;

use super::placement::Cached;

/// Maximum number of prefixes; the oldest are evicted.
const CAPACITY_PREFIXES: usize = 16_384;

/// Maximum number of targets per prefix.
const TARGETS_PER_PREFIX: usize = 4;

/// Targets by the hash of a prefix block.
#[derive(Debug, Default)]
pub(super) struct Hints {
    entries: BTreeMap<u64, SmallVec<[Hint; TARGETS_PER_PREFIX]>>,
    order: VecDeque<u64>,
}

#[derive(Debug, Clone, Copy)]
struct Hint {
    target: Id,
    generation: u64,
    tokens: u64,
}

/// Returns the number of tokens up to the end of a block, assuming blocks of equal length.
const fn covered_tokens(prompt_tokens: u64, blocks: usize, index: usize) -> u64 {
    prompt_tokens * (index as u64 + 1) / blocks as u64
}

impl Hints {
    /// Records that a target holds the prefixes of a prompt that it answered.
    pub fn insert(&mut self, prefix: &[u64], prompt_tokens: u64, target: Id, generation: u64) {
        for (index, &hash) in prefix.iter().enumerate() {
            let hint = Hint {
                target,
                generation,
                tokens: covered_tokens(prompt_tokens, prefix.len(), index),
            };
            let hints = self.entries.entry(hash).or_insert_with(|| {
                self.order.push_back(hash);
                SmallVec::new()
            });
            hints.retain(|known| known.target != target);
            if hints.len() == TARGETS_PER_PREFIX {
                hints.remove(0);
            }
            hints.push(hint);
        }
        while self.entries.len() > CAPACITY_PREFIXES {
            let Some(oldest) = self.order.pop_front() else {
                break;
            };
            self.entries.remove(&oldest);
        }
    }

    /// Removes the hints that a target holds the prefixes of a prompt.
    pub fn remove(&mut self, prefix: &[u64], target: Id) {
        for hash in prefix {
            if let Some(hints) = self.entries.get_mut(hash) {
                hints.retain(|known| known.target != target);
            }
        }
    }

    /// Returns the targets that probably hold a prefix, with the longest length for each. `same`
    /// tells whether a target still has the recorded generation.
    ///
    /// The length is limited to all but one token, because an engine always prefills at least one.
    pub fn find<Same>(&self, prefix: &[u64], prompt_tokens: u64, same: Same) -> Cached
    where
        Same: Fn(Id, u64) -> bool,
    {
        let mut found = Cached::new();
        for hash in prefix.iter().rev() {
            for hint in self.entries.get(hash).into_iter().flatten() {
                let known = found.iter().any(|(target, _)| *target == hint.target);
                if !known && same(hint.target, hint.generation) {
                    let tokens = hint.tokens.min(prompt_tokens.saturating_sub(1));
                    found.push((hint.target, tokens));
                }
            }
        }
        found
    }
}
