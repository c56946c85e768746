//! Placement of prompts on engines whose KV cache is the bottleneck.

use balance::place::{
    Candidate, Load, LoadReport, Need, PlaceRequest, best_report, place, shortlist,
};

fn candidate(server: &str) -> Candidate<'_> {
    Candidate {
        server,
        data_centre: "a",
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
fn least_prefill_first() {
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
    let chosen = place(&candidates, &PlaceRequest::default()).unwrap();
    assert_eq!(candidates[chosen].server, "running");
}

#[test]
fn full_memory_comes_last() {
    let nearly_full = Load {
        memory: 30_000,
        backups: 16_000,
        ..Load::default()
    };
    let reading = Load {
        prefill: 5_000,
        ..Load::default()
    };
    let candidates = [busy("full", nearly_full), busy("reading", reading)];
    let request = PlaceRequest {
        memory: 6_000,
        ..PlaceRequest::default()
    };
    assert_eq!(place(&candidates, &request), Some(1));
}

#[test]
fn ejected_and_suspected_servers() {
    let ejected = Candidate {
        is_ejected: true,
        ..candidate("ejected")
    };
    let suspected = Candidate {
        is_suspected: true,
        ..candidate("suspected")
    };
    assert_eq!(place(&[ejected], &PlaceRequest::default()), None);
    let candidates = [ejected, suspected, candidate("sound")];
    assert_eq!(place(&candidates, &PlaceRequest::default()), Some(2));
    assert_eq!(
        place(&candidates[..2], &PlaceRequest::default()),
        Some(1),
        "a suspected server is better than none"
    );
    let avoid = ["sound"];
    let request = PlaceRequest {
        avoid: &avoid,
        ..PlaceRequest::default()
    };
    assert_eq!(place(&candidates, &request), Some(1));
}

#[test]
fn backup_in_another_data_centre() {
    let far = Candidate {
        data_centre: "b",
        load: Load {
            memory: 20_000,
            ..Load::default()
        },
        ..candidate("far")
    };
    let candidates = [candidate("near"), far];
    let request = PlaceRequest {
        avoid_centre: Some("a"),
        ..PlaceRequest::default()
    };
    assert_eq!(place(&candidates, &request), Some(1));
}

/// The generation runs in a and the host is in b: if b is cut off from the other data centres, a backup in b is
/// the only one the host can still reach.
#[test]
fn backup_in_the_hosts_data_centre() {
    let own = |memory| Candidate {
        data_centre: "b",
        ..busy(
            "own",
            Load {
                memory,
                ..Load::default()
            },
        )
    };
    let third = Candidate {
        data_centre: "c",
        ..candidate("third")
    };
    let request = PlaceRequest {
        memory: 6_000,
        avoid_centre: Some("a"),
        prefer_centre: Some("b"),
        ..PlaceRequest::default()
    };
    let chosen = |own| place(&[candidate("near"), own, third], &request);
    assert_eq!(chosen(own(30_000)), Some(1));
    assert_eq!(
        chosen(own(45_000)),
        Some(2),
        "the preferred server has no room"
    );
    let local_primary = PlaceRequest {
        avoid_centre: Some("b"),
        ..request
    };
    assert_ne!(
        place(&[candidate("near"), own(0), third], &local_primary),
        Some(1)
    );
}

#[test]
fn equal_choices_are_spread() {
    let candidates = ["a", "b", "c", "d"].map(candidate);
    let mut taken = [0; 4];
    for seed in 0..400 {
        let request = PlaceRequest {
            seed,
            ..PlaceRequest::default()
        };
        taken[place(&candidates, &request).unwrap()] += 1;
    }
    assert!(taken.iter().all(|n| *n > 50), "{taken:?}");
}

#[test]
fn same_prompt_same_servers() {
    let candidates = ["a", "b", "c", "d", "e"].map(candidate);
    let request = |prompt_hash, seed| PlaceRequest {
        prompt_hash: Some(prompt_hash),
        seed,
        ..PlaceRequest::default()
    };
    let mut firsts = [0; 5];
    for prompt_hash in 0..500 {
        let list = shortlist(&candidates, &request(prompt_hash, 1), 3);
        assert_eq!(list, shortlist(&candidates, &request(prompt_hash, 2), 3));
        assert_eq!(list.len(), 3);
        firsts[list[0]] += 1;
    }
    assert!(firsts.iter().all(|n| *n > 50), "{firsts:?}");
    // If the first server fails, the others keep their order.
    let list = shortlist(&candidates, &request(7, 1), 5);
    let mut fewer = candidates;
    fewer[list[0]].is_ejected = true;
    assert_eq!(shortlist(&fewer, &request(7, 1), 4), list[1..]);
}

const NEED: Need = Need {
    memory: 6_000,
    prompt: 5_000,
    output: 1_000,
    capacity: 55_000,
};

#[test]
fn reported_load_decides() {
    let report = |waiting, running, used| {
        Some(LoadReport {
            waiting,
            running,
            used,
            cached: 0,
        })
    };
    assert_eq!(
        best_report(&[report(1, 1, 9_000), report(0, 6, 30_000)], &NEED),
        Some(1)
    );
    assert_eq!(
        best_report(&[report(0, 9, 9_000), report(0, 1, 30_000)], &NEED),
        Some(1)
    );
    assert_eq!(
        best_report(&[report(0, 3, 9_000), report(0, 1, 3_000)], &NEED),
        Some(1)
    );
    // Ties go to the first, which may have the prompt cached, regardless of the tokens in use.
    assert_eq!(
        best_report(&[report(0, 1, 9_000), report(0, 1, 3_000)], &NEED),
        Some(0)
    );
    assert_eq!(
        best_report(&[report(0, 0, 52_000), report(2, 3, 9_000)], &NEED),
        Some(1)
    );
    assert_eq!(best_report(&[None, report(5, 9, 54_000)], &NEED), Some(1));
    assert_eq!(best_report(&[None, None], &NEED), Some(0));
}

/// Running generations still grow. A server without room for their remaining output would preempt one of them,
/// whose prefill is then repeated.
#[test]
fn room_for_output_growth() {
    let report = |waiting, running, used| {
        Some(LoadReport {
            waiting,
            running,
            used,
            cached: 0,
        })
    };
    let (grows, waits, fits) = (
        report(0, 9, 46_000),
        report(1, 0, 44_000),
        report(0, 5, 46_000),
    );
    assert!(!NEED.fits_any(&[grows, waits, None]));
    assert!(NEED.fits_any(&[grows, fits]));
    assert_eq!(best_report(&[grows, report(1, 2, 20_000)], &NEED), Some(1));
    let plain = Need {
        capacity: 0,
        ..NEED
    };
    assert!(plain.fits_any(&[grows]), "a plain service has no KV cache");
}

/// Load: after all hosts were killed, the callers of their streams return at once, each to an engine that may
/// still hold its prompt.
#[test]
fn cached_prompt_first() {
    let holds = LoadReport {
        running: 4,
        used: 24_000,
        cached: 5_000,
        ..LoadReport::default()
    };
    let idle = LoadReport::default();
    assert_eq!(best_report(&[Some(idle), Some(holds)], &NEED), Some(1));
    let one_waits = LoadReport {
        waiting: 1,
        ..holds
    };
    assert_eq!(
        best_report(&[Some(idle), Some(one_waits)], &NEED),
        Some(1),
        "to prefill one prompt before it takes as long as to prefill its own elsewhere"
    );
    let two_wait = LoadReport {
        waiting: 2,
        ..holds
    };
    assert_eq!(best_report(&[Some(idle), Some(two_wait)], &NEED), Some(0));
    let full = LoadReport {
        used: 52_000,
        ..holds
    };
    assert_eq!(best_report(&[Some(idle), Some(full)], &NEED), Some(0));
}

/// A server without room by its own word is not chosen, not even as the last one.
#[test]
fn held_servers() {
    let held = Candidate {
        is_held: true,
        ..candidate("held")
    };
    let request = PlaceRequest::default();
    assert_eq!(place(&[held, candidate("open")], &request), Some(1));
    assert_eq!(shortlist(&[held, candidate("open")], &request, 2), [1]);
    assert_eq!(place(&[held], &request), None);
}
