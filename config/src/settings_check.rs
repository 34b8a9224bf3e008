//! Validation of the settings.

use std::net::SocketAddr;

use crate::check::{Check, Path, Problems};
use crate::path;
use crate::settings::{Control, Entry, Limits, Log, Tls};

impl Check for Entry {
    fn check(&self, problems: &mut Problems) {
        problems.check_name(path!["vm"], &self.vm);
        check_zone(problems, &self.zone);
        check_ports(
            problems,
            &[
                (path!["listen", "callers"], self.listen.callers),
                (path!["listen", "targets"], self.listen.targets),
                (path!["listen", "admin"], self.listen.admin),
                (path!["listen", "peers"], self.listen.peers),
            ],
        );
        check_addresses(problems, "seeds", &self.seeds);
        check_addresses(problems, "control", &self.control);
        check_addresses(problems, "other_zones", &self.other_zones);
        if self.control.is_empty() {
            problems.report(
                path!["control"],
                "expected the address of at least one control replica",
            );
        }
        check_tls(problems, &self.tls);
        check_operator_keys(problems, &self.operator_keys_sha256);
        check_limits(problems, &self.limits);
        check_log(problems, &self.log);
    }
}

impl Check for Control {
    fn check(&self, problems: &mut Problems) {
        problems.check_name(path!["vm"], &self.vm);
        check_zone(problems, &self.zone);
        check_ports(
            problems,
            &[
                (path!["listen", "admin"], self.listen.admin),
                (path!["listen", "peers"], self.listen.peers),
            ],
        );
        for (index, replica) in self.replicas.iter().enumerate() {
            problems.check_name(path!["replicas", index, "vm"], &replica.vm);
            check_destination(problems, path!["replicas", index, "peers"], replica.peers);
        }
        problems.check_unique(
            "the name",
            self.replicas
                .iter()
                .enumerate()
                .map(|(index, replica)| (path!["replicas", index, "vm"], &replica.vm)),
        );
        problems.check_unique(
            "the address",
            self.replicas
                .iter()
                .enumerate()
                .filter(|(_, replica)| replica.peers.port() != 0)
                .map(|(index, replica)| (path!["replicas", index, "peers"], replica.peers)),
        );
        if self.replicas.is_empty() {
            problems.report(path!["replicas"], "expected at least one replica");
        } else if self.bootstrap && self.replicas.iter().all(|replica| replica.vm != self.vm) {
            problems.report(
                path!["replicas"],
                "expected this VM among the replicas, since \"bootstrap\" is true",
            );
        }
        if self.data.as_os_str().is_empty() {
            problems.report(path!["data"], "empty path; expected a folder");
        }
        check_tls(problems, &self.tls);
        check_operator_keys(problems, &self.operator_keys_sha256);
        check_log(problems, &self.log);
    }
}

fn check_zone(problems: &mut Problems, zone: &str) {
    if zone.is_empty() {
        problems.report(
            path!["zone"],
            "missing zone; expected the name of this VM's availability zone",
        );
    } else {
        problems.check_name(path!["zone"], zone);
    }
}

/// Reports listen addresses that conflict. Port 0 stands for any free port, so it never conflicts.
fn check_ports(problems: &mut Problems, listen: &[(Path, SocketAddr)]) {
    for (index, (path, address)) in listen.iter().enumerate() {
        let conflict = listen[..index].iter().find(|(_, earlier)| {
            let overlap = earlier.ip() == address.ip()
                || earlier.ip().is_unspecified()
                || address.ip().is_unspecified();
            address.port() != 0 && earlier.port() == address.port() && overlap
        });
        if let Some((earlier, _)) = conflict {
            let crate::check::Step::Key(name) = earlier[earlier.len() - 1] else {
                continue;
            };
            problems.report(
                path.clone(),
                format!(
                    "port clash: port {} is already used by \"{name}\"",
                    address.port()
                ),
            );
        }
    }
}

fn check_addresses(problems: &mut Problems, key: &'static str, addresses: &[SocketAddr]) {
    for (index, address) in addresses.iter().enumerate() {
        check_destination(problems, path![key, index], *address);
    }
    problems.check_unique(
        "the address",
        addresses
            .iter()
            .enumerate()
            .map(|(index, address)| (path![key, index], address)),
    );
}

/// Reports an address that is no valid destination: an unspecified IP address or port 0.
fn check_destination(problems: &mut Problems, path: Path, address: SocketAddr) {
    if address.ip().is_unspecified() || address.port() == 0 {
        problems.report(
            path,
            "expected the address and port under which other VMs reach the process",
        );
    }
}

fn check_tls(problems: &mut Problems, tls: &Tls) {
    for (key, file) in [
        ("authority", &tls.authority),
        ("certificate", &tls.certificate),
        ("key", &tls.key),
    ] {
        if file.as_os_str().is_empty() {
            problems.report(path!["tls", key], "empty path; expected a PEM file");
        }
    }
}

fn check_operator_keys(problems: &mut Problems, keys: &[std::sync::Arc<str>]) {
    if keys.is_empty() {
        problems.report(
            path!["operator_keys_sha256"],
            "expected at least one key; without one nobody can operate the process",
        );
    }
    for (index, key) in keys.iter().enumerate() {
        problems.check_sha256(path!["operator_keys_sha256", index], key);
    }
    problems.check_unique(
        "the key",
        keys.iter()
            .enumerate()
            .map(|(index, key)| (path!["operator_keys_sha256", index], key)),
    );
}

fn check_limits(problems: &mut Problems, limits: &Limits) {
    for (key, value) in [
        ("body_bytes", limits.body_bytes as u64),
        ("buffered_bytes", limits.buffered_bytes as u64),
        ("connections", limits.connections as u64),
        ("header_timeout_ms", limits.header_timeout_ms),
        ("body_timeout_ms", limits.body_timeout_ms),
    ] {
        if value == 0 {
            problems.report(path!["limits", key], "expected a number above 0");
        }
    }
    if limits.buffered_bytes < limits.body_bytes {
        problems.report(
            path!["limits", "buffered_bytes"],
            "expected at least \"body_bytes\", or the largest body can never be held",
        );
    }
}

fn check_log(problems: &mut Problems, log: &Log) {
    if !matches!(
        log.level.as_ref(),
        "error" | "warn" | "info" | "debug" | "trace"
    ) {
        problems.report(
            path!["log", "level"],
            "expected one of \"error\", \"warn\", \"info\", \"debug\", \"trace\"",
        );
    }
}
