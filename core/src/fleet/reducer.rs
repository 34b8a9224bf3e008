//! The serving decisions of one entry VM.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::directory::LEASE;
use super::placement::Candidate;
use super::tally::Piece;
use super::{
    Announcement, Budget, Choice, Config, Directory, Dispatch, Effect, Entry, Event, Freshness,
    Health, Id, Load, Organisation, Outcome, Placement, Reason, Refusal, Repeat, Request, Route,
    Service, Share, State, Tally, Target, Tokens,
};
use crate::time::Instant;

/// Shortest interval between messages to peers about short requests.
const SHARE_INTERVAL: Duration = Duration::from_millis(10);

/// Added to the interval for each peer, so that the messages of all VMs grow less than their number
/// squared.
const SHARE_PER_PEER: Duration = Duration::from_millis(1);

/// Longest time without a message to peers while there is work: a lost datagram is made up for.
const SHARE_REPEAT: Duration = Duration::from_millis(500);

/// Connections that may fail before any byte is sent, for one request.
const MAX_UNREACHABLE: u32 = 5;

/// Share of a limit on the whole fleet that the VMs use together; the rest covers VMs that are not
/// known to each other yet.
const BUDGET_SHARE: f64 = 0.8;

/// Pause of a target that has no room.
const FULL_PAUSE: Duration = Duration::from_millis(150);

/// Part of the time left that a prediction may use; a request that needs more is refused at once.
const IN_TIME: f64 = 0.9;

/// Assumed size of a generation that does not tell it.
const DEFAULT_TOKENS: Tokens = Tokens {
    prompt: 4_000,
    answer: 500,
};

/// Pause between events that is on time where the route does not say.
const DEFAULT_GAP: Duration = Duration::from_millis(500);

/// Retry hint while no configuration is known or fresh. Control needs about three seconds to serve again
/// after all its processes have ended; a caller that comes back sooner is refused again.
const UNCERTAIN_RETRY: Duration = Duration::from_secs(3);

/// Retry hint while a service has no target.
const NO_TARGET_RETRY: Duration = Duration::from_millis(300);

/// Longest time without a configuration that is confirmed before a route or key counts as unknown.
const UNKNOWN_BOUND: Duration = Duration::from_millis(1_500);

/// Expected cost of a placement, in relation to the worth of the request, above which a long prompt waits
/// for better targets while it can.
const WAIT_COST: f64 = 0.3;

/// Expected cost of a placement above which it makes more of other requests late than it is worth. A late
/// request alone costs one.
const HARM: f64 = 1.5;

/// Retry hint while the fleet is busy with other long prompts. A burst of them takes seconds to be read.
const BUSY_RETRY: Duration = Duration::from_millis(2_500);

/// Time for which a prompt that could be placed leaves the targets to a more urgent one of a peer.
const DEFER: Duration = Duration::from_millis(80);

/// A late prompt waits for targets that no other needs for one of so many parts of the time after which its
/// caller leaves.
const LATE_WAIT_PART: u32 = 2;

/// Retry hint of a VM that stops: another one takes the request at once.
const LEAVING_RETRY: Duration = Duration::from_millis(50);

/// Part of the time after which its caller leaves for which a short prompt waits for a free slot.
const SHORT_WAIT_PART: f64 = 0.5;

/// Retry hint for short prompts while no slot is free. An answer takes about two seconds.
const FULL_RETRY: Duration = Duration::from_secs(1);

/// Time in which all VMs hear what one of them has sent.
const NEWS: Duration = Duration::from_millis(100);

/// Interval at which requests in line are looked at again.
const LINE_INTERVAL: Duration = Duration::from_millis(20);

/// Part of its time after which a request in line for a target in cold start is refused.
const LINE_PART: u32 = 4;

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
    pub key_bound: Duration,
}

/// Counts of decisions since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests sent to a target, repeats included.
    pub dispatched: u64,
    /// Of these, repeats.
    pub repeated: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Repeats that the budget did not allow.
    pub over_budget: u64,
}

#[derive(Debug, Clone)]
struct Running {
    target: Target,
    sent_at: Instant,
    predicted: Duration,
    started: bool,
}

#[derive(Debug, Clone)]
struct Pending {
    request: Request,
    route: Arc<Route>,
    service: Arc<Service>,
    organisation: Option<Arc<Organisation>>,
    arrived: Instant,
    deadline: Instant,
    attempts: u32,
    unreachable: u32,
    tried: SmallVec<[Target; 4]>,
    /// Whether an earlier attempt may have run.
    may_have_run: bool,
    running: Option<Running>,
    /// Whether it was placed on targets without short prompts.
    exclusive: bool,
    /// Whether it has waited in line.
    queued: bool,
    /// Whether it waits for a slot beside other short prompts.
    short: bool,
    /// Until when it can wait in line and be on time.
    urgent_until: Option<Instant>,
    /// Since when it could be placed but leaves the targets to a more urgent one.
    chance_at: Option<Instant>,
}

#[derive(Debug, Clone)]
struct Windows {
    requests: Budget,
    repeats: Budget,
}

/// The serving decisions of one entry VM.
#[derive(Debug)]
pub struct Reducer {
    settings: Settings,
    revision: u64,
    config: Option<Arc<Config>>,
    zones_out: Vec<Arc<str>>,
    freshness: Freshness,
    directory: Directory,
    health: HashMap<Target, Health>,
    cold: HashMap<Target, Budget>,
    windows: HashMap<Arc<str>, Windows>,
    tally: Tally,
    peers: usize,
    pending: BTreeMap<Id, Pending>,
    /// Requests in line for a target in cold start.
    line: VecDeque<Id>,
    line_at: Instant,
    /// This VM's part of the free slots that it has not taken yet.
    slots: f64,
    slots_at: Instant,
    shared_at: Instant,
    share_sequence: u64,
    share_due: bool,
    faded_at: Instant,
    counters: Counters,
    /// When this VM stops.
    leaving: Option<Instant>,
    /// Differs from VM to VM.
    spread: u64,
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
            tally: Tally::default(),
            peers: 1,
            pending: BTreeMap::new(),
            line: VecDeque::new(),
            line_at: Instant::default(),
            slots: 0.0,
            slots_at: Instant::default(),
            shared_at: Instant::default(),
            share_sequence: 0,
            share_due: false,
            faded_at: Instant::default(),
            counters: Counters::default(),
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

    /// Returns the counts since the start.
    pub fn counters(&self) -> Counters {
        self.counters
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
            Event::Tick => self.tick(now),
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
            Event::Leaving { until } => self.leaving = Some(until),
            Event::Peers(peers) => self.peers = peers.max(1),
            Event::Shared { peer, share } => self.tally.share(now, peer, share),
            Event::Arrived(id, request) => self.arrived(now, id, request, effects),
            Event::Started(id) => self.started(now, id),
            Event::Ended(id, outcome) => self.ended(now, id, outcome, effects),
        }
        self.serve_line(now, effects);
        self.share(now, effects);
    }

    fn tick(&mut self, now: Instant) {
        /// Interval and factor with which old marks of targets fade.
        const FADE: Duration = Duration::from_secs(1);
        const FADE_FACTOR: f64 = 0.8;
        if now.since(self.faded_at) >= FADE {
            self.faded_at = now;
            for health in self.health.values_mut() {
                health.fade(FADE_FACTOR);
            }
            self.tally.expire(now);
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
            .map(|known| known.born_ms);
        let restarted = born.is_some_and(|born| born != announcement.born_ms);
        if let Some(target) = self.directory.announce(heard, announcement)
            && restarted
        {
            self.health.remove(&target);
        }
    }

    fn arrived(&mut self, now: Instant, id: Id, request: Request, effects: &mut Vec<Effect>) {
        self.counters.arrived += 1;
        let admitted = self.admit(now, request);
        match admitted {
            Ok(pending) => {
                let window = self.settings.retry_window;
                let windows = self
                    .windows
                    .entry(Arc::clone(&pending.service.name))
                    .or_insert_with(|| Windows {
                        requests: Budget::new(window),
                        repeats: Budget::new(window),
                    });
                windows.requests.add(now);
                windows.requests.count(now);
                self.pending.insert(id, pending);
                self.place(now, id, effects);
            }
            Err(refusal) => {
                self.counters.refused += 1;
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
        let uncertain = refuse(Reason::Uncertain, Some(UNCERTAIN_RETRY));
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
            if !self.freshness.holds(now, self.settings.key_bound) {
                return Err(uncertain);
            }
            Some(Arc::clone(organisation))
        } else {
            None
        };
        let service = choose_service(route, &request.name);
        let no_target = refuse(Reason::NoTarget, Some(NO_TARGET_RETRY));
        let service = service
            .and_then(|name| config.service(name))
            .ok_or(no_target)?;
        let patience = request.patience.unwrap_or(route.timeout).min(route.timeout);
        Ok(Pending {
            service: Arc::clone(service),
            route: Arc::clone(route),
            organisation,
            arrived: now,
            deadline: now + patience,
            attempts: 0,
            unreachable: 0,
            tried: SmallVec::new(),
            may_have_run: false,
            running: None,
            exclusive: false,
            queued: false,
            short: false,
            urgent_until: None,
            chance_at: None,
            request,
        })
    }

    /// Returns the targets that may run a request.
    fn candidates(&mut self, now: Instant, pending: &Pending) -> Vec<Candidate> {
        let cold_limit = (pending.service.cold_per_s * self.settings.cold_factor
            + self.settings.cold_slack)
            * BUDGET_SHARE
            / self.peers as f64;
        let mut candidates = Vec::new();
        for (target, record) in self.directory.records() {
            let announcement = &record.announcement;
            let out = self.zones_out.contains(&announcement.zone);
            if !record.usable(now)
                || out
                || announcement.service != pending.service.name
                || pending.tried.contains(&target)
            {
                continue;
            }
            let cold = now < record.cold_until;
            if cold
                && let Some(budget) = self.cold.get_mut(&target)
                && (budget.count(now) as f64) >= cold_limit.floor()
            {
                continue;
            }
            let health = self.health.get(&target).copied().unwrap_or_default();
            candidates.push(Candidate {
                target,
                address: announcement.address,
                order: record.order,
                local: announcement.zone == self.settings.zone,
                load: self.tally.load(record.order, now),
                slots: announcement.slots,
                avoided: health.avoided(now) || health.unreachable_since(record.heard),
                cold,
                pace: health.pace(),
                spread: xxhash_rust::xxh3::xxh3_64_with_seed(
                    &record.order.to_le_bytes(),
                    self.spread,
                ),
            });
        }
        candidates
    }

    /// Sends a request to a target, puts it in line, or refuses it.
    fn place(&mut self, now: Instant, id: Id, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get(&id).cloned() else {
            return;
        };
        let left = pending.deadline.since(now);
        if left.is_zero() {
            self.refuse(id, Reason::Late, None, effects);
            return;
        }
        let candidates = self.candidates(now, &pending);
        let placement = Placement {
            objective: pending
                .route
                .objective
                .saturating_sub(now.since(pending.arrived)),
            gap: pending.service.gap.unwrap_or(DEFAULT_GAP),
        };
        let tokens = pending.request.tokens.unwrap_or(DEFAULT_TOKENS);
        let choice = match &pending.service.engine {
            Some(engine) => placement.generation(engine, tokens, &candidates),
            None => Placement::plain(&candidates),
        };
        if let (Some(until), Some(choice)) = (self.leaving, &choice)
            && now + duration(&pending.service, tokens, choice) > until
        {
            self.refuse(id, Reason::Leaving, Some(LEAVING_RETRY), effects);
            return;
        }
        if let (Some(engine), Some(choice)) = (&pending.service.engine, &choice)
            && choice.exclusive
        {
            let slack = placement.slack(engine, tokens, &candidates);
            let late = slack.is_zero();
            if late && !Placement::pays(engine, tokens, choice, &candidates) {
                self.refuse(id, Reason::Busy, Some(BUSY_RETRY), effects);
                return;
            }
            if self.waits(now, id, choice, slack) {
                self.queue(id, effects);
                return;
            }
            if late && choice.cost > HARM {
                self.refuse(id, Reason::Busy, Some(BUSY_RETRY), effects);
                return;
            }
        }
        if let Some(choice) = &choice
            && !choice.exclusive
            && !choice.idle
        {
            let limit = caller_limit(&pending.route).mul_f64(SHORT_WAIT_PART);
            if now.since(pending.arrived) < limit {
                if let Some(pending) = self.pending.get_mut(&id) {
                    pending.short = true;
                }
                self.queue(id, effects);
            } else {
                self.refuse(id, Reason::Busy, Some(FULL_RETRY), effects);
            }
            return;
        }
        if let Some(choice) = &choice
            && !choice.exclusive
            && pending.service.is_engine()
            && !self.take_slot(now, id, &candidates)
        {
            if let Some(pending) = self.pending.get_mut(&id) {
                pending.short = true;
            }
            self.queue(id, effects);
            return;
        }
        match choice {
            Some(choice) if choice.predicted.as_secs_f64() <= left.as_secs_f64() * IN_TIME => {
                self.dispatch(now, id, &choice, tokens, effects);
            }
            Some(choice) => {
                let excess = choice.predicted.saturating_sub(left.mul_f64(IN_TIME));
                self.refuse(id, Reason::Busy, Some(excess), effects);
            }
            // Targets are there, but their memory does not take the prompt.
            None if !candidates.is_empty() => {
                self.refuse(id, Reason::Busy, Some(NO_TARGET_RETRY), effects);
            }
            None if self.in_line(now, &pending) => self.queue(id, effects),
            None => self.refuse(id, Reason::NoTarget, Some(NO_TARGET_RETRY), effects),
        }
    }

    fn own_waiting(&self) -> usize {
        let line = self.line.iter().filter_map(|id| self.pending.get(id));
        line.filter(|pending| pending.short).count()
    }

    /// Takes one of the free slots. While more short prompts wait at all VMs than slots are free, each VM
    /// takes its part of the slots in the time that news of it needs.
    fn take_slot(&mut self, now: Instant, id: Id, candidates: &[Candidate]) -> bool {
        let others = self.own_waiting() - usize::from(self.line.contains(&id));
        let own = others as f64 + 1.0;
        let total = own + f64::from(self.tally.peers_waiting(now));
        let free = |c: &Candidate| c.slots.saturating_sub(u32::from(c.load.running));
        let free: u32 = candidates.iter().filter(|c| !c.avoided).map(free).sum();
        if total <= 1.0 || f64::from(free) >= total {
            return true;
        }
        let passed = now.since(self.slots_at).as_secs_f64() / NEWS.as_secs_f64();
        self.slots_at = now;
        let part = f64::from(free) * own / total;
        self.slots = (self.slots + part * passed).min(part.max(1.0));
        let taken = self.slots >= 1.0;
        if taken {
            self.slots -= 1.0;
        }
        taken
    }

    fn queue(&mut self, id: Id, effects: &mut Vec<Effect>) {
        if !self.line.contains(&id) {
            self.line.push_back(id);
            let pending = self.pending.get_mut(&id);
            if pending.is_some_and(|pending| !std::mem::replace(&mut pending.queued, true)) {
                effects.push(Effect::Queue(id, self.line.len()));
            }
            // Peers with less urgent requests wait for it.
            self.share_due = true;
            self.shared_at = Instant::default();
        }
    }

    /// Decides whether a long prompt waits in line: while it can be on time, for targets that make it so
    /// and for more urgent prompts; afterwards, for targets that no other needs.
    fn waits(&mut self, now: Instant, id: Id, choice: &Choice, slack: Duration) -> bool {
        let Some(pending) = self.pending.get_mut(&id) else {
            return false;
        };
        if slack.is_zero() {
            pending.urgent_until = None;
            let waited = now.since(pending.arrived);
            let end = caller_limit(&pending.route) / LATE_WAIT_PART;
            let wanted = self.tally.peer_waits(now)
                || self
                    .pending
                    .values()
                    .any(|other| other.urgent_until.is_some());
            return waited < end && (wanted || !choice.idle || choice.cost > HARM);
        }
        let until = now + slack;
        pending.urgent_until = Some(until);
        if choice.cost > WAIT_COST || !choice.idle {
            pending.chance_at = None;
            return true;
        }
        let own = self.pending.values().filter_map(|other| other.urgent_until);
        let deferred =
            own.min().is_some_and(|first| first < until) || self.tally.peer_before(until, now);
        let pending = self.pending.get_mut(&id);
        let chance_at = pending.map_or(now, |pending| *pending.chance_at.get_or_insert(now));
        deferred && now.since(chance_at) < DEFER
    }

    /// Returns whether a request may wait for a target in cold start.
    fn in_line(&self, now: Instant, pending: &Pending) -> bool {
        let total = pending.deadline.since(pending.arrived);
        if now.since(pending.arrived) > total / LINE_PART {
            return false;
        }
        self.directory.records().any(|(target, record)| {
            record.usable(now)
                && record.announcement.service == pending.service.name
                && !self.zones_out.contains(&record.announcement.zone)
                && !pending.tried.contains(&target)
        })
    }

    fn serve_line(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if now.since(self.line_at) < LINE_INTERVAL {
            return;
        }
        self.line_at = now;
        // Requests that can still be on time come first. If one short prompt finds no slot, no other does.
        let mut line: Vec<(bool, Instant, Id)> = Vec::with_capacity(self.line.len());
        for id in std::mem::take(&mut self.line) {
            if let Some(pending) = self.pending.get(&id).filter(|p| p.running.is_none()) {
                let due = pending.arrived + pending.route.objective;
                line.push((due < now, due, id));
            }
        }
        line.sort_unstable();
        let mut full: SmallVec<[Arc<str>; 2]> = SmallVec::new();
        for (_, _, id) in line {
            let Some(pending) = self.pending.get(&id) else {
                continue;
            };
            let service = Arc::clone(&pending.service.name);
            let limit = caller_limit(&pending.route).mul_f64(SHORT_WAIT_PART);
            let expired = now.since(pending.arrived) >= limit;
            if full.contains(&service) && pending.short && !expired {
                self.line.push_back(id);
                continue;
            }
            self.place(now, id, effects);
            if self.line.contains(&id) && self.pending.get(&id).is_some_and(|p| p.short) {
                full.push(service);
            }
        }
    }

    fn dispatch(
        &mut self,
        now: Instant,
        id: Id,
        choice: &Choice,
        tokens: Tokens,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.directory.record(choice.target) else {
            return;
        };
        let (order, name) = (record.order, Arc::clone(&record.announcement.name));
        let before = self.tally.load(order, now);
        let (address, cold) = (record.announcement.address, now < record.cold_until);
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        let engine = pending.service.engine.as_ref();
        let read_at = now + choice.predicted;
        let load = Load {
            running: 1,
            exclusive: u16::from(choice.exclusive),
            reading: u16::from(choice.exclusive),
            read_ms: choice.read_ms as u32,
            kv_tokens: engine.map_or(0, |_| (tokens.prompt + tokens.answer) as u32),
            gap_ms: match (choice.exclusive, pending.route.gap) {
                (true, Some(gap)) => gap.as_millis() as u16,
                _ => 0,
            },
        };
        let piece = |load, helps| Piece {
            load,
            helps,
            read_at,
        };
        let held: u64 = choice.helpers.iter().map(|helper| helper.held_tokens).sum();
        let own = Load {
            kv_tokens: load.kv_tokens.saturating_sub(held as u32),
            ..load
        };
        self.tally.add(order, id, piece(own, false));
        for helper in &choice.helpers {
            if let Some(record) = self.directory.record(helper.target) {
                let load = Load {
                    running: 0,
                    exclusive: 0,
                    reading: 1,
                    read_ms: load.read_ms,
                    kv_tokens: helper.held_tokens as u32,
                    gap_ms: 0,
                };
                self.tally
                    .add(record.order, id, piece(load, helper.held_tokens == 0));
            }
        }
        if cold {
            let budget = self.cold.entry(choice.target);
            let budget = budget.or_insert_with(|| Budget::new(Duration::from_secs(1)));
            budget.add(now);
        }
        pending.exclusive = choice.exclusive;
        pending.urgent_until = None;
        pending.attempts += 1;
        pending.tried.push(choice.target);
        pending.running = Some(Running {
            target: choice.target,
            sent_at: now,
            predicted: choice.predicted,
            started: false,
        });
        self.counters.dispatched += 1;
        self.share_due = true;
        if choice.exclusive {
            // Peers must see at once that these targets are taken.
            self.shared_at = Instant::default();
        }
        let rank = pending
            .organisation
            .as_ref()
            .and_then(|organisation| organisation.priority);
        effects.push(Effect::Dispatch(
            id,
            Box::new(Dispatch {
                target: choice.target,
                name,
                address,
                load: before,
                helpers: choice.helpers.clone(),
                organisation: pending.organisation.as_ref().map(|o| Arc::clone(&o.name)),
                priority: rank.unwrap_or(pending.route.priority).min(9),
                reservation: format!(
                    "{}-{}-{}",
                    self.settings.vm, pending.request.name, pending.attempts
                )
                .into(),
                attempt: pending.attempts,
                time_left: pending.deadline.since(now),
                predicted: choice.predicted,
                silence: silence(&pending.route),
                repeat: pending.route.repeat,
                repeatable: pending.route.repeat != Repeat::Once
                    && pending.attempts < pending.route.max_attempts,
                stream: pending.route.stream,
                route: Arc::clone(&pending.route.name),
            }),
        ));
    }

    fn started(&mut self, now: Instant, id: Id) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        let Some(running) = &mut pending.running else {
            return;
        };
        if running.started {
            return;
        }
        running.started = true;
        if pending.service.engine.is_some() {
            let taken = now.since(running.sent_at);
            let health = self.health.entry(running.target).or_default();
            health.first_event(taken, running.predicted);
            self.tally.read(id, now);
            if pending.exclusive {
                self.share_due = true;
                // Peers must see at once that the targets that helped are free.
                self.shared_at = Instant::default();
            }
        }
    }

    fn ended(&mut self, now: Instant, id: Id, outcome: Outcome, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        let running = pending.running.take();
        self.tally.remove(id);
        self.share_due = true;
        let Some(running) = running else {
            self.pending.remove(&id);
            return;
        };
        let health = self.health.entry(running.target).or_default();
        let repeat = pending.route.repeat;
        let again = match outcome {
            Outcome::Served => {
                health.succeed();
                None
            }
            Outcome::Abandoned | Outcome::TimedOut => None,
            Outcome::Unreachable => {
                health.lose(now);
                health.unreachable(now);
                pending.attempts -= 1;
                pending.unreachable += 1;
                Some(pending.unreachable < MAX_UNREACHABLE)
            }
            Outcome::Full => {
                health.pause(now + FULL_PAUSE);
                Some(true)
            }
            Outcome::Moved => {
                // The announced target is not there any more.
                self.directory.suspect(running.target, now - LEASE);
                Some(true)
            }
            Outcome::Error => {
                health.fail();
                pending.may_have_run = true;
                Some(repeat != Repeat::Once)
            }
            Outcome::Broken { delivered } => {
                health.lose(now);
                pending.may_have_run = true;
                Some(match repeat {
                    Repeat::Idempotent => !delivered,
                    Repeat::Resumable => true,
                    Repeat::Once => false,
                })
            }
        };
        let Some(again) = again else {
            self.pending.remove(&id);
            return;
        };
        let sent = outcome != Outcome::Unreachable;
        let attempts_left = pending.attempts < pending.route.max_attempts.max(1);
        let time_left = !pending.deadline.since(now).is_zero();
        let service = Arc::clone(&pending.service.name);
        let reason = if pending.may_have_run {
            Reason::Failed
        } else {
            Reason::NotRun
        };
        if again && attempts_left && time_left && (!sent || self.take_repeat(now, &service)) {
            if sent {
                self.counters.repeated += 1;
            }
            self.place(now, id, effects);
        } else {
            self.refuse(id, reason, Some(NO_TARGET_RETRY), effects);
        }
    }

    /// Takes a repeat from the budget that all VMs share.
    fn take_repeat(&mut self, now: Instant, service: &Arc<str>) -> bool {
        let settings = &self.settings;
        let Some(windows) = self.windows.get_mut(service) else {
            return false;
        };
        let requests = windows.requests.count(now) as f64;
        let limit = (requests * settings.retry_ratio + settings.retry_slack / self.peers as f64)
            * BUDGET_SHARE;
        let taken = windows.repeats.take(now, limit);
        if !taken {
            self.counters.over_budget += 1;
        }
        taken
    }

    fn refuse(
        &mut self,
        id: Id,
        reason: Reason,
        retry_after: Option<Duration>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        let not_run = !pending.may_have_run;
        let reason = if not_run { reason } else { Reason::Failed };
        if not_run {
            self.counters.refused += 1;
        }
        effects.push(Effect::Refuse(
            id,
            Refusal {
                reason,
                not_run,
                retry_after: retry_after.filter(|_| not_run),
            },
        ));
    }

    fn share(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let interval = SHARE_INTERVAL + SHARE_PER_PEER * self.peers as u32;
        let since = now.since(self.shared_at);
        let repeat = !self.pending.is_empty() && since >= SHARE_REPEAT;
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
        effects.push(Effect::Share(Share {
            sequence: self.share_sequence,
            loads: self.tally.own_loads(now),
            waiting: self.own_waiting() as u16,
            urgent_ms: urgent.map(|until| until.since(now).as_millis() as u32),
        }));
    }
}

/// Returns the longest time that a request usually takes: that of an answer with all its tokens.
fn duration(service: &Service, tokens: Tokens, choice: &Choice) -> Duration {
    const SLOWER: f64 = 1.4;
    const PLAIN: Duration = Duration::from_millis(400);
    let Some(engine) = &service.engine else {
        return PLAIN;
    };
    let write_ms = engine.write_ms(tokens.answer, engine.slots, tokens.prompt) * SLOWER;
    choice.predicted + Duration::from_secs_f64(write_ms / 1e3)
}

/// Returns the gap after which callers leave a stream: two seconds, four times the objective or eight times
/// the longest pause, whichever is longest.
fn caller_limit(route: &Route) -> Duration {
    const SHORTEST: Duration = Duration::from_secs(2);
    let gap = route.gap.unwrap_or_default();
    SHORTEST.max(route.objective * 4).max(gap * 8)
}

/// Returns how long a target may be silent. Another target needs the rest before the caller leaves.
fn silence(route: &Route) -> Duration {
    // Most of the shortest limit is needed to tell a silent target from one that reads a long prompt.
    const SHORTEST: Duration = Duration::from_millis(1_700);
    const PART: f64 = 0.6;
    caller_limit(route).mul_f64(PART).max(SHORTEST)
}

/// Chooses a service by the weights of a route; one request always gets the same.
fn choose_service<'r>(route: &'r Route, request: &str) -> Option<&'r Arc<str>> {
    let total: u64 = route
        .split
        .iter()
        .map(|(_, weight)| u64::from(*weight))
        .sum();
    if total == 0 {
        return None;
    }
    let mut point = xxhash_rust::xxh3::xxh3_64(request.as_bytes()) % total;
    for (service, weight) in &route.split {
        let weight = u64::from(*weight);
        if point < weight {
            return Some(service);
        }
        point -= weight;
    }
    None
}
