//! Progress of a stream over several attempts: each event reaches the caller once and in order.

use base::prelude::*;
use bytes::Bytes;
use generation::Policy;
use relay::{Event, EventAction, Progress};

fn event(id: u64) -> Event {
    Event {
        id,
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
    let actions = [1, 2, 2, 1, 3, 5].map(|id| progress.record(Millis(id), &event(id)));
    let expected = [
        EventAction::Forward,
        EventAction::Forward,
        EventAction::Drop,
        EventAction::Drop,
        EventAction::Forward,
        EventAction::Gap,
    ];
    assert_eq!(actions, expected);
    assert_eq!((progress.last_id(), progress.forwarded()), (Some(3), 3));
}

#[test]
fn continues_after_last_event_id() {
    let mut progress = Progress::new(Millis(0), Some(12), policy());
    assert_eq!(progress.record(Millis(1), &event(12)), EventAction::Drop);
    assert_eq!(progress.record(Millis(2), &event(14)), EventAction::Gap);
    assert_eq!(progress.record(Millis(3), &event(13)), EventAction::Forward);
}

#[test]
fn stall_limit_within_bounds() {
    let mut progress = Progress::new(Millis(0), None, policy());
    for id in 1..50 {
        progress.record(Millis(id * 30), &event(id));
    }
    let limit = progress.stall_deadline().since(progress.idle_since());
    assert_eq!(limit, Millis(1_000), "a steady stream gets the lower bound");
    let mut uneven = Progress::new(Millis(0), None, policy());
    for id in 1..50 {
        uneven.record(Millis(id * 400), &event(id));
    }
    let limit = uneven.stall_deadline().since(uneven.idle_since());
    assert_eq!(
        limit,
        Millis(1_500),
        "long gaps are limited by the upper bound"
    );
}
