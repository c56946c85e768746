//! Times: from a loss until output goes on, and between tokens through a router and without.

use std::time::Duration;

use engine::wire::{Frame, Generate, StreamName};
use futures_util::future::join_all;
use tokio::time::Instant;

use super::site::{Site, prompt};
use crate::harness::caller::Transcript;
use crate::harness::fleet::Fleet;

/// A silence of this length after a loss shows that a stream was hit by it.
const MIN_STALL: Duration = Duration::from_millis(80);

/// The wave number of the measurement without a failure.
const FAULT_FREE_WAVE: usize = 1_000;

/// The longest wait for an engine to accept a stream.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);

/// The times of some streams.
#[derive(Clone, Debug, Default)]
pub(crate) struct Latencies {
    pub(crate) ttfts: Vec<Duration>,
    pub(crate) gaps: Vec<Duration>,
}

/// The times from a loss, or from the last token before, until the next token.
pub(crate) fn resume_times(transcript: &Transcript, losses: &[Instant]) -> Vec<Duration> {
    let Some(first) = losses.iter().min() else {
        return Vec::new();
    };
    let pairs = transcript.arrivals.windows(2).map(|w| (w[0].0, w[1].0));
    pairs
        .filter(|(before, after)| after > first && *after - *before > MIN_STALL)
        .map(|(before, after)| {
            // The latest loss that lies within the silence is the one that it began with.
            let within = losses.iter().filter(|t| **t > before && **t < after);
            after - within.min().copied().unwrap_or(before)
        })
        .collect()
}

/// The times of streams through the routers and of as many directly from the engines, side by side.
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

/// Reads one stream from an engine; returns when it was asked for and when each token came.
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
