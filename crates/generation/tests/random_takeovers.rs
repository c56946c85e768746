//! Random interleavings of tokens, failures, pauses, seals and retries by the caller, on three
//! hosts.
//!
//! Guards against takeovers that mix tokens of different generations or leave gaps: after each step
//! the caller's tokens must follow each other in one generation, and the output must become
//! complete once the failures end.

mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use world::{Step, World};

/// Number of interleavings per test.
const CASES: u32 = 400;

/// Maximum number of random steps in each.
const STEPS: usize = 160;

fn config(seed: u64) -> Config {
    Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

fn run(seed: u64, is_required: bool) {
    let steps = proptest::collection::vec(any::<Step>(), 0..STEPS);
    let mut runner = TestRunner::new(config(seed));
    let ran = runner.run(&steps, |steps| {
        let mut world = World::new(is_required);
        for step in &steps {
            world.step(*step);
            world.check()?;
        }
        world.heal();
        world.check()?;
        prop_assert!(
            world.is_complete(),
            "output incomplete after healing: {world:#?}"
        );
        Ok(())
    });
    if let Err(e) = ran {
        panic!("{e}");
    }
}

#[test]
fn with_witness() {
    run(11, true);
}

#[test]
fn without_witness() {
    run(12, false);
}
