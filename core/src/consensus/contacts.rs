//! Addresses at which a replica without data looks for the members of its deployment, and the join requests
//! that replicas pass on.
//!
//! # Invariants
//!
//! - At most [`MAX_CONTACTS`] addresses are kept; the one that was heard least recently gives way.
//! - The join request of a replica is passed on at most once per [`FORWARD_INTERVAL`], so that a request
//!   cannot circulate between replicas that know outdated addresses.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::Id;
use crate::time::Instant;

/// Maximum number of addresses kept.
const MAX_CONTACTS: usize = 16;

/// Minimum interval at which the join requests of one replica are passed on. Shorter than the interval at
/// which a replica sends them.
const FORWARD_INTERVAL: Duration = Duration::from_millis(200);

/// Addresses of replicas that belong to a deployment, and the join requests passed on to them.
#[derive(Debug, Default)]
pub(super) struct Contacts {
    /// Addresses with the time at which each was heard last.
    heard: BTreeMap<SocketAddr, Instant>,
    /// When the latest join request of each replica was passed on.
    forwarded: BTreeMap<Id, Instant>,
}

impl Contacts {
    /// Creates contacts from addresses that are known from an earlier membership.
    pub(super) fn new(now: Instant, known: &[SocketAddr]) -> Self {
        let mut contacts = Self::default();
        for address in known {
            contacts.record(now, *address);
        }
        contacts
    }

    /// Records the address of a replica that belongs to a deployment.
    pub(super) fn record(&mut self, now: Instant, address: SocketAddr) {
        self.heard.insert(address, now);
        if self.heard.len() > MAX_CONTACTS {
            let oldest = self.heard.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(address, _)| *address) {
                self.heard.remove(&oldest);
            }
        }
    }

    /// Forgets all addresses; the membership of a deployment names the replicas from now on.
    pub(super) fn clear(&mut self) {
        self.heard.clear();
    }

    /// Returns the addresses, in no particular order.
    pub(super) fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.heard.keys().copied()
    }

    /// Returns the addresses that were heard last, the latest first.
    pub(super) fn latest(&self, count: usize) -> impl Iterator<Item = SocketAddr> {
        let mut heard: Vec<_> = self
            .heard
            .iter()
            .map(|(address, at)| (*at, *address))
            .collect();
        heard.sort_unstable_by(|a, b| b.cmp(a));
        heard.into_iter().take(count).map(|(_, address)| address)
    }

    /// Returns whether a join request of a replica may be passed on now, and records that it is.
    pub(super) fn begin_forward(&mut self, now: Instant, from: Id) -> bool {
        self.forwarded
            .retain(|_, at| now.since(*at) < FORWARD_INTERVAL);
        let is_due = !self.forwarded.contains_key(&from);
        if is_due {
            self.forwarded.insert(from, now);
        }
        is_due
    }
}
