//! Announcements to the entry VMs of the zone.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use tokio::sync::watch;

/// Time for one announcement; a silent connection must not end the announcements.
const TIMEOUT_MS: u64 = 1_000;

/// Where and how often to announce.
#[derive(Debug, Clone)]
pub(crate) struct Announcer {
    pub(crate) entries: Vec<SocketAddr>,
    pub(crate) key: String,
    pub(crate) every: Duration,
    pub(crate) seed: u64,
}

impl Announcer {
    /// Announces what `next` returns until `changed` closes; at once when it changes.
    pub(crate) async fn run<F>(self, mut changed: watch::Receiver<u64>, mut next: F)
    where
        F: FnMut() -> Option<Value>,
    {
        let client = Client::builder()
            .timeout(Duration::from_millis(TIMEOUT_MS))
            .finish();
        let mut random = StdRng::seed_from_u64(self.seed);
        loop {
            if let Some(announcement) = next()
                && !self.entries.is_empty()
            {
                let first = random.random_range(0..self.entries.len());
                for offset in 0..self.entries.len() {
                    let entry = self.entries[(first + offset) % self.entries.len()];
                    let sent = client
                        .post(format!("http://{entry}/v1/targets/announce"))
                        .bearer_auth(&self.key)
                        .send_json(&announcement)
                        .await;
                    match sent {
                        Ok(answer) if answer.status().is_success() => break,
                        Ok(answer) => {
                            log::debug!("announcement to {entry} refused: {}", answer.status());
                        }
                        Err(error) => log::debug!("announcement to {entry} failed: {error}"),
                    }
                }
            }
            let waited = actix_rt::time::timeout(self.every, changed.changed()).await;
            if let Ok(Err(_)) = waited {
                return;
            }
        }
    }
}
