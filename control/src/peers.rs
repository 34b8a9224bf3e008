//! Messages from other processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use primrosepin_core::consensus::{self, Body};
use primrosepin_core::ledger::{Answer, Call};
use primrosepin_core::message::Message;
use primrosepin_core::registry::{Command, Outcome};
use primrosepin_core::vm;
use primrosepin_transport::{Endpoint, Incoming, Reply, Role};
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::node::{Decision, Input};
use crate::proposer::Proposer;
use crate::seen::Signs;
use crate::shared::Shared;

/// Time to commit a ledger call. The entry VM waits one second and then asks another replica.
const LEDGER_TIMEOUT: Duration = Duration::from_millis(950);

/// Interval at which replicas tell each other which entry VMs they heard from.
const SEEN_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a pull without news is held. Shorter than the time after which a silent entry VM is
/// reported as lagging.
const PULL_HOLD: Duration = Duration::from_millis(400);

/// Interval at which a held pull looks for a higher version.
const PULL_CHECK: Duration = Duration::from_millis(50);

/// Answers messages until the endpoint closes.
pub(crate) async fn receive(
    proposer: Proposer,
    signs: Arc<Signs>,
    mut incoming: mpsc::Receiver<Incoming>,
) {
    while let Some(message) = incoming.recv().await {
        let Incoming {
            from,
            role,
            message,
            reply,
            ..
        } = message;
        match message {
            Message::Consensus(message) if role == Role::Control => {
                match message.body {
                    Body::EntryContacts(seen) => signs.merge(message.from, seen),
                    Body::Join { ref vm, .. } if *vm != from.name => {
                        log::warn!("{} asked to join as {vm}", from.name);
                    }
                    // Dropped if the node waits for its disk.
                    _ => drop(proposer.node.try_send(Input::Received(message))),
                }
            }
            Message::ConfigPull { have } => {
                if role == Role::Entry {
                    signs.record(from.name, have);
                }
                if let Some(reply) = reply {
                    actix_rt::spawn(answer_pull(Arc::clone(&proposer.shared), have, reply));
                }
            }
            Message::Ledger(call) => {
                let Some(reply) = reply else {
                    continue;
                };
                let (Call::Begin { holder, .. } | Call::Finish { holder, .. }) = &call;
                if holder.name != from.name {
                    log::warn!("{} sent a ledger call of {}", from.name, holder.name);
                    actix_rt::spawn(reply.send(Message::LedgerAnswer(Answer::Unavailable)));
                    continue;
                }
                let proposer = proposer.clone();
                actix_rt::spawn(async move {
                    let command = Command::Ledger { now_ms: 0, call };
                    let answer = match proposer.submit(command, LEDGER_TIMEOUT).await {
                        Decision::Committed(Outcome::Ledger(answer)) => answer,
                        _ => Answer::Unavailable,
                    };
                    reply.send(Message::LedgerAnswer(answer)).await;
                });
            }
            Message::Propose(command) => {
                let Some(reply) = reply else {
                    continue;
                };
                let allowed = role == Role::Control || is_order(&command, &from);
                let proposer = proposer.clone();
                actix_rt::spawn(async move {
                    let decision = match (allowed, role) {
                        (false, _) => Decision::NotAccepted,
                        // The sender already looked for the leader; passing on could go in circles.
                        (true, Role::Control) => proposer.propose(command).await,
                        (true, Role::Entry) => proposer.submit(command, LEDGER_TIMEOUT).await,
                    };
                    let outcome = match decision {
                        Decision::Committed(outcome) => Some(outcome),
                        Decision::Unknown => Some(Outcome::Undecided),
                        Decision::NotAccepted => None,
                    };
                    reply.send(Message::Proposed(outcome)).await;
                });
            }
            _ => log::debug!("message from {} ignored", from.name),
        }
    }
}

/// Answers a pull at once if a higher version is in force, otherwise when one is or after
/// [`PULL_HOLD`], so that a change reaches the entry VMs without the delay of their next pull.
async fn answer_pull(shared: Arc<Shared>, have: u64, reply: Reply) {
    let mut held = Duration::ZERO;
    let answer = loop {
        let config = shared.state().config().cloned();
        match config {
            Some(config) if config.version > have => break Message::ConfigPush(config),
            config if held >= PULL_HOLD => {
                let have = config.map_or(0, |config| config.version);
                break Message::ConfigPull { have };
            }
            _ => {}
        }
        sleep(PULL_CHECK).await;
        held += PULL_CHECK;
    };
    reply.send(answer).await;
}

/// Returns whether an entry VM may propose a command: engine orders that it issues itself.
fn is_order(command: &Command, from: &vm::Instance) -> bool {
    match command {
        Command::IssueOrder { issuer, .. } => issuer.name == from.name,
        Command::CompleteOrder { .. } => true,
        Command::Apply { .. }
        | Command::SetOut { .. }
        | Command::Ledger { .. }
        | Command::Publish { .. }
        | Command::Evacuate { .. } => false,
    }
}

/// Tells the other replicas which entry VMs this one heard from.
pub(crate) async fn spread_seen(proposer: Proposer, signs: Arc<Signs>, own: SocketAddr) {
    loop {
        sleep(SEEN_INTERVAL).await;
        let seen = signs.take_fresh();
        let view = proposer.shared.view();
        let members = view.members;
        for member in members.list.iter().filter(|member| member.address != own) {
            let message = consensus::Message {
                deployment: members.deployment,
                from: view.id,
                to: member.id,
                address: own,
                body: Body::EntryContacts(seen.clone()),
            };
            proposer
                .endpoint
                .send(member.address, Message::Consensus(message));
        }
    }
}

/// Sends the node's messages.
pub(crate) async fn send(
    endpoint: Endpoint,
    mut outgoing: mpsc::UnboundedReceiver<(SocketAddr, Message)>,
) {
    while let Some((to, message)) = outgoing.recv().await {
        endpoint.send(to, message);
    }
}
