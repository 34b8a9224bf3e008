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

/// Time for a new connection to a target. It takes a few ms; a lost opening packet is sent again after a
/// second, and another target is tried sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Part of the time left that a request to a plain service may be silent before another target is tried.
const PLAIN_SILENCE: f64 = 0.4;

/// Longest whole answer that is held, bytes.
const MAX_ANSWER: usize = 16 * 1024 * 1024;

/// Time for the rest of an answer that refuses or fails.
const REST: Duration = Duration::from_millis(500);

/// What an attempt needs of its request.
pub(super) struct Attempt<'a> {
    pub(super) node: &'a Rc<Node>,
    pub(super) id: Id,
    pub(super) name: &'a str,
    pub(super) head: &'a Request,
    pub(super) body: &'a Bytes,
    pub(super) dispatch: &'a Dispatch,
    /// When the dispatch was decided.
    pub(super) decided: Instant,
}

/// How reading from the target ended without an answer.
enum End {
    /// The target broke off or sent what is no answer.
    Broken,
    /// The target was silent for too long.
    Silent,
    /// The caller left.
    Abandoned,
}

impl Attempt<'_> {
    /// Sends the request and delivers the answer.
    pub(super) async fn run(&self, caller: &mut Connection, delivery: &mut Delivery) -> Outcome {
        let time_left = self.dispatch.time_left;
        tokio::select! {
            outcome = self.exchange(caller, delivery) => outcome,
            () = sleep(time_left) => Outcome::TimedOut,
        }
    }

    async fn exchange(&self, caller: &mut Connection, delivery: &mut Delivery) -> Outcome {
        let broken = |delivery: &Delivery| Outcome::Broken {
            delivered: delivery.begun,
        };
        let holds = self
            .dispatch
            .helpers
            .iter()
            .any(|helper| helper.held_tokens > 0);
        let _reservation = if holds {
            let held = tokio::select! {
                held = Reservation::new(self.node, self.dispatch) => held,
                () = caller.closed() => return Outcome::CallerGone,
            };
            let Some(held) = held else {
                return Outcome::Full;
            };
            Some(held)
        } else {
            None
        };
        // The target may close a connection that waits just when a request is sent. Whether it ran is not
        // known then, so a request that must not be repeated gets a connection of its own.
        let mut kept = match self.dispatch.retry_policy {
            RetryPolicy::AtMostOnce => None,
            RetryPolicy::Idempotent | RetryPolicy::Resumable => {
                self.node.pool.borrow_mut().take(&self.dispatch.name)
            }
        };
        loop {
            let reused = kept.is_some();
            let mut target = match kept.take() {
                Some(target) => target,
                None => match self.connect(caller).await {
                    Ok(target) => target,
                    Err(outcome) => return outcome,
                },
            };
            let bytes = self.request(delivery);
            if target.write(&bytes).await.is_err() {
                if reused {
                    self.node.pool.borrow_mut().clear(&self.dispatch.name);
                    continue;
                }
                return broken(delivery);
            }
            match self.answer(&mut target, caller).await {
                Ok(head) => return self.take(target, &head, caller, delivery).await,
                Err(End::Abandoned) => return Outcome::CallerGone,
                Err(End::Broken) if reused && target.input.is_empty() => {
                    // Nothing but the end of an old connection.
                    self.node.pool.borrow_mut().clear(&self.dispatch.name);
                }
                Err(End::Broken | End::Silent) => {
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
                    log::info!(request = self.name, target_name = &*self.dispatch.name; "no connection: {error}");
                    Err(Outcome::Unreachable)
                }
            },
            () = caller.closed() => Err(Outcome::CallerGone),
        }
    }

    fn request(&self, delivery: &Delivery) -> Vec<u8> {
        let mut out = format!("{} {} HTTP/1.1\r\n", self.head.method, self.head.path).into_bytes();
        let resumed_after = delivery.last_event.as_deref();
        // Holding memory and connecting took some of the time.
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

    /// Returns how long the target may be silent before its answer begins; none if the request must not
    /// be sent elsewhere anyway.
    fn first_byte_limit(&self) -> Option<Duration> {
        match (self.dispatch.retryable, self.dispatch.stream) {
            (false, _) => None,
            (_, true) => Some(self.dispatch.stall_timeout + self.dispatch.predicted),
            (_, false) => Some(self.dispatch.time_left.mul_f64(PLAIN_SILENCE)),
        }
    }

    /// Reads the head of the answer.
    async fn answer(
        &self,
        target: &mut Connection,
        caller: &mut Connection,
    ) -> Result<Response, End> {
        let limit = self.first_byte_limit().unwrap_or(self.dispatch.time_left);
        let head = tokio::select! {
            head = timeout(limit, target.read_response(&self.head.method)) => head,
            () = caller.closed() => return Err(End::Abandoned),
        };
        match head {
            Ok(Ok(head)) => Ok(head),
            Ok(Err(error)) => {
                self.log_broken(&format!("{error:?}"));
                Err(End::Broken)
            }
            Err(_) => {
                self.log_broken("silent");
                Err(End::Silent)
            }
        }
    }

    fn log_broken(&self, cause: &str) {
        log::info!(
            request = self.name, target_name = &*self.dispatch.name, attempt = self.dispatch.attempt;
            "answer broken off: {cause}"
        );
    }

    /// Judges the answer and delivers it.
    async fn take(
        &self,
        mut target: Connection,
        head: &Response,
        caller: &mut Connection,
        delivery: &mut Delivery,
    ) -> Outcome {
        let broken = Outcome::Broken {
            delivered: delivery.begun,
        };
        match self.node.protocol.classify_response(head, self.name) {
            Verdict::Served if self.dispatch.stream => {
                self.relay(target, head, caller, delivery).await
            }
            Verdict::Served => {
                let body = tokio::select! {
                    body = target.read_body(head.body, MAX_ANSWER, self.dispatch.time_left) => body,
                    () = caller.closed() => return Outcome::CallerGone,
                };
                let Ok(body) = body else {
                    self.log_broken("incomplete body");
                    return broken;
                };
                self.node.apply(Event::Started(self.id));
                self.keep(target, head);
                match delivery.whole(caller, head, &body).await {
                    Ok(()) => Outcome::Served,
                    Err(_) => Outcome::CallerGone,
                }
            }
            Verdict::Error => match target.read_body(head.body, MAX_ANSWER, REST).await {
                Ok(body) => {
                    delivery.failure = Some((head.clone(), body));
                    self.keep(target, head);
                    Outcome::Error
                }
                Err(_) => broken,
            },
            Verdict::Full => {
                self.discard(target, head).await;
                Outcome::Full
            }
            Verdict::WrongTarget => Outcome::WrongTarget,
            Verdict::Invalid => {
                self.log_broken("the answer belongs to another request");
                broken
            }
        }
    }

    /// Reads the rest of an answer that is not used, so that its connection can be.
    async fn discard(&self, mut target: Connection, head: &Response) {
        if target.read_body(head.body, MAX_ANSWER, REST).await.is_ok() {
            self.keep(target, head);
        }
    }

    /// Keeps a connection whose answer has come to its end.
    fn keep(&self, target: Connection, head: &Response) {
        if head.closes || !target.input.is_empty() {
            return;
        }
        let mut pool = self.node.pool.borrow_mut();
        pool.put(&self.dispatch.name, target, keep_alive(head));
    }

    /// Forwards events as they arrive.
    async fn relay(
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
                if delivery.events(caller, head, &events).await.is_err() {
                    return Outcome::CallerGone;
                }
            }
            if body.is_done() {
                return self.end(target, head, &decoded, caller, delivery).await;
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
                    self.log_broken("end of the connection");
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
            delivered: delivery.begun,
        }
    }

    /// Ends a stream whose body has come to its end.
    async fn end(
        &self,
        target: Connection,
        head: &Response,
        rest: &[u8],
        caller: &mut Connection,
        delivery: &mut Delivery,
    ) -> Outcome {
        if !rest.is_empty() {
            self.log_broken("end inside an event");
            return Outcome::Broken {
                delivered: delivery.begun,
            };
        }
        self.keep(target, head);
        match delivery.finish(caller, head).await {
            Ok(()) => Outcome::Served,
            Err(_) => Outcome::CallerGone,
        }
    }
}

/// Returns how long the target keeps the connection open; none if it does not say.
fn keep_alive(head: &Response) -> Option<Duration> {
    let value = head.headers.get("keep-alive")?;
    let mut parts = value.split(',').map(str::trim);
    let seconds = parts.find_map(|part| part.strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}
