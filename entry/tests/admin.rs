//! HTTP API for operators.

mod support;

use awc::Client;
use primrosepin_entry::Server;
use serde_json::{Value, json};
use support::{
    OPERATOR_KEY, Target, call, generation, settings, start_entry, wait_until, write_stream,
};

async fn get(server: &Server, path: &str, key: &str) -> (u16, String) {
    let url = format!("http://{}{path}", server.addresses().admin);
    let mut response = Client::default()
        .get(url)
        .bearer_auth(key)
        .send()
        .await
        .unwrap();
    let body = response.body().limit(1 << 20).await.unwrap();
    let text = String::from_utf8(body.to_vec()).unwrap();
    (response.status().as_u16(), text)
}

/// Guards against requests, rejections or targets that are missing from the metrics and the status.
#[actix_rt::test]
async fn metrics_and_status_show_requests() {
    let server = start_entry(settings()).await;
    let target =
        Target::start(async |request, stream| write_stream(stream, &request, 3).await).await;
    target.announce(&server, "t1", "lm").await;
    call(&server, "/v1/completions", &generation(true)).await;
    call(&server, "/v1/other", &json!({})).await;
    wait_until(async || {
        let (status, text) = get(&server, "/metrics", "").await;
        assert_eq!(status, 200);
        [
            "primrosepin_requests_total{outcome=\"answered\"} 1",
            "primrosepin_rejections_total{code=\"unknown_path\"} 1",
            "primrosepin_first_token_seconds_count{class=\"short\"} 1",
            "primrosepin_organisation_request_seconds_count{organisation=\"acme\"} 1",
        ]
        .iter()
        .all(|line| text.contains(line))
    })
    .await;
    let (status, text) = get(&server, "/status", OPERATOR_KEY).await;
    assert_eq!(status, 200);
    let value: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(value["version"], 1);
    assert_eq!(value["targets"][0]["name"], "t1");
    assert_eq!(value["outcomes"]["answered"], 1);
    assert_eq!(value["rejections"]["unknown_path"], 1);
    server.stop().await.unwrap();
}

/// Guards against operators' requests that are accepted without an operator key.
#[actix_rt::test]
async fn operator_requests_need_a_key() {
    let server = start_entry(settings()).await;
    assert_eq!(get(&server, "/status", "other").await.0, 401);
    let url = format!("http://{}/v1/local/zones/z", server.addresses().admin);
    let order = Client::default()
        .post(&url)
        .send_json(&json!({"out": true}));
    assert_eq!(order.await.unwrap().status(), 401);
    server.stop().await.unwrap();
}

/// Guards against a local zone order that is acknowledged but not applied.
#[actix_rt::test]
async fn a_local_order_takes_the_zone_out() {
    let server = start_entry(settings()).await;
    let target =
        Target::start(async |request, stream| write_stream(stream, &request, 3).await).await;
    target.announce(&server, "t1", "lm").await;
    for (out, outcome) in [(true, None), (false, Some("answered"))] {
        let url = format!("http://{}/v1/local/zones/z", server.addresses().admin);
        let order = Client::default().post(&url).bearer_auth(OPERATOR_KEY);
        let response = order.send_json(&json!({"out": out})).await.unwrap();
        assert_eq!(response.status(), 202);
        wait_until(async || {
            let answer = call(&server, "/v1/completions", &generation(true)).await;
            answer.final_outcome().as_deref() == outcome
        })
        .await;
    }
    let unknown = format!("http://{}/v1/local/zones/other", server.addresses().admin);
    let order = Client::default().post(&unknown).bearer_auth(OPERATOR_KEY);
    let response = order.send_json(&json!({"out": true})).await.unwrap();
    assert_eq!(response.status(), 404);
    server.stop().await.unwrap();
}
