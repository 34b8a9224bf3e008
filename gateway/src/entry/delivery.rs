//! The answer to one request, on its way to the caller.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use memchr::memmem;

use crate::http::{self, Connection, Response};
use crate::protocol::Protocol;

/// The answer to one request, on its way to the caller.
pub(super) struct Delivery {
    protocol: Arc<dyn Protocol>,
    /// Whether the connection to the caller ends after the answer.
    pub(super) close: bool,
    /// Whether a part of a stream was sent.
    pub(super) begun: bool,
    /// Id of the last event that was sent whole.
    pub(super) last_event: Option<Arc<str>>,
    /// When the first event was sent.
    pub(super) first_at: Option<Instant>,
    /// When the last events were sent.
    last_at: Option<Instant>,
    /// Longest pause between events.
    pub(super) longest_pause: Duration,
    /// Status that was sent.
    pub(super) status: u16,
    /// Failure that a target answered, in case no other target serves the request.
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
            begun: false,
            last_event: resumed_after,
            first_at: None,
            last_at: None,
            longest_pause: Duration::ZERO,
            status: 0,
            failure: None,
        }
    }

    fn head(&mut self, head: &Response, framing: &str) -> Vec<u8> {
        self.status = head.status;
        let mut out = format!(
            "HTTP/1.1 {} {}\r\n",
            head.status,
            http::reason_phrase(head.status)
        )
        .into_bytes();
        for header in &head.headers.0 {
            if self.protocol.returns_header(&header.name) {
                out.extend_from_slice(header.name.as_bytes());
                out.extend_from_slice(b": ");
                out.extend_from_slice(&header.value);
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

    /// Sends a whole answer.
    pub(super) async fn whole(
        &mut self,
        caller: &mut Connection,
        head: &Response,
        body: &[u8],
    ) -> std::io::Result<()> {
        let mut out = self.head(head, &format!("Content-Length: {}", body.len()));
        out.extend_from_slice(body);
        self.begun = true;
        self.first_at = Some(Instant::now());
        caller.write(&out).await
    }

    /// Sends whole events. The first ones come after the head.
    pub(super) async fn events(
        &mut self,
        caller: &mut Connection,
        head: &Response,
        events: &[u8],
    ) -> std::io::Result<()> {
        let mut out = Vec::new();
        if !self.begun {
            self.begun = true;
            self.first_at = Some(Instant::now());
            out = self.head(head, "Transfer-Encoding: chunked");
        }
        let now = Instant::now();
        if let Some(last) = self.last_at.replace(now) {
            self.longest_pause = self.longest_pause.max(now - last);
        }
        out.extend_from_slice(format!("{:x}\r\n", events.len()).as_bytes());
        out.extend_from_slice(events);
        out.extend_from_slice(b"\r\n");
        if let Some(id) = last_event_id(events) {
            self.last_event = Some(id);
        }
        caller.write(&out).await
    }

    /// Ends a stream as complete.
    pub(super) async fn finish(
        &mut self,
        caller: &mut Connection,
        head: &Response,
    ) -> std::io::Result<()> {
        let mut out = Vec::new();
        if !self.begun {
            self.begun = true;
            out = self.head(head, "Transfer-Encoding: chunked");
        }
        out.extend_from_slice(b"0\r\n\r\n");
        caller.write(&out).await
    }
}

/// Splits whole events off the front of what has arrived of a stream.
pub(super) fn split_events(decoded: &mut BytesMut) -> Option<BytesMut> {
    let end = memmem::rfind(decoded, b"\n\n")
        .map(|at| at + 2)
        .max(memmem::rfind(decoded, b"\r\n\r\n").map(|at| at + 4))?;
    Some(decoded.split_to(end))
}

/// Returns the id of the last event that has one.
fn last_event_id(events: &[u8]) -> Option<Arc<str>> {
    let lines = events.split(|byte| *byte == b'\n');
    let id = lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .next_back()?;
    let id = std::str::from_utf8(id).ok()?.trim();
    Some(id.into())
}
