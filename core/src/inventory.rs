//! The operators' inventory and rules.
//!
//! The types mirror the JSON that operators write. The `config` crate parses and checks them; the
//! reducers take them as checked.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Zones, services and organisations with the rules on top.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Inventory {
    /// Availability zones.
    pub zones: Vec<Zone>,
    /// Services, each answered by targets that announce themselves for it.
    pub services: Vec<Service>,
    /// Organisations that may call.
    pub organisations: Vec<Organisation>,
    /// Rules on top of the inventory.
    #[serde(default)]
    pub rules: Rules,
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Unique name.
    pub name: Arc<str>,
    /// Region that holds the zone.
    pub region: Arc<str>,
    /// Names of the entry VMs that vote for the zone's coordinator.
    pub entries: Vec<Arc<str>>,
}

/// What answers a service's calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name.
    pub name: Arc<str>,
    /// What answers its calls.
    pub kind: Kind,
    /// Model names that route to the service (engines).
    #[serde(default)]
    pub models: Vec<Arc<str>>,
    /// Path prefixes that route to the service (plain services).
    #[serde(default)]
    pub paths: Vec<Arc<str>>,
    /// SHA-256 in hexadecimal of each key with which targets may announce themselves.
    pub announce_keys_sha256: Vec<Arc<str>>,
}

/// An organisation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Unique name.
    pub name: Arc<str>,
    /// SHA-256 in hexadecimal of each API key.
    pub keys_sha256: Vec<Arc<str>>,
    /// Weight in the fair queue; 1 by default.
    #[serde(default = "default_share")]
    pub share: u32,
    /// Largest number of running requests in one zone.
    #[serde(default = "default_max_running")]
    pub max_running: u32,
}

/// Rules on top of the inventory.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Requests that must never run twice; a request that matches any entry is protected.
    pub at_most_once: Vec<Match>,
    /// Time limits by prompt length, ascending; the last entry applies to longer prompts too.
    pub deadlines: Vec<Deadline>,
    /// Retries allowed, in percent of first attempts.
    pub retry_budget_percent: u32,
    /// How long the ledger remembers finished requests, seconds.
    pub ledger_retention_s: u64,
    /// Model loads that may draw on the weight store at the same time, over the whole fleet.
    pub weight_store_loads: u32,
}

/// Which requests a rule applies to; every field that is present must match.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Match {
    /// Service name.
    pub service: Option<Arc<str>>,
    /// HTTP method, upper case.
    pub method: Option<Arc<str>>,
    /// Path prefix.
    pub path: Option<Arc<str>>,
    /// Name of a header that must be present, lower case.
    pub header: Option<Arc<str>>,
}

/// Time limit for prompts up to a length.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deadline {
    /// Longest prompt that the entry applies to, tokens.
    pub prompt_tokens_max: u64,
    /// Time from arrival to the end of the answer, milliseconds.
    pub ms: u64,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            at_most_once: Vec::new(),
            deadlines: vec![
                Deadline {
                    prompt_tokens_max: 4_000,
                    ms: 30_000,
                },
                Deadline {
                    prompt_tokens_max: 32_000,
                    ms: 60_000,
                },
                Deadline {
                    prompt_tokens_max: 128_000,
                    ms: 180_000,
                },
                Deadline {
                    prompt_tokens_max: 1_000_000,
                    ms: 600_000,
                },
            ],
            retry_budget_percent: 10,
            ledger_retention_s: 86_400,
            weight_store_loads: 2,
        }
    }
}

fn default_share() -> u32 {
    1
}

fn default_max_running() -> u32 {
    64
}
