//! HTTP/1.1 listener whose connections can be closed or held silent.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{HttpService, KeepAlive, Request, Response};
use actix_service::{Service, ServiceFactory, fn_service};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Open connections of one listener.
#[derive(Debug, Default)]
pub(crate) struct Gate {
    next: AtomicU64,
    silent_below: AtomicU64,
    open: Mutex<Vec<JoinHandle<()>>>,
}

impl Gate {
    /// Holds all open connections silent for good.
    pub(crate) fn silence(&self) {
        self.silent_below
            .store(self.next.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    /// Closes all connections.
    pub(crate) fn close(&self) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        for connection in open.drain(..) {
            connection.abort();
        }
    }
}

/// A connection that stops moving bytes once its gate holds it silent.
#[derive(Debug)]
struct Connection {
    stream: TcpStream,
    number: u64,
    gate: Arc<Gate>,
}

impl Connection {
    fn silent(&self) -> bool {
        self.number < self.gate.silent_below.load(Ordering::Relaxed)
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Binds an address; retried, since the port of a process that just died can be busy.
pub(crate) async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let mut tries = 0;
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return Ok(listener),
            Err(error) if tries >= 50 => return Err(error),
            Err(_) => {
                tries += 1;
                actix_rt::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Serves a listener until the returned task is aborted. Connections live on in the gate.
pub(crate) fn serve<H, F>(listener: TcpListener, gate: Arc<Gate>, handler: H) -> JoinHandle<()>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    actix_rt::spawn(async move {
        let factory = HttpService::build()
            .keep_alive(KeepAlive::Os)
            .client_request_timeout(Duration::ZERO)
            .h1_allow_half_closed(false)
            .h1(fn_service(move |request: Request| {
                let answer = handler(request);
                async move { Ok::<_, Infallible>(answer.await) }
            }));
        let Ok(service) = factory.new_service(()).await else {
            log::error!("the HTTP service could not be built");
            return;
        };
        loop {
            let (stream, peer) = match listener.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    log::warn!("accept failed: {error}");
                    actix_rt::time::sleep(Duration::from_millis(10)).await;
                    continue;
                }
            };
            if let Err(error) = stream.set_nodelay(true) {
                log::debug!("TCP_NODELAY not set: {error}");
            }
            let connection = Connection {
                stream,
                number: gate.next.fetch_add(1, Ordering::SeqCst),
                gate: Arc::clone(&gate),
            };
            let dispatch = service.call((connection, Some(peer)));
            let task = actix_rt::spawn(async move {
                if let Err(error) = dispatch.await {
                    log::debug!("connection from {peer} ended: {error}");
                }
            });
            let mut open = gate.open.lock().unwrap_or_else(PoisonError::into_inner);
            open.retain(|connection| !connection.is_finished());
            open.push(task);
        }
    })
}
