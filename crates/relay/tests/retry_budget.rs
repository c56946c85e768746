//! The retry budget of one host and of many.

use base::prelude::*;
use membership::gossip::Shared;
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

#[test]
fn silent_hosts_leave_their_part() {
    let mut budget = Budget::new(WINDOW, 0, 80, 16);
    let alone = Shared {
        heard: 1,
        known: 8,
        requests: 0,
        repeats: 0,
    };
    budget.exchanged(alone);
    assert_eq!(budget.left(Millis(0)), 10);
}

#[test]
fn share_between_exchanges() {
    let mut budget = Budget::new(WINDOW, 1_000, 0, 1);
    let others = Shared {
        heard: 10,
        known: 10,
        requests: 100,
        repeats: 0,
    };
    budget.exchanged(others);
    let spent = (0..100).filter(|_| budget.spend(Millis(0))).count();
    assert_eq!(spent, 10, "a tenth, until the next exchange");
    budget.exchanged(others);
    assert!(budget.spend(Millis(1)));
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
                        repeats += u64::from(budget.spend(now)) + u64::from(budget.spend(now));
                    }
                }
            }
            let allowed = requests * 8 / 10 + 150;
            prop_assert!(repeats <= allowed, "{repeats} repeats, {allowed} allowed");
            Ok(())
        })
        .unwrap();
}

fn exchange(budgets: &mut [Budget], now: Millis) {
    let used: Vec<(u64, u64)> = budgets.iter().map(|b| b.used(now)).collect();
    let hosts = budgets.len() as u64;
    let sums = used.iter().fold((0, 0), |(q, r), u| (q + u.0, r + u.1));
    for (budget, own) in budgets.iter_mut().zip(&used) {
        budget.exchanged(Shared {
            heard: hosts,
            known: hosts,
            requests: sums.0 - own.0,
            repeats: sums.1 - own.1,
        });
    }
}
