//! Test deployment: control replicas over real sockets, an operator's client and an entry VM's endpoint.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use primrosepin_config::settings::{Control, ControlListen, Log, Replica, Tls};
use primrosepin_control::{Options, Server};
use primrosepin_core::ledger::{Answer, Call, Key};
use primrosepin_core::message::Message;
use primrosepin_core::request;
use primrosepin_core::vm::{Incarnation, Instance};
use primrosepin_transport::keys::Authority;
use primrosepin_transport::{Endpoint, Role, Settings};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

/// Operator key in all tests.
pub const OPERATOR_KEY: &str = "operator-key";

/// An inventory with two zones, as an operator writes it.
pub const INVENTORY: &str = r#"{
  // Written by hand.
  "zones": [
    {"name": "trnava-a", "region": "sk-west", "entries": ["entry-1"]},
    {"name": "nitra-b", "region": "sk-west", "entries": ["entry-2"]},
  ],
  "services": [
    {"name": "kolo-lm", "kind": "engine", "models": ["m"],
     "announce_keys_sha256": ["e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"]},
  ],
  "organisations": [
    {"name": "club",
     "keys_sha256": ["2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"]},
  ],
}"#;

/// Replicas of one deployment.
pub struct Deployment {
    pub authority: Authority,
    pub folder: tempfile::TempDir,
    pub replicas: Vec<Replica>,
}

impl Deployment {
    /// Prepares `count` replicas without starting them.
    ///
    /// Replicas need to know all ports before they start. Each deployment has a loopback address of its
    /// own, so that sockets that the system assigns a port on 127.0.0.1 cannot take these ports.
    pub fn new(count: usize) -> Self {
        static DEPLOYMENTS: AtomicU8 = AtomicU8::new(1);
        let process = std::process::id();
        let high = (process / 250 % 250 + 1) as u8;
        let low = (process % 250) as u8;
        let number = DEPLOYMENTS.fetch_add(1, Ordering::Relaxed);
        let replicas = (0..count)
            .map(|index| Replica {
                vm: format!("control-{index}").into(),
                peers: SocketAddr::from(([127, high, low, number], 7_400 + index as u16)),
            })
            .collect();
        Self {
            authority: Authority::new().unwrap(),
            folder: tempfile::tempdir().unwrap(),
            replicas,
        }
    }

    /// Returns the data folder of a replica.
    pub fn data(&self, index: usize) -> std::path::PathBuf {
        self.folder.path().join(format!("control-{index}"))
    }

    /// Starts a replica.
    pub async fn start(&self, index: usize) -> Server {
        let Replica { vm, peers } = self.replicas[index].clone();
        let identity = self.authority.issue(&vm, Role::Control).unwrap();
        let none = Path::new("").to_owned();
        let settings = Control {
            vm,
            zone: "trnava-a".into(),
            listen: ControlListen {
                admin: "127.0.0.1:0".parse().unwrap(),
                peers,
            },
            replicas: self.replicas.clone(),
            data: self.data(index),
            bootstrap: true,
            tls: Tls {
                authority: none.clone(),
                certificate: none.clone(),
                key: none,
            },
            operator_keys_sha256: vec![format!("{:x}", Sha256::digest(OPERATOR_KEY)).into()],
            log: Log::default(),
        };
        let options = Options {
            seed: Some(index as u64),
            identity: Some(identity),
        };
        Server::start(settings, options).await.unwrap()
    }

    /// Starts an endpoint of an entry VM.
    pub fn entry(&self, name: &str) -> Endpoint {
        let settings = Settings {
            bind: "127.0.0.1:0".parse().unwrap(),
            identity: self.authority.issue(name, Role::Entry).unwrap(),
            instance: instance(name),
        };
        Endpoint::start(settings).unwrap().0
    }
}

/// Returns the instance of an entry VM.
pub fn instance(name: &str) -> Instance {
    Instance {
        name: name.into(),
        incarnation: Incarnation(1),
    }
}

/// Sends a call to the operators' API; returns status and body.
pub async fn call(
    admin: SocketAddr,
    method: awc::http::Method,
    path: &str,
    key: &str,
    body: Option<Value>,
) -> (u16, Value) {
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(20))
        .finish();
    let request = client
        .request(method, format!("http://{admin}{path}"))
        .insert_header(("authorization", format!("Bearer {key}")));
    let sent = match body {
        Some(body) => request.send_json(&body).await,
        None => request.send().await,
    };
    let mut response = sent.unwrap();
    let bytes = response.body().limit(64 * 1024 * 1024).await.unwrap();
    let text = String::from_utf8(bytes.to_vec()).unwrap();
    let value = serde_json::from_str(&text).unwrap_or(Value::String(text));
    (response.status().as_u16(), value)
}

/// Gets a document as the operator, once the replica knows what is current.
pub async fn get(admin: SocketAddr, path: &str) -> Value {
    for _ in 0..3_000 {
        let (status, body) = call(admin, awc::http::Method::GET, path, OPERATOR_KEY, None).await;
        if status == 503 && body["error"]["code"] == "not_current" {
            actix_rt::time::sleep(Duration::from_millis(20)).await;
            continue;
        }
        assert_eq!(status, 200, "{path}: {body}");
        return body;
    }
    panic!("{path}: the replica does not become current");
}

/// Posts a change as the operator.
pub async fn post(admin: SocketAddr, path: &str, body: Value) -> (u16, Value) {
    call(
        admin,
        awc::http::Method::POST,
        path,
        OPERATOR_KEY,
        Some(body),
    )
    .await
}

/// Posts a change until its outcome is known, as the operators' command line does.
pub async fn post_until_decided(admin: SocketAddr, path: &str, body: &Value) -> (u16, Value) {
    loop {
        let (status, answer) = post(admin, path, body.clone()).await;
        if status != 503 {
            return (status, answer);
        }
    }
}

/// Returns the body of an apply call.
pub fn apply(id: &str, base: u64, inventory: &str) -> Value {
    json!({ "id": id, "base": base, "inventory": inventory })
}

/// Calls the replicas in turn until `accept` takes an answer.
pub async fn call_until<F, T>(
    endpoint: &Endpoint,
    to: &[SocketAddr],
    message: Message,
    accept: F,
) -> T
where
    F: Fn(Message) -> Option<T>,
{
    loop {
        for address in to {
            let answer = endpoint
                .call(*address, message.clone(), Duration::from_secs(2))
                .await;
            if let Some(found) = answer.ok().and_then(&accept) {
                return found;
            }
        }
    }
}

/// Waits until a condition holds.
pub async fn wait_until<F>(mut condition: F)
where
    F: AsyncFnMut() -> bool,
{
    while !condition().await {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Waits until each replica has a leader, and sees all replicas as voters and reachable.
pub async fn wait_until_healthy(servers: &[&Server]) {
    for server in servers {
        wait_until(async || {
            let status = get(server.addresses().admin, "/v1/status").await;
            let replicas = status["replicas"].as_array().unwrap();
            let healthy =
                |replica: &Value| replica["voter"] == true && replica["reachable"] == true;
            let healthy_count = replicas.iter().filter(|replica| healthy(replica)).count();
            let is_member = replicas.iter().any(|replica| replica["id"] == status["id"]);
            let complete = healthy_count == servers.len() && replicas.len() == servers.len();
            status["leader"].is_string() && complete && is_member
        })
        .await;
    }
}

/// Waits until a server reports that it is the leader; returns its index.
pub async fn leader(servers: &[&Server]) -> usize {
    loop {
        for (index, server) in servers.iter().enumerate() {
            let status = get(server.addresses().admin, "/v1/status").await;
            if status["role"] == "leader" {
                return index;
            }
        }
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Returns an inventory of about 700 KB, so that its snapshot is sent in more than one part.
pub fn large_inventory() -> String {
    let organisations: Vec<String> = (0..6_000)
        .map(|index| {
            let key = format!("{:x}", Sha256::digest(format!("key-{index}")));
            format!(r#"{{"name": "organisation-{index}", "keys_sha256": ["{key}"]}}"#)
        })
        .collect();
    let (before, _) = INVENTORY.split_once("\"organisations\"").unwrap();
    format!("{before}\"organisations\": [{}]}}", organisations.join(","))
}

/// Returns the addresses at which servers take messages from other processes.
pub fn peer_addresses(servers: &[&Server]) -> Vec<SocketAddr> {
    servers
        .iter()
        .map(|server| server.addresses().peers)
        .collect()
}

/// Returns a ledger call in which `entry-1` claims a key.
pub fn begin_call(key: &str, request: u128, content: u64) -> Message {
    Message::Ledger(Call::Begin {
        key: ledger_key(key),
        holder: instance("entry-1"),
        request: request::Id(request),
        expires_ms: 60_000,
        content_hash: content,
    })
}

/// Returns a ledger key of the organisation `club`.
pub fn ledger_key(key: &str) -> Key {
    Key {
        organisation: "club".into(),
        key: key.into(),
    }
}

/// Returns the ledger's answer; none if the ledger is unavailable.
pub fn ledger_answer(message: Message) -> Option<Answer> {
    match message {
        Message::LedgerAnswer(Answer::Unavailable) => None,
        Message::LedgerAnswer(answer) => Some(answer),
        _ => None,
    }
}
