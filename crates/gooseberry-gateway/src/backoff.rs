//! Pauses between calls that fail in a row.

use base::prelude::*;

/// The pause before the next call, which doubles with each failure in a row.
///
/// It is counted from the start of the failed call: one that waited for an answer in vain has already kept the
/// load low, and a pause on top of it would delay the news that the other side is back.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    pause: Millis,
}

impl Backoff {
    /// Records a call that succeeded.
    pub fn reset(&mut self) {
        self.pause = Millis(0);
    }

    /// The rest of the pause after a call that failed after `took`; `range` is the first and the longest pause.
    pub fn next(&mut self, range: (Millis, Millis), took: Millis) -> Millis {
        let pause = self.pause.max(range.0).min(range.1);
        self.pause = pause + pause;
        pause.since(took)
    }
}
