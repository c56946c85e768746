//! Hosts that share the requests a second that a server takes.

use balance::turns::Turns;
use base::prelude::*;

/// The length of the window in which requests are counted.
const WINDOW: u64 = 4_000;

/// How often each host would like to send.
const STEP: u64 = 20;

/// The most requests that a server gets within a window, from hosts that always have one to send, and all.
fn arrivals(limit: u64, hosts: u64, length: u64, seed: u64) -> (usize, usize) {
    let seeded = |i: u64| base::hash::stable(&(seed << 32 | i).to_le_bytes());
    let mut turns: Vec<Turns> = (0..hosts)
        .map(|i| Turns::new(Millis(0), limit, hosts, seeded(i)))
        .collect();
    let mut times = Vec::new();
    for now in (0..length).step_by(STEP as usize) {
        for turn in &mut turns {
            if turn.due(Millis(now), hosts) <= Millis(now) {
                turn.take(Millis(now), hosts, 1);
                times.push(now);
            }
        }
    }
    let count = |from: u64| {
        let first = times.partition_point(|t| *t < from);
        times.partition_point(|t| *t < from + WINDOW) - first
    };
    let most = (0..length).step_by(STEP as usize).map(count).max();
    (most.unwrap_or(0), times.len())
}

/// What the users allow in a window.
fn allowed(limit: u64) -> usize {
    (limit * 6 / 1_000 + 5) as usize
}

#[test]
fn limit_of_all_hosts() {
    for hosts in [1, 2, 8, 83, 295] {
        for limit in [500, 1_000, 1_500, 3_000, 10_000, 60_000] {
            for seed in 0..3 {
                let (most, _) = arrivals(limit, hosts, 30_000, seed);
                let allowed = allowed(limit);
                assert!(most <= allowed, "{limit} at {hosts} hosts: {most}");
            }
        }
    }
}

#[test]
fn limit_is_used() {
    for (hosts, limit) in [(1, 1_000), (8, 1_500), (83, 3_000)] {
        let (_, all) = arrivals(limit, hosts, 120_000, 1);
        let expected = limit as usize * 120 / 1_000;
        assert!(all * 10 >= expected * 9, "{all} of {expected}");
    }
}

/// Hosts without requests for a while do not all send at once later.
#[test]
fn unused_turns_pass() {
    let hosts = 295_u64;
    let due = (0..hosts).filter(|i: &u64| {
        let seed = base::hash::stable(&i.to_le_bytes());
        let turns = Turns::new(Millis(0), 1_000, hosts, seed);
        turns.due(Millis(3_600_000), hosts) <= Millis(3_600_000)
    });
    assert!(due.count() <= 8);
}

#[test]
fn limit_changes() {
    let mut turns = Turns::new(Millis(0), 1_000, 8, 4_000);
    assert_eq!(turns.due(Millis(0), 8), Millis(4_000));
    turns.set_limit(Millis(0), 4_000, 8);
    assert_eq!(turns.due(Millis(0), 8), Millis(1_000));
    turns.set_limit(Millis(500), 0, 8);
    assert_eq!(turns.due(Millis(500), 8), Millis(10_500));
    turns.set_limit(Millis(500), u64::MAX, 8);
    assert!(turns.due(Millis(500), 8) <= Millis(501));
}
