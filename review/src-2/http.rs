//! HTTP/1.1 messages for the stand-ins, with blocking sockets.

use std::io::{self, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::os::fd::{FromRawFd, OwnedFd};
use std::time::Duration;

/// Largest head that a stand-in accepts, bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Head of a request or of an answer, with what was received of the body.
#[derive(Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first value of a field. Names are compared without regard to case.
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self
            .fields
            .iter()
            .find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer; zero if there is none.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns the path of a request.
    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the length that the head states for the body.
    pub fn content_length(&self) -> usize {
        let length = self.field("content-length");
        length.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head, and the part of the body that arrived with it. Returns `None` if the connection was closed before.
pub fn read_head<R: Read>(stream: &mut R) -> io::Result<Option<Message>> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 2048];
    let end = loop {
        if let Some(at) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break at;
        }
        if bytes.len() > MAX_HEAD_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        match stream.read(&mut buffer)? {
            0 if bytes.is_empty() => return Ok(None),
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            read => bytes.extend_from_slice(&buffer[..read]),
        }
    };
    let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = text.split("\r\n");
    let first_line = lines.next().unwrap_or_default().to_owned();
    let fields = lines.filter_map(|line| line.split_once(':'));
    let fields = fields.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()));
    Ok(Some(Message {
        first_line,
        fields: fields.collect(),
        body: bytes[end + 4..].to_vec(),
    }))
}

/// Reads the rest of a body whose length the head states.
pub fn read_body<R: Read>(stream: &mut R, message: &mut Message) -> io::Result<()> {
    let length = message.content_length();
    let received = message.body.len();
    if received < length {
        message.body.resize(length, 0);
        stream.read_exact(&mut message.body[received..])?;
    }
    Ok(())
}

/// Returns a consumer's `POST` request.
pub fn post(path: &str, request_id: &str, timeout_ms: u64, body: &str) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nHost: desk.example\r\nPrimrosepin-Request-Id: {request_id}\r\n\
         Primrosepin-Deadline-Ms: {timeout_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Sends a request on a connection and reads the answer, whose head states its length.
pub fn exchange<S: Read + Write>(stream: &mut S, request: &[u8]) -> io::Result<Message> {
    stream.write_all(request)?;
    let mut answer = read_head(stream)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    read_body(stream, &mut answer)?;
    Ok(answer)
}

/// Sends a request on a connection of its own.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let mut request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    )
    .into_bytes();
    request.extend_from_slice(body);
    exchange(&mut stream, &request)
}

/// An address as the kernel takes it.
#[repr(C)]
struct SocketAddress {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, address: *const SocketAddress, length: u32) -> i32;
}

/// Connects with a receive buffer of this size, which bounds the window that the peer may fill.
pub fn connect_with_buffer(to: SocketAddr, buffer_bytes: i32) -> io::Result<TcpStream> {
    const INET: i32 = 2;
    const STREAM: i32 = 1;
    const SOCKET_LEVEL: i32 = 1;
    const RECEIVE_BUFFER: i32 = 8;
    let IpAddr::V4(ip) = to.ip() else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let address = SocketAddress {
        family: INET as u16,
        port: to.port().to_be_bytes(),
        ip: ip.octets(),
        zero: [0; 8],
    };
    // The arguments are valid, and the descriptor is owned from its creation on.
    unsafe {
        let fd = socket(INET, STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let owned = OwnedFd::from_raw_fd(fd);
        let size = size_of::<SocketAddress>() as u32;
        if setsockopt(fd, SOCKET_LEVEL, RECEIVE_BUFFER, &buffer_bytes, 4) != 0
            || connect(fd, &address, size) != 0
        {
            return Err(io::Error::last_os_error());
        }
        Ok(owned.into())
    }
}
