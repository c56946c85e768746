//! What follows a send: another one, the answer, a refusal, or that it is not known.

use base::prelude::*;
use relay::{Next, Outcome, Tries};
use routing::Kind;

fn next(tries: &mut Tries, outcome: Outcome, kind: Kind) -> Next {
    tries.next(outcome, kind, 2, || true)
}

#[test]
fn once_is_not_repeated() {
    for outcome in [Outcome::Broken, Outcome::Silent] {
        let mut tries = Tries::default();
        assert_eq!(next(&mut tries, outcome, Kind::Once), Next::Unknown);
        let mut tries = Tries::default();
        assert_eq!(next(&mut tries, outcome, Kind::Stream), Next::Unknown);
    }
    let mut tries = Tries::default();
    assert_eq!(next(&mut tries, Outcome::Failed, Kind::Once), Next::Deliver);
}

#[test]
fn unrun_sends_go_elsewhere() {
    for outcome in [Outcome::NotRun, Outcome::Moved, Outcome::Unsent] {
        let mut tries = Tries::default();
        assert_eq!(next(&mut tries, outcome, Kind::Once), Next::Resend);
        assert_eq!(tries.give_up(), Next::Refuse, "it has not run");
    }
}

#[test]
fn no_refusal_after_a_run() {
    let mut tries = Tries::default();
    assert_eq!(
        next(&mut tries, Outcome::Broken, Kind::Idempotent),
        Next::Resend
    );
    assert_eq!(tries.give_up(), Next::Unknown);
    assert_eq!(
        tries.next(Outcome::NotRun, Kind::Idempotent, 2, || false),
        Next::Unknown
    );
}

#[test]
fn attempts_bound_runs() {
    let mut tries = Tries::default();
    assert_eq!(
        next(&mut tries, Outcome::Failed, Kind::Idempotent),
        Next::Resend
    );
    assert_eq!(
        next(&mut tries, Outcome::Failed, Kind::Idempotent),
        Next::Deliver
    );
}

#[test]
fn budget_bounds_repeats() {
    let mut tries = Tries::default();
    assert_eq!(
        tries.next(Outcome::Broken, Kind::Resumable, 5, || false),
        Next::Unknown
    );
    let mut tries = Tries::default();
    assert_eq!(
        tries.next(Outcome::NotRun, Kind::Once, 5, || false),
        Next::Refuse
    );
    let mut tries = Tries::default();
    let unsent = tries.next(Outcome::Unsent, Kind::Once, 5, || false);
    assert_eq!(unsent, Next::Resend, "nothing arrived that would count");
}

#[test]
fn unreachable_servers_end() {
    let mut tries = Tries::default();
    let resends =
        (0..100).take_while(|_| next(&mut tries, Outcome::Unsent, Kind::Once) == Next::Resend);
    assert!(resends.count() < 20);
}

#[test]
fn pauses_grow_and_end() {
    let mut tries = Tries::default();
    let patience = Millis(10_000);
    let mut pauses = Vec::new();
    for _ in 0..4 {
        next(&mut tries, Outcome::NotRun, Kind::Resumable);
        pauses.extend(tries.pause(Millis(0), patience));
    }
    assert!(pauses.is_sorted() && pauses[0] < pauses[3], "{pauses:?}");
    assert_eq!(
        tries.pause(Millis(6_000), patience),
        None,
        "too late to be served"
    );
}
