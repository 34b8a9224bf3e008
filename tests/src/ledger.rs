//! An in-memory ledger that serves as the reference model of the replicated ledger.

use std::collections::BTreeMap;

use primrosepin_core::ledger::{Answer, Call, Key, Response};
use primrosepin_core::request::{Id, Outcome};
use primrosepin_core::time::Instant;

/// Ledger that keeps its entries for ever, beyond the retention period.
#[derive(Debug, Default)]
pub struct Ledger {
    entries: BTreeMap<Key, Entry>,
}

#[derive(Debug)]
struct Entry {
    request: Id,
    content: u64,
    expires: Instant,
    finished: Option<(Outcome, Option<Response>)>,
}

impl Ledger {
    /// Executes a call at `now`.
    pub fn call(&mut self, now: Instant, call: Call) -> Answer {
        match call {
            Call::Begin {
                key,
                request,
                expires_ms,
                content_hash: content,
                ..
            } => {
                let expires = now + std::time::Duration::from_millis(expires_ms);
                let Some(entry) = self.entries.get(&key) else {
                    self.entries.insert(
                        key,
                        Entry {
                            request,
                            content,
                            expires,
                            finished: None,
                        },
                    );
                    return Answer::Claimed;
                };
                if entry.content != content {
                    return Answer::Conflict;
                }
                match &entry.finished {
                    Some((outcome, response)) => Answer::Finished {
                        outcome: *outcome,
                        response: response.clone(),
                    },
                    None if entry.request == request => Answer::Claimed,
                    None if entry.expires < now => Answer::Finished {
                        outcome: Outcome::Unknown,
                        response: None,
                    },
                    None => Answer::InFlight,
                }
            }
            Call::Finish {
                key,
                request,
                outcome,
                response,
                ..
            } => {
                if let Some(entry) = self.entries.get_mut(&key)
                    && entry.request == request
                {
                    if outcome == Outcome::NotRun {
                        self.entries.remove(&key);
                    } else if entry.finished.is_none() {
                        entry.finished = Some((outcome, response));
                    }
                }
                Answer::Recorded
            }
        }
    }
}
