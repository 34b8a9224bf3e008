//! HTTP/2 server connections without TLS (prior knowledge).
//!
//! The HTTP/2 dispatcher of `actix-http` keeps a request running after the caller has reset its
//! stream, and closes connections without GOAWAY. A caller that disconnects must free engine
//! memory, and a shutdown must tell callers which requests were accepted. Connections are therefore
//! driven directly by `h2`, the library underneath `actix-http`. Requests and responses use the
//! types of `actix-http`.

use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::error::PayloadError;
use actix_http::header::{CONNECTION, TRANSFER_ENCODING};
use actix_http::{HttpMessage, Method, Payload, Request, Response};
use actix_rt::time::{sleep, timeout};
use bytes::Bytes;
use futures_util::Stream;
use h2::server::{Builder, SendResponse};
use h2::{RecvStream, SendStream};
use http::header::CONTENT_LENGTH;
use http::{HeaderValue, Version};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::watch;

use crate::listen::{Connection, KEEP_ALIVE};
use crate::node::Phase;

/// Maximum number of concurrent requests on one connection.
const CONCURRENT_STREAMS_MAX: u32 = 256;

/// Largest accepted request head; `h2` rejects larger ones with status 431.
const HEAD_BYTES_MAX: u32 = 64 * 1024;

/// Flow control window of one stream.
const STREAM_WINDOW_BYTES: u32 = 1024 * 1024;

/// Flow control window of one connection, shared by its streams.
const CONNECTION_WINDOW_BYTES: u32 = 2 * 1024 * 1024;

/// Largest amount of response data passed to the connection at a time.
const WRITE_CHUNK_BYTES: usize = 16 * 1024;

/// Serves a connection until it closes.
pub(crate) async fn serve<I, H, F>(
    socket: I,
    state: Rc<Connection>,
    header_timeout: Duration,
    mut phase: watch::Receiver<Phase>,
    handler: H,
) -> Result<(), h2::Error>
where
    I: AsyncRead + AsyncWrite + Unpin,
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let handshake = Builder::new()
        .max_header_list_size(HEAD_BYTES_MAX)
        .max_concurrent_streams(CONCURRENT_STREAMS_MAX)
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .handshake::<_, Bytes>(socket);
    let Ok(connection) = timeout(header_timeout, handshake).await else {
        return Ok(());
    };
    let mut connection = connection?;
    let mut shutting_down = false;
    loop {
        let accepted = tokio::select! {
            accepted = connection.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == Phase::Closing), if !shutting_down => {
                // Sends GOAWAY with the last accepted stream; requests in progress finish.
                connection.graceful_shutdown();
                shutting_down = true;
                continue;
            }
            () = sleep(KEEP_ALIVE), if !shutting_down => {
                if state.is_idle() {
                    connection.graceful_shutdown();
                    shutting_down = true;
                }
                continue;
            }
        };
        let Some(accepted) = accepted else {
            return Ok(());
        };
        let (request, respond) = accepted?;
        actix_rt::spawn(serve_request(
            request,
            respond,
            Rc::clone(&state),
            handler.clone(),
        ));
    }
}

/// Serves one request. Returns early and drops the handler's future when the caller resets the
/// stream.
async fn serve_request<H, F>(
    request: http::Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    state: Rc<Connection>,
    handler: H,
) where
    H: Fn(Request) -> F,
    F: Future<Output = Response<BoxBody>>,
{
    let (parts, body) = request.into_parts();
    let is_head = parts.method == Method::HEAD;
    let mut request = Request::with_payload(Payload::Stream {
        payload: Box::pin(RequestBody(body)) as actix_http::BoxedPayloadStream,
    });
    let head = request.head_mut();
    head.method = parts.method;
    head.uri = parts.uri;
    head.version = parts.version;
    head.headers = parts.headers.into();
    request.extensions_mut().insert(state);
    let response = tokio::select! {
        response = handler(request) => response,
        _ = poll_fn(|context| respond.poll_reset(context)) => return,
    };
    let (response, body) = response.into_parts();
    let size = body.size();
    let is_empty = is_head || size.is_eof();
    let head = response_head(&response, size);
    // Fails only if the stream has already been reset.
    if let Ok(stream) = respond.send_response(head, is_empty)
        && !is_empty
    {
        send(body, stream).await;
    }
}

fn response_head(response: &Response<()>, size: BodySize) -> http::Response<()> {
    let mut head = http::Response::new(());
    *head.status_mut() = response.status();
    *head.version_mut() = Version::HTTP_2;
    let headers = head.headers_mut();
    for (name, value) in response.headers() {
        // Connection-specific headers of HTTP/1.1.
        if name != CONNECTION && name != TRANSFER_ENCODING && name != CONTENT_LENGTH {
            headers.append(name, value.clone());
        }
    }
    if let BodySize::Sized(length) = size {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    head
}

/// Sends a response body, subject to the caller's flow control window.
async fn send(body: BoxBody, mut stream: SendStream<Bytes>) {
    let mut body = pin!(body);
    loop {
        let chunk = tokio::select! {
            chunk = poll_fn(|context| body.as_mut().poll_next(context)) => chunk,
            _ = poll_fn(|context| stream.poll_reset(context)) => return,
        };
        match chunk {
            Some(Ok(mut chunk)) => {
                while !chunk.is_empty() {
                    stream.reserve_capacity(chunk.len().min(WRITE_CHUNK_BYTES));
                    let Some(Ok(capacity)) = poll_fn(|context| stream.poll_capacity(context)).await
                    else {
                        return;
                    };
                    let length = chunk.len().min(capacity);
                    if stream.send_data(chunk.split_to(length), false).is_err() {
                        return;
                    }
                }
            }
            Some(Err(_)) => {
                stream.send_reset(h2::Reason::INTERNAL_ERROR);
                return;
            }
            None => {
                // Fails only if the stream has already been reset.
                let _ = stream.send_data(Bytes::new(), true);
                return;
            }
        }
    }
}

/// Body of a request as a stream of chunks.
struct RequestBody(RecvStream);

impl Stream for RequestBody {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let chunk = match ready!(self.0.poll_data(cx)) {
            Some(Ok(bytes)) => self
                .0
                .flow_control()
                .release_capacity(bytes.len())
                .map(|()| bytes),
            Some(Err(error)) => Err(error),
            None => return Poll::Ready(None),
        };
        Poll::Ready(Some(chunk.map_err(PayloadError::Http2Payload)))
    }
}
