//! HTTP interface of the engine.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody, MessageBody};
use actix_http::header::{self, HeaderValue};
use actix_http::{Method, Request, Response, StatusCode};
use awc::Client;
use serde::Deserialize;
use serde_json::{Value, json};

use super::cache;
use super::model::{Arrival, Order, Refusal};
use super::stream::{AnswerSpec, Reader, events, usage_json};
use super::{Fault, Shared, now_us};
use crate::answer;
use crate::fault::Pending;
use crate::respond::{error, header, json, read_body, with_header};

/// Tokens generated if the request states no limit.
const MAX_TOKENS_DEFAULT: u64 = 128;

/// Index of the event that is omitted or duplicated by a fault.
const FAULTY_EVENT_INDEX: u64 = 3;

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Text {
    String(String),
    Parts(Vec<Part>),
}

#[derive(Debug, Deserialize)]
struct Part {
    #[serde(default)]
    text: String,
}

#[derive(Debug, Deserialize)]
struct Message {
    content: Option<Text>,
}

#[derive(Debug, Deserialize)]
struct Body {
    model: Option<String>,
    #[serde(default)]
    messages: Vec<Message>,
    prompt: Option<String>,
    prompt_tokens: Option<u64>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    user: Option<String>,
}

impl Body {
    /// Returns the parts of the prompt text in order.
    fn text_parts(&self) -> Vec<&str> {
        let mut parts: Vec<&str> = self.prompt.as_deref().into_iter().collect();
        for message in &self.messages {
            match &message.content {
                Some(Text::String(text)) => parts.push(text),
                Some(Text::Parts(texts)) => parts.extend(texts.iter().map(|part| &*part.text)),
                None => {}
            }
        }
        parts
    }
}

type ResponseFuture = Pin<Box<dyn Future<Output = Response<BoxBody>>>>;

/// Returns the handler of HTTP requests to the engine.
pub(crate) fn handler(shared: Arc<Shared>) -> impl Fn(Request) -> ResponseFuture + Clone + 'static {
    move |request| Box::pin(route(Arc::clone(&shared), request))
}

async fn route(shared: Arc<Shared>, mut request: Request) -> Response<BoxBody> {
    let path = request.path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/healthz") => json(StatusCode::OK, &json!({ "ok": true })),
        (&Method::GET, "/v1/requests") => {
            json(StatusCode::OK, &shared.model().held_requests(now_us()))
        }
        (&Method::GET, "/v1/records") => json(StatusCode::OK, &shared.model().records),
        (&Method::GET, "/v1/status") => json(StatusCode::OK, &shared.model().status()),
        (&Method::GET, "/v1/orders") => json(StatusCode::OK, &shared.model().applied_orders()),
        (&Method::GET, "/v1/cache/events") => cache_events(&shared, &request),
        (&Method::GET, "/v1/cache") => {
            let (next, blocks) = shared.model().cache.contents();
            json(StatusCode::OK, &json!({ "next": next, "blocks": blocks }))
        }
        (&Method::DELETE, path) => match path.strip_prefix("/v1/reservations/") {
            Some(id) => {
                let released = shared.model().release_reservation(id);
                json(StatusCode::OK, &json!({ "released": released }))
            }
            None => error(StatusCode::NOT_FOUND, "no such path"),
        },
        (&Method::POST, path) => {
            let Some(bytes) = read_body(&mut request).await else {
                return error(StatusCode::BAD_REQUEST, "the body could not be read");
            };
            match path {
                "/v1/chat/completions" => generate(shared, &request, &bytes, true).await,
                "/v1/completions" => generate(shared, &request, &bytes, false).await,
                path => {
                    let Ok(value) = serde_json::from_slice::<Value>(&bytes) else {
                        return error(StatusCode::BAD_REQUEST, "the body is not JSON");
                    };
                    command(&shared, path, &value)
                }
            }
        }
        _ => error(StatusCode::NOT_FOUND, "no such path"),
    }
}

/// Handles the `POST` requests that carry a JSON command.
fn command(shared: &Arc<Shared>, path: &str, value: &Value) -> Response<BoxBody> {
    let now_us = now_us();
    let attempt = value["attempt"].as_str().unwrap_or_default();
    match path {
        "/v1/cancel" => {
            let released = shared.model().cancel(attempt, now_us);
            shared.wake.notify_one();
            json(StatusCode::OK, &json!({ "released": released }))
        }
        "/v1/resume" => resume(shared, attempt, value),
        "/v1/reservations" => {
            let (Some(id), Some(tokens)) =
                (value["reservation"].as_str(), value["tokens"].as_u64())
            else {
                return error(StatusCode::BAD_REQUEST, "expected reservation and tokens");
            };
            let owner = value["owner"].as_str().map(ToOwned::to_owned);
            let lease_ms = value["lease_ms"].as_u64().unwrap_or(0);
            if shared.model().reserve(id, owner, tokens, lease_ms, now_us) {
                json(StatusCode::OK, &json!({ "reservation": id }))
            } else {
                busy("not enough free memory")
            }
        }
        "/v1/orders" => match serde_json::from_value::<Order>(value.clone()) {
            Ok(order) => {
                let applied = shared.model().apply_order(&order, now_us);
                shared.announce();
                match applied {
                    Ok(()) => json(StatusCode::OK, &json!({ "order": order.order })),
                    Err(highest) => json(
                        StatusCode::CONFLICT,
                        &json!({ "error": { "message": "old fencing number" }, "fencing": highest }),
                    ),
                }
            }
            Err(cause) => error(StatusCode::BAD_REQUEST, &cause.to_string()),
        },
        "/v1/faults" => match serde_json::from_value::<Fault>(value.clone()) {
            Ok(fault) => {
                shared.inject_fault(&fault);
                json(StatusCode::OK, &fault)
            }
            Err(cause) => error(StatusCode::BAD_REQUEST, &cause.to_string()),
        },
        path => {
            let part = path.strip_prefix("/v1/reservations/");
            let Some(id) = part.and_then(|rest| rest.strip_suffix("/use")) else {
                return error(StatusCode::NOT_FOUND, "no such path");
            };
            match shared.model().claim_reservation(id, attempt, now_us) {
                Some(tokens) => json(StatusCode::OK, &json!({ "tokens": tokens })),
                None => error(StatusCode::NOT_FOUND, "no such reservation"),
            }
        }
    }
}

fn cache_events(shared: &Shared, request: &Request) -> Response<BoxBody> {
    let query = request.uri().query().unwrap_or_default();
    let from = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("from="))
        .and_then(|from| from.parse().ok())
        .unwrap_or(0);
    let model = shared.model();
    let before_us = now_us().saturating_sub(model.settings.cache_lag_ms * 1000);
    let events = model.cache.events(from, before_us);
    let next = events.last().map_or(from, |event| event.n + 1);
    json(
        StatusCode::OK,
        &json!({ "incarnation": model.incarnation, "events": events, "next": next }),
    )
}

/// Builds the response `503` that states that the request was not run.
fn busy(message: &str) -> Response<BoxBody> {
    with_header(
        error(StatusCode::SERVICE_UNAVAILABLE, message),
        "x-primrosepin-ran",
        "0",
    )
}

fn refuse(refusal: Refusal) -> Response<BoxBody> {
    match refusal {
        Refusal::Busy => busy("busy"),
        Refusal::TooLarge => with_header(
            error(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the prompt exceeds the memory",
            ),
            "x-primrosepin-ran",
            "0",
        ),
        Refusal::Duplicate => error(StatusCode::CONFLICT, "the attempt is already held"),
        Refusal::NoModel => with_header(
            error(StatusCode::NOT_FOUND, "the model is not loaded"),
            "x-primrosepin-ran",
            "0",
        ),
    }
}

async fn generate(
    shared: Arc<Shared>,
    request: &Request,
    bytes: &[u8],
    chat: bool,
) -> Response<BoxBody> {
    let parsed = match serde_json::from_slice::<Body>(bytes) {
        Ok(parsed) => parsed,
        Err(cause) => return error(StatusCode::BAD_REQUEST, &cause.to_string()),
    };
    let text = parsed.text_parts();
    let text_bytes = text.iter().map(|part| part.len()).sum();
    let attempt =
        header(request, "x-primrosepin-attempt").unwrap_or_else(|| format!("local-{:x}", now_us()));
    let number = |name| header(request, name).and_then(|value| value.parse().ok());
    let key = answer::key(parsed.user.as_deref(), bytes);
    let mut arrival = Arrival {
        attempt: attempt.clone(),
        owner: header(request, "x-primrosepin-owner"),
        request: header(request, "x-primrosepin-request"),
        idempotency_key: header(request, "idempotency-key"),
        user: parsed.user.clone(),
        key,
        priority: number("x-primrosepin-priority").unwrap_or(0).min(7) as u8,
        model: parsed.model.clone(),
        prompt_tokens: parsed
            .prompt_tokens
            .unwrap_or(bytes.len() as u64 / 4)
            .max(1),
        max_tokens: parsed
            .max_tokens
            .or(parsed.max_completion_tokens)
            .unwrap_or(MAX_TOKENS_DEFAULT)
            .max(1),
        text_bytes,
        blocks: cache::block_hashes(text),
        lease_ms: number("x-primrosepin-lease-ms").unwrap_or(0),
        parts: None,
    };
    let (refusal, late_ms) = {
        let mut model = shared.model();
        let (proof, run, mut count) = model.pending.refuse;
        let refusal = Pending::take(&mut count).then_some((proof, run));
        model.pending.refuse.2 = count;
        let (by_ms, mut count) = model.pending.late;
        let late_ms = if Pending::take(&mut count) { by_ms } else { 0 };
        model.pending.late.1 = count;
        (refusal, late_ms)
    };
    match refusal {
        Some((true, _)) => {
            shared.model().count_refusal();
            return busy("refused on request");
        }
        Some((false, run)) => {
            if run {
                // The fault asks for the run only, so the result of submitting it is ignored.
                let _ = shared.model().submit(arrival, now_us());
                shared.wake.notify_one();
            } else {
                shared.model().count_refusal();
            }
            return error(StatusCode::SERVICE_UNAVAILABLE, "refused without proof");
        }
        None => {}
    }
    let mut remote_parts = Vec::new();
    if let Some(parts) = header(request, "x-primrosepin-parts") {
        match claim_parts(&shared, &attempt, &parts).await {
            Ok((local, tokens, remote)) if tokens >= arrival.prompt_tokens => {
                arrival.parts = Some((local, tokens));
                remote_parts = remote;
            }
            Ok(_) => return busy("the parts are too small for the prompt"),
            Err(message) => return busy(&message),
        }
    }
    let lease_ms = arrival.lease_ms;
    let model_name = arrival.model.clone().unwrap_or_default();
    let reader = {
        let mut model = shared.model();
        if let Err(refusal) = model.submit(arrival, now_us()) {
            return refuse(refusal);
        }
        model.attach_reader(&attempt, 0, now_us()).unwrap_or(0)
    };
    shared.wake.notify_one();
    if !remote_parts.is_empty() {
        actix_rt::spawn(renew_parts(
            Arc::clone(&shared),
            attempt.clone(),
            remote_parts,
            lease_ms,
        ));
    }
    let reader = Reader {
        shared: Arc::clone(&shared),
        attempt: attempt.clone(),
        number: reader,
    };
    if late_ms > 0 {
        actix_rt::time::sleep(Duration::from_millis(late_ms)).await;
    }
    let spec = answer_spec(&shared, &attempt, key, chat, &model_name);
    if parsed.stream {
        return respond_stream(reader, spec, 0);
    }
    respond_complete(reader, spec).await
}

/// Builds the specification of an answer, and consumes the pending faults that affect it.
fn answer_spec(
    shared: &Shared,
    attempt: &str,
    key: u64,
    chat: bool,
    model_name: &str,
) -> AnswerSpec {
    let mut model = shared.model();
    let swapped = Pending::take(&mut model.pending.cross).then(|| {
        model
            .other_attempt(attempt)
            .unwrap_or_else(|| (format!("stale-{attempt}"), !key))
    });
    let (named_attempt, key) = swapped.unwrap_or_else(|| (attempt.to_owned(), key));
    let pending = &mut model.pending;
    let (after_events, mut count) = pending.cut;
    let close_after = Pending::take(&mut count).then_some(after_events);
    pending.cut.1 = count;
    AnswerSpec {
        attempt: attempt.to_owned(),
        named_attempt,
        key,
        chat,
        model: Value::from(model_name).to_string(),
        close_after,
        omitted: Pending::take(&mut pending.drop_event).then_some(FAULTY_EVENT_INDEX),
        duplicated: Pending::take(&mut pending.duplicate_event).then_some(FAULTY_EVENT_INDEX),
    }
}

/// Responds with a stream of events from index `from` on.
fn respond_stream(reader: Reader, spec: AnswerSpec, from: u64) -> Response<BoxBody> {
    let named_attempt = spec.named_attempt.clone();
    let body = BodyStream::new(Box::pin(events(reader, spec, from))).boxed();
    let mut response = Response::new(StatusCode::OK).set_body(body);
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    with_header(response, "x-primrosepin-attempt", &named_attempt)
}

/// Waits for the complete answer and responds with it as one JSON object.
async fn respond_complete(reader: Reader, spec: AnswerSpec) -> Response<BoxBody> {
    loop {
        let notified = {
            let mut model = reader.shared.model();
            let usage = model.usage(&spec.attempt);
            let attempt = model.attempt_of_reader(&spec.attempt, reader.number);
            let (Some((prompt, cached, generated)), Some(attempt)) = (usage, attempt) else {
                return error(
                    StatusCode::BAD_GATEWAY,
                    "the engine no longer holds the attempt",
                );
            };
            let available = attempt.available_events();
            if available > generated {
                model.record_read(&spec.attempt, reader.number, available, now_us());
                drop(model);
                let text = answer::text(spec.key, generated);
                let mut choice = json!({ "index": 0, "finish_reason": "stop" });
                if spec.chat {
                    choice["message"] = json!({ "role": "assistant", "content": text });
                } else {
                    choice["text"] = Value::from(text);
                }
                let object = if spec.chat {
                    "chat.completion"
                } else {
                    "text_completion"
                };
                let answer = json!({
                    "id": spec.named_attempt, "object": object, "choices": [choice],
                    "usage": usage_json(prompt, cached, generated),
                });
                return with_header(
                    json(StatusCode::OK, &answer),
                    "x-primrosepin-attempt",
                    &spec.named_attempt,
                );
            }
            Arc::clone(&attempt.notify).notified_owned()
        };
        notified.await;
    }
}

fn resume(shared: &Arc<Shared>, attempt: &str, value: &Value) -> Response<BoxBody> {
    let from = value["from"].as_u64().unwrap_or(0);
    let (reader, key, model_name) = {
        let mut model = shared.model();
        let Some(reader) = model.attach_reader(attempt, from, now_us()) else {
            return error(StatusCode::NOT_FOUND, "the attempt is not held");
        };
        let (key, name) = model.key_and_model(attempt).unwrap_or_default();
        (reader, key, name)
    };
    let reader = Reader {
        shared: Arc::clone(shared),
        attempt: attempt.to_owned(),
        number: reader,
    };
    let chat = value["chat"].as_bool().unwrap_or(true);
    respond_stream(
        reader,
        answer_spec(shared, attempt, key, chat, &model_name),
        from,
    )
}

/// Claims the reservations of a spanning prompt. Returns the local reservation, the tokens of all
/// parts and the URLs of the reservations on other engines. Errors become the text of the refusal.
async fn claim_parts(
    shared: &Shared,
    attempt: &str,
    parts: &str,
) -> Result<(Option<String>, u64, Vec<String>), String> {
    let client = Client::builder().timeout(Duration::from_secs(2)).finish();
    let (mut local, mut tokens, mut remote) = (None, 0, Vec::new());
    for part in parts.split(',') {
        let Some((address, id)) = part.trim().split_once('=') else {
            return Err(format!("malformed part {part:?}"));
        };
        let address: SocketAddr = address
            .parse()
            .map_err(|_error| format!("malformed address in part {part:?}"))?;
        if address == shared.address {
            let claimed = shared.model().claim_reservation(id, attempt, now_us());
            tokens += claimed.ok_or_else(|| format!("reservation {id} is not held"))?;
            local = Some(id.to_owned());
            continue;
        }
        let url = format!("http://{address}/v1/reservations/{id}");
        let mut answer = client
            .post(format!("{url}/use"))
            .send_json(&json!({ "attempt": attempt }))
            .await
            .map_err(|error| format!("part {part:?}: {error}"))?;
        let value: Value = answer
            .json()
            .await
            .map_err(|error| format!("part {part:?}: {error}"))?;
        tokens += value["tokens"]
            .as_u64()
            .ok_or_else(|| format!("reservation {id} is not held at {address}"))?;
        remote.push(url);
    }
    Ok((local, tokens, remote))
}

/// Renews the reservations on other engines until the answer of the attempt is delivered or the
/// attempt is removed, and releases them afterwards.
async fn renew_parts(shared: Arc<Shared>, attempt: String, urls: Vec<String>, lease_ms: u64) {
    let client = Client::builder().timeout(Duration::from_secs(2)).finish();
    let interval_ms = if lease_ms == 0 {
        500
    } else {
        (lease_ms / 3).clamp(100, 500)
    };
    let mut renewed_us = now_us();
    while shared.model().is_undelivered(&attempt) {
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        if now_us().saturating_sub(renewed_us) < interval_ms * 1000 {
            continue;
        }
        renewed_us = now_us();
        for url in &urls {
            let body = json!({ "attempt": attempt });
            if let Err(error) = client.post(format!("{url}/use")).send_json(&body).await {
                log::debug!("reservation {url} could not be renewed: {error}");
            }
        }
    }
    for url in &urls {
        if let Err(error) = client.delete(url).send().await {
            log::debug!("reservation {url} could not be released: {error}");
        }
    }
}
