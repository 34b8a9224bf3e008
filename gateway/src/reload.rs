//! Reloading of the seeds from the settings.

use std::net::IpAddr;
use std::time::Duration;

use primrosepin_process::Hangup;
use tokio::time::timeout;

use crate::settings::Source;

/// Interval of reloads without a signal: the settings may change without one. New seeds matter only once the
/// known control VMs are lost.
const RELOAD_INTERVAL: Duration = Duration::from_secs(3);

/// Reads the seeds on each signal and periodically, and passes them to `apply`; never returns.
pub(crate) async fn run<S, F>(mut known: Vec<IpAddr>, source: S, mut hangup: Hangup, mut apply: F)
where
    S: Source,
    F: FnMut(&[IpAddr]),
{
    loop {
        let signalled = timeout(RELOAD_INTERVAL, hangup.wait()).await.is_ok();
        match source.seeds() {
            Ok(seeds) => {
                apply(&seeds);
                if signalled || seeds != known {
                    log::info!(
                        signalled = signalled, seeds = format!("{seeds:?}");
                        "settings reloaded"
                    );
                }
                known = seeds;
            }
            Err(error) => log::warn!("cannot reload the settings: {error:#}"),
        }
    }
}
