//! Links to other control VMs.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use primrosepin_core::fleet::Entry;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use crate::message::Message;
use crate::{link, net};

/// Time limit for opening a connection. Consensus repeats its messages, so waiting longer gains nothing.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time to wait for another control VM to acknowledge an announcement before the target's call is
/// answered. The target waits one second for the response.
const RELAY_TIMEOUT: Duration = Duration::from_millis(250);

#[derive(Default)]
struct State {
    links: RefCell<HashMap<SocketAddr, mpsc::Sender<Message>>>,
    /// Relays that await acknowledgement, by sequence number.
    pending_relays: RefCell<HashMap<u64, mpsc::UnboundedSender<()>>>,
    next_relay: Cell<u64>,
}

/// Links to other control VMs, opened on the first message to send.
#[derive(Clone, Default)]
pub(super) struct Peers(Rc<State>);

impl Peers {
    /// Queues a message. It is dropped if the queue is full, the link has ended or the peer is unreachable.
    pub(super) fn send(&self, to: SocketAddr, message: Message) {
        let mut links = self.0.links.borrow_mut();
        if let Some(link) = links.get(&to) {
            match link.try_send(message) {
                Ok(()) | Err(mpsc::error::TrySendError::Full(_)) => return,
                Err(mpsc::error::TrySendError::Closed(_)) => {
                    links.remove(&to);
                    return;
                }
            }
        }
        let (outgoing, queue) = mpsc::channel(link::QUEUE_MESSAGES);
        // Cannot fail: the queue is empty and its receiver exists.
        drop(outgoing.try_send(message));
        links.insert(to, outgoing.clone());
        let state = Rc::clone(&self.0);
        actix_rt::spawn(async move {
            let result = match net::connect(to, CONNECT_TIMEOUT).await {
                Ok(stream) => {
                    link::run(stream, queue, |message| state.handle_message(&message)).await
                }
                Err(error) => Err(error.into()),
            };
            if let Err(error) = result {
                log::debug!("link to {to} ended: {error:#}");
            }
            let mut links = state.links.borrow_mut();
            if links
                .get(&to)
                .is_some_and(|link| link.same_channel(&outgoing))
            {
                links.remove(&to);
            }
        });
    }

    /// Sends an announcement to other control VMs. Returns whether one of them acknowledged it within
    /// [`RELAY_TIMEOUT`].
    pub(super) async fn relay<I>(&self, to: I, entry: &Entry) -> bool
    where
        I: Iterator<Item = SocketAddr>,
    {
        let number = self.0.next_relay.get();
        self.0.next_relay.set(number + 1);
        let (sender, mut acknowledged) = mpsc::unbounded_channel();
        self.0.pending_relays.borrow_mut().insert(number, sender);
        let mut sent = false;
        for address in to {
            sent = true;
            let entry = entry.clone();
            self.send(address, Message::Relay { number, entry });
        }
        let stored = sent
            && matches!(
                timeout(RELAY_TIMEOUT, acknowledged.recv()).await,
                Ok(Some(()))
            );
        self.0.pending_relays.borrow_mut().remove(&number);
        stored
    }
}

impl State {
    fn handle_message(&self, message: &Message) {
        if let Message::RelayAck { number } = message
            && let Some(relay) = self.pending_relays.borrow().get(number)
        {
            // Fails only if the wait has ended.
            let _ = relay.send(());
        }
    }
}

/// Sends the messages of the replicated log to the other replicas until the replica stops.
pub(super) async fn send_log_messages(
    peers: Peers,
    mut outgoing: mpsc::UnboundedReceiver<(SocketAddr, primrosepin_core::message::Message)>,
    ended: oneshot::Sender<()>,
) {
    while let Some((to, message)) = outgoing.recv().await {
        if let primrosepin_core::message::Message::Consensus(message) = message {
            peers.send(to, Message::Consensus(message));
        }
    }
    // Fails only if the process no longer waits for it.
    let _ = ended.send(());
}
