//! Encoding of messages between processes, and compression of documents.

use std::sync::Arc;
use std::time::Duration;

use primrosepin_core::consensus::{self, Body, Entry as LogEntry, Id, Member, Members, Payload};
use primrosepin_core::fleet::{
    Announcement, Entry, Grant, LimitStatement, Load, LoadReport, MAX_STATEMENTS, Pace, PartId,
    PlannerMessage, Query, Relayed, Renewal, RetainedStatement, State, Tokens,
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
        Message::Paces {
            vm: "entry-1".into(),
            paces: vec![Pace::new(77, 4.0, Duration::from_millis(320))],
        },
        Message::Consensus(consensus::Message {
            deployment: 77,
            from: Id(5),
            to: Id(6),
            address: "10.0.0.3:7340".parse().unwrap(),
            body: Body::Status {
                zone: Some("zone-0".into()),
                leaving: true,
            },
        }),
    ]
}

/// Returns one message of each kind, in the order of the kinds.
fn all_kinds() -> Vec<Message> {
    let sample = |kind: &str| {
        let mut found = messages().into_iter().filter(|message| {
            let text = format!("{message:?}");
            text.starts_with(kind)
        });
        found.next().unwrap()
    };
    let address: std::net::SocketAddr = "10.0.0.3:7340".parse().unwrap();
    let members = Members {
        deployment: 77,
        list: vec![Member {
            id: Id(5),
            vm: "10.0.0.3:7340".into(),
            address,
            voter: true,
        }],
        removed: vec![Id(4)],
    };
    let consensus = |body| {
        Message::Consensus(consensus::Message {
            deployment: 77,
            from: Id(5),
            to: Id(6),
            address,
            body,
        })
    };
    let logged = |index, payload| LogEntry {
        term: 3,
        index,
        payload,
    };
    vec![
        sample("Heartbeat"),
        sample("Hello"),
        Message::RevisionRequest { request_sent_us: 9 },
        sample("Revision"),
        Message::ConfigRequest,
        sample("Config"),
        sample("Targets"),
        sample("Renewals"),
        sample("TargetsRequest"),
        Message::Roster {
            zone: "zone-1".into(),
            entry_vms: Vec::new(),
            control_vms: vec![address],
        },
        consensus(Body::Join {
            vm: "10.0.0.3:7340".into(),
            blank: true,
            bootstrap: false,
        }),
        consensus(Body::VoteRequest {
            term: 3,
            pre_vote: true,
            last_index: 8,
            last_term: 2,
        }),
        consensus(Body::VoteResponse {
            term: 3,
            pre_vote: false,
            granted: true,
        }),
        consensus(Body::AppendEntries {
            term: 3,
            previous_index: 8,
            previous_term: 2,
            entries: vec![
                logged(9, Payload::Noop),
                logged(10, Payload::Members(members.clone())),
                logged(11, Payload::Command([1, 2, 3].into())),
            ],
            commit: 8,
            round: 12,
        }),
        consensus(Body::AppendResponse {
            term: 3,
            accepted: true,
            index: 11,
            round: 12,
        }),
        consensus(Body::SnapshotChunk {
            term: 3,
            index: 8,
            index_term: 2,
            members,
            offset: 0,
            total: 3,
            chunk: [7, 8, 9].into(),
            round: 13,
        }),
        consensus(Body::SnapshotResponse {
            term: 3,
            index: 8,
            offset: 3,
            round: 13,
        }),
        consensus(Body::EntryContacts(Vec::new())),
        consensus(Body::TransferLeadership {
            term: 3,
            successor: Id(6),
        }),
        consensus(Body::Removed { term: 3 }),
        consensus(Body::RemoveMember { member: Id(6) }),
        sample("Relay"),
        Message::RelayAck { number: 3 },
        sample("LoadReport"),
        sample("Planner"),
        sample("Crashes"),
        sample("Suspects"),
        sample("Answered"),
        sample("Quarantine"),
        Message::Alive(vec![8]),
        Message::TunnelRequest {
            request: "c-1".into(),
            target: address,
        },
        Message::TunnelAnswer(Ok(())),
    ]
}

/// Guards against an upgrade in which VMs of this build and of the one before cannot read each other's messages.
#[test]
fn messages_are_those_of_the_build_before() {
    let frames = include_str!("data/frames-0271fa6.txt");
    let kinds = all_kinds();
    assert_eq!(frames.lines().count(), kinds.len());
    for (frame, message) in frames.lines().zip(kinds) {
        let digits: Vec<char> = frame.chars().collect();
        let bytes: Vec<u8> = digits
            .chunks(2)
            .map(|pair| u8::from_str_radix(&pair.iter().collect::<String>(), 16).unwrap())
            .collect();
        assert_eq!(Message::decode(&bytes).unwrap(), message);
        assert_eq!(message.encode().unwrap(), bytes, "{message:?}");
    }
}

/// Guards against messages that do not round-trip, against fields of a newer build that make a message unreadable,
/// and against accepted messages of other versions.
#[test]
fn messages_round_trip() {
    for message in messages() {
        let mut bytes = message.encode().unwrap();
        assert_eq!(Message::decode(&bytes).unwrap(), message);
        bytes.push(9);
        assert_eq!(Message::decode(&bytes).unwrap(), message);
        bytes.pop();
        bytes[0] += 1;
        assert!(
            Message::decode(&bytes).is_err(),
            "another version is accepted"
        );
    }
    assert!(Message::decode(&[]).is_err());
}

/// Guards against a rate above 1 KB a second of what VMs tell each other of retained prefixes: two messages of the
/// largest size go out each second.
#[test]
fn a_message_of_retained_prefixes_stays_under_half_a_kilobyte() {
    let largest = RetainedStatement {
        target: u64::MAX,
        prefix: u64::MAX,
        age_ms: 60_000,
    };
    let message = Message::Retained(vec![largest; MAX_STATEMENTS]);
    let bytes = message.encode().unwrap();
    assert!(bytes.len() <= 500, "{} bytes", bytes.len());
    assert_eq!(Message::decode(&bytes).unwrap(), message);
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
