//! Which of the decisions for contended services a configuration calls for.
//!
//! Services whose callers do not compete, and whose zones are close to each other, are scheduled as one pool without
//! classes. Two needs that the configuration of a service may show switch further decisions on, each its own:
//!
//! - Its routes have different priorities, so their requests compete: the waiting order and the return of refused
//!   requests ([`super::share`], [`super::comeback`]), and, where shorter prompts are the more urgent ones, a larger
//!   reserve for medium prompts ([`super::Division`]).
//! - Its zones are far apart compared with its shortest objective, so that targets of another zone do not make up for
//!   slow ones: the pace of each target ([`super::PaceTable`]).

use std::time::Duration;

use smallvec::SmallVec;

use super::{Route, Service};

/// Fraction of the shortest objective from which a round trip between zones counts as long. Below it, the time to
/// reach another zone is lost among the errors of predictions.
const FAR_FRACTION: f64 = 0.02;

/// Decisions that the configuration of a service calls for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Policy {
    /// Whether the service's routes have different priorities.
    pub has_priorities: bool,
    /// Whether, in addition, routes with shorter objectives have higher priorities.
    pub prefers_short: bool,
    /// Whether the service's zones are far apart.
    pub has_far_zones: bool,
}

impl Policy {
    /// Derives the policy of a service from its own figures and the routes to it.
    pub(super) fn new<'r, R>(service: &Service, routes: R) -> Self
    where
        R: Iterator<Item = &'r Route>,
    {
        if service.engine.is_none() {
            return Self::default();
        }
        let mut urgencies: SmallVec<[(Duration, u8); 8]> = routes
            .map(|route| (route.objective, route.priority))
            .collect();
        urgencies.sort_unstable();
        let objective = urgencies.first().map(|(objective, _)| *objective);
        let priorities = || urgencies.iter().map(|(_, priority)| *priority);
        let has_priorities = priorities().min() != priorities().max();
        let round_trip = service.zone_delay * 2;
        Self {
            has_priorities,
            prefers_short: has_priorities && priorities().is_sorted(),
            has_far_zones: objective
                .is_some_and(|objective| round_trip >= objective.mul_f64(FAR_FRACTION))
                && !round_trip.is_zero(),
        }
    }

    /// Returns whether the service is scheduled as a contended one.
    pub fn is_contended(self) -> bool {
        self.has_priorities || self.has_far_zones
    }
}
