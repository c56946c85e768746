//! Scripted claims, see `tests/scenarios/claims`.

mod world;

use base::prelude::*;
use calls::submission::KeyOrigin;
use datadriven::walk;
use world::{Access, Delivery, World};

/// Time from a submission to its deadline, in milliseconds.
const SPAN: u64 = 2_000;

#[test]
fn claim_scenarios() {
    walk("tests/scenarios/claims", |file| {
        let mut world = World::new(3);
        file.run(|case| {
            for line in case.input.lines() {
                step(&mut world, line);
                if let Err(e) = world.check().and_then(|()| world.check_answered()) {
                    world.log.push(format!("VIOLATED {e}"));
                }
            }
            let log = std::mem::take(&mut world.log);
            log.iter().map(|l| format!("{l}\n")).collect::<String>()
        });
    });
}

/// Carries out one line: a directive, a submission or router, and its arguments.
fn step(world: &mut World, line: &str) {
    let words: Vec<&str> = line.split_whitespace().collect();
    let number = |at: usize| -> usize {
        let word = words
            .get(at)
            .unwrap_or_else(|| panic!("{line}: an argument is missing"));
        let digits = word.trim_start_matches(['s', 'r']);
        digits.parse().unwrap_or_else(|e| panic!("{line}: {e}"))
    };
    match words[0] {
        "call" => {
            let origin = match words.get(3) {
                Some(&"minted") => KeyOrigin::Generated,
                Some(&"foreign") => KeyOrigin::Foreign,
                _ => KeyOrigin::Caller,
            };
            let digest = u64::from(words.get(3) == Some(&"other-body"));
            world.submit(number(1), words[2], digest, origin, SPAN);
        }
        "ok" => world.complete_access(number(1), Access::Applied),
        "lose" => world.complete_access(number(1), Access::AnswerLost),
        "drop" => world.complete_access(number(1), Access::Dropped),
        "stray" => world.complete_access(number(1), Access::Delayed),
        "land" => world.deliver(number(1)),
        "pick" => world.complete_selection(number(1), true),
        "none" => world.complete_selection(number(1), false),
        "answer" => world.complete_send(number(1), Delivery::Answer),
        "die" => world.complete_send(number(1), Delivery::Crash),
        "vanish" => world.complete_send(number(1), Delivery::Dropped),
        "refuse" => world.complete_send(number(1), Delivery::Refuse),
        "kill" => world.kill(number(1)),
        "pause" => world.routers[number(1)].is_paused = true,
        "thaw" => {
            world.routers[number(1)].is_paused = false;
            world.advance(0);
        }
        "part" => world.routers[number(1)].is_partitioned = true,
        "join" => world.routers[number(1)].is_partitioned = false,
        "wait" => world.advance(number(1) as u64),
        "now" => world.log.push(format!("{}", world.now + Millis(0))),
        verb => panic!("unknown directive {verb}"),
    }
}
