//! HTTP/1.1 messages on a connection.
//!
//! Heads are parsed by `httparse`. A request with an ambiguous end is refused, so that no part of it can be
//! taken for another request. A body is decoded incrementally by [`Body`], which also tells whether
//! it came to its proper end.

use std::io;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use memchr::memmem;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Headers of one head.
const MAX_HEADERS: usize = 100;

/// Longest head of a target's answer, bytes.
const MAX_RESPONSE_HEAD: usize = 64 * 1024;

/// Longest line with the length of a chunk, extensions included, bytes.
const MAX_CHUNK_LINE: usize = 256;

/// Room that one read offers, bytes.
const READ_BYTES: usize = 16 * 1024;

/// Bytes of further requests that are read while one is served.
const MAX_AHEAD: usize = 64 * 1024;

/// A header.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Name as it was sent.
    pub name: String,
    /// Value.
    pub value: Bytes,
}

/// Headers of a head.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<Header>);

impl Headers {
    fn parse(parsed: &[httparse::Header<'_>]) -> Self {
        let header = |header: &httparse::Header<'_>| Header {
            name: header.name.to_owned(),
            value: Bytes::copy_from_slice(header.value),
        };
        Self(parsed.iter().map(header).collect())
    }

    /// Returns the values of a header.
    pub fn all<'h, 'n>(&'h self, name: &'n str) -> impl Iterator<Item = &'h Bytes> + use<'h, 'n> {
        let named = self
            .0
            .iter()
            .filter(move |h| h.name.eq_ignore_ascii_case(name));
        named.map(|header| &header.value)
    }

    /// Returns the first value of a header as text.
    pub fn get(&self, name: &str) -> Option<&str> {
        let value = self.all(name).next()?;
        std::str::from_utf8(value).ok().map(str::trim)
    }

    /// Returns whether a header holds a word in a list with commas.
    pub fn has_token(&self, name: &str, word: &str) -> bool {
        let mut values = self
            .all(name)
            .filter_map(|value| std::str::from_utf8(value).ok());
        values.any(|value| {
            value
                .split(',')
                .any(|part| part.trim().eq_ignore_ascii_case(word))
        })
    }

    /// Returns whether the sender closes the connection after the message.
    pub fn closes(&self, minor_version: u8) -> bool {
        self.has_token("connection", "close")
            || minor_version == 0 && !self.has_token("connection", "keep-alive")
    }

    /// Returns the length that the headers give, or an error if they are ambiguous.
    fn length(&self) -> Result<Option<u64>, Malformed> {
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

    /// Returns whether the body comes in chunks, or an error for another coding.
    fn chunked(&self) -> Result<bool, Malformed> {
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

/// Head of a request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Headers.
    pub headers: Headers,
    /// Whether the connection ends after the answer.
    pub closes: bool,
    /// End of the body.
    pub body: Body,
}

/// Head of an answer.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: Headers,
    /// Whether the connection ends after the answer.
    pub closes: bool,
    /// End of the body.
    pub body: Body,
}

/// A message that is not HTTP, or whose end is ambiguous.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// Why no message could be read.
#[derive(Debug)]
pub enum Error {
    /// The connection failed or ended inside a message.
    Io(io::Error),
    /// The message is malformed.
    Malformed(Malformed),
    /// The head is too long.
    HeadTooLong,
    /// The body is too long.
    BodyTooLong,
    /// The sender is too slow.
    Slow,
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

/// How a body ends, and how much of it is still to come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Body {
    /// It has come to its end.
    Done,
    /// Bytes to come.
    Length(u64),
    /// Chunks.
    Chunks(ChunkState),
    /// It ends with the connection.
    UntilClose,
}

/// Position in a body of chunks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChunkState {
    /// Before the line with a length.
    Size,
    /// Inside a chunk, with the bytes to come.
    Data(u64),
    /// Before the end of line after a chunk.
    DataEnd,
    /// Before the lines after the last chunk.
    Trailer,
}

impl Body {
    /// Moves what has arrived of the body from `input` to `output`.
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
                    output.extend_from_slice(&input.split_to(taken as usize));
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

    /// Returns whether the whole body has been decoded.
    pub fn is_done(self) -> bool {
        matches!(self, Self::Done | Self::Length(0))
    }
}

/// Decodes one step; returns none if more bytes are needed.
fn decode_chunk(
    chunk: ChunkState,
    input: &mut BytesMut,
    output: &mut BytesMut,
) -> Result<Option<Body>, Malformed> {
    let line = |input: &mut BytesMut| -> Result<Option<BytesMut>, Malformed> {
        match memmem::find(input, b"\r\n") {
            Some(end) if end <= MAX_CHUNK_LINE => {
                let line = input.split_to(end);
                input.advance(2);
                Ok(Some(line))
            }
            None if input.len() <= MAX_CHUNK_LINE => Ok(None),
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
                Some(0) => Body::Chunks(ChunkState::Trailer),
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
            output.extend_from_slice(&input.split_to(taken as usize));
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
        ChunkState::Trailer => match line(input)? {
            None => return Ok(None),
            Some(line) if line.is_empty() => Body::Done,
            Some(_) => Body::Chunks(ChunkState::Trailer),
        },
    }))
}

/// A connection with the bytes that have arrived and are not used yet.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    /// Bytes that have arrived.
    pub input: BytesMut,
}

impl Connection {
    /// Creates a connection from a stream.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            input: BytesMut::new(),
        }
    }

    /// Reads more bytes; returns zero at the end of the stream.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.input.reserve(READ_BYTES);
        self.stream.read_buf(&mut self.input).await
    }

    /// Writes all bytes.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Ends the sending direction, so that what was written is delivered before the connection closes.
    pub async fn shutdown(&mut self) {
        // The peer may be gone already.
        drop(self.stream.shutdown().await);
    }

    /// Waits until the peer closes or resets the connection. Bytes that arrive are kept for later; a peer
    /// that sends too many is not watched any more.
    pub async fn closed(&mut self) {
        loop {
            if self.input.len() >= MAX_AHEAD {
                std::future::pending::<()>().await;
            }
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    /// Returns whether a connection that waits is sound: no bytes have arrived and it is open. Bytes that
    /// have arrived are kept for later.
    pub fn is_idle(&mut self) -> bool {
        let would_block = |error: &io::Error| error.kind() == io::ErrorKind::WouldBlock;
        self.input.is_empty()
            && matches!(self.stream.try_read_buf(&mut self.input), Err(error) if would_block(&error))
    }

    /// Reads the head of a request; none if the connection ended before it.
    pub async fn read_request(
        &mut self,
        max_bytes: usize,
        idle: Duration,
        within: Duration,
    ) -> Result<Option<Request>, Error> {
        if self.input.is_empty() {
            match timeout(idle, self.fill()).await {
                Ok(Ok(0)) | Err(_) => return Ok(None),
                Ok(read) => drop(read?),
            }
        }
        let head = async {
            loop {
                if let Some(head) = parse_request(&mut self.input, max_bytes)? {
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
        timeout(within, head).await.unwrap_or(Err(Error::Slow))
    }

    /// Reads a whole body. Each pause between its bytes may last `pause`.
    pub async fn read_body(
        &mut self,
        mut body: Body,
        max_bytes: usize,
        pause: Duration,
    ) -> Result<Bytes, Error> {
        if matches!(body, Body::Length(length) if length > max_bytes as u64) {
            return Err(Error::BodyTooLong);
        }
        let mut output = BytesMut::new();
        loop {
            body.decode(&mut self.input, &mut output)?;
            if output.len() > max_bytes {
                return Err(Error::BodyTooLong);
            }
            if body.is_done() {
                return Ok(output.freeze());
            }
            match timeout(pause, self.fill()).await {
                Err(_) => return Err(Error::Slow),
                Ok(Ok(0)) if body == Body::UntilClose => return Ok(output.freeze()),
                Ok(Ok(0)) => return Err(Error::Io(io::ErrorKind::UnexpectedEof.into())),
                Ok(read) => drop(read?),
            }
        }
    }

    /// Reads the head of an answer.
    pub async fn read_response(&mut self, method: &str) -> Result<Response, Error> {
        loop {
            if let Some(head) = parse_response(&mut self.input, method)? {
                // Interim answers say nothing.
                if head.status >= 200 {
                    return Ok(head);
                }
                continue;
            }
            if self.input.len() > MAX_RESPONSE_HEAD {
                return Err(Error::HeadTooLong);
            }
            if self.fill().await? == 0 {
                return Err(Error::Io(io::ErrorKind::UnexpectedEof.into()));
            }
        }
    }
}

/// Parses the head of a request; none if it has not arrived in full.
pub fn parse_request(input: &mut BytesMut, max_bytes: usize) -> Result<Option<Request>, Error> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let length = match parsed.parse(input) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(Error::HeadTooLong),
        Err(_) => return Err(Malformed("head").into()),
    };
    if length > max_bytes {
        return Err(Error::HeadTooLong);
    }
    let headers = Headers::parse(parsed.headers);
    let minor = parsed.version.unwrap_or(1);
    let (chunked, body_length) = (headers.chunked()?, headers.length()?);
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

/// Parses the head of an answer to a request with this method; none if it has not arrived in full.
pub fn parse_response(input: &mut BytesMut, method: &str) -> Result<Option<Response>, Malformed> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let length = match parsed.parse(input) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(Malformed("head of an answer")),
    };
    let headers = Headers::parse(parsed.headers);
    let status = parsed.code.unwrap_or_default();
    let (chunked, body_length) = (headers.chunked()?, headers.length()?);
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

/// Returns the reason phrase of a status.
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

/// Encodes a small answer of our own.
pub fn encode_response(status: u16, headers: &str, body: &[u8], close: bool) -> Vec<u8> {
    let connection = if close { "Connection: close\r\n" } else { "" };
    let mut out = format!(
        "HTTP/1.1 {status} {}\r\n{headers}{connection}Content-Length: {}\r\n\r\n",
        reason_phrase(status),
        body.len()
    )
    .into_bytes();
    out.extend_from_slice(body);
    out
}
