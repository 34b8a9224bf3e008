//! Requests that must run at most once.
//!
//! The key is claimed in the ledger before the first dispatch, and the outcome is recorded at the
//! end. The record is sent again until the ledger confirms it. Until then the ledger treats the
//! request as in flight, so it cannot run twice.

use std::sync::Arc;
use std::time::Duration;

use crate::ledger::{Answer, Call, Key};
use crate::request::{Id, Outcome, Reason};
use crate::time::Instant;

use super::effect::Effect;
use super::reducer::Reducer;
use super::request::{Request, Stage};

/// Time after the deadline from which the ledger treats a claim without a record as `unknown`.
const EXPIRY_MARGIN: Duration = Duration::from_secs(5);

/// Interval at which an unconfirmed record is sent again.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which an outcome is kept, so that a claim that is committed late can be released.
const RECORD_RETENTION: Duration = Duration::from_mins(1);

/// Retry hint when the ledger is unavailable.
const LEDGER_RETRY_MS: u64 = 2_000;

/// Outcome sent to the ledger.
#[derive(Debug)]
pub(super) struct Record {
    call: Call,
    /// Next time to send the record; none once confirmed.
    next: Option<Instant>,
    /// End of [`RECORD_RETENTION`].
    until: Instant,
}

fn ledger_key(request: &Request) -> Key {
    let own = || format!("{:032x}", request.arrival.id.0).into();
    Key {
        organisation: Arc::clone(&request.arrival.organisation),
        key: request.arrival.key.clone().unwrap_or_else(own),
    }
}

impl Reducer {
    /// Claims the key of a request in the ledger.
    pub(super) fn claim(&mut self, id: Id, effects: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.stage = Stage::Claiming;
        request.claimed = true;
        let left = request.deadline.since(self.now) + EXPIRY_MARGIN;
        effects.push(Effect::Ledger {
            request: id,
            call: Call::Begin {
                key: ledger_key(request),
                holder: self.settings.vm.clone(),
                request: id,
                expires_ms: left.as_millis() as u64,
                content_hash: 0,
            },
        });
    }

    /// Sends the outcome of a request to the ledger, if the request claimed a key.
    pub(super) fn record_outcome(
        &mut self,
        request: &Request,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        if !request.claimed {
            return;
        }
        let id = request.arrival.id;
        let call = Call::Finish {
            key: ledger_key(request),
            holder: self.settings.vm.clone(),
            request: id,
            outcome,
            response: None,
        };
        effects.push(Effect::Ledger {
            request: id,
            call: call.clone(),
        });
        let record = Record {
            call,
            next: Some(self.now + RESEND_INTERVAL),
            until: self.now + RECORD_RETENTION,
        };
        self.records.insert(id, record);
    }

    /// Handles an answer of the ledger.
    pub(super) fn handle_ledger_answer(
        &mut self,
        id: Id,
        answer: Answer,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(record) = self.records.get_mut(&id) {
            match answer {
                Answer::Recorded => record.next = None,
                // The claim was committed after the request had ended. Send the outcome again to
                // release it.
                Answer::Claimed => record.next = Some(self.now),
                Answer::Unavailable
                | Answer::InFlight
                | Answer::Conflict
                | Answer::Finished { .. } => {}
            }
            return;
        }
        let claiming = self
            .requests
            .get(&id)
            .is_some_and(|request| matches!(request.stage, Stage::Claiming));
        if !claiming {
            return;
        }
        match answer {
            Answer::Claimed => self.enqueue(id),
            Answer::Unavailable => {
                let hint = Some(LEDGER_RETRY_MS);
                self.fail(id, Reason::LedgerUnavailable, hint, effects);
            }
            Answer::InFlight => {
                self.clear_claim(id);
                self.finish(id, Outcome::Unknown, Reason::Duplicate, None, effects);
            }
            Answer::Conflict => {
                self.clear_claim(id);
                self.finish(id, Outcome::NotRun, Reason::Duplicate, None, effects);
            }
            Answer::Finished { outcome, response } => {
                self.clear_claim(id);
                let Some(response) = response else {
                    self.finish(id, outcome, Reason::Duplicate, None, effects);
                    return;
                };
                self.remove(id);
                self.counters.replayed += 1;
                self.counters.count_outcome(outcome);
                effects.push(Effect::Replay {
                    request: id,
                    outcome,
                    response,
                });
            }
            Answer::Recorded => {}
        }
    }

    /// Marks a request as not holding its key, because another request does. Nothing is recorded
    /// for it.
    fn clear_claim(&mut self, id: Id) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.claimed = false;
        }
    }

    /// Sends unconfirmed records again and drops old ones.
    pub(super) fn resend_records(&mut self, effects: &mut Vec<Effect>) {
        let now = self.now;
        self.records.retain(|_, record| record.until > now);
        for (&request, record) in &mut self.records {
            if record.next.is_some_and(|next| next <= now) {
                record.next = Some(now + RESEND_INTERVAL);
                effects.push(Effect::Ledger {
                    request,
                    call: record.call.clone(),
                });
            }
        }
    }
}
