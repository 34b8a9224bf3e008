//! What the binaries of primrosepin share: shutdown on signals.

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
