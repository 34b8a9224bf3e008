//! Generated text, computable by the caller, so that a mixed-up answer is recognised.

use xxhash_rust::xxh3::xxh3_64;

/// Returns the key of the answer to a request: hash of its `user` field, or else of its body.
pub fn key(user: Option<&str>, body: &[u8]) -> u64 {
    xxh3_64(user.map_or(body, str::as_bytes))
}

/// Returns the text of one generated token.
pub fn token(key: u64, index: u64) -> String {
    format!("{:08x}.{index} ", key as u32)
}

/// Returns the whole text of an answer.
pub fn text(key: u64, tokens: u64) -> String {
    (0..tokens).map(|index| token(key, index)).collect()
}
