//! Cooperation of several entry VMs in one zone.

mod common;

use std::sync::Arc;

use common::*;
use primrosepin_core::fingerprint::Fingerprint;
use primrosepin_core::membership::Override;
use primrosepin_core::message::{Credit, Message};
use primrosepin_core::request::{Arrival, End, Outcome, Reason};
use primrosepin_core::serving::effect::{Effect, Notice};
use primrosepin_core::serving::event::Event;
use primrosepin_core::target::{Announcement, Budget, State};
use primrosepin_core::zone::{Capacity, Summary};

fn cold(name: &str, port: u16) -> Announcement {
    Announcement {
        state: State::Cold,
        cold_budget: Budget {
            requests: 2,
            tokens: 8_000,
        },
        ..engine(name, port)
    }
}

/// Guards against VMs that do not discover each other, keep lost members, or do not take them back.
#[test]
fn members_join_leave_and_return() {
    let mut cluster = Cluster::new(3);
    cluster.advance(1_000);
    assert!(
        cluster
            .hosts
            .iter()
            .all(|host| host.reducer.members().len() == 2)
    );
    cluster.isolated = vec![2];
    cluster.advance(1_500);
    let alive = |cluster: &Cluster| {
        let members = cluster.hosts[0].reducer.members();
        members.iter().filter(|member| member.alive).count()
    };
    assert_eq!(
        (cluster.hosts[0].reducer.members().len(), alive(&cluster)),
        (2, 1)
    );
    cluster.advance(2_000);
    assert_eq!(cluster.hosts[0].reducer.members().len(), 1);
    cluster.isolated.clear();
    cluster.advance(1_000);
    assert_eq!(alive(&cluster), 2);
}

/// Guards against a configuration that does not reach all VMs, or is replaced by an older one.
#[test]
fn configuration_spreads_and_never_reverts() {
    let mut cluster = Cluster::new(3);
    cluster.advance(500);
    cluster.hosts[1].apply(Event::Configured(Arc::new(config(5, &["e1", "e2", "e3"]))));
    cluster.deliver();
    cluster.advance(1_000);
    cluster.hosts[1].apply(Event::Configured(Arc::new(config(4, &["e1"]))));
    cluster.advance(1_000);
    for host in &cluster.hosts {
        assert_eq!(host.reducer.config().map(|config| config.version), Some(5));
    }
}

/// Guards against targets that are known only to the VM at which they announce themselves, and
/// against new work from other VMs for a target that has left.
#[test]
fn announcements_are_relayed() {
    let mut cluster = Cluster::new(3);
    cluster.advance(1_000);
    let mut targets = [engine("t1", 101)];
    cluster.advance_with(1_000, &mut targets);
    assert!(
        cluster
            .hosts
            .iter()
            .all(|host| host.reducer.target_count() == 1)
    );
    targets[0].state = State::Draining;
    targets[0].seq += 1;
    cluster.hosts[0].announce(targets[0].clone());
    cluster.deliver();
    assert!(cluster.arrive(2, prompt(1, 1_000)).is_empty());
    cluster.advance(3_200);
    assert!(
        cluster
            .hosts
            .iter()
            .all(|host| host.reducer.target_count() == 0)
    );
}

/// Guards against two coordinators at the same time, a zone without one, and epochs that do not
/// increase.
#[test]
fn coordinator_is_unique_and_replaced() {
    let mut cluster = Cluster::new(3);
    cluster.advance(2_900);
    assert!(
        cluster.coordinators().is_empty(),
        "voters must abstain after process start"
    );
    cluster.advance(1_500);
    let first = cluster.coordinators();
    assert_eq!(first.len(), 1);
    let epoch = cluster.hosts[first[0]].reducer.coordinator_epoch();
    cluster.advance(10_000);
    assert_eq!(
        cluster.coordinators(),
        first,
        "the lease must be renewed by its holder"
    );
    assert_eq!(cluster.hosts[first[0]].reducer.coordinator_epoch(), epoch);
    cluster.isolated = first.clone();
    let mut second = Vec::new();
    for _ in 0..500 {
        cluster.advance(20);
        second = cluster.coordinators();
        assert!(second.len() <= 1, "two coordinators at the same time");
    }
    assert_eq!(second.len(), 1);
    assert_ne!(first, second);
    assert!(cluster.hosts[second[0]].reducer.coordinator_epoch() > epoch);
    cluster.isolated = vec![0, 1];
    cluster.advance(4_000);
    assert!(
        cluster.coordinators().is_empty(),
        "a minority must not coordinate"
    );
}

/// Guards against a cold budget that each VM spends separately, and against targets that never
/// become warm.
#[test]
fn cold_budget_holds_across_vms() {
    let mut cluster = Cluster::new(3);
    let mut targets = [cold("t1", 101)];
    cluster.advance_with(6_000, &mut targets);
    let mut sent = Vec::new();
    let mut id = 0;
    for _ in 0..5 {
        for index in 0..3 {
            id += 1;
            let found = cluster.arrive(index, prompt(id, 1_000));
            sent.extend(found.into_iter().map(|sent| (index, sent)));
        }
    }
    cluster.advance_with(400, &mut targets);
    let total = |cluster: &Cluster| -> u64 {
        let counters = cluster.hosts.iter().map(|host| host.reducer.counters());
        counters.map(|counters| counters.dispatched).sum()
    };
    assert_eq!(
        total(&cluster),
        2,
        "the cold budget is 2 requests for the whole zone"
    );
    // Timely first tokens double the budget.
    let finish_all = |cluster: &mut Cluster| {
        for index in 0..3 {
            let all = dispatches(&cluster.hosts[index].log);
            for sent in all {
                let attempt = sent.attempt;
                cluster.hosts[index].apply(Event::Progress { attempt, tokens: 1 });
                cluster.hosts[index].end(attempt, COMPLETE_ANSWER);
            }
        }
        cluster.deliver();
    };
    finish_all(&mut cluster);
    cluster.advance_with(600, &mut targets);
    assert_eq!(
        total(&cluster),
        6,
        "the doubled budget allows 4 more requests"
    );
}

/// Guards against work beyond the cold budget after the coordinator is lost. The next coordinator
/// counts the credits that members hold, and those of the lost VM until they have expired.
#[test]
fn new_coordinator_counts_outstanding_credits() {
    let mut cluster = Cluster::new(3);
    let mut targets = [cold("t1", 101)];
    targets[0].cold_budget.requests = 1;
    cluster.advance_with(6_000, &mut targets);
    let first = cluster.coordinators()[0];
    let other = (first + 1) % 3;
    let sent = cluster.arrive(other, prompt(1, 1_000));
    assert_eq!(sent.len(), 1);
    cluster.isolated = vec![first];
    for _ in 0..5 {
        for target in &mut targets {
            target.seq += 1;
            for host in &mut cluster.hosts {
                host.announce(target.clone());
            }
        }
        cluster.hosts[other].apply(Event::Progress {
            attempt: sent[0].attempt,
            tokens: 1,
        });
        cluster.advance(1_000);
    }
    let second = cluster.coordinators();
    assert!(second.len() == 1 && second[0] != first);
    let third = (0..3)
        .find(|&index| index != first && index != other)
        .expect("the zone has three VMs");
    assert!(cluster.arrive(third, prompt(2, 1_000)).is_empty());
    cluster.hosts[other].end(sent[0].attempt, COMPLETE_ANSWER);
    cluster.deliver();
    for _ in 0..13 {
        for host in &mut cluster.hosts {
            targets[0].seq += 1;
            host.announce(targets[0].clone());
        }
        assert_eq!(cluster.hosts[third].reducer.counters().dispatched, 0);
        cluster.advance(1_000);
        if cluster.hosts[third].reducer.counters().dispatched == 1 {
            break;
        }
    }
    cluster.advance(1_000);
    assert_eq!(
        cluster.hosts[third].reducer.counters().dispatched,
        1,
        "credits must become available again"
    );
}

/// Guards against ignoring the credits of unreachable VMs: they count until they have expired.
#[test]
fn unreachable_credits_count_until_expiry() {
    let mut cluster = Cluster::new(5);
    let mut targets = [cold("t1", 101)];
    targets[0].cold_budget.requests = 1;
    cluster.advance_with(6_000, &mut targets);
    let first = cluster.coordinators()[0];
    let others: Vec<usize> = (0..5).filter(|&index| index != first).collect();
    assert_eq!(cluster.arrive(others[0], prompt(1, 1_000)).len(), 1);
    cluster.isolated = vec![first, others[0]];
    let sent = |cluster: &Cluster, index: usize| cluster.hosts[index].reducer.counters().dispatched;
    let mut waited = 0;
    for second in 0..30 {
        targets[0].seq += 1;
        for host in &mut cluster.hosts {
            host.announce(targets[0].clone());
        }
        let mut arrival = prompt(100 + second, 1_000);
        arrival.repeatable = false;
        cluster.arrive(others[1], arrival);
        cluster.advance(1_000);
        if sent(&cluster, others[1]) > 0 {
            break;
        }
        waited += 1;
    }
    // Membership and zone lease each end after 3 s, engine lease and transit after another 12 s.
    assert!(
        (14..28).contains(&waited),
        "credits resumed after {waited} s"
    );
}

/// Guards against credits used after their time, or granted by an earlier coordinator after the
/// holdings were reported to the next one.
#[test]
fn late_grants_are_returned() {
    let grant = |epoch, dispatch_within_ms| {
        Message::Credit(Credit::Grant {
            attempt: attempt(1, 0),
            target: "t1".into(),
            incarnation: 1,
            epoch,
            dispatch_within_ms,
        })
    };
    let asked = |pause_ms: u64, epoch: u64, within_ms: u64| {
        let mut cluster = Cluster::new(3);
        let mut targets = [cold("t1", 101)];
        cluster.advance_with(6_000, &mut targets);
        let first = cluster.coordinators()[0];
        let holder = (first + 1) % 3;
        let from = cluster.hosts[first].reducer.settings().vm.clone();
        let host = &mut cluster.hosts[holder];
        host.arrive(prompt(1, 1_000));
        host.now = host.now + std::time::Duration::from_millis(pause_ms);
        let message = grant(epoch, within_ms);
        let effects = host.apply(Event::Received { from, message });
        let returned = effects.iter().any(|effect| {
            matches!(
                effect,
                Effect::Send {
                    message: Message::Credit(Credit::Return { .. }),
                    ..
                }
            )
        });
        (dispatches(&effects).len(), returned)
    };
    assert_eq!(asked(10, 1, 1_000), (1, false));
    assert_eq!(asked(300, 1, 200), (0, true), "dispatch limit has passed");
    assert_eq!(
        asked(10, 0, 1_000),
        (0, true),
        "granted by an earlier coordinator"
    );
}

/// Guards against a new coordinator that does not count the tokens of credits that members hold.
#[test]
fn reported_holdings_count_their_tokens() {
    let mut cluster = Cluster::new(3);
    let mut targets = [cold("t1", 101)];
    targets[0].cold_budget = Budget {
        requests: 4,
        tokens: 1_500,
    };
    cluster.advance_with(6_000, &mut targets);
    let first = cluster.coordinators()[0];
    let (holder, third) = ((first + 1) % 3, (first + 2) % 3);
    let sent = cluster.arrive(holder, prompt(1, 1_000));
    cluster.isolated = vec![first];
    for _ in 0..20 {
        targets[0].seq += 1;
        for host in &mut cluster.hosts {
            host.announce(targets[0].clone());
        }
        cluster.hosts[holder].apply(Event::Progress {
            attempt: sent[0].attempt,
            tokens: 1,
        });
        cluster.advance(1_000);
    }
    assert!(cluster.arrive(third, prompt(2, 1_000)).is_empty());
    cluster.arrive(third, prompt(3, 400));
    cluster.advance(240);
    let third_sent = dispatches(&cluster.hosts[third].log);
    assert_eq!(
        third_sent.len(),
        1,
        "the unused part of the budget must be usable"
    );
    assert_eq!(third_sent[0].attempt.request, prompt(3, 0).id);
}

/// Guards against organisations that get a full share at each VM: usage is summed over the zone.
#[test]
fn usage_is_summed_over_the_zone() {
    let mut cluster = Cluster::new(2);
    let mut targets = [engine("t1", 101)];
    targets[0].max_running = 2;
    cluster.advance_with(2_000, &mut targets);
    cluster.arrive(0, prompt(1, 3_000));
    cluster.arrive(0, prompt(2, 3_000));
    cluster.advance_with(400, &mut targets);
    let mut red = prompt(20, 1_000);
    red.organisation = "red".into();
    assert!(cluster.arrive(1, prompt(10, 1_000)).is_empty());
    assert!(cluster.arrive(1, red).is_empty());
    cluster.hosts[0].end(attempt(1, 0), COMPLETE_ANSWER);
    cluster.advance_with(600, &mut targets);
    let first = dispatches(&cluster.hosts[1].log);
    assert_eq!(first[0].attempt.request, prompt(20, 0).id);
}

/// Guards against a concurrency limit that applies to each VM instead of the zone.
#[test]
fn organisation_limit_is_split_between_vms() {
    let mut cluster = Cluster::new(3);
    let mut config = config(2, &["e1", "e2", "e3"]);
    config.inventory.organisations[0].max_running = 6;
    let config = Arc::new(config);
    let mut targets: Vec<_> = (0..6).map(|n| engine(&format!("t{n}"), 101 + n)).collect();
    for host in &mut cluster.hosts {
        host.apply(Event::Configured(Arc::clone(&config)));
    }
    cluster.advance_with(2_000, &mut targets);
    cluster.isolated = vec![2];
    cluster.advance_with(1_400, &mut targets);
    for id in 0..10 {
        cluster.arrive(0, prompt(id, 10));
    }
    let running = |cluster: &Cluster, index: usize| -> u32 {
        let targets = cluster.hosts[index].reducer.targets();
        targets.iter().map(|target| target.running).sum()
    };
    assert_eq!(
        running(&cluster, 0),
        2,
        "the limit is split equally while a member is suspected"
    );
    cluster.advance_with(400, &mut targets);
    cluster.isolated.clear();
    cluster.advance_with(600, &mut targets);
    assert_eq!(
        running(&cluster, 0),
        6,
        "the whole limit is usable if no other VM has demand"
    );
}

/// Guards against a target that one VM found cold and that other VMs keep loading.
#[test]
fn cold_state_is_shared() {
    let mut cluster = Cluster::new(3);
    let mut targets = [engine("t1", 101)];
    cluster.advance_with(6_000, &mut targets);
    assert!(
        cluster
            .hosts
            .iter()
            .all(|host| !host.reducer.targets()[0].cold)
    );
    for id in 0..3 {
        let sent = cluster.arrive(1, prompt(id, 100));
        cluster.advance_with(1_600, &mut targets);
        let attempt = sent[0].attempt;
        cluster.hosts[1].apply(Event::Progress { attempt, tokens: 1 });
        cluster.hosts[1].end(attempt, COMPLETE_ANSWER);
    }
    let turned = Effect::Notice(Notice::TargetCold("t1".into()));
    assert!(cluster.hosts[1].log.contains(&turned));
    cluster.advance_with(600, &mut targets);
    assert!(
        cluster
            .hosts
            .iter()
            .all(|host| host.reducer.targets()[0].cold)
    );
}

/// Guards against VMs that ignore each other's work on a target: together they stay within its
/// slots.
#[test]
fn slots_hold_across_vms() {
    let mut cluster = Cluster::new(3);
    let mut targets = [engine("t1", 101)];
    cluster.advance_with(2_000, &mut targets);
    let mut id = 0;
    for _ in 0..8 {
        for index in 0..3 {
            id += 1;
            cluster.arrive(index, prompt(id, 10));
        }
        cluster.advance_with(200, &mut targets);
    }
    let views: Vec<u32> = cluster
        .hosts
        .iter()
        .map(|host| host.reducer.targets()[0].running)
        .collect();
    assert!((8..=10).contains(&views.iter().sum::<u32>()), "{views:?}");
}

fn summary(zone: &str, sequence: u64) -> Summary {
    Summary {
        zone: zone.into(),
        sequence,
        epoch: 1,
        services: vec![Capacity {
            service: "lm".into(),
            warm_targets: 4,
            prefill_tokens_per_s: 80_000.0,
            backlog_tokens: 0,
            largest_kv_tokens: 400_000,
            spanning_kv_tokens: 0,
        }],
        entries: vec![address(5_000)],
    }
}

/// Guards against new work in a zone that is out of service, requests that circulate between zones,
/// and summaries that reach only one VM.
#[test]
fn zone_out_hands_over() {
    let mut cluster = Cluster::new(2);
    let mut targets = [engine("t1", 101)];
    cluster.advance_with(1_000, &mut targets);
    cluster.hosts[0].apply(Event::Received {
        from: instance("other"),
        message: Message::Summary(summary("b", 1)),
    });
    cluster.deliver();
    let running = cluster.arrive(1, prompt(1, 1_000));
    cluster.hosts[0].apply(Event::LocalOrder(Override {
        zone: "a".into(),
        out: true,
        sequence: 1,
        config: 1,
    }));
    cluster.advance_with(400, &mut targets);
    let host = &mut cluster.hosts[1];
    let effects = host.arrive(prompt(2, 1_000));
    assert!(effects.contains(&Effect::HandOver {
        request: prompt(2, 0).id,
        address: address(5_000),
    }));
    let mut forwarded = prompt(3, 1_000);
    forwarded.handed_over = true;
    let expected = (Outcome::NotRun, Reason::ZoneOut);
    assert_eq!(refusal(&host.arrive(forwarded)), Some(expected));
    let refused = End::NotRun { busy: true };
    let effects = host.apply(Event::HandedOver {
        request: prompt(2, 0).id,
        end: refused,
    });
    assert_eq!(refusal(&effects), Some(expected));
    let effects = host.end(running[0].attempt, COMPLETE_ANSWER);
    assert!(effects.contains(&Effect::Complete(prompt(1, 0).id)));
    // An unrelated configuration change does not put the zone back into service.
    host.apply(Event::Configured(Arc::new(config(2, &["e1", "e2"]))));
    assert!(host.reducer.is_zone_out("a"));
    // A later order for the zone does, although the control VMs never took it out.
    let mut ordered = config(3, &["e1", "e2"]);
    ordered.zone_orders.push(("a".into(), 3));
    host.apply(Event::Configured(Arc::new(ordered)));
    assert!(!host.reducer.is_zone_out("a"));
}

/// Guards against targets of another zone in the table, and against credits from processes that are
/// not members.
#[test]
fn foreign_messages_are_ignored() {
    let mut cluster = Cluster::new(2);
    cluster.advance(500);
    let host = &mut cluster.hosts[0];
    let from = instance("stranger");
    let mut target = engine("t9", 109);
    target.zone = "b".into();
    let message = Message::Targets(vec![target]);
    host.apply(Event::Received {
        from: from.clone(),
        message,
    });
    assert_eq!(host.reducer.target_count(), 0);
    let credit = Credit::Grant {
        attempt: attempt(1, 0),
        target: "t9".into(),
        incarnation: 1,
        epoch: 9,
        dispatch_within_ms: 1_000,
    };
    let effects = host.apply(Event::Received {
        from,
        message: Message::Credit(credit),
    });
    assert!(dispatches(&effects).is_empty());
}

/// Guards against an old process that is restored as a member: a lower incarnation is ignored.
#[test]
fn lower_incarnation_is_not_a_member() {
    let mut cluster = Cluster::new(2);
    cluster.advance(500);
    let beat = cluster.hosts[1].log.iter().find_map(|effect| match effect {
        Effect::Send {
            message: Message::Heartbeat(beat),
            ..
        } => Some(beat.clone()),
        _ => None,
    });
    let mut beat = beat.expect("e2 sent no heartbeat");
    let mut newer = instance("e2");
    newer.incarnation.0 = 2;
    let host = &mut cluster.hosts[0];
    host.apply(Event::Received {
        from: newer.clone(),
        message: Message::Heartbeat(beat.clone()),
    });
    beat.sequence = 1_000;
    host.apply(Event::Received {
        from: instance("e2"),
        message: Message::Heartbeat(beat),
    });
    let members = host.reducer.members();
    assert_eq!(members.len(), 1);
    assert_eq!(members[0].instance, newer);
}

/// Guards against a request that crashes one target after the other because each VM of the zone sees one crash: after
/// three it is refused everywhere, and requests that ask for something else are not.
#[test]
fn a_request_that_crashes_targets_is_refused_in_the_whole_zone() {
    let mut cluster = Cluster::new(3);
    let mut targets: Vec<Announcement> = (0..6)
        .map(|number| engine(&format!("t{number}"), 101 + number))
        .collect();
    cluster.advance_with(1_500, &mut targets);
    let asks = |body: &[u8]| Fingerprint::new("POST", "lm", "/v1/completions", body);
    let request = |id, body| Arrival {
        fingerprint: asks(body),
        repeatable: false,
        ..prompt(id, 1_000)
    };
    for vm in 0..3 {
        let sent = cluster.arrive(vm, request(1 + vm as u128, b"fatal"));
        assert_eq!(sent.len(), 1, "refused after {vm} crashes");
        cluster.hosts[vm].end(sent[0].attempt, End::NoAnswer);
        // The target starts again.
        let ended = targets
            .iter_mut()
            .find(|target| target.name == sent[0].target);
        ended.unwrap().incarnation += 1;
        cluster.advance_with(500, &mut targets);
    }
    cluster.advance_with(1_500, &mut targets);
    for vm in 0..3 {
        let from = cluster.hosts[vm].log.len();
        let sent = cluster.arrive(vm, request(20 + vm as u128, b"fatal"));
        assert_eq!(sent, [], "VM {vm}");
        assert_eq!(
            refusal(&cluster.hosts[vm].log[from..]),
            Some((Outcome::NotRun, Reason::Quarantined))
        );
        let other = cluster.arrive(vm, request(30 + vm as u128, b"another"));
        assert_eq!(other.len(), 1, "VM {vm}");
    }
}

/// Guards against refusing a request because connections to targets were lost: targets that announce themselves again
/// have not ended.
#[test]
fn lost_connections_to_running_targets_refuse_no_request() {
    let mut cluster = Cluster::new(2);
    let mut targets: Vec<Announcement> = (0..6)
        .map(|number| engine(&format!("t{number}"), 101 + number))
        .collect();
    cluster.advance_with(1_500, &mut targets);
    let request = |id| Arrival {
        fingerprint: Fingerprint::new("POST", "lm", "/v1/completions", b"sound"),
        repeatable: false,
        ..prompt(id, 1_000)
    };
    for id in 1..5 {
        for sent in cluster.arrive(0, request(id)) {
            cluster.hosts[0].end(sent.attempt, End::NoAnswer);
            cluster.deliver();
        }
    }
    for _ in 0..8 {
        cluster.advance_with(500, &mut targets);
    }
    for vm in 0..2 {
        let sent = cluster.arrive(vm, request(20 + vm as u128));
        assert_eq!(sent.len(), 1, "refused at VM {vm}");
    }
}
