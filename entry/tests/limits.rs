//! Requests and connections that are rejected before they reach a target.

mod support;

use actix_rt::net::TcpStream;
use primrosepin_entry::Server;
use serde_json::json;
use support::{
    CALLER_KEY, Target, call, call_with, generation, settings, start_entry, write_stream,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Sends raw bytes as a caller and reads until the connection is closed.
async fn send_raw(server: &Server, text: &str) -> String {
    let mut stream = TcpStream::connect(server.addresses().callers)
        .await
        .unwrap();
    // Fails if the process closes the connection before a large head has been sent.
    drop(stream.write_all(text.as_bytes()).await);
    let mut answer = Vec::new();
    drop(stream.read_to_end(&mut answer).await);
    String::from_utf8(answer).unwrap()
}

/// Guards against an oversized body that is buffered or relayed.
#[actix_rt::test]
async fn an_oversized_body_is_refused() {
    let mut settings = settings();
    settings.limits.body_bytes = 1_000;
    let server = start_entry(settings).await;
    let body = json!({"model": "m", "prompt": "x".repeat(2_000)});
    let answer = call(&server, "/v1/completions", &body).await;
    assert_eq!(answer.status, 413);
    assert_eq!(answer.error()["code"], "body_too_large");
    assert_eq!(answer.outcome(), "not_run");
    // The length of a chunked body is not known in advance.
    let chunk = "x".repeat(2_000);
    let text = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         connection: close\r\ntransfer-encoding: chunked\r\n\r\n7d0\r\n{chunk}\r\n0\r\n\r\n"
    );
    let answer = send_raw(&server, &text).await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    server.stop().await.unwrap();
}

/// Guards against request bodies that exhaust the memory of the process.
#[actix_rt::test]
async fn bodies_over_the_memory_limit_are_refused_with_a_retry_hint() {
    let mut settings = settings();
    settings.limits.buffered_bytes = 10;
    let server = start_entry(settings).await;
    let answer = call(&server, "/v1/completions", &generation(false)).await;
    assert_eq!((answer.status, answer.outcome()), (503, "not_run"));
    assert_eq!(answer.error()["code"], "entry_busy");
    assert_eq!(answer.error()["retry_after_ms"], 1_000);
    assert_eq!(answer.headers["retry-after"], "1");
    server.stop().await.unwrap();
}

/// Guards against a request with two different API keys that is accepted under one of them,
/// although a proxy in between may have checked the other one.
#[actix_rt::test]
async fn two_different_keys_are_refused() {
    let server = start_entry(settings()).await;
    let text = |second: &str| {
        format!(
            "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CALLER_KEY}\r\n\
             authorization: Bearer {second}\r\nconnection: close\r\ncontent-length: 2\r\n\r\n{{}}"
        )
    };
    let answer = send_raw(&server, &text("other")).await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(
        answer.contains("ambiguous_key") && answer.contains("not_run"),
        "{answer}"
    );
    let answer = send_raw(&server, &text(CALLER_KEY)).await;
    assert!(!answer.contains("ambiguous_key"), "{answer}");
    server.stop().await.unwrap();
}

/// Guards against malformed requests, and requests with an unknown key, path or model, that reach a
/// target.
#[actix_rt::test]
async fn wrong_requests_are_refused_with_their_reason() {
    let server = start_entry(settings()).await;
    let target =
        Target::start(async |request, stream| write_stream(stream, &request, 1).await).await;
    target.announce(&server, "t1", "lm").await;
    let completions = "/v1/completions";
    let body = generation(false);
    let key = [("authorization", "Bearer other")];
    let deadline = [("x-primrosepin-deadline-ms", "soon")];
    let unknown_model = json!({"model": "other", "prompt": "x"});
    let cases = [
        (
            call_with(&server, completions, &body, &key).await,
            401,
            "unknown_key",
        ),
        (
            call_with(&server, completions, &body, &deadline).await,
            400,
            "bad_deadline",
        ),
        (call(&server, "/v1/other", &body).await, 404, "unknown_path"),
        (call(&server, "/ordersx", &body).await, 404, "unknown_path"),
        (
            call(&server, completions, &unknown_model).await,
            404,
            "unknown_model",
        ),
        (
            call(&server, completions, &json!({"model": "m"})).await,
            400,
            "bad_body",
        ),
        (
            call(&server, completions, &json!([1])).await,
            400,
            "bad_body",
        ),
    ];
    for (answer, status, code) in cases {
        assert_eq!(
            (answer.status, answer.outcome()),
            (status, "not_run"),
            "{code}"
        );
        assert_eq!(answer.error()["code"], code);
        assert!(answer.error()["retry_after_ms"].is_null(), "{code}");
    }
    assert!(target.requests(completions).is_empty());
    server.stop().await.unwrap();
}

/// Guards against callers that keep a connection open by never completing a body, the first request
/// head or a later request head.
#[actix_rt::test]
async fn slow_senders_are_cut_off() {
    let mut settings = settings();
    settings.limits.body_timeout_ms = 100;
    settings.limits.header_timeout_ms = 100;
    let server = start_entry(settings).await;
    let head = format!("host: x\r\nauthorization: Bearer {CALLER_KEY}\r\n");
    let body = format!("POST /v1/completions HTTP/1.1\r\n{head}content-length: 9\r\n\r\n{{");
    let answer = send_raw(&server, &body).await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("body_timeout"), "{answer}");
    let answer = send_raw(&server, "POST /v1/completions HTTP/1.1\r\nhost:").await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    let (head, body) = answer.split_once("\r\n\r\n").unwrap();
    assert!(
        head.contains(&format!("content-length: {}", body.len())),
        "{answer}"
    );
    assert!(body.contains("header_timeout"), "{answer}");
    let mut stream = TcpStream::connect(server.addresses().callers)
        .await
        .unwrap();
    let first = b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n";
    stream.write_all(first).await.unwrap();
    stream.read_u8().await.unwrap();
    stream.write_all(b"GET /healthz HTTP").await.unwrap();
    let mut rest = Vec::new();
    drop(stream.read_to_end(&mut rest).await);
    let rest = String::from_utf8(rest).unwrap();
    assert!(rest.contains("ok\nHTTP/1.1 408"), "{rest}");
    server.stop().await.unwrap();
}

/// Guards against request heads that take unbounded memory.
#[actix_rt::test]
async fn an_oversized_head_is_refused() {
    let server = start_entry(settings()).await;
    let filler = "x".repeat(40_000);
    let text = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\nx-a: {filler}\r\n\
         content-length: 0\r\n\r\n"
    );
    let answer = send_raw(&server, &text).await;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    assert!(answer.contains("headers_too_large"), "{answer}");
    server.stop().await.unwrap();
}

/// Guards against connections that exhaust the file descriptors.
#[actix_rt::test]
async fn connections_over_the_limit_are_closed() {
    let mut settings = settings();
    settings.limits.connections = 1;
    let server = start_entry(settings).await;
    let address = server.addresses().callers;
    support::wait_until(async || {
        let mut first = TcpStream::connect(address).await.unwrap();
        first
            .write_all(b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n")
            .await
            .unwrap();
        let mut byte = [0];
        if !matches!(first.read(&mut byte).await, Ok(1)) {
            // The connection that `start_entry` used has not been closed yet.
            return false;
        }
        let mut second = TcpStream::connect(address).await.unwrap();
        let closed = matches!(second.read(&mut byte).await, Ok(0) | Err(_));
        assert!(closed);
        true
    })
    .await;
    server.stop().await.unwrap();
}
