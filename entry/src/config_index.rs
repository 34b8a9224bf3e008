//! Indexes over the configuration in force.

use std::collections::HashMap;
use std::sync::Arc;

use primrosepin_core::inventory::{Inventory, Kind, Match};
use primrosepin_core::registry::Config;
use sha2::{Digest, Sha256};

type KeyHash = [u8; 32];

/// The configuration in force with the look-ups that each request needs.
#[derive(Debug)]
pub(crate) struct ConfigIndex {
    /// The configuration.
    pub(crate) config: Arc<Config>,
    organisations: HashMap<KeyHash, Arc<str>>,
    announce_keys: HashMap<KeyHash, Vec<Arc<str>>>,
    models: HashMap<Arc<str>, Arc<str>>,
    /// Path prefixes with their services, longest first.
    paths: Vec<(Arc<str>, Arc<str>)>,
}

impl ConfigIndex {
    /// Builds the indexes. Keys that are not SHA-256 in hexadecimal match nothing; the configuration
    /// is checked for them before it is accepted.
    pub(crate) fn new(config: Arc<Config>) -> Self {
        let Inventory {
            services,
            organisations,
            ..
        } = &config.inventory;
        let mut announce_keys: HashMap<KeyHash, Vec<Arc<str>>> = HashMap::new();
        for service in services {
            for key in service
                .announce_keys_sha256
                .iter()
                .filter_map(|key| parse_hash(key))
            {
                announce_keys
                    .entry(key)
                    .or_default()
                    .push(Arc::clone(&service.name));
            }
        }
        let mut paths: Vec<_> = services
            .iter()
            .filter(|service| service.kind == Kind::Plain)
            .flat_map(|service| {
                let name = &service.name;
                service
                    .paths
                    .iter()
                    .map(|path| (Arc::clone(path), Arc::clone(name)))
            })
            .collect();
        paths.sort_by_key(|(path, _)| std::cmp::Reverse(path.len()));
        Self {
            organisations: organisations
                .iter()
                .flat_map(|organisation| {
                    let name = &organisation.name;
                    organisation
                        .keys_sha256
                        .iter()
                        .filter_map(|key| Some((parse_hash(key)?, Arc::clone(name))))
                })
                .collect(),
            announce_keys,
            models: services
                .iter()
                .filter(|service| service.kind == Kind::Engine)
                .flat_map(|service| {
                    let name = &service.name;
                    service
                        .models
                        .iter()
                        .map(|model| (Arc::clone(model), Arc::clone(name)))
                })
                .collect(),
            paths,
            config,
        }
    }

    /// Returns the organisation of a caller's key.
    pub(crate) fn organisation(&self, key: &str) -> Option<Arc<str>> {
        self.organisations.get(&hash(key)).cloned()
    }

    /// Returns whether the key may announce targets of the service.
    pub(crate) fn may_announce(&self, key: &str, service: &str) -> bool {
        self.announce_keys
            .get(&hash(key))
            .is_some_and(|services| services.iter().any(|name| **name == *service))
    }

    /// Returns the service that answers for a model, with the model's name.
    pub(crate) fn model(&self, model: &str) -> Option<(Arc<str>, Arc<str>)> {
        self.models
            .get_key_value(model)
            .map(|(model, service)| (Arc::clone(service), Arc::clone(model)))
    }

    /// Returns the plain service with the longest path prefix.
    pub(crate) fn plain_service(&self, path: &str) -> Option<Arc<str>> {
        self.paths
            .iter()
            .find(|(prefix, _)| is_path_prefix(prefix, path))
            .map(|(_, service)| Arc::clone(service))
    }

    /// Returns whether a rule forbids to run the request twice.
    pub(crate) fn at_most_once<F>(&self, service: &str, method: &str, path: &str, has: F) -> bool
    where
        F: Fn(&str) -> bool,
    {
        let applies = |rule: &Match| {
            rule.service.as_deref().is_none_or(|name| name == service)
                && rule
                    .method
                    .as_deref()
                    .is_none_or(|name| name.eq_ignore_ascii_case(method))
                && rule
                    .path
                    .as_deref()
                    .is_none_or(|prefix| is_path_prefix(prefix, path))
                && rule.header.as_deref().is_none_or(&has)
        };
        self.config.inventory.rules.at_most_once.iter().any(applies)
    }
}

/// Returns whether the prefix covers the path at a segment boundary.
fn is_path_prefix(prefix: &str, path: &str) -> bool {
    path.strip_prefix(prefix)
        .is_some_and(|rest| prefix.ends_with('/') || rest.is_empty() || rest.starts_with('/'))
}

/// Hashes a key as the configuration and settings store it.
pub(crate) fn hash(key: &str) -> KeyHash {
    Sha256::digest(key.as_bytes()).into()
}

/// Parses 64 hexadecimal digits.
pub(crate) fn parse_hash(text: &str) -> Option<KeyHash> {
    let mut hash = [0; 32];
    let digits = text.as_bytes();
    if digits.len() != 64 {
        return None;
    }
    for (byte, pair) in hash.iter_mut().zip(digits.chunks_exact(2)) {
        let pair = std::str::from_utf8(pair).ok()?;
        *byte = u8::from_str_radix(pair, 16).ok()?;
    }
    Some(hash)
}
