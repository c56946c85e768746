//! The journals of this host, shared by its threads.

use std::sync::Mutex;

use base::hash::stable;
use base::prelude::*;
use journal::record::{Append, Refusal, Snapshot};
use journal::store::{JournalCopy, Limits, Orphan, Store, Summary};

/// The number of shards, each behind a lock of its own.
const SHARDS: usize = 16;

/// Journals in shards by their key.
#[derive(Debug)]
pub struct Journals {
    shards: Vec<Mutex<Store>>,
}

impl Journals {
    /// An empty shelf.
    pub fn new(limits: &Limits) -> Self {
        let shard = Limits {
            bytes: limits.bytes / SHARDS,
            count: limits.count.div_ceil(SHARDS),
            ..*limits
        };
        let shards = (0..SHARDS).map(|_| Mutex::new(Store::new(shard))).collect();
        Self { shards }
    }

    /// See [`Store::append`].
    ///
    /// # Errors
    ///
    /// As there.
    pub fn append(&self, now: Millis, append: Append) -> Result<Offset, Refusal> {
        let shard = self.shard(&append.key);
        lock(shard).append(now, append)
    }

    /// See [`Store::append_remote`].
    ///
    /// # Errors
    ///
    /// As there.
    pub fn append_remote(&self, now: Millis, append: Append) -> Result<Offset, Refusal> {
        let shard = self.shard(&append.key);
        lock(shard).append_remote(now, append)
    }

    /// The requests of which journals are held.
    pub fn keys(&self) -> Vec<RequestKey> {
        let all = |p: &Mutex<Store>| lock(p).keys().cloned().collect::<Vec<_>>();
        self.shards.iter().flat_map(all).collect()
    }

    /// See [`Store::copy`].
    pub fn copy(&self, key: &RequestKey) -> Option<JournalCopy> {
        lock(self.shard(key)).copy(key)
    }

    /// See [`Store::seal`].
    ///
    /// # Errors
    ///
    /// As there.
    pub fn seal(
        &self,
        now: Millis,
        key: &RequestKey,
        epoch: Epoch,
        digest: u64,
    ) -> Result<Option<Snapshot>, Refusal> {
        lock(self.shard(key)).seal(now, key, epoch, digest)
    }

    /// See [`Store::fence`].
    pub fn fence(&self, key: &RequestKey) -> Option<Epoch> {
        lock(self.shard(key)).fence(key)
    }

    /// See [`Store::close`].
    pub fn close(&self, now: Millis, key: &RequestKey, epoch: Epoch) {
        lock(self.shard(key)).close(now, key, epoch);
    }

    /// See [`Store::expire`].
    pub fn expire(&self, now: Millis) -> Vec<Orphan> {
        self.shards
            .iter()
            .flat_map(|p| lock(p).expire(now))
            .collect()
    }

    /// See [`Store::leave`].
    pub fn leave(&self) {
        for shard in &self.shards {
            lock(shard).leave();
        }
    }

    /// The number of journals and the bytes of their tokens.
    pub fn size(&self) -> (usize, usize) {
        self.shards.iter().fold((0, 0), |(count, bytes), shard| {
            let shard = lock(shard);
            (count + shard.len(), bytes + shard.bytes())
        })
    }

    /// The journals, for a state dump.
    pub fn summaries(&self) -> Vec<Summary> {
        let all = |p: &Mutex<Store>| lock(p).summaries().collect::<Vec<_>>();
        self.shards.iter().flat_map(all).collect()
    }

    fn shard(&self, key: &RequestKey) -> &Mutex<Store> {
        let i = stable(key.as_str().as_bytes()) as usize % SHARDS;
        &self.shards[i]
    }
}

fn lock(shard: &Mutex<Store>) -> std::sync::MutexGuard<'_, Store> {
    shard.lock().unwrap_or_else(|e| e.into_inner())
}
