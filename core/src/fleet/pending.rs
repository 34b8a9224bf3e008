//! Requests that have no final outcome yet, and the times derived from their routes and services.

use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::engine::predicted_duration;
use super::pace::Probe;
use super::planner::{Origin, PendingQuery};
use super::{
    Choice, Organisation, PartIds, Placement, Request, Route, Saving, Service, Target, Tokens,
};
use crate::time::Instant;

/// Assumed size of a generation that does not state its size.
const DEFAULT_TOKENS: Tokens = Tokens {
    prompt: 4_000,
    answer: 500,
};

/// Gap objective where no route sets one.
const DEFAULT_GAP: Duration = Duration::from_millis(500);

#[derive(Debug, Clone)]
pub(super) struct Running {
    pub(super) target: Target,
    pub(super) sent_at: Instant,
    pub(super) predicted: Duration,
    /// Measurements of the target's pace.
    pub(super) probe: Probe,
    /// What the target was expected to save of the prefill.
    pub(super) saving: Saving,
    /// Whether it holds the KV cache of the whole prompt.
    pub(super) holds_prompt: bool,
    /// When the first event arrived.
    pub(super) started_at: Option<Instant>,
    /// Whether its answer has been recorded as one that the target bears.
    pub(super) answered: bool,
}

#[derive(Debug, Clone)]
pub(super) struct Pending {
    pub(super) request: Request,
    pub(super) route: Arc<Route>,
    pub(super) service: Arc<Service>,
    pub(super) organisation: Option<Arc<Organisation>>,
    /// Parts that stand for the request as a whole in reports of crashes; empty for a peer's request.
    pub(super) whole_request: PartIds,
    pub(super) arrived: Instant,
    pub(super) deadline: Instant,
    pub(super) attempts: u32,
    pub(super) unreachable: u32,
    pub(super) tried: SmallVec<[Target; 4]>,
    /// Whether its next attempt is a trial of the rules that refuse it.
    pub(super) is_trial: bool,
    /// Whether an earlier attempt may have run.
    pub(super) may_have_run: bool,
    pub(super) running: Option<Running>,
    /// Whether it was placed on targets without short prompts.
    pub(super) exclusive: bool,
    /// Whether it has been queued before.
    pub(super) queued: bool,
    /// Whether it shares targets with short prompts and has waited for a slot.
    pub(super) needs_slot: bool,
    /// Whether it was refused before and returned when it was told to.
    pub(super) claimed: bool,
    /// Time until which it can wait in the queue and still meet its objective.
    pub(super) latest_start: Option<Instant>,
    /// Time since which it could be placed but defers to a more urgent request.
    pub(super) placeable_since: Option<Instant>,
    /// Query to the planner that has no final answer yet.
    pub(super) query: Option<PendingQuery>,
    /// Whether this VM places it without the planner.
    pub(super) decide_locally: bool,
    /// VM that granted the targets on which it runs.
    pub(super) planner: Option<Arc<str>>,
    /// Peer that sent the query, if the request is a peer's.
    pub(super) origin: Option<Origin>,
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
            whole_request: PartIds::new(),
            arrived,
            deadline,
            attempts: 0,
            unreachable: 0,
            tried: SmallVec::new(),
            is_trial: false,
            may_have_run: false,
            running: None,
            exclusive: false,
            queued: false,
            needs_slot: false,
            claimed: false,
            latest_start: None,
            placeable_since: None,
            query: None,
            decide_locally: false,
            planner: None,
            origin: None,
        }
    }

    /// Returns the size of the request.
    pub(super) fn tokens(&self) -> Tokens {
        self.request.tokens.unwrap_or(DEFAULT_TOKENS)
    }

    /// Returns whether it waits for a slot on a shared target.
    pub(super) fn waits_for_slot(&self) -> bool {
        self.needs_slot && self.running.is_none()
    }

    /// Returns whether it runs on targets that the planner granted.
    pub(super) fn runs_on_grant(&self) -> bool {
        self.planner.is_some() && self.running.is_some()
    }
}

/// Returns the smallest gap objective of a service's routes.
pub(super) fn gap(service: &Service) -> Duration {
    service.gap.unwrap_or(DEFAULT_GAP)
}

/// Returns whether a prompt must be placed on targets without short prompts.
pub(super) fn needs_exclusive(service: &Service, tokens: Tokens) -> bool {
    let engine = service.engine.as_ref();
    engine.is_some_and(|engine| Placement::needs_exclusive(engine, tokens, gap(service)))
}

/// Returns the longest time that a request usually takes: that of an answer of the full length.
pub(super) fn max_duration(service: &Service, tokens: Tokens, choice: &Choice) -> Duration {
    /// Ratio of actual to predicted decode time that is allowed for.
    const SLOWDOWN: f64 = 1.4;
    /// Assumed duration of a request to a plain service.
    const PLAIN_DURATION: Duration = Duration::from_millis(400);
    let Some(engine) = &service.engine else {
        return PLAIN_DURATION;
    };
    let decode_ms = engine.decode_ms(tokens.answer, engine.slots, tokens.prompt) * SLOWDOWN;
    choice.predicted + predicted_duration(decode_ms)
}

/// Returns the least time that a request takes, with many targets to prefill its prompt.
pub(super) fn min_duration(service: &Service, tokens: Tokens) -> Duration {
    /// Typical number of targets that prefill a long prompt.
    const PREFILL_TARGETS: f64 = 8.0;
    let Some(engine) = &service.engine else {
        return Duration::ZERO;
    };
    let decode_ms = engine.decode_ms(tokens.answer, engine.slots, tokens.prompt);
    predicted_duration(engine.prefill_ms(tokens.prompt) / PREFILL_TARGETS + decode_ms)
}

/// Returns the gap between events after which callers disconnect: the longest of two seconds, four times
/// the objective and eight times the gap objective.
pub(super) fn caller_gap_limit(route: &Route) -> Duration {
    const MINIMUM: Duration = Duration::from_secs(2);
    let gap = route.gap.unwrap_or_default();
    MINIMUM.max(route.objective * 4).max(gap * 8)
}

/// Returns how long a target may send nothing. It is shorter than [`caller_gap_limit`], so that
/// another target has time to answer before the caller disconnects.
pub(super) fn stall_timeout(route: &Route) -> Duration {
    // Less time would not tell a stalled target from one that prefills a long prompt.
    const MINIMUM: Duration = Duration::from_millis(1_700);
    const CALLER_LIMIT_FRACTION: f64 = 0.6;
    caller_gap_limit(route)
        .mul_f64(CALLER_LIMIT_FRACTION)
        .max(MINIMUM)
}

/// Chooses a service by the weights of a route; the same request always gets the same service.
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
