//! Counters, gauges and histograms of one server, exported in the Prometheus text format.
//!
//! Instruments come from `opentelemetry`. Exported names get the prefix `primrosepin_`, the unit as a suffix, and
//! `_total` for counters: `counter("requests", ..)` becomes `primrosepin_requests_total`.
//!
//! Invariant: the number of label values is bounded. A label value belongs to a closed set (class, outcome,
//! reason, zone) or is an organisation from [`Metrics::organisation`], which returns at most
//! [`MAX_ORGANISATIONS`] names and [`OTHER`].

use std::collections::HashSet;
use std::fmt;
use std::sync::{Arc, PoisonError, RwLock};

use eyre::WrapErr;
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::{Instrument, SdkMeterProvider, Stream};
use prometheus::{Registry, TextEncoder};

pub use opentelemetry::KeyValue as Label;
pub use opentelemetry::metrics::{Counter, Gauge, Histogram, UpDownCounter};

/// Maximum number of organisations with a label value of their own: 1,200, the number that the system is
/// designed for.
pub const MAX_ORGANISATIONS: usize = 1_200;

/// Label value shared by all organisations beyond the first [`MAX_ORGANISATIONS`].
pub const OTHER: &str = "other";

/// Maximum number of series per instrument: each organisation and [`OTHER`] with each of four outcomes. The
/// library counts measurements of further series under `otel_metric_overflow`.
const MAX_SERIES: usize = (MAX_ORGANISATIONS + 1) * 4;

/// Bucket bounds of time histograms, seconds. They span the range from the time that a relay adds (about a
/// millisecond) to the longest deadline. They include the objectives for the time between tokens (74 ms) and the time
/// to the first token (1.2 s), so that the share of requests that meet an objective is exact.
pub const SECONDS_BOUNDS: [f64; 18] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.074, 0.1, 0.25, 0.5, 1.0, 1.2, 2.5, 5.0, 15.0, 60.0,
    180.0, 600.0,
];

/// Bucket bounds of token histograms, tokens. They include the limits of the request classes.
pub const TOKENS_BOUNDS: [f64; 10] = [
    256.0,
    1_000.0,
    4_000.0,
    16_000.0,
    32_000.0,
    64_000.0,
    128_000.0,
    256_000.0,
    512_000.0,
    1_000_000.0,
];

/// Metrics of one server.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    /// Shuts the instruments down when the last clone is dropped.
    provider: SdkMeterProvider,
    meter: Meter,
    /// Organisations that have a label value of their own.
    organisations: Arc<RwLock<HashSet<Arc<str>>>>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Metrics {
    /// Creates the metrics of a server. They include the gauge `primrosepin_info`, whose labels give the process
    /// (`entry` or `control`), its VM, zone and version.
    pub fn new(process: &'static str, vm: &Arc<str>, zone: &Arc<str>) -> eyre::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace("primrosepin")
            .without_target_info()
            .scope_info_enabled(false)
            .build()
            .wrap_err("cannot set up the metrics")?;
        let provider = SdkMeterProvider::builder()
            .with_reader(exporter)
            .with_view(|_: &Instrument| {
                Stream::builder()
                    .with_cardinality_limit(MAX_SERIES)
                    .build()
                    .ok()
            })
            .build();
        let meter = provider.meter("primrosepin");
        let metrics = Self {
            registry,
            provider,
            meter,
            organisations: Arc::default(),
        };
        metrics
            .gauge("info", "Process that writes these metrics")
            .record(
                1,
                &[
                    Label::new("process", process),
                    Label::new("vm", Arc::clone(vm)),
                    Label::new("zone", Arc::clone(zone)),
                    Label::new("version", env!("CARGO_PKG_VERSION")),
                ],
            );
        Ok(metrics)
    }

    /// Creates a counter.
    pub fn counter(&self, name: &'static str, description: &'static str) -> Counter<u64> {
        let builder = self.meter.u64_counter(name);
        builder.with_description(description).build()
    }

    /// Creates an integer gauge.
    pub fn gauge(&self, name: &'static str, description: &'static str) -> Gauge<u64> {
        let builder = self.meter.u64_gauge(name);
        builder.with_description(description).build()
    }

    /// Creates a gauge that is changed by increments and decrements.
    pub fn up_down_counter(
        &self,
        name: &'static str,
        description: &'static str,
    ) -> UpDownCounter<i64> {
        let builder = self.meter.i64_up_down_counter(name);
        builder.with_description(description).build()
    }

    /// Creates a histogram of times in seconds. The exported name ends in `_seconds` whether or not `name` does.
    pub fn seconds(&self, name: &'static str, description: &'static str) -> Histogram<f64> {
        // The exporter appends the unit even if the name already ends in it.
        let name = name.strip_suffix("_seconds").unwrap_or(name);
        self.meter
            .f64_histogram(name)
            .with_description(description)
            .with_unit("s")
            .with_boundaries(SECONDS_BOUNDS.to_vec())
            .build()
    }

    /// Creates a histogram of token counts.
    pub fn tokens(&self, name: &'static str, description: &'static str) -> Histogram<u64> {
        self.meter
            .u64_histogram(name)
            .with_description(description)
            .with_boundaries(TOKENS_BOUNDS.to_vec())
            .build()
    }

    /// Creates a histogram with the given bucket bounds, for ratios and counts.
    pub fn histogram(
        &self,
        name: &'static str,
        description: &'static str,
        bounds: &[f64],
    ) -> Histogram<f64> {
        self.meter
            .f64_histogram(name)
            .with_description(description)
            .with_boundaries(bounds.to_vec())
            .build()
    }

    /// Returns the label of an organisation. Its value is the name for the first [`MAX_ORGANISATIONS`]
    /// organisations seen, and [`OTHER`] for the rest.
    pub fn organisation(&self, name: &Arc<str>) -> Label {
        // The set is valid even if a thread panicked while holding the lock.
        let known = self
            .organisations
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .contains(name);
        if known || self.add_organisation(name) {
            Label::new("organisation", Arc::clone(name))
        } else {
            Label::new("organisation", OTHER)
        }
    }

    /// Adds an organisation unless the set is full. Returns whether the set contains it.
    fn add_organisation(&self, name: &Arc<str>) -> bool {
        let mut organisations = self
            .organisations
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if organisations.len() >= MAX_ORGANISATIONS {
            return organisations.contains(name);
        }
        organisations.insert(Arc::clone(name));
        true
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> eyre::Result<String> {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .wrap_err("cannot encode the metrics")
    }

    /// Content type of [`Metrics::text`].
    pub const CONTENT_TYPE: &'static str = prometheus::TEXT_FORMAT;

    /// Flushes and shuts down the instruments; later measurements are dropped.
    pub fn shutdown(&self) {
        // A repeated shutdown returns an error and has no other effect.
        drop(self.provider.shutdown());
    }
}
