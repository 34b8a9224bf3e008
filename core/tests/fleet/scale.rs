//! Fleets in which not every VM reports to every other one: relays, planners and renewals.

use primrosepin_core::fleet::{Directory, Event, Renewal, State};

use crate::support::{Fleet, START, announcement, ms, request};

/// Number of VMs of a fleet with relays.
const VMS: usize = 120;

/// Returns the number of reports for one request each second at every VM of a fleet.
fn reports_for_each_vm(vms: usize) -> f64 {
    let mut fleet = Fleet::new(vms, 30);
    fleet.run(ms(500));
    fleet.reports = 0;
    for vm in 0..vms {
        fleet.arrive(vm, request("short", 1_000));
    }
    fleet.run(ms(1_000));
    fleet.reports as f64 / vms as f64
}

/// Guards against load reports that grow with the fleet: each VM must hear its zone and the relays, not
/// all VMs.
#[test]
fn reports_grow_with_the_zone_not_with_the_fleet() {
    let (small, large) = (reports_for_each_vm(VMS / 2), reports_for_each_vm(VMS));
    // A VM that reported to all others would send four times as many reports of twice the number.
    assert!(
        large < small * 2.2,
        "{small} and {large} reports for each VM"
    );
    let rounds = large / VMS as f64;
    assert!(rounds < 2.0, "{large} reports for each VM");
}

/// Returns the load of a target as some VMs see it.
fn running(fleet: &Fleet, target: &str, vms: &[usize]) -> Vec<u16> {
    let load = |vm: &usize| fleet.vms[*vm].load(target, fleet.now).running;
    vms.iter().map(load).collect()
}

/// Guards against work that the VMs of other zones do not hear of, or count twice, while relays come and
/// go: they would place long prompts on busy targets, or leave idle ones unused.
#[test]
fn load_reaches_other_zones_once_also_when_relays_stop() {
    let mut fleet = Fleet::new(VMS, 30);
    fleet.run(ms(500));
    let id = fleet.arrive(0, request("short", 1_000));
    let target = fleet.dispatch(id).unwrap().name.to_string();
    fleet.run(ms(800));
    let all: Vec<usize> = (0..VMS).collect();
    assert_eq!(running(&fleet, &target, &all), vec![1; VMS]);
    // The relays are those whose names have the smallest hashes of their zone.
    let mut others: Vec<usize> = (0..VMS).filter(|vm| vm % 3 == 1).collect();
    others.sort_by_key(|vm| xxhash_rust::xxh3::xxh3_64(format!("entry-{vm}").as_bytes()));
    let relay = others.remove(0);
    fleet.partitioned.push(relay);
    fleet.run(ms(3_000));
    assert_eq!(running(&fleet, &target, &others), vec![1; others.len()]);
    fleet.partitioned.clear();
    fleet.run(ms(1_500));
    assert_eq!(running(&fleet, &target, &all), vec![1; VMS]);
}

/// Guards against long prompts that each VM of a large fleet places alone: with the planners known through
/// relays, all VMs must query the same one, also after it is lost.
#[test]
fn all_vms_of_a_large_fleet_query_one_planner() {
    let mut fleet = Fleet::new(VMS, 30);
    fleet.run(ms(1_000));
    let planners = |fleet: &mut Fleet| {
        fleet.planner_messages.clear();
        for vm in (0..VMS).step_by(7) {
            if !fleet.partitioned.contains(&vm) {
                fleet.arrive(vm, request("long", 180_000));
            }
        }
        let sent = fleet.planner_messages.iter().map(|(_, to, _)| *to);
        let mut planners: Vec<usize> = sent.collect();
        planners.sort_unstable();
        planners.dedup();
        planners
    };
    let first = planners(&mut fleet);
    assert_eq!(first.len(), 1, "planners {first:?}");
    fleet.partitioned.extend(first.iter());
    fleet.run(ms(3_000));
    fleet.confirm(1);
    let second = planners(&mut fleet);
    assert_eq!(second.len(), 1, "planners {second:?}");
    assert_ne!(first, second);
}

/// Guards against a cut-off zone without a planner of its own.
#[test]
fn a_zone_that_is_cut_off_plans_for_itself() {
    let mut fleet = Fleet::new(VMS, 30);
    fleet.run(ms(1_000));
    fleet.partitioned.extend((0..VMS).filter(|vm| vm % 3 != 2));
    fleet.run(ms(3_000));
    fleet.confirm(1);
    fleet.planner_messages.clear();
    for vm in (2..VMS).step_by(9) {
        fleet.arrive(vm, request("long", 180_000));
    }
    let outside: Vec<_> = fleet
        .planner_messages
        .iter()
        .filter(|(_, to, _)| to % 3 != 2)
        .collect();
    assert!(
        outside.is_empty(),
        "queries to VMs out of reach: {outside:?}"
    );
    assert!(!fleet.planner_messages.is_empty(), "no planner was queried");
}

/// Guards against a target that stays in use because a short renewal hides that it drains, has started
/// again or is unknown.
#[test]
fn a_renewal_that_does_not_fit_asks_for_the_announcement() {
    let mut directory = Directory::default();
    let known = announcement("engine", 1, 0);
    let renewal = |sequence: u64, state: State, started_ms: u64| Renewal {
        sequence,
        state,
        started_ms,
        ..Renewal::new(&known, 0)
    };
    assert!(!directory.renew(START, &renewal(2, State::Ready, 1)));
    directory.announce(START, known.clone());
    let later = START + ms(4_000);
    assert!(directory.renew(later, &renewal(2, State::Ready, 1)));
    assert_eq!(directory.usable(later + ms(4_000)), 1);
    assert!(!directory.renew(later, &renewal(3, State::Draining, 1)));
    assert!(!directory.renew(later, &renewal(1, State::Ready, 2)));
    // A delayed renewal neither extends the lease nor asks for anything.
    assert!(directory.renew(later + ms(4_000), &renewal(1, State::Ready, 1)));
    assert_eq!(directory.usable(later + ms(4_600)), 0);
    // A target that has left stays away.
    directory.withdraw(later, &known.name);
    assert!(directory.renew(later, &renewal(9, State::Ready, 1)));
    assert_eq!(directory.usable(later), 0);
}

/// Guards against budgets that ignore the size of the fleet after peers have changed their zone or number.
#[test]
fn roles_follow_the_peers() {
    let mut fleet = Fleet::new(VMS, 30);
    fleet.run(ms(500));
    let few = fleet.peers(0).into_iter().take(5).collect();
    fleet.apply(0, Event::Peers(few));
    fleet.reports = 0;
    fleet.arrive(0, request("short", 1_000));
    fleet.now = fleet.now + ms(200);
    fleet.apply(0, Event::Tick);
    assert_eq!(fleet.reports, 5, "a small fleet reports to all peers");
}
