//! A bound on repeated sends, as a part of the requests seen lately: of those of the same window, of the one
//! half a window before or of the one before, whichever had most. So a loss of callers does not take away
//! the repeats that their lost requests need.
//!
//! The bound holds for all hosts together. Hosts tell each other what they have used; between two such
//! exchanges each spends an equal share of what was left; what cannot be divided equally goes to hosts with
//! requests that wait for a repeat. A host that hears of nobody spends out of its own requests of the window
//! and its part of the fixed allowance, so that the sum holds without any message.

use base::prelude::*;
use membership::gossip::{SharedUsage, WINDOWS};

/// The parts into which a window is divided for counting.
const PARTS: u64 = 10;

/// The sums of one part of a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Part {
    number: u64,
    requests: u64,
    repeats: u64,
}

/// Repeats allowed within a sliding window.
#[derive(Clone, Debug)]
pub struct Budget {
    window: Millis,
    /// The repeats allowed for each 1,000 requests of a window.
    permille: u64,
    /// The repeats allowed besides to all hosts together, in each window.
    extra: u64,
    parts: Vec<Part>,
    others: SharedUsage,
    /// The repeats of this host that the last exchange does not contain.
    spent: u64,
    /// The repeats of this host since it last told of its use.
    untold: u64,
    /// The requests of this host that wait for a repeat.
    waiting: u64,
}

impl Budget {
    /// A budget of `permille` repeats for each 1,000 requests of a window, and `extra` besides, among
    /// `hosts` hosts of which nothing was heard yet.
    pub fn new(window: Millis, permille: u64, extra: u64, hosts: u64) -> Self {
        Self {
            window: window.max(Millis(PARTS)),
            permille,
            extra,
            parts: Vec::new(),
            others: SharedUsage {
                reporting: 1,
                known: hosts.max(1),
                ..SharedUsage::default()
            },
            spent: 0,
            untold: 0,
            waiting: 0,
        }
    }

    /// Notes a request.
    pub fn request(&mut self, now: Millis) {
        self.part(now).requests += 1;
    }

    /// Takes one repeat, if there is one left.
    pub fn spend(&mut self, now: Millis) -> bool {
        if self.left(now) == 0 {
            return false;
        }
        self.part(now).repeats += 1;
        self.spent += 1;
        self.untold += 1;
        true
    }

    /// The repeats that this host may still send now.
    pub fn left(&self, now: Millis) -> u64 {
        let others = &self.others;
        let (allowed, used) = self.pool(now);
        let pool = allowed.saturating_sub(used);
        // The pool is already less by what was spent since the exchange.
        let before = pool + self.spent;
        let share = before / others.reporting + self.rest(before % others.reporting);
        pool.min(share.saturating_sub(self.spent))
    }

    /// The repeats that all hosts together may send within the window, and those that were sent.
    fn pool(&self, now: Millis) -> (u64, u64) {
        let others = &self.others;
        // Alone, hosts would each take the window that was best for themselves.
        let is_alone = others.reporting == 1 && others.known > 1;
        let windows = if is_alone { 1 } else { WINDOWS };
        let requests = self.requests(now).into_iter().zip(others.requests);
        let sums = requests.map(|(own, other)| own + other);
        let most = sums.take(windows).max().unwrap_or(0);
        let earned = most * self.permille / 1_000;
        let fixed = self.extra * others.reporting / others.known;
        (earned + fixed, self.repeats(now) + others.retries)
    }

    /// Whether the others are to be told of this host's use before the next regular exchange: half of its
    /// share, or half of what all may send, is used.
    pub fn is_urgent(&self, now: Millis) -> bool {
        let (allowed, used) = self.pool(now);
        self.left(now) <= self.spent || 2 * used > allowed
    }

    /// This host's part of a rest that is smaller than the number of hosts.
    fn rest(&self, rest: u64) -> u64 {
        let Some(rank) = self.others.rank else {
            return 0;
        };
        let waiting = self.others.waiting.max(rank + 1);
        rest / waiting + u64::from(rank < rest % waiting)
    }

    /// Notes that a request waits for a repeat.
    pub fn wait(&mut self) {
        self.waiting += 1;
    }

    /// Notes that a request waits no more.
    pub fn waited(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// The requests that wait for a repeat.
    pub fn waiting(&self) -> u64 {
        self.waiting
    }

    /// What the other hosts have used, as this host knows it.
    pub fn others(&self) -> &SharedUsage {
        &self.others
    }

    /// The requests of this host in each of the windows.
    pub fn requests(&self, now: Millis) -> [u64; WINDOWS] {
        let end = self.number(now) + 1;
        [0, PARTS / 2, PARTS].map(|before| {
            let parts = self.window(end.saturating_sub(before));
            parts.map(|p| p.requests).sum()
        })
    }

    /// The repeats of this host within the window.
    pub fn repeats(&self, now: Millis) -> u64 {
        let parts = self.window(self.number(now) + 1);
        parts.map(|p| p.repeats).sum()
    }

    /// The parts of the window that ends before the part `end`.
    fn window(&self, end: u64) -> impl Iterator<Item = &Part> {
        let numbers = end.saturating_sub(PARTS)..end;
        self.parts
            .iter()
            .filter(move |p| numbers.contains(&p.number))
    }

    /// This host's use is told to the others; [`Budget::exchanged`] follows when they have answered.
    pub fn told(&mut self) {
        self.untold = 0;
    }

    /// Takes in what the others have used, as the answer to what this host told last.
    pub fn exchanged(&mut self, others: SharedUsage) {
        self.others = others;
        self.spent = self.untold;
    }

    fn part(&mut self, now: Millis) -> &mut Part {
        let number = self.number(now);
        let first = (number + 1).saturating_sub(2 * PARTS);
        self.parts.retain(|p| p.number >= first);
        if self.parts.last().is_none_or(|p| p.number != number) {
            self.parts.push(Part {
                number,
                ..Part::default()
            });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }

    fn number(&self, now: Millis) -> u64 {
        now.0 / (self.window.0 / PARTS)
    }
}
