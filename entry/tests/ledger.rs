//! At-most-once requests and their ledger calls.

mod support;

use primrosepin_core::ledger::Call;
use primrosepin_core::request::Outcome;
use primrosepin_entry::Server;
use primrosepin_transport::keys::Authority;
use serde_json::json;
use support::{
    Answer, Control, Target, call_with, settings, start_entry, start_entry_with, wait_until,
    write_json,
};

const KEY: [(&str, &str); 1] = [("idempotency-key", "k1")];

async fn send_order(server: &Server) -> Answer {
    call_with(server, "/orders/once", &json!({"kit": 7}), &KEY).await
}

/// Starts an entry process with a ledger.
async fn start_entry_with_ledger() -> (Server, Control) {
    let authority = Authority::new().unwrap();
    let control = Control::start(&authority);
    let mut settings = settings();
    settings.control = vec![control.address()];
    (start_entry_with(settings, &authority).await, control)
}

/// Guards against a resend that runs again or gets a different response than the first run.
#[actix_rt::test]
async fn a_resend_gets_the_recorded_answer() {
    let (server, control) = start_entry_with_ledger().await;
    let target = Target::start(async |request, mut stream| {
        write_json(&mut stream, &request, 201, &json!({"order": 1})).await;
        Some(stream)
    })
    .await;
    target.announce(&server, "p1", "orders").await;
    let first = send_order(&server).await;
    assert_eq!((first.status, first.outcome()), (201, "answered"));
    // The key counts as in flight until the outcome has been recorded.
    wait_until(async || {
        let again = send_order(&server).await;
        if again.status == 409 {
            assert_eq!(again.outcome(), "unknown");
            return false;
        }
        assert_eq!((again.status, again.outcome()), (201, "answered"));
        assert_eq!(again.body, first.body);
        true
    })
    .await;
    assert_eq!(target.requests("/orders/once").len(), 1);
    let first = control.calls.borrow()[0].clone();
    let Call::Begin { content_hash, .. } = first else {
        panic!("{first:?}");
    };
    assert_ne!(content_hash, 0);
    server.stop().await.unwrap();
}

/// Guards against running a request without a claim in the ledger: if control is unavailable, the
/// request must not reach a target.
#[actix_rt::test]
async fn without_a_ledger_nothing_runs() {
    let server = start_entry(settings()).await;
    let target = Target::start(async |request, mut stream| {
        write_json(&mut stream, &request, 201, &json!({})).await;
        Some(stream)
    })
    .await;
    target.announce(&server, "p1", "orders").await;
    let answer = send_order(&server).await;
    assert_eq!((answer.status, answer.outcome()), (503, "not_run"));
    assert_eq!(answer.error()["code"], "ledger_unavailable");
    assert!(target.requests("/orders/once").is_empty());
    server.stop().await.unwrap();
}

/// Guards against a second run after the connection closed without a response: neither the entry
/// process nor the HTTP library may retry the request.
#[actix_rt::test]
async fn a_request_with_a_lost_response_is_not_retried() {
    let (server, control) = start_entry_with_ledger().await;
    let target = Target::start(async |_, _| None).await;
    target.announce(&server, "p1", "orders").await;
    let other = Target::start(async |_, _| None).await;
    other.announce(&server, "p2", "orders").await;
    let answer = send_order(&server).await;
    assert_eq!(answer.outcome(), "unknown");
    let again = send_order(&server).await;
    assert_ne!(again.outcome(), "not_run");
    let runs = [&target, &other].map(|target| target.requests("/orders/once").len());
    assert_eq!(runs.iter().sum::<usize>(), 1);
    let recorded_not_run = control.calls.borrow().iter().any(|call| {
        matches!(
            call,
            Call::Finish {
                outcome: Outcome::NotRun,
                ..
            }
        )
    });
    assert!(!recorded_not_run);
    server.stop().await.unwrap();
}

/// Guards against reusing a connection to a plain service, where bytes left over from one response
/// would be read as the response to the next request.
#[actix_rt::test]
async fn each_call_to_a_plain_service_has_its_own_connection() {
    let server = start_entry(settings()).await;
    let target = Target::start(async |request, mut stream| {
        write_json(
            &mut stream,
            &request,
            200,
            &json!({"n": request.connection}),
        )
        .await;
        Some(stream)
    })
    .await;
    target.announce(&server, "p1", "orders").await;
    for _ in 0..3 {
        let answer = call_with(&server, "/orders/1", &json!({}), &[]).await;
        assert_eq!(answer.outcome(), "answered");
    }
    let mut connections: Vec<usize> = target
        .requests("/orders/1")
        .iter()
        .map(|request| request.connection)
        .collect();
    connections.dedup();
    assert_eq!(connections.len(), 3);
    server.stop().await.unwrap();
}
