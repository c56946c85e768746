//! The links between agents and watchers carry updates to every agent.

use profiles::topology::{Role, Topology, WATCHERS, role};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn names(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("entry-{i}")).collect()
}

proptest! {
    #![proptest_config(Config {
        cases: 64,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..Config::default()
    })]

    /// An update reaches every agent of any live set, even if one of them stalls and forwards nothing.
    #[test]
    fn update_reaches_all(count in 1..40_usize, frozen in 0..40_usize, is_tree in any::<bool>()) {
        let topology = if is_tree { Topology::Tree } else { Topology::Flat };
        let all = names(count);
        let live: Vec<&str> = all.iter().map(String::as_str).collect();
        let roles: Vec<Role> = live.iter().map(|own| role(topology, own, &live)).collect();
        let watchers = roles.iter().filter(|p| **p == Role::Watch).count();
        prop_assert_eq!(watchers, count.min(WATCHERS));
        let mut has_update: Vec<bool> = (0..count)
            .map(|i| i != frozen && roles[i] == Role::Watch)
            .collect();
        for _ in 0..count {
            for i in 0..count {
                let Role::Follow(links) = &roles[i] else { continue };
                let is_updated = |l: &String| all.iter().position(|n| n == l).is_some_and(|j| has_update[j]);
                has_update[i] |= i != frozen && links.iter().any(is_updated);
            }
        }
        for i in (0..count).filter(|i| *i != frozen && count > 1) {
            prop_assert!(has_update[i], "{} of {count} with {frozen} frozen", i);
        }
    }
}

#[test]
fn poll_all_watch() {
    let all = names(5);
    let live: Vec<&str> = all.iter().map(String::as_str).collect();
    assert!(
        live.iter()
            .all(|own| role(Topology::Poll, own, &live) == Role::Watch)
    );
}
