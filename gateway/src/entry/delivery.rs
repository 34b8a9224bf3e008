//! Delivery of a response to the caller.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;

use super::events::last_event_id;
use crate::http::{self, Connection, Response};
use crate::protocol::Protocol;

/// State of the response to one request, across attempts.
pub(super) struct Delivery {
    protocol: Arc<dyn Protocol>,
    /// Whether the connection to the caller is closed after the response.
    pub(super) close: bool,
    /// Whether sending of a target's response has begun; another response can then no longer be sent.
    pub(super) head_sent: bool,
    /// Id of the last event sent, or of the event after which the caller resumes; attempts resume after it.
    pub(super) last_event_id: Option<Arc<str>>,
    /// When the first events, or the complete response, were sent.
    pub(super) first_sent_at: Option<Instant>,
    /// When the last events were sent.
    last_sent_at: Option<Instant>,
    /// Longest time between two sends of events.
    pub(super) longest_pause: Duration,
    /// Status code sent to the caller; 0 before a head was sent.
    pub(super) status: u16,
    /// Error response of a target, sent to the caller if no other attempt succeeds.
    pub(super) failure: Option<(Response, Bytes)>,
}

impl Delivery {
    pub(super) fn new(
        protocol: Arc<dyn Protocol>,
        close: bool,
        resumed_after: Option<Arc<str>>,
    ) -> Self {
        Self {
            protocol,
            close,
            head_sent: false,
            last_event_id: resumed_after,
            first_sent_at: None,
            last_sent_at: None,
            longest_pause: Duration::ZERO,
            status: 0,
            failure: None,
        }
    }

    /// Encodes a response head with the given framing header, and records its status.
    fn encode_head(&mut self, head: &Response, framing: &str) -> Vec<u8> {
        self.status = head.status;
        let mut out = format!(
            "HTTP/1.1 {} {}\r\n",
            head.status,
            http::reason_phrase(head.status)
        )
        .into_bytes();
        for (name, value) in head.headers.iter() {
            if self.protocol.returns_header(name) {
                out.extend_from_slice(name.as_bytes());
                out.extend_from_slice(b": ");
                out.extend_from_slice(value);
                out.extend_from_slice(b"\r\n");
            }
        }
        if self.close {
            out.extend_from_slice(b"Connection: close\r\n");
        }
        out.extend_from_slice(framing.as_bytes());
        out.extend_from_slice(b"\r\n\r\n");
        out
    }

    /// Sends a complete response.
    pub(super) async fn send_response(
        &mut self,
        caller: &mut Connection,
        head: &Response,
        body: &[u8],
    ) -> std::io::Result<()> {
        let out = self.encode_head(head, &format!("Content-Length: {}", body.len()));
        self.head_sent = true;
        self.first_sent_at = Some(Instant::now());
        caller.write_both(&out, body).await
    }

    /// Sends complete events as one chunk, preceded by the head if it was not sent yet.
    pub(super) async fn send_events(
        &mut self,
        caller: &mut Connection,
        head: &Response,
        events: &[u8],
    ) -> std::io::Result<()> {
        let mut out = Vec::new();
        if !self.head_sent {
            self.head_sent = true;
            self.first_sent_at = Some(Instant::now());
            out = self.encode_head(head, "Transfer-Encoding: chunked");
        }
        let now = Instant::now();
        if let Some(last) = self.last_sent_at.replace(now) {
            self.longest_pause = self.longest_pause.max(now - last);
        }
        out.extend_from_slice(format!("{:x}\r\n", events.len()).as_bytes());
        out.extend_from_slice(events);
        out.extend_from_slice(b"\r\n");
        if let Some(id) = last_event_id(events) {
            self.last_event_id = Some(id);
        }
        caller.write(&out).await
    }

    /// Sends the last chunk, which marks the stream as complete.
    pub(super) async fn finish_stream(
        &mut self,
        caller: &mut Connection,
        head: &Response,
    ) -> std::io::Result<()> {
        let mut out = Vec::new();
        if !self.head_sent {
            self.head_sent = true;
            out = self.encode_head(head, "Transfer-Encoding: chunked");
        }
        out.extend_from_slice(b"0\r\n\r\n");
        caller.write(&out).await
    }
}
