//! Scripted claims: `tests/scenarios/claims` holds the scripts.

mod world;

use base::prelude::*;
use calls::submission::KeyOrigin;
use datadriven::walk;
use world::{Fate, Serve, World};

/// The time that a submission has, unless the script says otherwise.
const SPAN: u64 = 2_000;

#[test]
fn claim_scenarios() {
    walk("tests/scenarios/claims", |file| {
        let mut world = World::new(3);
        file.run(|case| {
            for line in case.input.lines() {
                step(&mut world, line);
                if let Err(e) = world.check().and_then(|()| world.check_told()) {
                    world.log.push(format!("VIOLATED {e}"));
                }
            }
            let log = std::mem::take(&mut world.log);
            log.iter().map(|l| format!("{l}\n")).collect::<String>()
        });
    });
}

/// Carries out one line: a verb, a submission or router, and what it needs.
fn step(world: &mut World, line: &str) {
    let words: Vec<&str> = line.split_whitespace().collect();
    let number = |at: usize| -> usize {
        let word = words
            .get(at)
            .unwrap_or_else(|| panic!("{line}: a word is missing"));
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
        "ok" => world.settle(number(1), Fate::Whole),
        "lose" => world.settle(number(1), Fate::Lost),
        "drop" => world.settle(number(1), Fate::Dropped),
        "stray" => world.settle(number(1), Fate::Stray),
        "land" => world.land(number(1)),
        "pick" => world.pick(number(1), true),
        "none" => world.pick(number(1), false),
        "answer" => world.serve(number(1), Serve::Answer),
        "die" => world.serve(number(1), Serve::Die),
        "vanish" => world.serve(number(1), Serve::Vanish),
        "refuse" => world.serve(number(1), Serve::Refuse),
        "kill" => world.kill(number(1)),
        "pause" => world.routers[number(1)].is_paused = true,
        "thaw" => {
            world.routers[number(1)].is_paused = false;
            world.advance(0);
        }
        "part" => world.routers[number(1)].is_parted = true,
        "join" => world.routers[number(1)].is_parted = false,
        "wait" => world.advance(number(1) as u64),
        "now" => world.log.push(format!("{}", world.now + Millis(0))),
        verb => panic!("{verb}: there is no such verb"),
    }
}
