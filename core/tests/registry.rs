//! Tests of the replicated state machine of the control replicas.

use std::sync::Arc;

use primrosepin_core::fleet::PartId;
use primrosepin_core::inventory::{Inventory, Rules, Zone};
use primrosepin_core::ledger::{Answer, Call, Key, Response};
use primrosepin_core::quarantine::Rule;
use primrosepin_core::registry::{
    Command, MAX_CLOCK_SKEW_MS, MAX_OUTCOMES, MAX_RESPONSE_BYTES, MAX_TRANSIT_MS, Outcome, State,
    Subject,
};
use primrosepin_core::request;
use primrosepin_core::vm::{Incarnation, Instance};

/// Time after the end of a lease during which an order may still arrive.
const ARRIVAL_BOUND_MS: u64 = MAX_CLOCK_SKEW_MS + MAX_TRANSIT_MS;

fn zone(name: &str) -> Zone {
    Zone {
        name: name.into(),
        region: "sk-west".into(),
        entries: vec![format!("{name}-entry").into()],
    }
}

fn inventory(zones: &[&str]) -> Inventory {
    Inventory {
        zones: zones.iter().map(|name| zone(name)).collect(),
        rules: Rules {
            ledger_retention_s: 100,
            ..Rules::default()
        },
        ..Inventory::default()
    }
}

fn apply(id: &str, base: u64, content_hash: u64, zones: &[&str]) -> Command {
    Command::Apply {
        id: id.into(),
        now_ms: 1,
        content_hash,
        base,
        inventory: inventory(zones),
    }
}

fn zone_out(id: &str, name: &str, out: bool) -> Command {
    Command::SetOut {
        id: id.into(),
        now_ms: 1,
        subject: Subject::Zone(name.into()),
        out,
    }
}

fn vm(name: &str) -> Instance {
    Instance {
        name: name.into(),
        incarnation: Incarnation(1),
    }
}

fn begin(now_ms: u64, key: &str, request: u128, content_hash: u64) -> Command {
    let call = Call::Begin {
        key: Key {
            organisation: "club".into(),
            key: key.into(),
        },
        holder: vm("entry-1"),
        request: request::Id(request),
        expires_ms: 1_000,
        content_hash,
    };
    Command::Ledger { now_ms, call }
}

fn finish(
    now_ms: u64,
    key: &str,
    request: u128,
    outcome: request::Outcome,
    body: usize,
) -> Command {
    let call = Call::Finish {
        key: Key {
            organisation: "club".into(),
            key: key.into(),
        },
        holder: vm("entry-1"),
        request: request::Id(request),
        outcome,
        response: Some(response(body)),
    };
    Command::Ledger { now_ms, call }
}

fn response(body: usize) -> Response {
    Response {
        status: 200,
        content_type: "text/plain".into(),
        body: vec![b'x'; body],
    }
}

fn finished(outcome: request::Outcome, body: Option<usize>) -> Outcome {
    Outcome::Ledger(Answer::Finished {
        outcome,
        response: body.map(response),
    })
}

fn issue(now_ms: u64, id: &str, target: &str, issuer: &str, uses_weight_store: bool) -> Command {
    Command::IssueOrder {
        id: id.into(),
        now_ms,
        target: target.into(),
        issuer: vm(issuer),
        uses_weight_store,
        lease_ms: 10_000,
    }
}

const CLAIMED: Outcome = Outcome::Ledger(Answer::Claimed);
const RECORDED: Outcome = Outcome::Ledger(Answer::Recorded);

/// Encodes and decodes the state, as a snapshot does.
fn encode_and_decode(state: &State) -> State {
    let decoded: State = postcard::from_bytes(&postcard::to_allocvec(state).unwrap()).unwrap();
    assert_eq!(decoded, *state);
    decoded
}

/// Guards against two accepted changes on one base version, and against a resend that is applied again or
/// gets another outcome, including after a snapshot and for a change that was rejected.
#[test]
fn one_change_per_base_is_accepted_and_resends_get_the_first_outcome() {
    let mut state = State::default();
    assert_eq!(
        state.apply(&apply("a", 0, 1, &["x", "y"])),
        Outcome::Accepted { version: 1 }
    );
    assert_eq!(
        state.apply(&apply("b", 0, 2, &["z"])),
        Outcome::Conflict { version: 1 }
    );
    assert_eq!(
        state.apply(&zone_out("c", "y", true)),
        Outcome::Accepted { version: 2 }
    );
    let mut state = encode_and_decode(&state);
    assert_eq!(
        state.apply(&apply("a", 0, 1, &["x", "y"])),
        Outcome::Accepted { version: 1 }
    );
    assert_eq!(
        state.apply(&apply("b", 0, 2, &["z"])),
        Outcome::Conflict { version: 1 }
    );
    assert_eq!(state.apply(&apply("a", 2, 1, &["x", "y"])), Outcome::Reused);
    assert_eq!(state.apply(&zone_out("c", "x", true)), Outcome::Reused);
    // A zone stays out as long as it is in the inventory.
    assert_eq!(
        state.apply(&apply("d", 2, 3, &["y"])),
        Outcome::Accepted { version: 3 }
    );
    assert_eq!(state.config().unwrap().zones_out, [Arc::from("y")]);
    assert_eq!(
        state.apply(&apply("e", 3, 3, &["x"])),
        Outcome::Accepted { version: 4 }
    );
    assert!(state.config().unwrap().zones_out.is_empty());
    assert_eq!(state.apply(&zone_out("f", "y", true)), Outcome::Unknown);
    let versions: Vec<_> = state
        .history()
        .iter()
        .map(|change| change.version)
        .collect();
    assert_eq!(versions, [1, 2, 3, 4]);
}

/// Guards against a cache of outcomes that grows without limit or evicts recent calls.
#[test]
fn outcome_cache_is_bounded() {
    let mut state = State::default();
    state.apply(&apply("first", 0, 1, &["x"]));
    for number in 0..MAX_OUTCOMES {
        state.apply(&zone_out(&number.to_string(), "x", number % 2 == 0));
    }
    let version = state.version();
    assert_eq!(
        state.apply(&zone_out("0", "x", true)),
        Outcome::Accepted { version: 2 }
    );
    assert_eq!(
        state.apply(&apply("first", 0, 1, &["x"])),
        Outcome::Conflict { version }
    );
}

/// Guards against a request that runs twice: a key is claimed by one request only, regardless of resends.
#[test]
fn key_is_claimed_once() {
    let mut state = State::default();
    state.apply(&apply("a", 0, 1, &["x"]));
    assert_eq!(state.apply(&begin(10, "k", 1, 7)), CLAIMED);
    assert_eq!(state.apply(&begin(11, "k", 1, 7)), CLAIMED);
    assert_eq!(
        state.apply(&begin(12, "k", 2, 7)),
        Outcome::Ledger(Answer::InFlight)
    );
    assert_eq!(
        state.apply(&begin(12, "k", 1, 8)),
        Outcome::Ledger(Answer::Conflict)
    );
    let other_request = finish(13, "k", 2, request::Outcome::NotRun, 0);
    assert_eq!(
        state.apply(&other_request),
        Outcome::Ledger(Answer::InFlight)
    );
    let mut state = encode_and_decode(&state);
    assert_eq!(
        state.apply(&finish(14, "k", 1, request::Outcome::Answered, 3)),
        RECORDED
    );
    assert_eq!(
        state.apply(&finish(15, "k", 1, request::Outcome::Answered, 3)),
        RECORDED
    );
    let answered = finished(request::Outcome::Answered, Some(3));
    assert_eq!(
        state.apply(&finish(16, "k", 1, request::Outcome::NotRun, 3)),
        answered
    );
    assert_eq!(state.apply(&begin(17, "k", 1, 7)), answered);
    assert_eq!(state.apply(&begin(17, "k", 2, 7)), answered);
    // The entry is removed after the retention period of 100 s.
    assert_eq!(state.apply(&begin(100_013, "k", 3, 7)), answered);
    assert_eq!(state.apply(&begin(100_014, "k", 3, 7)), CLAIMED);
}

/// Guards against a key that stays claimed although its request certainly did not run, including by a
/// delayed copy of the claim that arrives after the release.
#[test]
fn request_that_did_not_run_releases_its_key() {
    let mut state = State::default();
    state.apply(&begin(10, "k", 1, 7));
    let not_run = finish(11, "k", 1, request::Outcome::NotRun, 0);
    assert_eq!(state.apply(&not_run), RECORDED);
    assert_eq!(state.apply(&not_run), RECORDED);
    let released = finished(request::Outcome::NotRun, None);
    assert_eq!(state.apply(&begin(12, "k", 1, 7)), released);
    assert_eq!(state.apply(&begin(12, "k", 2, 9)), CLAIMED);
    assert_eq!(state.ledger_entries(), 1);
    let early = finish(13, "late", 3, request::Outcome::NotRun, 0);
    assert_eq!(state.apply(&early), RECORDED);
    assert_eq!(state.apply(&begin(14, "late", 3, 7)), released);
    assert_eq!(state.apply(&begin(14, "late", 4, 7)), CLAIMED);
}

/// Guards against a key that stays in flight forever after its entry VM crashed, against a second run of its
/// request, and against a new leader whose clock is behind and revives expired entries.
#[test]
fn entry_without_recorded_outcome_reads_as_unknown() {
    let mut state = State::default();
    state.apply(&begin(10_000, "k", 1, 7));
    assert_eq!(
        state.apply(&begin(10_999, "k", 2, 7)),
        Outcome::Ledger(Answer::InFlight)
    );
    let unknown = finished(request::Outcome::Unknown, None);
    assert_eq!(state.apply(&begin(11_000, "k", 2, 7)), unknown);
    assert_eq!(state.apply(&begin(5_000, "k", 2, 7)), unknown);
    assert_eq!(state.apply(&begin(5_000, "k", 1, 7)), unknown);
    assert_eq!(state.now_ms(), 11_000);
    // A late outcome from the holder replaces `unknown`.
    assert_eq!(
        state.apply(&finish(12_000, "k", 1, request::Outcome::Failed, 1)),
        RECORDED
    );
    let failed = finished(request::Outcome::Failed, Some(1));
    assert_eq!(state.apply(&begin(12_001, "k", 2, 7)), failed);
}

/// Guards against a state machine whose size grows with all responses of the retention period. Outcomes
/// must stay when responses are dropped.
#[test]
fn kept_responses_are_bounded() {
    let mut state = State::default();
    let body = 64 * 1024;
    let max_responses = (MAX_RESPONSE_BYTES / body) as u128;
    for request in 0..=max_responses {
        let key = request.to_string();
        state.apply(&begin(request as u64, &key, request, 7));
        let answered = request::Outcome::Answered;
        state.apply(&finish(request as u64, &key, request, answered, body));
    }
    let answered = request::Outcome::Answered;
    let now = max_responses as u64;
    assert_eq!(
        state.apply(&begin(now, "0", 0, 7)),
        finished(answered, None)
    );
    assert_eq!(
        state.apply(&begin(now, "1", 1, 7)),
        finished(answered, Some(body))
    );
    state.apply(&begin(now, "large", 1 << 64, 7));
    state.apply(&finish(now, "large", 1 << 64, answered, body + 1));
    assert_eq!(
        state.apply(&begin(now, "large", 1, 7)),
        finished(answered, None)
    );
}

/// Guards against two concurrent issuers of orders for one target, against fencing numbers that do not
/// increase, and against an order that overtakes one of an earlier issuer at a target that does not check
/// fencing numbers.
#[test]
fn orders_have_one_issuer_and_increasing_fencing_numbers() {
    let mut state = State::default();
    let issued = |fencing, wait_ms| Outcome::Issued { fencing, wait_ms };
    assert_eq!(
        state.apply(&issue(1_000, "a", "t", "entry-1", false)),
        issued(1, 0)
    );
    assert_eq!(
        state.apply(&issue(1_001, "a", "t", "entry-1", false)),
        issued(1, 0)
    );
    assert_eq!(
        state.apply(&issue(1_001, "a", "t", "entry-2", false)),
        Outcome::Reused
    );
    let busy = Outcome::Busy {
        retry_after_ms: 9_000,
    };
    assert_eq!(state.apply(&issue(2_000, "b", "t", "entry-2", false)), busy);
    assert_eq!(
        state.apply(&issue(2_000, "c", "t", "entry-1", false)),
        issued(2, 0)
    );
    // The lease of the last order of entry-1 ends at 12,000 ms.
    assert_eq!(
        state.apply(&issue(12_000, "d", "t", "entry-2", false)),
        issued(3, ARRIVAL_BOUND_MS)
    );
    assert_eq!(
        state.apply(&issue(12_100, "d", "t", "entry-2", false)),
        issued(3, ARRIVAL_BOUND_MS - 100)
    );
    assert_eq!(
        state.apply(&Command::CompleteOrder { id: "d".into() }),
        Outcome::Completed
    );
    let mut state = encode_and_decode(&state);
    // The order of entry-1 may still be in transit.
    let wait = ARRIVAL_BOUND_MS - 200;
    assert_eq!(
        state.apply(&issue(12_200, "e", "t", "entry-3", false)),
        issued(4, wait)
    );
    assert_eq!(
        state.apply(&issue(99_000, "f", "t", "entry-1", false)),
        issued(5, 0)
    );
}

/// Guards against more concurrent loads from the weight store than the rules allow, and against permits that
/// are not released when their holder is lost.
#[test]
fn weight_store_permits_are_limited_and_released() {
    let mut state = State::default();
    let issued = |outcome| matches!(outcome, Outcome::Issued { .. });
    assert!(issued(state.apply(&issue(0, "a", "t1", "entry-1", true))));
    assert!(issued(
        state.apply(&issue(1_000, "b", "t2", "entry-1", true))
    ));
    // There are two permits by default. The first is released once its lease ended and its order can no
    // longer arrive.
    let busy = |retry_after_ms| Outcome::Busy { retry_after_ms };
    assert_eq!(
        state.apply(&issue(1_000, "c", "t3", "entry-1", true)),
        busy(9_000 + ARRIVAL_BOUND_MS)
    );
    assert!(issued(
        state.apply(&issue(1_000, "d", "t4", "entry-1", false))
    ));
    state.apply(&Command::CompleteOrder { id: "b".into() });
    assert!(issued(
        state.apply(&issue(1_000, "c", "t3", "entry-1", true))
    ));
    assert!(!issued(state.apply(&issue(
        9_999 + ARRIVAL_BOUND_MS,
        "e",
        "t5",
        "entry-1",
        true
    ))));
    assert!(issued(state.apply(&issue(
        10_000 + ARRIVAL_BOUND_MS,
        "e",
        "t5",
        "entry-1",
        true
    ))));
}

/// Guards against a local order that stays in force after a later order through control, because that order
/// repeats the state that control already has.
#[test]
fn repeated_zone_order_creates_a_new_version() {
    let mut state = State::default();
    state.apply(&apply("a", 0, 1, &["zone-a"]));
    let outcome = state.apply(&zone_out("b", "zone-a", false));
    assert_eq!(outcome, Outcome::Accepted { version: 2 });
    let orders = state.config().map(|config| config.zone_orders.clone());
    assert_eq!(orders, Some(vec![("zone-a".into(), 2)]));
    // A resend is not a new order.
    assert_eq!(state.apply(&zone_out("b", "zone-a", false)), outcome);
    assert_eq!(state.version(), 2);
}

/// Guards against snapshots of an earlier version that cannot be read after an upgrade, and against rules on
/// prompts that are lost with a snapshot.
#[test]
fn snapshots_with_and_without_rules_are_read() {
    let mut state = State::default();
    state.apply(&Command::Publish {
        version: 7,
        document: Arc::new([1, 2]),
    });
    let mut earlier = postcard::to_allocvec(&state).unwrap();
    assert_eq!(earlier.pop(), Some(State::EARLIER_END[0]));
    assert!(postcard::from_bytes::<State>(&earlier).is_err());
    earlier.extend_from_slice(&State::EARLIER_END);
    assert_eq!(postcard::from_bytes::<State>(&earlier).unwrap(), state);
    let rules = vec![Rule {
        service: 3,
        parts: [PartId(4)].into_iter().collect(),
    }];
    let outcome = state.apply(&Command::Quarantine {
        rules: rules.clone(),
    });
    assert_eq!(outcome, Outcome::Quarantined);
    let bytes = postcard::to_allocvec(&state).unwrap();
    let read: State = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(read.quarantine(), rules);
}
