//! Placement, fair sharing and admission at one entry VM.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use common::*;
use primrosepin_core::request::{End, Id, Outcome, Reason};
use primrosepin_core::serving::Policy;
use primrosepin_core::serving::effect::Effect;
use primrosepin_core::serving::event::Event;
use primrosepin_core::target::Load;

fn announce_engines(host: &mut Host, count: u16) {
    for number in 0..count {
        host.announce(engine(&format!("t{number:02}"), 101 + number));
    }
}

/// Guards against short requests that queue behind a long prefill while other targets are free, and
/// against long work that spreads over all targets.
#[test]
fn short_requests_avoid_targets_with_long_work() {
    let mut host = Host::single_vm();
    announce_engines(&mut host, 6);
    host.arrive(prompt(1, 1_000));
    for id in 10..22 {
        host.arrive(prompt(id, 100_000));
    }
    host.advance(400);
    let mut long = dispatches(&host.log);
    long.retain(|sent| sent.priority == 4);
    assert_eq!(
        long.len(),
        3,
        "only half of the targets may take long work: {long:?}"
    );
    // The other targets stay preferable even when each runs several short requests.
    for id in 30..45 {
        let short = single_dispatch(&host.arrive(prompt(id, 1_000)));
        assert!(long.iter().all(|long| long.target != short.target));
        host.apply(Event::Progress {
            attempt: short.attempt,
            tokens: 1,
        });
    }
}

/// Guards against several VMs that all select the same target after a load report: equal targets
/// must be selected about equally often.
#[test]
fn near_equal_targets_share_load() {
    let mut host = Host::single_vm();
    announce_engines(&mut host, 10);
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for id in 0..400 {
        let sent = single_dispatch(&host.arrive(prompt(id, 100)));
        *counts.entry(sent.target.to_string()).or_default() += 1;
        host.apply(Event::Progress {
            attempt: sent.attempt,
            tokens: 1,
        });
        host.end(sent.attempt, COMPLETE_ANSWER);
    }
    assert_eq!(counts.len(), 10);
    assert!(
        counts.values().all(|&count| (15..=80).contains(&count)),
        "{counts:?}"
    );
}

/// Guards against dispatches that are missing from a load report and therefore ignored: a burst
/// must spread.
#[test]
fn unreported_dispatches_count_as_load() {
    let mut host = Host::single_vm();
    announce_engines(&mut host, 4);
    // With equal numbers of running requests, targets differ only in prompt tokens not yet
    // prefilled.
    for id in 10..14 {
        let sent = single_dispatch(&host.arrive(prompt(id, 10)));
        host.apply(Event::Progress {
            attempt: sent.attempt,
            tokens: 1,
        });
    }
    let running = host.reducer.targets();
    assert!(running.iter().all(|target| target.running == 1));
    let mut targets = Vec::new();
    for id in 0..4 {
        targets.push(single_dispatch(&host.arrive(prompt(id, 4_000))).target);
        // A report made before the dispatch arrives after it.
        for number in 0..4 {
            let mut report = engine(&format!("t{number:02}"), 101 + number);
            report.seq = 2 + id as u64;
            host.announce(report);
        }
    }
    // 4,000 tokens at 20,000 per second.
    let waits: Vec<u64> = host
        .reducer
        .targets()
        .iter()
        .map(|target| target.wait_us)
        .collect();
    assert_eq!(waits, [200_000; 4]);
    targets.sort();
    targets.dedup();
    assert_eq!(targets.len(), 4);
}

/// Guards against starvation of long requests by a steady stream of medium ones.
#[test]
fn long_requests_are_not_starved() {
    let mut host = Host::single_vm();
    let mut target = engine("t", 101);
    target.max_running = 4;
    host.announce(target.clone());
    let mut running = Vec::new();
    let mut served = None;
    for id in 0..3 {
        let sent = dispatches(&host.arrive(prompt(id, 30_000)));
        running.extend(sent.iter().map(|sent| sent.attempt));
    }
    host.arrive(prompt(1_000, 350_000));
    for step in 0..160_u64 {
        let mut effects = host.advance(500);
        target.seq += 1;
        target.load.kv_tokens_used = 100_000;
        effects.extend(host.announce(target.clone()));
        for attempt in running.clone() {
            effects.extend(host.apply(Event::Progress { attempt, tokens: 1 }));
        }
        if step % 4 == 0 && !running.is_empty() {
            effects.extend(host.end(running.remove(0), COMPLETE_ANSWER));
        }
        effects.extend(host.arrive(prompt(10 + u128::from(step), 30_000)));
        for sent in dispatches(&effects) {
            if sent.attempt.request == Id(1_000) {
                served = Some(step);
            }
            running.push(sent.attempt);
        }
        if running.is_empty() {
            target.load.kv_tokens_used = 0;
        }
        if served.is_some() {
            break;
        }
    }
    assert!(served.is_some(), "the long request was never dispatched");
}

/// Guards against an organisation with many requests that delays the others, and against idle
/// targets while only one organisation has work.
#[test]
fn organisations_share_targets() {
    let mut host = Host::single_vm();
    let mut target = engine("t", 101);
    target.max_running = 2;
    host.announce(target);
    let mut running: Vec<_> = Vec::new();
    for id in 0..40 {
        running.extend(dispatches(&host.arrive(prompt(id, 1_000))));
    }
    assert_eq!(running.len(), 2, "a single organisation may use all slots");
    for id in 100..110 {
        let mut arrival = prompt(id, 1_000);
        arrival.organisation = "red".into();
        host.arrive(arrival);
    }
    let mut order = Vec::new();
    while order.len() < 20 {
        let done = running.remove(0);
        host.apply(Event::Progress {
            attempt: done.attempt,
            tokens: 1,
        });
        let next = dispatches(&host.end(done.attempt, COMPLETE_ANSWER));
        order.extend(next.iter().map(|sent| sent.attempt.request.0 >= 100));
        running.extend(next);
    }
    let red = order.iter().take(12).filter(|&&red| red).count();
    assert!(red >= 6, "{order:?}");
}

/// Guards against a concurrency limit that is not enforced, or that refuses requests instead of
/// queueing them.
#[test]
fn organisation_limit() {
    let mut host = Host::new(settings("e1", 1));
    let mut config = config(1, &["e1"]);
    config.inventory.organisations[0].max_running = 2;
    host.apply(Event::Configured(Arc::new(config)));
    announce_engines(&mut host, 4);
    let mut sent = Vec::new();
    let mut refused = 0;
    for id in 0..40 {
        let effects = host.arrive(prompt(id, 1_000));
        sent.extend(dispatches(&effects));
        let limit = (Outcome::NotRun, Reason::OrganisationLimit);
        refused += u32::from(refusal(&effects) == Some(limit));
    }
    assert_eq!(sent.len(), 2);
    assert!(refused > 0 && host.reducer.waiting_requests() == 16);
    let effects = host.end(sent[0].attempt, COMPLETE_ANSWER);
    assert_eq!(dispatches(&effects).len(), 1);
}

/// Guards against overload that makes every answer late. What cannot finish in time is refused at
/// once with a retry hint, and admitted work stays within what the fleet can finish.
#[test]
fn overload_is_refused_early() {
    let mut host = Host::single_vm();
    announce_engines(&mut host, 2);
    let mut hints = 0;
    for id in 0..200 {
        let effects = host.arrive(prompt(id, 30_000));
        hints += effects
            .iter()
            .filter(|effect| {
                matches!(effect, Effect::Respond(refusal)
                if refusal.reason == Reason::FleetBusy && refusal.retry_after_ms.is_some())
            })
            .count();
    }
    // Two targets prefill 40,000 tokens/s, so 80 requests take 60 s.
    let live = host.reducer.live_requests();
    assert!((60..=84).contains(&live), "{live} of 200 admitted");
    assert_eq!(hints, 200 - live);
}

/// Guards against retry storms: retries stay within the budget.
#[test]
fn retries_stay_within_budget() {
    let mut host = Host::single_vm();
    announce_engines(&mut host, 8);
    for id in 0..200 {
        let mut pending = dispatches(&host.arrive(prompt(id, 100)));
        while let Some(sent) = pending.pop() {
            let busy = primrosepin_core::request::End::NotRun { busy: true };
            pending = dispatches(&host.end(sent.attempt, busy));
        }
    }
    let counters = host.reducer.counters();
    assert!(counters.retries <= 10 + 20, "{} retries", counters.retries);
    assert!(counters.retries_over_budget > 0);
}

/// Guards against unused prefix hints: a repeated prompt is dispatched to the target that caches
/// its prefix.
#[test]
fn repeated_prompt_goes_to_cached_prefix() {
    let mut host = Host::single_vm();
    announce_engines(&mut host, 8);
    let mut arrival = prompt(1, 30_000);
    arrival.prefix = [11, 12, 13].into_iter().collect();
    let first = single_dispatch(&host.arrive(arrival.clone()));
    host.apply(Event::Progress {
        attempt: first.attempt,
        tokens: 1,
    });
    host.end(
        first.attempt,
        primrosepin_core::request::End::Complete {
            prompt_tokens: 30_000,
            cached_tokens: 0,
            generated_tokens: 10,
        },
    );
    for id in 2..8 {
        arrival.id = Id(id);
        let sent = single_dispatch(&host.arrive(arrival.clone()));
        assert_eq!(sent.target, first.target);
        host.now = host.now + Duration::from_millis(50);
        host.apply(Event::Progress {
            attempt: sent.attempt,
            tokens: 1,
        });
        host.end(
            sent.attempt,
            primrosepin_core::request::End::Complete {
                prompt_tokens: 30_000,
                cached_tokens: 29_000,
                generated_tokens: 10,
            },
        );
    }
}

/// Guards against baseline policies that use the length-based priorities or keep long work
/// to a part of the targets.
#[test]
fn baseline_policies_ignore_prompt_length() {
    for policy in [Policy::RoundRobin, Policy::LeastLoad] {
        let mut settings = settings("e1", 1);
        settings.policy = policy;
        let mut host = Host::new(settings);
        host.apply(Event::Configured(Arc::new(config(1, &["e1"]))));
        announce_engines(&mut host, 3);
        let sent: Vec<_> = (0..3)
            .map(|id| single_dispatch(&host.arrive(prompt(id, 100_000))))
            .collect();
        assert!(sent.iter().all(|sent| sent.priority == 0));
        let mut targets: Vec<_> = sent.into_iter().map(|sent| sent.target).collect();
        targets.sort();
        targets.dedup();
        assert_eq!(
            targets.len(),
            3,
            "{policy:?} must use all targets for long work"
        );
    }
}

/// Guards against arithmetic overflow by numbers from targets and callers.
#[test]
fn extreme_numbers_do_not_overflow() {
    let mut host = Host::single_vm();
    for number in 0..3 {
        let mut target = engine(&format!("t{number}"), 101 + number);
        // Zero KV memory means that there is no limit.
        target.kv_tokens = u64::MAX * u64::from(number % 2);
        target.prefill_tokens_per_s = u64::MAX * u64::from(number % 2);
        target.decode_tokens_per_s = u64::MAX;
        target.max_running = u32::MAX;
        target.spans = true;
        target.cold_budget.tokens = u64::MAX;
        target.load = Load {
            running: u32::MAX,
            waiting: u32::MAX,
            prefill_tokens: u64::MAX,
            kv_tokens_used: u64::MAX / 2,
        };
        host.announce(target);
    }
    for id in 0..20 {
        let mut arrival = prompt(id, u64::MAX >> (3 * id));
        arrival.max_tokens = u64::MAX;
        host.arrive(arrival);
        host.arrive(prompt(100 + id, u64::MAX >> (3 * id)));
        host.advance(20);
    }
    host.advance(605_000);
    assert_eq!(host.reducer.live_requests(), 0);
}

/// Guards against runs that cannot be reproduced: equal seeds and events must give equal effects.
#[test]
fn equal_seeds_give_equal_effects() {
    let run = || {
        let mut host = Host::single_vm();
        announce_engines(&mut host, 9);
        for id in 0..100 {
            host.arrive(prompt(id, 500 * (id as u64 % 90)));
            host.advance(20);
        }
        host.log
    };
    assert_eq!(run(), run());
}

/// Guards against a prompt that crashes one target after the other: once five have ended under requests with a
/// prefix in common, requests with it must not be sent to more.
#[test]
fn a_prefix_that_crashes_targets_is_no_longer_sent_to_them() {
    let mut host = Host::single_vm();
    announce_engines(&mut host, 12);
    let mut reached = 0;
    for id in 1..=16 {
        // Targets that ended have started again.
        for number in 0..12 {
            let mut started = engine(&format!("t{number:02}"), 101 + number);
            started.incarnation = 1 + id as u64;
            started.seq = 1 + id as u64;
            host.announce(started);
        }
        // A sound request that shares an earlier block is answered in between.
        let mut sound = prompt(100 + id, 1_000);
        sound.prefix = smallvec::smallvec![7];
        for sent in dispatches(&host.arrive(sound)) {
            host.end(sent.attempt, COMPLETE_ANSWER);
        }
        let mut bad = prompt(id, 1_000);
        bad.prefix = smallvec::smallvec![7, 13];
        let mut sent = dispatches(&host.arrive(bad));
        while let Some(dispatch) = sent.pop() {
            reached += 1;
            host.end(dispatch.attempt, End::NoAnswer);
            host.advance(100);
            sent = dispatches(&host.log);
            sent.retain(|next| next.attempt.request == dispatch.attempt.request);
            sent.retain(|next| next.attempt.number > dispatch.attempt.number);
        }
        host.advance(1_000);
    }
    assert!(
        reached <= 5 + 3,
        "{reached} requests with the prefix reached targets"
    );
}
