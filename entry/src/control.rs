//! Calls to the control processes: ledger and configuration.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use primrosepin_core::ledger::{Answer, Call};
use primrosepin_core::message::Message;
use primrosepin_core::request::Id;
use primrosepin_core::serving::event::Event;

use crate::node::Node;

/// Time for one control process to answer. A commit takes two round trips and a sync.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which the ledger counts as unavailable. A new leader is elected within 2 s.
const LEDGER_TIMEOUT: Duration = Duration::from_secs(4);

/// Pause after all control processes were tried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Pause between two pulls. Control holds a pull without news for 400 ms.
const PULL_INTERVAL: Duration = Duration::from_millis(100);

/// Time for one control process to answer a pull, its hold included. A replica that is down must not
/// delay a change by a second: with 1,800 ms changes took 2 s at p99 while replicas restarted.
const PULL_TIMEOUT: Duration = Duration::from_millis(700);

/// Calls the ledger, one control process after the other, and reports the answer. Calls are
/// idempotent, so a call whose answer was lost is repeated.
pub(crate) async fn call_ledger(node: Rc<Node>, request: Id, call: Call) {
    let answer = call_replicas(&node, call).await;
    node.report(Event::Ledger { request, answer });
}

async fn call_replicas(node: &Node, call: Call) -> Answer {
    if node.settings.control.is_empty() {
        return Answer::Unavailable;
    }
    let endpoint = &node.endpoint;
    let end = Instant::now() + LEDGER_TIMEOUT;
    loop {
        for offset in 0..node.settings.control.len() {
            let replicas = &node.settings.control;
            let index = (node.control_index.get() + offset) % replicas.len();
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Answer::Unavailable;
            }
            let message = Message::Ledger(call.clone());
            let answer = endpoint
                .call(replicas[index], message, left.min(CALL_TIMEOUT))
                .await;
            if let Ok(Message::LedgerAnswer(answer)) = answer
                && answer != Answer::Unavailable
            {
                node.control_index.set(index);
                return answer;
            }
        }
        if Instant::now() + RETRY_DELAY >= end {
            return Answer::Unavailable;
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Asks control for a higher configuration version at intervals.
pub(crate) async fn pull_config(node: Rc<Node>) {
    let endpoint = &node.endpoint;
    let mut next = 0;
    loop {
        let have = node
            .config_index()
            .map_or(0, |config_index| config_index.config.version);
        let replicas = &node.settings.control;
        if let Some(address) = replicas.get(next) {
            let answer = endpoint
                .call(*address, Message::ConfigPull { have }, PULL_TIMEOUT)
                .await;
            match answer {
                Ok(Message::ConfigPush(config)) => node.report(Event::Configured(config)),
                Ok(_) => {}
                Err(error) => log::debug!("cannot pull the configuration: {error}"),
            }
            // The replicas are asked in turn, since one that is cut off keeps answering with an old
            // version.
            next = (next + 1) % replicas.len();
        }
        sleep(PULL_INTERVAL).await;
    }
}
