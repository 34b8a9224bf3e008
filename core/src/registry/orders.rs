//! Leases on targets, fencing numbers and weight-store permits for engine orders.
//!
//! One issuer at a time has the lease on a target. All targets share one counter for fencing numbers, so
//! that a target whose orders expired never gets an old number again.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Outcome;
use crate::vm;

/// Maximum difference between the wall clocks of two control VMs, milliseconds.
pub const MAX_CLOCK_SKEW_MS: u64 = 500;

/// Maximum time that an order may take to reach its target, milliseconds. An issuer cancels an order that
/// is not answered within this time.
pub const MAX_TRANSIT_MS: u64 = 2_000;

/// Maximum lease, milliseconds. Loading the largest models takes minutes; the limit prevents a faulty
/// issuer from holding a target or a permit forever.
const MAX_LEASE_MS: u64 = 3_600_000;

/// An order to a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Order {
    id: Arc<str>,
    issuer: vm::Instance,
    fencing: u64,
    /// End of the issuer's lease.
    lease_end_ms: u64,
    /// Time before which the order must not be sent to a target that does not check fencing numbers.
    send_after_ms: u64,
    uses_weight_store: bool,
}

/// Orders by target.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Table {
    orders: BTreeMap<Arc<str>, Vec<Order>>,
    fencing: u64,
}

impl Table {
    /// Removes orders that can no longer reach their target.
    pub(super) fn expire(&mut self, now_ms: u64) {
        self.orders.retain(|_, orders| {
            orders.retain(|order| order.lease_end_ms + MAX_CLOCK_SKEW_MS + MAX_TRANSIT_MS > now_ms);
            !orders.is_empty()
        });
    }

    /// Issues an order, or returns the time after which a retry may succeed.
    pub(super) fn issue(
        &mut self,
        now_ms: u64,
        permits: u32,
        id: &Arc<str>,
        target: &Arc<str>,
        issuer: &vm::Instance,
        uses_weight_store: bool,
        lease_ms: u64,
    ) -> Outcome {
        self.expire(now_ms);
        let orders = self.orders.get(target).map_or(&[][..], Vec::as_slice);
        if let Some(order) = orders.iter().find(|order| order.id == *id) {
            return if order.issuer == *issuer && order.uses_weight_store == uses_weight_store {
                Outcome::Issued {
                    fencing: order.fencing,
                    wait_ms: order.send_after_ms.saturating_sub(now_ms),
                }
            } else {
                Outcome::Reused
            };
        }
        let leased_until_ms = orders
            .iter()
            .filter(|order| order.issuer != *issuer)
            .map(|order| order.lease_end_ms)
            .max()
            .unwrap_or(0);
        if leased_until_ms > now_ms {
            return Outcome::Busy {
                retry_after_ms: leased_until_ms - now_ms,
            };
        }
        // An order in transit may start a load after its lease ended, so its permit stays in use until it
        // can no longer arrive.
        if uses_weight_store {
            let mut release_times_ms: Vec<u64> = self
                .orders
                .values()
                .flatten()
                .filter(|order| order.uses_weight_store)
                .map(|order| order.lease_end_ms + MAX_CLOCK_SKEW_MS + MAX_TRANSIT_MS)
                .collect();
            if release_times_ms.len() >= permits as usize {
                release_times_ms.sort_unstable();
                let retry_after_ms =
                    match release_times_ms.get(release_times_ms.len() - permits as usize) {
                        Some(until) => until.saturating_sub(now_ms).max(1),
                        // No permits are configured.
                        None => 1_000,
                    };
                return Outcome::Busy { retry_after_ms };
            }
        }
        let send_after_ms = if leased_until_ms == 0 {
            now_ms
        } else {
            leased_until_ms + MAX_CLOCK_SKEW_MS + MAX_TRANSIT_MS
        };
        self.fencing += 1;
        self.orders
            .entry(Arc::clone(target))
            .or_default()
            .push(Order {
                id: Arc::clone(id),
                issuer: issuer.clone(),
                fencing: self.fencing,
                lease_end_ms: now_ms.saturating_add(lease_ms.min(MAX_LEASE_MS)),
                send_after_ms,
                uses_weight_store,
            });
        Outcome::Issued {
            fencing: self.fencing,
            wait_ms: send_after_ms.saturating_sub(now_ms),
        }
    }

    /// Ends an order and releases its lease and permit at once.
    pub(super) fn complete(&mut self, id: &str) -> Outcome {
        self.orders.retain(|_, orders| {
            orders.retain(|order| &*order.id != id);
            !orders.is_empty()
        });
        Outcome::Completed
    }
}
