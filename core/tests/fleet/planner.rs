//! Long prompts that the planner places for all VMs.

use std::collections::BTreeMap;

use primrosepin_core::fleet::{Denial, Event, Grant, Id, Outcome, PlannerMessage, Reason, State};
use smallvec::smallvec;

use super::support::{Fleet, announcement, ms, request};

/// Returns the VM that acts as the planner.
fn planner(fleet: &mut Fleet) -> usize {
    fleet.run(ms(300));
    for vm in 0..fleet.vms.len() {
        let id = fleet.arrive(vm, request("long", 180_000));
        let asked = fleet
            .planner_messages
            .iter()
            .find_map(|(from, to, message)| match message {
                PlannerMessage::Query(query) if *from == vm && query.id == id.0 => Some(*to),
                _ => None,
            });
        fleet.run(ms(20));
        fleet.end(vm, id, Outcome::Served);
        fleet.run(ms(200));
        fleet.planner_messages.clear();
        if let Some(planner) = asked {
            return planner;
        }
    }
    panic!("no VM queried another");
}

fn other(planner: usize) -> usize {
    usize::from(planner == 0)
}

/// Returns a fleet with its planner and another VM.
fn fleet() -> (Fleet, usize, usize) {
    let mut fleet = Fleet::new(9, 16);
    let planner = planner(&mut fleet);
    (fleet, planner, other(planner))
}

/// Load: long prompts at all VMs in the same instant. Guards against VMs that choose the same
/// targets before they hear of each other.
#[test]
fn simultaneous_prompts_get_disjoint_targets() {
    let mut fleet = Fleet::new(9, 32);
    let planner = planner(&mut fleet);
    let ids: Vec<Id> = (0..9)
        .map(|vm| fleet.arrive(vm, request("long", 130_000)))
        .collect();
    fleet.run(ms(15));
    let mut parts_by_target: BTreeMap<u32, usize> = BTreeMap::new();
    for (vm, id) in ids.iter().enumerate() {
        let Some(dispatch) = fleet.dispatch(*id) else {
            continue;
        };
        let placed_by = dispatch.planner.as_deref();
        let expected = (vm != planner).then(|| format!("entry-{planner}"));
        assert_eq!(placed_by, expected.as_deref());
        *parts_by_target.entry(dispatch.target.0).or_default() += 1;
        for helper in &dispatch.helpers {
            *parts_by_target.entry(helper.target.0).or_default() += 1;
        }
    }
    assert!(
        parts_by_target.len() >= 8,
        "targets are idle: {parts_by_target:?}"
    );
    let most = parts_by_target.values().max().copied();
    assert_eq!(
        most,
        Some(1),
        "targets prefill several prompts: {parts_by_target:?}"
    );
}

/// Load: a queue of long prompts. Guards against targets that stay idle until reports that they are
/// free have arrived: the planner grants them to the next queued prompt.
#[test]
fn the_next_prompt_gets_freed_targets_at_once() {
    let mut fleet = Fleet::new(9, 16);
    planner(&mut fleet);
    let ids: Vec<Id> = (0..4)
        .map(|number| fleet.arrive(number, request("long", 180_000)))
        .collect();
    fleet.run(ms(15));
    let first = ids.iter().position(|id| fleet.dispatch(*id).is_some());
    let first = first.expect("no prompt was placed");
    let before = ids
        .iter()
        .filter(|id| fleet.dispatch(**id).is_some())
        .count();
    assert!(before < 4, "no prompt is queued");
    fleet.run(ms(350));
    fleet.apply(first, Event::Started(ids[first]));
    fleet.run(ms(30));
    let after = ids
        .iter()
        .filter(|id| fleet.dispatch(**id).is_some())
        .count();
    assert!(after > before, "targets are idle while prompts are queued");
}

/// Load: a queue of long prompts whose prefill ends as predicted. Guards against targets that stay
/// idle until the first event is reported.
#[test]
fn the_next_prompt_does_not_wait_for_load_reports() {
    let mut fleet = Fleet::new(9, 16);
    planner(&mut fleet);
    let ids: Vec<Id> = (0..4)
        .map(|number| fleet.arrive(number, request("long", 180_000)))
        .collect();
    fleet.run(ms(15));
    let placed = |fleet: &Fleet| {
        ids.iter()
            .filter(|id| fleet.dispatch(**id).is_some())
            .count()
    };
    let before = placed(&fleet);
    let first = ids.iter().find_map(|id| fleet.dispatch(*id));
    let predicted = first.expect("no prompt was placed").predicted;
    fleet.run(predicted);
    assert!(
        placed(&fleet) > before,
        "targets are idle while prompts are queued"
    );
}

/// Guards against requests that wait for a planner that has failed.
#[test]
fn a_vm_without_an_answer_places_the_prompt_itself() {
    let (mut fleet, planner, vm) = fleet();
    fleet.partitioned = vec![planner];
    let id = fleet.arrive(vm, request("long", 180_000));
    fleet.run(ms(240));
    assert!(
        fleet.dispatch(id).is_none(),
        "placed before the answer time-out"
    );
    fleet.run(ms(40));
    assert!(
        fleet.dispatch(id).is_some(),
        "not placed after the answer time-out"
    );
    fleet.end(vm, id, Outcome::Served);
    // The failed VM is not queried again, and another planner is found.
    fleet.planner_messages.clear();
    fleet.run(ms(500));
    let id = fleet.arrive(vm, request("long", 180_000));
    fleet.run(ms(20));
    assert!(fleet.dispatch(id).is_some());
    let asked = fleet
        .planner_messages
        .iter()
        .filter(|(_, to, _)| *to == planner);
    assert_eq!(asked.count(), 0, "the failed VM was queried again");
}

/// Guards against a lost answer that leaves targets unused, or after which the request gets other
/// targets than the planner counts.
#[test]
fn a_lost_answer_is_repeated() {
    let (mut fleet, _, vm) = fleet();
    let id = fleet.arrive(vm, request("long", 180_000));
    fleet.run(ms(2));
    // The answer is sent but lost.
    fleet.drop_messages(vm);
    fleet.run(ms(90));
    assert!(fleet.dispatch(id).is_none());
    fleet.run(ms(30));
    let grants: Vec<&Grant> = fleet
        .planner_messages
        .iter()
        .filter_map(|(_, to, message)| match message {
            PlannerMessage::Granted(grant) if *to == vm && grant.id == id.0 => Some(grant),
            _ => None,
        })
        .collect();
    assert_eq!(grants.len(), 2);
    assert_eq!(grants[0], grants[1]);
    assert!(fleet.dispatch(id).is_some());
}

/// Guards against load that counts forever: of requests whose callers leave while they are queued,
/// and of grants to VMs that have failed.
#[test]
fn unused_requests_and_grants_expire() {
    let (mut fleet, planner, vm) = fleet();
    let ids: Vec<Id> = (0..6)
        .map(|_| fleet.arrive(vm, request("long", 400_000)))
        .collect();
    fleet.run(ms(20));
    assert!(
        fleet.vms[planner].pending() > 0,
        "no request is queued at the planner"
    );
    for id in ids {
        fleet.end(vm, id, Outcome::CallerGone);
    }
    fleet.run(ms(20));
    assert_eq!(
        fleet.vms[planner].pending(),
        0,
        "withdrawn requests are still queued"
    );
    let id = fleet.arrive(vm, request("long", 180_000));
    fleet.run(ms(2));
    fleet.partitioned = vec![vm];
    fleet.run(ms(50));
    let prefilling = |fleet: &Fleet| -> u16 {
        let names = (0..16).map(|number| format!("engine-{number}"));
        let loads = names.map(|name| fleet.vms[planner].load(&name, fleet.now).prefilling);
        loads.sum()
    };
    assert!(
        prefilling(&fleet) > 0,
        "granted targets do not count as loaded"
    );
    fleet.run(ms(1_200));
    assert_eq!(prefilling(&fleet), 0, "the grant of {id:?} has not expired");
}

/// Guards against using a grant that contradicts the VM's own state: a granted target has left, or
/// its zone was taken out.
#[test]
fn a_grant_is_checked_against_own_state() {
    let (mut fleet, _, vm) = fleet();
    for number in 0..16 {
        if number % 3 != vm % 3 {
            let mut gone = announcement("engine", number, number % 3);
            gone.state = State::Draining;
            gone.sequence = 9;
            let age_ms = 0;
            fleet.apply(
                vm,
                Event::Announced(primrosepin_core::fleet::Entry {
                    announcement: gone,
                    age_ms,
                }),
            );
        }
    }
    let id = fleet.arrive(vm, request("long", 180_000));
    fleet.run(ms(20));
    let dispatch = fleet.dispatch(id).expect("not placed without the planner");
    let helpers = dispatch.helpers.iter().map(|helper| helper.address);
    for address in helpers.chain([dispatch.address]) {
        let zone = match address.ip() {
            std::net::IpAddr::V4(ip) => ip.octets()[2],
            std::net::IpAddr::V6(_) => unreachable!("tests use IPv4"),
        };
        assert_eq!(usize::from(zone), vm % 3, "{address} has left");
    }
}

/// Guards against a planner that shuts down and keeps the requests of its peers.
#[test]
fn another_vm_plans_after_the_planner_shuts_down() {
    let mut fleet = Fleet::new(9, 16);
    let first = planner(&mut fleet);
    let until = fleet.now + ms(6_000);
    fleet.apply(first, Event::ShuttingDown { until });
    let vm = other(first);
    let id = fleet.arrive(vm, request("long", 180_000));
    fleet.run(ms(20));
    assert!(
        fleet.dispatch(id).is_some(),
        "waits for a planner that shuts down"
    );
    fleet.end(vm, id, Outcome::Served);
    fleet.run(ms(800));
    let second = planner(&mut fleet);
    assert_ne!(first, second);
}

/// Guards against requests that stay queued at a VM that shuts down and are refused only when their
/// targets become free. They are refused at once, so that another VM can take them.
#[test]
fn a_vm_that_shuts_down_refuses_queued_prompts_at_once() {
    let (mut fleet, _, vm) = fleet();
    let ids: Vec<Id> = (0..4)
        .map(|_| fleet.arrive(vm, request("long", 400_000)))
        .collect();
    fleet.run(ms(20));
    let until = fleet.now + ms(1_500);
    fleet.apply(vm, Event::ShuttingDown { until });
    fleet.run(ms(30));
    for id in ids {
        let Some(refusal) = fleet.refusal(id) else {
            assert!(fleet.dispatch(id).is_some(), "{id:?} is still queued");
            continue;
        };
        assert!(refusal.not_run);
        assert_eq!(refusal.reason, Reason::ShuttingDown);
    }
    let id = fleet.arrive(vm, request("long", 400_000));
    assert_eq!(
        fleet.refusal(id).map(|r| r.reason),
        Some(Reason::ShuttingDown)
    );
}

/// Guards against a request that is placed twice or by the wrong VM: answers that are duplicated,
/// late, or from a VM that was not queried must change nothing.
#[test]
fn unexpected_messages_change_nothing() {
    let (mut fleet, planner, vm) = fleet();
    let third = (0..9).find(|other| *other != vm && *other != planner);
    let peer: std::sync::Arc<str> = format!("entry-{}", third.unwrap()).into();
    let id = fleet.arrive(vm, request("long", 180_000));
    let before = fleet.decisions.len();
    let grant = Grant {
        id: id.0,
        target: 1,
        helpers: smallvec![(2, 3)],
        predicted_ms: f64::NAN,
        prefill_ms: -1.0,
    };
    let messages = [
        PlannerMessage::Granted(grant),
        PlannerMessage::Denied(id.0, Denial::Busy),
        PlannerMessage::Queued(id.0, 3),
        PlannerMessage::Withdraw(id.0),
        PlannerMessage::Denied(77, Denial::Unknown),
    ];
    for message in messages {
        let peer = std::sync::Arc::clone(&peer);
        fleet.apply(vm, Event::PlannerMessage { peer, message });
    }
    assert_eq!(fleet.decisions.len(), before);
    fleet.run(ms(20));
    assert_eq!(fleet.decisions_of(id).len(), 1, "not placed exactly once");
}

/// Guards against a query that the planner leaves unanswered because it does not know the route: the
/// querying VM has a newer configuration.
#[test]
fn a_planner_denies_queries_for_unknown_routes() {
    let (mut fleet, planner, vm) = fleet();
    let id = fleet.arrive(vm, request("long", 180_000));
    let sent = fleet
        .planner_messages
        .iter()
        .find_map(|(_, _, message)| match message {
            PlannerMessage::Query(query) if query.id == id.0 => Some(query.clone()),
            _ => None,
        });
    let mut query = sent.expect("no query was sent");
    query.route = "newer".into();
    query.id += 1;
    let peer = format!("entry-{vm}").into();
    fleet.planner_messages.clear();
    let message = PlannerMessage::Query(query.clone());
    fleet.apply(planner, Event::PlannerMessage { peer, message });
    let denied = PlannerMessage::Denied(query.id, Denial::Unknown);
    assert!(
        fleet.planner_messages.contains(&(planner, vm, denied)),
        "{:?}",
        fleet.planner_messages
    );
}
