//! One attempt of a request at a target.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use primrosepin_core::fleet::{Dispatch, Event, Id, Outcome, Path, RetryPolicy};
use tokio::time::{sleep, sleep_until};

use super::delivery::Delivery;
use super::events::{Events, are_in_order};
use super::node::Node;
use super::path;
use super::reservation::Reservation;
use crate::http::{Body, Connection, Error, Request, Response};
use crate::protocol::Verdict;

/// Fraction of the remaining time that a plain service may take to start its response before another
/// target is tried.
const PLAIN_FIRST_BYTE_FRACTION: f64 = 0.4;

/// Interval at which it is checked whether a request at a silent target can start elsewhere.
const RELOCATION_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which the path to a silent target is looked at.
const PATH_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Number of gaps at the start of each answer that are reported to the reducer. It uses the first ones that are not due
/// to events held up on the way.
const MEASURED_GAPS: u32 = 6;

/// Time without progress after which a target is left if the path to it is lost. Open connections may live on where
/// new ones cannot be made.
const LOST_SILENCE: Duration = Duration::from_millis(600);

/// An attempt, with the parts of its request that it needs.
pub(super) struct Attempt<'a> {
    pub(super) node: &'a Rc<Node>,
    pub(super) id: Id,
    pub(super) request_id: &'a str,
    pub(super) head: &'a Request,
    pub(super) body: &'a Bytes,
    pub(super) dispatch: &'a Dispatch,
    /// When the dispatch was decided; its remaining time counts from here.
    pub(super) decided: Instant,
}

/// Why no response head was received from the target.
enum ResponseError {
    /// The target closed the connection, or it failed.
    Closed,
    /// The response is malformed or exceeds a limit.
    Invalid,
    /// The response did not start in time, and another target can take the request.
    Stalled(Stalled),
    /// The caller closed its connection.
    CallerGone,
}

/// Why a target that makes no progress is left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stalled {
    /// It has made no progress in time.
    Silent,
    /// This VM has lost its path to it.
    Disconnected,
}

impl Stalled {
    fn outcome(self, delivered: bool) -> Outcome {
        match self {
            Self::Silent => Outcome::Broken {
                delivered,
                closed: false,
            },
            Self::Disconnected => Outcome::Disconnected { delivered },
        }
    }
}

/// Watches for progress at a target. A target that makes none is left only if the request can start at
/// another one at once: silence alone does not tell a lost target from a slow one.
struct Stall<'a> {
    attempt: &'a Attempt<'a>,
    /// Whether this VM itself is connected to the target.
    is_direct: bool,
    progress_at: Instant,
    /// When it is next checked whether the request can start elsewhere; `None` if it never can.
    check_at: Option<Instant>,
}

impl<'a> Stall<'a> {
    fn new(attempt: &'a Attempt<'a>, target: &Connection, limit: Option<Duration>) -> Self {
        let progress_at = Instant::now();
        Self {
            attempt,
            is_direct: !target.is_tunnel(),
            progress_at,
            check_at: limit.map(|limit| progress_at + limit),
        }
    }

    /// Records progress; the next is expected within `limit`.
    fn record_progress(&mut self, limit: Option<Duration>) {
        self.progress_at = Instant::now();
        self.check_at = limit.map(|limit| self.progress_at + limit);
    }

    /// Waits until the target has made no progress in time, or the path to it is lost, and the request can start
    /// elsewhere.
    async fn wait(&mut self) -> Stalled {
        let attempt = self.attempt;
        loop {
            let path_check_at = self.is_direct.then(|| Instant::now() + PATH_CHECK_INTERVAL);
            let Some(until) = [self.check_at, path_check_at].into_iter().flatten().min() else {
                return std::future::pending().await;
            };
            sleep_until(until.into()).await;
            let silent = self.progress_at.elapsed();
            let is_lost = self.is_direct && attempt.check_path() && silent >= LOST_SILENCE;
            let is_due = self.check_at.is_some_and(|at| at <= Instant::now());
            if !is_lost && !is_due {
                continue;
            }
            if attempt.dispatch.retryable && attempt.node.can_relocate(attempt.id) {
                log::info!(
                    request = attempt.request_id, target_name = &*attempt.dispatch.name,
                    attempt = attempt.dispatch.attempt, silent_ms = silent.as_millis() as u64,
                    path_lost = is_lost;
                    "target makes no progress, and another one can take the request"
                );
                return if is_lost {
                    Stalled::Disconnected
                } else {
                    Stalled::Silent
                };
            }
            if is_due {
                self.check_at = Some(Instant::now() + RELOCATION_CHECK_INTERVAL);
            }
        }
    }
}

impl Attempt<'_> {
    /// Sends the request to the target and delivers its response to the caller.
    pub(super) async fn run(&self, caller: &mut Connection, delivery: &mut Delivery) -> Outcome {
        let time_left = self.dispatch.time_left;
        tokio::select! {
            outcome = self.exchange(caller, delivery) => outcome,
            () = sleep(time_left) => Outcome::TimedOut,
        }
    }

    async fn exchange(&self, caller: &mut Connection, delivery: &mut Delivery) -> Outcome {
        let broken = |delivery: &Delivery, closed| Outcome::Broken {
            delivered: delivery.head_sent,
            closed,
        };
        let needs_reservation = self
            .dispatch
            .helpers
            .iter()
            .any(|helper| helper.held_tokens > 0);
        let _reservation = if needs_reservation {
            let reservation = tokio::select! {
                reservation = Reservation::new(self.node, self.dispatch) => reservation,
                () = caller.closed() => return Outcome::CallerGone,
            };
            let Some(reservation) = reservation else {
                return Outcome::Full;
            };
            Some(reservation)
        } else {
            None
        };
        // The target may close an idle connection just as a request is sent on it. Whether the request
        // ran is then unknown, so a request that must run at most once is sent on a new connection.
        let mut pooled = match self.dispatch.retry_policy {
            RetryPolicy::AtMostOnce => None,
            // Open connections may hang where new ones cannot be made.
            _ if self.has_lost_path() => None,
            RetryPolicy::Idempotent | RetryPolicy::Resumable => {
                self.node.pool.borrow_mut().take(&self.dispatch.name)
            }
        };
        let mut was_closed = false;
        loop {
            // The connection may have closed long after the decision for this target.
            if was_closed && !self.node.take_resend(self.id) {
                self.log_broken("the target may not get the request again");
                return broken(delivery, false);
            }
            let reused = pooled.is_some();
            let mut target = match pooled.take() {
                Some(target) => target,
                None => match self.connect(caller).await {
                    Ok(target) => target,
                    // The target may have ended because of the request on the earlier connection.
                    Err(Outcome::Unreachable) if was_closed => return broken(delivery, true),
                    Err(outcome) => return outcome,
                },
            };
            let head = self.encode_head(delivery);
            if target.write_both(&head, self.body).await.is_err() {
                if reused {
                    was_closed = true;
                    self.node.pool.borrow_mut().clear(&self.dispatch.name);
                    continue;
                }
                return broken(delivery, true);
            }
            match self.read_response_head(&mut target, caller).await {
                Ok(head) => {
                    return self
                        .handle_response(target, &head, reused, caller, delivery)
                        .await;
                }
                Err(ResponseError::CallerGone) => return Outcome::CallerGone,
                Err(ResponseError::Closed) if reused && target.input.is_empty() => {
                    // The target closed the idle connection without a response.
                    was_closed = true;
                    self.node.pool.borrow_mut().clear(&self.dispatch.name);
                }
                Err(ResponseError::Stalled(stalled)) => {
                    self.node.pool.borrow_mut().clear(&self.dispatch.name);
                    return stalled.outcome(delivery.head_sent);
                }
                Err(error) => {
                    self.node.pool.borrow_mut().clear(&self.dispatch.name);
                    return broken(delivery, matches!(error, ResponseError::Closed));
                }
            }
        }
    }

    /// Records that bytes arrived on a connection.
    fn record_heard(&self, target: &Connection) {
        if !target.is_tunnel() {
            let now = primrosepin_process::now();
            self.node.reach.borrow_mut().record_heard(now);
        }
    }

    /// Checks the path to the target if no target has sent anything for a while. Returns whether it is lost.
    fn check_path(&self) -> bool {
        let now = primrosepin_process::now();
        let mut reach = self.node.reach.borrow_mut();
        if !reach.is_silent(now) {
            return false;
        }
        let due = reach.take_check(now);
        drop(reach);
        if due {
            path::check(self.node, self.dispatch.address);
        }
        self.has_lost_path()
    }

    /// Returns whether this VM has no path of its own to the target.
    fn has_lost_path(&self) -> bool {
        let now = primrosepin_process::now();
        self.node.reach.borrow().path(now, self.dispatch.address) == Path::Tunnel
    }

    async fn connect(&self, caller: &mut Connection) -> Result<Connection, Outcome> {
        self.node.instruments.connections.add(1, &[]);
        tokio::select! {
            connected = path::connect(self.node, self.request_id, self.dispatch.address) => connected.map_err(|error| {
                log::info!(
                    request = self.request_id, target_name = &*self.dispatch.name;
                    "cannot connect to the target: {error}"
                );
                Outcome::Unreachable
            }),
            () = caller.closed() => Err(Outcome::CallerGone),
        }
    }

    fn encode_head(&self, delivery: &Delivery) -> Vec<u8> {
        let mut out = format!("{} {} HTTP/1.1\r\n", self.head.method, self.head.path).into_bytes();
        let resumed_after = delivery.last_event_id.as_deref();
        // Subtracts the time spent on reserving memory and connecting.
        let dispatch = Dispatch {
            time_left: self
                .dispatch
                .time_left
                .saturating_sub(self.decided.elapsed()),
            ..self.dispatch.clone()
        };
        self.node
            .protocol
            .write_target_headers(self.head, &dispatch, resumed_after, &mut out);
        if !self.body.is_empty() || self.head.body != Body::Done {
            out.extend_from_slice(format!("Content-Length: {}\r\n", self.body.len()).as_bytes());
        }
        out.extend_from_slice(b"\r\n");
        out
    }

    /// Returns the time after which a target that has sent no event, or no head of a plain response, makes
    /// no progress; `None` if the request cannot be retried at another target.
    fn first_progress_limit(&self) -> Option<Duration> {
        match (self.dispatch.retryable, self.dispatch.stream) {
            (false, _) => None,
            (_, true) => Some(self.dispatch.stall_timeout + self.dispatch.predicted),
            (_, false) => Some(self.dispatch.time_left.mul_f64(PLAIN_FIRST_BYTE_FRACTION)),
        }
    }

    /// Reads the head of the response.
    async fn read_response_head(
        &self,
        target: &mut Connection,
        caller: &mut Connection,
    ) -> Result<Response, ResponseError> {
        let mut stall = Stall::new(self, target, self.first_progress_limit());
        let head = tokio::select! {
            head = target.read_response(&self.head.method) => head,
            stalled = stall.wait() => {
                self.log_broken("no response head in time");
                return Err(ResponseError::Stalled(stalled));
            }
            () = caller.closed() => return Err(ResponseError::CallerGone),
        };
        if head.is_ok() {
            self.record_heard(target);
        }
        head.map_err(|error| {
            self.log_broken(&format!("{error:?}"));
            match error {
                Error::Io(_) => ResponseError::Closed,
                _ => ResponseError::Invalid,
            }
        })
    }

    /// Logs why the attempt got no complete response. `primrosepin explain` matches the start of the
    /// message.
    fn log_broken(&self, cause: &str) {
        log::info!(
            request = self.request_id, target_name = &*self.dispatch.name, attempt = self.dispatch.attempt;
            "answer broken off: {cause}"
        );
    }

    /// Classifies the response and delivers it if the target served the request.
    async fn handle_response(
        &self,
        mut target: Connection,
        head: &Response,
        reused: bool,
        caller: &mut Connection,
        delivery: &mut Delivery,
    ) -> Outcome {
        let broken = Outcome::Broken {
            delivered: delivery.head_sent,
            closed: false,
        };
        let limits = self.node.settings.messages;
        let verdict = self
            .node
            .protocol
            .classify_response(head, self.request_id, reused);
        if verdict != Verdict::Invalid {
            let limit = self.node.protocol.named_limit(head);
            let was_limited = self.node.is_limited(self.id);
            if limit.is_some() || was_limited {
                self.node.apply(Event::LimitNamed(self.id, limit));
            }
            if limit.is_some() && !was_limited {
                log::info!(
                    request = self.request_id, target_name = &*self.dispatch.name, per_s = limit;
                    "target names a limit on its requests"
                );
            } else if was_limited && !self.node.is_limited(self.id) {
                log::info!(
                    request = self.request_id, target_name = &*self.dispatch.name;
                    "target names no limit any more"
                );
            }
        }
        // An answer from another target at the address, or to another request, says nothing about this one.
        if !matches!(verdict, Verdict::Invalid | Verdict::WrongTarget) {
            for notice in self.node.protocol.notices(head) {
                let was_usable = self.node.is_usable(&self.dispatch.name);
                self.node.apply(Event::Noticed(self.id, notice));
                if was_usable {
                    log::info!(
                        request = self.request_id, target_name = &*self.dispatch.name,
                        notice = format!("{notice:?}");
                        "target takes no new work from this VM"
                    );
                }
            }
        }
        match verdict {
            Verdict::Served if self.dispatch.stream && !is_stream(head) => {
                self.log_broken("a success without a stream");
                broken
            }
            Verdict::Served if self.dispatch.stream => {
                self.forward_stream(target, head, caller, delivery).await
            }
            Verdict::Served => {
                let mut share = caller.share();
                let mut stall = Stall::new(self, &target, self.first_progress_limit());
                let body = tokio::select! {
                    body = target.read_body(head.body, limits.body_bytes, self.dispatch.time_left, &mut share) => body,
                    stalled = stall.wait() => {
                        self.log_broken("no complete body in time");
                        return stalled.outcome(delivery.head_sent);
                    }
                    () = caller.closed() => return Outcome::CallerGone,
                };
                let body = match body {
                    Ok(body) => body,
                    Err(error) => {
                        self.log_broken(&format!("incomplete body: {error:?}"));
                        return Outcome::Broken {
                            delivered: delivery.head_sent,
                            closed: matches!(error, Error::Io(_)),
                        };
                    }
                };
                self.node.apply(Event::Started(self.id));
                self.return_to_pool(target, head);
                match delivery.send_response(caller, head, &body).await {
                    Ok(()) => served(head),
                    Err(_) => Outcome::CallerGone,
                }
            }
            Verdict::Error => match target
                .read_body_within(head.body, limits.error_body_bytes, limits.error_body_time)
                .await
            {
                Ok(body) => {
                    delivery.failure = Some((head.clone(), body));
                    self.return_to_pool(target, head);
                    Outcome::Error
                }
                Err(error) => {
                    self.log_broken(&format!("incomplete body of an error: {error:?}"));
                    broken
                }
            },
            Verdict::Full => {
                self.discard_body(target, head);
                Outcome::Full
            }
            Verdict::WrongTarget => Outcome::WrongTarget,
            Verdict::Invalid => {
                self.log_broken("invalid response, or response to another request");
                broken
            }
        }
    }

    /// Reads and discards the body of an unused response in the background, so that the connection can be
    /// reused. The request does not wait for it: the head says all.
    fn discard_body(&self, mut target: Connection, head: &Response) {
        if head.body.is_done() {
            self.return_to_pool(target, head);
            return;
        }
        if head.closes {
            return;
        }
        let (node, head) = (Rc::clone(self.node), head.clone());
        let name = Arc::clone(&self.dispatch.name);
        actix_rt::spawn(async move {
            let limits = node.settings.messages;
            let read = target
                .read_body_within(head.body, limits.error_body_bytes, limits.error_body_time)
                .await;
            match read {
                Ok(_) => node.return_to_pool(&name, target, &head),
                Err(error) => log::info!(
                    target_name = &*name;
                    "closing a connection: incomplete body of a refusal: {error:?}"
                ),
            }
        });
    }

    /// Returns a connection to the pool after a complete response, if it can be reused.
    fn return_to_pool(&self, target: Connection, head: &Response) {
        self.node.return_to_pool(&self.dispatch.name, target, head);
    }

    /// Forwards the events of a stream as they arrive. Only complete events count as progress, not single
    /// bytes or comments: a target that sends those now and then may be stalled.
    async fn forward_stream(
        &self,
        mut target: Connection,
        head: &Response,
        caller: &mut Connection,
        delivery: &mut Delivery,
    ) -> Outcome {
        let limits = self.node.settings.messages;
        let mut body = head.body;
        let mut events = Events::new();
        let mut share = caller.share();
        let mut started = false;
        let mut measured_gaps = 0;
        let mut waits_since = primrosepin_process::now();
        let mut closed = false;
        let mut stall = Stall::new(self, &target, self.first_progress_limit());
        loop {
            if let Err(error) = body.decode(&mut target.input, events.undelivered()) {
                self.log_broken(&format!("malformed body: {}", error.0));
                break;
            }
            if let Some(complete) = events.split() {
                if !are_in_order(delivery.last_event_id.as_deref(), &complete.bytes) {
                    self.log_broken("events that do not follow the last one");
                    break;
                }
                if !started && complete.is_progress {
                    started = true;
                    self.node.apply(Event::Started(self.id));
                } else if complete.is_progress && measured_gaps < MEASURED_GAPS {
                    measured_gaps += 1;
                    let gap = primrosepin_process::now().since(waits_since);
                    self.node.apply(Event::Continued(self.id, gap));
                }
                if delivery
                    .send_events(caller, head, &complete.bytes)
                    .await
                    .is_err()
                {
                    return Outcome::CallerGone;
                }
                // Time in which the caller reads is not the target's.
                waits_since = primrosepin_process::now();
                if complete.is_progress {
                    let retryable = self.dispatch.retryable;
                    stall.record_progress(retryable.then_some(self.dispatch.stall_timeout));
                }
            }
            if body.is_done() {
                let remaining = events.undelivered().split();
                return self
                    .finish_stream(target, head, &remaining, caller, delivery)
                    .await;
            }
            let undelivered = events.undelivered().len();
            if undelivered > limits.event_bytes {
                self.log_broken(&format!(
                    "an event of more than {} bytes",
                    limits.event_bytes
                ));
                break;
            }
            let read = async {
                share.resize(undelivered).await;
                target.fill().await
            };
            let read = tokio::select! {
                read = read => read,
                stalled = stall.wait() => {
                    self.log_broken("no event in time");
                    return stalled.outcome(delivery.head_sent);
                }
                () = caller.closed() => return Outcome::CallerGone,
            };
            match read {
                // An answer without an event has not begun, however its connection ends.
                Ok(0) if body == Body::UntilClose && started && !target.is_tunnel() => {
                    body = Body::Done;
                }
                Ok(0) => {
                    closed = true;
                    self.log_broken("the target closed the connection before the end of the body");
                    break;
                }
                Ok(_) => self.record_heard(&target),
                Err(error) => {
                    closed = true;
                    self.log_broken(&error.to_string());
                    break;
                }
            }
        }
        Outcome::Broken {
            delivered: delivery.head_sent,
            closed,
        }
    }

    /// Finishes a stream whose body is complete.
    async fn finish_stream(
        &self,
        target: Connection,
        head: &Response,
        remaining: &[u8],
        caller: &mut Connection,
        delivery: &mut Delivery,
    ) -> Outcome {
        if !remaining.is_empty() {
            self.log_broken("the stream ended inside an event");
            return Outcome::Broken {
                delivered: delivery.head_sent,
                closed: head.body == Body::UntilClose,
            };
        }
        self.return_to_pool(target, head);
        match delivery.finish_stream(caller, head).await {
            Ok(()) => served(head),
            Err(_) => Outcome::CallerGone,
        }
    }
}

/// Returns whether a success has a stream of events as its body. One without would end a stream that is resumed.
fn is_stream(head: &Response) -> bool {
    let content_type = head.headers.get("content-type");
    let is_event_stream = |value: &str| {
        let media_type = value.split(';').next().unwrap_or_default();
        media_type.trim().eq_ignore_ascii_case("text/event-stream")
    };
    head.status == 200 && content_type.is_none_or(is_event_stream)
}

/// Returns the outcome of an answer that was delivered whole.
fn served(head: &Response) -> Outcome {
    if head.body == Body::UntilClose {
        Outcome::ServedUnframed
    } else {
        Outcome::Served
    }
}
