//! Requests that are handed over to another zone.

mod support;

use awc::Client;
use primrosepin_core::message::Message;
use primrosepin_core::zone::{Capacity, Summary};
use primrosepin_entry::Server;
use primrosepin_transport::keys::Authority;
use serde_json::json;
use support::{
    Answer, Control, OPERATOR_KEY, Target, call, generation, settings, start_entry_with, tokens,
    wait_until,
};
use tokio::io::AsyncWriteExt;

/// Returns a streamed response whose body is a single chunk.
fn chunked(events: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n\
         {:x}\r\n{events}\r\n0\r\n\r\n",
        events.len()
    )
}

/// Starts an entry process whose zone is out, and another zone whose entry VM responds with `text`.
/// Returns the response to a request that was handed over.
async fn hand_over(text: String) -> (Server, Target, Answer) {
    let authority = Authority::new().unwrap();
    let server = start_entry_with(settings(), &authority).await;
    let other = Target::start(move |_, mut stream| {
        let text = text.clone();
        async move {
            stream.write_all(text.as_bytes()).await.unwrap();
            None
        }
    })
    .await;
    let url = format!("http://{}/v1/local/zones/z", server.addresses().admin);
    let order = Client::default().post(url).bearer_auth(OPERATOR_KEY);
    order.send_json(&json!({"out": true})).await.unwrap();
    // Summaries are accepted from any process of the deployment.
    let peer = Control::start(&authority);
    let sequence = std::cell::Cell::new(0);
    let answer = std::cell::RefCell::new(None);
    wait_until(async || {
        sequence.set(sequence.get() + 1);
        let summary = Summary {
            zone: "y".into(),
            sequence: sequence.get(),
            epoch: 1,
            services: vec![Capacity {
                service: "lm".into(),
                warm_targets: 4,
                prefill_tokens_per_s: 1e6,
                backlog_tokens: 0,
                largest_kv_tokens: 1_000_000,
                spanning_kv_tokens: 0,
            }],
            entries: vec![other.address],
        };
        peer.endpoint
            .send(server.addresses().peers, Message::Summary(summary));
        *answer.borrow_mut() = Some(call(&server, "/v1/completions", &generation(true)).await);
        !other.requests("/v1/completions").is_empty()
    })
    .await;
    let answer = answer.take().unwrap();
    (server, other, answer)
}

/// Guards against a relayed response from another zone that is incomplete or has two outcome
/// events, and against a missing hop header, without which requests could be handed over in a loop.
#[actix_rt::test]
async fn a_response_of_another_zone_is_relayed() {
    let (server, other, answer) = hand_over(chunked(
        "data: {\"t\":0}\n\ndata: {\"t\":1}\n\ndata: [DONE]\n\n\
         event: primrosepin.outcome\ndata: {\"outcome\":\"answered\",\"request\":\"r\"}\n\n",
    ))
    .await;
    let expected = format!(
        "{}data: [DONE]\n\nevent: primrosepin.outcome\n",
        tokens(0..2)
    );
    assert!(answer.body.starts_with(&expected), "{}", answer.body);
    assert_eq!(answer.body.matches("primrosepin.outcome").count(), 1);
    assert_eq!(answer.final_outcome().as_deref(), Some("answered"));
    let request = &other.requests("/v1/completions")[0];
    assert_eq!(request.headers["x-primrosepin-hop"], "1");
    assert_eq!(request.json(), generation(true));
    server.stop().await.unwrap();
}

/// Guards against a truncated stream from another zone that is reported as complete.
#[actix_rt::test]
async fn a_truncated_stream_of_another_zone_is_reported() {
    let text = chunked("data: {\"t\":0}\n\ndata: [DONE]\n\n");
    let (server, _, answer) = hand_over(text).await;
    assert!(!answer.body.contains("[DONE]"), "{}", answer.body);
    assert_eq!(answer.final_outcome().as_deref(), Some("failed"));
    server.stop().await.unwrap();
}

/// Guards against a refusal by another zone that is reported as a request that may have run.
#[actix_rt::test]
async fn a_refusal_of_another_zone_stays_not_run() {
    let text = "HTTP/1.1 503 Busy\r\ncontent-length: 2\r\nx-primrosepin-outcome: not_run\r\n\r\n{}";
    let (server, _, answer) = hand_over(text.to_owned()).await;
    assert_eq!(answer.outcome(), "not_run");
    server.stop().await.unwrap();
}
