//! Property test of claims: random interleavings of submissions and faults keep the invariants.

mod world;

use calls::submission::KeyOrigin;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestCaseError};
use world::{Access, Delivery, World};

/// Number of routers; 0 and 1 are in one data centre, 2 is in another and can be partitioned.
const ROUTERS: usize = 3;

/// Keys of the calls, shared by all routers.
const KEYS: [&str; 2] = ["a", "b"];

/// Time from a submission to its deadline, in milliseconds.
const SPAN: u64 = 400;

/// One step of an interleaving; indices are taken modulo the number of elements.
#[derive(Clone, Debug)]
enum Step {
    Submit(usize, usize),
    CompleteAccess(usize, Access),
    CompleteSelection(usize, bool),
    CompleteSend(usize, Delivery),
    Deliver(usize),
    Advance(u64),
    Kill(usize),
    Pause(usize, bool),
    Partition(bool),
}

fn step() -> impl Strategy<Value = Step> {
    let access = prop_oneof![
        4 => Just(Access::Applied),
        1 => Just(Access::AnswerLost),
        1 => Just(Access::Dropped),
        1 => Just(Access::Delayed),
    ];
    let delivery = prop_oneof![
        2 => Just(Delivery::Answer),
        1 => Just(Delivery::Crash),
        1 => Just(Delivery::Dropped),
        1 => Just(Delivery::Refuse),
    ];
    prop_oneof![
        3 => (any::<usize>(), any::<usize>()).prop_map(|(r, k)| Step::Submit(r, k)),
        8 => (any::<usize>(), access).prop_map(|(i, f)| Step::CompleteAccess(i, f)),
        5 => (any::<usize>(), prop::bool::weighted(0.8))
            .prop_map(|(i, b)| Step::CompleteSelection(i, b)),
        4 => (any::<usize>(), delivery).prop_map(|(i, s)| Step::CompleteSend(i, s)),
        2 => any::<usize>().prop_map(Step::Deliver),
        5 => (1u64..250).prop_map(Step::Advance),
        1 => any::<usize>().prop_map(Step::Kill),
        2 => (any::<usize>(), any::<bool>()).prop_map(|(r, b)| Step::Pause(r, b)),
        1 => any::<bool>().prop_map(Step::Partition),
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
        Step::CompleteAccess(i, access) if has => world.complete_access(i % calls, access),
        Step::CompleteSelection(i, found) if has => world.complete_selection(i % calls, found),
        Step::CompleteSend(i, delivery) if has => world.complete_send(i % calls, delivery),
        Step::Deliver(i) if !world.delayed.is_empty() => world.deliver(i % world.delayed.len()),
        Step::Advance(span) => world.advance(span),
        Step::Kill(r) => world.kill(r % ROUTERS),
        Step::Pause(r, paused) => world.routers[r % ROUTERS].is_paused = paused,
        Step::Partition(partitioned) => world.routers[ROUTERS - 1].is_partitioned = partitioned,
        _ => {}
    }
}

/// Resumes paused routers, completes all actions and delivers the delayed ones.
fn finish(world: &mut World) {
    for router in &mut world.routers {
        router.is_paused = false;
    }
    for _ in 0..20 {
        world.advance(SPAN / 4);
        for i in 0..world.calls.len() {
            world.complete_access(i, Access::Applied);
            world.complete_selection(i, true);
            world.complete_send(i, Delivery::Answer);
        }
        while !world.delayed.is_empty() {
            world.deliver(0);
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
        world.check_answered().map_err(TestCaseError::fail)?;
    }
}
