//! Reader for server-sent event streams, which checks the attempt and order of each event.

use bytes::{Bytes, BytesMut};
use memchr::memmem::Finder;
use memchr::{memchr, memmem};

/// Largest accepted event. An event holds one token.
const EVENT_BYTES_MAX: usize = 1024 * 1024;

/// Reason why a stream cannot be relayed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StreamError {
    /// An event belongs to another attempt, is out of order or follows the end marker.
    UnexpectedEvent,
    /// The stream is not a sequence of events with ids.
    Malformed,
}

/// Incremental reader of an event stream.
#[derive(Debug)]
pub(crate) struct Reader {
    source: Source,
    partial: BytesMut,
    last_data: Bytes,
    outcome: Option<Bytes>,
    next_index: u32,
    done: bool,
    event_end: Finder<'static>,
}

#[derive(Debug)]
enum Source {
    /// An engine, which gives each event an id of the form `<attempt id>:<index>`.
    Attempt(String),
    /// An entry VM of another zone, which ends its stream with an outcome event.
    Entry,
}

/// Events that one chunk of a stream completed.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    /// Events for the caller, with their ids removed.
    pub(crate) events: Bytes,
    /// Number of events in `events`.
    pub(crate) count: u32,
}

impl Reader {
    /// Creates a reader for an engine's stream whose first event has the given index.
    pub(crate) fn for_attempt(id: String, next_index: u32) -> Self {
        Self::new(Source::Attempt(id), next_index)
    }

    /// Creates a reader for a stream from another zone's entry VM.
    pub(crate) fn for_entry() -> Self {
        Self::new(Source::Entry, 0)
    }

    fn new(source: Source, next_index: u32) -> Self {
        Self {
            source,
            partial: BytesMut::new(),
            last_data: Bytes::new(),
            outcome: None,
            next_index,
            done: false,
            event_end: Finder::new(b"\n\n"),
        }
    }

    /// Returns whether the end marker has arrived.
    pub(crate) fn is_done(&self) -> bool {
        self.done
    }

    /// Returns the data of the last event before the end marker, which holds the token usage.
    pub(crate) fn last_data(&self) -> &[u8] {
        &self.last_data
    }

    /// Returns the data of the outcome event of another zone's entry VM.
    pub(crate) fn outcome(&self) -> Option<&[u8]> {
        self.outcome.as_deref()
    }

    /// Reads a chunk. An incomplete event is kept until the next chunk.
    pub(crate) fn read(&mut self, bytes: Bytes) -> Result<Batch, StreamError> {
        let mut bytes = if self.partial.is_empty() {
            bytes
        } else {
            self.partial.extend_from_slice(&bytes);
            self.partial.split().freeze()
        };
        let mut output = BytesMut::with_capacity(bytes.len());
        let mut count = 0;
        while let Some(end) = self.event_end.find(&bytes) {
            let event = bytes.split_to(end + 2);
            count += self.read_event(&event, &mut output)?;
        }
        if bytes.len() > EVENT_BYTES_MAX {
            return Err(StreamError::Malformed);
        }
        self.partial.extend_from_slice(&bytes);
        Ok(Batch {
            events: output.freeze(),
            count,
        })
    }

    /// Validates one event and appends it to `output` without its id. Returns the number of events
    /// appended.
    fn read_event(&mut self, event: &Bytes, output: &mut BytesMut) -> Result<u32, StreamError> {
        let mut id = None;
        let mut data: Option<Bytes> = None;
        let mut is_outcome = false;
        let start = output.len();
        let mut offset = 0;
        while let Some(length) = memchr(b'\n', &event[offset..]) {
            let line = &event[offset..offset + length];
            if let Some(value) = line.strip_prefix(b"id:") {
                id = Some(value.trim_ascii());
            } else if let Some(value) = line.strip_prefix(b"data:") {
                data.get_or_insert_with(|| event.slice_ref(value.trim_ascii()));
                output.extend_from_slice(&event[offset..=offset + length]);
            } else if let Some(value) = line.strip_prefix(b"event:") {
                is_outcome = value.trim_ascii() == b"primrosepin.outcome";
                output.extend_from_slice(&event[offset..=offset + length]);
            }
            // Other lines, such as keep-alive comments, are not relayed.
            offset += length + 1;
        }
        let Some(data) = data else {
            output.truncate(start);
            return Ok(0);
        };
        if self.done {
            return Err(StreamError::UnexpectedEvent);
        }
        match (&self.source, id) {
            (Source::Attempt(attempt_id), Some(id)) => {
                let index = id
                    .strip_prefix(attempt_id.as_bytes())
                    .and_then(|index| index.strip_prefix(b":"))
                    .and_then(|index| std::str::from_utf8(index).ok()?.parse::<u32>().ok());
                if index != Some(self.next_index) {
                    return Err(StreamError::UnexpectedEvent);
                }
            }
            (Source::Attempt(_), None) if *data != *b"[DONE]" => {
                return Err(StreamError::Malformed);
            }
            (Source::Entry, _) if is_outcome => {
                self.outcome = Some(data);
                self.done = true;
                output.truncate(start);
                return Ok(0);
            }
            _ => {}
        }
        if *data == *b"[DONE]" {
            // The marker is sent to the caller once the reducer has decided that the response is
            // complete.
            self.done = matches!(self.source, Source::Attempt(_));
            output.truncate(start);
            return Ok(0);
        }
        self.next_index += 1;
        self.last_data = data;
        output.extend_from_slice(b"\n");
        Ok(1)
    }
}

/// Token counts that an engine reports.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Usage {
    /// Prompt tokens.
    pub(crate) prompt: u64,
    /// Prompt tokens found in the prefix cache.
    pub(crate) cached: u64,
    /// Generated tokens.
    pub(crate) generated: u64,
}

impl Usage {
    /// Reads the usage from a JSON response or from the last event; zero where it is absent.
    pub(crate) fn read(json: &[u8]) -> Self {
        #[derive(serde::Deserialize)]
        struct Answer {
            usage: Option<Counts>,
        }
        #[derive(serde::Deserialize)]
        struct Counts {
            #[serde(default)]
            prompt_tokens: u64,
            #[serde(default)]
            completion_tokens: u64,
            prompt_tokens_details: Option<Details>,
        }
        #[derive(serde::Deserialize)]
        struct Details {
            #[serde(default)]
            cached_tokens: u64,
        }
        if memmem::find(json, b"\"usage\"").is_none() {
            return Self::default();
        }
        let Ok(Answer { usage: Some(usage) }) = serde_json::from_slice(json) else {
            return Self::default();
        };
        Self {
            prompt: usage.prompt_tokens,
            cached: usage
                .prompt_tokens_details
                .map_or(0, |details| details.cached_tokens),
            generated: usage.completion_tokens,
        }
    }
}
