//! Paths of VMs to targets, in a network without sockets: some VMs have no path, in turn or for a while, and ask the
//! others to connect them.
//!
//! Pattern: most or all VMs of a zone lose their links to all targets, while callers and the other VMs reach them.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use primrosepin_core::fleet::{Path, Reach};
use primrosepin_core::time::Instant;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::support::{START, ms};

/// Entry VMs, engines and `contact_ms` of the deployments.
const SHAPES: [(usize, usize, u64); 6] = [
    (9, 16, 3_000),
    (6, 18, 3_000),
    (6, 21, 3_000),
    (27, 48, 4_000),
    (89, 69, 4_000),
    (295, 135, 5_000),
];

const ZONES: usize = 3;

struct World {
    now: Instant,
    vms: Vec<Reach<usize>>,
    names: Vec<Arc<str>>,
    targets: usize,
    /// VMs without a path to targets.
    cut: BTreeSet<usize>,
    /// Targets that have ended.
    ended: BTreeSet<usize>,
    /// VMs that end or are frozen: they answer nothing.
    dead: BTreeSet<usize>,
    rng: SmallRng,
    /// Connections that others made, by the VM that made them.
    helped: Vec<usize>,
    /// Number of VMs asked.
    asked: usize,
}

impl World {
    fn new(vms: usize, targets: usize, seed: u64) -> Self {
        Self {
            now: START,
            vms: (0..vms).map(|vm| Reach::new(&vm.to_string())).collect(),
            names: (0..vms).map(|vm| vm.to_string().into()).collect(),
            targets,
            cut: BTreeSet::new(),
            ended: BTreeSet::new(),
            dead: BTreeSet::new(),
            rng: SmallRng::seed_from_u64(seed),
            helped: vec![0; vms],
            asked: 0,
        }
    }

    fn connect_directly(&mut self, vm: usize, target: usize) -> bool {
        if self.cut.contains(&vm) || self.ended.contains(&target) {
            self.vms[vm].record_failed(self.now, target);
            return false;
        }
        self.vms[vm].record_connected(self.now, target);
        true
    }

    /// Asks other VMs for a connection, as the process does; returns whether one made it.
    fn ask_others(&mut self, vm: usize, target: usize) -> bool {
        let peers: Vec<Arc<str>> = self
            .names
            .iter()
            .filter(|name| **name != self.names[vm])
            .cloned()
            .collect();
        for name in self.vms[vm].helpers(self.now, &peers) {
            self.asked += 1;
            let helper: usize = name.parse().unwrap();
            assert_ne!(helper, vm, "a VM asks itself");
            let answers = !self.dead.contains(&helper) && !self.vms[helper].is_cut();
            if answers && self.connect_directly(helper, target) {
                self.helped[helper] += 1;
                self.vms[vm].record_tunnel(self.now, target, &name);
                return true;
            }
            if answers && self.vms[helper].is_connected(self.now) {
                return false;
            }
            self.vms[vm].record_unhelpful(self.now, &name);
        }
        self.vms[vm].record_no_path(self.now, target);
        false
    }

    /// Connects a VM to a target; returns whether it was connected.
    fn connect(&mut self, vm: usize, target: usize) -> bool {
        if self.vms[vm].path(self.now, target) == Path::Direct {
            return self.connect_directly(vm, target) || self.ask_others(vm, target);
        }
        self.ask_others(vm, target) || !self.vms[vm].is_cut() && self.connect_directly(vm, target)
    }

    /// Lets VMs connect to random targets for a time; returns how many attempts cut VMs made and how many were
    /// connected.
    fn run(&mut self, time: Duration) -> (usize, usize) {
        let end = self.now + time;
        let (mut attempts, mut connected) = (0, 0);
        while self.now < end {
            self.now = self.now + ms(5);
            for vm in 0..self.vms.len() {
                if self.vms[vm].is_cut() && self.vms[vm].take_check(self.now) {
                    let target = self.rng.random_range(0..self.targets);
                    self.connect_directly(vm, target);
                }
                if !self.rng.random_bool(0.05) {
                    continue;
                }
                let target = self.rng.random_range(0..self.targets);
                let is_connected = self.connect(vm, target);
                if self.cut.contains(&vm) && !self.ended.contains(&target) {
                    attempts += 1;
                    connected += usize::from(is_connected);
                }
            }
        }
        (attempts, connected)
    }
}

/// Guards against VMs that find no other VM to connect them: one VM, half of a zone, a whole zone and all but two VMs
/// are cut off, at the shapes of the deployments and with 295 VMs; afterwards they use their own paths again.
#[test]
fn cut_vms_are_connected_by_others_and_return_to_their_own_paths() {
    for (vms, targets, contact) in SHAPES {
        let zone: BTreeSet<usize> = (0..vms).filter(|vm| vm % ZONES == 0).collect();
        let half = zone.iter().copied().take(zone.len().div_ceil(2)).collect();
        let cuts = [BTreeSet::from([1]), half, zone, (2..vms).collect()];
        for (seed, cut) in (1..).zip(cuts) {
            let mut world = World::new(vms, targets, seed);
            world.run(ms(1_000));
            world.cut = cut.clone();
            world.run(ms(contact));
            let (attempts, connected) = world.run(ms(3_000));
            // The platform's rules ask for two thirds of what the other VMs serve.
            assert!(
                connected * 3 >= attempts * 2,
                "{connected} of {attempts} with {} of {vms} VMs cut off",
                cut.len()
            );
            let busiest = world.helped.iter().max().unwrap();
            let sum: usize = world.helped.iter().sum();
            let helpers = vms - cut.len();
            // A few connections may meet by chance where each VM makes few.
            assert!(
                *busiest <= sum * 3 / helpers + 8,
                "one VM made {busiest} of {sum} connections, {helpers} can"
            );
            world.cut.clear();
            world.run(ms(1_000));
            let before: usize = world.helped.iter().sum();
            world.run(ms(2_000));
            let after: usize = world.helped.iter().sum();
            assert_eq!(after, before, "VMs are connected by others after the cut");
        }
    }
}

/// Guards against taking the end of targets for a lost path: the VMs would send all their work through others.
#[test]
fn targets_that_end_cut_no_vm_off() {
    for seed in 1..9 {
        let mut world = World::new(6, 18, seed);
        world.run(ms(1_000));
        world.ended = (0..9).collect();
        world.run(ms(2_000));
        assert!(world.vms.iter().all(|reach| !reach.is_cut()));
        assert_eq!(world.helped.iter().sum::<usize>(), 0);
        world.ended.clear();
        world.run(ms(2_000));
        assert!(world.vms.iter().all(|reach| !reach.is_cut()));
    }
}

/// Guards against a VM that keeps asking helpers that ended, were cut off too or are frozen: others are asked first.
#[test]
fn helpers_that_fail_are_asked_last() {
    let mut world = World::new(9, 16, 1);
    world.run(ms(1_000));
    world.cut = [0, 1, 2].into();
    world.run(ms(3_000));
    world.dead = [3, 4].into();
    world.cut.insert(5);
    world.run(ms(1_000));
    world.asked = 0;
    let (attempts, connected) = world.run(ms(3_000));
    assert!(connected * 10 >= attempts * 9, "{connected} of {attempts}");
    assert!(
        world.asked <= attempts * 2,
        "{} VMs asked for {attempts} connections",
        world.asked
    );
}

/// Guards against VMs that ask each other in a circle when none has a path: each asks a few others and gives up.
#[test]
fn a_fleet_without_paths_gives_up() {
    let mut world = World::new(9, 16, 1);
    world.run(ms(1_000));
    world.cut = (0..9).collect();
    world.asked = 0;
    let (attempts, connected) = world.run(ms(2_000));
    assert_eq!(connected, 0);
    assert!(world.asked <= attempts * 4, "{} VMs asked", world.asked);
    world.cut.clear();
    world.run(ms(2_000));
    let (_, _) = world.run(ms(100));
    assert!(world.vms.iter().all(|reach| !reach.is_cut()));
}

/// Guards against a path to some targets that is given up because others are out of reach: a VM uses others for those
/// only.
#[test]
fn a_path_to_one_target_is_lost_alone() {
    let mut reach = Reach::new("entry");
    let now = START;
    reach.record_connected(now, 1);
    reach.record_failed(now, 2);
    reach.record_connected(now + ms(5), 3);
    assert!(
        !reach.record_tunnel(now + ms(10), 2, &"other".into()),
        "cut off from all"
    );
    assert_eq!(reach.path(now + ms(20), 2), Path::Tunnel);
    assert_eq!(reach.path(now + ms(20), 1), Path::Direct);
    // The path is tried again after a while.
    assert_eq!(reach.path(now + ms(2_100), 2), Path::Direct);
}

/// Guards against path checks that cost a connection each time a slow target is silent.
#[test]
fn sound_paths_are_checked_once_a_second() {
    let mut reach = Reach::new("entry");
    let mut now = START;
    reach.record_connected(now, 1);
    let mut checks = 0;
    for _ in 0..500 {
        now = now + ms(10);
        if reach.take_check(now) {
            checks += 1;
            reach.record_connected(now, 1);
        }
    }
    assert!((4..=6).contains(&checks), "{checks} checks in 5 s");
}
