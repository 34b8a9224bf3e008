//! A request that has no final outcome yet.

use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::engine::predicted;
use super::planner::{Asked, Foreign};
use super::{Choice, Organisation, Placement, Request, Route, Service, Target, Tokens};
use crate::time::Instant;

/// Assumed size of a generation that does not tell it.
const DEFAULT_TOKENS: Tokens = Tokens {
    prompt: 4_000,
    answer: 500,
};

/// Pause between events that is on time where the route does not say.
const DEFAULT_GAP: Duration = Duration::from_millis(500);

#[derive(Debug, Clone)]
pub(super) struct Running {
    pub(super) target: Target,
    pub(super) sent_at: Instant,
    pub(super) predicted: Duration,
    pub(super) started: bool,
}

#[derive(Debug, Clone)]
pub(super) struct Pending {
    pub(super) request: Request,
    pub(super) route: Arc<Route>,
    pub(super) service: Arc<Service>,
    pub(super) organisation: Option<Arc<Organisation>>,
    pub(super) arrived: Instant,
    pub(super) deadline: Instant,
    pub(super) attempts: u32,
    pub(super) unreachable: u32,
    pub(super) tried: SmallVec<[Target; 4]>,
    /// Whether an earlier attempt may have run.
    pub(super) may_have_run: bool,
    pub(super) running: Option<Running>,
    /// Whether it was placed on targets without short prompts.
    pub(super) exclusive: bool,
    /// Whether it has waited in line.
    pub(super) queued: bool,
    /// Whether it waits for a slot beside other short prompts.
    pub(super) short: bool,
    /// Until when it can wait in line and be on time.
    pub(super) urgent_until: Option<Instant>,
    /// Since when it could be placed but leaves the targets to a more urgent one.
    pub(super) chance_at: Option<Instant>,
    /// Since when the planner is asked for targets.
    pub(super) asked: Option<Asked>,
    /// Whether this VM decides without the planner.
    pub(super) local: bool,
    /// The VM that gave the targets at which it runs.
    pub(super) planner: Option<Arc<str>>,
    /// The VM that asked, if the request is not one of this VM.
    pub(super) foreign: Option<Foreign>,
}

impl Pending {
    /// Creates a request that has not been placed.
    pub(super) fn new(
        request: Request,
        route: Arc<Route>,
        service: Arc<Service>,
        arrived: Instant,
        deadline: Instant,
    ) -> Self {
        Self {
            request,
            route,
            service,
            organisation: None,
            arrived,
            deadline,
            attempts: 0,
            unreachable: 0,
            tried: SmallVec::new(),
            may_have_run: false,
            running: None,
            exclusive: false,
            queued: false,
            short: false,
            urgent_until: None,
            chance_at: None,
            asked: None,
            local: false,
            planner: None,
            foreign: None,
        }
    }

    /// Returns the size of the request.
    pub(super) fn tokens(&self) -> Tokens {
        self.request.tokens.unwrap_or(DEFAULT_TOKENS)
    }

    /// Returns whether it waits for a slot beside other short prompts.
    pub(super) fn waits_for_slot(&self) -> bool {
        self.short && self.running.is_none()
    }

    /// Returns whether it runs at targets that the planner gave.
    pub(super) fn runs_granted(&self) -> bool {
        self.planner.is_some() && self.running.is_some()
    }
}

/// Returns the shortest pause between events that is on time for a service's routes.
pub(super) fn gap(service: &Service) -> Duration {
    service.gap.unwrap_or(DEFAULT_GAP)
}

/// Returns whether a prompt reads apart from short ones.
pub(super) fn reads_apart(service: &Service, tokens: Tokens) -> bool {
    let engine = service.engine.as_ref();
    engine.is_some_and(|engine| Placement::apart(engine, tokens, gap(service)))
}

/// Returns the longest time that a request usually takes: that of an answer with all its tokens.
pub(super) fn duration(service: &Service, tokens: Tokens, choice: &Choice) -> Duration {
    const SLOWER: f64 = 1.4;
    const PLAIN: Duration = Duration::from_millis(400);
    let Some(engine) = &service.engine else {
        return PLAIN;
    };
    let decode_ms = engine.decode_ms(tokens.answer, engine.slots, tokens.prompt) * SLOWER;
    choice.predicted + predicted(decode_ms)
}

/// Returns the time that a request takes at the least, when it has many targets to read its prompt.
pub(super) fn least_duration(service: &Service, tokens: Tokens) -> Duration {
    /// Targets that usually read a long prompt.
    const READERS: f64 = 8.0;
    let Some(engine) = &service.engine else {
        return Duration::ZERO;
    };
    let decode_ms = engine.decode_ms(tokens.answer, engine.slots, tokens.prompt);
    predicted(engine.prefill_ms(tokens.prompt) / READERS + decode_ms)
}

/// Returns the gap after which callers leave a stream: two seconds, four times the objective or eight times
/// the longest pause, whichever is longest.
pub(super) fn caller_limit(route: &Route) -> Duration {
    const SHORTEST: Duration = Duration::from_secs(2);
    let gap = route.gap.unwrap_or_default();
    SHORTEST.max(route.objective * 4).max(gap * 8)
}

/// Returns how long a target may be silent. Another target needs the rest before the caller leaves.
pub(super) fn stall_timeout(route: &Route) -> Duration {
    // Most of the shortest limit is needed to tell a silent target from one that reads a long prompt.
    const SHORTEST: Duration = Duration::from_millis(1_700);
    const PART: f64 = 0.6;
    caller_limit(route).mul_f64(PART).max(SHORTEST)
}

/// Chooses a service by the weights of a route; one request always gets the same.
pub(super) fn choose_service<'r>(route: &'r Route, request: &str) -> Option<&'r Arc<str>> {
    let total: u64 = route
        .split
        .iter()
        .map(|(_, weight)| u64::from(*weight))
        .sum();
    if total == 0 {
        return None;
    }
    let mut point = xxhash_rust::xxh3::xxh3_64(request.as_bytes()) % total;
    for (service, weight) in &route.split {
        let weight = u64::from(*weight);
        if point < weight {
            return Some(service);
        }
        point -= weight;
    }
    None
}
