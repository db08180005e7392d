//! Counters and latency histograms of the gateway.

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

/// Upper bounds of latency buckets, in seconds; they include the objectives of known routes.
const LATENCY_BUCKETS_S: [f64; 12] =
    [0.005, 0.02, 0.05, 0.1, 0.15, 0.3, 0.4, 0.5, 1.0, 3.0, 10.0, 30.0];
/// Upper bounds of the buckets of relative loads; a worker of average load is in the middle.
const RELATIVE_LOAD_BUCKETS: [f64; 10] = [0.25, 0.5, 0.75, 0.9, 1.0, 1.1, 1.25, 1.5, 2.0, 4.0];

/// Metrics of one gateway instance.
pub struct GatewayMetrics {
    registry: Registry,
    /// Requests by route and outcome.
    pub requests_total: IntCounterVec,
    /// Time to the headers of the response, by route, in seconds.
    pub first_byte_s: HistogramVec,
    /// Attempts at upstreams by service and result.
    pub sends_total: IntCounterVec,
    /// Sends by connection: `opened` for them or `reused`.
    pub connections_total: IntCounterVec,
    /// Expected load of the chosen worker relative to the average of those that could be chosen, by service.
    pub relative_load: HistogramVec,
    /// Streams that an upstream did not end properly, by service and cause.
    pub streams_broken_total: IntCounterVec,
    /// Prompt parts that are suspected of crashing workers.
    pub suspected_parts: IntGauge,
    /// Prompt parts whose requests are refused.
    pub blocked_parts: IntGauge,
    /// Requests refused because of a blocked prompt part.
    pub blocked_requests_total: IntCounter,
    /// Responses of workers that state a limit on their requests, by service.
    pub limited_responses_total: IntCounterVec,
    /// Requests for sends to limited workers, by result.
    pub limit_grants_total: IntCounterVec,
    /// Tokens of requests of limited accounts, by account and result.
    pub allotment_tokens_total: IntCounterVec,
    /// Questions about limits of accounts, by result.
    pub allotment_questions_total: IntCounterVec,
    /// Time that requests waited for the tokens of their accounts, in seconds.
    pub allotment_wait_s: Histogram,
    /// Retries refused by the retry budget, by service.
    pub budget_refused_total: IntCounterVec,
    /// Time that requests waited for a model that no worker held, by route, in seconds.
    pub cold_wait_s: HistogramVec,
    /// Orders to workers by kind and answer.
    pub orders_total: IntCounterVec,
    /// Requests refused since they would wait for too long at a worker, by route.
    pub queue_refused_total: IntCounterVec,
    /// Bytes held for callers and upstreams, by class.
    pub memory_held_bytes: IntGaugeVec,
    /// Requests refused since their bodies did not fit into the memory, by class.
    pub memory_refused_total: IntCounterVec,
    /// Models, workers and replicas that the planner of the lead has looked at.
    pub plan_steps_total: IntCounter,
    /// Calls to the store by kind of call and result.
    pub store_calls_total: IntCounterVec,
    /// Records of the store that could not be parsed, by topic.
    pub bad_records_total: IntCounterVec,
    /// Datagrams to or from peers that could not be sent, received or decoded.
    pub datagrams_dropped_total: IntCounter,
    /// Bytes of datagrams sent to peers.
    pub datagram_bytes_total: IntCounter,
    /// The same by kind of message.
    pub peer_bytes_total: IntCounterVec,
    /// 1 while the instance reads the store's records itself, 0 while it relies on another one.
    pub reads_store: IntGauge,
    /// Requests in progress.
    pub in_progress: IntGauge,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
    /// Number of restores of the store from a copy.
    pub store_era: IntGauge,
    /// Newest version of the configuration that another instance has.
    pub config_version_heard: IntGauge,
    /// Transfers of records to peers, by result.
    pub transfers_total: IntCounterVec,
    /// Checks of keys, by result.
    pub key_checks_total: IntCounterVec,
    /// Questions about the freshness of the configuration: those sent, and answers by result.
    pub freshness_questions_total: IntCounterVec,
    /// Age of the knowledge that the configuration is the newest one, in ms; -1 if there is none.
    pub accounts_age_ms: IntGauge,
    /// Number of known workers.
    pub workers: IntGauge,
    /// 1 while the instance is the lead.
    pub leads: IntGauge,
    /// Dropped lines of the structured log that no later line has reported yet.
    pub log_lines_dropped: IntGauge,
}

impl GatewayMetrics {
    /// Registers all metrics.
    ///
    /// # Errors
    /// Returns an error if the registry rejects a metric.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let histograms_of = |name: &str, help: &str, labels: &[&str], buckets: &[f64]| {
            let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
            let histogram = HistogramVec::new(options, labels)?;
            registry.register(Box::new(histogram.clone()))?;
            Ok::<_, prometheus::Error>(histogram)
        };
        let histograms = |name: &str, help: &str, labels: &[&str]| {
            histograms_of(name, help, labels, &LATENCY_BUCKETS_S)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let gauges = |name: &str, help: &str, labels: &[&str]| {
            let gauge = IntGaugeVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let allotment_wait_s = Histogram::with_opts(
            HistogramOpts::new(
                "gateway_allotment_wait_seconds",
                "Waits for the tokens of an account",
            )
            .buckets(LATENCY_BUCKETS_S.to_vec()),
        )?;
        registry.register(Box::new(allotment_wait_s.clone()))?;
        Ok(Self {
            requests_total: counters(
                "gateway_requests_total",
                "Requests by route and outcome",
                &["route", "outcome"],
            )?,
            first_byte_s: histograms(
                "gateway_first_byte_seconds",
                "Time to the head of the answer",
                &["route"],
            )?,
            sends_total: counters(
                "gateway_sends_total",
                "Sends to upstreams",
                &["service", "result"],
            )?,
            connections_total: counters(
                "gateway_upstream_connections_total",
                "Sends by connection, opened or reused",
                &["connection"],
            )?,
            relative_load: histograms_of(
                "gateway_chosen_relative_load",
                "Expected load of the chosen worker relative to the average",
                &["service"],
                &RELATIVE_LOAD_BUCKETS,
            )?,
            streams_broken_total: counters(
                "gateway_streams_broken_total",
                "Streams that an upstream did not end properly",
                &["service", "cause"],
            )?,
            suspected_parts: gauge(
                "gateway_suspected_parts",
                "Prompt parts suspected of crashing workers",
            )?,
            blocked_parts: gauge("gateway_blocked_parts", "Prompt parts that are refused")?,
            blocked_requests_total: counter(
                "gateway_blocked_requests_total",
                "Requests refused because of a blocked prompt part",
            )?,
            limited_responses_total: counters(
                "gateway_limited_responses_total",
                "Responses that state a limit on requests",
                &["service"],
            )?,
            limit_grants_total: counters(
                "gateway_limit_grants_total",
                "Requests for sends to workers that limit them",
                &["result"],
            )?,
            allotment_tokens_total: counters(
                "gateway_allotment_tokens_total",
                "Tokens of requests of limited accounts",
                &["account", "result"],
            )?,
            allotment_questions_total: counters(
                "gateway_allotment_questions_total",
                "Questions about limits of accounts",
                &["result"],
            )?,
            allotment_wait_s,
            budget_refused_total: counters(
                "gateway_budget_refused_total",
                "Repeated sends refused by the budget",
                &["service"],
            )?,
            cold_wait_s: histograms(
                "gateway_cold_wait_seconds",
                "Waits for a model that no worker held",
                &["route"],
            )?,
            queue_refused_total: counters(
                "gateway_queue_refused_total",
                "Requests refused since they would wait for too long at a worker",
                &["route"],
            )?,
            memory_held_bytes: gauges(
                "gateway_memory_held_bytes",
                "Bytes held for callers and upstreams",
                &["class"],
            )?,
            memory_refused_total: counters(
                "gateway_memory_refused_total",
                "Requests refused since their bodies did not fit into the memory",
                &["class"],
            )?,
            plan_steps_total: counter(
                "gateway_plan_steps_total",
                "Models, workers and replicas that the planner has looked at",
            )?,
            orders_total: counters(
                "gateway_orders_total",
                "Orders to workers",
                &["kind", "answer"],
            )?,
            store_calls_total: counters(
                "gateway_store_calls_total",
                "Calls to the store",
                &["call", "result"],
            )?,
            bad_records_total: counters(
                "gateway_bad_records_total",
                "Records that could not be read",
                &["topic"],
            )?,
            datagrams_dropped_total: counter(
                "gateway_datagrams_dropped_total",
                "Datagrams lost here",
            )?,
            datagram_bytes_total: counter(
                "gateway_datagram_bytes_total",
                "Bytes of datagrams sent to peers",
            )?,
            peer_bytes_total: counters(
                "gateway_peer_bytes_total",
                "Bytes of datagrams sent to peers, by kind of message",
                &["kind"],
            )?,
            in_progress: gauge("gateway_requests_in_progress", "Requests in progress")?,
            config_version: gauge("gateway_config_version", "Version in force")?,
            store_era: gauge("gateway_store_era", "Restores of the store from a copy")?,
            config_version_heard: gauge(
                "gateway_config_version_heard",
                "Newest version that another instance has",
            )?,
            transfers_total: counters(
                "gateway_transfers_total",
                "Transfers of records to peers",
                &["result"],
            )?,
            key_checks_total: counters(
                "gateway_key_checks_total",
                "Checks of keys of client accounts",
                &["result"],
            )?,
            freshness_questions_total: counters(
                "gateway_freshness_questions_total",
                "Questions about the freshness of the configuration",
                &["result"],
            )?,
            accounts_age_ms: gauge(
                "gateway_accounts_age_ms",
                "Age of the knowledge that the configuration is the newest one",
            )?,
            workers: gauge("gateway_workers", "Workers known")?,
            reads_store: gauge(
                "gateway_reads_store",
                "1 while the instance reads the store's records by itself",
            )?,
            leads: gauge("gateway_leads", "1 while the instance leads")?,
            log_lines_dropped: gauge("gateway_log_lines_dropped", "Log lines dropped")?,
            registry,
        })
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Encoding into memory fails only for metrics without a name, which the registry rejects.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
