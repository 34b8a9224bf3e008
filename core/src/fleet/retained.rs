//! Beginnings of prompts that targets have retained from earlier requests.
//!
//! Many requests begin with the same parts: instructions, a document, the earlier turns of a conversation. An engine
//! that still holds such a prefix in its KV cache prefills only the rest of the prompt, so the first event comes sooner
//! and the requests beside it stall for less time. With shared prefixes of 40,000 tokens, this is half a second for each
//! prompt. Engines do not tell what they hold. Each VM therefore assumes that a target holds the prefixes of the prompts
//! which it was seen to prefill, until newer ones have probably taken their place.
//!
//! An entry is an assumption that may be wrong at any time: engines evict and restart without notice. If it is, the
//! prompt is prefilled as if nothing were held. Late first events lower the trust in what a target is said to hold.
//!
//! A VM of a large fleet sees few of the requests that share a prefix, so VMs pass on what they know. Each second, a VM
//! tells two peers in turn which targets were last seen with a shared prefix. What it heard itself is passed on with its
//! age, so news reaches all VMs in some seconds although each sends less than 1 KB/s.
//!
//! Only services whose engines have [`Engine::prefix_cache_tokens`] use this.
//!
//! # Invariants
//!
//! - At most [`MAX_HOLDINGS`] entries are kept, each for at most [`MAX_AGE`].
//! - A target of whose slots [`FILL_FRACTION`] are taken saves nothing, so a prefix never overloads a target: others
//!   prefill it and hold it as well from then on.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::pending::Pending;
use super::{Effect, Engine, Id, Load, Prefix, Reducer};
use crate::time::Instant;

/// Age after which an entry is dropped. It bounds how long an eviction without notice is not seen.
const MAX_AGE: Duration = Duration::from_mins(1);

/// Largest number of entries. They take 24 bytes each, with their share of the map less than 600 KB.
const MAX_HOLDINGS: usize = 12 * 1024;

/// Largest number of targets that are known to hold one prefix. More of them would not make the wait at the best one
/// shorter.
const MAX_HOLDERS: usize = 32;

/// Fraction of the slots of a target above which its prefixes do not attract requests. The rest absorbs the requests of
/// peers that have not been reported yet.
const FILL_FRACTION: f64 = 0.75;

/// Prompt tokens that a target prefilled since the last use of a prefix, relative to its cache, up to which the prefix
/// is certainly held. The estimate of these tokens is a mean over all targets of the service, but long prompts, which
/// bring most of them, use only some of the targets. With 0.6, a fifth of the prompts sent to holders found nothing.
const CERTAIN_TURNOVER: f64 = 0.3;

/// The same from which it is certainly evicted.
const EVICTED_TURNOVER: f64 = 0.8;

/// Half-life of the rate at which prompt tokens are prefilled.
const RATE_HALF_LIFE: Duration = Duration::from_secs(10);

/// Factor on the trust in a target after a first event that came too late for a held prefix.
const MISS_FACTOR: f64 = 0.6;

/// Part of the missing trust that returns with each first event in time, and with each second.
const TRUST_RETURN: f64 = 0.15;

/// Least predicted saving whose first event tells whether the prefix was held, ms. The time of a pass hides smaller ones.
const MIN_TELLING_MS: f64 = 100.0;

/// Interval at which a VM tells peers what targets hold.
const SHARE_INTERVAL: Duration = Duration::from_secs(1);

/// Peers that are told each time.
const SHARE_PEERS: usize = 2;

/// Most prefixes in one message, so that the messages of a second stay under 1 KB: each takes at most 25 bytes.
pub const MAX_STATEMENTS: usize = 18;

/// A target that a VM assumes to hold a prefix, as it tells its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetainedStatement {
    /// Hash of the target's name.
    pub target: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Time since the prefix was last part of a prompt there, ms.
    pub age_ms: u32,
}

/// What a target saves of the prefill of one prompt.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Saving {
    /// Prefill time that is saved if the prefix is still held, ms.
    pub ms: f64,
    /// Probability that it is.
    pub chance: f64,
}

impl Saving {
    /// Returns the expected saving, ms.
    pub fn expected_ms(self) -> f64 {
        self.ms * self.chance
    }
}

/// A target that is assumed to hold a prefix.
#[derive(Debug, Clone, Copy)]
struct Holder {
    /// Hash of the target's name.
    target: u64,
    /// When the prefix was last part of a prompt there.
    used_at: Instant,
    /// Whether another request may begin with it: it was not a whole prompt.
    is_shared: bool,
}

/// Prompt tokens that this VM's requests added to the caches of a service's targets, decayed.
#[derive(Debug, Clone, Copy)]
struct Intake {
    tokens: f64,
    at: Instant,
}

impl Intake {
    fn decayed(self, now: Instant) -> f64 {
        let half_lives = now.since(self.at).as_secs_f64() / RATE_HALF_LIFE.as_secs_f64();
        self.tokens * (-half_lives).exp2()
    }
}

/// Prefixes that targets are assumed to hold.
#[derive(Debug, Clone, Default)]
pub struct Retained {
    holders: HashMap<u64, SmallVec<[Holder; 2]>>,
    count: usize,
    intakes: HashMap<Arc<str>, Intake>,
    /// Trust in what targets are assumed to hold, from 0 to 1, where it is not 1.
    trust: HashMap<u64, f64>,
    shared_at: Instant,
    /// Number of messages sent, which gives the next recipient.
    sent: usize,
}

impl Retained {
    /// Records that a target has prefilled a prompt with these prefixes, the last of which is the whole prompt.
    pub fn record(&mut self, now: Instant, target: u64, prefixes: &[Prefix]) {
        for (index, prefix) in prefixes.iter().enumerate() {
            let holder = Holder {
                target,
                used_at: now,
                is_shared: index + 1 < prefixes.len(),
            };
            self.set(prefix.hash, holder);
        }
    }

    /// Takes over what a peer tells.
    pub fn merge(&mut self, now: Instant, statements: &[RetainedStatement]) {
        for statement in statements {
            let age = Duration::from_millis(statement.age_ms.into());
            if age < MAX_AGE {
                let holder = Holder {
                    target: statement.target,
                    used_at: now - age,
                    is_shared: true,
                };
                self.set(statement.prefix, holder);
            }
        }
    }

    /// Returns the shared prefixes that were used last, to tell a peer.
    pub fn statements(&self, now: Instant) -> Vec<RetainedStatement> {
        let all = self.holders.iter().flat_map(|(prefix, holders)| {
            let shared = holders.iter().filter(|holder| holder.is_shared);
            shared.map(|holder| RetainedStatement {
                target: holder.target,
                prefix: *prefix,
                age_ms: now.since(holder.used_at).as_millis() as u32,
            })
        });
        let mut all: Vec<RetainedStatement> = all.collect();
        let order = |s: &RetainedStatement| (s.age_ms, s.prefix, s.target);
        if all.len() > MAX_STATEMENTS {
            all.select_nth_unstable_by_key(MAX_STATEMENTS, order);
            all.truncate(MAX_STATEMENTS);
        }
        all.sort_unstable_by_key(order);
        all
    }

    /// Records that a request added tokens to the cache of one target of a service.
    pub fn record_intake(&mut self, now: Instant, service: &Arc<str>, tokens: u64) {
        let tokens = tokens as f64;
        let intakes = self.intakes.entry(Arc::clone(service));
        let intake = intakes.or_insert(Intake {
            tokens: 0.0,
            at: now,
        });
        *intake = Intake {
            tokens: intake.decayed(now) + tokens,
            at: now,
        };
    }

    /// Returns the rate at which this VM's requests add tokens to the caches of a service, tokens per second.
    pub fn intake_per_s(&self, now: Instant, service: &str) -> f64 {
        let intake = self.intakes.get(service);
        let tokens = intake.map_or(0.0, |intake| intake.decayed(now));
        tokens * std::f64::consts::LN_2 / RATE_HALF_LIFE.as_secs_f64()
    }

    /// Records whether the first event of a request came in time for a prefix that was assumed to be held.
    pub fn record_answer(&mut self, target: u64, in_time: bool) {
        let trust = self.trust.entry(target).or_insert(1.0);
        if in_time {
            *trust += TRUST_RETURN * (1.0 - *trust);
        } else {
            *trust *= MISS_FACTOR;
        }
    }

    fn set(&mut self, prefix: u64, holder: Holder) {
        let is_full = self.count >= MAX_HOLDINGS;
        if is_full && !self.holders.contains_key(&prefix) {
            return;
        }
        let holders = self.holders.entry(prefix).or_default();
        if let Some(known) = holders.iter_mut().find(|h| h.target == holder.target) {
            known.used_at = known.used_at.max(holder.used_at);
            known.is_shared |= holder.is_shared;
        } else if holders.len() < MAX_HOLDERS && !is_full {
            holders.push(holder);
            self.count += 1;
        } else if let Some(oldest) = holders.iter_mut().min_by_key(|h| h.used_at)
            && oldest.used_at < holder.used_at
        {
            *oldest = holder;
        }
    }

    /// Returns what targets hold of a prompt with these prefixes, the shortest first.
    pub fn holdings(&self, now: Instant, prompt: Prompt, prefixes: &[Prefix]) -> Holdings {
        let mut found: SmallVec<[Holding; 16]> = SmallVec::new();
        for prefix in prefixes.iter().rev() {
            for holder in self.holders.get(&prefix.hash).into_iter().flatten() {
                found.push(Holding {
                    target: holder.target,
                    tokens: prefix.tokens,
                    added: prompt.intake_per_s * now.since(holder.used_at).as_secs_f64(),
                    trust: self.trust.get(&holder.target).copied().unwrap_or(1.0),
                });
            }
        }
        found.sort_by_key(|holding| holding.target);
        Holdings { prompt, found }
    }

    /// Forgets what a target held, after its restart.
    pub fn forget(&mut self, target: u64) {
        self.trust.remove(&target);
        self.retain(|holder| holder.target != target);
    }

    /// Drops what is too old, and what is known of targets that are gone. Called once a second.
    pub fn expire<F>(&mut self, now: Instant, is_known: F)
    where
        F: Fn(u64) -> bool,
    {
        // When the table is full, the older half of its time range makes room.
        let max_age = if self.count >= MAX_HOLDINGS {
            let all = self.holders.values().flatten();
            let oldest = all.map(|holder| now.since(holder.used_at)).max();
            oldest.unwrap_or_default() / 2
        } else {
            MAX_AGE
        };
        self.retain(|holder| now.since(holder.used_at) < max_age && is_known(holder.target));
        self.trust.retain(|target, trust| {
            *trust += TRUST_RETURN * (1.0 - *trust);
            *trust < 0.99 && is_known(*target)
        });
    }

    fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&Holder) -> bool,
    {
        self.holders.retain(|_, holders| {
            holders.retain(|holder| keep(holder));
            !holders.is_empty()
        });
        self.count = self.holders.values().map(SmallVec::len).sum();
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }
}

#[derive(Debug, Clone, Copy)]
struct Holding {
    target: u64,
    /// Length of the prefix, tokens.
    tokens: u64,
    /// Tokens that were probably added to the target's cache since its last use.
    added: f64,
    trust: f64,
}

/// What decides how much of a prompt is prefilled at a target.
#[derive(Debug, Clone, Copy)]
pub struct Prompt {
    /// Figures of the engines.
    pub engine: Engine,
    /// Length of the prompt, tokens.
    pub tokens: u64,
    /// Rate at which all VMs together add tokens to the cache of one target, tokens per second.
    pub intake_per_s: f64,
}

/// What targets hold of one prompt, ordered by target.
#[derive(Debug, Clone)]
pub struct Holdings {
    prompt: Prompt,
    found: SmallVec<[Holding; 16]>,
}

impl Holdings {
    /// Returns what a target with this load and number of slots saves.
    pub fn saving(&self, target: u64, load: Load, slots: u32) -> Saving {
        if f64::from(load.running) >= f64::from(slots) * FILL_FRACTION {
            return Saving::default();
        }
        let engine = &self.prompt.engine;
        // Memory that requests need is taken from the cache.
        let free = engine.kv_tokens.saturating_sub(u64::from(load.kv_tokens));
        let cache = free.min(engine.prefix_cache_tokens);
        let saving = |holding: &Holding| {
            let others = cache.saturating_sub(holding.tokens) as f64;
            let turnover = if others > 0.0 {
                holding.added / others
            } else {
                EVICTED_TURNOVER
            };
            let chance = (EVICTED_TURNOVER - turnover) / (EVICTED_TURNOVER - CERTAIN_TURNOVER);
            // The last token of a prompt is always computed.
            let held = holding.tokens.min(self.prompt.tokens.saturating_sub(1));
            Saving {
                ms: engine.prefill_ms(held),
                chance: chance.clamp(0.0, 1.0) * holding.trust,
            }
        };
        let first = self
            .found
            .partition_point(|holding| holding.target < target);
        let own = self.found[first..].iter();
        own.take_while(|holding| holding.target == target)
            .map(saving)
            .max_by(|a, b| a.expected_ms().total_cmp(&b.expected_ms()))
            .unwrap_or_default()
    }
}

impl Reducer {
    /// Returns the number of prefixes that targets are assumed to hold, each counted once for each target.
    pub fn retained_prefixes(&self) -> usize {
        self.retained.len()
    }

    /// Tells the next peers what targets hold, once per [`SHARE_INTERVAL`].
    pub(super) fn share_retained(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if self.retained.is_empty() || now.since(self.retained.shared_at) < SHARE_INTERVAL {
            return;
        }
        self.retained.shared_at = now;
        let statements = self.retained.statements(now);
        let peers = self.topology.recipients();
        if statements.is_empty() || peers.is_empty() {
            return;
        }
        // VMs start at different places of the list, so that no peer is told by all at the same time.
        let start = self.vm_hash as usize % peers.len();
        for _ in 0..SHARE_PEERS.min(peers.len()) {
            let peer = &peers[(start + self.retained.sent) % peers.len()];
            effects.push(Effect::ShareRetained(Arc::clone(peer), statements.clone()));
            self.retained.sent = (self.retained.sent + 1) % peers.len();
        }
    }

    /// Returns what targets hold of a prompt; none if the engines of the service retain nothing, or nothing is known.
    pub(super) fn holdings(&self, now: Instant, pending: &Pending) -> Option<Holdings> {
        let engine = *pending.service.engine.as_ref()?;
        let parts = &pending.request.sized_parts;
        if engine.prefix_cache_tokens == 0 || parts.is_empty() || self.retained.is_empty() {
            return None;
        }
        let prompt = Prompt {
            engine,
            tokens: pending.tokens().prompt,
            intake_per_s: self.intake_per_target(now, &pending.service.name),
        };
        let holdings = self.retained.holdings(now, prompt, &Prefix::all(parts));
        (!holdings.found.is_empty()).then_some(holdings)
    }

    /// Returns the rate at which all VMs together add tokens to the cache of one target of a service, tokens per second.
    /// It assumes that the VMs get equal shares of the requests.
    fn intake_per_target(&self, now: Instant, service: &str) -> f64 {
        let records = self.directory.records();
        let targets = records.filter(|(_, record)| *record.announcement.service == *service);
        let all = self.retained.intake_per_s(now, service) * self.topology.vm_count() as f64;
        all / targets.count().max(1) as f64
    }

    /// Records what the first event of a request tells about the prefixes that its target holds.
    pub(super) fn record_retained(&mut self, now: Instant, id: Id, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        let (Some(engine), Some(running)) = (&pending.service.engine, &pending.running) else {
            return;
        };
        let parts = &pending.request.sized_parts;
        let record = self.directory.record(running.target);
        let Some(record) = record.filter(|_| engine.prefix_cache_tokens > 0 && !parts.is_empty())
        else {
            return;
        };
        let saving = running.saving;
        if saving.expected_ms() >= MIN_TELLING_MS {
            let late = now.since(running.sent_at).saturating_sub(running.predicted);
            let in_time = late.as_secs_f64() * 1e3 < saving.ms / 2.0;
            self.retained.record_answer(record.name_hash, in_time);
            if !in_time {
                let target = Arc::clone(&record.announcement.name);
                effects.push(Effect::PrefixMissed(id, target, late));
            }
        }
        let prompt = pending.tokens().prompt;
        let fresh = 1.0 - saving.expected_ms() / engine.prefill_ms(prompt).max(1.0);
        let fresh = (prompt as f64 * fresh.clamp(0.0, 1.0)) as u64;
        self.retained
            .record_intake(now, &pending.service.name, fresh);
        if running.holds_prompt {
            let prefixes = Prefix::all(parts);
            self.retained.record(now, record.name_hash, &prefixes);
        }
    }
}
