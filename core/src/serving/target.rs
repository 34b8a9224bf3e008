//! Targets of the zone as this VM knows them: announcements, leases, load, cold state.
//!
//! Slots are dense, so that a placement decision scans vectors. A slot can be reused after its
//! target is gone; a generation number tells the users of an id apart from later ones.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::membership::Dispatched;
use crate::request::{Attempt, Class};
use crate::target::{Announcement, ColdState, Id, State};
use crate::time::Instant;

/// Validity of an announcement.
pub(super) const LEASE: Duration = Duration::from_secs(3);

/// Age up to which a load report may lack work that was sent before the report arrived.
const REPORT_LAG: Duration = Duration::from_millis(250);

/// Largest number of tokens that is taken from an announcement or a caller.
pub(super) const TOKENS_MAX: u64 = 1 << 40;

/// Largest number of requests that is taken from an announcement.
const REQUESTS_MAX: u32 = 1 << 16;

/// Time for which a reported backlog may explain a late first token.
const PEAK_BACKLOG_RETENTION: Duration = Duration::from_secs(15);

/// First tokens in a row that are late before a target counts as cold.
const LATE_FIRST_TOKENS_MAX: u8 = 3;

/// A target for status and metrics.
#[derive(Debug, Clone, PartialEq)]
pub struct View {
    /// Last announcement.
    pub announcement: Announcement,
    /// Whether the target gets only its cold budget.
    pub cold: bool,
    /// Whether operators took the target out.
    pub out: bool,
    /// Whether a second address announces the same name.
    pub conflict: bool,
    /// Whether the target did not answer a probe since its last sign of life.
    pub unresponsive: bool,
    /// Attempts of this VM that run on the target.
    pub running: u32,
    /// Attempts of the zone's entry VMs that run on the target.
    pub zone_running: u32,
    /// Predicted wait of a new short request before its prefill, microseconds.
    pub wait_us: u64,
}

/// A target of the zone.
#[derive(Debug)]
pub(super) struct Target {
    pub announcement: Announcement,
    /// Tells the users of a reused slot or of a restarted target apart.
    pub generation: u64,
    pub groups: Vec<u32>,
    pub lease_until: Instant,
    /// Whether its announcements may have been queued during a pause of the process, so that their age is
    /// not known. It gets no new work until the next one.
    pub unconfirmed: bool,
    pub out: bool,
    pub conflict: Option<(SocketAddr, Instant)>,
    /// Whether the target gets only its cold budget.
    pub cold: ColdVersion,
    /// Work that this VM sent.
    pub own: Work,
    /// Work that the other entry VMs of the zone sent.
    pub peers: Work,
    /// Prompt tokens before this VM's next dispatch, as of `backlog_at`.
    backlog: f64,
    backlog_at: Instant,
    /// This VM's dispatches that the last load report may lack.
    recent: VecDeque<Recent>,
    /// KV memory of the recent dispatches, tokens.
    recent_kv: u64,
    /// KV memory that each running attempt of this VM needs up to its end, tokens.
    committed_kv: BTreeMap<Attempt, u64>,
    /// Highest backlog reported lately and its time.
    peak_backlog: (u64, Instant),
    /// First tokens in a row that were late.
    late_first_tokens: u8,
    /// Until when the target gets no new work because it did not answer.
    pub unresponsive_until: Option<Instant>,
    /// Cold credits of this VM that were asked for and not granted yet.
    pub pending_credit_requests: u32,
    /// Until when this VM asks for no further cold credit after a denial.
    pub credit_denied_until: Instant,
    /// Whether the target changed since its [`Snapshot`] was made.
    dirty: bool,
}

/// What placement reads of a target, kept small so that a scan stays in the processor's cache.
#[derive(Debug, Clone, Copy)]
pub(super) struct Snapshot {
    /// From when the target gets new work.
    open_from: Instant,
    /// Until when the target gets new work.
    open_until: Instant,
    pub cold: bool,
    /// From when a cold credit may be asked for; none while an ask is unanswered.
    pub credit_request_from: Option<Instant>,
    pub cold_tokens: u64,
    pub slots: u32,
    pub running: u32,
    pub long: u32,
    pub unprefilled_long: bool,
    pub kv_tokens: u64,
    pub kv_used: u64,
    /// Prefill rate, tokens per microsecond.
    rate: f64,
    backlog: f64,
    backlog_at: Instant,
    peers_unreported: f32,
    /// Prompt tokens before their first token, of each class and all higher ones.
    ahead: [f32; 4],
}

impl Snapshot {
    /// A slot without a target.
    const CLOSED: Self = Self {
        open_from: Instant::from_micros(u64::MAX),
        open_until: Instant::from_micros(0),
        cold: false,
        credit_request_from: None,
        cold_tokens: 0,
        slots: 0,
        running: 0,
        long: 0,
        unprefilled_long: false,
        kv_tokens: 0,
        kv_used: 0,
        rate: 0.0,
        backlog: 0.0,
        backlog_at: Instant::from_micros(0),
        peers_unreported: 0.0,
        ahead: [0.0; 4],
    };

    /// Returns whether the target may get new work, apart from its cold state.
    pub fn is_open(&self, now: Instant) -> bool {
        self.open_from <= now && now < self.open_until
    }

    /// Predicts the wait before the prefill of a new request, in microseconds.
    ///
    /// Engines prefill by priority, so that only work of the same or a higher class counts, plus
    /// reported work of which no entry VM knows the class.
    pub fn wait_us(&self, now: Instant, class: Class) -> f64 {
        if self.rate <= 0.0 {
            return 0.0;
        }
        let elapsed_us = now.as_micros().saturating_sub(self.backlog_at.as_micros());
        let drained = elapsed_us as f64 * self.rate;
        let total = (self.backlog - drained).max(0.0) + f64::from(self.peers_unreported);
        let known = f64::from(self.ahead[3]);
        let ahead = f64::from(self.ahead[class as usize]);
        let tokens = if total >= known {
            ahead + (total - known)
        } else {
            ahead * total / known
        };
        tokens / self.rate
    }

    /// Predicts the prefill time of a prompt, in microseconds.
    pub fn prefill_us(&self, tokens: u64) -> f64 {
        if self.rate <= 0.0 {
            0.0
        } else {
            tokens as f64 / self.rate
        }
    }
}

/// Work of entry VMs on one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Work {
    pub running: u32,
    pub long: u32,
    /// Prompt tokens before their first token, by class.
    pub unprefilled: [u64; 4],
    /// Prompt tokens sent since the last load report.
    pub unreported: u64,
    /// KV memory that running attempts need up to their end, tokens.
    pub kv_tokens: u64,
}

/// Bounds the numbers of an announcement, so that sums over all targets cannot overflow.
fn clamp(announcement: &mut Announcement) {
    let load = &mut announcement.load;
    for tokens in [
        &mut announcement.kv_tokens,
        &mut announcement.prefill_tokens_per_s,
        &mut announcement.decode_tokens_per_s,
        &mut announcement.cold_budget.tokens,
        &mut load.prefill_tokens,
        &mut load.kv_tokens_used,
    ] {
        *tokens = (*tokens).min(TOKENS_MAX);
    }
    for requests in [
        &mut announcement.max_running,
        &mut announcement.cold_budget.requests,
        &mut load.running,
        &mut load.waiting,
    ] {
        *requests = (*requests).min(REQUESTS_MAX);
    }
}

impl Work {
    fn add(&mut self, other: &Self) {
        self.running += other.running;
        self.long += other.long;
        self.unreported += other.unreported;
        self.kv_tokens += other.kv_tokens;
        for (sum, tokens) in self.unprefilled.iter_mut().zip(other.unprefilled) {
            *sum += tokens;
        }
    }

    fn subtract(&mut self, other: &Self) {
        self.running = self.running.saturating_sub(other.running);
        self.long = self.long.saturating_sub(other.long);
        self.unreported = self.unreported.saturating_sub(other.unreported);
        self.kv_tokens = self.kv_tokens.saturating_sub(other.kv_tokens);
        for (sum, tokens) in self.unprefilled.iter_mut().zip(other.unprefilled) {
            *sum = sum.saturating_sub(tokens);
        }
    }
}

impl From<&Dispatched> for Work {
    fn from(sent: &Dispatched) -> Self {
        Self {
            running: sent.running,
            long: sent.long,
            unprefilled: sent.unprefilled,
            unreported: sent.tokens,
            kv_tokens: sent.kv_tokens.min(TOKENS_MAX),
        }
    }
}

/// A dispatch that the last load report may lack.
#[derive(Debug)]
struct Recent {
    sent: Instant,
    attempt: Attempt,
    tokens: u64,
    kv_tokens: u64,
}

/// Cold state of one incarnation, agreed on in the zone: the higher turn wins, odd turns are warm.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ColdVersion {
    pub version: u64,
    /// Whether the turn is only derived from the first announcement seen by this process.
    pub assumed: bool,
}

impl ColdVersion {
    pub const fn is_cold(self) -> bool {
        self.version.is_multiple_of(2)
    }
}

/// Targets that serve one service and model.
#[derive(Debug)]
pub(super) struct Group {
    pub service: Arc<str>,
    pub model: Option<Arc<str>>,
    /// Members in the order in which they join the set of long-taking targets. The order depends
    /// on names only, so that all entry VMs agree on the set.
    pub targets: Vec<Id>,
    /// KV memory of the largest target, tokens.
    pub largest_kv_tokens: u64,
    /// Number of targets in the set of long-taking targets.
    pub long_targets: usize,
    /// Since when a smaller set would do.
    pub shrink_since: Option<Instant>,
    /// Target kept free of other work for a long request that has waited long.
    pub reserved: Option<(Id, crate::request::Id)>,
    /// Waiting requests by class.
    pub waiting: [u32; 4],
    /// Prompt tokens of waiting requests by class.
    pub waiting_tokens: [u64; 4],
    /// Time of the last dispatch by class, while others of the class waited.
    pub last_start: [Option<Instant>; 4],
    /// Mean time between dispatches by class while others of the class waited, microseconds.
    pub interval_us: [f64; 4],
    /// Mean time on a target by class, microseconds; zero before the first answer.
    pub service_us: [f64; 4],
    /// Time of the last arrival of a short or medium request.
    pub last_short: Option<Instant>,
    /// Mean number of generated tokens; zero before the first answer.
    pub generated_tokens: f64,
    /// Next position of the rotation, for the baseline policy.
    pub cursor: usize,
}

/// What an announcement changed.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Change {
    /// Nothing; it was stale.
    Stale,
    /// Another address holds the name.
    Conflict {
        /// Whether the conflict was not known yet.
        new: bool,
    },
    /// A target appeared.
    Joined(Id),
    /// The target restarted.
    Restarted(Id),
    /// The target's lease and load were renewed.
    Renewed {
        /// Target.
        id: Id,
        /// State before the announcement.
        before: State,
    },
}

/// The targets of the zone.
#[derive(Debug, Default)]
pub(super) struct Table {
    slots: Vec<Option<Target>>,
    free: Vec<Id>,
    names: BTreeMap<Arc<str>, Id>,
    groups: Vec<Group>,
    generation: u64,
    /// Time before which announcements may have been queued during a pause.
    unconfirmed_until: Instant,
    /// By slot, as of the last [`Table::refresh`].
    snapshots: Vec<Snapshot>,
    dirty: Vec<Id>,
}

impl Table {
    /// Takes an announcement that is valid until `lease_until`.
    pub fn announce(
        &mut self,
        now: Instant,
        mut announcement: Announcement,
        lease_until: Instant,
    ) -> Change {
        clamp(&mut announcement);
        let Some(&id) = self.names.get(&announcement.name) else {
            return Change::Joined(self.insert(now, announcement, lease_until));
        };
        let generation = self.next_generation();
        let confirms = now >= self.unconfirmed_until;
        let Some(target) = self.get_mut(id) else {
            return Change::Stale;
        };
        let known = &target.announcement;
        if announcement.incarnation < known.incarnation {
            return Change::Stale;
        }
        let restarted = announcement.incarnation > known.incarnation;
        if !restarted {
            if announcement.address != known.address {
                let new = target.conflict.is_none();
                target.conflict = Some((announcement.address, now));
                return Change::Conflict { new };
            }
            if announcement.seq <= known.seq {
                return Change::Stale;
            }
        }
        let regroup = announcement.models != known.models
            || announcement.service != known.service
            || announcement.kv_tokens != known.kv_tokens;
        let before = known.state;
        target.announcement = announcement;
        target.lease_until = target.lease_until.max(lease_until);
        target.unconfirmed &= !confirms;
        if restarted {
            target.reset(generation);
            target.cold = ColdVersion {
                version: 0,
                assumed: false,
            };
        }
        target.apply_load_report(now);
        if regroup {
            self.leave_groups(id);
            self.join_groups(id);
        }
        if restarted {
            Change::Restarted(id)
        } else {
            Change::Renewed { id, before }
        }
    }

    fn next_generation(&mut self) -> u64 {
        self.generation += 1;
        self.generation
    }

    fn insert(&mut self, now: Instant, announcement: Announcement, lease_until: Instant) -> Id {
        let name = Arc::clone(&announcement.name);
        let mut target = Target {
            generation: self.next_generation(),
            groups: Vec::new(),
            lease_until,
            unconfirmed: now < self.unconfirmed_until,
            out: false,
            conflict: None,
            cold: ColdVersion {
                version: u64::from(announcement.state != State::Cold),
                assumed: true,
            },
            own: Work::default(),
            peers: Work::default(),
            backlog: 0.0,
            backlog_at: now,
            recent: VecDeque::new(),
            recent_kv: 0,
            committed_kv: BTreeMap::new(),
            peak_backlog: (0, now),
            late_first_tokens: 0,
            unresponsive_until: None,
            pending_credit_requests: 0,
            credit_denied_until: now,
            dirty: false,
            announcement,
        };
        target.apply_load_report(now);
        let id = if let Some(id) = self.free.pop() {
            self.slots[id.0 as usize] = Some(target);
            id
        } else {
            self.slots.push(Some(target));
            self.snapshots.push(Snapshot::CLOSED);
            Id(self.slots.len() as u32 - 1)
        };
        self.mark_dirty(id);
        self.names.insert(name, id);
        self.join_groups(id);
        id
    }

    /// Removes a target whose lease ended.
    pub fn remove(&mut self, id: Id) -> Option<Target> {
        self.leave_groups(id);
        let target = self.slots.get_mut(id.0 as usize)?.take()?;
        self.names.remove(&target.announcement.name);
        self.snapshots[id.0 as usize] = Snapshot::CLOSED;
        self.free.push(id);
        Some(target)
    }

    /// Recalculates the KV memory of a group's largest target; plain services hold anything.
    fn update_largest_kv(&mut self, index: u32) {
        let memory = self.members(index).map(|(_, target)| {
            let tokens = target.announcement.kv_tokens;
            if tokens == 0 { u64::MAX } else { tokens }
        });
        self.groups[index as usize].largest_kv_tokens = memory.max().unwrap_or(0);
    }

    fn leave_groups(&mut self, id: Id) {
        let Some(target) = self.slots[id.0 as usize].as_mut() else {
            return;
        };
        for index in std::mem::take(&mut target.groups) {
            let group = &mut self.groups[index as usize];
            group.targets.retain(|&member| member != id);
            if group.reserved.is_some_and(|(reserved, _)| reserved == id) {
                group.reserved = None;
            }
            self.update_largest_kv(index);
        }
    }

    fn join_groups(&mut self, id: Id) {
        let Some(target) = self.slots[id.0 as usize].as_ref() else {
            return;
        };
        let service = Arc::clone(&target.announcement.service);
        let models = &target.announcement.models;
        let mut keys: Vec<Option<Arc<str>>> = models
            .iter()
            .map(|model| Some(Arc::clone(&model.name)))
            .collect();
        if keys.is_empty() {
            keys.push(None);
        }
        for model in keys {
            let found = self
                .groups
                .iter()
                .position(|group| group.service == service && group.model == model);
            let index = found.unwrap_or_else(|| {
                self.groups.push(Group::new(Arc::clone(&service), model));
                self.groups.len() - 1
            });
            if self.groups[index].targets.contains(&id) {
                continue;
            }
            let mut members = std::mem::take(&mut self.groups[index].targets);
            members.push(id);
            members.sort_by_cached_key(|&member| {
                let name = self.get(member).map(|target| &target.announcement.name);
                name.map(|name| (xxh3_64(name.as_bytes()), Arc::clone(name)))
            });
            self.groups[index].targets = members;
            if let Some(target) = self.slots[id.0 as usize].as_mut() {
                target.groups.push(index as u32);
            }
            self.update_largest_kv(index as u32);
        }
    }

    /// Returns the index of the targets that serve a service and model, and adds an empty group if
    /// there is none.
    pub fn group_or_insert(&mut self, service: &Arc<str>, model: Option<&Arc<str>>) -> u32 {
        if let Some(index) = self.group_index(service, model.map(|name| &**name)) {
            return index;
        }
        self.groups
            .push(Group::new(Arc::clone(service), model.cloned()));
        self.groups.len() as u32 - 1
    }

    /// Returns the index of the targets that serve a service and model.
    pub fn group_index(&self, service: &str, model: Option<&str>) -> Option<u32> {
        let found = self
            .groups
            .iter()
            .position(|group| &*group.service == service && group.model.as_deref() == model)?;
        Some(found as u32)
    }

    /// Returns a group by index.
    pub fn group(&self, index: u32) -> &Group {
        &self.groups[index as usize]
    }

    /// Returns a group by index.
    pub fn group_mut(&mut self, index: u32) -> &mut Group {
        &mut self.groups[index as usize]
    }

    /// Returns all groups.
    pub fn groups(&self) -> &[Group] {
        &self.groups
    }

    /// Iterates over the targets of a group.
    pub fn members(&self, group: u32) -> impl Iterator<Item = (Id, &Target)> {
        let members = &self.groups[group as usize].targets;
        members.iter().filter_map(|&id| Some((id, self.get(id)?)))
    }

    /// Returns a target by id.
    pub fn get(&self, id: Id) -> Option<&Target> {
        self.slots.get(id.0 as usize)?.as_ref()
    }

    /// Returns a target by id, to change it.
    pub fn get_mut(&mut self, id: Id) -> Option<&mut Target> {
        self.mark_dirty(id);
        self.slots.get_mut(id.0 as usize)?.as_mut()
    }

    fn mark_dirty(&mut self, id: Id) {
        if let Some(target) = self.slots.get_mut(id.0 as usize).and_then(Option::as_mut)
            && !target.dirty
        {
            target.dirty = true;
            self.dirty.push(id);
        }
    }

    /// Brings what placement reads up to date.
    pub fn refresh(&mut self) {
        for id in self.dirty.drain(..) {
            if let Some(target) = &mut self.slots[id.0 as usize] {
                target.dirty = false;
                self.snapshots[id.0 as usize] = target.snapshot();
            }
        }
    }

    /// Returns what placement reads of a target, as of the last [`Self::refresh`].
    pub fn snapshot(&self, id: Id) -> &Snapshot {
        &self.snapshots[id.0 as usize]
    }

    /// Returns a target by id, if it is still the one of this generation.
    pub fn get_generation_mut(&mut self, id: Id, generation: u64) -> Option<&mut Target> {
        self.get_mut(id)
            .filter(|target| target.generation == generation)
    }

    /// Returns the id of a name.
    pub fn id(&self, name: &str) -> Option<Id> {
        self.names.get(name).copied()
    }

    /// Returns the number of targets.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Iterates over all targets in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (Id, &Target)> {
        self.slots
            .iter()
            .enumerate()
            .filter_map(|(index, slot)| Some((Id(index as u32), slot.as_ref()?)))
    }

    /// Returns the ids of all targets.
    pub fn ids(&self) -> Vec<Id> {
        self.iter().map(|(id, _)| id).collect()
    }

    /// Doubts all announcements that arrive before `until`: the process was paused, and they may be old.
    pub fn mark_all_unconfirmed(&mut self, until: Instant) {
        self.unconfirmed_until = until;
        for id in self.ids() {
            if let Some(target) = self.get_mut(id) {
                target.unconfirmed = true;
            }
        }
    }

    /// Returns the targets whose lease ended.
    pub fn expired(&self, now: Instant) -> Vec<Id> {
        self.iter()
            .filter(|(_, target)| target.lease_until <= now)
            .map(|(id, _)| id)
            .collect()
    }

    /// Returns the cold states that this process knows for certain.
    pub fn cold_states(&self) -> Vec<ColdState> {
        self.iter()
            .filter(|(_, target)| !target.cold.assumed)
            .map(|(_, target)| ColdState {
                target: Arc::clone(&target.announcement.name),
                incarnation: target.announcement.incarnation,
                version: target.cold.version,
            })
            .collect()
    }

    /// Returns a digest of [`Self::turns`] that does not depend on the order of targets.
    pub fn cold_states_digest(&self) -> u64 {
        self.iter()
            .filter(|(_, target)| !target.cold.assumed)
            .fold(0, |digest, (_, target)| {
                let incarnation = target.announcement.incarnation;
                let state = incarnation.rotate_left(32) ^ target.cold.version;
                let name = target.announcement.name.as_bytes();
                digest ^ xxh3_64_with_seed(name, state)
            })
    }

    /// Replaces what a peer sent to targets; `known` holds what was counted for it before.
    pub fn replace_peer_work(&mut self, known: &mut Vec<(Id, u64, Work)>, sent: &[Dispatched]) {
        for (id, generation, work) in known.drain(..) {
            if let Some(target) = self.get_generation_mut(id, generation) {
                target.peers.subtract(&work);
            }
        }
        for entry in sent {
            let Some(id) = self.id(&entry.target) else {
                continue;
            };
            if let Some(target) = self.get_mut(id) {
                let work = Work::from(entry);
                target.peers.add(&work);
                known.push((id, target.generation, work));
            }
        }
    }
}

impl Group {
    const fn new(service: Arc<str>, model: Option<Arc<str>>) -> Self {
        Self {
            service,
            model,
            targets: Vec::new(),
            largest_kv_tokens: 0,
            long_targets: 1,
            shrink_since: None,
            reserved: None,
            waiting: [0; 4],
            waiting_tokens: [0; 4],
            last_start: [None; 4],
            interval_us: [0.0; 4],
            service_us: [0.0; 4],
            last_short: None,
            generated_tokens: 0.0,
            cursor: 0,
        }
    }
}

impl Target {
    fn reset(&mut self, generation: u64) {
        self.generation = generation;
        self.own = Work::default();
        self.peers = Work::default();
        self.backlog = 0.0;
        self.recent.clear();
        self.recent_kv = 0;
        self.committed_kv.clear();
        self.late_first_tokens = 0;
        self.unresponsive_until = None;
        self.conflict = None;
        self.pending_credit_requests = 0;
    }

    /// Takes the load report of the last announcement.
    fn apply_load_report(&mut self, now: Instant) {
        let since = now - REPORT_LAG;
        while self
            .recent
            .front()
            .is_some_and(|recent| recent.sent < since)
        {
            self.recent.pop_front();
        }
        self.own.unreported = self.recent.iter().map(|recent| recent.tokens).sum();
        self.recent_kv = self.recent.iter().map(|recent| recent.kv_tokens).sum();
        self.backlog = (self.announcement.load.prefill_tokens + self.own.unreported) as f64;
        self.backlog_at = now;
        let reported = self.announcement.load.prefill_tokens;
        if reported >= self.peak_backlog.0
            || now.since(self.peak_backlog.1) > PEAK_BACKLOG_RETENTION
        {
            self.peak_backlog = (reported, now);
        }
    }

    /// Returns the time for the highest backlog reported lately, microseconds.
    pub fn peak_backlog_us(&self, now: Instant) -> u64 {
        if now.since(self.peak_backlog.1) > PEAK_BACKLOG_RETENTION {
            0
        } else {
            self.prefill_us(self.peak_backlog.0) as u64
        }
    }

    fn rate_per_us(&self) -> f64 {
        self.announcement.prefill_tokens_per_s as f64 / 1e6
    }

    fn backlog(&self, now: Instant) -> f64 {
        let elapsed_us = (now.as_micros().saturating_sub(self.backlog_at.as_micros())) as f64;
        (self.backlog - elapsed_us * self.rate_per_us()).max(0.0)
    }

    /// Counts an attempt that is sent now.
    pub fn record_dispatch(
        &mut self,
        now: Instant,
        attempt: Attempt,
        class: Class,
        tokens: u64,
        kv_tokens: u64,
    ) {
        self.backlog = self.backlog(now) + tokens as f64;
        self.backlog_at = now;
        self.own.running += 1;
        self.own.long += u32::from(class >= Class::Long);
        self.own.unprefilled[class as usize] += tokens;
        self.own.unreported += tokens;
        self.own.kv_tokens += kv_tokens;
        self.committed_kv.insert(attempt, kv_tokens);
        self.recent_kv += kv_tokens;
        self.recent.push_back(Recent {
            sent: now,
            attempt,
            tokens,
            kv_tokens,
        });
    }

    /// Counts the first token of an attempt of this VM.
    pub fn record_prefilled(&mut self, attempt: Attempt, class: Class, tokens: u64) {
        let unprefilled = &mut self.own.unprefilled[class as usize];
        *unprefilled = unprefilled.saturating_sub(tokens);
        // An engine that is faster than announced has no more left than what is not prefilled yet.
        let own = self.own.unprefilled.iter().sum::<u64>();
        let peers = self.peers.unprefilled.iter().sum::<u64>();
        let left = (self.backlog - tokens as f64).max((own + peers) as f64);
        self.backlog = self.backlog.min(left);
        for recent in &mut self.recent {
            if recent.attempt == attempt {
                self.own.unreported = self.own.unreported.saturating_sub(recent.tokens);
                recent.tokens = 0;
            }
        }
    }

    /// Counts the end of an attempt of this VM.
    pub fn record_end(&mut self, attempt: Attempt, class: Class) {
        self.own.running = self.own.running.saturating_sub(1);
        let committed = self.committed_kv.remove(&attempt).unwrap_or(0);
        self.own.kv_tokens = self.own.kv_tokens.saturating_sub(committed);
        if class >= Class::Long {
            self.own.long = self.own.long.saturating_sub(1);
        }
        let at = self
            .recent
            .iter()
            .rposition(|recent| recent.attempt == attempt);
        if let Some(recent) = at.and_then(|at| self.recent.remove(at)) {
            self.recent_kv = self.recent_kv.saturating_sub(recent.kv_tokens);
        }
    }

    /// Counts whether a first token was late; returns whether the target counts as cold by now.
    pub const fn count_first_token(&mut self, late: bool) -> bool {
        if late {
            self.late_first_tokens += 1;
        } else {
            self.late_first_tokens = 0;
        }
        if self.late_first_tokens >= LATE_FIRST_TOKENS_MAX {
            self.late_first_tokens = 0;
            return true;
        }
        false
    }

    /// Returns what placement reads of the target.
    pub fn snapshot(&self) -> Snapshot {
        let announcement = &self.announcement;
        let closed = self.out || self.unconfirmed || announcement.state == State::Draining;
        let mut ahead = [0.0; 4];
        let mut sum = 0;
        for (index, ahead) in ahead.iter_mut().enumerate() {
            sum += self.own.unprefilled[index] + self.peers.unprefilled[index];
            *ahead = sum as f32;
        }
        Snapshot {
            open_from: self.unresponsive_until.unwrap_or_default(),
            open_until: if closed {
                Instant::default()
            } else {
                self.lease_until
            },
            cold: self.is_cold(),
            credit_request_from: (self.pending_credit_requests == 0)
                .then_some(self.credit_denied_until),
            cold_tokens: announcement.cold_budget.tokens,
            slots: announcement.max_running,
            running: self.zone_running(),
            long: self.zone_long(),
            unprefilled_long: self.unprefilled_long() > 0,
            kv_tokens: announcement.kv_tokens,
            kv_used: self.kv_used(),
            rate: self.rate_per_us(),
            backlog: self.backlog,
            backlog_at: self.backlog_at,
            peers_unreported: self.peers.unreported as f32,
            ahead,
        }
    }

    /// Returns whether the target may get new work, apart from its cold state.
    pub fn is_open(&self, now: Instant) -> bool {
        self.snapshot().is_open(now)
    }

    /// Predicts the wait before the prefill of a new request, in microseconds.
    pub fn wait_us(&self, now: Instant, class: Class) -> f64 {
        self.snapshot().wait_us(now, class)
    }

    /// Predicts the prefill time of a prompt, in microseconds.
    pub fn prefill_us(&self, tokens: u64) -> f64 {
        self.snapshot().prefill_us(tokens)
    }

    /// Returns whether the target gets only its cold budget.
    pub fn is_cold(&self) -> bool {
        self.announcement.state == State::Cold || self.cold.is_cold()
    }

    /// Returns the running attempts of all entry VMs of the zone.
    pub const fn zone_running(&self) -> u32 {
        self.own.running + self.peers.running
    }

    /// Returns the long attempts of all entry VMs of the zone.
    pub const fn zone_long(&self) -> u32 {
        self.own.long + self.peers.long
    }

    /// Returns the prompt tokens of long requests before their first token.
    pub const fn unprefilled_long(&self) -> u64 {
        self.own.unprefilled[2]
            + self.own.unprefilled[3]
            + self.peers.unprefilled[2]
            + self.peers.unprefilled[3]
    }

    /// Returns the KV memory in use, with dispatches that the report lacks, tokens.
    ///
    /// An engine reports the memory of a long prompt only once it starts it, so the memory that all
    /// running attempts of the zone need is a lower bound.
    pub fn kv_used(&self) -> u64 {
        let reported =
            self.announcement.load.kv_tokens_used + self.recent_kv + self.peers.unreported;
        reported.max(self.own.kv_tokens + self.peers.kv_tokens)
    }

    /// Predicts the time to generate tokens, in microseconds.
    pub fn decode_us(&self, tokens: u64) -> f64 {
        let rate = self.announcement.decode_tokens_per_s;
        if rate == 0 {
            0.0
        } else {
            tokens as f64 * 1e6 / rate as f64
        }
    }

    /// Returns the work of this VM for a heartbeat, if there is any.
    pub fn sent_by_own(&self) -> Option<Dispatched> {
        if self.own == Work::default() {
            return None;
        }
        Some(Dispatched {
            target: Arc::clone(&self.announcement.name),
            running: self.own.running,
            since_seq: self.announcement.seq,
            tokens: self.own.unreported,
            long: self.own.long,
            unprefilled: self.own.unprefilled,
            kv_tokens: self.own.kv_tokens,
        })
    }

    /// Returns the target for status and metrics.
    pub fn view(&self, now: Instant) -> View {
        View {
            announcement: self.announcement.clone(),
            cold: self.is_cold(),
            out: self.out,
            conflict: self.conflict.is_some(),
            unresponsive: self.unresponsive_until.is_some_and(|until| until > now),
            running: self.own.running,
            zone_running: self.zone_running(),
            wait_us: self.wait_us(now, Class::Short) as u64,
        }
    }
}
