//! One attempt of a request at a target.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use primrosepin_core::fleet::{Dispatch, Event, Id, Outcome, RetryPolicy};
use tokio::time::{sleep, timeout};

use super::delivery::{Delivery, split_events};
use super::node::Node;
use super::reservation::Reservation;
use crate::http::{Body, Connection, Request, Response};
use crate::net;
use crate::protocol::Verdict;

/// Time limit for opening a connection to a target. Connecting takes a few ms; a lost SYN is
/// retransmitted only after a second, and trying another target is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Fraction of the remaining time that a plain service may take to start its response before another
/// target is tried.
const PLAIN_FIRST_BYTE_FRACTION: f64 = 0.4;

/// Maximum size of a buffered response body, bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Time limit for each read while the body of a refusal or an error response is read.
const ERROR_BODY_TIMEOUT: Duration = Duration::from_millis(500);

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
    /// The connection failed or the response is malformed.
    Broken,
    /// The response did not start in time.
    TimedOut,
    /// The caller closed its connection.
    CallerGone,
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
        let broken = |delivery: &Delivery| Outcome::Broken {
            delivered: delivery.head_sent,
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
            RetryPolicy::Idempotent | RetryPolicy::Resumable => {
                self.node.pool.borrow_mut().take(&self.dispatch.name)
            }
        };
        loop {
            let reused = pooled.is_some();
            let mut target = match pooled.take() {
                Some(target) => target,
                None => match self.connect(caller).await {
                    Ok(target) => target,
                    Err(outcome) => return outcome,
                },
            };
            let bytes = self.encode_request(delivery);
            if target.write(&bytes).await.is_err() {
                if reused {
                    self.node.pool.borrow_mut().clear(&self.dispatch.name);
                    continue;
                }
                return broken(delivery);
            }
            match self.read_response_head(&mut target, caller).await {
                Ok(head) => return self.handle_response(target, &head, caller, delivery).await,
                Err(ResponseError::CallerGone) => return Outcome::CallerGone,
                Err(ResponseError::Broken) if reused && target.input.is_empty() => {
                    // The target closed the idle connection without a response.
                    self.node.pool.borrow_mut().clear(&self.dispatch.name);
                }
                Err(ResponseError::Broken | ResponseError::TimedOut) => {
                    self.node.pool.borrow_mut().clear(&self.dispatch.name);
                    return broken(delivery);
                }
            }
        }
    }

    async fn connect(&self, caller: &mut Connection) -> Result<Connection, Outcome> {
        self.node.instruments.connections.add(1, &[]);
        tokio::select! {
            stream = net::connect(self.dispatch.address, CONNECT_TIMEOUT) => match stream {
                Ok(stream) => Ok(Connection::new(stream)),
                Err(error) => {
                    log::info!(
                        request = self.request_id, target_name = &*self.dispatch.name;
                        "cannot connect to the target: {error}"
                    );
                    Err(Outcome::Unreachable)
                }
            },
            () = caller.closed() => Err(Outcome::CallerGone),
        }
    }

    fn encode_request(&self, delivery: &Delivery) -> Vec<u8> {
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
        out.extend_from_slice(self.body);
        out
    }

    /// Returns the time limit for the first byte of the response; `None` if the request cannot be
    /// retried at another target.
    fn first_byte_limit(&self) -> Option<Duration> {
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
        let limit = self.first_byte_limit().unwrap_or(self.dispatch.time_left);
        let head = tokio::select! {
            head = timeout(limit, target.read_response(&self.head.method)) => head,
            () = caller.closed() => return Err(ResponseError::CallerGone),
        };
        match head {
            Ok(Ok(head)) => Ok(head),
            Ok(Err(error)) => {
                self.log_broken(&format!("{error:?}"));
                Err(ResponseError::Broken)
            }
            Err(_) => {
                self.log_broken("no response head in time");
                Err(ResponseError::TimedOut)
            }
        }
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
        caller: &mut Connection,
        delivery: &mut Delivery,
    ) -> Outcome {
        let broken = Outcome::Broken {
            delivered: delivery.head_sent,
        };
        match self.node.protocol.classify_response(head, self.request_id) {
            Verdict::Served if self.dispatch.stream => {
                self.forward_stream(target, head, caller, delivery).await
            }
            Verdict::Served => {
                let body = tokio::select! {
                    body = target.read_body(head.body, MAX_RESPONSE_BYTES, self.dispatch.time_left) => body,
                    () = caller.closed() => return Outcome::CallerGone,
                };
                let Ok(body) = body else {
                    self.log_broken("incomplete body");
                    return broken;
                };
                self.node.apply(Event::Started(self.id));
                self.return_to_pool(target, head);
                match delivery.send_response(caller, head, &body).await {
                    Ok(()) => Outcome::Served,
                    Err(_) => Outcome::CallerGone,
                }
            }
            Verdict::Error => match target
                .read_body(head.body, MAX_RESPONSE_BYTES, ERROR_BODY_TIMEOUT)
                .await
            {
                Ok(body) => {
                    delivery.failure = Some((head.clone(), body));
                    self.return_to_pool(target, head);
                    Outcome::Error
                }
                Err(_) => broken,
            },
            Verdict::Full => {
                self.discard_body(target, head).await;
                Outcome::Full
            }
            Verdict::WrongTarget => Outcome::WrongTarget,
            Verdict::Invalid => {
                self.log_broken("invalid response, or response to another request");
                broken
            }
        }
    }

    /// Reads and discards the body of an unused response, so that the connection can be reused.
    async fn discard_body(&self, mut target: Connection, head: &Response) {
        if target
            .read_body(head.body, MAX_RESPONSE_BYTES, ERROR_BODY_TIMEOUT)
            .await
            .is_ok()
        {
            self.return_to_pool(target, head);
        }
    }

    /// Returns a connection to the pool after a complete response, if it can be reused.
    fn return_to_pool(&self, target: Connection, head: &Response) {
        if head.closes || !target.input.is_empty() {
            return;
        }
        let mut pool = self.node.pool.borrow_mut();
        pool.put(&self.dispatch.name, target, keep_alive(head));
    }

    /// Forwards the events of a stream as they arrive.
    async fn forward_stream(
        &self,
        mut target: Connection,
        head: &Response,
        caller: &mut Connection,
        delivery: &mut Delivery,
    ) -> Outcome {
        let mut body = head.body;
        let mut decoded = BytesMut::new();
        let mut started = false;
        loop {
            if body.decode(&mut target.input, &mut decoded).is_err() {
                self.log_broken("malformed body");
                break;
            }
            if let Some(events) = split_events(&mut decoded) {
                if !started {
                    started = true;
                    self.node.apply(Event::Started(self.id));
                }
                if delivery.send_events(caller, head, &events).await.is_err() {
                    return Outcome::CallerGone;
                }
            }
            if body.is_done() {
                return self
                    .finish_stream(target, head, &decoded, caller, delivery)
                    .await;
            }
            let limit = if started {
                self.dispatch.stall_timeout
            } else {
                self.first_byte_limit().unwrap_or(self.dispatch.time_left)
            };
            let read = tokio::select! {
                read = timeout(limit, target.fill()) => read,
                () = caller.closed() => return Outcome::CallerGone,
            };
            match read {
                Ok(Ok(0)) if body == Body::UntilClose => body = Body::Done,
                Ok(Ok(read)) if read > 0 => {}
                Ok(Ok(_)) => {
                    self.log_broken("the target closed the connection before the end of the body");
                    break;
                }
                Ok(Err(error)) => {
                    self.log_broken(&error.to_string());
                    break;
                }
                Err(_) => {
                    self.log_broken("no event in time");
                    break;
                }
            }
        }
        Outcome::Broken {
            delivered: delivery.head_sent,
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
            };
        }
        self.return_to_pool(target, head);
        match delivery.finish_stream(caller, head).await {
            Ok(()) => Outcome::Served,
            Err(_) => Outcome::CallerGone,
        }
    }
}

/// Returns the keep-alive timeout announced by the target, if any.
fn keep_alive(head: &Response) -> Option<Duration> {
    let value = head.headers.get("keep-alive")?;
    let mut parts = value.split(',').map(str::trim);
    let seconds = parts.find_map(|part| part.strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}
