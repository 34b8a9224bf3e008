//! Reconciliation: what an engine holds for entry processes that are gone is released.

use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::time::timeout;
use awc::Client;
use primrosepin_core::vm::Instance;
use serde::Deserialize;
use serde_json::json;

/// Time for one call to an engine.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest list that is read, bytes: several thousand attempts.
const LIST_BYTES_MAX: usize = 1024 * 1024;

/// What an engine holds.
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

/// Returns the form in which engines keep the owner of what they hold.
pub(crate) fn owner(instance: &Instance) -> String {
    format!("{}/{}", instance.name, instance.incarnation.0)
}

/// Releases what belongs to processes that are not in `live`. What has no owner is left to its lease.
pub(crate) async fn run(client: Client, address: SocketAddr, live: Vec<Instance>) {
    let Some(held) = list(&client, address).await else {
        return;
    };
    let live: Vec<String> = live.iter().map(owner).collect();
    let is_gone =
        |owner: &Option<String>| owner.as_ref().is_some_and(|owner| !live.contains(owner));
    for held in held.attempts.iter().filter(|held| is_gone(&held.owner)) {
        let url = format!("http://{address}/v1/cancel");
        let call = client
            .post(url)
            .send_json(&json!({ "attempt": held.attempt }));
        // A call that fails is repeated by the next reconciliation.
        let _ = timeout(CALL_TIMEOUT, call).await;
        log::info!(
            "released attempt {} on {address}: its entry process is gone",
            held.attempt
        );
    }
    for held in held.reservations.iter().filter(|held| is_gone(&held.owner)) {
        let call = client.delete(format!(
            "http://{address}/v1/reservations/{}",
            held.reservation
        ));
        let _ = timeout(CALL_TIMEOUT, call.send()).await;
        log::info!(
            "released reservation {} on {address}: its entry process is gone",
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
