//! Connections to targets that wait for their next request.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::http::Connection;

/// Longest time that a connection waits. Targets may drop an idle connection early and without notice.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// Part of the time that a target keeps a connection open within which it is used again.
const KEEP_ALIVE_PART: f64 = 0.6;

/// Connections that wait for one target.
const MAX_WAITING: usize = 16;

#[derive(Debug)]
struct Waiting {
    connection: Connection,
    until: Instant,
}

/// Connections that wait, by name of the target.
#[derive(Debug, Default)]
pub(super) struct Pool {
    waiting: HashMap<Arc<str>, Vec<Waiting>>,
}

impl Pool {
    /// Takes the connection that was used last.
    pub(super) fn take(&mut self, target: &str) -> Option<Connection> {
        let waiting = self.waiting.get_mut(target)?;
        let now = Instant::now();
        while let Some(mut last) = waiting.pop() {
            if now < last.until && last.connection.is_idle() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Keeps a connection for the next request, at most for the time that the target keeps it open.
    pub(super) fn put(
        &mut self,
        target: &Arc<str>,
        connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        let idle = keep_alive.map_or(MAX_IDLE, |time| time.mul_f64(KEEP_ALIVE_PART).min(MAX_IDLE));
        let waiting = self.waiting.entry(Arc::clone(target)).or_default();
        if !idle.is_zero() && waiting.len() < MAX_WAITING {
            let until = Instant::now() + idle;
            waiting.push(Waiting { connection, until });
        }
    }

    /// Closes the connections to a target that was silent: others may be too.
    pub(super) fn clear(&mut self, target: &str) {
        self.waiting.remove(target);
    }

    /// Closes connections that waited too long.
    pub(super) fn expire(&mut self) {
        let now = Instant::now();
        self.waiting.retain(|_, waiting| {
            waiting.retain(|connection| now < connection.until);
            !waiting.is_empty()
        });
    }
}
