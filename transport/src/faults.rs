//! Fault injection for tests: drops all messages between an endpoint and a set of addresses.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

/// Addresses whose messages are dropped in both directions.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    blocked: Arc<RwLock<HashSet<SocketAddr>>>,
}

impl Faults {
    /// Replaces the set of blocked addresses.
    pub fn set_blocked<I>(&self, addresses: I)
    where
        I: IntoIterator<Item = SocketAddr>,
    {
        let mut blocked = self.blocked.write().unwrap_or_else(PoisonError::into_inner);
        *blocked = addresses.into_iter().collect();
    }

    pub(crate) fn is_blocked(&self, address: SocketAddr) -> bool {
        self.blocked
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .contains(&address)
    }
}
