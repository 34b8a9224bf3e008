//! Inventory and rules that operators configure.
//!
//! The types mirror the JSON documents. The `config` crate parses and validates them; the reducers assume
//! that they are valid.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Zones, services, organisations and rules of a deployment.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Inventory {
    /// Availability zones.
    pub zones: Vec<Zone>,
    /// Services; targets announce themselves for one of them.
    pub services: Vec<Service>,
    /// Organisations whose callers are admitted.
    pub organisations: Vec<Organisation>,
    /// Rules for retries, deadlines, the ledger and model loads.
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
    /// Names of the entry VMs that vote in elections of the zone's coordinator.
    pub entries: Vec<Arc<str>>,
}

/// Kind of the targets of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// A service that targets provide.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name.
    pub name: Arc<str>,
    /// Kind of its targets.
    pub kind: Kind,
    /// Model names that route to the service; used by model engines.
    #[serde(default)]
    pub models: Vec<Arc<str>>,
    /// Path prefixes that route to the service; used by plain services.
    #[serde(default)]
    pub paths: Vec<Arc<str>>,
    /// Hexadecimal SHA-256 hashes of the keys with which targets may announce themselves.
    pub announce_keys_sha256: Vec<Arc<str>>,
}

/// An organisation whose callers share keys and limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Unique name.
    pub name: Arc<str>,
    /// Hexadecimal SHA-256 hashes of the API keys.
    pub keys_sha256: Vec<Arc<str>>,
    /// Weight in fair queueing; 1 by default.
    #[serde(default = "default_share")]
    pub share: u32,
    /// Maximum number of running requests in one zone.
    #[serde(default = "default_max_running")]
    pub max_running: u32,
}

/// Rules for retries, deadlines, the ledger and model loads.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Requests that must run at most once; applies to a request that matches any entry.
    pub at_most_once: Vec<Match>,
    /// Time limits by prompt length, ascending; the last entry applies to longer prompts too.
    pub deadlines: Vec<Deadline>,
    /// Maximum number of retries, percent of first attempts.
    pub retry_budget_percent: u32,
    /// Time for which the ledger keeps finished requests, seconds.
    pub ledger_retention_s: u64,
    /// Maximum number of concurrent model loads from the weight store, over the whole fleet.
    pub weight_store_loads: u32,
}

/// Condition on requests; every field that is present must match.
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

/// Time limit for prompts up to a given length.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deadline {
    /// Maximum prompt length that the entry applies to, tokens.
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
