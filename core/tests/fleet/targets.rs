//! Targets that start, leave, go cold and change their addresses.

use std::time::Duration;

use primrosepin_core::fleet::{Announcement, Directory, Entry, Event, Notice, Outcome, State};

use super::support::{Fleet, START, announcement, ms, request};

/// Guards against an announcement delayed by a partition that brings back a target which has been
/// replaced at its address.
#[test]
fn a_delayed_announcement_does_not_bring_back_a_replaced_target() {
    let mut directory = Directory::default();
    let mut earlier = announcement("engine", 1, 0);
    let mut later = earlier.clone();
    later.name = "engine-1b".into();
    later.started_ms = 2;
    assert!(directory.announce(START, later.clone()).is_some());
    assert!(directory.announce(START, earlier.clone()).is_none());
    // A target may restart under the same name: its sequence numbers start again, and its start
    // time decides.
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

/// Guards against using a target that announced that it leaves, because an older announcement or
/// one after its end arrives late.
#[test]
fn late_announcements_do_not_bring_back_a_target_that_left() {
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

/// Guards against a late announcement that brings back a target whose withdrawal came before it was known,
/// or before its latest start was.
#[test]
fn a_withdrawal_holds_for_a_target_that_was_not_known() {
    let unknown = announcement("engine", 1, 0);
    let mut directory = Directory::default();
    assert!(directory.withdraw(START, &unknown.name).is_none());
    assert!(
        directory
            .announce(START + ms(4_000), unknown.clone())
            .is_none()
    );

    // The earlier start was withdrawn long before, so the withdrawal is that of a later one.
    let mut directory = Directory::default();
    directory.announce(START, unknown.clone());
    assert!(directory.withdraw(START, &unknown.name).is_some());
    let later = START + ms(8_000);
    directory.withdraw(later, &unknown.name);
    let mut restarted = unknown;
    restarted.started_ms += 1;
    assert!(
        directory
            .announce(later + ms(4_000), restarted.clone())
            .is_none()
    );
    assert!(directory.announce(later + ms(10_000), restarted).is_some());
}

/// Guards against a target that starts again under its name and is ignored, because the withdrawal of its
/// earlier start arrived over several VMs.
#[test]
fn copies_of_a_withdrawal_do_not_hold_the_next_start() {
    let mut directory = Directory::default();
    let mut target = announcement("engine", 1, 0);
    directory.announce(START, target.clone());
    assert!(directory.withdraw(START, &target.name).is_some());
    directory.withdraw(START + ms(30), &target.name);
    target.started_ms += 1;
    assert!(directory.announce(START + ms(60), target).is_some());
}

/// Guards against an entry VM that goes on using a target of which the withdrawing control VM knew an earlier
/// start, or nothing.
#[test]
fn a_withdrawal_by_name_takes_out_the_start_that_is_known() {
    let mut fleet = Fleet::new(1, 0);
    let mut target = announcement("engine", 1, 0);
    target.started_ms += 1;
    let usable = |fleet: &Fleet| fleet.vms[0].directory().usable(fleet.now);
    let others = usable(&fleet);
    fleet.announce(target.clone());
    assert_eq!(usable(&fleet), others + 1);
    let withdrawal = Announcement::withdrawal(&target.name);
    assert!(withdrawal.is_withdrawal());
    let entry = Entry {
        announcement: withdrawal,
        age_ms: 0,
    };
    fleet.apply(0, Event::Announced(entry));
    assert_eq!(usable(&fleet), others);
    target.sequence += 1;
    fleet.announce(target);
    assert_eq!(usable(&fleet), others);
}

/// Guards against dispatching to targets that no longer announce themselves.
#[test]
fn silent_targets_get_no_work() {
    let mut fleet = Fleet::new(1, 2);
    assert_eq!(fleet.vms[0].directory().usable(fleet.now), 5);
    fleet.now = fleet.now + ms(4_500);
    assert_eq!(fleet.vms[0].directory().usable(fleet.now), 0);
}

/// Guards against an announcement from before a suspension that counts as recent afterwards: its
/// age at the sender counts.
#[test]
fn an_old_announcement_does_not_make_a_target_usable() {
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

/// Guards against entry VMs that retry a dead target until its lease ends.
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

/// Guards against dispatching to an address that now belongs to another target.
#[test]
fn a_target_whose_address_was_reused_is_not_tried_again() {
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

/// Guards against a target in cold start that gets more requests than it can take from all entry
/// VMs together, also when they do not hear each other and when one request of each VM is already
/// too many.
#[test]
fn all_vms_together_keep_to_the_budget_of_a_cold_target() {
    for (vms, least) in [(9, 18), (80, 5)] {
        check_cold_budget(vms, least);
    }
}

fn check_cold_budget(vms: usize, least: u32) {
    let mut fleet = Fleet::new(vms, 0);
    let mut cold = announcement("engine", 1, 0);
    cold.cold_ms = 3_000;
    fleet.announce(cold);
    fleet.partitioned = (0..vms).collect();
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
        "{sent} requests in less than a second"
    );
    assert!(
        sent >= least,
        "too little of the cold-start budget is used: {sent}"
    );
}

/// Guards against requests to a target that says in its answers that it leaves, or that it takes no work for a while,
/// and that announces itself as ready all the same.
#[test]
fn a_target_that_wants_no_work_gets_none() {
    for (notice, closed_ms) in [
        (Notice::Leaving, u64::MAX),
        (Notice::Closed(ms(2_000)), 2_000),
        (Notice::Closed(Duration::MAX), u64::MAX),
    ] {
        let mut fleet = Fleet::new(1, 4);
        let id = fleet.arrive(0, request("short", 2_000));
        let name = fleet.dispatch(id).unwrap().name.to_string();
        fleet.apply(0, Event::Noticed(id, notice));
        fleet.end(0, id, Outcome::Served);
        let began = fleet.now;
        for _ in 0..30 {
            fleet.run(ms(100));
            let closed = fleet.now.since(began).as_millis() < u128::from(closed_ms);
            let id = fleet.arrive(0, request("short", 2_000));
            let chosen = fleet.dispatch(id).unwrap().name.to_string();
            assert!(!closed || chosen != name, "{notice:?}");
            assert_eq!(
                fleet.vms[0].directory().is_usable(fleet.now, &name),
                !closed
            );
            fleet.end(0, id, Outcome::Served);
        }
        // Its next start knows nothing of it.
        let directory = fleet.vms[0].directory();
        let mut restarted = directory.get(directory.id(&name).unwrap()).unwrap().clone();
        restarted.started_ms += 1;
        fleet.announce(restarted);
        assert!(fleet.vms[0].directory().is_usable(fleet.now, &name));
    }
}
