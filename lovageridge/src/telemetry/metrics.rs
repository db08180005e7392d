//! Prometheus metrics of one instance.

use prometheus::Encoder;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Upper bounds of the buckets of latency histograms, in s.
const LATENCY_BUCKETS_S: [f64; 16] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.036, 0.072, 0.16, 0.32, 0.64, 1.28, 2.5, 5.0, 10.0, 30.0,
    120.0,
];

macro_rules! metrics {
    ($($(#[$doc:meta])* $field:ident: $kind:ident = $help:literal $([$($label:literal),*])?;)*) => {
        /// Metrics of one instance, in a separate registry.
        pub struct Metrics {
            registry: Registry,
            $($(#[$doc])* pub $field: $kind,)*
        }

        impl Metrics {
            /// Creates and registers all metrics.
            ///
            /// # Errors
            /// Returns an error when two metrics have the same name.
            pub fn new() -> Result<Self, prometheus::Error> {
                let registry = Registry::new();
                $(
                    let $field = constructors::$kind(
                        concat!("lovageridge_", stringify!($field)), $help, &[$($($label),*)?])?;
                    registry.register(Box::new($field.clone()))?;
                )*
                Ok(Self { registry, $($field),* })
            }
        }
    };
}

metrics! {
    /// Outcomes returned to callers, by partner, code and whether the request ran.
    outcomes_total: IntCounterVec = "Outcomes told to callers" ["partner", "code", "ran"];
    /// Requests that were malformed.
    malformed_total: IntCounter = "Requests that were malformed";
    /// Requests in progress.
    requests_in_progress: IntGauge = "Requests in progress";
    /// Requests waiting for an upstream.
    requests_waiting: IntGauge = "Requests waiting for an upstream";
    /// Time that requests waited until they were sent to an upstream.
    queue_wait_seconds: HistogramVec = "Wait for an upstream" ["priority"];
    /// Time to the first token.
    first_token_seconds: Histogram = "Time to the first token";
    /// Time between tokens.
    between_tokens_seconds: Histogram = "Time between tokens";
    /// Wait of requests whose model or adapter had to be loaded first.
    cold_wait_seconds: Histogram = "Wait of requests for a cold target";
    /// Streams resumed on another replica.
    resumes_total: IntCounter = "Streams resumed on another replica";
    /// Loads that this instance decided while it was lead of a cell.
    loads_decided_total: IntCounter = "Loads decided as lead";
    /// Loads that finished while this instance was lead of the cell.
    loads_finished_total: IntCounter = "Loads finished as lead";
    /// Replicas evicted to free memory for others.
    evictions_total: IntCounter = "Replicas evicted to make room";
    /// Replicas unloaded because they were unused for their keep-alive time.
    idle_unloads_total: IntCounter = "Replicas unloaded after their keep-alive";
    /// Accelerator time during which loaded models or adapters were not used, in led cells.
    idle_accelerator_seconds_total: IntCounter = "Accelerator seconds of unused targets in led cells";
    /// Memory of workers: in use as reported by the worker, and reserved by the lead.
    ledger_mb: IntGaugeVec = "Memory of workers in led cells" ["worker", "kind"];
    /// Epoch of each cell that this instance leads.
    cell_epoch: IntGaugeVec = "Epoch of led cells" ["cell"];
    /// Version of the configuration in force.
    config_version: IntGauge = "Version of the configuration in force";
    /// Bytes of datagrams sent to other instances.
    control_bytes_sent: IntCounter = "Bytes of datagrams sent to other instances";
    /// Bytes of datagrams received from other instances.
    control_bytes_received: IntCounter = "Bytes of datagrams received from other instances";
    /// Datagrams that were malformed or could not be sent.
    datagrams_dropped: IntCounter = "Datagrams malformed or not sent";
    /// Events dropped because the queue of a driver was full.
    ring_drops: IntCounterVec = "Events dropped by full rings" ["ring"];
    /// Events waiting in the queue of each driver.
    ring_fill: IntGaugeVec = "Events in rings" ["ring"];
    /// Appends to the log by stream and result.
    log_appends_total: IntCounterVec = "Appends to the log" ["stream", "result"];
    /// Spans that the collector accepted.
    spans_exported_total: IntCounter = "Spans exported";
    /// Spans dropped because the export queue was full or the collector failed.
    spans_dropped_total: IntCounter = "Spans dropped";
    /// Calls to the administration port by HTTP status.
    admin_calls_total: IntCounterVec = "Administration calls" ["status"];
}

impl Metrics {
    /// Returns all metrics in the Prometheus text format, or an empty text if encoding fails.
    pub fn render(&self) -> String {
        let mut buffer = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut buffer);
        if encoded.is_err() {
            return String::new();
        }
        String::from_utf8(buffer).unwrap_or_default()
    }
}

/// One constructor for each type of metric; `metrics!` selects it by the name of the type.
#[allow(non_snake_case)]
mod constructors {
    use super::*;

    pub(super) fn IntCounter(
        name: &str,
        help: &str,
        _labels: &[&str],
    ) -> prometheus::Result<IntCounter> {
        IntCounter::new(name, help)
    }

    pub(super) fn IntGauge(
        name: &str,
        help: &str,
        _labels: &[&str],
    ) -> prometheus::Result<IntGauge> {
        IntGauge::new(name, help)
    }

    pub(super) fn Histogram(
        name: &str,
        help: &str,
        _labels: &[&str],
    ) -> prometheus::Result<Histogram> {
        let opts = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec());
        Histogram::with_opts(opts)
    }

    pub(super) fn HistogramVec(
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> prometheus::Result<HistogramVec> {
        let opts = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec());
        HistogramVec::new(opts, labels)
    }

    pub(super) fn IntCounterVec(
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> prometheus::Result<IntCounterVec> {
        IntCounterVec::new(Opts::new(name, help), labels)
    }

    pub(super) fn IntGaugeVec(
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> prometheus::Result<IntGaugeVec> {
        IntGaugeVec::new(Opts::new(name, help), labels)
    }
}
