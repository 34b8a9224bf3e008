//! Calls to engines outside of attempts: cancel, reservations, probes.

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

/// Time for one call to an engine.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause before the first repetition of a cancel call; it doubles up to the maximum.
const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Longest pause between cancel calls.
const CANCEL_RETRY_DELAY_MAX: Duration = Duration::from_secs(2);

/// Time after which an engine has dropped an attempt by itself, since its lease ended.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for a probe: two round trips within a zone with margin for a busy target.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Tells an engine to release an attempt until it acknowledges.
pub(crate) async fn cancel(client: Client, address: SocketAddr, attempt: Attempt) {
    let body = json!({ "attempt": attempt_id(attempt) });
    let url = format!("http://{address}/v1/cancel");
    let repeat = async {
        let mut delay = CANCEL_RETRY_DELAY;
        // An engine that does not know the attempt holds nothing for it.
        while !matches!(
            post(&client, &url, &body).await,
            Some(status) if status.is_success() || status == StatusCode::NOT_FOUND
        ) {
            sleep(delay).await;
            delay = (delay * 2).min(CANCEL_RETRY_DELAY_MAX);
        }
    };
    if timeout(CANCEL_TIMEOUT, repeat).await.is_err() {
        log::debug!("{address} did not acknowledge a cancel call; its lease has ended");
    }
}

/// Reserves memory on several engines in ascending order, all or none.
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
        // A call without an answer may have reserved, so it is released as well.
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

/// Releases reservations in ascending order. What cannot be released ends with its lease.
pub(crate) async fn release(client: Client, attempt: Attempt, mut parts: Vec<SocketAddr>) {
    parts.sort_unstable();
    let id = attempt_id(attempt);
    for address in parts {
        let request = client.delete(format!("http://{address}/v1/reservations/{id}"));
        let released = timeout(CALL_TIMEOUT, request.send()).await;
        if !matches!(released, Ok(Ok(_))) {
            log::debug!("cannot release {id} on {address}; its lease ends by itself");
        }
    }
}

/// Opens a new connection to a target and reports whether it answers. Any response will do: the
/// probe tells a silent connection from a silent target.
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
        // The body is read, so that the connection can be used again.
        response.body().await.ok()?;
        Some(response.status())
    };
    timeout(CALL_TIMEOUT, exchange).await.ok()?
}
