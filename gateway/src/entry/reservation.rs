//! Reservation of memory at several targets for one long prompt.
//!
//! Leases are short and renewed while the request runs, so that targets free the memory soon after this
//! VM is lost. Dropping a [`Reservation`] releases the memory.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use primrosepin_core::fleet::Dispatch;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use super::node::Node;
use super::path;
use crate::protocol::Order;

/// Lease of reserved memory. Memory must be free 4 s after its last use, even if this VM is lost.
const LEASE: Duration = Duration::from_millis(3_400);

/// Interval at which leases are renewed. Two renewals in a row may fail before the lease expires.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Time limit for one order, including the connection.
const ORDER_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum number of attempts to release memory at a target. The lease expires if all fail.
const MAX_RELEASE_ATTEMPTS: usize = 3;

/// Maximum size of the response body of an order, bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// Memory to reserve at one target.
#[derive(Debug, Clone, Copy)]
struct Allocation {
    address: SocketAddr,
    tokens: u64,
}

/// Reserved memory. A task renews the leases; dropping the channel's sender makes it release the memory.
pub(super) struct Reservation {
    _stop: oneshot::Sender<()>,
}

impl Reservation {
    /// Reserves the memory that a dispatch needs at its helper targets. Returns `None` if a target
    /// refuses or does not respond.
    pub(super) async fn new(node: &Rc<Node>, dispatch: &Dispatch) -> Option<Self> {
        let helpers = dispatch
            .helpers
            .iter()
            .filter(|helper| helper.held_tokens > 0);
        let allocations: Vec<Allocation> = helpers
            .map(|helper| Allocation {
                address: helper.address,
                tokens: helper.held_tokens,
            })
            .collect();
        let name = Arc::clone(&dispatch.reservation);
        // A separate task also releases the memory if the caller leaves while it is being reserved.
        let (stop, mut stopped) = oneshot::channel::<()>();
        let (result_sender, result) = oneshot::channel();
        let node = Rc::clone(node);
        actix_rt::spawn(async move {
            let all = reserve_all(&node, &name, &allocations).await;
            log::info!(
                reservation = &*name, targets = allocations.len(),
                tokens = allocations.iter().map(|allocation| allocation.tokens).sum::<u64>(), held = all;
                "memory reservation attempted"
            );
            // Fails only if the request has ended.
            let _ = result_sender.send(all);
            loop {
                tokio::select! {
                    _ = &mut stopped => break,
                    () = sleep(RENEWAL_INTERVAL) => {}
                }
                reserve_all(&node, &name, &allocations).await;
            }
            release_all(&node, &name, &allocations).await;
        });
        let reservation = Self { _stop: stop };
        matches!(result.await, Ok(true)).then_some(reservation)
    }
}

/// Reserves all allocations or renews their leases. Returns whether every target confirmed.
async fn reserve_all(node: &Rc<Node>, name: &str, allocations: &[Allocation]) -> bool {
    let mut all = true;
    for allocation in allocations {
        let order = node.protocol.reserve(name, allocation.tokens, LEASE);
        all &= send_order(node, name, allocation.address, &order).await == Some(200);
    }
    all
}

/// Releases all allocations.
async fn release_all(node: &Rc<Node>, name: &str, allocations: &[Allocation]) {
    for allocation in allocations {
        let order = node.protocol.release(name);
        for _ in 0..MAX_RELEASE_ATTEMPTS {
            match send_order(node, name, allocation.address, &order).await {
                Some(_) => break,
                None => log::warn!(
                    reservation = name;
                    "target at {} did not respond to the release of its reserved memory",
                    allocation.address
                ),
            }
        }
    }
}

/// Sends an order on a new connection. Returns the response status, or `None` if there is no response in
/// time.
async fn send_order(
    node: &Rc<Node>,
    name: &str,
    address: SocketAddr,
    order: &Order,
) -> Option<u16> {
    let exchange = async {
        let mut target = path::connect(node, name, address).await.ok()?;
        let mut bytes = format!(
            "POST {} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n",
            order.path,
            order.body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(&order.body);
        target.write(&bytes).await.ok()?;
        let head = target.read_response("POST").await.ok()?;
        // The body carries no information; it is read so that the target can finish its response.
        drop(
            target
                .read_body_within(head.body, MAX_RESPONSE_BYTES, ORDER_TIMEOUT)
                .await,
        );
        Some(head.status)
    };
    timeout(ORDER_TIMEOUT, exchange).await.ok().flatten()
}
