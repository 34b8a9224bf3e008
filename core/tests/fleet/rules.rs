//! Rules that hold under any load and any failure.

use std::sync::Arc;
use std::time::Duration;

use primrosepin_core::fleet::{
    Config, ConfigError, Event, Limits, Outcome, Reason, Request, RetryPolicy, Route,
};
use smallvec::smallvec;

use super::support::{Fleet, announcement, config, ms, organisations, request, routes, services};

fn build(routes: Vec<Route>) -> Result<Config, ConfigError> {
    Config::new(
        1,
        routes,
        services(),
        Some(organisations()),
        Limits::default(),
    )
}

/// Guards against accepting a configuration that refers to undefined services or is ambiguous.
#[test]
fn invalid_configurations_are_refused() {
    let changed = |change: fn(&mut Route)| {
        let mut routes = routes();
        change(&mut routes[1]);
        build(routes).unwrap_err()
    };
    let unknown = changed(|route| route.split = smallvec![("nobody".into(), 1)]);
    assert!(matches!(unknown, ConfigError::UnknownService { .. }));
    let zero_weight = changed(|route| route.split = smallvec![("engine".into(), 0)]);
    assert!(matches!(zero_weight, ConfigError::ZeroWeight { .. }));
    let zero_timeout = changed(|route| route.timeout = Duration::ZERO);
    assert!(matches!(zero_timeout, ConfigError::ZeroTimeout { .. }));
    let duplicate = changed(|route| route.prefix = "/short/".into());
    assert!(matches!(duplicate, ConfigError::DuplicateRoute { .. }));
    let mut two = organisations();
    two.push(two[0].clone());
    let shared = Config::new(1, routes(), services(), Some(two), Limits::default());
    assert!(matches!(
        shared.unwrap_err(),
        ConfigError::DuplicateKey { .. }
    ));
}

/// Guards against a shorter prefix that matches requests of a longer one.
#[test]
fn the_longest_prefix_wins() {
    let mut routes = routes();
    let mut inner = routes[0].clone();
    inner.name = "inner".into();
    inner.prefix = "/short/inner/".into();
    routes.push(inner);
    let config = build(routes).unwrap();
    assert_eq!(
        &*config.route("host", "/short/inner/x").unwrap().name,
        "inner"
    );
    assert_eq!(&*config.route("host", "/short/x").unwrap().name, "short");
    assert!(config.route("host", "/shor").is_none());
    assert!(config.route("other", "/short/x").is_none());
}

/// Guards against a VM that goes back to an older configuration after a newer one.
#[test]
fn an_older_configuration_is_ignored() {
    let mut fleet = Fleet::new(1, 2);
    let configured = |revision, version| Event::Configured {
        revision,
        config: Arc::new(config(version)),
        zones_out: Vec::new(),
    };
    fleet.apply(0, configured(3, 30));
    fleet.apply(0, configured(2, 20));
    assert_eq!(fleet.vms[0].config().unwrap().version, 30);
    assert_eq!(fleet.vms[0].revision(), 3);
}

/// Guards against a revoked key that still works. A VM that is partitioned or was suspended stops
/// running requests with keys, and refuses them as not run.
#[test]
fn requests_with_keys_are_refused_while_the_configuration_is_stale() {
    let mut fleet = Fleet::new(1, 2);
    let fresh = fleet.arrive(0, request("order", 0));
    assert!(fleet.dispatch(fresh).is_some());
    fleet.now = fleet.now + ms(3_751);
    let stale = fleet.arrive(0, request("order", 0));
    let refusal = fleet.refusal(stale).unwrap();
    assert_eq!(
        (refusal.reason, refusal.not_run),
        (Reason::StaleConfig, true)
    );
    // An answer that was under way during a suspension only confirms the configuration as of the
    // time at which the VM sent its request.
    fleet.apply(
        0,
        Event::Confirmed {
            requested_at: fleet.now - ms(3_000),
            age: ms(800),
            revision: 1,
        },
    );
    let late = fleet.arrive(0, request("order", 0));
    assert!(fleet.dispatch(late).is_none());
    // A leader with a newer revision does not confirm the revision applied here.
    fleet.apply(
        0,
        Event::Confirmed {
            requested_at: fleet.now,
            age: Duration::ZERO,
            revision: 2,
        },
    );
    let newer = fleet.arrive(0, request("order", 0));
    assert!(fleet.dispatch(newer).is_none());
    fleet.confirm(1);
    let confirmed = fleet.arrive(0, request("order", 0));
    assert!(fleet.dispatch(confirmed).is_some());
}

/// Guards against a VM whose configuration never counts as fresh while changes come in quick
/// succession: an answer with a later revision counts once that revision is applied.
#[test]
fn the_configuration_stays_fresh_during_quick_changes() {
    let mut fleet = Fleet::new(1, 2);
    for revision in 2..40 {
        fleet.now = fleet.now + ms(200);
        let requested_at = fleet.now;
        let age = ms(100);
        fleet.apply(
            0,
            Event::Confirmed {
                requested_at,
                age,
                revision,
            },
        );
        fleet.now = fleet.now + ms(50);
        let before = fleet.vms[0].config_age(fleet.now).unwrap();
        fleet.apply(
            0,
            Event::Configured {
                revision,
                config: Arc::new(config(revision)),
                zones_out: Vec::new(),
            },
        );
        let after = fleet.vms[0].config_age(fleet.now).unwrap();
        assert_eq!(after, ms(150));
        assert!(before > after);
    }
    // Applying a revision later than the confirmed one confirms nothing.
    fleet.now = fleet.now + ms(4_000);
    fleet.apply(
        0,
        Event::Configured {
            revision: 100,
            config: Arc::new(config(100)),
            zones_out: Vec::new(),
        },
    );
    let id = fleet.arrive(0, request("order", 0));
    assert!(fleet.dispatch(id).is_none());
}

/// Guards against a 404 or 401 answer of a VM that may not have received the route or key yet.
#[test]
fn unknown_routes_and_keys_are_reported_only_while_the_configuration_is_fresh() {
    let mut fleet = Fleet::new(1, 2);
    let unknown = fleet.arrive(0, request("nowhere", 0));
    assert_eq!(fleet.refusal(unknown).unwrap().reason, Reason::NoRoute);
    let mut unknown_key = request("order", 0);
    unknown_key.key = Some("stolen".into());
    let denied = fleet.arrive(0, unknown_key.clone());
    assert_eq!(fleet.refusal(denied).unwrap().reason, Reason::BadKey);
    fleet.now = fleet.now + ms(2_000);
    let stale = fleet.arrive(0, request("nowhere", 0));
    assert_eq!(fleet.refusal(stale).unwrap().reason, Reason::StaleConfig);
    let stale = fleet.arrive(0, unknown_key);
    assert_eq!(fleet.refusal(stale).unwrap().reason, Reason::StaleConfig);
}

/// Guards against a request that runs twice although it must not be retried: it is sent again only
/// after proof that it did not run.
#[test]
fn at_most_once_requests_are_retried_only_if_they_did_not_run() {
    for (outcome, retried, not_run) in [
        (
            Outcome::Broken {
                delivered: false,
                closed: true,
            },
            false,
            false,
        ),
        (Outcome::Error, false, false),
        (Outcome::Unreachable, true, true),
    ] {
        let mut fleet = Fleet::new(1, 0);
        let id = fleet.arrive(0, request("order", 0));
        fleet.end(0, id, outcome);
        let dispatches = fleet.decisions_of(id).len() - usize::from(fleet.refusal(id).is_some());
        assert_eq!(dispatches == 2, retried, "{outcome:?}");
        if let Some(refusal) = fleet.refusal(id) {
            assert_eq!(refusal.not_run, not_run, "{outcome:?}");
        }
    }
}

/// Guards against a refusal that states "not run" after a target may have run the request.
#[test]
fn a_refusal_after_a_broken_attempt_does_not_state_not_run() {
    let mut fleet = Fleet::new(1, 0);
    let id = fleet.arrive(0, request("read", 0));
    fleet.end(
        0,
        id,
        Outcome::Broken {
            delivered: false,
            closed: true,
        },
    );
    fleet.end(0, id, Outcome::Full);
    let refusal = fleet.refusal(id).unwrap();
    assert!(!refusal.not_run);
    assert_eq!(refusal.retry_after, None);
}

/// Guards against dispatching a request more often than its route allows when each attempt breaks
/// off.
#[test]
fn attempts_are_bounded_by_the_route() {
    let mut fleet = Fleet::new(1, 4);
    let id = fleet.arrive(0, request("short", 2_000));
    for _ in 0..6 {
        fleet.end(
            0,
            id,
            Outcome::Broken {
                delivered: false,
                closed: true,
            },
        );
    }
    let dispatches = fleet.decisions_of(id).len() - 1;
    assert_eq!(dispatches, 2);
    assert!(fleet.refusal(id).is_some());
}

/// Guards against retries of all VMs that together exceed the fleet-wide limit while every answer
/// breaks off.
#[test]
fn retries_of_all_vms_stay_within_the_budget() {
    let mut fleet = Fleet::new(9, 0);
    let (mut sent, mut requests) = (0, 0);
    for number in 0..2_700 {
        let vm = number % 9;
        let id = fleet.arrive(vm, request("read", 0));
        requests += 1;
        fleet.end(
            vm,
            id,
            Outcome::Broken {
                delivered: false,
                closed: true,
            },
        );
        fleet.end(
            vm,
            id,
            Outcome::Broken {
                delivered: false,
                closed: true,
            },
        );
        sent += fleet
            .decisions_of(id)
            .iter()
            .filter(|d| matches!(d, super::support::Decision::Dispatched(_)))
            .count();
        if number % 3 == 0 {
            fleet.now = fleet.now + ms(9);
        }
        if number % 300 == 0 {
            fleet.confirm(1);
            for plain in 0..3 {
                let mut announcement = announcement("plain", plain, plain);
                announcement.sequence = 2 + number as u64;
                fleet.announce(announcement);
            }
        }
    }
    let retries = sent - requests.min(sent);
    assert!(
        retries as f64 <= 0.2 * f64::from(requests as u32) + 100.0,
        "{retries} retries of {requests} requests"
    );
    assert!(
        retries > 100,
        "too little of the budget is used: {retries} retries"
    );
}

/// Guards against restarting a stream after delivered events where the route does not allow it.
#[test]
fn only_resumable_streams_are_retried_after_delivered_events() {
    let mut fleet = Fleet::new(1, 4);
    let stream = fleet.arrive(0, request("short", 2_000));
    fleet.end(
        0,
        stream,
        Outcome::Broken {
            delivered: true,
            closed: true,
        },
    );
    assert_eq!(fleet.decisions_of(stream).len(), 2);
    assert!(fleet.refusal(stream).is_none());
    let plain = fleet.arrive(0, request("read", 0));
    fleet.end(
        0,
        plain,
        Outcome::Broken {
            delivered: true,
            closed: true,
        },
    );
    assert!(fleet.refusal(plain).is_some());
}

/// Guards against dispatching to a zone that operators took out.
#[test]
fn zones_taken_out_get_no_work() {
    let mut fleet = Fleet::new(1, 6);
    fleet.apply(
        0,
        Event::Configured {
            revision: 2,
            config: Arc::new(config(1)),
            zones_out: vec!["zone-0".into(), "zone-1".into()],
        },
    );
    for _ in 0..40 {
        let id = fleet.arrive(0, request("short", 2_000));
        if let Some(dispatch) = fleet.dispatch(id) {
            let announced = fleet.vms[0].directory().get(dispatch.target).unwrap();
            assert_eq!(&*announced.zone, "zone-2");
        }
    }
    let long = fleet.arrive(0, request("long", 200_000));
    fleet.run(ms(7_000));
    for helper in fleet
        .dispatch(long)
        .map(|d| d.helpers.clone())
        .unwrap_or_default()
    {
        let announced = fleet.vms[0].directory().get(helper.target).unwrap();
        assert_eq!(&*announced.zone, "zone-2");
    }
}

/// Guards against a VM that takes a request in a planned stop and closes it without an answer as it exits, since the
/// answer took longer than predicted: only a request whose time limit fits into the rest of the stop is taken.
#[test]
fn a_vm_that_shuts_down_takes_no_request_that_may_outlast_it() {
    let mut fleet = Fleet::new(1, 4);
    let mut routes = routes();
    for route in &mut routes {
        route.timeout = ms(10_000);
    }
    fleet.apply_to_all(&Event::Configured {
        revision: 2,
        config: Arc::new(build(routes).unwrap()),
        zones_out: Vec::new(),
    });
    fleet.confirm(2);
    let until = fleet.now + ms(4_750);
    fleet.apply(0, Event::ShuttingDown { until });
    for (route, prompt) in [("order", 0), ("read", 0), ("short", 2_000)] {
        let id = fleet.arrive(0, request(route, prompt));
        let refusal = fleet.refusal(id);
        let refusal = refusal.unwrap_or_else(|| panic!("{route} is taken"));
        assert_eq!(refusal.reason, Reason::ShuttingDown);
        assert!(refusal.not_run && refusal.retry_after.is_some());
        let brief = Request {
            timeout: Some(ms(4_700)),
            ..request(route, prompt)
        };
        let id = fleet.arrive(0, brief);
        assert!(fleet.dispatch(id).is_some(), "{route} could end in time");
    }
}

/// Guards against a VM that accepts a request shortly before it stops and then cuts it off.
#[test]
fn a_vm_that_shuts_down_refuses_requests_that_cannot_end_in_time() {
    let mut fleet = Fleet::new(1, 4);
    let until = fleet.now + ms(2_000);
    fleet.apply(0, Event::ShuttingDown { until });
    let short = fleet.arrive(0, request("short", 2_000));
    assert_eq!(fleet.refusal(short).unwrap().reason, Reason::ShuttingDown);
    let order = fleet.arrive(0, request("order", 0));
    assert!(
        fleet.dispatch(order).is_some(),
        "a request that can end in time is refused"
    );
    fleet.now = fleet.now + ms(1_900);
    let late = fleet.arrive(0, request("order", 0));
    assert!(fleet.refusal(late).unwrap().not_run);
}

/// Guards against handing on more time than the caller's time-out and the route leave.
#[test]
fn the_time_left_is_bounded_by_caller_and_route() {
    let mut fleet = Fleet::new(1, 4);
    let mut short_timeout = request("short", 2_000);
    short_timeout.timeout = Some(ms(4_000));
    let id = fleet.arrive(0, short_timeout);
    assert_eq!(fleet.dispatch(id).unwrap().time_left, ms(4_000));
    fleet.now = fleet.now + ms(700);
    fleet.end(0, id, Outcome::Full);
    assert_eq!(fleet.dispatch(id).unwrap().time_left, ms(3_300));
    let mut long_timeout = request("read", 0);
    long_timeout.timeout = Some(ms(60_000));
    let id = fleet.arrive(0, long_timeout);
    assert_eq!(fleet.dispatch(id).unwrap().time_left, ms(1_000));
}

/// Guards against a panic on sizes that no engine can hold.
#[test]
fn oversized_requests_are_refused() {
    for prompt in [2_000_000, 1 << 40, u64::MAX / 2, u64::MAX] {
        let mut fleet = Fleet::new(1, 4);
        let id = fleet.arrive(0, request("long", prompt));
        fleet.run(ms(8_000));
        assert!(
            fleet.refusal(id).is_some_and(|refusal| refusal.not_run),
            "{prompt}"
        );
    }
}

/// Guards against test routes whose attempts do not match their retry policy.
#[test]
fn only_at_most_once_routes_have_a_single_attempt() {
    for route in routes() {
        assert_eq!(
            route.retry_policy == RetryPolicy::AtMostOnce,
            route.max_attempts == 1
        );
    }
}

/// Guards against answers that are cut off during a planned stop: a running request does not leave its target for one where
/// it would be refused because the VM stops first, and an answer that has begun goes on elsewhere when its target fails.
#[test]
fn a_planned_stop_cuts_no_answer_that_has_begun() {
    let mut fleet = Fleet::new(1, 4);
    let id = fleet.arrive(0, request("short", 2_000));
    let first = fleet.dispatch(id).expect("dispatched").target;
    fleet.apply(0, Event::Started(id));
    let now = fleet.now;
    assert!(fleet.vms[0].can_relocate(now, id));
    // Less time is left than an answer takes.
    let until = now + ms(1_000);
    fleet.apply(0, Event::ShuttingDown { until });
    assert!(!fleet.vms[0].can_relocate(now, id));
    let outcome = Outcome::Broken {
        delivered: true,
        closed: true,
    };
    fleet.end(0, id, outcome);
    assert!(
        fleet.refusal(id).is_none(),
        "an answer that has begun is cut off"
    );
    assert_ne!(fleet.dispatch(id).expect("dispatched again").target, first);
}
