//! Callers: they send calls, verify the answers and record their observations.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use bytes::{Buf, Bytes, BytesMut};
use futures_util::StreamExt;
use primrosepin_standin::answer;
use serde::Deserialize;

use crate::clock::now_us;
use crate::workload::{self, Call, Kind};

/// Time after the deadline at which a caller gives up, ms.
const GIVE_UP_AFTER_MS: u64 = 20_000;

/// Outcome of a call as reported by the product.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Complete answer.
    Answered,
    /// Guaranteed not to have run.
    NotRun,
    /// Ran, but the answer is incomplete.
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

/// A caller's observation of a call. Times are in microseconds since the Unix epoch; zero means
/// never.
#[derive(Debug, Clone, PartialEq)]
pub struct Observation {
    /// The call.
    pub call: Call,
    /// Address of the entry VM that the call was sent to.
    pub entry: SocketAddr,
    /// Scheduled send time.
    pub due_us: u64,
    /// Time of the first part of the answer.
    pub first_us: u64,
    /// Time at which the call ended.
    pub end_us: u64,
    /// Deadline after the scheduled time, milliseconds.
    pub deadline_ms: u64,
    /// HTTP status; zero if there was no response.
    pub status: u16,
    /// Reported outcome; none if the product reported none.
    pub outcome: Option<Outcome>,
    /// Error code of the product or of this caller; empty without an error.
    pub code: String,
    /// Whether the answer is complete and belongs to this call.
    pub complete: bool,
    /// Whether any part of the answer belongs to another call.
    pub foreign: bool,
    /// Number of tokens received.
    pub tokens: u64,
    /// Time between consecutive reads with events of a stream, microseconds.
    pub gaps_us: Vec<u32>,
}

impl Observation {
    /// Returns the time to first token since the scheduled send time.
    pub fn ttft_ms(&self) -> Option<f64> {
        (self.first_us > 0).then(|| self.first_us.saturating_sub(self.due_us) as f64 / 1e3)
    }
}

/// What callers need to reach a deployment.
#[derive(Debug, Clone)]
pub struct Route {
    /// Name of the model.
    pub model: String,
    /// Path prefix of the plain service.
    pub path: String,
    /// API key of each organisation.
    pub keys: Vec<String>,
    /// Bytes of prompt text per token.
    pub token_bytes: usize,
    /// Deadlines in milliseconds, by longest prompt in tokens, ascending.
    pub deadlines: Vec<(u64, u64)>,
}

impl Route {
    /// Returns the deadline of a call, milliseconds.
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

/// Creates an HTTP client without limits on connections and response time.
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

/// Sends a call and reads its answer to the end.
pub async fn send(
    client: &Client,
    route: &Route,
    entry: SocketAddr,
    call: Call,
    due_us: u64,
) -> Observation {
    let deadline_ms = route.deadline_ms(call.kind);
    let mut observation = Observation {
        call,
        entry,
        due_us,
        first_us: 0,
        end_us: 0,
        deadline_ms,
        status: 0,
        outcome: None,
        code: String::new(),
        complete: false,
        foreign: false,
        tokens: 0,
        gaps_us: Vec::new(),
    };
    let limit = Duration::from_millis(deadline_ms + GIVE_UP_AFTER_MS);
    if actix_rt::time::timeout(limit, exchange(client, route, &mut observation))
        .await
        .is_err()
    {
        observation.code = "no_end".into();
    }
    observation.end_us = now_us();
    observation
}

async fn exchange(client: &Client, route: &Route, observation: &mut Observation) {
    let call = &observation.call;
    let key = &route.keys[call.organisation % route.keys.len()];
    let base = format!("http://{}", observation.entry);
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
        // A new connection for each call: a reused idle connection that the server has just closed
        // would look like a lost call.
        .force_close()
        .send_body(body)
        .await;
    let mut response = match sent {
        Ok(response) => response,
        Err(error) => {
            observation.code = format!("no_response: {error}");
            return;
        }
    };
    observation.status = response.status().as_u16();
    let header = |name: &str| {
        let value = response.headers().get(name)?.to_str().ok()?;
        Some(value.to_owned())
    };
    observation.outcome = header("x-primrosepin-outcome").and_then(|text| Outcome::parse(&text));
    let is_stream =
        header("content-type").is_some_and(|kind| kind.starts_with("text/event-stream"));
    if is_stream {
        // The outcome of a stream is in its final event.
        observation.outcome = None;
        read_stream(&mut response, observation).await;
        return;
    }
    let Ok(bytes) = response.body().limit(64 * 1024 * 1024).await else {
        observation.outcome = None;
        "broken_body".clone_into(&mut observation.code);
        return;
    };
    let value: serde_json::Value = serde_json::from_slice(&bytes).unwrap_or_default();
    if let Some(code) = value["error"]["code"].as_str() {
        code.clone_into(&mut observation.code);
        if observation.outcome.is_none() {
            observation.outcome = value["error"]["outcome"].as_str().and_then(Outcome::parse);
        }
        return;
    }
    observation.first_us = now_us();
    let expected = format!("{:016x}", answer::key(Some(&observation.call.user), &[]));
    observation.complete = value["answer"].as_str() == Some(&expected);
    observation.foreign = value["answer"].is_string() && !observation.complete;
}

/// Final event of a stream, sent by the product.
#[derive(Debug, Deserialize)]
struct OutcomeEvent {
    outcome: Outcome,
    #[serde(default)]
    code: String,
}

async fn read_stream<S, E>(response: &mut S, observation: &mut Observation)
where
    S: futures_util::Stream<Item = Result<Bytes, E>> + Unpin,
{
    let key = answer::key(Some(&observation.call.user), &[]);
    let max_tokens = match observation.call.kind {
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
                        observation.outcome = Some(event.outcome);
                        observation.code = event.code;
                    }
                    Err(error) => observation.code = format!("bad_outcome: {error}"),
                }
                continue;
            }
            any = true;
            if data == "[DONE]" {
                done = true;
            } else if observation.tokens < max_tokens {
                let expected = answer::token(key, observation.tokens);
                if !data.contains(&format!("\"{expected}\"")) {
                    observation.foreign = true;
                }
                observation.tokens += 1;
            } else if data.contains(r#""content":""#) {
                observation.foreign = true;
            }
        }
        if any {
            let now = now_us();
            if observation.first_us == 0 {
                observation.first_us = now;
            } else {
                observation.gaps_us.push((now - last_us) as u32);
            }
            last_us = now;
        }
    }
    observation.complete = done && !observation.foreign && observation.tokens == max_tokens;
}
