//! The promises that are checked, by the names of the design page.

use std::fmt;

/// A promise of the design page.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// Every admitted request finishes or fails by its deadline.
    Finishes,
    /// No engine loses KV memory permanently.
    NoLeak,
    /// A cold target gets no more work than it can handle.
    ColdBudget,
    /// A zone out of service gets no new work after 3 s.
    ZoneOut,
    /// A caller gets the whole answer to their own request.
    WholeAnswer,
    /// A refusal that says `not_run` is true.
    TrueRefusal,
    /// A request that may not be repeated runs at most once.
    AtMostOnce,
    /// A leaving target gets no new work after 3 s.
    TargetOut,
    /// A graceful shutdown interrupts no request.
    Graceful,
    /// An accepted configuration is in force everywhere and never reverts.
    Config,
}

impl Promise {
    /// All promises in the order of the design page.
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

    /// Returns the name used on the design page.
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

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// What was observed.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise.as_str(), self.detail)
    }
}
