//! Stand-in plain service that counts runs by idempotency key.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody, MessageBody};
use actix_http::{Method, Request, Response, StatusCode};
use bytes::Bytes;
use futures_util::{FutureExt, stream};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::{Notify, oneshot, watch};

use crate::announcer::Announcer;
use crate::answer;
use crate::engine::settings::Budget;
use crate::fault::{Fault, Pending};
use crate::record::{End, Record, Status};
use crate::respond::{error, header, json, read_body, with_header};
use crate::server::{self, Connections};
use crate::time::now_us;

/// Settings of a stand-in plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Name of the target.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Service that the target belongs to.
    pub service: String,
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Addresses where the zone's entry VMs listen for targets (`targets` in their settings).
    pub entries: Vec<SocketAddr>,
    /// Bearer key for announcements.
    pub announce_key: String,
    /// Time that each call takes, milliseconds.
    pub service_ms: u64,
    /// Most calls that run at the same time; further ones are refused as not run.
    pub max_running: u32,
    /// Whether the service starts cold.
    pub start_cold: bool,
    /// Limit while cold; only `requests` applies. It doubles each time that as many calls as the
    /// limit allows have completed.
    pub cold_budget: Budget,
    /// Time after turning cold in which excess calls are counted but do not cause a crash,
    /// milliseconds.
    pub cold_grace_ms: u64,
    /// Time from a crash by overload to the restart, milliseconds.
    pub down_ms: u64,
    /// Time between announcements, milliseconds.
    pub announce_ms: u64,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: "plain-0".into(),
            zone: "zone-a".into(),
            service: "orders".into(),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            entries: Vec::new(),
            announce_key: String::new(),
            service_ms: 10,
            max_running: 64,
            start_cold: false,
            cold_budget: Budget {
                requests: 4,
                tokens: 0,
            },
            cold_grace_ms: 1_500,
            down_ms: 3_000,
            announce_ms: 500,
            seed: 1,
        }
    }
}

#[derive(Debug)]
struct State {
    settings: Settings,
    incarnation: u64,
    seq: u64,
    up: bool,
    draining: bool,
    /// State while cold: limit of running calls, calls completed since the limit was last doubled, and
    /// end of the grace period in microseconds. `None` while warm.
    cold: Option<(u32, u32, u64)>,
    running: u32,
    records: Vec<Record>,
    /// Number of runs by idempotency key.
    runs: BTreeMap<String, u64>,
    pending: Pending,
    refused: u64,
    cold_overruns: u64,
    cold_excess_in_grace: u64,
    /// Crash to carry out: time until the restart, milliseconds, and whether the service is then
    /// cold.
    crash: Option<(u64, bool)>,
    /// Request to stop; the sender reports that it is done.
    stop: Option<oneshot::Sender<()>>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    connections: Arc<Connections>,
    /// Wakes the supervisor.
    wake: Notify,
    /// Changes trigger an announcement.
    changed: watch::Sender<u64>,
    address: SocketAddr,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn inject_fault(&self, fault: &Fault) {
        let now_us = now_us();
        let mut state = self.state();
        state.pending.set(fault, now_us);
        match *fault {
            Fault::Die { for_ms, cold } => state.crash = Some((for_ms, cold)),
            Fault::GoCold { .. } => {
                let grace_until_us = now_us + state.settings.cold_grace_ms * 1000;
                state.cold = Some((state.settings.cold_budget.requests, 0, grace_until_us));
            }
            Fault::Silence => self.connections.hang_open(),
            _ => {}
        }
        drop(state);
        self.wake.notify_one();
        self.changed.send_modify(|count| *count += 1);
    }
}

/// A running stand-in plain service. Dropping the handle leaves it running.
#[derive(Debug, Clone)]
pub struct Plain {
    shared: Arc<Shared>,
}

impl Plain {
    /// Starts a plain service on the actix runtime of the caller.
    pub async fn start(settings: Settings) -> io::Result<Self> {
        let listener = server::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let announcer = Announcer {
            entries: settings.entries.clone(),
            key: settings.announce_key.clone(),
            interval: Duration::from_millis(settings.announce_ms),
            seed: settings.seed,
        };
        let (changed, changes) = watch::channel(0);
        let cold = settings
            .start_cold
            .then_some((settings.cold_budget.requests, 0, 0));
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                settings,
                incarnation: now_us(),
                seq: 0,
                up: true,
                draining: false,
                cold,
                running: 0,
                records: Vec::new(),
                runs: BTreeMap::new(),
                pending: Pending::new(),
                refused: 0,
                cold_overruns: 0,
                cold_excess_in_grace: 0,
                crash: None,
                stop: None,
            }),
            connections: Arc::new(Connections::default()),
            wake: Notify::new(),
            changed,
            address,
        });
        let weak = Arc::downgrade(&shared);
        actix_rt::spawn(announcer.run(changes, move || announcement(&*weak.upgrade()?)));
        actix_rt::spawn(supervise(Arc::clone(&shared), listener));
        Ok(Self { shared })
    }

    /// Returns the HTTP address.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Returns the name of the target.
    pub fn name(&self) -> String {
        self.shared.state().settings.name.clone()
    }

    /// Returns the records of all runs, in the order of their arrival.
    pub fn records(&self) -> Vec<Record> {
        self.shared.state().records.clone()
    }

    /// Returns the number of runs by idempotency key.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.shared.state().runs.clone()
    }

    /// Returns the current state.
    pub fn status(&self) -> Status {
        let state = self.shared.state();
        Status {
            name: state.settings.name.clone(),
            incarnation: state.incarnation,
            up: state.up,
            cold: state.cold.is_some(),
            running: state.running,
            cold_overruns: state.cold_overruns,
            cold_excess_in_grace: state.cold_excess_in_grace,
            refused: state.refused,
            ..Status::default()
        }
    }

    /// Injects a fault.
    pub fn inject_fault(&self, fault: &Fault) {
        self.shared.inject_fault(fault);
    }

    /// Sets whether the service announces `draining` and refuses new calls.
    pub fn set_draining(&self, draining: bool) {
        self.shared.state().draining = draining;
        self.shared.changed.send_modify(|count| *count += 1);
    }

    /// Closes all connections and stops.
    pub async fn stop(&self) {
        let (stopped, done) = oneshot::channel();
        self.shared.state().stop = Some(stopped);
        self.shared.wake.notify_one();
        // An error means that the runtime of the service has ended, which stops the service as well.
        drop(done.await);
    }
}

/// Returns the announcement; `None` while the service is down or its announcements are stopped.
fn announcement(shared: &Shared) -> Option<Value> {
    let mut state = shared.state();
    if !state.up || now_us() < state.pending.muted_until_us {
        return None;
    }
    state.seq += 1;
    let announced_state = match state.cold {
        _ if state.draining => "draining",
        Some(_) => "cold",
        None => "warm",
    };
    let running = (f64::from(state.running) * state.pending.load_factor) as u32;
    let settings = &state.settings;
    Some(json!({
        "name": settings.name, "zone": settings.zone, "service": settings.service,
        "kind": "plain", "address": shared.address.to_string(),
        "incarnation": state.incarnation, "seq": state.seq, "state": announced_state, "models": [],
        "cold_budget": settings.cold_budget, "max_running": settings.max_running,
        "kv_tokens": 0, "prefill_tokens_per_s": 0, "decode_tokens_per_s": 0,
        "spans": false, "checks_fencing": false,
        "load": { "running": running, "waiting": 0, "prefill_tokens": 0, "kv_tokens_used": 0 },
    }))
}

/// Serves, and carries out crashes, restarts and the stop.
async fn supervise(shared: Arc<Shared>, mut listener: tokio::net::TcpListener) {
    loop {
        let handler_shared = Arc::clone(&shared);
        let server = server::serve(listener, Arc::clone(&shared.connections), move |request| {
            route(Arc::clone(&handler_shared), request).boxed_local()
        });
        let (stop, crash) = loop {
            shared.wake.notified().await;
            let mut state = shared.state();
            let end = (state.stop.take(), state.crash.take());
            if end.0.is_some() || end.1.is_some() {
                break end;
            }
        };
        server.abort();
        // The listener is closed once its task has ended.
        drop(server.await);
        shared.connections.abort_all();
        let end_us = now_us();
        {
            let mut state = shared.state();
            state.up = false;
            state.running = 0;
            for record in &mut state.records {
                if record.end == End::Running {
                    record.end = End::Died;
                    record.ended_us = end_us;
                }
            }
        }
        if let Some(stopped) = stop {
            // Nothing to do if the receiver was dropped.
            let _ = stopped.send(());
            return;
        }
        let (down_ms, cold) = crash.unwrap_or((0, false));
        actix_rt::time::sleep(Duration::from_millis(down_ms)).await;
        listener = match server::bind(shared.address).await {
            Ok(listener) => listener,
            Err(error) => {
                log::error!("plain service {} cannot restart: {error}", shared.address);
                return;
            }
        };
        let mut state = shared.state();
        state.incarnation = now_us().max(state.incarnation + 1);
        state.seq = 0;
        state.up = true;
        state.draining = false;
        state.cold = cold.then_some((state.settings.cold_budget.requests, 0, 0));
        drop(state);
        shared.changed.send_modify(|count| *count += 1);
    }
}

async fn route(shared: Arc<Shared>, mut request: Request) -> Response<BoxBody> {
    let path = request.path().to_owned();
    let Some(bytes) = read_body(&mut request).await else {
        return error(StatusCode::BAD_REQUEST, "the body could not be read");
    };
    match (request.method(), path.as_str()) {
        (&Method::GET, "/healthz") => json(StatusCode::OK, &json!({ "ok": true })),
        (&Method::GET, "/v1/records") => json(StatusCode::OK, &shared.state().records),
        (&Method::GET, "/v1/runs") => json(StatusCode::OK, &shared.state().runs),
        (&Method::POST, "/v1/faults") => match serde_json::from_slice::<Fault>(&bytes) {
            Ok(fault) => {
                shared.inject_fault(&fault);
                json(StatusCode::OK, &fault)
            }
            Err(cause) => error(StatusCode::BAD_REQUEST, &cause.to_string()),
        },
        (method, path) => call(&shared, &request, method, path, &bytes).await,
    }
}

/// A running call. If it is dropped before its end, because the connection closed, the run is
/// recorded as cancelled.
#[derive(Debug)]
struct Run {
    shared: Arc<Shared>,
    record_index: usize,
    incarnation: u64,
}

impl Run {
    /// Records the end of the run unless it has already ended.
    fn end(&self, end: End, delivered: bool) {
        let mut state = self.shared.state();
        if state.incarnation != self.incarnation {
            return;
        }
        let record = &mut state.records[self.record_index];
        if record.end != End::Running {
            return;
        }
        record.end = end;
        record.delivered = delivered;
        record.ended_us = now_us();
        state.running = state.running.saturating_sub(1);
        let max_running = state.settings.max_running;
        if let Some((limit, since_doubling, _)) = &mut state.cold
            && end == End::Completed
        {
            *since_doubling += 1;
            if *since_doubling >= *limit {
                (*limit, *since_doubling) = (*limit * 2, 0);
            }
            if *limit >= max_running {
                state.cold = None;
                drop(state);
                self.shared.changed.send_modify(|count| *count += 1);
            }
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.end(End::Cancelled, false);
    }
}

/// Runs a call and answers it, with the pending faults applied.
async fn call(
    shared: &Arc<Shared>,
    request: &Request,
    method: &Method,
    path: &str,
    bytes: &Bytes,
) -> Response<BoxBody> {
    let idempotency_key = header(request, "idempotency-key");
    let user = header(request, "x-bench-user");
    let attempt = header(request, "x-primrosepin-attempt").unwrap_or_default();
    let now_us = now_us();
    let (run, late_ms, swapped, cut, refused_after_run, service_ms) = {
        let mut guard = shared.state();
        let state = &mut *guard;
        let refused_after_run = {
            let (proof, run, count) = &mut state.pending.refuse;
            let refuse = Pending::take(count);
            if refuse && *proof || state.draining || state.running >= state.settings.max_running {
                state.refused += 1;
                let refusal = error(StatusCode::SERVICE_UNAVAILABLE, "busy");
                return with_header(refusal, "x-primrosepin-ran", "0");
            }
            if refuse && !*run {
                state.refused += 1;
                return error(StatusCode::SERVICE_UNAVAILABLE, "refused without proof");
            }
            refuse
        };
        if let Some((limit, _, grace_until_us)) = state.cold
            && state.running + 1 > limit
        {
            if now_us < grace_until_us {
                state.cold_excess_in_grace += 1;
            } else {
                state.cold_overruns += 1;
                state.crash = Some((state.settings.down_ms, true));
                shared.wake.notify_one();
            }
        }
        state.running += 1;
        if let Some(key) = &idempotency_key {
            *state.runs.entry(key.clone()).or_default() += 1;
        }
        state.records.push(Record {
            target: state.settings.name.clone(),
            incarnation: state.incarnation,
            attempt: attempt.clone(),
            request: header(request, "x-primrosepin-request"),
            idempotency_key: idempotency_key.clone(),
            user: user.clone(),
            priority: 0,
            prompt_tokens: 0,
            cached_tokens: 0,
            max_tokens: 0,
            generated_tokens: 0,
            cold: state.cold.is_some(),
            kv_tokens_held: 0,
            ahead: state.running - 1,
            received_us: now_us,
            started_us: now_us,
            first_token_us: 0,
            ended_us: 0,
            end: End::Running,
            delivered: false,
            orphaned_kv_tokens: 0,
            orphaned_kv_token_s: 0,
        });
        let run = Run {
            shared: Arc::clone(shared),
            record_index: state.records.len() - 1,
            incarnation: state.incarnation,
        };
        let (by_ms, count) = &mut state.pending.late;
        let late_ms = if Pending::take(count) { *by_ms } else { 0 };
        let swapped = Pending::take(&mut state.pending.cross);
        let cut = Pending::take(&mut state.pending.cut.1);
        let stall_ms = state.pending.stalled_until_us.saturating_sub(now_us) / 1000;
        let service_ms = state.settings.service_ms + stall_ms;
        (run, late_ms, swapped, cut, refused_after_run, service_ms)
    };
    actix_rt::time::sleep(Duration::from_millis(service_ms)).await;
    if refused_after_run {
        run.end(End::Completed, false);
        return error(StatusCode::SERVICE_UNAVAILABLE, "refused without proof");
    }
    if late_ms > 0 {
        actix_rt::time::sleep(Duration::from_millis(late_ms)).await;
    }
    let key = answer::key(user.as_deref(), bytes);
    let key = if swapped { !key } else { key };
    let named_attempt = if swapped {
        format!("stale-{attempt}")
    } else {
        attempt
    };
    let answer = json!({
        "method": method.as_str(), "path": path, "answer": format!("{key:016x}"),
        "key": idempotency_key,
    });
    run.end(End::Completed, !cut);
    let response = json(StatusCode::OK, &answer);
    let response = if cut {
        let complete = serde_json::to_vec(&answer).unwrap_or_default();
        let half = Bytes::copy_from_slice(&complete[..complete.len() / 2]);
        let parts = [
            Ok(half),
            Err(io::Error::other("connection closed by an injected fault")),
        ];
        response.set_body(BodyStream::new(stream::iter(parts)).boxed())
    } else {
        response
    };
    with_header(response, "x-primrosepin-attempt", &named_attempt)
}
