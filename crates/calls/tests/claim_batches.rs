//! Batches of claims: scripts in `tests/scenarios/batches`, and a property test.

use base::prelude::*;
use calls::batch::{Batcher, Policy, Reply, Verdict, Write};
use calls::record::{Owner, Record, State, VersionedRecord};
use calls::submission::Expected;
use datadriven::walk;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

#[test]
fn batch_scenarios() {
    walk("tests/scenarios/batches", |file| {
        let mut batcher = Batcher::new(Policy {
            delay_ms: 20,
            size: 3,
            inflight: 2,
        });
        let mut now = Millis(0);
        let mut ticket = 0;
        file.run(|case| {
            let mut out = String::new();
            for line in case.input.lines() {
                let words: Vec<&str> = line.split_whitespace().collect();
                match words[0] {
                    "push" => {
                        for key in &words[1..] {
                            ticket += 1;
                            batcher.push(now, write(ticket, key));
                        }
                    }
                    "withdraw" => {
                        let unwanted: u64 = words[1].parse().expect("a ticket");
                        batcher.withdraw(|ticket| ticket != unwanted);
                    }
                    "wait" => now = now + Millis(words[1].parse().expect("a time")),
                    "reply" => {
                        let number = words[1].parse().expect("a number");
                        for (ticket, verdict) in batcher.reply(now, number, reply(&words[2..])) {
                            out += &format!("ticket {ticket}: {}\n", show(&verdict));
                        }
                    }
                    verb => panic!("unknown directive {verb}"),
                }
                while let Some((number, writes)) = batcher.next(now) {
                    let keys: Vec<&str> = writes.iter().map(|w| w.key.as_str()).collect();
                    out += &format!("transaction {number}: {}\n", keys.join(" "));
                }
            }
            out
        });
    });
}

/// Parses `ok VERSION..`, `lost` or `conflict INDEX..`.
fn reply(words: &[&str]) -> Reply {
    match words[0] {
        "ok" => Reply::Committed(
            words[1..]
                .iter()
                .map(|w| w.parse().expect("a version"))
                .collect(),
        ),
        "conflict" => {
            let one = |w: &&str| (w.parse().expect("an index"), Some(row(7, 99)));
            Reply::Conflict(words[1..].iter().map(one).collect())
        }
        _ => Reply::Unconfirmed,
    }
}

fn show(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Committed(version) => format!("committed {version}"),
        Verdict::Found(row) => format!("found version {:?}", row.as_ref().map(|r| r.version)),
        Verdict::Unconfirmed => "failed".to_owned(),
    }
}

fn write(ticket: u64, key: &str) -> Write {
    Write {
        ticket,
        key: key.to_owned(),
        expected: Expected::Absent,
        record: Some(row(0, ticket).record),
    }
}

fn row(version: u64, number: u64) -> VersionedRecord {
    let owner = Owner {
        router: Incarnation(1),
        number,
    };
    let record = Record {
        owner,
        digest: 0,
        until_ms: 0,
        state: State::Running,
    };
    VersionedRecord { version, record }
}

proptest! {
    #![proptest_config(Config {
        cases: 500,
        rng_seed: RngSeed::Fixed(52),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Each write gets one verdict, and each key is claimed by at most one ticket.
    #[test]
    fn batch_claims(keys in prop::collection::vec(0u8..12, 1..60), lost in any::<u64>()) {
        let mut batcher = Batcher::new(Policy { delay_ms: 5, size: 8, inflight: 2 });
        let mut rows: Vec<(String, u64)> = Vec::new();
        for (ticket, key) in keys.iter().enumerate() {
            batcher.push(Millis(ticket as u64), write(ticket as u64, &format!("k{key}")));
        }
        let mut verdicts = Vec::new();
        let mut in_flight = Vec::new();
        for round in 0..1_000u64 {
            let now = Millis(1_000 + round);
            while let Some(transaction) = batcher.next(now) {
                in_flight.push(transaction);
            }
            let Some((number, writes)) = in_flight.pop() else { break };
            let conflicts: Vec<_> = writes
                .iter()
                .enumerate()
                .filter(|(_, w)| rows.iter().any(|(key, _)| *key == w.key))
                .map(|(i, _)| (i, Some(row(1, 1))))
                .collect();
            let is_lost = lost >> (round % 64) & 1 == 1;
            let reply = if !conflicts.is_empty() {
                Reply::Conflict(conflicts)
            } else {
                rows.extend(writes.iter().map(|w| (w.key.clone(), w.ticket)));
                let versions = writes.iter().map(|w| w.ticket).collect();
                if is_lost { Reply::Unconfirmed } else { Reply::Committed(versions) }
            };
            verdicts.extend(batcher.reply(now, number, reply));
        }
        prop_assert!(batcher.is_empty());
        verdicts.sort_by_key(|(ticket, _)| *ticket);
        let answered: Vec<u64> = verdicts.iter().map(|(ticket, _)| *ticket).collect();
        prop_assert_eq!(answered, (0..keys.len() as u64).collect::<Vec<_>>());
        let mut claimed: Vec<&str> = rows.iter().map(|(key, _)| key.as_str()).collect();
        claimed.sort_unstable();
        let count = claimed.len();
        claimed.dedup();
        prop_assert_eq!(claimed.len(), count, "a key was claimed twice");
    }
}
