//! Exchange of retry budget usage and of failed servers between hosts, through one hub per data centre.
//!
//! Each host sends its usage (a digest) to the hub of its data centre, which answers with the sums over all
//! other hosts. Hubs send each other the sums of their data centres. The number of messages that a host
//! sends therefore does not grow with the number of hosts; that of a hub grows with the hosts of its data
//! centre and with the number of data centres.
//!
//! Hubs are not elected: each host uses the first listed host of its data centre, in an order common to all
//! hosts that puts those with the most processor and network first, that is not marked unresponsive. While
//! hosts disagree, a data centre has two hubs for a while,
//! which send each other their sums. Each message is self-contained, so that lost, late and duplicate
//! messages do no harm. A host that reaches no hub works with its own share of the budget.

mod announcement;
mod message;
mod order;

use std::net::SocketAddr;

use base::hash::rendezvous;
use base::prelude::*;
use base::sorted::{Sorted, distinct};

pub use announcement::Announcement;
pub use message::{
    Body, CrashReport, FailedServer, FatalPrompt, KINDS, LeavingServer, Message, PromptEvidence,
    ServerLimit, SoundPart, Usage, WINDOWS,
};
use order::hub_order;
pub use order::{ListedPeer, hub_priority};

use crate::tunnels::TunnelHost;

/// Reports and answers that were not renewed within this time expire.
const REPORT_TTL: Millis = Millis(2_000);

/// A hub that leaves digests unanswered for this time is unresponsive; longer than the digest period.
const HUB_TIMEOUT: Millis = Millis(700);

/// The interval at which an unresponsive host is probed with a digest.
const PROBE_INTERVAL: Millis = Millis(2_500);

/// How many hosts of each data centre, in hub order, receive the sums of this data centre.
const HUBS_PER_CENTRE: usize = 2;

/// The maximum number of failed servers in one message, so that it fits a datagram.
const MAX_FAILED: usize = 48;

/// How long a failed server is included in messages.
const FAILED_TTL: Millis = Millis(1_500);

/// The usage of one service, summed over the hosts whose usage has been received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SharedUsage {
    /// Number of hosts whose usage has been received, this one included.
    pub reporting: u64,
    /// Number of listed hosts, or of reporting ones if these are more; this one included.
    pub known: u64,
    /// Requests of the other hosts in each of the [`WINDOWS`].
    pub requests: [u64; WINDOWS],
    /// Retries of the other hosts.
    pub retries: u64,
    /// Number of hosts that reported requests waiting for a retry, this one included.
    pub waiting: u64,
    /// How many of the waiting hosts come before this one; `None` if this one has reported none waiting.
    pub rank: Option<u64>,
}

/// The result of [`Gossip::receive`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// The failed servers in the message.
    pub failed: Vec<FailedServer>,
    /// A message to send in response, with its destination.
    pub answer: Option<(SocketAddr, Message)>,
    /// Whether the message answers this host's last digest, so that the sums over the others are current.
    pub answers_digest: bool,
    /// Whether to run the next exchange now, so that the change reaches the other hubs soon.
    pub notify_hubs: bool,
}

/// The last report of another host: the digest of a member or the sums of a hub.
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

/// The hub's answer to the last digest that it answered.
#[derive(Clone, Debug)]
struct HubAnswer {
    received_at: Millis,
    hosts: u32,
    usage: Vec<Usage>,
    ranks: Vec<u32>,
}

/// The state of the exchange: the other hosts and their last reports.
#[derive(Clone, Debug, Default)]
pub struct Gossip {
    host: HostId,
    data_centre: DataCentre,
    hub_priority: u64,
    incarnation: Incarnation,
    seq: u64,
    /// The other hosts in the store's list, in hub order.
    listed: Vec<ListedPeer>,
    /// The hosts that use this one as their hub.
    members: Sorted<HostId, PeerReport>,
    /// The other hubs, which may include one of this data centre.
    hubs: Sorted<HostId, PeerReport>,
    /// The unresponsive hosts, each with the time of the next probe.
    unresponsive: Sorted<HostId, Millis>,
    /// Whether this host acted as a hub in the last round, so that other hubs hold its sums.
    has_announced: bool,
    /// When the oldest digest was sent that the hub has not answered; `None` if none is pending.
    pending_since: Option<Millis>,
    /// The sequence number of the last digest.
    digest: u64,
    answer: Option<HubAnswer>,
    /// Hashes of the ids of recently failed servers, with the time of the failure.
    failed: Vec<(u32, Millis)>,
    /// Whether a failed server has yet to be sent to the members.
    failures_pending: bool,
    /// This host's own usage, as of its last digest.
    own_usage: Vec<Usage>,
    /// Whether the host list has been read.
    is_listed: bool,
    /// Whether this host is stopping and accepts no more digests.
    is_leaving: bool,
}

impl Gossip {
    /// A host that has received no list and no message yet.
    pub fn new(host: HostId, data_centre: DataCentre, incarnation: Incarnation) -> Self {
        Self {
            host,
            data_centre,
            incarnation,
            ..Self::default()
        }
    }

    /// Sets this host's own [`hub_priority`], as in its row of the list.
    pub fn with_hub_priority(self, hub_priority: u64) -> Self {
        Self {
            hub_priority,
            ..self
        }
    }

    /// Replaces the list of hosts.
    pub fn set_hosts(&mut self, mut hosts: Vec<ListedPeer>) {
        hosts.retain(|l| l.host != self.host);
        hosts.sort_by(|a, b| a.hub_order().cmp(&b.hub_order()));
        self.listed = hosts;
        self.is_listed = true;
    }

    /// Whether this host is the hub of its data centre: no responsive host there precedes it in hub order.
    pub fn is_hub(&self) -> bool {
        self.hub().is_none()
    }

    /// The hub of this host; `None` if it is its own.
    pub fn hub(&self) -> Option<&ListedPeer> {
        self.hubs().next()
    }

    /// The hub of this host and those that follow it in hub order, up to this host; without unresponsive ones.
    pub fn hubs(&self) -> impl Iterator<Item = &ListedPeer> {
        let own = hub_order(&self.data_centre, self.hub_priority, &self.host);
        let is_before = move |l: &&ListedPeer| l.hub_order() < own;
        let is_responsive = |l: &&ListedPeer| self.unresponsive.get(&l.host).is_none();
        self.local_hosts().filter(is_before).filter(is_responsive)
    }

    /// Whether more hosts report their usage than the list has, so that it is to be read again.
    pub fn is_list_short(&self, now: Millis) -> bool {
        self.reporting_hosts(now) > self.listed_hosts()
    }

    /// The number of hosts that report their usage, this one included.
    fn reporting_hosts(&self, now: Millis) -> u64 {
        let hosts = if self.is_hub() {
            self.sums_without(&self.host).hosts.saturating_add(1)
        } else {
            self.fresh_answer(now).map_or(1, |a| a.hosts)
        };
        u64::from(hosts)
    }

    /// The number of hosts in the list, this one included.
    fn listed_hosts(&self) -> u64 {
        self.listed.len() as u64 + 1
    }

    /// Whether the list of hosts has been read.
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Whether the sums come from another host, the hub, whose last answer has not expired.
    pub fn has_hub_answer(&self, now: Millis) -> bool {
        !self.is_hub() && self.fresh_answer(now).is_some()
    }

    fn fresh_answer(&self, now: Millis) -> Option<&HubAnswer> {
        self.answer
            .as_ref()
            .filter(|a| now.since(a.received_at) < REPORT_TTL)
    }

    /// Whether other hosts use this one as their hub.
    pub fn has_members(&self) -> bool {
        !self.members.is_empty()
    }

    /// The other hosts that open tunnels to backend servers, as far as the list has been read.
    pub fn tunnel_hosts(&self) -> Vec<TunnelHost> {
        let offers = self.listed.iter().filter_map(|l| {
            Some(TunnelHost {
                addr: l.tunnels?,
                has_http2: l.has_http2,
                centre: l.data_centre.clone(),
            })
        });
        offers.collect()
    }

    fn local_hosts(&self) -> impl Iterator<Item = &ListedPeer> {
        let is_local = |l: &&ListedPeer| l.data_centre == self.data_centre;
        self.listed.iter().filter(is_local)
    }

    /// Records this host's usage and returns the digest for the hub and for unresponsive hosts to probe.
    ///
    /// A hub computes the sums itself and sends no digest but those probes.
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

    /// Unresponsive hosts of this data centre whose next probe is due.
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

    /// The sums of this hub for the other hubs, with their destinations.
    pub fn centre_sums(&mut self, now: Millis) -> Vec<(SocketAddr, Message)> {
        self.expire(now);
        let announces = self.is_hub() || !self.members.is_empty();
        let has_announced = std::mem::replace(&mut self.has_announced, announces);
        // A host that ceases to be a hub sends empty sums once, to replace its last ones.
        if !announces && !has_announced {
            return Vec::new();
        }
        let addrs = self.hub_addrs();
        let sums = self.member_sums(None);
        let body = Body::Centre {
            hosts: sums.hosts,
            usage: sums.usage.iter().map(|(_, u)| *u).collect(),
        };
        let message = self.message(now, body);
        to_each(addrs, &message)
    }

    /// The hosts that may be hubs of a data centre, in ascending order.
    fn hub_addrs(&self) -> Vec<SocketAddr> {
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
        addrs
    }

    /// The messages that tell the hub, or as a hub the members and the other hubs, what is in `body`:
    /// [`Body::Prompts`], [`Body::Requests`], [`Body::Limits`] or [`Body::Leaving`].
    ///
    /// While hosts of earlier versions are listed, it goes to every listed host, as their hub may skip it.
    pub fn news(&mut self, now: Millis, body: Body) -> Vec<(SocketAddr, Message)> {
        let mut addrs: Vec<SocketAddr> = self.members.iter().map(|(_, r)| r.addr).collect();
        match self.hub() {
            Some(hub) => addrs.push(hub.addr),
            None => addrs.extend(self.hub_addrs()),
        }
        if self.listed.iter().any(|l| l.kinds < KINDS) {
            addrs.extend(self.listed.iter().map(|l| l.addr));
        }
        let message = Message {
            // Leaves room for the body; other messages carry the failed servers.
            failed: Vec::new(),
            ..self.message(now, body)
        };
        to_each(distinct(addrs.into_iter()), &message)
    }

    /// The number of hosts, this one included, by the list or by their reports if these are more; `None` until the
    /// list has been read.
    pub fn known_hosts(&self, now: Millis) -> Option<u64> {
        let hosts = self.reporting_hosts(now).max(self.listed_hosts());
        self.is_listed.then_some(hosts)
    }

    /// Whether this host passes on what it hears: it is a hub, or others use it as theirs.
    pub fn relays(&self) -> bool {
        self.is_hub() || self.has_members()
    }

    /// Whether hosts of another data centre are listed and none of them is heard, or this host is its own hub and
    /// hears none of the others in its data centre.
    pub fn is_parted(&self, now: Millis) -> bool {
        if !self.is_hub() {
            return self.fresh_answer(now).is_none();
        }
        let is_fresh = |host: &HostId| {
            let reports = [self.members.get(host), self.hubs.get(host)];
            let mut reports = reports.into_iter().flatten();
            reports.any(|r| now.since(r.received_at) < REPORT_TTL)
        };
        let centres = distinct(self.listed.iter().map(|l| &l.data_centre));
        centres.into_iter().any(|centre| {
            let hosts = self.listed.iter().filter(|l| l.data_centre == *centre);
            !hosts.map(|l| &l.host).any(is_fresh)
        })
    }

    /// Whether this host is among the first `count` of all listed ones in the order in which they act on the matter `key`.
    pub fn is_among(&self, key: &str, count: usize) -> bool {
        let own = rendezvous(key, self.host.as_str());
        let others = self.listed.iter().map(|l| rendezvous(key, l.host.as_str()));
        others.filter(|other| *other >= own).count() < count
    }

    /// A message with the failed servers for each member of this hub; empty if there is no new one.
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

    /// The messages by which a stopping host signs off; from now on it accepts no digests.
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

    /// Applies a message received from `from`.
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
            // Applied by `relay::Quarantine` and the gateway's fleet.
            Body::Prompts(_) | Body::Requests(_) | Body::Limits(_) | Body::Leaving(_) => {}
        }
        received.failed.clone_from(&message.failed);
        received
    }

    /// Applies the sign-off of a host.
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

    /// Marks a host as responsive. If that makes it the hub of this host, returns a sign-off for the hub
    /// used until now.
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

    /// The answer to the digest of a member.
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

    /// Records that a server has failed, as found by this host.
    pub fn server_failed(&mut self, now: Millis, server: u32) {
        self.failed.retain(|(s, _)| *s != server);
        self.failed.push((server, now));
        self.failures_pending = true;
    }

    /// Records the failed servers that another host reported; returns whether there are new ones.
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

    /// The sums of one service over the other reporting hosts; `None` until the host list has been read.
    pub fn shared_usage(&self, now: Millis, service: u32) -> Option<SharedUsage> {
        if !self.is_listed {
            return None;
        }
        let known = self.listed_hosts();
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

    /// The sums over all reporting hosts except `but`.
    fn sums_without(&self, but: &HostId) -> Sums {
        let mut sums = self.member_sums(Some(but));
        for (_, report) in self.hubs.iter() {
            sums.add(report);
        }
        sums
    }

    /// The sums over this host and its members, except `but`.
    fn member_sums(&self, but: Option<&HostId>) -> Sums {
        let mut sums = Sums::default();
        // A host that has another hub is counted there.
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

    /// The number of hosts with waiting requests that come before `host`: those reported by hubs that come
    /// before this one by name, and those before `host` among this hub and its members.
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
        // Saturating, as a datagram may carry any values.
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

fn to_each(addrs: Vec<SocketAddr>, message: &Message) -> Vec<(SocketAddr, Message)> {
    let messages = addrs.into_iter().map(|a| (a, message.clone()));
    messages.collect()
}

/// Whether a change of a host's usage is sent to the other hubs at once: its retries or waiting hosts differ.
fn is_urgent(before: &[Usage], usage: &[Usage]) -> bool {
    let key = |u: &Usage| (u.service, u.retries, u.waiting);
    !before.iter().map(key).eq(usage.iter().map(key))
}

/// Stores a report unless a newer one of the same incarnation is held; returns whether it was stored.
fn store_newer(all: &mut Sorted<HostId, PeerReport>, host: &HostId, report: PeerReport) -> bool {
    let is_old =
        |held: &PeerReport| held.incarnation == report.incarnation && report.seq <= held.seq;
    if all.get(host).is_some_and(is_old) {
        return false;
    }
    all.insert(host.clone(), report);
    true
}
