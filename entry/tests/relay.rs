//! Answers of targets on their way to callers.

mod support;

use serde_json::json;
use support::{
    Target, call, entry, generation, settings, stream_all, tokens, write_event, write_json,
    write_stream_head,
};

/// Guards against a stream that loses, repeats or reorders tokens, or lacks its outcome.
#[actix_rt::test]
async fn a_stream_arrives_whole_and_in_order() {
    let server = entry(settings()).await;
    let target = Target::start(async |seen, stream| stream_all(stream, &seen, 5).await).await;
    target.join(&server, "t1", "lm").await;
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

/// Guards against a whole answer that is changed on its way or lacks its outcome.
#[actix_rt::test]
async fn a_whole_answer_arrives_unchanged() {
    let server = entry(settings()).await;
    let target = Target::start(async |seen, mut stream| {
        write_json(&mut stream, &seen, 200, &json!({"text": "hello"})).await;
        Some(stream)
    })
    .await;
    target.join(&server, "t1", "lm").await;
    let answer = call(&server, "/v1/completions", &generation(false)).await;
    assert_eq!((answer.status, &*answer.body), (200, r#"{"text":"hello"}"#));
    assert_eq!(answer.outcome(), "answered");
    server.stop().await.unwrap();
}

/// Guards against a cut stream that looks complete to the caller.
#[actix_rt::test]
async fn a_cut_stream_is_reported() {
    let server = entry(settings()).await;
    let target = Target::start(async |seen, mut stream| {
        if seen.path == "/v1/resume" {
            write_json(&mut stream, &seen, 404, &json!({})).await;
            return Some(stream);
        }
        write_stream_head(&mut stream, seen.attempt()).await;
        write_event(&mut stream, seen.attempt(), 0).await;
        None
    })
    .await;
    target.join(&server, "t1", "lm").await;
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
