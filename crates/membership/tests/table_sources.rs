//! Which hosts are polled for the changes of the store's tables before the store.

use std::net::SocketAddr;

use base::prelude::*;
use membership::sources::Sources;

fn addr(host: u8) -> SocketAddr {
    ([10, 0, 0, host], 7).into()
}

#[test]
fn hub_first() {
    let sources = Sources::default();
    let hosts = [addr(1), addr(2)];
    assert_eq!(sources.next(Millis(0), &hosts), Some(addr(1)));
    assert_eq!(sources.next(Millis(0), &[]), None, "a hub polls the store");
}

/// The store refuses the hub, but not the host that stands in for it.
#[test]
fn stand_in_follows() {
    let mut sources = Sources::default();
    let hosts = [addr(1), addr(2)];
    sources.record_unavailable(Millis(100), addr(1));
    assert_eq!(sources.next(Millis(100), &hosts), Some(addr(2)));
    sources.record_silent(Millis(150), addr(2));
    assert_eq!(sources.next(Millis(150), &hosts), None, "the store is next");
    assert_eq!(
        sources.next(Millis(1_100), &hosts),
        Some(addr(1)),
        "it is asked again after a second"
    );
    sources.record_unavailable(Millis(1_100), addr(1));
    assert_eq!(sources.next(Millis(2_000), &hosts), None);
    sources.record_unavailable(Millis(2_100), addr(1));
    assert_eq!(
        sources.next(Millis(3_150), &hosts),
        Some(addr(1)),
        "the hub goes first"
    );
}

/// Each host of a data centre polls only hosts before it in hub order, so none polls in a cycle.
#[test]
fn sources_precede_the_host() {
    use membership::gossip::{Gossip, ListedPeer, hub_priority};
    use membership::sources::MAX_SOURCES;

    let peer = |i: u8| ListedPeer {
        host: HostId::from(format!("host-{i}").as_str()),
        data_centre: DataCentre::from("a"),
        addr: addr(i),
        tunnels: None,
        has_http2: false,
        hub_priority: hub_priority(0.12, f64::from(20 * (i % 3))),
        kinds: 0,
    };
    let all: Vec<ListedPeer> = (0..12).map(peer).collect();
    let mut polled = Vec::new();
    for own in &all {
        let gossip = Gossip::new(own.host.clone(), own.data_centre.clone(), Incarnation(1));
        let mut gossip = gossip.with_hub_priority(own.hub_priority);
        gossip.set_hosts(all.clone());
        let hubs: Vec<SocketAddr> = gossip.hubs().take(MAX_SOURCES).map(|h| h.addr).collect();
        polled.push((own.addr, hubs));
    }
    let hub = polled.iter().find(|(_, hubs)| hubs.is_empty());
    let (hub, _) = hub.expect("a hub");
    let second = polled.iter().find(|(_, hubs)| hubs.len() == 1);
    let (second, hubs) = second.expect("a stand-in");
    assert_eq!(hubs, &[*hub]);
    let others = polled.iter().filter(|(a, _)| a != hub && a != second);
    for (own, hubs) in others {
        assert_eq!(hubs, &[*hub, *second], "host {own}");
    }
}
