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

/// Time for a new connection. The log's messages are repeated, so a link that takes longer is of no use.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time in which another control VM is to hold an announcement before the target hears that it is taken.
/// A target waits a second for that.
const RELAY_TIMEOUT: Duration = Duration::from_millis(250);

#[derive(Default)]
struct State {
    links: RefCell<HashMap<SocketAddr, mpsc::Sender<Message>>>,
    relays: RefCell<HashMap<u64, mpsc::UnboundedSender<()>>>,
    next: Cell<u64>,
}

/// Links to other control VMs, opened when there is something to send.
#[derive(Clone, Default)]
pub(super) struct Peers(Rc<State>);

impl Peers {
    /// Sends a message; it is lost if the peer cannot be reached, as on a lossy network.
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
        // A new queue has room.
        drop(outgoing.try_send(message));
        links.insert(to, outgoing.clone());
        let state = Rc::clone(&self.0);
        actix_rt::spawn(async move {
            let ended = match net::connect(to, CONNECT_TIMEOUT).await {
                Ok(stream) => link::run(stream, queue, |message| state.take(&message)).await,
                Err(error) => Err(error.into()),
            };
            if let Err(error) = ended {
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

    /// Hands an announcement to other control VMs; returns whether one of them holds it.
    pub(super) async fn relay<I>(&self, to: I, entry: &Entry) -> bool
    where
        I: Iterator<Item = SocketAddr>,
    {
        let number = self.0.next.get();
        self.0.next.set(number + 1);
        let (sender, mut held) = mpsc::unbounded_channel();
        self.0.relays.borrow_mut().insert(number, sender);
        let mut sent = false;
        for address in to {
            sent = true;
            let entry = entry.clone();
            self.send(address, Message::Relay { number, entry });
        }
        let holds = sent && matches!(timeout(RELAY_TIMEOUT, held.recv()).await, Ok(Some(())));
        self.0.relays.borrow_mut().remove(&number);
        holds
    }
}

impl State {
    fn take(&self, message: &Message) {
        if let Message::RelayAck { number } = message
            && let Some(relay) = self.relays.borrow().get(number)
        {
            // Fails only if the wait is over.
            let _ = relay.send(());
        }
    }
}

/// Sends the messages of the replicated log until the replica ends.
pub(super) async fn send_log(
    peers: Peers,
    mut outgoing: mpsc::UnboundedReceiver<(SocketAddr, primrosepin_core::message::Message)>,
    ended: oneshot::Sender<()>,
) {
    while let Some((to, message)) = outgoing.recv().await {
        if let primrosepin_core::message::Message::Consensus(message) = message {
            peers.send(to, Message::Consensus(message));
        }
    }
    // Fails only if the process does not wait for it.
    let _ = ended.send(());
}
