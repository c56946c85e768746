//! Attempts and the retry budget of idempotent calls.

use base::prelude::*;
use calls::retry::{Attempt, Attempts, Failure, RetryBudget};

fn attempts() -> Attempts {
    Attempts::new(3, Millis(400), Millis(1_000))
}

/// Budget without tokens.
fn empty_budget() -> RetryBudget {
    let mut budget = RetryBudget::default();
    while budget.spend() {}
    budget
}

#[test]
fn other_server() {
    let mut call = attempts();
    let mut budget = RetryBudget::default();
    assert!(call.next(Millis(0), &mut budget).is_some());
    call.record_failure(BackendId::from("one"), Failure::Error);
    let second = Attempt {
        deadline: Millis(500),
        avoid: vec![BackendId::from("one")],
        new_connection: false,
    };
    assert_eq!(call.next(Millis(100), &mut budget), Some(second));
}

#[test]
fn fresh_connection() {
    let mut call = attempts();
    let mut budget = RetryBudget::default();
    call.next(Millis(0), &mut budget);
    call.record_failure(BackendId::from("one"), Failure::Timeout);
    let second = call.next(Millis(400), &mut budget);
    assert!(second.is_some_and(|a| a.new_connection));
}

#[test]
fn within_deadline() {
    let mut call = attempts();
    let mut budget = RetryBudget::default();
    call.next(Millis(0), &mut budget);
    let late = call.next(Millis(900), &mut budget);
    assert_eq!(late.map(|a| a.deadline), Some(Millis(1_000)));
    assert_eq!(call.next(Millis(1_000), &mut budget), None);
}

#[test]
fn limited_attempts() {
    let mut call = attempts();
    let mut budget = RetryBudget::default();
    let made = (0..10).filter(|_| call.next(Millis(0), &mut budget).is_some());
    assert_eq!(made.count(), 3);
}

#[test]
fn exhausted_budget() {
    let mut budget = empty_budget();
    let mut call = attempts();
    assert!(call.next(Millis(0), &mut budget).is_some());
    assert_eq!(call.next(Millis(0), &mut budget), None);
    // Ten calls at ten percent earn one retry.
    for _ in 0..10 {
        budget.earn(10);
    }
    assert!(budget.spend());
    assert!(!budget.spend());
}
