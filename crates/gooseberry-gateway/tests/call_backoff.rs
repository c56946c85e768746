//! Pauses between calls to the store that fail in a row.

use base::prelude::*;
use gooseberry_gateway::backoff::Backoff;

const RANGE: (Millis, Millis) = (Millis(500), Millis(2_000));

#[test]
fn doubles_up_to_the_longest() {
    let mut backoff = Backoff::default();
    let pauses = [(); 4].map(|()| backoff.next(RANGE, Millis(0)).0);
    assert_eq!(pauses, [500, 1_000, 2_000, 2_000]);
    backoff.reset();
    assert_eq!(backoff.next(RANGE, Millis(0)), Millis(500));
}

/// A store that was silent for seconds answers again. A call that it never answered ends 2 s later; with a pause of
/// 2 s behind it a host would learn of a new configuration too late.
#[test]
fn silence_counts_as_pause() {
    let mut backoff = Backoff::default();
    for _ in 0..4 {
        backoff.next(RANGE, Millis(0));
    }
    assert_eq!(backoff.next(RANGE, Millis(1_350)), Millis(650));
    assert_eq!(backoff.next(RANGE, Millis(2_800)), Millis(0));
}
