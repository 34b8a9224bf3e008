//! Placement policies that are compared.

use std::fmt;
use std::str::FromStr;

/// How entry VMs choose targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The product's reducer.
    Product,
    /// Each VM sends whole prompts to the engines in turn.
    RoundRobin,
    /// Each VM sends whole prompts to the engine at which it has the fewest requests.
    LeastLoad,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 3] = [Self::Product, Self::RoundRobin, Self::LeastLoad];

    const fn as_str(self) -> &'static str {
        match self {
            Self::Product => "product",
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
            eyre::eyre!("unknown policy {text:?}; expected product, round-robin, least-load")
        })
    }
}
