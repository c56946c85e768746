//! The bytes that a process exchanges with other processes.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

/// The bytes sent and received since the process started.
static SENT: AtomicU64 = AtomicU64::new(0);
static RECEIVED: AtomicU64 = AtomicU64::new(0);

/// The bytes exchanged since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Traffic {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

/// Counts bytes that were sent.
pub fn count_sent(bytes: &[u8]) {
    SENT.fetch_add(bytes.len() as u64, Ordering::Relaxed);
}

/// Counts bytes that were received.
pub fn count_received(bytes: &[u8]) {
    RECEIVED.fetch_add(bytes.len() as u64, Ordering::Relaxed);
}

/// What was counted so far.
pub fn total() -> Traffic {
    Traffic {
        sent: SENT.load(Ordering::Relaxed),
        received: RECEIVED.load(Ordering::Relaxed),
    }
}
