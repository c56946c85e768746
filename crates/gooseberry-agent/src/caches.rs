//! Follows which blocks of prompts each engine holds, as far as its cache events tell.

use std::net::SocketAddr;

use base::prelude::*;
use engine::wire::{CacheEvent, CacheEvents, is_sampled};
use profiles::document::{Kind, Service};

use crate::shared::{Agent, SharedAgent};

/// The most blocks followed for one engine; further ones are left out.
const MAX_BLOCKS: usize = 4_096;

/// The blocks of one engine.
#[derive(Clone, Debug, Default)]
pub struct CachedBlocks {
    incarnation: Incarnation,
    /// The number of the last event taken in.
    last_seq: u64,
    /// The sampled blocks, sorted.
    pub hashes: Vec<u64>,
}

impl CachedBlocks {
    /// Takes in events; returns whether the blocks have changed.
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

    /// The number of the last event taken in.
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

/// Follows the cache events of all engines for ever.
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

/// The engines that answer; a plain service knows nothing of cache events and would take the
/// question for a call of its own.
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

/// Reads the events of one engine.
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
