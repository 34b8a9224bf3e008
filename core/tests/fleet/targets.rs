//! Targets that come, go, turn cold and change their addresses.

use primrosepin_core::fleet::{Directory, Event, Outcome, State};

use super::support::{Fleet, START, announcement, ms, request};

/// Guards against an announcement that was held up by a partition and brings back a target that has been
/// replaced at its address.
#[test]
fn a_delayed_announcement_does_not_bring_back_an_earlier_start() {
    let mut directory = Directory::default();
    let mut earlier = announcement("engine", 1, 0);
    let mut later = earlier.clone();
    later.name = "engine-1b".into();
    later.started_ms = 2;
    assert!(directory.announce(START, later.clone()).is_some());
    assert!(directory.announce(START, earlier.clone()).is_none());
    // The same name may start again: its counts start anew, and its time of start decides.
    earlier.address = "10.9.9.9:80".parse().unwrap();
    earlier.sequence = 500;
    assert!(directory.announce(START, earlier.clone()).is_some());
    earlier.started_ms = 3;
    earlier.sequence = 1;
    assert!(directory.announce(START, earlier.clone()).is_some());
    earlier.started_ms = 1;
    earlier.sequence = 501;
    assert!(directory.announce(START, earlier).is_none());
}

/// Guards against a target that said that it leaves and is used again because an older announcement, or one
/// after its end, arrives late.
#[test]
fn a_target_that_left_stays_away() {
    let mut directory = Directory::default();
    let mut ready = announcement("engine", 1, 0);
    ready.sequence = 7;
    let mut draining = ready.clone();
    draining.sequence = 8;
    draining.state = State::Draining;
    directory.announce(START, draining.clone());
    assert!(directory.announce(START, ready.clone()).is_none());
    assert_eq!(directory.usable(START), 0);
    directory.withdraw(START, &ready.name);
    ready.sequence = 9;
    assert!(directory.announce(START, ready).is_none());
    assert_eq!(directory.usable(START), 0);
}

/// Guards against targets that are silent for good and still get work.
#[test]
fn silent_targets_get_no_work() {
    let mut fleet = Fleet::new(1, 2);
    assert_eq!(fleet.vms[0].directory().usable(fleet.now), 5);
    fleet.now = fleet.now + ms(4_500);
    assert_eq!(fleet.vms[0].directory().usable(fleet.now), 0);
}

/// Guards against an announcement that was taken before a suspension and counts as news after it: its age
/// at the sender counts.
#[test]
fn the_age_of_an_announcement_counts() {
    let mut fleet = Fleet::new(1, 0);
    let mut old = announcement("engine", 1, 0);
    old.sequence = 9;
    fleet.apply(
        0,
        Event::Announced(primrosepin_core::fleet::Entry {
            announcement: old,
            age_ms: 5_000,
        }),
    );
    let id = fleet.arrive(0, request("short", 2_000));
    assert!(fleet.dispatch(id).is_none());
}

/// Guards against entry VMs that each try a dead target again and again until its lease ends.
#[test]
fn an_unreachable_target_is_avoided_until_its_next_announcement() {
    let mut fleet = Fleet::new(1, 3);
    let first = fleet.arrive(0, request("short", 2_000));
    let dead = fleet.dispatch(first).unwrap().name.to_string();
    fleet.end(0, first, Outcome::Unreachable);
    assert_ne!(&*fleet.dispatch(first).unwrap().name, dead);
    for _ in 0..10 {
        fleet.run(ms(100));
        let id = fleet.arrive(0, request("short", 2_000));
        assert_ne!(&*fleet.dispatch(id).unwrap().name, dead);
        fleet.end(0, id, Outcome::Served);
    }
}

/// Guards against an address that belongs to another target by now: the named one is not there any more.
#[test]
fn a_target_that_moved_is_not_tried_again() {
    let mut fleet = Fleet::new(1, 3);
    let id = fleet.arrive(0, request("short", 2_000));
    let moved = fleet.dispatch(id).unwrap().name.to_string();
    fleet.end(0, id, Outcome::WrongTarget);
    assert_ne!(&*fleet.dispatch(id).unwrap().name, moved);
    for _ in 0..20 {
        let id = fleet.arrive(0, request("short", 2_000));
        assert_ne!(&*fleet.dispatch(id).unwrap().name, moved);
    }
}

/// Guards against a target in cold start that gets more than it bears, summed over all entry VMs, also when
/// they do not hear each other, and when one request of each VM is already too many.
#[test]
fn a_cold_target_gets_its_budget_from_all_vms_together() {
    for (vms, least) in [(9, 18), (80, 5)] {
        cold_budget(vms, least);
    }
}

fn cold_budget(vms: usize, least: u32) {
    let mut fleet = Fleet::new(vms, 0);
    let mut cold = announcement("engine", 1, 0);
    cold.cold_ms = 3_000;
    fleet.announce(cold);
    fleet.cut = (0..vms).collect();
    let mut sent = 0;
    for number in 0..900 {
        let id = fleet.arrive(number % vms, request("short", 500));
        if fleet.dispatch(id).is_some() {
            sent += 1;
            fleet.end(number % vms, id, Outcome::Served);
        }
        fleet.now = fleet.now + ms(1);
    }
    assert!(
        f64::from(sent) <= 36.0 * 1.5 + 5.0,
        "{sent} in less than a second"
    );
    assert!(sent >= least, "the budget is hardly used: {sent}");
}
