//! Prefix cache of the engine in [`crate::passes`].
//!
//! After a request, the engine keeps the parts of its prompt in KV memory that no request uses, up to a limit. A prompt
//! that begins with the same parts in the same order is prefilled from the end of the longest prefix that is kept. The
//! prefix that was not used for longest is evicted first; of prefixes used together, the longest one.
//!
//! # Invariants
//!
//! - A prefix is kept only with all shorter prefixes of its prompt.

use std::collections::HashMap;

use primrosepin_core::fleet::Prefix;

#[derive(Debug, Clone, Copy)]
struct Entry {
    /// Length of the prefix, tokens.
    end: u64,
    /// Length of its last part, tokens.
    tokens: u64,
    /// Number of the use in which it was last part of a prompt.
    used: u64,
}

/// Prefixes that one engine keeps.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    entries: HashMap<u64, Entry>,
    tokens: u64,
    uses: u64,
}

impl PrefixCache {
    /// Returns the length of the longest of a prompt's prefixes that is kept, tokens.
    pub fn held_tokens(&self, prefixes: &[Prefix]) -> u64 {
        let held = prefixes
            .iter()
            .take_while(|prefix| self.entries.contains_key(&prefix.hash));
        held.last().map_or(0, |prefix| prefix.tokens)
    }

    /// Keeps all prefixes of a prompt and evicts others down to `limit` tokens.
    pub fn keep(&mut self, prefixes: &[Prefix], limit: u64) {
        self.uses += 1;
        let mut start = 0;
        for prefix in prefixes {
            let tokens = prefix.tokens.saturating_sub(start);
            start = prefix.tokens;
            let entry = Entry {
                end: prefix.tokens,
                tokens,
                used: self.uses,
            };
            if self.entries.insert(prefix.hash, entry).is_none() {
                self.tokens += tokens;
            }
        }
        self.shrink(limit);
    }

    /// Evicts prefixes until the rest takes at most `limit` tokens.
    pub fn shrink(&mut self, limit: u64) {
        while self.tokens > limit {
            let entries = self.entries.iter();
            let order = |(hash, entry): (&u64, &Entry)| {
                ((entry.used, std::cmp::Reverse(entry.end), *hash), *hash)
            };
            let Some((_, oldest)) = entries.map(order).min() else {
                return;
            };
            if let Some(entry) = self.entries.remove(&oldest) {
                self.tokens -= entry.tokens;
            }
        }
    }

    /// Returns the KV memory that all prefixes take, tokens.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }
}
