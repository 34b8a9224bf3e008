//! Desired state and consumers of the cases with requests.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use crate::http::{Answer, call};

/// Key of the tenant `club`.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Returns a desired state with an unsafe and a safe route to one plain service, with the sheet's time limit.
pub fn desired_state(version: u64) -> String {
    desired_state_with(version, 1_000)
}

/// Returns a desired state like [`desired_state`], with another time limit of the routes.
pub fn desired_state_with(version: u64, timeout_ms: u64) -> String {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"desk.example\",\"path_prefix\":\"/{name}/\",\"route_type\":\"{kind}\",\
             \"timeout_ms\":{timeout_ms},\"goal_ms\":150,\"priority\":2,\"service\":\"orders\",\"max_attempts\":{attempts},\
             \"public\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\
         \"services\":[{{\"name\":\"orders\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\
         \"tls\":false,\"cold_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"club\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        route("order", "unsafe", 1),
        route("read", "safe", 2),
    )
}

/// Sends one request of a consumer on a new channel.
pub fn send(to: SocketAddr, path: &str, request_id: &str, limit: Duration) -> io::Result<Answer> {
    let body: &[u8] = if path.starts_with("/order/") {
        b"one saddle, size M"
    } else {
        b""
    };
    send_for(to, path, request_id, body, limit, limit)
}

/// Sends a request with this time limit, and leaves after `stay` if there is no answer.
pub fn send_for(
    to: SocketAddr,
    path: &str,
    request_id: &str,
    body: &[u8],
    limit: Duration,
    stay: Duration,
) -> io::Result<Answer> {
    let deadline = limit.as_millis().to_string();
    let authorization = format!("Bearer {KEY}");
    let headers = [
        ("Host", "desk.example"),
        ("Primrosepin-Request-Id", request_id),
        ("Primrosepin-Deadline-Ms", &deadline),
        ("Authorization", &authorization),
    ];
    let method = if path.starts_with("/order/") {
        "POST"
    } else {
        "GET"
    };
    call(to, method, path, &headers, body, stay)
}
