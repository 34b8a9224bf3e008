//! Calls of operators and targets.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use primrosepin_control::replica::Decision;
use primrosepin_core::fleet::{Announcement, Entry, State};
use primrosepin_core::registry::Command;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use super::hub::Hub;
use crate::document;
use crate::http::{self, Connection, Error};
use crate::metrics::label;
use crate::protocol::{Call, Protocol};

/// Longest head, bytes.
const HEAD_BYTES: usize = 16 * 1024;

/// Longest body, bytes. It holds a configuration of some ten thousand routes.
const BODY_BYTES: usize = 8 * 1024 * 1024;

/// Longest pause within a call.
const PAUSE: Duration = Duration::from_secs(5);

/// Longest time without a call on a connection.
const IDLE: Duration = Duration::from_secs(30);

/// Time to wait for a leader before the caller is sent to another control VM.
const LEADER_WAIT: Duration = Duration::from_millis(600);

/// Age of a leader's contact with a quorum up to which it answers reads.
const READ_AGE: Duration = Duration::from_millis(700);

/// What calls need.
pub(super) struct Context {
    pub(super) hub: Rc<Hub>,
    pub(super) protocol: Arc<dyn Protocol>,
    /// Address for links of this VM.
    pub(super) own: SocketAddr,
    /// Port for calls on all control VMs.
    pub(super) port: u16,
    /// Time within which operators expect an outcome.
    pub(super) call_timeout: Duration,
}

/// An answer to a call.
struct Answer {
    status: u16,
    headers: String,
    body: Arc<[u8]>,
}

impl Answer {
    fn new(status: u16) -> Self {
        Self {
            status,
            headers: String::new(),
            body: Arc::new([]),
        }
    }

    fn with_text(mut self, text: &str) -> Self {
        self.headers.push_str("Content-Type: text/plain\r\n");
        self.body = text.as_bytes().into();
        self
    }

    fn with_json(mut self, json: Arc<[u8]>) -> Self {
        self.headers.push_str("Content-Type: application/json\r\n");
        self.body = json;
        self
    }
}

/// Serves the calls of a connection one after the other.
pub(super) async fn serve(context: Rc<Context>, stream: TcpStream) {
    crate::net::set_options(&stream);
    let mut caller = Connection::new(stream);
    loop {
        let head = match caller.read_request(HEAD_BYTES, IDLE, PAUSE).await {
            Ok(Some(head)) => head,
            Ok(None) => return,
            Err(error) => return reject(&mut caller, &error).await,
        };
        let body = match caller.read_body(head.body, BODY_BYTES, PAUSE).await {
            Ok(body) => body,
            Err(error) => return reject(&mut caller, &error).await,
        };
        let call = context.protocol.parse_call(&head.method, &head.path, &body);
        let kind = kind(&call);
        let start = Instant::now();
        let answer = match call {
            Call::Announce(announcement) => announce(&context, announcement).await,
            Call::Withdraw { name } => withdraw(&context, &name).await,
            Call::Publish { version } => publish(&context, version, &body, &head.path).await,
            Call::Evacuate { zone, out } => {
                let what = format!("zone {zone} out: {out}");
                change(&context, Command::Evacuate { zone, out }, &head.path, &what).await
            }
            Call::Read => read(&context, &head.path).await,
            Call::Refused { status, reason } => {
                log::info!(call = &*head.path, status = status, cause = reason; "call refused");
                Answer::new(status).with_text(&reason)
            }
        };
        let status = status_name(answer.status);
        context
            .hub
            .instruments
            .calls
            .add(1, &[label("kind", kind), label("status", status)]);
        if kind != "announce" {
            log::info!(
                call = &*head.path, method = &*head.method, status = answer.status,
                took_ms = start.elapsed().as_millis() as u64;
                "call answered"
            );
        }
        let bytes =
            http::encode_response(answer.status, &answer.headers, &answer.body, head.closes);
        if caller.write(&bytes).await.is_err() {
            return;
        }
        if head.closes {
            caller.shutdown().await;
            return;
        }
    }
}

async fn reject(caller: &mut Connection, error: &Error) {
    let (status, what) = match error {
        Error::Io(_) => return,
        Error::Malformed(malformed) => (400, malformed.0),
        Error::HeadTooLong => (431, "the head is too long"),
        Error::BodyTooLong => (413, "the body is too long"),
        Error::Slow => (408, "the call came too slowly"),
    };
    log::info!(status = status, cause = what; "call rejected");
    // The caller may have left.
    drop(
        caller
            .write(&http::encode_response(status, "", what.as_bytes(), true))
            .await,
    );
    caller.shutdown().await;
}

fn kind(call: &Call) -> &'static str {
    match call {
        Call::Announce(_) => "announce",
        Call::Withdraw { .. } => "withdraw",
        Call::Publish { .. } => "publish",
        Call::Read => "read",
        Call::Evacuate { .. } => "evacuate",
        Call::Refused { .. } => "refused",
    }
}

fn status_name(status: u16) -> &'static str {
    match status {
        200..=299 => "2xx",
        300..=399 => "3xx",
        400..=499 => "4xx",
        _ => "5xx",
    }
}

async fn announce(context: &Context, announcement: Announcement) -> Answer {
    let leaves = announcement.state == State::Draining;
    let entry = Entry {
        announcement: announcement.clone(),
        age_ms: 0,
    };
    if context.hub.announce(announcement, 0) && leaves {
        relay(context, &entry).await;
    }
    Answer::new(200).with_json(b"{}".as_slice().into())
}

async fn withdraw(context: &Context, name: &str) -> Answer {
    if let Some(announcement) = context.hub.withdraw(name) {
        let entry = Entry {
            announcement,
            age_ms: 0,
        };
        relay(context, &entry).await;
    }
    Answer::new(200).with_json(b"{}".as_slice().into())
}

/// Has another control VM hold an announcement: the target stops to serve after the confirmation, and this
/// VM may be lost right after it.
async fn relay(context: &Context, entry: &Entry) {
    let others = context.hub.replica.members().into_iter();
    let others = others.filter(|address| *address != context.own);
    if !context.hub.peers.relay(others, entry).await {
        log::warn!(
            target_name = &*entry.announcement.name;
            "no other control VM confirmed the announcement"
        );
    }
}

/// Sends the caller to the leader; none if this VM leads, and 503 if no leader is known in time.
async fn redirect(context: &Context, path: &str) -> Option<Answer> {
    let replica = &context.hub.replica;
    let mut changes = replica.changes();
    let until = Instant::now() + LEADER_WAIT;
    loop {
        if replica.leads() {
            return None;
        }
        if let Some(leader) = replica.leader() {
            let mut answer = Answer::new(307);
            let to = SocketAddr::new(leader.ip(), context.port);
            answer.headers = format!("Location: http://{to}{path}\r\n");
            return Some(answer);
        }
        let left = until.saturating_duration_since(Instant::now());
        if !matches!(timeout(left, changes.changed()).await, Ok(true)) {
            return Some(Answer::new(503).with_text("no leader is known"));
        }
    }
}

async fn change(context: &Context, command: Command, path: &str, what: &str) -> Answer {
    if let Some(answer) = redirect(context, path).await {
        return answer;
    }
    let replica = &context.hub.replica;
    let decision = replica.propose(command, context.call_timeout).await;
    let (term, _) = replica.term();
    match decision {
        Decision::Decided(outcome) => {
            log::info!(change = what, term = term, outcome = format!("{outcome:?}"); "change committed");
            Answer::new(200).with_json(b"{}".as_slice().into())
        }
        Decision::NotAccepted => {
            log::warn!(change = what, term = term; "change not accepted");
            Answer::new(503).with_text("the change was not accepted")
        }
        Decision::Unknown => {
            log::warn!(change = what, term = term; "change undecided");
            Answer::new(503).with_text("whether the change was accepted is not known yet")
        }
    }
}

async fn publish(context: &Context, version: u64, body: &[u8], path: &str) -> Answer {
    let document = match document::compress(body) {
        Ok(document) => document,
        Err(error) => {
            log::error!("the configuration cannot be compressed: {error:#}");
            return Answer::new(503).with_text("the configuration cannot be compressed");
        }
    };
    let command = Command::Publish { version, document };
    change(
        context,
        command,
        path,
        &format!("publish version {version}"),
    )
    .await
}

async fn read(context: &Context, path: &str) -> Answer {
    if let Some(answer) = redirect(context, path).await {
        return answer;
    }
    let replica = &context.hub.replica;
    let age = replica
        .quorum_at()
        .map(|at| primrosepin_process::now().since(at));
    if age.is_none_or(|age| age > READ_AGE) {
        return Answer::new(503).with_text("no recent contact with a quorum");
    }
    let compressed = replica.published().document;
    if compressed.is_empty() {
        return Answer::new(503).with_text("no configuration is published yet");
    }
    match document::decompress(&compressed) {
        Ok(document) => Answer::new(200).with_json(document.into()),
        Err(error) => {
            log::error!("the configuration cannot be read: {error:#}");
            Answer::new(503).with_text("the configuration cannot be read")
        }
    }
}
