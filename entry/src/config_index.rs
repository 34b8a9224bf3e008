//! Lookup tables for the configuration in force.

use std::collections::HashMap;
use std::sync::Arc;

use primrosepin_core::inventory::{Inventory, Kind, Match};
use primrosepin_core::registry::Config;
use sha2::{Digest, Sha256};

type KeyHash = [u8; 32];

/// The configuration in force with lookup tables for authentication and routing.
#[derive(Debug)]
pub(crate) struct ConfigIndex {
    /// The indexed configuration.
    pub(crate) config: Arc<Config>,
    organisations: HashMap<KeyHash, Arc<str>>,
    announce_keys: HashMap<KeyHash, Vec<Arc<str>>>,
    models: HashMap<Arc<str>, Arc<str>>,
    /// Path prefixes of plain services with the service names, longest prefix first.
    paths: Vec<(Arc<str>, Arc<str>)>,
}

impl ConfigIndex {
    /// Builds the lookup tables. Key hashes that are not hexadecimal SHA-256 are skipped; control
    /// rejects configurations that contain them.
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

    /// Returns the organisation that an API key belongs to.
    pub(crate) fn organisation(&self, key: &str) -> Option<Arc<str>> {
        self.organisations.get(&hash(key)).cloned()
    }

    /// Returns whether an announce key may announce targets of a service.
    pub(crate) fn may_announce(&self, key: &str, service: &str) -> bool {
        self.announce_keys
            .get(&hash(key))
            .is_some_and(|services| services.iter().any(|name| **name == *service))
    }

    /// Returns the service that serves a model, and the model's name.
    pub(crate) fn model(&self, model: &str) -> Option<(Arc<str>, Arc<str>)> {
        self.models
            .get_key_value(model)
            .map(|(model, service)| (Arc::clone(service), Arc::clone(model)))
    }

    /// Returns the plain service with the longest matching path prefix.
    pub(crate) fn plain_service(&self, path: &str) -> Option<Arc<str>> {
        self.paths
            .iter()
            .find(|(prefix, _)| is_path_prefix(prefix, path))
            .map(|(_, service)| Arc::clone(service))
    }

    /// Returns whether an at-most-once rule applies to the request.
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

/// Returns whether `prefix` is a prefix of `path` that ends at a segment boundary.
fn is_path_prefix(prefix: &str, path: &str) -> bool {
    path.strip_prefix(prefix)
        .is_some_and(|rest| prefix.ends_with('/') || rest.is_empty() || rest.starts_with('/'))
}

/// Hashes a key the way it is stored in the configuration and the settings.
pub(crate) fn hash(key: &str) -> KeyHash {
    Sha256::digest(key.as_bytes()).into()
}

/// Parses a SHA-256 hash of 64 hexadecimal digits.
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
