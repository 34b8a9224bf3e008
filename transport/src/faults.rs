//! Fault injection for experiments: drops all messages between an endpoint and some addresses.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

/// Addresses that an endpoint cannot reach and is not reached from.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    blocked: Arc<RwLock<HashSet<SocketAddr>>>,
}

impl Faults {
    /// Replaces the blocked addresses.
    pub fn block<I>(&self, addresses: I)
    where
        I: IntoIterator<Item = SocketAddr>,
    {
        let mut blocked = self.blocked.write().unwrap_or_else(PoisonError::into_inner);
        *blocked = addresses.into_iter().collect();
    }

    pub(crate) fn blocks(&self, address: SocketAddr) -> bool {
        self.blocked
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .contains(&address)
    }
}
