//! Resume times after a loss, and token latencies through the routers and directly from the
//! engines.

use std::time::Duration;

use engine::wire::{Frame, Generate, StreamName};
use futures_util::future::join_all;
use tokio::time::Instant;

use super::site::{Site, prompt};
use crate::harness::caller::Transcript;
use crate::harness::fleet::Fleet;

/// A gap between tokens longer than this after a loss counts as an interruption by it.
const MIN_STALL: Duration = Duration::from_millis(80);

/// Wave number of the fault-free measurement; it makes the prompts differ from those of other
/// waves.
const FAULT_FREE_WAVE: usize = 1_000;

/// The longest wait for an engine to accept a stream.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Token latencies of a set of streams.
#[derive(Clone, Debug, Default)]
pub(crate) struct Latencies {
    /// Time to first token of each stream that got one.
    pub(crate) ttfts: Vec<Duration>,
    /// Time between successive tokens, of all streams.
    pub(crate) gaps: Vec<Duration>,
}

/// For each interruption after the first loss, the time until the next token. It counts from the
/// loss during the gap, or from the token before the gap if no loss lies within it.
pub(crate) fn resume_times(transcript: &Transcript, losses: &[Instant]) -> Vec<Duration> {
    let Some(first) = losses.iter().min() else {
        return Vec::new();
    };
    let pairs = transcript.arrivals.windows(2).map(|w| (w[0].0, w[1].0));
    pairs
        .filter(|(before, after)| after > first && *after - *before > MIN_STALL)
        .map(|(before, after)| {
            // If several losses lie within the gap, the earliest counts.
            let within = losses.iter().filter(|t| **t > before && **t < after);
            after - within.min().copied().unwrap_or(before)
        })
        .collect()
}

/// Measures half as many streams as a wave has through the routers, and concurrently as many
/// directly from the engines.
pub(crate) async fn latencies(fleet: &Fleet, site: &Site) -> (Latencies, Latencies) {
    let callers: Vec<_> = (0..site.streams / 2)
        .map(|i| site.caller(fleet, "calm", FAULT_FREE_WAVE, i, false))
        .collect();
    let routed = join_all(callers.iter().map(|a| a.run()));
    let direct = (0..site.streams / 2).map(|i| read_direct(fleet, site, i));
    let (routed, direct) = tokio::join!(routed, join_all(direct));
    let routed = routed.iter().map(|s| {
        let arrivals: Vec<Instant> = s.arrivals.iter().map(|(at, _)| *at).collect();
        (s.started, arrivals)
    });
    (gather(routed), gather(direct.into_iter()))
}

/// Reads one stream directly from an engine; returns its start and the arrival of each token.
async fn read_direct(fleet: &Fleet, site: &Site, i: usize) -> (Instant, Vec<Instant>) {
    let started = Instant::now();
    let engine = &fleet.engines[i % fleet.engines.len()];
    let body = Generate {
        stream: StreamName(format!("direct-{i}")),
        model: site.model(),
        prompt: prompt(FAULT_FREE_WAVE, i),
        prefix: Vec::new(),
        max_tokens: 160,
        priority: 0,
        deadline_ms: None,
    };
    let mut arrivals = Vec::new();
    if let Ok(mut frames) = engine::client::generate(engine.addr, &body, OPEN_TIMEOUT).await {
        while let Ok(Some(frame)) = frames.next().await {
            if matches!(frame, Frame::Token { .. }) {
                arrivals.push(Instant::now());
            }
        }
    }
    (started, arrivals)
}

fn gather(streams: impl Iterator<Item = (Instant, Vec<Instant>)>) -> Latencies {
    let mut latencies = Latencies::default();
    for (started, arrivals) in streams {
        latencies
            .ttfts
            .extend(arrivals.first().map(|t| *t - started));
        latencies
            .gaps
            .extend(arrivals.windows(2).map(|w| w[1] - w[0]));
    }
    latencies
}
