//! Division of the targets without short prompts between medium and long prompts.
//!
//! Some of these targets are reserved for medium prompts. In a burst of long prompts while targets are few, as when a
//! zone is out, the parts of long prompts fill all others, and the reserve is too small: medium prompts are late or
//! refused, although their callers wait for a much shorter time. Where the configuration says that shorter prompts are
//! more urgent, more targets are reserved, so that long prompts wait.
//!
//! The division has no memory and sends nothing: it follows the loads of the targets that each VM knows.
//!
//! # Invariants
//!
//! - Services whose shorter prompts are not more urgent keep the usual reserve.

use super::Policy;

/// Fraction of the targets without short prompts that is reserved for medium prompts.
const RESERVED_FRACTION: f64 = 0.2;

/// The same where shorter prompts are more urgent.
const URGENT_RESERVED_FRACTION: f64 = 0.4;

/// Division of the targets of one service.
#[derive(Debug, Clone, Copy, Default)]
pub struct Division {
    prefers_short: bool,
}

impl Division {
    /// Creates the division that the policy of a service calls for.
    pub fn new(policy: Policy) -> Self {
        Self {
            prefers_short: policy.prefers_short,
        }
    }

    /// Returns how many of the targets without short prompts are reserved for medium prompts.
    pub(super) fn reserved_targets(self, targets: usize) -> usize {
        let fraction = if self.prefers_short {
            URGENT_RESERVED_FRACTION
        } else {
            RESERVED_FRACTION
        };
        (targets as f64 * fraction) as usize
    }
}
