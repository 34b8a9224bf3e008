//! Metrics of a control replica.

use primrosepin_telemetry::metrics::{Counter, Gauge, Histogram, Metrics};

/// Metric instruments of a control replica.
#[derive(Debug, Clone)]
pub(crate) struct Meters {
    pub(crate) proposals: Counter<u64>,
    pub(crate) commit: Histogram<f64>,
    pub(crate) sync: Histogram<f64>,
    pub(crate) store_failures: Counter<u64>,
    pub(crate) snapshots: Counter<u64>,
    pub(crate) term: Gauge<u64>,
    pub(crate) leads: Gauge<u64>,
    pub(crate) applied: Gauge<u64>,
    pub(crate) version: Gauge<u64>,
    pub(crate) ledger_entries: Gauge<u64>,
}

impl Meters {
    pub(crate) fn new(metrics: &Metrics) -> Self {
        Self {
            proposals: metrics.counter("proposals", "Commands by outcome"),
            commit: metrics.seconds("commit", "Time from a command's arrival to its outcome"),
            sync: metrics.seconds("log_sync", "Time to write and sync the log"),
            store_failures: metrics.counter("store_failures", "Errors of the store"),
            snapshots: metrics.counter("snapshots", "Snapshots written"),
            term: metrics.gauge("consensus_term", "Term of the replicated log"),
            leads: metrics.gauge("consensus_leads", "Whether this replica is the leader"),
            applied: metrics.gauge("consensus_applied", "Highest applied index"),
            version: metrics.gauge("config_version", "Configuration version in force"),
            ledger_entries: metrics.gauge("ledger_entries", "Ledger entries held"),
        }
    }
}
