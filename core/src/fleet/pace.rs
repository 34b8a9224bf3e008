//! How much slower than their announced figures targets are.
//!
//! Addresses targets that run at a fraction of their pace for some seconds, among others that do not. A prompt that is
//! placed on one by the announced figures is late, and stalls the answers beside it.
//!
//! A VM measures the pace of the targets that answer it. It sends few requests to each target, so it joins what its
//! peers measured: the pace of a target is the median of the views of this VM and its peers.
//!
//! # Invariants
//!
//! - A view counts in full for [`FULL_TIME`] and not at all after [`LEASE`], so that a target that is back to normal,
//!   or of which nothing is heard, gets its share again.
//! - A VM that has not measured a target itself follows its peers only if two of them agree.
//! - Measurements are relative to those of other targets, so that a VM to which all targets seem slow, for example
//!   because its own link is, reports none of them.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::pending::Running;
use super::{Effect, Id, Reducer, Target};
use crate::time::Instant;

/// Age up to which a view counts in full.
const FULL_TIME: Duration = Duration::from_millis(1_500);

/// Age from which a view does not count.
const LEASE: Duration = Duration::from_secs(3);

/// Pace from which a target counts as deviating, so that peers are told of it. Passes that prefill short prompts are
/// up to 1.6 times as long as others.
const DEVIATING_PACE: f64 = 1.8;

/// Pace above which a target gets no work while others can take it. A pass and the prefill of one short prompt then
/// last longer than the gap objective of short prompts.
const MAX_PACE: f64 = 2.5;

/// Largest pace that is recorded.
const LARGEST_PACE: f64 = 10.0;

/// Shortest interval between two messages to peers.
const MESSAGE_INTERVAL: Duration = Duration::from_secs(1);

/// Most views in one message.
const MAX_MESSAGE_VIEWS: usize = 8;

/// Most views in one message multiplied by its recipients. It bounds the bytes that a VM of a large fleet sends.
const MAX_SENT_VIEWS: usize = 240;

/// Most targets of which views are kept.
const MAX_TARGETS: usize = 512;

/// Most views of one target that are kept; the oldest makes room.
const MAX_VIEWS: usize = 7;

/// Number of the most recent measurements from which the usual pace of targets is derived.
const SAMPLES: usize = 16;

/// Fewest measured targets from which the usual pace is derived.
const MIN_SAMPLED_TARGETS: usize = 5;

/// Age from which a measurement does not count for the usual pace.
const SAMPLE_LEASE: Duration = Duration::from_secs(10);

/// Number of gaps at the start of an answer that are measured.
const MEASURED_GAPS: u8 = 3;

/// Unit in which messages state a pace.
const PACE_UNIT: f64 = 1.0 / 16.0;

/// Unit in which messages state an age, ms.
const AGE_UNIT_MS: u128 = 16;

/// Voter of the views of this VM.
const OWN: u64 = 0;

/// A view of a target's pace, as VMs pass it on. It has six bytes in a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pace {
    /// Lower half of the hash of the target's name.
    target: [u8; 4],
    /// Ratio of actual to announced times, in sixteenths.
    pace: u8,
    /// Age of the measurement, in units of 16 ms.
    age: u8,
}

impl Pace {
    /// Creates the view of a target, given by the hash of its name.
    pub fn new(target: u64, pace: f64, age: Duration) -> Self {
        Self {
            target: short(target).to_le_bytes(),
            pace: (pace / PACE_UNIT).round().min(255.0) as u8,
            age: age.as_millis().div_ceil(AGE_UNIT_MS).min(255) as u8,
        }
    }
}

/// What one VM measured of one target.
#[derive(Debug, Clone, Copy)]
struct View {
    voter: u64,
    at: Instant,
    pace: f64,
}

impl View {
    /// Returns the pace as it counts at a later time.
    fn pace(&self, now: Instant) -> f64 {
        let age = now.since(self.at);
        let left = LEASE.saturating_sub(age).as_secs_f64();
        let fading = LEASE.saturating_sub(FULL_TIME).as_secs_f64();
        let weight = (left / fading).min(1.0);
        self.pace.powf(weight)
    }
}

/// Views of one target.
#[derive(Debug, Clone, Default)]
struct Views {
    views: SmallVec<[View; 4]>,
    /// Whether peers have not been told of this VM's view.
    unsent: bool,
}

impl Views {
    fn set(&mut self, view: View) {
        if let Some(known) = self.views.iter_mut().find(|v| v.voter == view.voter) {
            if known.at <= view.at {
                *known = view;
            }
            return;
        }
        if self.views.len() >= MAX_VIEWS {
            let oldest = self.views.iter().enumerate().min_by_key(|(_, v)| v.at);
            if let Some((oldest, _)) = oldest {
                self.views.swap_remove(oldest);
            }
        }
        self.views.push(view);
    }

    fn own(&self, now: Instant) -> Option<&View> {
        let own = self.views.iter().find(|view| view.voter == OWN);
        own.filter(|view| now.since(view.at) < LEASE)
    }

    /// Returns the lower median of the views; a VM without a view of its own assumes the announced pace.
    fn pace(&self, now: Instant) -> f64 {
        let fresh = self.views.iter().filter(|v| now.since(v.at) < LEASE);
        let mut paces: SmallVec<[f64; 8]> = fresh.map(|view| view.pace(now)).collect();
        if self.own(now).is_none() {
            paces.push(1.0);
        }
        paces.sort_unstable_by(f64::total_cmp);
        paces[(paces.len() - 1) / 2].max(1.0)
    }
}

/// Paces of all targets, by the hash of their names.
#[derive(Debug, Clone, Default)]
pub struct Table {
    targets: HashMap<u32, Views>,
    /// The most recent measurements of this VM, by target.
    samples: VecDeque<(u32, Instant, f64)>,
    sent_at: Option<Instant>,
    /// Targets that were last reported as slow.
    slow: Vec<u32>,
}

/// Returns the part of a target's hash by which it is known here. Among 340 targets, two share it with a probability of
/// one in 70,000; they would then share a pace.
fn short(target: u64) -> u32 {
    target as u32
}

impl Table {
    /// Records that `taken` passed at a target where its announced figures predict `predicted`.
    pub fn record(&mut self, now: Instant, target: u64, predicted: Duration, taken: Duration) {
        let ratio = taken.as_secs_f64() / predicted.as_secs_f64().max(1e-3);
        let ratio = ratio.clamp(0.1, LARGEST_PACE);
        let target = short(target);
        self.samples.retain(|(other, ..)| *other != target);
        if self.samples.len() >= SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((target, now, ratio));
        let pace = (ratio / self.usual(now)).max(1.0);
        if self.has_room(target) {
            let views = self.targets.entry(target).or_default();
            views.unsent = true;
            views.set(View {
                voter: OWN,
                at: now,
                pace,
            });
        }
    }

    fn has_room(&self, target: u32) -> bool {
        self.targets.len() < MAX_TARGETS || self.targets.contains_key(&target)
    }

    /// Returns the pace at which even the faster targets seem to run, at least 1. The lower quartile stays near 1 while
    /// most targets are slow and some are not.
    fn usual(&self, now: Instant) -> f64 {
        let fresh = self.samples.iter();
        let fresh = fresh.filter(|(_, at, _)| now.since(*at) < SAMPLE_LEASE);
        let mut ratios: SmallVec<[f64; SAMPLES]> = fresh.map(|(.., ratio)| *ratio).collect();
        if ratios.len() < MIN_SAMPLED_TARGETS {
            return 1.0;
        }
        ratios.sort_unstable_by(f64::total_cmp);
        ratios[ratios.len() / 4].max(1.0)
    }

    /// Takes over what a peer measured.
    pub fn merge(&mut self, now: Instant, peer: &str, paces: &[Pace]) {
        let voter = xxhash_rust::xxh3::xxh3_64(peer.as_bytes()).max(OWN + 1);
        for pace in paces.iter().take(MAX_MESSAGE_VIEWS) {
            let target = u32::from_le_bytes(pace.target);
            let age = Duration::from_millis(u64::from(pace.age) * AGE_UNIT_MS as u64);
            if age < LEASE && self.has_room(target) {
                self.targets.entry(target).or_default().set(View {
                    voter,
                    at: now - age,
                    pace: (f64::from(pace.pace) * PACE_UNIT).clamp(1.0, LARGEST_PACE),
                });
            }
        }
    }

    /// Returns the ratio of actual to announced times at a target, at least 1.
    pub fn pace(&self, now: Instant, target: u64) -> f64 {
        let views = self.targets.get(&short(target));
        views.map_or(1.0, |views| views.pace(now))
    }

    /// Returns what to tell peers now: measurements of targets that deviate, or that deviate in the view of others.
    /// Empty if there is nothing new, or if the last message is too recent.
    pub fn statements(&mut self, now: Instant, recipients: usize) -> Vec<Pace> {
        let is_early = |at: Instant| now.since(at) < MESSAGE_INTERVAL;
        if recipients == 0 || self.sent_at.is_some_and(is_early) {
            return Vec::new();
        }
        let mut unsent: Vec<(u32, View)> = Vec::new();
        for (target, views) in &self.targets {
            let deviates = views
                .views
                .iter()
                .any(|v| v.pace >= DEVIATING_PACE && now.since(v.at) < LEASE);
            if let Some(own) = views.own(now).filter(|_| views.unsent && deviates) {
                unsent.push((*target, *own));
            }
        }
        unsent.sort_unstable_by(|a, b| b.1.at.cmp(&a.1.at).then(a.0.cmp(&b.0)));
        unsent.truncate((MAX_SENT_VIEWS / recipients).clamp(1, MAX_MESSAGE_VIEWS));
        for (target, _) in &unsent {
            if let Some(views) = self.targets.get_mut(target) {
                views.unsent = false;
            }
        }
        if !unsent.is_empty() {
            self.sent_at = Some(now);
        }
        let statement =
            |(target, view): (u32, View)| Pace::new(target.into(), view.pace, now.since(view.at));
        unsent.into_iter().map(statement).collect()
    }

    /// Drops views that no longer count.
    pub fn expire(&mut self, now: Instant) {
        self.targets.retain(|_, views| {
            views.views.retain(|view| now.since(view.at) < LEASE);
            !views.views.is_empty()
        });
        self.samples
            .retain(|(_, at, _)| now.since(*at) < SAMPLE_LEASE);
    }
}

/// Measurements of a request while it runs.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Probe {
    /// Longest time to the first event that is usual at the announced pace: the prediction and one pass. None if the
    /// first event does not show the pace.
    first_event: Option<Duration>,
    /// Gaps seen so far.
    gaps: u8,
    /// Shortest of them.
    least_gap: Option<Duration>,
}

impl Reducer {
    /// Returns the probe of a request that is dispatched now. A prompt that several targets prefill, or that may have
    /// to wait for a slot, shows the pace of no single target.
    pub(super) fn probe(
        &self,
        now: Instant,
        engine: Option<&super::Engine>,
        name_hash: u64,
        choice: &super::Choice,
    ) -> Probe {
        let slots = self.directory.record(choice.target);
        let slots = slots.map_or(0, |record| record.announcement.slots);
        let running = u32::from(self.loads.load(name_hash, now).running);
        let shows_pace = choice.helpers.is_empty() && running + 1 < slots;
        let pace = self.paces.pace(now, name_hash);
        let pass = engine.map_or(0.0, |engine| engine.pass_ms(running + 1, 0));
        let pass = super::engine::predicted_duration(pass);
        Probe {
            first_event: shows_pace.then(|| choice.predicted.div_f64(pace) + pass),
            ..Probe::default()
        }
    }

    /// Records the first event of a request's answer.
    pub(super) fn record_first_event_pace(&mut self, now: Instant, running: &Running) {
        let Some(record) = self.directory.record(running.target) else {
            return;
        };
        let Some(predicted) = running.probe.first_event else {
            return;
        };
        let taken = now.since(running.sent_at);
        // An early first event proves nothing, since its pass may have been about to end.
        if taken > predicted.mul_f64(DEVIATING_PACE) {
            self.paces.record(now, record.name_hash, predicted, taken);
        }
    }

    /// Records that an answer continued after this VM waited `gap` for the target.
    pub(super) fn continued(&mut self, now: Instant, id: Id, gap: Duration) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        let (Some(engine), Some(running)) = (&pending.service.engine, &mut pending.running) else {
            return;
        };
        let Some(record) = self.directory.record(running.target) else {
            return;
        };
        let probe = &mut running.probe;
        if !pending.service.policy.has_far_zones || probe.gaps >= MEASURED_GAPS {
            return;
        }
        let load = self.loads.load(record.name_hash, now);
        let sequences = u32::from(load.running).clamp(1, engine.slots);
        let pass_ms = engine.pass_ms(sequences, u64::from(load.kv_tokens));
        let pass = super::engine::predicted_duration(pass_ms);
        // Events that were held up on the way arrive together.
        if gap < pass / 2 {
            return;
        }
        probe.gaps += 1;
        let least = probe.least_gap.map_or(gap, |least| least.min(gap));
        probe.least_gap = Some(least);
        // A pass takes at most the gap. A single long gap may be due to the prefill of another prompt.
        if probe.gaps > 1 || least < pass.mul_f64(DEVIATING_PACE) {
            self.paces.record(now, record.name_hash, pass, least);
        }
    }

    /// Returns the factor by which first events of a target exceed the prediction.
    pub(super) fn slowdown(
        &self,
        now: Instant,
        service: &super::Service,
        target: Target,
        name_hash: u64,
    ) -> f64 {
        if service.policy.has_far_zones {
            return self.paces.pace(now, name_hash);
        }
        let health = self.health.get(&target);
        health.map_or(1.0, super::Health::slowdown)
    }

    /// Returns whether a target should get no work while others can take it.
    pub(super) fn is_avoided(
        &self,
        now: Instant,
        service: &super::Service,
        target: Target,
        record: &super::directory::Record,
    ) -> bool {
        let health = self.health.get(&target);
        if !service.policy.has_far_zones {
            return health.is_some_and(|health| health.avoided(now, record.heard));
        }
        health.is_some_and(|health| health.is_failing(now, record.heard))
            || self.paces.pace(now, record.name_hash) > MAX_PACE
    }

    /// Tells peers of deviating targets.
    pub(super) fn report_paces(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if self.paces.targets.is_empty() {
            return;
        }
        let recipients = self.topology.recipients();
        let paces = self.paces.statements(now, recipients.len());
        if !paces.is_empty() {
            effects.push(Effect::ReportPaces(
                std::sync::Arc::clone(recipients),
                paces,
            ));
        }
    }

    /// Reports the targets that became slow or normal since the last call, and drops old views.
    pub(super) fn update_paces(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let mut slow: Vec<u32> = Vec::new();
        for (_, record) in self.directory.records() {
            let name_hash = record.name_hash;
            let was_slow = self.paces.slow.contains(&short(name_hash));
            let pace = self.paces.pace(now, name_hash);
            let is_slow = pace > if was_slow { DEVIATING_PACE } else { MAX_PACE };
            if is_slow {
                slow.push(short(name_hash));
            }
            if is_slow != was_slow {
                let name = std::sync::Arc::clone(&record.announcement.name);
                effects.push(Effect::PaceChanged(name, is_slow.then_some(pace)));
            }
        }
        self.paces.slow = slow;
        self.paces.expire(now);
    }
}
