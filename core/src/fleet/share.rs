//! Use of the engines by organisations.
//!
//! Where requests wait for slots, an organisation that sends ten times its usual load, or whose clients repeat
//! without pause, would take nearly every slot that becomes free: the order by arrival favours whoever sends most.
//! So each VM keeps a [`Ledger`] of the engine time that organisations used in the last seconds, at this VM and at
//! its peers, and serves first those that used least. Shares are equal, since the configuration states none.
//!
//! The ledger changes the order of waiting requests and how long a free slot is left to others. It refuses nothing,
//! so an organisation that is alone gets all slots.
//!
//! # Invariants
//!
//! - A peer's statement replaces its earlier one. A lost or repeated statement never adds use twice.
//! - Use decays with [`HALF_LIFE`], also what peers stated. What a VM stated before it was cut off or restarted
//!   stops counting within seconds.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::engine::Engine;
use super::{Organisation, Tokens};
use crate::time::Instant;

/// Time in which past use loses half its weight. It spans a few answers, which take about two seconds.
const HALF_LIFE: Duration = Duration::from_secs(5);

/// Use below which an organisation is forgotten, ms of engine time.
const MIN_COST_MS: f64 = 1.0;

/// Most organisations in one statement: the largest users of a VM.
const MAX_STATED: usize = 8;

/// Most organisations that a ledger keeps for this VM or for one peer. Those with the least use are dropped.
const MAX_KEPT: usize = 256;

/// Largest use that one entry of a statement may claim, ms. All slots of a large region in several half-lives use
/// less.
const MAX_STATED_MS: u32 = 100_000_000;

/// Age at which a peer's statement is dropped.
const PEER_LEASE: Duration = Duration::from_secs(30);

/// Fraction of the mean use up to which an organisation takes a free slot without waiting for its VM's share.
const FREE_FRACTION: f64 = 0.5;

/// Identifies an organisation in the ledger and in messages; zero stands for requests without one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct OrganisationId(pub u32);

impl OrganisationId {
    /// Returns the ID of an organisation. All VMs compute the same one.
    pub fn new(organisation: Option<&Organisation>) -> Self {
        Self(organisation.map_or(0, |organisation| {
            xxhash_rust::xxh3::xxh3_64(organisation.name.as_bytes()) as u32
        }))
    }
}

/// Use of one organisation at one VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Engine time, decayed to the time of the statement, ms.
    pub cost_ms: u32,
}

#[derive(Debug, Clone, Copy)]
struct Decayed {
    cost_ms: f64,
    at: Instant,
}

impl Decayed {
    fn at(self, now: Instant) -> f64 {
        let half_lives = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.cost_ms * (-half_lives).exp2()
    }
}

#[derive(Debug, Clone)]
struct Statement {
    heard: Instant,
    usages: SmallVec<[Usage; MAX_STATED]>,
}

/// Engine time that organisations used in the last seconds.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    own: HashMap<OrganisationId, Decayed>,
    peers: BTreeMap<Arc<str>, Statement>,
    /// Sums of own and stated use. All use decays alike, so sums need no list of their parts.
    totals: HashMap<OrganisationId, Decayed>,
}

impl Ledger {
    /// Records engine time that an organisation uses through this VM, ms. A negative value takes back what was
    /// recorded for a request that did not run.
    pub fn record(&mut self, now: Instant, organisation: OrganisationId, cost_ms: f64) {
        let is_known = self.own.contains_key(&organisation);
        if !cost_ms.is_finite() || !is_known && (cost_ms <= 0.0 || self.own.len() >= MAX_KEPT) {
            return;
        }
        add(&mut self.own, now, organisation, cost_ms);
        add(&mut self.totals, now, organisation, cost_ms);
    }

    /// Returns the use of an organisation at all VMs, as far as they stated it, ms.
    pub fn usage(&self, now: Instant, organisation: OrganisationId) -> f64 {
        let total = self.totals.get(&organisation);
        total.map_or(0.0, |total| total.at(now))
    }

    /// Returns the use of an organisation divided by the mean of all organisations with some use; 1 if none has any.
    pub fn ratio(&self, now: Instant, organisation: OrganisationId) -> f64 {
        let usage = self.usage(now, organisation);
        let others = self.totals.iter().filter(|(id, _)| **id != organisation);
        let others = others.map(|(_, total)| total.at(now));
        let (sum, count) = others
            .filter(|cost_ms| *cost_ms >= MIN_COST_MS)
            .fold((usage, 1.0), |(sum, count), cost_ms| {
                (sum + cost_ms, count + 1.0)
            });
        if sum < MIN_COST_MS {
            return 1.0;
        }
        usage * count / sum
    }

    /// Returns the part of a VM's share of the free slots that a request of an organisation needs to take one, from 0
    /// to 1. Organisations with little use need none, so that slots which the others leave free for a moment go to
    /// them. Together they hold less than half of the use, which bounds how often two VMs take the same slot.
    pub(super) fn slot_price(&self, now: Instant, organisation: OrganisationId) -> f64 {
        let ratio = self.ratio(now, organisation);
        ((ratio - FREE_FRACTION) / (1.0 - FREE_FRACTION)).clamp(0.0, 1.0)
    }

    /// Replaces what a peer stated.
    pub fn merge(&mut self, now: Instant, peer: &Arc<str>, usages: &[Usage]) {
        self.forget(now, peer);
        let usages = usages.iter().take(MAX_STATED).map(|usage| Usage {
            cost_ms: usage.cost_ms.min(MAX_STATED_MS),
            ..*usage
        });
        let usages: SmallVec<[Usage; MAX_STATED]> = usages.collect();
        for usage in &usages {
            let cost_ms = f64::from(usage.cost_ms);
            add(&mut self.totals, now, usage.organisation, cost_ms);
        }
        let statement = Statement { heard: now, usages };
        self.peers.insert(Arc::clone(peer), statement);
    }

    /// Removes what a peer stated.
    fn forget(&mut self, now: Instant, peer: &str) {
        let Some(statement) = self.peers.remove(peer) else {
            return;
        };
        for usage in &statement.usages {
            let stated = Decayed {
                cost_ms: f64::from(usage.cost_ms),
                at: statement.heard,
            };
            add(&mut self.totals, now, usage.organisation, -stated.at(now));
        }
    }

    /// Returns the largest users of this VM, to state to peers; none if there was no use in the last seconds, or only
    /// requests without an organisation are known.
    pub fn statements(&self, now: Instant) -> Vec<Usage> {
        if self.totals.keys().all(|organisation| organisation.0 == 0) {
            return Vec::new();
        }
        let used = self.own.iter().filter_map(|(organisation, own)| {
            let cost_ms = own.at(now).round() as u32;
            let usage = Usage {
                organisation: *organisation,
                cost_ms,
            };
            (f64::from(cost_ms) >= MIN_COST_MS).then_some(usage)
        });
        let mut used: Vec<Usage> = used.collect();
        used.sort_unstable_by_key(|usage| (Reverse(usage.cost_ms), usage.organisation));
        used.truncate(MAX_STATED);
        used
    }

    /// Drops organisations without use in the last seconds and peers that have not stated any.
    pub fn expire(&mut self, now: Instant) {
        let silent = self.peers.iter();
        let silent = silent.filter(|(_, statement)| now.since(statement.heard) >= PEER_LEASE);
        let silent: Vec<Arc<str>> = silent.map(|(peer, _)| Arc::clone(peer)).collect();
        for peer in silent {
            self.forget(now, &peer);
        }
        self.own.retain(|_, own| own.at(now) >= MIN_COST_MS);
        self.totals.retain(|_, total| total.at(now) >= MIN_COST_MS);
    }
}

/// Adds to the use of an organisation, which does not fall below zero.
fn add(
    sums: &mut HashMap<OrganisationId, Decayed>,
    now: Instant,
    organisation: OrganisationId,
    cost_ms: f64,
) {
    let entry = sums.entry(organisation).or_insert(Decayed {
        cost_ms: 0.0,
        at: now,
    });
    *entry = Decayed {
        cost_ms: (entry.at(now) + cost_ms).max(0.0),
        at: now,
    };
}

/// Returns the engine time of a request, ms: the prefill of its prompt, and its part of the passes in which a full
/// engine decodes requests of its size.
pub(super) fn cost_ms(engine: &Engine, tokens: Tokens) -> f64 {
    let slots = engine.slots.max(1);
    let context = tokens.prompt.saturating_mul(u64::from(slots));
    let decode_ms = engine.decode_ms(tokens.answer, slots, context) / f64::from(slots);
    engine.prefill_ms(tokens.prompt) + decode_ms
}
