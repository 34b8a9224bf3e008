//! Encoding of messages between processes, and compression of documents.

use std::sync::Arc;

use primrosepin_core::fleet::{
    Announcement, Entry, Grant, LimitStatement, Load, LoadReport, PartId, PlannerMessage, Query,
    Relayed, Renewal, State, Tokens,
};
use primrosepin_core::quarantine::{Crash, Part, Rule};
use primrosepin_gateway::document;
use primrosepin_gateway::message::{EntryVm, Message};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use smallvec::smallvec;

fn messages() -> Vec<Message> {
    let entry = Entry {
        announcement: Announcement {
            name: "engine-1".into(),
            service: "engine".into(),
            address: "10.0.0.1:80".parse().unwrap(),
            zone: "zone-1".into(),
            slots: 16,
            state: State::Draining,
            cold_ms: 30,
            started_ms: 1_700_000_000_000,
            sequence: 9,
        },
        age_ms: 12,
    };
    let part = Part {
        service: 9,
        id: PartId(2),
    };
    vec![
        Message::Heartbeat,
        Message::Hello(EntryVm {
            vm: "entry-1".into(),
            zone: "zone-1".into(),
            address: "10.0.0.2:7340".parse().unwrap(),
        }),
        Message::Revision {
            request_sent_us: Some(1),
            quorum_age_us: None,
            revision: 7,
        },
        Message::Config {
            revision: 7,
            document: Arc::new([1, 2, 3]),
            zones_out: vec!["zone-1".into()],
        },
        Message::Targets(vec![entry.clone()]),
        Message::Renewals(vec![Renewal {
            name_hash: 77,
            started_ms: 1_700_000_000_000,
            sequence: 9,
            state: State::Ready,
            age_ms: 12,
        }]),
        Message::TargetsRequest,
        Message::Crashes(vec![Crash {
            process: 8,
            service: 9,
            prompts: vec![smallvec![PartId(1), PartId(2)]],
            age_ms: 3,
        }]),
        Message::Suspects(vec![part]),
        Message::Answered(vec![(part, 120)]),
        Message::Quarantine(vec![Rule {
            service: 9,
            parts: smallvec![PartId(2)],
        }]),
        Message::Relay { number: 3, entry },
        Message::LoadReport {
            vm: "entry-1".into(),
            report: LoadReport {
                sequence: 5,
                loads: vec![(77, Load::default())],
                min_slack_ms: Some(10),
                waiting: 3,
                can_plan: true,
                used_grants: vec![4],
                limits: vec![LimitStatement {
                    target: 77,
                    version: 2,
                    rate: Some(1.5),
                }],
                relayed: Some(Relayed {
                    loads: vec![(78, Load::default())],
                    planners: vec![(79, 120)],
                }),
            },
        },
        Message::Planner {
            vm: "entry-1".into(),
            message: PlannerMessage::Query(Query {
                id: 9,
                request_id: "c-1".into(),
                route: "long".into(),
                service: "engine".into(),
                tokens: Tokens {
                    prompt: 180_000,
                    answer: 700,
                },
                waited_ms: 20,
                left_ms: 9_000,
                excluded: smallvec![77],
            }),
        },
        Message::Planner {
            vm: "entry-2".into(),
            message: PlannerMessage::Granted(Grant {
                id: 9,
                target: 77,
                helpers: smallvec![(78, 0), (79, 120_000)],
                predicted_ms: 300.5,
                prefill_ms: 280.25,
            }),
        },
    ]
}

/// Guards against messages that do not round-trip, and against accepted trailing bytes or other versions.
#[test]
fn messages_round_trip() {
    for message in messages() {
        let mut bytes = message.encode().unwrap();
        assert_eq!(Message::decode(&bytes).unwrap(), message);
        bytes.push(0);
        assert!(
            Message::decode(&bytes).is_err(),
            "trailing bytes are accepted"
        );
        bytes.pop();
        bytes[0] += 1;
        assert!(
            Message::decode(&bytes).is_err(),
            "another version is accepted"
        );
    }
    assert!(Message::decode(&[]).is_err());
}

/// Guards against corrupt input that panics the process.
#[test]
fn mutated_messages_never_panic() {
    let mut rng = SmallRng::seed_from_u64(7);
    let encoded: Vec<Vec<u8>> = messages().iter().map(|m| m.encode().unwrap()).collect();
    for _ in 0..20_000 {
        let mut bytes = encoded[rng.random_range(0..encoded.len())].clone();
        for _ in 0..rng.random_range(1..4) {
            let at = rng.random_range(0..bytes.len());
            bytes[at] = rng.random();
        }
        bytes.truncate(rng.random_range(0..=bytes.len()));
        // Errors are expected; only a panic fails the test.
        drop(Message::decode(&bytes));
    }
}

/// Guards against documents that do not round-trip, and against a compressed document that expands
/// without limit.
#[test]
fn documents_round_trip() {
    let text = "{\"routes\":[{\"name\":\"r\"}]} ".repeat(2_000);
    let compressed = document::compress(text.as_bytes()).unwrap();
    assert!(compressed.len() * 15 < text.len());
    assert_eq!(document::decompress(&compressed).unwrap(), text.as_bytes());
    assert!(document::decompress(&compressed[..compressed.len() / 2]).is_err());
    let large = vec![b'x'; document::MAX_BYTES as usize + 1];
    let bomb = document::compress(&large).unwrap();
    assert!(document::decompress(&bomb).is_err());
}
