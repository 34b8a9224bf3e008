//! Helpers for HTTP requests and responses, shared by both stand-ins.

use actix_http::body::{BoxBody, MessageBody};
use actix_http::header::{self, HeaderName, HeaderValue};
use actix_http::{HttpMessage, Request, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use serde::Serialize;

/// Size above which request bodies are rejected.
const BODY_BYTES_MAX: usize = 64 * 1024 * 1024;

/// Reads the body of a request; `None` if the connection fails or the body is too large.
pub(crate) async fn read_body(request: &mut Request) -> Option<Bytes> {
    let mut payload = request.take_payload();
    let mut buffer = BytesMut::new();
    while let Some(part) = payload.next().await {
        let part = part.ok()?;
        if buffer.len() + part.len() > BODY_BYTES_MAX {
            return None;
        }
        buffer.extend_from_slice(&part);
    }
    Some(buffer.freeze())
}

/// Returns a request header; `None` if it is absent or not visible ASCII.
pub(crate) fn header(request: &Request, name: &str) -> Option<String> {
    let value = request.headers().get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

pub(crate) fn json<T>(status: StatusCode, value: &T) -> Response<BoxBody>
where
    T: Serialize,
{
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(status).set_body(body.boxed());
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    response
}

/// Builds an error response with a JSON body.
pub(crate) fn error(status: StatusCode, message: &str) -> Response<BoxBody> {
    json(
        status,
        &serde_json::json!({ "error": { "message": message } }),
    )
}

/// Adds a header; a value that is not valid in a header is ignored.
pub(crate) fn with_header(
    mut response: Response<BoxBody>,
    name: &'static str,
    value: &str,
) -> Response<BoxBody> {
    if let Ok(value) = HeaderValue::from_str(value) {
        response
            .headers_mut()
            .insert(HeaderName::from_static(name), value);
    }
    response
}
