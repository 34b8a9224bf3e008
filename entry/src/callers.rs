//! Callers' requests: authentication, limits, routing and responses.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::header::{AUTHORIZATION, CACHE_CONTROL, CONTENT_LENGTH, CONTENT_TYPE};
use actix_http::{ConnectionType, HttpMessage, Payload, Request, Response, StatusCode};
use actix_rt::time::timeout;
use awc::http::header::{HeaderMap, HeaderName, HeaderValue};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use primrosepin_core::fingerprint::Fingerprint;
use primrosepin_core::request::{Arrival, Id, Outcome};
use primrosepin_core::serving::event::Event;
use smallvec::SmallVec;

use crate::attempt::is_end_to_end;
use crate::config_index::ConfigIndex;
use crate::listen::{ActiveRequest, Connection};
use crate::node::{Body, BufferPermit, Call, CallKind, CallParts, Node, Phase};
use crate::reply::{self, Rejection};
use crate::response::{Completion, Item};
use crate::scan::Scan;

/// Largest accepted request head.
const HEAD_BYTES_MAX: usize = 32 * 1024;

/// Body size from which the body is parsed on another thread: parsing 256 KiB takes about 0.5 ms,
/// which would delay the tokens of all streams.
const BLOCKING_PARSE_BYTES_MIN: usize = 256 * 1024;

/// Retry hint while request bodies exhaust `buffered_bytes`.
const BUFFER_RETRY_MS: u64 = 1_000;

/// Retry hint before the first configuration has arrived.
const UNCONFIGURED_RETRY_MS: u64 = 1_000;

/// Longest accepted idempotency key.
const KEY_BYTES_MAX: usize = 255;

/// Serves one request of a caller.
pub(crate) async fn serve(node: Rc<Node>, mut request: Request) -> Response<BoxBody> {
    let active = Connection::of(&request).as_ref().map(Connection::enter);
    match request.path() {
        "/healthz" => return health_response(true),
        "/readyz" => {
            return health_response(node.ready.get() && *node.phase.borrow() == Phase::Serving);
        }
        _ => {}
    }
    let id = node.request_id();
    let mut body_read = false;
    let (call, arrival) = match validate(&node, id, &mut request, &mut body_read).await {
        Ok(accepted) => accepted,
        Err(rejection) => {
            node.count_rejection(&rejection);
            let mut response = rejection.response(&node, id);
            if !body_read {
                // The unread rest of the body must not be parsed as the next request.
                response
                    .head_mut()
                    .set_connection_type(ConnectionType::Close);
            }
            return response;
        }
    };
    drop(request);
    let call = Rc::new(call);
    node.calls.borrow_mut().insert(id, Rc::clone(&call));
    let caller = CallerGuard {
        node: Rc::clone(&node),
        call,
        _active: active,
    };
    node.report(Event::Arrived(Box::new(arrival)));
    match caller.call.response.wait_started().await {
        Ok(head) => {
            let mut response = Response::new(reply::status_code(head.status));
            let headers = response.headers_mut();
            if let Ok(value) = HeaderValue::from_str(&head.content_type) {
                headers.insert(CONTENT_TYPE, value);
            }
            headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
            reply::set_common_headers(&node, id, &mut response);
            response.set_body(BoxBody::new(StreamingBody(caller)))
        }
        Err(end) => caller.into_response(end),
    }
}

fn health_response(healthy: bool) -> Response<BoxBody> {
    let (status, text) = if healthy {
        (StatusCode::OK, "ok\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    };
    Response::with_body(status, BoxBody::new(text))
}

/// Validates a request, reads its body and resolves its service.
async fn validate(
    node: &Rc<Node>,
    id: Id,
    request: &mut Request,
    body_read: &mut bool,
) -> Result<(Call, Arrival), Rejection> {
    let head_bytes: usize = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum::<usize>()
        + request.uri().to_string().len();
    if head_bytes > HEAD_BYTES_MAX {
        return Err(Rejection::new(
            431,
            "headers_too_large",
            format!(
                "the request head has {head_bytes} bytes, at most {HEAD_BYTES_MAX} are accepted"
            ),
        ));
    }
    let Some(config_index) = node.config_index() else {
        return Err(
            Rejection::new(503, "not_ready", "the process has no configuration yet")
                .with_retry_after_ms(UNCONFIGURED_RETRY_MS),
        );
    };
    let mut keys = request.headers().get_all(AUTHORIZATION);
    if let Some(first) = keys.next()
        && keys.any(|other| other != first)
    {
        return Err(Rejection::new(
            400,
            "ambiguous_key",
            "the request has two different Authorization headers",
        ));
    }
    let organisation = bearer_key(request.headers())
        .and_then(|key| config_index.organisation(key))
        .ok_or_else(|| Rejection::new(401, "unknown_key", "the API key is missing or unknown"))?;
    let deadline = deadline(request.headers())?;
    let key = idempotency_key(request.headers())?;
    let path = request.path().to_owned();
    let is_generation = matches!(&*path, "/v1/chat/completions" | "/v1/completions");
    let plain = if is_generation {
        None
    } else {
        Some(config_index.plain_service(&path).ok_or_else(|| {
            Rejection::new(
                404,
                "unknown_path",
                format!("no service answers for {path}"),
            )
        })?)
    };
    if is_generation && request.method() != awc::http::Method::POST {
        return Err(Rejection::new(405, "method_not_allowed", "expected POST"));
    }
    let body = read_body(node, request).await?;
    *body_read = true;
    let method = request.method().clone();
    let (kind, scan, service, model) = if let Some(service) = plain {
        (CallKind::Plain, None, service, None)
    } else {
        let scan = scan(&body.bytes).await?;
        let (service, model) = config_index.model(&scan.model).ok_or_else(|| {
            Rejection::new(
                404,
                "unknown_model",
                format!("no service has the model {:?}", scan.model),
            )
        })?;
        let kind = if scan.stream {
            CallKind::Stream
        } else {
            CallKind::Buffered
        };
        (kind, Some(scan), service, Some(model))
    };
    let at_most_once = is_at_most_once(&config_index, &service, request);
    let repeatable = kind != CallKind::Plain || method.is_safe();
    let prompt_tokens = scan.as_ref().map_or(0, |scan| scan.prompt_tokens);
    let labels = node.metrics.labels(&organisation, prompt_tokens);
    let asked_path = request.uri().path_and_query();
    let fingerprint = Fingerprint::new(
        method.as_str(),
        &service,
        asked_path.map_or(&*path, |path| path.as_str()),
        &body.bytes,
    );
    let arrival = Arrival {
        id,
        fingerprint,
        organisation,
        service,
        model,
        prompt_tokens,
        max_tokens: scan.as_ref().map_or(0, |scan| scan.max_tokens),
        prefix: scan.map_or_else(SmallVec::new, |scan| scan.prefix),
        at_most_once,
        repeatable,
        key: key.clone(),
        deadline,
        handed_over: request.headers().contains_key(reply::HOP),
    };
    let call = Call::new(CallParts {
        id,
        method,
        path: request
            .uri()
            .path_and_query()
            .map_or_else(|| path.clone(), |path| path.as_str().to_owned()),
        kind,
        at_most_once,
        headers: forwarded_headers(kind, request.headers()),
        authorization: request.headers().get(AUTHORIZATION).cloned(),
        deadline,
        key,
        labels,
        body,
    });
    Ok((call, arrival))
}

/// Returns the key in an `Authorization: Bearer` header.
pub(crate) fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, Rejection> {
    let Some(value) = headers.get(reply::DEADLINE_MS) else {
        return Ok(None);
    };
    match value.to_str().ok().and_then(|ms| ms.parse::<u64>().ok()) {
        Some(ms) if ms > 0 => Ok(Some(Duration::from_millis(ms))),
        _ => Err(Rejection::new(
            400,
            "bad_deadline",
            "expected a number of milliseconds in x-primrosepin-deadline-ms",
        )),
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<Arc<str>>, Rejection> {
    let Some(value) = headers.get(reply::IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(key) if (1..=KEY_BYTES_MAX).contains(&key.len()) => Ok(Some(key.into())),
        _ => Err(Rejection::new(
            400,
            "bad_idempotency_key",
            format!("expected 1 to {KEY_BYTES_MAX} visible characters in idempotency-key"),
        )),
    }
}

fn is_at_most_once(config_index: &ConfigIndex, service: &str, request: &Request) -> bool {
    let headers = request.headers();
    config_index.at_most_once(service, request.method().as_str(), request.path(), |name| {
        headers.contains_key(name)
    })
}

/// Returns the headers that are forwarded to the target. The caller's API key is not forwarded.
fn forwarded_headers(kind: CallKind, headers: &HeaderMap) -> Vec<(HeaderName, HeaderValue)> {
    headers
        .iter()
        .filter(|(name, _)| match kind {
            CallKind::Stream | CallKind::Buffered => **name == CONTENT_TYPE,
            CallKind::Plain => **name != AUTHORIZATION && is_end_to_end(name.as_str()),
        })
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Reads the request body, subject to the limits of size, time and buffer memory.
async fn read_body(node: &Rc<Node>, request: &mut Request) -> Result<Body, Rejection> {
    let limits = *node.limits();
    let length = request
        .headers()
        .get(CONTENT_LENGTH)
        .and_then(|length| length.to_str().ok()?.parse::<usize>().ok())
        .unwrap_or(0);
    let mut permit = BufferPermit::new(node);
    let too_large = || {
        Rejection::new(
            413,
            "body_too_large",
            format!("at most {} bytes are accepted", limits.body_bytes),
        )
    };
    let buffers_full = || {
        Rejection::new(
            503,
            "entry_busy",
            "request bodies fill the memory of this process",
        )
        .with_retry_after_ms(BUFFER_RETRY_MS)
    };
    if length > limits.body_bytes {
        return Err(too_large());
    }
    if !permit.grow(length) {
        return Err(buffers_full());
    }
    let mut payload: Payload = request.take_payload();
    let read = async {
        let mut body = BytesMut::with_capacity(length);
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|error| {
                Rejection::new(400, "bad_body", format!("the body cannot be read: {error}"))
            })?;
            if body.len() + chunk.len() > limits.body_bytes {
                return Err(too_large());
            }
            if !permit.grow(body.len() + chunk.len()) {
                return Err(buffers_full());
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    };
    let body_timeout = Duration::from_millis(limits.body_timeout_ms);
    match timeout(body_timeout, read).await {
        Ok(body) => Ok(Body::new(body?, permit)),
        Err(_) => Err(Rejection::new(
            408,
            "body_timeout",
            format!(
                "the body did not arrive within {} ms",
                limits.body_timeout_ms
            ),
        )),
    }
}

async fn scan(bytes: &Bytes) -> Result<Scan, Rejection> {
    let scan = if bytes.len() < BLOCKING_PARSE_BYTES_MIN {
        Scan::read(bytes)
    } else {
        let bytes = bytes.clone();
        match tokio::task::spawn_blocking(move || Scan::read(&bytes)).await {
            Ok(scan) => scan,
            Err(error) => Err(error.to_string()),
        }
    };
    scan.map_err(|error| Rejection::new(400, "bad_body", error))
}

/// A caller that waits for a response. If it is dropped before the response has ended, the reducer
/// is told that the caller disconnected.
struct CallerGuard {
    node: Rc<Node>,
    call: Rc<Call>,
    _active: Option<ActiveRequest>,
}

impl CallerGuard {
    /// Builds the response to a request that ended before a stream was started.
    fn into_response(self, end: Completion) -> Response<BoxBody> {
        let (node, id) = (&self.node, self.call.id);
        match end {
            Completion::Refused(refusal) => reply::refusal(node, &refusal),
            Completion::Replayed(outcome, recorded) => {
                let mut body = recorded.body;
                if recorded.content_type.starts_with("text/event-stream") {
                    body.extend_from_slice(&reply::outcome_event(id, outcome, None));
                }
                let content_type = &recorded.content_type;
                reply::response(node, id, recorded.status, outcome, content_type, body)
            }
            Completion::Answered => {
                let Some(answer) = self.call.answer.take() else {
                    // A stream that completes without any event has no content.
                    let body = reply::outcome_event(id, Outcome::Answered, None);
                    return reply::response(
                        node,
                        id,
                        200,
                        Outcome::Answered,
                        "text/event-stream",
                        body,
                    );
                };
                let head = answer.head;
                let mut response = reply::response(
                    node,
                    id,
                    head.status,
                    Outcome::Answered,
                    &head.content_type,
                    answer.body,
                );
                for (name, value) in &head.headers {
                    if let (Ok(name), Ok(value)) = (
                        HeaderName::try_from(name.as_str()),
                        HeaderValue::from_bytes(value),
                    ) {
                        response.headers_mut().append(name, value);
                    }
                }
                response
            }
        }
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if self.call.response.is_finished() {
            self.node.metrics.finished(&self.call);
        } else {
            self.node.report(Event::CallerGone(self.call.id));
        }
        self.call.closed.notify_waiters();
        self.node.calls.borrow_mut().remove(&self.call.id);
    }
}

/// Body of a streamed response.
struct StreamingBody(CallerGuard);

impl MessageBody for StreamingBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Stream
    }

    fn poll_next(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        let call = &self.0.call;
        if call.outcome_sent.get() {
            return Poll::Ready(None);
        }
        call.response.poll_next(cx).map(|next| {
            Some(Ok(match next {
                Item::Data(bytes) => bytes,
                Item::End(end) => {
                    call.outcome_sent.set(true);
                    match end {
                        Completion::Refused(refusal) => {
                            reply::outcome_event(call.id, refusal.outcome, Some(refusal.reason))
                        }
                        Completion::Answered => {
                            reply::outcome_event(call.id, Outcome::Answered, None)
                        }
                        Completion::Replayed(outcome, _) => {
                            reply::outcome_event(call.id, outcome, None)
                        }
                    }
                }
            }))
        })
    }
}
