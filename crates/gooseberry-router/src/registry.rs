//! Registry of the requests in flight, for state dumps and draining.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use base::prelude::*;
use base::sorted::Sorted;
use serde_json::{Value, json};

/// One request in flight.
#[derive(Clone, Debug)]
struct Entry {
    key: RequestKey,
    state: Value,
}

/// The last reported state of each request in flight.
#[derive(Debug, Default)]
pub struct Registry {
    entries: Mutex<Sorted<u64, Entry>>,
    last: AtomicU64,
}

impl Registry {
    /// Adds a request and returns its number, unique within this process.
    pub fn insert(&self, key: &RequestKey) -> u64 {
        let number = self.last.fetch_add(1, Ordering::Relaxed);
        let entry = Entry {
            key: key.clone(),
            state: Value::Null,
        };
        self.lock().insert(number, entry);
        number
    }

    /// Sets the state of a request; ignored if it was removed.
    pub fn update(&self, number: u64, state: impl FnOnce() -> Value) {
        if let Some(entry) = self.lock().get_mut(&number) {
            entry.state = state();
        }
    }

    /// Removes a request that has ended.
    pub fn remove(&self, number: u64) {
        self.lock().remove(&number);
    }

    /// Keys of the requests in flight, sorted.
    pub fn keys(&self) -> Vec<RequestKey> {
        let mut keys: Vec<RequestKey> = self.lock().iter().map(|(_, e)| e.key.clone()).collect();
        keys.sort();
        keys
    }

    /// Number of requests in flight.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether no request is in flight.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Key and state of all requests, for state dumps.
    pub fn dump(&self) -> Vec<Value> {
        self.lock()
            .iter()
            .map(|(_, e)| json!({ "key": e.key, "state": e.state }))
            .collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Sorted<u64, Entry>> {
        self.entries.lock().unwrap_or_else(|e| e.into_inner())
    }
}
