//! A caller's connection.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use primrosepin_core::fleet::{Event, Outcome, Reason, Refusal};
use primrosepin_telemetry::metrics::Label;
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::attempt::Attempt;
use super::delivery::Delivery;
use super::node::{Node, Order, Phase};
use crate::http::{self, Connection, Error, Request};
use crate::metrics::{Class, label};

/// Time in which the last answer of a connection is read before it closes.
const LINGER: Duration = Duration::from_millis(500);

/// Serves the requests of a connection one after the other.
pub(super) async fn serve(node: Rc<Node>, stream: TcpStream) {
    crate::net::set_options(&stream);
    let mut caller = Connection::new(stream);
    let mut phases = node.phase.subscribe();
    loop {
        let limits = node.limits();
        let head = tokio::select! {
            head = caller.read_request(limits.head_bytes, limits.idle_timeout, limits.head_timeout) => head,
            _ = phases.wait_for(|phase| *phase == Phase::Closing) => {
                // A request that has begun to arrive is still served.
                if caller.input.is_empty() && caller.is_idle() {
                    return;
                }
                caller.read_request(limits.head_bytes, limits.head_timeout, limits.head_timeout).await
            }
        };
        let head = match head {
            Ok(Some(head)) => head,
            Ok(None) => return,
            Err(error) => return reject(&node, &mut caller, None, &error).await,
        };
        let arriving = node.arriving();
        if head.headers.has_token("expect", "100-continue")
            && caller
                .write(b"HTTP/1.1 100 Continue\r\n\r\n")
                .await
                .is_err()
        {
            return;
        }
        let body = caller
            .read_body(head.body, limits.body_bytes, limits.head_timeout)
            .await;
        let body = match body {
            Ok(body) => body,
            Err(error) => return reject(&node, &mut caller, Some(&head), &error).await,
        };
        let close = head.closes || *node.phase.borrow() != Phase::Serving;
        let kept = serve_request(&node, &mut caller, &head, &body, close).await;
        drop(arriving);
        if !kept {
            return;
        }
        if close {
            return linger(&mut caller).await;
        }
    }
}

/// Closes a connection so that its last answer is delivered.
async fn linger(caller: &mut Connection) {
    caller.shutdown().await;
    tokio::select! {
        () = caller.closed() => {}
        () = sleep(LINGER) => {}
    }
}

/// Answers a request that cannot be read.
async fn reject(node: &Node, caller: &mut Connection, head: Option<&Request>, error: &Error) {
    let (status, what) = match error {
        Error::Io(_) => return,
        Error::Malformed(malformed) => (400, malformed.0),
        Error::HeadTooLong => (431, "the head is too long"),
        Error::BodyTooLong => (413, "the body is too long"),
        Error::Slow => (408, "the request came too slowly"),
    };
    log::info!(status = status, cause = what; "request rejected");
    let labels = [label("outcome", "rejected"), label("class", "unread")];
    node.instruments.requests.add(1, &labels);
    let name = head.and_then(|head| node.protocol.parse_request(head).ok());
    let name = name
        .as_ref()
        .map(|admission| &*admission.request.request_id);
    let headers = node.protocol.local_response_headers(name, None);
    let answer = http::encode_response(status, &headers, what.as_bytes(), true);
    // The caller may have left.
    if caller.write(&answer).await.is_ok() {
        linger(caller).await;
    }
}

/// Serves one request; returns whether the connection can be used further.
async fn serve_request(
    node: &Rc<Node>,
    caller: &mut Connection,
    head: &Request,
    body: &Bytes,
    close: bool,
) -> bool {
    let admission = match node.protocol.parse_request(head) {
        Ok(admission) => admission,
        Err(what) => {
            log::info!(status = 400, cause = what; "request rejected");
            let headers = node.protocol.local_response_headers(None, None);
            let answer = http::encode_response(400, &headers, what.as_bytes(), close);
            return caller.write(&answer).await.is_ok();
        }
    };
    let arrived = Instant::now();
    let request = admission.request;
    let name = Arc::clone(&request.request_id);
    let prompt = request.tokens.map(|tokens| tokens.prompt);
    let (class, prompt_tokens) = (Class::new(prompt), prompt.unwrap_or(0));
    let patience = request.timeout;
    let mut delivery = Delivery::new(Arc::clone(&node.protocol), close, admission.resumed_after);
    let mut registration = node.register();
    let id = registration.id;
    node.apply(Event::Arrived(id, request));
    let mut organisation = None;
    let (outcome, kept) = loop {
        let order = tokio::select! {
            order = registration.order() => order,
            () = caller.closed() => {
                node.apply(Event::Ended(id, Outcome::CallerGone));
                break ("abandoned", false);
            }
        };
        let dispatch = match order {
            Some(Order::Dispatch(dispatch)) => dispatch,
            Some(Order::Queue(length)) => {
                log::info!(
                    request = &*name, class = class.name(), prompt_tokens = prompt_tokens,
                    line = length, revision = node.revision();
                    "waits in line"
                );
                continue;
            }
            Some(Order::Alone(planner)) => {
                log::info!(
                    request = &*name, planner = &*planner, revision = node.revision();
                    "planner gives no answer, targets are chosen here"
                );
                continue;
            }
            Some(Order::Refuse(refusal)) => {
                break refuse(node, caller, &mut delivery, &name, refusal).await;
            }
            None => break ("abandoned", false),
        };
        if let Some(name) = &dispatch.organisation {
            organisation = Some(node.metrics.organisation(name));
        }
        log::info!(
            request = &*name, target_name = &*dispatch.name, route = &*dispatch.route,
            attempt = dispatch.attempt, helpers = dispatch.helpers.len(),
            prompt_tokens = prompt_tokens, at_target = dispatch.load.running,
            exclusive = dispatch.load.exclusive, reading = dispatch.load.prefilling, read_ms = dispatch.load.prefill_ms,
            predicted_ms = dispatch.predicted.as_millis() as u64,
            placed_by = dispatch.planner.as_deref().unwrap_or(&node.settings.common.vm),
            left_ms = dispatch.time_left.as_millis() as u64,
            revision = node.revision(), config_age_ms = node.config_age_ms();
            "dispatched"
        );
        let attempt = Attempt {
            node,
            id,
            name: &name,
            head,
            body,
            dispatch: &dispatch,
            decided: Instant::now(),
        };
        let outcome = attempt.run(caller, &mut delivery).await;
        let ended = ended_name(outcome);
        node.instruments.attempts.add(1, &[label("outcome", ended)]);
        log::info!(
            request = &*name, target_name = &*dispatch.name, attempt = dispatch.attempt,
            took_ms = arrived.elapsed().as_millis() as u64, begun = delivery.begun;
            "attempt ended: {ended}"
        );
        node.apply(Event::Ended(id, outcome));
        match outcome {
            Outcome::Served => break ("served", true),
            Outcome::CallerGone => break ("abandoned", false),
            Outcome::TimedOut => {
                break time_out(node, caller, &mut delivery, &name).await;
            }
            Outcome::Unreachable
            | Outcome::Full
            | Outcome::WrongTarget
            | Outcome::Error
            | Outcome::Broken { .. } => {}
        }
    };
    drop(registration);
    let mut labels = vec![label("outcome", outcome), label("class", class.name())];
    labels.extend(organisation.clone());
    node.instruments.requests.add(1, &labels);
    if let Some(first) = delivery.first_at {
        let seconds = first.duration_since(arrived).as_secs_f64();
        node.instruments
            .first_event
            .record(seconds, &[label("class", class.name())]);
    }
    let first_ms = delivery
        .first_at
        .map_or(0, |at| at.duration_since(arrived).as_millis() as u64);
    let seconds = arrived.elapsed().as_secs_f64();
    let organisation: Vec<Label> = organisation.into_iter().collect();
    node.instruments.answer.record(seconds, &organisation);
    log::info!(
        request = &*name, class = class.name(), status = delivery.status,
        first_ms = first_ms, longest_pause_ms = delivery.longest_pause.as_millis() as u64,
        took_ms = arrived.elapsed().as_millis() as u64,
        patience_ms = patience.map_or(0, |patience| patience.as_millis() as u64);
        "request ended: {outcome}"
    );
    kept
}

fn ended_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "served",
        Outcome::Unreachable => "unreachable",
        Outcome::Full => "full",
        Outcome::WrongTarget => "moved",
        Outcome::Error => "error",
        Outcome::Broken { .. } => "broken",
        Outcome::CallerGone => "abandoned",
        Outcome::TimedOut => "timed_out",
    }
}

/// Ends a request that is refused; returns the outcome and whether the connection can be used further.
async fn refuse(
    node: &Node,
    caller: &mut Connection,
    delivery: &mut Delivery,
    name: &str,
    refusal: Refusal,
) -> (&'static str, bool) {
    log::info!(
        request = name, reason = reason_name(refusal.reason), not_run = refusal.not_run,
        retry_after_ms = refusal.retry_after.map_or(0, |time| time.as_millis() as u64),
        revision = node.revision(), config_age_ms = node.config_age_ms();
        "refused"
    );
    if delivery.begun {
        // Closing without the end of the body shows that the answer is incomplete.
        return ("broken", false);
    }
    if let Some((head, body)) = delivery.failure.take() {
        let sent = delivery.whole(caller, &head, &body).await;
        return ("failed", sent.is_ok());
    }
    let status = match refusal.reason {
        Reason::NoRoute => 404,
        Reason::BadKey => 401,
        Reason::StaleConfig
        | Reason::NoTarget
        | Reason::Busy
        | Reason::ShuttingDown
        | Reason::NotRun => 503,
        Reason::DeadlineExceeded if refusal.not_run => 503,
        Reason::DeadlineExceeded => 504,
        Reason::Failed => 502,
    };
    let outcome = if refusal.not_run { "refused" } else { "failed" };
    let retry_after = refusal.retry_after.filter(|_| status == 503);
    let sent = own(node, caller, delivery, name, status, retry_after).await;
    (outcome, sent)
}

/// Ends a request whose time is over.
async fn time_out(
    node: &Node,
    caller: &mut Connection,
    delivery: &mut Delivery,
    name: &str,
) -> (&'static str, bool) {
    if delivery.begun {
        return ("timed_out", false);
    }
    let sent = own(node, caller, delivery, name, 504, None).await;
    ("timed_out", sent)
}

/// Sends an answer of our own.
async fn own(
    node: &Node,
    caller: &mut Connection,
    delivery: &mut Delivery,
    name: &str,
    status: u16,
    retry_after: Option<Duration>,
) -> bool {
    delivery.status = status;
    let headers = node
        .protocol
        .local_response_headers(Some(name), retry_after);
    let answer = http::encode_response(status, &headers, b"", delivery.close);
    caller.write(&answer).await.is_ok()
}

fn reason_name(reason: Reason) -> &'static str {
    match reason {
        Reason::NoRoute => "no_route",
        Reason::BadKey => "bad_key",
        Reason::StaleConfig => "uncertain",
        Reason::NoTarget => "no_target",
        Reason::Busy => "busy",
        Reason::ShuttingDown => "leaving",
        Reason::NotRun => "not_run",
        Reason::Failed => "failed",
        Reason::DeadlineExceeded => "late",
    }
}
