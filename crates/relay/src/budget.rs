//! Retry budget: bounds retries to a share of recent requests, over all hosts together.
//!
//! The share is taken of the largest of three request counts: of the current window, of the window that
//! ended half a window earlier, and of the one that ended a whole window earlier. When callers are lost and
//! the request rate drops, the retries that their interrupted requests need are therefore still available.
//!
//! Hosts exchange the counts of their requests and retries. Between two exchanges each host may spend an
//! equal share of what remained; a remainder that cannot be divided equally goes to hosts with requests
//! waiting for a retry. A host that receives no counts from others earns retries from its own requests of
//! the current window only, and has its share of the fixed allowance, so that the bound over all hosts
//! holds without any message.

use base::prelude::*;
use membership::gossip::{SharedUsage, WINDOWS};

/// Number of buckets into which a window is divided for counting.
const BUCKETS: u64 = 10;

/// Counts of this host for one bucket of the sliding window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Bucket {
    /// The time divided by the length of a bucket.
    index: u64,
    requests: u64,
    retries: u64,
}

/// Retry budget of one service within a sliding window, as seen by one host.
#[derive(Clone, Debug)]
pub struct Budget {
    window: Millis,
    /// Retries allowed for each 1,000 requests of a window.
    permille: u64,
    /// Fixed allowance: additional retries of all hosts together in each window.
    extra: u64,
    buckets: Vec<Bucket>,
    /// Sums over the other hosts as of the last exchange.
    others: SharedUsage,
    /// Retries of this host that the last exchange does not include.
    unconfirmed: u64,
    /// Retries of this host since it last sent its counts.
    unreported: u64,
    /// Requests of this host that wait for a retry.
    waiting: u64,
}

impl Budget {
    /// A budget of `permille` retries for each 1,000 requests of a window, plus a fixed allowance of `extra`.
    ///
    /// Until the first exchange it is divided among `hosts` hosts, of which only this one has reported.
    pub fn new(window: Millis, permille: u64, extra: u64, hosts: u64) -> Self {
        Self {
            window: window.max(Millis(BUCKETS)),
            permille,
            extra,
            buckets: Vec::new(),
            others: SharedUsage {
                reporting: 1,
                known: hosts.max(1),
                ..SharedUsage::default()
            },
            unconfirmed: 0,
            unreported: 0,
            waiting: 0,
        }
    }

    /// Counts a request, which earns `permille` thousandths of a retry.
    pub fn record_request(&mut self, now: Millis) {
        self.bucket(now).requests += 1;
    }

    /// Takes one retry out of the budget; returns `false` if none remains.
    pub fn try_spend(&mut self, now: Millis) -> bool {
        if self.remaining(now) == 0 {
            return false;
        }
        self.bucket(now).retries += 1;
        self.unconfirmed += 1;
        self.unreported += 1;
        true
    }

    /// Number of retries that this host may still send now.
    pub fn remaining(&self, now: Millis) -> u64 {
        let others = &self.others;
        let (allowed, used) = self.totals(now);
        let pool = allowed.saturating_sub(used);
        // The pool is already reduced by the retries sent since the exchange.
        let before = pool + self.unconfirmed;
        let share = before / others.reporting + self.remainder_share(before % others.reporting);
        pool.min(share.saturating_sub(self.unconfirmed))
    }

    /// Retries that all hosts together may send within the window, and the number already sent.
    fn totals(&self, now: Millis) -> (u64, u64) {
        let others = &self.others;
        // If isolated hosts could each choose their best window, callers that move from one host to another
        // would count at both, and the sum over hosts would exceed the bound.
        let is_isolated = others.reporting == 1 && others.known > 1;
        let windows = if is_isolated { 1 } else { WINDOWS };
        let requests = self.requests(now).into_iter().zip(others.requests);
        let sums = requests.map(|(own, other)| own + other);
        let most = sums.take(windows).max().unwrap_or(0);
        let earned = most * self.permille / 1_000;
        let fixed = self.extra * others.reporting / others.known;
        (earned + fixed, self.retries(now) + others.retries)
    }

    /// Whether this host should send its counts before the next regular exchange: half of its share, or half
    /// of the retries allowed to all hosts, is used.
    pub fn is_exchange_due(&self, now: Millis) -> bool {
        let (allowed, used) = self.totals(now);
        self.remaining(now) <= self.unconfirmed || 2 * used > allowed
    }

    /// This host's part of a remainder that is smaller than the number of hosts.
    fn remainder_share(&self, remainder: u64) -> u64 {
        let Some(rank) = self.others.rank else {
            return 0;
        };
        let waiting = self.others.waiting.max(rank + 1);
        remainder / waiting + u64::from(rank < remainder % waiting)
    }

    /// Counts a request that starts to wait for a retry.
    pub fn begin_wait(&mut self) {
        self.waiting += 1;
    }

    /// Removes a request that no longer waits, whether or not it got a retry.
    pub fn end_wait(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Requests of this host that wait for a retry now.
    pub fn waiting(&self) -> u64 {
        self.waiting
    }

    /// Sums over the other hosts as of the last exchange.
    pub fn others(&self) -> &SharedUsage {
        &self.others
    }

    /// Requests of this host in the windows that end now, half a window ago and a whole window ago.
    pub fn requests(&self, now: Millis) -> [u64; WINDOWS] {
        let end = self.bucket_index(now) + 1;
        [0, BUCKETS / 2, BUCKETS].map(|before| {
            let buckets = self.window(end.saturating_sub(before));
            buckets.map(|b| b.requests).sum()
        })
    }

    /// Retries of this host within the current window.
    pub fn retries(&self, now: Millis) -> u64 {
        let buckets = self.window(self.bucket_index(now) + 1);
        buckets.map(|b| b.retries).sum()
    }

    /// Buckets of the window that ends before the bucket `end`.
    fn window(&self, end: u64) -> impl Iterator<Item = &Bucket> {
        let range = end.saturating_sub(BUCKETS)..end;
        self.buckets
            .iter()
            .filter(move |b| range.contains(&b.index))
    }

    /// Called when this host's counts are sent; [`Budget::finish_exchange`] follows when an answer arrives.
    pub fn begin_exchange(&mut self) {
        self.unreported = 0;
    }

    /// Applies the sums over the other hosts that answer the counts sent last.
    pub fn finish_exchange(&mut self, others: SharedUsage) {
        self.others = others;
        self.unconfirmed = self.unreported;
    }

    /// The bucket of the time `now`; drops buckets that no window reaches any more.
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
