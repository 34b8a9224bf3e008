//! HTTP API for operators and targets.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Weak};
use std::time::Duration;

use bytes::Bytes;
use primrosepin_control::replica::Decision;
use primrosepin_core::fleet::{Announcement, Entry, State};
use primrosepin_core::registry::Command;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use super::hub::Hub;
use super::relay;
use crate::account::{Client, Stage};
use crate::document;
use crate::http::{self, Connection, Error, Pace};
use crate::metrics::label;
use crate::protocol::{Call, Protocol};

/// Maximum size of the head of a call, bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Maximum size of the body of a call, bytes. Fits a configuration with about ten thousand routes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Time limit for the head of a call, and for each wait for more of its body.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Time within which the body of a call may arrive at any rate.
const BODY_TIME: Duration = Duration::from_mins(1);

/// Time without a call after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time to wait for an election before a call fails with 503, so that its caller tries another control VM.
const LEADER_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum time since the leader last heard from a quorum for it to serve reads.
const MAX_QUORUM_AGE: Duration = Duration::from_millis(700);

/// Shared state of the API connections.
pub(super) struct Context {
    pub(super) hub: Rc<Hub>,
    pub(super) protocol: Arc<dyn Protocol>,
    /// API port, the same on all control VMs.
    pub(super) call_port: u16,
    /// Time limit for a proposed change to be decided.
    pub(super) call_timeout: Duration,
    /// Configuration that is being sent, with its revision, so that all its readers share one copy.
    pub(super) document: RefCell<(u64, Option<Weak<[u8]>>)>,
}

/// Response to a call.
struct Response {
    status: u16,
    headers: String,
    body: Arc<[u8]>,
}

impl Response {
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

/// Serves the calls on a connection, one at a time.
pub(super) async fn serve(context: Rc<Context>, stream: TcpStream, client: Client) {
    crate::net::set_options(&stream);
    let pace = Pace {
        grace: BODY_TIME,
        min_bytes_per_s: client.account().limits().min_bytes_per_s,
    };
    let mut caller = Connection::with_client(stream, client);
    loop {
        let head = match caller
            .read_request(MAX_HEAD_BYTES, IDLE_TIMEOUT, READ_TIMEOUT)
            .await
        {
            Ok(Some(head)) => head,
            Ok(None) => return,
            Err(error) => return reject(&mut caller, &error).await,
        };
        let mut share = caller.share();
        let mut head_share = caller.share();
        head_share.set(head.memory_bytes());
        let body = if context.protocol.takes_body(&head.method, &head.path) {
            let read =
                caller.read_request_body(head.body, MAX_BODY_BYTES, READ_TIMEOUT, pace, &mut share);
            read.await
        } else {
            let discard =
                caller.discard_request_body(head.body, MAX_BODY_BYTES, READ_TIMEOUT, pace);
            discard.await.map(|()| Bytes::new())
        };
        let body = match body {
            Ok(body) => body,
            Err(error) => return reject(&mut caller, &error).await,
        };
        caller.set_stage(Stage::Busy);
        let call = context.protocol.parse_call(&head.method, &head.path, &body);
        let kind = call_kind(&call);
        let start = Instant::now();
        let response = match call {
            Call::Announce(announcement) => announce(&context, announcement).await,
            Call::Withdraw { name } => withdraw(&context, &name).await,
            Call::Publish { version } => publish(&context, version, &body, &head.path).await,
            Call::Evacuate { zone, out } => {
                let description = format!("zone {zone} out: {out}");
                propose_change(
                    &context,
                    Command::Evacuate { zone, out },
                    &head.path,
                    &description,
                )
                .await
            }
            Call::Read => read(&context, &head.path).await,
            Call::Refused { status, reason } => {
                log::info!(call = &*head.path, status = status, cause = reason; "invalid call refused");
                Response::new(status).with_text(&reason)
            }
        };
        let status = status_class(response.status);
        context
            .hub
            .instruments
            .calls
            .add(1, &[label("kind", kind), label("status", status)]);
        if kind != "announce" {
            log::info!(
                call = &*head.path, method = &*head.method, status = response.status,
                took_ms = start.elapsed().as_millis() as u64;
                "call answered"
            );
        }
        drop((body, share, head_share));
        // What the call asked for is done, or is refused.
        caller.set_stage(Stage::Writing);
        let length = response.body.len();
        let answer =
            http::encode_response_head(response.status, &response.headers, length, head.closes);
        if caller.write_both(&answer, &response.body).await.is_err() {
            return;
        }
        if head.closes {
            caller.shutdown().await;
            return;
        }
        if !caller.input.is_empty() {
            // Calls that are pipelined are all there: their connection must not keep the others waiting.
            tokio::task::yield_now().await;
        }
    }
}

/// Responds to a call that could not be read, and closes the connection.
async fn reject(caller: &mut Connection, error: &Error) {
    let (status, message) = match error {
        // Only reading a response fails with too many interim responses.
        Error::Io(_) | Error::TooManyInterim => return,
        Error::Malformed(malformed) => (400, malformed.0),
        Error::HeadTooLong => (431, "the head is too long"),
        Error::BodyTooLong => (413, "the body is too long"),
        Error::Slow => (408, "the call came too slowly"),
        Error::NoMemory => (503, "the process has no memory for the call"),
    };
    caller.set_stage(Stage::Writing);
    log::info!(status = status, cause = message; "call rejected: it could not be read");
    // Fails if the peer has closed the connection.
    drop(
        caller
            .write(&http::encode_response(status, "", message.as_bytes(), true))
            .await,
    );
    caller.shutdown().await;
}

fn call_kind(call: &Call) -> &'static str {
    match call {
        Call::Announce(_) => "announce",
        Call::Withdraw { .. } => "withdraw",
        Call::Publish { .. } => "publish",
        Call::Read => "read",
        Call::Evacuate { .. } => "evacuate",
        Call::Refused { .. } => "refused",
    }
}

fn status_class(status: u16) -> &'static str {
    match status {
        200..=299 => "2xx",
        300..=399 => "3xx",
        400..=499 => "4xx",
        _ => "5xx",
    }
}

/// Records an announcement. It is confirmed only if those that route hear of it; the target calls another
/// control VM otherwise.
async fn announce(context: &Context, announcement: Announcement) -> Response {
    let hub = &context.hub;
    let draining = announcement.state == State::Draining;
    let entry = Entry {
        announcement: announcement.clone(),
        age_ms: 0,
    };
    hub.announce(announcement, 0);
    if draining {
        // Also if it is known here: what made it known may have reached nobody else.
        return confirm_leave(context, &entry).await;
    }
    if !hub.has_entry_vms() {
        return Response::new(503).with_text("no entry VM is connected");
    }
    Response::new(200).with_json(b"{}".as_slice().into())
}

async fn withdraw(context: &Context, name: &str) -> Response {
    let entry = context.hub.withdraw(name);
    confirm_leave(context, &entry).await
}

/// Confirms that a target leaves once those that route know of it.
async fn confirm_leave(context: &Context, entry: &Entry) -> Response {
    if relay::relay(&context.hub, entry).await {
        return Response::new(200).with_json(b"{}".as_slice().into());
    }
    log::warn!(
        target_name = &*entry.announcement.name;
        "leave not confirmed: neither another control VM nor all connected entry VMs acknowledged it in time"
    );
    Response::new(503).with_text("the entry VMs could not be told in time")
}

/// Returns a redirect to the leader, or 503 if no leader is known within [`LEADER_TIMEOUT`]; `None` if
/// this VM leads.
async fn redirect(context: &Context, path: &str) -> Option<Response> {
    let replica = &context.hub.replica;
    let mut changes = replica.watch();
    let deadline = Instant::now() + LEADER_TIMEOUT;
    loop {
        if replica.is_leader() {
            return None;
        }
        if let Some(leader) = replica.leader_address() {
            let mut response = Response::new(307);
            let address = SocketAddr::new(leader.ip(), context.call_port);
            response.headers = format!("Location: http://{address}{path}\r\n");
            return Some(response);
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if !matches!(timeout(left, changes.changed()).await, Ok(true)) {
            return Some(Response::new(503).with_text("no leader is known"));
        }
    }
}

/// Proposes a change if this VM leads; otherwise responds with the redirect or 503 of [`redirect`].
async fn propose_change(
    context: &Context,
    command: Command,
    path: &str,
    description: &str,
) -> Response {
    if let Some(response) = redirect(context, path).await {
        return response;
    }
    let replica = &context.hub.replica;
    let decision = replica.propose(command, context.call_timeout).await;
    let (term, _) = replica.term_and_role();
    match decision {
        Decision::Committed(outcome) => {
            log::info!(change = description, term = term, outcome = format!("{outcome:?}"); "change committed");
            Response::new(200).with_json(b"{}".as_slice().into())
        }
        Decision::NotAccepted => {
            log::warn!(change = description, term = term; "change not accepted");
            Response::new(503).with_text("the change was not accepted")
        }
        Decision::Unknown => {
            log::warn!(change = description, term = term; "change may or may not be committed; its outcome is not known yet");
            Response::new(503).with_text("whether the change was accepted is not known yet")
        }
    }
}

async fn publish(context: &Context, version: u64, body: &[u8], path: &str) -> Response {
    let document = match document::compress(body) {
        Ok(document) => document,
        Err(error) => {
            log::error!("cannot compress the configuration: {error:#}");
            return Response::new(503).with_text("the configuration cannot be compressed");
        }
    };
    let command = Command::Publish { version, document };
    propose_change(
        context,
        command,
        path,
        &format!("publish version {version}"),
    )
    .await
}

async fn read(context: &Context, path: &str) -> Response {
    if let Some(response) = redirect(context, path).await {
        return response;
    }
    let replica = &context.hub.replica;
    let age = replica
        .last_quorum_contact()
        .map(|at| primrosepin_process::now().since(at));
    if age.is_none_or(|age| age > MAX_QUORUM_AGE) {
        return Response::new(503).with_text("no recent contact with a quorum");
    }
    let published = replica.published();
    let compressed = published.document;
    let shared = context.document.borrow().clone();
    if shared.0 == published.revision
        && let Some(document) = shared.1.as_ref().and_then(Weak::upgrade)
    {
        return Response::new(200).with_json(document);
    }
    if compressed.is_empty() {
        return Response::new(503).with_text("no configuration is published yet");
    }
    match document::decompress(&compressed) {
        Ok(document) => {
            let document = Arc::<[u8]>::from(document);
            let shared = (published.revision, Some(Arc::downgrade(&document)));
            context.document.replace(shared);
            Response::new(200).with_json(document)
        }
        Err(error) => {
            log::error!("cannot decompress the configuration: {error:#}");
            Response::new(503).with_text("the configuration cannot be read")
        }
    }
}
