//! Retries of calls that may repeat.

use base::prelude::*;
use calls::repeat::{Budget, Failure, Repeat, Try};

fn repeat() -> Repeat {
    Repeat::new(3, Millis(400), Millis(1_000))
}

/// A budget without savings.
fn poor() -> Budget {
    let mut budget = Budget::default();
    while budget.take() {}
    budget
}

#[test]
fn other_server() {
    let mut call = repeat();
    let mut budget = Budget::default();
    assert!(call.next(Millis(0), &mut budget).is_some());
    call.fail(BackendId::from("one"), Failure::Broke);
    let second = Try {
        until: Millis(500),
        avoid: vec![BackendId::from("one")],
        is_fresh: false,
    };
    assert_eq!(call.next(Millis(100), &mut budget), Some(second));
}

#[test]
fn fresh_connection() {
    let mut call = repeat();
    let mut budget = Budget::default();
    call.next(Millis(0), &mut budget);
    call.fail(BackendId::from("one"), Failure::Silent);
    let second = call.next(Millis(400), &mut budget);
    assert!(second.is_some_and(|t| t.is_fresh));
}

#[test]
fn within_deadline() {
    let mut call = repeat();
    let mut budget = Budget::default();
    call.next(Millis(0), &mut budget);
    let late = call.next(Millis(900), &mut budget);
    assert_eq!(late.map(|t| t.until), Some(Millis(1_000)));
    assert_eq!(call.next(Millis(1_000), &mut budget), None);
}

#[test]
fn limited_tries() {
    let mut call = repeat();
    let mut budget = Budget::default();
    let made = (0..10).filter(|_| call.next(Millis(0), &mut budget).is_some());
    assert_eq!(made.count(), 3);
}

#[test]
fn spent_budget() {
    let mut budget = poor();
    let mut call = repeat();
    assert!(call.next(Millis(0), &mut budget).is_some());
    assert_eq!(call.next(Millis(0), &mut budget), None);
    // Ten calls at ten in a hundred earn one retry.
    for _ in 0..10 {
        budget.earn(10);
    }
    assert!(budget.take());
    assert!(!budget.take());
}
