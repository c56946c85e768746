//! Events at the caller: each once, in order, over several runs.

use base::prelude::*;
use bytes::Bytes;
use generation::Policy;
use relay::{Event, Progress, Step};

fn event(id: u64) -> Event {
    Event {
        id: Some(id),
        bytes: Bytes::new(),
    }
}

fn policy() -> Policy {
    Policy {
        floor_ms: 1_000,
        ceiling_ms: 1_500,
        ..Policy::default()
    }
}

#[test]
fn each_event_once() {
    let mut progress = Progress::new(Millis(0), None, policy());
    let steps = [1, 2, 2, 1, 3, 5].map(|id| progress.event(Millis(id), &event(id)));
    let expected = [
        Step::Pass,
        Step::Pass,
        Step::Drop,
        Step::Drop,
        Step::Pass,
        Step::Gap,
    ];
    assert_eq!(steps, expected);
    assert_eq!((progress.last(), progress.passed()), (Some(3), 3));
}

#[test]
fn goes_on_behind_the_callers_event() {
    let mut progress = Progress::new(Millis(0), Some(12), policy());
    assert_eq!(progress.event(Millis(1), &event(12)), Step::Drop);
    assert_eq!(progress.event(Millis(2), &event(14)), Step::Gap);
    assert_eq!(progress.event(Millis(3), &event(13)), Step::Pass);
}

#[test]
fn silence_within_bounds() {
    let mut progress = Progress::new(Millis(0), None, policy());
    for id in 1..50 {
        progress.event(Millis(id * 30), &event(id));
    }
    let silence = progress.suspect_at().since(progress.heard());
    assert_eq!(
        silence,
        Millis(1_000),
        "a steady stream has the least limit"
    );
    let mut uneven = Progress::new(Millis(0), None, policy());
    for id in 1..50 {
        uneven.event(Millis(id * 400), &event(id));
    }
    let silence = uneven.suspect_at().since(uneven.heard());
    assert_eq!(silence, Millis(1_500), "an uneven one the greatest");
}
