//! Hand-over of requests to an entry VM of another zone.

use std::net::SocketAddr;
use std::rc::Rc;

use awc::http::header::{AUTHORIZATION, CONTENT_TYPE};
use primrosepin_core::request::{Attempt, End, Id};
use primrosepin_core::serving::event::Event;

use crate::attempt::{self, SocketState};
use crate::node::{Call, CallKind, Node};
use crate::reply;
use crate::sse::Reader;

/// Attempt number under which a hand-over reports progress. The reducer numbers its own attempts
/// from 0 and ignores this one.
const ATTEMPT_NUMBER: u16 = u16::MAX;

/// Forwards a request to another zone, relays the response and reports how the request ended.
pub(crate) async fn run(node: Rc<Node>, request: Id, address: SocketAddr) {
    let end = match node.call(request) {
        Some(call) => tokio::select! {
            end = send(&node, &call, address) => end,
            () = call.closed.notified() => End::NoAnswer,
        },
        None => End::NotRun { busy: false },
    };
    node.report(Event::HandedOver { request, end });
}

async fn send(node: &Rc<Node>, call: &Rc<Call>, address: SocketAddr) -> End {
    let state = Rc::new(SocketState::default());
    let client = attempt::tracking_client(&state);
    let mut request = client
        .request(
            call.method.clone(),
            format!("http://{address}{}", call.path),
        )
        .force_close()
        .insert_header((reply::HOP, "1"));
    for (name, value) in &call.headers {
        request = request.append_header((name.clone(), value.clone()));
    }
    if let Some(authorization) = &call.authorization {
        request = request.insert_header((AUTHORIZATION, authorization.clone()));
    }
    if let Some(key) = &call.key {
        request = request.insert_header((reply::IDEMPOTENCY_KEY, &**key));
    }
    if let Some(deadline) = call.deadline {
        let remaining = deadline.saturating_sub(call.arrived.elapsed());
        request = request.insert_header((reply::DEADLINE_MS, remaining.as_millis().to_string()));
    }
    let response = match request
        .send_body(attempt::BodyChunks(call.body_bytes()))
        .await
    {
        Ok(response) => response,
        Err(error) => {
            log::debug!("hand-over to entry VM at {address} failed: {error}");
            return if attempt::not_connected(&error) || state.bytes_written.get() == 0 {
                End::NotRun { busy: false }
            } else {
                End::NoAnswer
            };
        }
    };
    let headers = response.headers();
    let outcome = headers
        .get(reply::OUTCOME)
        .map(|outcome| outcome.as_bytes().to_vec());
    let is_stream = headers
        .get(CONTENT_TYPE)
        .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
    match outcome.as_deref() {
        Some(b"answered") => attempt::buffer(call, response, &state, true)
            .await
            .unwrap_or_else(|failure| failure),
        Some(b"not_run") => End::NotRun { busy: true },
        None if call.kind == CallKind::Stream && is_stream => {
            let attempt = Attempt {
                request: call.id,
                number: ATTEMPT_NUMBER,
            };
            attempt::relay_stream(node, call, attempt, response, Reader::for_entry())
                .await
                .unwrap_or_else(|failure| failure)
        }
        _ => End::NoAnswer,
    }
}
