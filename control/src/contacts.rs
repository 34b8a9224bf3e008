//! Last contact with each entry VM and control replica.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use primrosepin_core::consensus::{EntryContact, Id};
use primrosepin_core::vm;

/// Time without contact after which an entry VM is reported as suspect. An entry VM sends a
/// configuration pull at least once a second, to one control replica after another.
const SUSPECT_AFTER: Duration = Duration::from_secs(3);

/// Time without contact after which an entry VM is reported as gone.
const GONE_AFTER: Duration = Duration::from_secs(6);

/// Time without contact after which a control replica is reported as unreachable. Replicas exchange
/// contacts twice a second.
const REPLICA_UNREACHABLE_AFTER: Duration = Duration::from_secs(2);

/// Time after which the contact with an entry VM is deleted, so that replaced VMs do not accumulate.
const RETENTION: Duration = Duration::from_hours(1);

/// Last contacts with other processes.
#[derive(Debug, Default)]
pub(crate) struct Contacts {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    entry_vms: BTreeMap<vm::Name, Contact>,
    /// Keyed by replica id, since a VM that lost its disk joins again as another replica of the same
    /// name.
    replicas: BTreeMap<Id, Instant>,
}

#[derive(Debug, Clone, Copy)]
struct Contact {
    /// Configuration version that the entry VM reported.
    version: u64,
    at: Instant,
    /// Whether the entry VM contacted this replica itself and the other replicas have not been told yet.
    unsent: bool,
}

impl Contacts {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that an entry VM contacted this replica.
    pub(crate) fn record(&self, vm: vm::Name, version: u64) {
        let contact = Contact {
            version,
            at: Instant::now(),
            unsent: true,
        };
        self.lock().entry_vms.insert(vm, contact);
    }

    /// Records the contacts that another control replica reports, and the contact with that replica.
    pub(crate) fn merge(&self, from: Id, contacts: Vec<EntryContact>) {
        let now = Instant::now();
        let mut inner = self.lock();
        inner.replicas.insert(from, now);
        for EntryContact {
            vm,
            version,
            age_ms,
        } in contacts
        {
            let Some(at) = now.checked_sub(Duration::from_millis(age_ms)) else {
                continue;
            };
            let known = inner.entry_vms.get(&vm);
            if known.is_none_or(|contact| contact.at < at) {
                let contact = Contact {
                    version,
                    at,
                    unsent: false,
                };
                inner.entry_vms.insert(vm, contact);
            }
        }
    }

    /// Returns the contacts that the other replicas have not been told yet, and marks them as sent.
    pub(crate) fn take_unsent(&self) -> Vec<EntryContact> {
        let now = Instant::now();
        let mut inner = self.lock();
        inner
            .entry_vms
            .retain(|_, contact| now - contact.at < RETENTION);
        let unsent = inner
            .entry_vms
            .iter_mut()
            .filter(|(_, contact)| contact.unsent);
        unsent
            .map(|(vm, contact)| {
                contact.unsent = false;
                EntryContact {
                    vm: vm::Name::clone(vm),
                    version: contact.version,
                    age_ms: (now - contact.at).as_millis() as u64,
                }
            })
            .collect()
    }

    /// Returns whether the last contact with a control replica is recent.
    pub(crate) fn is_reachable(&self, replica: Id) -> bool {
        let at = self.lock().replicas.get(&replica).copied();
        at.is_some_and(|at| at.elapsed() < REPLICA_UNREACHABLE_AFTER)
    }

    /// Returns the configuration version that an entry VM reported last, and the VM's state.
    pub(crate) fn version_and_state(&self, name: &str) -> (u64, &'static str) {
        match self.lock().entry_vms.get(name) {
            Some(contact) if contact.at.elapsed() < SUSPECT_AFTER => (contact.version, "ok"),
            Some(contact) if contact.at.elapsed() < GONE_AFTER => (contact.version, "suspect"),
            Some(contact) => (contact.version, "gone"),
            None => (0, "gone"),
        }
    }
}
