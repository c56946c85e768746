//! Digests between hosts: late and repeated ones, hosts that fall silent, shared sums.

use base::prelude::*;
use membership::gossip::{Digest, Gossip, Usage};

fn digest(host: &str, incarnation: u64, seq: u64, repeats: u32) -> Digest {
    Digest {
        host: HostId::from(host),
        incarnation: Incarnation(incarnation),
        seq,
        leaves: false,
        usage: vec![Usage {
            service: 1,
            requests: 10,
            repeats,
        }],
        lost: Vec::new(),
    }
}

fn addr(port: u16) -> std::net::SocketAddr {
    ([127, 0, 0, 1], port).into()
}

#[test]
fn sums_of_fresh_hosts() {
    let mut gossip = Gossip::new(HostId::from("own"), Incarnation(1));
    gossip.listed(&HostId::from("silent"), addr(9));
    gossip.listed(&HostId::from("own"), addr(8));
    gossip.heard(Millis(0), addr(1), &digest("a", 1, 1, 3));
    gossip.heard(Millis(1_500), addr(2), &digest("b", 1, 1, 4));
    let shared = gossip.shared(Millis(1_600), 1);
    assert_eq!((shared.heard, shared.known), (3, 4));
    assert_eq!((shared.requests, shared.repeats), (20, 7));
    let later = gossip.shared(Millis(2_500), 1);
    assert_eq!((later.heard, later.known), (2, 4), "host a fell silent");
    assert_eq!(later.repeats, 4);
    assert_eq!(
        gossip.shared(Millis(2_500), 2).repeats,
        0,
        "another service"
    );
}

#[test]
fn old_digests_are_dropped() {
    let mut gossip = Gossip::new(HostId::from("own"), Incarnation(1));
    assert!(
        gossip
            .heard(Millis(0), addr(1), &digest("a", 1, 5, 3))
            .is_some()
    );
    assert!(
        gossip
            .heard(Millis(1), addr(1), &digest("a", 1, 4, 9))
            .is_none()
    );
    assert_eq!(gossip.shared(Millis(1), 1).repeats, 3);
    assert!(
        gossip
            .heard(Millis(2), addr(1), &digest("a", 2, 1, 0))
            .is_some()
    );
    assert_eq!(
        gossip.shared(Millis(2), 1).repeats,
        0,
        "the host started anew"
    );
    assert!(
        gossip
            .heard(Millis(3), addr(1), &digest("own", 1, 1, 0))
            .is_none()
    );
}

#[test]
fn leaving_host_is_forgotten() {
    let mut gossip = Gossip::new(HostId::from("own"), Incarnation(1));
    gossip.heard(Millis(0), addr(1), &digest("a", 1, 1, 0));
    assert_eq!(gossip.addrs(), [addr(1)]);
    let last = Digest {
        leaves: true,
        ..digest("a", 1, 2, 0)
    };
    gossip.heard(Millis(1), addr(1), &last);
    assert!(gossip.addrs().is_empty());
}

#[test]
fn lost_servers_are_told_for_a_while() {
    let mut gossip = Gossip::new(HostId::from("own"), Incarnation(1));
    gossip.lost(Millis(100), 7);
    gossip.lost(Millis(300), 8);
    let told = gossip.digest(Millis(400), Vec::new(), false);
    let ages: Vec<(u32, u32)> = told.lost.iter().map(|l| (l.server, l.age)).collect();
    assert_eq!(ages, [(8, 100), (7, 300)]);
    assert_eq!(gossip.digest(Millis(5_000), Vec::new(), false).lost, []);
}
