//! The choice of the host that opens a tunnel.

use std::net::SocketAddr;

use base::prelude::*;
use membership::tunnels::{TunnelHost, TunnelHosts, TunnelRequest};

/// Tunnels drawn to see how they spread.
const DRAWS: u64 = 3_000;

fn addr(i: u8) -> SocketAddr {
    ([10, 0, 0, i], 7).into()
}

/// Hosts of the data centres `a`, `b` and `c`, in turn.
fn hosts(count: u8) -> Vec<TunnelHost> {
    let centre = |i: u8| DataCentre::from(["a", "b", "c"][usize::from(i % 3)]);
    let host = |i| TunnelHost {
        has_http2: true,
        addr: addr(i),
        centre: centre(i),
    };
    (0..count).map(host).collect()
}

/// The host chosen for a server in `b`, by a host in `a`.
fn choose(state: &TunnelHosts, now: u64, hosts: &[TunnelHost], tried: &[u8]) -> Option<SocketAddr> {
    choose_by(state, now, hosts, tried, 1)
}

fn choose_by(
    state: &TunnelHosts,
    now: u64,
    hosts: &[TunnelHost],
    tried: &[u8],
    seed: u64,
) -> Option<SocketAddr> {
    let tried: Vec<SocketAddr> = tried.iter().map(|i| addr(*i)).collect();
    let request = TunnelRequest {
        server_centre: &DataCentre::from("b"),
        own_centre: &DataCentre::from("a"),
        tried: &tried,
        seed,
    };
    state.choose(Millis(now), hosts, &request).map(|h| h.addr)
}

#[test]
fn data_centre_of_the_server_first() {
    let (state, hosts) = (TunnelHosts::default(), hosts(3));
    assert_eq!(choose(&state, 0, &hosts, &[]), Some(addr(1)));
    assert_eq!(choose(&state, 0, &hosts, &[1]), Some(addr(0)));
    assert_eq!(choose(&state, 0, &hosts, &[1, 0]), Some(addr(2)));
    assert_eq!(choose(&state, 0, &hosts, &[1, 0, 2]), None);
}

/// A whole data centre may be cut from the servers, this host with it.
#[test]
fn data_centre_is_cut() {
    let (mut state, hosts) = (TunnelHosts::default(), hosts(240));
    let centre = |addr: SocketAddr| {
        let host = hosts.iter().find(|h| h.addr == addr).unwrap();
        host.centre.0.clone()
    };
    let first = choose(&state, 0, &hosts, &[]).unwrap();
    assert_eq!(centre(first), "b");
    let SocketAddr::V4(v4) = first else {
        unreachable!("all addresses are IPv4");
    };
    let tried = [v4.ip().octets()[3]];
    let second = choose(&state, 0, &hosts, &tried).unwrap();
    assert_ne!(centre(second), "b", "the next one in another data centre");
    state.record_failed(Millis(0), first);
    let next = choose(&state, 1, &hosts, &[]).unwrap();
    assert_ne!(centre(next), "b", "so does the next request");
    assert_eq!(centre(choose(&state, 500, &hosts, &[]).unwrap()), "b");
}

#[test]
fn tunnels_are_spread() {
    let (state, hosts) = (TunnelHosts::default(), hosts(30));
    let mut counts = [0_u64; 30];
    for seed in 0..DRAWS {
        let SocketAddr::V4(host) = choose_by(&state, 0, &hosts, &[], seed).unwrap() else {
            unreachable!("all addresses are IPv4");
        };
        counts[usize::from(host.ip().octets()[3])] += 1;
    }
    let used: Vec<u64> = counts.into_iter().filter(|c| *c > 0).collect();
    assert_eq!(used.len(), 10, "the hosts of the server's data centre");
    assert!(used.iter().all(|c| *c < 2 * DRAWS / 10), "{used:?}");
}

#[test]
fn failed_host_is_passed_over() {
    let (mut state, hosts) = (TunnelHosts::default(), hosts(2));
    state.record_failed(Millis(0), addr(1));
    assert_eq!(choose(&state, 499, &hosts, &[]), Some(addr(0)));
    assert_eq!(choose(&state, 500, &hosts, &[]), Some(addr(1)));
    state.record_failed(Millis(500), addr(1));
    assert_eq!(choose(&state, 1_499, &hosts, &[]), Some(addr(0)));
    for _ in 0..9 {
        state.record_failed(Millis(1_500), addr(1));
    }
    assert_eq!(choose(&state, 3_499, &hosts, &[]), Some(addr(0)));
    assert_eq!(choose(&state, 3_500, &hosts, &[]), Some(addr(1)));
    state.record_opened(addr(1));
    state.record_failed(Millis(6_000), addr(1));
    assert_eq!(choose(&state, 6_500, &hosts, &[]), Some(addr(1)));
    state.record_failed(Millis(7_000), addr(0));
    state.record_failed(Millis(7_000), addr(1));
    assert_eq!(choose(&state, 7_001, &hosts, &[]), None, "refused at once");
}

/// A host of an earlier version cannot tell the end of an answer from a loss.
#[test]
fn earlier_versions_last() {
    let mut hosts = hosts(6);
    for host in &mut hosts[..4] {
        host.has_http2 = false;
    }
    let state = TunnelHosts::default();
    for _ in 0..20 {
        let chosen = choose(&state, 0, &hosts, &[]).unwrap();
        assert!([addr(4), addr(5)].contains(&chosen));
    }
    assert!(choose(&state, 0, &hosts, &[4, 5]).is_some());
}
