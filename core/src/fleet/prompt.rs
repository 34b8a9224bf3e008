//! Parts of a prompt.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Largest number of parts of a prompt that are kept.
pub const MAX_PARTS: usize = 32;

/// ID of a part of a prompt that requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartId(pub u64);

/// The shared parts of a prompt, in order.
pub type PartIds = SmallVec<[PartId; 4]>;

/// A part of a prompt with its length.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SizedPart {
    /// ID of the part.
    pub id: PartId,
    /// Length, tokens.
    pub tokens: u64,
}

/// All parts of a prompt, in order.
pub type SizedParts = Arc<[SizedPart]>;

/// The beginning of a prompt up to the end of one of its parts. What engines compute for a part depends on all parts
/// before it, so the same part after different ones is a different prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prefix {
    /// Hash of the IDs of its parts, in order.
    pub hash: u64,
    /// Length, tokens.
    pub tokens: u64,
}

impl Prefix {
    /// Returns all prefixes of a prompt, the shortest first.
    pub fn all(parts: &[SizedPart]) -> SmallVec<[Self; 4]> {
        let mut last = Self { hash: 0, tokens: 0 };
        let extend = |part: &SizedPart| {
            last = Self {
                hash: xxhash_rust::xxh3::xxh3_64_with_seed(&part.id.0.to_le_bytes(), last.hash),
                tokens: last.tokens.saturating_add(part.tokens),
            };
            last
        };
        parts.iter().map(extend).collect()
    }
}

impl PartId {
    /// Returns the ID for its text. Texts that are not hexadecimal numbers of 64 bits are hashed.
    pub fn from_text(text: &str) -> Self {
        let number = u64::from_str_radix(text, 16);
        Self(number.unwrap_or_else(|_error| xxhash_rust::xxh3::xxh3_64(text.as_bytes())))
    }
}

/// The ID as callers send it, if it is a hexadecimal number.
impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}
