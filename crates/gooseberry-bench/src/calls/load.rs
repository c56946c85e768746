//! A steady load of calls, the transactions that they cost and the time that their claims take.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::future::join_all;
use gooseberry_standin::platform::Stats;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, sleep_until};

use super::caller::{Ask, End, Seen};
use crate::harness::BenchError;
use crate::harness::fleet::{CALL_TIMEOUT, Fleet};

/// What the name of the metric with the time of a claim ends with.
const CLAIM: &str = "claims.claim:";

/// The largest time that is told apart, in milliseconds.
const MAX_MS: u64 = 60_000;

/// The significant digits that are kept.
const DIGITS: u8 = 3;

/// The time for the last outcomes to be stored.
const SETTLE: Duration = Duration::from_millis(500);

/// The metrics that routers send.
pub(crate) struct Metrics {
    /// Where they send them.
    pub(crate) addr: SocketAddr,
    claims: Arc<Mutex<Vec<u64>>>,
}

impl Metrics {
    /// Listens until the experiment ends.
    pub(crate) async fn listen() -> Result<Self, BenchError> {
        let failed = |cause| BenchError::Start {
            program: "the listener for metrics".to_owned(),
            cause,
        };
        let socket = UdpSocket::bind("127.0.0.1:0").await.map_err(failed)?;
        let addr = socket.local_addr().map_err(failed)?;
        let claims: Arc<Mutex<Vec<u64>>> = Arc::default();
        let kept = claims.clone();
        tokio::spawn(async move {
            let mut packet = vec![0; 64 * 1024];
            while let Ok(count) = socket.recv(&mut packet).await {
                let text = String::from_utf8_lossy(&packet[..count]).into_owned();
                let times = text.lines().filter_map(claim_time);
                kept.lock().unwrap_or_else(|e| e.into_inner()).extend(times);
            }
        });
        Ok(Self { addr, claims })
    }

    /// Takes the times of claims that have come in.
    fn take(&self) -> Vec<u64> {
        std::mem::take(&mut self.claims.lock().unwrap_or_else(|e| e.into_inner()))
    }
}

/// The time in a line such as `gooseberry.router.claims.claim:12|ms|#host:entry-0`.
fn claim_time(line: &str) -> Option<u64> {
    let (_, value) = line.split_once(CLAIM)?;
    value.split('|').next()?.parse().ok()
}

/// Makes calls at a fixed rate, each with a key of its own.
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
    let ask = |i: u64| {
        let ask = Ask {
            key: Some(format!("{name}-{i}")),
            text: format!("{name} {i}"),
            hosts: fleet.hosts.iter().map(|h| h.callers).collect(),
            first: usize::try_from(i).unwrap_or(0),
            repeats: 0,
        };
        let at = start + Duration::from_micros(1_000_000 * i / rate.max(1));
        async move {
            sleep_until(at).await;
            ask.run().await
        }
    };
    let calls = rate * seconds;
    let seen: Vec<Seen> = join_all((0..calls).map(ask)).await;
    let took = start.elapsed();
    sleep(SETTLE).await;
    let after = stats(fleet).await?;
    let answered = seen.iter().filter(|s| s.end() == End::Answered).count();
    let writes = after.writes - before.writes;
    Ok(json!({
        "calls": calls,
        "calls_per_s": calls as f64 / took.as_secs_f64(),
        "answered": answered as f64 / calls.max(1) as f64,
        "writes": writes,
        "writes_refused": after.throttled - before.throttled,
        "writes_per_call": writes as f64 / calls.max(1) as f64,
        "claim_ms": summary(&metrics.take()),
    }))
}

async fn stats(fleet: &Fleet) -> Result<Stats, BenchError> {
    Ok(web::client::get(fleet.platform_addr, "/stats", CALL_TIMEOUT).await?)
}

/// The quantiles of times in milliseconds.
fn summary(times: &[u64]) -> Value {
    let Ok(mut histogram) = Histogram::<u64>::new_with_max(MAX_MS, DIGITS) else {
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
