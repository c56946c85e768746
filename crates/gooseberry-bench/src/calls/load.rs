//! Calls at a constant rate; measures store transactions per call and the latency of claims.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::future::join_all;
use gooseberry_standin::platform::Stats;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, sleep_until};

use super::caller::{Call, CallResult, Outcome};
use crate::harness::BenchError;
use crate::harness::fleet::{CALL_TIMEOUT, Fleet};

/// Suffix of the statsd metric with the latency of a claim, as it appears in a packet.
const CLAIM_METRIC: &str = "claims.claim:";

/// Largest latency that the histogram resolves, in milliseconds.
const MAX_MS: u64 = 60_000;

/// Significant digits of the histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Time for routers to store the last outcomes before the writes are counted.
const SETTLE: Duration = Duration::from_millis(500);

/// A statsd listener that collects the latencies of claims from routers.
pub(crate) struct Metrics {
    /// UDP address to which routers send metrics.
    pub(crate) addr: SocketAddr,
    claims: Arc<Mutex<Vec<u64>>>,
}

impl Metrics {
    /// Binds a UDP socket and receives metrics until the process ends.
    pub(crate) async fn listen() -> Result<Self, BenchError> {
        let failed = |cause| BenchError::Start {
            program: "the statsd listener".to_owned(),
            cause,
        };
        let socket = UdpSocket::bind("127.0.0.1:0").await.map_err(failed)?;
        let addr = socket.local_addr().map_err(failed)?;
        let claims: Arc<Mutex<Vec<u64>>> = Arc::default();
        let received = claims.clone();
        tokio::spawn(async move {
            let mut packet = vec![0; 64 * 1024];
            while let Ok(count) = socket.recv(&mut packet).await {
                let text = String::from_utf8_lossy(&packet[..count]).into_owned();
                let times = text.lines().filter_map(claim_time);
                received
                    .lock()
                    .unwrap_or_else(|e| e.into_inner())
                    .extend(times);
            }
        });
        Ok(Self { addr, claims })
    }

    /// Returns the latencies received since the last call, in milliseconds.
    fn take(&self) -> Vec<u64> {
        std::mem::take(&mut self.claims.lock().unwrap_or_else(|e| e.into_inner()))
    }
}

/// Parses the milliseconds from a line such as
/// `gooseberry.router.claims.claim:12|ms|#host:entry-0`.
fn claim_time(line: &str) -> Option<u64> {
    let (_, value) = line.split_once(CLAIM_METRIC)?;
    value.split('|').next()?.parse().ok()
}

/// Makes calls at a constant rate, each with a unique key; `name` prefixes the keys.
pub(crate) async fn run(
    fleet: &Fleet,
    metrics: &Metrics,
    name: &str,
    rate: u64,
    seconds: u64,
) -> Result<Value, BenchError> {
    let before = stats(fleet).await?;
    metrics.take();
    let start = Instant::now();
    let call = |i: u64| {
        let call = Call {
            key: Some(format!("{name}-{i}")),
            text: format!("{name} {i}"),
            hosts: fleet.hosts.iter().map(|h| h.callers).collect(),
            first_host: usize::try_from(i).unwrap_or(0),
            max_retries: 0,
        };
        let at = start + Duration::from_micros(1_000_000 * i / rate.max(1));
        async move {
            sleep_until(at).await;
            call.run().await
        }
    };
    let calls = rate * seconds;
    let results: Vec<CallResult> = join_all((0..calls).map(call)).await;
    let elapsed = start.elapsed();
    sleep(SETTLE).await;
    let after = stats(fleet).await?;
    let answered = results
        .iter()
        .filter(|result| result.outcome() == Outcome::Answered)
        .count();
    let writes = after.writes - before.writes;
    Ok(json!({
        "calls": calls,
        "calls_per_s": calls as f64 / elapsed.as_secs_f64(),
        "answered": answered as f64 / calls.max(1) as f64,
        "writes": writes,
        "writes_refused": after.throttled - before.throttled,
        "writes_per_call": writes as f64 / calls.max(1) as f64,
        "claim_ms": quantiles(&metrics.take()),
    }))
}

async fn stats(fleet: &Fleet) -> Result<Stats, BenchError> {
    Ok(web::client::get(fleet.platform_addr, "/stats", CALL_TIMEOUT).await?)
}

/// Summarises latencies in milliseconds; times above [`MAX_MS`] count as that.
fn quantiles(times: &[u64]) -> Value {
    let Ok(mut histogram) = Histogram::<u64>::new_with_max(MAX_MS, SIGNIFICANT_DIGITS) else {
        return Value::Null;
    };
    for time in times {
        histogram.saturating_record(*time);
    }
    json!({
        "count": histogram.len(),
        "p50": histogram.value_at_quantile(0.5),
        "p99": histogram.value_at_quantile(0.99),
    })
}
