//! Who watches the store and who follows whom.

use profiles::spread::{Part, WATCHERS, Way, part};
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

    /// News reaches every node over the links of any live set, also with any one node frozen.
    #[test]
    fn reaches_all(count in 1..40_usize, frozen in 0..40_usize, is_tree in any::<bool>()) {
        let way = if is_tree { Way::Tree } else { Way::Flat };
        let all = names(count);
        let live: Vec<&str> = all.iter().map(String::as_str).collect();
        let parts: Vec<Part> = live.iter().map(|own| part(way, own, &live)).collect();
        let watchers = parts.iter().filter(|p| **p == Part::Watch).count();
        prop_assert_eq!(watchers, count.min(WATCHERS));
        let mut knows: Vec<bool> = (0..count)
            .map(|i| i != frozen && parts[i] == Part::Watch)
            .collect();
        for _ in 0..count {
            for i in 0..count {
                let Part::Follow(links) = &parts[i] else { continue };
                let is_told = |l: &String| all.iter().position(|n| n == l).is_some_and(|j| knows[j]);
                knows[i] |= i != frozen && links.iter().any(is_told);
            }
        }
        for i in (0..count).filter(|i| *i != frozen && count > 1) {
            prop_assert!(knows[i], "{} of {count} with {frozen} frozen", i);
        }
    }
}

#[test]
fn poll_by_all() {
    let all = names(5);
    let live: Vec<&str> = all.iter().map(String::as_str).collect();
    assert!(
        live.iter()
            .all(|own| part(Way::Poll, own, &live) == Part::Watch)
    );
}
