//! Which entry VMs tell each other of their load.
//!
//! In a small fleet every VM reports to every other one. In a larger one that would cost each VM messages
//! and bytes that grow with the fleet. There, a VM reports to the VMs of its availability zone and to the
//! relays, two VMs of each zone. The first relay of a zone that is heard sums up what the VMs of other
//! zones report and passes the sums on inside its zone, with the planners that it hears.
//!
//! Roles follow from the names of the VMs, without an election. VMs that disagree on the fleet for a
//! moment see older or doubled loads, which costs time but breaks no promise.
//!
//! # Invariants
//!
//! - Planners are relays, so they hear all VMs.
//! - Every zone has a planner candidate, as long as there are at most [`MAX_PLANNERS`] zones, so that a
//!   zone that is cut off still has one.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

use smallvec::SmallVec;

/// Number of VMs up to which every VM reports to every other one.
const MAX_MESH_VMS: usize = 24;

/// Number of relays in each zone: one that is active and one that replaces it.
const RELAYS_PER_ZONE: usize = 2;

/// Number of VMs that may be the planner: enough that some remain when a zone and single VMs are lost.
const MAX_PLANNERS: usize = 5;

/// Another entry VM.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// Name of the VM.
    pub vm: Arc<str>,
    /// Availability zone of the VM.
    pub zone: Arc<str>,
}

/// The roles of the entry VMs, as seen by one of them.
#[derive(Debug, Clone, Default)]
pub(super) struct Topology {
    /// Number of entry VMs, including this one.
    vm_count: usize,
    /// VMs that hear the load of this one.
    recipients: Arc<[Arc<str>]>,
    /// Other VMs of this zone.
    zone_peers: Arc<[Arc<str>]>,
    /// Relays of this zone in order of precedence; empty if every VM reports to every other one.
    zone_relays: SmallVec<[Arc<str>; RELAYS_PER_ZONE]>,
    /// VMs that may be the planner, in order of precedence.
    planners: SmallVec<[Arc<str>; MAX_PLANNERS]>,
    /// VMs of other zones.
    remote: HashSet<Arc<str>>,
    is_relay: bool,
}

impl Topology {
    /// Assigns the roles among this VM and its peers.
    pub(super) fn new(own: &Peer, peers: &[Peer]) -> Self {
        let mut all: Vec<&Peer> = peers.iter().chain([own]).collect();
        all.sort_by_key(|peer| xxhash_rust::xxh3::xxh3_64(peer.vm.as_bytes()));
        let vm_count = all.len();
        let zone_peers = peers.iter().filter(|peer| peer.zone == own.zone);
        let zone_peers: Vec<Arc<str>> = zone_peers.map(|peer| Arc::clone(&peer.vm)).collect();
        if vm_count <= MAX_MESH_VMS {
            let planners = all.iter().take(MAX_PLANNERS);
            return Self {
                vm_count,
                recipients: peers.iter().map(|peer| Arc::clone(&peer.vm)).collect(),
                zone_peers: zone_peers.into(),
                planners: planners.map(|peer| Arc::clone(&peer.vm)).collect(),
                ..Self::default()
            };
        }
        let mut by_zone: BTreeMap<&Arc<str>, SmallVec<[&Arc<str>; RELAYS_PER_ZONE]>> =
            BTreeMap::new();
        // The first relays of all zones come before the second ones.
        let mut relays: Vec<(usize, &Arc<str>)> = Vec::new();
        for peer in all {
            let known = by_zone.entry(&peer.zone).or_default();
            if known.len() < RELAYS_PER_ZONE {
                relays.push((known.len(), &peer.vm));
                known.push(&peer.vm);
            }
        }
        relays.sort_by_key(|(rank, _)| *rank);
        let zone_relays = by_zone.get(&own.zone).into_iter().flatten();
        let zone_relays: SmallVec<_> = zone_relays.map(|vm| Arc::clone(vm)).collect();
        let mut recipients = zone_peers.clone();
        for (_, relay) in &relays {
            if **relay != own.vm && !zone_peers.contains(relay) {
                recipients.push(Arc::clone(relay));
            }
        }
        let planners = relays.iter().take(MAX_PLANNERS);
        let remote = peers.iter().filter(|peer| peer.zone != own.zone);
        Self {
            vm_count,
            recipients: recipients.into(),
            zone_peers: zone_peers.into(),
            is_relay: zone_relays.contains(&own.vm),
            zone_relays,
            planners: planners.map(|(_, vm)| Arc::clone(vm)).collect(),
            remote: remote.map(|peer| Arc::clone(&peer.vm)).collect(),
        }
    }

    /// Returns the number of entry VMs, including this one.
    pub(super) fn vm_count(&self) -> usize {
        self.vm_count.max(1)
    }

    /// Returns the VMs that hear the load of this one.
    pub(super) fn recipients(&self) -> &Arc<[Arc<str>]> {
        &self.recipients
    }

    /// Returns the other VMs of this zone.
    pub(super) fn zone_peers(&self) -> &Arc<[Arc<str>]> {
        &self.zone_peers
    }

    /// Returns the relays of this zone in order of precedence; empty if every VM reports to every other
    /// one.
    pub(super) fn zone_relays(&self) -> &[Arc<str>] {
        &self.zone_relays
    }

    /// Returns the VMs that may be the planner, in order of precedence.
    pub(super) fn planners(&self) -> &[Arc<str>] {
        &self.planners
    }

    /// Returns whether a peer is in another zone.
    pub(super) fn is_remote(&self, vm: &str) -> bool {
        self.remote.contains(vm)
    }

    /// Returns whether this VM is a relay of its zone.
    pub(super) fn is_relay(&self) -> bool {
        self.is_relay
    }
}
