//! The prefix cache of an engine, and the event log of blocks stored and evicted.

use std::collections::VecDeque;
use std::time::Duration;

use engine::wire::CacheEvent;
use tokio::time::Instant;

/// The maximum number of events kept for readers; the oldest are dropped first.
const MAX_EVENTS: usize = 16_384;

/// An LRU cache of prompt blocks.
#[derive(Debug)]
pub(super) struct Cache {
    capacity: usize,
    /// Hashes of the cached blocks, least recently used first.
    blocks: VecDeque<u64>,
    /// Events and when they occurred, oldest first.
    events: VecDeque<(Instant, CacheEvent)>,
    /// The sequence number of the last event, whether kept or dropped.
    seq: u64,
    /// One event in this many is dropped; 0 for none.
    lose_every: u64,
}

impl Cache {
    pub(super) fn new(capacity: usize, lose_every: u64) -> Self {
        Self {
            capacity,
            blocks: VecDeque::new(),
            events: VecDeque::new(),
            seq: 0,
            lose_every,
        }
    }

    /// The number of leading `blocks` that are cached.
    pub(super) fn hits(&self, blocks: &[u64]) -> usize {
        let is_cached = |b: &&u64| self.blocks.contains(b);
        blocks.iter().take_while(is_cached).count()
    }

    /// Stores `blocks` as the most recently used, and evicts blocks beyond the capacity.
    ///
    /// Drops the next `drop_events` events and counts them down.
    pub(super) fn store(&mut self, blocks: &[u64], drop_events: &mut u64) {
        for block in blocks {
            match self.blocks.iter().position(|b| b == block) {
                Some(i) => {
                    self.blocks.remove(i);
                }
                None => self.record_event(*block, true, drop_events),
            }
            self.blocks.push_back(*block);
        }
        while self.blocks.len() > self.capacity {
            if let Some(block) = self.blocks.pop_front() {
                self.record_event(block, false, drop_events);
            }
        }
    }

    /// The events with a sequence number above `after` that are at least `lag` old.
    pub(super) fn events(&self, after: u64, lag: Duration) -> Vec<CacheEvent> {
        let now = Instant::now();
        self.events
            .iter()
            .filter(|(at, e)| e.seq > after && now.duration_since(*at) >= lag)
            .map(|(_, e)| e.clone())
            .collect()
    }

    /// Logs an event, or drops it; a dropped event leaves a gap in the sequence numbers.
    fn record_event(&mut self, block: u64, stored: bool, drop_events: &mut u64) {
        self.seq += 1;
        let is_lost = self.lose_every > 0 && self.seq.is_multiple_of(self.lose_every);
        if is_lost || *drop_events > 0 {
            *drop_events = drop_events.saturating_sub(1);
            return;
        }
        let seq = self.seq;
        let event = CacheEvent { seq, block, stored };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
