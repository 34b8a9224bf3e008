//! Parsing and validation of the inventory.

use std::collections::HashSet;
use std::sync::Arc;

use primrosepin_core::inventory::{Inventory, Kind, Match, Rules};

use crate::check::{Check, Problems};
use crate::{Result, path};

/// Parses and checks the text of an inventory; `file` is the file name shown in errors.
pub fn parse(text: &str, file: &str) -> Result<Inventory> {
    crate::parse(text, file)
}

impl Check for Inventory {
    fn check(&self, problems: &mut Problems) {
        check_zones(self, problems);
        check_services(self, problems);
        check_organisations(self, problems);
        check_keys(self, problems);
        check_rules(self, problems);
    }
}

fn check_zones(inventory: &Inventory, problems: &mut Problems) {
    let zones = &inventory.zones;
    if zones.is_empty() {
        problems.report(path!["zones"], "missing zone; expected at least one");
    }
    for (index, zone) in zones.iter().enumerate() {
        problems.check_name(path!["zones", index, "name"], &zone.name);
        // Operators' calls contain the name of a zone in the URL path.
        if zone.name.contains(['/', '?', '#', '%']) {
            problems.report(
                path!["zones", index, "name"],
                "expected a name without \"/\", \"?\", \"#\" and \"%\"",
            );
        }
        problems.check_name(path!["zones", index, "region"], &zone.region);
        if zone.entries.is_empty() {
            problems.report(
                path!["zones", index, "entries"],
                "expected the name of at least one entry VM",
            );
        }
        for (vm_index, vm) in zone.entries.iter().enumerate() {
            problems.check_name(path!["zones", index, "entries", vm_index], vm);
        }
    }
    problems.check_unique(
        "the name",
        zones
            .iter()
            .enumerate()
            .map(|(index, zone)| (path!["zones", index, "name"], &zone.name)),
    );
    problems.check_unique(
        "the VM",
        zones.iter().enumerate().flat_map(|(index, zone)| {
            zone.entries
                .iter()
                .enumerate()
                .map(move |(vm_index, vm)| (path!["zones", index, "entries", vm_index], vm))
        }),
    );
}

fn check_services(inventory: &Inventory, problems: &mut Problems) {
    let services = &inventory.services;
    for (index, service) in services.iter().enumerate() {
        problems.check_name(path!["services", index, "name"], &service.name);
        match service.kind {
            Kind::Engine => {
                if service.models.is_empty() {
                    problems.report(
                        path!["services", index, "models"],
                        "expected at least one model, or no request can reach the service",
                    );
                }
                if !service.paths.is_empty() {
                    problems.report(
                        path!["services", index, "paths"],
                        "expected no paths: requests reach an engine service by model name",
                    );
                }
            }
            Kind::Plain => {
                if service.paths.is_empty() {
                    problems.report(
                        path!["services", index, "paths"],
                        "expected at least one path prefix, or no request can reach the service",
                    );
                }
                if !service.models.is_empty() {
                    problems.report(
                        path!["services", index, "models"],
                        "expected no models: requests reach a plain service by path prefix",
                    );
                }
            }
        }
        for (model_index, model) in service.models.iter().enumerate() {
            problems.check_name(path!["services", index, "models", model_index], model);
        }
        for (path_index, prefix) in service.paths.iter().enumerate() {
            let path = path!["services", index, "paths", path_index];
            if !prefix.starts_with('/') {
                problems.report(path, "expected a path that starts with \"/\"");
            } else if prefix.starts_with("/v1/chat/completions")
                || prefix.starts_with("/v1/completions")
            {
                problems.report(
                    path,
                    "expected a prefix other than /v1/chat/completions and /v1/completions, which \
                     belong to engine services",
                );
            }
        }
        if service.announce_keys_sha256.is_empty() {
            problems.report(
                path!["services", index, "announce_keys_sha256"],
                "expected at least one key, or no target can announce itself",
            );
        }
        for (key_index, key) in service.announce_keys_sha256.iter().enumerate() {
            problems.check_sha256(
                path!["services", index, "announce_keys_sha256", key_index],
                key,
            );
        }
    }
    problems.check_unique(
        "the name",
        services
            .iter()
            .enumerate()
            .map(|(index, service)| (path!["services", index, "name"], &service.name)),
    );
    check_unique_across_services(problems, "the model", "models", inventory, |service| {
        &service.models
    });
    check_unique_across_services(problems, "the path", "paths", inventory, |service| {
        &service.paths
    });
}

/// Reports keys that occur twice among all services and organisations: a leaked key must give access to
/// one service or organisation only.
fn check_keys(inventory: &Inventory, problems: &mut Problems) {
    let announce = inventory
        .services
        .iter()
        .enumerate()
        .flat_map(|(index, service)| {
            let keys = service.announce_keys_sha256.iter().enumerate();
            keys.map(move |(key_index, key)| {
                (
                    path!["services", index, "announce_keys_sha256", key_index],
                    key,
                )
            })
        });
    let callers = inventory
        .organisations
        .iter()
        .enumerate()
        .flat_map(|(index, organisation)| {
            let keys = organisation.keys_sha256.iter().enumerate();
            keys.map(move |(key_index, key)| {
                (path!["organisations", index, "keys_sha256", key_index], key)
            })
        });
    problems.check_unique("the key", announce.chain(callers));
}

/// Reports values that occur in two services, or twice in one.
fn check_unique_across_services<F>(
    problems: &mut Problems,
    what: &str,
    key: &'static str,
    inventory: &Inventory,
    values: F,
) where
    F: Fn(&primrosepin_core::inventory::Service) -> &Vec<Arc<str>>,
{
    problems.check_unique(
        what,
        inventory
            .services
            .iter()
            .enumerate()
            .flat_map(|(index, service)| {
                values(service)
                    .iter()
                    .enumerate()
                    .map(move |(value_index, value)| {
                        (
                            path!["services", index, key, value_index],
                            Arc::clone(value),
                        )
                    })
            })
            .collect::<Vec<_>>(),
    );
}

fn check_organisations(inventory: &Inventory, problems: &mut Problems) {
    let organisations = &inventory.organisations;
    for (index, organisation) in organisations.iter().enumerate() {
        problems.check_name(path!["organisations", index, "name"], &organisation.name);
        if organisation.keys_sha256.is_empty() {
            problems.report(
                path!["organisations", index, "keys_sha256"],
                "expected at least one key, or the organisation cannot call",
            );
        }
        for (key_index, key) in organisation.keys_sha256.iter().enumerate() {
            problems.check_sha256(path!["organisations", index, "keys_sha256", key_index], key);
        }
        if organisation.share == 0 {
            problems.report(
                path!["organisations", index, "share"],
                "expected a number above 0",
            );
        }
        if organisation.max_running == 0 {
            problems.report(
                path!["organisations", index, "max_running"],
                "expected a number above 0",
            );
        }
    }
    problems.check_unique(
        "the name",
        organisations
            .iter()
            .enumerate()
            .map(|(index, organisation)| {
                (path!["organisations", index, "name"], &organisation.name)
            }),
    );
}

fn check_rules(inventory: &Inventory, problems: &mut Problems) {
    let Rules {
        at_most_once,
        deadlines,
        retry_budget_percent,
        ledger_retention_s,
        weight_store_loads,
    } = &inventory.rules;
    let services: HashSet<&str> = inventory.services.iter().map(|s| s.name.as_ref()).collect();
    for (index, rule) in at_most_once.iter().enumerate() {
        check_match(problems, &services, index, rule);
    }
    if deadlines.is_empty() {
        problems.report(
            path!["rules", "deadlines"],
            "expected at least one deadline",
        );
    }
    for (index, deadline) in deadlines.iter().enumerate() {
        for (key, value) in [
            ("prompt_tokens_max", deadline.prompt_tokens_max),
            ("ms", deadline.ms),
        ] {
            if value == 0 {
                problems.report(
                    path!["rules", "deadlines", index, key],
                    "expected a number above 0",
                );
            }
        }
        if let Some(previous) = index.checked_sub(1).map(|previous| deadlines[previous]) {
            if deadline.prompt_tokens_max <= previous.prompt_tokens_max {
                problems.report(
                    path!["rules", "deadlines", index, "prompt_tokens_max"],
                    format!(
                        "expected more than the {} of the deadline before",
                        previous.prompt_tokens_max
                    ),
                );
            }
            if deadline.ms < previous.ms {
                problems.report(
                    path!["rules", "deadlines", index, "ms"],
                    format!(
                        "expected at least the {} of the deadline before",
                        previous.ms
                    ),
                );
            }
        }
    }
    if *retry_budget_percent > 100 {
        problems.report(
            path!["rules", "retry_budget_percent"],
            "expected a number from 0 to 100",
        );
    }
    if *ledger_retention_s == 0 {
        problems.report(
            path!["rules", "ledger_retention_s"],
            "expected a number above 0",
        );
    }
    if *weight_store_loads == 0 {
        problems.report(
            path!["rules", "weight_store_loads"],
            "expected a number above 0, or no model can be loaded",
        );
    }
}

fn check_match(problems: &mut Problems, services: &HashSet<&str>, index: usize, rule: &Match) {
    let Match {
        service,
        method,
        path,
        header,
    } = rule;
    if service.is_none() && method.is_none() && path.is_none() && header.is_none() {
        problems.report(
            path!["rules", "at_most_once", index],
            "expected at least one of service, method, path, header",
        );
    }
    if let Some(service) = service
        && !services.contains(service.as_ref())
    {
        problems.report(
            path!["rules", "at_most_once", index, "service"],
            "expected the name of a service of this inventory",
        );
    }
    if let Some(method) = method
        && (method.is_empty() || !method.bytes().all(|byte| byte.is_ascii_uppercase()))
    {
        problems.report(
            path!["rules", "at_most_once", index, "method"],
            "expected an HTTP method in upper case, such as \"POST\"",
        );
    }
    if let Some(path) = path
        && !path.starts_with('/')
    {
        problems.report(
            path!["rules", "at_most_once", index, "path"],
            "expected a path that starts with \"/\"",
        );
    }
    if let Some(header) = header
        && (header.is_empty()
            || !header
                .bytes()
                .all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-'))
    {
        problems.report(
            path!["rules", "at_most_once", index, "header"],
            "expected a header name in lower case, such as \"x-order-id\"",
        );
    }
}
