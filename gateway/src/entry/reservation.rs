//! Memory of targets that is held for one prompt.
//!
//! Leases are short and renewed while the request runs, so that memory is free again soon after this VM
//! is lost. [`Reservation`] gives the memory back when it is dropped.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use primrosepin_core::fleet::Dispatch;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use super::node::Node;
use crate::http::Connection;
use crate::net;
use crate::protocol::Order;

/// Lease of held memory. It must be free 4 s after the last use, also when this VM is lost.
const LEASE: Duration = Duration::from_millis(3_400);

/// Interval at which leases are renewed; two in a row may fail.
const RENEW: Duration = Duration::from_secs(1);

/// Time for one order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(600);

/// Orders to give memory back; the lease ends by itself if all fail.
const RELEASES: usize = 3;

/// Longest answer to an order, bytes.
const MAX_ANSWER: usize = 64 * 1024;

/// Memory of one target.
#[derive(Debug, Clone, Copy)]
struct Part {
    address: SocketAddr,
    tokens: u64,
}

/// Held memory. Closing the channel ends the task that renews it.
pub(super) struct Reservation {
    _renewed: oneshot::Sender<()>,
}

impl Reservation {
    /// Holds the memory that a dispatch needs at its helpers; none if a target refuses.
    pub(super) async fn new(node: &Rc<Node>, dispatch: &Dispatch) -> Option<Self> {
        let helpers = dispatch
            .helpers
            .iter()
            .filter(|helper| helper.held_tokens > 0);
        let parts: Vec<Part> = helpers
            .map(|helper| Part {
                address: helper.address,
                tokens: helper.held_tokens,
            })
            .collect();
        let name = Arc::clone(&dispatch.reservation);
        // The task gives the memory back also if the caller leaves while it is being held.
        let (renewed, mut ended) = oneshot::channel::<()>();
        let (held, holds) = oneshot::channel();
        let node = Rc::clone(node);
        actix_rt::spawn(async move {
            let all = hold(&node, &name, &parts).await;
            log::info!(
                reservation = &*name, targets = parts.len(),
                tokens = parts.iter().map(|part| part.tokens).sum::<u64>(), held = all;
                "memory reserved"
            );
            // Fails only if the request has ended.
            let _ = held.send(all);
            loop {
                tokio::select! {
                    _ = &mut ended => break,
                    () = sleep(RENEW) => {}
                }
                hold(&node, &name, &parts).await;
            }
            release(&node, &name, &parts).await;
        });
        let reservation = Self { _renewed: renewed };
        matches!(holds.await, Ok(true)).then_some(reservation)
    }
}

async fn hold(node: &Node, name: &str, parts: &[Part]) -> bool {
    let mut all = true;
    for part in parts {
        let order = node.protocol.reserve(name, part.tokens, LEASE);
        all &= send(part.address, &order).await == Some(200);
    }
    all
}

async fn release(node: &Node, name: &str, parts: &[Part]) {
    for part in parts {
        let order = node.protocol.release(name);
        for _ in 0..RELEASES {
            match send(part.address, &order).await {
                Some(_) => break,
                None => log::warn!(reservation = name; "no answer to a release"),
            }
        }
    }
}

/// Sends an order on a connection of its own; returns the status of the answer.
async fn send(address: SocketAddr, order: &Order) -> Option<u16> {
    let exchange = async {
        let mut target = Connection::new(net::connect(address, ORDER_TIMEOUT).await.ok()?);
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
        // The rest of the answer says nothing more.
        drop(target.read_body(head.body, MAX_ANSWER, ORDER_TIMEOUT).await);
        Some(head.status)
    };
    timeout(ORDER_TIMEOUT, exchange).await.ok().flatten()
}
