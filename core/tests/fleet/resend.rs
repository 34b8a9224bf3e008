//! Second sends of requests whose pooled connection to a target closed.

use std::sync::Arc;

use primrosepin_core::fleet::{Announcement, Event, State};

use super::support::{Fleet, announcement, ms, request};

/// Returns a fleet with a running request, and the target that has it.
fn running() -> (Fleet, primrosepin_core::fleet::Id, Announcement) {
    let mut fleet = Fleet::new(1, 6);
    let id = fleet.arrive(0, request("short", 2_000));
    let target = fleet.dispatch(id).expect("dispatched").target;
    let target = fleet.vms[0].directory().get(target).unwrap().clone();
    (fleet, id, target)
}

/// Guards against a repeat at a target in a zone that was taken out while the connection was open, and at one that leaves.
#[test]
fn a_request_returns_only_to_a_target_that_takes_work() {
    let (mut fleet, id, _) = running();
    assert!(fleet.vms[0].take_resend(fleet.now, id));

    let (mut fleet, id, target) = running();
    let config = fleet.vms[0].config().cloned().unwrap();
    fleet.apply_to_all(&Event::Configured {
        revision: 2,
        config: Arc::clone(&config),
        zones_out: vec![Arc::clone(&target.zone)],
    });
    assert!(!fleet.vms[0].take_resend(fleet.now, id));
    fleet.apply_to_all(&Event::Configured {
        revision: 3,
        config,
        zones_out: Vec::new(),
    });
    assert!(fleet.vms[0].take_resend(fleet.now, id));

    fleet.announce(Announcement {
        state: State::Draining,
        sequence: target.sequence + 1,
        ..target
    });
    assert!(!fleet.vms[0].take_resend(fleet.now, id));
}

/// Guards against repeats past the retry budget and past what a target in cold start bears, when many pooled connections
/// close at the same time.
#[test]
fn repeats_take_from_the_budget_and_from_the_limit_of_a_cold_target() {
    let (mut fleet, id, target) = running();
    let now = fleet.now;
    let repeats = (0..10_000)
        .take_while(|_| fleet.vms[0].take_resend(now, id))
        .count();
    // The budget of a single VM: 80 in 100 of the slack, and of a part of the one request.
    assert!((1..=100).contains(&repeats), "{repeats} repeats");

    let (mut fleet, id, _) = running();
    fleet.announce(Announcement {
        cold_ms: 3_000,
        sequence: target.sequence + 1,
        ..announcement("engine", 0, 0)
    });
    let cold = (1..6).map(|number| Announcement {
        cold_ms: 3_000,
        sequence: target.sequence + 1,
        ..announcement("engine", number, number % 3)
    });
    for announcement in cold.collect::<Vec<_>>() {
        fleet.announce(announcement);
    }
    fleet.now = fleet.now + ms(1);
    let now = fleet.now;
    let repeats = (0..10_000)
        .take_while(|_| fleet.vms[0].take_resend(now, id))
        .count();
    // cold_per_s 36, cold_factor 1.5, cold_slack 5.
    assert!((1..=59).contains(&repeats), "{repeats} repeats in a second");
}

/// Guards against a repeat of a request that may run at most once.
#[test]
fn an_at_most_once_request_is_never_sent_again() {
    let mut fleet = Fleet::new(1, 3);
    let id = fleet.arrive(0, request("order", 0));
    assert!(fleet.dispatch(id).is_some());
    assert!(!fleet.vms[0].take_resend(fleet.now, id));
}
