//! Limits on what targets may send, and on what clients may take.
//!
//! A target in trouble may send bytes without end: heads, interim responses, trailers, bodies or events.
//! Each limit bounds what one such target costs; a target that exceeds one is left, and its connection is
//! closed. The limits on heads, interim responses and trailers are constants of [`crate::http`].
//!
//! Clients send within the limits of the configuration; [`Clients`] bounds what all of them take together. See
//! [`crate::account`].

use std::time::Duration;

/// Limits on the responses of targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Messages {
    /// Maximum size of a body that is buffered until it is complete, bytes.
    pub body_bytes: usize,
    /// Maximum size of an event that is not complete yet, bytes.
    pub event_bytes: usize,
    /// Maximum size of the body of a refusal or of an error, bytes.
    pub error_body_bytes: usize,
    /// Time within which the body of a refusal or of an error must be complete, however steadily it
    /// arrives.
    pub error_body_time: Duration,
}

impl Default for Messages {
    fn default() -> Self {
        Self {
            body_bytes: 8 * 1024 * 1024,
            event_bytes: 256 * 1024,
            error_body_bytes: 64 * 1024,
            error_body_time: Duration::from_millis(500),
        }
    }
}

/// What the VM of a process has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Process {
    /// Memory, bytes.
    pub memory_bytes: usize,
    /// File descriptors that the process may open.
    pub descriptors: usize,
}

impl Default for Process {
    fn default() -> Self {
        Self {
            memory_bytes: 160_000_000,
            descriptors: 4_096,
        }
    }
}

/// Limits on clients, which nobody controls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Clients {
    /// Most connections of callers to an entry process, or of operators and targets to a control process.
    pub max_connections: usize,
    /// Memory for all connections, requests and answers, bytes; `None` derives it from the memory of the VM.
    pub memory_bytes: Option<usize>,
    /// Time without progress after which a client is closed if the process runs short.
    pub stall: Duration,
    /// Rate of a request in bytes a second below which a client is closed if the process runs short and no client
    /// has stopped. A body longer than a minute must keep it up.
    pub min_bytes_per_s: u64,
    /// Time that a body waits for memory before it is refused.
    pub memory_wait: Duration,
}

impl Default for Clients {
    fn default() -> Self {
        Self {
            max_connections: 4_000,
            memory_bytes: None,
            // Longer than the loss of a packet and its retransmission.
            stall: Duration::from_secs(1),
            min_bytes_per_s: 16 * 1024,
            memory_wait: Duration::from_secs(5),
        }
    }
}
