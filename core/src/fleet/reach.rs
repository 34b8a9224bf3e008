//! Whether this VM has a path of its own to targets, and which entry VMs connect it to them otherwise.
//!
//! A VM may lose its paths to targets while callers, control and other entry VMs still reach it. A failed connection
//! does not tell a lost path from a target that has ended. Another entry VM can: if it connects to a target to which this
//! VM cannot, the path is at fault.
//!
//! # Invariants
//!
//! - Only a connection that another VM made, or the word of several that none can, shows that a path is lost. Any new
//!   connection of this VM's own shows that it has paths again.
//! - A VM that connects others uses paths of its own only, so connections never go in circles.

use std::collections::HashMap;
use std::hash::Hash;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::time::Instant;

/// How long a failed connection counts as proof that the path is lost, once another VM has connected.
const PROOF_TIME: Duration = Duration::from_secs(1);

/// How long connections to one target go through other VMs before a direct one is tried again.
const LOST_TIME: Duration = Duration::from_secs(2);

/// How long a VM that could not help is asked only if no other one is left.
const UNHELPFUL_TIME: Duration = Duration::from_secs(1);

/// How long a VM that helped is preferred to one that was not asked lately.
const HELPFUL_TIME: Duration = Duration::from_secs(3);

/// Time from a connection within which this VM is taken to have paths.
const RECENT_TIME: Duration = Duration::from_secs(1);

/// Largest number of VMs that are asked for one connection.
const MAX_HELPERS: usize = 4;

/// Time without a byte from any target after which paths are checked while requests wait for targets.
const SILENCE: Duration = Duration::from_millis(250);

/// Shortest interval between two checks of paths that were lost or are in doubt.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between two checks after one that found a path: slow targets are silent too.
const SOUND_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// How a connection to a target is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// From this VM to the target.
    Direct,
    /// Through another entry VM.
    Tunnel,
}

/// Paths of one entry VM to targets. `T` identifies a target.
#[derive(Debug, Clone)]
pub struct Reach<T> {
    /// When direct connections to targets failed.
    failed: HashMap<T, Instant>,
    /// Targets to which only others can connect, with the time until which that is assumed.
    lost: HashMap<T, Instant>,
    /// Whether this VM is taken to have no path to any target.
    is_cut: bool,
    /// When a direct connection was last established.
    connected_at: Option<Instant>,
    /// When bytes last arrived on a direct connection.
    heard_at: Instant,
    /// When paths were last checked.
    checked_at: Instant,
    /// VMs that helped, with the time until which they are preferred after a failure.
    helpful: HashMap<Arc<str>, Instant>,
    /// VMs that could not help, with the time until which others are preferred.
    unhelpful: HashMap<Arc<str>, Instant>,
    /// Differs between selections of helpers, and between VMs.
    selections: u64,
}

impl<T> Reach<T>
where
    T: Copy + Eq + Hash,
{
    /// Creates the state of a VM that has connected to no target yet. The name makes VMs that ask for help at the same
    /// moment ask different ones.
    pub fn new(vm: &str) -> Self {
        Self {
            failed: HashMap::new(),
            lost: HashMap::new(),
            is_cut: false,
            connected_at: None,
            heard_at: Instant::default(),
            checked_at: Instant::default(),
            helpful: HashMap::new(),
            unhelpful: HashMap::new(),
            selections: xxhash_rust::xxh3::xxh3_64(vm.as_bytes()),
        }
    }

    /// Returns whether this VM is taken to have no path to any target.
    pub fn is_cut(&self) -> bool {
        self.is_cut
    }

    /// Returns whether a direct connection was established lately, so that a target that refuses one has ended.
    pub fn is_connected(&self, now: Instant) -> bool {
        let connected = self.connected_at;
        !self.is_cut && connected.is_some_and(|at| now.since(at) < RECENT_TIME)
    }

    /// Returns how to connect to a target.
    pub fn path(&self, now: Instant, target: T) -> Path {
        let lost = self.lost.get(&target);
        if self.is_cut || lost.is_some_and(|until| now < *until) {
            Path::Tunnel
        } else {
            Path::Direct
        }
    }

    /// Records that a direct connection was established; returns whether this VM was cut off until now.
    pub fn record_connected(&mut self, now: Instant, target: T) -> bool {
        self.failed.remove(&target);
        self.lost.remove(&target);
        self.connected_at = Some(now);
        if self.is_cut {
            self.lost.clear();
        }
        std::mem::take(&mut self.is_cut)
    }

    /// Records that a direct connection failed.
    pub fn record_failed(&mut self, now: Instant, target: T) {
        self.failed.insert(target, now);
    }

    /// Records that another VM connected this one to a target; returns whether this VM is cut off from now on.
    pub fn record_tunnel(&mut self, now: Instant, target: T, vm: &Arc<str>) -> bool {
        self.helpful.insert(Arc::clone(vm), now + HELPFUL_TIME);
        let Some(failed_at) = self.failed.get(&target).copied() else {
            return false;
        };
        if now.since(failed_at) >= PROOF_TIME {
            return false;
        }
        self.lost.insert(target, now + LOST_TIME);
        let had_path = self.connected_at.is_some_and(|at| at >= failed_at);
        !had_path && !std::mem::replace(&mut self.is_cut, true)
    }

    /// Records that neither this VM nor those that it asked can connect to a target; returns whether this VM is cut off
    /// from now on. It then refuses at once what it cannot serve.
    pub fn record_no_path(&mut self, now: Instant, target: T) -> bool {
        let has_failed = self.failed.contains_key(&target);
        has_failed && !self.is_connected(now) && !std::mem::replace(&mut self.is_cut, true)
    }

    /// Records bytes on a direct connection.
    pub fn record_heard(&mut self, now: Instant) {
        self.heard_at = now;
    }

    /// Returns whether no target has sent anything for a while.
    pub fn is_silent(&self, now: Instant) -> bool {
        now.since(self.heard_at) >= SILENCE
    }

    /// Returns whether to check paths, because this VM has none or no target has sent anything for a while. Called
    /// while requests wait for targets.
    pub fn take_check(&mut self, now: Instant) -> bool {
        let interval = if self.is_cut || !self.is_connected(now) {
            CHECK_INTERVAL
        } else {
            SOUND_CHECK_INTERVAL
        };
        let due = (self.is_cut || self.is_silent(now)) && now.since(self.checked_at) >= interval;
        if due {
            self.checked_at = now;
        }
        due
    }

    /// Records that a VM could not help to reach a target.
    pub fn record_unhelpful(&mut self, now: Instant, vm: &Arc<str>) {
        self.helpful.remove(vm);
        self.unhelpful.insert(Arc::clone(vm), now + UNHELPFUL_TIME);
    }

    /// Returns the VMs to ask for a connection, in order. The first one differs from call to call, so that the work is
    /// spread; those that helped lately follow, and those that could not help come last.
    pub fn helpers(
        &mut self,
        now: Instant,
        peers: &[Arc<str>],
    ) -> SmallVec<[Arc<str>; MAX_HELPERS]> {
        self.unhelpful.retain(|_, until| now < *until);
        self.helpful.retain(|_, until| now < *until);
        self.selections = self.selections.wrapping_add(1);
        let mut order: Vec<&Arc<str>> = peers.iter().collect();
        order.sort_by_key(|vm| {
            let hash = xxhash_rust::xxh3::xxh3_64_with_seed(vm.as_bytes(), self.selections);
            (self.unhelpful.contains_key(*vm), hash)
        });
        if let Some((_, others)) = order.split_first_mut() {
            others.sort_by_key(|vm| match () {
                () if self.unhelpful.contains_key(*vm) => 2,
                () if self.helpful.contains_key(*vm) => 0,
                () => 1,
            });
        }
        order.into_iter().take(MAX_HELPERS).cloned().collect()
    }

    /// Drops what no longer matters.
    pub fn expire(&mut self, now: Instant) {
        self.failed.retain(|_, at| now.since(*at) < PROOF_TIME);
        self.lost.retain(|_, until| now < *until);
    }
}
