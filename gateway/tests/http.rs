//! Parsing of HTTP messages that are fragmented, ambiguous, oversized or corrupt.

use std::cell::Cell;
use std::io::Write;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use primrosepin_gateway::account::{Account, Book, Kind, Share, Stage};
use primrosepin_gateway::http::{Body, Connection, Error, parse_request, parse_response};
use primrosepin_gateway::limits::{Clients, Process};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const REQUEST: &[u8] =
    b"POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nX-A: 1\r\n\r\nhello";
const CHUNKED: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
    5;a=b\r\nhello\r\n6\r\n world\r\n0\r\nTrailer: x\r\n\r\n";

/// Decodes a response from fragments of the given lengths. Returns the body and whether it is complete.
fn decode_fragments(bytes: &[u8], mut fragment_length: impl FnMut() -> usize) -> (Vec<u8>, bool) {
    let mut input = BytesMut::new();
    let mut output = BytesMut::new();
    let mut rest = bytes;
    let mut head = None;
    while !rest.is_empty() {
        let count = fragment_length().min(rest.len());
        input.extend_from_slice(&rest[..count]);
        rest = &rest[count..];
        if head.is_none() {
            head = parse_response(&mut input, "GET").unwrap();
        }
        if let Some(head) = &mut head {
            head.body.decode(&mut input, &mut output).unwrap();
        }
    }
    let complete = head.is_some_and(|head| head.body.is_done());
    (output.to_vec(), complete)
}

/// Guards against decoding that depends on how the network fragments a body.
#[test]
fn body_decoding_is_independent_of_fragmentation() {
    let mut rng = SmallRng::seed_from_u64(3);
    for _ in 0..500 {
        let (body, complete) = decode_fragments(CHUNKED, || rng.random_range(1..9));
        assert_eq!(
            (body.as_slice(), complete),
            (b"hello world".as_slice(), true)
        );
    }
}

/// Guards against a truncated response that is taken for a complete one.
#[test]
fn truncated_body_is_not_complete() {
    for end in 0..CHUNKED.len() {
        let (_, complete) = decode_fragments(&CHUNKED[..end], || 7);
        assert!(!complete, "complete after {end} of {} bytes", CHUNKED.len());
    }
}

/// Guards against request smuggling: with ambiguous framing, a part of one request is taken for another
/// request.
#[test]
fn ambiguous_framing_is_rejected() {
    let heads = [
        "Content-Length: 5\r\nContent-Length: 6",
        "Content-Length: 5\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Content-Length: +5",
        "Content-Length: 5, 5",
        "Content-Length: ",
        "Content-Length: 99999999999999999999999",
    ];
    for head in heads {
        let text = format!("POST / HTTP/1.1\r\nHost: x\r\n{head}\r\n\r\n");
        let mut input = BytesMut::from(text.as_bytes());
        let parsed = parse_request(&mut input, 16_384);
        assert!(
            matches!(parsed, Err(Error::Malformed(_))),
            "{head}: {parsed:?}"
        );
    }
    for chunk in ["g\r\n", "-1\r\n", "0x5\r\n", "5\r\nhelloXX", "\r\n"] {
        let mut body = Body::Chunks(primrosepin_gateway::http::ChunkState::Size);
        let mut input = BytesMut::from(chunk.as_bytes());
        assert!(
            body.decode(&mut input, &mut BytesMut::new()).is_err(),
            "{chunk:?}"
        );
    }
}

/// Guards against heads beyond the limits that are accepted or keep being buffered.
#[test]
fn oversized_heads_are_rejected() {
    let text = format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(20_000));
    let mut input = BytesMut::from(text.as_bytes());
    assert!(matches!(
        parse_request(&mut input, 16_384),
        Err(Error::HeadTooLong)
    ));
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(16_384 / 6));
    let mut input = BytesMut::from(many.as_bytes());
    assert!(matches!(
        parse_request(&mut input, 16_384),
        Err(Error::HeadTooLong)
    ));
}

/// Guards against a sound request that is rejected because it has many fields, against fields that are lost or
/// changed, and against fields that take many times the memory of their text.
#[test]
fn a_head_of_many_short_fields_within_the_limit_is_parsed() {
    for fields in [99, 100, 101, 200, 3_000] {
        let mut text = String::from("GET /x HTTP/1.1\r\n");
        for number in 0..fields {
            text.push_str(["a:\r\n", "b:1\r\n", "C: 2\r\n"][number % 3]);
        }
        text.push_str("\r\nrest");
        assert!(text.len() < 16_384, "{fields} fields");
        let mut input = BytesMut::from(text.as_bytes());
        let head = parse_request(&mut input, 16_384).unwrap().unwrap();
        assert_eq!(&input[..], b"rest");
        let expected: [(&str, &[u8]); 3] = [("a", b""), ("b", b"1"), ("C", b"2")];
        let parsed: Vec<_> = head.headers.iter().collect();
        assert_eq!(parsed.len(), fields);
        for (number, field) in parsed.into_iter().enumerate() {
            assert_eq!(field, expected[number % 3]);
        }
        assert_eq!(head.headers.all("c").count(), fields / 3);
        assert!(head.memory_bytes() < text.len() * 8, "{fields} fields");
    }
}

/// Guards against corrupt input that panics the process.
#[test]
fn mutated_messages_never_panic() {
    let mut rng = SmallRng::seed_from_u64(20_261_204);
    for _ in 0..20_000 {
        let source = if rng.random() { REQUEST } else { CHUNKED };
        let mut bytes = source.to_vec();
        for _ in 0..rng.random_range(1..6) {
            let at = rng.random_range(0..bytes.len());
            match rng.random_range(0..3) {
                0 => bytes[at] = rng.random(),
                1 => drop(bytes.remove(at)),
                _ => bytes.insert(at, rng.random()),
            }
        }
        let mut input = BytesMut::from(&bytes[..]);
        if let Ok(Some(mut head)) = parse_request(&mut input, 16_384) {
            // Both results are valid; decoding must not read past the end of the body.
            let _ = head.body.decode(&mut input, &mut BytesMut::new());
        }
        let mut input = BytesMut::from(&bytes[..]);
        if let Ok(Some(mut head)) = parse_response(&mut input, "GET") {
            let _ = head.body.decode(&mut input, &mut BytesMut::new());
        }
    }
}

/// Guards against an idle check that consumes the first byte of an arriving request, which changes its
/// method.
#[test]
fn idle_check_preserves_received_bytes() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut peer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let mut connection = Connection::new(stream);
        assert!(connection.is_idle());
        peer.write_all(REQUEST).unwrap();
        while connection.is_idle() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let time = Duration::from_secs(30);
        let head = connection
            .read_request(16_384, time, time)
            .await
            .unwrap()
            .unwrap();
        assert_eq!(
            (head.method.as_str(), head.path.as_str()),
            ("POST", "/a/b?c=d")
        );
        assert_eq!(
            &connection
                .read_body(head.body, 100, time, &mut Share::uncounted())
                .await
                .unwrap()[..],
            b"hello"
        );
        drop(peer);
        while connection.is_idle() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    });
}

/// Guards against responses that each wait for memory that the others hold: all of them must end, and no
/// more than one may exceed the pool.
#[actix_rt::test]
async fn responses_that_exhaust_the_memory_still_end() {
    const POOL: usize = 8_000_000;
    const LARGEST: usize = 1_000_000;
    let limits = Clients {
        memory_bytes: Some(POOL),
        ..Clients::default()
    };
    let account = Account::new(Book::entry(Process::default(), limits), limits, None);
    let most = Rc::new(Cell::new(0));
    let tasks: Vec<_> = (0..20)
        .map(|_| {
            let (account, most) = (account.clone(), Rc::clone(&most));
            actix_rt::spawn(async move {
                let client = account.open(Kind::Caller);
                client.set_stage(Stage::Busy);
                let mut share = client.share();
                for step in 1..=8 {
                    share.resize(step * LARGEST / 8).await;
                    most.set(most.get().max(account.used_bytes()));
                    tokio::task::yield_now().await;
                }
            })
        })
        .collect();
    for task in tasks {
        tokio::time::timeout(Duration::from_mins(1), task)
            .await
            .expect("responses wait for each other")
            .unwrap();
    }
    assert_eq!(account.free_bytes(), POOL);
    assert!(most.get() > POOL / 2, "the memory was not exhausted");
    assert!(most.get() <= POOL + LARGEST, "{} bytes", most.get());
}

/// Guards against heads, interim responses and trailers without end.
#[test]
fn endless_parts_of_a_response_are_refused() {
    let mut input = BytesMut::from(&CHUNKED[..CHUNKED.len() - 2]);
    let mut output = BytesMut::new();
    let mut head = parse_response(&mut input, "GET").unwrap().unwrap();
    let mut refused = false;
    for _ in 0..1_000 {
        input.extend_from_slice(b"X: y\r\n");
        refused |= head.body.decode(&mut input, &mut output).is_err();
    }
    assert!(refused, "a thousand trailers were accepted");
}

/// Guards against a buffer of twice the limit for a body that reaches the limit: many bodies without end at the same time
/// then took more memory than the VM has to spare.
#[actix_rt::test]
async fn a_body_without_end_takes_no_more_than_its_limit() {
    const LIMIT: usize = 1024 * 1024;
    /// What arrives with one read beyond the limit.
    const EXCESS: usize = 64 * 1024;
    let limits = Clients::default();
    let account = Account::new(Book::entry(Process::default(), limits), limits, None);
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let peer = std::thread::spawn(move || {
        let mut peer = std::net::TcpStream::connect(address).unwrap();
        let chunk = format!("4000\r\n{}\r\n", "x".repeat(0x4000));
        // Fails once the reader has given up.
        while peer.write_all(chunk.as_bytes()).is_ok() {}
    });
    let (stream, _) = listener.accept().await.unwrap();
    let mut connection = Connection::new(stream);
    let client = account.open(Kind::Caller);
    let mut share = client.share();
    let body = Body::Chunks(primrosepin_gateway::http::ChunkState::Size);
    let time = Duration::from_mins(1);
    let read = connection.read_body(body, LIMIT, time, &mut share).await;
    assert!(matches!(read, Err(Error::BodyTooLong)), "{read:?}");
    assert!(
        share.bytes() <= LIMIT + EXCESS,
        "{} bytes for a body of at most {LIMIT}",
        share.bytes()
    );
    drop(connection);
    peer.join().unwrap();
}

/// Guards against a response whose status code does not exist and that is passed on, or skipped as an interim one.
#[test]
fn impossible_status_codes_are_malformed() {
    for status in ["000", "001", "099", "101", "600", "999"] {
        let mut input = BytesMut::from(format!("HTTP/1.1 {status} X\r\n\r\n").as_bytes());
        assert!(parse_response(&mut input, "GET").is_err(), "{status}");
    }
    for status in ["100", "103", "200", "421", "503", "599"] {
        let mut input = BytesMut::from(format!("HTTP/1.1 {status} X\r\n\r\n").as_bytes());
        assert!(parse_response(&mut input, "GET").unwrap().is_some());
    }
}
