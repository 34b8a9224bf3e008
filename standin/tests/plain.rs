//! Tests of the stand-in plain service over loopback sockets.

use awc::Client;
use primrosepin_standin::plain::{Plain, Settings};
use primrosepin_standin::record::End;
use primrosepin_standin::{Fault, answer};
use serde_json::Value;

async fn call(plain: &Plain, key: &str) -> Option<Value> {
    let mut response = Client::default()
        .post(format!("http://{}/orders/7", plain.address()))
        .insert_header(("idempotency-key", key))
        .insert_header(("x-bench-user", key))
        .send_body("{}")
        .await
        .ok()?;
    response.json().await.ok()
}

/// Guards against runs that are not counted, in particular when their answer is lost.
#[actix_rt::test]
async fn each_run_is_counted() {
    let plain = Plain::start(Settings::default())
        .await
        .expect("the service starts");
    let response = call(&plain, "k1").await.expect("a complete response");
    let expected = format!("{:016x}", answer::key(Some("k1"), b"{}"));
    assert_eq!(response["answer"], expected);
    plain.inject_fault(&Fault::Cut {
        after_events: 0,
        count: 1,
    });
    assert!(
        call(&plain, "k2").await.is_none(),
        "the answer must be truncated"
    );
    assert!(call(&plain, "k2").await.is_some());
    plain.inject_fault(&Fault::Refuse {
        proof: false,
        run: true,
        count: 1,
    });
    call(&plain, "k3").await;
    plain.inject_fault(&Fault::Refuse {
        proof: true,
        run: false,
        count: 1,
    });
    call(&plain, "k4").await;
    let runs: Vec<_> = plain.runs().into_iter().collect();
    assert_eq!(runs, [("k1".into(), 1), ("k2".into(), 2), ("k3".into(), 1)]);
    assert_eq!(plain.records().len(), 4);
    plain.stop().await;
}

/// Guards against a cold service that accepts any load, so that callers' overruns go unnoticed.
#[actix_rt::test]
async fn cold_service_crashes_when_its_budget_is_exceeded() {
    let plain = Plain::start(Settings {
        start_cold: true,
        service_ms: 200,
        down_ms: 10,
        ..Settings::default()
    })
    .await
    .expect("the service starts");
    let keys = ["k0", "k1", "k2", "k3", "k4"];
    let calls = keys.map(|key| {
        let plain = plain.clone();
        actix_rt::spawn(async move { call(&plain, key).await })
    });
    for call in calls {
        assert!(call.await.expect("the task ends").is_none());
    }
    assert_eq!(plain.status().cold_overruns, 1);
    assert!(
        plain
            .records()
            .iter()
            .all(|record| record.end != End::Completed)
    );
    plain.stop().await;
}
