//! Ledger of requests that must run at most once.
//!
//! A key stays claimed by one request until that request records `not_run` or the entry is removed after
//! the retention period. A released key may be claimed by any other request, but not by a delayed copy of
//! the call that claimed it before, since no one would finish that claim. An entry whose holder did not
//! report an outcome in time reads as finished with outcome `unknown`.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ledger::{Answer, Call, Key, Response};
use crate::request::{self, Outcome};
use crate::vm;

/// Maximum total size of kept response bodies, bytes. Above it, the responses that would expire first are
/// dropped, but their outcomes stay. It bounds the state machine's memory and snapshot size.
pub const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;

/// Maximum size of a kept response body, bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Maximum time that an entry may stay in flight, milliseconds. The longest deadline is 600 s; the limit
/// prevents a faulty entry process from claiming a key forever.
const MAX_EXPIRES_MS: u64 = 3_600_000;

/// Time for which a released claim is kept to recognise delayed copies of it, milliseconds. Entry
/// processes resend a call for a few seconds.
const RELEASED_RETENTION_MS: u64 = 60_000;

/// State of a claimed key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Status {
    /// The request may be running until this time.
    Running { until_ms: u64 },
    /// The run ended.
    Ended {
        outcome: Outcome,
        response: Option<Response>,
    },
    /// The request certainly did not run.
    Released,
}

/// A claimed key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    holder: vm::Instance,
    request: request::Id,
    content_hash: u64,
    remove_at_ms: u64,
    status: Status,
}

/// Claimed keys, with indexes by removal time.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Table {
    entries: BTreeMap<Key, Entry>,
    by_removal_time: BTreeSet<(u64, Key)>,
    /// Entries with a kept response, in the order in which responses are dropped.
    responses: BTreeSet<(u64, Key)>,
    response_bytes: usize,
}

impl Table {
    /// Returns the number of entries.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Removes entries whose retention period has ended.
    pub(super) fn expire(&mut self, now_ms: u64) {
        while let Some((at, _)) = self.by_removal_time.first() {
            if *at > now_ms {
                break;
            }
            if let Some((_, key)) = self.by_removal_time.pop_first() {
                self.remove(&key);
            }
        }
    }

    /// Applies a call and returns its answer.
    pub(super) fn call(&mut self, now_ms: u64, retention_ms: u64, call: &Call) -> Answer {
        match call {
            Call::Begin {
                key,
                holder,
                request,
                expires_ms,
                content_hash,
            } => {
                let is_own = |entry: &Entry| entry.holder == *holder && entry.request == *request;
                let is_available =
                    |entry: &Entry| entry.status == Status::Released && !is_own(entry);
                if self.entries.get(key).is_some_and(is_available) {
                    self.remove(key);
                }
                if let Some(entry) = self.entries.get(key) {
                    if entry.status == Status::Released {
                        return Answer::Finished {
                            outcome: Outcome::NotRun,
                            response: None,
                        };
                    }
                    if entry.content_hash != *content_hash {
                        return Answer::Conflict;
                    }
                    return match &entry.status {
                        Status::Running { until_ms } if *until_ms <= now_ms => Answer::Finished {
                            outcome: Outcome::Unknown,
                            response: None,
                        },
                        Status::Running { .. } if is_own(entry) => Answer::Claimed,
                        Status::Running { .. } | Status::Released => Answer::InFlight,
                        Status::Ended { outcome, response } => Answer::Finished {
                            outcome: *outcome,
                            response: response.clone(),
                        },
                    };
                }
                let until_ms = now_ms.saturating_add((*expires_ms).min(MAX_EXPIRES_MS));
                let remove_at_ms = until_ms.saturating_add(retention_ms);
                self.by_removal_time.insert((remove_at_ms, key.clone()));
                self.entries.insert(
                    key.clone(),
                    Entry {
                        holder: holder.clone(),
                        request: *request,
                        content_hash: *content_hash,
                        remove_at_ms,
                        status: Status::Running { until_ms },
                    },
                );
                Answer::Claimed
            }
            Call::Finish {
                key,
                holder,
                request,
                outcome,
                response,
            } => self.finish(
                now_ms,
                retention_ms,
                key,
                holder,
                *request,
                *outcome,
                response.as_ref(),
            ),
        }
    }

    fn finish(
        &mut self,
        now_ms: u64,
        retention_ms: u64,
        key: &Key,
        holder: &vm::Instance,
        request: request::Id,
        outcome: Outcome,
        response: Option<&Response>,
    ) -> Answer {
        let Some(entry) = self.entries.get_mut(key) else {
            if outcome == Outcome::NotRun {
                // The claim may still arrive.
                self.release(now_ms, key, holder, request);
            }
            return Answer::Recorded;
        };
        if entry.holder != *holder || entry.request != request {
            return if entry.status == Status::Released {
                Answer::Recorded
            } else {
                Answer::InFlight
            };
        }
        if entry.status == Status::Released {
            return if outcome == Outcome::NotRun {
                Answer::Recorded
            } else {
                Answer::Finished {
                    outcome: Outcome::NotRun,
                    response: None,
                }
            };
        }
        // The first recorded outcome of a run is final.
        if let Status::Ended {
            outcome: first,
            response,
        } = &entry.status
        {
            return if *first == outcome {
                Answer::Recorded
            } else {
                Answer::Finished {
                    outcome: *first,
                    response: response.clone(),
                }
            };
        }
        if outcome == Outcome::NotRun {
            self.remove(key);
            self.release(now_ms, key, holder, request);
            return Answer::Recorded;
        }
        self.by_removal_time
            .remove(&(entry.remove_at_ms, key.clone()));
        entry.remove_at_ms = now_ms.saturating_add(retention_ms);
        self.by_removal_time
            .insert((entry.remove_at_ms, key.clone()));
        let response = response.filter(|response| response.body.len() <= MAX_BODY_BYTES);
        if let Some(response) = response {
            self.responses.insert((entry.remove_at_ms, key.clone()));
            self.response_bytes += response.body.len();
        }
        entry.status = Status::Ended {
            outcome,
            response: response.cloned(),
        };
        while self.response_bytes > MAX_RESPONSE_BYTES
            && let Some((_, key)) = self.responses.pop_first()
        {
            if let Some(Entry {
                status: Status::Ended { response, .. },
                ..
            }) = self.entries.get_mut(&key)
                && let Some(response) = response.take()
            {
                self.response_bytes -= response.body.len();
            }
        }
        Answer::Recorded
    }

    /// Keeps a released claim for a short time, so that a delayed copy of it is recognised.
    fn release(&mut self, now_ms: u64, key: &Key, holder: &vm::Instance, request: request::Id) {
        let remove_at_ms = now_ms.saturating_add(RELEASED_RETENTION_MS);
        self.by_removal_time.insert((remove_at_ms, key.clone()));
        let entry = Entry {
            holder: holder.clone(),
            request,
            content_hash: 0,
            remove_at_ms,
            status: Status::Released,
        };
        self.entries.insert(key.clone(), entry);
    }

    fn remove(&mut self, key: &Key) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        self.by_removal_time
            .remove(&(entry.remove_at_ms, key.clone()));
        if let Status::Ended {
            response: Some(response),
            ..
        } = entry.status
        {
            self.responses.remove(&(entry.remove_at_ms, key.clone()));
            self.response_bytes -= response.body.len();
        }
    }
}
