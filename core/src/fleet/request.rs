//! A caller's request as the reducer sees it.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{PartIds, SizedParts};
use crate::fingerprint::Fingerprint;

/// Process-local ID of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u64);

/// Size of a generation, tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tokens {
    /// Length of the prompt, tokens.
    pub prompt: u64,
    /// Largest length of the answer, tokens.
    pub answer: u64,
}

impl Tokens {
    /// Returns the tokens of the prompt and the answer together.
    pub fn total(self) -> u64 {
        self.prompt.saturating_add(self.answer)
    }
}

/// A request that arrived.
#[derive(Debug, Clone)]
pub struct Request {
    /// ID given by the caller, for logs, reservations and the choice of a service.
    pub request_id: Arc<str>,
    /// Host that the caller addresses.
    pub host: Arc<str>,
    /// Path including the query.
    pub path: Arc<str>,
    /// Key of the caller.
    pub key: Option<Arc<str>>,
    /// Size, if the request states one.
    pub tokens: Option<Tokens>,
    /// Parts of the prompt that other requests may share.
    pub parts: PartIds,
    /// All parts of the prompt with their lengths, in order, the request's own part last; empty if they are not known.
    pub sized_parts: SizedParts,
    /// What the request asks for.
    pub fingerprint: Fingerprint,
    /// How long the caller waits; none if it does not say.
    pub timeout: Option<Duration>,
}
