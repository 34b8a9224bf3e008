//! Callers that disconnect, targets that stall and processes that shut down.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::net::TcpStream;
use actix_rt::time::sleep;
use primrosepin_entry::Server;
use support::{
    CALLER_KEY, Target, call, call_with, generation, settings, start_entry, tokens, wait_until,
    write_event, write_stream, write_stream_end, write_stream_head,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Opens a connection and sends a generation request on it.
async fn send(server: &Server, stream: bool) -> TcpStream {
    let mut connection = TcpStream::connect(server.addresses().callers)
        .await
        .unwrap();
    let body = generation(stream).to_string();
    let text = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    connection.write_all(text.as_bytes()).await.unwrap();
    connection
}

/// Guards against engine memory that stays in use after the caller has disconnected, both before
/// the first token and in the middle of a streamed response.
#[actix_rt::test]
async fn a_disconnected_caller_cancels_the_attempt() {
    for stream in [false, true] {
        let server = start_entry(settings()).await;
        let target = Target::start(move |request, mut connection| async move {
            if stream {
                write_stream_head(&mut connection, request.attempt()).await;
                write_event(&mut connection, request.attempt(), 0).await;
            }
            // Returns when the connection is closed because the attempt was aborted.
            drop(connection.read_u8().await);
            None
        })
        .await;
        target.announce(&server, "t1", "lm").await;
        let mut caller = send(&server, stream).await;
        if stream {
            caller.read_u8().await.unwrap();
        }
        wait_until(async || !target.requests("/v1/completions").is_empty()).await;
        drop(caller);
        wait_until(async || !target.requests("/v1/cancel").is_empty()).await;
        let attempt = target.requests("/v1/completions")[0].attempt().to_owned();
        assert_eq!(target.requests("/v1/cancel")[0].json()["attempt"], *attempt);
        server.stop().await.unwrap();
    }
}

/// Guards against an unresponsive target that delays a request beyond its deadline or delays other
/// requests.
#[actix_rt::test]
async fn a_stalled_connection_ends_at_the_deadline() {
    let server = start_entry(settings()).await;
    let stalled = Target::start(async |_, stream| {
        sleep(Duration::from_mins(10)).await;
        Some(stream)
    })
    .await;
    stalled.announce(&server, "t1", "lm").await;
    let plain = Target::start(async |request, mut stream| {
        support::write_json(&mut stream, &request, 200, &serde_json::json!({})).await;
        Some(stream)
    })
    .await;
    plain.announce(&server, "p1", "orders").await;
    let headers = [("x-primrosepin-deadline-ms", "500")];
    let body = generation(false);
    let waiting = call_with(&server, "/v1/completions", &body, &headers);
    let other = async {
        wait_until(async || !stalled.requests("/v1/completions").is_empty()).await;
        call(&server, "/orders/1", &serde_json::json!({})).await
    };
    let (waiting, other) = futures_util::join!(waiting, other);
    assert_eq!((waiting.status, waiting.outcome()), (504, "unknown"));
    assert_eq!(waiting.error()["code"], "deadline_exceeded");
    assert_eq!(other.outcome(), "answered");
    wait_until(async || !stalled.requests("/v1/cancel").is_empty()).await;
    server.stop().await.unwrap();
}

/// Guards against a graceful shutdown that interrupts a stream, or a request that arrives before
/// the load balancer has noticed that readiness fails.
#[actix_rt::test]
async fn a_graceful_shutdown_interrupts_no_request() {
    let mut settings = settings();
    settings.limits.drain_ms = 300;
    let server = start_entry(settings).await;
    let address = server.addresses().callers;
    let gate = Rc::new(Cell::new(false));
    let open = Rc::clone(&gate);
    let target = Target::start(move |request, mut stream| {
        let open = Rc::clone(&open);
        async move {
            if request.json()["stream"] == false {
                support::write_json(&mut stream, &request, 200, &serde_json::json!({})).await;
                return Some(stream);
            }
            write_stream_head(&mut stream, request.attempt()).await;
            write_event(&mut stream, request.attempt(), 0).await;
            wait_until(async || open.get()).await;
            write_event(&mut stream, request.attempt(), 1).await;
            write_stream_end(&mut stream).await;
            Some(stream)
        }
    })
    .await;
    target.announce(&server, "t1", "lm").await;
    let mut running = send(&server, true).await;
    running.read_u8().await.unwrap();
    let mut late = TcpStream::connect(address).await.unwrap();
    let stop = actix_rt::spawn(server.stop());
    // Readiness fails first.
    wait_until(async || {
        let ready = awc::Client::default().get(format!("http://{address}/readyz"));
        ready.send().await.unwrap().status() == 503
    })
    .await;
    let body = generation(false).to_string();
    let text = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    late.write_all(text.as_bytes()).await.unwrap();
    let mut answer = String::new();
    // The connection is closed after the response, and the response announces this.
    late.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(
        answer.to_lowercase().contains("connection: close"),
        "{answer}"
    );
    // New connections are refused while the running stream continues.
    wait_until(async || TcpStream::connect(address).await.is_err()).await;
    gate.set(true);
    let mut rest = String::new();
    running.read_to_string(&mut rest).await.unwrap();
    for token in [tokens(0..1), tokens(1..2)] {
        assert!(rest.contains(&token), "{rest}");
    }
    assert!(rest.contains("\"outcome\":\"answered\""), "{rest}");
    stop.await.unwrap().unwrap();
}

/// Guards against a shutdown that waits for idle connections.
#[actix_rt::test]
async fn a_shutdown_closes_idle_connections() {
    let server = start_entry(settings()).await;
    let target =
        Target::start(async |request, stream| write_stream(stream, &request, 1).await).await;
    target.announce(&server, "t1", "lm").await;
    let address = server.addresses().callers;
    let mut idle = TcpStream::connect(address).await.unwrap();
    idle.write_all(b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n")
        .await
        .unwrap();
    idle.read_u8().await.unwrap();
    let mut unused = TcpStream::connect(address).await.unwrap();
    server.stop().await.unwrap();
    let mut rest = Vec::new();
    idle.read_to_end(&mut rest).await.unwrap();
    assert!(rest.ends_with(b"ok\n"));
    assert_eq!(unused.read_to_end(&mut rest).await.unwrap(), 0);
}

/// Guards against a caller that does not read its response and so occupies engine memory and
/// buffers until its deadline.
#[actix_rt::test]
async fn a_caller_that_does_not_read_is_disconnected() {
    let mut settings = settings();
    settings.limits.body_timeout_ms = 100;
    let server = start_entry(settings).await;
    let target = Target::start(async |request, mut stream| {
        write_stream_head(&mut stream, request.attempt()).await;
        let filler = "x".repeat(10_000);
        for index in 0.. {
            let event = format!("id: {}:{index}\ndata: {filler}\n\n", request.attempt());
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).await.is_err() {
                break;
            }
        }
        None
    })
    .await;
    target.announce(&server, "t1", "lm").await;
    let caller = send(&server, true).await;
    wait_until(async || !target.requests("/v1/cancel").is_empty()).await;
    drop(caller);
    server.stop().await.unwrap();
}

/// Guards against requests that are sent on unresponsive idle connections one after the other,
/// although new connections to the target work.
#[actix_rt::test]
async fn unresponsive_idle_connections_are_not_used_after_a_probe() {
    const IDLE: usize = 3;
    let server = start_entry(settings()).await;
    let unresponsive = Rc::new(Cell::new(false));
    let stalled = Rc::clone(&unresponsive);
    let begun = Rc::new(Cell::new(0));
    let target = Target::start(move |request, stream| {
        let (stalled, begun) = (Rc::clone(&stalled), Rc::clone(&begun));
        async move {
            if stalled.get() && request.connection < IDLE {
                std::future::pending::<()>().await;
            }
            begun.set(begun.get() + 1);
            wait_until(async || begun.get() >= IDLE).await;
            write_stream(stream, &request, 1).await
        }
    })
    .await;
    target.announce(&server, "t1", "lm").await;
    let body = generation(true);
    // Concurrent requests open one connection each; the connections are idle afterwards.
    let calls = (0..IDLE).map(|_| call(&server, "/v1/completions", &body));
    futures_util::future::join_all(calls).await;
    unresponsive.set(true);
    call(&server, "/v1/completions", &body).await;
    let answer = call(&server, "/v1/completions", &body).await;
    assert_eq!(answer.final_outcome().as_deref(), Some("answered"));
    let on_idle = target
        .requests("/v1/completions")
        .iter()
        .skip(IDLE)
        .filter(|request| request.connection < IDLE)
        .count();
    assert_eq!(on_idle, 1, "requests sent on unresponsive idle connections");
    server.stop().await.unwrap();
}
