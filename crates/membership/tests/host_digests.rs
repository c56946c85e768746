//! Exchange of usage and failed servers through hubs, on virtual time, with hosts that stop or are cut off.

use std::net::SocketAddr;

use base::prelude::*;
use membership::gossip::{
    Body, FailedServer, Gossip, KINDS, ListedPeer, Message, PromptEvidence, SharedUsage, Usage,
    hub_priority,
};

/// The period of digests.
const PERIOD: Millis = Millis(500);
/// The step of the clock; messages sent in one step arrive in the next.
const STEP: Millis = Millis(10);

/// A simulated network of hosts.
struct Net {
    now: Millis,
    hosts: Vec<Host>,
    sent: Vec<(SocketAddr, SocketAddr, Message)>,
    /// Number of messages sent by each host.
    counts: Vec<u64>,
}

struct Host {
    name: HostId,
    data_centre: DataCentre,
    addr: SocketAddr,
    gossip: Gossip,
    usage: Usage,
    hub_priority: u64,
    is_up: bool,
    is_cut: bool,
    failed: Vec<u32>,
}

fn addr(i: usize) -> SocketAddr {
    ([10, 0, (i / 250) as u8, (i % 250) as u8], 7).into()
}

impl Net {
    /// `hosts` hosts in `centres` data centres, each with 10 requests in the current window and 1 retry.
    fn new(hosts: usize, centres: usize) -> Self {
        let host = |i: usize| {
            let name = HostId::from(format!("host-{i}").as_str());
            let data_centre = DataCentre::from(format!("dc-{}", i % centres).as_str());
            Host {
                gossip: Gossip::new(name.clone(), data_centre.clone(), Incarnation(1)),
                name,
                data_centre,
                addr: addr(i),
                usage: Usage {
                    service: 1,
                    requests: [10, 20, 30],
                    retries: 1,
                    waiting: 0,
                },
                hub_priority: 0,
                is_up: true,
                is_cut: false,
                failed: Vec::new(),
            }
        };
        let mut net = Self {
            now: Millis(0),
            hosts: (0..hosts).map(host).collect(),
            sent: Vec::new(),
            counts: vec![0; hosts],
        };
        net.list_hosts();
        net
    }

    /// Gives all hosts the list of hosts.
    fn list_hosts(&mut self) {
        let all: Vec<ListedPeer> = self.hosts.iter().map(Host::listed).collect();
        for host in &mut self.hosts {
            host.gossip.set_hosts(all.clone());
        }
    }

    /// Lists a host with the given processor share and link.
    fn set_limits(&mut self, host: usize, cores: f64, link_mbps: f64) {
        let host = &mut self.hosts[host];
        host.hub_priority = hub_priority(cores, link_mbps);
        host.gossip = host.gossip.clone().with_hub_priority(host.hub_priority);
    }

    fn run(&mut self, time: Millis) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            self.deliver();
            for i in 0..self.hosts.len() {
                // Digest periods of hosts are staggered.
                if self.hosts[i].is_up && (self.now.0 + 30 * i as u64).is_multiple_of(PERIOD.0) {
                    let now = self.now;
                    let host = &mut self.hosts[i];
                    let mut messages = host.gossip.digest(now, vec![host.usage]);
                    messages.extend(host.gossip.centre_sums(now));
                    messages.extend(host.gossip.failed_servers(now));
                    self.send(i, messages);
                }
            }
        }
    }

    fn send(&mut self, from: usize, messages: Vec<(SocketAddr, Message)>) {
        self.counts[from] += messages.len() as u64;
        let own = self.hosts[from].addr;
        let sent = messages.into_iter().map(|(to, m)| (own, to, m));
        self.sent.extend(sent);
    }

    fn deliver(&mut self) {
        for (from, to, message) in std::mem::take(&mut self.sent) {
            let Some(i) = self.hosts.iter().position(|h| h.addr == to) else {
                continue;
            };
            let is_cut = |h: &Host| h.addr == from && h.is_cut;
            if !self.hosts[i].is_up || self.hosts[i].is_cut || self.hosts.iter().any(is_cut) {
                continue;
            }
            let received = self.hosts[i].gossip.receive(self.now, from, &message);
            let failed = received.failed.iter().map(|f| f.server);
            self.hosts[i].failed.extend(failed);
            self.send(i, received.answer.into_iter().collect());
        }
    }

    fn shared(&self, i: usize) -> SharedUsage {
        self.hosts[i]
            .gossip
            .shared_usage(self.now, 1)
            .expect("the list was read")
    }

    /// The hub of a data centre: the one with members if there are several.
    fn hub(&self, centre: usize) -> usize {
        let data_centre = DataCentre::from(format!("dc-{centre}").as_str());
        let is_hub = |h: &Host| h.data_centre == data_centre && h.is_up && h.gossip.is_hub();
        let hubs = || (0..self.hosts.len()).filter(|i| is_hub(&self.hosts[*i]));
        let serving = hubs().find(|i| self.hosts[*i].gossip.has_members());
        serving.or_else(|| hubs().next()).expect("a hub")
    }

    /// Asserts that every host that is up and not cut off has the sums over `count` others.
    fn assert_sums(&self, count: u64) {
        for (i, host) in self.hosts.iter().enumerate() {
            if host.is_up && !host.is_cut {
                let shared = self.shared(i);
                let seen = (shared.reporting, shared.requests, shared.retries);
                let requests = [10, 20, 30].map(|r| r * count);
                assert_eq!(seen, (count + 1, requests, count), "{:?}", host.name);
            }
        }
    }
}

impl Host {
    fn listed(&self) -> ListedPeer {
        ListedPeer {
            tunnels: None,
            has_http2: false,
            hub_priority: self.hub_priority,
            kinds: KINDS,
            host: self.name.clone(),
            data_centre: self.data_centre.clone(),
            addr: self.addr,
        }
    }
}

#[test]
fn sums_over_all_hosts() {
    for (hosts, centres) in [(1, 1), (2, 1), (8, 4), (60, 3)] {
        let mut net = Net::new(hosts, centres);
        net.run(Millis(2_000));
        net.assert_sums(hosts as u64 - 1);
        assert_eq!(net.shared(0).known, hosts as u64);
    }
}

/// The number of messages that a host other than a hub sends does not grow with the number of hosts.
#[test]
fn member_message_count_is_bounded() {
    let busiest = |hosts: usize| {
        let mut net = Net::new(hosts, 3);
        net.run(Millis(10_000));
        let hubs: Vec<usize> = (0..3).map(|c| net.hub(c)).collect();
        let others = (0..hosts).filter(|i| !hubs.contains(i));
        let most = others.map(|i| net.counts[i]).max().unwrap_or(0);
        let most_hub = hubs.iter().map(|i| net.counts[*i]).max().unwrap_or(0);
        (most, most_hub)
    };
    let (few, _) = busiest(30);
    let (many, hub) = busiest(300);
    assert!(many <= few, "{many} and {few} messages in 10 s");
    // 100 hosts of its data centre and 6 of others, 2 messages a second.
    assert!(hub <= 10 * 2 * (100 + 6 + 2), "{hub} messages of a hub");
}

#[test]
fn next_hub_takes_over() {
    let mut net = Net::new(24, 3);
    net.run(Millis(2_000));
    let hub = net.hub(1);
    net.hosts[hub].is_up = false;
    net.run(Millis(4_500));
    assert_ne!(net.hub(1), hub);
    net.assert_sums(22);
    net.hosts[hub].is_up = true;
    net.hosts[hub].gossip = Gossip::new(
        net.hosts[hub].name.clone(),
        net.hosts[hub].data_centre.clone(),
        Incarnation(2),
    );
    let all: Vec<ListedPeer> = net.hosts.iter().map(Host::listed).collect();
    net.hosts[hub].gossip.set_hosts(all);
    net.run(Millis(6_000));
    assert_eq!(net.hub(1), hub, "the first in hub order is the hub again");
    net.assert_sums(23);
}

/// A data centre of small hosts with a few large ones; the table of servers reaches the others through the hub.
#[test]
fn large_hosts_are_hubs_first() {
    let mut net = Net::new(60, 3);
    for host in 0..60 {
        net.set_limits(host, 0.12, 20.0);
    }
    let large = [1, 4];
    for host in large {
        net.set_limits(host, 0.5, 200.0);
    }
    net.list_hosts();
    net.run(Millis(2_000));
    let first = net.hub(1);
    assert!(large.contains(&first), "host {first} is the hub");
    net.hosts[first].is_up = false;
    net.run(Millis(4_500));
    let second = net.hub(1);
    assert!(large.contains(&second), "host {second} is the hub");
    net.hosts[second].is_up = false;
    net.run(Millis(4_500));
    assert!(!large.contains(&net.hub(1)), "a small host is the hub");
    net.assert_sums(57);
}

/// While a new version is rolled out, old hosts know of no priorities and order the hubs without them.
#[test]
fn two_orders_of_hubs() {
    let mut net = Net::new(30, 3);
    net.set_limits(4, 0.5, 200.0);
    net.list_hosts();
    let without: Vec<ListedPeer> = net.hosts.iter().map(Host::listed).collect();
    let without = without.into_iter().map(|l| ListedPeer {
        hub_priority: 0,
        ..l
    });
    let without: Vec<ListedPeer> = without.collect();
    for host in (0..30).filter(|i| i % 2 == 1) {
        net.hosts[host].gossip.set_hosts(without.clone());
    }
    net.run(Millis(4_000));
    net.assert_sums(29);
}

/// Hosts that start together read the list before all have written their rows.
#[test]
fn short_list_is_noticed() {
    let mut net = Net::new(30, 3);
    let all: Vec<ListedPeer> = net.hosts.iter().map(Host::listed).collect();
    let early = 7;
    assert!(!net.hosts[early].gossip.is_hub());
    net.hosts[early].gossip.set_hosts(all[..20].to_vec());
    net.run(Millis(3_000));
    let short = |net: &Net| -> Vec<usize> {
        let is_short = |i: &usize| net.hosts[*i].gossip.is_list_short(net.now);
        (0..30).filter(is_short).collect()
    };
    assert_eq!(short(&net), [early]);
    net.hosts[early].gossip.set_hosts(all);
    net.run(Millis(3_000));
    assert_eq!(short(&net), []);
}

#[test]
fn stopping_hub_is_replaced_at_once() {
    let mut net = Net::new(9, 3);
    net.run(Millis(2_000));
    let hub = net.hub(2);
    let now = net.now;
    let messages = net.hosts[hub].gossip.leave(now);
    net.send(hub, messages);
    net.run(Millis(1_000));
    let next = net.hub(2);
    assert_ne!(
        next, hub,
        "the next takes over while the stopping hub still runs"
    );
    net.run(Millis(6_000));
    net.assert_sums(8);
    assert_eq!(net.hub(2), next, "the next stays the hub");
    let now = net.now;
    let messages = net.hosts[hub].gossip.leave(now);
    net.send(hub, messages);
    net.run(Millis(10));
    net.hosts[hub].is_up = false;
    net.run(Millis(2_000));
    net.assert_sums(7);
}

#[test]
fn isolated_host_reports_only_itself() {
    let mut net = Net::new(9, 3);
    net.run(Millis(2_000));
    let cut = (0..9)
        .find(|i| !net.hosts[*i].gossip.is_hub())
        .expect("a host");
    net.hosts[cut].is_cut = true;
    net.run(Millis(4_500));
    let alone = net.shared(cut);
    assert_eq!((alone.reporting, alone.known), (1, 9));
    assert_eq!((alone.requests, alone.retries), ([0; 3], 0));
    net.assert_sums(7);
}

#[test]
fn no_messages_before_host_list() {
    let mut gossip = Gossip::new(HostId::from("own"), DataCentre::from("dc"), Incarnation(1));
    assert_eq!(gossip.digest(Millis(0), Vec::new()), []);
    assert_eq!(gossip.shared_usage(Millis(0), 1), None);
}

#[test]
fn ranks_of_waiting_hosts() {
    let mut net = Net::new(12, 3);
    for i in [1, 2, 5, 10] {
        net.hosts[i].usage.waiting = 1;
    }
    net.run(Millis(2_500));
    let mut ranks: Vec<u64> = (0..12).filter_map(|i| net.shared(i).rank).collect();
    ranks.sort_unstable();
    assert_eq!(ranks, [0, 1, 2, 3]);
    assert!((0..12).all(|i| net.shared(i).waiting == 4));
}

#[test]
fn failed_servers_reach_all_hosts() {
    let mut net = Net::new(12, 3);
    net.run(Millis(2_000));
    let now = net.now;
    net.hosts[4].gossip.server_failed(now, 77);
    net.run(Millis(1_500));
    for (i, host) in net.hosts.iter().enumerate() {
        assert!(i == 4 || host.failed.contains(&77), "{:?}", host.name);
    }
    for host in &mut net.hosts {
        host.failed.clear();
    }
    net.run(Millis(3_000));
    net.hosts.iter_mut().for_each(|h| h.failed.clear());
    net.run(Millis(3_000));
    assert!(
        net.hosts.iter().all(|h| h.failed.is_empty()),
        "failed servers are sent for a limited time only"
    );
}

#[test]
fn old_messages_are_dropped() {
    let digest = |seq: u64, incarnation: u64, retries: u32| Message {
        host: HostId::from("a"),
        incarnation: Incarnation(incarnation),
        seq,
        leaves: false,
        failed: Vec::new(),
        body: Body::Digest(vec![Usage {
            service: 1,
            requests: [10; 3],
            retries,
            waiting: 0,
        }]),
    };
    let mut gossip = Gossip::new(HostId::from("own"), DataCentre::from("dc"), Incarnation(1));
    gossip.set_hosts(Vec::new());
    let retries = |g: &Gossip| g.shared_usage(Millis(2), 1).map(|s| s.retries);
    assert!(
        gossip
            .receive(Millis(0), addr(1), &digest(5, 1, 3))
            .answer
            .is_some()
    );
    assert_eq!(
        gossip.receive(Millis(1), addr(1), &digest(4, 1, 9)).answer,
        None
    );
    assert_eq!(retries(&gossip), Some(3));
    gossip.receive(Millis(2), addr(1), &digest(1, 2, 0));
    assert_eq!(
        retries(&gossip),
        Some(0),
        "a new incarnation replaces the report"
    );
}

#[test]
fn sums_saturate() {
    let message = |host: &str| Message {
        host: HostId::from(host),
        incarnation: Incarnation(1),
        seq: u64::MAX,
        leaves: false,
        failed: vec![FailedServer {
            server: 1,
            age: u32::MAX,
        }],
        body: Body::Centre {
            hosts: u32::MAX,
            usage: vec![Usage {
                service: 1,
                requests: [u32::MAX; 3],
                retries: u32::MAX,
                waiting: u32::MAX,
            }],
        },
    };
    let mut gossip = Gossip::new(HostId::from("own"), DataCentre::from("dc"), Incarnation(1));
    gossip.set_hosts(Vec::new());
    for host in ["a", "b"] {
        gossip.receive(Millis(0), addr(1), &message(host));
    }
    let shared = gossip
        .shared_usage(Millis(1), 1)
        .expect("the list was read");
    assert_eq!(shared.retries, u64::from(u32::MAX));
}

/// A host that knows too few of the others would take too large a part of a limit that all share.
#[test]
fn hub_with_a_short_list() {
    let mut net = Net::new(30, 3);
    let all: Vec<ListedPeer> = net.hosts.iter().map(Host::listed).collect();
    let hub = net.hub(2);
    net.hosts[hub].gossip.set_hosts(all[..20].to_vec());
    net.run(Millis(3_000));
    assert!(net.hosts[hub].gossip.is_hub());
    assert_eq!(net.hosts[hub].gossip.known_hosts(net.now), Some(30));
}

/// A hub of an earlier version skips kinds of messages that it does not know, and passes none of them on.
#[test]
fn news_around_earlier_hub() {
    let mut net = Net::new(12, 3);
    let listed: Vec<ListedPeer> = net.hosts.iter().map(Host::listed).collect();
    let body = || Body::Requests(PromptEvidence::default());
    let member = (0..12).find(|i| !net.hosts[*i].gossip.is_hub()).unwrap();
    let gossip = &mut net.hosts[member].gossip;
    let told = gossip.news(Millis(0), body());
    assert_eq!(told.len(), 1, "the hub tells the others");
    let earlier = gossip.hub().unwrap().host.clone();
    let mixed = listed.into_iter().map(|l| ListedPeer {
        kinds: if l.host == earlier { 0 } else { l.kinds },
        ..l
    });
    gossip.set_hosts(mixed.collect());
    let told = gossip.news(Millis(0), body());
    assert_eq!(told.len(), 11, "all other hosts");
}
