//! Counts and health of one backend server, read and written without locks.

use std::sync::atomic::{AtomicU64, Ordering};

use balance::Health;
use base::prelude::*;

/// What this router has running at a server and what came of it.
///
/// Two outcomes at the same moment may overwrite each other's share of the health, which is a
/// smoothed figure; the counts are exact.
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
    /// Until when the server is passed over.
    suspect_until: AtomicU64,
}

impl ServerStats {
    /// Counts a request in.
    pub(super) fn begin(&self, is_resume: bool) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        if is_resume {
            self.resumes.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Counts a request out.
    pub(super) fn end(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// A resumed request has gone on or was given up.
    pub(super) fn end_resume(&self) {
        self.resumes.fetch_sub(1, Ordering::Relaxed);
    }

    /// The requests running.
    pub(super) fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// The resumed requests that have not gone on yet.
    pub(super) fn resumes(&self) -> u64 {
        self.resumes.load(Ordering::Relaxed)
    }

    /// Passes the server over until a time.
    pub(super) fn suspect(&self, until: Millis) {
        self.suspect_until.store(until.0, Ordering::Relaxed);
    }

    /// Whether the server is passed over.
    pub(super) fn is_suspect(&self, now: Millis) -> bool {
        self.suspect_until.load(Ordering::Relaxed) > now.0
    }

    /// The health as it stands.
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

    /// Takes an outcome in.
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
