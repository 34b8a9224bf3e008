//! Metrics of entry and control processes, served in the Prometheus text format.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use primrosepin_telemetry::metrics::{Counter, Gauge, Histogram, Label, Metrics};
use tokio::net::TcpListener;

use crate::account::{Account, Kind, Stage};
use crate::http::{self, Connection};
use crate::net;

/// Maximum size of the head of a scrape request, bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Time in which the head of a scrape request must start to arrive, and then be complete.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);

/// Size class of a request, for metric labels and logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// A request to a plain service.
    Plain,
    /// Up to 4,000 prompt tokens.
    Short,
    /// Up to 32,000 prompt tokens.
    Medium,
    /// Up to 128,000 prompt tokens.
    Long,
    /// More than 128,000 prompt tokens.
    Huge,
}

impl Class {
    /// Returns the class for a prompt length; `None` stands for a plain service.
    pub fn new(prompt_tokens: Option<u64>) -> Self {
        match prompt_tokens {
            None => Self::Plain,
            Some(..=4_000) => Self::Short,
            Some(..=32_000) => Self::Medium,
            Some(..=128_000) => Self::Long,
            Some(_) => Self::Huge,
        }
    }

    /// Returns the value used in metric labels and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Plain => "plain",
            Self::Short => "short",
            Self::Medium => "medium",
            Self::Long => "long",
            Self::Huge => "huge",
        }
    }
}

/// Instruments of an entry process.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Finished requests, by outcome, class and organisation.
    pub requests: Counter<u64>,
    /// Seconds until the first event, or the complete response, was sent, by class.
    pub first_event_seconds: Histogram<f64>,
    /// Seconds from arrival to the end of the response, by organisation.
    pub response_seconds: Histogram<f64>,
    /// Attempts at targets, by outcome.
    pub attempts: Counter<u64>,
    /// Connections opened to targets.
    pub connections: Counter<u64>,
    /// Requests being received or served; see `Node::pending`.
    pub pending: Gauge<u64>,
    /// Revision of the configuration in force.
    pub revision: Gauge<u64>,
    /// Targets that accept new requests.
    pub targets: Gauge<u64>,
    /// Open links to control VMs.
    pub links: Gauge<u64>,
    /// Targets that ended under requests of this VM whose answers had not begun.
    pub crashes: Counter<u64>,
    /// Rules on prompts that crash targets.
    pub quarantine_rules: Gauge<u64>,
    /// Prefixes that targets are assumed to hold, each counted once for each target.
    pub retained_prefixes: Gauge<u64>,
    /// Prefill time that dispatched requests were expected to save, ms.
    pub saved_prefill_ms: Counter<u64>,
    /// Requests whose targets did not hold the beginning of the prompt as assumed.
    pub prefix_misses: Counter<u64>,
    /// Connections to targets asked of other entry VMs, by outcome.
    pub tunnels: Counter<u64>,
    /// Targets that became slower than their figures.
    pub slowed_targets: Counter<u64>,
    /// Measurements of deviating targets that peers were told of.
    pub sent_paces: Counter<u64>,
    /// Measurements of deviating targets that peers told.
    pub received_paces: Counter<u64>,
    /// Requests that returned after a refusal with a retry time, by whether they returned as told.
    pub returns: Counter<u64>,
    /// Times that an organisation came to use more than its share of the engines.
    pub exceeded_shares: Counter<u64>,
    /// Reports of the waiting order of services with priorities, each sent to all peers.
    pub order_reports: Counter<u64>,
    /// Datagrams that could not be sent.
    pub unsent_datagrams: Counter<u64>,
}

impl Entry {
    /// Registers the instruments.
    pub fn new(metrics: &Metrics) -> Self {
        Self {
            requests: metrics.counter("requests", "Requests by outcome, class and organisation"),
            first_event_seconds: metrics
                .seconds("first_event", "Time to the first event, by class"),
            response_seconds: metrics
                .seconds("answer", "Time to the end of the answer, by organisation"),
            attempts: metrics.counter("attempts", "Attempts at targets by outcome"),
            connections: metrics.counter("target_connections", "New connections to targets"),
            pending: metrics.gauge("pending", "Requests without a final outcome"),
            revision: metrics.gauge("revision", "Revision of the configuration in force"),
            targets: metrics.gauge("targets", "Targets that take work"),
            links: metrics.gauge("links", "Links to control VMs"),
            crashes: metrics.counter(
                "crashes",
                "Attempts that ended with their target, unanswered",
            ),
            quarantine_rules: metrics
                .gauge("quarantine_rules", "Rules on prompts that crash targets"),
            retained_prefixes: metrics.gauge(
                "retained_prefixes",
                "Beginnings of prompts that targets are assumed to hold",
            ),
            saved_prefill_ms: metrics.counter(
                "saved_prefill_ms",
                "Prefill time that dispatched requests were expected to save, ms",
            ),
            prefix_misses: metrics.counter(
                "prefix_misses",
                "Requests whose targets did not hold the beginning as assumed",
            ),
            tunnels: metrics.counter(
                "tunnels",
                "Connections to targets asked of other entry VMs, by outcome",
            ),
            slowed_targets: metrics.counter(
                "slowed_targets",
                "Targets that became slower than their figures",
            ),
            sent_paces: metrics.counter("sent_paces", "Paces of targets that peers were told of"),
            received_paces: metrics.counter("received_paces", "Paces of targets that peers told"),
            returns: metrics.counter(
                "returns",
                "Requests that returned after a refusal, by whether they returned as told",
            ),
            exceeded_shares: metrics.counter(
                "exceeded_shares",
                "Times that an organisation came to use more than its share",
            ),
            order_reports: metrics.counter("order_reports", "Reports of the waiting order"),
            unsent_datagrams: metrics
                .counter("lost_shares", "Datagrams to peers that were not sent"),
        }
    }
}

/// Instruments of a control process.
#[derive(Debug, Clone)]
pub struct Control {
    /// API calls, by kind and status class.
    pub calls: Counter<u64>,
    /// Entry VMs with an open link.
    pub entry_vms: Gauge<u64>,
    /// Messages dropped because the send queue of a link was full or closed.
    pub dropped_messages: Counter<u64>,
}

impl Control {
    /// Registers the instruments.
    pub fn new(metrics: &Metrics) -> Self {
        Self {
            calls: metrics.counter("calls", "Calls of operators and targets by kind and status"),
            entry_vms: metrics.gauge("fronts", "Linked entry VMs"),
            dropped_messages: metrics
                .counter("dropped_messages", "Messages dropped from full queues"),
        }
    }
}

/// Creates a label with a static value.
pub fn label(key: &'static str, value: &'static str) -> Label {
    Label::new(key, value)
}

/// Spawns a task that serves the metrics. Calls `refresh` before each response to update the gauges.
pub fn spawn_server<F>(address: SocketAddr, metrics: Metrics, account: Account, refresh: F)
where
    F: Fn() + 'static,
{
    actix_rt::spawn(async move {
        if let Err(error) = serve(address, metrics, account, refresh).await {
            log::error!("cannot serve metrics: {error:#}");
        }
    });
}

async fn serve<F>(
    address: SocketAddr,
    metrics: Metrics,
    account: Account,
    refresh: F,
) -> eyre::Result<()>
where
    F: Fn() + 'static,
{
    let listener: TcpListener = net::listen(address, Kind::Scrape)?;
    let refresh = Rc::new(refresh);
    let last_bytes = Rc::new(Cell::new(0));
    loop {
        let (stream, _, client) = net::accept(&listener, &account, Kind::Scrape).await;
        let (metrics, refresh) = (metrics.clone(), Rc::clone(&refresh));
        let (account, last_bytes) = (account.clone(), Rc::clone(&last_bytes));
        let eviction = client.eviction();
        actix_rt::spawn(eviction.guard(async move {
            let mut connection = Connection::with_client(stream, client);
            let request = connection
                .read_request(MAX_HEAD_BYTES, HEAD_TIMEOUT, HEAD_TIMEOUT)
                .await;
            if !matches!(request, Ok(Some(_))) {
                return;
            }
            // The text of one scrape is about as long as that of the last one.
            let mut share = connection.share();
            if share
                .resize_within(last_bytes.get(), HEAD_TIMEOUT)
                .await
                .is_err()
            {
                let response = http::encode_response(503, "", b"", true);
                drop(connection.write(&response).await);
                return;
            }
            refresh();
            account.record_gauges();
            let response = match metrics.text() {
                Ok(text) => {
                    let headers = "Content-Type: text/plain; version=0.0.4\r\n";
                    http::encode_response(200, headers, text.as_bytes(), true)
                }
                Err(error) => http::encode_response(500, "", format!("{error:#}").as_bytes(), true),
            };
            connection.set_stage(Stage::Writing);
            last_bytes.set(response.capacity());
            share.set(response.capacity());
            if let Err(error) = connection.write(&response).await {
                log::debug!("cannot send metrics: {error}");
            }
            connection.shutdown().await;
        }));
    }
}
