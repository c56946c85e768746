//! Journals of this host, in shards to reduce lock contention between threads.

use std::sync::Mutex;

use base::hash::stable;
use base::prelude::*;
use journal::record::{Append, Refusal, Snapshot};
use journal::store::{JournalCopy, Limits, Orphan, Store, Summary};

/// Number of shards, each with its own lock.
const SHARDS: usize = 16;

/// Journal stores, sharded by the hash of the request key.
#[derive(Debug)]
pub struct Journals {
    shards: Vec<Mutex<Store>>,
}

impl Journals {
    /// Creates empty stores that divide the limits of the host among them.
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
    /// Those of [`Store::append`].
    pub fn append(&self, now: Millis, append: Append) -> Result<Offset, Refusal> {
        let shard = self.shard(&append.key);
        lock(shard).append(now, append)
    }

    /// See [`Store::append_remote`].
    ///
    /// # Errors
    ///
    /// Those of [`Store::append_remote`].
    pub fn append_remote(&self, now: Millis, append: Append) -> Result<Offset, Refusal> {
        let shard = self.shard(&append.key);
        lock(shard).append_remote(now, append)
    }

    /// The requests with a journal or a seal, in all shards.
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
    /// Those of [`Store::seal`].
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

    /// Number of journals, and total size of their tokens in bytes.
    pub fn size(&self) -> (usize, usize) {
        self.shards.iter().fold((0, 0), |(count, bytes), shard| {
            let shard = lock(shard);
            (count + shard.len(), bytes + shard.bytes())
        })
    }

    /// Summaries of all journals, for state dumps.
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
