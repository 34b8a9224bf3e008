//! Calls to the control processes: ledger calls and configuration pulls.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use primrosepin_core::ledger::{Answer, Call};
use primrosepin_core::message::Message;
use primrosepin_core::request::Id;
use primrosepin_core::serving::event::Event;

use crate::node::Node;

/// Time limit for one control process to answer a ledger call. A commit takes two round trips and a
/// disk sync.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which the ledger counts as unavailable. Electing a new leader takes up to 2 s.
const LEDGER_TIMEOUT: Duration = Duration::from_secs(4);

/// Delay before the control processes are tried again after all of them failed.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Pause between two pulls. Control holds a pull open for up to 400 ms when it has no newer
/// version.
const PULL_INTERVAL: Duration = Duration::from_millis(100);

/// Time limit for one control process to answer a pull, including the time it holds the pull open.
/// Bounds how long an unreachable replica delays a configuration change: with 1,800 ms, changes
/// took 2 s at p99 while replicas restarted.
const PULL_TIMEOUT: Duration = Duration::from_millis(700);

/// Calls the ledger, trying one control process after another, and reports the answer. Ledger calls
/// are idempotent, so a call whose answer was lost is retried.
pub(crate) async fn call_ledger(node: Rc<Node>, request: Id, call: Call) {
    let answer = call_replicas(&node, call).await;
    node.report(Event::Ledger { request, answer });
}

async fn call_replicas(node: &Node, call: Call) -> Answer {
    if node.settings.control.is_empty() {
        return Answer::Unavailable;
    }
    let endpoint = &node.endpoint;
    let deadline = Instant::now() + LEDGER_TIMEOUT;
    loop {
        for offset in 0..node.settings.control.len() {
            let replicas = &node.settings.control;
            let index = (node.control_index.get() + offset) % replicas.len();
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Answer::Unavailable;
            }
            let message = Message::Ledger(call.clone());
            let answer = endpoint
                .call(replicas[index], message, remaining.min(CALL_TIMEOUT))
                .await;
            if let Ok(Message::LedgerAnswer(answer)) = answer
                && answer != Answer::Unavailable
            {
                node.control_index.set(index);
                return answer;
            }
        }
        if Instant::now() + RETRY_DELAY >= deadline {
            return Answer::Unavailable;
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Pulls newer configuration versions from the control processes in a loop.
pub(crate) async fn pull_config(node: Rc<Node>) {
    let endpoint = &node.endpoint;
    let mut next_replica = 0;
    loop {
        let have = node
            .config_index()
            .map_or(0, |config_index| config_index.config.version);
        let replicas = &node.settings.control;
        if let Some(address) = replicas.get(next_replica) {
            let answer = endpoint
                .call(*address, Message::ConfigPull { have }, PULL_TIMEOUT)
                .await;
            match answer {
                Ok(Message::ConfigPush(config)) => node.report(Event::Configured(config)),
                Ok(_) => {}
                Err(error) => log::debug!(
                    "cannot pull the configuration from control process {address}: {error}"
                ),
            }
            // The replicas are polled in turn, since a partitioned one keeps answering with an old
            // version.
            next_replica = (next_replica + 1) % replicas.len();
        }
        sleep(PULL_INTERVAL).await;
    }
}
