//! HTTP listeners and connections for callers, targets and operators.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::{HttpMessage, HttpService, KeepAlive, Request, Response};
use actix_rt::net::{TcpListener, TcpStream};
use actix_rt::time::sleep;
use actix_service::{Service, ServiceFactory, fn_service};
use eyre::eyre;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::http2;
use crate::node::{Node, Phase};

/// Idle time after which a caller's connection is closed.
pub(crate) const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// Time limit for reading and discarding the rest of a rejected body, so that the caller sees the
/// response instead of a connection reset.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay after a failed accept, for example when no file descriptors are free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Interval at which slow connections are detected.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// First bytes of an HTTP/2 connection preface.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2";

/// Response to a request head that does not arrive in time. It is written directly to the socket,
/// since the HTTP library has no request to respond to yet.
const HEADER_TIMEOUT_RESPONSE: &str = "HTTP/1.1 408 Request Timeout\r\nconnection: close\r\n\
    content-type: application/json\r\nx-primrosepin-outcome: not_run\r\ncontent-length: 107\r\n\r\n\
    {\"error\":{\"code\":\"header_timeout\",\"message\":\"the request head did not arrive in time\",\
    \"outcome\":\"not_run\"}}";

/// State of one connection, shared with its requests and its socket.
#[derive(Debug, Default)]
pub(crate) struct Connection {
    /// Number of requests being served.
    active: Cell<u32>,
    /// Arrival of the first byte of an incomplete request head.
    head_since: Cell<Option<Instant>>,
    /// Start of the write that is blocked because the caller does not read.
    blocked_since: Cell<Option<Instant>>,
    /// Reason why the connection is closed.
    expired: Cell<Option<&'static str>>,
    wakers: RefCell<Vec<Waker>>,
}

impl Connection {
    /// Counts a request on this connection until the guard is dropped.
    pub(crate) fn enter(self: &Rc<Self>) -> ActiveRequest {
        self.active.set(self.active.get() + 1);
        self.head_since.set(None);
        ActiveRequest(Rc::clone(self))
    }

    /// Returns the connection that a request arrived on.
    pub(crate) fn of(request: &Request) -> Option<Rc<Self>> {
        let own = request.conn_data::<Rc<Self>>().cloned();
        own.or_else(|| request.extensions().get::<Rc<Self>>().cloned())
    }

    /// Returns whether no request is being served.
    pub(crate) fn is_idle(&self) -> bool {
        self.active.get() == 0
    }

    fn register_waker(&self, context: &Context<'_>) {
        let mut wakers = self.wakers.borrow_mut();
        if !wakers.iter().any(|waker| waker.will_wake(context.waker())) {
            wakers.push(context.waker().clone());
        }
    }

    fn wake(&self) {
        for waker in self.wakers.borrow_mut().drain(..) {
            waker.wake();
        }
    }

    /// Marks the connection as expired if its caller is too slow. Returns the reason the first
    /// time.
    fn expire_if_slow(
        &self,
        now: Instant,
        head: Duration,
        write: Duration,
    ) -> Option<&'static str> {
        let exceeded = |since: &Cell<Option<Instant>>, limit| {
            since.get().is_some_and(|since| now - since > limit)
        };
        if self.expired.get().is_some() {
            return None;
        }
        let reason = if exceeded(&self.head_since, head) {
            "header_timeout"
        } else if exceeded(&self.blocked_since, write) {
            "write_timeout"
        } else {
            return None;
        };
        self.expired.set(Some(reason));
        self.wake();
        Some(reason)
    }
}

/// Guard that counts a request as being served on its connection.
#[derive(Debug)]
pub(crate) struct ActiveRequest(Rc<Connection>);

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get() - 1);
    }
}

/// A caller's socket that tracks slow request heads and blocked writes.
#[derive(Debug)]
struct Socket {
    stream: TcpStream,
    state: Rc<Connection>,
    http2: bool,
}

impl Socket {
    fn check_expired(&self, context: &Context<'_>) -> io::Result<()> {
        if let Some(reason) = self.state.expired.get() {
            if reason == "header_timeout" {
                // Best effort: the response is lost if the socket buffer is full.
                let _ = self.stream.try_write(HEADER_TIMEOUT_RESPONSE.as_bytes());
            }
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.state.register_waker(context);
        Ok(())
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check_expired(cx)?;
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        // Not tracked for HTTP/2, which interleaves heads with pings and window updates; `h2`
        // bounds its heads.
        let state = &self.state;
        if !self.http2
            && buf.filled().len() > before
            && state.active.get() == 0
            && state.head_since.get().is_none()
        {
            state.head_since.set(Some(Instant::now()));
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
        self.check_expired(cx)?;
        let poll = Pin::new(&mut self.stream).poll_write(cx, buf);
        let blocked = &self.state.blocked_since;
        if poll.is_ready() {
            blocked.set(None);
        } else if blocked.get().is_none() {
            blocked.set(Some(Instant::now()));
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

/// Accepts connections until the phase is [`Phase::Closing`], then closes idle connections and
/// waits until the requests on the others have been answered.
pub(crate) async fn serve<H, F>(
    listener: TcpListener,
    node: Rc<Node>,
    handler: H,
) -> eyre::Result<()>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let limits = *node.limits();
    let mut phase = node.phase.clone();
    let shutdown_phase = phase.clone();
    let http1_handler = handler.clone();
    let service = HttpService::build()
        .keep_alive(KeepAlive::Timeout(KEEP_ALIVE))
        // Disabled: `sweep` limits the time of every request head, not only the first of a
        // connection.
        .client_request_timeout(Duration::ZERO)
        .client_disconnect_timeout(LINGER_TIMEOUT)
        // A caller that closes its sending side no longer waits for the response.
        .h1_allow_half_closed(false)
        .graceful_shutdown_signal(move || {
            let mut phase = shutdown_phase.clone();
            async move {
                // Fails only when the process exits, which closes the connection as well.
                let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
            }
        })
        .on_connect_ext(|socket: &Socket, extensions| {
            extensions.insert(Rc::clone(&socket.state));
        })
        .h1(fn_service(move |request: Request| {
            let answer = http1_handler(request);
            async move { Ok::<_, Infallible>(answer.await) }
        }));
    let service = Rc::new(
        service
            .new_service(())
            .await
            .map_err(|()| eyre!("cannot create the HTTP/1.1 service"))?,
    );
    let connections: Rc<RefCell<Vec<Rc<Connection>>>> = Rc::default();
    let sweep = actix_rt::spawn(sweep(Rc::clone(&connections), node));
    let (open_guard, mut all_closed) = tokio::sync::mpsc::channel::<()>(1);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == Phase::Closing) => break,
        };
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if connections.borrow().len() >= limits.connections {
            // Closing immediately is cheaper than sending a response, and the load balancer tries
            // another VM.
            drop(stream);
            continue;
        }
        let state = Rc::new(Connection::default());
        connections.borrow_mut().push(Rc::clone(&state));
        let service = Rc::clone(&service);
        let connections = Rc::clone(&connections);
        let open_guard = open_guard.clone();
        let mut closing = phase.clone();
        let handler = handler.clone();
        let header_timeout = Duration::from_millis(limits.header_timeout_ms);
        actix_rt::spawn(async move {
            // Fails only if the socket is already closed.
            let _ = stream.set_nodelay(true);
            let mut prefix = [0; HTTP2_PREFACE.len()];
            let has_data = tokio::select! {
                peeked = stream.peek(&mut prefix) => peeked.is_ok_and(|length| length > 0),
                () = sleep(header_timeout) => false,
                _ = closing.wait_for(|phase| *phase == Phase::Closing) => false,
            };
            if has_data {
                let http2 = prefix == HTTP2_PREFACE;
                let socket = Socket {
                    stream,
                    state: Rc::clone(&state),
                    http2,
                };
                let result = if http2 {
                    let state = Rc::clone(&state);
                    http2::serve(socket, state, header_timeout, closing, handler)
                        .await
                        .map_err(|error| error.to_string())
                } else {
                    let served = service.call((socket, Some(peer))).await;
                    served.map_err(|error| error.to_string())
                };
                if let Err(error) = result {
                    log::debug!("connection from {peer} ended with an error: {error}");
                }
            }
            connections
                .borrow_mut()
                .retain(|other| !Rc::ptr_eq(other, &state));
            drop(open_guard);
        });
    }
    drop(listener);
    drop(open_guard);
    // Returns `None` once every connection task has dropped its sender.
    let _ = all_closed.recv().await;
    sweep.abort();
    Ok(())
}

/// Expires connections whose callers send a request head or read a response too slowly.
async fn sweep(connections: Rc<RefCell<Vec<Rc<Connection>>>>, node: Rc<Node>) {
    let limits = node.limits();
    let head = Duration::from_millis(limits.header_timeout_ms);
    let write = Duration::from_millis(limits.body_timeout_ms);
    loop {
        sleep(SWEEP_INTERVAL).await;
        let now = Instant::now();
        for connection in connections.borrow().iter() {
            if let Some(code) = connection.expire_if_slow(now, head, write) {
                node.metrics.rejected(code);
            }
        }
    }
}
