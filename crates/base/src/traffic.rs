//! Process-wide counters of the bytes exchanged over peer connections and as an HTTP client.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

static SENT: AtomicU64 = AtomicU64::new(0);
static RECEIVED: AtomicU64 = AtomicU64::new(0);

/// Bytes exchanged since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Traffic {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

/// Adds the length of `bytes` to the bytes sent.
pub fn count_sent(bytes: &[u8]) {
    SENT.fetch_add(bytes.len() as u64, Ordering::Relaxed);
}

/// Adds the length of `bytes` to the bytes received.
pub fn count_received(bytes: &[u8]) {
    RECEIVED.fetch_add(bytes.len() as u64, Ordering::Relaxed);
}

/// The counts so far.
pub fn total() -> Traffic {
    Traffic {
        sent: SENT.load(Ordering::Relaxed),
        received: RECEIVED.load(Ordering::Relaxed),
    }
}
