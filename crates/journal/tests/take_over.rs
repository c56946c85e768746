//! The journal that a takeover continues, whether it covers the caller's tokens, and the hosts that
//! are asked for it.

use base::prelude::*;
use journal::choice::{Peer, candidates, latest, takeover_hosts};
use journal::record::{Header, Segment, Snapshot};

fn snapshot(round: u64, tokens: usize) -> Snapshot {
    let token = Token {
        id: 0,
        text: String::new(),
    };
    Snapshot {
        epoch: Epoch {
            round,
            owner: Incarnation(1),
        },
        tokens: vec![token; tokens],
        ..Snapshot::default()
    }
}

fn lineage(links: &[(u64, u64)]) -> Header {
    let link = |(generation, start): &(u64, u64)| Segment {
        generation: GenerationId(*generation),
        start: Offset(*start),
    };
    Header {
        lineage: links.iter().map(link).collect(),
        ..Header::default()
    }
}

#[test]
fn highest_epoch() {
    let taken = latest(vec![snapshot(1, 9), snapshot(2, 4), snapshot(2, 5)]);
    let taken = taken.map(|s| (s.epoch.round, s.tokens.len()));
    assert_eq!(taken, Some((2, 5)));
}

#[test]
fn covered_caller_offsets() {
    let header = lineage(&[(1, 0), (2, 10)]);
    let covers =
        |generation, offset| header.covers(GenerationId(generation), Offset(offset), Offset(15));
    assert!(covers(1, 10));
    assert!(
        !covers(1, 11),
        "the first owner continued beyond the takeover"
    );
    assert!(covers(2, 15));
    assert!(!covers(2, 16), "the caller is ahead of the journal");
    assert!(!covers(3, 0), "another generation");
}

#[test]
fn witness_among_takeover_hosts() {
    let key = RequestKey::from("w/k");
    let host = |i: usize| HostId(format!("host-{i}"));
    let peers_of = |me: usize| -> Vec<Peer> {
        let others = (0..40).filter(|i| *i != me);
        let peer = |i| Peer {
            host: host(i),
            is_near: i < 30,
        };
        others.map(peer).collect()
    };
    for owner in 0..30 {
        for taker in 0..30 {
            let asked = takeover_hosts(&key, &peers_of(taker));
            for witness in candidates(&key, &peers_of(owner)) {
                let found = witness == host(taker) || asked.contains(&witness);
                assert!(found, "{witness} of owner {owner} unknown to {taker}");
            }
        }
    }
}
