//! HTTP messages as they may arrive: split, ambiguous, too long, spoilt.

use std::io::Write;
use std::time::Duration;

use bytes::BytesMut;
use primrosepin_gateway::http::{Body, Connection, Error, parse_request, parse_response};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const REQUEST: &[u8] =
    b"POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nX-A: 1\r\n\r\nhello";
const CHUNKED: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
    5;a=b\r\nhello\r\n6\r\n world\r\n0\r\nTrailer: x\r\n\r\n";

fn decode_in_parts(bytes: &[u8], mut part: impl FnMut() -> usize) -> (Vec<u8>, bool) {
    let mut input = BytesMut::new();
    let mut output = BytesMut::new();
    let mut rest = bytes;
    let mut head = None;
    while !rest.is_empty() {
        let count = part().min(rest.len());
        input.extend_from_slice(&rest[..count]);
        rest = &rest[count..];
        if head.is_none() {
            head = parse_response(&mut input, "GET").unwrap();
        }
        if let Some(head) = &mut head {
            head.body.decode(&mut input, &mut output).unwrap();
        }
    }
    let whole = head.is_some_and(|head| head.body.is_done());
    (output.to_vec(), whole)
}

/// Guards against bodies that depend on how the network splits them.
#[test]
fn a_body_is_the_same_however_it_is_split() {
    let mut rng = SmallRng::seed_from_u64(3);
    for _ in 0..500 {
        let (body, whole) = decode_in_parts(CHUNKED, || rng.random_range(1..9));
        assert_eq!((body.as_slice(), whole), (b"hello world".as_slice(), true));
    }
}

/// Guards against an answer that ends early and is taken for a whole one.
#[test]
fn a_body_that_ends_early_is_not_whole() {
    for end in 0..CHUNKED.len() {
        let (_, whole) = decode_in_parts(&CHUNKED[..end], || 7);
        assert!(!whole, "whole after {end} of {} bytes", CHUNKED.len());
    }
}

/// Guards against a request whose end can be read in two ways, so that a part of it becomes another one.
#[test]
fn requests_with_an_ambiguous_end_are_refused() {
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

/// Guards against heads beyond the limit that are held in memory, or taken.
#[test]
fn long_heads_are_refused() {
    let text = format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(20_000));
    let mut input = BytesMut::from(text.as_bytes());
    assert!(matches!(
        parse_request(&mut input, 16_384),
        Err(Error::HeadTooLong)
    ));
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(200));
    let mut input = BytesMut::from(many.as_bytes());
    assert!(matches!(
        parse_request(&mut input, 16_384),
        Err(Error::HeadTooLong)
    ));
}

/// Guards against bytes from outside that stop a process.
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
            // Either result is fine; the body must not be read past its end.
            let _ = head.body.decode(&mut input, &mut BytesMut::new());
        }
        let mut input = BytesMut::from(&bytes[..]);
        if let Ok(Some(mut head)) = parse_response(&mut input, "GET") {
            let _ = head.body.decode(&mut input, &mut BytesMut::new());
        }
    }
}

/// Guards against the loss of the first byte of a request that arrives while a connection is looked at: the
/// request then has another method.
#[test]
fn a_look_at_an_idle_connection_keeps_its_bytes() {
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
            &connection.read_body(head.body, 100, time).await.unwrap()[..],
            b"hello"
        );
        drop(peer);
        while connection.is_idle() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    });
}
