//! What the binaries of primrosepin share: shutdown on signals, and a clock.

use primrosepin_core::time::Instant;
use rustix::time::{ClockId, clock_gettime};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that start a graceful shutdown.
///
/// A process creates it before it starts to serve, so that a signal during the start is not lost.
#[derive(Debug)]
pub struct Shutdown {
    terminate: Signal,
    interrupt: Signal,
}

impl Shutdown {
    /// Takes over SIGTERM and SIGINT. Must run inside a `tokio` or `actix-rt` runtime.
    pub fn new() -> eyre::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for one of the signals.
    pub async fn wait(mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// The signal that says that the settings file has changed.
#[derive(Debug)]
pub struct Hangup(Signal);

impl Hangup {
    /// Takes over SIGHUP, which else ends the process. Must run inside a `tokio` or `actix-rt` runtime.
    pub fn new() -> eyre::Result<Self> {
        Ok(Self(signal(SignalKind::hangup())?))
    }

    /// Waits for the next signal.
    pub async fn wait(&mut self) {
        self.0.recv().await;
    }
}

/// Returns the time since the VM started. It goes on while the VM is suspended and is never set, so it
/// suits leases and ages.
pub fn now() -> Instant {
    let time = clock_gettime(ClockId::Boottime);
    Instant::from_micros(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000)
}
