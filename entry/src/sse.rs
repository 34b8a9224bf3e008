//! Server-sent events of a stream: order and owner of each event.

use bytes::{Bytes, BytesMut};
use memchr::memmem::Finder;
use memchr::{memchr, memmem};

/// Largest event, bytes. An event holds one token.
const EVENT_BYTES_MAX: usize = 1024 * 1024;

/// Why a stream cannot be passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// An event belongs to another attempt or is out of order.
    Crossed,
    /// The stream is not a stream of events with ids.
    Malformed,
}

/// Reads a stream of events piece by piece.
#[derive(Debug)]
pub(crate) struct Reader {
    owner: Owner,
    partial: BytesMut,
    last: Bytes,
    outcome: Option<Bytes>,
    next: u32,
    done: bool,
    end: Finder<'static>,
}

#[derive(Debug)]
enum Owner {
    /// An engine, which marks each event with the attempt id and an index.
    Attempt(String),
    /// An entry VM of another zone, which ends its stream with the outcome event.
    Entry,
}

/// What one piece of a stream holds.
#[derive(Debug, Default)]
pub(crate) struct Piece {
    /// Events for the caller, without ids.
    pub(crate) events: Bytes,
    /// Number of events with content.
    pub(crate) count: u32,
}

impl Reader {
    /// Creates a reader for an engine's stream that starts at an index.
    pub(crate) fn of_attempt(id: String, next: u32) -> Self {
        Self::new(Owner::Attempt(id), next)
    }

    /// Creates a reader for a stream from another zone's entry VM.
    pub(crate) fn of_entry() -> Self {
        Self::new(Owner::Entry, 0)
    }

    fn new(owner: Owner, next: u32) -> Self {
        Self {
            owner,
            partial: BytesMut::new(),
            last: Bytes::new(),
            outcome: None,
            next,
            done: false,
            end: Finder::new(b"\n\n"),
        }
    }

    /// Returns whether the end marker arrived.
    pub(crate) fn is_done(&self) -> bool {
        self.done
    }

    /// Returns the data of the last event before the end marker, which holds the usage.
    pub(crate) fn last(&self) -> &[u8] {
        &self.last
    }

    /// Returns the data of the outcome event of another zone's entry VM.
    pub(crate) fn outcome(&self) -> Option<&[u8]> {
        self.outcome.as_deref()
    }

    /// Reads a piece. Incomplete events wait for the next one.
    pub(crate) fn read(&mut self, bytes: Bytes) -> Result<Piece, Fault> {
        let mut bytes = if self.partial.is_empty() {
            bytes
        } else {
            self.partial.extend_from_slice(&bytes);
            self.partial.split().freeze()
        };
        let mut output = BytesMut::with_capacity(bytes.len());
        let mut count = 0;
        while let Some(end) = self.end.find(&bytes) {
            let event = bytes.split_to(end + 2);
            count += self.event(&event, &mut output)?;
        }
        if bytes.len() > EVENT_BYTES_MAX {
            return Err(Fault::Malformed);
        }
        self.partial.extend_from_slice(&bytes);
        Ok(Piece {
            events: output.freeze(),
            count,
        })
    }

    /// Checks one event and appends it without its id.
    fn event(&mut self, event: &Bytes, output: &mut BytesMut) -> Result<u32, Fault> {
        let mut id = None;
        let mut data: Option<Bytes> = None;
        let mut is_outcome = false;
        let start = output.len();
        let mut rest = 0;
        while let Some(length) = memchr(b'\n', &event[rest..]) {
            let line = &event[rest..rest + length];
            if let Some(value) = line.strip_prefix(b"id:") {
                id = Some(value.trim_ascii());
            } else if let Some(value) = line.strip_prefix(b"data:") {
                data.get_or_insert_with(|| event.slice_ref(value.trim_ascii()));
                output.extend_from_slice(&event[rest..=rest + length]);
            } else if let Some(value) = line.strip_prefix(b"event:") {
                is_outcome = value.trim_ascii() == b"primrosepin.outcome";
                output.extend_from_slice(&event[rest..=rest + length]);
            }
            // Comments keep a connection alive and are not passed on.
            rest += length + 1;
        }
        let Some(data) = data else {
            output.truncate(start);
            return Ok(0);
        };
        if self.done {
            return Err(Fault::Crossed);
        }
        match (&self.owner, id) {
            (Owner::Attempt(owner), Some(id)) => {
                let index = id
                    .strip_prefix(owner.as_bytes())
                    .and_then(|index| index.strip_prefix(b":"))
                    .and_then(|index| std::str::from_utf8(index).ok()?.parse::<u32>().ok());
                if index != Some(self.next) {
                    return Err(Fault::Crossed);
                }
            }
            (Owner::Attempt(_), None) if *data != *b"[DONE]" => return Err(Fault::Malformed),
            (Owner::Entry, _) if is_outcome => {
                self.outcome = Some(data);
                self.done = true;
                output.truncate(start);
                return Ok(0);
            }
            _ => {}
        }
        if *data == *b"[DONE]" {
            // The marker is passed on when the reducer declares the answer whole.
            self.done = matches!(self.owner, Owner::Attempt(_));
            output.truncate(start);
            return Ok(0);
        }
        self.next += 1;
        self.last = data;
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
    /// Reads the usage of a JSON answer or of the last event; zero where it is absent.
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
