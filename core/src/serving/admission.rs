//! Admission control. A request that cannot be answered before its deadline is refused at once, so
//! that the caller can try elsewhere and no capacity is spent on late answers.

use std::time::Duration;

use crate::request::{Class, Id, Reason};

use super::reducer::Reducer;
use super::request::Request;

/// Retry hint when no target serves the service.
const NO_TARGET_RETRY_MS: u64 = 2_000;

/// Retry hint while the zone is out.
const ZONE_OUT_RETRY_MS: u64 = 5_000;

/// Retry hint for an organisation that exceeds its concurrency limit.
const ORGANISATION_RETRY_MS: u64 = 1_000;

/// Minimum and maximum of the retry hint when the fleet is busy.
const BUSY_RETRY_MS: (u64, u64) = (200, 30_000);

/// Waiting requests allowed for an organisation at its concurrency limit, as a multiple of the
/// limit.
const WAITING_PER_LIMIT: usize = 4;

/// Waiting requests that an organisation at its concurrency limit may always have.
const WAITING_MIN: usize = 16;

/// Expected number of generated tokens before the first complete answer gives a mean.
const DECODE_DEFAULT_TOKENS: u64 = 128;

/// Reason for a refusal, with the retry hint in milliseconds.
pub(super) type Denial = (Reason, Option<u64>);

impl Reducer {
    /// Checks whether the zone can answer a request before its deadline. Returns the denial if it
    /// cannot.
    pub(super) fn check_admission(&self, id: Id) -> Option<Denial> {
        let denial = self.check_eligibility(id);
        if denial.is_some() {
            return denial;
        }
        let request = self.requests.get(&id)?;
        let left = request.deadline.since(self.now).as_micros() as f64;
        let needed = self.predict_us(request);
        (needed > left).then(|| busy(needed - left))
    }

    /// Checks the conditions that do not depend on queue length: zone state, targets, memory and
    /// organisation limit. Returns the denial if one is not met.
    pub(super) fn check_eligibility(&self, id: Id) -> Option<Denial> {
        let request = self.requests.get(&id)?;
        if self.zone_out() {
            return Some((Reason::ZoneOut, Some(ZONE_OUT_RETRY_MS)));
        }
        if self.table.members(request.group).next().is_none() {
            return Some((Reason::NoTarget, Some(NO_TARGET_RETRY_MS)));
        }
        if request.cost.kv_tokens > self.table.group(request.group).largest_kv_tokens {
            return self.check_span_eligibility(request);
        }
        let (running, waiting) = self.queue.load(&request.arrival.organisation);
        let limit = self.limit(&request.arrival.organisation);
        let waiting_max = WAITING_MIN.max((limit as usize).saturating_mul(WAITING_PER_LIMIT));
        if running >= limit && waiting >= waiting_max {
            return Some((Reason::OrganisationLimit, Some(ORGANISATION_RETRY_MS)));
        }
        None
    }

    /// Predicts the time from now to the complete answer, in microseconds.
    fn predict_us(&self, request: &Request) -> f64 {
        let group = self.table.group(request.group);
        let class = request.class as usize;
        let mut slots = 0;
        let mut running = 0;
        let mut rate = 0.0;
        let mut targets = 0.0;
        let mut long_tokens: u64 = group.waiting_tokens[2..].iter().sum();
        let mut service_us = f64::INFINITY;
        for (_, target) in self.table.members(request.group) {
            if !target.is_open(self.now) {
                continue;
            }
            slots += target.announcement.max_running;
            running += target.zone_running();
            rate += target.announcement.prefill_tokens_per_s as f64 / 1e6;
            targets += 1.0;
            long_tokens += target.unprefilled_long();
            let target_us = target.wait_us(self.now, request.class)
                + target.prefill_us(request.cost.prefill_tokens)
                + target.decode_us(request.cost.decode_tokens);
            service_us = service_us.min(target_us);
        }
        if slots == 0 {
            // The group has targets but none accepts work now. One may become available before the
            // deadline.
            return 0.0;
        }
        let waiting: u32 = group.waiting[..=class].iter().sum();
        let excess = (running + waiting + 1).saturating_sub(slots);
        let slot_us = f64::from(excess) / f64::from(slots) * self.mean_service_us(request.group);
        // Later requests of shorter classes overtake this one. How much they slow the queue down is
        // only known from the observed interval between dispatches.
        let stalled = group.last_start[class].map_or(0, |last| self.now.since(last).as_micros());
        let interval_us = group.interval_us[class].max(stalled as f64);
        let mut queue_us = slot_us.max(f64::from(group.waiting[class]) * interval_us);
        if rate > 0.0 {
            let tokens: u64 = group.waiting_tokens[..=class].iter().sum();
            queue_us = queue_us.max(tokens as f64 / rate);
            if request.class >= Class::Long {
                // Long work is usually confined to half of the targets, see `placement::resize_long_set`.
                let long_rate = rate / targets * (targets / 2.0_f64).max(1.0);
                queue_us = queue_us.max(long_tokens as f64 / long_rate);
            }
        }
        queue_us + service_us
    }

    fn mean_service_us(&self, group: u32) -> f64 {
        let known = self.table.group(group).service_us;
        let known = known.iter().filter(|&&us| us > 0.0);
        let (sum, count) = known.fold((0.0, 0.0), |(sum, count), us| (sum + us, count + 1.0));
        if count > 0.0 { sum / count } else { 0.0 }
    }

    /// Returns the expected number of generated tokens per answer of a group.
    pub(super) fn expected_decode(&self, group: u32, max_tokens: u64) -> u64 {
        let mean = self.table.group(group).generated_tokens;
        let expected = if mean > 0.0 {
            mean as u64
        } else {
            DECODE_DEFAULT_TOKENS
        };
        expected.min(max_tokens)
    }

    /// Checks whether an answer that takes `needed_us` from now meets the deadline. Returns the
    /// denial if it does not.
    pub(super) fn check_deadline(&self, id: Id, needed_us: f64) -> Option<Denial> {
        let request = self.requests.get(&id)?;
        let left = request.deadline.since(self.now).as_micros() as f64;
        (needed_us > left).then(|| busy(needed_us - left))
    }
}

fn busy(excess_us: f64) -> Denial {
    let excess = Duration::from_micros(excess_us as u64).as_millis() as u64;
    let hint = excess.clamp(BUSY_RETRY_MS.0, BUSY_RETRY_MS.1);
    (Reason::FleetBusy, Some(hint))
}
