//! A small HTTP/1.1 client and reader on plain sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A message: first line, header fields and body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived up to its end.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter();
        let found = found.find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads a message. `bytes` keeps what follows it on the connection.
pub fn read(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> io::Result<Message> {
    let mut buffer = [0; 16 * 1024];
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            break end;
        }
        match stream.read(&mut buffer)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => bytes.extend_from_slice(&buffer[..count]),
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    bytes.drain(..end + 4);
    let mut lines = head.lines();
    let mut message = Message {
        first_line: lines.next().unwrap_or_default().to_owned(),
        headers: lines
            .filter_map(|line| line.split_once(": "))
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect(),
        ..Message::default()
    };
    let length = message
        .header("content-length")
        .and_then(|text| text.parse::<usize>().ok());
    let chunked = message.header("transfer-encoding").is_some();
    loop {
        if chunked {
            if let Some(end) = bytes.windows(5).position(|five| five == b"0\r\n\r\n") {
                message.body = bytes.drain(..end + 5).collect();
                message.complete = true;
                return Ok(message);
            }
        } else {
            let length = length.unwrap_or(0);
            if bytes.len() >= length {
                message.body = bytes.drain(..length).collect();
                message.complete = true;
                return Ok(message);
            }
        }
        match stream.read(&mut buffer) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
            _ => {
                message.body = std::mem::take(bytes);
                return Ok(message);
            }
        }
    }
}

/// Sends a request on a new connection and reads its answer. The limit holds for each step.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        head.push_str(&format!("Host: {to}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!(
        "Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    ));
    stream.write_all(&[head.as_bytes(), body].concat())?;
    read(&mut stream, &mut Vec::new())
}
