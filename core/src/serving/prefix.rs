//! Prefix hints: which targets probably hold the KV cache of a prompt's prefix.
//!
//! Hints are learnt from answers. They are never needed for correctness; an engine that has dropped
//! a prefix reports fewer cached tokens and the hints for it are dropped.

use std::collections::{BTreeMap, VecDeque};

use smallvec::SmallVec;

use crate::target::Id;

use super::placement::Cached;

/// Prefixes that are remembered.
const CAPACITY_PREFIXES: usize = 16_384;

/// Targets remembered for each prefix.
const TARGETS_PER_PREFIX: usize = 4;

/// Prefix hints by block hash.
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

/// Returns the tokens before the end of a block, for blocks of equal length.
const fn covered_tokens(prompt_tokens: u64, blocks: usize, index: usize) -> u64 {
    prompt_tokens * (index as u64 + 1) / blocks as u64
}

impl Hints {
    /// Remembers that a target answered a prompt.
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

    /// Drops the hints for a target that no longer holds a prompt's prefix.
    pub fn remove(&mut self, prefix: &[u64], target: Id) {
        for hash in prefix {
            if let Some(hints) = self.entries.get_mut(hash) {
                hints.retain(|known| known.target != target);
            }
        }
    }

    /// Returns the targets that probably hold a prefix, with the longest prefix of each.
    ///
    /// At least one token of the prompt always has to be prefilled.
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
