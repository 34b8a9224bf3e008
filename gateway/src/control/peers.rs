//! Links to other control VMs.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use super::relay::{Acknowledgement, Relays};
use crate::account::{Account, Kind, Stage};
use crate::message::Message;
use crate::{link, net};

/// Time limit for opening a connection. Consensus repeats its messages, so waiting longer gains nothing.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

struct State {
    links: RefCell<HashMap<SocketAddr, mpsc::Sender<Message>>>,
    relays: Rc<Relays>,
    account: Account,
}

/// Links to other control VMs, opened on the first message to send.
#[derive(Clone)]
pub(super) struct Peers(Rc<State>);

impl Peers {
    /// Creates a set without links. Acknowledgements that arrive on the links go to `relays`.
    pub(super) fn new(relays: Rc<Relays>, account: Account) -> Self {
        Self(Rc::new(State {
            links: RefCell::default(),
            relays,
            account,
        }))
    }

    /// Queues a message, on a new link if there is none. It is dropped if the queue is full or the peer is
    /// unreachable.
    pub(super) fn send(&self, to: SocketAddr, mut message: Message) {
        let mut links = self.0.links.borrow_mut();
        if let Some(link) = links.get(&to) {
            match link.try_send(message) {
                Ok(()) | Err(mpsc::error::TrySendError::Full(_)) => return,
                Err(mpsc::error::TrySendError::Closed(returned)) => message = returned,
            }
        }
        let (outgoing, queue) = mpsc::channel(link::QUEUE_MESSAGES);
        // Cannot fail: the queue is empty and its receiver exists.
        drop(outgoing.try_send(message));
        links.insert(to, outgoing.clone());
        let state = Rc::clone(&self.0);
        actix_rt::spawn(async move {
            let client = state.account.open(Kind::Link);
            client.set_stage(Stage::Busy);
            let result = match net::connect(to, CONNECT_TIMEOUT).await {
                Ok(stream) => {
                    let handle = |message| state.handle_message(&message);
                    link::run(stream, client.share(), queue, handle).await
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
}

impl State {
    fn handle_message(&self, message: &Message) {
        if let Message::RelayAck { number } = message {
            self.relays.acknowledge(*number, Acknowledgement::Control);
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
