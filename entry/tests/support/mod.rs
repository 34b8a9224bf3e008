//! Test support: an entry process, fake targets and a fake control process over real sockets.

#![allow(dead_code, reason = "each test binary uses only a part of this module")]

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::net::{TcpListener, TcpStream};
use actix_rt::time::sleep;
use awc::Client;
use futures_util::future::LocalBoxFuture;
use primrosepin_config::settings::{Entry, EntryListen, Limits, Log, Tls};
use primrosepin_core::inventory::{Inventory, Kind, Match, Organisation, Rules, Service, Zone};
use primrosepin_core::message::Message;
use primrosepin_core::registry::Config;
use primrosepin_core::{ledger, vm};
use primrosepin_entry::{Options, Server};
use primrosepin_transport::keys::Authority;
use primrosepin_transport::{Endpoint, Incoming, Role};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

pub const CALLER_KEY: &str = "caller-key";
pub const ANNOUNCE_KEY: &str = "announce-key";
/// Announce key of the plain service. Inventories reject a key that is shared by two services.
pub const ORDERS_KEY: &str = "orders-key";
pub const OPERATOR_KEY: &str = "operator-key";

pub fn sha256(key: &str) -> Arc<str> {
    let digits: Vec<String> = Sha256::digest(key.as_bytes())
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    digits.concat().into()
}

pub fn announce_key(service: &str) -> &'static str {
    if service == "lm" {
        ANNOUNCE_KEY
    } else {
        ORDERS_KEY
    }
}

/// Returns a configuration with two zones, an engine service `lm` and a plain service `orders`,
/// whose requests below `/orders/once` run at most once.
pub fn config() -> Config {
    let service = |name: &str, kind, models: &[&str], paths: &[&str]| Service {
        name: name.into(),
        kind,
        models: models.iter().map(|&model| model.into()).collect(),
        paths: paths.iter().map(|&path| path.into()).collect(),
        announce_keys_sha256: vec![sha256(announce_key(name))],
    };
    Config {
        version: 1,
        inventory: Inventory {
            zones: [("z", "e1"), ("y", "e2")]
                .map(|(name, entry)| Zone {
                    name: name.into(),
                    region: "r".into(),
                    entries: vec![entry.into()],
                })
                .to_vec(),
            services: vec![
                service("lm", Kind::Engine, &["m"], &[]),
                service("orders", Kind::Plain, &[], &["/orders"]),
            ],
            organisations: vec![Organisation {
                name: "acme".into(),
                keys_sha256: vec![sha256(CALLER_KEY)],
                share: 1,
                max_running: 64,
            }],
            rules: Rules {
                at_most_once: vec![Match {
                    path: Some("/orders/once".into()),
                    ..Match::default()
                }],
                ..Rules::default()
            },
        },
        zones_out: Vec::new(),
        targets_out: Vec::new(),
        zone_orders: Vec::new(),
    }
}

pub fn settings() -> Entry {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    Entry {
        vm: "e1".into(),
        zone: "z".into(),
        listen: EntryListen {
            callers: any,
            targets: any,
            admin: any,
            peers: any,
        },
        seeds: Vec::new(),
        control: Vec::new(),
        other_zones: Vec::new(),
        tls: Tls {
            authority: "unused".into(),
            certificate: "unused".into(),
            key: "unused".into(),
        },
        operator_keys_sha256: vec![sha256(OPERATOR_KEY)],
        limits: Limits {
            drain_ms: 0,
            ..Limits::default()
        },
        log: Log::default(),
    }
}

/// Starts an entry process with the configuration of [`config`] and waits until it is ready.
pub async fn start_entry(settings: Entry) -> Server {
    start_entry_with(settings, &Authority::new().unwrap()).await
}

/// Starts an entry process that other processes with identities of `authority` can connect to.
pub async fn start_entry_with(settings: Entry, authority: &Authority) -> Server {
    let identity = authority.issue("e1", Role::Entry).unwrap();
    let options = Options {
        seed: Some(7),
        identity: Some(identity),
        config: Some(Arc::new(config())),
        ..Options::default()
    };
    let server = Server::start(settings, options).await.unwrap();
    wait_until(async || {
        let ready = format!("http://{}/readyz", server.addresses().callers);
        let response = Client::default().get(ready).send().await;
        response.is_ok_and(|response| response.status().is_success())
    })
    .await;
    server
}

/// A fake control process with an in-memory ledger whose entries never expire.
pub struct Control {
    pub endpoint: Endpoint,
    pub calls: Rc<RefCell<Vec<ledger::Call>>>,
}

impl Control {
    pub fn start(authority: &Authority) -> Self {
        let (endpoint, mut incoming) = Endpoint::start(primrosepin_transport::Settings {
            bind: "127.0.0.1:0".parse().unwrap(),
            identity: authority.issue("c1", Role::Control).unwrap(),
            instance: vm::Instance {
                name: "c1".into(),
                incarnation: vm::Incarnation(1),
            },
        })
        .unwrap();
        let calls: Rc<RefCell<Vec<ledger::Call>>> = Rc::default();
        let log = Rc::clone(&calls);
        actix_rt::spawn(async move {
            let mut claims = BTreeMap::new();
            let mut entries: BTreeMap<ledger::Key, ledger::Answer> = BTreeMap::new();
            while let Some(Incoming { message, reply, .. }) = incoming.recv().await {
                let Some(reply) = reply else {
                    continue;
                };
                let Message::Ledger(call) = message else {
                    reply.send(Message::ConfigPush(Arc::new(config()))).await;
                    continue;
                };
                log.borrow_mut().push(call.clone());
                let answer = match call {
                    ledger::Call::Begin {
                        key,
                        holder,
                        request,
                        ..
                    } => match entries.get(&key) {
                        Some(finished) => finished.clone(),
                        // A call that its holder retries gets the same answer.
                        None => match *claims.entry(key).or_insert((holder.clone(), request)) {
                            ref claim if *claim == (holder, request) => ledger::Answer::Claimed,
                            _ => ledger::Answer::InFlight,
                        },
                    },
                    ledger::Call::Finish {
                        key,
                        outcome,
                        response,
                        ..
                    } => {
                        entries.insert(key, ledger::Answer::Finished { outcome, response });
                        ledger::Answer::Recorded
                    }
                };
                reply.send(Message::LedgerAnswer(answer)).await;
            }
        });
        Self { endpoint, calls }
    }

    pub fn address(&self) -> SocketAddr {
        self.endpoint.local_address().unwrap()
    }
}

/// Polls `check` until it returns true. Panics after 10,000 polls, so that a condition that never
/// becomes true fails the test instead of blocking the run.
pub async fn wait_until<F>(check: F)
where
    F: AsyncFn() -> bool,
{
    for _ in 0..10_000 {
        if check().await {
            return;
        }
        sleep(Duration::from_millis(5)).await;
    }
    panic!("the condition did not become true within 10,000 polls");
}

/// A request received by a fake target.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    pub method: String,
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Index of the connection, in order of acceptance.
    pub connection: usize,
}

impl ReceivedRequest {
    pub fn attempt(&self) -> &str {
        &self.headers["x-primrosepin-attempt"]
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }
}

/// Handler of a fake target. The connection is closed if it returns `None`.
pub type Script =
    Rc<dyn Fn(ReceivedRequest, TcpStream) -> LocalBoxFuture<'static, Option<TcpStream>>>;

/// A fake target that runs a script for each request and records all requests.
pub struct Target {
    pub address: SocketAddr,
    pub received: Rc<RefCell<Vec<ReceivedRequest>>>,
}

impl Target {
    pub async fn start<S, F>(script: S) -> Self
    where
        S: Fn(ReceivedRequest, TcpStream) -> F + 'static,
        F: Future<Output = Option<TcpStream>> + 'static,
    {
        let script: Script = Rc::new(move |request, stream| Box::pin(script(request, stream)));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let received: Rc<RefCell<Vec<ReceivedRequest>>> = Rc::default();
        let log = Rc::clone(&received);
        actix_rt::spawn(async move {
            for connection in 0.. {
                let (mut stream, _) = listener.accept().await.unwrap();
                let script = Rc::clone(&script);
                let log = Rc::clone(&log);
                actix_rt::spawn(async move {
                    while let Some(request) = read_request(&mut stream, connection).await {
                        log.borrow_mut().push(request.clone());
                        // Calls other than attempts are acknowledged without the script.
                        if request.path == "/v1/cancel" || request.path == "/v1/requests" {
                            write_json(&mut stream, &request, 200, &json!({})).await;
                            continue;
                        }
                        match script(request, stream).await {
                            Some(kept) => stream = kept,
                            None => return,
                        }
                    }
                });
            }
        });
        Self { address, received }
    }

    /// Announces the target as warm until the test ends.
    pub async fn announce(&self, server: &Server, name: &'static str, service: &'static str) {
        self.announce_with(server, name, service, json!({})).await;
    }

    /// Announces the target with `fields` in place of the default fields of the announcement.
    pub async fn announce_with(
        &self,
        server: &Server,
        name: &'static str,
        service: &'static str,
        fields: Value,
    ) {
        let entries = vec![server.addresses().targets];
        self.announce_at(entries, name, service, fields).await;
    }

    /// Announces the target until the test ends, each time to the first entry process that accepts
    /// it.
    pub async fn announce_at(
        &self,
        entries: Vec<SocketAddr>,
        name: &'static str,
        service: &'static str,
        fields: Value,
    ) {
        let address = self.address;
        let announce = async move |seq| {
            let (kind, models) = if service == "lm" {
                ("engine", json!([{"name": "m", "version": "1"}]))
            } else {
                ("plain", json!([]))
            };
            let mut body = json!({
                "name": name, "zone": "z", "service": service, "kind": kind, "models": models,
                "address": address, "incarnation": 1, "seq": seq, "state": "warm",
                "cold_budget": {"requests": 8, "tokens": 1_000_000},
                "max_running": 64, "kv_tokens": 1_000_000, "prefill_tokens_per_s": 1_000_000,
                "decode_tokens_per_s": 1_000,
            });
            for (field, value) in fields.as_object().unwrap() {
                body[field] = value.clone();
            }
            for entry in &entries {
                let url = format!("http://{entry}/v1/targets/announce");
                let request = Client::default()
                    .post(url)
                    .bearer_auth(announce_key(service));
                let answer = request.send_json(&body).await;
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    return true;
                }
            }
            false
        };
        assert!(
            announce(1).await,
            "no entry process accepted the announcement of {name}"
        );
        actix_rt::spawn(async move {
            for seq in 2.. {
                sleep(Duration::from_millis(500)).await;
                // Fails once the entry process has stopped.
                announce(seq).await;
            }
        });
    }

    /// Returns the requests with the given path that the target has received.
    pub fn requests(&self, path: &str) -> Vec<ReceivedRequest> {
        let received = self.received.borrow();
        received
            .iter()
            .filter(|request| request.path == path)
            .cloned()
            .collect()
    }
}

/// Reads one HTTP/1.1 request whose body, if any, has a `content-length`.
pub async fn read_request(stream: &mut TcpStream, connection: usize) -> Option<ReceivedRequest> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let text = String::from_utf8(head).unwrap();
    let mut lines = text.lines();
    let mut start = lines.next()?.split(' ');
    let (method, path) = (start.next()?.to_owned(), start.next()?.to_owned());
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
        .collect();
    let length = headers
        .get("content-length")
        .map_or(0, |length| length.parse().unwrap());
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some(ReceivedRequest {
        method,
        path,
        headers,
        body,
        connection,
    })
}

/// Writes a JSON response with the attempt id of the request.
pub async fn write_json(
    stream: &mut TcpStream,
    request: &ReceivedRequest,
    status: u16,
    body: &Value,
) {
    let body = body.to_string();
    let attempt = request
        .headers
        .get("x-primrosepin-attempt")
        .cloned()
        .unwrap_or_default();
    let text = format!(
        "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         x-primrosepin-attempt: {attempt}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).await.unwrap();
}

/// Writes the response head of an event stream.
pub async fn write_stream_head(stream: &mut TcpStream, attempt: &str) {
    let text = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\
         x-primrosepin-attempt: {attempt}\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).await.unwrap();
}

/// Writes a chunk. Ignores errors, since the peer may have closed the connection.
pub async fn write_chunk(stream: &mut TcpStream, text: &str) {
    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
    drop(stream.write_all(chunk.as_bytes()).await);
}

/// Writes one event with its id.
pub async fn write_event(stream: &mut TcpStream, attempt: &str, index: u32) {
    write_chunk(
        stream,
        &format!("id: {attempt}:{index}\ndata: {{\"t\":{index}}}\n\n"),
    )
    .await;
}

/// Writes the end marker and the last chunk.
pub async fn write_stream_end(stream: &mut TcpStream) {
    write_chunk(stream, "data: [DONE]\n\n").await;
    drop(stream.write_all(b"0\r\n\r\n").await);
}

/// Writes a complete event stream with `count` events, as an engine does.
pub async fn write_stream(
    mut stream: TcpStream,
    request: &ReceivedRequest,
    count: u32,
) -> Option<TcpStream> {
    write_stream_head(&mut stream, request.attempt()).await;
    for index in 0..count {
        write_event(&mut stream, request.attempt(), index).await;
    }
    write_stream_end(&mut stream).await;
    Some(stream)
}

/// Response as received by a caller.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

impl Answer {
    pub fn outcome(&self) -> &str {
        &self.headers["x-primrosepin-outcome"]
    }

    pub fn error(&self) -> Value {
        let body: Value = serde_json::from_str(&self.body).unwrap();
        body["error"].clone()
    }

    /// Returns the outcome in the outcome event that ends a stream.
    pub fn final_outcome(&self) -> Option<String> {
        let (_, end) = self.body.split_once("event: primrosepin.outcome\ndata: ")?;
        let event: Value = serde_json::from_str(end.trim()).unwrap();
        Some(event["outcome"].as_str().unwrap().to_owned())
    }
}

pub fn generation(stream: bool) -> Value {
    json!({"model": "m", "stream": stream, "max_tokens": 8, "messages": [{"role": "user", "content": "x"}]})
}

/// Sends a request as a caller and reads the complete response.
pub async fn call(server: &Server, path: &str, body: &Value) -> Answer {
    call_with(server, path, body, &[]).await
}

pub async fn call_with(
    server: &Server,
    path: &str,
    body: &Value,
    headers: &[(&'static str, &'static str)],
) -> Answer {
    call_at(server.addresses().callers, path, body, headers).await
}

pub async fn call_at(
    callers: SocketAddr,
    path: &str,
    body: &Value,
    headers: &[(&'static str, &'static str)],
) -> Answer {
    let url = format!("http://{callers}{path}");
    let client = awc::ClientBuilder::new().disable_timeout().finish();
    let mut request = client.post(url).bearer_auth(CALLER_KEY);
    for header in headers {
        request = request.insert_header(*header);
    }
    let mut response = request.send_json(body).await.unwrap();
    let body = response.body().limit(64 << 20).await.unwrap();
    Answer {
        status: response.status().as_u16(),
        headers: response
            .headers()
            .iter()
            .map(|(name, value)| {
                let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
                (name.as_str().to_owned(), value)
            })
            .collect(),
        body: String::from_utf8(body.to_vec()).unwrap(),
    }
}

/// Returns the given events of a stream as a caller receives them.
pub fn tokens(range: std::ops::Range<u32>) -> String {
    let events: Vec<String> = range
        .map(|index| format!("data: {{\"t\":{index}}}\n\n"))
        .collect();
    events.concat()
}
