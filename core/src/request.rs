//! Requests of callers and the attempts to run them.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::fingerprint::Fingerprint;

/// Id of a request, unique in the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id(pub u128);

/// One attempt to run a request on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// Request that the attempt belongs to.
    pub request: Id,
    /// Number of the attempt within the request, from 0.
    pub number: u16,
}

/// Class of a request by its number of uncached prompt tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Class {
    /// Up to 4,000 tokens.
    Short,
    /// Up to 32,000 tokens.
    Medium,
    /// Up to 128,000 tokens.
    Long,
    /// More than 128,000 tokens.
    Huge,
}

/// What the caller is told about the execution of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The complete answer was delivered.
    Answered,
    /// The request certainly did not run.
    NotRun,
    /// The request ran, but the answer is incomplete.
    Failed,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the text used in headers and events.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not_run",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a request ended without a complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The fleet cannot finish the request before its deadline; a later attempt may succeed.
    FleetBusy,
    /// The prompt exceeds the memory of the fleet, so that waiting does not help.
    FleetTooSmall,
    /// No target serves the requested model or service.
    NoTarget,
    /// The organisation has reached its concurrency limit.
    OrganisationLimit,
    /// The zone is out and no other zone can accept the request.
    ZoneOut,
    /// The ledger is unavailable, so a request that must run at most once cannot start.
    LedgerUnavailable,
    /// A request with the same idempotency key is running or may have run.
    Duplicate,
    /// The deadline passed.
    DeadlineExceeded,
    /// The target failed and the request cannot be repeated.
    TargetFailed,
    /// The caller closed the connection.
    CallerGone,
    /// The request, or a part of its prompt, crashes targets.
    Quarantined,
}

impl Reason {
    /// Returns the error code used in JSON errors and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::FleetBusy => "fleet_busy",
            Self::FleetTooSmall => "fleet_too_small",
            Self::NoTarget => "no_target",
            Self::OrganisationLimit => "organisation_limit",
            Self::ZoneOut => "zone_out",
            Self::LedgerUnavailable => "ledger_unavailable",
            Self::Duplicate => "duplicate",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::TargetFailed => "target_failed",
            Self::CallerGone => "caller_gone",
            Self::Quarantined => "quarantined",
        }
    }
}

/// A request as passed to the reducer, after HTTP parsing and authentication.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Id assigned by the entry process.
    pub id: Id,
    /// Name of the organisation.
    pub organisation: Arc<str>,
    /// Name of the service.
    pub service: Arc<str>,
    /// Model name; none for plain services.
    pub model: Option<Arc<str>>,
    /// Estimated prompt length, tokens; zero for plain services.
    pub prompt_tokens: u64,
    /// Maximum number of tokens to generate; zero for plain services.
    pub max_tokens: u64,
    /// Hashes of the prompt's prefix blocks; each covers the prompt from its start to the end of the block.
    pub prefix: SmallVec<[u64; 8]>,
    /// What the request asks for.
    pub fingerprint: Fingerprint,
    /// Whether a rule requires that the request runs at most once.
    pub at_most_once: bool,
    /// Whether the request may run again after a run with unknown result (generation, safe methods).
    pub repeatable: bool,
    /// Idempotency key of the caller.
    pub key: Option<Arc<str>>,
    /// Time limit requested by the caller; the limit of the rules applies if it is shorter.
    pub deadline: Option<Duration>,
    /// Whether another zone handed the request over; it is then not handed over again.
    pub handed_over: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The complete answer arrived.
    Complete {
        /// Prompt tokens as counted by the engine; zero if unknown.
        prompt_tokens: u64,
        /// Prompt tokens that the engine found in its prefix cache.
        cached_tokens: u64,
        /// Generated tokens.
        generated_tokens: u64,
    },
    /// Certainly not run: no byte was sent, or the target's refusal proves it.
    NotRun {
        /// Whether the target refused the attempt because it is busy.
        busy: bool,
    },
    /// The attempt was sent, but no part of an answer reached the caller.
    NoAnswer,
    /// The answer broke off after a part of it reached the caller.
    Truncated,
}
