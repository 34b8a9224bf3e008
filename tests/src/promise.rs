//! The checked guarantees ("promises"), with the names that the design document uses.

use std::fmt;

/// A guarantee of the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// Every admitted request ends, with an answer or an error, by its deadline.
    Finishes,
    /// No engine leaks KV memory.
    NoLeak,
    /// A cold target gets no more work than its cold budget allows.
    ColdBudget,
    /// A zone gets no new work from 3 s after it was taken out of service.
    ZoneOut,
    /// A caller gets the complete answer to its own request, exactly once.
    WholeAnswer,
    /// A request whose outcome is `not_run` did not run on any engine.
    TrueRefusal,
    /// Requests with the same idempotency key run at most once between them.
    AtMostOnce,
    /// A target gets no new work from 3 s after it began to drain or was taken out of service.
    TargetOut,
    /// A graceful shutdown interrupts no request.
    Graceful,
    /// An accepted configuration comes into force on every entry VM and never reverts to an older one.
    Config,
}

impl Promise {
    /// All promises, in the order of the design document.
    pub const ALL: [Self; 10] = [
        Self::Finishes,
        Self::NoLeak,
        Self::ColdBudget,
        Self::ZoneOut,
        Self::WholeAnswer,
        Self::TrueRefusal,
        Self::AtMostOnce,
        Self::TargetOut,
        Self::Graceful,
        Self::Config,
    ];

    /// Returns the name used in the design document.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Finishes => "finishes",
            Self::NoLeak => "no-leak",
            Self::ColdBudget => "cold-budget",
            Self::ZoneOut => "zone-out",
            Self::WholeAnswer => "whole-answer",
            Self::TrueRefusal => "true-refusal",
            Self::AtMostOnce => "at-most-once",
            Self::TargetOut => "target-out",
            Self::Graceful => "graceful",
            Self::Config => "config",
        }
    }
}

/// An observed violation of a promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The violated promise.
    pub promise: Promise,
    /// What was observed.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise.as_str(), self.detail)
    }
}
