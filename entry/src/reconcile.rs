//! Reconciliation: releases resources that an engine holds for entry processes that no longer
//! exist.

use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::time::timeout;
use awc::Client;
use primrosepin_core::vm::Instance;
use serde::Deserialize;
use serde_json::json;

/// Time limit for one call to an engine.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest list that is read from an engine; enough for several thousand attempts.
const LIST_BYTES_MAX: usize = 1024 * 1024;

/// Attempts and reservations that an engine holds.
#[derive(Debug, Default, Deserialize)]
struct Held {
    #[serde(default)]
    attempts: Vec<Attempt>,
    #[serde(default)]
    reservations: Vec<Reservation>,
}

#[derive(Debug, Deserialize)]
struct Attempt {
    attempt: String,
    owner: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Reservation {
    reservation: String,
    owner: Option<String>,
}

/// Formats an entry process as the owner id that engines store with attempts and reservations.
pub(crate) fn owner(instance: &Instance) -> String {
    format!("{}/{}", instance.name, instance.incarnation.0)
}

/// Releases attempts and reservations of processes that are not in `live`. Those without an owner
/// expire with their leases.
pub(crate) async fn run(client: Client, address: SocketAddr, live: Vec<Instance>) {
    let Some(held) = list(&client, address).await else {
        return;
    };
    let live: Vec<String> = live.iter().map(owner).collect();
    let is_orphaned =
        |owner: &Option<String>| owner.as_ref().is_some_and(|owner| !live.contains(owner));
    for held in held.attempts.iter().filter(|held| is_orphaned(&held.owner)) {
        let url = format!("http://{address}/v1/cancel");
        let call = client
            .post(url)
            .send_json(&json!({ "attempt": held.attempt }));
        // If the call fails, the next reconciliation retries it.
        let _ = timeout(CALL_TIMEOUT, call).await;
        log::info!(
            "requested the release of attempt {} at engine {address}: its entry process no longer exists",
            held.attempt
        );
    }
    for held in held
        .reservations
        .iter()
        .filter(|held| is_orphaned(&held.owner))
    {
        let call = client.delete(format!(
            "http://{address}/v1/reservations/{}",
            held.reservation
        ));
        let _ = timeout(CALL_TIMEOUT, call.send()).await;
        log::info!(
            "requested the release of reservation {} at engine {address}: its entry process no longer exists",
            held.reservation
        );
    }
}

async fn list(client: &Client, address: SocketAddr) -> Option<Held> {
    let exchange = async {
        let mut response = client
            .get(format!("http://{address}/v1/requests"))
            .send()
            .await
            .ok()?;
        let body = response.body().limit(LIST_BYTES_MAX).await.ok()?;
        serde_json::from_slice(&body).ok()
    };
    timeout(CALL_TIMEOUT, exchange).await.ok()?
}
