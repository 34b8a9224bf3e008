//! Fetching of configurations by the entry VMs of several zones.

use std::time::Duration;

use primrosepin_core::fleet::Fetch;
use primrosepin_core::time::Instant;

use crate::support::{START, ms};

/// Advances time in steps of 10 ms up to `until`, and returns when and whom the VM asks.
fn asked(fetch: &mut Fetch<u8>, from: Instant, until: Instant, applied: u64) -> Vec<(u64, u8)> {
    let mut asked = Vec::new();
    let mut now = from;
    while now < until {
        if let Some(source) = fetch.next(now, applied) {
            asked.push((now.since(START).as_millis() as u64, source));
        }
        now = now + ms(10);
    }
    asked
}

/// Guards against a change after which all entry VMs load one link: each asks the control VM of its zone,
/// also if another one told first.
#[test]
fn the_control_vm_of_the_own_zone_is_asked() {
    let mut fetch = Fetch::default();
    fetch.heard(START, 3, true, 6, 6);
    fetch.heard(START, 1, false, 7, 6);
    assert_eq!(fetch.next(START, 6), None);
    fetch.heard(START + ms(20), 3, true, 7, 6);
    assert_eq!(fetch.next(START + ms(20), 6), Some(3));
}

/// Guards against copies in flight from several control VMs at once while the first is slow, and against
/// waiting for one that does not answer.
#[test]
fn one_request_is_in_flight_and_silent_sources_are_passed_over() {
    let mut fetch = Fetch::default();
    for source in 0..5 {
        fetch.heard(START, source, source == 2, 7, 6);
    }
    let asked = asked(&mut fetch, START, START + ms(1_700), 6);
    assert_eq!(asked, vec![(0, 2), (500, 0), (1_000, 1), (1_500, 3)]);
}

/// Guards against a zone that stays behind because its control VM does not hear of changes.
#[test]
fn a_lagging_control_vm_of_the_own_zone_is_not_waited_for() {
    let mut fetch = Fetch::default();
    fetch.heard(START, 2, true, 6, 6);
    fetch.heard(START, 4, false, 7, 6);
    assert_eq!(asked(&mut fetch, START, START + ms(400), 6), vec![(80, 4)]);
}

/// Guards against a storm of large configurations that takes the processor from requests: the newest is
/// fetched, at intervals that follow the time of applying one, and never later than a second after it is
/// known.
#[test]
fn a_storm_of_changes_is_fetched_together() {
    let mut fetch = Fetch::default();
    let (mut applied, mut fetched) = (0, Vec::new());
    let mut now = START;
    let mut in_flight: Option<(Instant, u64)> = None;
    for step in 0..400_u64 {
        now = START + ms(step * 10);
        let revision = step / 33 + 1;
        fetch.heard(now, 1, true, revision, applied);
        if let Some((at, revision)) = in_flight
            && at <= now
        {
            applied = revision;
            fetch.received(now, 1, applied, ms(90));
            in_flight = None;
        }
        if fetch.next(now, applied).is_some() {
            assert!(in_flight.is_none());
            fetched.push(now);
            in_flight = Some((now + ms(60), revision));
        }
    }
    assert!(fetched.len() <= 7, "{} fetches in 4 s", fetched.len());
    let gaps = fetched.windows(2).map(|pair| pair[1].since(pair[0]));
    assert!(gaps.max().unwrap() < Duration::from_secs(1));
    assert_eq!(fetch.next(now + ms(1_000), applied).is_some(), applied < 13);
}

/// Guards against a fetch that waits for a control VM whose link was lost.
#[test]
fn a_lost_link_frees_the_request() {
    let mut fetch = Fetch::default();
    fetch.heard(START, 2, true, 7, 6);
    fetch.heard(START, 4, false, 7, 6);
    assert_eq!(fetch.next(START, 6), Some(2));
    fetch.lost(2);
    let asked = asked(&mut fetch, START, START + ms(400), 6);
    assert_eq!(asked, vec![(200, 4)]);
}
