//! Construction of responses to callers.

use actix_http::body::BoxBody;
use actix_http::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use actix_http::{ConnectionType, Response, StatusCode};
use bytes::Bytes;
use primrosepin_core::request::{Id, Outcome, Reason};
use primrosepin_core::serving::effect::Refusal;
use serde_json::json;

use crate::node::Node;

pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("x-primrosepin-outcome");
pub(crate) const REQUEST: HeaderName = HeaderName::from_static("x-primrosepin-request");
pub(crate) const ATTEMPT: HeaderName = HeaderName::from_static("x-primrosepin-attempt");
/// Entry process that owns an attempt; engines report it for reconciliation.
pub(crate) const OWNER: HeaderName = HeaderName::from_static("x-primrosepin-owner");
pub(crate) const PRIORITY: HeaderName = HeaderName::from_static("x-primrosepin-priority");
pub(crate) const LEASE_MS: HeaderName = HeaderName::from_static("x-primrosepin-lease-ms");
/// Parts of an attempt that spans several engines, as comma-separated `address=reservation id` pairs.
pub(crate) const PARTS: HeaderName = HeaderName::from_static("x-primrosepin-parts");
/// `0` in a response with status 503 states that the engine did not run the request.
pub(crate) const RAN: HeaderName = HeaderName::from_static("x-primrosepin-ran");
/// Marks a request that an entry VM of another zone has handed over.
pub(crate) const HOP: HeaderName = HeaderName::from_static("x-primrosepin-hop");
pub(crate) const DEADLINE_MS: HeaderName = HeaderName::from_static("x-primrosepin-deadline-ms");
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Formats a request id as it is sent to callers.
pub(crate) fn request_id(id: Id) -> String {
    format!("{:032x}", id.0)
}

/// Error response to a request that is rejected before it reaches the reducer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Rejection {
    pub(crate) status: u16,
    pub(crate) code: &'static str,
    pub(crate) message: String,
    pub(crate) retry_after_ms: Option<u64>,
}

impl Rejection {
    pub(crate) fn new<M>(status: u16, code: &'static str, message: M) -> Self
    where
        M: Into<String>,
    {
        Self {
            status,
            code,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    pub(crate) fn with_retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Builds the response. Its outcome is always `not_run`, since no attempt was made.
    pub(crate) fn response(&self, node: &Node, id: Id) -> Response<BoxBody> {
        let outcome = Outcome::NotRun;
        let body = error_body(self.code, &self.message, outcome, self.retry_after_ms);
        let mut response = response(node, id, self.status, outcome, "application/json", body);
        set_retry_after(&mut response, self.retry_after_ms);
        response
    }
}

/// Builds the response to a request that ended without a complete response from a target.
pub(crate) fn refusal(node: &Node, refusal: &Refusal) -> Response<BoxBody> {
    let body = error_body(
        refusal.reason.as_str(),
        message(refusal.reason),
        refusal.outcome,
        refusal.retry_after_ms,
    );
    let mut response = response(
        node,
        refusal.request,
        status(refusal),
        refusal.outcome,
        "application/json",
        body,
    );
    set_retry_after(&mut response, refusal.retry_after_ms);
    response
}

/// Builds a response with a non-streamed body.
pub(crate) fn response<B>(
    node: &Node,
    id: Id,
    status: u16,
    outcome: Outcome,
    content_type: &str,
    body: B,
) -> Response<BoxBody>
where
    B: Into<Bytes>,
{
    let mut response = Response::with_body(status_code(status), BoxBody::new(body.into()));
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(content_type) {
        headers.insert(CONTENT_TYPE, value);
    }
    headers.insert(OUTCOME, HeaderValue::from_static(outcome.as_str()));
    set_common_headers(node, id, &mut response);
    response
}

/// Sets the headers common to all responses to callers.
pub(crate) fn set_common_headers<B>(node: &Node, id: Id, response: &mut Response<B>) {
    if let Ok(value) = HeaderValue::from_str(&request_id(id)) {
        response.headers_mut().insert(REQUEST, value);
    }
    if node.is_draining() {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
}

/// Builds the outcome event that ends a stream, after the end marker if the outcome is `answered`.
pub(crate) fn outcome_event(id: Id, outcome: Outcome, reason: Option<Reason>) -> Bytes {
    let mut data = json!({ "outcome": outcome.as_str(), "request": request_id(id) });
    if let Some(reason) = reason {
        data["code"] = reason.as_str().into();
    }
    let done = if outcome == Outcome::Answered {
        "data: [DONE]\n\n"
    } else {
        ""
    };
    Bytes::from(format!(
        "{done}event: primrosepin.outcome\ndata: {data}\n\n"
    ))
}

pub(crate) fn status_code(status: u16) -> StatusCode {
    StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY)
}

fn set_retry_after(response: &mut Response<BoxBody>, retry_after_ms: Option<u64>) {
    if let Some(ms) = retry_after_ms {
        // The header is in whole seconds; rounding down would make callers retry too early.
        let seconds = ms.div_ceil(1_000).max(1);
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
}

fn error_body(code: &str, message: &str, outcome: Outcome, retry_after_ms: Option<u64>) -> String {
    let mut error = json!({
        "code": code,
        "message": message,
        "outcome": outcome.as_str(),
    });
    if let Some(ms) = retry_after_ms {
        error["retry_after_ms"] = ms.into();
    }
    json!({ "error": error }).to_string()
}

fn status(refusal: &Refusal) -> u16 {
    match refusal.reason {
        Reason::FleetBusy
        | Reason::ZoneOut
        | Reason::LedgerUnavailable
        | Reason::NoTarget
        | Reason::Quarantined => 503,
        Reason::FleetTooSmall => 413,
        Reason::OrganisationLimit => 429,
        Reason::Duplicate => 409,
        Reason::DeadlineExceeded => 504,
        Reason::TargetFailed => 502,
        Reason::CallerGone => 499,
    }
}

fn message(reason: Reason) -> &'static str {
    match reason {
        Reason::FleetBusy => "the fleet cannot finish the request before its deadline",
        Reason::FleetTooSmall => "the prompt is longer than the fleet can hold",
        Reason::NoTarget => "no target serves the request",
        Reason::OrganisationLimit => "the organisation has reached its concurrency limit",
        Reason::ZoneOut => "the zone is out of service and no other zone can take the request",
        Reason::LedgerUnavailable => "the ledger cannot be written, so the request was not started",
        Reason::Duplicate => "a request with the same idempotency key is running or may have run",
        Reason::DeadlineExceeded => "the deadline passed",
        Reason::TargetFailed => "the target failed and the request cannot be repeated",
        Reason::CallerGone => "the caller closed the connection",
        Reason::Quarantined => "targets end when they run this request, so it is not run",
    }
}
