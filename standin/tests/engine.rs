//! Tests of the stand-in engine over loopback sockets.

use std::time::Duration;

use awc::Client;
use awc::error::HeaderValue;
use primrosepin_standin::engine::settings::Budget;
use primrosepin_standin::engine::{Engine, Settings};
use primrosepin_standin::record::End;
use primrosepin_standin::{Fault, answer};
use serde_json::{Value, json};

/// Settings with fast service rates, to keep the tests short.
fn settings() -> Settings {
    Settings {
        speed: 50.0,
        ..Settings::default()
    }
}

/// Polls a condition for 10 s.
async fn wait_until<F>(what: &str, condition: F)
where
    F: Fn() -> bool,
{
    for _ in 0..1_000 {
        if condition() {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("timed out after 10 s waiting for: {what}");
}

struct Call<'a> {
    attempt: &'a str,
    tokens: u64,
    max_tokens: u64,
    lease_ms: u64,
    stream: bool,
}

impl Call<'_> {
    fn request(&self, engine: &Engine) -> (awc::ClientRequest, Value) {
        let request = Client::builder()
            .disable_timeout()
            .finish()
            .post(format!("http://{}/v1/chat/completions", engine.address()))
            .insert_header(("x-primrosepin-attempt", self.attempt))
            .insert_header(("x-primrosepin-request", "r1"))
            .insert_header(("x-primrosepin-lease-ms", self.lease_ms.to_string()));
        let body = json!({
            "model": "lm", "messages": [{ "role": "user", "content": "x" }],
            "prompt_tokens": self.tokens, "max_tokens": self.max_tokens,
            "stream": self.stream, "user": format!("caller-{}", self.attempt),
        });
        (request, body)
    }

    /// Sends the call; returns the status and the body.
    async fn send(&self, engine: &Engine) -> (u16, String) {
        let (request, body) = self.request(engine);
        let mut response = request.send_json(&body).await.expect("a response");
        let status = response.status().as_u16();
        let body = response.body().await.map(|body| body.to_vec());
        let text = String::from_utf8(body.unwrap_or_default()).expect("the body is UTF-8");
        (status, text)
    }
}

const CALL: Call<'static> = Call {
    attempt: "a1",
    tokens: 1_000,
    max_tokens: 6,
    lease_ms: 2_000,
    stream: true,
};

async fn post(engine: &Engine, path: &str, body: Value) -> (u16, Value) {
    let mut response = Client::default()
        .post(format!("http://{}{path}", engine.address()))
        .send_json(&body)
        .await
        .expect("a response");
    let value = response.json().await.unwrap_or_default();
    (response.status().as_u16(), value)
}

/// Guards against answers that cannot be attributed to their request, and against gaps in the numbers of
/// their events.
#[actix_rt::test]
async fn stream_is_complete_and_numbered() {
    let engine = Engine::start(settings()).await.expect("the engine starts");
    let (status, text) = CALL.send(&engine).await;
    assert_eq!(status, 200);
    let key = answer::key(Some("caller-a1"), &[]);
    for index in 0..6 {
        assert!(text.contains(&format!("id: a1:{index}\n")), "{text}");
        assert!(text.contains(&answer::token(key, index)), "{text}");
    }
    assert!(text.contains(r#""completion_tokens":6"#), "{text}");
    assert!(text.ends_with("id: a1:7\ndata: [DONE]\n\n"), "{text}");
    let records = engine.records();
    assert_eq!(records.len(), 1);
    assert_eq!(
        (records[0].end, records[0].delivered),
        (End::Completed, true)
    );
    assert_eq!(records[0].request.as_deref(), Some("r1"));
    assert_eq!(engine.status().kv_tokens_held, 0);
    engine.stop().await;
}

/// Guards against a cold engine that accepts any load, so that callers' overruns go unnoticed.
#[actix_rt::test]
async fn cold_engine_crashes_when_its_budget_is_exceeded() {
    let engine = Engine::start(Settings {
        start_cold: true,
        speed: 1.0,
        cold_budget: Budget {
            requests: 2,
            tokens: 100_000,
        },
        down_ms: 50,
        ..settings()
    })
    .await
    .expect("the engine starts");
    let first_incarnation = engine.status().incarnation;
    let calls = ["a1", "a2", "a3"].map(|attempt| {
        let (request, body) = Call {
            attempt,
            tokens: 20_000,
            ..CALL
        }
        .request(&engine);
        actix_rt::spawn(async move {
            let Ok(mut response) = request.send_json(&body).await else {
                return false;
            };
            // awc reports a truncated body as complete, so only the final `[DONE]` event shows that the
            // answer is complete.
            let body = response.body().await.unwrap_or_default();
            body.ends_with(b"data: [DONE]\n\n")
        })
    });
    for call in calls {
        assert!(
            !call.await.expect("the task ends"),
            "the crash must drop all running work"
        );
    }
    wait_until("a new incarnation", || {
        let status = engine.status();
        status.up && status.incarnation > first_incarnation
    })
    .await;
    let status = engine.status();
    assert_eq!(status.cold_overruns, 1);
    assert!(status.cold);
    assert!(
        engine
            .records()
            .iter()
            .all(|record| record.end == End::Died)
    );
    engine.stop().await;
}

/// Guards against a cold engine that never becomes warm although its load stays within the budget.
#[actix_rt::test]
async fn cold_engine_becomes_warm_within_its_budget() {
    let engine = Engine::start(Settings {
        start_cold: true,
        max_running: 8,
        ..settings()
    })
    .await
    .expect("the engine starts");
    for number in 0..4 {
        assert!(engine.status().cold);
        let attempt = format!("a{number}");
        let call = Call {
            attempt: &attempt,
            ..CALL
        };
        assert_eq!(call.send(&engine).await.0, 200);
    }
    assert!(!engine.status().cold);
    assert_eq!(engine.status().cold_overruns, 0);
    engine.stop().await;
}

/// Guards against an engine that frees memory by itself and so hides that a caller did not release it:
/// without a lease, an attempt whose reader has disconnected keeps its memory until it is cancelled.
#[actix_rt::test]
async fn memory_without_lease_is_held_until_cancelled() {
    let engine = Engine::start(settings()).await.expect("the engine starts");
    let call = Call {
        lease_ms: 0,
        max_tokens: 5_000,
        ..CALL
    };
    let (request, body) = call.request(&engine);
    let response = request.send_json(&body).await.expect("a response");
    drop(response);
    wait_until("the reader to disconnect", || {
        engine.status().kv_tokens_orphaned == 6_000
    })
    .await;
    wait_until("the run to end", || {
        engine.records()[0].end == End::Completed
    })
    .await;
    assert_eq!(engine.status().kv_tokens_orphaned, 6_000);
    for released in [true, false] {
        let answer = post(&engine, "/v1/cancel", json!({ "attempt": "a1" })).await;
        assert_eq!(answer, (200, json!({ "released": released })));
    }
    assert_eq!(engine.status().kv_tokens_held, 0);
    engine.stop().await;
}

/// Guards against attempts and reservations that outlive their lease.
#[actix_rt::test]
async fn unread_attempts_and_reservations_expire() {
    let engine = Engine::start(settings()).await.expect("the engine starts");
    let call = Call {
        lease_ms: 300,
        max_tokens: 100_000,
        ..CALL
    };
    let (request, body) = call.request(&engine);
    drop(request.send_json(&body).await.expect("a response"));
    post(
        &engine,
        "/v1/reservations",
        json!({ "reservation": "p1", "tokens": 7, "lease_ms": 300 }),
    )
    .await;
    wait_until("all leases to expire", || {
        engine.status().kv_tokens_held == 0
    })
    .await;
    assert_eq!(engine.records()[0].end, End::LeaseExpired);
    engine.stop().await;
}

/// Guards against a resumed stream that loses or repeats events.
#[actix_rt::test]
async fn closed_stream_resumes_at_the_requested_event() {
    let engine = Engine::start(settings()).await.expect("the engine starts");
    engine.inject_fault(&Fault::Cut {
        after_events: 2,
        count: 1,
    });
    CALL.send(&engine).await;
    let mut response = Client::default()
        .post(format!("http://{}/v1/resume", engine.address()))
        .send_json(&json!({ "attempt": "a1", "from": 2 }))
        .await
        .expect("a response");
    let body = response.body().await.expect("a complete stream");
    let text = String::from_utf8(body.to_vec()).expect("the body is UTF-8");
    let ids: Vec<_> = text
        .lines()
        .filter_map(|line| line.strip_prefix("id: "))
        .collect();
    assert_eq!(ids, ["a1:2", "a1:3", "a1:4", "a1:5", "a1:6", "a1:7"]);
    assert_eq!(engine.records().len(), 1);
    engine.stop().await;
}

/// Guards against a refusal that states that the request was not run although it was, and against one
/// without this statement that does not run it when the fault asks for that.
#[actix_rt::test]
async fn refusals_match_the_records() {
    let engine = Engine::start(settings()).await.expect("the engine starts");
    engine.inject_fault(&Fault::Refuse {
        proof: true,
        run: false,
        count: 1,
    });
    let (request, body) = CALL.request(&engine);
    let response = request.send_json(&body).await.expect("a response");
    assert_eq!(response.status().as_u16(), 503);
    assert_eq!(
        response
            .headers()
            .get("x-primrosepin-ran")
            .map(HeaderValue::as_bytes),
        Some(&b"0"[..])
    );
    assert!(engine.records().is_empty());
    engine.inject_fault(&Fault::Refuse {
        proof: false,
        run: true,
        count: 1,
    });
    let (request, body) = CALL.request(&engine);
    let response = request.send_json(&body).await.expect("a response");
    assert_eq!(response.status().as_u16(), 503);
    assert!(!response.headers().contains_key("x-primrosepin-ran"));
    assert_eq!(engine.records().len(), 1);
    engine.stop().await;
}

/// Guards against a spanning prompt that runs without all its reservations, and against reservations that
/// remain after the answer.
#[actix_rt::test]
async fn spanning_prompt_needs_all_its_reservations() {
    let spanning = || Settings {
        spans: true,
        ..settings()
    };
    let primary = Engine::start(spanning()).await.expect("the engine starts");
    let helper = Engine::start(spanning()).await.expect("the engine starts");
    let parts = format!("{}=p0,{}=p1", primary.address(), helper.address());
    let call = Call {
        tokens: 600_000,
        ..CALL
    };
    let send = || {
        let (request, body) = call.request(&primary);
        request
            .insert_header(("x-primrosepin-parts", parts.clone()))
            .send_json(&body)
    };
    for (engine, id) in [(&primary, "p0"), (&helper, "p1")] {
        let refused = send().await.expect("a response");
        assert_eq!(
            refused.status().as_u16(),
            503,
            "accepted without all reservations"
        );
        let reservation = json!({ "reservation": id, "tokens": 300_003, "lease_ms": 5_000 });
        let (status, _) = post(engine, "/v1/reservations", reservation).await;
        assert_eq!(status, 200);
    }
    let mut response = send().await.expect("a response");
    assert_eq!(response.status().as_u16(), 200);
    let body = response.body().await.expect("a complete answer");
    assert!(body.ends_with(b"data: [DONE]\n\n"));
    wait_until("all reservations to be released", || {
        primary.status().kv_tokens_held + helper.status().kv_tokens_held == 0
    })
    .await;
    primary.stop().await;
    helper.stop().await;
}

/// Guards against a fencing check that accepts an order with an old fencing number, and against one that
/// refuses it although the engine announces that it does not check.
#[actix_rt::test]
async fn orders_with_old_fencing_numbers_are_refused_or_counted() {
    for checks_fencing in [true, false] {
        let engine = Engine::start(Settings {
            checks_fencing,
            ..settings()
        })
        .await
        .expect("the engine starts");
        let order = |id: &str, fencing: u64| {
            json!({ "order": id, "fencing": fencing, "issuer": "c1",
                "action": { "load_model": { "name": "new", "version": "2" } } })
        };
        assert_eq!(post(&engine, "/v1/orders", order("o1", 5)).await.0, 200);
        let expected = if checks_fencing { 409 } else { 200 };
        assert_eq!(
            post(&engine, "/v1/orders", order("o2", 4)).await.0,
            expected
        );
        let stale = engine.status().stale_orders_applied;
        assert_eq!(stale, u64::from(!checks_fencing));
        engine.stop().await;
    }
}

/// Guards against a long prompt that delays the prefill of a short one with higher priority.
#[actix_rt::test]
async fn prefill_serves_highest_priority_first() {
    let engine = Engine::start(Settings {
        speed: 1.0,
        ..settings()
    })
    .await
    .expect("the engine starts");
    let send = |attempt: &'static str, tokens, priority: &'static str| {
        let call = Call {
            attempt,
            tokens,
            ..CALL
        };
        let (request, body) = call.request(&engine);
        let request = request.insert_header(("x-primrosepin-priority", priority));
        actix_rt::spawn(async move { request.send_json(&body).await.is_ok() })
    };
    let long = send("long", 100_000, "4");
    wait_until("the long prompt to run", || engine.status().running == 1).await;
    let short = send("short", 1_000, "0");
    wait_until("the first token of the short prompt", || {
        engine
            .records()
            .iter()
            .any(|record| record.attempt == "short" && record.first_token_us > 0)
    })
    .await;
    let records = engine.records();
    assert_eq!(
        records[0].first_token_us, 0,
        "the long prompt must still be in prefill"
    );
    engine.stop().await;
    drop((long, short));
}

/// Guards against the fault `silence` affecting connections that are opened after it.
#[actix_rt::test]
async fn silence_affects_only_open_connections() {
    let engine = Engine::start(Settings {
        speed: 1.0,
        ..settings()
    })
    .await
    .expect("the engine starts");
    let call = Call {
        max_tokens: 20,
        ..CALL
    };
    let (request, body) = call.request(&engine);
    let mut response = request.send_json(&body).await.expect("a response");
    engine.inject_fault(&Fault::Silence);
    let read = actix_rt::time::timeout(Duration::from_secs(1), response.body()).await;
    assert!(read.is_err(), "the open connection must hang");
    let call = Call {
        attempt: "a2",
        ..CALL
    };
    assert_eq!(call.send(&engine).await.0, 200);
    engine.stop().await;
}

/// Guards against an engine that is faster than its own prediction: the slowdown of a measured run is
/// relative to the prediction.
#[actix_rt::test]
async fn idle_engine_takes_at_least_the_predicted_time() {
    let settings = Settings {
        speed: 1.0,
        ..settings()
    };
    let predicted_ms = settings.ttft_alone_ms(10_000);
    let engine = Engine::start(settings).await.expect("the engine starts");
    let call = Call {
        tokens: 10_000,
        ..CALL
    };
    call.send(&engine).await;
    let record = &engine.records()[0];
    let took_ms = (record.first_token_us - record.started_us) as f64 / 1e3;
    assert!(
        took_ms >= predicted_ms * 0.99,
        "first token after {took_ms} ms, predicted {predicted_ms} ms"
    );
    engine.stop().await;
}
