//! Channel that carries a response from an attempt to the caller's connection.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::task::{Context, Poll, Waker};

use bytes::{Bytes, BytesMut};
use primrosepin_core::ledger;
use primrosepin_core::request::Outcome;
use primrosepin_core::serving::effect::Refusal;

/// Queued bytes at which the attempt stops reading from its target until a slow caller has caught
/// up.
const HIGH_WATER_BYTES: usize = 64 * 1024;

/// Head of a response.
#[derive(Debug, Clone)]
pub(crate) struct Head {
    /// HTTP status.
    pub(crate) status: u16,
    /// Value of `content-type`.
    pub(crate) content_type: String,
    /// Further headers to forward.
    pub(crate) headers: Vec<(String, Vec<u8>)>,
}

/// How a response ends.
#[derive(Debug, Clone)]
pub(crate) enum Completion {
    /// The response is complete: its events are queued or delivered, or it is buffered in the call.
    Answered,
    /// The request ended without a complete response.
    Refused(Refusal),
    /// The response of an earlier run, recorded by the ledger.
    Replayed(Outcome, ledger::Response),
}

/// Item that the caller's connection reads from the channel.
#[derive(Debug)]
pub(crate) enum Item {
    /// Bytes of the response.
    Data(Bytes),
    /// End of the response.
    End(Completion),
}

/// Single-threaded queue with backpressure between the current attempt and the caller's connection.
#[derive(Debug, Default)]
pub(crate) struct Channel {
    inner: RefCell<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    head: Option<Head>,
    queue: VecDeque<Bytes>,
    queued_bytes: usize,
    end: Option<Completion>,
    reader_waker: Option<Waker>,
    writer_waker: Option<Waker>,
}

impl Inner {
    fn wake_reader(&mut self) {
        if let Some(waker) = self.reader_waker.take() {
            waker.wake();
        }
    }
}

impl Channel {
    /// Sets the head of a streamed response, which commits the status.
    pub(crate) fn start(&self, head: Head) {
        let mut inner = self.inner.borrow_mut();
        inner.head = Some(head);
        inner.wake_reader();
    }

    /// Queues bytes, even if the channel is full.
    pub(crate) fn push(&self, bytes: Bytes) {
        let mut inner = self.inner.borrow_mut();
        inner.queued_bytes += bytes.len();
        inner.queue.push_back(bytes);
        inner.wake_reader();
    }

    /// Returns whether so many bytes are queued that the attempt has to wait.
    pub(crate) fn is_full(&self) -> bool {
        self.inner.borrow().queued_bytes >= HIGH_WATER_BYTES
    }

    /// Waits until the channel is no longer full.
    pub(crate) async fn wait_writable(&self) {
        poll_fn(|context| {
            let mut inner = self.inner.borrow_mut();
            if inner.queued_bytes < HIGH_WATER_BYTES {
                return Poll::Ready(());
            }
            inner.writer_waker = Some(context.waker().clone());
            Poll::Pending
        })
        .await;
    }

    /// Ends the response. Only the first call has an effect.
    pub(crate) fn finish(&self, end: Completion) {
        let mut inner = self.inner.borrow_mut();
        if inner.end.is_none() {
            inner.end = Some(end);
        }
        inner.wake_reader();
    }

    /// Returns whether the response has ended.
    pub(crate) fn is_finished(&self) -> bool {
        self.inner.borrow().end.is_some()
    }

    /// Waits for the head of a stream or the end of the response, whichever comes first.
    pub(crate) async fn wait_started(&self) -> Result<Head, Completion> {
        poll_fn(|context| {
            let mut inner = self.inner.borrow_mut();
            if let Some(head) = inner.head.take() {
                return Poll::Ready(Ok(head));
            }
            if let Some(end) = inner.end.clone() {
                return Poll::Ready(Err(end));
            }
            inner.reader_waker = Some(context.waker().clone());
            Poll::Pending
        })
        .await
    }

    /// Polls for the next item. All queued bytes are returned together, so that a slow caller costs
    /// one write instead of one write per token.
    pub(crate) fn poll_next(&self, context: &mut Context<'_>) -> Poll<Item> {
        let mut inner = self.inner.borrow_mut();
        if let Some(first) = inner.queue.pop_front() {
            let bytes = if inner.queue.is_empty() {
                first
            } else {
                let mut all = BytesMut::with_capacity(inner.queued_bytes);
                all.extend_from_slice(&first);
                for next in inner.queue.drain(..) {
                    all.extend_from_slice(&next);
                }
                all.freeze()
            };
            inner.queued_bytes = 0;
            if let Some(waker) = inner.writer_waker.take() {
                waker.wake();
            }
            return Poll::Ready(Item::Data(bytes));
        }
        if let Some(end) = inner.end.clone() {
            return Poll::Ready(Item::End(end));
        }
        inner.reader_waker = Some(context.waker().clone());
        Poll::Pending
    }
}
