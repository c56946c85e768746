//! Decisions after each send: a retry, the answer, a refusal, or that the outcome is unknown.

use base::prelude::*;
use relay::{Action, Outcome, SendHistory};
use routing::Kind;

fn record(history: &mut SendHistory, outcome: Outcome, kind: Kind) -> Action {
    history.record(outcome, kind, 2)
}

#[test]
fn once_is_not_retried() {
    for outcome in [Outcome::Broken, Outcome::TimedOut] {
        let mut history = SendHistory::default();
        assert_eq!(
            record(&mut history, outcome, Kind::Once),
            Action::ReportUnknown
        );
        let mut history = SendHistory::default();
        assert_eq!(
            record(&mut history, outcome, Kind::Stream),
            Action::ReportUnknown
        );
    }
    let mut history = SendHistory::default();
    assert_eq!(
        record(&mut history, Outcome::Failed, Kind::Once),
        Action::Deliver
    );
}

#[test]
fn requests_not_run_go_elsewhere() {
    for (outcome, expected) in [
        (Outcome::NotRun, Action::Retry),
        (Outcome::Moved, Action::Retry),
        (Outcome::Unsent, Action::Resend),
    ] {
        let mut history = SendHistory::default();
        assert_eq!(record(&mut history, outcome, Kind::Once), expected);
        assert_eq!(history.abandon(), Action::Refuse, "it has not run");
    }
}

#[test]
fn no_refusal_after_a_run() {
    let mut history = SendHistory::default();
    assert_eq!(
        record(&mut history, Outcome::Broken, Kind::Idempotent),
        Action::Retry
    );
    assert_eq!(history.abandon(), Action::ReportUnknown);
    assert_eq!(
        record(&mut history, Outcome::NotRun, Kind::Idempotent),
        Action::Retry
    );
    assert_eq!(
        history.without_retry(Outcome::NotRun),
        Action::ReportUnknown
    );
}

#[test]
fn attempts_bound_retries() {
    let mut history = SendHistory::default();
    assert_eq!(
        record(&mut history, Outcome::Failed, Kind::Idempotent),
        Action::Retry
    );
    assert_eq!(
        record(&mut history, Outcome::Failed, Kind::Idempotent),
        Action::Deliver
    );
}

#[test]
fn outcomes_without_retry() {
    let ends = [
        (Outcome::Broken, Kind::Resumable, Action::ReportUnknown),
        (Outcome::Failed, Kind::Idempotent, Action::Deliver),
        (Outcome::NotRun, Kind::Once, Action::Refuse),
        (Outcome::Moved, Kind::Once, Action::Refuse),
    ];
    for (outcome, kind, end) in ends {
        let mut history = SendHistory::default();
        assert_eq!(history.record(outcome, kind, 5), Action::Retry);
        assert_eq!(history.without_retry(outcome), end);
    }
    let mut history = SendHistory::default();
    let unsent = history.record(Outcome::Unsent, Kind::Once, 5);
    assert_eq!(
        unsent,
        Action::Resend,
        "no server received it, so the budget is not charged"
    );
}

#[test]
fn retry_wait_is_bounded() {
    let time_limit = Millis(10_000);
    assert_eq!(
        SendHistory::retry_wait(Millis(0), time_limit),
        Millis(2_000)
    );
    assert_eq!(
        SendHistory::retry_wait(Millis(5_500), time_limit),
        Millis(500)
    );
    assert_eq!(
        SendHistory::retry_wait(Millis(7_000), time_limit),
        Millis(0),
        "too late to be served"
    );
}

#[test]
fn unsent_requests_are_bounded() {
    let mut history = SendHistory::default();
    let resends = (0..100)
        .take_while(|_| record(&mut history, Outcome::Unsent, Kind::Once) == Action::Resend);
    assert!(resends.count() < 20);
}

#[test]
fn backoff_grows_until_cutoff() {
    let mut history = SendHistory::default();
    let time_limit = Millis(10_000);
    let mut backoffs = Vec::new();
    for _ in 0..4 {
        record(&mut history, Outcome::NotRun, Kind::Resumable);
        backoffs.extend(history.backoff(Millis(0), time_limit));
    }
    assert!(
        backoffs.is_sorted() && backoffs[0] < backoffs[3],
        "{backoffs:?}"
    );
    assert_eq!(
        history.backoff(Millis(6_000), time_limit),
        None,
        "too late to be served"
    );
}
