//! Retry budget of one host, and its bound over many hosts.

use base::prelude::*;
use membership::gossip::SharedUsage;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use relay::Budget;

const WINDOW: Millis = Millis(10_000);

#[test]
fn earned_and_fixed_allowance() {
    let mut budget = Budget::new(WINDOW, 800, 40, 8);
    assert_eq!(
        budget.remaining(Millis(0)),
        5,
        "an eighth of the fixed allowance"
    );
    for _ in 0..10 {
        budget.record_request(Millis(0));
    }
    assert_eq!(budget.remaining(Millis(0)), 13);
    let spent = (0..50).filter(|_| budget.try_spend(Millis(1))).count();
    assert_eq!(spent, 13);
    assert_eq!(budget.remaining(Millis(12_000)), 5, "the window has passed");
}

/// The request rate drops to a tenth, as when callers are lost, while their requests must be retried: the
/// budget must still allow what the previous window has earned.
#[test]
fn earned_in_the_previous_window() {
    let mut budget = Budget::new(WINDOW, 800, 0, 1);
    for second in 0..10 {
        for _ in 0..10 {
            budget.record_request(Millis(second * 1_000));
        }
    }
    let mut spent = 0;
    for second in 10..20 {
        let now = Millis(second * 1_000);
        budget.record_request(now);
        spent += (0..100).filter(|_| budget.try_spend(now)).count();
    }
    assert_eq!(
        spent, 80,
        "earned by the 100 requests before, not by the 10 of this window"
    );
}

/// Callers move from one host to another while the hosts cannot exchange counts: their requests must not earn
/// retries at both.
#[test]
fn isolated_hosts_count_one_window() {
    let mut before = Budget::new(WINDOW, 800, 0, 2);
    let mut after = before.clone();
    for second in 0..20 {
        let budget = if second < 10 { &mut before } else { &mut after };
        for _ in 0..10 {
            budget.record_request(Millis(second * 1_000));
        }
    }
    let now = Millis(19_000);
    let left = before.remaining(now) + after.remaining(now);
    assert_eq!(left, 80, "earned by the 100 requests of one window");
}

#[test]
fn fixed_share_of_the_known_hosts() {
    let mut budget = Budget::new(WINDOW, 0, 80, 16);
    let alone = SharedUsage {
        reporting: 1,
        known: 8,
        ..SharedUsage::default()
    };
    budget.finish_exchange(alone);
    assert_eq!(budget.remaining(Millis(0)), 10);
}

#[test]
fn equal_share_between_exchanges() {
    let mut budget = Budget::new(WINDOW, 1_000, 0, 1);
    let others = SharedUsage {
        reporting: 10,
        known: 10,
        requests: [100; 3],
        ..SharedUsage::default()
    };
    budget.finish_exchange(others);
    let spent = (0..100).filter(|_| budget.try_spend(Millis(0))).count();
    assert_eq!(spent, 10, "a tenth, until the next exchange");
    budget.begin_exchange();
    assert!(
        !budget.try_spend(Millis(1)),
        "no share before the others have answered"
    );
    budget.finish_exchange(others);
    assert!(budget.try_spend(Millis(1)));
    budget.finish_exchange(others);
    let spent = (0..100).filter(|_| budget.try_spend(Millis(1))).count();
    assert_eq!(
        spent, 8,
        "retries sent since its counts were sent are deducted"
    );
}

#[test]
fn exchange_is_due_at_half_use() {
    let mut budget = Budget::new(WINDOW, 0, 100, 1);
    budget.finish_exchange(SharedUsage {
        reporting: 5,
        known: 5,
        ..SharedUsage::default()
    });
    let is_urgent = (0..12).map(|_| {
        budget.try_spend(Millis(0));
        budget.is_exchange_due(Millis(0))
    });
    let first = is_urgent.take_while(|is_urgent| !is_urgent).count();
    assert_eq!(first, 9, "due at the tenth of 20 retries");
    let scarce = SharedUsage {
        reporting: 5,
        known: 5,
        retries: 60,
        ..SharedUsage::default()
    };
    let mut budget = Budget::new(WINDOW, 0, 100, 1);
    budget.finish_exchange(scarce);
    budget.try_spend(Millis(0));
    assert!(
        budget.is_exchange_due(Millis(0)),
        "more than half of the total is used"
    );
}

/// Hosts of very different load that exchange counts at intervals, and need more retries than are allowed.
#[test]
fn total_is_bounded_over_hosts() {
    let config = Config {
        cases: 64,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let loads = prop::collection::vec(0_u64..40, 2..12);
    runner
        .run(&(loads, 1_u64..10), |(loads, every)| {
            let hosts = loads.len() as u64;
            let mut budgets = vec![Budget::new(WINDOW, 800, 150, hosts); loads.len()];
            let (mut requests, mut retries) = (0, 0);
            for step in 0..100 {
                let now = Millis(step * 90);
                if step % every == 0 {
                    exchange(&mut budgets, now);
                }
                for (budget, load) in budgets.iter_mut().zip(&loads) {
                    for _ in 0..*load / 10 {
                        budget.record_request(now);
                        requests += 1;
                        for _ in 0..2 {
                            if budget.try_spend(now) {
                                retries += 1;
                                budget.end_wait();
                            } else {
                                budget.begin_wait();
                            }
                        }
                    }
                }
            }
            let allowed = requests * 8 / 10 + 150;
            prop_assert!(retries <= allowed, "{retries} retries, {allowed} allowed");
            Ok(())
        })
        .unwrap();
}

/// With fewer retries left than hosts an equal share is zero; hosts with waiting requests must get them all.
#[test]
fn remainder_goes_to_waiting_hosts() {
    let mut budgets = vec![Budget::new(WINDOW, 0, 31, 60); 60];
    exchange(&mut budgets, Millis(0));
    assert!(budgets.iter().all(|b| b.remaining(Millis(0)) == 0));
    for host in [7, 30, 59] {
        budgets[host].begin_wait();
    }
    exchange(&mut budgets, Millis(100));
    let left: Vec<u64> = budgets.iter().map(|b| b.remaining(Millis(100))).collect();
    assert_eq!((left[7], left[30], left[59]), (11, 10, 10));
    assert_eq!(
        left.iter().sum::<u64>(),
        31,
        "no more than the fixed allowance"
    );
}

/// Gives each host the sums over all others, as a hub does.
fn exchange(budgets: &mut [Budget], now: Millis) {
    let used = budgets.iter().map(|b| (b.requests(now), b.retries(now)));
    let used: Vec<([u64; 3], u64)> = used.collect();
    let hosts = budgets.len() as u64;
    let sums = used.iter().fold(([0; 3], 0), |(q, r), u| {
        ([0, 1, 2].map(|i| q[i] + u.0[i]), r + u.1)
    });
    let all = budgets.iter().filter(|b| b.waiting() > 0).count() as u64;
    let mut before = 0;
    for (budget, own) in budgets.iter_mut().zip(&used) {
        let is_waiting = budget.waiting() > 0;
        budget.begin_exchange();
        budget.finish_exchange(SharedUsage {
            reporting: hosts,
            known: hosts,
            requests: [0, 1, 2].map(|i| sums.0[i] - own.0[i]),
            retries: sums.1 - own.1,
            waiting: all,
            rank: is_waiting.then_some(before),
        });
        before += u64::from(is_waiting);
    }
}
