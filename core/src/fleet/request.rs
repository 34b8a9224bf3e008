//! A caller's request as the decisions see it.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Number of a request in one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u64);

/// Size of a generation, tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tokens {
    /// Prompt.
    pub prompt: u64,
    /// Most tokens of the answer.
    pub answer: u64,
}

impl Tokens {
    /// Returns the tokens of prompt and answer.
    pub fn total(self) -> u64 {
        self.prompt.saturating_add(self.answer)
    }
}

/// A request that arrived.
#[derive(Debug, Clone)]
pub struct Request {
    /// Id that the caller gave, for logs.
    pub request_id: Arc<str>,
    /// Host that it addresses.
    pub host: Arc<str>,
    /// Path with query.
    pub path: Arc<str>,
    /// Key of the caller.
    pub key: Option<Arc<str>>,
    /// Size, if it is a generation.
    pub tokens: Option<Tokens>,
    /// How long the caller waits; none if it does not say.
    pub timeout: Option<Duration>,
}
