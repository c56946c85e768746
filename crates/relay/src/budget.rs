//! A bound on repeated sends, as a part of the requests seen lately: of those of the same window, of the one
//! half a window before or of the one before, whichever had most. So a loss of callers does not take away
//! the repeats that their lost requests need.
//!
//! The bound holds for all hosts together. Hosts tell each other what they have used; between two such
//! exchanges each spends an equal share of what was left; what cannot be divided equally goes to hosts with
//! requests that wait for a repeat. A host that hears of nobody spends out of its own requests of the window
//! and its part of the fixed allowance, so that the sum holds without any message.

use base::prelude::*;
use membership::gossip::{Shared, WINDOWS};

/// The parts into which a window is divided for counting.
const BUCKETS: u64 = 10;

/// The sums of one part of a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Bucket {
    index: u64,
    requests: u64,
    retries: u64,
}

/// Repeats allowed within a sliding window.
#[derive(Clone, Debug)]
pub struct Budget {
    window: Millis,
    /// The repeats allowed for each 1,000 requests of a window.
    permille: u64,
    /// The repeats allowed besides to all hosts together, in each window.
    extra: u64,
    buckets: Vec<Bucket>,
    others: Shared,
    /// The repeats of this host that the last exchange does not contain.
    unconfirmed: u64,
    /// The repeats of this host since it last told of its use.
    unreported: u64,
    /// The requests of this host that wait for a repeat.
    waiting: u64,
}

impl Budget {
    /// A budget of `permille` repeats for each 1,000 requests of a window, and `extra` besides, among
    /// `hosts` hosts of which nothing was heard yet.
    pub fn new(window: Millis, permille: u64, extra: u64, hosts: u64) -> Self {
        Self {
            window: window.max(Millis(BUCKETS)),
            permille,
            extra,
            buckets: Vec::new(),
            others: Shared {
                heard: 1,
                known: hosts.max(1),
                ..Shared::default()
            },
            unconfirmed: 0,
            unreported: 0,
            waiting: 0,
        }
    }

    /// Notes a request.
    pub fn record_request(&mut self, now: Millis) {
        self.bucket(now).requests += 1;
    }

    /// Takes one repeat, if there is one left.
    pub fn try_spend(&mut self, now: Millis) -> bool {
        if self.remaining(now) == 0 {
            return false;
        }
        self.bucket(now).retries += 1;
        self.unconfirmed += 1;
        self.unreported += 1;
        true
    }

    /// The repeats that this host may still send now.
    pub fn remaining(&self, now: Millis) -> u64 {
        let others = &self.others;
        let (allowed, used) = self.totals(now);
        let pool = allowed.saturating_sub(used);
        // The pool is already less by what was spent since the exchange.
        let before = pool + self.unconfirmed;
        let share = before / others.heard + self.remainder_share(before % others.heard);
        pool.min(share.saturating_sub(self.unconfirmed))
    }

    /// The repeats that all hosts together may send within the window, and those that were sent.
    fn totals(&self, now: Millis) -> (u64, u64) {
        let others = &self.others;
        // Alone, hosts would each take the window that was best for themselves.
        let is_isolated = others.heard == 1 && others.known > 1;
        let windows = if is_isolated { 1 } else { WINDOWS };
        let requests = self.requests(now).into_iter().zip(others.requests);
        let sums = requests.map(|(own, other)| own + other);
        let most = sums.take(windows).max().unwrap_or(0);
        let earned = most * self.permille / 1_000;
        let fixed = self.extra * others.heard / others.known;
        (earned + fixed, self.retries(now) + others.repeats)
    }

    /// Whether the others are to be told of this host's use before the next regular exchange: half of its
    /// share, or half of what all may send, is used.
    pub fn is_exchange_due(&self, now: Millis) -> bool {
        let (allowed, used) = self.totals(now);
        self.remaining(now) <= self.unconfirmed || 2 * used > allowed
    }

    /// This host's part of a rest that is smaller than the number of hosts.
    fn remainder_share(&self, remainder: u64) -> u64 {
        let Some(rank) = self.others.rank else {
            return 0;
        };
        let waiting = self.others.waiting.max(rank + 1);
        remainder / waiting + u64::from(rank < remainder % waiting)
    }

    /// Notes that a request waits for a repeat.
    pub fn begin_wait(&mut self) {
        self.waiting += 1;
    }

    /// Notes that a request waits no more.
    pub fn end_wait(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// The requests that wait for a repeat.
    pub fn waiting(&self) -> u64 {
        self.waiting
    }

    /// What the other hosts have used, as this host knows it.
    pub fn others(&self) -> &Shared {
        &self.others
    }

    /// The requests of this host in each of the windows.
    pub fn requests(&self, now: Millis) -> [u64; WINDOWS] {
        let end = self.bucket_index(now) + 1;
        [0, BUCKETS / 2, BUCKETS].map(|before| {
            let buckets = self.window(end.saturating_sub(before));
            buckets.map(|b| b.requests).sum()
        })
    }

    /// The repeats of this host within the window.
    pub fn retries(&self, now: Millis) -> u64 {
        let buckets = self.window(self.bucket_index(now) + 1);
        buckets.map(|b| b.retries).sum()
    }

    /// The parts of the window that ends before the part `end`.
    fn window(&self, end: u64) -> impl Iterator<Item = &Bucket> {
        let range = end.saturating_sub(BUCKETS)..end;
        self.buckets
            .iter()
            .filter(move |b| range.contains(&b.index))
    }

    /// This host's use is told to the others; [`Budget::finish_exchange`] follows when they have answered.
    pub fn begin_exchange(&mut self) {
        self.unreported = 0;
    }

    /// Takes in what the others have used, as the answer to what this host told last.
    pub fn finish_exchange(&mut self, others: Shared) {
        self.others = others;
        self.unconfirmed = self.unreported;
    }

    fn bucket(&mut self, now: Millis) -> &mut Bucket {
        let index = self.bucket_index(now);
        let first = (index + 1).saturating_sub(2 * BUCKETS);
        self.buckets.retain(|b| b.index >= first);
        if self.buckets.last().is_none_or(|b| b.index != index) {
            self.buckets.push(Bucket {
                index,
                ..Bucket::default()
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    fn bucket_index(&self, now: Millis) -> u64 {
        now.0 / (self.window.0 / BUCKETS)
    }
}
