//! Tests of the replicated log under faults, in a deterministic simulation.

mod sequences;
mod simulation;

use std::net::SocketAddr;
use std::time::Duration;

use primrosepin_core::consensus::{
    Body, Entry, Event, HardState, Id, Member, Members, Message, Payload, Reducer, Role, Settings,
    Snapshot,
};
use primrosepin_core::time::Instant;
use rand::RngExt;
use simulation::{Cluster, Faults, RELIABLE};

const SECOND: Duration = Duration::from_secs(1);

fn others(cluster: &Cluster, index: usize) -> Vec<usize> {
    (0..cluster.replicas.len())
        .filter(|i| *i != index)
        .collect()
}

/// Guards against a deployment that is bootstrapped twice or not at all, and against a loss of service after
/// a leader crashes: a new leader must be elected within two seconds.
#[test]
fn crashed_leader_is_replaced_within_two_seconds() {
    for seed in 0..20 {
        let mut cluster = Cluster::bootstrapped(3, seed);
        cluster.commit();
        let old = cluster.leader().unwrap();
        cluster.crash(old);
        cluster.run(SECOND * 2);
        assert!(
            cluster.leader().is_some(),
            "no leader after 2 s, seed {seed}"
        );
        cluster.commit();
        cluster.start(old);
        cluster.run(SECOND);
        cluster.verify();
    }
}

/// Guards against a leader that keeps accepting commands while it is partitioned, and against its
/// acknowledging commands that the other replicas have replaced.
#[test]
fn isolated_leader_steps_down_by_its_own_clock() {
    let mut cluster = Cluster::bootstrapped(3, 1);
    cluster.commit();
    let old = cluster.leader().unwrap();
    cluster.isolate(old, true);
    let lost = cluster.propose(old);
    cluster.run(SECOND);
    assert_ne!(cluster.reducer(old).role(), Role::Leader);
    let refused = cluster.propose(old);
    assert!(cluster.refused.contains(&refused));
    let kept = cluster.commit();
    cluster.isolate(old, false);
    cluster.commit();
    cluster.run(SECOND);
    assert!(cluster.acknowledged.contains(&kept));
    assert!(!cluster.acknowledged.contains(&lost));
    assert!(
        cluster.refused.contains(&lost),
        "the old leader must refuse the command that was replaced"
    );
    cluster.verify();
}

/// Guards against a leader that relies on an expired lease when its process resumes after a pause.
#[test]
fn paused_leader_refuses_commands_after_resuming() {
    let mut cluster = Cluster::bootstrapped(3, 2);
    let old = cluster.leader().unwrap();
    cluster.pause(old, SECOND * 5);
    cluster.run(Duration::from_millis(4_999));
    assert!(cluster.leader().is_some_and(|leader| leader != old));
    cluster.now = cluster.now + Duration::from_millis(1);
    cluster.resume(old);
    let refused = cluster.propose(old);
    assert!(cluster.refused.contains(&refused));
    assert_ne!(cluster.reducer(old).role(), Role::Leader);
}

/// Guards against a replica that votes under its old identity after it lost its disk. A committed entry
/// that is left only on one crashed replica must not be replaced by replicas that do not have it.
#[test]
fn replica_that_lost_its_disk_does_not_vote() {
    let mut cluster = Cluster::bootstrapped(3, 3);
    let leader = cluster.leader().unwrap();
    let [with_entry, without_entry] = others(&cluster, leader)[..] else {
        unreachable!()
    };
    cluster.isolate(without_entry, true);
    let number = cluster.commit();
    cluster.crash(leader);
    cluster.crash(with_entry);
    cluster.lose_disk(with_entry);
    cluster.isolate(without_entry, false);
    cluster.start(with_entry);
    cluster.run(SECOND * 20);
    assert_eq!(
        cluster.leader(),
        None,
        "a leader without the committed entry was elected"
    );
    cluster.start(leader);
    cluster.commit();
    cluster.run_until("all are voters", Cluster::all_are_voters);
    assert!(cluster.acknowledged.contains(&number));
    cluster.verify();
}

/// Guards against a replica without data that bootstraps a second deployment although one exists.
#[test]
fn replica_that_lost_its_disk_joins_instead_of_bootstrapping() {
    let mut cluster = Cluster::bootstrapped(3, 4);
    cluster.commit();
    let deployment = cluster.reducer(1).members().unwrap().deployment;
    cluster.crash(0);
    cluster.lose_disk(0);
    cluster.start(0);
    cluster.run_until("all are voters", Cluster::all_are_voters);
    for index in 0..3 {
        let members = cluster.reducer(index).members().unwrap();
        assert_eq!((members.deployment, members.list.len()), (deployment, 3));
    }
    cluster.verify();
}

/// Guards against data loss when a second VM is lost right after the first was replaced: a new voter must
/// have all committed entries before it counts towards a quorum.
#[test]
fn second_vm_may_be_lost_right_after_a_replacement() {
    for seed in 0..20 {
        let mut cluster = Cluster::bootstrapped(3, seed);
        for _ in 0..50 {
            cluster.commit();
        }
        let leader = cluster.leader().unwrap();
        let [first, second] = others(&cluster, leader)[..] else {
            unreachable!()
        };
        cluster.crash(first);
        cluster.lose_disk(first);
        let number = cluster.commit();
        cluster.start(first);
        cluster.run_until("all are voters", Cluster::all_are_voters);
        let lost = if seed % 2 == 0 { second } else { leader };
        cluster.crash(lost);
        cluster.lose_disk(lost);
        cluster.commit();
        assert!(cluster.acknowledged.contains(&number));
        cluster.start(lost);
        cluster.run_until("all are voters again", Cluster::all_are_voters);
        cluster.verify();
    }
}

/// Guards against a learner that counts towards the quorum, and against a replacement that needs more live
/// replicas than committing does.
#[test]
fn learner_does_not_delay_commits() {
    let mut cluster = Cluster::bootstrapped(3, 6);
    let leader = cluster.leader().unwrap();
    let first = others(&cluster, leader)[0];
    cluster.crash(first);
    cluster.lose_disk(first);
    cluster.start(first);
    cluster.run_until("learner", |cluster| {
        let members = cluster.reducer(leader).members().unwrap();
        members.list.iter().any(|member| !member.voter)
    });
    cluster.crash(first);
    cluster.run(SECOND);
    cluster.commit();
    // The learner loses its disk again, and its second id replaces the first one.
    cluster.lose_disk(first);
    cluster.start(first);
    cluster.run_until("all are voters", Cluster::all_are_voters);
}

/// Guards against a follower that never catches up once the leader has dropped the entries it needs, and
/// against a snapshot that is assembled from chunks of two snapshots.
#[test]
fn follower_behind_the_log_start_gets_a_snapshot() {
    for seed in 0..10 {
        let mut cluster = Cluster::bootstrapped(3, seed);
        let away = others(&cluster, cluster.leader().unwrap())[0];
        cluster.isolate(away, true);
        for _ in 0..150 {
            cluster.commit();
        }
        cluster.faults = Faults {
            lost: 10,
            duplicated: 10,
            max_delay_ms: 30,
        };
        cluster.isolate(away, false);
        let target = cluster.reducer(cluster.leader().unwrap()).commit();
        cluster.run_until("caught up", |c| c.reducer(away).applied() >= target);
        cluster.verify();
    }
}

/// Guards against a replacement VM at a new address that never becomes a voter, so that the loss of a second
/// VM stops the deployment.
#[test]
fn replica_at_another_address_replaces_a_lost_one() {
    for seed in 0..10 {
        let mut cluster = Cluster::with_open_membership(3, seed);
        let number = cluster.commit();
        let lost = if seed % 2 == 0 { 0 } else { 2 };
        cluster.crash(lost);
        let joined = cluster.join();
        let voters: Vec<usize> = others(&cluster, lost);
        cluster.run_until("replaced", |cluster| cluster.voters_are(&voters));
        cluster.crash(joined);
        cluster.commit();
        assert!(cluster.acknowledged.contains(&number));
        cluster.start(joined);
        cluster.run(SECOND);
        cluster.verify();
    }
}

/// Guards against a planned replacement that leaves the departed voter in the membership: with an even
/// number of voters, the deployment tolerates fewer losses.
#[test]
fn voter_that_left_after_its_replacement_joined_is_removed() {
    for seed in 0..10 {
        let mut cluster = Cluster::with_open_membership(3, seed);
        cluster.commit();
        cluster.join();
        cluster.run_until("joined", |cluster| cluster.members_are(&[0, 1, 2, 3], 3));
        let left = cluster.leader().unwrap();
        cluster.leave(left);
        cluster.crash(left);
        let rest = others(&cluster, left);
        cluster.run_until("removed", |cluster| cluster.voters_are(&rest));
        cluster.crash(rest[0]);
        cluster.commit();
        cluster.verify();
    }
}

/// Guards against the old id of a replica that lost its data staying among the members as a silent learner, after
/// another replica has taken its vote.
#[test]
fn old_id_of_a_replica_without_data_goes_when_it_joins_again() {
    for seed in 0..10 {
        let mut cluster = Cluster::with_open_membership(3, seed);
        cluster.bootstrap = false;
        cluster.join();
        cluster.run_until("joined", Cluster::running_are_members);
        cluster.run(SECOND * 4);
        let lost = others(&cluster, cluster.leader().unwrap())[2];
        cluster.crash(lost);
        cluster.lose_disk(lost);
        // It is admitted again at once, but gets no data before the silence of its old id has cost it its vote.
        cluster.block(lost, false, true);
        cluster.start(lost);
        cluster.run(SECOND + SECOND / 4);
        cluster.isolate(lost, false);
        cluster.run(SECOND);
        assert!(cluster.running_are_members(), "{}", cluster.describe());
        cluster.verify();
    }
}

/// Guards against a replica that was replaced while it was partitioned and then never joins again, or counts
/// under its old id.
#[test]
fn replaced_replica_joins_again_without_data() {
    for seed in 0..10 {
        let mut cluster = Cluster::with_open_membership(3, seed);
        cluster.commit();
        let away = others(&cluster, cluster.leader().unwrap())[0];
        cluster.isolate(away, true);
        cluster.join();
        cluster.isolate(away, true);
        let voters = others(&cluster, away);
        cluster.run_until("replaced", |cluster| cluster.voters_are(&voters));
        let number = cluster.commit();
        cluster.isolate(away, false);
        // A fourth voter would raise the quorum and tolerate no further loss.
        cluster.run_until("all are members", |cluster| {
            cluster.members_are(&[0, 1, 2, 3], 3)
        });
        let target = cluster.reducer(cluster.leader().unwrap()).commit();
        cluster.run_until("caught up", |c| c.reducer(away).applied() >= target);
        assert!(cluster.acknowledged.contains(&number));
        cluster.verify();
    }
}

/// Guards against a control VM without data that stays outside for good once no seed leads: only the leader
/// admits replicas, and a replica without data knows the seeds alone.
#[test]
fn replica_without_data_joins_through_seeds_that_do_not_lead() {
    for seed in 0..20 {
        let mut cluster = Cluster::with_open_membership(3, seed);
        cluster.bootstrap = false;
        let joined = [cluster.join(), cluster.join()];
        cluster.run_until("joined", |cluster| {
            cluster.voters_are(&[0, 1, 2, joined[0], joined[1]])
        });
        while !cluster
            .leader()
            .is_some_and(|leader| joined.contains(&leader))
        {
            if let Some(leader) = cluster.leader() {
                cluster.leave(leader);
                cluster.crash(leader);
                cluster.start(leader);
            }
            cluster.run(SECOND);
        }
        let number = cluster.commit();
        for lost in [0, 1] {
            cluster.crash(lost);
            cluster.lose_disk(lost);
            cluster.start(lost);
        }
        cluster.run_until("joined again", Cluster::running_are_members);
        cluster.run(SECOND * 2);
        // The next loss that is tolerated must leave a quorum.
        for lost in [2, cluster.leader().unwrap()] {
            cluster.crash(lost);
            cluster.lose_disk(lost);
        }
        cluster.commit();
        assert!(cluster.acknowledged.contains(&number));
        cluster.verify();
    }
}

/// Guards against a replica that is shut out for good because it lost contact just as it joined: its id is
/// removed before it has any data, and must be given up like that of a replica with data.
#[test]
fn replica_removed_before_it_had_data_joins_with_a_new_id() {
    for seed in 0..20 {
        let mut cluster = Cluster::with_open_membership(3, seed);
        cluster.bootstrap = false;
        let lost = others(&cluster, cluster.leader().unwrap())[0];
        cluster.crash(lost);
        cluster.lose_disk(lost);
        // A path that works in one direction: requests to join arrive, and the data does not.
        if seed % 2 == 0 {
            cluster.block(lost, false, true);
        }
        cluster.start(lost);
        let id = cluster.reducer(lost).id();
        cluster.run_until("admitted", |cluster| {
            let members = cluster.reducer(cluster.leader().unwrap()).members();
            members.is_some_and(|members| members.get(id).is_some())
        });
        cluster.pause(lost, SECOND * 7);
        cluster.run(SECOND * 7);
        cluster.isolate(lost, false);
        cluster.run(CATCH_UP);
        assert!(cluster.running_are_members(), "{}", cluster.describe());
        let leader = cluster.leader().unwrap();
        cluster.crash(leader);
        cluster.commit();
        cluster.verify();
    }
}

/// Guards against replicas without data that never find the members because none of the replicas in their
/// settings has data: a member that lists them tells them where the deployment is.
#[test]
fn members_find_listed_replicas_without_data() {
    for seed in 0..20 {
        let mut cluster = Cluster::with_open_membership(3, seed);
        cluster.bootstrap = false;
        let joined = [cluster.join(), cluster.join(), cluster.join()];
        cluster.run_until("joined", Cluster::running_are_members);
        // The first seed leaves for good, and the two others lose their disks.
        cluster.crash(0);
        let rest = [&[1, 2], &joined[..]].concat();
        cluster.run_until("replaced", |cluster| cluster.voters_are(&rest));
        for lost in [1, 2] {
            cluster.crash(lost);
            cluster.lose_disk(lost);
        }
        if seed % 2 == 0 {
            // Their old ids are removed before they return, so that no member addresses them any more.
            cluster.run(SECOND * 8);
        }
        cluster.start(1);
        cluster.start(2);
        cluster.run(CATCH_UP);
        assert!(cluster.running_are_members(), "{}", cluster.describe());
        cluster.verify();
    }
}

/// Guards against a replaced replica that forgets the members together with its data, when the replicas in
/// the settings of its process have left.
#[test]
fn replaced_replica_remembers_the_members() {
    for seed in 0..20 {
        let mut cluster = Cluster::with_open_membership(3, seed);
        cluster.bootstrap = false;
        let joined = [cluster.join(), cluster.join(), cluster.join()];
        cluster.run_until("joined", Cluster::running_are_members);
        cluster.run(CATCH_UP);
        let away = joined[0];
        cluster.isolate(away, true);
        cluster.run(SECOND * 8);
        for left in 0..3 {
            let successor = cluster.join();
            cluster.crash(left);
            cluster.isolate(away, true);
            cluster.run(SECOND * 8);
            cluster.listed[left] = successor;
        }
        cluster.isolate(away, false);
        cluster.run(CATCH_UP);
        assert!(cluster.running_are_members(), "{}", cluster.describe());
        cluster.verify();
    }
}

/// Guards against replicas that run on and look for the others at seeds that have left: seeds are exchanged
/// while processes run.
#[test]
fn replica_joins_through_seeds_that_were_exchanged_while_it_ran() {
    for seed in 0..20 {
        let mut cluster = Cluster::with_open_membership(3, seed);
        cluster.bootstrap = false;
        cluster.commit();
        // All seeds leave one after the other, and the settings still name them when the last VM starts.
        let mut successors = Vec::new();
        for left in 0..3 {
            successors.push(cluster.join());
            cluster.run(CATCH_UP);
            cluster.crash(left);
            cluster.run(CATCH_UP);
        }
        let joined = cluster.join();
        cluster.run(SECOND);
        assert!(cluster.reducer(joined).members().is_none());
        cluster.list(successors);
        cluster.run(CATCH_UP);
        assert!(cluster.running_are_members(), "{}", cluster.describe());
        cluster.verify();
    }
}

/// Guards against a leader that serves a read on an expired lease: the time of the last quorum contact must
/// not advance after a partition, when another leader may have committed entries.
#[test]
fn quorum_contact_does_not_advance_during_isolation() {
    let mut cluster = Cluster::with_open_membership(3, 7);
    cluster.commit();
    cluster.run(SECOND);
    let old = cluster.leader().unwrap();
    let known = cluster.reducer(old).last_quorum_contact().unwrap();
    assert!(cluster.now.since(known) < Duration::from_millis(300));
    cluster.isolate(old, true);
    let isolated_at = cluster.now;
    for _ in 0..30 {
        cluster.run(Duration::from_millis(100));
        if let Some(at) = cluster.reducer(old).last_quorum_contact() {
            assert!(
                at <= isolated_at,
                "quorum contact is later than the start of the partition"
            );
        }
    }
    assert_eq!(cluster.reducer(old).last_quorum_contact(), None);
    let new = cluster.leader().unwrap();
    assert!(
        cluster
            .reducer(new)
            .last_quorum_contact()
            .is_some_and(|at| at > isolated_at)
    );
}

/// Guards against a graceful shutdown that leaves the deployment without a leader for an election timeout.
#[test]
fn leader_that_shuts_down_transfers_leadership() {
    for seed in 0..10 {
        let mut cluster = Cluster::bootstrapped(3, seed);
        cluster.commit();
        let old = cluster.leader().unwrap();
        cluster.leave(old);
        cluster.crash(old);
        cluster.run(Duration::from_millis(100));
        assert!(
            cluster.leader().is_some(),
            "no leader after 100 ms, seed {seed}"
        );
    }
}

/// Guards against a permanently lost replica that still counts towards the quorum, and against a removal
/// that leaves the other replicas without a quorum.
#[test]
fn member_is_removed_only_if_the_others_form_a_quorum() {
    for seed in 0..10 {
        let mut cluster = Cluster::bootstrapped(4, seed);
        cluster.run(SECOND);
        let leader = cluster.leader().unwrap();
        let [lost, follower, other] = others(&cluster, leader)[..] else {
            unreachable!()
        };
        cluster.crash(lost);
        cluster.remove(follower, lost);
        let count = |cluster: &Cluster, index: usize| {
            cluster
                .reducer(index)
                .committed_members()
                .unwrap()
                .list
                .len()
        };
        cluster.run_until("removed", |cluster| count(cluster, leader) == 3);
        // With three members, two live ones form a quorum; with four, three would be needed.
        cluster.crash(other);
        cluster.commit();
        cluster.run(SECOND);
        cluster.remove(leader, follower);
        cluster.run(SECOND);
        assert_eq!(
            count(&cluster, leader),
            3,
            "a removal must be refused if the remaining live voters are not a quorum"
        );
        cluster.start(other);
        cluster.run(SECOND);
        // A leader that is removed transfers leadership.
        cluster.remove(leader, leader);
        cluster.run_until("handed over", |cluster| {
            let next = cluster.leader();
            next.is_some_and(|next| next != leader && count(cluster, next) == 2)
        });
        cluster.commit();
        cluster.verify();
    }
}

/// Guards against a leader that commits an entry of an earlier term by counting replicas: a later leader
/// could still replace it. It must be committed only together with an entry of the leader's own term.
#[test]
fn entries_of_earlier_terms_are_committed_with_an_entry_of_the_current_term() {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let member = |id: u64| Member {
        id: Id(id),
        vm: format!("control-{id}").into(),
        address,
        voter: true,
    };
    let snapshot = Snapshot {
        index: 0,
        term: 0,
        members: Members {
            deployment: 1,
            list: vec![member(1), member(2), member(3)],
            removed: Vec::new(),
        },
        state: [].into(),
    };
    let hard_state = HardState {
        id: Id(1),
        term: 2,
        voted_for: None,
        initialized: true,
    };
    let earlier = Entry {
        term: 1,
        index: 1,
        payload: Payload::Noop,
    };
    let settings = Settings::new("control-1".into(), address, Vec::new(), false, 1);
    let start = Instant::default();
    let mut reducer = Reducer::new(settings, start, hard_state, Some(snapshot), vec![earlier]);
    let mut effects = Vec::new();
    let now = start + SECOND * 2;
    let answer = |body| {
        Event::Received(Message {
            deployment: 1,
            from: Id(2),
            to: Id(1),
            address,
            body,
        })
    };
    let vote = |pre| Body::VoteResponse {
        term: 3,
        pre_vote: pre,
        granted: true,
    };
    let appended = |index| Body::AppendResponse {
        term: 3,
        accepted: true,
        index,
        round: 1,
    };
    let events = [
        Event::Tick,
        answer(vote(true)),
        Event::Persisted { sequence: 1 },
        answer(vote(false)),
        Event::Persisted { sequence: 2 },
        answer(appended(1)),
    ];
    for event in events {
        reducer.apply(now, event, &mut effects);
    }
    assert_eq!((reducer.role(), reducer.commit()), (Role::Leader, 0));
    reducer.apply(now, answer(appended(2)), &mut effects);
    assert_eq!(reducer.commit(), 2);
}

/// Guards against two leaders in a term, lost or changed entries, and acknowledged commands that are not
/// committed, under random mixes of lost, duplicated and reordered messages, partitions, pauses, crashes that
/// lose unsynced writes, and lost disks.
///
/// `PRIMROSEPIN_SCHEDULES=N` runs N schedules instead of 60.
#[test]
fn random_schedules_keep_all_invariants() {
    let schedules =
        std::env::var("PRIMROSEPIN_SCHEDULES").map_or(60, |count| count.parse().unwrap());
    let mut acknowledged = 0;
    let mut terms = 0;
    for seed in 0..schedules {
        let cluster = run_schedule(seed);
        acknowledged += cluster.acknowledged.len();
        terms += cluster.reducer(cluster.leader().unwrap()).term();
    }
    println!("{schedules} schedules: {acknowledged} commands acknowledged in {terms} terms");
    // Schedules that commit nothing or never change the leader check nothing. The bounds lie below the
    // averages of the 60 default schedules, 110 commands and 2.8 terms.
    assert!(acknowledged > schedules as usize * 50 && terms > schedules * 2);
}

fn run_schedule(seed: u64) -> Cluster {
    let count = [3, 4, 5][seed as usize % 3];
    let mut cluster = Cluster::bootstrapped(count, seed);
    cluster.faults = Faults {
        lost: cluster.rng.random_range(0..20),
        duplicated: cluster.rng.random_range(0..20),
        max_delay_ms: cluster.rng.random_range(1..60),
    };
    for _ in 0..40 {
        perform_random_action(&mut cluster);
        let time = cluster.rng.random_range(1..400);
        cluster.run(Duration::from_millis(time));
    }
    cluster.faults = RELIABLE;
    cluster.blocked.clear();
    for index in 0..count {
        if cluster.replicas[index].reducer.is_none() {
            cluster.start(index);
        }
    }
    cluster.run_until("all are voters", Cluster::all_are_voters);
    cluster.commit();
    let target = cluster.reducer(cluster.leader().unwrap()).commit();
    cluster.run_until("all applied", |cluster| {
        (0..count).all(|index| cluster.reducer(index).applied() >= target)
    });
    cluster.verify();
    cluster
}

/// Performs one random fault, recovery or series of proposals.
fn perform_random_action(cluster: &mut Cluster) {
    let count = cluster.replicas.len();
    let index = cluster.rng.random_range(0..count);
    let running = cluster.replicas[index].reducer.is_some();
    match cluster.rng.random_range(0..100) {
        0..10 if running => cluster.crash(index),
        0..20 if !running => cluster.start(index),
        20..22 => cluster.leave(index),
        22..25 => {
            let time = cluster.rng.random_range(1..3_000);
            cluster.pause(index, Duration::from_millis(time));
        }
        25..32 => cluster.isolate(index, true),
        32..36 => {
            let other = cluster.rng.random_range(0..count);
            cluster.blocked.insert((index, other));
        }
        36..45 => cluster.blocked.clear(),
        // The protocol tolerates the loss of a disk only after the previous one was replaced.
        45..55 if cluster.all_are_voters() && count > 2 => {
            cluster.crash(index);
            cluster.lose_disk(index);
            cluster.start(index);
        }
        _ => {
            for _ in 0..cluster.rng.random_range(1..20) {
                if let Some(leader) = cluster.leader() {
                    cluster.propose(leader);
                }
                let any = cluster.rng.random_range(0..count);
                cluster.propose(any);
            }
        }
    }
}

/// Guards against control VMs that stay outside the members for good, so that a later loss takes the quorum:
/// under random mixes of lost disks, freezes, cuts in one or both directions, restarts, replaced VMs and
/// changed seeds, no more at a time than the deployment tolerates, every running replica is a member again
/// within the time to catch up, and commands are committed all the while.
///
/// `PRIMROSEPIN_SCHEDULES=N` runs N schedules instead of 24, from seed `PRIMROSEPIN_FIRST_SEED`.
#[test]
fn random_schedules_with_open_membership_leave_no_replica_outside() {
    let variable =
        |name, default| std::env::var(name).map_or(default, |text| text.parse().unwrap());
    let first: u64 = variable("PRIMROSEPIN_FIRST_SEED", 0);
    let (mut terms, mut led_by_others) = (0, 0);
    for seed in first..first + variable("PRIMROSEPIN_SCHEDULES", 24) {
        let mut schedule = OpenSchedule::new(seed);
        for round in 0..8 {
            schedule.play_round(round);
        }
        let cluster = schedule.finish();
        let leader = cluster.leader().unwrap();
        terms += cluster.reducer(leader).term();
        led_by_others += usize::from(!cluster.listed.contains(&leader));
    }
    println!("{terms} terms, {led_by_others} schedules ended with a leader that is no seed");
}

/// Time after its return for which a replica still counts as lost.
const CATCH_UP: Duration = Duration::from_secs(6);

/// Longest time for which a replica is frozen or cut off.
const MAX_LOSS_MS: u64 = 7_500;

/// What happens to a replica in a round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    Disk,
    Process,
    Freeze,
    Cut,
    CutInbound,
    CutOutbound,
    /// The VM does not return; another one takes its place.
    Replaced,
}

/// A random schedule for a deployment with open membership.
struct OpenSchedule {
    seed: u64,
    cluster: Cluster,
    /// Replicas that may be lost at the same time.
    tolerance: usize,
    /// A seed that was replaced while the operator's list still names it, with its successor.
    outdated_seed: Option<(usize, usize)>,
}

impl OpenSchedule {
    fn new(seed: u64) -> Self {
        let count = [3, 5, 6, 8][seed as usize % 4];
        let tolerance = if count < 5 { 1 } else { 2 };
        let mut cluster = Cluster::with_tolerance(3, tolerance, seed);
        cluster.bootstrap = false;
        for _ in 3..count {
            cluster.join();
        }
        cluster.run_until("all joined", Cluster::running_are_members);
        cluster.faults = Faults {
            lost: cluster.rng.random_range(0..5),
            duplicated: cluster.rng.random_range(0..5),
            max_delay_ms: cluster.rng.random_range(1..20),
        };
        cluster.run(CATCH_UP);
        Self {
            seed,
            cluster,
            tolerance,
            outdated_seed: None,
        }
    }

    fn running(&self) -> Vec<usize> {
        let replicas = &self.cluster.replicas;
        (0..replicas.len())
            .filter(|index| replicas[*index].reducer.is_some())
            .collect()
    }

    /// Chooses a replica, often the leader or a seed.
    fn choose(&mut self) -> usize {
        let running = self.running();
        match self.cluster.rng.random_range(0..4) {
            0 => self.cluster.leader().unwrap_or(running[0]),
            1 | 2 => {
                let seeds: Vec<usize> = self.cluster.listed.clone();
                let seeds: Vec<usize> = seeds.into_iter().filter(|s| running.contains(s)).collect();
                let chosen = self.cluster.rng.random_range(0..seeds.len().max(1));
                seeds.get(chosen).copied().unwrap_or(running[0])
            }
            _ => running[self.cluster.rng.random_range(0..running.len())],
        }
    }

    fn play_round(&mut self, round: u32) {
        if self.cluster.rng.random_range(0..8) == 0 {
            self.restart_all();
        }
        let mut lost: Vec<(usize, Loss)> = Vec::new();
        for _ in 0..self.cluster.rng.random_range(1..=self.tolerance) {
            let chosen = self.choose();
            if lost.iter().all(|(index, _)| *index != chosen) {
                let loss = match self.cluster.rng.random_range(0..10) {
                    0..3 => Loss::Disk,
                    3 => Loss::Process,
                    4..6 => Loss::Freeze,
                    6 => Loss::Cut,
                    7 => Loss::CutInbound,
                    8 => Loss::CutOutbound,
                    _ => Loss::Replaced,
                };
                lost.push((chosen, loss));
            }
        }
        let outdated_seed = self.outdated_seed.take();
        let mut ends = Vec::new();
        for (index, loss) in &lost {
            let time = self.cluster.rng.random_range(200..MAX_LOSS_MS);
            ends.push((
                self.cluster.now + Duration::from_millis(time),
                *index,
                *loss,
            ));
            self.begin(*index, *loss, Duration::from_millis(time));
        }
        ends.sort_by_key(|(at, ..)| *at);
        self.commit();
        for (at, index, loss) in ends {
            while self.cluster.now < at {
                self.cluster.step();
            }
            self.end(index, loss);
        }
        if let Some((left, joined)) = outdated_seed {
            self.exchange_seed(left, joined);
        }
        self.commit();
        self.cluster.run(CATCH_UP);
        assert!(
            self.cluster.running_are_members(),
            "seed {}, round {round}: a replica is not a member {CATCH_UP:?} after the end of {lost:?}\n{}",
            self.seed,
            self.cluster.describe()
        );
        self.cluster.verify();
    }

    fn begin(&mut self, index: usize, loss: Loss, time: Duration) {
        let cluster = &mut self.cluster;
        match loss {
            Loss::Disk => {
                cluster.crash(index);
                cluster.lose_disk(index);
            }
            Loss::Process | Loss::Replaced => cluster.crash(index),
            Loss::Freeze => cluster.pause(index, time),
            Loss::Cut => cluster.isolate(index, true),
            Loss::CutInbound => cluster.block(index, false, true),
            Loss::CutOutbound => cluster.block(index, true, false),
        }
    }

    fn end(&mut self, index: usize, loss: Loss) {
        let cluster = &mut self.cluster;
        match loss {
            Loss::Disk | Loss::Process => {
                cluster.start(index);
                // A replica that loses contact just as it joins.
                if cluster.rng.random_range(0..3) == 0 {
                    let after = cluster.rng.random_range(1..1_000);
                    cluster.run(Duration::from_millis(after));
                    let time = cluster.rng.random_range(200..MAX_LOSS_MS);
                    cluster.pause(index, Duration::from_millis(time));
                    cluster.run(Duration::from_millis(time));
                }
            }
            Loss::Freeze => {}
            Loss::Cut | Loss::CutInbound | Loss::CutOutbound => cluster.isolate(index, false),
            Loss::Replaced => {
                let joined = cluster.join();
                if !cluster.listed.contains(&index) {
                    return;
                }
                // The operator's list names the new VM at once, or only after the next round.
                if cluster.rng.random_range(0..2) == 0 && self.outdated_seed.is_none() {
                    self.outdated_seed = Some((index, joined));
                } else {
                    self.exchange_seed(index, joined);
                }
            }
        }
    }

    fn exchange_seed(&mut self, left: usize, joined: usize) {
        let mut listed = self.cluster.listed.clone();
        for seed in listed.iter_mut().filter(|seed| **seed == left) {
            *seed = joined;
        }
        self.cluster.list(listed);
    }

    /// Commits a command, and fails if that takes longer than the time to catch up.
    fn commit(&mut self) {
        let start = self.cluster.now;
        self.cluster.commit();
        let took = self.cluster.now.since(start);
        assert!(
            took < CATCH_UP,
            "seed {}: a command took {took:?}\n{}",
            self.seed,
            self.cluster.describe()
        );
    }

    /// Kills all processes at the same moment; they return within a second.
    fn restart_all(&mut self) {
        let running = self.running();
        for index in &running {
            self.cluster.crash(*index);
        }
        for index in &running {
            let time = self.cluster.rng.random_range(0..200);
            self.cluster.run(Duration::from_millis(time));
            self.cluster.start(*index);
        }
        self.cluster.run(CATCH_UP);
        self.commit();
    }

    fn finish(mut self) -> Cluster {
        let cluster = &mut self.cluster;
        cluster.faults = RELIABLE;
        cluster.commit();
        let target = cluster.reducer(cluster.leader().unwrap()).commit();
        cluster.run_until("all applied", |cluster| {
            let running = cluster.replicas.iter().filter_map(|r| r.reducer.as_ref());
            running
                .into_iter()
                .all(|reducer| reducer.applied() >= target)
        });
        cluster.verify();
        self.cluster
    }
}

/// Guards against a replica that answers reads from an old state after a restart: it must not count as
/// current before it has applied everything that was committed when it started again.
#[test]
fn a_restarted_replica_is_not_current_before_it_has_caught_up() {
    for seed in 0..20 {
        let mut cluster = Cluster::bootstrapped(3, seed);
        for _ in 0..10 {
            cluster.commit();
        }
        let follower = others(&cluster, cluster.leader().unwrap())[0];
        cluster.crash(follower);
        for _ in 0..30 {
            cluster.commit();
        }
        let committed = cluster.reducer(cluster.leader().unwrap()).commit();
        cluster.start(follower);
        let all: Vec<usize> = (0..3).collect();
        check_current(&mut cluster, &[follower], committed);
        // A restart of all: no replica knows what is committed before one of them leads.
        let committed = cluster.reducer(cluster.leader().unwrap()).commit();
        for index in &all {
            cluster.crash(*index);
        }
        for index in &all {
            cluster.start(*index);
        }
        check_current(&mut cluster, &all, committed);
    }
}

/// Runs until all of these replicas are current, and checks at each step that none is current too early.
fn check_current(cluster: &mut Cluster, replicas: &[usize], committed: u64) {
    for _ in 0..20_000 {
        let mut current = 0;
        for index in replicas {
            let reducer = cluster.reducer(*index);
            if reducer.has_caught_up() {
                current += 1;
                assert!(
                    reducer.applied() >= committed,
                    "replica {index} counts as current with {} of {committed} entries applied",
                    reducer.applied()
                );
            }
        }
        if current == replicas.len() {
            return;
        }
        cluster.step();
    }
    panic!("not all replicas became current");
}
