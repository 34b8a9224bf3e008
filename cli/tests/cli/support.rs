//! A scripted admin server, and functions that run the binary.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Output};
use std::sync::{Arc, Mutex};
use std::thread;

use serde_json::Value;

/// Operator key that the server accepts.
pub const KEY: &str = "sk-secret-operator";

/// A request received by the server.
#[derive(Debug, Clone)]
pub struct Request {
    pub line: String,
    pub authorization: String,
    pub body: Value,
}

/// Reaction of the server to a request.
pub enum Response {
    Json(u16, Value),
    /// Closes the connection after reading the request, like a process that crashes.
    Close,
}

/// A server on its own thread, which runs until the test process exits.
pub struct Admin {
    pub address: SocketAddr,
    pub requests: Arc<Mutex<Vec<Request>>>,
}

impl Admin {
    /// Starts a server that calls `respond` for each request, with the request and the number of earlier
    /// ones.
    pub fn start<F>(respond: F) -> Self
    where
        F: Fn(&Request, usize) -> Response + Send + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("address");
        let requests = Arc::new(Mutex::new(Vec::new()));
        let received = Arc::clone(&requests);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Some(request) = read(&stream) else {
                    continue;
                };
                let count = received.lock().expect("lock").len();
                let response = if request.authorization == format!("Bearer {KEY}") {
                    respond(&request, count)
                } else {
                    Response::Json(401, Value::Null)
                };
                received.lock().expect("lock").push(request);
                if let Response::Json(status, body) = response {
                    let body = body.to_string();
                    let head = format!(
                        "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n\
                         content-length: {}\r\nconnection: close\r\n\r\n",
                        body.len()
                    );
                    drop((&stream).write_all(format!("{head}{body}").as_bytes()));
                }
            }
        });
        Self { address, requests }
    }

    /// Returns the requests whose request line starts with `prefix`.
    pub fn requests(&self, prefix: &str) -> Vec<Request> {
        let requests = self.requests.lock().expect("lock");
        let matching = requests.iter().filter(|r| r.line.starts_with(prefix));
        matching.cloned().collect()
    }
}

fn read(stream: &TcpStream) -> Option<Request> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let (mut length, mut authorization) = (0, String::new());
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok()?;
        let Some((name, value)) = header.trim().split_once(':') else {
            break;
        };
        match name.to_lowercase().as_str() {
            "content-length" => length = value.trim().parse().ok()?,
            "authorization" => value.trim().clone_into(&mut authorization),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request {
        line: line.trim().to_owned(),
        authorization,
        body: serde_json::from_slice(&body).unwrap_or_default(),
    })
}

/// Runs the binary with the operator key in the environment.
pub fn run(args: &[&str]) -> Output {
    let output = Command::new(env!("CARGO_BIN_EXE_primrosepin"))
        .args(args)
        .env("PRIMROSEPIN_KEY", KEY)
        .env_remove("PRIMROSEPIN_CONTROL")
        .output()
        .expect("run");
    // No command may print the key.
    for stream in [&output.stdout, &output.stderr] {
        assert!(!String::from_utf8_lossy(stream).contains(KEY), "{output:?}");
    }
    output
}

/// Runs the binary with `--json` and returns the exit code and the parsed standard output.
pub fn run_json(args: &[&str]) -> (i32, Value) {
    let output = run(&[&["--json"], args].concat());
    let json = serde_json::from_slice(&output.stdout);
    (
        output.status.code().expect("exit code"),
        json.unwrap_or_else(|error| panic!("{error}: {output:?}")),
    )
}
