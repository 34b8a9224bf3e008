//! State of an entry process: the reducer, and the channels and sockets that connect it to its environment.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;

use primrosepin_core::fleet::{
    Dispatch, Effect, Event, Fetch, Id, Limits, PartId, Peer, PlannerDecision, Reach, Reason,
    Reducer, Refusal, Renewal, Request,
};
use primrosepin_core::quarantine::{ANY_SERVICE, Crash, Rule};
use primrosepin_core::time::Instant;
use primrosepin_telemetry::metrics::Metrics;
use smallvec::SmallVec;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};

use super::pool::Pool;
use crate::account::{Account, Book};
use crate::http::{Connection, Response};
use crate::message::{EntryVm, Message};
use crate::metrics;
use crate::protocol::Protocol;
use crate::settings;

/// Lifecycle phase of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd)]
pub(super) enum Phase {
    /// Accepts requests and reports readiness.
    Serving,
    /// Still accepts requests, but reports that it is not ready and closes connections after a response.
    Draining,
    /// Also closes idle connections.
    Closing,
}

/// Decision of the reducer for the task of a request.
#[derive(Debug, Clone)]
pub(super) enum Decision {
    /// Send the request to a target.
    Dispatch(Box<Dispatch>),
    /// End the request with a refusal.
    Refuse(Refusal),
    /// The request waits in a queue of this length.
    Queue(usize),
    /// The planner, a VM with this name, did not respond in time; this VM places the request itself.
    PlannerTimedOut(Arc<str>),
}

/// An open link to a control VM, with the latest roster received over it.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) outgoing: mpsc::Sender<Message>,
    /// Availability zone of the control VM, once it is known.
    pub(super) zone: Option<Arc<str>>,
    pub(super) entry_vms: Vec<EntryVm>,
    pub(super) control_vms: Vec<SocketAddr>,
}

/// State of an entry process, shared by its tasks.
pub(super) struct Node {
    pub(super) settings: settings::Front,
    pub(super) protocol: Arc<dyn Protocol>,
    pub(super) registry: Metrics,
    pub(super) instruments: metrics::Entry,
    pub(super) pool: RefCell<Pool>,
    /// Memory and descriptors of the process.
    pub(super) account: Account,
    pub(super) phase: watch::Sender<Phase>,
    pub(super) links: RefCell<HashMap<IpAddr, Link>>,
    /// Seed control VMs from the settings.
    pub(super) seeds: RefCell<Vec<IpAddr>>,
    reducer: RefCell<Reducer>,
    requests: RefCell<HashMap<Id, mpsc::UnboundedSender<Decision>>>,
    next_request: Cell<u64>,
    /// Rules on requests, by the control VM that sent them last. They outlive the link, since control may be out of
    /// reach just when targets crash.
    quarantine: RefCell<BTreeMap<IpAddr, Vec<Rule>>>,
    /// Fetches of new configurations from control VMs.
    pub(super) fetch: RefCell<Fetch<IpAddr>>,
    /// When all announcements were last requested from a control VM.
    pub(super) targets_requested_at: Cell<Instant>,
    /// Requests whose first byte was received and whose connection task has not finished serving them.
    active: Cell<usize>,
    /// Paths of this VM to targets.
    pub(super) reach: RefCell<Reach<SocketAddr>>,
    /// Number of tunnels that this VM forwards for others.
    pub(super) tunnels: Cell<usize>,
    /// Number of targets chosen for path checks so far.
    checked_targets: Cell<usize>,
    /// Other entry VMs, by name.
    peers: RefCell<BTreeMap<Arc<str>, EntryVm>>,
    datagrams: UdpSocket,
}

/// Joins parts for logs.
pub(super) fn join<'p, I>(parts: I) -> String
where
    I: IntoIterator<Item = &'p PartId>,
{
    let parts: Vec<String> = parts.into_iter().map(PartId::to_string).collect();
    parts.join(",")
}

/// Logs a decision that this VM took as planner for another entry VM.
fn log_planner_decision(decision: &PlannerDecision) {
    let outcome = if decision.target.is_some() {
        "placed"
    } else {
        "refused"
    };
    log::info!(
        request = &*decision.request_id, asked_by = &*decision.peer,
        target_name = decision.target.as_deref().unwrap_or_default(), helpers = decision.helpers,
        prompt_tokens = decision.prompt_tokens, waited_ms = decision.waited.as_millis() as u64,
        predicted_ms = decision.predicted.as_millis() as u64, line = decision.queue_length;
        "{outcome} a long prompt for another entry VM"
    );
}

/// A request registered with the reducer. Dropping it ends the request as abandoned, if it has not ended.
pub(super) struct Registration {
    pub(super) id: Id,
    node: Rc<Node>,
    decisions: mpsc::UnboundedReceiver<Decision>,
}

impl Registration {
    /// Waits for the reducer's next decision.
    pub(super) async fn decision(&mut self) -> Option<Decision> {
        self.decisions.recv().await
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

/// Marks a request as active until it is dropped.
pub(super) struct ActiveGuard(Rc<Node>);

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get() - 1);
    }
}

impl Node {
    pub(super) fn new(
        settings: settings::Front,
        protocol: Arc<dyn Protocol>,
        registry: Metrics,
        datagrams: UdpSocket,
    ) -> Self {
        let reach = RefCell::new(Reach::new(&settings.common.vm));
        let common = &settings.common;
        let book = Book::entry(common.process, common.clients);
        let account = Account::new(book, common.clients, Some(&registry));
        Self {
            reducer: RefCell::new(Reducer::new(settings.decisions.clone())),
            seeds: RefCell::new(settings.common.seeds.clone()),
            account,
            settings,
            protocol,
            instruments: metrics::Entry::new(&registry),
            registry,
            pool: RefCell::default(),
            phase: watch::Sender::new(Phase::Serving),
            links: RefCell::default(),
            requests: RefCell::default(),
            next_request: Cell::new(0),
            quarantine: RefCell::default(),
            fetch: RefCell::default(),
            targets_requested_at: Cell::default(),
            active: Cell::new(0),
            reach,
            tunnels: Cell::new(0),
            checked_targets: Cell::new(0),
            peers: RefCell::default(),
            datagrams,
        }
    }

    /// Assigns an id to a new request and creates its decision channel.
    pub(super) fn register(self: &Rc<Self>) -> Registration {
        let id = Id(self.next_request.get());
        self.next_request.set(id.0 + 1);
        let (sender, decisions) = mpsc::unbounded_channel();
        self.requests.borrow_mut().insert(id, sender);
        Registration {
            id,
            node: Rc::clone(self),
            decisions,
        }
    }

    /// Applies an event to the reducer and carries out the resulting effects.
    pub(super) fn apply(&self, event: Event) {
        let mut effects = Vec::new();
        let now = primrosepin_process::now();
        self.reducer.borrow_mut().apply(now, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Dispatch(id, dispatch) => {
                    self.send_decision(id, Decision::Dispatch(dispatch));
                }
                Effect::Refuse(id, refusal) => self.send_decision(id, Decision::Refuse(refusal)),
                Effect::Queue(id, length) => self.send_decision(id, Decision::Queue(length)),
                Effect::ReportLoad(recipients, report) => {
                    let vm = Arc::clone(&self.settings.common.vm);
                    self.send_to_peers(&recipients, &Message::LoadReport { vm, report });
                }
                Effect::ReportPaces(recipients, paces) => {
                    self.instruments.sent_paces.add(paces.len() as u64, &[]);
                    let vm = Arc::clone(&self.settings.common.vm);
                    self.send_to_peers(&recipients, &Message::Paces { vm, paces });
                }
                Effect::PaceChanged(target, Some(pace)) => {
                    self.instruments.slowed_targets.add(1, &[]);
                    log::info!(target_name = &*target, pace; "target is slower than its figures");
                }
                Effect::PaceChanged(target, None) => {
                    log::info!(target_name = &*target; "target is back to its pace");
                }
                Effect::ReportOrder(recipients, report) => {
                    self.instruments.order_reports.add(1, &[]);
                    let vm = Arc::clone(&self.settings.common.vm);
                    self.send_to_peers(&recipients, &Message::OrderReport { vm, report });
                }
                Effect::Returned { is_early } => {
                    let when = if is_early { "early" } else { "as_told" };
                    let when = metrics::label("when", when);
                    self.instruments.returns.add(1, &[when]);
                }
                Effect::ShareChanged {
                    organisation,
                    ratio,
                    exceeds,
                } => {
                    let change = if exceeds {
                        "an organisation uses more than its share of the engines"
                    } else {
                        "an organisation no longer uses more than its share of the engines"
                    };
                    log::info!(organisation = &*organisation, ratio = ratio; "{change}");
                    if exceeds {
                        self.instruments.exceeded_shares.add(1, &[]);
                    }
                }
                Effect::ReportCrashes(crashes) => {
                    for crash in &crashes {
                        log::info!(
                            process = format!("{:x}", crash.process),
                            parts = join(crash.prompts.iter().flatten()),
                            whole_request = crash.service == ANY_SERVICE;
                            "reporting a target that ended before it answered"
                        );
                    }
                    self.instruments.crashes.add(1, &[]);
                    self.send_to_control(&Message::Crashes(crashes));
                }
                Effect::WithdrawCrashes(processes) => {
                    for process in &processes {
                        log::info!(
                            process = format!("{process:x}");
                            "withdrawing a report: the target announces itself and has not ended"
                        );
                    }
                    self.send_to_control(&Message::Alive(processes));
                }
                Effect::ReportAnswered(parts) => self.send_to_control(&Message::Answered(parts)),
                Effect::SendToPeer(peer, message) => {
                    let vm = Arc::clone(&self.settings.common.vm);
                    self.send_to_peer(&peer, &Message::Planner { vm, message });
                }
                Effect::ShareRetained(peer, statements) => {
                    self.send_to_peer(&peer, &Message::Retained(statements));
                }
                Effect::PlannerTimedOut(id, planner) => {
                    self.send_decision(id, Decision::PlannerTimedOut(planner));
                }
                Effect::PrefixMissed(_, target, late) => {
                    log::info!(
                        target_name = &*target, late_ms = late.as_millis() as u64;
                        "target did not hold the beginning of a prompt as assumed"
                    );
                    self.instruments.prefix_misses.add(1, &[]);
                }
                Effect::PlannerDecision(decision) => log_planner_decision(&decision),
                Effect::PlannerChanged(planner) => log::info!(
                    planner = planner.as_deref().unwrap_or(&self.settings.common.vm);
                    "planner for long prompts changed"
                ),
            }
        }
    }

    /// Returns the crashes to report on a link that was just opened.
    pub(super) fn recent_crashes(&self) -> Vec<Crash> {
        let now = primrosepin_process::now();
        self.reducer.borrow().recent_crashes(now)
    }

    fn send_to_control(&self, message: &Message) {
        for link in self.links.borrow().values() {
            if link.outgoing.try_send(message.clone()).is_err() {
                log::warn!("a report to a control VM is dropped: its link is stalled");
            }
        }
    }

    /// Replaces the rules that a control VM sent; the rules of all control VMs are in force.
    pub(super) fn set_quarantine(&self, control: IpAddr, rules: Vec<Rule>) {
        let mut by_control = self.quarantine.borrow_mut();
        let before: BTreeSet<Rule> = by_control.values().flatten().cloned().collect();
        by_control.insert(control, rules);
        let links = self.links.borrow();
        if links.len() > 1 {
            by_control.retain(|ip, _| links.contains_key(ip));
        }
        drop(links);
        let rules: BTreeSet<Rule> = by_control.values().flatten().cloned().collect();
        drop(by_control);
        if rules == before {
            return;
        }
        for rule in &rules {
            log::warn!(
                control = control.to_string(), parts = join(&rule.parts),
                whole_request = rule.service == ANY_SERVICE;
                "requests with all of these parts crash targets and are refused"
            );
        }
        if rules.is_empty() {
            log::info!(control = control.to_string(); "no requests are refused as crashing any more");
        }
        self.instruments
            .quarantine_rules
            .record(rules.len() as u64, &[]);
        self.apply(Event::Quarantined(rules.into_iter().collect()));
    }

    /// Records repeated announcements; returns false if the full announcement of a target is needed.
    pub(super) fn renew(&self, renewals: &[Renewal]) -> bool {
        let now = primrosepin_process::now();
        self.reducer.borrow_mut().renew(now, renewals)
    }

    /// Returns whether a request at a target that makes no progress can start at another one at once.
    pub(super) fn can_relocate(&self, id: Id) -> bool {
        let now = primrosepin_process::now();
        self.reducer.borrow_mut().can_relocate(now, id)
    }

    /// Returns whether a request may be sent to its target once more, after its pooled connection closed.
    pub(super) fn take_resend(&self, id: Id) -> bool {
        let now = primrosepin_process::now();
        self.reducer.borrow_mut().take_resend(now, id)
    }

    /// Returns whether a target takes new work from this VM.
    pub(super) fn is_usable(&self, target: &str) -> bool {
        let now = primrosepin_process::now();
        self.reducer.borrow().directory().is_usable(now, target)
    }

    /// Returns whether the target of a running request has named a limit.
    pub(super) fn is_limited(&self, id: Id) -> bool {
        self.reducer.borrow().is_limited(id)
    }

    /// Records that this VM connected to a target.
    pub(super) fn record_connection(&self, target: SocketAddr) {
        let now = primrosepin_process::now();
        if self.reach.borrow_mut().record_connected(now, target) {
            log::info!(target_address = target.to_string(); "path to targets is back");
        }
    }

    /// Records that a connection to a target failed, or is not established in time.
    pub(super) fn record_failed_connection(&self, target: SocketAddr) {
        let now = primrosepin_process::now();
        self.reach.borrow_mut().record_failed(now, target);
    }

    /// Records that another entry VM connected this one to a target.
    pub(super) fn record_tunnel(&self, target: SocketAddr, helper: &Arc<str>) {
        let now = primrosepin_process::now();
        if self.reach.borrow_mut().record_tunnel(now, target, helper) {
            log::warn!(
                target_address = target.to_string();
                "path to targets is lost; connecting through other entry VMs"
            );
            // Open connections may hang.
            self.pool.borrow_mut().clear_all();
        }
    }

    /// Records that neither this VM nor others can connect to a target.
    pub(super) fn record_no_path(&self, target: SocketAddr) {
        let now = primrosepin_process::now();
        if self.reach.borrow_mut().record_no_path(now, target) {
            log::warn!(
                target_address = target.to_string();
                "path to targets is lost, and the other entry VMs asked have none"
            );
            self.pool.borrow_mut().clear_all();
        }
    }

    /// Returns other entry VMs to ask for a connection to a target, with their internal addresses.
    pub(super) fn helpers(&self) -> SmallVec<[(Arc<str>, SocketAddr); 4]> {
        let now = primrosepin_process::now();
        let peers = self.peers.borrow();
        let names: Vec<Arc<str>> = peers.keys().cloned().collect();
        let helpers = self.reach.borrow_mut().helpers(now, &names);
        let addressed = helpers.into_iter().filter_map(|vm| {
            let address = peers.get(&vm)?.address;
            Some((vm, address))
        });
        addressed.collect()
    }

    /// Returns whether a target has announced this address and not left.
    pub(super) fn is_target(&self, address: SocketAddr) -> bool {
        let reducer = self.reducer.borrow();
        reducer.directory().has_address(address)
    }

    /// Returns the address of a target whose path to check next.
    pub(super) fn next_target(&self) -> Option<SocketAddr> {
        let now = primrosepin_process::now();
        let number = self.checked_targets.get();
        self.checked_targets.set(number.wrapping_add(1));
        let reducer = self.reducer.borrow();
        let usable: Vec<SocketAddr> = reducer.directory().usable_addresses(now).collect();
        (!usable.is_empty()).then(|| usable[number % usable.len()])
    }

    /// Returns a connection to the pool after a complete response, if it can be reused.
    pub(super) fn return_to_pool(
        &self,
        target: &Arc<str>,
        connection: Connection,
        head: &Response,
    ) {
        self.pool.borrow_mut().put(target, connection, head);
    }

    fn send_decision(&self, id: Id, decision: Decision) {
        if let Some(request) = self.requests.borrow().get(&id) {
            // Fails only if the task has ended, and then the request has ended too.
            drop(request.send(decision));
        }
    }

    fn send_to_peers(&self, recipients: &[Arc<str>], message: &Message) {
        let bytes = match message.encode() {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("cannot encode a datagram: {error:#}");
                return;
            }
        };
        let peers = self.peers.borrow();
        for peer in recipients.iter().filter_map(|name| peers.get(name)) {
            if self.datagrams.try_send_to(&bytes, peer.address).is_err() {
                self.instruments.unsent_datagrams.add(1, &[]);
            }
        }
    }

    fn send_to_peer(&self, peer: &str, message: &Message) {
        let peers = self.peers.borrow();
        let Some(peer) = peers.get(peer) else {
            // The peer has left; the reducer decides on its own when its query times out.
            self.instruments.unsent_datagrams.add(1, &[]);
            return;
        };
        match message.encode() {
            Ok(bytes) => {
                if self.datagrams.try_send_to(&bytes, peer.address).is_err() {
                    self.instruments.unsent_datagrams.add(1, &[]);
                }
            }
            Err(error) => log::error!("cannot encode a datagram: {error:#}"),
        }
    }

    /// Receives datagrams from other entry VMs; never returns.
    pub(super) async fn receive_datagrams(&self) {
        let mut bytes = vec![0; 64 * 1024];
        loop {
            let Ok((length, _)) = self.datagrams.recv_from(&mut bytes).await else {
                // Receive errors report the failure of a datagram sent earlier.
                continue;
            };
            match Message::decode(&bytes[..length]) {
                Ok(Message::LoadReport { vm, report }) if vm != self.settings.common.vm => {
                    self.apply(Event::LoadReported { peer: vm, report });
                }
                Ok(Message::Paces { vm, paces }) if vm != self.settings.common.vm => {
                    self.instruments.received_paces.add(paces.len() as u64, &[]);
                    self.apply(Event::PacesReported { peer: vm, paces });
                }
                Ok(Message::OrderReport { vm, report }) if vm != self.settings.common.vm => {
                    self.apply(Event::OrderReported { peer: vm, report });
                }
                Ok(Message::Planner { vm, message }) if vm != self.settings.common.vm => {
                    self.apply(Event::PlannerMessage { peer: vm, message });
                }
                Ok(Message::Retained(statements)) => {
                    self.apply(Event::RetainedReported(statements));
                }
                Ok(_) => {}
                Err(error) => log::debug!("invalid datagram: {error:#}"),
            }
        }
    }

    /// Sets the peers to the union of the entry VMs in the rosters of all links.
    pub(super) fn update_peers(&self) {
        let links = self.links.borrow();
        let own = &self.settings.common.vm;
        let rosters = links.values().flat_map(|link| &link.entry_vms);
        let mut peers: BTreeMap<Arc<str>, EntryVm> = rosters
            .map(|peer| (Arc::clone(&peer.vm), peer.clone()))
            .collect();
        peers.remove(own);
        drop(links);
        // Without a link the last peers are kept, so that fleet-wide limits stay divided among the entry
        // VMs.
        if peers.is_empty() || *self.peers.borrow() == peers {
            return;
        }
        let known = peers.values().map(|peer| Peer {
            vm: Arc::clone(&peer.vm),
            zone: Arc::clone(&peer.zone),
        });
        let known = known.collect();
        self.peers.replace(peers);
        self.apply(Event::Peers(known));
    }

    /// Returns why no route or key allows a request, whatever its body; `None` if one may.
    pub(super) fn refusal_without_body(&self, request: Request) -> Option<Refusal> {
        let now = primrosepin_process::now();
        let refusal = self.reducer.borrow().refusal(now, request)?;
        matches!(refusal.reason, Reason::NoRoute | Reason::BadKey).then_some(refusal)
    }

    /// Returns the revision of the configuration in force.
    pub(super) fn revision(&self) -> u64 {
        self.reducer.borrow().revision()
    }

    /// Returns the limits on callers' requests.
    pub(super) fn limits(&self) -> Limits {
        let reducer = self.reducer.borrow();
        reducer
            .config()
            .map_or_else(Limits::default, |config| config.limits)
    }

    /// Returns the time since the configuration was last confirmed as current, ms; -1 before the first
    /// confirmation.
    pub(super) fn config_age_ms(&self) -> i64 {
        let now = primrosepin_process::now();
        let age = self.reducer.borrow().config_age(now);
        age.map_or(-1, |age| age.as_millis() as i64)
    }

    /// Returns whether the process accepts new callers, as reported to readiness probes.
    pub(super) fn is_ready(&self) -> bool {
        let now = primrosepin_process::now();
        *self.phase.borrow() == Phase::Serving && self.reducer.borrow().ready(now)
    }

    /// Returns the number of requests from their first byte until their response was written. Zero means
    /// that the process has no request left.
    pub(super) fn pending(&self) -> usize {
        self.active.get()
    }

    /// Marks a request as active, from its first byte until its response was written.
    pub(super) fn mark_active(self: &Rc<Self>) -> ActiveGuard {
        self.active.set(self.active.get() + 1);
        ActiveGuard(Rc::clone(self))
    }

    /// Updates the gauges.
    pub(super) fn record_gauges(&self) {
        let now = primrosepin_process::now();
        let reducer = self.reducer.borrow();
        self.instruments.pending.record(self.pending() as u64, &[]);
        self.instruments.revision.record(reducer.revision(), &[]);
        let targets = reducer.directory().usable(now) as u64;
        self.instruments.targets.record(targets, &[]);
        let retained = reducer.retained_prefixes() as u64;
        self.instruments.retained_prefixes.record(retained, &[]);
        self.instruments
            .links
            .record(self.links.borrow().len() as u64, &[]);
    }
}
