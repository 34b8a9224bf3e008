//! HTTP/1.1 messages on a connection.
//!
//! Heads are parsed by `httparse`. Messages with ambiguous framing are rejected to prevent request
//! smuggling. [`Body`] decodes bodies incrementally and tells whether a body is complete.

use std::cell::RefCell;
use std::io::{self, IoSlice};
use std::ops::RangeInclusive;
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use memchr::memmem;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::account::{Client, Exhausted, Share, Stage};

/// Maximum number of headers in a response. A request may have any number within its limit of bytes.
const MAX_RESPONSE_HEADERS: usize = 100;

/// Number of headers of a request that are parsed without an allocation.
const FEW_HEADERS: usize = 100;

/// Maximum size of a response head, bytes.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 * 1024;

/// Maximum length of a chunk-size line with extensions, or of a trailer line, bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Status codes of HTTP.
const STATUS_CODES: RangeInclusive<u16> = 100..=599;

/// Status code of a response after which another protocol is spoken.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Most bytes that are read at once.
const READ_BYTES: usize = 32 * 1024;

/// Smallest capacity of the buffer of a body that does not fit into what was already received, bytes.
const MIN_BODY_BUFFER_BYTES: usize = 4 * 1024;

/// Most bytes that the kernel holds for a peer that does not read, about twice the send buffer of [`crate::net`].
const SEND_BUFFER_BYTES: usize = 128 * 1024;

/// Maximum number of pipelined bytes read while a request is being served.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;

/// Maximum number of trailer lines after a chunked body.
const MAX_TRAILER_LINES: u16 = 32;

/// Maximum number of interim (1xx) responses before the final one.
const MAX_INTERIM_RESPONSES: usize = 8;

/// Time without progress of a write after which the connection counts as failed. A peer that reads
/// slowly makes progress; a peer that never reads would otherwise hold its response in memory for good.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Length of an incomplete head up to which it is parsed after every read, bytes.
const FIRST_PARSE_BYTES: usize = 64;

/// Place of a header field in the text of its head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Field {
    name: u32,
    value: u32,
    value_length: u32,
    name_length: u32,
}

/// Header fields of a message, in order of arrival. A field costs 16 bytes beside its text, since a head may consist
/// of very many short ones.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers {
    text: Bytes,
    fields: Vec<Field>,
}

impl Headers {
    /// Copies the fields that were parsed from `text`.
    fn parse(text: &[u8], parsed: &[httparse::Header<'_>]) -> Self {
        let place = |part: &[u8]| (part.as_ptr().addr() - text.as_ptr().addr()) as u32;
        let field = |header: &httparse::Header<'_>| Field {
            name: place(header.name.as_bytes()),
            name_length: header.name.len() as u32,
            // The parser may take an empty value from elsewhere.
            value: if header.value.is_empty() {
                0
            } else {
                place(header.value)
            },
            value_length: header.value.len() as u32,
        };
        Self {
            text: Bytes::copy_from_slice(text),
            fields: parsed.iter().map(field).collect(),
        }
    }

    /// Returns the names, in the case in which they were received, and the values, which are not necessarily UTF-8.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.fields.iter().map(|field| {
            let name = &self.text[field.name as usize..][..field.name_length as usize];
            let value = &self.text[field.value as usize..][..field.value_length as usize];
            // The parser accepts names of ASCII characters only.
            (std::str::from_utf8(name).unwrap_or_default(), value)
        })
    }

    /// Returns the memory that the fields take, bytes.
    pub fn memory_bytes(&self) -> usize {
        self.text.len() + self.fields.capacity() * size_of::<Field>()
    }

    /// Returns all values of a header. Names are compared without regard to case.
    pub fn all<'h, 'n>(&'h self, name: &'n str) -> impl Iterator<Item = &'h [u8]> + use<'h, 'n> {
        let named = self
            .iter()
            .filter(move |(other, _)| other.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value)
    }

    /// Returns the first value of a header, trimmed; `None` if it is absent or not UTF-8.
    pub fn get(&self, name: &str) -> Option<&str> {
        let value = self.all(name).next()?;
        std::str::from_utf8(value).ok().map(str::trim)
    }

    /// Returns whether the comma-separated values of a header contain a token, without regard to case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        let mut values = self
            .all(name)
            .filter_map(|value| std::str::from_utf8(value).ok());
        values.any(|value| {
            value
                .split(',')
                .any(|part| part.trim().eq_ignore_ascii_case(token))
        })
    }

    /// Returns whether the sender closes the connection after the message. `minor_version` is that of
    /// HTTP/1.
    pub fn closes(&self, minor_version: u8) -> bool {
        self.has_token("connection", "close")
            || minor_version == 0 && !self.has_token("connection", "keep-alive")
    }

    /// Returns the value of `Content-Length`. Fails if it is malformed or if several values differ.
    fn content_length(&self) -> Result<Option<u64>, Malformed> {
        let mut length = None;
        for value in self.all("content-length") {
            let text = std::str::from_utf8(value).map_err(|_error| Malformed("content-length"))?;
            let digits = text.trim();
            let valid = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit());
            let Some(value) = digits.parse::<u64>().ok().filter(|_| valid) else {
                return Err(Malformed("content-length"));
            };
            if length.is_some_and(|known| known != value) {
                return Err(Malformed("two lengths"));
            }
            length = Some(value);
        }
        Ok(length)
    }

    /// Returns whether the transfer encoding is `chunked`. Fails for any other encoding.
    fn is_chunked(&self) -> Result<bool, Malformed> {
        let mut codings = self.all("transfer-encoding");
        let Some(coding) = codings.next() else {
            return Ok(false);
        };
        let chunked = coding.trim_ascii().eq_ignore_ascii_case(b"chunked");
        if !chunked || codings.next().is_some() {
            return Err(Malformed("transfer-encoding"));
        }
        Ok(true)
    }
}

/// Head of a request, with the state of its body.
#[derive(Debug, Clone)]
pub struct Request {
    /// Method, as received.
    pub method: String,
    /// Request target: path with query.
    pub path: String,
    /// Header fields.
    pub headers: Headers,
    /// Whether the sender closes the connection after the response.
    pub closes: bool,
    /// Initial decoding state of the body.
    pub body: Body,
}

impl Request {
    /// Returns the memory that the head takes, bytes.
    pub fn memory_bytes(&self) -> usize {
        self.method.len() + self.path.len() + self.headers.memory_bytes()
    }
}

/// Head of a response, with the state of its body.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Header fields.
    pub headers: Headers,
    /// Whether the sender closes the connection after the response.
    pub closes: bool,
    /// Initial decoding state of the body.
    pub body: Body,
}

/// A message that is not valid HTTP or has ambiguous framing. The text names the malformed part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// Error from reading a message.
#[derive(Debug)]
pub enum Error {
    /// The connection failed, or was closed before the end of the message.
    Io(io::Error),
    /// The message is not valid HTTP.
    Malformed(Malformed),
    /// The head exceeds the limit of bytes or headers.
    HeadTooLong,
    /// The body exceeds the limit.
    BodyTooLong,
    /// The message did not arrive within the time limit.
    Slow,
    /// The process has no memory for the message.
    NoMemory,
    /// More interim responses than a target has reason to send.
    TooManyInterim,
}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<Malformed> for Error {
    fn from(error: Malformed) -> Self {
        Self::Malformed(error)
    }
}

impl From<Exhausted> for Error {
    fn from(Exhausted: Exhausted) -> Self {
        Self::NoMemory
    }
}

/// Framing and decoding state of a message body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Body {
    /// The body is complete.
    Done,
    /// `Content-Length` framing, with the remaining bytes.
    Length(u64),
    /// Chunked transfer encoding.
    Chunks(ChunkState),
    /// The body ends when the connection is closed.
    UntilClose,
}

/// Position in a chunked body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChunkState {
    /// Expects a chunk-size line.
    Size,
    /// Inside chunk data, with the remaining bytes.
    Data(u64),
    /// Expects the line end after chunk data.
    DataEnd,
    /// Expects trailer lines or the final empty line; holds the number of trailer lines so far.
    Trailer(u16),
}

impl Body {
    /// Moves the available body bytes from `input` to `output`, without the framing. Leaves bytes after
    /// the body in `input`.
    pub fn decode(&mut self, input: &mut BytesMut, output: &mut BytesMut) -> Result<(), Malformed> {
        loop {
            match self {
                Self::Done => return Ok(()),
                Self::UntilClose => {
                    output.extend_from_slice(input);
                    input.clear();
                    return Ok(());
                }
                Self::Length(0) => *self = Self::Done,
                Self::Length(left) => {
                    if input.is_empty() {
                        return Ok(());
                    }
                    let taken = (*left).min(input.len() as u64);
                    output.extend_from_slice(&input[..taken as usize]);
                    input.advance(taken as usize);
                    *left -= taken;
                }
                Self::Chunks(chunk) => {
                    let Some(next) = decode_chunk(*chunk, input, output)? else {
                        return Ok(());
                    };
                    *self = next;
                }
            }
        }
    }

    /// Returns whether the complete body has been decoded.
    pub fn is_done(self) -> bool {
        matches!(self, Self::Done | Self::Length(0))
    }
}

/// Advances the state by one step; returns `None` if more input is needed.
fn decode_chunk(
    chunk: ChunkState,
    input: &mut BytesMut,
    output: &mut BytesMut,
) -> Result<Option<Body>, Malformed> {
    let line = |input: &mut BytesMut| -> Result<Option<BytesMut>, Malformed> {
        match memmem::find(input, b"\r\n") {
            Some(end) if end <= MAX_CHUNK_LINE_BYTES => {
                let line = input.split_to(end);
                input.advance(2);
                Ok(Some(line))
            }
            None if input.len() <= MAX_CHUNK_LINE_BYTES => Ok(None),
            _ => Err(Malformed("chunk line")),
        }
    };
    Ok(Some(match chunk {
        ChunkState::Size => {
            let Some(line) = line(input)? else {
                return Ok(None);
            };
            let digits = line[..]
                .split(|byte| *byte == b';')
                .next()
                .unwrap_or_default();
            let text = std::str::from_utf8(digits).map_err(|_error| Malformed("chunk size"))?;
            let text = text.trim();
            let hex = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_hexdigit());
            let size = u64::from_str_radix(text, 16).ok().filter(|_| hex);
            match size {
                Some(0) => Body::Chunks(ChunkState::Trailer(0)),
                Some(size) => Body::Chunks(ChunkState::Data(size)),
                None => return Err(Malformed("chunk size")),
            }
        }
        ChunkState::Data(0) => Body::Chunks(ChunkState::DataEnd),
        ChunkState::Data(left) => {
            if input.is_empty() {
                return Ok(None);
            }
            let taken = left.min(input.len() as u64);
            output.extend_from_slice(&input[..taken as usize]);
            input.advance(taken as usize);
            Body::Chunks(ChunkState::Data(left - taken))
        }
        ChunkState::DataEnd => {
            if input.len() < 2 {
                return Ok(None);
            }
            if &input[..2] != b"\r\n" {
                return Err(Malformed("chunk end"));
            }
            input.advance(2);
            Body::Chunks(ChunkState::Size)
        }
        ChunkState::Trailer(lines) => match line(input)? {
            None => return Ok(None),
            Some(line) if line.is_empty() => Body::Done,
            Some(_) if lines >= MAX_TRAILER_LINES => return Err(Malformed("too many trailers")),
            Some(_) => Body::Chunks(ChunkState::Trailer(lines + 1)),
        },
    }))
}

/// Least progress of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// Time that a body may take at any rate.
    pub grace: Duration,
    /// Rate in bytes a second that extends this time.
    pub min_bytes_per_s: u64,
}

impl Pace {
    /// Returns the time within which this many bytes are late.
    fn time_for(self, bytes: usize) -> Duration {
        self.grace + Duration::from_secs_f64(bytes as f64 / self.min_bytes_per_s.max(1) as f64)
    }
}

thread_local! {
    /// Buffer for one read. What was read is copied into a buffer of the connection that fits, so that a connection
    /// on which little arrives does not hold the space of a whole read.
    static READ_BUFFER: RefCell<Box<[u8]>> = RefCell::new(vec![0; READ_BYTES].into());
}

/// A connection with its read buffer.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    /// Bytes received but not yet parsed.
    pub input: BytesMut,
    is_tunnel: bool,
    client: Option<Client>,
    /// Memory of `input`.
    input_share: Share,
    /// Bytes that the kernel may hold because the peer has not read them.
    unread_share: Share,
}

impl Connection {
    /// Wraps a stream, with an empty buffer and without an account.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            input: BytesMut::new(),
            is_tunnel: false,
            client: None,
            input_share: Share::uncounted(),
            unread_share: Share::uncounted(),
        }
    }

    /// Wraps a stream that is charged to an account.
    pub fn with_client(stream: TcpStream, client: Client) -> Self {
        Self {
            input_share: client.share(),
            unread_share: client.share(),
            client: Some(client),
            ..Self::new(stream)
        }
    }

    /// Marks a stream that another entry VM forwards. Its end does not show that the target has closed the
    /// connection, since that VM may have ended.
    #[must_use]
    pub fn through_tunnel(self) -> Self {
        Self {
            is_tunnel: true,
            ..self
        }
    }

    /// Returns whether another entry VM forwards the stream.
    pub fn is_tunnel(&self) -> bool {
        self.is_tunnel
    }

    /// Returns an empty share, charged to the connection.
    pub fn share(&self) -> Share {
        self.client
            .as_ref()
            .map_or_else(Share::uncounted, Client::share)
    }

    /// Tells the account what the connection is doing.
    pub fn set_stage(&self, stage: Stage) {
        if let Some(client) = &self.client {
            client.set_stage(stage);
        }
    }

    /// Returns whether the account has closed the connection.
    pub fn is_evicted(&self) -> bool {
        self.client.as_ref().is_some_and(Client::is_evicted)
    }

    /// Reads more bytes into the buffer; returns zero at the end of the stream.
    pub async fn fill(&mut self) -> io::Result<usize> {
        if self.input.is_empty() && self.input.capacity() > 0 {
            self.input = BytesMut::new();
            self.input_share.set(0);
        }
        let read = loop {
            self.stream.readable().await?;
            match self.try_read() {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => break read,
            }
        };
        self.input_share.set(self.input.capacity());
        let read = read?;
        if let Some(client) = &self.client {
            client.record_progress(read);
        }
        Ok(read)
    }

    /// Reads what is there.
    fn try_read(&mut self) -> io::Result<usize> {
        READ_BUFFER.with_borrow_mut(|buffer| {
            let read = self.stream.try_read(buffer)?;
            self.input.extend_from_slice(&buffer[..read]);
            Ok(read)
        })
    }

    /// Writes all bytes to the stream. Fails with [`io::ErrorKind::TimedOut`] if the peer accepts no bytes
    /// for `WRITE_STALL_TIMEOUT`.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_both(bytes, &[]).await
    }

    /// Writes a head and a body like [`Connection::write`], without copying them into one buffer.
    pub async fn write_both(&mut self, head: &[u8], body: &[u8]) -> io::Result<()> {
        let (mut head, mut body) = (head, body);
        while !head.is_empty() || !body.is_empty() {
            let parts = [IoSlice::new(head), IoSlice::new(body)];
            let written = timeout(WRITE_STALL_TIMEOUT, self.stream.write_vectored(&parts)).await;
            let written =
                written.map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
            if written == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            if let Some(client) = &self.client {
                client.record_progress(written);
                let unread = self.unread_share.bytes() + written;
                self.unread_share.set(unread.min(SEND_BUFFER_BYTES));
            }
            let of_head = written.min(head.len());
            head = &head[of_head..];
            body = &body[written - of_head..];
        }
        Ok(())
    }

    /// Shuts down the write side, so that written bytes are delivered before the connection is closed.
    pub async fn shutdown(&mut self) {
        // Fails if the peer has already closed the connection.
        drop(self.stream.shutdown().await);
    }

    /// Waits until the peer closes or resets the connection. Received bytes are buffered; once
    /// `MAX_PIPELINED_BYTES` are buffered, or bytes are buffered and memory is short, a close is no longer detected.
    pub async fn closed(&mut self) {
        loop {
            let buffered = self.input.len();
            let has_room = buffered == 0 || self.input_share.has_room(MAX_PIPELINED_BYTES);
            if buffered >= MAX_PIPELINED_BYTES || !has_room {
                std::future::pending::<()>().await;
            }
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    /// Returns whether the connection is open and has no unread bytes. Bytes found by the check are
    /// buffered.
    pub fn is_idle(&mut self) -> bool {
        let would_block = |error: &io::Error| error.kind() == io::ErrorKind::WouldBlock;
        self.input.is_empty() && matches!(self.try_read(), Err(error) if would_block(&error))
    }

    /// Waits until the first byte of a request is buffered. Returns whether there is one; there is none
    /// if the connection is closed or nothing arrives within `idle_timeout`.
    pub async fn wait_for_request(&mut self, idle_timeout: Duration) -> Result<bool, Error> {
        if self.input.is_empty() {
            self.set_stage(Stage::Idle);
            match timeout(idle_timeout, self.fill()).await {
                Ok(Ok(0)) | Err(_) => return Ok(false),
                Ok(read) => drop(read?),
            }
            // A peer that sends its next request after the answer to the last one has read that answer.
            self.unread_share.set(0);
        }
        self.set_stage(Stage::Reading);
        Ok(true)
    }

    /// Reads the head of a request. Returns `None` if the connection is closed or nothing arrives within
    /// `idle_timeout`; the head must be complete within `head_timeout` of its first byte.
    pub async fn read_request(
        &mut self,
        max_bytes: usize,
        idle_timeout: Duration,
        head_timeout: Duration,
    ) -> Result<Option<Request>, Error> {
        if !self.wait_for_request(idle_timeout).await? {
            return Ok(None);
        }
        let mut progress = HeadProgress::default();
        let head = async {
            loop {
                if progress.may_be_complete(&self.input)
                    && let Some(head) = parse_request(&mut self.input, max_bytes)?
                {
                    return Ok(Some(head));
                }
                if self.input.len() > max_bytes {
                    return Err(Error::HeadTooLong);
                }
                if self.fill().await? == 0 {
                    return Err(Error::Io(io::ErrorKind::UnexpectedEof.into()));
                }
            }
        };
        timeout(head_timeout, head)
            .await
            .unwrap_or(Err(Error::Slow))
    }

    /// Returns whether the buffer holds the whole body of a request.
    pub fn has_whole_body(&self, body: Body) -> bool {
        match body {
            Body::Done => true,
            Body::Length(length) => self.input.len() as u64 >= length,
            Body::Chunks(_) | Body::UntilClose => false,
        }
    }

    /// Reads a complete body into memory counted by `share`. `read_timeout` limits the wait for more bytes,
    /// not the total time.
    pub async fn read_body(
        &mut self,
        body: Body,
        max_bytes: usize,
        read_timeout: Duration,
        share: &mut Share,
    ) -> Result<Bytes, Error> {
        let read = self.receive_body(body, max_bytes, read_timeout, None, share);
        read.await
    }

    /// Reads a body like [`Connection::read_body`], which must also keep the pace. Fails with [`Error::NoMemory`]
    /// if there is no memory for it in time.
    pub async fn read_request_body(
        &mut self,
        body: Body,
        max_bytes: usize,
        read_timeout: Duration,
        pace: Pace,
        share: &mut Share,
    ) -> Result<Bytes, Error> {
        let read = self.receive_body(body, max_bytes, read_timeout, Some(pace), share);
        read.await
    }

    async fn receive_body(
        &mut self,
        mut body: Body,
        max_bytes: usize,
        read_timeout: Duration,
        pace: Option<Pace>,
        share: &mut Share,
    ) -> Result<Bytes, Error> {
        if matches!(body, Body::Length(length) if length > max_bytes as u64) {
            return Err(Error::BodyTooLong);
        }
        let started_at = Instant::now();
        let mut output = BytesMut::new();
        loop {
            let needed = output.len() + self.input.len().min(max_bytes);
            if needed > output.capacity() {
                // A body of the largest size needs no more. One that exceeds it fails below.
                let doubled = (output.capacity() * 2).min(max_bytes);
                let grown = needed.max(doubled).max(MIN_BODY_BUFFER_BYTES);
                let capacity = match body {
                    Body::Done => output.capacity(),
                    Body::Length(left) => grown.min(output.len() + left as usize),
                    Body::Chunks(_) | Body::UntilClose => grown,
                };
                match pace {
                    Some(_) => share.resize_within(capacity, share.memory_wait()).await?,
                    None => share.resize(capacity).await,
                }
                let mut larger = BytesMut::with_capacity(capacity);
                larger.extend_from_slice(&output);
                output = larger;
            }
            body.decode(&mut self.input, &mut output)?;
            if output.len() > max_bytes {
                return Err(Error::BodyTooLong);
            }
            if body.is_done() {
                return Ok(output.freeze());
            }
            if pace.is_some_and(|pace| started_at.elapsed() > pace.time_for(output.len())) {
                return Err(Error::Slow);
            }
            match timeout(read_timeout, self.fill()).await {
                Err(_) => return Err(Error::Slow),
                Ok(Ok(0)) if body == Body::UntilClose && !self.is_tunnel => {
                    return Ok(output.freeze());
                }
                Ok(Ok(0)) => return Err(Error::Io(io::ErrorKind::UnexpectedEof.into())),
                Ok(read) => drop(read?),
            }
        }
    }

    /// Receives the body of a request like [`Connection::read_request_body`], without keeping it.
    pub async fn discard_request_body(
        &mut self,
        mut body: Body,
        max_bytes: usize,
        read_timeout: Duration,
        pace: Pace,
    ) -> Result<(), Error> {
        if matches!(body, Body::Length(length) if length > max_bytes as u64) {
            return Err(Error::BodyTooLong);
        }
        let started_at = Instant::now();
        let mut output = BytesMut::new();
        let mut discarded = 0;
        loop {
            body.decode(&mut self.input, &mut output)?;
            discarded += output.len();
            output.clear();
            if discarded > max_bytes {
                return Err(Error::BodyTooLong);
            }
            if body.is_done() {
                return Ok(());
            }
            if started_at.elapsed() > pace.time_for(discarded) {
                return Err(Error::Slow);
            }
            match timeout(read_timeout, self.fill()).await {
                Err(_) => return Err(Error::Slow),
                Ok(Ok(0)) => return Err(Error::Io(io::ErrorKind::UnexpectedEof.into())),
                Ok(read) => drop(read?),
            }
        }
    }

    /// Reads a complete body that must end within `time_limit`, however steadily its bytes arrive.
    pub async fn read_body_within(
        &mut self,
        body: Body,
        max_bytes: usize,
        time_limit: Duration,
    ) -> Result<Bytes, Error> {
        let mut share = Share::uncounted();
        let read = self.read_body(body, max_bytes, time_limit, &mut share);
        timeout(time_limit, read).await.unwrap_or(Err(Error::Slow))
    }

    /// Reads the head of the final response to a request with this method. Skips at most
    /// `MAX_INTERIM_RESPONSES` interim responses.
    pub async fn read_response(&mut self, method: &str) -> Result<Response, Error> {
        let mut progress = HeadProgress::default();
        let mut interim = 0;
        loop {
            if progress.may_be_complete(&self.input)
                && let Some(head) = parse_response(&mut self.input, method)?
            {
                if head.status >= 200 {
                    return Ok(head);
                }
                interim += 1;
                if interim > MAX_INTERIM_RESPONSES {
                    return Err(Error::TooManyInterim);
                }
                progress = HeadProgress::default();
                continue;
            }
            if self.input.len() > MAX_RESPONSE_HEAD_BYTES {
                return Err(Error::HeadTooLong);
            }
            if self.fill().await? == 0 {
                return Err(Error::Io(io::ErrorKind::UnexpectedEof.into()));
            }
        }
    }
}

/// Decides when a head that arrives in pieces is parsed, so that a head of n bytes costs O(n) however it
/// is fragmented.
#[derive(Debug, Default)]
struct HeadProgress {
    /// Number of bytes that were searched for the end of the head.
    searched: usize,
    /// Length from which the head is parsed without its end. Finds malformed heads early.
    next_parse: usize,
}

impl HeadProgress {
    /// Returns whether the buffered bytes are worth parsing.
    fn may_be_complete(&mut self, input: &[u8]) -> bool {
        // The end may have been split: it is at most three bytes long.
        let from = self.searched.saturating_sub(2).min(input.len());
        self.searched = input.len();
        let unseen = &input[from..];
        let ended =
            memmem::find(unseen, b"\n\r\n").is_some() || memmem::find(unseen, b"\n\n").is_some();
        let parse = ended || input.len() >= self.next_parse;
        if parse {
            self.next_parse = (input.len() * 2).max(FIRST_PARSE_BYTES);
        }
        parse
    }
}

/// Parses and removes the head of a request; returns `None` if `input` holds only a part of it.
pub fn parse_request(input: &mut BytesMut, max_bytes: usize) -> Result<Option<Request>, Error> {
    let mut few = [httparse::EMPTY_HEADER; FEW_HEADERS];
    let mut many = Vec::new();
    let mut parsed = httparse::Request::new(&mut few);
    let mut status = parsed.parse(input);
    if status == Err(httparse::Error::TooManyHeaders) {
        // Each field has a line of its own, and a head of more bytes than the limit is rejected in any case.
        let text = &input[..input.len().min(max_bytes)];
        let lines = memchr::memchr_iter(b'\n', text).count();
        many.resize(lines, httparse::EMPTY_HEADER);
        parsed = httparse::Request::new(&mut many);
        status = parsed.parse(input);
    }
    let length = match status {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(Error::HeadTooLong),
        Err(_) => return Err(Malformed("head").into()),
    };
    if length > max_bytes {
        return Err(Error::HeadTooLong);
    }
    let headers = Headers::parse(&input[..length], parsed.headers);
    let minor = parsed.version.unwrap_or(1);
    let (chunked, body_length) = (headers.is_chunked()?, headers.content_length()?);
    if chunked && (body_length.is_some() || minor == 0) {
        return Err(Malformed("two ends of a body").into());
    }
    let head = Request {
        method: parsed.method.unwrap_or_default().to_owned(),
        path: parsed.path.unwrap_or_default().to_owned(),
        closes: headers.closes(minor),
        body: match body_length {
            _ if chunked => Body::Chunks(ChunkState::Size),
            Some(length) => Body::Length(length),
            None => Body::Done,
        },
        headers,
    };
    input.advance(length);
    Ok(Some(head))
}

/// Parses and removes the head of a response to a request with this method; returns `None` if `input` holds
/// only a part of it.
pub fn parse_response(input: &mut BytesMut, method: &str) -> Result<Option<Response>, Malformed> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_RESPONSE_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let length = match parsed.parse(input) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(Malformed("response head")),
    };
    let headers = Headers::parse(&input[..length], parsed.headers);
    let status = parsed.code.unwrap_or_default();
    // No request of ours asks for another protocol, and what follows such a head is not HTTP.
    if !STATUS_CODES.contains(&status) || status == SWITCHING_PROTOCOLS {
        return Err(Malformed("status code"));
    }
    let (chunked, body_length) = (headers.is_chunked()?, headers.content_length()?);
    if chunked && body_length.is_some() {
        return Err(Malformed("two ends of a body"));
    }
    let bodiless = status < 200 || status == 204 || status == 304 || method == "HEAD";
    let body = match body_length {
        _ if bodiless => Body::Done,
        _ if chunked => Body::Chunks(ChunkState::Size),
        Some(length) => Body::Length(length),
        None => Body::UntilClose,
    };
    let head = Response {
        status,
        closes: headers.closes(parsed.version.unwrap_or(1)) || body == Body::UntilClose,
        body,
        headers,
    };
    input.advance(length);
    Ok(Some(head))
}

/// Returns the reason phrase of a status code; `Status` if it is not listed.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

/// Encodes a response with a complete body. `headers` holds complete header lines.
pub fn encode_response(status: u16, headers: &str, body: &[u8], close: bool) -> Vec<u8> {
    let mut out = encode_response_head(status, headers, body.len(), close);
    out.extend_from_slice(body);
    out
}

/// Encodes the head of a response with a body of this length. `headers` holds complete header lines.
pub fn encode_response_head(status: u16, headers: &str, length: usize, close: bool) -> Vec<u8> {
    let connection = if close { "Connection: close\r\n" } else { "" };
    format!(
        "HTTP/1.1 {status} {}\r\n{headers}{connection}Content-Length: {length}\r\n\r\n",
        reason_phrase(status),
    )
    .into_bytes()
}
