//! Callers' requests and the attempts to run them.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Id of a request, unique in the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id(pub u128);

/// One try to run a request on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// Request that is tried.
    pub request: Id,
    /// Number of the try, from 0.
    pub number: u16,
}

/// Class of a request by its uncached prompt tokens.
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

/// What the caller learns about whether the request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The whole answer was delivered.
    Answered,
    /// The request was certainly not run.
    NotRun,
    /// The request ran and the answer is not whole.
    Failed,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the form used in headers and events.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not_run",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a request ended without a whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The fleet cannot finish the request before its deadline; a later try may succeed.
    FleetBusy,
    /// The fleet's memory cannot hold the prompt, however long the caller waits.
    FleetTooSmall,
    /// No target serves the requested model or service.
    NoTarget,
    /// The organisation has reached its concurrency limit.
    OrganisationLimit,
    /// The zone is out and no other zone can take the request.
    ZoneOut,
    /// The ledger cannot be written, so a request that must not repeat cannot start.
    LedgerUnavailable,
    /// A request with the same idempotency key is running or may have run.
    Duplicate,
    /// The deadline passed.
    DeadlineExceeded,
    /// The target failed and the request cannot be repeated.
    TargetFailed,
    /// The caller closed the connection.
    CallerGone,
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
        }
    }
}

/// A request as it arrives at the reducer, after HTTP parsing and authentication.
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
    /// Largest number of tokens to generate; zero for plain services.
    pub max_tokens: u64,
    /// Hashes of the prompt's prefix blocks, each covering all text before its end.
    pub prefix: SmallVec<[u64; 8]>,
    /// Whether a rule forbids to run the request twice.
    pub at_most_once: bool,
    /// Whether a run without a known result may be repeated (generation, safe methods).
    pub repeatable: bool,
    /// The caller's idempotency key.
    pub key: Option<Arc<str>>,
    /// Time limit asked for by the caller; the rules' limit applies if shorter.
    pub deadline: Option<Duration>,
    /// Whether another zone handed the request over; it is not handed over again.
    pub handed_over: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The whole answer arrived.
    Whole {
        /// Prompt tokens that the engine counted; zero if unknown.
        prompt_tokens: u64,
        /// Prompt tokens that the engine found in its prefix cache.
        cached_tokens: u64,
        /// Generated tokens.
        generated_tokens: u64,
    },
    /// Certainly not run: no byte was sent, or the target refused with proof.
    NotRun {
        /// Whether the target was reached and refused because it is busy.
        busy: bool,
    },
    /// Sent, and no part of the answer reached the caller.
    Lost,
    /// Part of the answer reached the caller.
    Broken,
}
