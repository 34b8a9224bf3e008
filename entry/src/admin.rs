//! HTTP API for operators: metrics, status and local zone orders.

use std::rc::Rc;
use std::sync::Arc;

use actix_http::body::BoxBody;
use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{HttpMessage, Request, Response, StatusCode};
use awc::http::Method;
use bytes::BytesMut;
use futures_util::StreamExt;
use primrosepin_core::membership::Override;
use primrosepin_core::serving::event::Event;
use serde::Deserialize;
use serde_json::{Map, Value, json};
use tokio::sync::{mpsc, oneshot};

use crate::callers::bearer_key;
use crate::config_index;
use crate::driver::{Query, Snapshot};
use crate::listen::Connection;
use crate::metrics::{OUTCOMES, totals};
use crate::node::{Node, Phase};
use crate::targets::json_response;

/// Largest accepted body of an operator's request.
const BODY_BYTES_MAX: usize = 4 * 1024;

/// State of the HTTP API for operators.
#[derive(Debug)]
pub(crate) struct OperatorApi {
    node: Rc<Node>,
    query: mpsc::Sender<Query>,
    keys: Vec<[u8; 32]>,
}

type Failure = (u16, &'static str, String);

impl OperatorApi {
    pub(crate) fn new(node: Rc<Node>, query: mpsc::Sender<Query>) -> Self {
        let keys = &node.settings.operator_keys_sha256;
        Self {
            keys: keys
                .iter()
                .filter_map(|key| config_index::parse_hash(key))
                .collect(),
            node,
            query,
        }
    }

    async fn snapshot(&self) -> Result<Snapshot, Failure> {
        let ended = || (503, "ending", "the process ends".to_owned());
        let (sender, receiver) = oneshot::channel();
        if self.query.send(sender).await.is_err() {
            return Err(ended());
        }
        receiver.await.ok().ok_or_else(ended)
    }
}

/// Serves one request of an operator.
pub(crate) async fn serve(
    operator_api: Rc<OperatorApi>,
    mut request: Request,
) -> Response<BoxBody> {
    let connection = Connection::of(&request);
    let _active = connection.as_ref().map(Connection::enter);
    match handle(&operator_api, &mut request).await {
        Ok(response) => response,
        Err((status, code, message)) => json_response(
            status,
            &json!({ "error": { "code": code, "message": message } }),
        ),
    }
}

async fn handle(
    operator_api: &OperatorApi,
    request: &mut Request,
) -> Result<Response<BoxBody>, Failure> {
    let node = &operator_api.node;
    let path = request.path().to_owned();
    let is_get = request.method() == Method::GET;
    if path == "/metrics" && is_get {
        let snapshot = operator_api.snapshot().await?;
        let text = node
            .metrics
            .text(&snapshot, node.buffered_bytes.get())
            .map_err(|error| (500, "metrics", error.to_string()))?;
        let mut response = Response::with_body(StatusCode::OK, BoxBody::new(text));
        response.headers_mut().insert(
            CONTENT_TYPE,
            HeaderValue::from_static("text/plain; version=0.0.4"),
        );
        return Ok(response);
    }
    let known = bearer_key(request.headers())
        .is_some_and(|key| operator_api.keys.contains(&config_index::hash(key)));
    if !known {
        let message = "the operator key is missing or unknown".to_owned();
        return Err((401, "unknown_key", message));
    }
    if path == "/status" && is_get {
        return Ok(json_response(
            200,
            &status(node, &operator_api.snapshot().await?),
        ));
    }
    if let Some(zone) = path.strip_prefix("/v1/local/zones/")
        && request.method() == Method::POST
    {
        set_zone_out(node, zone, request).await?;
        return Ok(json_response(202, &json!({ "accepted": true })));
    }
    Err((404, "unknown_path", format!("no operators' call at {path}")))
}

/// Reads a local zone order from the request and passes it to the reducer.
async fn set_zone_out(node: &Node, zone: &str, request: &mut Request) -> Result<(), Failure> {
    #[derive(Deserialize)]
    #[serde(deny_unknown_fields)]
    struct Order {
        out: bool,
    }
    let Some(config_index) = node.config_index() else {
        return Err((
            503,
            "not_ready",
            "the process has no configuration yet".into(),
        ));
    };
    let config = &config_index.config;
    let Some(zone) = config
        .inventory
        .zones
        .iter()
        .find(|known| *known.name == *zone)
    else {
        return Err((
            404,
            "unknown_zone",
            format!("the inventory has no zone {zone}"),
        ));
    };
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| (400, "bad_body", error.to_string()))?;
        if body.len() + chunk.len() > BODY_BYTES_MAX {
            return Err((
                413,
                "body_too_large",
                "expected {\"out\":true|false}".into(),
            ));
        }
        body.extend_from_slice(&chunk);
    }
    let Order { out } =
        serde_json::from_slice(&body).map_err(|error| (400, "bad_body", error.to_string()))?;
    let sequence = node.order_sequence();
    log::info!("received local zone order: zone {}, out={out}", zone.name);
    node.report(Event::LocalOrder(Override {
        zone: Arc::clone(&zone.name),
        out,
        sequence,
        config: config.version,
    }));
    Ok(())
}

fn status(node: &Node, snapshot: &Snapshot) -> Value {
    let config_index = node.config_index();
    let config = config_index
        .as_ref()
        .map(|config_index| &config_index.config);
    let counters = &snapshot.counters;
    let totals: Map<String, Value> = totals(counters)
        .into_iter()
        .map(|(name, total)| (name.to_owned(), total.into()))
        .collect();
    let outcomes: Map<String, Value> = OUTCOMES
        .into_iter()
        .map(|outcome| {
            (
                outcome.as_str().to_owned(),
                counters.outcome(outcome).into(),
            )
        })
        .collect();
    let targets: Vec<Value> = snapshot
        .targets
        .iter()
        .map(|target| {
            let announcement = &target.announcement;
            json!({
                "name": announcement.name,
                "service": announcement.service,
                "address": announcement.address,
                "incarnation": announcement.incarnation,
                "seq": announcement.seq,
                "state": announcement.state,
                "cold": target.cold,
                "out": target.out,
                "conflict": target.conflict,
                "unresponsive": target.unresponsive,
                "running": target.running,
                "zone_running": target.zone_running,
                "wait_ms": target.wait_us / 1_000,
                "load": announcement.load,
            })
        })
        .collect();
    let members: Vec<Value> = snapshot
        .members
        .iter()
        .map(|member| {
            json!({
                "vm": member.instance.name,
                "incarnation": member.instance.incarnation,
                "peers": member.address.peers,
                "callers": member.address.callers,
                "alive": member.alive,
                "draining": member.draining,
                "version": member.config,
                "epoch": member.epoch,
            })
        })
        .collect();
    let holder = snapshot
        .members
        .iter()
        .find(|member| member.epoch.is_some());
    let coordinator = match (snapshot.epoch, holder) {
        (Some(epoch), _) => json!({ "vm": node.settings.vm, "epoch": epoch }),
        (None, Some(member)) => json!({ "vm": member.instance.name, "epoch": member.epoch }),
        (None, None) => Value::Null,
    };
    let phase = match *node.phase.borrow() {
        Phase::Serving => "serving",
        Phase::Draining => "draining",
        Phase::Closing => "closing",
    };
    json!({
        "vm": node.settings.vm,
        "zone": node.settings.zone,
        "phase": phase,
        "ready": node.ready.get(),
        "version": config.map(|config| config.version),
        "zones_out": config.map(|config| &config.zones_out),
        "targets_out": config.map(|config| &config.targets_out),
        "coordinator": coordinator,
        "members": members,
        "targets": targets,
        "requests": { "live": snapshot.live, "waiting": snapshot.waiting, "buffered_bytes": node.buffered_bytes.get() },
        "counters": totals,
        "outcomes": outcomes,
        "refusals": counters.reasons,
        "rejections": node.metrics.rejections(),
    })
}
