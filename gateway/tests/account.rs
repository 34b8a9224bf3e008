//! The account of memory and descriptors under crowds of clients that do not behave, without a network.

use std::time::Duration;

use primrosepin_core::time::Instant;
use primrosepin_gateway::account::{Account, Book, Id, Kind, Limit, Stage};
use primrosepin_gateway::limits::{Clients, Process};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// VM of the smallest class.
const PROCESS: Process = Process {
    memory_bytes: 160_000_000,
    descriptors: 4_100,
};

const START: Instant = Instant::from_micros(1_000_000_000);

fn at(ms: u64) -> Instant {
    START + Duration::from_millis(ms)
}

fn entry() -> Book {
    Book::entry(PROCESS, Clients::default())
}

/// Opens a connection whose request has arrived in part.
fn open_reading(book: &mut Book, now: Instant, bytes: usize) -> Id {
    let id = book.open(now, Kind::Caller);
    book.set_stage(now, id, Stage::Reading);
    book.record_progress(now, id, bytes);
    book.charge(id, 0, bytes);
    id
}

/// Opens connections whose requests hold this many bytes until no more fit.
fn fill(book: &mut Book, now: Instant, bytes: usize) -> Vec<Id> {
    let mut crowd = Vec::new();
    while book.shortage(Kind::Caller).is_none() {
        crowd.push(open_reading(book, now, bytes));
    }
    crowd
}

/// Guards against a built-in default that clients within the configured limits meet: 75 callers with kept
/// connections, bodies of 31 kB in all of them, and eight of 4 MiB at once, each with its connection to a target.
#[test]
fn ordinary_operation_meets_no_limit() {
    let mut book = entry();
    for number in 0..75 {
        let id = book.open(START, Kind::Caller);
        let body = if number < 8 { 4 << 20 } else { 31_000 };
        assert!(book.make_memory(START, id, 0, body + 144 * 1024).is_empty());
        assert!(book.has_memory(id, 0, body + 144 * 1024));
        book.charge(id, 0, body + 144 * 1024);
        assert_eq!(book.shortage(Kind::Target), None);
        book.open(START, Kind::Target);
        assert_eq!(book.shortage(Kind::Caller), None);
    }
}

/// Guards against a crowd of bodies that stop short of their end, which hold the memory until their timeout: a new
/// caller and an honest slow one are served, and the crowd is closed, the oldest first.
#[test]
fn stalled_bodies_make_room() {
    let mut book = entry();
    let slow = open_reading(&mut book, START, 4_000);
    let kept = book.open(START, Kind::Caller);
    book.set_stage(START, kept, Stage::Busy);
    book.set_stage(at(50), kept, Stage::Idle);
    let crowd = fill(&mut book, at(100), 64 * 1024);
    // In the first second nobody is known to have stopped, so new ones wait.
    assert_eq!(book.obstacle(at(500), Kind::Caller), Some(Limit::Memory));
    assert!(book.make_room(at(500), Kind::Caller).is_empty());
    for ms in (200..1_500).step_by(100) {
        book.record_progress(at(ms), slow, 500);
    }
    assert_eq!(book.obstacle(at(1_500), Kind::Caller), None);
    let closed = book.make_room(at(1_500), Kind::Caller);
    assert!(!closed.is_empty());
    assert_eq!(book.shortage(Kind::Caller), None);
    let ids: Vec<Id> = closed.iter().map(|(id, ..)| *id).collect();
    assert_eq!(ids, crowd[..ids.len()], "not the oldest first");
    assert!(book.contains(slow) && book.contains(kept));
    // A whole body of 4 MiB finds memory too.
    let large = book.open(at(1_500), Kind::Caller);
    book.make_memory(at(1_600), large, 0, 4 << 20);
    assert!(book.has_memory(large, 0, 4 << 20));
    assert!(book.contains(slow) && book.contains(kept));
}

/// Guards against closing an honest slow caller when a crowd sends a byte now and then so as not to stop: the
/// slowest are closed first.
#[test]
fn the_slowest_are_closed_first() {
    let mut book = entry();
    let honest = open_reading(&mut book, START, 100);
    let crowd = fill(&mut book, START, 30_000);
    for ms in (400..=4_000).step_by(400) {
        book.record_progress(at(ms), honest, 2_000);
        for id in &crowd {
            book.record_progress(at(ms), *id, 1);
        }
    }
    let closed = book.make_room(at(4_000), Kind::Caller);
    assert!(!closed.is_empty());
    assert_eq!(book.shortage(Kind::Caller), None);
    assert!(book.contains(honest));
}

/// Guards against ordinary requests that wait behind a crowd of large ones: what the large ones may not fill is
/// left for them.
#[test]
fn large_bodies_leave_memory_for_small_ones() {
    let mut book = entry();
    let large = 1 << 20;
    loop {
        let id = open_reading(&mut book, START, 0);
        if !book.has_memory(id, 0, large) {
            break;
        }
        book.charge(id, 0, large);
    }
    for _ in 0..75 {
        assert_eq!(book.shortage(Kind::Caller), None);
        let id = open_reading(&mut book, START, 0);
        assert!(book.has_memory(id, 0, 31_000));
        book.charge(id, 0, 31_000);
    }
}

/// Guards against closing clients in an order that hurts honest ones: connections that were never used go before
/// requests that stopped, and those before connections that are kept between requests.
#[test]
fn unused_connections_are_closed_first() {
    let mut book = entry();
    let kept = book.open(START, Kind::Caller);
    book.set_stage(START, kept, Stage::Busy);
    book.set_stage(START, kept, Stage::Idle);
    let stalled = open_reading(&mut book, START, 1_000);
    let unused = book.open(at(4_000), Kind::Caller);
    fill(&mut book, at(5_900), 64 * 1024);
    let mut order = Vec::new();
    while order.len() < 3 {
        let id = book.open(at(6_000), Kind::Target);
        book.set_stage(at(6_000), id, Stage::Busy);
        let free = book.memory_bytes().saturating_sub(book.used_bytes());
        book.charge(id, 0, free);
        let closed = book.make_memory(at(6_000), id, 0, 1);
        assert!(!closed.is_empty(), "only {order:?} were closed");
        order.extend(closed.into_iter().map(|(id, ..)| id));
        book.close(id);
    }
    assert_eq!(order, [unused, stalled, kept]);
}

/// Guards against cutting a request that a target runs: its connection is kept whatever else is short, and so is a
/// caller that waits for memory and is not to blame for its lack of progress.
#[test]
fn complete_requests_and_waiting_ones_are_never_closed() {
    let mut book = entry();
    for _ in 0..2_000 {
        let id = book.open(START, Kind::Caller);
        book.set_stage(START, id, Stage::Busy);
    }
    let waiting = open_reading(&mut book, START, 1_000);
    book.set_waiting(START, waiting, true);
    let large = book.open(at(60_000), Kind::Caller);
    book.set_stage(at(60_000), large, Stage::Busy);
    assert!(book.make_memory(at(60_000), large, 0, 80 << 20).is_empty());
    for kind in [Kind::Caller, Kind::Tunnel, Kind::Target] {
        while book.shortage(kind).is_none() {
            let id = book.open(at(60_000), kind);
            book.set_stage(at(60_000), id, Stage::Busy);
        }
        assert!(book.make_room(at(60_000), kind).is_empty());
        assert!(book.obstacle(at(60_000), kind).is_some());
    }
}

/// Guards against a crowd at one port that takes what another port needs: callers leave descriptors and memory for
/// probes, scrapes, tunnels, links and targets, and a crowd of probes leaves them for callers.
#[test]
fn each_port_keeps_its_reserve() {
    for descriptors in [300, 1_000, 4_100] {
        let process = Process {
            descriptors,
            ..PROCESS
        };
        let kinds = [
            Kind::Probe,
            Kind::Scrape,
            Kind::Tunnel,
            Kind::Link,
            Kind::Target,
        ];
        let mut book = Book::entry(process, Clients::default());
        while book.shortage(Kind::Caller).is_none() {
            let id = book.open(START, Kind::Caller);
            book.set_stage(START, id, Stage::Busy);
        }
        for kind in kinds {
            assert_eq!(book.shortage(kind), None, "{kind:?} of {descriptors}");
            book.open(START, kind);
        }
        let mut book = Book::entry(process, Clients::default());
        for kind in [Kind::Probe, Kind::Scrape, Kind::Tunnel] {
            while book.shortage(kind).is_none() {
                book.open(START, kind);
            }
        }
        for _ in 0..descriptors / 8 {
            assert_eq!(book.shortage(Kind::Caller), None, "of {descriptors}");
            book.open(START, Kind::Caller);
        }
        let mut book = Book::control(process, Clients::default());
        while book.shortage(Kind::Call).is_none() {
            let id = book.open(START, Kind::Call);
            book.set_stage(START, id, Stage::Busy);
        }
        for _ in 0..descriptors / 16 {
            assert_eq!(book.shortage(Kind::Link), None, "of {descriptors}");
            book.open(START, Kind::Link);
        }
    }
}

/// Guards against a readiness probe that waits behind a crowd whose heads never end for longer than the platform
/// waits: a head that has not arrived within 100 ms makes room.
#[test]
fn a_probe_finds_room_in_a_crowd() {
    let mut book = entry();
    while book.shortage(Kind::Probe).is_none() {
        let id = book.open(START, Kind::Probe);
        book.set_stage(START, id, Stage::Reading);
    }
    assert_eq!(book.obstacle(at(100), Kind::Probe), None);
    assert!(!book.make_room(at(100), Kind::Probe).is_empty());
    assert_eq!(book.shortage(Kind::Probe), None);
}

/// Guards against closing honest callers when the process itself is late and has not read what they sent.
#[test]
fn a_late_process_blames_no_client() {
    let mut book = entry();
    fill(&mut book, START, 64 * 1024);
    book.record_lag(Duration::from_millis(800));
    assert!(book.make_room(at(2_000), Kind::Caller).is_empty());
    for _ in 0..50 {
        book.record_lag(Duration::ZERO);
    }
    assert!(!book.make_room(at(2_000), Kind::Caller).is_empty());
}

/// Guards against memory or descriptors that are lost or counted twice when clients end, or are closed by the
/// account, in the middle of what they do, in any order.
#[test]
fn nothing_is_lost_whatever_clients_do() {
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let process = Process {
            memory_bytes: 40_000_000,
            descriptors: 400,
        };
        let mut book = Book::entry(process, Clients::default());
        let mut clients: Vec<(Id, usize)> = Vec::new();
        for step in 0..5_000 {
            let now = at(step * 10);
            let number = rng.random_range(0..clients.len().max(1));
            match rng.random_range(0..6) {
                0 | 1 => {
                    let kind = Kind::ALL[rng.random_range(0..Kind::ALL.len())];
                    if kind == Kind::Call {
                        continue;
                    }
                    book.make_room(now, kind);
                    if book.shortage(kind).is_none() {
                        clients.push((book.open(now, kind), 0));
                    }
                }
                2 if number < clients.len() => {
                    let (id, before) = clients[number];
                    let after = rng.random_range(0..200_000);
                    if after > before {
                        book.make_memory(now, id, before, after);
                    }
                    if after < before || book.has_memory(id, before, after) {
                        book.charge(id, before, after);
                        clients[number].1 = after;
                    }
                }
                3 if number < clients.len() => {
                    let stages = [Stage::Idle, Stage::Reading, Stage::Busy, Stage::Writing];
                    book.set_stage(now, clients[number].0, stages[rng.random_range(0..4)]);
                }
                4 if number < clients.len() => book.record_progress(now, clients[number].0, 100),
                5 if number < clients.len() => book.close(clients.swap_remove(number).0),
                _ => {}
            }
            assert!(book.used_descriptors() <= book.descriptors());
        }
        for (id, _) in clients {
            book.close(id);
        }
        assert_eq!((book.used_bytes(), book.used_descriptors()), (0, 0));
    }
}

/// Guards against a task of a closed client that goes on, and against its late charges being counted.
#[actix_rt::test]
async fn a_closed_client_ends() {
    let limits = Clients {
        memory_bytes: Some(1_000_000),
        stall: Duration::from_millis(20),
        ..Clients::default()
    };
    let account = Account::new(Book::entry(PROCESS, limits), limits, None);
    let client = account.open(Kind::Caller);
    client.set_stage(Stage::Reading);
    let mut share = client.share();
    share.set(500_000);
    let holder = account.open(Kind::Caller);
    holder.set_stage(Stage::Busy);
    let mut overdraft = holder.share();
    overdraft.resize(400_000).await;
    let eviction = client.eviction();
    let task = actix_rt::spawn(eviction.guard(async move {
        let _held = (client, share);
        std::future::pending::<()>().await;
    }));
    let other = account.open(Kind::Caller);
    other.set_stage(Stage::Reading);
    let mut share = other.share();
    let resized = share.resize_within(200_000, Duration::from_secs(30)).await;
    assert!(resized.is_ok());
    tokio::time::timeout(Duration::from_secs(30), task)
        .await
        .expect("the closed client goes on")
        .unwrap();
    drop((share, other, overdraft, holder));
    assert_eq!(account.free_bytes(), 1_000_000);
}
