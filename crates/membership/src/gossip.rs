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

pub use message::{Body, Lost, Message, Usage, WINDOWS};

/// What was not told anew for this time is forgotten.
const FRESH: Millis = Millis(2_000);

/// The hub is taken as silent after this time without an answer; more than the period of digests.
const SILENT: Millis = Millis(700);

/// How often a hub that fell silent is asked whether it is back.
const RETRY: Millis = Millis(2_500);

/// The hosts of each other data centre, in the order of hubs, that are told the sums of this one.
const HUBS: usize = 2;

/// The lost servers that one message names at most, so that it fits a datagram.
const MAX_LOST: usize = 48;

/// How long a lost server is told of.
const TELL_LOST: Millis = Millis(1_500);

/// A host as the store lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Its name.
    pub host: HostId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Where it takes messages.
    pub addr: SocketAddr,
}

/// The sums of one service over the hosts that are heard of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Shared {
    /// The hosts that are heard of, this one included.
    pub heard: u64,
    /// The hosts that are known, this one included.
    pub known: u64,
    /// The requests of the others, in each of the windows.
    pub requests: [u64; WINDOWS],
    /// The repeats of the others.
    pub repeats: u64,
    /// The hosts that have told of requests that wait for a repeat, this one included.
    pub waiting: u64,
    /// How many of these come before this host; `None` if this one has told of none.
    pub rank: Option<u64>,
}

/// What follows from a message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heard {
    /// The lost servers that it names.
    pub lost: Vec<Lost>,
    /// A message that follows, and where it goes.
    pub answer: Option<(SocketAddr, Message)>,
    /// Whether it answers this host's last digest, so that the sums over the others are new.
    pub is_answered: bool,
    /// Whether the other hubs are to be told soon.
    pub is_news: bool,
}

/// What a host was told by another, and when.
#[derive(Clone, Debug)]
struct Told {
    addr: SocketAddr,
    incarnation: Incarnation,
    seq: u64,
    at: Millis,
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
struct Answer {
    at: Millis,
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
    listed: Vec<Listed>,
    /// The hosts that this one serves as their hub.
    members: Sorted<HostId, Told>,
    /// The other hubs.
    hubs: Sorted<HostId, Told>,
    /// The hosts that did not answer, and when they are asked next.
    silent: Sorted<HostId, Millis>,
    /// Whether the other hubs were told last that this host serves some.
    has_served: bool,
    /// Since when the hub owes an answer.
    owes: Option<Millis>,
    /// The number of the last digest.
    digest: u64,
    answer: Option<Answer>,
    lost: Vec<(u32, Millis)>,
    /// Whether the hosts that this one serves are to be told of a lost server.
    has_lost: bool,
    /// What this host told last of its own use.
    told: Vec<Usage>,
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
    pub fn listed(&mut self, mut hosts: Vec<Listed>) {
        hosts.retain(|l| l.host != self.host);
        hosts.sort_by(|a, b| order(&a.data_centre, &a.host).cmp(&order(&b.data_centre, &b.host)));
        self.listed = hosts;
        self.is_listed = true;
    }

    /// Whether this host serves its data centre: no other one there comes before it that answers.
    pub fn is_hub(&self) -> bool {
        self.hub().is_none()
    }

    /// The hub that serves this host, if it is another one.
    pub fn hub(&self) -> Option<&Listed> {
        let own = order(&self.data_centre, &self.host);
        let mut here = self.here();
        here.find(|l| order(&l.data_centre, &l.host) < own && self.silent.get(&l.host).is_none())
    }

    /// Whether the sums come from another hub, which has answered lately.
    pub fn is_served(&self, now: Millis) -> bool {
        !self.is_hub() && self.fresh(now).is_some()
    }

    fn fresh(&self, now: Millis) -> Option<&Answer> {
        self.answer.as_ref().filter(|a| now.since(a.at) < FRESH)
    }

    /// Whether other hosts take this one as their hub.
    pub fn serves(&self) -> bool {
        !self.members.is_empty()
    }

    fn here(&self) -> impl Iterator<Item = &Listed> {
        let is_here = |l: &&Listed| l.data_centre == self.data_centre;
        self.listed.iter().filter(is_here)
    }

    /// Notes the own use, and tells it to the hub; a hub has the sums itself and tells nobody.
    pub fn digest(&mut self, now: Millis, usage: Vec<Usage>) -> Vec<(SocketAddr, Message)> {
        self.told = usage;
        self.expire(now);
        if let (Some(since), Some(hub)) = (self.owes, self.hub())
            && now.since(since) >= SILENT
        {
            let host = hub.host.clone();
            self.silent.insert(host, now + RETRY);
            self.owes = None;
        }
        let mut addrs: Vec<SocketAddr> = self.hub().map(|h| h.addr).into_iter().collect();
        if !addrs.is_empty() {
            self.owes.get_or_insert(now);
        }
        addrs.extend(self.overdue(now));
        if addrs.is_empty() {
            return Vec::new();
        }
        let message = self.message(now, Body::Digest(self.told.clone()));
        self.digest = message.seq;
        to_each(addrs, &message)
    }

    /// Silent hosts of this data centre that are to be asked again.
    fn overdue(&mut self, now: Millis) -> Vec<SocketAddr> {
        let mut addrs = Vec::new();
        for listed in self
            .listed
            .iter()
            .filter(|l| l.data_centre == self.data_centre)
        {
            if let Some(next) = self.silent.get_mut(&listed.host)
                && now >= *next
            {
                *next = now + RETRY;
                addrs.push(listed.addr);
            }
        }
        addrs
    }

    /// What a hub tells the other hubs, and where it goes.
    pub fn centre(&mut self, now: Millis) -> Vec<(SocketAddr, Message)> {
        self.expire(now);
        let serves = self.is_hub() || !self.members.is_empty();
        let has_served = std::mem::replace(&mut self.has_served, serves);
        // The others are told once that this host serves nobody any more.
        if !serves && !has_served {
            return Vec::new();
        }
        let mut addrs: Vec<SocketAddr> = Vec::new();
        let mut count = (None, 0);
        for listed in &self.listed {
            if count.0 != Some(&listed.data_centre) {
                count = (Some(&listed.data_centre), 0);
            }
            if count.1 < HUBS {
                addrs.push(listed.addr);
            }
            count.1 += 1;
        }
        addrs.extend(self.hubs.iter().map(|(_, t)| t.addr));
        addrs.sort();
        addrs.dedup();
        let sums = self.served(None);
        let body = Body::Centre {
            hosts: sums.hosts,
            usage: sums.usage.iter().map(|(_, u)| *u).collect(),
        };
        let message = self.message(now, body);
        to_each(addrs, &message)
    }

    /// What a hub tells the hosts that it serves of lost servers, and where it goes.
    pub fn lost_servers(&mut self, now: Millis) -> Vec<(SocketAddr, Message)> {
        if !std::mem::take(&mut self.has_lost) {
            return Vec::new();
        }
        let addrs: Vec<SocketAddr> = self.members.iter().map(|(_, t)| t.addr).collect();
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
        self.has_lost = true;
        let mut messages = self.centre(now);
        messages.extend(self.lost_servers(now));
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
        self.lost.retain(|(_, at)| now.since(*at) < TELL_LOST);
        let newest = self.lost.iter().rev().take(MAX_LOST);
        let lost = newest.map(|(server, at)| Lost {
            server: *server,
            age: u32::try_from(now.since(*at).0).unwrap_or(u32::MAX),
        });
        Message {
            host: self.host.clone(),
            incarnation: self.incarnation,
            seq: self.seq,
            leaves: false,
            lost: lost.collect(),
            body,
        }
    }

    /// Takes in a message that came from `from`.
    pub fn heard(&mut self, now: Millis, from: SocketAddr, message: &Message) -> Heard {
        if message.host == self.host {
            return Heard::default();
        }
        if message.leaves {
            return self.left(now, message);
        }
        let told = |hosts: u32, usage: &[Usage]| Told {
            addr: from,
            incarnation: message.incarnation,
            seq: message.seq,
            at: now,
            hosts,
            usage: usage.to_vec(),
        };
        let mut heard = Heard::default();
        match &message.body {
            Body::Digest(_) if self.is_leaving => return heard,
            Body::Digest(usage) => {
                let before = self.members.get(&message.host).map(|t| t.usage.clone());
                if !put(&mut self.members, &message.host, told(1, usage)) {
                    return heard;
                }
                heard.is_news = before.is_none_or(|b| is_news(&b, usage));
                heard.is_news |= self.relay(now, &message.lost);
                heard.answer = Some((from, self.others(now, &message.host, message.seq)));
            }
            Body::Centre { hosts, usage } => {
                if !put(&mut self.hubs, &message.host, told(*hosts, usage)) {
                    return heard;
                }
                heard.is_news = self.relay(now, &message.lost);
            }
            Body::Others {
                digest,
                hosts,
                usage,
                ranks,
            } => {
                heard.answer = self.is_back(now, &message.host);
                heard.is_answered = *digest == self.digest && *digest > 0;
                if heard.is_answered {
                    self.owes = None;
                    self.answer = Some(Answer {
                        at: now,
                        hosts: *hosts,
                        usage: usage.clone(),
                        ranks: ranks.clone(),
                    });
                }
            }
        }
        heard.lost.clone_from(&message.lost);
        heard
    }

    /// A host stops.
    fn left(&mut self, now: Millis, message: &Message) -> Heard {
        self.members.remove(&message.host);
        self.hubs.remove(&message.host);
        if self.hub().is_some_and(|h| h.host == message.host) {
            self.owes = None;
            self.silent.insert(message.host.clone(), now + RETRY);
        }
        Heard {
            is_news: true,
            ..Heard::default()
        }
    }

    /// A host answers. If it is to serve this one again, the hub that has done so meanwhile is told.
    fn is_back(&mut self, now: Millis, host: &HostId) -> Option<(SocketAddr, Message)> {
        let before = self.hub().cloned();
        self.silent.remove(host)?;
        let before = before.filter(|b| self.hub() != Some(b))?;
        let message = Message {
            leaves: true,
            ..self.message(now, Body::Digest(Vec::new()))
        };
        Some((before.addr, message))
    }

    /// The answer to the digest of a host that this one serves.
    fn others(&mut self, now: Millis, host: &HostId, digest: u64) -> Message {
        self.expire(now);
        let sums = self.sums(host);
        let usage: Vec<Usage> = sums.usage.iter().map(|(_, u)| *u).collect();
        let ranks = usage.iter().map(|u| self.rank(host, u.service)).collect();
        let body = Body::Others {
            digest,
            hosts: sums.hosts.saturating_add(1),
            usage,
            ranks,
        };
        self.message(now, body)
    }

    /// This host found a server to be gone.
    pub fn lost(&mut self, now: Millis, server: u32) {
        self.lost.retain(|(s, _)| *s != server);
        self.lost.push((server, now));
        self.has_lost = true;
    }

    /// Notes the lost servers that another host tells of; returns whether there are new ones.
    fn relay(&mut self, now: Millis, lost: &[Lost]) -> bool {
        let mut is_new = false;
        for one in lost {
            if self.lost.iter().all(|(server, _)| *server != one.server) {
                self.lost(now - Millis(u64::from(one.age)), one.server);
                is_new = true;
            }
        }
        is_new
    }

    /// The sums of one service over the other hosts that are heard of; `None` while it is not known
    /// which hosts there are.
    pub fn shared(&self, now: Millis, service: u32) -> Option<Shared> {
        if !self.is_listed {
            return None;
        }
        let known = 1 + self.listed.len() as u64;
        let is_waiting = self
            .told
            .iter()
            .any(|u| u.service == service && u.waiting > 0);
        let (hosts, usage, rank) = if self.is_hub() {
            let sums = self.sums(&self.host);
            let usage = sums.usage.get(&service).copied();
            (
                sums.hosts.saturating_add(1),
                usage,
                self.rank(&self.host, service),
            )
        } else {
            let Some(answer) = self.fresh(now) else {
                return Some(Shared {
                    heard: 1,
                    known,
                    ..Shared::default()
                });
            };
            let at = answer.usage.iter().position(|u| u.service == service);
            let rank = at.and_then(|i| answer.ranks.get(i)).copied();
            (answer.hosts, at.map(|i| answer.usage[i]), rank.unwrap_or(0))
        };
        let usage = usage.unwrap_or_default();
        let heard = u64::from(hosts);
        Some(Shared {
            heard,
            known: known.max(heard),
            requests: usage.requests.map(u64::from),
            repeats: u64::from(usage.repeats),
            waiting: u64::from(usage.waiting) + u64::from(is_waiting),
            rank: is_waiting.then_some(u64::from(rank)),
        })
    }

    /// The sums over all hosts that are heard of, but for one.
    fn sums(&self, but: &HostId) -> Sums {
        let mut sums = self.served(Some(but));
        for (_, told) in self.hubs.iter() {
            sums.add(told);
        }
        sums
    }

    /// The sums over this host and those that it serves, but for one.
    fn served(&self, but: Option<&HostId>) -> Sums {
        let mut sums = Sums::default();
        // A host that another one serves is counted there.
        if but != Some(&self.host) && self.is_hub() {
            sums.add_usage(1, &self.told);
        }
        for (host, told) in self.members.iter() {
            if but != Some(host) {
                sums.add(told);
            }
        }
        sums
    }

    /// The hosts with waiting requests that come before `host`: those of data centres before this one,
    /// and those before it among the served ones.
    fn rank(&self, host: &HostId, service: u32) -> u32 {
        let waiting = |usage: &[Usage]| {
            let of_service = usage.iter().filter(|u| u.service == service);
            of_service.fold(0, |sum: u32, u| sum.saturating_add(u.waiting))
        };
        let hubs = self.hubs.iter().filter(|(h, _)| **h < self.host);
        let rank = hubs.fold(0, |sum: u32, (_, t)| sum.saturating_add(waiting(&t.usage)));
        let served = self.members.iter().filter(|(h, _)| *h < host);
        let rank = served.fold(rank, |sum, (_, t)| sum.saturating_add(waiting(&t.usage)));
        if self.host < *host && self.is_hub() {
            rank.saturating_add(waiting(&self.told))
        } else {
            rank
        }
    }

    fn expire(&mut self, now: Millis) {
        let is_fresh = |_: &HostId, t: &mut Told| now.since(t.at) < FRESH;
        self.members.retain(is_fresh);
        self.hubs.retain(is_fresh);
    }
}

impl Sums {
    fn add(&mut self, told: &Told) {
        self.add_usage(told.hosts, &told.usage);
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
            sum.repeats = sum.repeats.saturating_add(one.repeats);
            sum.waiting = sum.waiting.saturating_add(one.waiting);
        }
    }
}

/// The order in which the hosts of a data centre are taken as its hub.
fn order<'a>(data_centre: &'a DataCentre, host: &'a HostId) -> (&'a DataCentre, u64, &'a HostId) {
    let weight = rendezvous(data_centre.as_str(), host.as_str());
    (data_centre, weight, host)
}

fn to_each(addrs: Vec<SocketAddr>, message: &Message) -> Vec<(SocketAddr, Message)> {
    let messages = addrs.into_iter().map(|a| (a, message.clone()));
    messages.collect()
}

/// Whether the other hubs are to be told at once that a host's use has changed.
fn is_news(before: &[Usage], usage: &[Usage]) -> bool {
    let key = |u: &Usage| (u.service, u.repeats, u.waiting);
    !before.iter().map(key).eq(usage.iter().map(key))
}

/// Keeps what a host told, unless it is older than what is held; returns whether it was kept.
fn put(all: &mut Sorted<HostId, Told>, host: &HostId, told: Told) -> bool {
    let is_old = |held: &Told| held.incarnation == told.incarnation && told.seq <= held.seq;
    if all.get(host).is_some_and(is_old) {
        return false;
    }
    all.insert(host.clone(), told);
    true
}
