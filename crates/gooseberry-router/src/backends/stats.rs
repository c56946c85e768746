//! Lock-free counters and health of one backend server.

use std::sync::atomic::{AtomicU64, Ordering};

use balance::Health;
use base::prelude::*;

/// Requests of this router in flight at a server, and the health derived from their outcomes.
///
/// The counts are exact. Concurrent updates of the health may overwrite each other, which is
/// acceptable since it is a smoothed figure.
#[derive(Debug, Default)]
pub(super) struct ServerStats {
    in_flight: AtomicU64,
    resumes: AtomicU64,
    first_ms: AtomicU64,
    spread_ms: AtomicU64,
    measured: AtomicU64,
    failures: AtomicU64,
    ejected: AtomicU64,
    returned: AtomicU64,
    /// Time until which the server is avoided, in milliseconds.
    suspect_until: AtomicU64,
}

impl ServerStats {
    /// Counts a request as in flight, and as a resume if it is one.
    pub(super) fn begin(&self, is_resume: bool) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        if is_resume {
            self.resumes.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Removes a request from the in-flight count.
    pub(super) fn end(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Removes a resumed request that has received a token, or ended, from the count of resumes.
    pub(super) fn end_resume(&self) {
        self.resumes.fetch_sub(1, Ordering::Relaxed);
    }

    /// Number of requests in flight.
    pub(super) fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Number of resumed requests that have not received a token yet.
    pub(super) fn resumes(&self) -> u64 {
        self.resumes.load(Ordering::Relaxed)
    }

    /// Avoids the server until the given time; a past time ends this.
    pub(super) fn suspect(&self, until: Millis) {
        self.suspect_until.store(until.0, Ordering::Relaxed);
    }

    /// Whether the server is to be avoided.
    pub(super) fn is_suspect(&self, now: Millis) -> bool {
        self.suspect_until.load(Ordering::Relaxed) > now.0
    }

    /// The current health.
    pub(super) fn health(&self) -> Health {
        Health {
            first_ms: self.first_ms.load(Ordering::Relaxed),
            spread_ms: self.spread_ms.load(Ordering::Relaxed),
            measured: Millis(self.measured.load(Ordering::Relaxed)),
            failures: self.failures.load(Ordering::Relaxed),
            ejected: Millis(self.ejected.load(Ordering::Relaxed)),
            returned: Millis(self.returned.load(Ordering::Relaxed)),
        }
    }

    /// Applies a change to the health.
    pub(super) fn update_health(&self, change: impl FnOnce(&mut Health)) {
        let mut health = self.health();
        change(&mut health);
        self.first_ms.store(health.first_ms, Ordering::Relaxed);
        self.spread_ms.store(health.spread_ms, Ordering::Relaxed);
        self.measured.store(health.measured.0, Ordering::Relaxed);
        self.failures.store(health.failures, Ordering::Relaxed);
        self.ejected.store(health.ejected.0, Ordering::Relaxed);
        self.returned.store(health.returned.0, Ordering::Relaxed);
    }
}
