//! Calls to engines outside of attempts: cancellations, reservations and probes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::net::TcpStream;
use actix_rt::time::{sleep, timeout};
use awc::Client;
use awc::http::StatusCode;
use primrosepin_core::request::Attempt;
use primrosepin_core::serving::event::Event;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::node::{Node, attempt_id};

/// Time limit for one call to an engine.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before the first retry of a cancel call; doubles up to [`CANCEL_RETRY_DELAY_MAX`].
const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Longest delay between two cancel calls.
const CANCEL_RETRY_DELAY_MAX: Duration = Duration::from_secs(2);

/// Time after which cancelling is given up: by then the lease of the attempt has expired and the
/// engine has dropped the attempt by itself.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(30);

/// Time limit for a probe: two round trips within a zone, with margin for a busy target.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Cancels an attempt at an engine. Retries until the engine acknowledges.
pub(crate) async fn cancel(client: Client, address: SocketAddr, attempt: Attempt) {
    let body = json!({ "attempt": attempt_id(attempt) });
    let url = format!("http://{address}/v1/cancel");
    let repeat = async {
        let mut delay = CANCEL_RETRY_DELAY;
        // 404: the engine does not know the attempt, so it holds no resources for it.
        while !matches!(
            post(&client, &url, &body).await,
            Some(status) if status.is_success() || status == StatusCode::NOT_FOUND
        ) {
            sleep(delay).await;
            delay = (delay * 2).min(CANCEL_RETRY_DELAY_MAX);
        }
    };
    if timeout(CANCEL_TIMEOUT, repeat).await.is_err() {
        log::debug!(
            "engine {address} did not acknowledge the cancel call within {} s; \
             the attempt's lease has expired",
            CANCEL_TIMEOUT.as_secs()
        );
    }
}

/// Reserves KV memory at several engines, all or none. `parts` are the engine addresses with the
/// tokens to reserve there. All requests reserve in ascending order of address, which prevents
/// deadlocks between them.
pub(crate) async fn reserve(
    node: Rc<Node>,
    client: Client,
    attempt: Attempt,
    mut parts: Vec<(SocketAddr, u64)>,
    lease_ms: u64,
) {
    parts.sort_unstable();
    let id = attempt_id(attempt);
    let mut attempted = Vec::with_capacity(parts.len());
    let mut all = true;
    for (address, tokens) in parts {
        let body = json!({ "reservation": id, "tokens": tokens, "lease_ms": lease_ms, "owner": node.owner });
        let url = format!("http://{address}/v1/reservations");
        // A call without a response may have succeeded, so its reservation is released as well.
        attempted.push(address);
        let reserved = post(&client, &url, &body).await;
        if !reserved.is_some_and(|status| status.is_success()) {
            all = false;
            break;
        }
    }
    if !all {
        release(client, attempt, attempted).await;
    }
    node.report(Event::Reserved { attempt, all });
}

/// Releases reservations in ascending order of address. Those that cannot be released expire with
/// their leases.
pub(crate) async fn release(client: Client, attempt: Attempt, mut parts: Vec<SocketAddr>) {
    parts.sort_unstable();
    let id = attempt_id(attempt);
    for address in parts {
        let request = client.delete(format!("http://{address}/v1/reservations/{id}"));
        let released = timeout(CALL_TIMEOUT, request.send()).await;
        if !matches!(released, Ok(Ok(_))) {
            log::debug!(
                "cannot release reservation {id} at engine {address}; its lease will expire"
            );
        }
    }
}

/// Opens a new connection to a target and reports whether the target responds. Any response counts:
/// the probe distinguishes an unresponsive connection from an unresponsive target.
pub(crate) async fn probe(node: Rc<Node>, target: Arc<str>, address: SocketAddr) {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        let request =
            format!("GET /v1/requests HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).await?;
        stream.read_u8().await
    };
    let alive = matches!(timeout(PROBE_TIMEOUT, exchange).await, Ok(Ok(_)));
    node.report(Event::Probed { target, alive });
}

async fn post(client: &Client, url: &str, body: &serde_json::Value) -> Option<StatusCode> {
    let exchange = async {
        let mut response = client.post(url).send_json(body).await.ok()?;
        // Read the body, so that the connection can be reused.
        response.body().await.ok()?;
        Some(response.status())
    };
    timeout(CALL_TIMEOUT, exchange).await.ok()?
}
