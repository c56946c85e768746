//! Tracks which prompt blocks are in each engine's prefix cache, from the engine's cache events.

use std::net::SocketAddr;

use base::prelude::*;
use engine::wire::{CacheEvent, CacheEvents, is_sampled};
use profiles::document::{Kind, Service};

use crate::shared::{Agent, SharedAgent};

/// Maximum number of blocks tracked for one engine; further ones are ignored.
const MAX_BLOCKS: usize = 4_096;

/// Prompt blocks in the prefix cache of one engine.
#[derive(Clone, Debug, Default)]
pub struct CachedBlocks {
    incarnation: Incarnation,
    /// Sequence number of the last applied event; 0 if none.
    last_seq: u64,
    /// Hashes of the sampled blocks, sorted.
    pub hashes: Vec<u64>,
}

impl CachedBlocks {
    /// Applies events; returns whether the blocks may have changed.
    ///
    /// On a new incarnation the blocks are cleared first, because a restarted engine's cache is empty.
    pub fn apply_events(&mut self, response: &CacheEvents) -> bool {
        let is_new = self.incarnation != response.incarnation;
        if is_new {
            *self = Self {
                incarnation: response.incarnation,
                ..Self::default()
            };
        }
        let changes = response.events.iter().filter(|e| self.is_change(e)).count();
        for event in &response.events {
            self.last_seq = self.last_seq.max(event.seq);
            self.apply(event);
        }
        is_new || changes > 0
    }

    /// Sequence number of the last applied event; 0 if none.
    pub fn last_seq(&self) -> u64 {
        self.last_seq
    }

    fn is_change(&self, event: &CacheEvent) -> bool {
        is_sampled(event.block) && event.stored != self.hashes.binary_search(&event.block).is_ok()
    }

    fn apply(&mut self, event: &CacheEvent) {
        if !is_sampled(event.block) {
            return;
        }
        match (self.hashes.binary_search(&event.block), event.stored) {
            (Err(i), true) if self.hashes.len() < MAX_BLOCKS => self.hashes.insert(i, event.block),
            (Ok(i), false) => {
                self.hashes.remove(i);
            }
            _ => {}
        }
    }
}

/// Polls all engines for cache events; never returns.
pub async fn follow(agent: SharedAgent) {
    let mut ticks = agent.timer.every(Millis(agent.settings.load_ms));
    loop {
        ticks.next().await;
        for (backend, addr) in engines(&agent) {
            let agent = agent.clone();
            tokio::spawn(async move { read_events(&agent, backend, addr).await });
        }
    }
}

/// The engines that are alive. Backend servers of plain services are not polled: they have no cache
/// events and would handle the request as one of their own.
fn engines(agent: &Agent) -> Vec<(BackendId, SocketAddr)> {
    let services = agent.read(|state| {
        let is_model = |s: &&Service| s.kind == Kind::Model;
        let models = state.config.document().services.iter().filter(is_model);
        models.map(|s| s.name.clone()).collect::<Vec<_>>()
    });
    agent.members(|members| {
        let live = members.backends().filter(|(_, b)| b.is_alive());
        let engines = live.filter(|(_, b)| services.binary_search(&b.listed.service).is_ok());
        engines.map(|(id, b)| (id.clone(), b.listed.addr)).collect()
    })
}

/// Fetches and applies the events of one engine.
async fn read_events(agent: &Agent, backend: BackendId, addr: SocketAddr) {
    let limit = Millis(agent.settings.load_ms).duration();
    let after = agent.read(|state| state.caches.get(&backend).map_or(0, CachedBlocks::last_seq));
    let Ok(response) = engine::client::cache_events(addr, after, limit).await else {
        return;
    };
    agent.change(|state| {
        state
            .caches
            .entry(backend, CachedBlocks::default)
            .apply_events(&response)
    });
}
