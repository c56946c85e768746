//! What entry hosts tell each other in passing: their use of the shared retry budgets, and the backend
//! servers that they found to be gone.
//!
//! In each data centre one host, the hub, takes the digests of the others there and answers each with the
//! sums over all hosts. Hubs tell each other the sums of their data centres. So the messages of a host do
//! not grow with the number of hosts; those of a hub grow with the hosts of its data centre and the number
//! of data centres.
//!
//! Nobody elects a hub: each host takes the first listed host of its data centre, in an order that all
//! share, that is not silent. Hosts that differ use two hubs for a while, which tell each other their sums.
//! Each message stands for itself; lost, late and repeated ones do no harm. A host that hears of no hub
//! goes on with its own share.

mod message;

use std::net::SocketAddr;

use base::hash::rendezvous;
use base::prelude::*;
use base::sorted::Sorted;

pub use message::{Body, FailedServer, Message, Usage, WINDOWS};

/// What was not told anew for this time is forgotten.
const REPORT_TTL: Millis = Millis(2_000);

/// The hub is taken as silent after this time without an answer; more than the period of digests.
const HUB_TIMEOUT: Millis = Millis(700);

/// How often a hub that fell silent is asked whether it is back.
const PROBE_INTERVAL: Millis = Millis(2_500);

/// The hosts of each other data centre, in the order of hubs, that are told the sums of this one.
const HUBS_PER_CENTRE: usize = 2;

/// The lost servers that one message names at most, so that it fits a datagram.
const MAX_FAILED: usize = 48;

/// How long a lost server is told of.
const FAILED_TTL: Millis = Millis(1_500);

/// A host as the store lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedPeer {
    /// Its name.
    pub host: HostId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Where it takes messages.
    pub addr: SocketAddr,
}

/// The sums of one service over the hosts that are heard of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SharedUsage {
    /// The hosts that are heard of, this one included.
    pub reporting: u64,
    /// The hosts that are known, this one included.
    pub known: u64,
    /// The requests of the others, in each of the windows.
    pub requests: [u64; WINDOWS],
    /// The repeats of the others.
    pub retries: u64,
    /// The hosts that have told of requests that wait for a repeat, this one included.
    pub waiting: u64,
    /// How many of these come before this host; `None` if this one has told of none.
    pub rank: Option<u64>,
}

/// What follows from a message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// The lost servers that it names.
    pub failed: Vec<FailedServer>,
    /// A message that follows, and where it goes.
    pub answer: Option<(SocketAddr, Message)>,
    /// Whether it answers this host's last digest, so that the sums over the others are new.
    pub answers_digest: bool,
    /// Whether the other hubs are to be told soon.
    pub notify_hubs: bool,
}

/// What a host was told by another, and when.
#[derive(Clone, Debug)]
struct PeerReport {
    addr: SocketAddr,
    incarnation: Incarnation,
    seq: u64,
    received_at: Millis,
    hosts: u32,
    usage: Vec<Usage>,
}

/// Sums over other hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Sums {
    hosts: u32,
    usage: Sorted<u32, Usage>,
}

/// A hub's last answer.
#[derive(Clone, Debug)]
struct HubAnswer {
    received_at: Millis,
    hosts: u32,
    usage: Vec<Usage>,
    ranks: Vec<u32>,
}

/// The other hosts and what they last told.
#[derive(Clone, Debug, Default)]
pub struct Gossip {
    host: HostId,
    data_centre: DataCentre,
    incarnation: Incarnation,
    seq: u64,
    /// The other hosts that the store lists, in the order of hubs.
    listed: Vec<ListedPeer>,
    /// The hosts that this one serves as their hub.
    members: Sorted<HostId, PeerReport>,
    /// The other hubs.
    hubs: Sorted<HostId, PeerReport>,
    /// The hosts that did not answer, and when they are asked next.
    unresponsive: Sorted<HostId, Millis>,
    /// Whether the other hubs were told last that this host serves some.
    has_announced: bool,
    /// Since when the hub owes an answer.
    pending_since: Option<Millis>,
    /// The number of the last digest.
    digest: u64,
    answer: Option<HubAnswer>,
    failed: Vec<(u32, Millis)>,
    /// Whether the hosts that this one serves are to be told of a lost server.
    failures_pending: bool,
    /// What this host told last of its own use.
    own_usage: Vec<Usage>,
    /// Whether the list of hosts was read.
    is_listed: bool,
    /// Whether this host stops and serves no other any more.
    is_leaving: bool,
}

impl Gossip {
    /// A host that has heard of nobody yet.
    pub fn new(host: HostId, data_centre: DataCentre, incarnation: Incarnation) -> Self {
        Self {
            host,
            data_centre,
            incarnation,
            ..Self::default()
        }
    }

    /// Takes in the whole list of hosts.
    pub fn set_hosts(&mut self, mut hosts: Vec<ListedPeer>) {
        hosts.retain(|l| l.host != self.host);
        hosts.sort_by(|a, b| {
            hub_order(&a.data_centre, &a.host).cmp(&hub_order(&b.data_centre, &b.host))
        });
        self.listed = hosts;
        self.is_listed = true;
    }

    /// Whether this host serves its data centre: no other one there comes before it that answers.
    pub fn is_hub(&self) -> bool {
        self.hub().is_none()
    }

    /// The hub that serves this host, if it is another one.
    pub fn hub(&self) -> Option<&ListedPeer> {
        let own = hub_order(&self.data_centre, &self.host);
        let mut local = self.local_hosts();
        local.find(|l| {
            hub_order(&l.data_centre, &l.host) < own && self.unresponsive.get(&l.host).is_none()
        })
    }

    /// Whether the sums come from another hub, which has answered lately.
    pub fn has_hub_answer(&self, now: Millis) -> bool {
        !self.is_hub() && self.fresh_answer(now).is_some()
    }

    fn fresh_answer(&self, now: Millis) -> Option<&HubAnswer> {
        self.answer
            .as_ref()
            .filter(|a| now.since(a.received_at) < REPORT_TTL)
    }

    /// Whether other hosts take this one as their hub.
    pub fn has_members(&self) -> bool {
        !self.members.is_empty()
    }

    fn local_hosts(&self) -> impl Iterator<Item = &ListedPeer> {
        let is_local = |l: &&ListedPeer| l.data_centre == self.data_centre;
        self.listed.iter().filter(is_local)
    }

    /// Notes the own use, and tells it to the hub; a hub has the sums itself and tells nobody.
    pub fn digest(&mut self, now: Millis, usage: Vec<Usage>) -> Vec<(SocketAddr, Message)> {
        self.own_usage = usage;
        self.expire(now);
        if let (Some(since), Some(hub)) = (self.pending_since, self.hub())
            && now.since(since) >= HUB_TIMEOUT
        {
            let host = hub.host.clone();
            self.unresponsive.insert(host, now + PROBE_INTERVAL);
            self.pending_since = None;
        }
        let mut addrs: Vec<SocketAddr> = self.hub().map(|h| h.addr).into_iter().collect();
        if !addrs.is_empty() {
            self.pending_since.get_or_insert(now);
        }
        addrs.extend(self.probes_due(now));
        if addrs.is_empty() {
            return Vec::new();
        }
        let message = self.message(now, Body::Digest(self.own_usage.clone()));
        self.digest = message.seq;
        to_each(addrs, &message)
    }

    /// Silent hosts of this data centre that are to be asked again.
    fn probes_due(&mut self, now: Millis) -> Vec<SocketAddr> {
        let mut addrs = Vec::new();
        for listed in self
            .listed
            .iter()
            .filter(|l| l.data_centre == self.data_centre)
        {
            if let Some(next) = self.unresponsive.get_mut(&listed.host)
                && now >= *next
            {
                *next = now + PROBE_INTERVAL;
                addrs.push(listed.addr);
            }
        }
        addrs
    }

    /// What a hub tells the other hubs, and where it goes.
    pub fn centre_sums(&mut self, now: Millis) -> Vec<(SocketAddr, Message)> {
        self.expire(now);
        let announces = self.is_hub() || !self.members.is_empty();
        let has_announced = std::mem::replace(&mut self.has_announced, announces);
        // The others are told once that this host serves nobody any more.
        if !announces && !has_announced {
            return Vec::new();
        }
        let mut addrs: Vec<SocketAddr> = Vec::new();
        let mut count = (None, 0);
        for listed in &self.listed {
            if count.0 != Some(&listed.data_centre) {
                count = (Some(&listed.data_centre), 0);
            }
            if count.1 < HUBS_PER_CENTRE {
                addrs.push(listed.addr);
            }
            count.1 += 1;
        }
        addrs.extend(self.hubs.iter().map(|(_, r)| r.addr));
        addrs.sort();
        addrs.dedup();
        let sums = self.member_sums(None);
        let body = Body::Centre {
            hosts: sums.hosts,
            usage: sums.usage.iter().map(|(_, u)| *u).collect(),
        };
        let message = self.message(now, body);
        to_each(addrs, &message)
    }

    /// What a hub tells the hosts that it serves of lost servers, and where it goes.
    pub fn failed_servers(&mut self, now: Millis) -> Vec<(SocketAddr, Message)> {
        if !std::mem::take(&mut self.failures_pending) {
            return Vec::new();
        }
        let addrs: Vec<SocketAddr> = self.members.iter().map(|(_, r)| r.addr).collect();
        let body = Body::Others {
            digest: 0,
            hosts: 0,
            usage: Vec::new(),
            ranks: Vec::new(),
        };
        let message = self.message(now, body);
        to_each(addrs, &message)
    }

    /// What a stopping host tells those that count on it; from now on it serves no other host.
    pub fn leave(&mut self, now: Millis) -> Vec<(SocketAddr, Message)> {
        self.failures_pending = true;
        let mut messages = self.centre_sums(now);
        messages.extend(self.failed_servers(now));
        messages.extend(self.digest(now, Vec::new()));
        for (_, message) in &mut messages {
            message.leaves = true;
        }
        self.is_leaving = true;
        self.members = Sorted::default();
        messages
    }

    fn message(&mut self, now: Millis, body: Body) -> Message {
        self.seq += 1;
        self.failed.retain(|(_, at)| now.since(*at) < FAILED_TTL);
        let newest = self.failed.iter().rev().take(MAX_FAILED);
        let failed = newest.map(|(server, at)| FailedServer {
            server: *server,
            age: u32::try_from(now.since(*at).0).unwrap_or(u32::MAX),
        });
        Message {
            host: self.host.clone(),
            incarnation: self.incarnation,
            seq: self.seq,
            leaves: false,
            failed: failed.collect(),
            body,
        }
    }

    /// Takes in a message that came from `from`.
    pub fn receive(&mut self, now: Millis, from: SocketAddr, message: &Message) -> Received {
        if message.host == self.host {
            return Received::default();
        }
        if message.leaves {
            return self.peer_left(now, message);
        }
        let report = |hosts: u32, usage: &[Usage]| PeerReport {
            addr: from,
            incarnation: message.incarnation,
            seq: message.seq,
            received_at: now,
            hosts,
            usage: usage.to_vec(),
        };
        let mut received = Received::default();
        match &message.body {
            Body::Digest(_) if self.is_leaving => return received,
            Body::Digest(usage) => {
                let before = self.members.get(&message.host).map(|r| r.usage.clone());
                if !store_newer(&mut self.members, &message.host, report(1, usage)) {
                    return received;
                }
                received.notify_hubs = before.is_none_or(|b| is_urgent(&b, usage));
                received.notify_hubs |= self.record_failed(now, &message.failed);
                received.answer = Some((from, self.answer_digest(now, &message.host, message.seq)));
            }
            Body::Centre { hosts, usage } => {
                if !store_newer(&mut self.hubs, &message.host, report(*hosts, usage)) {
                    return received;
                }
                received.notify_hubs = self.record_failed(now, &message.failed);
            }
            Body::Others {
                digest,
                hosts,
                usage,
                ranks,
            } => {
                received.answer = self.peer_recovered(now, &message.host);
                received.answers_digest = *digest == self.digest && *digest > 0;
                if received.answers_digest {
                    self.pending_since = None;
                    self.answer = Some(HubAnswer {
                        received_at: now,
                        hosts: *hosts,
                        usage: usage.clone(),
                        ranks: ranks.clone(),
                    });
                }
            }
        }
        received.failed.clone_from(&message.failed);
        received
    }

    /// A host stops.
    fn peer_left(&mut self, now: Millis, message: &Message) -> Received {
        self.members.remove(&message.host);
        self.hubs.remove(&message.host);
        if self.hub().is_some_and(|h| h.host == message.host) {
            self.pending_since = None;
            self.unresponsive
                .insert(message.host.clone(), now + PROBE_INTERVAL);
        }
        Received {
            notify_hubs: true,
            ..Received::default()
        }
    }

    /// A host answers. If it is to serve this one again, the hub that has done so meanwhile is told.
    fn peer_recovered(&mut self, now: Millis, host: &HostId) -> Option<(SocketAddr, Message)> {
        let before = self.hub().cloned();
        self.unresponsive.remove(host)?;
        let before = before.filter(|b| self.hub() != Some(b))?;
        let message = Message {
            leaves: true,
            ..self.message(now, Body::Digest(Vec::new()))
        };
        Some((before.addr, message))
    }

    /// The answer to the digest of a host that this one serves.
    fn answer_digest(&mut self, now: Millis, host: &HostId, digest: u64) -> Message {
        self.expire(now);
        let sums = self.sums_without(host);
        let usage: Vec<Usage> = sums.usage.iter().map(|(_, u)| *u).collect();
        let ranks = usage
            .iter()
            .map(|u| self.waiting_rank(host, u.service))
            .collect();
        let body = Body::Others {
            digest,
            hosts: sums.hosts.saturating_add(1),
            usage,
            ranks,
        };
        self.message(now, body)
    }

    /// This host found a server to be gone.
    pub fn server_failed(&mut self, now: Millis, server: u32) {
        self.failed.retain(|(s, _)| *s != server);
        self.failed.push((server, now));
        self.failures_pending = true;
    }

    /// Notes the lost servers that another host tells of; returns whether there are new ones.
    fn record_failed(&mut self, now: Millis, failed: &[FailedServer]) -> bool {
        let mut is_new = false;
        for one in failed {
            if self.failed.iter().all(|(server, _)| *server != one.server) {
                self.server_failed(now - Millis(u64::from(one.age)), one.server);
                is_new = true;
            }
        }
        is_new
    }

    /// The sums of one service over the other hosts that are heard of; `None` while it is not known
    /// which hosts there are.
    pub fn shared_usage(&self, now: Millis, service: u32) -> Option<SharedUsage> {
        if !self.is_listed {
            return None;
        }
        let known = 1 + self.listed.len() as u64;
        let is_waiting = self
            .own_usage
            .iter()
            .any(|u| u.service == service && u.waiting > 0);
        let (hosts, usage, rank) = if self.is_hub() {
            let sums = self.sums_without(&self.host);
            let usage = sums.usage.get(&service).copied();
            (
                sums.hosts.saturating_add(1),
                usage,
                self.waiting_rank(&self.host, service),
            )
        } else {
            let Some(answer) = self.fresh_answer(now) else {
                return Some(SharedUsage {
                    reporting: 1,
                    known,
                    ..SharedUsage::default()
                });
            };
            let at = answer.usage.iter().position(|u| u.service == service);
            let rank = at.and_then(|i| answer.ranks.get(i)).copied();
            (answer.hosts, at.map(|i| answer.usage[i]), rank.unwrap_or(0))
        };
        let usage = usage.unwrap_or_default();
        let reporting = u64::from(hosts);
        Some(SharedUsage {
            reporting,
            known: known.max(reporting),
            requests: usage.requests.map(u64::from),
            retries: u64::from(usage.retries),
            waiting: u64::from(usage.waiting) + u64::from(is_waiting),
            rank: is_waiting.then_some(u64::from(rank)),
        })
    }

    /// The sums over all hosts that are heard of, but for one.
    fn sums_without(&self, but: &HostId) -> Sums {
        let mut sums = self.member_sums(Some(but));
        for (_, report) in self.hubs.iter() {
            sums.add(report);
        }
        sums
    }

    /// The sums over this host and those that it serves, but for one.
    fn member_sums(&self, but: Option<&HostId>) -> Sums {
        let mut sums = Sums::default();
        // A host that another one serves is counted there.
        if but != Some(&self.host) && self.is_hub() {
            sums.add_usage(1, &self.own_usage);
        }
        for (host, report) in self.members.iter() {
            if but != Some(host) {
                sums.add(report);
            }
        }
        sums
    }

    /// The hosts with waiting requests that come before `host`: those of data centres before this one,
    /// and those before it among the served ones.
    fn waiting_rank(&self, host: &HostId, service: u32) -> u32 {
        let waiting = |usage: &[Usage]| {
            let of_service = usage.iter().filter(|u| u.service == service);
            of_service.fold(0, |sum: u32, u| sum.saturating_add(u.waiting))
        };
        let hubs = self.hubs.iter().filter(|(h, _)| **h < self.host);
        let rank = hubs.fold(0, |sum: u32, (_, r)| sum.saturating_add(waiting(&r.usage)));
        let members = self.members.iter().filter(|(h, _)| *h < host);
        let rank = members.fold(rank, |sum, (_, r)| sum.saturating_add(waiting(&r.usage)));
        if self.host < *host && self.is_hub() {
            rank.saturating_add(waiting(&self.own_usage))
        } else {
            rank
        }
    }

    fn expire(&mut self, now: Millis) {
        let is_fresh = |_: &HostId, r: &mut PeerReport| now.since(r.received_at) < REPORT_TTL;
        self.members.retain(is_fresh);
        self.hubs.retain(is_fresh);
    }
}

impl Sums {
    fn add(&mut self, report: &PeerReport) {
        self.add_usage(report.hosts, &report.usage);
    }

    fn add_usage(&mut self, hosts: u32, usage: &[Usage]) {
        // Sums are bounded, since any datagram may come.
        self.hosts = self.hosts.saturating_add(hosts);
        for one in usage {
            let sum = self.usage.entry(one.service, || Usage {
                service: one.service,
                ..Usage::default()
            });
            for (sum, one) in sum.requests.iter_mut().zip(one.requests) {
                *sum = sum.saturating_add(one);
            }
            sum.retries = sum.retries.saturating_add(one.retries);
            sum.waiting = sum.waiting.saturating_add(one.waiting);
        }
    }
}

/// The order in which the hosts of a data centre are taken as its hub.
fn hub_order<'a>(
    data_centre: &'a DataCentre,
    host: &'a HostId,
) -> (&'a DataCentre, u64, &'a HostId) {
    let weight = rendezvous(data_centre.as_str(), host.as_str());
    (data_centre, weight, host)
}

fn to_each(addrs: Vec<SocketAddr>, message: &Message) -> Vec<(SocketAddr, Message)> {
    let messages = addrs.into_iter().map(|a| (a, message.clone()));
    messages.collect()
}

/// Whether the other hubs are to be told at once that a host's use has changed.
fn is_urgent(before: &[Usage], usage: &[Usage]) -> bool {
    let key = |u: &Usage| (u.service, u.retries, u.waiting);
    !before.iter().map(key).eq(usage.iter().map(key))
}

/// Keeps what a host told, unless it is older than what is held; returns whether it was kept.
fn store_newer(all: &mut Sorted<HostId, PeerReport>, host: &HostId, report: PeerReport) -> bool {
    let is_old =
        |held: &PeerReport| held.incarnation == report.incarnation && report.seq <= held.seq;
    if all.get(host).is_some_and(is_old) {
        return false;
    }
    all.insert(host.clone(), report);
    true
}
