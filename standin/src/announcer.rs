//! Announcements to the entry VMs of the zone.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use tokio::sync::watch;

/// Time limit of one announcement, so that an entry VM that does not answer cannot block the
/// announcements that follow.
const TIMEOUT_MS: u64 = 1_000;

/// Sends announcements to the entry VMs of a zone.
#[derive(Debug, Clone)]
pub(crate) struct Announcer {
    pub(crate) entries: Vec<SocketAddr>,
    pub(crate) key: String,
    pub(crate) interval: Duration,
    pub(crate) seed: u64,
}

impl Announcer {
    /// Sends what `announcement` returns at each interval and whenever `changed` changes, until
    /// `changed` is closed. Each announcement goes to the first entry VM that accepts it, starting
    /// with a random one.
    pub(crate) async fn run<F>(self, mut changed: watch::Receiver<u64>, mut announcement: F)
    where
        F: FnMut() -> Option<Value>,
    {
        let client = Client::builder()
            .timeout(Duration::from_millis(TIMEOUT_MS))
            .finish();
        let mut random = StdRng::seed_from_u64(self.seed);
        loop {
            if let Some(body) = announcement()
                && !self.entries.is_empty()
            {
                let first = random.random_range(0..self.entries.len());
                for offset in 0..self.entries.len() {
                    let entry = self.entries[(first + offset) % self.entries.len()];
                    let sent = client
                        .post(format!("http://{entry}/v1/targets/announce"))
                        .bearer_auth(&self.key)
                        .send_json(&body)
                        .await;
                    match sent {
                        Ok(response) if response.status().is_success() => break,
                        Ok(response) => {
                            log::debug!("announcement to {entry} refused: {}", response.status());
                        }
                        Err(error) => log::debug!("announcement to {entry} failed: {error}"),
                    }
                }
            }
            let waited = actix_rt::time::timeout(self.interval, changed.changed()).await;
            if let Ok(Err(_)) = waited {
                return;
            }
        }
    }
}
