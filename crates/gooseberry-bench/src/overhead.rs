//! `overhead`: compares streams through one router with streams read directly from the engines.

use std::time::Duration;

use bpaf::Bpaf;
use engine::wire::{Frame, Generate, StreamName};
use futures_util::future::join_all;
use gooseberry_standin::engine as standin;
use serde::Serialize;
use serde_json::json;
use tokio::time::Instant;

use crate::demo;
use crate::harness::fleet::Fleet;
use crate::harness::report::{Times, times};
use crate::harness::{BenchError, build, usage};
use crate::load::caller::LoadRequest;
use crate::slopes::work::plan;

/// Time limit for an engine to accept a stream.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(5);

/// Options of the `overhead` experiment.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Options {
    /// Number of concurrent streams.
    #[bpaf(long, argument("N"), fallback(100))]
    streams: usize,
    /// Maximum number of tokens per stream.
    #[bpaf(long, argument("N"), fallback(200))]
    tokens: u64,
    /// Print the report as JSON only.
    json: bool,
}

/// Latency, throughput and processor time of streams read directly or through the router.
#[derive(Clone, Debug, Serialize)]
struct PathCost {
    ttft_ms: Times,
    gap_ms: Times,
    tokens: u64,
    tokens_s: f64,
    /// Tokens per second of processor time of all engines.
    engine_tokens_by_core_s: f64,
    /// Tokens per second of processor time of all routers; `None` for direct streams.
    router_tokens_by_core_s: Option<f64>,
}

/// When a stream was requested, and the arrival time and token count of each of its events.
type Arrivals = (Instant, Vec<(Instant, u64)>);

/// Measures direct and routed streams at 20 ms and at 1 ms between tokens.
pub(crate) async fn run(options: Options) -> Result<bool, BenchError> {
    let programs = build::programs().await?;
    let mut paces = Vec::new();
    for gap_ms in [20, 1] {
        // The second router acts as witness; its processor time counts towards the routed streams.
        let fleet = Fleet::start(&programs, &plan(2, 3, gap_ms)).await?;
        let direct = measure(&fleet, join_all(direct(&fleet, &options)), false).await;
        let routed = measure(&fleet, join_all(routed(&fleet, &options)), true).await;
        paces.push(json!({ "gap_ms": gap_ms, "direct": direct, "routed": routed }));
        fleet.stop().await;
    }
    let report = json!({
        "commit": build::commit().await,
        "streams": options.streams,
        "tokens": options.tokens,
        "paces": paces,
    });
    println!("{report:#}");
    if !options.json {
        println!("router processor time includes the owner and the witness");
    }
    Ok(true)
}

/// Runs the streams and measures the processor time of engines and routers meanwhile.
async fn measure(
    fleet: &Fleet,
    streams: impl Future<Output = Vec<Arrivals>>,
    is_routed: bool,
) -> PathCost {
    let engines = || -> Duration {
        let pids = fleet.engines.iter().map(|e| e.process.id());
        pids.map(usage::cpu).sum()
    };
    let routers = || -> Duration {
        let pids = fleet.hosts.iter().map(|h| h.router.id());
        pids.map(usage::cpu).sum()
    };
    let (engines_before, routers_before) = (engines(), routers());
    let start = Instant::now();
    let arrivals = streams.await;
    let elapsed_s = start.elapsed().as_secs_f64();
    let engine_s = (engines() - engines_before).as_secs_f64();
    let router_s = (routers() - routers_before).as_secs_f64();
    let tokens: u64 = arrivals.iter().flat_map(|(_, a)| a).map(|(_, n)| n).sum();
    let first = |(sent, arrivals): &Arrivals| Some(arrivals.first()?.0 - *sent);
    let gaps = |(_, arrivals): &Arrivals| -> Vec<Duration> {
        let pairs = arrivals.windows(2);
        pairs.map(|p| p[1].0 - p[0].0).collect()
    };
    PathCost {
        ttft_ms: times(arrivals.iter().filter_map(first)),
        gap_ms: times(arrivals.iter().flat_map(gaps)),
        tokens,
        tokens_s: tokens as f64 / elapsed_s,
        engine_tokens_by_core_s: tokens as f64 / engine_s,
        router_tokens_by_core_s: is_routed.then_some(tokens as f64 / router_s),
    }
}

/// Streams read directly from the engines.
fn direct(fleet: &Fleet, options: &Options) -> Vec<impl Future<Output = Arrivals>> {
    let one = |i: usize| {
        let addr = fleet.engines[i % fleet.engines.len()].addr;
        let body = Generate {
            stream: StreamName(format!("direct-{i}")),
            model: standin::Settings::default().models.remove(0),
            prompt: prompt(i),
            prefix: Vec::new(),
            max_tokens: options.tokens,
            priority: 0,
            deadline_ms: None,
        };
        async move {
            let sent = Instant::now();
            let mut arrivals = Vec::new();
            if let Ok(mut frames) = engine::client::generate(addr, &body, ACCEPT_TIMEOUT).await {
                while let Ok(Some(frame)) = frames.next().await {
                    match frame {
                        Frame::Token { .. } => arrivals.push((Instant::now(), 1)),
                        Frame::Start { .. } => {}
                        Frame::End { .. } => break,
                    }
                }
            }
            (sent, arrivals)
        }
    };
    (0..options.streams).map(one).collect()
}

/// Streams with the same prompts through the first router.
fn routed(fleet: &Fleet, options: &Options) -> Vec<impl Future<Output = Arrivals>> {
    let one = |i: usize| {
        let request = LoadRequest {
            host: fleet.hosts[0].callers,
            bearer: demo::BEARER.to_owned(),
            service: "draft-model".to_owned(),
            prompt: prompt(i),
            max_tokens: options.tokens,
        };
        async move {
            let sent = Instant::now();
            (sent, request.run().await.arrivals)
        }
    };
    (0..options.streams).map(one).collect()
}

fn prompt(i: usize) -> String {
    format!("Summarise document {i} of the released file.")
}
