//! Callers: they send calls, check the answers and keep their own record.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use bytes::{Buf, Bytes, BytesMut};
use futures_util::StreamExt;
use primrosepin_standin::answer;
use serde::Deserialize;

use crate::clock::now_us;
use crate::workload::{self, Call, Kind};

/// Time after the deadline at which a caller gives up.
const GIVE_UP_MS: u64 = 20_000;

/// What the product said about a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Whole answer.
    Answered,
    /// Certainly not run.
    NotRun,
    /// Ran, incomplete.
    Failed,
    /// May have run.
    Unknown,
}

impl Outcome {
    fn parse(text: &str) -> Option<Self> {
        match text {
            "answered" => Some(Self::Answered),
            "not_run" => Some(Self::NotRun),
            "failed" => Some(Self::Failed),
            "unknown" => Some(Self::Unknown),
            _ => None,
        }
    }
}

/// What the caller saw of a call. Times are microseconds since the Unix epoch; zero is never.
#[derive(Debug, Clone, PartialEq)]
pub struct Seen {
    /// The call.
    pub call: Call,
    /// Entry VM that got it.
    pub entry: SocketAddr,
    /// Time at which it was due.
    pub due_us: u64,
    /// First part of the answer.
    pub first_us: u64,
    /// End.
    pub end_us: u64,
    /// Deadline, milliseconds.
    pub deadline_ms: u64,
    /// HTTP status; zero without a response.
    pub status: u16,
    /// Outcome; none if there was none.
    pub outcome: Option<Outcome>,
    /// Error code.
    pub code: String,
    /// Whether the text is the whole answer to this call.
    pub whole: bool,
    /// Whether any part belongs to another call.
    pub foreign: bool,
    /// Tokens received.
    pub tokens: u64,
    /// Longest gaps between two pieces of a stream, microseconds, by piece.
    pub gaps_us: Vec<u32>,
}

impl Seen {
    /// Returns the time to first token from the time at which the call was due.
    pub fn ttft_ms(&self) -> Option<f64> {
        (self.first_us > 0).then(|| self.first_us.saturating_sub(self.due_us) as f64 / 1e3)
    }
}

/// How callers reach the service.
#[derive(Debug, Clone)]
pub struct Route {
    /// Model name.
    pub model: String,
    /// Path prefix of the plain service.
    pub path: String,
    /// API key of each organisation.
    pub keys: Vec<String>,
    /// Bytes of text for each token.
    pub token_bytes: usize,
    /// Time limits by prompt length, milliseconds.
    pub deadlines: Vec<(u64, u64)>,
}

impl Route {
    /// Returns the time limit of a call.
    pub fn deadline_ms(&self, kind: Kind) -> u64 {
        let tokens = match kind {
            Kind::Engine { prompt_tokens, .. } => prompt_tokens,
            Kind::PlainGet | Kind::PlainPost => 0,
        };
        let longest = self.deadlines.last().map_or(600_000, |(_, ms)| *ms);
        self.deadlines
            .iter()
            .find(|(max, _)| tokens <= *max)
            .map_or(longest, |(_, ms)| *ms)
    }
}

/// Creates a client.
pub fn client() -> Client {
    Client::builder()
        .connector(
            awc::Connector::new()
                .limit(0)
                .timeout(Duration::from_secs(5)),
        )
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}

/// Sends a call and follows it to its end.
pub async fn send(
    client: &Client,
    route: &Route,
    entry: SocketAddr,
    call: Call,
    due_us: u64,
) -> Seen {
    let deadline_ms = route.deadline_ms(call.kind);
    let mut seen = Seen {
        call,
        entry,
        due_us,
        first_us: 0,
        end_us: 0,
        deadline_ms,
        status: 0,
        outcome: None,
        code: String::new(),
        whole: false,
        foreign: false,
        tokens: 0,
        gaps_us: Vec::new(),
    };
    let limit = Duration::from_millis(deadline_ms + GIVE_UP_MS);
    if actix_rt::time::timeout(limit, exchange(client, route, &mut seen))
        .await
        .is_err()
    {
        seen.code = "no_end".into();
    }
    seen.end_us = now_us();
    seen
}

async fn exchange(client: &Client, route: &Route, seen: &mut Seen) {
    let call = &seen.call;
    let key = &route.keys[call.organisation % route.keys.len()];
    let base = format!("http://{}", seen.entry);
    let (request, body) = match call.kind {
        Kind::Engine {
            prompt_tokens,
            max_tokens,
        } => (
            client
                .post(format!("{base}/v1/chat/completions"))
                .insert_header(("content-type", "application/json")),
            workload::body(
                &route.model,
                &call.user,
                prompt_tokens,
                max_tokens,
                route.token_bytes,
            ),
        ),
        Kind::PlainGet => (
            client.get(format!("{base}{}/{}", route.path, call.user)),
            Bytes::new(),
        ),
        Kind::PlainPost => (
            client
                .post(format!("{base}{}", route.path))
                .insert_header(("idempotency-key", call.user.as_str())),
            Bytes::from_static(b"{\"quantity\":1}"),
        ),
    };
    let sent = request
        .bearer_auth(key)
        .insert_header(("x-bench-user", call.user.as_str()))
        // A fresh connection for each call: an idle one that the other side just closed would look
        // like a lost call.
        .force_close()
        .send_body(body)
        .await;
    let mut response = match sent {
        Ok(response) => response,
        Err(error) => {
            seen.code = format!("no_response: {error}");
            return;
        }
    };
    seen.status = response.status().as_u16();
    let header = |name: &str| {
        let value = response.headers().get(name)?.to_str().ok()?;
        Some(value.to_owned())
    };
    seen.outcome = header("x-primrosepin-outcome").and_then(|text| Outcome::parse(&text));
    let is_stream =
        header("content-type").is_some_and(|kind| kind.starts_with("text/event-stream"));
    if is_stream {
        // The outcome of a stream is its final event.
        seen.outcome = None;
        read_stream(&mut response, seen).await;
        return;
    }
    let Ok(bytes) = response.body().limit(64 * 1024 * 1024).await else {
        seen.outcome = None;
        "broken_body".clone_into(&mut seen.code);
        return;
    };
    let value: serde_json::Value = serde_json::from_slice(&bytes).unwrap_or_default();
    if let Some(code) = value["error"]["code"].as_str() {
        code.clone_into(&mut seen.code);
        if seen.outcome.is_none() {
            seen.outcome = value["error"]["outcome"].as_str().and_then(Outcome::parse);
        }
        return;
    }
    seen.first_us = now_us();
    let expected = format!("{:016x}", answer::key(Some(&seen.call.user), &[]));
    seen.whole = value["answer"].as_str() == Some(&expected);
    seen.foreign = value["answer"].is_string() && !seen.whole;
}

/// Event in which the product ends a stream.
#[derive(Debug, Deserialize)]
struct OutcomeEvent {
    outcome: Outcome,
    #[serde(default)]
    code: String,
}

async fn read_stream<S, E>(response: &mut S, seen: &mut Seen)
where
    S: futures_util::Stream<Item = Result<Bytes, E>> + Unpin,
{
    let key = answer::key(Some(&seen.call.user), &[]);
    let max_tokens = match seen.call.kind {
        Kind::Engine { max_tokens, .. } => max_tokens.max(1),
        Kind::PlainGet | Kind::PlainPost => 0,
    };
    let mut partial = BytesMut::new();
    let mut done = false;
    let mut last_us = 0;
    while let Some(Ok(bytes)) = response.next().await {
        partial.extend_from_slice(&bytes);
        let mut any = false;
        while let Some(end) = partial.windows(2).position(|pair| pair == b"\n\n") {
            let event = partial.split_to(end);
            partial.advance(2);
            let text = String::from_utf8_lossy(&event);
            let is_outcome = text.contains("event: primrosepin.outcome");
            let Some(data) = text.lines().find_map(|line| line.strip_prefix("data: ")) else {
                continue;
            };
            if is_outcome {
                match serde_json::from_str::<OutcomeEvent>(data) {
                    Ok(event) => {
                        seen.outcome = Some(event.outcome);
                        seen.code = event.code;
                    }
                    Err(error) => seen.code = format!("bad_outcome: {error}"),
                }
                continue;
            }
            any = true;
            if data == "[DONE]" {
                done = true;
            } else if seen.tokens < max_tokens {
                let expected = answer::token(key, seen.tokens);
                if !data.contains(&format!("\"{expected}\"")) {
                    seen.foreign = true;
                }
                seen.tokens += 1;
            } else if data.contains(r#""content":""#) {
                seen.foreign = true;
            }
        }
        if any {
            let now = now_us();
            if seen.first_us == 0 {
                seen.first_us = now;
            } else {
                seen.gaps_us.push((now - last_us) as u32);
            }
            last_us = now;
        }
    }
    seen.whole = done && !seen.foreign && seen.tokens == max_tokens;
}
