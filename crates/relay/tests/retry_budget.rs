//! The retry budget of one host and of many.

use base::prelude::*;
use membership::gossip::SharedUsage;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use relay::Budget;

const WINDOW: Millis = Millis(10_000);

#[test]
fn earned_and_fixed_parts() {
    let mut budget = Budget::new(WINDOW, 800, 40, 8);
    assert_eq!(budget.left(Millis(0)), 5, "an eighth of the fixed part");
    for _ in 0..10 {
        budget.request(Millis(0));
    }
    assert_eq!(budget.left(Millis(0)), 13);
    let spent = (0..50).filter(|_| budget.spend(Millis(1))).count();
    assert_eq!(spent, 13);
    assert_eq!(budget.left(Millis(12_000)), 5, "the window has passed");
}

/// Half of the callers are gone, and the streams of their servers are to go on elsewhere.
#[test]
fn earned_in_the_window_before() {
    let mut budget = Budget::new(WINDOW, 800, 0, 1);
    for second in 0..10 {
        for _ in 0..10 {
            budget.request(Millis(second * 1_000));
        }
    }
    let mut spent = 0;
    for second in 10..20 {
        let now = Millis(second * 1_000);
        budget.request(now);
        spent += (0..100).filter(|_| budget.spend(now)).count();
    }
    assert_eq!(
        spent, 80,
        "of the 100 requests before, not of the 10 of this window"
    );
}

/// Callers go from one host to another that hears nothing of it.
#[test]
fn alone_in_this_window_only() {
    let mut before = Budget::new(WINDOW, 800, 0, 2);
    let mut after = before.clone();
    for second in 0..20 {
        let budget = if second < 10 { &mut before } else { &mut after };
        for _ in 0..10 {
            budget.request(Millis(second * 1_000));
        }
    }
    let now = Millis(19_000);
    let left = before.left(now) + after.left(now);
    assert_eq!(left, 80, "of the 100 requests of one window");
}

#[test]
fn silent_hosts_leave_their_part() {
    let mut budget = Budget::new(WINDOW, 0, 80, 16);
    let alone = SharedUsage {
        reporting: 1,
        known: 8,
        ..SharedUsage::default()
    };
    budget.exchanged(alone);
    assert_eq!(budget.left(Millis(0)), 10);
}

#[test]
fn share_between_exchanges() {
    let mut budget = Budget::new(WINDOW, 1_000, 0, 1);
    let others = SharedUsage {
        reporting: 10,
        known: 10,
        requests: [100; 3],
        ..SharedUsage::default()
    };
    budget.exchanged(others);
    let spent = (0..100).filter(|_| budget.spend(Millis(0))).count();
    assert_eq!(spent, 10, "a tenth, until the next exchange");
    budget.told();
    assert!(
        !budget.spend(Millis(1)),
        "nothing is known of the others yet"
    );
    budget.exchanged(others);
    assert!(budget.spend(Millis(1)));
    budget.exchanged(others);
    let spent = (0..100).filter(|_| budget.spend(Millis(1))).count();
    assert_eq!(spent, 8, "what was sent since it told is not given again");
}

#[test]
fn half_of_the_share_is_urgent() {
    let mut budget = Budget::new(WINDOW, 0, 100, 1);
    budget.exchanged(SharedUsage {
        reporting: 5,
        known: 5,
        ..SharedUsage::default()
    });
    let is_urgent = (0..12).map(|_| {
        budget.spend(Millis(0));
        budget.is_urgent(Millis(0))
    });
    let first = is_urgent.take_while(|is_urgent| !is_urgent).count();
    assert_eq!(first, 9, "the tenth of 20");
    let scarce = SharedUsage {
        reporting: 5,
        known: 5,
        retries: 60,
        ..SharedUsage::default()
    };
    let mut budget = Budget::new(WINDOW, 0, 100, 1);
    budget.exchanged(scarce);
    budget.spend(Millis(0));
    assert!(budget.is_urgent(Millis(0)), "more than half of all is used");
}

/// Hosts of very different load that exchange now and then, and want more than there is.
#[test]
fn sum_holds_over_hosts() {
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
            let (mut requests, mut repeats) = (0, 0);
            for step in 0..100 {
                let now = Millis(step * 90);
                if step % every == 0 {
                    exchange(&mut budgets, now);
                }
                for (budget, load) in budgets.iter_mut().zip(&loads) {
                    for _ in 0..*load / 10 {
                        budget.request(now);
                        requests += 1;
                        for _ in 0..2 {
                            if budget.spend(now) {
                                repeats += 1;
                                budget.waited();
                            } else {
                                budget.wait();
                            }
                        }
                    }
                }
            }
            let allowed = requests * 8 / 10 + 150;
            prop_assert!(repeats <= allowed, "{repeats} repeats, {allowed} allowed");
            Ok(())
        })
        .unwrap();
}

/// A pool smaller than the number of hosts.
#[test]
fn rest_goes_to_waiting() {
    let mut budgets = vec![Budget::new(WINDOW, 0, 31, 60); 60];
    exchange(&mut budgets, Millis(0));
    assert!(budgets.iter().all(|b| b.left(Millis(0)) == 0));
    for host in [7, 30, 59] {
        budgets[host].wait();
    }
    exchange(&mut budgets, Millis(100));
    let left: Vec<u64> = budgets.iter().map(|b| b.left(Millis(100))).collect();
    assert_eq!((left[7], left[30], left[59]), (11, 10, 10));
    assert_eq!(left.iter().sum::<u64>(), 31, "no more than there is");
}

fn exchange(budgets: &mut [Budget], now: Millis) {
    let used = budgets.iter().map(|b| (b.requests(now), b.repeats(now)));
    let used: Vec<([u64; 3], u64)> = used.collect();
    let hosts = budgets.len() as u64;
    let sums = used.iter().fold(([0; 3], 0), |(q, r), u| {
        ([0, 1, 2].map(|i| q[i] + u.0[i]), r + u.1)
    });
    let all = budgets.iter().filter(|b| b.waiting() > 0).count() as u64;
    let mut before = 0;
    for (budget, own) in budgets.iter_mut().zip(&used) {
        let is_waiting = budget.waiting() > 0;
        budget.told();
        budget.exchanged(SharedUsage {
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
