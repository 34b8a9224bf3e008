//! Pool of idle connections to targets.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::account::Stage;
use crate::http::{Connection, Response};

/// Maximum time a connection stays in the pool. Targets may drop idle connections early and without notice.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);

/// Fraction of a target's keep-alive timeout for which a connection is reused.
const KEEP_ALIVE_FRACTION: f64 = 0.6;

/// Maximum number of idle connections per target.
const MAX_IDLE_CONNECTIONS: usize = 16;

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// Idle connections by name of their target.
#[derive(Debug, Default)]
pub(super) struct Pool {
    idle: HashMap<Arc<str>, Vec<IdleConnection>>,
}

impl Pool {
    /// Removes the most recently used connection that is still open and has no unread bytes.
    pub(super) fn take(&mut self, target: &str) -> Option<Connection> {
        let idle = self.idle.get_mut(target)?;
        let now = Instant::now();
        while let Some(mut last) = idle.pop() {
            let is_open = now < last.expires_at && !last.connection.is_evicted();
            if is_open && last.connection.is_idle() {
                last.connection.set_stage(Stage::Busy);
                return Some(last.connection);
            }
        }
        None
    }

    /// Adds a connection after a complete response, if it can be reused.
    pub(super) fn put(&mut self, target: &Arc<str>, connection: Connection, head: &Response) {
        if head.closes || connection.is_tunnel() || !connection.input.is_empty() {
            return;
        }
        let idle_time = keep_alive(head).map_or(MAX_IDLE_TIME, |time| {
            time.mul_f64(KEEP_ALIVE_FRACTION).min(MAX_IDLE_TIME)
        });
        let idle = self.idle.entry(Arc::clone(target)).or_default();
        if !idle_time.is_zero() && idle.len() < MAX_IDLE_CONNECTIONS {
            let expires_at = Instant::now() + idle_time;
            connection.set_stage(Stage::Idle);
            idle.push(IdleConnection {
                connection,
                expires_at,
            });
        }
    }

    /// Closes all idle connections to a target. Called after a failed or timed-out attempt, as
    /// the others may be dead too.
    pub(super) fn clear(&mut self, target: &str) {
        self.idle.remove(target);
    }

    /// Closes all idle connections.
    pub(super) fn clear_all(&mut self) {
        self.idle.clear();
    }

    /// Closes connections that were idle for too long, or that the account has closed.
    pub(super) fn expire(&mut self) {
        let now = Instant::now();
        self.idle.retain(|_, idle| {
            idle.retain(|idle| now < idle.expires_at && !idle.connection.is_evicted());
            !idle.is_empty()
        });
    }
}

/// Returns the keep-alive timeout announced by the target, if any.
fn keep_alive(head: &Response) -> Option<Duration> {
    let value = head.headers.get("keep-alive")?;
    let mut parts = value.split(',').map(str::trim);
    let seconds = parts.find_map(|part| part.strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}
