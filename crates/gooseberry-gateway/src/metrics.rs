//! Counters and histograms of a gateway, served as text.

use std::fmt::Write as _;
use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::{EncodeLabelSet, text::encode};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// The upper bounds of the latency histograms, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.7, 1.5, 3.0, 4.5, 9.0, 25.0,
];

/// The kind and end of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// The kind of the route; `none` before a route is known.
    pub kind: &'static str,
    /// How the request ended.
    pub outcome: &'static str,
}

/// The cause of an event.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Cause {
    /// The cause.
    pub cause: &'static str,
}

type Histograms = Family<Cause, Histogram, fn() -> Histogram>;

/// All metrics of a process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests that ended.
    pub requests: Family<RequestLabels, Counter>,
    /// Sends to backend servers by what became of them.
    pub sends: Family<Cause, Counter>,
    /// Streams that went on at another server, by where from.
    pub resumes: Family<Cause, Counter>,
    /// Connections opened to backend servers, by what for.
    pub connections: Family<Cause, Counter>,
    /// Calls to the store by outcome.
    pub store_calls: Family<Cause, Counter>,
    /// Calls to the hub of the data centre for changes of a table, by outcome.
    pub hub_calls: Family<Cause, Counter>,
    /// Waits for a repeat of the retry budget, by how they ended.
    pub retry_waits: Family<Cause, Counter>,
    /// Time to the whole answer of a call or the first event of a stream, by kind of route.
    pub latency: Histograms,
    /// Silence at the caller's end when a stream goes on at another server.
    pub resume_gap: Histograms,
    /// Requests in flight.
    pub in_flight: Gauge,
    /// The version of the configuration in force.
    pub config_version: Gauge,
    /// Backend servers listed.
    pub servers: Gauge,
    /// Log lines dropped because the sink lagged.
    pub dropped_lines: Gauge<u64, AtomicU64>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("gooseberry"),
            requests: Family::default(),
            sends: Family::default(),
            resumes: Family::default(),
            connections: Family::default(),
            store_calls: Family::default(),
            hub_calls: Family::default(),
            retry_waits: Family::default(),
            latency: Family::new_with_constructor(histogram),
            resume_gap: Family::new_with_constructor(histogram),
            in_flight: Gauge::default(),
            config_version: Gauge::default(),
            servers: Gauge::default(),
            dropped_lines: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let r = &mut self.registry;
        r.register("requests", "Requests that ended", self.requests.clone());
        r.register("sends", "Sends to backend servers", self.sends.clone());
        r.register(
            "resumes",
            "Streams that went on elsewhere",
            self.resumes.clone(),
        );
        r.register(
            "connections",
            "Connections opened",
            self.connections.clone(),
        );
        r.register(
            "store_calls",
            "Calls to the store",
            self.store_calls.clone(),
        );
        r.register("hub_calls", "Calls to the hub", self.hub_calls.clone());
        r.register(
            "repeat_waits",
            "Requests that waited for a repeat",
            self.retry_waits.clone(),
        );
        r.register(
            "latency_seconds",
            "Time to the answer or its first event",
            self.latency.clone(),
        );
        r.register(
            "resume_gap_seconds",
            "Silence before a resumed event",
            self.resume_gap.clone(),
        );
        r.register("in_flight", "Requests in flight", self.in_flight.clone());
        r.register(
            "config_version",
            "Version in force",
            self.config_version.clone(),
        );
        r.register("servers", "Backend servers listed", self.servers.clone());
        r.register(
            "dropped_log_lines",
            "Log lines dropped",
            self.dropped_lines.clone(),
        );
    }

    /// All metrics as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            let _ = writeln!(text, "# the metrics cannot be written: {error}");
        }
        text
    }

    /// Counts a send.
    pub fn count_send(&self, cause: &'static str) {
        self.sends.get_or_create(&Cause { cause }).inc();
    }

    /// Counts an opened connection.
    pub fn count_connection(&self, cause: &'static str) {
        self.connections.get_or_create(&Cause { cause }).inc();
    }

    /// Counts a call to the store.
    pub fn count_store_call(&self, cause: &'static str) {
        self.store_calls.get_or_create(&Cause { cause }).inc();
    }

    /// Counts a call to the hub.
    pub fn count_hub_call(&self, cause: &'static str) {
        self.hub_calls.get_or_create(&Cause { cause }).inc();
    }

    /// Counts a wait for a repeat.
    pub fn count_retry_wait(&self, cause: &'static str) {
        self.retry_waits.get_or_create(&Cause { cause }).inc();
    }
}

fn histogram() -> Histogram {
    Histogram::new(LATENCY_BUCKETS_S)
}
