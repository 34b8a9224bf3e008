//! Reducer that takes the serving decisions of one entry VM.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::attempts::{NO_TARGET_RETRY, SHUTDOWN_RETRY};
use super::guard::{Guard, request_parts};
use super::limit::NamedLimits;
use super::load::RELAY_LEASE;
use super::order::Order;
use super::pending::{Pending, choose_service};
use super::planner::{BEACON_INTERVAL, RELAY_INTERVAL, UnconfirmedGrant};
use super::topology::Topology;
use super::{
    Announcement, Config, Directory, Effect, Entry, Event, Freshness, Health, Id, Load, LoadReport,
    LoadTable, Notice, PaceTable, Reason, Refusal, Relayed, Renewal, Request, Retained,
    SlidingWindow, Target,
};
use crate::time::Instant;

/// Shortest interval between load reports about short requests.
const REPORT_INTERVAL: Duration = Duration::from_millis(10);

/// Added to the interval for each recipient, so that the total number of reports grows more slowly than
/// the square of the number of VMs.
const REPORT_INTERVAL_PER_VM: Duration = Duration::from_millis(1);

/// Longest interval between load reports while requests are pending. It makes up for lost
/// datagrams.
const REPORT_REFRESH: Duration = Duration::from_millis(500);

/// Retry hint while no configuration is known or fresh. Control needs about three seconds to serve
/// again after all its processes have ended; a caller that returns sooner is refused again.
const STALE_CONFIG_RETRY: Duration = Duration::from_secs(3);

/// Longest age of the configuration's confirmation with which a route or key is reported as not
/// found. With an older one, the request is refused with [`Reason::StaleConfig`], since the route or
/// key may be missing only here.
const NOT_FOUND_MAX_AGE: Duration = Duration::from_millis(1_500);

/// Settings of the reducer.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this VM.
    pub vm: Arc<str>,
    /// Availability zone of this VM.
    pub zone: Arc<str>,
    /// Retries allowed per request to a service, over all VMs.
    pub retry_ratio: f64,
    /// Retries allowed in addition to the ratio, over all VMs.
    pub retry_slack: f64,
    /// Window in which requests and retries are counted.
    pub retry_window: Duration,
    /// Factor on the request rate that a target in cold start can take.
    pub cold_factor: f64,
    /// Requests per second allowed in addition to that rate.
    pub cold_slack: f64,
    /// Longest age of the configuration's confirmation with which requests that need a key run.
    pub key_max_age: Duration,
}

#[derive(Debug, Clone)]
pub(super) struct RetryWindows {
    pub(super) requests: SlidingWindow,
    pub(super) retries: SlidingWindow,
}

/// Serving decisions of one entry VM.
#[derive(Debug)]
pub struct Reducer {
    pub(super) settings: Settings,
    pub(super) revision: u64,
    pub(super) config: Option<Arc<Config>>,
    pub(super) zones_out: Vec<Arc<str>>,
    pub(super) freshness: Freshness,
    pub(super) directory: Directory,
    pub(super) health: HashMap<Target, Health>,
    /// Requests of the last second to each target in cold start.
    pub(super) cold_windows: HashMap<Target, SlidingWindow>,
    /// Requests and retries in the retry window, by service.
    pub(super) retry_windows: HashMap<Arc<str>, RetryWindows>,
    pub(super) loads: LoadTable,
    /// How much slower than announced targets are.
    pub(super) paces: PaceTable,
    /// Roles of the entry VMs known to run.
    pub(super) topology: Topology,
    /// Time until which VMs that did not answer are not queried.
    pub(super) unresponsive: HashMap<Arc<str>, Instant>,
    /// Planner that was last reported as an effect.
    pub(super) reported_planner: Option<Arc<str>>,
    /// Number of peers' requests so far, the source of their local IDs.
    pub(super) peer_request_count: u64,
    /// Grants that the querying VMs have not confirmed, by the local ID of the request.
    pub(super) grants: BTreeMap<Id, UnconfirmedGrant>,
    pub(super) pending: BTreeMap<Id, Pending>,
    pub(super) guard: Guard,
    /// Limits that targets named.
    pub(super) named_limits: NamedLimits,
    /// Prefixes that targets are assumed to hold.
    pub(super) retained: Retained,
    /// Requests that wait for targets, slots or the end of a cold start.
    pub(super) queue: VecDeque<Id>,
    pub(super) queue_served_at: Instant,
    /// Waiting order of services with priorities.
    pub(super) order: Order,
    /// This VM's share of the free slots that it has not used yet.
    pub(super) slot_share: f64,
    /// When `slot_share` was last updated.
    pub(super) slot_share_at: Instant,
    /// When the last load report was sent; reset to zero to send the next one at once.
    pub(super) reported_at: Instant,
    /// When this VM last passed on the loads of other zones.
    relayed_at: Instant,
    pub(super) report_sequence: u64,
    /// Whether the load has changed since the last report.
    pub(super) report_due: bool,
    pub(super) decayed_at: Instant,
    /// When this VM shuts down.
    pub(super) shutdown_at: Option<Instant>,
    /// Hash of the VM's name, which differs between VMs.
    pub(super) vm_hash: u64,
}

impl Reducer {
    /// Creates a reducer without configuration, targets or peers.
    pub fn new(settings: Settings) -> Self {
        Self {
            vm_hash: xxhash_rust::xxh3::xxh3_64(settings.vm.as_bytes()),
            settings,
            revision: 0,
            config: None,
            zones_out: Vec::new(),
            freshness: Freshness::default(),
            directory: Directory::default(),
            health: HashMap::new(),
            cold_windows: HashMap::new(),
            retry_windows: HashMap::new(),
            loads: LoadTable::default(),
            paces: PaceTable::default(),
            topology: Topology::default(),
            unresponsive: HashMap::new(),
            reported_planner: None,
            peer_request_count: 0,
            grants: BTreeMap::new(),
            pending: BTreeMap::new(),
            guard: Guard::default(),
            named_limits: NamedLimits::default(),
            retained: Retained::default(),
            queue: VecDeque::new(),
            queue_served_at: Instant::default(),
            order: Order::default(),
            slot_share: 0.0,
            slot_share_at: Instant::default(),
            reported_at: Instant::default(),
            relayed_at: Instant::default(),
            report_sequence: 0,
            report_due: false,
            decayed_at: Instant::default(),
            shutdown_at: None,
        }
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Returns the revision in force; zero before the first configuration.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the age of the last confirmation of the configuration; none before the first one.
    pub fn config_age(&self, now: Instant) -> Option<Duration> {
        self.freshness.age(now)
    }

    /// Returns the number of requests that have no final outcome yet.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Returns the directory of targets.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Returns the load of a target, by name.
    pub fn load(&self, name: &str, now: Instant) -> Load {
        self.loads
            .load(xxhash_rust::xxh3::xxh3_64(name.as_bytes()), now)
    }

    /// Returns whether this VM can serve: it has a configuration and usable targets.
    pub fn ready(&self, now: Instant) -> bool {
        self.config.is_some() && self.directory.usable(now) > 0
    }

    /// Records repeated announcements; returns false if the full announcement of a target is needed.
    pub fn renew(&mut self, now: Instant, renewals: &[Renewal]) -> bool {
        let renewed = renewals
            .iter()
            .filter(|renewal| self.directory.renew(now, renewal));
        renewed.count() == renewals.len()
    }

    /// Processes an event and appends its effects.
    pub fn apply(&mut self, now: Instant, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Tick => {
                self.tick(now, effects);
                self.record_long_answers(now, effects);
                self.withdraw_reports(effects);
                self.report_planner_change(now, effects);
                self.repeat_queries(now, effects);
                self.share_retained(now, effects);
            }
            Event::OrderReported { peer, report } => self.merge_order(now, &peer, &report),
            Event::Configured {
                revision,
                config,
                zones_out,
            } => {
                if revision > self.revision {
                    self.revision = revision;
                    self.config = Some(config);
                    self.zones_out = zones_out;
                    self.freshness.apply(revision);
                }
            }
            Event::Confirmed {
                requested_at,
                age,
                revision,
            } => {
                let applied = self.config.as_ref().map_or(0, |_| self.revision);
                self.freshness.confirm(requested_at, age, revision, applied);
            }
            Event::Announced(Entry {
                announcement,
                age_ms,
            }) => self.announced(now, announcement, age_ms),
            Event::ShuttingDown { until } => self.shutdown_at = Some(until),
            Event::Peers(peers) => self.set_peers(&peers),
            Event::LoadReported { peer, report } => {
                self.confirm_grants(&peer, &report.used_grants);
                self.merge_limits(now, &report.limits);
                self.loads.update_peer(now, peer, report);
            }
            Event::PacesReported { peer, paces } => self.paces.merge(now, &peer, &paces),
            Event::PlannerMessage { peer, message } => {
                self.receive_planner_message(now, &peer, message, effects);
            }
            Event::RetainedReported(statements) => self.retained.merge(now, &statements),
            Event::Quarantined(rules) => self.set_quarantine(now, rules, effects),
            Event::Suspected(parts) => self.watch(now, parts, effects),
            Event::Arrived(id, request) => self.arrived(now, id, request, effects),
            Event::LimitNamed(id, rate) => self.record_named_limit(now, id, rate),
            Event::Noticed(id, notice) => self.record_notice(now, id, notice),
            Event::Continued(id, gap) => self.continued(now, id, gap),
            Event::Started(id) => self.started(now, id, effects),
            Event::Ended(id, outcome) => self.ended(now, id, outcome, effects),
        }
        self.serve_queue(now, effects);
        self.report_load(now, effects);
        self.report_paces(now, effects);
        self.report_order(now, effects);
    }

    fn tick(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.expire_peer_requests(now);
        /// Interval and factor with which the health records of targets decay.
        const DECAY_INTERVAL: Duration = Duration::from_secs(1);
        const DECAY_FACTOR: f64 = 0.8;
        if now.since(self.decayed_at) >= DECAY_INTERVAL {
            self.decayed_at = now;
            for health in self.health.values_mut() {
                health.decay(DECAY_FACTOR);
            }
            self.loads.expire(now);
            self.update_paces(now, effects);
            self.unresponsive.retain(|_, until| now < *until);
            self.directory.expire(now);
            self.expire_limits(now);
            let directory = &self.directory;
            self.retained
                .expire(now, |target| directory.by_name_hash(target).is_some());
            self.guard.expire(now);
            self.report_shares(now, effects);
            self.order.expire(now);
        }
    }

    fn announced(&mut self, now: Instant, announcement: Announcement, age_ms: u64) {
        let heard = now - Duration::from_millis(age_ms);
        if announcement.is_withdrawal() {
            self.directory.withdraw(now, &announcement.name);
            return;
        }
        let known = self.directory.id(&announcement.name);
        let started_ms = known
            .and_then(|id| self.directory.get(id))
            .map(|known| known.started_ms);
        let restarted = started_ms.is_some_and(|started_ms| started_ms != announcement.started_ms);
        if let Some(target) = self.directory.announce(heard, announcement)
            && restarted
        {
            self.health.remove(&target);
            if let Some(record) = self.directory.record(target) {
                self.retained.forget(record.name_hash);
            }
        }
    }

    /// Records what the target of a running request says about new work.
    fn record_notice(&mut self, now: Instant, id: Id, notice: Notice) {
        let running = self.pending.get(&id).and_then(|p| p.running.as_ref());
        if let Some(target) = running.map(|running| running.target) {
            self.directory.record_notice(now, target, notice);
        }
    }

    fn arrived(&mut self, now: Instant, id: Id, request: Request, effects: &mut Vec<Effect>) {
        let admitted = self.admit(now, request);
        match admitted {
            Ok(pending) => {
                let window = self.settings.retry_window;
                let windows = self
                    .retry_windows
                    .entry(Arc::clone(&pending.service.name))
                    .or_insert_with(|| RetryWindows {
                        requests: SlidingWindow::new(window),
                        retries: SlidingWindow::new(window),
                    });
                windows.requests.add(now);
                windows.requests.count(now);
                self.pending.insert(id, pending);
                if !self.wait_for_turn(now, id, effects) {
                    self.place(now, id, effects);
                }
            }
            Err(refusal) => {
                effects.push(Effect::Refuse(id, refusal));
            }
        }
    }

    /// Returns why a request would be refused on arrival; `None` if it would be placed or queued.
    pub fn refusal(&self, now: Instant, request: Request) -> Option<Refusal> {
        self.admit(now, request).err()
    }

    fn admit(&self, now: Instant, request: Request) -> Result<Pending, Refusal> {
        let refuse = |reason, retry_after| Refusal {
            reason,
            not_run: true,
            retry_after,
        };
        let stale = refuse(Reason::StaleConfig, Some(STALE_CONFIG_RETRY));
        let config = self.config.as_ref().ok_or(stale)?;
        let is_current = self.freshness.is_fresh(now, NOT_FOUND_MAX_AGE);
        let Some(route) = config.route(&request.host, &request.path) else {
            return Err(if is_current {
                refuse(Reason::NoRoute, None)
            } else {
                stale
            });
        };
        let organisation = if config.needs_key() && !route.public {
            let key = request.key.as_ref();
            let Some(organisation) = key.and_then(|key| config.organisation(key)) else {
                return Err(if is_current {
                    refuse(Reason::BadKey, None)
                } else {
                    stale
                });
            };
            if !self.freshness.is_fresh(now, self.settings.key_max_age) {
                return Err(stale);
            }
            Some(Arc::clone(organisation))
        } else {
            None
        };
        let service = choose_service(route, &request.request_id);
        let no_target = refuse(Reason::NoTarget, Some(NO_TARGET_RETRY));
        let service = service
            .and_then(|name| config.service(name))
            .ok_or(no_target)?;
        let timeout = request.timeout.unwrap_or(route.timeout).min(route.timeout);
        // A prediction of the duration is not enough here: answers take longer than predicted, plain services
        // have none, and the caller can still go to another VM.
        if self.shutdown_at.is_some_and(|until| now + timeout > until) {
            return Err(refuse(Reason::ShuttingDown, Some(SHUTDOWN_RETRY)));
        }
        Ok(Pending {
            whole_request: request_parts(&request, organisation.as_deref()),
            organisation,
            ..Pending::new(
                request,
                Arc::clone(route),
                Arc::clone(service),
                now,
                now + timeout,
            )
        })
    }

    fn report_load(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.relay_loads(now, effects);
        let recipients = Arc::clone(self.topology.recipients());
        let interval = REPORT_INTERVAL + REPORT_INTERVAL_PER_VM * recipients.len() as u32;
        let since = now.since(self.reported_at);
        let is_beacon = self.can_plan() || self.topology.is_relay();
        let repeat = !self.pending.is_empty() && since >= REPORT_REFRESH
            || is_beacon && since >= BEACON_INTERVAL;
        if recipients.is_empty() || !(repeat || self.report_due && since >= interval) {
            return;
        }
        self.report_due = false;
        self.reported_at = now;
        let report = self.load_report(now, None);
        effects.push(Effect::ReportLoad(recipients, report));
    }

    /// Passes on what the VMs of other zones reported, if this VM is the active relay of its zone.
    fn relay_loads(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if !self.topology.is_relay() || now.since(self.relayed_at) < RELAY_INTERVAL {
            return;
        }
        let mut relays = self.topology.zone_relays().iter();
        let active =
            relays.find(|vm| **vm == self.settings.vm || self.loads.age(vm, now) < RELAY_LEASE);
        if active != Some(&self.settings.vm) {
            return;
        }
        self.relayed_at = now;
        let topology = &self.topology;
        let loads = self.loads.sums(now, |vm| topology.is_remote(vm));
        let heard = topology.planners().iter().filter_map(|vm| {
            let age = if *vm == self.settings.vm {
                self.can_plan().then_some(Duration::ZERO)?
            } else {
                self.loads.beacon_age(vm, now)
            };
            let age_ms = u32::try_from(age.as_millis()).ok()?;
            Some((xxhash_rust::xxh3::xxh3_64(vm.as_bytes()), age_ms))
        });
        let relayed = Relayed {
            planners: heard.collect(),
            loads,
        };
        let recipients = Arc::clone(self.topology.zone_peers());
        let report = self.load_report(now, Some(relayed));
        effects.push(Effect::ReportLoad(recipients, report));
    }

    fn load_report(&mut self, now: Instant, relayed: Option<Relayed>) -> LoadReport {
        self.report_sequence += 1;
        let urgent = self
            .pending
            .values()
            .filter_map(|pending| pending.latest_start)
            .min();
        LoadReport {
            sequence: self.report_sequence,
            loads: self.loads.own_loads(now),
            limits: self.named_limits.statements(),
            waiting: self.own_waiting(None) as u16,
            can_plan: self.can_plan(),
            used_grants: self.used_grants(),
            min_slack_ms: urgent.map(|until| until.since(now).as_millis() as u32),
            relayed,
        }
    }
}
