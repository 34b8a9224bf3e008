//! State that the tasks of one entry process share on its thread.

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

/// Largest answer that the ledger keeps for a resend.
const RECORDED_RESPONSE_BYTES_MAX: usize = 64 * 1024;

/// Phase of the process, from start to shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Requests are accepted.
    Serving,
    /// Requests are accepted, and callers are asked to use another process.
    Draining,
    /// Listeners are closed; running requests finish.
    Closing,
}

/// Shared state.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) settings: Entry,
    /// This process, as engines note it with what they hold.
    pub(crate) owner: String,
    pub(crate) event_sender: mpsc::UnboundedSender<Event>,
    pub(crate) phase: watch::Receiver<Phase>,
    pub(crate) endpoint: Endpoint,
    pub(crate) calls: RefCell<HashMap<Id, Rc<Call>>>,
    pub(crate) ready: Cell<bool>,
    pub(crate) buffered_bytes: Cell<usize>,
    /// Index of the control process that answered last.
    pub(crate) control_index: Cell<usize>,
    pub(crate) metrics: Metrics,
    /// Sequence number of the last zone order.
    last_order: Cell<u64>,
    /// Calls to engines and control that are not finished.
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

    /// Returns the time for the reducer.
    pub(crate) fn now(&self) -> time::Instant {
        time::Instant::from_micros(self.started.elapsed().as_micros() as u64)
    }

    /// Hands an event to the reducer's task.
    pub(crate) fn report(&self, event: Event) {
        // Fails only while the process ends.
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

    /// Starts a call that a shutdown waits for.
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

    /// Returns the sequence number of a zone order. Orders at different VMs are put in order by the wall
    /// clock, the only order that operators see; orders at this VM always increase.
    pub(crate) fn order_sequence(&self) -> u64 {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |time| time.as_millis() as u64);
        let sequence = now.max(self.last_order.get() + 1);
        self.last_order.set(sequence);
        sequence
    }

    /// Draws a request id.
    pub(crate) fn request_id(&self) -> Id {
        Id(self.rng.borrow_mut().random())
    }

    /// Counts a request that is rejected before the reducer sees it.
    pub(crate) fn reject(&self, rejection: &Rejection) {
        self.metrics.rejected(rejection.code);
    }

    pub(crate) fn call(&self, id: Id) -> Option<Rc<Call>> {
        self.calls.borrow().get(&id).cloned()
    }
}

/// A caller's request that is being served.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) id: Id,
    pub(crate) method: Method,
    /// Path with query.
    pub(crate) path: String,
    pub(crate) kind: CallKind,
    pub(crate) at_most_once: bool,
    /// Hash of method, path and body, by which the ledger tells a resend from another request.
    pub(crate) content_hash: u64,
    /// Headers that are passed on to the target or to another zone.
    pub(crate) headers: Vec<(HeaderName, HeaderValue)>,
    /// Value of `authorization`, for a hand-over.
    pub(crate) authorization: Option<HeaderValue>,
    pub(crate) arrived: Instant,
    /// Time limit asked for by the caller.
    pub(crate) deadline: Option<Duration>,
    /// Body; released once a part of the answer is delivered, since no attempt sends it again then.
    pub(crate) body: RefCell<Option<Body>>,
    /// Events of a stream that were passed on.
    pub(crate) delivered: Cell<u32>,
    /// Labels for histograms.
    pub(crate) labels: Labels,
    /// Whether the first attempt was sent.
    pub(crate) dispatched: Cell<bool>,
    /// Time of the first token.
    pub(crate) first_token: Cell<Option<Instant>>,
    /// Time of the last token.
    pub(crate) last_token: Cell<Option<Instant>>,
    /// Whether a part of the answer was passed on.
    pub(crate) response_started: Cell<bool>,
    /// Whether the outcome was handed to the caller's connection.
    pub(crate) outcome_sent: Cell<bool>,
    /// The caller's idempotency key.
    pub(crate) key: Option<Arc<str>>,
    /// Start of a streamed answer that the ledger records; none once it is too large.
    captured: RefCell<Option<BytesMut>>,
    /// Signals that the answer has ended or the caller is gone.
    pub(crate) closed: Notify,
    /// Checked whole answer of the last attempt.
    pub(crate) answer: RefCell<Option<Answer>>,
    pub(crate) response: Channel,
}

/// Parts of a [`Call`] that are known when the caller's request was read.
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

    /// Keeps a part of a streamed answer for the ledger.
    pub(crate) fn capture(&self, events: &[u8]) {
        let mut captured = self.captured.borrow_mut();
        if let Some(bytes) = captured.as_mut() {
            bytes.extend_from_slice(events);
            if bytes.len() > RECORDED_RESPONSE_BYTES_MAX {
                *captured = None;
            }
        }
    }

    /// Returns the answer for the ledger, if it is small enough.
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

    /// Returns the bytes of the body, shared.
    pub(crate) fn body_bytes(&self) -> Bytes {
        self.body
            .borrow()
            .as_ref()
            .map_or_else(Bytes::new, |body| body.bytes.clone())
    }
}

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallKind {
    /// Generation with a streamed answer.
    Stream,
    /// Generation with a whole answer.
    Buffered,
    /// A call to a plain service.
    Plain,
}

/// A request body that counts against the limit of buffered bytes while it is held.
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

/// Part of the limit of buffered bytes.
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

    /// Grows the permit to `bytes`; returns false if the limit does not allow it.
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
    // Neither a method nor a path contains a line break, so the parts cannot run together.
    hash.update(parts.method.as_str().as_bytes());
    hash.update(b"\n");
    hash.update(parts.path.as_bytes());
    hash.update(b"\n");
    hash.update(&parts.body.bytes);
    hash.digest()
}

/// Returns the id of an attempt as engines see it.
pub(crate) fn attempt_id(attempt: Attempt) -> String {
    format!("{:032x}-{}", attempt.request.0, attempt.number)
}
