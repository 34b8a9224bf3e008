//! Lifecycle of a request, from arrival to final outcome.

mod common;

use common::*;
use primrosepin_core::request::{Id, Outcome, Reason};
use primrosepin_core::serving::effect::{Effect, Notice};
use primrosepin_core::serving::event::Event;

/// Guards against traffic from the load balancer before the VM has a configuration.
#[test]
fn ready_only_with_configuration() {
    let mut host = Host::new(settings("e1", 1));
    assert!(!host.advance(1_200).contains(&Effect::Ready(true)));
    let effects = host.apply(Event::Configured(std::sync::Arc::new(config(1, &["e1"]))));
    assert!(effects.contains(&Effect::Ready(true)));
    assert!(host.apply(Event::Drain).contains(&Effect::Ready(false)));
}

/// Guards against a restarted VM that refuses requests because no target has announced itself yet.
#[test]
fn ready_only_when_targets_had_time_to_announce() {
    let mut host = Host::single_vm();
    assert!(!host.advance(900).contains(&Effect::Ready(true)));
    assert!(host.advance(200).contains(&Effect::Ready(true)));
}

/// Guards against answers that are lost or completed twice.
#[test]
fn complete_answer_ends_request() {
    let mut host = Host::single_vm();
    host.announce(engine("t1", 101));
    host.announce(plain("o1", 102));
    let first = single_dispatch(&host.arrive(prompt(1, 1_000)));
    assert_eq!(first.target.as_ref(), "t1");
    assert_eq!(first.priority, 0);
    assert_eq!(
        single_dispatch(&host.arrive(plain_request(2)))
            .target
            .as_ref(),
        "o1"
    );
    let effects = host.end(first.attempt, COMPLETE_ANSWER);
    assert!(effects.contains(&Effect::Complete(Id(1))));
    assert!(
        !host
            .end(first.attempt, COMPLETE_ANSWER)
            .contains(&Effect::Complete(Id(1)))
    );
}

/// Guards against engine memory that leaks when the caller disconnects, and against a late event
/// that revives the request.
#[test]
fn caller_disconnect_cancels_attempt() {
    let mut host = Host::single_vm();
    host.announce(engine("t1", 101));
    let sent = single_dispatch(&host.arrive(prompt(1, 1_000)));
    let cancel = Effect::Cancel {
        address: address(101),
        attempt: sent.attempt,
    };
    let effects = host.apply(Event::CallerGone(Id(1)));
    assert!(effects.contains(&Effect::Abort(sent.attempt)));
    assert!(effects.contains(&cancel));
    let late = host.apply(Event::Started(sent.attempt));
    assert!(late.contains(&cancel));
}

/// Guards against requests that exceed their time limit because tokens keep arriving.
#[test]
fn deadline_by_class() {
    let mut host = Host::single_vm();
    let mut target = engine("t1", 101);
    host.announce(target.clone());
    let sent = single_dispatch(&host.arrive(prompt(1, 1_000)));
    for _ in 0..29 {
        assert_eq!(refusal(&host.advance(1_000)), None);
        target.seq += 1;
        host.announce(target.clone());
        host.apply(Event::Progress {
            attempt: sent.attempt,
            tokens: 1,
        });
    }
    assert_eq!(refusal(&host.advance(900)), None);
    let effects = host.advance(200);
    let expected = (Outcome::Failed, Reason::DeadlineExceeded);
    assert_eq!(refusal(&effects), Some(expected));
    assert!(effects.contains(&Effect::Abort(sent.attempt)));
}

/// Guards against work for targets that stopped announcing themselves, and against stale
/// announcements that revive a target or change its state.
#[test]
fn expired_stale_and_conflicting_announcements() {
    let mut host = Host::single_vm();
    let mut second = engine("t1", 101);
    second.seq = 5;
    second.incarnation = 2;
    host.announce(second);
    host.announce(engine("t1", 101));
    assert_eq!(host.reducer.counters().stale_announcements, 1);
    let mut other = engine("t1", 109);
    other.seq = 9;
    other.incarnation = 2;
    let effects = host.announce(other);
    let conflict = Effect::Notice(Notice::TargetConflict("t1".into()));
    assert!(effects.contains(&conflict));
    assert_eq!(host.reducer.targets()[0].announcement.address, address(101));
    let effects = host.advance(3_100);
    assert!(effects.contains(&Effect::Notice(Notice::TargetLost("t1".into()))));
    let effects = host.arrive(prompt(1, 1_000));
    assert!(dispatches(&effects).is_empty());
}
