//! Target announcements and the initial configuration of an entry process.

mod support;

use awc::Client;
use primrosepin_entry::{Options, Server};
use primrosepin_transport::Role;
use primrosepin_transport::keys::Authority;
use serde_json::{Value, json};
use support::{ANNOUNCE_KEY, CALLER_KEY, Control, settings, start_entry, wait_until};

async fn announce(server: &Server, key: &str, body: &Value) -> u16 {
    let url = format!("http://{}/v1/targets/announce", server.addresses().targets);
    let request = Client::default().post(url).bearer_auth(key);
    request.send_json(body).await.unwrap().status().as_u16()
}

/// Guards against accepting announcements without the key of the service, or for a zone whose cold
/// budget is managed by other entry VMs.
#[actix_rt::test]
async fn announcements_are_checked() {
    let server = start_entry(settings()).await;
    let body = |zone: &str, service: &str| {
        json!({
            "name": "t1", "zone": zone, "service": service, "kind": "engine",
            "address": "127.0.0.1:9", "incarnation": 1, "seq": 1, "state": "warm",
            "cold_budget": {"requests": 1, "tokens": 1}, "max_running": 1,
        })
    };
    assert_eq!(announce(&server, ANNOUNCE_KEY, &body("z", "lm")).await, 200);
    assert_eq!(announce(&server, ANNOUNCE_KEY, &body("y", "lm")).await, 409);
    assert_eq!(
        announce(&server, ANNOUNCE_KEY, &body("z", "other")).await,
        401
    );
    assert_eq!(announce(&server, CALLER_KEY, &body("z", "lm")).await, 401);
    assert_eq!(
        announce(&server, ANNOUNCE_KEY, &json!({"name": "t1"})).await,
        400
    );
    server.stop().await.unwrap();
}

/// Guards against a process that reports ready before it has a configuration, or that never gets
/// one because the first control replica does not answer.
#[actix_rt::test]
async fn the_configuration_is_pulled_from_control() {
    let authority = Authority::new().unwrap();
    let control = Control::start(&authority);
    let mut settings = settings();
    let unreachable: std::net::SocketAddr = "127.0.0.1:9".parse().unwrap();
    settings.control = vec![unreachable, control.address()];
    let options = Options {
        seed: Some(7),
        identity: Some(authority.issue("e1", Role::Entry).unwrap()),
        ..Options::default()
    };
    let server = Server::start(settings, options).await.unwrap();
    let url = format!("http://{}/readyz", server.addresses().callers);
    let first = Client::default().get(&url).send().await.unwrap();
    assert_eq!(first.status(), 503);
    wait_until(async || Client::default().get(&url).send().await.unwrap().status() == 200).await;
    server.stop().await.unwrap();
}
