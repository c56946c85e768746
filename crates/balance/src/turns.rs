//! A host's turns at a server that takes a limited number of requests a second from all hosts together.
//!
//! Each host has one turn in a period that is as many times longer as there are hosts. A turn that is not used passes:
//! hosts that saved up theirs could together exceed the limit at any moment. The first turn comes at a random time, so
//! that those of the hosts are spread over the period without a common clock.

use base::prelude::*;

/// Smallest limit that is kept to, in thousandths a second; below it hosts could not notice that a limit is gone.
const MIN_LIMIT: u64 = 200;

/// How long a turn may be used beyond the time in which the server takes one request.
const EXTRA_VALIDITY: Millis = Millis(500);

/// The turns of this host at one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turns {
    limit: u64,
    /// Start of the next turn that may be unused.
    next: Millis,
}

impl Turns {
    /// Turns at a server with this `limit`, in thousandths a second, among `hosts`; `seed` is a random number.
    pub fn new(now: Millis, limit: u64, hosts: u64, seed: u64) -> Self {
        let mut turns = Self { limit, next: now };
        turns.next = now + Millis(seed % turns.period(hosts).0);
        turns
    }

    /// The limit, in thousandths a second.
    pub fn limit(&self) -> u64 {
        self.limit
    }

    /// Changes the limit; the part of the period that is left until the next turn stays the same.
    pub fn set_limit(&mut self, now: Millis, limit: u64, hosts: u64) {
        let left = u128::from(self.due(now, hosts).since(now).0);
        let before = u128::from(self.period(hosts).0);
        self.limit = limit;
        let left = left * u128::from(self.period(hosts).0) / before;
        self.next = now + Millis(u64::try_from(left).unwrap_or(u64::MAX));
    }

    /// When a request may be sent; not after `now` if that is possible at once.
    pub fn due(&self, now: Millis, hosts: u64) -> Millis {
        let late = now.since(self.next + self.validity());
        let passed = late.0.div_ceil(self.period(hosts).0);
        self.next + Millis(passed.saturating_mul(self.period(hosts).0))
    }

    /// Uses turns; those that are not due yet are taken from later ones.
    pub fn take(&mut self, now: Millis, hosts: u64, count: u64) {
        let span = Millis(self.period(hosts).0.saturating_mul(count));
        self.next = self.due(now, hosts) + span;
    }

    /// Time between two turns of this host.
    pub fn period(&self, hosts: u64) -> Millis {
        let limit = self.limit.max(MIN_LIMIT);
        Millis((hosts.max(1).saturating_mul(1_000_000) / limit).max(1))
    }

    fn validity(&self) -> Millis {
        Millis(1_000_000 / self.limit.max(MIN_LIMIT)) + EXTRA_VALIDITY
    }
}
