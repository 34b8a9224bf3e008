//! Generated text. The caller can compute it too, and so detect an answer to another request.

use xxhash_rust::xxh3::xxh3_64;

/// Returns the key that determines the answer to a request: the hash of its `user` field or,
/// without one, of its body.
pub fn key(user: Option<&str>, body: &[u8]) -> u64 {
    xxh3_64(user.map_or(body, str::as_bytes))
}

/// Returns the text of the generated token at `index`.
pub fn token(key: u64, index: u64) -> String {
    format!("{:08x}.{index} ", key as u32)
}

/// Returns the text of an answer of `tokens` tokens.
pub fn text(key: u64, tokens: u64) -> String {
    (0..tokens).map(|index| token(key, index)).collect()
}
