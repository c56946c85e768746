//! Claims under random faults, two and more at a time.

mod world;

use calls::submission::KeyOrigin;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestCaseError};
use world::{Fate, Serve, World};

/// The routers; 0 and 1 stand in one data centre, 2 in another.
const ROUTERS: usize = 3;

/// The keys in use.
const KEYS: [&str; 2] = ["a", "b"];

/// The time that each submission has, in milliseconds.
const SPAN: u64 = 400;

/// One step of an interleaving; numbers are taken modulo what there is.
#[derive(Clone, Debug)]
enum Step {
    Submit(usize, usize),
    Settle(usize, Fate),
    Pick(usize, bool),
    Serve(usize, Serve),
    Land(usize),
    Advance(u64),
    Kill(usize),
    Pause(usize, bool),
    Part(bool),
}

fn step() -> impl Strategy<Value = Step> {
    let fate = prop_oneof![
        4 => Just(Fate::Whole),
        1 => Just(Fate::Lost),
        1 => Just(Fate::Dropped),
        1 => Just(Fate::Stray),
    ];
    let serve = prop_oneof![
        2 => Just(Serve::Answer),
        1 => Just(Serve::Die),
        1 => Just(Serve::Vanish),
        1 => Just(Serve::Refuse),
    ];
    prop_oneof![
        3 => (any::<usize>(), any::<usize>()).prop_map(|(r, k)| Step::Submit(r, k)),
        8 => (any::<usize>(), fate).prop_map(|(i, f)| Step::Settle(i, f)),
        5 => (any::<usize>(), prop::bool::weighted(0.8)).prop_map(|(i, b)| Step::Pick(i, b)),
        4 => (any::<usize>(), serve).prop_map(|(i, s)| Step::Serve(i, s)),
        2 => any::<usize>().prop_map(Step::Land),
        5 => (1u64..250).prop_map(Step::Advance),
        1 => any::<usize>().prop_map(Step::Kill),
        2 => (any::<usize>(), any::<bool>()).prop_map(|(r, b)| Step::Pause(r, b)),
        1 => any::<bool>().prop_map(Step::Part),
    ]
}

fn carry_out(world: &mut World, step: &Step) {
    let calls = world.calls.len().max(1);
    let has = !world.calls.is_empty();
    match *step {
        Step::Submit(r, k) if !world.routers[r % ROUTERS].is_dead => {
            world.submit(
                r % ROUTERS,
                KEYS[k % KEYS.len()],
                0,
                KeyOrigin::Caller,
                SPAN,
            );
        }
        Step::Settle(i, fate) if has => world.settle(i % calls, fate),
        Step::Pick(i, found) if has => world.pick(i % calls, found),
        Step::Serve(i, serve) if has => world.serve(i % calls, serve),
        Step::Land(i) if !world.strays.is_empty() => world.land(i % world.strays.len()),
        Step::Advance(span) => world.advance(span),
        Step::Kill(r) => world.kill(r % ROUTERS),
        Step::Pause(r, paused) => world.routers[r % ROUTERS].is_paused = paused,
        Step::Part(parted) => world.routers[ROUTERS - 1].is_parted = parted,
        _ => {}
    }
}

/// Ends all pauses and lets everything that is on its way arrive.
fn finish(world: &mut World) {
    for router in &mut world.routers {
        router.is_paused = false;
    }
    for _ in 0..20 {
        world.advance(SPAN / 4);
        for i in 0..world.calls.len() {
            world.settle(i, Fate::Whole);
            world.pick(i, true);
            world.serve(i, Serve::Answer);
        }
        while !world.strays.is_empty() {
            world.land(0);
        }
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 1_500,
        rng_seed: RngSeed::Fixed(51),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn claim_faults(steps in prop::collection::vec(step(), 1..160)) {
        let mut world = World::new(ROUTERS);
        for step in &steps {
            carry_out(&mut world, step);
            world.check().map_err(TestCaseError::fail)?;
        }
        finish(&mut world);
        world.check().map_err(TestCaseError::fail)?;
        world.check_told().map_err(TestCaseError::fail)?;
    }
}
