//! Targets of the zone as this VM knows them: announcements, leases, load.
//!
//! The table keeps the last announcement of each target for one lease. Slots are dense, so that a
//! placement decision scans a vector; ids are not reused while a request refers to them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::request::Class;
use crate::target::{Announcement, Id, State};
use crate::time::Instant;

/// Validity of an announcement.
pub(super) const LEASE: Duration = Duration::from_secs(3);

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
    pub group: Vec<u32>,
    pub lease_until: Instant,
    pub reported_at: Instant,
    pub out: bool,
    pub conflict: Option<(SocketAddr, Instant)>,
    /// Attempts of this VM.
    pub running: u32,
    /// Prompt tokens of this VM's attempts before their first token, by class.
    pub unprefilled: [u64; 4],
}

/// Targets that serve one service and model.
#[derive(Debug)]
pub(super) struct Group {
    pub service: Arc<str>,
    pub model: Option<Arc<str>>,
    pub targets: Vec<Id>,
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
}

impl Table {
    /// Takes an announcement that is valid until `lease_until`.
    pub fn announce(
        &mut self,
        now: Instant,
        announcement: Announcement,
        lease_until: Instant,
    ) -> Change {
        let Some(&id) = self.names.get(&announcement.name) else {
            return Change::Joined(self.insert(now, announcement, lease_until));
        };
        let Some(target) = self.slots[id.0 as usize].as_mut() else {
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
        let regroup = announcement.models != known.models || announcement.service != known.service;
        let before = known.state;
        target.announcement = announcement;
        target.lease_until = lease_until;
        target.reported_at = now;
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

    fn insert(&mut self, now: Instant, announcement: Announcement, lease_until: Instant) -> Id {
        let name = Arc::clone(&announcement.name);
        let target = Target {
            announcement,
            group: Vec::new(),
            lease_until,
            reported_at: now,
            out: false,
            conflict: None,
            running: 0,
            unprefilled: [0; 4],
        };
        let id = if let Some(id) = self.free.pop() {
            self.slots[id.0 as usize] = Some(target);
            id
        } else {
            self.slots.push(Some(target));
            Id(self.slots.len() as u32 - 1)
        };
        self.names.insert(name, id);
        self.join_groups(id);
        id
    }

    /// Removes a target whose lease ended.
    pub fn remove(&mut self, id: Id) -> Option<Target> {
        self.leave_groups(id);
        let target = self.slots.get_mut(id.0 as usize)?.take()?;
        self.names.remove(&target.announcement.name);
        self.free.push(id);
        Some(target)
    }

    fn leave_groups(&mut self, id: Id) {
        let Some(target) = self.slots[id.0 as usize].as_mut() else {
            return;
        };
        for group in target.group.drain(..) {
            self.groups[group as usize]
                .targets
                .retain(|&member| member != id);
        }
    }

    fn join_groups(&mut self, id: Id) {
        let Some(target) = self.slots[id.0 as usize].as_mut() else {
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
                self.groups.push(Group {
                    service: Arc::clone(&service),
                    model,
                    targets: Vec::new(),
                });
                self.groups.len() - 1
            });
            let members = &mut self.groups[index].targets;
            if !members.contains(&id) {
                members.push(id);
                members.sort_unstable();
                if let Some(target) = self.slots[id.0 as usize].as_mut() {
                    target.group.push(index as u32);
                }
            }
        }
    }

    /// Returns the index of the targets that serve a service and model.
    pub fn group(&self, service: &str, model: Option<&str>) -> Option<u32> {
        let found = self
            .groups
            .iter()
            .position(|group| &*group.service == service && group.model.as_deref() == model)?;
        Some(found as u32)
    }

    /// Returns the targets of a group.
    pub fn members(&self, group: u32) -> &[Id] {
        &self.groups[group as usize].targets
    }

    /// Returns a target by id.
    pub fn get(&self, id: Id) -> Option<&Target> {
        self.slots.get(id.0 as usize)?.as_ref()
    }

    /// Returns a target by id.
    pub fn get_mut(&mut self, id: Id) -> Option<&mut Target> {
        self.slots.get_mut(id.0 as usize)?.as_mut()
    }

    /// Iterates over all targets in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (Id, &Target)> {
        self.slots
            .iter()
            .enumerate()
            .filter_map(|(index, slot)| Some((Id(index as u32), slot.as_ref()?)))
    }

    /// Returns the targets whose lease ended.
    pub fn expired(&self, now: Instant) -> Vec<Id> {
        self.iter()
            .filter(|(_, target)| target.lease_until <= now)
            .map(|(id, _)| id)
            .collect()
    }
}

impl Target {
    /// Returns whether the target may get new work.
    pub fn open(&self, now: Instant) -> bool {
        !self.out && self.announcement.state != State::Draining && self.lease_until > now
    }

    /// Predicts the wait before the prefill of a new request, in microseconds.
    pub fn wait_us(&self, now: Instant, class: Class) -> u64 {
        let rate = self.announcement.prefill_tokens_per_s;
        if rate == 0 {
            return 0;
        }
        let drained = now.since(self.reported_at).as_micros() as u64 * rate / 1_000_000;
        let reported = self
            .announcement
            .load
            .prefill_tokens
            .saturating_sub(drained);
        let own: u64 = self.unprefilled[..=class as usize].iter().sum();
        (reported.max(own)) * 1_000_000 / rate
    }
}
