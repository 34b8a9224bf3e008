//! Limits on what targets may send.
//!
//! A target in trouble may send bytes without end: heads, interim responses, trailers, bodies or events.
//! Each limit bounds what one such target costs; a target that exceeds one is left, and its connection is
//! closed. The limits on heads, interim responses and trailers are constants of [`crate::http`].

use std::time::Duration;

/// Limits on the responses of targets, and on the memory for requests and responses.
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
    /// Memory for the buffered responses of all requests together, bytes.
    pub memory_bytes: usize,
    /// Memory for the bodies of all callers' requests together, bytes.
    pub request_memory_bytes: usize,
}

impl Default for Messages {
    fn default() -> Self {
        Self {
            body_bytes: 8 * 1024 * 1024,
            event_bytes: 256 * 1024,
            error_body_bytes: 64 * 1024,
            error_body_time: Duration::from_millis(500),
            // The smallest entry VMs have 160 MB.
            memory_bytes: 48 * 1024 * 1024,
            request_memory_bytes: 48 * 1024 * 1024,
        }
    }
}
