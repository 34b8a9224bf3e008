//! When entry VMs and control replicas were last heard from.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use primrosepin_core::consensus::{EntryContact, Id};
use primrosepin_core::vm;

/// Age after which a VM counts as suspect. An entry VM asks one control replica each second.
const SUSPECT: Duration = Duration::from_secs(3);

/// Age after which a VM counts as gone.
const GONE: Duration = Duration::from_secs(6);

/// Age after which a control replica counts as not reachable; replicas report twice a second.
const REPLICA_GONE: Duration = Duration::from_secs(2);

/// Age after which a VM is forgotten, so that replaced VMs do not add up.
const FORGET: Duration = Duration::from_hours(1);

/// Signs of other processes.
#[derive(Debug, Default)]
pub(crate) struct Signs {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    vms: BTreeMap<vm::Name, Sign>,
    /// By id and not by name: a VM that lost its disk is not the replica that it was.
    replicas: BTreeMap<Id, Instant>,
}

#[derive(Debug, Clone, Copy)]
struct Sign {
    version: u64,
    at: Instant,
    /// Whether this replica heard it itself and has not passed it on yet.
    fresh: bool,
}

impl Signs {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a sign that this replica heard itself.
    pub(crate) fn record(&self, vm: vm::Name, version: u64) {
        let sign = Sign {
            version,
            at: Instant::now(),
            fresh: true,
        };
        self.lock().vms.insert(vm, sign);
    }

    /// Records what another control replica heard.
    pub(crate) fn merge(&self, from: Id, seen: Vec<EntryContact>) {
        let now = Instant::now();
        let mut inner = self.lock();
        inner.replicas.insert(from, now);
        for EntryContact {
            vm,
            version,
            age_ms,
        } in seen
        {
            let Some(at) = now.checked_sub(Duration::from_millis(age_ms)) else {
                continue;
            };
            let known = inner.vms.get(&vm);
            if known.is_none_or(|sign| sign.at < at) {
                let sign = Sign {
                    version,
                    at,
                    fresh: false,
                };
                inner.vms.insert(vm, sign);
            }
        }
    }

    /// Returns the signs that were not passed on yet.
    pub(crate) fn take_fresh(&self) -> Vec<EntryContact> {
        let now = Instant::now();
        let mut inner = self.lock();
        inner.vms.retain(|_, sign| now - sign.at < FORGET);
        let fresh = inner.vms.iter_mut().filter(|(_, sign)| sign.fresh);
        fresh
            .map(|(vm, sign)| {
                sign.fresh = false;
                EntryContact {
                    vm: vm::Name::clone(vm),
                    version: sign.version,
                    age_ms: (now - sign.at).as_millis() as u64,
                }
            })
            .collect()
    }

    /// Returns whether a control replica was heard from lately.
    pub(crate) fn is_reachable(&self, replica: Id) -> bool {
        let at = self.lock().replicas.get(&replica).copied();
        at.is_some_and(|at| at.elapsed() < REPLICA_GONE)
    }

    /// Returns version and state of an entry VM.
    pub(crate) fn vm(&self, name: &str) -> (u64, &'static str) {
        match self.lock().vms.get(name) {
            Some(sign) if sign.at.elapsed() < SUSPECT => (sign.version, "ok"),
            Some(sign) if sign.at.elapsed() < GONE => (sign.version, "suspect"),
            Some(sign) => (sign.version, "gone"),
            None => (0, "gone"),
        }
    }
}
