//! Undivided placement of a long prompt at a target that holds most of it.
//!
//! Long prompts are divided over several targets, each of which prefills an equal part and stalls the requests beside
//! it. A target that holds the beginning of the prompt can prefill the rest alone, at a fraction of the work. That pays
//! only if the prefix is very likely still held: otherwise one target prefills the whole prompt, and everything beside
//! it stalls.

use smallvec::SmallVec;

use super::engine::predicted_duration;
use super::pending::{Pending, gap};
use super::placement::{Candidate, first_event_ms, fits, stalled_value};
use super::planner::is_peer_request;
use super::{Choice, Division, Effect, Engine, Id, Placement, Reducer, Tokens};
use crate::time::Instant;

/// Least part of the prefill that must be saved. Below it, divided prefill ends sooner for little more work.
const MIN_SAVED_FRACTION: f64 = 0.4;

/// Least probability that the prefix is still held.
const MIN_CHANCE: f64 = 0.75;

/// Longest prefill backlog of a target that takes such a prompt, ms. Prompts that arrive together are prefilled in one
/// pass, and the requests beside them stall for the sum.
const MAX_BACKLOG_MS: u32 = 60;

/// Fraction of the objective within which the first event is predicted. The rest covers parts of other prompts that
/// arrive later and are prefilled first.
const OBJECTIVE_FRACTION: f64 = 0.6;

impl Placement {
    /// Chooses the target that holds enough of a long prompt to prefill the rest alone in time and without stalling
    /// others; none if there is no such target.
    pub fn place_at_holder(
        &self,
        engine: &Engine,
        tokens: Tokens,
        candidates: &[Candidate],
    ) -> Option<Choice> {
        let prefill_ms = engine.prefill_ms(tokens.prompt);
        let gap_ms = self.gap.as_secs_f64() * 1e3;
        let latest_ms = self.objective.as_secs_f64() * 1e3 * OBJECTIVE_FRACTION;
        let (first_ms, holder) = candidates
            .iter()
            .filter(|c| {
                c.saving.ms >= prefill_ms * MIN_SAVED_FRACTION
                    && c.saving.chance >= MIN_CHANCE
                    && !c.avoided
                    && !c.cold
                    && c.load.prefill_ms <= MAX_BACKLOG_MS
                    // Others must not stall even if the prefix turns out to be evicted.
                    && stalled_value(engine, c, prefill_ms, gap_ms) <= 0.0
                    && fits(engine, c, tokens)
            })
            .map(|c| (c, prefill_ms - c.saving.ms))
            .map(|(c, rest_ms)| (first_event_ms(engine, c, rest_ms), c))
            .filter(|(first_ms, _)| *first_ms <= latest_ms)
            .min_by(|(a, x), (b, y)| a.total_cmp(b).then(x.tie_break.cmp(&y.tie_break)))?;
        Some(Choice {
            target: holder.target,
            helpers: SmallVec::new(),
            predicted: predicted_duration(first_ms),
            prefill_ms: prefill_ms - holder.saving.ms,
            exclusive: true,
            cost: 0.0,
            idle: true,
            saving: holder.saving,
        })
    }
}

impl Reducer {
    /// Dispatches a long prompt undivided to a target that holds most of it; returns whether there is one. No other VM
    /// has to be asked: the prompt takes few resources of one target.
    pub(super) fn dispatch_to_holder(
        &mut self,
        now: Instant,
        id: Id,
        pending: &Pending,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let tokens = pending.tokens();
        let Some(engine) = &pending.service.engine else {
            return false;
        };
        if engine.prefix_cache_tokens == 0
            || is_peer_request(id)
            || pending.query.is_some()
            || pending.may_have_run
            || self.shutdown_at.is_some()
            || !Placement::needs_exclusive(engine, tokens, gap(&pending.service))
            || self.holdings(now, pending).is_none()
        {
            return false;
        }
        let placement = Placement {
            objective: pending
                .route
                .objective
                .saturating_sub(now.since(pending.arrived)),
            gap: gap(&pending.service),
            division: Division::new(pending.service.policy),
        };
        let candidates = self.candidates(now, pending);
        let Some(choice) = placement.place_at_holder(engine, tokens, &candidates) else {
            return false;
        };
        self.dispatch(now, id, &choice, tokens, effects);
        true
    }
}
