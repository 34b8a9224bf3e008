//! Parts of a prompt.

use std::fmt;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Largest number of parts of a prompt that are kept.
pub const MAX_PARTS: usize = 32;

/// ID of a part of a prompt that requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartId(pub u64);

/// The shared parts of a prompt, in order.
pub type PartIds = SmallVec<[PartId; 4]>;

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
