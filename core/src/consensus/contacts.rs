//! Join requests that a replica passes on to the leader.
//!
//! # Invariant
//!
//! The join requests of a replica are passed on at most once per [`FORWARD_INTERVAL`], so that a request
//! cannot circulate between replicas that know outdated addresses.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Id;
use crate::time::Instant;

/// Minimum interval at which the join requests of one replica are passed on. Shorter than the interval at
/// which a replica sends them.
const FORWARD_INTERVAL: Duration = Duration::from_millis(200);

/// Join requests that were passed on.
#[derive(Debug, Default)]
pub(super) struct Contacts {
    /// When the latest join request of each replica was passed on.
    forwarded: BTreeMap<Id, Instant>,
}

impl Contacts {
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
