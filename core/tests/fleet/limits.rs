//! Targets that name a limit on their requests, at the shapes of the deployments. Requests are counted as the
//! platform's rule does: from `contact` after a target first named its limit, in any four seconds, from VMs that
//! had passed on an answer with the limit half a second before.

use std::collections::BTreeMap;
use std::time::Duration;

use primrosepin_core::fleet::{Event, Id, Outcome, Reducer};
use primrosepin_core::time::Instant;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::support::{Decision, Fleet, START, announcement, ms, request, settings};

const WINDOW: Duration = Duration::from_secs(4);

/// Time from the passing of an answer with a limit on, after which a VM counts.
const TOLD: Duration = Duration::from_millis(500);

/// A run: targets name limits at times since the start, ms; `None` ends a limit.
#[derive(Debug, Clone)]
struct Plan {
    vms: usize,
    engines: usize,
    contact: Duration,
    requests_per_s: f64,
    limits: Vec<(u64, usize, Option<f64>)>,
    /// VM that starts again without memory, and when.
    restart: Option<(u64, usize)>,
    /// VM that neither sends nor hears messages for three seconds, and when.
    cut: Option<(u64, usize)>,
    seconds: u64,
    seed: u64,
}

impl Plan {
    fn new(vms: usize, engines: usize, contact: u64) -> Self {
        Self {
            vms,
            engines,
            contact: ms(contact),
            requests_per_s: 40.0,
            limits: vec![(2_000, 0, Some(1.0)), (2_000, 1, Some(1.9))],
            restart: None,
            cut: None,
            seconds: 16,
            seed: 1,
        }
    }
}

#[derive(Debug, Default)]
struct Seen {
    /// Arrivals at each target, with the VM that sent them.
    arrivals: BTreeMap<usize, Vec<(Instant, usize)>>,
    /// When each VM first passed on an answer with a limit of each target.
    told: BTreeMap<(usize, usize), Instant>,
    sent: usize,
    served: usize,
}

fn play(plan: &Plan) -> Seen {
    let mut fleet = Fleet::new(plan.vms, plan.engines);
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    let mut seen = Seen::default();
    let mut limits: BTreeMap<usize, f64> = BTreeMap::new();
    let mut answers: BTreeMap<(Instant, Id), (usize, usize, bool)> = BTreeMap::new();
    let mut cursor = 0;
    for at in 0..plan.seconds * 1_000 {
        let now = fleet.now;
        if at.is_multiple_of(1_000) {
            fleet.confirm(1);
            for number in 0..plan.engines {
                let mut repeated = announcement("engine", number, number % 3);
                repeated.sequence = 10 + at;
                fleet.announce(repeated);
            }
        }
        for (_, target, rate) in plan.limits.iter().filter(|(time, ..)| *time == at) {
            match rate {
                Some(rate) => drop(limits.insert(*target, *rate)),
                None => drop(limits.remove(target)),
            }
        }
        if let Some((_, vm)) = plan.restart.filter(|(time, _)| *time == at) {
            answers.retain(|_, (other, ..)| *other != vm);
            fleet.vms[vm] = Reducer::new(settings(vm));
            fleet.teach(vm);
            fleet.confirm(1);
            for number in 0..plan.engines {
                let mut repeated = announcement("engine", number, number % 3);
                repeated.sequence = 11 + at;
                fleet.announce(repeated);
            }
            seen.told.retain(|(other, _), _| *other != vm);
        }
        if let Some((time, vm)) = plan.cut {
            fleet.partitioned.clear();
            if (time..time + 3_000).contains(&at) {
                fleet.partitioned.push(vm);
            }
        }
        if rng.random_bool(plan.requests_per_s / 1e3) {
            seen.sent += 1;
            fleet.arrive(rng.random_range(0..plan.vms), request("short", 1_500));
        }
        while cursor < fleet.decisions.len() {
            let (vm, id, decision) = fleet.decisions[cursor].clone();
            cursor += 1;
            if let Decision::Dispatched(dispatch) = decision {
                let number: usize = dispatch.name["engine-".len()..].parse().unwrap();
                seen.arrivals.entry(number).or_default().push((now, vm));
                answers.insert((now + ms(80), id), (vm, number, false));
                answers.insert((now + ms(700), id), (vm, number, true));
            }
        }
        while let Some(first) = answers.first_entry()
            && first.key().0 <= now
        {
            let ((_, id), (vm, number, ends)) = first.remove_entry();
            if ends {
                seen.served += 1;
                fleet.end(vm, id, Outcome::Served);
                continue;
            }
            let limit = limits.get(&number).copied();
            if limit.is_some() {
                seen.told.entry((vm, number)).or_insert(now);
            }
            if limit.is_some() || fleet.vms[vm].is_limited(id) {
                fleet.apply(vm, Event::LimitNamed(id, limit));
            }
            fleet.apply(vm, Event::Started(id));
        }
        fleet.run(ms(1));
    }
    seen
}

/// Returns the arrivals at a target that count, while its limit of `rate` holds from `named` to `end`, ms.
fn most(seen: &Seen, plan: &Plan, target: usize, named: u64, end: u64) -> usize {
    let from = START + ms(named) + plan.contact;
    let arrivals = seen.arrivals.get(&target).into_iter().flatten();
    let counted: Vec<Instant> = arrivals
        .filter(|(at, vm)| {
            let told = seen.told.get(&(*vm, target));
            let excused = [plan.restart, plan.cut].into_iter().flatten();
            let mut excused = excused.filter(|(_, other)| other == vm);
            let is_excused = excused.any(|(time, _)| {
                let until = START + ms(time) + ms(3_000) + plan.contact;
                (START + ms(time)..until).contains(at)
            });
            (from..START + ms(end)).contains(at)
                && told.is_some_and(|told| *told + TOLD <= *at)
                && !is_excused
        })
        .map(|(at, _)| *at)
        .collect();
    let in_window = |start: &Instant| {
        let all = counted.iter();
        all.filter(|at| *start <= **at && **at < *start + WINDOW)
            .count()
    };
    counted.iter().map(in_window).max().unwrap_or(0)
}

fn check(plan: &Plan) -> Seen {
    let seen = play(plan);
    for (named, target, rate) in &plan.limits {
        let Some(rate) = rate else {
            continue;
        };
        let later = plan.limits.iter();
        let mut later = later.filter(|(at, other, _)| other == target && at > named);
        let end = later.next().map_or(plan.seconds * 1_000, |(at, ..)| *at);
        let most = most(&seen, plan, *target, *named, end);
        let allowed = (rate * 1.5 * WINDOW.as_secs_f64() + 5.0) as usize;
        assert!(
            most <= allowed,
            "{most} of {allowed} at target {target}: {plan:?}"
        );
    }
    assert!(
        seen.served * 10 >= seen.sent * 8,
        "{} of {} served: {plan:?}",
        seen.served,
        seen.sent
    );
    seen
}

/// Guards against a limit that each VM keeps by itself, or not at all, at the shapes of the deployments.
#[test]
fn limits_hold_over_all_vms_at_each_deployment() {
    for (vms, engines, contact) in [
        (9, 16, 3_000),
        (6, 18, 3_000),
        (6, 21, 3_000),
        (89, 69, 4_000),
    ] {
        for seed in 1..4 {
            let plan = Plan {
                seed,
                ..Plan::new(vms, engines, contact)
            };
            check(&plan);
        }
    }
}

/// Guards against a limit that is kept by each VM of a large fleet apart.
#[test]
fn limits_hold_with_295_vms() {
    let plan = Plan {
        requests_per_s: 250.0,
        ..Plan::new(295, 30, 5_000)
    };
    check(&plan);
}

/// Guards against a limit that stays after it has changed or ended, and against one that a late answer ends.
#[test]
fn limits_change_and_end() {
    for seed in 1..6 {
        let plan = Plan {
            limits: vec![
                (2_000, 0, Some(6.0)),
                (8_000, 0, Some(1.0)),
                (15_000, 0, None),
                (2_000, 1, Some(2.0)),
            ],
            seconds: 24,
            seed,
            ..Plan::new(6, 4, 3_000)
        };
        let seen = check(&plan);
        let freed = seen.arrivals[&0].iter();
        let freed = freed.filter(|(at, _)| *at > START + ms(19_000)).count();
        assert!(
            freed > 15,
            "{freed} requests in the 5 s after the end of the limit"
        );
    }
}

/// Guards against requests without end that are refused where every target names a limit that could serve them.
#[test]
fn targets_that_all_name_limits_still_serve() {
    let plan = Plan {
        limits: (0..4).map(|target| (2_000, target, Some(8.0))).collect(),
        requests_per_s: 10.0,
        ..Plan::new(6, 4, 3_000)
    };
    check(&plan);
}

/// Guards against a VM that starts again, or was cut off from its peers, and uses more than its share.
#[test]
fn limits_hold_while_vms_restart_and_are_cut_off() {
    for seed in 1..4 {
        for at in [2_500, 7_000] {
            let plan = Plan {
                restart: Some((at, 2)),
                seed,
                ..Plan::new(6, 6, 3_000)
            };
            check(&plan);
            let plan = Plan {
                cut: Some((at, 3)),
                seed,
                ..Plan::new(6, 6, 3_000)
            };
            check(&plan);
        }
    }
}
