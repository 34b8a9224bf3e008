//! The task that owns the serving reducer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use actix_rt::time::interval;
use awc::Client;
use primrosepin_core::ledger::{Answer, Call, Response};
use primrosepin_core::request::{Attempt, Id, Outcome};
use primrosepin_core::serving::effect::{Effect, Notice};
use primrosepin_core::serving::event::Event;
use primrosepin_core::serving::{Counters, MemberView, Reducer, TargetView};
use tokio::sync::{mpsc, oneshot};
use tokio::time::MissedTickBehavior;

use crate::node::Node;
use crate::response::Completion;
use crate::{attempt, control, engine, handover, reconcile};

/// Interval of the reducer's tick events.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of targets whose idle connections are kept; a zone has about 309 targets at the
/// design size.
const CLIENTS_MAX: usize = 1_024;

/// Maximum number of responses that wait to be recorded by the ledger. At 64 KiB each they take up
/// to 64 MiB.
const UNRECORDED_MAX: usize = 1_024;

/// Maximum number of events taken from the queue in one batch.
const BATCH_EVENTS: usize = 256;

/// Owns the reducer, applies events to it and executes its effects.
pub(crate) struct Driver {
    node: Rc<Node>,
    reducer: Reducer,
    /// HTTP client of each target, which holds the target's idle connections.
    clients: HashMap<SocketAddr, Client>,
    attempts: HashMap<Attempt, JoinHandle<()>>,
    /// Responses that the ledger has not confirmed yet, kept for retries of the ledger call; `None` if
    /// there is no response to record.
    unrecorded: HashMap<Id, Option<Response>>,
}

/// Snapshot of the reducer's state for operators.
#[derive(Debug)]
pub(crate) struct Snapshot {
    pub(crate) counters: Counters,
    pub(crate) targets: Vec<TargetView>,
    pub(crate) members: Vec<MemberView>,
    /// Epoch of the zone lease, if this process holds it.
    pub(crate) epoch: Option<u64>,
    pub(crate) live: usize,
    pub(crate) waiting: usize,
}

/// Request for a snapshot; the driver sends the snapshot on the channel.
pub(crate) type Query = oneshot::Sender<Snapshot>;

impl Driver {
    pub(crate) fn new(node: Rc<Node>, reducer: Reducer) -> Self {
        Self {
            node,
            reducer,
            clients: HashMap::new(),
            attempts: HashMap::new(),
            unrecorded: HashMap::new(),
        }
    }

    /// Runs until all event senders have been dropped.
    pub(crate) async fn run(
        mut self,
        mut event_receiver: mpsc::UnboundedReceiver<Event>,
        mut queries: mpsc::Receiver<Query>,
    ) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut events = Vec::with_capacity(BATCH_EVENTS);
        let mut effects = Vec::new();
        loop {
            tokio::select! {
                count = event_receiver.recv_many(&mut events, BATCH_EVENTS) => if count == 0 {
                    return;
                },
                _ = ticks.tick() => events.push(Event::Tick),
                Some(query) = queries.recv() => {
                    // Fails only if the operator's connection has been closed.
                    let _ = query.send(self.snapshot());
                }
            }
            for event in events.drain(..) {
                match &event {
                    Event::Ended { attempt, .. } => {
                        self.attempts.remove(attempt);
                    }
                    Event::Ledger {
                        request,
                        answer: Answer::Recorded,
                    } => {
                        self.unrecorded.remove(request);
                    }
                    _ => {}
                }
                self.trim_unrecorded();
                self.reducer.apply(self.node.now(), event, &mut effects);
                for effect in effects.drain(..) {
                    self.execute(effect);
                }
            }
        }
    }

    /// Bounds the responses kept while the ledger is unavailable. Resends of the discarded ones get
    /// no recorded body.
    fn trim_unrecorded(&mut self) {
        if self.unrecorded.len() > UNRECORDED_MAX {
            self.unrecorded.clear();
        }
    }

    /// Returns the HTTP client of a target.
    fn client(&mut self, address: SocketAddr) -> Client {
        if self.clients.len() > CLIENTS_MAX {
            self.clients.clear();
        }
        let client = self.clients.entry(address);
        client.or_insert_with(attempt::shared_client).clone()
    }

    fn snapshot(&self) -> Snapshot {
        Snapshot {
            counters: self.reducer.counters().clone(),
            targets: self.reducer.targets(),
            members: self.reducer.members(),
            epoch: self.reducer.coordinator_epoch(),
            live: self.reducer.live_requests(),
            waiting: self.reducer.waiting_requests(),
        }
    }

    fn execute(&mut self, effect: Effect) {
        let node = &Rc::clone(&self.node);
        match effect {
            Effect::Dispatch(dispatch) => {
                let attempt = dispatch.attempt;
                if let Some(call) = node.call(attempt.request)
                    && !call.dispatched.replace(true)
                {
                    node.metrics.dispatched(&call);
                }
                let client = self.client(dispatch.address);
                let run = attempt::run(Rc::clone(node), client, dispatch);
                self.attempts.insert(attempt, actix_rt::spawn(run));
            }
            Effect::Abort(attempt) => {
                if let Some(task) = self.attempts.remove(&attempt) {
                    // Dropping the response closes the connection to the target.
                    task.abort();
                }
            }
            Effect::Cancel { address, attempt } => {
                node.spawn_background(engine::cancel(self.client(address), address, attempt));
            }
            Effect::Reserve {
                attempt,
                parts,
                lease_ms,
            } => {
                actix_rt::spawn(engine::reserve(
                    Rc::clone(node),
                    attempt::shared_client(),
                    attempt,
                    parts,
                    lease_ms,
                ));
            }
            Effect::ReleaseReservations { attempt, parts } => {
                node.spawn_background(engine::release(attempt::shared_client(), attempt, parts));
            }
            Effect::Respond(refusal) => {
                if let Some(call) = node.call(refusal.request) {
                    call.response.finish(Completion::Refused(refusal));
                }
            }
            Effect::Replay {
                request,
                outcome,
                response,
            } => {
                if let Some(call) = node.call(request) {
                    call.response
                        .finish(Completion::Replayed(outcome, response));
                }
            }
            Effect::Complete(request) => {
                if let Some(call) = node.call(request) {
                    call.response.finish(Completion::Answered);
                }
            }
            Effect::HandOver { request, address } => {
                actix_rt::spawn(handover::run(Rc::clone(node), request, address));
            }
            Effect::Ledger { request, mut call } => {
                // The reducer does not see bodies, so fields that depend on them are filled in
                // here.
                let served = node.call(request);
                match &mut call {
                    Call::Begin { content_hash, .. } => {
                        *content_hash = served.map_or(0, |served| served.content_hash);
                    }
                    Call::Finish {
                        outcome: Outcome::Answered,
                        response,
                        ..
                    } => {
                        let record = || served.and_then(|served| served.record());
                        let record = self.unrecorded.entry(request).or_insert_with(record);
                        response.clone_from(record);
                    }
                    Call::Finish { .. } => {}
                }
                node.spawn_background(control::call_ledger(Rc::clone(node), request, call));
            }
            Effect::Probe { target, address } => {
                // One connection is unresponsive, so the target's idle connections may be as well.
                // They are closed; running attempts keep theirs.
                self.clients.remove(&address);
                actix_rt::spawn(engine::probe(Rc::clone(node), target, address));
            }
            Effect::Reconcile { address, live, .. } => {
                actix_rt::spawn(reconcile::run(self.client(address), address, live));
            }
            Effect::Send { to, message, .. } => {
                node.endpoint.send(to, message);
            }
            Effect::InForce(config) => {
                log::info!("configuration version {} is now in force", config.version);
                node.set_config(config);
            }
            Effect::Ready(ready) => {
                log::info!("readiness changed: ready={ready}");
                node.ready.set(ready);
            }
            Effect::Notice(notice) => log_notice(&notice),
        }
    }
}

fn log_notice(notice: &Notice) {
    match notice {
        Notice::TargetJoined(target) => log::info!("target {target} joined the zone"),
        Notice::TargetLost(target) => {
            log::warn!("target {target} lost: its announcement lease expired");
        }
        Notice::TargetCold(target) => log::warn!("target {target} is now cold"),
        Notice::TargetWarm(target) => log::info!("target {target} is now warm"),
        Notice::TargetConflict(target) => {
            log::error!("target {target} is announced from two addresses");
        }
        Notice::MemberJoined(member) => log::info!("entry VM {member} joined the zone"),
        Notice::MemberLost(member) => {
            log::warn!("entry VM {member} lost: it stopped sending heartbeats or restarted");
        }
        Notice::CoordinatorGained(epoch) => {
            log::info!("became coordinator of the zone in epoch {epoch}");
        }
        Notice::QuarantineRules(rules) => {
            log::warn!(rules = rules; "rules on requests that crash targets changed");
        }
        Notice::CoordinatorLost(epoch) => {
            log::warn!("no longer coordinator of the zone in epoch {epoch}");
        }
    }
}
