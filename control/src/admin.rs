//! HTTP API for operators.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::header::{self, HeaderValue};
use actix_http::{HttpMessage, HttpService, Method, Request, Response, StatusCode};
use actix_rt::net::TcpListener;
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::BytesMut;
use eyre::eyre;
use futures_util::StreamExt;
use primrosepin_core::consensus::{Id, Role};
use primrosepin_core::registry::{Change, Command, Config, Outcome, Subject};
use primrosepin_telemetry::metrics::Metrics;
use serde::Deserialize;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::contacts::Contacts;
use crate::node::{Decision, Input};
use crate::proposer::Proposer;

/// Largest request body, bytes. A command that contains it must fit into one frame between replicas.
const MAX_BODY_BYTES: usize = 12 * 1024 * 1024;

/// Timeout for reading the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout for reading the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout for committing a change. The election of a new leader takes up to 2 s.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest id of a change, bytes. It is bounded because the ids of a day's changes are kept.
const MAX_ID_BYTES: usize = 128;

/// Time to wait until this replica has applied the version that a change conflicts with.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay after a failed accept, for example when there are no free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// State shared by all calls of the API.
#[derive(Debug)]
pub(crate) struct Admin {
    pub(crate) proposer: Proposer,
    pub(crate) contacts: Arc<Contacts>,
    pub(crate) keys_sha256: Vec<Arc<str>>,
    pub(crate) vm: Arc<str>,
    pub(crate) metrics: Metrics,
}

/// Status and JSON body of an answer.
struct Answer {
    status: StatusCode,
    body: Value,
}

impl Answer {
    fn new(status: StatusCode, body: Value) -> Self {
        Self { status, body }
    }

    fn error(status: StatusCode, code: &str, message: &str) -> Self {
        let body = json!({ "error": { "code": code, "message": message } });
        Self { status, body }
    }
}

/// Body of `POST /v1/config/apply`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Apply {
    id: Arc<str>,
    base: u64,
    inventory: String,
}

/// Body of `POST /v1/zones/{name}` and `POST /v1/targets/{name}`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SetOut {
    id: Arc<str>,
    out: bool,
}

/// Serves calls until `stopping` turns true, then waits for the running ones.
pub(crate) async fn serve(
    listener: TcpListener,
    admin: Rc<Admin>,
    mut stopping: watch::Receiver<bool>,
) -> eyre::Result<()> {
    let shutdown = stopping.clone();
    let service = HttpService::build()
        .client_request_timeout(HEADER_TIMEOUT)
        .graceful_shutdown_signal(move || {
            let mut stopping = shutdown.clone();
            async move {
                // Fails only when the sender is dropped at the end of the process; that is a shutdown as
                // well.
                let _ = stopping.wait_for(|stopping| *stopping).await;
            }
        })
        .h1(fn_service(move |request: Request| {
            let admin = Rc::clone(&admin);
            async move { Ok::<_, Infallible>(admin.answer(request).await) }
        }));
    let service = service
        .new_service(())
        .await
        .map_err(|()| eyre!("cannot create the HTTP service"))?;
    let service = Rc::new(service);
    let (connection_guard, mut all_closed) = tokio::sync::mpsc::channel::<()>(1);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopping.wait_for(|stopping| *stopping) => break,
        };
        match accepted {
            Ok((stream, peer)) => {
                let service = Rc::clone(&service);
                let connection_guard = connection_guard.clone();
                actix_rt::spawn(async move {
                    if let Err(error) = service.call((stream, Some(peer))).await {
                        log::debug!("connection of {peer} ended: {error}");
                    }
                    drop(connection_guard);
                });
            }
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    drop(connection_guard);
    // Ends when the last connection has dropped its guard. Connections that are still open after the
    // time limit of a change are abandoned.
    let _ = timeout(CHANGE_TIMEOUT, all_closed.recv()).await;
    Ok(())
}

impl Admin {
    async fn answer(&self, mut request: Request) -> Response<String> {
        if request.method() == Method::GET && request.path() == "/metrics" {
            return match self.metrics.text() {
                Ok(text) => response(StatusCode::OK, Metrics::CONTENT_TYPE, text),
                Err(error) => response(
                    StatusCode::INTERNAL_SERVER_ERROR,
                    "text/plain",
                    error.to_string(),
                ),
            };
        }
        let answer = if self.is_operator(&request) {
            self.route(&mut request).await
        } else {
            Answer::error(
                StatusCode::UNAUTHORIZED,
                "unauthorized",
                "expected the bearer key of an operator",
            )
        };
        response(answer.status, "application/json", answer.body.to_string())
    }

    fn is_operator(&self, request: &Request) -> bool {
        let key = request
            .headers()
            .get(header::AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix("Bearer "));
        let Some(key) = key else {
            return false;
        };
        let hash = format!("{:x}", Sha256::digest(key.trim().as_bytes()));
        self.keys_sha256
            .iter()
            .any(|known| known.eq_ignore_ascii_case(&hash))
    }

    async fn route(&self, request: &mut Request) -> Answer {
        let path = request.path().to_owned();
        let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let get = request.method() == Method::GET;
        let post = request.method() == Method::POST;
        match segments[..] {
            ["v1", "config"] | ["v1", "config", "history"] if get && !self.is_current() => {
                Answer::error(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "not_current",
                    "this replica does not know yet which configuration is the newest; ask another one",
                )
            }
            ["v1", "config"] if get => Answer::new(StatusCode::OK, self.config_document()),
            ["v1", "config", "history"] if get => {
                let state = self.proposer.shared.state();
                let history: Vec<Value> = state.history().iter().map(history_entry).collect();
                Answer::new(StatusCode::OK, json!({ "history": history }))
            }
            ["v1", "status"] | ["status"] if get => {
                Answer::new(StatusCode::OK, self.status_document())
            }
            ["v1", "config", "apply"] if post => match read_body::<Apply>(request).await {
                Ok(apply) => self.apply(apply).await,
                Err(answer) => answer,
            },
            ["v1", "replicas", id, "remove"] if post => self.remove_replica(id).await,
            ["v1", kind @ ("zones" | "targets"), name] if post => {
                let Some(name) = percent_decode(name).filter(|name| !name.is_empty()) else {
                    return Answer::error(
                        StatusCode::BAD_REQUEST,
                        "invalid_name",
                        "the name in the path is not valid",
                    );
                };
                match read_body::<SetOut>(request).await {
                    Ok(set) if kind == "zones" => {
                        self.set_out(Subject::Zone(name.into()), set).await
                    }
                    Ok(set) => self.set_out(Subject::Target(name.into()), set).await,
                    Err(answer) => answer,
                }
            }
            _ => Answer::error(
                StatusCode::NOT_FOUND,
                "not_found",
                "no such call; see docs/OPERATIONS.md",
            ),
        }
    }

    /// Returns whether this replica has applied all changes that it can know of.
    fn is_current(&self) -> bool {
        self.proposer.shared.view().is_current
    }

    async fn apply(&self, apply: Apply) -> Answer {
        let Apply {
            id,
            base,
            inventory,
        } = apply;
        if let Some(answer) = check_id(&id) {
            return answer;
        }
        let digest = Sha256::digest(inventory.as_bytes());
        let content = digest
            .iter()
            .take(8)
            .fold(0, |hash, byte| (hash << 8) | u64::from(*byte));
        let inventory = match primrosepin_config::inventory::parse(&inventory, "inventory") {
            Ok(inventory) => inventory,
            Err(error) => {
                return Answer::error(
                    StatusCode::UNPROCESSABLE_ENTITY,
                    "invalid_inventory",
                    &error.to_string(),
                );
            }
        };
        let command = Command::Apply {
            id: Arc::clone(&id),
            now_ms: 0,
            content_hash: content,
            base,
            inventory,
        };
        self.propose_change(id, command).await
    }

    async fn set_out(&self, subject: Subject, set: SetOut) -> Answer {
        let SetOut { id, out } = set;
        if let Some(answer) = check_id(&id) {
            return answer;
        }
        let command = Command::SetOut {
            id: Arc::clone(&id),
            now_ms: 0,
            subject,
            out,
        };
        self.propose_change(id, command).await
    }

    /// Removes a replica. Ids of replicas are never reused, so a repeated call has no further effect.
    async fn remove_replica(&self, id: &str) -> Answer {
        let shared = &self.proposer.shared;
        let members = shared.view().members;
        let found = u64::from_str_radix(id, 16).ok().map(Id);
        let found = found.filter(|id| members.get(*id).is_some() || members.removed.contains(id));
        let Some(id) = found else {
            return Answer::error(
                StatusCode::NOT_FOUND,
                "unknown_replica",
                "no replica has this id; the ids are in /v1/status",
            );
        };
        // If the queue is full the input is lost; the member then stays, and the call answers `unknown`.
        drop(self.proposer.node.try_send(Input::Remove(id)));
        let mut changes = shared.watch();
        let removed = changes.wait_for(|view| view.members.get(id).is_none());
        match timeout(CHANGE_TIMEOUT, removed).await {
            Ok(_) => {
                log::info!("removed replica {:016x}", id.0);
                Answer::new(StatusCode::OK, json!({ "outcome": "removed" }))
            }
            Err(_) => Answer::error(
                StatusCode::SERVICE_UNAVAILABLE,
                "unknown",
                "not removed yet; there is no leader, or the others have no quorum without it",
            ),
        }
    }

    /// Proposes a change and answers with its outcome.
    async fn propose_change(&self, id: Arc<str>, command: Command) -> Answer {
        match self.proposer.submit(command, CHANGE_TIMEOUT).await {
            Decision::Committed(Outcome::Accepted { version }) => {
                log::info!("change {id} accepted as version {version}");
                Answer::new(
                    StatusCode::OK,
                    json!({ "outcome": "accepted", "id": id, "version": version }),
                )
            }
            Decision::Committed(Outcome::Conflict { version }) => {
                self.catch_up(version).await;
                let mut body = self.config_document();
                body["error"] = json!({
                    "code": "conflict",
                    "message": format!("another change came first; version {version} is in force"),
                });
                Answer::new(StatusCode::CONFLICT, body)
            }
            Decision::Committed(Outcome::Unknown) => Answer::error(
                StatusCode::NOT_FOUND,
                "unknown_zone",
                "the zone is not in the configuration in force",
            ),
            Decision::Committed(Outcome::Reused) => Answer::error(
                StatusCode::UNPROCESSABLE_ENTITY,
                "id_reused",
                "the id was used for another change",
            ),
            Decision::NotAccepted => Answer::error(
                StatusCode::SERVICE_UNAVAILABLE,
                "not_accepted",
                "the change is certainly not accepted; control has no leader or no quorum",
            ),
            Decision::Committed(_) | Decision::Unknown => Answer::error(
                StatusCode::SERVICE_UNAVAILABLE,
                "unknown",
                "the change may have been accepted; resend it with the same id",
            ),
        }
    }

    /// Waits until this replica has applied a version, so that the answer to a conflict contains it.
    async fn catch_up(&self, version: u64) {
        let mut changes = self.proposer.shared.watch();
        let reached = changes.wait_for(|_| self.proposer.shared.state().version() >= version);
        // After the timeout the answer contains an older version.
        let _ = timeout(CATCH_UP_TIMEOUT, reached).await;
    }

    /// Returns the configuration in force with its version.
    fn config_document(&self) -> Value {
        let config = self.proposer.shared.state().config().cloned();
        match config.as_deref() {
            Some(Config {
                version,
                inventory,
                zones_out,
                targets_out,
                ..
            }) => json!({
                "version": version,
                "inventory": inventory,
                "zones_out": zones_out,
                "targets_out": targets_out,
            }),
            None => json!({
                "version": 0,
                "inventory": primrosepin_core::inventory::Inventory::default(),
                "zones_out": [],
                "targets_out": [],
            }),
        }
    }

    /// Returns the status of this replica, of the other replicas and of the entry VMs.
    fn status_document(&self) -> Value {
        let shared = &self.proposer.shared;
        let view = shared.view();
        let config = shared.state().config().cloned();
        let replicas: Vec<Value> = view
            .members
            .list
            .iter()
            .map(|member| {
                json!({
                    "id": format!("{:016x}", member.id.0),
                    "vm": member.vm,
                    "address": member.address,
                    "voter": member.voter,
                    "reachable": member.id == view.id || self.contacts.is_reachable(member.id),
                })
            })
            .collect();
        let zones = config.iter().flat_map(|config| &config.inventory.zones);
        let vms: Vec<Value> = zones
            .flat_map(|zone| zone.entries.iter().map(|name| (name, &zone.name)))
            .map(|(name, zone)| {
                let (version, state) = self.contacts.version_and_state(name);
                json!({ "vm": name, "zone": zone, "version": version, "state": state })
            })
            .collect();
        json!({
            "version": config.as_ref().map_or(0, |config| config.version),
            "vm": self.vm,
            "id": format!("{:016x}", view.id.0),
            "role": match view.role {
                Role::Blank => "blank",
                Role::Follower => "follower",
                Role::PreCandidate | Role::Candidate => "candidate",
                Role::Leader => "leader",
            },
            "term": view.term,
            "applied": view.applied,
            "leader": view.leader.as_ref().map(|(vm, _)| vm),
            "failure": view.failure,
            "replicas": replicas,
            "vms": vms,
            "zones_out": config.as_ref().map_or(&[][..], |config| &config.zones_out),
            "targets_out": config.as_ref().map_or(&[][..], |config| &config.targets_out),
        })
    }
}

fn history_entry(change: &Change) -> Value {
    json!({
        "version": change.version,
        "id": change.id,
        "at_ms": change.at_ms,
        "change": change.kind,
    })
}

fn check_id(id: &str) -> Option<Answer> {
    let valid =
        !id.is_empty() && id.len() <= MAX_ID_BYTES && id.bytes().all(|b| b.is_ascii_graphic());
    (!valid).then(|| {
        Answer::error(
            StatusCode::BAD_REQUEST,
            "invalid_id",
            "expected an id of 1 to 128 printable characters",
        )
    })
}

/// Reads the body of a request and parses it as JSON.
async fn read_body<T>(request: &mut Request) -> Result<T, Answer>
where
    T: for<'de> Deserialize<'de>,
{
    let read = async {
        let mut body = BytesMut::new();
        let mut payload = request.take_payload();
        while let Some(part) = payload.next().await {
            let part = part.map_err(|error| {
                Answer::error(
                    StatusCode::BAD_REQUEST,
                    "broken_body",
                    &format!("the body broke off: {error}"),
                )
            })?;
            if body.len() + part.len() > MAX_BODY_BYTES {
                return Err(Answer::error(
                    StatusCode::PAYLOAD_TOO_LARGE,
                    "body_too_large",
                    &format!("the body is larger than {MAX_BODY_BYTES} bytes"),
                ));
            }
            body.extend_from_slice(&part);
        }
        Ok(body)
    };
    let body = match timeout(BODY_TIMEOUT, read).await {
        Ok(body) => body?,
        Err(_) => {
            return Err(Answer::error(
                StatusCode::REQUEST_TIMEOUT,
                "slow_body",
                "the body did not arrive in time",
            ));
        }
    };
    serde_json::from_slice(&body).map_err(|error| {
        Answer::error(
            StatusCode::BAD_REQUEST,
            "invalid_body",
            &format!("the body is not valid: {error}"),
        )
    })
}

fn response(status: StatusCode, content_type: &'static str, body: String) -> Response<String> {
    let mut response = Response::with_body(status, body);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Percent-decodes a segment of a path; none if it is malformed or not UTF-8.
fn percent_decode(segment: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(segment.len());
    let mut rest = segment.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        rest = after;
        if *first == b'%' {
            let (digits, after) = rest.split_at_checked(2)?;
            let digits = std::str::from_utf8(digits).ok()?;
            bytes.push(u8::from_str_radix(digits, 16).ok()?);
            rest = after;
        } else {
            bytes.push(*first);
        }
    }
    String::from_utf8(bytes).ok()
}
