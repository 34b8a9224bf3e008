//! Prefixes that targets retain: prompts go where most of them is held, without crowding or stale assumptions.

use std::sync::Arc;

use primrosepin_core::fleet::{
    Config, Dispatch, Engine, Event, Id, Limits, Load, Outcome, PartId, Prefix, Prompt, Request,
    Retained, SizedPart, State,
};
use primrosepin_core::time::Instant;

use super::support::{
    Fleet, START, announcement, engine, ms, organisations, request, routes, services,
};

/// Two conversations and a set of instructions take 120,000 tokens; this cache holds them and more.
const CACHE_TOKENS: u64 = 200_000;

/// Returns a fleet whose engines retain prefixes in `cache_tokens`.
fn fleet(vms: usize, engines: usize, cache_tokens: u64) -> Fleet {
    let mut fleet = Fleet::new(vms, engines);
    let mut services = services();
    services[0].engine = Some(Engine {
        prefix_cache_tokens: cache_tokens,
        ..engine()
    });
    let config = Config::new(
        2,
        routes(),
        services,
        Some(organisations()),
        Limits::default(),
    );
    fleet.apply_to_all(&Event::Configured {
        revision: 2,
        config: Arc::new(config.unwrap()),
        zones_out: Vec::new(),
    });
    fleet.confirm(2);
    fleet
}

/// Returns a request of `prompt` tokens that begins with `shared` tokens of the document with this ID.
fn with_document(route: &str, document: u64, shared: u64, prompt: u64, own: u64) -> Request {
    let part = |id, tokens| SizedPart {
        id: PartId(id),
        tokens,
    };
    let parts = [part(document, shared), part(1 << 40 | own, prompt - shared)];
    Request {
        sized_parts: parts.into_iter().collect(),
        request_id: format!("request-{own}").into(),
        ..request(route, prompt)
    }
}

/// Sends a request and answers it as predicted; returns its dispatch.
fn serve(fleet: &mut Fleet, vm: usize, request: Request) -> (Id, Dispatch) {
    let id = fleet.arrive(vm, request);
    fleet.run(ms(100));
    let dispatch = fleet.dispatch(id).expect("the request runs").clone();
    fleet.now = fleet.now + dispatch.predicted;
    fleet.apply(vm, Event::Started(id));
    (id, dispatch)
}

/// Load: questions on one document of 40,000 tokens. Guards against a prompt that is prefilled again on other targets,
/// or divided, although a target holds nine tenths of it; and against any change while the engines retain nothing.
#[test]
fn a_prompt_goes_undivided_to_the_target_that_holds_its_beginning() {
    let question = |own| with_document("medium", 7, 40_000, 44_000, own);
    for cache_tokens in [0, CACHE_TOKENS] {
        let mut fleet = fleet(1, 12, cache_tokens);
        let (id, first) = serve(&mut fleet, 0, question(1));
        fleet.end(0, id, Outcome::Served);
        let (_, second) = serve(&mut fleet, 0, question(2));
        let (_, other) = serve(&mut fleet, 0, with_document("medium", 8, 40_000, 44_000, 3));
        assert!(!first.helpers.is_empty() && !other.helpers.is_empty());
        assert_eq!(second.helpers.is_empty(), cache_tokens > 0);
        if cache_tokens > 0 {
            assert_eq!(second.target, first.target);
            // The rest of the prompt takes under a quarter of the whole.
            let whole_ms = engine().prefill_ms(44_000);
            assert!(second.predicted.as_secs_f64() * 1e3 < whole_ms / 4.0);
        } else {
            let mut plain = Fleet::new(1, 12);
            let (id, _) = serve(&mut plain, 0, request("medium", 44_000));
            plain.end(0, id, Outcome::Served);
            let (_, without_parts) = serve(&mut plain, 0, request("medium", 44_000));
            assert_eq!(second.target, without_parts.target);
            assert_eq!(second.helpers, without_parts.helpers);
        }
    }
}

/// Load: one set of instructions with all of the traffic, at a rate that takes most slots of the zone. Guards against a
/// target that is crowded because it holds the prefix while others have free slots.
#[test]
fn a_hot_prefix_spreads_over_targets() {
    let mut fleet = fleet(1, 12, CACHE_TOKENS);
    let mut running = std::collections::BTreeMap::<_, u32>::new();
    for own in 0..44 {
        let request = with_document("short", 7, 12_000, 14_000, own);
        let id = fleet.arrive(0, request);
        fleet.run(ms(20));
        let dispatch = fleet.dispatch(id).expect("the zone has free slots");
        *running.entry(dispatch.target).or_default() += 1;
        fleet.apply(0, Event::Started(id));
    }
    // Twelve of 16 slots attract; a target may get one more while its load is on its way.
    assert!(running.values().all(|count| *count <= 13), "{running:?}");
    assert!(running.len() >= 4, "{running:?}");
}

/// Load: targets that restart. Guards against prompts that are sent undivided to an engine that has lost its memory,
/// where one target would prefill all of them.
#[test]
fn a_restart_ends_what_a_target_holds() {
    let question = |own| with_document("medium", 7, 40_000, 44_000, own);
    let mut fleet = fleet(1, 12, CACHE_TOKENS);
    let (id, first) = serve(&mut fleet, 0, question(1));
    fleet.end(0, id, Outcome::Served);
    let number = first.name.strip_prefix("engine-").unwrap();
    let number: usize = number.parse().unwrap();
    let restarted = primrosepin_core::fleet::Announcement {
        started_ms: 2,
        state: State::Ready,
        ..announcement("engine", number, number % 3)
    };
    fleet.announce(restarted);
    let (_, second) = serve(&mut fleet, 0, question(2));
    assert!(!second.helpers.is_empty());
}

/// Load: a target fails in the middle of the prefill of the rest. Guards against a request that is lost with the target,
/// and against the assumption that the target or the next one held something before they answered.
#[test]
fn a_target_that_fails_during_prefill_is_left() {
    let question = |own| with_document("medium", 7, 40_000, 44_000, own);
    let mut fleet = fleet(1, 12, CACHE_TOKENS);
    let (id, first) = serve(&mut fleet, 0, question(1));
    fleet.end(0, id, Outcome::Served);
    let id = fleet.arrive(0, question(2));
    assert_eq!(fleet.dispatch(id).unwrap().target, first.target);
    let broken = Outcome::Broken {
        delivered: false,
        closed: true,
    };
    fleet.end(0, id, broken);
    fleet.run(ms(100));
    let retry = fleet.dispatch(id).unwrap();
    assert_ne!(retry.target, first.target);
    assert!(!retry.helpers.is_empty());
}

/// Load: questions on one document that reach all VMs of a region, so that each VM has seen few of them. Guards against
/// VMs that do not learn from each other, and against more messages than two a second.
#[test]
fn vms_learn_from_each_other_what_targets_hold() {
    const VMS: usize = 24;
    let mut fleet = fleet(VMS, 12, CACHE_TOKENS);
    let (id, _) = serve(&mut fleet, 0, with_document("medium", 7, 40_000, 44_000, 1));
    fleet.end(0, id, Outcome::Served);
    // Twice as many VMs can know after each second, and more than a third as many do.
    let before = fleet.retained_messages;
    fleet.run(ms(3_000));
    let knowing = (0..VMS).filter(|vm| fleet.vms[*vm].retained_prefixes() > 0);
    assert!(knowing.count() >= 12);
    let sent = fleet.retained_messages - before;
    assert!(sent <= 2 * 3 * VMS, "{sent}");
    let vm = (1..VMS).find(|vm| fleet.vms[*vm].retained_prefixes() > 0);
    let question = with_document("medium", 7, 40_000, 44_000, 2);
    let (_, second) = serve(&mut fleet, vm.unwrap(), question);
    assert!(second.helpers.is_empty());
}

fn prompt(cache_tokens: u64, intake_per_s: f64) -> Prompt {
    Prompt {
        engine: Engine {
            prefix_cache_tokens: cache_tokens,
            ..engine()
        },
        tokens: 44_000,
        intake_per_s,
    }
}

const DOCUMENT: [Prefix; 1] = [Prefix {
    hash: 7,
    tokens: 40_000,
}];

fn chance(retained: &Retained, now: Instant, prompt: Prompt, load: Load) -> f64 {
    let holdings = retained.holdings(now, prompt, &DOCUMENT);
    holdings.saving(1, load, 16).chance
}

/// Load: little memory. Guards against the assumption that a prefix is still held after as many new tokens as the cache
/// takes, or where requests need the memory.
#[test]
fn little_memory_ends_what_a_target_holds() {
    let mut retained = Retained::default();
    retained.record(START, 1, &DOCUMENT);
    let later = START + ms(4_000);
    let idle = Load::default();
    let full = Load {
        kv_tokens: 380_000,
        ..idle
    };
    let at = |cache_tokens, load| chance(&retained, later, prompt(cache_tokens, 10_000.0), load);
    // 40,000 new tokens come to the 160,000 and the 10,000 that are left beside the prefix.
    assert!(at(200_000, idle) > 0.99);
    assert!(at(50_000, idle) <= 0.0);
    assert!(at(30_000, idle) <= 0.0);
    assert!(at(200_000, full) <= 0.0);
}

/// Load: engines that evict without notice. Guards against a table that keeps sending prompts to targets whose first
/// events show that they hold nothing, and against one that never tries them again.
#[test]
fn late_first_events_lower_the_trust_for_a_while() {
    let mut retained = Retained::default();
    retained.record(START, 1, &DOCUMENT);
    let now = START + ms(1);
    let trust = |retained: &Retained| chance(retained, now, prompt(200_000, 0.0), Load::default());
    assert!(trust(&retained) > 0.99);
    retained.record_answer(1, false);
    assert!(trust(&retained) < 0.7);
    for _ in 0..30 {
        retained.expire(now, |_| true);
    }
    assert!(trust(&retained) > 0.9);
}

/// Load: prompts that share nothing, each with parts of its own, at a fleet of 300 targets. Guards against a table that
/// grows with the requests, or that has no room for new prefixes once it is full.
#[test]
fn the_table_is_bounded_and_makes_room() {
    let mut retained = Retained::default();
    for number in 0..40_000_u64 {
        let now = START + ms(number / 4);
        let prefix = Prefix {
            hash: number,
            tokens: 1_000,
        };
        retained.record(now, number % 300, &[prefix]);
        if number.is_multiple_of(4_000) {
            retained.expire(now, |_| true);
        }
    }
    assert!(retained.len() <= 12 * 1024);
    let now = START + ms(10_000);
    retained.expire(now, |_| true);
    retained.record(now, 1, &DOCUMENT);
    assert!(chance(&retained, now, prompt(200_000, 0.0), Load::default()) > 0.99);
    retained.expire(now + ms(60_000), |_| true);
    assert!(retained.is_empty());
}
