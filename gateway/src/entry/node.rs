//! The reducer with the ways in and out of it.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;

use primrosepin_core::fleet::{
    Dispatch, Effect, Event, Id, Limits, LoadReport, PlannerDecision, PlannerMessage, Reducer,
    Refusal,
};
use primrosepin_core::time::Instant;
use primrosepin_telemetry::metrics::Metrics;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};

use super::pool::Pool;
use crate::message::{EntryVm, Message};
use crate::metrics;
use crate::protocol::Protocol;
use crate::settings;

/// Life of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd)]
pub(super) enum Phase {
    /// Takes new callers.
    Serving,
    /// Still takes callers, but says that it is not ready and closes connections after answers.
    Leaving,
    /// Closes connections without a request.
    Closing,
}

/// What a request's task is to do next.
#[derive(Debug, Clone)]
pub(super) enum Order {
    /// Send it to a target.
    Dispatch(Box<Dispatch>),
    /// End it.
    Refuse(Refusal),
    /// It waits in a line of this length.
    Queue(usize),
    /// This VM places it, since the planner gives no answer.
    Alone(Arc<str>),
}

/// A link to a control VM.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) outgoing: mpsc::Sender<Message>,
    pub(super) entry_vms: Vec<EntryVm>,
    pub(super) control_vms: Vec<SocketAddr>,
}

/// The state of an entry process.
pub(super) struct Node {
    pub(super) settings: settings::Front,
    pub(super) protocol: Arc<dyn Protocol>,
    pub(super) metrics: Metrics,
    pub(super) instruments: metrics::Entry,
    pub(super) pool: RefCell<Pool>,
    pub(super) phase: watch::Sender<Phase>,
    pub(super) links: RefCell<HashMap<IpAddr, Link>>,
    /// Control VMs that the settings name.
    pub(super) seeds: RefCell<Vec<IpAddr>>,
    reducer: RefCell<Reducer>,
    requests: RefCell<HashMap<Id, mpsc::UnboundedSender<Order>>>,
    next: Cell<u64>,
    /// When the configuration was last fetched.
    pub(super) pulled_at: Cell<Instant>,
    arriving: Cell<usize>,
    peers: RefCell<BTreeSet<EntryVm>>,
    datagrams: UdpSocket,
}

/// Logs a decision on a request of a peer.
fn log_planned(planned: &PlannerDecision) {
    let outcome = if planned.target.is_some() {
        "placed"
    } else {
        "refused"
    };
    log::info!(
        request = &*planned.request_id, asked_by = &*planned.peer,
        target_name = planned.target.as_deref().unwrap_or_default(), helpers = planned.helpers,
        prompt_tokens = planned.prompt_tokens, waited_ms = planned.waited.as_millis() as u64,
        predicted_ms = planned.predicted.as_millis() as u64, line = planned.queue_length;
        "{outcome} for a peer"
    );
}

/// A registered request. Dropping it ends the request for the reducer, if it has not ended.
pub(super) struct Registration {
    pub(super) id: Id,
    node: Rc<Node>,
    orders: mpsc::UnboundedReceiver<Order>,
}

impl Registration {
    /// Waits for the next order.
    pub(super) async fn order(&mut self) -> Option<Order> {
        self.orders.recv().await
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.node.requests.borrow_mut().remove(&self.id);
        self.node.apply(Event::Ended(
            self.id,
            primrosepin_core::fleet::Outcome::CallerGone,
        ));
    }
}

/// Counts a request whose body arrives.
pub(super) struct Arriving(Rc<Node>);

impl Drop for Arriving {
    fn drop(&mut self) {
        self.0.arriving.set(self.0.arriving.get() - 1);
    }
}

impl Node {
    pub(super) fn new(
        settings: settings::Front,
        protocol: Arc<dyn Protocol>,
        metrics: Metrics,
        datagrams: UdpSocket,
    ) -> Self {
        Self {
            reducer: RefCell::new(Reducer::new(settings.decisions.clone())),
            seeds: RefCell::new(settings.common.seeds.clone()),
            settings,
            protocol,
            instruments: metrics::Entry::new(&metrics),
            metrics,
            pool: RefCell::default(),
            phase: watch::Sender::new(Phase::Serving),
            links: RefCell::default(),
            requests: RefCell::default(),
            next: Cell::new(0),
            pulled_at: Cell::default(),
            arriving: Cell::new(0),
            peers: RefCell::default(),
            datagrams,
        }
    }

    /// Registers a new request.
    pub(super) fn register(self: &Rc<Self>) -> Registration {
        let id = Id(self.next.get());
        self.next.set(id.0 + 1);
        let (sender, orders) = mpsc::unbounded_channel();
        self.requests.borrow_mut().insert(id, sender);
        Registration {
            id,
            node: Rc::clone(self),
            orders,
        }
    }

    /// Hands an event to the reducer and carries its effects out.
    pub(super) fn apply(&self, event: Event) {
        let mut effects = Vec::new();
        let now = primrosepin_process::now();
        self.reducer.borrow_mut().apply(now, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Dispatch(id, dispatch) => self.order(id, Order::Dispatch(dispatch)),
                Effect::Refuse(id, refusal) => self.order(id, Order::Refuse(refusal)),
                Effect::Queue(id, length) => self.order(id, Order::Queue(length)),
                Effect::ReportLoad(share) => self.share(share),
                Effect::SendToPeer(peer, note) => self.tell(&peer, note),
                Effect::PlannerTimedOut(id, planner) => self.order(id, Order::Alone(planner)),
                Effect::PlannerDecision(planned) => log_planned(&planned),
                Effect::PlannerChanged(planner) => log::info!(
                    planner = planner.as_deref().unwrap_or(&self.settings.common.vm);
                    "planner of long prompts changed"
                ),
            }
        }
    }

    fn order(&self, id: Id, order: Order) {
        if let Some(request) = self.requests.borrow().get(&id) {
            // Fails only if the task has ended, which ended the request.
            drop(request.send(order));
        }
    }

    fn share(&self, share: LoadReport) {
        let vm = Arc::clone(&self.settings.common.vm);
        let bytes = match (Message::Share { vm, share }).encode() {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("cannot encode a datagram: {error:#}");
                return;
            }
        };
        for peer in self.peers.borrow().iter() {
            if self.datagrams.try_send_to(&bytes, peer.address).is_err() {
                self.instruments.unsent_datagrams.add(1, &[]);
            }
        }
    }

    fn tell(&self, peer: &str, note: PlannerMessage) {
        let peers = self.peers.borrow();
        let Some(peer) = peers.iter().find(|other| *other.vm == *peer) else {
            // It has left; the reducer decides without it when no answer comes.
            self.instruments.unsent_datagrams.add(1, &[]);
            return;
        };
        let vm = Arc::clone(&self.settings.common.vm);
        match (Message::Note { vm, note }).encode() {
            Ok(bytes) => {
                if self.datagrams.try_send_to(&bytes, peer.address).is_err() {
                    self.instruments.unsent_datagrams.add(1, &[]);
                }
            }
            Err(error) => log::error!("cannot encode a datagram: {error:#}"),
        }
    }

    /// Takes datagrams of peers until the socket fails.
    pub(super) async fn receive_shares(&self) {
        let mut bytes = vec![0; 64 * 1024];
        loop {
            let Ok((length, _)) = self.datagrams.recv_from(&mut bytes).await else {
                // An error belongs to a datagram that was sent before.
                continue;
            };
            match Message::decode(&bytes[..length]) {
                Ok(Message::Share { vm, share }) if vm != self.settings.common.vm => {
                    self.apply(Event::LoadReported {
                        peer: vm,
                        report: share,
                    });
                }
                Ok(Message::Note { vm, note }) if vm != self.settings.common.vm => {
                    self.apply(Event::PlannerMessage {
                        peer: vm,
                        message: note,
                    });
                }
                Ok(_) => {}
                Err(error) => log::debug!("datagram refused: {error:#}"),
            }
        }
    }

    /// Takes the union of what the links say of entry VMs.
    pub(super) fn update_peers(&self) {
        let links = self.links.borrow();
        let own = &self.settings.common.vm;
        let mut peers: BTreeSet<EntryVm> = links
            .values()
            .flat_map(|link| link.entry_vms.iter().cloned())
            .collect();
        peers.retain(|peer| peer.vm != *own);
        drop(links);
        // Without a link the last roster stands, so that limits on the whole fleet stay divided.
        if peers.is_empty() || *self.peers.borrow() == peers {
            return;
        }
        let names = peers.iter().map(|peer| Arc::clone(&peer.vm)).collect();
        self.peers.replace(peers);
        self.apply(Event::Peers(names));
    }

    /// Returns the revision in force.
    pub(super) fn revision(&self) -> u64 {
        self.reducer.borrow().revision()
    }

    /// Returns what callers may send.
    pub(super) fn limits(&self) -> Limits {
        let reducer = self.reducer.borrow();
        reducer
            .config()
            .map_or_else(Limits::default, |config| config.limits)
    }

    /// Returns the age of the last confirmation of the configuration, ms; -1 before the first one.
    pub(super) fn config_age_ms(&self) -> i64 {
        let now = primrosepin_process::now();
        let age = self.reducer.borrow().config_age(now);
        age.map_or(-1, |age| age.as_millis() as i64)
    }

    /// Returns whether the process takes new callers.
    pub(super) fn ready(&self) -> bool {
        let now = primrosepin_process::now();
        *self.phase.borrow() == Phase::Serving && self.reducer.borrow().ready(now)
    }

    /// Returns the number of requests that arrive or have no final outcome yet.
    pub(super) fn pending(&self) -> usize {
        self.requests.borrow().len() + self.arriving.get()
    }

    /// Counts a request whose body arrives, until the guard is dropped.
    pub(super) fn arriving(self: &Rc<Self>) -> Arriving {
        self.arriving.set(self.arriving.get() + 1);
        Arriving(Rc::clone(self))
    }

    /// Sets the gauges.
    pub(super) fn refresh(&self) {
        let now = primrosepin_process::now();
        let reducer = self.reducer.borrow();
        self.instruments.pending.record(self.pending() as u64, &[]);
        self.instruments.revision.record(reducer.revision(), &[]);
        let targets = reducer.directory().usable(now) as u64;
        self.instruments.targets.record(targets, &[]);
        self.instruments
            .links
            .record(self.links.borrow().len() as u64, &[]);
    }
}
