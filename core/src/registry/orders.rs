//! Issuers of engine orders, fencing numbers and weight-store permits.
//!
//! One issuer holds a target at a time, under a lease. Fencing numbers come from one counter for all
//! targets, so that a target that was forgotten never gets an old number again.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Outcome;
use crate::vm;

/// Bound on the difference between wall clocks of two control VMs, milliseconds.
pub const MAX_CLOCK_SKEW_MS: u64 = 500;

/// Bound on the time that an order may travel to a target, milliseconds. An issuer gives up an order
/// that has not been answered within it.
pub const MAX_TRANSIT_MS: u64 = 2_000;

/// Longest lease, milliseconds. Loading the largest models takes minutes; the limit keeps a faulty
/// issuer from holding a target or a permit for ever.
const MAX_LEASE_MS: u64 = 3_600_000;

/// The last order of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Order {
    id: Arc<str>,
    issuer: vm::Instance,
    fencing: u64,
    until_ms: u64,
    /// Time before which a target that does not check fencing must not get the order.
    send_ms: u64,
    uses_weight_store: bool,
}

/// Orders by target.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Table {
    orders: BTreeMap<Arc<str>, Vec<Order>>,
    fencing: u64,
}

impl Table {
    /// Forgets orders that can no longer reach their target.
    pub(super) fn expire(&mut self, now_ms: u64) {
        self.orders.retain(|_, orders| {
            orders.retain(|order| order.until_ms + MAX_CLOCK_SKEW_MS + MAX_TRANSIT_MS > now_ms);
            !orders.is_empty()
        });
    }

    /// Issues an order, or says when a new try may succeed.
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
                    wait_ms: order.send_ms.saturating_sub(now_ms),
                }
            } else {
                Outcome::Reused
            };
        }
        let held_until = orders
            .iter()
            .filter(|order| order.issuer != *issuer)
            .map(|order| order.until_ms)
            .max()
            .unwrap_or(0);
        if held_until > now_ms {
            return Outcome::Busy {
                retry_after_ms: held_until - now_ms,
            };
        }
        // An order in transit may still start a load after its lease, so its permit counts until then.
        if uses_weight_store {
            let mut held: Vec<u64> = self
                .orders
                .values()
                .flatten()
                .filter(|order| order.uses_weight_store)
                .map(|order| order.until_ms + MAX_CLOCK_SKEW_MS + MAX_TRANSIT_MS)
                .collect();
            if held.len() >= permits as usize {
                held.sort_unstable();
                let retry_after_ms = match held.get(held.len() - permits as usize) {
                    Some(until) => until.saturating_sub(now_ms).max(1),
                    None => 1_000,
                };
                return Outcome::Busy { retry_after_ms };
            }
        }
        let send_ms = if held_until == 0 {
            now_ms
        } else {
            held_until + MAX_CLOCK_SKEW_MS + MAX_TRANSIT_MS
        };
        self.fencing += 1;
        self.orders
            .entry(Arc::clone(target))
            .or_default()
            .push(Order {
                id: Arc::clone(id),
                issuer: issuer.clone(),
                fencing: self.fencing,
                until_ms: now_ms.saturating_add(lease_ms.min(MAX_LEASE_MS)),
                send_ms,
                uses_weight_store,
            });
        Outcome::Issued {
            fencing: self.fencing,
            wait_ms: send_ms.saturating_sub(now_ms),
        }
    }

    /// Ends an order; its lease and permit are free at once.
    pub(super) fn complete(&mut self, id: &str) -> Outcome {
        self.orders.retain(|_, orders| {
            orders.retain(|order| &*order.id != id);
            !orders.is_empty()
        });
        Outcome::Completed
    }
}
