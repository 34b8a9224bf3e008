//! Which services are scheduled as contended ones.

use std::time::Duration;

use primrosepin_core::fleet::{Config, Limits, Policy};

use crate::support::{routes, services};

/// Returns the policy of the engine service after changes to the priority of the long route and the delay between
/// zones.
fn policy(long_priority: u8, zone_delay: Duration) -> Policy {
    let mut routes = routes();
    for route in &mut routes {
        if &*route.name == "long" {
            route.priority = long_priority;
        }
    }
    let mut services = services();
    for service in &mut services {
        service.zone_delay = zone_delay;
    }
    let config = Config::new(1, routes, services, None, Limits::default()).unwrap();
    assert!(!config.service("plain").unwrap().policy.is_contended());
    config.service("engine").unwrap().policy
}

/// Guards against new decisions on deployments whose configuration does not call for them: one priority for all
/// routes of the service, zones 1.4 ms apart, objectives of 300 ms and more.
#[test]
fn close_zones_and_one_priority_call_for_nothing() {
    assert!(!policy(1, Duration::ZERO).is_contended());
    assert!(!policy(1, Duration::from_micros(1_400)).is_contended());
}

/// Guards against a configuration that calls for the decisions and does not get them.
#[test]
fn priorities_and_far_zones_are_told_apart() {
    let priorities = policy(2, Duration::from_micros(900));
    assert!(priorities.has_priorities && !priorities.has_far_zones);
    let far = policy(1, Duration::from_micros(4_500));
    assert!(far.has_far_zones && !far.has_priorities);
    assert!(priorities.is_contended() && far.is_contended());
}
