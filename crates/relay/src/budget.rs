//! A bound on repeated sends, as a part of the requests seen lately.
//!
//! Each host spends its own part, so that no message between hosts is needed: the ratio holds for the
//! sum because it holds for each, and the fixed part is divided by the number of hosts.

use base::prelude::*;

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
    /// The repeats allowed for each 1,000 requests.
    permille: u64,
    /// The repeats allowed besides, in each window.
    extra: u64,
    parts: Vec<Part>,
}

impl Budget {
    /// A budget of `permille` repeats for each 1,000 requests of a window, and `extra` besides.
    pub fn new(window: Millis, permille: u64, extra: u64) -> Self {
        Self {
            window: window.max(Millis(PARTS)),
            permille,
            extra,
            parts: Vec::new(),
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
        true
    }

    /// The repeats that may still be sent now.
    pub fn left(&self, now: Millis) -> u64 {
        let first = (self.number(now) + 1).saturating_sub(PARTS);
        let lately = self.parts.iter().filter(|p| p.number >= first);
        let (requests, repeats) = lately.fold((0, 0), |(q, r), p| (q + p.requests, r + p.repeats));
        (requests * self.permille / 1_000 + self.extra).saturating_sub(repeats)
    }

    fn part(&mut self, now: Millis) -> &mut Part {
        let number = self.number(now);
        let first = (number + 1).saturating_sub(PARTS);
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
