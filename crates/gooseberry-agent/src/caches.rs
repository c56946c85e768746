//! Follows which blocks of prompts each engine holds, as far as its cache events tell.

use std::net::SocketAddr;

use base::prelude::*;
use engine::wire::{CacheEvent, CacheEvents, is_sampled};

use crate::shared::{Agent, SharedAgent};

/// The load reports between two looks at cache events.
const PERIODS: u64 = 2;

/// The most blocks followed for one engine; further ones are left out.
const MAX_BLOCKS: usize = 4_096;

/// The blocks of one engine.
#[derive(Clone, Debug, Default)]
pub struct Blocks {
    incarnation: Incarnation,
    /// The number of the last event taken in.
    seq: u64,
    /// The sampled blocks, sorted.
    pub held: Vec<u64>,
}

impl Blocks {
    /// Takes in events; returns whether the blocks have changed.
    pub fn take(&mut self, news: &CacheEvents) -> bool {
        let is_new = self.incarnation != news.incarnation;
        if is_new {
            *self = Self {
                incarnation: news.incarnation,
                ..Self::default()
            };
        }
        let changes = news.events.iter().filter(|e| self.is_change(e)).count();
        for event in &news.events {
            self.seq = self.seq.max(event.seq);
            self.apply(event);
        }
        is_new || changes > 0
    }

    /// The number of the last event taken in.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    fn is_change(&self, event: &CacheEvent) -> bool {
        is_sampled(event.block) && event.stored != self.held.binary_search(&event.block).is_ok()
    }

    fn apply(&mut self, event: &CacheEvent) {
        if !is_sampled(event.block) {
            return;
        }
        match (self.held.binary_search(&event.block), event.stored) {
            (Err(i), true) if self.held.len() < MAX_BLOCKS => self.held.insert(i, event.block),
            (Ok(i), false) => {
                self.held.remove(i);
            }
            _ => {}
        }
    }
}

/// Follows the cache events of all engines for ever.
pub async fn follow(agent: SharedAgent) {
    let mut ticks = agent.timer.every(Millis(agent.settings.load_ms * PERIODS));
    loop {
        ticks.next().await;
        for (backend, addr) in engines(&agent) {
            let agent = agent.clone();
            tokio::spawn(async move { read(&agent, backend, addr).await });
        }
    }
}

/// The backend servers that answer.
fn engines(agent: &Agent) -> Vec<(BackendId, SocketAddr)> {
    agent.members(|members| {
        let live = members.backends().filter(|(_, b)| b.is_alive());
        live.map(|(id, b)| (id.clone(), b.listed.addr)).collect()
    })
}

/// Reads the events of one engine.
async fn read(agent: &Agent, backend: BackendId, addr: SocketAddr) {
    let limit = Millis(agent.settings.load_ms * PERIODS).duration();
    let after = agent.read(|known| known.caches.get(&backend).map_or(0, Blocks::seq));
    let Ok(news) = engine::client::cache_events(addr, after, limit).await else {
        return;
    };
    agent.change(|known| known.caches.entry(backend, Blocks::default).take(&news));
}
