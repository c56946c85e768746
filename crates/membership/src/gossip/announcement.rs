//! How long a host passes on what it knows.

use base::prelude::*;

/// What is included in messages to other hosts for a while: by the host that found it, and by hubs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Announcement {
    until: Millis,
    /// Whether this host has found it itself.
    is_own: bool,
}

impl Announcement {
    /// Includes it from `now` on for `ttl`.
    pub fn start(now: Millis, ttl: Millis, is_own: bool) -> Self {
        Self {
            until: now + ttl,
            is_own,
        }
    }

    /// Records that this host has found it itself, too.
    pub fn claim(&mut self) {
        self.is_own = true;
    }

    /// Includes it from `now` on for `ttl`, whoever found it.
    pub fn renew(&mut self, now: Millis, ttl: Millis) {
        self.until = now + ttl;
    }

    /// Whether it is included now by a host that passes messages on (`is_hub`) or does not.
    pub fn is_due(&self, now: Millis, is_hub: bool) -> bool {
        now < self.until && (self.is_own || is_hub)
    }
}
