//! HTTP API for targets: announcements.

use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{HttpMessage, Request, Response};
use bytes::BytesMut;
use futures_util::StreamExt;
use primrosepin_core::serving::event::Event;
use primrosepin_core::target::Announcement;
use serde_json::json;

use crate::callers::bearer_key;
use crate::listen::Connection;
use crate::node::Node;
use crate::reply::status_code;

/// Largest accepted announcement.
const BODY_BYTES_MAX: usize = 64 * 1024;

/// Lease of an announcement; matches the lease that the reducer applies.
const LEASE_MS: u64 = 3_000;

/// Serves one request of a target.
pub(crate) async fn serve(node: Rc<Node>, mut request: Request) -> Response<BoxBody> {
    let connection = Connection::of(&request);
    let _active = connection.as_ref().map(Connection::enter);
    match announce(&node, &mut request).await {
        Ok(()) => json_response(200, &json!({ "lease_ms": LEASE_MS })),
        Err((status, code, message)) => json_response(
            status,
            &json!({ "error": { "code": code, "message": message } }),
        ),
    }
}

async fn announce(node: &Node, request: &mut Request) -> Result<(), (u16, &'static str, String)> {
    if request.path() != "/v1/targets/announce" {
        return Err((404, "unknown_path", "expected /v1/targets/announce".into()));
    }
    if request.method() != awc::http::Method::POST {
        return Err((405, "method_not_allowed", "expected POST".into()));
    }
    let Some(config_index) = node.config_index() else {
        return Err((
            503,
            "not_ready",
            "the process has no configuration yet".into(),
        ));
    };
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| (400, "bad_body", error.to_string()))?;
        if body.len() + chunk.len() > BODY_BYTES_MAX {
            let message = format!("at most {BODY_BYTES_MAX} bytes are accepted");
            return Err((413, "body_too_large", message));
        }
        body.extend_from_slice(&chunk);
    }
    let announcement: Announcement =
        serde_json::from_slice(&body).map_err(|error| (400, "bad_body", error.to_string()))?;
    let known = bearer_key(request.headers())
        .is_some_and(|key| config_index.may_announce(key, &announcement.service));
    if !known {
        let message = format!(
            "the key may not announce targets of {}",
            announcement.service
        );
        return Err((401, "unknown_key", message));
    }
    if announcement.zone != node.settings.zone {
        let message = format!("this process serves zone {}", node.settings.zone);
        return Err((409, "wrong_zone", message));
    }
    node.report(Event::Announced(announcement));
    Ok(())
}

pub(crate) fn json_response(status: u16, body: &serde_json::Value) -> Response<BoxBody> {
    let mut response = Response::with_body(status_code(status), BoxBody::new(body.to_string()));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
