//! Long prompts that one VM places for all.

use std::collections::BTreeMap;

use primrosepin_core::fleet::{Denial, Event, Grant, Id, Outcome, PlannerMessage, Reason, State};
use smallvec::smallvec;

use super::support::{Fleet, announcement, ms, request};

/// Returns the VM that is asked for targets.
fn planner(fleet: &mut Fleet) -> usize {
    fleet.run(ms(300));
    for vm in 0..fleet.vms.len() {
        let id = fleet.arrive(vm, request("long", 180_000));
        let asked = fleet.notes.iter().find_map(|(from, to, note)| match note {
            PlannerMessage::Query(ask) if *from == vm && ask.id == id.0 => Some(*to),
            _ => None,
        });
        fleet.run(ms(20));
        fleet.end(vm, id, Outcome::Served);
        fleet.run(ms(200));
        fleet.notes.clear();
        if let Some(planner) = asked {
            return planner;
        }
    }
    panic!("no VM asks another");
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

/// Pattern: long prompts at all VMs in the same instant. Guards against VMs that choose the same targets
/// before they hear of each other.
#[test]
fn prompts_of_one_instant_get_targets_of_their_own() {
    let mut fleet = Fleet::new(9, 32);
    let planner = planner(&mut fleet);
    let ids: Vec<Id> = (0..9)
        .map(|vm| fleet.arrive(vm, request("long", 130_000)))
        .collect();
    fleet.run(ms(15));
    let mut readers: BTreeMap<u32, usize> = BTreeMap::new();
    for (vm, id) in ids.iter().enumerate() {
        let Some(dispatch) = fleet.dispatch(*id) else {
            continue;
        };
        let placed_by = dispatch.planner.as_deref();
        let expected = (vm != planner).then(|| format!("entry-{planner}"));
        assert_eq!(placed_by, expected.as_deref());
        *readers.entry(dispatch.target.0).or_default() += 1;
        for helper in &dispatch.helpers {
            *readers.entry(helper.target.0).or_default() += 1;
        }
    }
    assert!(readers.len() >= 8, "targets stay idle: {readers:?}");
    let most = readers.values().max().copied();
    assert_eq!(most, Some(1), "targets read several prompts: {readers:?}");
}

/// Pattern: a queue of long prompts. Guards against targets that stay idle until news of their end has
/// come around: the planner gives them to the next prompt in line.
#[test]
fn the_next_prompt_follows_at_once() {
    let mut fleet = Fleet::new(9, 16);
    planner(&mut fleet);
    let ids: Vec<Id> = (0..4)
        .map(|number| fleet.arrive(number, request("long", 180_000)))
        .collect();
    fleet.run(ms(15));
    let first = ids.iter().position(|id| fleet.dispatch(*id).is_some());
    let first = first.expect("one is placed");
    let before = ids
        .iter()
        .filter(|id| fleet.dispatch(**id).is_some())
        .count();
    assert!(before < 4, "nothing waits");
    fleet.run(ms(350));
    fleet.apply(first, Event::Started(ids[first]));
    fleet.run(ms(30));
    let after = ids
        .iter()
        .filter(|id| fleet.dispatch(**id).is_some())
        .count();
    assert!(after > before, "idle targets, and prompts in line");
}

/// Pattern: a queue of long prompts whose reading ends as predicted. Guards against targets that stay idle in
/// the time that news of the first event needs.
#[test]
fn the_next_prompt_does_not_wait_for_news() {
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
    let predicted = first.expect("one is placed").predicted;
    fleet.run(predicted);
    assert!(placed(&fleet) > before, "idle targets, and prompts in line");
}

/// Guards against requests that wait for a VM that is lost.
#[test]
fn a_vm_without_an_answer_decides_by_itself() {
    let (mut fleet, planner, vm) = fleet();
    fleet.cut = vec![planner];
    let id = fleet.arrive(vm, request("long", 180_000));
    fleet.run(ms(240));
    assert!(fleet.dispatch(id).is_none(), "no answer could be there yet");
    fleet.run(ms(40));
    assert!(fleet.dispatch(id).is_some(), "still waits");
    fleet.end(vm, id, Outcome::Served);
    // The lost VM is not asked again, and another one is found.
    fleet.notes.clear();
    fleet.run(ms(500));
    let id = fleet.arrive(vm, request("long", 180_000));
    fleet.run(ms(20));
    assert!(fleet.dispatch(id).is_some());
    let asked = fleet.notes.iter().filter(|(_, to, _)| *to == planner);
    assert_eq!(asked.count(), 0, "the lost VM is asked again");
}

/// Guards against a lost answer that leaves targets unused, or that gives a request other targets than the
/// planner counts.
#[test]
fn a_lost_answer_is_repeated() {
    let (mut fleet, _, vm) = fleet();
    let id = fleet.arrive(vm, request("long", 180_000));
    fleet.run(ms(2));
    // The answer is on its way and does not arrive.
    fleet.drop_messages(vm);
    fleet.run(ms(90));
    assert!(fleet.dispatch(id).is_none());
    fleet.run(ms(30));
    let grants: Vec<&Grant> = fleet
        .notes
        .iter()
        .filter_map(|(_, to, note)| match note {
            PlannerMessage::Granted(grant) if *to == vm && grant.id == id.0 => Some(grant),
            _ => None,
        })
        .collect();
    assert_eq!(grants.len(), 2);
    assert_eq!(grants[0], grants[1]);
    assert!(fleet.dispatch(id).is_some());
}

/// Guards against work that counts for ever: of callers that leave while their request waits, and of VMs
/// that are lost with targets that they were given.
#[test]
fn what_is_not_used_is_forgotten() {
    let (mut fleet, planner, vm) = fleet();
    let ids: Vec<Id> = (0..6)
        .map(|_| fleet.arrive(vm, request("long", 400_000)))
        .collect();
    fleet.run(ms(20));
    assert!(fleet.vms[planner].pending() > 0, "nothing waits in line");
    for id in ids {
        fleet.end(vm, id, Outcome::CallerGone);
    }
    fleet.run(ms(20));
    assert_eq!(fleet.vms[planner].pending(), 0, "the line keeps them");
    let id = fleet.arrive(vm, request("long", 180_000));
    fleet.run(ms(2));
    fleet.cut = vec![vm];
    fleet.run(ms(50));
    let reading = |fleet: &Fleet| -> u16 {
        let names = (0..16).map(|number| format!("engine-{number}"));
        let loads = names.map(|name| fleet.vms[planner].load(&name, fleet.now).prefilling);
        loads.sum()
    };
    assert!(reading(&fleet) > 0, "granted targets do not count");
    fleet.run(ms(1_200));
    assert_eq!(reading(&fleet), 0, "grants of {id:?} are kept");
}

/// Guards against a grant that is followed although this VM knows better: a target that has left, or a
/// zone that was taken out.
#[test]
fn a_grant_is_checked() {
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
    let dispatch = fleet.dispatch(id).expect("placed without the planner");
    let helpers = dispatch.helpers.iter().map(|helper| helper.address);
    for address in helpers.chain([dispatch.address]) {
        let zone = match address.ip() {
            std::net::IpAddr::V4(ip) => ip.octets()[2],
            std::net::IpAddr::V6(_) => unreachable!("tests use IPv4"),
        };
        assert_eq!(usize::from(zone), vm % 3, "{address} has left");
    }
}

/// Guards against a planner that stops and keeps the requests of others.
#[test]
fn a_planner_that_leaves_hands_over() {
    let mut fleet = Fleet::new(9, 16);
    let first = planner(&mut fleet);
    let until = fleet.now + ms(6_000);
    fleet.apply(first, Event::ShuttingDown { until });
    let vm = other(first);
    let id = fleet.arrive(vm, request("long", 180_000));
    fleet.run(ms(20));
    assert!(fleet.dispatch(id).is_some(), "waits for a VM that stops");
    fleet.end(vm, id, Outcome::Served);
    fleet.run(ms(800));
    let second = planner(&mut fleet);
    assert_ne!(first, second);
}

/// Guards against requests that wait in line at a VM that stops, and are refused when their targets are
/// free at last: another VM takes them at once.
#[test]
fn a_vm_that_stops_sends_waiting_prompts_elsewhere_at_once() {
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
            assert!(fleet.dispatch(id).is_some(), "{id:?} still waits");
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

/// Guards against messages that come twice, late, or from VMs that were not asked.
#[test]
fn answers_to_no_question_change_nothing() {
    let (mut fleet, planner, vm) = fleet();
    let stranger = (0..9).find(|other| *other != vm && *other != planner);
    let peer: std::sync::Arc<str> = format!("entry-{}", stranger.unwrap()).into();
    let id = fleet.arrive(vm, request("long", 180_000));
    let before = fleet.decisions.len();
    let grant = Grant {
        id: id.0,
        target: 1,
        helpers: smallvec![(2, 3)],
        predicted_ms: f64::NAN,
        prefill_ms: -1.0,
    };
    let notes = [
        PlannerMessage::Granted(grant),
        PlannerMessage::Denied(id.0, Denial::Busy),
        PlannerMessage::Queued(id.0, 3),
        PlannerMessage::Withdraw(id.0),
        PlannerMessage::Denied(77, Denial::Unknown),
    ];
    for note in notes {
        let peer = std::sync::Arc::clone(&peer);
        fleet.apply(
            vm,
            Event::PlannerMessage {
                peer,
                message: note,
            },
        );
    }
    assert_eq!(fleet.decisions.len(), before);
    fleet.run(ms(20));
    assert_eq!(fleet.of(id).len(), 1, "placed once, by the planner");
}

/// Guards against questions for routes that the planner does not know: the asking VM has a newer
/// configuration.
#[test]
fn a_planner_says_what_it_does_not_know() {
    let (mut fleet, planner, vm) = fleet();
    let id = fleet.arrive(vm, request("long", 180_000));
    let sent = fleet.notes.iter().find_map(|(_, _, note)| match note {
        PlannerMessage::Query(ask) if ask.id == id.0 => Some(ask.clone()),
        _ => None,
    });
    let mut ask = sent.expect("asked");
    ask.route = "newer".into();
    ask.id += 1;
    let peer = format!("entry-{vm}").into();
    fleet.notes.clear();
    let message = PlannerMessage::Query(ask.clone());
    fleet.apply(planner, Event::PlannerMessage { peer, message });
    let denied = PlannerMessage::Denied(ask.id, Denial::Unknown);
    assert!(
        fleet.notes.contains(&(planner, vm, denied)),
        "{:?}",
        fleet.notes
    );
}
