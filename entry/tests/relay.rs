//! Relay of target responses to callers.

mod support;

use std::cell::Cell;
use std::rc::Rc;

use actix_rt::net::TcpListener;
use serde_json::json;
use support::{
    Target, call, call_with, generation, settings, start_entry, tokens, write_event, write_json,
    write_stream, write_stream_end, write_stream_head,
};
use tokio::io::AsyncWriteExt;

/// Guards against a relayed stream that loses, repeats or reorders tokens or has no outcome event.
#[actix_rt::test]
async fn a_stream_is_relayed_complete_and_in_order() {
    let server = start_entry(settings()).await;
    let target =
        Target::start(async |request, stream| write_stream(stream, &request, 5).await).await;
    target.announce(&server, "t1", "lm").await;
    let answer = call(&server, "/v1/chat/completions", &generation(true)).await;
    assert_eq!(answer.status, 200);
    let expected = format!(
        "{}data: [DONE]\n\nevent: primrosepin.outcome\n",
        tokens(0..5)
    );
    assert!(answer.body.starts_with(&expected), "{}", answer.body);
    assert_eq!(answer.final_outcome().as_deref(), Some("answered"));
    assert_eq!(target.requests("/v1/chat/completions").len(), 1);
    server.stop().await.unwrap();
}

/// Guards against a non-streamed response that is altered or has no outcome header.
#[actix_rt::test]
async fn a_non_streamed_response_is_relayed_unchanged() {
    let server = start_entry(settings()).await;
    let target = Target::start(async |request, mut stream| {
        write_json(&mut stream, &request, 200, &json!({"text": "hello"})).await;
        Some(stream)
    })
    .await;
    target.announce(&server, "t1", "lm").await;
    let answer = call(&server, "/v1/completions", &generation(false)).await;
    assert_eq!((answer.status, &*answer.body), (200, r#"{"text":"hello"}"#));
    assert_eq!(answer.outcome(), "answered");
    server.stop().await.unwrap();
}

/// Guards against a truncated stream that looks complete to the caller.
#[actix_rt::test]
async fn a_truncated_stream_is_reported() {
    let server = start_entry(settings()).await;
    let target = Target::start(async |request, mut stream| {
        if request.path == "/v1/resume" {
            write_json(&mut stream, &request, 404, &json!({})).await;
            return Some(stream);
        }
        write_stream_head(&mut stream, request.attempt()).await;
        write_event(&mut stream, request.attempt(), 0).await;
        None
    })
    .await;
    target.announce(&server, "t1", "lm").await;
    let answer = call(&server, "/v1/chat/completions", &generation(true)).await;
    assert!(
        answer.body.starts_with("data: {\"t\":0}\n\n"),
        "{}",
        answer.body
    );
    assert!(!answer.body.contains("[DONE]"));
    assert_eq!(answer.final_outcome().as_deref(), Some("failed"));
    server.stop().await.unwrap();
}

/// Guards against relaying tokens of another request: events with the id of another attempt end the
/// stream.
#[actix_rt::test]
async fn events_of_another_attempt_end_the_stream() {
    let server = start_entry(settings()).await;
    let target = Target::start(async |request, mut stream| {
        if request.path == "/v1/resume" {
            write_json(&mut stream, &request, 404, &json!({})).await;
            return Some(stream);
        }
        write_stream_head(&mut stream, request.attempt()).await;
        write_event(&mut stream, request.attempt(), 0).await;
        let other = format!("{}1", request.attempt());
        write_event(&mut stream, &other, 1).await;
        write_stream_end(&mut stream).await;
        Some(stream)
    })
    .await;
    target.announce(&server, "t1", "lm").await;
    let answer = call(&server, "/v1/chat/completions", &generation(true)).await;
    assert!(!answer.body.contains("\"t\":1"), "{}", answer.body);
    assert_eq!(answer.final_outcome().as_deref(), Some("failed"));
    server.stop().await.unwrap();
}

/// Guards against repeated and lost tokens: an event index that repeats or is skipped ends the
/// stream.
#[actix_rt::test]
async fn events_out_of_order_end_the_stream() {
    for wrong in [0, 2] {
        let server = start_entry(settings()).await;
        let target = Target::start(move |request, mut stream| async move {
            if request.path == "/v1/resume" {
                write_json(&mut stream, &request, 404, &json!({})).await;
                return Some(stream);
            }
            write_stream_head(&mut stream, request.attempt()).await;
            write_event(&mut stream, request.attempt(), 0).await;
            write_event(&mut stream, request.attempt(), wrong).await;
            write_stream_end(&mut stream).await;
            Some(stream)
        })
        .await;
        target.announce(&server, "t1", "lm").await;
        let answer = call(&server, "/v1/chat/completions", &generation(true)).await;
        assert!(answer.body.starts_with(&tokens(0..1)), "{}", answer.body);
        assert_eq!(answer.body.matches("\"t\":").count(), 1, "{}", answer.body);
        assert_eq!(answer.final_outcome().as_deref(), Some("failed"));
        server.stop().await.unwrap();
    }
}

/// Guards against a late response to an earlier request that is taken for the response to this one,
/// both from an engine and from a plain service that returns an attempt id.
#[actix_rt::test]
async fn a_response_with_another_attempt_id_is_not_relayed() {
    let calls = [
        ("t1", "lm", "/v1/completions", generation(false)),
        ("p1", "orders", "/orders/1", json!({})),
    ];
    for (name, service, path, body) in calls {
        let server = start_entry(settings()).await;
        let target = Target::start(async |mut request, mut stream| {
            let other = format!("{}1", request.attempt());
            request
                .headers
                .insert("x-primrosepin-attempt".into(), other);
            let text = json!({"text": "of another caller"});
            write_json(&mut stream, &request, 200, &text).await;
            Some(stream)
        })
        .await;
        target.announce(&server, name, service).await;
        let answer = call(&server, path, &body).await;
        assert_eq!(answer.outcome(), "unknown", "{path}");
        assert!(!answer.body.contains("another caller"), "{}", answer.body);
        server.stop().await.unwrap();
    }
}

/// Guards against a truncated response of a plain service that is taken as complete: `awc` ends a
/// chunked body without an error when the connection closes, and a body with neither a length nor
/// chunks has no end marker.
#[actix_rt::test]
async fn a_truncated_response_is_not_relayed() {
    let heads = [
        "transfer-encoding: chunked\r\n\r\n4\r\ncut!\r\n",
        "content-length: 9\r\n\r\ncut!",
        "connection: close\r\n\r\ncut!",
    ];
    for head in heads {
        let server = start_entry(settings()).await;
        let target = Target::start(move |_, mut stream| async move {
            let text = format!("HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n{head}");
            stream.write_all(text.as_bytes()).await.unwrap();
            None
        })
        .await;
        target.announce(&server, "p1", "orders").await;
        let answer = call(&server, "/orders/1", &json!({})).await;
        // The response head proves that the request ran.
        assert_eq!(answer.outcome(), "failed", "{head}");
        assert!(!answer.body.contains("cut!"), "{}", answer.body);
        server.stop().await.unwrap();
    }
}

/// Guards against bytes left over on a connection that are read as the response to the next
/// request.
#[actix_rt::test]
async fn a_connection_with_left_over_bytes_is_not_reused() {
    let server = start_entry(settings()).await;
    let target = Target::start(async |request, stream| {
        let mut stream = write_stream(stream, &request, 1).await?;
        write_json(&mut stream, &request, 200, &json!({"text": "left over"})).await;
        Some(stream)
    })
    .await;
    target.announce(&server, "t1", "lm").await;
    for _ in 0..3 {
        let answer = call(&server, "/v1/chat/completions", &generation(true)).await;
        assert!(answer.body.starts_with(&tokens(0..1)), "{}", answer.body);
        assert!(!answer.body.contains("left over"), "{}", answer.body);
        assert_eq!(answer.final_outcome().as_deref(), Some("answered"));
    }
    server.stop().await.unwrap();
}

/// Guards against a refusal with proof that the request did not run (`x-primrosepin-ran: 0`) that
/// is reported as a failure instead of being retried.
#[actix_rt::test]
async fn a_request_to_a_busy_engine_is_retried() {
    let server = start_entry(settings()).await;
    let busy = Cell::new(true);
    let target = Target::start(move |request, mut stream| {
        let busy = busy.replace(false);
        async move {
            if !busy {
                return write_stream(stream, &request, 2).await;
            }
            let text = "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\nx-primrosepin-ran: 0\r\n\r\n";
            stream.write_all(text.as_bytes()).await.unwrap();
            Some(stream)
        }
    })
    .await;
    target.announce(&server, "t1", "lm").await;
    let other =
        Target::start(async |request, stream| write_stream(stream, &request, 2).await).await;
    other.announce(&server, "t2", "lm").await;
    for _ in 0..4 {
        let answer = call(&server, "/v1/chat/completions", &generation(true)).await;
        assert_eq!(answer.final_outcome().as_deref(), Some("answered"));
    }
    server.stop().await.unwrap();
}

/// Guards against a refusal without proof that the request did not run that is reported as
/// `not_run`.
#[actix_rt::test]
async fn a_refusal_without_proof_is_unknown() {
    let server = start_entry(settings()).await;
    let target = Target::start(async |request, mut stream| {
        write_json(&mut stream, &request, 503, &json!({})).await;
        Some(stream)
    })
    .await;
    target.announce(&server, "t1", "lm").await;
    let answer = call(&server, "/v1/completions", &generation(false)).await;
    assert_eq!(answer.outcome(), "unknown");
    server.stop().await.unwrap();
}

/// Guards against a refused connection that is reported as a request that may have run.
#[actix_rt::test]
async fn a_request_to_a_closed_port_is_not_run() {
    let server = start_entry(settings()).await;
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let target = Target {
        address: closed.local_addr().unwrap(),
        received: Rc::default(),
    };
    drop(closed);
    target.announce(&server, "t1", "lm").await;
    let headers = [("x-primrosepin-deadline-ms", "500")];
    let answer = call_with(&server, "/v1/completions", &generation(false), &headers).await;
    assert_eq!(answer.outcome(), "not_run");
    server.stop().await.unwrap();
}

/// Guards against a resumed stream that repeats or loses tokens.
#[actix_rt::test]
async fn a_broken_stream_is_resumed_without_a_gap() {
    let server = start_entry(settings()).await;
    let target = Target::start(async |request, mut stream| {
        if request.path != "/v1/resume" {
            write_stream_head(&mut stream, request.attempt()).await;
            for index in 0..3 {
                write_event(&mut stream, request.attempt(), index).await;
            }
            return None;
        }
        let body = request.json();
        let attempt = body["attempt"].as_str().unwrap().to_owned();
        write_stream_head(&mut stream, &attempt).await;
        for index in body["from"].as_u64().unwrap()..6 {
            write_event(&mut stream, &attempt, index as u32).await;
        }
        write_stream_end(&mut stream).await;
        Some(stream)
    })
    .await;
    target.announce(&server, "t1", "lm").await;
    let answer = call(&server, "/v1/chat/completions", &generation(true)).await;
    let expected = format!("{}data: [DONE]\n\n", tokens(0..6));
    assert!(answer.body.starts_with(&expected), "{}", answer.body);
    assert_eq!(answer.final_outcome().as_deref(), Some("answered"));
    assert_eq!(target.requests("/v1/chat/completions").len(), 1);
    server.stop().await.unwrap();
}

/// Guards against the HTTP library retrying a request on its own: every request that a target
/// receives must have its own attempt id.
#[actix_rt::test]
async fn no_request_is_sent_twice_under_one_attempt() {
    let server = start_entry(settings()).await;
    let count = Cell::new(0);
    let target = Target::start(move |request, stream| {
        count.set(count.get() + 1);
        let close = count.get() % 3 == 0;
        async move {
            if close {
                return None;
            }
            write_stream(stream, &request, 1).await
        }
    })
    .await;
    target.announce(&server, "t1", "lm").await;
    for _ in 0..9 {
        call(&server, "/v1/completions", &generation(true)).await;
    }
    let requests = target.requests("/v1/completions");
    let mut attempts: Vec<&str> = requests
        .iter()
        .map(support::ReceivedRequest::attempt)
        .collect();
    attempts.sort_unstable();
    attempts.dedup();
    assert_eq!(attempts.len(), requests.len());
    server.stop().await.unwrap();
}
