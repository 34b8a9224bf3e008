//! HTTP/1.1 server whose connections can be aborted or made to hang, for fault injection.

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

/// Connections of one listener.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    next_number: AtomicU64,
    /// Connections with lower numbers hang.
    hung_below: AtomicU64,
    open: Mutex<Vec<JoinHandle<()>>>,
}

impl Connections {
    /// Stops all traffic on the connections that are open now, without closing them.
    pub(crate) fn hang_open(&self) {
        self.hung_below
            .store(self.next_number.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    /// Aborts all connections.
    pub(crate) fn abort_all(&self) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        for connection in open.drain(..) {
            connection.abort();
        }
    }
}

/// A connection whose reads and writes stay pending once it hangs.
#[derive(Debug)]
struct Connection {
    stream: TcpStream,
    number: u64,
    connections: Arc<Connections>,
}

impl Connection {
    fn hangs(&self) -> bool {
        self.number < self.connections.hung_below.load(Ordering::Relaxed)
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.hangs() {
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
        if self.hangs() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.hangs() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.hangs() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Binds an address. Retries for 1 s, since the port can stay busy for a moment after a simulated
/// crash.
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

/// Serves a listener until the returned task is aborted. Open connections outlive the task until
/// [`Connections::abort_all`].
pub(crate) fn serve<H, F>(
    listener: TcpListener,
    connections: Arc<Connections>,
    handler: H,
) -> JoinHandle<()>
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
                let response = handler(request);
                async move { Ok::<_, Infallible>(response.await) }
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
                number: connections.next_number.fetch_add(1, Ordering::SeqCst),
                connections: Arc::clone(&connections),
            };
            let dispatch = service.call((connection, Some(peer)));
            let task = actix_rt::spawn(async move {
                if let Err(error) = dispatch.await {
                    log::debug!("connection from {peer} ended: {error}");
                }
            });
            let mut open = connections
                .open
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            open.retain(|connection| !connection.is_finished());
            open.push(task);
        }
    })
}
