//! State shared by the tasks of an entry process, all of which run on one thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use awc::http::Method;
use awc::http::header::{HeaderName, HeaderValue};
use bytes::{Bytes, BytesMut};
use primrosepin_config::settings::{Entry, Limits};
use primrosepin_core::registry::Config;
use primrosepin_core::request::{Attempt, Id};
use primrosepin_core::serving::event::Event;
use primrosepin_core::vm::Instance;
use primrosepin_core::{ledger, time};
use primrosepin_transport::Endpoint;
use rand::RngExt;
use rand::rngs::StdRng;
use tokio::sync::{Notify, mpsc, watch};
use xxhash_rust::xxh3::Xxh3Default;

use crate::attempt::Answer;
use crate::config_index::ConfigIndex;
use crate::metrics::{Labels, Metrics};
use crate::reconcile;
use crate::reply::Rejection;
use crate::response::Channel;

/// Largest response that the ledger records for resends.
const RECORDED_RESPONSE_BYTES_MAX: usize = 64 * 1024;

/// Phase of the process between startup and exit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Requests are accepted.
    Serving,
    /// Requests are still accepted, but readiness fails and callers' connections are closed after
    /// the response.
    Draining,
    /// Listeners are closed; requests in progress finish.
    Closing,
}

/// Shared state of an entry process.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) settings: Entry,
    /// Identifies this process as the owner of attempts and reservations at engines.
    pub(crate) owner: String,
    pub(crate) event_sender: mpsc::UnboundedSender<Event>,
    pub(crate) phase: watch::Receiver<Phase>,
    pub(crate) endpoint: Endpoint,
    pub(crate) calls: RefCell<HashMap<Id, Rc<Call>>>,
    pub(crate) ready: Cell<bool>,
    pub(crate) buffered_bytes: Cell<usize>,
    /// Index in `settings.control` of the control process that answered last.
    pub(crate) control_index: Cell<usize>,
    pub(crate) metrics: Metrics,
    /// Sequence number of the last local zone order.
    last_order: Cell<u64>,
    /// Number of unfinished background calls to engines and control; a shutdown waits for them.
    pub(crate) background_calls: Cell<usize>,
    config_index: RefCell<Option<Rc<ConfigIndex>>>,
    rng: RefCell<StdRng>,
    started: Instant,
}

impl Node {
    pub(crate) fn new(
        settings: Entry,
        instance: &Instance,
        event_sender: mpsc::UnboundedSender<Event>,
        phase: watch::Receiver<Phase>,
        endpoint: Endpoint,
        metrics: Metrics,
        rng: StdRng,
    ) -> Self {
        Self {
            settings,
            owner: reconcile::owner(instance),
            event_sender,
            phase,
            endpoint,
            calls: RefCell::default(),
            ready: Cell::new(false),
            buffered_bytes: Cell::new(0),
            control_index: Cell::new(0),
            metrics,
            last_order: Cell::new(0),
            background_calls: Cell::new(0),
            config_index: RefCell::new(None),
            rng: RefCell::new(rng),
            started: Instant::now(),
        }
    }

    /// Returns the current time of the reducer's clock.
    pub(crate) fn now(&self) -> time::Instant {
        time::Instant::from_micros(self.started.elapsed().as_micros() as u64)
    }

    /// Sends an event to the task that owns the reducer.
    pub(crate) fn report(&self, event: Event) {
        // Fails only while the process shuts down.
        let _ = self.event_sender.send(event);
    }

    pub(crate) fn limits(&self) -> &Limits {
        &self.settings.limits
    }

    pub(crate) fn config_index(&self) -> Option<Rc<ConfigIndex>> {
        self.config_index.borrow().clone()
    }

    pub(crate) fn set_config(&self, config: Arc<Config>) {
        *self.config_index.borrow_mut() = Some(Rc::new(ConfigIndex::new(config)));
    }

    pub(crate) fn is_draining(&self) -> bool {
        *self.phase.borrow() > Phase::Serving
    }

    /// Spawns a call that a shutdown waits for.
    pub(crate) fn spawn_background<F>(self: &Rc<Self>, call: F)
    where
        F: Future<Output = ()> + 'static,
    {
        let node = Rc::clone(self);
        node.background_calls.set(node.background_calls.get() + 1);
        actix_rt::spawn(async move {
            call.await;
            node.background_calls.set(node.background_calls.get() - 1);
        });
    }

    /// Returns the sequence number for a new local zone order. It is based on the wall clock, the
    /// only order that operators see, so orders given at different VMs are sequenced by time. On
    /// this VM it always increases.
    pub(crate) fn order_sequence(&self) -> u64 {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |time| time.as_millis() as u64);
        let sequence = now.max(self.last_order.get() + 1);
        self.last_order.set(sequence);
        sequence
    }

    /// Generates a random request id.
    pub(crate) fn request_id(&self) -> Id {
        Id(self.rng.borrow_mut().random())
    }

    /// Counts a request that is rejected before it reaches the reducer.
    pub(crate) fn count_rejection(&self, rejection: &Rejection) {
        self.metrics.rejected(rejection.code);
    }

    pub(crate) fn call(&self, id: Id) -> Option<Rc<Call>> {
        self.calls.borrow().get(&id).cloned()
    }
}

/// A caller's request in progress.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) id: Id,
    pub(crate) method: Method,
    /// Path with the query string.
    pub(crate) path: String,
    pub(crate) kind: CallKind,
    pub(crate) at_most_once: bool,
    /// Hash of method, path and body, by which the ledger distinguishes a resend from another
    /// request. 0 unless `at_most_once`.
    pub(crate) content_hash: u64,
    /// Headers that are forwarded to the target or to another zone.
    pub(crate) headers: Vec<(HeaderName, HeaderValue)>,
    /// Value of the `authorization` header, forwarded only in a hand-over.
    pub(crate) authorization: Option<HeaderValue>,
    pub(crate) arrived: Instant,
    /// Time limit requested by the caller, counted from `arrived`.
    pub(crate) deadline: Option<Duration>,
    /// Body; dropped once a part of the response has been relayed, since no later attempt sends it.
    pub(crate) body: RefCell<Option<Body>>,
    /// Number of stream events relayed.
    pub(crate) delivered: Cell<u32>,
    /// Labels for the histograms of this request.
    pub(crate) labels: Labels,
    /// Whether the first attempt was dispatched.
    pub(crate) dispatched: Cell<bool>,
    /// Time when the first token arrived.
    pub(crate) first_token: Cell<Option<Instant>>,
    /// Time when the most recent token arrived.
    pub(crate) last_token: Cell<Option<Instant>>,
    /// Whether a part of a streamed response was relayed.
    pub(crate) response_started: Cell<bool>,
    /// Whether the outcome event was passed to the caller's connection.
    pub(crate) outcome_sent: Cell<bool>,
    /// The caller's idempotency key.
    pub(crate) key: Option<Arc<str>>,
    /// Streamed response so far, for the ledger; `None` once it exceeds the size limit.
    captured: RefCell<Option<BytesMut>>,
    /// Signals that the response has ended or the caller has disconnected.
    pub(crate) closed: Notify,
    /// Validated, non-streamed response of the last attempt.
    pub(crate) answer: RefCell<Option<Answer>>,
    pub(crate) response: Channel,
}

/// Parts of a [`Call`] that are known once the caller's request has been read.
#[derive(Debug)]
pub(crate) struct CallParts {
    pub(crate) id: Id,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) kind: CallKind,
    pub(crate) at_most_once: bool,
    pub(crate) headers: Vec<(HeaderName, HeaderValue)>,
    pub(crate) authorization: Option<HeaderValue>,
    pub(crate) deadline: Option<Duration>,
    pub(crate) key: Option<Arc<str>>,
    pub(crate) labels: Labels,
    pub(crate) body: Body,
}

impl Call {
    pub(crate) fn new(parts: CallParts) -> Self {
        let content_hash = if parts.at_most_once {
            content_hash(&parts)
        } else {
            0
        };
        Self {
            content_hash,
            id: parts.id,
            method: parts.method,
            path: parts.path,
            kind: parts.kind,
            at_most_once: parts.at_most_once,
            headers: parts.headers,
            authorization: parts.authorization,
            arrived: Instant::now(),
            deadline: parts.deadline,
            body: RefCell::new(Some(parts.body)),
            delivered: Cell::new(0),
            labels: parts.labels,
            dispatched: Cell::new(false),
            first_token: Cell::new(None),
            last_token: Cell::new(None),
            response_started: Cell::new(false),
            outcome_sent: Cell::new(false),
            key: parts.key,
            captured: RefCell::new(Some(BytesMut::new())),
            closed: Notify::new(),
            answer: RefCell::new(None),
            response: Channel::default(),
        }
    }

    /// Keeps events of a streamed response for the ledger.
    pub(crate) fn capture(&self, events: &[u8]) {
        let mut captured = self.captured.borrow_mut();
        if let Some(bytes) = captured.as_mut() {
            bytes.extend_from_slice(events);
            if bytes.len() > RECORDED_RESPONSE_BYTES_MAX {
                *captured = None;
            }
        }
    }

    /// Returns the response to record in the ledger, if it is within the size limit.
    pub(crate) fn record(&self) -> Option<ledger::Response> {
        let response = |status, content_type: &str, body: &[u8]| ledger::Response {
            status,
            content_type: content_type.into(),
            body: body.to_vec(),
        };
        if let Some(answer) = &*self.answer.borrow() {
            return (answer.body.len() <= RECORDED_RESPONSE_BYTES_MAX)
                .then(|| response(answer.head.status, &answer.head.content_type, &answer.body));
        }
        self.captured
            .borrow()
            .as_ref()
            .map(|events| response(200, "text/event-stream", events))
    }

    /// Returns the bytes of the body without copying them.
    pub(crate) fn body_bytes(&self) -> Bytes {
        self.body
            .borrow()
            .as_ref()
            .map_or_else(Bytes::new, |body| body.bytes.clone())
    }
}

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallKind {
    /// Generation with a streamed response.
    Stream,
    /// Generation with a single, non-streamed response.
    Buffered,
    /// Request to a plain service.
    Plain,
}

/// A request body. Counts against the limit `buffered_bytes` until it is dropped.
#[derive(Debug)]
pub(crate) struct Body {
    pub(crate) bytes: Bytes,
    _permit: BufferPermit,
}

impl Body {
    pub(crate) fn new(bytes: Bytes, permit: BufferPermit) -> Self {
        Self {
            bytes,
            _permit: permit,
        }
    }
}

/// Share of the limit `buffered_bytes`, returned when the permit is dropped.
#[derive(Debug)]
pub(crate) struct BufferPermit {
    node: Rc<Node>,
    bytes: usize,
}

impl BufferPermit {
    pub(crate) fn new(node: &Rc<Node>) -> Self {
        Self {
            node: Rc::clone(node),
            bytes: 0,
        }
    }

    /// Grows the permit to `bytes`. Returns false if this would exceed the limit.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        let added = bytes.saturating_sub(self.bytes);
        let total = self.node.buffered_bytes.get() + added;
        if total > self.node.limits().buffered_bytes {
            return false;
        }
        self.node.buffered_bytes.set(total);
        self.bytes += added;
        true
    }
}

impl Drop for BufferPermit {
    fn drop(&mut self) {
        let buffered = &self.node.buffered_bytes;
        buffered.set(buffered.get() - self.bytes);
    }
}

fn content_hash(parts: &CallParts) -> u64 {
    let mut hash = Xxh3Default::new();
    // The separator is unambiguous: neither a method nor a path contains a line break.
    hash.update(parts.method.as_str().as_bytes());
    hash.update(b"\n");
    hash.update(parts.path.as_bytes());
    hash.update(b"\n");
    hash.update(&parts.body.bytes);
    hash.digest()
}

/// Formats an attempt id as it is sent to engines.
pub(crate) fn attempt_id(attempt: Attempt) -> String {
    format!("{:032x}-{}", attempt.request.0, attempt.number)
}
