//! Counters, gauges and histograms of a gateway, served in the Prometheus text format.

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

/// Labels of the counter of requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// The kind of the route; `none` if the request was denied or its body rejected.
    pub kind: &'static str,
    /// How the request ended.
    pub outcome: &'static str,
}

/// The one label of the other metrics: an outcome, a purpose, a source or a kind of route.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Cause {
    /// The value of the label.
    pub cause: &'static str,
}

type Histograms = Family<Cause, Histogram, fn() -> Histogram>;

/// All metrics of a process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests that ended, by kind of route and outcome.
    pub requests: Family<RequestLabels, Counter>,
    /// Requests sent to backend servers, by outcome.
    pub sends: Family<Cause, Counter>,
    /// Streams resumed at another server, by the source from which they continue.
    pub resumes: Family<Cause, Counter>,
    /// Connections opened to backend servers, by purpose.
    pub connections: Family<Cause, Counter>,
    /// Connections to backend servers that could not be opened, by purpose.
    pub failed_connections: Family<Cause, Counter>,
    /// Tunnels to backend servers asked of other hosts, by outcome.
    pub tunnels: Family<Cause, Counter>,
    /// Tunnels to backend servers that are open for other hosts now.
    pub served_tunnels: Gauge,
    /// How often this host lost contact with all servers of a service.
    pub lost_contacts: Counter,
    /// Calls to the store, by outcome.
    pub store_calls: Family<Cause, Counter>,
    /// Polls of the hub of the data centre for changes of a table, by outcome.
    pub hub_calls: Family<Cause, Counter>,
    /// Requests that waited for the retry budget to allow a retry, by outcome.
    pub retry_waits: Family<Cause, Counter>,
    /// Generations that were resumed from the prompt, by whether the chosen server had the prompt cached.
    pub resumed_prompts: Family<Cause, Counter>,
    /// Time to the complete answer of a call or to the first event of a stream, by kind of route, in seconds.
    pub latency: Histograms,
    /// Time without an event for the caller while a stream is resumed at another server, by source, in
    /// seconds.
    pub resume_gap: Histograms,
    /// Requests that are being answered now, and tunnels that are open for other hosts.
    pub in_flight: Gauge,
    /// The version of the configuration in force; 0 if there is none.
    pub config_version: Gauge,
    /// Quarantined prompts.
    pub quarantines: Gauge,
    /// Backend servers in the registry, as far as this host has read it.
    pub servers: Gauge,
    /// Log lines dropped because the log's sink was too slow.
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
            failed_connections: Family::default(),
            tunnels: Family::default(),
            served_tunnels: Gauge::default(),
            lost_contacts: Counter::default(),
            store_calls: Family::default(),
            hub_calls: Family::default(),
            retry_waits: Family::default(),
            resumed_prompts: Family::default(),
            latency: Family::new_with_constructor(histogram),
            resume_gap: Family::new_with_constructor(histogram),
            in_flight: Gauge::default(),
            config_version: Gauge::default(),
            quarantines: Gauge::default(),
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
        r.register(
            "requests",
            "Requests that ended, by kind of route and outcome",
            self.requests.clone(),
        );
        r.register(
            "sends",
            "Requests sent to backend servers, by outcome",
            self.sends.clone(),
        );
        r.register(
            "resumes",
            "Streams resumed at another backend server, by source",
            self.resumes.clone(),
        );
        r.register(
            "connections",
            "Connections opened to backend servers, by purpose",
            self.connections.clone(),
        );
        r.register(
            "failed_connections",
            "Connections to backend servers that could not be opened, by purpose",
            self.failed_connections.clone(),
        );
        r.register(
            "tunnels",
            "Tunnels to backend servers asked of other hosts, by outcome",
            self.tunnels.clone(),
        );
        r.register(
            "served_tunnels",
            "Tunnels to backend servers that are open for other hosts",
            self.served_tunnels.clone(),
        );
        r.register(
            "lost_contacts",
            "Losses of contact with all backend servers of a service",
            self.lost_contacts.clone(),
        );
        r.register(
            "store_calls",
            "Calls to the store, by outcome",
            self.store_calls.clone(),
        );
        r.register(
            "hub_calls",
            "Polls of the hub for table changes, by outcome",
            self.hub_calls.clone(),
        );
        r.register(
            "repeat_waits",
            "Requests that waited for the retry budget, by outcome",
            self.retry_waits.clone(),
        );
        r.register(
            "resumed_prompts",
            "Generations resumed from the prompt, by whether the server had it cached",
            self.resumed_prompts.clone(),
        );
        r.register(
            "latency_seconds",
            "Time to the complete answer of a call or the first event of a stream",
            self.latency.clone(),
        );
        r.register(
            "resume_gap_seconds",
            "Time without an event while a stream was resumed at another backend server",
            self.resume_gap.clone(),
        );
        r.register("in_flight", "Requests in flight", self.in_flight.clone());
        r.register(
            "config_version",
            "Version of the configuration in force",
            self.config_version.clone(),
        );
        r.register(
            "quarantines",
            "Quarantined prompts: servers end as they begin to answer them",
            self.quarantines.clone(),
        );
        r.register(
            "servers",
            "Backend servers in the registry",
            self.servers.clone(),
        );
        r.register(
            "dropped_log_lines",
            "Log lines dropped because the sink was too slow",
            self.dropped_lines.clone(),
        );
    }

    /// All metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            let _ = writeln!(text, "# cannot encode the metrics: {error}");
        }
        text
    }

    /// Counts a request sent to a backend server; `cause` is its outcome.
    pub fn count_send(&self, cause: &'static str) {
        self.sends.get_or_create(&Cause { cause }).inc();
    }

    /// Counts a connection opened to a backend server; `cause` is its purpose.
    pub fn count_connection(&self, cause: &'static str) {
        self.connections.get_or_create(&Cause { cause }).inc();
    }

    /// Counts a connection to a backend server that could not be opened; `cause` is its purpose.
    pub fn count_failed_connection(&self, cause: &'static str) {
        self.failed_connections
            .get_or_create(&Cause { cause })
            .inc();
    }

    /// Counts a tunnel asked of another host; `cause` is the outcome.
    pub fn count_tunnel(&self, cause: &'static str) {
        self.tunnels.get_or_create(&Cause { cause }).inc();
    }

    /// Counts a call to the store; `cause` is its outcome.
    pub fn count_store_call(&self, cause: &'static str) {
        self.store_calls.get_or_create(&Cause { cause }).inc();
    }

    /// Counts a poll of the hub; `cause` is its outcome.
    pub fn count_hub_call(&self, cause: &'static str) {
        self.hub_calls.get_or_create(&Cause { cause }).inc();
    }

    /// Counts a generation that was resumed from the prompt; `cause` is whether the prompt was cached.
    pub fn count_resumed_prompt(&self, cause: &'static str) {
        self.resumed_prompts.get_or_create(&Cause { cause }).inc();
    }

    /// Counts a request that waited for the retry budget; `cause` is the outcome.
    pub fn count_retry_wait(&self, cause: &'static str) {
        self.retry_waits.get_or_create(&Cause { cause }).inc();
    }
}

fn histogram() -> Histogram {
    Histogram::new(LATENCY_BUCKETS_S)
}
