//! The journals of this host, shared by its threads.

use std::sync::Mutex;

use base::hash::stable;
use base::prelude::*;
use journal::record::{Append, Refusal, Snapshot};
use journal::store::{JournalCopy, Limits, Orphan, Store, Summary};

/// The number of parts, each behind a lock of its own.
const PARTS: usize = 16;

/// Journals in parts by their key.
#[derive(Debug)]
pub struct Shelf {
    parts: Vec<Mutex<Store>>,
}

impl Shelf {
    /// An empty shelf.
    pub fn new(limits: &Limits) -> Self {
        let part = Limits {
            bytes: limits.bytes / PARTS,
            count: limits.count.div_ceil(PARTS),
            ..*limits
        };
        let parts = (0..PARTS).map(|_| Mutex::new(Store::new(part))).collect();
        Self { parts }
    }

    /// See [`Store::append`].
    ///
    /// # Errors
    ///
    /// As there.
    pub fn append(&self, now: Millis, append: Append) -> Result<Offset, Refusal> {
        let part = self.part(&append.key);
        lock(part).append(now, append)
    }

    /// See [`Store::append_remote`].
    ///
    /// # Errors
    ///
    /// As there.
    pub fn witness(&self, now: Millis, append: Append) -> Result<Offset, Refusal> {
        let part = self.part(&append.key);
        lock(part).append_remote(now, append)
    }

    /// The requests of which journals are held.
    pub fn keys(&self) -> Vec<RequestKey> {
        let all = |p: &Mutex<Store>| lock(p).keys().cloned().collect::<Vec<_>>();
        self.parts.iter().flat_map(all).collect()
    }

    /// See [`Store::copy`].
    pub fn copy(&self, key: &RequestKey) -> Option<JournalCopy> {
        lock(self.part(key)).copy(key)
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
        lock(self.part(key)).seal(now, key, epoch, digest)
    }

    /// See [`Store::fence`].
    pub fn fence(&self, key: &RequestKey) -> Option<Epoch> {
        lock(self.part(key)).fence(key)
    }

    /// See [`Store::close`].
    pub fn close(&self, now: Millis, key: &RequestKey, epoch: Epoch) {
        lock(self.part(key)).close(now, key, epoch);
    }

    /// See [`Store::expire`].
    pub fn expire(&self, now: Millis) -> Vec<Orphan> {
        self.parts
            .iter()
            .flat_map(|p| lock(p).expire(now))
            .collect()
    }

    /// See [`Store::leave`].
    pub fn leave(&self) {
        for part in &self.parts {
            lock(part).leave();
        }
    }

    /// The number of journals and the bytes of their tokens.
    pub fn size(&self) -> (usize, usize) {
        self.parts.iter().fold((0, 0), |(count, bytes), part| {
            let part = lock(part);
            (count + part.len(), bytes + part.bytes())
        })
    }

    /// The journals, for a state dump.
    pub fn summaries(&self) -> Vec<Summary> {
        let all = |p: &Mutex<Store>| lock(p).summaries().collect::<Vec<_>>();
        self.parts.iter().flat_map(all).collect()
    }

    fn part(&self, key: &RequestKey) -> &Mutex<Store> {
        let i = stable(key.as_str().as_bytes()) as usize % PARTS;
        &self.parts[i]
    }
}

fn lock(part: &Mutex<Store>) -> std::sync::MutexGuard<'_, Store> {
    part.lock().unwrap_or_else(|e| e.into_inner())
}
