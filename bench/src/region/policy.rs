//! Placement policies to compare.

use std::fmt;
use std::str::FromStr;

/// Placement policy of the entry VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The placement of the product's reducer.
    Product,
    /// The same without the placement by retained prefixes; the engines retain them all the same.
    ProductWithoutPrefixes,
    /// The same with the retained prefixes that each VM has seen itself; VMs do not tell each other.
    ProductWithOwnPrefixes,
    /// Each VM sends unsplit prompts to the engines in turn.
    RoundRobin,
    /// Each VM sends unsplit prompts to the engine with the fewest of its own running requests.
    LeastLoad,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 5] = [
        Self::Product,
        Self::ProductWithoutPrefixes,
        Self::ProductWithOwnPrefixes,
        Self::RoundRobin,
        Self::LeastLoad,
    ];

    /// Returns whether the reducers of the product place the requests.
    pub const fn is_product(self) -> bool {
        matches!(
            self,
            Self::Product | Self::ProductWithoutPrefixes | Self::ProductWithOwnPrefixes
        )
    }

    const fn as_str(self) -> &'static str {
        match self {
            Self::Product => "product",
            Self::ProductWithoutPrefixes => "product-without-prefixes",
            Self::ProductWithOwnPrefixes => "product-with-own-prefixes",
            Self::RoundRobin => "round-robin",
            Self::LeastLoad => "least-load",
        }
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Policy {
    type Err = eyre::Report;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut all = Self::ALL.into_iter();
        all.find(|policy| policy.as_str() == text).ok_or_else(|| {
            eyre::eyre!(
                "unknown policy {text:?}; expected product, product-without-prefixes, product-with-own-prefixes, \
                 round-robin, least-load"
            )
        })
    }
}
