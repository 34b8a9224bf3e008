//! Rules on requests that crash targets: derived from the reports of entry VMs, and stored in the replicated log.
//!
//! Every control VM derives rules from the reports that it has heard and sends them to its entry VMs, so that a
//! zone that is cut off does so too. The leader stores its rules in the log, so that they outlive restarts.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use primrosepin_control::replica::Decision;
use primrosepin_core::quarantine::{Crash, Evidence, Part, Rule};
use primrosepin_core::registry::Command;
use primrosepin_core::time::Instant;
use tokio::time::interval;

use super::hub::Hub;
use crate::message::Message;

/// Interval at which rules are derived.
const DERIVE_INTERVAL: Duration = Duration::from_millis(50);

/// Time from the last report for which rules are derived at each interval. It exceeds the time that a rule is
/// held back for answers.
const SETTLE_TIME: Duration = Duration::from_millis(600);

/// Interval at which rules are derived without reports, so that old ones end.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which entry VMs are asked again for answers with suspected parts. They watch a part for a minute.
const ASK_INTERVAL: Duration = Duration::from_secs(20);

/// Time limit for storing rules, after which they are derived and stored again. Deriving must not wait for a slow
/// disk.
const STORE_TIMEOUT: Duration = Duration::from_millis(300);

/// Evidence on requests, and what entry VMs were told.
#[derive(Debug, Default)]
pub(super) struct Quarantine {
    evidence: Evidence,
    rules: Vec<Rule>,
    suspects: BTreeSet<Part>,
    /// Rules that the log held when it was last looked at.
    stored: Vec<Rule>,
    /// When the last report arrived, or the log's rules changed.
    reported_at: Instant,
    /// When rules were last derived.
    derived_at: Instant,
    /// When entry VMs were last asked for answers.
    asked_at: Instant,
}

impl Quarantine {
    pub(super) fn record_crashes(&mut self, now: Instant, crashes: Vec<Crash>) {
        self.reported_at = now;
        for crash in crashes {
            self.evidence.record_crash(now, crash);
        }
    }

    pub(super) fn withdraw(&mut self, now: Instant, processes: &[u64]) {
        self.reported_at = now;
        for process in processes {
            self.evidence.withdraw(*process);
        }
    }

    pub(super) fn record_answered(&mut self, now: Instant, parts: &[(Part, u32)]) {
        self.reported_at = now;
        for (part, age_ms) in parts {
            let age = Duration::from_millis(u64::from(*age_ms));
            self.evidence.record_answered(now, *part, age);
        }
    }

    /// Returns the message with the rules in force.
    pub(super) fn rules_message(&self) -> Message {
        Message::Quarantine(self.rules.clone())
    }

    /// Returns the message that asks for answers to suspected parts.
    pub(super) fn suspects_message(&self) -> Message {
        Message::Suspects(self.suspects.iter().copied().collect())
    }

    /// Takes over the rules that the log holds.
    fn take_stored(&mut self, now: Instant, stored: Vec<Rule>) {
        if stored == self.stored {
            return;
        }
        for rule in self.stored.iter().filter(|rule| !stored.contains(rule)) {
            self.evidence.remove(rule);
        }
        self.reported_at = now;
        self.evidence.restore(now, &stored);
        self.stored = stored;
    }

    /// Derives the rules and suspects if they may have changed; returns whether to send each of them.
    fn update(&mut self, now: Instant) -> (bool, bool) {
        let is_settled = now.since(self.reported_at) >= SETTLE_TIME;
        if is_settled && now.since(self.derived_at) < EXPIRE_INTERVAL {
            return (false, false);
        }
        self.derived_at = now;
        let rules = self.evidence.rules(now);
        let suspects = self.evidence.suspects();
        let asks_again = !suspects.is_empty() && now.since(self.asked_at) >= ASK_INTERVAL;
        let asks = suspects != self.suspects || asks_again;
        if asks {
            self.asked_at = now;
        }
        let rules_changed = rules != self.rules;
        (self.rules, self.suspects) = (rules, suspects);
        (rules_changed, asks)
    }
}

/// Derives rules, tells them to entry VMs and, on the leader, stores them; never returns.
pub(super) async fn run(hub: Rc<Hub>) {
    let mut ticks = interval(DERIVE_INTERVAL);
    loop {
        ticks.tick().await;
        let Some(rules) = derive(&hub) else {
            continue;
        };
        if !hub.replica.is_leader() {
            continue;
        }
        let command = Command::Quarantine { rules };
        match hub.replica.propose(command, STORE_TIMEOUT).await {
            Decision::Committed(_) => log::info!("rules on requests stored"),
            Decision::NotAccepted | Decision::Unknown => {
                log::warn!("rules on requests are not stored yet; trying again");
            }
        }
    }
}

/// Derives rules, tells entry VMs what has changed and asks them for answers. Returns the rules if the log does not hold them.
fn derive(hub: &Hub) -> Option<Vec<Rule>> {
    let now = primrosepin_process::now();
    let stored = hub.replica.quarantine();
    let mut quarantine = hub.quarantine.borrow_mut();
    quarantine.take_stored(now, stored);
    let (rules_changed, asks) = quarantine.update(now);
    let is_stored = quarantine.rules == quarantine.stored;
    let rules = quarantine.rules.clone();
    let messages = [
        rules_changed.then(|| quarantine.rules_message()),
        asks.then(|| quarantine.suspects_message()),
    ];
    drop(quarantine);
    for message in messages.into_iter().flatten() {
        hub.broadcast(&message);
    }
    if rules_changed {
        log::warn!(
            rules = rules.len(), parts = format_parts(&rules), stored = is_stored;
            "rules on requests that crash targets changed"
        );
    }
    (!is_stored).then_some(rules)
}

/// Formats the parts of rules for logs.
fn format_parts(rules: &[Rule]) -> String {
    let rule = |rule: &Rule| {
        let parts: Vec<String> = rule.parts.iter().map(ToString::to_string).collect();
        parts.join("+")
    };
    rules.iter().map(rule).collect::<Vec<_>>().join(",")
}
