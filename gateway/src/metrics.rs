//! Metrics of the processes, served as text.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use primrosepin_telemetry::metrics::{Counter, Gauge, Histogram, Label, Metrics};
use tokio::net::TcpListener;

use crate::http::{self, Connection};
use crate::net;

/// Longest head of a request for metrics, bytes, and the time for it.
const HEAD: (usize, Duration) = (8 * 1024, Duration::from_secs(2));

/// Size class of a request for labels.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// A request to a plain service.
    Plain,
    /// Up to 4,000 prompt tokens.
    Short,
    /// Up to 32,000.
    Medium,
    /// Up to 128,000.
    Long,
    /// More.
    Huge,
}

impl Class {
    /// Returns the class of a prompt.
    pub fn new(prompt_tokens: Option<u64>) -> Self {
        match prompt_tokens {
            None => Self::Plain,
            Some(..=4_000) => Self::Short,
            Some(..=32_000) => Self::Medium,
            Some(..=128_000) => Self::Long,
            Some(_) => Self::Huge,
        }
    }

    /// Returns the name for labels and logs.
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
    /// Requests by outcome, class and organisation.
    pub requests: Counter<u64>,
    /// Time to the first event or the whole answer, by class.
    pub first_event: Histogram<f64>,
    /// Time from the arrival to the end of the answer, by organisation.
    pub answer: Histogram<f64>,
    /// Attempts at targets by outcome.
    pub attempts: Counter<u64>,
    /// New connections to targets.
    pub connections: Counter<u64>,
    /// Requests without a final outcome.
    pub pending: Gauge<u64>,
    /// Revision in force.
    pub revision: Gauge<u64>,
    /// Targets that take work.
    pub targets: Gauge<u64>,
    /// Links to control.
    pub links: Gauge<u64>,
    /// Datagrams that were not sent.
    pub unsent_datagrams: Counter<u64>,
}

impl Entry {
    /// Creates the instruments.
    pub fn new(metrics: &Metrics) -> Self {
        Self {
            requests: metrics.counter("requests", "Requests by outcome, class and organisation"),
            first_event: metrics.seconds("first_event", "Time to the first event, by class"),
            answer: metrics.seconds("answer", "Time to the end of the answer, by organisation"),
            attempts: metrics.counter("attempts", "Attempts at targets by outcome"),
            connections: metrics.counter("target_connections", "New connections to targets"),
            pending: metrics.gauge("pending", "Requests without a final outcome"),
            revision: metrics.gauge("revision", "Revision of the configuration in force"),
            targets: metrics.gauge("targets", "Targets that take work"),
            links: metrics.gauge("links", "Links to control VMs"),
            unsent_datagrams: metrics
                .counter("lost_shares", "Datagrams to peers that were not sent"),
        }
    }
}

/// Instruments of a control process.
#[derive(Debug, Clone)]
pub struct Control {
    /// Calls by kind and status.
    pub calls: Counter<u64>,
    /// Linked entry VMs.
    pub entry_vms: Gauge<u64>,
    /// Messages to other processes that were dropped, since their queue was full.
    pub dropped_messages: Counter<u64>,
}

impl Control {
    /// Creates the instruments.
    pub fn new(metrics: &Metrics) -> Self {
        Self {
            calls: metrics.counter("calls", "Calls of operators and targets by kind and status"),
            entry_vms: metrics.gauge("fronts", "Linked entry VMs"),
            dropped_messages: metrics
                .counter("dropped_messages", "Messages dropped from full queues"),
        }
    }
}

/// Creates a label.
pub fn label(key: &'static str, value: &'static str) -> Label {
    Label::new(key, value)
}

/// Serves the metrics as text in a task of its own. `refresh` sets the gauges before each answer.
pub fn spawn_server<F>(address: SocketAddr, metrics: Metrics, refresh: F)
where
    F: Fn() + 'static,
{
    actix_rt::spawn(async move {
        if let Err(error) = serve(address, metrics, refresh).await {
            log::error!("metrics are not served: {error:#}");
        }
    });
}

async fn serve<F>(address: SocketAddr, metrics: Metrics, refresh: F) -> eyre::Result<()>
where
    F: Fn() + 'static,
{
    let listener: TcpListener = net::listen(address)?;
    let refresh = Rc::new(refresh);
    loop {
        let (stream, _) = net::accept(&listener).await;
        let (metrics, refresh) = (metrics.clone(), Rc::clone(&refresh));
        actix_rt::spawn(async move {
            let mut connection = Connection::new(stream);
            let request = connection.read_request(HEAD.0, HEAD.1, HEAD.1).await;
            if !matches!(request, Ok(Some(_))) {
                return;
            }
            refresh();
            let answer = match metrics.text() {
                Ok(text) => {
                    let headers = "Content-Type: text/plain; version=0.0.4\r\n";
                    http::encode_response(200, headers, text.as_bytes(), true)
                }
                Err(error) => http::encode_response(500, "", format!("{error:#}").as_bytes(), true),
            };
            if let Err(error) = connection.write(&answer).await {
                log::debug!("metrics were not read: {error}");
            }
            connection.shutdown().await;
        });
    }
}
