//! Signal handling and the monotonic clock shared by the primrosepin binaries.

use primrosepin_core::time::Instant;
use rustix::time::{ClockId, clock_gettime};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Listener for SIGTERM and SIGINT, which start a graceful shutdown.
///
/// Create it before the process starts serving, so that a signal received during start-up is not lost.
#[derive(Debug)]
pub struct Shutdown {
    terminate: Signal,
    interrupt: Signal,
}

impl Shutdown {
    /// Installs the signal handlers. Must be called inside a `tokio` or `actix-rt` runtime.
    pub fn new() -> eyre::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for either signal.
    pub async fn wait(mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Listener for SIGHUP, which asks the process to reload its settings file.
#[derive(Debug)]
pub struct Hangup(Signal);

impl Hangup {
    /// Installs the handler; without it, SIGHUP terminates the process. Must be called inside a `tokio` or
    /// `actix-rt` runtime.
    pub fn new() -> eyre::Result<Self> {
        Ok(Self(signal(SignalKind::hangup())?))
    }

    /// Waits for the next SIGHUP.
    pub async fn wait(&mut self) {
        self.0.recv().await;
    }
}

/// Returns the time since the VM booted (`CLOCK_BOOTTIME`). The clock includes time spent suspended and is
/// never adjusted, so it is suitable for leases and ages.
pub fn now() -> Instant {
    let time = clock_gettime(ClockId::Boottime);
    Instant::from_micros(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000)
}
