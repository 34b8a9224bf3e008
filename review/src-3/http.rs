//! HTTP/1.1 client calls of the stand-ins, over plain sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Answer to a call.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Sends one request on a new connection and reads the whole answer within `limit`.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Answer> {
    let end = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&to, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    write_request(&mut stream, to, method, path, headers, body, end)?;
    read_answer(&mut BufReader::new(stream), end)
}

pub fn write_request(
    stream: &mut TcpStream,
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    end: Instant,
) -> io::Result<()> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        text += &format!("Host: {to}\r\n");
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method == "PUT" || method == "POST" {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.set_write_timeout(Some(left(end)?))?;
    stream.write_all(&bytes)
}

fn left(end: Instant) -> io::Result<Duration> {
    let left = end.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(io::ErrorKind::TimedOut.into());
    }
    Ok(left)
}

fn read_line(reader: &mut BufReader<TcpStream>, end: Instant) -> io::Result<String> {
    reader.get_ref().set_read_timeout(Some(left(end)?))?;
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 || !line.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

pub fn read_answer(reader: &mut BufReader<TcpStream>, end: Instant) -> io::Result<Answer> {
    let line = read_line(reader, end)?;
    let status = line
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader, end)?;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let mut answer = Answer {
        status,
        headers,
        body: Vec::new(),
    };
    let chunked = answer
        .header("transfer-encoding")
        .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
    if chunked {
        loop {
            let size = read_line(reader, end)?;
            let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size];
            reader.get_ref().set_read_timeout(Some(left(end)?))?;
            reader.read_exact(&mut chunk)?;
            answer.body.extend_from_slice(&chunk);
            read_line(reader, end)?;
            if size == 0 {
                return Ok(answer);
            }
        }
    }
    let length = answer
        .header("content-length")
        .and_then(|length| length.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    let mut read = 0;
    while read < length {
        reader.get_ref().set_read_timeout(Some(left(end)?))?;
        let more = reader.read(&mut body[read..])?;
        if more == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        read += more;
    }
    answer.body = body;
    Ok(answer)
}
