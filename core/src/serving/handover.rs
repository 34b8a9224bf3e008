//! Hand-over of requests to other zones when this zone cannot answer them in time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::request::{End, Id, Outcome, Reason};
use crate::time::Instant;
use crate::zone::{Capacity, Summary};

use super::effect::Effect;
use super::reducer::Reducer;
use super::request::{Request, Stage};

/// Age up to which a capacity summary is used.
const SUMMARY_MAX_AGE: Duration = Duration::from_secs(5);

/// Latest capacity summaries of the other zones.
#[derive(Debug, Default)]
pub(super) struct Zones {
    summaries: BTreeMap<Arc<str>, (Instant, Summary)>,
}

impl Zones {
    /// Records a summary. Returns whether it is newer than the known one.
    pub fn update(&mut self, now: Instant, summary: Summary) -> bool {
        let newer = self.summaries.get(&summary.zone).is_none_or(|(at, known)| {
            // Epochs restart when all voters of a zone restart at the same time, so old summaries
            // are always replaced.
            (summary.epoch, summary.sequence) > (known.epoch, known.sequence)
                || now.since(*at) > SUMMARY_MAX_AGE
        });
        if newer {
            let zone = Arc::clone(&summary.zone);
            self.summaries.insert(zone, (now, summary));
        }
        newer
    }

    /// Returns the zone with the earliest predicted first token that meets the deadline. `out`
    /// tells whether a zone is out of service.
    fn best<Out>(&self, now: Instant, request: &Request, out: Out) -> Option<&Summary>
    where
        Out: Fn(&str) -> bool,
    {
        let left = request.deadline.since(now).as_secs_f64();
        self.summaries
            .values()
            .filter(|(at, summary)| {
                now.since(*at) <= SUMMARY_MAX_AGE
                    && !summary.entries.is_empty()
                    && !out(&summary.zone)
                    && !request.refused_by.contains(&summary.zone)
            })
            .filter_map(|(_, summary)| {
                let capacity = summary
                    .services
                    .iter()
                    .find(|entry| entry.service == request.arrival.service)?;
                let seconds = predict_s(capacity, request)?;
                (seconds <= left).then_some((seconds, summary))
            })
            .min_by(|first, second| first.0.total_cmp(&second.0))
            .map(|(_, summary)| summary)
    }
}

fn predict_s(capacity: &Capacity, request: &Request) -> Option<f64> {
    if capacity.warm_targets == 0 {
        return None;
    }
    if capacity.prefill_tokens_per_s <= 0.0 {
        return Some(0.0);
    }
    let needed = request.cost.kv_tokens;
    if needed > capacity.largest_kv_tokens && needed > capacity.spanning_kv_tokens {
        return None;
    }
    let own_rate = capacity.prefill_tokens_per_s / f64::from(capacity.warm_targets);
    let wait = capacity.backlog_tokens as f64 / capacity.prefill_tokens_per_s;
    Some(wait + request.cost.prefill_tokens as f64 / own_rate)
}

impl Reducer {
    /// Hands a request that has not been dispatched to another zone. Returns false if no zone can
    /// take it.
    ///
    /// A request that holds a claim stays, because the other zone could not claim the same key.
    pub(super) fn hand_over(&mut self, id: Id, effects: &mut Vec<Effect>) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        if request.arrival.handed_over || request.claimed || request.may_have_run {
            return false;
        }
        let zones_out = |zone: &str| self.is_zone_out(zone);
        let Some(summary) = self.zones.best(self.now, request, zones_out) else {
            return false;
        };
        let zone = Arc::clone(&summary.zone);
        let at = self.rng.next_u64() as usize % summary.entries.len();
        let address: SocketAddr = summary.entries[at];
        self.dequeue(id);
        let Some(request) = self.requests.get_mut(&id) else {
            return false;
        };
        request.stage = Stage::HandedOver { zone };
        self.counters.handed_over += 1;
        effects.push(Effect::HandOver {
            request: id,
            address,
        });
        true
    }

    /// Handles the end of a request in another zone.
    pub(super) fn handle_handed_over(&mut self, id: Id, end: End, effects: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Stage::HandedOver { zone } = &request.stage else {
            return;
        };
        let zone = Arc::clone(zone);
        match end {
            End::Complete { .. } => {
                self.remove(id);
                self.counters.count_outcome(Outcome::Answered);
                effects.push(Effect::Complete(id));
            }
            End::NotRun { .. } => {
                request.refused_by.push(zone);
                request.stage = Stage::Queued;
                if self.hand_over(id, effects) {
                    return;
                }
                match self.check_admission(id) {
                    Some((reason, hint)) => {
                        self.finish(id, Outcome::NotRun, reason, hint, effects);
                    }
                    None => self.admit(id, effects),
                }
            }
            End::NoAnswer => {
                self.finish(id, Outcome::Unknown, Reason::TargetFailed, None, effects);
            }
            End::Truncated => {
                self.finish(id, Outcome::Failed, Reason::TargetFailed, None, effects);
            }
        }
    }
}
