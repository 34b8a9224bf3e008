//! The serving decisions of one entry VM.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::attempts::NO_TARGET_RETRY;
use super::pending::{Pending, choose_service};
use super::planner::{BEACON, Granted};
use super::{
    Announcement, Config, Directory, Effect, Entry, Event, Freshness, Health, Id, Load, LoadReport,
    LoadTable, Reason, Refusal, Request, SlidingWindow, State, Target,
};
use crate::time::Instant;

/// Shortest interval between messages to peers about short requests.
const SHARE_INTERVAL: Duration = Duration::from_millis(10);

/// Added to the interval for each peer, so that the messages of all VMs grow less than their number
/// squared.
const SHARE_PER_PEER: Duration = Duration::from_millis(1);

/// Longest time without a message to peers while there is work: a lost datagram is made up for.
const SHARE_REPEAT: Duration = Duration::from_millis(500);

/// Retry hint while no configuration is known or fresh. Control needs about three seconds to serve again
/// after all its processes have ended; a caller that comes back sooner is refused again.
const UNCERTAIN_RETRY: Duration = Duration::from_secs(3);

/// Longest time without a configuration that is confirmed before a route or key counts as unknown.
const UNKNOWN_BOUND: Duration = Duration::from_millis(1_500);

/// Settings of the decisions.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this VM.
    pub vm: Arc<str>,
    /// Availability zone of this VM.
    pub zone: Arc<str>,
    /// Repeats allowed for each request to a service, over all VMs.
    pub retry_ratio: f64,
    /// Repeats allowed beyond the ratio, over all VMs.
    pub retry_slack: f64,
    /// Window of the repeats.
    pub retry_window: Duration,
    /// Factor on the rate that a target in cold start bears.
    pub cold_factor: f64,
    /// Requests beyond that rate.
    pub cold_slack: f64,
    /// Longest age of a confirmation with which requests that need a key run.
    pub key_max_age: Duration,
}

#[derive(Debug, Clone)]
pub(super) struct Windows {
    pub(super) requests: SlidingWindow,
    pub(super) repeats: SlidingWindow,
}

/// The serving decisions of one entry VM.
#[derive(Debug)]
pub struct Reducer {
    pub(super) settings: Settings,
    pub(super) revision: u64,
    pub(super) config: Option<Arc<Config>>,
    pub(super) zones_out: Vec<Arc<str>>,
    pub(super) freshness: Freshness,
    pub(super) directory: Directory,
    pub(super) health: HashMap<Target, Health>,
    pub(super) cold: HashMap<Target, SlidingWindow>,
    pub(super) windows: HashMap<Arc<str>, Windows>,
    pub(super) tally: LoadTable,
    pub(super) peers: usize,
    /// VMs that may place long prompts of others, in the order in which they do.
    pub(super) standing: Vec<Arc<str>>,
    /// Until when VMs that did not answer are not asked.
    pub(super) silent: HashMap<Arc<str>, Instant>,
    /// Planner that was told last.
    pub(super) followed: Option<Arc<str>>,
    /// Requests of other VMs so far.
    pub(super) next_foreign: u64,
    pub(super) granted: BTreeMap<Id, Granted>,
    pub(super) pending: BTreeMap<Id, Pending>,
    /// Requests in line for a target in cold start.
    pub(super) line: VecDeque<Id>,
    pub(super) line_at: Instant,
    /// This VM's part of the free slots that it has not taken yet.
    pub(super) slots: f64,
    pub(super) slots_at: Instant,
    pub(super) shared_at: Instant,
    pub(super) share_sequence: u64,
    pub(super) share_due: bool,
    pub(super) faded_at: Instant,
    /// When this VM stops.
    pub(super) leaving: Option<Instant>,
    /// Differs from VM to VM.
    pub(super) spread: u64,
}

impl Reducer {
    /// Creates the decisions of a VM that knows nothing yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            spread: xxhash_rust::xxh3::xxh3_64(settings.vm.as_bytes()),
            settings,
            revision: 0,
            config: None,
            zones_out: Vec::new(),
            freshness: Freshness::default(),
            directory: Directory::default(),
            health: HashMap::new(),
            cold: HashMap::new(),
            windows: HashMap::new(),
            tally: LoadTable::default(),
            peers: 1,
            standing: Vec::new(),
            silent: HashMap::new(),
            followed: None,
            next_foreign: 0,
            granted: BTreeMap::new(),
            pending: BTreeMap::new(),
            line: VecDeque::new(),
            line_at: Instant::default(),
            slots: 0.0,
            slots_at: Instant::default(),
            shared_at: Instant::default(),
            share_sequence: 0,
            share_due: false,
            faded_at: Instant::default(),
            leaving: None,
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

    /// Returns the age of the last confirmation of the configuration.
    pub fn config_age(&self, now: Instant) -> Option<Duration> {
        self.freshness.age(now)
    }

    /// Returns the number of requests that have no final outcome yet.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Returns the known targets.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Returns the work at a target, by name.
    pub fn load(&self, name: &str, now: Instant) -> Load {
        self.tally
            .load(xxhash_rust::xxh3::xxh3_64(name.as_bytes()), now)
    }

    /// Returns whether this VM can serve: it knows a configuration and targets.
    pub fn ready(&self, now: Instant) -> bool {
        self.config.is_some() && self.directory.usable(now) > 0
    }

    /// Processes an event and appends its effects.
    pub fn apply(&mut self, now: Instant, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Tick => {
                self.tick(now);
                self.follow_planner(now, effects);
                self.repeat_asks(now, effects);
            }
            Event::Configured {
                revision,
                config,
                zones_out,
            } => {
                if revision > self.revision {
                    self.revision = revision;
                    self.config = Some(config);
                    self.zones_out = zones_out;
                    self.freshness.applied(revision);
                }
            }
            Event::Confirmed {
                asked,
                age,
                revision,
            } => {
                let applied = self.config.as_ref().map_or(0, |_| self.revision);
                self.freshness.confirm(asked, age, revision, applied);
            }
            Event::Announced(Entry {
                announcement,
                age_ms,
            }) => self.announced(now, announcement, age_ms),
            Event::ShuttingDown { until } => self.leaving = Some(until),
            Event::Peers(peers) => self.set_peers(peers),
            Event::LoadReported { peer, report } => {
                self.confirm(&peer, &report.used_grants);
                self.tally.share(now, peer, report);
            }
            Event::PlannerMessage { peer, message } => self.told(now, &peer, message, effects),
            Event::Arrived(id, request) => self.arrived(now, id, request, effects),
            Event::Started(id) => self.started(now, id),
            Event::Ended(id, outcome) => self.ended(now, id, outcome, effects),
        }
        self.serve_line(now, effects);
        self.share(now, effects);
    }

    fn tick(&mut self, now: Instant) {
        self.expire_foreign(now);
        /// Interval and factor with which old marks of targets fade.
        const FADE: Duration = Duration::from_secs(1);
        const FADE_FACTOR: f64 = 0.8;
        if now.since(self.faded_at) >= FADE {
            self.faded_at = now;
            for health in self.health.values_mut() {
                health.fade(FADE_FACTOR);
            }
            self.tally.expire(now);
            self.silent.retain(|_, until| now < *until);
            self.directory.expire(now);
        }
    }

    fn announced(&mut self, now: Instant, announcement: Announcement, age_ms: u64) {
        let heard = now - Duration::from_millis(age_ms);
        if announcement.state == State::Gone && announcement.sequence == 0 {
            self.directory.withdraw(now, &announcement.name);
            return;
        }
        let known = self.directory.id(&announcement.name);
        let born = known
            .and_then(|id| self.directory.get(id))
            .map(|known| known.started_ms);
        let restarted = born.is_some_and(|born| born != announcement.started_ms);
        if let Some(target) = self.directory.announce(heard, announcement)
            && restarted
        {
            self.health.remove(&target);
        }
    }

    fn arrived(&mut self, now: Instant, id: Id, request: Request, effects: &mut Vec<Effect>) {
        let admitted = self.admit(now, request);
        match admitted {
            Ok(pending) => {
                let window = self.settings.retry_window;
                let windows = self
                    .windows
                    .entry(Arc::clone(&pending.service.name))
                    .or_insert_with(|| Windows {
                        requests: SlidingWindow::new(window),
                        repeats: SlidingWindow::new(window),
                    });
                windows.requests.add(now);
                windows.requests.count(now);
                self.pending.insert(id, pending);
                self.place(now, id, effects);
            }
            Err(refusal) => {
                effects.push(Effect::Refuse(id, refusal));
            }
        }
    }

    fn admit(&self, now: Instant, request: Request) -> Result<Pending, Refusal> {
        let refuse = |reason, retry_after| Refusal {
            reason,
            not_run: true,
            retry_after,
        };
        let uncertain = refuse(Reason::StaleConfig, Some(UNCERTAIN_RETRY));
        let config = self.config.as_ref().ok_or(uncertain)?;
        let known = self.freshness.holds(now, UNKNOWN_BOUND);
        let Some(route) = config.route(&request.host, &request.path) else {
            return Err(if known {
                refuse(Reason::NoRoute, None)
            } else {
                uncertain
            });
        };
        let organisation = if config.needs_key() && !route.public {
            let key = request.key.as_ref();
            let Some(organisation) = key.and_then(|key| config.organisation(key)) else {
                return Err(if known {
                    refuse(Reason::BadKey, None)
                } else {
                    uncertain
                });
            };
            if !self.freshness.holds(now, self.settings.key_max_age) {
                return Err(uncertain);
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
        let patience = request.timeout.unwrap_or(route.timeout).min(route.timeout);
        Ok(Pending {
            organisation,
            ..Pending::new(
                request,
                Arc::clone(route),
                Arc::clone(service),
                now,
                now + patience,
            )
        })
    }

    fn share(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let interval = SHARE_INTERVAL + SHARE_PER_PEER * self.peers as u32;
        let since = now.since(self.shared_at);
        let repeat =
            !self.pending.is_empty() && since >= SHARE_REPEAT || self.plans() && since >= BEACON;
        if self.peers <= 1 || !(repeat || self.share_due && since >= interval) {
            return;
        }
        self.share_due = false;
        self.shared_at = now;
        self.share_sequence += 1;
        let urgent = self
            .pending
            .values()
            .filter_map(|pending| pending.urgent_until)
            .min();
        effects.push(Effect::ReportLoad(LoadReport {
            sequence: self.share_sequence,
            loads: self.tally.own_loads(now),
            waiting: self.own_waiting(None) as u16,
            can_plan: self.plans(),
            used_grants: self.used_grants(),
            min_slack_ms: urgent.map(|until| until.since(now).as_millis() as u32),
        }));
    }
}
