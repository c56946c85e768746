//! Times: from a loss until output goes on, and between tokens through a router and without.

use std::time::Duration;

use engine::wire::{Frame, Generate, StreamName};
use futures_util::future::join_all;
use tokio::time::Instant;

use super::site::{Site, prompt};
use crate::harness::caller::Seen;
use crate::harness::fleet::Fleet;

/// A silence of this length after a loss shows that a stream was hit by it.
const HIT: Duration = Duration::from_millis(80);

/// The wave number of the measurement without a failure.
const CALM: usize = 1_000;

/// The longest wait for an engine to accept a stream.
const OPEN: Duration = Duration::from_secs(2);

/// The times of some streams.
#[derive(Clone, Debug, Default)]
pub(crate) struct Paths {
    pub(crate) firsts: Vec<Duration>,
    pub(crate) gaps: Vec<Duration>,
}

/// The times from a loss, or from the last token before, until the next token.
pub(crate) fn resumes(seen: &Seen, losses: &[Instant]) -> Vec<Duration> {
    let Some(first) = losses.iter().min() else {
        return Vec::new();
    };
    let pairs = seen.arrivals.windows(2).map(|w| (w[0].0, w[1].0));
    pairs
        .filter(|(before, after)| after > first && *after - *before > HIT)
        .map(|(before, after)| {
            // The latest loss that lies within the silence is the one that it began with.
            let within = losses.iter().filter(|t| **t > before && **t < after);
            after - within.min().copied().unwrap_or(before)
        })
        .collect()
}

/// The times of streams through the routers and of as many directly from the engines, side by side.
pub(crate) async fn paths(fleet: &Fleet, site: &Site) -> (Paths, Paths) {
    let asks: Vec<_> = (0..site.streams / 2)
        .map(|i| site.ask(fleet, "calm", CALM, i, false))
        .collect();
    let routed = join_all(asks.iter().map(|a| a.run()));
    let direct = (0..site.streams / 2).map(|i| direct(fleet, site, i));
    let (routed, direct) = tokio::join!(routed, join_all(direct));
    let routed = routed.iter().map(|s| {
        let arrivals: Vec<Instant> = s.arrivals.iter().map(|(at, _)| *at).collect();
        (s.started, arrivals)
    });
    (gather(routed), gather(direct.into_iter()))
}

/// Reads one stream from an engine; returns when it was asked for and when each token came.
async fn direct(fleet: &Fleet, site: &Site, i: usize) -> (Instant, Vec<Instant>) {
    let started = Instant::now();
    let engine = &fleet.engines[i % fleet.engines.len()];
    let body = Generate {
        stream: StreamName(format!("direct-{i}")),
        model: site.model(),
        prompt: prompt(CALM, i),
        prefix: Vec::new(),
        max_tokens: 160,
        priority: 0,
        deadline_ms: None,
    };
    let mut arrivals = Vec::new();
    if let Ok(mut frames) = engine::client::generate(engine.addr, &body, OPEN).await {
        while let Ok(Some(frame)) = frames.next().await {
            if matches!(frame, Frame::Token { .. }) {
                arrivals.push(Instant::now());
            }
        }
    }
    (started, arrivals)
}

fn gather(streams: impl Iterator<Item = (Instant, Vec<Instant>)>) -> Paths {
    let mut paths = Paths::default();
    for (started, arrivals) in streams {
        paths.firsts.extend(arrivals.first().map(|t| *t - started));
        paths.gaps.extend(arrivals.windows(2).map(|w| w[1] - w[0]));
    }
    paths
}
