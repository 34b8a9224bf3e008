//! One attempt: sends the request to a target, validates the response and relays it to the caller.
//!
//! `awc` never retries a request on its own: it takes an idle connection or opens one, writes the
//! request once and reports failures. Redirects are disabled, since following one would send the
//! body twice. Idle connections are reused only for repeatable requests to engines, where the
//! attempt id in the response exposes bytes left over from an earlier response.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use actix_http::body::{BodySize, MessageBody};
use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_rt::time::timeout;
use actix_service::fn_service;
use actix_tls::connect::{ConnectError as TcpError, ConnectInfo, Connection as TcpConnection};
use awc::error::{ConnectError, PayloadError, SendRequestError};
use awc::http::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, TRANSFER_ENCODING};
use awc::http::{Method, Uri};
use awc::{Client, ClientRequest};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use primrosepin_core::request::{Attempt, End, Outcome};
use primrosepin_core::serving::effect::Dispatch;
use primrosepin_core::serving::event::Event;
use serde::de::IgnoredAny;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::node::{Call, CallKind, Node, attempt_id};
use crate::reply;
use crate::response::Head;
use crate::sse::{Batch, Reader, StreamError, Usage};

/// Time limit for opening a connection within a zone, where a round trip takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Size of the chunks in which a request body is written. Keeps a large body from being copied into
/// the write buffer in one go.
const WRITE_CHUNK_BYTES: usize = 64 * 1024;

/// Largest non-streamed response that is buffered for validation.
const RESPONSE_BYTES_MAX: usize = 64 * 1024 * 1024;

/// Time limit for reading the rest of a body after the end marker of the stream.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Minimum interval between progress events of one attempt; one event per token would overload the
/// reducer.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(100);

/// A connection to a target that records its state.
#[derive(Debug)]
struct Socket {
    stream: TcpStream,
    state: Rc<SocketState>,
}

/// State of one connection, observed at the socket.
#[derive(Debug, Default)]
pub(crate) struct SocketState {
    /// Bytes written to the socket.
    pub(crate) bytes_written: Cell<u64>,
    /// Whether the target closed its side. `awc` does not distinguish a body truncated at a chunk
    /// boundary from a complete one.
    eof: Cell<bool>,
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        if poll.is_ready() && buf.filled().len() == before {
            self.state.eof.set(true);
        }
        poll
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = poll {
            let written = &self.state.bytes_written;
            written.set(written.get() + count as u64);
        }
        poll
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl ActixStream for Socket {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}

/// Creates a client whose connections record their state in `state`.
pub(crate) fn tracking_client(state: &Rc<SocketState>) -> Client {
    let state = Rc::clone(state);
    let connect = Rc::new(fn_service(move |info: ConnectInfo<Uri>| {
        let state = Rc::clone(&state);
        async move {
            let address = target_address(info.request()).ok_or(TcpError::Unresolved)?;
            let stream = TcpStream::connect(address).await.map_err(TcpError::Io)?;
            stream.set_nodelay(true).map_err(TcpError::Io)?;
            let socket = Socket { stream, state };
            Ok(TcpConnection::new(info.request().clone(), socket))
        }
    }));
    let connector = awc::Connector::new()
        .connector(connect)
        .timeout(CONNECT_TIMEOUT)
        .limit(0);
    awc::ClientBuilder::new()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}

fn target_address(uri: &Uri) -> Option<SocketAddr> {
    uri.authority()?.as_str().parse().ok()
}

/// Creates a client whose idle connections are shared by several attempts.
pub(crate) fn shared_client() -> Client {
    tracking_client(&Rc::default())
}

/// Request body that is written in chunks which share the same buffer.
pub(crate) struct BodyChunks(pub(crate) Bytes);

impl MessageBody for BodyChunks {
    type Error = std::convert::Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.0.len() as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        if self.0.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.0.len().min(WRITE_CHUNK_BYTES);
        Poll::Ready(Some(Ok(self.0.split_to(length))))
    }
}

/// A buffered, non-streamed response that waits for the reducer's decision.
#[derive(Debug, Clone)]
pub(crate) struct Answer {
    pub(crate) head: Head,
    pub(crate) body: Bytes,
}

/// End of an attempt that failed at some stage.
type Failure = End;

/// Runs an attempt and reports its end to the reducer.
pub(crate) async fn run(node: Rc<Node>, shared: Client, dispatch: Dispatch) {
    let attempt = dispatch.attempt;
    let end = match node.call(attempt.request) {
        Some(call) => send(&node, &shared, &call, &dispatch).await,
        None => End::NotRun { busy: false },
    };
    node.report(Event::Ended { attempt, end });
}

async fn send(node: &Rc<Node>, shared: &Client, call: &Rc<Call>, dispatch: &Dispatch) -> End {
    // An exclusive connection carries only this attempt, so that the state of its socket tells what
    // happened to the attempt.
    let exclusive = dispatch.fresh_connection || call.at_most_once || call.kind == CallKind::Plain;
    let state = Rc::new(SocketState::default());
    let own_client;
    let client = if exclusive {
        own_client = tracking_client(&state);
        &own_client
    } else {
        shared
    };
    // A resumed stream keeps the id of the attempt that started it at the engine.
    let engine_attempt = dispatch
        .resume
        .map_or(dispatch.attempt, |(attempt, _)| attempt);
    let id = attempt_id(engine_attempt);
    let request = request(node, client, call, dispatch, &id);
    let request = if exclusive {
        request.force_close()
    } else {
        request
    };
    let body = if dispatch.resume.is_some() {
        let resume = serde_json::json!({
            "attempt": id,
            "from": call.delivered.get(),
            "chat": call.path.starts_with("/v1/chat/"),
        });
        Bytes::from(resume.to_string())
    } else {
        call.body_bytes()
    };
    // If an earlier attempt has already relayed a part of the response, any failure truncates it.
    let interrupted = || {
        if call.response_started.get() {
            End::Truncated
        } else {
            End::NoAnswer
        }
    };
    let response = match request.send_body(BodyChunks(body)).await {
        Ok(response) => response,
        Err(error) => {
            log::debug!(
                "attempt {id}: sending the request to {} failed: {error}",
                dispatch.address
            );
            let unwritten = not_connected(&error) || exclusive && state.bytes_written.get() == 0;
            return if unwritten && !call.response_started.get() {
                End::NotRun { busy: false }
            } else {
                interrupted()
            };
        }
    };
    let status = response.status().as_u16();
    let headers = response.headers();
    if status == 503
        && headers
            .get(reply::RAN)
            .is_some_and(|ran| ran.as_bytes() == b"0")
    {
        return if call.response_started.get() {
            End::Truncated
        } else {
            End::NotRun { busy: true }
        };
    }
    let echo = headers.get(reply::ATTEMPT);
    let matches = echo.map(|echo| echo.as_bytes() == id.as_bytes());
    // Engines must return the attempt id. Plain services may omit it, but must not return another
    // one.
    let accepted = match call.kind {
        CallKind::Plain => matches.unwrap_or(true),
        _ => matches == Some(true) && status < 500,
    };
    if !accepted {
        return interrupted();
    }
    node.report(Event::Started(dispatch.attempt));
    let is_stream = headers
        .get(CONTENT_TYPE)
        .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
    let result = if call.kind == CallKind::Stream && status == 200 {
        if !is_stream {
            return interrupted();
        }
        let reader = Reader::for_attempt(id, call.delivered.get());
        relay_stream(node, call, dispatch.attempt, response, reader).await
    } else if call.response_started.get() {
        Err(End::Truncated)
    } else {
        buffer(call, response, &state, exclusive).await
    };
    result.unwrap_or_else(|failure| failure)
}

/// Builds the request to the target.
fn request(
    node: &Node,
    client: &Client,
    call: &Call,
    dispatch: &Dispatch,
    id: &str,
) -> ClientRequest {
    let address = dispatch.address;
    let mut request = if dispatch.resume.is_some() {
        client.post(format!("http://{address}/v1/resume"))
    } else {
        client.request(
            call.method.clone(),
            format!("http://{address}{}", call.path),
        )
    };
    for (name, value) in &call.headers {
        request = request.append_header((name.clone(), value.clone()));
    }
    request = request
        .insert_header((reply::ATTEMPT, id))
        .insert_header((reply::OWNER, &*node.owner))
        .insert_header((reply::REQUEST, reply::request_id(call.id)))
        .insert_header((reply::PRIORITY, dispatch.priority.to_string()))
        .insert_header((reply::LEASE_MS, dispatch.lease_ms.to_string()));
    if let Some(key) = &call.key {
        request = request.insert_header((reply::IDEMPOTENCY_KEY, &**key));
    }
    if !dispatch.parts.is_empty() {
        let parts: Vec<String> = dispatch
            .parts
            .iter()
            .map(|(address, _)| format!("{address}={}", attempt_id(dispatch.attempt)))
            .collect();
        request = request.insert_header((reply::PARTS, parts.join(",")));
    }
    request
}

/// Returns whether an error proves that no connection was opened and thus nothing was written.
pub(crate) fn not_connected(error: &SendRequestError) -> bool {
    match error {
        // `Disconnected` is also reported for a connection that closes before the response.
        SendRequestError::Connect(error) => !matches!(error, ConnectError::Disconnected),
        SendRequestError::Url(_) | SendRequestError::TunnelNotSupported => true,
        _ => false,
    }
}

type Response = awc::ClientResponse;

/// Relays an event stream to the caller and returns how the attempt ended.
pub(crate) async fn relay_stream<S>(
    node: &Rc<Node>,
    call: &Rc<Call>,
    attempt: Attempt,
    mut response: S,
    mut reader: Reader,
) -> Result<End, Failure>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin + 'static,
{
    let interrupted = || {
        if call.response_started.get() {
            End::Truncated
        } else {
            End::NoAnswer
        }
    };
    let mut progress = Progress::new(node, attempt);
    while !reader.is_done() {
        let Some(Ok(bytes)) = response.next().await else {
            progress.flush();
            return Err(interrupted());
        };
        let batch = match reader.read(bytes) {
            Ok(batch) => batch,
            Err(error) => {
                progress.flush();
                log::warn!(
                    "attempt {}: cannot relay the event stream: {}",
                    attempt_id(attempt),
                    match error {
                        StreamError::UnexpectedEvent => "crossed",
                        StreamError::Malformed => "malformed",
                    }
                );
                return Err(interrupted());
            }
        };
        deliver(node, call, &batch);
        progress.add(batch.count);
        if call.response.is_full() {
            progress.wait(call.response.wait_writable()).await;
        }
    }
    progress.flush();
    if reader
        .outcome()
        .is_some_and(|outcome| !is_answered(outcome))
    {
        return Err(interrupted());
    }
    let usage = Usage::read(reader.last_data());
    actix_rt::spawn(timeout(DRAIN_TIMEOUT, drain(response, reader)));
    Ok(End::Complete {
        prompt_tokens: usage.prompt,
        cached_tokens: usage.cached,
        generated_tokens: usage.generated.max(u64::from(call.delivered.get())),
    })
}

/// Returns whether the outcome event of another zone's entry VM reports a complete response.
fn is_answered(outcome: &[u8]) -> bool {
    #[derive(serde::Deserialize)]
    struct Event {
        outcome: Outcome,
    }
    serde_json::from_slice::<Event>(outcome).is_ok_and(|event| event.outcome == Outcome::Answered)
}

/// Reads the rest of a body after the end marker, so that the connection can be reused. A
/// connection that delivers further events is closed.
async fn drain<S>(mut response: S, mut reader: Reader)
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    while let Some(Ok(bytes)) = response.next().await {
        if reader.read(bytes).is_err() {
            return;
        }
    }
}

fn deliver(node: &Node, call: &Call, batch: &Batch) {
    if batch.events.is_empty() {
        return;
    }
    node.metrics.tokens_relayed(call);
    if !call.response_started.replace(true) {
        call.body.take();
        call.response.start(Head {
            status: 200,
            content_type: "text/event-stream".into(),
            headers: Vec::new(),
        });
    }
    call.delivered.set(call.delivered.get() + batch.count);
    if call.at_most_once {
        call.capture(&batch.events);
    }
    call.response.push(batch.events.clone());
}

/// Reads and validates a non-streamed response and stores it in the call. `state` is evaluated only if
/// the connection is `exclusive`, that is, carries no other attempt.
pub(crate) async fn buffer(
    call: &Rc<Call>,
    mut response: Response,
    state: &SocketState,
    exclusive: bool,
) -> Result<End, Failure> {
    let bodiless = call.method == Method::HEAD || matches!(response.status().as_u16(), 204 | 304);
    let framed = is_framed(response.headers());
    let length = content_length(response.headers());
    let mut body = BytesMut::with_capacity(length.unwrap_or(0).min(RESPONSE_BYTES_MAX));
    while let Some(bytes) = response.next().await {
        let Ok(bytes) = bytes else {
            return Err(End::NoAnswer);
        };
        if body.len() + bytes.len() > RESPONSE_BYTES_MAX {
            return Err(End::NoAnswer);
        }
        body.extend_from_slice(&bytes);
    }
    let truncated = exclusive && state.eof.get();
    let complete = framed && !truncated && length.is_none_or(|length| length == body.len());
    if !complete && !bodiless {
        return Err(End::NoAnswer);
    }
    let body = body.freeze();
    if call.kind != CallKind::Plain && serde_json::from_slice::<IgnoredAny>(&body).is_err() {
        return Err(End::NoAnswer);
    }
    let usage = Usage::read(&body);
    let answer = Answer {
        head: response_head(&response),
        body,
    };
    *call.answer.borrow_mut() = Some(answer);
    Ok(End::Complete {
        prompt_tokens: usage.prompt,
        cached_tokens: usage.cached,
        generated_tokens: usage.generated,
    })
}

/// Returns the response head for the caller: status, content type and end-to-end headers.
fn response_head(response: &Response) -> Head {
    let mut content_type = String::from("application/octet-stream");
    let mut headers = Vec::new();
    for (name, value) in response.headers() {
        if *name == CONTENT_TYPE {
            content_type = String::from_utf8_lossy(value.as_bytes()).into_owned();
        } else if is_end_to_end(name.as_str()) {
            headers.push((name.as_str().to_owned(), value.as_bytes().to_vec()));
        }
    }
    Head {
        status: response.status().as_u16(),
        content_type,
        headers,
    }
}

/// Returns whether a header is forwarded between the two connections.
pub(crate) fn is_end_to_end(name: &str) -> bool {
    const HOP_BY_HOP: [&str; 10] = [
        "connection",
        "content-length",
        "date",
        "host",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    !HOP_BY_HOP.contains(&name) && !name.starts_with("x-primrosepin-")
}

/// Returns whether the body is delimited by a length or by chunked framing.
fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

fn content_length(headers: &HeaderMap) -> Option<usize> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Reports the progress of an attempt to the reducer at intervals.
struct Progress<'a> {
    node: &'a Node,
    attempt: Attempt,
    tokens: u32,
    reported: Option<Instant>,
}

impl<'a> Progress<'a> {
    fn new(node: &'a Node, attempt: Attempt) -> Self {
        Self {
            node,
            attempt,
            tokens: 0,
            reported: None,
        }
    }

    fn add(&mut self, tokens: u32) {
        self.tokens += tokens;
        let due = self
            .reported
            .is_none_or(|reported| reported.elapsed() >= PROGRESS_INTERVAL);
        if due && self.tokens > 0 {
            self.report();
        }
    }

    fn flush(&mut self) {
        if self.tokens > 0 {
            self.report();
        }
    }

    fn report(&mut self) {
        self.reported = Some(Instant::now());
        self.node.report(Event::Progress {
            attempt: self.attempt,
            tokens: std::mem::take(&mut self.tokens),
        });
    }

    /// Waits for the caller to take data. Reports progress meanwhile, so that a slow caller is not
    /// mistaken for an unresponsive target.
    async fn wait<F>(&mut self, writable: F)
    where
        F: Future<Output = ()>,
    {
        let mut writable = std::pin::pin!(writable);
        while timeout(PROGRESS_INTERVAL, writable.as_mut()).await.is_err() {
            self.report();
        }
    }
}
