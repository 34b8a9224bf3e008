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

use crate::contacts::Contacts;
use crate::node::{Decision, Input};
use crate::proposer::Proposer;
use crate::shared::Shared;

/// Time limit for committing a ledger call. It is below the one second after which the entry VM asks
/// another replica.
const LEDGER_TIMEOUT: Duration = Duration::from_millis(950);

/// Interval at which replicas send each other their contacts with entry VMs.
const CONTACTS_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which a configuration pull is answered even if there is no newer version. It is shorter
/// than the time without contact after which an entry VM is reported as suspect.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval at which a pending pull checks for a newer version.
const LONG_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Answers messages until the endpoint closes.
pub(crate) async fn receive(
    proposer: Proposer,
    contacts: Arc<Contacts>,
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
                    Body::EntryContacts(reported) => contacts.merge(message.from, reported),
                    Body::Join { ref vm, .. } if *vm != from.name => {
                        log::warn!(
                            "ignored a join request from {} under the name of another VM, {vm}",
                            from.name
                        );
                    }
                    // Dropped if the node's queue is full because it waits for its disk.
                    _ => drop(proposer.node.try_send(Input::Received(message))),
                }
            }
            Message::ConfigPull { have } => {
                if role == Role::Entry {
                    contacts.record(from.name, have);
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
                    log::warn!(
                        "rejected a ledger call from {} with another VM as holder, {}",
                        from.name,
                        holder.name
                    );
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
                let allowed = role == Role::Control || is_entry_command(&command, &from);
                let proposer = proposer.clone();
                actix_rt::spawn(async move {
                    let decision = match (allowed, role) {
                        (false, _) => Decision::NotAccepted,
                        // Not forwarded: the sender believes that this replica leads, and forwarding
                        // could loop.
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
            _ => log::debug!("ignored an unexpected message from {}", from.name),
        }
    }
}

/// Answers a configuration pull as a long poll: at once if a newer version is in force, otherwise as soon
/// as one is or after [`LONG_POLL_TIMEOUT`]. A change then reaches the entry VMs before their next pull.
async fn answer_pull(shared: Arc<Shared>, have: u64, reply: Reply) {
    let mut waited = Duration::ZERO;
    let answer = loop {
        let config = shared.state().config().cloned();
        match config {
            Some(config) if config.version > have => break Message::ConfigPush(config),
            config if waited >= LONG_POLL_TIMEOUT => {
                let have = config.map_or(0, |config| config.version);
                break Message::ConfigPull { have };
            }
            _ => {}
        }
        sleep(LONG_POLL_INTERVAL).await;
        waited += LONG_POLL_INTERVAL;
    };
    reply.send(answer).await;
}

/// Returns whether an entry VM may propose a command: only engine orders that it issues itself, and their
/// completion.
fn is_entry_command(command: &Command, from: &vm::Instance) -> bool {
    match command {
        Command::IssueOrder { issuer, .. } => issuer.name == from.name,
        Command::CompleteOrder { .. } => true,
        Command::Apply { .. }
        | Command::SetOut { .. }
        | Command::Ledger { .. }
        | Command::Publish { .. }
        | Command::Evacuate { .. }
        | Command::Quarantine { .. } => false,
    }
}

/// Periodically sends the other replicas this replica's new contacts with entry VMs.
pub(crate) async fn broadcast_contacts(
    proposer: Proposer,
    contacts: Arc<Contacts>,
    own: SocketAddr,
) {
    loop {
        sleep(CONTACTS_INTERVAL).await;
        let unsent = contacts.take_unsent();
        let view = proposer.shared.view();
        let members = view.members;
        for member in members.list.iter().filter(|member| member.address != own) {
            let message = consensus::Message {
                deployment: members.deployment,
                from: view.id,
                to: member.id,
                address: own,
                body: Body::EntryContacts(unsent.clone()),
            };
            proposer
                .endpoint
                .send(member.address, Message::Consensus(message));
        }
    }
}

/// Sends the node's messages until the node drops its sender.
pub(crate) async fn send(
    endpoint: Endpoint,
    mut outgoing: mpsc::UnboundedReceiver<(SocketAddr, Message)>,
) {
    while let Some((to, message)) = outgoing.recv().await {
        endpoint.send(to, message);
    }
}
