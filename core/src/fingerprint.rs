//! What a request asks for, as a hash.
//!
//! Callers send the same request again with another ID, to any VM. Requests with equal fingerprints from the
//! same caller ask for the same, so what one VM sees of such a request holds for the others.
//!
//! All VMs, of any version, must compute the same fingerprints.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// Hash of the method, host, path and body of a request. The caller is not part of it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Computes the fingerprint of a request. `path` includes the query.
    pub fn new(method: &str, host: &str, path: &str, body: &[u8]) -> Self {
        let mut hash = Xxh3::new();
        for field in [method, host, path] {
            // The lengths keep the end of one field from being taken for the start of the next.
            hash.update(&(field.len() as u64).to_le_bytes());
            hash.update(field.as_bytes());
        }
        hash.update(body);
        Self(hash.digest())
    }

    /// Returns the hash of the fingerprint together with who sends the request.
    pub fn with_caller(self, caller: &str) -> u64 {
        xxh3_64_with_seed(caller.as_bytes(), self.0)
    }
}

/// The hash in hexadecimal, for logs.
impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}
