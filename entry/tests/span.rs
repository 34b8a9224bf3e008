//! Requests that span the KV memory of several engines.

mod support;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use serde_json::{Value, json};
use support::{Target, call_with, settings, start_entry, write_json, write_stream};

/// Method and engine of each reservation call, in the order of receipt.
type Log = Rc<RefCell<Vec<(String, SocketAddr)>>>;

/// Starts an engine. If `refuse` is set, all reservations after the first logged call are refused.
async fn engine(log: &Log, refuse: bool) -> Target {
    let log = Rc::clone(log);
    Target::start(move |request, mut stream| {
        let log = Rc::clone(&log);
        async move {
            if request.path == "/v1/completions" {
                return write_stream(stream, &request, 1).await;
            }
            let address = stream.local_addr().unwrap();
            let refused = refuse && request.method == "POST" && !log.borrow().is_empty();
            log.borrow_mut().push((request.method.clone(), address));
            let status = if refused { 503 } else { 200 };
            write_json(&mut stream, &request, status, &json!({})).await;
            Some(stream)
        }
    })
    .await
}

fn prompt() -> Value {
    json!({"model": "m", "stream": true, "max_tokens": 8, "prompt_tokens": 15_000, "prompt": "x"})
}

async fn run(refuse: bool) -> (Vec<(String, SocketAddr)>, Vec<Target>, support::Answer) {
    let server = start_entry(settings()).await;
    let log = Log::default();
    let fields = json!({"kv_tokens": 10_000, "spans": true});
    let mut targets = Vec::new();
    for name in ["t1", "t2"] {
        let target = engine(&log, refuse).await;
        target
            .announce_with(&server, name, "lm", fields.clone())
            .await;
        targets.push(target);
    }
    let headers = [("x-primrosepin-deadline-ms", "4000")];
    let answer = call_with(&server, "/v1/completions", &prompt(), &headers).await;
    server.stop().await.unwrap();
    let log = log.borrow().clone();
    (log, targets, answer)
}

/// Guards against a spanning request that starts before all of its memory is reserved, and against
/// deadlocks between two requests, which reserving in ascending order prevents.
#[actix_rt::test]
async fn parts_are_reserved_in_order_before_the_run() {
    let (log, targets, answer) = run(false).await;
    assert_eq!(
        answer.final_outcome().as_deref(),
        Some("answered"),
        "{}",
        answer.body
    );
    let reserved: Vec<SocketAddr> = log
        .iter()
        .filter(|(method, _)| method == "POST")
        .map(|(_, address)| *address)
        .collect();
    let mut expected: Vec<SocketAddr> = targets.iter().map(|target| target.address).collect();
    expected.sort_unstable();
    assert_eq!(reserved, expected);
    let runs: Vec<_> = targets
        .iter()
        .flat_map(|target| target.requests("/v1/completions"))
        .collect();
    assert_eq!(runs.len(), 1);
    let parts = &runs[0].headers["x-primrosepin-parts"];
    for address in expected {
        assert!(
            parts.contains(&format!("{address}={}", runs[0].attempt())),
            "{parts}"
        );
    }
}

/// Guards against a part that stays reserved after the reservation of another part was refused.
#[actix_rt::test]
async fn a_refused_part_releases_the_others() {
    let (log, targets, answer) = run(true).await;
    assert_eq!(answer.outcome(), "not_run");
    let count = |wanted: &str| log.iter().filter(|(method, _)| method == wanted).count();
    assert!(count("POST") >= 2);
    for target in &targets {
        let last = log.iter().rfind(|(_, address)| *address == target.address);
        assert!(last.is_none_or(|(method, _)| method == "DELETE"), "{log:?}");
        assert!(target.requests("/v1/completions").is_empty());
    }
}
