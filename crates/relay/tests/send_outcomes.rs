//! What follows a send: another one, the answer, a refusal, or that it is not known.

use base::prelude::*;
use relay::{Next, Outcome, Tries};
use routing::Kind;

fn next(tries: &mut Tries, outcome: Outcome, kind: Kind) -> Next {
    tries.next(outcome, kind, 2)
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
    for (outcome, expected) in [
        (Outcome::NotRun, Next::Repeat),
        (Outcome::Moved, Next::Repeat),
        (Outcome::Unsent, Next::Resend),
    ] {
        let mut tries = Tries::default();
        assert_eq!(next(&mut tries, outcome, Kind::Once), expected);
        assert_eq!(tries.give_up(), Next::Refuse, "it has not run");
    }
}

#[test]
fn no_refusal_after_a_run() {
    let mut tries = Tries::default();
    assert_eq!(
        next(&mut tries, Outcome::Broken, Kind::Idempotent),
        Next::Repeat
    );
    assert_eq!(tries.give_up(), Next::Unknown);
    assert_eq!(
        next(&mut tries, Outcome::NotRun, Kind::Idempotent),
        Next::Repeat
    );
    assert_eq!(tries.unrepeated(Outcome::NotRun), Next::Unknown);
}

#[test]
fn attempts_bound_runs() {
    let mut tries = Tries::default();
    assert_eq!(
        next(&mut tries, Outcome::Failed, Kind::Idempotent),
        Next::Repeat
    );
    assert_eq!(
        next(&mut tries, Outcome::Failed, Kind::Idempotent),
        Next::Deliver
    );
}

#[test]
fn budget_bounds_repeats() {
    let ends = [
        (Outcome::Broken, Kind::Resumable, Next::Unknown),
        (Outcome::Failed, Kind::Idempotent, Next::Deliver),
        (Outcome::NotRun, Kind::Once, Next::Refuse),
        (Outcome::Moved, Kind::Once, Next::Refuse),
    ];
    for (outcome, kind, end) in ends {
        let mut tries = Tries::default();
        assert_eq!(tries.next(outcome, kind, 5), Next::Repeat);
        assert_eq!(tries.unrepeated(outcome), end);
    }
    let mut tries = Tries::default();
    let unsent = tries.next(Outcome::Unsent, Kind::Once, 5);
    assert_eq!(unsent, Next::Resend, "nothing arrived that would count");
}

#[test]
fn wait_for_a_repeat() {
    let patience = Millis(10_000);
    assert_eq!(Tries::repeat_wait(Millis(0), patience), Millis(2_000));
    assert_eq!(Tries::repeat_wait(Millis(5_500), patience), Millis(500));
    assert_eq!(
        Tries::repeat_wait(Millis(7_000), patience),
        Millis(0),
        "too late to be served"
    );
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
