//! Targets of the zone as known to this VM: announcements, leases, load and cold state.
//!
//! Targets are stored in dense slots, so that placement scans a vector. A slot is reused after its
//! target is removed; the generation number tells whether an id still refers to the same target.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::membership::Dispatched;
use crate::request::{Attempt, Class};
use crate::target::{Announcement, ColdState, Id, State};
use crate::time::Instant;

/// Validity of a target's announcement.
pub(super) const ANNOUNCEMENT_LEASE: Duration = Duration::from_secs(3);

/// Delay of load reports: work dispatched within this time before a report arrives may be missing
/// from it.
const REPORT_LAG: Duration = Duration::from_millis(250);

/// Limit to which token counts from announcements and callers are clamped.
pub(super) const TOKENS_MAX: u64 = 1 << 40;

/// Limit to which request counts from announcements are clamped.
const REQUESTS_MAX: u32 = 1 << 16;

/// Time for which a reported backlog may account for a late first token.
const PEAK_BACKLOG_RETENTION: Duration = Duration::from_secs(15);

/// Number of consecutive late first tokens from which a target is treated as cold.
const LATE_FIRST_TOKENS_MAX: u8 = 3;

/// State of a target for status and metrics.
#[derive(Debug, Clone, PartialEq)]
pub struct View {
    /// Latest announcement.
    pub announcement: Announcement,
    /// Whether the target is limited to its cold budget.
    pub cold: bool,
    /// Whether operators took the target out of service.
    pub out: bool,
    /// Whether another address announces the same name.
    pub conflict: bool,
    /// Whether the target is suspended because it could not be reached or did not answer a probe.
    pub unresponsive: bool,
    /// Attempts of this VM running on the target.
    pub running: u32,
    /// Attempts of all entry VMs of the zone running on the target.
    pub zone_running: u32,
    /// Predicted wait of a new short request before its prefill starts, microseconds.
    pub wait_us: u64,
}

/// State of a target of the zone.
#[derive(Debug)]
pub(super) struct Target {
    pub announcement: Announcement,
    /// Changes when the slot is reused and when the target restarts.
    pub generation: u64,
    pub groups: Vec<u32>,
    pub lease_until: Instant,
    /// Whether the known announcements may have been queued during a pause of the process, so that
    /// their age is unknown. The target gets no new work until the next announcement.
    pub unconfirmed: bool,
    pub out: bool,
    pub conflict: Option<(SocketAddr, Instant)>,
    /// Cold state agreed on in the zone. A cold target is limited to its cold budget.
    pub cold: ColdVersion,
    /// Work dispatched by this VM.
    pub own: Work,
    /// Work dispatched by the other entry VMs of the zone.
    pub peers: Work,
    /// Prompt tokens ahead of this VM's next dispatch, as of `backlog_at`.
    backlog: f64,
    backlog_at: Instant,
    /// Dispatches of this VM that may be missing from the latest load report.
    recent: VecDeque<Recent>,
    /// KV memory of the dispatches in `recent`, tokens.
    recent_kv: u64,
    /// KV memory that each running attempt of this VM needs at its end, tokens.
    committed_kv: BTreeMap<Attempt, u64>,
    /// Highest recently reported backlog, in tokens, and its time.
    peak_backlog: (u64, Instant),
    /// Number of consecutive late first tokens.
    late_first_tokens: u8,
    /// End of the suspension after a failed connection or probe.
    pub unresponsive_until: Option<Instant>,
    /// Requests of this VM for cold credits that are unanswered.
    pub pending_credit_requests: u32,
    /// Time before which this VM requests no cold credit, after a denial.
    pub credit_denied_until: Instant,
    /// Whether the target has changed since its [`Snapshot`] was taken.
    dirty: bool,
}

/// Copy of the fields of a [`Target`] that placement reads. Kept small so that a scan over all
/// targets stays in the CPU cache.
#[derive(Debug, Clone, Copy)]
pub(super) struct Snapshot {
    /// Start of the time in which the target accepts new work.
    open_from: Instant,
    /// End of the time in which the target accepts new work.
    open_until: Instant,
    pub cold: bool,
    /// Earliest time to request a cold credit; none while a request is unanswered.
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
    /// Prompt tokens not yet prefilled, summed over each class and all shorter ones.
    ahead: [f32; 4],
}

impl Snapshot {
    /// Snapshot of an empty slot.
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

    /// Returns whether the target accepts new work. The cold state is not considered.
    pub fn is_open(&self, now: Instant) -> bool {
        self.open_from <= now && now < self.open_until
    }

    /// Predicts the wait before the prefill of a new request starts, in microseconds.
    ///
    /// Engines prefill by priority, so only work of the same or a shorter class counts, plus
    /// reported work that no entry VM can assign to a class.
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

/// Work dispatched by one or more entry VMs to one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Work {
    pub running: u32,
    pub long: u32,
    /// Prompt tokens of attempts without a first token, by class.
    pub unprefilled: [u64; 4],
    /// Prompt tokens dispatched after the latest load report.
    pub unreported: u64,
    /// KV memory that the running attempts need at their end, tokens.
    pub kv_tokens: u64,
}

/// Clamps the numbers of an announcement, so that sums over all targets cannot overflow.
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

/// A dispatch that may be missing from the latest load report.
#[derive(Debug)]
struct Recent {
    sent: Instant,
    attempt: Attempt,
    tokens: u64,
    kv_tokens: u64,
}

/// Version of the cold state of one incarnation, agreed on in the zone. The higher version wins.
/// Even versions mean cold, odd versions warm.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ColdVersion {
    pub version: u64,
    /// Whether the version was only derived from the first announcement that this process received.
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
    /// Members in the order in which they are added to the long set. The order depends
    /// only on names, so that all entry VMs choose the same set.
    pub targets: Vec<Id>,
    /// KV memory of the largest target, tokens.
    pub largest_kv_tokens: u64,
    /// Number of targets in the long set.
    pub long_targets: usize,
    /// Since when a smaller long set has sufficed.
    pub shrink_since: Option<Instant>,
    /// Target kept free for a long request that has waited too long.
    pub reserved: Option<(Id, crate::request::Id)>,
    /// Waiting requests by class.
    pub waiting: [u32; 4],
    /// Prompt tokens of waiting requests by class.
    pub waiting_tokens: [u64; 4],
    /// Time of the last dispatch by class, if other requests of the class were waiting.
    pub last_start: [Option<Instant>; 4],
    /// Mean time between dispatches by class while other requests of the class were waiting,
    /// microseconds.
    pub interval_us: [f64; 4],
    /// Mean service time on a target by class, microseconds; zero before the first answer.
    pub service_us: [f64; 4],
    /// Arrival time of the last short or medium request.
    pub last_short: Option<Instant>,
    /// Mean number of generated tokens per answer; zero before the first answer.
    pub generated_tokens: f64,
    /// Position of the round-robin baseline policy.
    pub cursor: usize,
}

/// Result of an announcement.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Change {
    /// The announcement was stale and ignored.
    Stale,
    /// Another address uses the name; the announcement was ignored.
    Conflict {
        /// Whether the conflict is new.
        new: bool,
    },
    /// The target is new.
    Joined(Id),
    /// The target restarted.
    Restarted(Id),
    /// The target's lease and load were renewed.
    Renewed {
        /// Target.
        id: Id,
        /// Announced state before this announcement.
        before: State,
    },
}

/// All known targets of the zone and their groups.
#[derive(Debug, Default)]
pub(super) struct Table {
    slots: Vec<Option<Target>>,
    free: Vec<Id>,
    names: BTreeMap<Arc<str>, Id>,
    groups: Vec<Group>,
    generation: u64,
    /// Time until which arriving announcements may have been queued during a pause of the process.
    unconfirmed_until: Instant,
    /// Indexed by slot, as of the last [`Table::refresh`].
    snapshots: Vec<Snapshot>,
    dirty: Vec<Id>,
}

impl Table {
    /// Applies an announcement that is valid until `lease_until`.
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

    /// Removes a target.
    pub fn remove(&mut self, id: Id) -> Option<Target> {
        self.leave_groups(id);
        let target = self.slots.get_mut(id.0 as usize)?.take()?;
        self.names.remove(&target.announcement.name);
        self.snapshots[id.0 as usize] = Snapshot::CLOSED;
        self.free.push(id);
        Some(target)
    }

    /// Recomputes the KV memory of a group's largest target. Plain services have no memory limit.
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

    /// Returns the index of the group that serves a service and model. Adds an empty group if there
    /// is none.
    pub fn group_or_insert(&mut self, service: &Arc<str>, model: Option<&Arc<str>>) -> u32 {
        if let Some(index) = self.group_index(service, model.map(|name| &**name)) {
            return index;
        }
        self.groups
            .push(Group::new(Arc::clone(service), model.cloned()));
        self.groups.len() as u32 - 1
    }

    /// Returns the index of the group that serves a service and model, if there is one.
    pub fn group_index(&self, service: &str, model: Option<&str>) -> Option<u32> {
        let found = self
            .groups
            .iter()
            .position(|group| &*group.service == service && group.model.as_deref() == model)?;
        Some(found as u32)
    }

    pub fn group(&self, index: u32) -> &Group {
        &self.groups[index as usize]
    }

    pub fn group_mut(&mut self, index: u32) -> &mut Group {
        &mut self.groups[index as usize]
    }

    pub fn groups(&self) -> &[Group] {
        &self.groups
    }

    /// Iterates over the targets of a group.
    pub fn members(&self, group: u32) -> impl Iterator<Item = (Id, &Target)> {
        let members = &self.groups[group as usize].targets;
        members.iter().filter_map(|&id| Some((id, self.get(id)?)))
    }

    pub fn get(&self, id: Id) -> Option<&Target> {
        self.slots.get(id.0 as usize)?.as_ref()
    }

    /// Returns a target for modification and marks its snapshot as outdated.
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

    /// Updates the snapshots of targets that changed.
    pub fn refresh(&mut self) {
        for id in self.dirty.drain(..) {
            if let Some(target) = &mut self.slots[id.0 as usize] {
                target.dirty = false;
                self.snapshots[id.0 as usize] = target.snapshot();
            }
        }
    }

    /// Returns the snapshot of a target as of the last [`Self::refresh`].
    pub fn snapshot(&self, id: Id) -> &Snapshot {
        &self.snapshots[id.0 as usize]
    }

    /// Returns a target for modification, if it still has this generation.
    pub fn get_generation_mut(&mut self, id: Id, generation: u64) -> Option<&mut Target> {
        self.get_mut(id)
            .filter(|target| target.generation == generation)
    }

    /// Returns the id of the target with this name.
    pub fn id(&self, name: &str) -> Option<Id> {
        self.names.get(name).copied()
    }

    /// Returns the number of targets.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Iterates over all targets in order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (Id, &Target)> {
        self.slots
            .iter()
            .enumerate()
            .filter_map(|(index, slot)| Some((Id(index as u32), slot.as_ref()?)))
    }

    pub fn ids(&self) -> Vec<Id> {
        self.iter().map(|(id, _)| id).collect()
    }

    /// Marks all known announcements as unconfirmed, and those that arrive before `until`, because
    /// they may have been queued while the process was paused.
    pub fn mark_all_unconfirmed(&mut self, until: Instant) {
        self.unconfirmed_until = until;
        for id in self.ids() {
            if let Some(target) = self.get_mut(id) {
                target.unconfirmed = true;
            }
        }
    }

    /// Returns the targets whose lease has expired.
    pub fn expired(&self, now: Instant) -> Vec<Id> {
        self.iter()
            .filter(|(_, target)| target.lease_until <= now)
            .map(|(id, _)| id)
            .collect()
    }

    /// Returns the cold states that are not merely assumed from an announcement.
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

    /// Returns a digest of [`Self::cold_states`] that does not depend on the order of targets.
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

    /// Replaces the work that a peer dispatched. `known` holds what was counted for the peer so
    /// far.
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

    /// Updates the load estimate from the load report of the latest announcement.
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

    /// Returns the prefill time of the highest recently reported backlog, in microseconds.
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

    /// Records an attempt dispatched now by this VM.
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

    /// Records that the prompt of one of this VM's attempts has been prefilled.
    pub fn record_prefilled(&mut self, attempt: Attempt, class: Class, tokens: u64) {
        let unprefilled = &mut self.own.unprefilled[class as usize];
        *unprefilled = unprefilled.saturating_sub(tokens);
        // If the engine is faster than announced, its backlog is at most what has not been
        // prefilled yet.
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

    /// Records the end of one of this VM's attempts.
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

    /// Counts consecutive late first tokens. Returns whether the target is to be treated as cold.
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

    /// Returns the current values of the fields that placement reads.
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

    /// Returns whether the target accepts new work. The cold state is not considered.
    pub fn is_open(&self, now: Instant) -> bool {
        self.snapshot().is_open(now)
    }

    /// Predicts the wait before the prefill of a new request starts, in microseconds.
    pub fn wait_us(&self, now: Instant, class: Class) -> f64 {
        self.snapshot().wait_us(now, class)
    }

    /// Predicts the prefill time of a prompt, in microseconds.
    pub fn prefill_us(&self, tokens: u64) -> f64 {
        self.snapshot().prefill_us(tokens)
    }

    /// Returns whether the target is limited to its cold budget.
    pub fn is_cold(&self) -> bool {
        self.announcement.state == State::Cold || self.cold.is_cold()
    }

    /// Returns the number of running attempts of all entry VMs of the zone.
    pub const fn zone_running(&self) -> u32 {
        self.own.running + self.peers.running
    }

    /// Returns the number of running long attempts of all entry VMs of the zone.
    pub const fn zone_long(&self) -> u32 {
        self.own.long + self.peers.long
    }

    /// Returns the prompt tokens of attempts of the classes `long` and `huge` without a first token.
    pub const fn unprefilled_long(&self) -> u64 {
        self.own.unprefilled[2]
            + self.own.unprefilled[3]
            + self.peers.unprefilled[2]
            + self.peers.unprefilled[3]
    }

    /// Estimates the KV memory in use, in tokens, including dispatches missing from the load
    /// report.
    ///
    /// An engine reports the memory of a long prompt only when it starts the prefill. The memory
    /// that all running attempts of the zone need is therefore a lower bound.
    pub fn kv_used(&self) -> u64 {
        let reported =
            self.announcement.load.kv_tokens_used + self.recent_kv + self.peers.unreported;
        reported.max(self.own.kv_tokens + self.peers.kv_tokens)
    }

    /// Predicts the time to generate this many tokens, in microseconds.
    pub fn decode_us(&self, tokens: u64) -> f64 {
        let rate = self.announcement.decode_tokens_per_s;
        if rate == 0 {
            0.0
        } else {
            tokens as f64 * 1e6 / rate as f64
        }
    }

    /// Returns this VM's work on the target for heartbeats. None if there is no work.
    pub fn own_dispatched(&self) -> Option<Dispatched> {
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

    /// Returns the state for status and metrics.
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
