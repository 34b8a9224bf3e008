//! Events of a stream: splits complete events off the decoded bytes of a response.

use std::sync::Arc;

use bytes::BytesMut;
use memchr::memmem;

/// Complete events that arrived together.
#[derive(Debug)]
pub(super) struct Complete {
    /// The events with their separators.
    pub(super) bytes: BytesMut,
    /// Whether there is more than comments and empty lines.
    pub(super) is_progress: bool,
}

/// Decoded bytes of a stream that are not delivered yet.
#[derive(Debug, Default)]
pub(super) struct Events {
    undelivered: BytesMut,
    /// Number of bytes in which no end of an event was found.
    searched: usize,
}

impl Events {
    pub(super) fn new() -> Self {
        Self::default()
    }

    /// Returns the buffer to which decoded bytes are appended.
    pub(super) fn undelivered(&mut self) -> &mut BytesMut {
        &mut self.undelivered
    }

    /// Splits the complete events off the front; returns `None` if there is none.
    pub(super) fn split(&mut self) -> Option<Complete> {
        // The separator may have been split: it is at most four bytes long.
        let from = self.searched.saturating_sub(3).min(self.undelivered.len());
        self.searched = self.undelivered.len();
        let unseen = &self.undelivered[from..];
        let end = memmem::rfind(unseen, b"\n\n")
            .map(|at| at + 2)
            .max(memmem::rfind(unseen, b"\r\n\r\n").map(|at| at + 4))?;
        let bytes = self.undelivered.split_to(from + end);
        self.searched = self.undelivered.len();
        let is_progress = lines(&bytes).any(|line| !line.is_empty() && line[0] != b':');
        Some(Complete { bytes, is_progress })
    }
}

/// Returns the lines without their ends.
fn lines(events: &[u8]) -> impl DoubleEndedIterator<Item = &[u8]> {
    let lines = events.split(|byte| *byte == b'\n');
    lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

/// Returns whether each event with a number as its id comes after the one before, the first one after `last`. A target
/// that resumes a stream at the wrong place sends events a second time.
pub(super) fn are_in_order(last: Option<&str>, events: &[u8]) -> bool {
    let number = |id: &str| id.trim().parse::<u64>().ok();
    let mut last = last.and_then(number);
    let ids = lines(events).filter_map(|line| line.strip_prefix(b"id:"));
    ids.filter_map(|id| number(std::str::from_utf8(id).ok()?))
        .all(|id| last.replace(id).is_none_or(|last| id > last))
}

/// Returns the last event id in a sequence of events.
pub(super) fn last_event_id(events: &[u8]) -> Option<Arc<str>> {
    let id = lines(events)
        .filter_map(|line| line.strip_prefix(b"id:"))
        .next_back()?;
    let id = std::str::from_utf8(id).ok()?.trim();
    Some(id.into())
}
