//! State of the replicated state machine.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Change, Command, Config, Kind, Outcome, Published, Subject};
use super::{history, ledgers, orders, outcomes};
use crate::inventory::{Inventory, Rules};
use crate::quarantine::Rule;

/// State of the replicated state machine.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    now_ms: u64,
    config: Option<Arc<Config>>,
    history: history::Log,
    outcomes: outcomes::Cache,
    ledger: ledgers::Table,
    orders: orders::Table,
    published: Published,
    /// Rules on prompts that crash targets. Must stay the last field; see [`State::EARLIER_END`].
    quarantine: Vec<Rule>,
}

impl State {
    /// Encoding of the fields that snapshots of earlier versions lack at their end: no rules.
    pub const EARLIER_END: [u8; 1] = [0];

    /// Returns the rules on prompts that crash targets.
    pub fn quarantine(&self) -> &[Rule] {
        &self.quarantine
    }

    /// Returns the configuration in force; none before the first change.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Returns the version in force; zero before the first change.
    pub fn version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    /// Returns the published configuration.
    pub fn published(&self) -> &Published {
        &self.published
    }

    /// Returns the latest accepted changes, oldest first.
    pub fn history(&self) -> &VecDeque<Change> {
        self.history.changes()
    }

    /// Returns the number of ledger entries.
    pub fn ledger_entries(&self) -> usize {
        self.ledger.len()
    }

    /// Returns the highest time of all applied commands, milliseconds of wall-clock time.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Applies a committed command and returns its outcome.
    pub fn apply(&mut self, command: &Command) -> Outcome {
        match command {
            Command::Apply {
                id,
                now_ms,
                content_hash,
                base,
                inventory,
            } => {
                self.advance_time(*now_ms);
                let content_hash = content_hash.rotate_left(1) ^ base;
                if let Some(outcome) = self.outcomes.get(id, content_hash) {
                    return outcome;
                }
                let outcome = self.replace_inventory(id, *base, inventory);
                self.outcomes.record(id, content_hash, &outcome);
                outcome
            }
            Command::SetOut {
                id,
                now_ms,
                subject,
                out,
            } => {
                self.advance_time(*now_ms);
                let content_hash = subject.content_hash(*out);
                if let Some(outcome) = self.outcomes.get(id, content_hash) {
                    return outcome;
                }
                let outcome = self.set_out(id, subject, *out);
                self.outcomes.record(id, content_hash, &outcome);
                outcome
            }
            Command::Ledger { now_ms, call } => {
                self.advance_time(*now_ms);
                let retention_ms = self
                    .rules()
                    .map_or_else(
                        || Rules::default().ledger_retention_s,
                        |rules| rules.ledger_retention_s,
                    )
                    .saturating_mul(1_000);
                Outcome::Ledger(self.ledger.call(self.now_ms, retention_ms, call))
            }
            Command::IssueOrder {
                id,
                now_ms,
                target,
                issuer,
                uses_weight_store,
                lease_ms,
            } => {
                self.advance_time(*now_ms);
                let permits = self.rules().map_or_else(
                    || Rules::default().weight_store_loads,
                    |rules| rules.weight_store_loads,
                );
                self.orders.issue(
                    self.now_ms,
                    permits,
                    id,
                    target,
                    issuer,
                    *uses_weight_store,
                    *lease_ms,
                )
            }
            Command::CompleteOrder { id } => self.orders.complete(id),
            Command::Publish { version, document } => Outcome::Published {
                revision: self.published.publish(*version, document),
            },
            Command::Quarantine { rules } => {
                self.quarantine.clone_from(rules);
                Outcome::Quarantined
            }
            Command::Evacuate { zone, out } => Outcome::Published {
                revision: self.published.evacuate(zone, *out),
            },
        }
    }

    fn advance_time(&mut self, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
        self.ledger.expire(self.now_ms);
    }

    fn rules(&self) -> Option<&Rules> {
        self.config.as_ref().map(|config| &config.inventory.rules)
    }

    fn replace_inventory(&mut self, id: &Arc<str>, base: u64, inventory: &Inventory) -> Outcome {
        let version = self.version();
        if base != version {
            return Outcome::Conflict { version };
        }
        let zones_out = self.config.as_ref().map_or_else(Vec::new, |config| {
            let is_known =
                |name: &&Arc<str>| inventory.zones.iter().any(|zone| zone.name == **name);
            config.zones_out.iter().filter(is_known).cloned().collect()
        });
        let targets_out = self
            .config
            .as_ref()
            .map_or_else(Vec::new, |config| config.targets_out.clone());
        let zone_orders = self.config.as_ref().map_or_else(Vec::new, |config| {
            let is_known = |(name, _): &&(Arc<str>, u64)| {
                inventory.zones.iter().any(|zone| zone.name == *name)
            };
            config
                .zone_orders
                .iter()
                .filter(is_known)
                .cloned()
                .collect()
        });
        self.accept(
            id,
            Kind::Inventory,
            Config {
                version: version + 1,
                inventory: inventory.clone(),
                zones_out,
                targets_out,
                zone_orders,
            },
        )
    }

    fn set_out(&mut self, id: &Arc<str>, subject: &Subject, out: bool) -> Outcome {
        let Some(config) = &self.config else {
            return Outcome::Unknown;
        };
        let mut next = Config::clone(config);
        let (list, name, kind) = match subject {
            Subject::Zone(name) => {
                if !next.inventory.zones.iter().any(|zone| zone.name == *name) {
                    return Outcome::Unknown;
                }
                let name = Arc::clone(name);
                (
                    &mut next.zones_out,
                    Arc::clone(&name),
                    Kind::Zone { name, out },
                )
            }
            Subject::Target(name) => {
                let name = Arc::clone(name);
                (
                    &mut next.targets_out,
                    Arc::clone(&name),
                    Kind::Target { name, out },
                )
            }
        };
        let in_force = list.contains(&name) == out;
        // An order that repeats the state of a zone still creates a version, since it overrides local
        // orders.
        if in_force && matches!(subject, Subject::Target(_)) {
            return Outcome::Accepted {
                version: next.version,
            };
        }
        if out && !in_force {
            list.push(Arc::clone(&name));
            list.sort_unstable();
        } else if !out {
            list.retain(|other| *other != name);
        }
        next.version += 1;
        if let Subject::Zone(zone) = subject {
            next.zone_orders.retain(|(ordered, _)| ordered != zone);
            next.zone_orders.push((Arc::clone(zone), next.version));
        }
        self.accept(id, kind, next)
    }

    fn accept(&mut self, id: &Arc<str>, kind: Kind, config: Config) -> Outcome {
        let version = config.version;
        self.config = Some(Arc::new(config));
        self.history.push(Change {
            version,
            id: Arc::clone(id),
            at_ms: self.now_ms,
            kind,
        });
        Outcome::Accepted { version }
    }
}

impl Subject {
    /// Returns a hash that distinguishes a resend from another change with the same id.
    fn content_hash(&self, out: bool) -> u64 {
        let (kind, name) = match self {
            Self::Zone(name) => (0, name),
            Self::Target(name) => (2, name),
        };
        xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), kind + u64::from(out))
    }
}
