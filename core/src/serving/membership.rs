//! Membership of the zone: heartbeats, and distribution of configurations and announcements between
//! entry VMs.
//!
//! A member is considered alive only if this VM receives its heartbeats. What other members report
//! about it is only used to find its address.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::membership::{Heartbeat, Override, Usage};
use crate::message::Message;
use crate::target;
use crate::target::Announcement;
use crate::time::Instant;
use crate::vm;

use super::effect::{Effect, Notice};
use super::reducer::Reducer;
use super::target::{ANNOUNCEMENT_LEASE, Work};

/// Interval between heartbeats.
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Number of heartbeats between two that include the list of members, unless a member joins.
const MEMBERS_INTERVAL_HEARTBEATS: u64 = 8;

/// Time without heartbeats from which a member is suspected.
const SUSPECT_AFTER: Duration = Duration::from_secs(1);

/// Time without heartbeats after which a member is removed.
pub(super) const GONE_AFTER: Duration = Duration::from_secs(3);

/// Interval at which a control VM is polled for a newer configuration.
const CONFIG_PULL_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which cold states are sent to a member whose digest differs.
const COLD_STATES_INTERVAL: Duration = Duration::from_millis(500);

/// Deducted from the lease of a relayed announcement for its age on arrival: one heartbeat interval
/// and the transit.
const RELAY_ALLOWANCE: Duration = Duration::from_millis(400);

/// Time for which heartbeats are sent to the address of a VM that is not a member.
const CONTACT_RETENTION: Duration = Duration::from_mins(1);

/// Time after process start within which members report the cold states of targets.
pub(super) const COLD_STATE_SYNC: Duration = Duration::from_secs(1);

/// State of a member for status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    /// Process of the member.
    pub instance: vm::Instance,
    /// Addresses of the member.
    pub address: vm::Address,
    /// Whether a heartbeat arrived within the last second.
    pub alive: bool,
    /// Whether the member is shutting down.
    pub draining: bool,
    /// Configuration version in force at the member.
    pub config: u64,
    /// Epoch of the zone lease, if the member holds it.
    pub epoch: Option<u64>,
}

/// Another entry VM of the zone.
#[derive(Debug)]
pub(super) struct Member {
    pub instance: vm::Instance,
    pub address: vm::Address,
    pub last_heard: Instant,
    pub draining: bool,
    pub config: u64,
    pub epoch: Option<u64>,
    sequence: u64,
    usage: Vec<Usage>,
    counted_work: Vec<(target::Id, u64, Work)>,
    cold_states_sent: Instant,
}

/// The other entry VMs of the zone, and the state of what is sent to them.
#[derive(Debug)]
pub(super) struct Members {
    pub known: BTreeMap<vm::Name, Member>,
    /// Highest incarnation received from each VM.
    incarnations: BTreeMap<vm::Name, vm::Incarnation>,
    /// Addresses of VMs that are not members yet, and until when heartbeats are sent to them.
    contacts: BTreeMap<SocketAddr, Instant>,
    sequence: u64,
    /// Whether a member joined since the last heartbeat.
    member_joined: bool,
    next_heartbeat: Instant,
    next_config_pull: Instant,
    /// Index of the control VM to poll next.
    next_control: usize,
    /// Targets that announced themselves here and are relayed with the next heartbeat.
    pending_relay: Vec<target::Id>,
    /// Local orders, by zone.
    pub overrides: BTreeMap<Arc<str>, Override>,
    started: Instant,
}

impl Members {
    pub const fn new(now: Instant) -> Self {
        Self {
            known: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            contacts: BTreeMap::new(),
            sequence: 0,
            member_joined: true,
            next_heartbeat: now,
            next_config_pull: now,
            next_control: 0,
            pending_relay: Vec::new(),
            overrides: BTreeMap::new(),
            started: now,
        }
    }

    /// Returns whether members may still be about to report the cold states of targets.
    pub fn is_syncing_cold_states(&self, now: Instant) -> bool {
        now.since(self.started) < COLD_STATE_SYNC
    }

    /// Returns whether any member is suspected.
    pub fn any_suspect(&self, now: Instant) -> bool {
        self.known
            .values()
            .any(|member| now.since(member.last_heard) >= SUSPECT_AFTER)
    }

    /// Returns the member that runs this incarnation.
    pub fn get(&self, instance: &vm::Instance) -> Option<&Member> {
        self.known
            .get(&instance.name)
            .filter(|member| member.instance == *instance)
    }
}

impl Reducer {
    /// Returns the other entry VMs of the zone.
    pub fn members(&self) -> Vec<View> {
        self.members
            .known
            .values()
            .map(|member| View {
                instance: member.instance.clone(),
                address: member.address,
                alive: self.now.since(member.last_heard) < SUSPECT_AFTER,
                draining: member.draining,
                config: member.config,
                epoch: member.epoch,
            })
            .collect()
    }

    /// Sends a message to a process, if it is a member.
    pub(super) fn send(&self, to: &vm::Instance, message: Message, effects: &mut Vec<Effect>) {
        if let Some(member) = self.members.get(to) {
            effects.push(Effect::Send {
                to: member.address.peers,
                receiver: Some(to.clone()),
                message,
            });
        }
    }

    /// Sends a message to all members.
    pub(super) fn broadcast(&self, message: &Message, effects: &mut Vec<Effect>) {
        for member in self.members.known.values() {
            effects.push(Effect::Send {
                to: member.address.peers,
                receiver: Some(member.instance.clone()),
                message: message.clone(),
            });
        }
    }

    /// Sends heartbeats, relays announcements, pulls configurations and removes silent members.
    pub(super) fn maintain_membership(&mut self, effects: &mut Vec<Effect>) {
        if self.members.next_heartbeat <= self.now {
            self.members.next_heartbeat = self.now + HEARTBEAT_INTERVAL;
            self.remove_silent_members(effects);
            self.merge_usage();
            self.relay_pending_announcements(effects);
            self.send_heartbeats(effects);
        }
        if self.members.next_config_pull <= self.now && !self.settings.control.is_empty() {
            self.members.next_config_pull = self.now + CONFIG_PULL_INTERVAL;
            let at = self.members.next_control % self.settings.control.len();
            self.members.next_control = at + 1;
            effects.push(Effect::Send {
                to: self.settings.control[at],
                receiver: None,
                message: Message::ConfigPull {
                    have: self.config_version(),
                },
            });
        }
    }

    /// Returns the configuration version in force; zero if there is none.
    pub(super) fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    fn send_heartbeats(&mut self, effects: &mut Vec<Effect>) {
        self.members.sequence += 1;
        let heartbeat = Heartbeat {
            zone: Arc::clone(&self.settings.zone),
            address: self.settings.address,
            sequence: self.members.sequence,
            config: self.config_version(),
            draining: self.draining,
            members: self.known_members(),
            dispatched: self
                .table
                .iter()
                .filter_map(|(_, target)| target.own_dispatched())
                .collect(),
            usage: self.queue.usage(),
            local_out: self.members.overrides.values().cloned().collect(),
            epoch: self.coordinator_epoch(),
            cold_states_digest: self.table.cold_states_digest(),
        };
        let now = self.now;
        self.members.contacts.retain(|_, until| *until > now);
        self.broadcast(&Message::Heartbeat(heartbeat.clone()), effects);
        let mut others: Vec<SocketAddr> = self.members.contacts.keys().copied().collect();
        others.extend(&self.settings.seeds);
        others.sort_unstable();
        others.dedup();
        let own = self.settings.address.peers;
        for to in others {
            let known = self
                .members
                .known
                .values()
                .any(|member| member.address.peers == to);
            if to != own && !known {
                effects.push(Effect::Send {
                    to,
                    receiver: None,
                    message: Message::Heartbeat(heartbeat.clone()),
                });
            }
        }
    }

    /// Returns the list of members for a heartbeat. It is empty unless a member joined or the
    /// interval has passed, because the list makes up most of a heartbeat in a large zone.
    fn known_members(&mut self) -> Vec<(vm::Instance, vm::Address)> {
        let due = self
            .members
            .sequence
            .is_multiple_of(MEMBERS_INTERVAL_HEARTBEATS);
        if !std::mem::take(&mut self.members.member_joined) && !due {
            return Vec::new();
        }
        let known = self.members.known.values();
        known
            .map(|member| (member.instance.clone(), member.address))
            .collect()
    }

    fn relay_pending_announcements(&mut self, effects: &mut Vec<Effect>) {
        let mut pending_relay = std::mem::take(&mut self.members.pending_relay);
        pending_relay.sort_unstable();
        pending_relay.dedup();
        let announcements: Vec<Announcement> = pending_relay
            .into_iter()
            .filter_map(|id| Some(self.table.get(id)?.announcement.clone()))
            .collect();
        if !announcements.is_empty() {
            self.broadcast(&Message::Targets(announcements), effects);
        }
    }

    /// Relays an announcement to the other members: at once if it changes a state, otherwise with
    /// the next heartbeat.
    pub(super) fn relay_announcement(
        &mut self,
        id: target::Id,
        changed: bool,
        effects: &mut Vec<Effect>,
    ) {
        if !changed {
            self.members.pending_relay.push(id);
            return;
        }
        if let Some(target) = self.table.get(id) {
            let message = Message::Targets(vec![target.announcement.clone()]);
            self.broadcast(&message, effects);
        }
    }

    fn remove_silent_members(&mut self, effects: &mut Vec<Effect>) {
        let now = self.now;
        let gone: Vec<vm::Instance> = self
            .members
            .known
            .values()
            .filter(|member| now.since(member.last_heard) >= GONE_AFTER)
            .map(|member| member.instance.clone())
            .collect();
        for instance in gone {
            self.remove_member(&instance, effects);
        }
    }

    fn remove_member(&mut self, instance: &vm::Instance, effects: &mut Vec<Effect>) {
        let Some(mut member) = self.members.known.remove(&instance.name) else {
            return;
        };
        self.table.replace_peer_work(&mut member.counted_work, &[]);
        let until = self.now + CONTACT_RETENTION;
        self.members.contacts.insert(member.address.peers, until);
        self.merge_usage();
        self.expire_member_credits(instance);
        self.reschedule = true;
        effects.push(Effect::Notice(Notice::MemberLost(Arc::clone(
            &instance.name,
        ))));
    }

    fn merge_usage(&mut self) {
        let members = self.members.known.values();
        self.queue
            .set_peer_usage(members.flat_map(|member| member.usage.iter()));
    }

    /// Handles a message from another process.
    pub(super) fn handle_message(
        &mut self,
        from: &vm::Instance,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            Message::Heartbeat(heartbeat) => self.handle_heartbeat(from, heartbeat, effects),
            Message::Targets(announcements) => {
                // Announcements are accepted from processes of the zone before their first
                // heartbeat too. Otherwise a target that became cold or is draining could get work
                // because the VM that relays its announcement was disconnected for a while.
                let until = self.now + ANNOUNCEMENT_LEASE - RELAY_ALLOWANCE;
                for announcement in announcements {
                    self.apply_announcement(announcement, until, false, effects);
                }
            }
            Message::Vote(vote) => self.handle_vote(from, &vote, effects),
            Message::Credit(credit) => self.handle_credit(from, credit, effects),
            Message::Span(span) => self.handle_span(from, span, effects),
            Message::Summary(summary) => self.handle_summary(from, summary, effects),
            Message::ConfigPull { have } => self.handle_config_pull(from, have, effects),
            Message::ConfigPush(config) => self.apply_config(config, effects),
            Message::ColdStates(states) => self.merge_cold_states(from, &states, effects),
            Message::Quarantine(report) => self.handle_quarantine_report(report, effects),
            // These are only sent between entry processes and control VMs, or between control
            // replicas.
            Message::Ledger(_)
            | Message::LedgerAnswer(_)
            | Message::Consensus(_)
            | Message::Propose(_)
            | Message::Proposed(_) => {}
        }
    }

    fn handle_heartbeat(
        &mut self,
        from: &vm::Instance,
        heartbeat: Heartbeat,
        effects: &mut Vec<Effect>,
    ) {
        if heartbeat.zone != self.settings.zone || from.name == self.settings.vm.name {
            return;
        }
        let highest = self.members.incarnations.get(&from.name).copied();
        if highest.is_some_and(|highest| from.incarnation < highest) {
            return;
        }
        if highest.is_none_or(|highest| from.incarnation > highest) {
            let old = self.members.known.get(&from.name);
            if let Some(old) = old.map(|member| member.instance.clone()) {
                self.remove_member(&old, effects);
            }
            self.members
                .incarnations
                .insert(Arc::clone(&from.name), from.incarnation);
        }
        let now = self.now;
        let joined = !self.members.known.contains_key(&from.name);
        let member = self
            .members
            .known
            .entry(Arc::clone(&from.name))
            .or_insert_with(|| Member {
                instance: from.clone(),
                address: heartbeat.address,
                last_heard: now,
                draining: false,
                config: 0,
                epoch: None,
                sequence: 0,
                usage: Vec::new(),
                counted_work: Vec::new(),
                cold_states_sent: now - COLD_STATES_INTERVAL,
            });
        if heartbeat.sequence <= member.sequence {
            return;
        }
        member.sequence = heartbeat.sequence;
        member.last_heard = now;
        member.address = heartbeat.address;
        member.draining = heartbeat.draining;
        member.config = heartbeat.config;
        member.epoch = heartbeat.epoch;
        member.usage = heartbeat.usage;
        self.table
            .replace_peer_work(&mut member.counted_work, &heartbeat.dispatched);
        let send_cold_states = heartbeat.cold_states_digest != self.table.cold_states_digest()
            && now.since(member.cold_states_sent) >= COLD_STATES_INTERVAL;
        if send_cold_states {
            member.cold_states_sent = now;
        }
        self.members.contacts.remove(&heartbeat.address.peers);
        for (instance, address) in heartbeat.members {
            let known = self.members.known.contains_key(&instance.name);
            if instance.name != self.settings.vm.name && !known {
                self.members
                    .contacts
                    .insert(address.peers, now + CONTACT_RETENTION);
            }
        }
        for order in heartbeat.local_out {
            self.apply_local_order(order);
        }
        if send_cold_states {
            let states = self.table.cold_states();
            self.send(from, Message::ColdStates(states), effects);
        }
        if heartbeat.config > self.config_version() {
            let have = self.config_version();
            self.send(from, Message::ConfigPull { have }, effects);
        }
        if joined {
            self.members.member_joined = true;
            effects.push(Effect::Notice(Notice::MemberJoined(Arc::clone(&from.name))));
        }
        self.update_holder(from, heartbeat.epoch, effects);
        self.reschedule = true;
    }

    fn handle_config_pull(&self, from: &vm::Instance, have: u64, effects: &mut Vec<Effect>) {
        if let Some(config) = &self.config
            && config.version > have
        {
            self.send(from, Message::ConfigPush(Arc::clone(config)), effects);
        }
    }

    fn merge_cold_states(
        &mut self,
        from: &vm::Instance,
        states: &[target::ColdState],
        effects: &mut Vec<Effect>,
    ) {
        if self.members.get(from).is_none() {
            return;
        }
        for state in states {
            let Some(id) = self.table.id(&state.target) else {
                continue;
            };
            let Some(target) = self.table.get_mut(id) else {
                continue;
            };
            if target.announcement.incarnation != state.incarnation {
                continue;
            }
            let known = target.cold;
            if !known.assumed && state.version <= known.version {
                continue;
            }
            target.cold.version = state.version;
            target.cold.assumed = false;
            let name = Arc::clone(&state.target);
            match (known.is_cold(), target.cold.is_cold()) {
                (true, false) => {
                    self.reschedule = true;
                    effects.push(Effect::Notice(Notice::TargetWarm(name)));
                }
                (false, true) => effects.push(Effect::Notice(Notice::TargetCold(name))),
                _ => {}
            }
        }
    }

    /// Returns the number of entry VMs among which concurrency limits are split, and whether one of
    /// them is suspected.
    pub(super) fn limit_basis(&self) -> (u32, bool) {
        let members = self.members.known.len() as u32 + 1;
        (members, self.members.any_suspect(self.now))
    }
}
