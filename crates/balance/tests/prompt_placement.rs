//! Placement of prompts where the memory of engines is the limit.

use balance::place::{Candidate, Load, LoadReport, Need, Wish, best, place, shortlist};

fn candidate(server: &str) -> Candidate<'_> {
    Candidate {
        server,
        centre: "a",
        capacity: 50_000,
        ..Candidate::default()
    }
}

fn busy(server: &str, load: Load) -> Candidate<'_> {
    Candidate {
        load,
        ..candidate(server)
    }
}

#[test]
fn least_waiting_prompt_first() {
    let reading = Load {
        prefill: 5_000,
        memory: 6_000,
        ..Load::default()
    };
    let running = Load {
        memory: 30_000,
        ..Load::default()
    };
    let candidates = [busy("reading", reading), busy("running", running)];
    let chosen = place(&candidates, &Wish::default()).unwrap();
    assert_eq!(candidates[chosen].server, "running");
}

#[test]
fn full_memory_comes_last() {
    let nearly_full = Load {
        memory: 30_000,
        copies: 16_000,
        ..Load::default()
    };
    let reading = Load {
        prefill: 5_000,
        ..Load::default()
    };
    let candidates = [busy("full", nearly_full), busy("reading", reading)];
    let wish = Wish {
        memory: 6_000,
        ..Wish::default()
    };
    assert_eq!(place(&candidates, &wish), Some(1));
}

#[test]
fn failures_and_doubts() {
    let ejected = Candidate {
        is_ejected: true,
        ..candidate("ejected")
    };
    let doubtful = Candidate {
        is_doubtful: true,
        ..candidate("doubtful")
    };
    assert_eq!(place(&[ejected], &Wish::default()), None);
    let candidates = [ejected, doubtful, candidate("sound")];
    assert_eq!(place(&candidates, &Wish::default()), Some(2));
    assert_eq!(
        place(&candidates[..2], &Wish::default()),
        Some(1),
        "better than none"
    );
    let avoid = ["sound"];
    let wish = Wish {
        avoid: &avoid,
        ..Wish::default()
    };
    assert_eq!(place(&candidates, &wish), Some(1));
}

#[test]
fn another_centre_for_copies() {
    let far = Candidate {
        centre: "b",
        load: Load {
            memory: 20_000,
            ..Load::default()
        },
        ..candidate("far")
    };
    let candidates = [candidate("near"), far];
    let wish = Wish {
        avoid_centre: Some("a"),
        ..Wish::default()
    };
    assert_eq!(place(&candidates, &wish), Some(1));
}

/// The run is in a, the host in b: when b is cut off, the copy there is what the host has left.
#[test]
fn copies_in_the_hosts_own_centre() {
    let own = |memory| Candidate {
        centre: "b",
        ..busy(
            "own",
            Load {
                memory,
                ..Load::default()
            },
        )
    };
    let third = Candidate {
        centre: "c",
        ..candidate("third")
    };
    let wish = Wish {
        memory: 6_000,
        avoid_centre: Some("a"),
        prefer_centre: Some("b"),
        ..Wish::default()
    };
    let chosen = |own| place(&[candidate("near"), own, third], &wish);
    assert_eq!(chosen(own(30_000)), Some(1));
    assert_eq!(chosen(own(45_000)), Some(2), "it has no room");
    let at_home = Wish {
        avoid_centre: Some("b"),
        ..wish
    };
    assert_ne!(
        place(&[candidate("near"), own(0), third], &at_home),
        Some(1)
    );
}

#[test]
fn equal_choices_are_spread() {
    let candidates = ["a", "b", "c", "d"].map(candidate);
    let mut taken = [0; 4];
    for spread in 0..400 {
        let wish = Wish {
            spread,
            ..Wish::default()
        };
        taken[place(&candidates, &wish).unwrap()] += 1;
    }
    assert!(taken.iter().all(|n| *n > 50), "{taken:?}");
}

#[test]
fn same_prompt_same_servers() {
    let candidates = ["a", "b", "c", "d", "e"].map(candidate);
    let wish = |content, spread| Wish {
        content: Some(content),
        spread,
        ..Wish::default()
    };
    let mut firsts = [0; 5];
    for content in 0..500 {
        let list = shortlist(&candidates, &wish(content, 1), 3);
        assert_eq!(list, shortlist(&candidates, &wish(content, 2), 3));
        assert_eq!(list.len(), 3);
        firsts[list[0]] += 1;
    }
    assert!(firsts.iter().all(|n| *n > 50), "{firsts:?}");
    // Without the one that failed, the others keep their order.
    let list = shortlist(&candidates, &wish(7, 1), 5);
    let mut fewer = candidates;
    fewer[list[0]].is_ejected = true;
    assert_eq!(shortlist(&fewer, &wish(7, 1), 4), list[1..]);
}

const NEED: Need = Need {
    memory: 6_000,
    output: 1_000,
    capacity: 55_000,
};

#[test]
fn told_load_decides() {
    let told = |waiting, running, used| {
        Some(LoadReport {
            waiting,
            running,
            used,
        })
    };
    assert_eq!(
        best(&[told(1, 1, 9_000), told(0, 6, 30_000)], &NEED),
        Some(1)
    );
    assert_eq!(
        best(&[told(0, 9, 9_000), told(0, 1, 30_000)], &NEED),
        Some(1)
    );
    assert_eq!(
        best(&[told(0, 3, 9_000), told(0, 1, 3_000)], &NEED),
        Some(1)
    );
    // Among equals the first, which may hold the prompt, whatever its memory holds.
    assert_eq!(
        best(&[told(0, 1, 9_000), told(0, 1, 3_000)], &NEED),
        Some(0)
    );
    assert_eq!(
        best(&[told(0, 0, 52_000), told(2, 3, 9_000)], &NEED),
        Some(1)
    );
    assert_eq!(best(&[None, told(5, 9, 54_000)], &NEED), Some(1));
    assert_eq!(best(&[None, None], &NEED), Some(0));
}

/// Servers on which others have yet to grow: without room for that, one is interrupted and read again.
#[test]
fn room_for_those_that_run() {
    let told = |waiting, running, used| {
        Some(LoadReport {
            waiting,
            running,
            used,
        })
    };
    let (grows, waits, fits) = (told(0, 9, 46_000), told(1, 0, 44_000), told(0, 5, 46_000));
    assert!(!NEED.fits_any(&[grows, waits, None]));
    assert!(NEED.fits_any(&[grows, fits]));
    assert_eq!(best(&[grows, told(1, 2, 20_000)], &NEED), Some(1));
    let plain = Need {
        capacity: 0,
        ..NEED
    };
    assert!(
        plain.fits_any(&[grows]),
        "a plain service has no such bound"
    );
}
