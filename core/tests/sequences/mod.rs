//! Drawn sequences of tolerated events on the control VMs: planned replacements, lost disks, freezes and kills, one
//! after the other, each when the VMs before it have had the time to catch up.

use std::time::Duration;

use rand::RngExt;
use rand::seq::IndexedRandom;

use crate::simulation::{Cluster, Faults, ZONES};

/// Time for which a VM still counts as lost after it is back, or after its start if it is new.
const CATCH_UP: Duration = Duration::from_secs(4);

/// Longest time in which a command must be committed while no more is lost than is tolerated.
const COMMIT_WITHIN: Duration = Duration::from_secs(4);

/// Number of events in a sequence.
const EVENTS: u32 = 7;

/// Longest time from the announcement of a shutdown to the end of the process, as control processes have it.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// A tolerated event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Change {
    /// A new VM starts, and later the one that it replaces ends for good.
    NewFirst { graceful: bool, same_zone: bool },
    /// A VM ends for good, and later the one that replaces it starts.
    OldFirst { graceful: bool, same_zone: bool },
    /// A VM returns without its data.
    LostDisk,
    /// A process does not run for some time.
    Freeze,
    /// A process ends and starts again.
    Kill { graceful: bool },
}

/// A sequence of changes to one deployment.
struct Sequence {
    seed: u64,
    cluster: Cluster,
    /// Replicas whose VMs were not removed.
    replicas: Vec<usize>,
    changes: Vec<(Change, usize)>,
}

/// Guards against lost voters that stay in the membership after their successors have joined: each takes away one
/// loss that is tolerated, until no command is committed any more, for good.
///
/// `PRIMROSEPIN_SEQUENCES=N` plays N sequences instead of 48, from seed `PRIMROSEPIN_FIRST_SEED`.
#[test]
fn sequences_of_tolerated_changes_keep_a_quorum() {
    let variable =
        |name, default| std::env::var(name).map_or(default, |text| text.parse().unwrap());
    let first: u64 = variable("PRIMROSEPIN_FIRST_SEED", 0);
    for seed in first..first + variable("PRIMROSEPIN_SEQUENCES", 48) {
        let mut sequence = Sequence::new(seed);
        for _ in 0..EVENTS {
            sequence.play_change();
        }
        sequence.finish();
    }
}

impl Sequence {
    fn new(seed: u64) -> Self {
        let mut cluster = Cluster::with_open_membership(3, seed);
        cluster.bootstrap = false;
        cluster.faults = Faults {
            lost: cluster.rng.random_range(0..3),
            duplicated: cluster.rng.random_range(0..3),
            max_delay_ms: cluster.rng.random_range(1..20),
        };
        cluster.run(CATCH_UP);
        Self {
            seed,
            cluster,
            replicas: vec![0, 1, 2],
            changes: Vec::new(),
        }
    }

    fn run_ms(&mut self, range: std::ops::Range<u64>) {
        let time = self.cluster.rng.random_range(range);
        self.cluster.run(Duration::from_millis(time));
    }

    fn draw(&mut self) -> Change {
        let rng = &mut self.cluster.rng;
        let graceful = rng.random();
        let same_zone = rng.random_range(0..4) > 0;
        match rng.random_range(0..7) {
            0 | 1 => Change::NewFirst {
                graceful,
                same_zone,
            },
            2 => Change::OldFirst {
                graceful,
                same_zone,
            },
            3 | 4 => Change::LostDisk,
            5 => Change::Freeze,
            _ => Change::Kill { graceful },
        }
    }

    /// Chooses a replica, often the leader.
    fn choose(&mut self) -> usize {
        let leader = self.cluster.leader();
        match leader.filter(|leader| self.replicas.contains(leader)) {
            Some(leader) if self.cluster.rng.random_range(0..3) == 0 => leader,
            _ => *self.replicas.choose(&mut self.cluster.rng).unwrap(),
        }
    }

    fn play_change(&mut self) {
        let (change, replica) = (self.draw(), self.choose());
        self.changes.push((change, replica));
        match change {
            Change::NewFirst {
                graceful,
                same_zone,
            } => {
                let is_foreseeable = same_zone && self.is_alone_in_zone(replica);
                self.join(replica, same_zone);
                self.cluster.run(CATCH_UP);
                self.run_ms(0..1_000);
                self.end(replica, graceful);
                self.remove(replica);
                if !graceful && !is_foreseeable {
                    // Nothing tells which of the four is about to end, and two of four are no quorum: the loss
                    // must show before the next one.
                    self.cluster.run(CATCH_UP);
                }
            }
            Change::OldFirst {
                graceful,
                same_zone,
            } => {
                self.end(replica, graceful);
                self.run_ms(0..3_000);
                self.commit();
                self.join(replica, same_zone);
                self.remove(replica);
                self.cluster.run(CATCH_UP);
            }
            Change::LostDisk => {
                self.end(replica, false);
                self.cluster.lose_disk(replica);
                self.run_ms(200..2_000);
                self.commit();
                self.cluster.start(replica);
                self.cluster.run(CATCH_UP);
            }
            Change::Freeze => {
                let time = Duration::from_millis(self.cluster.rng.random_range(200..8_000));
                let end = self.cluster.now + time;
                self.cluster.pause(replica, time);
                self.commit();
                self.cluster.run(end.since(self.cluster.now) + CATCH_UP);
            }
            Change::Kill { graceful } => {
                self.end(replica, graceful);
                self.run_ms(200..2_000);
                self.commit();
                self.cluster.start(replica);
                self.cluster.run(CATCH_UP);
            }
        }
        self.run_ms(0..1_000);
        self.commit();
        self.cluster.verify();
    }

    /// Ends the process of a replica.
    fn end(&mut self, replica: usize, graceful: bool) {
        if graceful {
            self.cluster.leave(replica);
            let until = self.cluster.now + LEAVE_TIMEOUT;
            while self.cluster.now < until && !self.cluster.reducer(replica).may_end() {
                self.cluster.step();
            }
        }
        self.cluster.crash(replica);
    }

    fn is_alone_in_zone(&self, replica: usize) -> bool {
        let zone = |index: usize| self.cluster.replicas[index].zone;
        let mut others = self.replicas.iter().filter(|other| **other != replica);
        others.all(|other| zone(*other) != zone(replica))
    }

    /// Starts a new VM that replaces another one.
    fn join(&mut self, replaced: usize, same_zone: bool) {
        let zone = self.cluster.replicas[replaced].zone;
        let other = usize::from(!same_zone);
        let joined = self.cluster.join_in((zone + other) % ZONES);
        self.replicas.push(joined);
    }

    /// Takes a replica off the operator's list. Processes that run keep the list with which they started.
    fn remove(&mut self, replica: usize) {
        self.replicas.retain(|kept| *kept != replica);
        self.cluster.listed = self.replicas.iter().copied().take(3).collect();
    }

    /// Commits a command, and fails if that takes too long.
    fn commit(&mut self) {
        let start = self.cluster.now;
        let number = loop {
            if let Some(leader) = self.cluster.leader() {
                let number = self.cluster.propose(leader);
                let until = self.cluster.now + Duration::from_millis(500);
                while self.cluster.now < until && !self.cluster.acknowledged.contains(&number) {
                    self.cluster.step();
                }
                if self.cluster.acknowledged.contains(&number) {
                    break number;
                }
            }
            self.cluster.step();
            assert!(
                self.cluster.now.since(start) < COMMIT_WITHIN,
                "seed {}: no command is committed after {:?}\n{}",
                self.seed,
                self.changes,
                self.cluster.describe()
            );
        };
        assert!(self.cluster.acknowledged.contains(&number));
    }

    fn finish(mut self) {
        self.cluster.run(CATCH_UP * 2);
        assert!(
            self.cluster.running_are_members(),
            "seed {}: a replica is not a member, or one that left is, after {:?}\n{}",
            self.seed,
            self.changes,
            self.cluster.describe()
        );
        self.commit();
        self.cluster.verify();
    }
}
