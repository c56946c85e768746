//! The view that an agent has of all hosts and backend servers, and the heartbeats that spread it.
//!
//! Agents of one data centre exchange heartbeats with each other; each also exchanges them with one partner
//! in each of a few other data centres, which reports on all members there.

use std::net::SocketAddr;

use base::hash::rendezvous;
use base::prelude::*;
use base::sorted::Sorted;
use serde::Serialize;

use crate::backends::{Backend, Changed, Report};
use crate::heartbeat::{Heartbeat, HostUpdate};
use crate::hosts::{Host, Observed, Status};
use crate::listed::{ListedBackend, ListedHost, Place};
use crate::own::OwnHost;
use crate::policy::{Policy, scaled};

/// Maximum number of other data centres with which an agent exchanges heartbeats.
const MAX_PARTNERS: usize = 3;

/// Heartbeats to other data centres and to dead hosts are sent once in this many periods.
const SLOW_FACTOR: u64 = 6;

/// An I/O operation for the caller of [`Members::tick`] to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a heartbeat and apply the answer by [`Members::receive`].
    Heartbeat {
        /// The receiving host.
        host: HostId,
        /// Address on which its agent accepts peer calls.
        addr: SocketAddr,
    },
    /// Poll a backend server and apply the answer by [`Members::apply_poll_result`].
    Poll {
        /// The backend server to poll.
        backend: BackendId,
        /// Address on which it accepts polls.
        addr: SocketAddr,
    },
}

/// All hosts and backend servers.
#[derive(Clone, Debug, Serialize)]
pub struct Members {
    #[serde(skip)]
    policy: Policy,
    own: OwnHost,
    hosts: Sorted<HostId, Host>,
    backends: Sorted<BackendId, Backend>,
    /// The hosts with which heartbeats to other data centres are exchanged, one per data centre.
    partners: Vec<HostId>,
    /// The live hosts of the data centre, sorted, among which the polling of its servers is divided.
    #[serde(rename = "sharing")]
    polling_hosts: Vec<HostId>,
    /// The last sequence number issued, to a heartbeat or to a change.
    #[serde(rename = "count")]
    last_seq: u64,
    /// Sequence number of the last change that routers are notified of.
    revision: u64,
}

impl Members {
    /// A view of this agent's own host only.
    pub fn new(own: OwnHost, policy: Policy) -> Self {
        let sharing = vec![own.host.clone()];
        Self {
            policy,
            own,
            hosts: Sorted::default(),
            backends: Sorted::default(),
            partners: Vec::new(),
            polling_hosts: sharing,
            last_seq: 0,
            revision: 0,
        }
    }

    /// The host that this agent runs on.
    pub fn own(&self) -> &OwnHost {
        &self.own
    }

    /// The other hosts in order of name.
    pub fn hosts(&self) -> impl Iterator<Item = (&HostId, &Host)> {
        self.hosts.iter()
    }

    /// The backend servers in order of name.
    pub fn backends(&self) -> impl Iterator<Item = (&BackendId, &Backend)> {
        self.backends.iter()
    }

    /// Sequence number of the last change that routers are notified of.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Marks this host as leaving for the rest of this incarnation, so that it gets no new work.
    pub fn leave(&mut self) {
        if !self.own.lifecycle.leaving {
            self.own.lifecycle.leaving = true;
            self.record_change();
            self.expedite_heartbeats(true);
        }
    }

    /// Applies the host list; both slices must be sorted by name.
    pub fn apply_host_list(
        &mut self,
        now: Millis,
        hosts: &[ListedHost],
        backends: &[ListedBackend],
    ) {
        for listed in hosts {
            self.apply_listed_host(now, listed);
        }
        let here = self.own.place.data_centre.clone();
        let count = self.hosts.len();
        self.hosts.retain(|id, host| {
            host.is_listed = hosts.binary_search_by(|l| l.host.cmp(id)).is_ok();
            // A host that sends heartbeats exists even if the lagging list lacks it.
            let is_responding = !matches!(host.status, Status::Unknown | Status::Dead);
            host.is_listed || (is_responding && host.place.data_centre == here)
        });
        if self.hosts.len() != count {
            self.record_change();
        }
        for listed in backends {
            self.apply_listed_backend(now, listed);
        }
        let is_listed = |id: &BackendId| backends.binary_search_by(|l| l.backend.cmp(id)).is_ok();
        let count = self.backends.len();
        self.backends.retain(|id, _| is_listed(id));
        if self.backends.len() != count {
            self.record_change();
        }
    }

    /// Applies timeouts, chooses partners and watchers, and appends the heartbeats and polls due to `out`.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.refresh(now);
        self.choose_partners();
        self.share_polling();
        self.heartbeats_due(now, out);
        self.polls_due(now, out);
    }

    /// Applies the timeouts of peers and of claims on backend servers.
    ///
    /// Must be called before the view is read, as this process may have been paused.
    pub fn refresh(&mut self, now: Millis) {
        let policy = self.policy;
        let here = self.own.place.data_centre.clone();
        let (near, far) = (self.period(true), self.period(false));
        let mut changed = Vec::new();
        for (id, host) in self.hosts.iter_mut() {
            let is_near = host.place.data_centre == here;
            // In other data centres only partners exchange heartbeats with this agent.
            if !is_near && !self.partners.contains(id) {
                continue;
            }
            let before = host.is_usable();
            host.apply_timeouts(now, &policy, if is_near { near } else { far });
            if host.is_usable() != before {
                changed.push(id.clone());
            }
        }
        for id in changed {
            self.record_host_change(&id);
        }
        // Expires the claims on backend servers that were not confirmed for long.
        let limit = policy.claim_ttl.max(policy.dead_after(far));
        self.update_backends(|b| b.expire_claims(now, limit));
    }

    /// The next heartbeat for a peer, as request or as answer.
    pub fn heartbeat(&mut self, now: Millis, to: &HostId) -> Heartbeat {
        self.last_seq += 1;
        let peer = self.hosts.get(to);
        let acked = peer.map_or(0, |p| p.acked_seq);
        let is_far = peer.is_some_and(|p| !self.is_near(&p.place));
        let mut heartbeat = Heartbeat {
            host: self.own.host.clone(),
            incarnation: self.own.incarnation(),
            seq: self.last_seq,
            peer_incarnation: peer
                .and_then(|p| p.lifecycle.incarnation)
                .unwrap_or_default(),
            echo: peer.map_or(0, |p| p.received_seq),
            is_full: acked == 0,
            leaving: self.own.lifecycle.leaving,
            place: (acked == 0 && self.own.place_confirmed).then(|| self.own.place.clone()),
            ..Heartbeat::default()
        };
        heartbeat.hosts = self.host_updates(to, acked, is_far);
        for backend in self.backends.iter().map(|(_, b)| b) {
            self.add_backend_update(now, backend, acked, is_far, &mut heartbeat);
        }
        heartbeat
    }

    /// Applies a received heartbeat, be it a request or an answer.
    pub fn receive(&mut self, now: Millis, heartbeat: Heartbeat) {
        if heartbeat.host == self.own.host {
            return;
        }
        if self.hosts.get(&heartbeat.host).is_none() {
            let Some(place) = heartbeat.place.clone() else {
                return;
            };
            self.hosts
                .insert(heartbeat.host.clone(), Host::new(now, place));
            self.record_change();
        }
        let policy = self.policy;
        let place = self.hosts.get(&heartbeat.host).map(|h| h.place.clone());
        let is_near = place.is_none_or(|p| self.is_near(&p));
        let period = self.period(is_near);
        let has_timeout = is_near || self.partners.contains(&heartbeat.host);
        let (own, sent) = (self.own.incarnation(), self.last_seq);
        let Some(host) = self.hosts.get_mut(&heartbeat.host) else {
            return;
        };
        let before = host.update(&heartbeat.host);
        if has_timeout {
            host.apply_timeouts(now, &policy, period);
        }
        let observed = host.lifecycle.observe(now, heartbeat.incarnation);
        match observed {
            Observed::Past => return,
            Observed::New => host.reset(),
            Observed::Same => {}
        }
        // An echo to a past incarnation of this agent acknowledges nothing of the current one.
        let echo = if heartbeat.peer_incarnation == own {
            heartbeat.echo
        } else {
            0
        };
        host.receive(now, &heartbeat, echo);
        // The status of the other hosts of another data centre is reported by the partner there.
        if has_timeout || host.status == Status::Unknown {
            host.update_status(echo, sent);
        }
        host.lifecycle.leaving |= heartbeat.leaving;
        if let Some(place) = &heartbeat.place {
            host.place = place.clone();
        }
        if host.update(&heartbeat.host) != before {
            self.record_host_change(&heartbeat.host);
        }
        if observed == Observed::New {
            // A new incarnation sends a full snapshot.
            self.update_backends(|b| b.drop_claim(now, &heartbeat.host));
        }
        self.apply_updates(now, heartbeat);
    }

    /// Applies the result of a poll by this agent; `None` if there was no answer.
    pub fn apply_poll_result(&mut self, now: Millis, backend: &BackendId, report: Option<Report>) {
        let Some(known) = self.backends.get_mut(backend) else {
            return;
        };
        let was_leaving = known.lifecycle.leaving;
        let changed = match report {
            Some(report) => known.poll_answered(now, &self.own.host, report),
            None => known.poll_missed(now, &self.own.host, self.policy.dead_polls),
        };
        if known.lifecycle.leaving && !was_leaving {
            self.expedite_heartbeats(true);
        }
        self.record_backend_change(backend, changed);
    }

    fn apply_listed_host(&mut self, now: Millis, listed: &ListedHost) {
        if listed.host == self.own.host {
            self.own.place.router = listed.place.router;
            self.own.place_confirmed = true;
            let before = self.own.lifecycle.leaving;
            let lag = self.policy.list_lag;
            self.own.lifecycle.apply_listed(now, listed.leaving, lag);
            if self.own.lifecycle.leaving != before {
                self.record_change();
                self.expedite_heartbeats(true);
            }
            return;
        }
        let lag = self.policy.list_lag;
        let is_new = self.hosts.get(&listed.host).is_none();
        let place = &listed.place;
        let host = self
            .hosts
            .entry(listed.host.clone(), || Host::new(now, place.clone()));
        let before = host.lifecycle.is_leaving();
        host.lifecycle.apply_listed(now, listed.leaving, lag);
        if host.status == Status::Unknown {
            host.place = place.clone();
        }
        if is_new || host.lifecycle.is_leaving() != before {
            self.record_host_change(&listed.host);
        }
    }

    fn apply_listed_backend(&mut self, now: Millis, listed: &ListedBackend) {
        let lag = self.policy.list_lag;
        let is_new = self.backends.get(&listed.backend).is_none();
        let backend = self
            .backends
            .entry(listed.backend.clone(), || Backend::new(now, listed.clone()));
        let before = backend.lifecycle.is_leaving();
        backend.lifecycle.apply_listed(now, listed.leaving, lag);
        backend.listed = listed.clone();
        let state = is_new || backend.lifecycle.is_leaving() != before;
        let starts_leaving = backend.lifecycle.is_leaving() && !before;
        let is_near = listed.data_centre == self.own.place.data_centre;
        if is_new && is_near {
            backend.assign_watchers(&self.polling_hosts);
        }
        if starts_leaving && is_near {
            self.expedite_heartbeats(true);
        }
        self.record_backend_change(&listed.backend, Changed { state, load: false });
    }

    /// Reassigns the watchers of backend servers if the live hosts of the data centre have changed.
    fn share_polling(&mut self) {
        let is_sharing =
            |h: &Host| h.is_usable() && !h.lifecycle.is_leaving() && self.is_near(&h.place);
        let mut sharing: Vec<HostId> = self
            .hosts
            .iter()
            .filter(|(_, h)| is_sharing(h))
            .map(|(id, _)| id.clone())
            .collect();
        if !self.own.lifecycle.leaving || sharing.is_empty() {
            sharing.push(self.own.host.clone());
        }
        sharing.sort();
        if sharing == self.polling_hosts {
            return;
        }
        self.polling_hosts = sharing;
        let here = &self.own.place.data_centre;
        let count = &mut self.last_seq;
        for (_, backend) in self.backends.iter_mut() {
            if backend.listed.data_centre == *here && backend.assign_watchers(&self.polling_hosts) {
                // A new watcher has not sent its claim to any agent yet.
                *count += 1;
                backend.last_change = *count;
                backend.load_change = *count;
            }
        }
    }

    /// Adds the heartbeats that are due.
    ///
    /// Of two hosts that receive each other's heartbeats only the one lower by name sends requests, as the
    /// answer is a heartbeat too.
    fn heartbeats_due(&mut self, now: Millis, out: &mut Vec<Action>) {
        let period = self.period(true);
        let here = self.own.place.data_centre.clone();
        let suspect = self.policy.suspect_after(period);
        for (id, host) in self.hosts.iter_mut() {
            let is_near = host.place.data_centre == here;
            if !is_near && !host.is_due && !self.partners.contains(id) {
                continue;
            }
            let is_current = host.status == Status::Alive && now.since(host.last_report) < suspect;
            if is_near && is_current && *id < self.own.host && !host.is_due {
                continue;
            }
            let is_slow = !is_near || host.status == Status::Dead;
            let wait = if is_slow {
                scaled(period, SLOW_FACTOR)
            } else {
                period
            };
            if !host.is_due && host.last_sent.is_some_and(|at| now.since(at) < wait) {
                continue;
            }
            host.is_due = false;
            host.last_sent = Some(now);
            out.push(Action::Heartbeat {
                host: id.clone(),
                addr: host.place.agent,
            });
        }
    }

    /// Adds the polls by this agent that are due.
    fn polls_due(&mut self, now: Millis, out: &mut Vec<Action>) {
        let own = &self.own.host;
        let is_watched = |b: &Backend| b.watchers.contains(own);
        let watched = self.backends.iter().filter(|(_, b)| is_watched(b)).count();
        let period = self.policy.poll_period(watched);
        for (id, backend) in self.backends.iter_mut() {
            let is_due = backend.last_poll.is_none_or(|at| now.since(at) >= period);
            if !is_watched(backend) || !is_due {
                continue;
            }
            backend.last_poll = Some(now);
            out.push(Action::Poll {
                backend: id.clone(),
                addr: backend.listed.addr,
            });
        }
    }

    /// Chooses the partners: one host in each of up to [`MAX_PARTNERS`] other data centres.
    fn choose_partners(&mut self) {
        let partners = self.preferred_partners();
        for id in &partners {
            let is_new = !self.partners.contains(id);
            if let Some(host) = self.hosts.get_mut(id).filter(|_| is_new) {
                // The previous partner's updates are no longer followed, so a full snapshot is requested.
                host.resync();
            }
        }
        self.partners = partners;
    }

    fn preferred_partners(&self) -> Vec<HostId> {
        let here = &self.own.place.data_centre;
        let mut centres: Vec<(u64, &DataCentre)> = self
            .hosts
            .iter()
            .filter(|(_, h)| !self.is_near(&h.place))
            .map(|(_, h)| &h.place.data_centre)
            .map(|c| (rendezvous(here.as_str(), c.as_str()), c))
            .collect();
        centres.sort_unstable_by(|a, b| b.cmp(a));
        centres.dedup();
        centres.truncate(MAX_PARTNERS);
        let partner = |centre: &DataCentre| {
            let in_centre = self
                .hosts
                .iter()
                .filter(|(_, h)| h.place.data_centre == *centre);
            let preferred = |(id, h): &(&HostId, &Host)| {
                let is_dead = h.status == Status::Dead || h.lifecycle.is_leaving();
                // If all are dead or leaving, they are tried in turn, as one may be back.
                let turn = is_dead.then_some(std::cmp::Reverse(h.last_sent));
                let weight = rendezvous(self.own.host.as_str(), id.as_str());
                (!is_dead, turn, weight)
            };
            in_centre.max_by_key(preferred).map(|(id, _)| id.clone())
        };
        centres.iter().filter_map(|(_, c)| partner(c)).collect()
    }

    /// The host updates for a peer that has acknowledged up to `acked`: on all hosts of this data centre if
    /// the peer is in another one, else on its leaving hosts only.
    fn host_updates(&self, to: &HostId, acked: u64, is_far: bool) -> Vec<HostUpdate> {
        let is_included = |(id, h): &(&HostId, &Host)| {
            let is_relevant = is_far || h.lifecycle.leaving;
            *id != to && h.last_change > acked && is_relevant && self.is_near(&h.place)
        };
        let included = self.hosts.iter().filter(is_included);
        included.map(|(id, h)| h.update(id)).collect()
    }

    /// Adds the update on a backend server of this data centre to a heartbeat for a peer.
    ///
    /// A peer of this data centre gets the own claim of each watcher and the load from the first one; a peer
    /// of another data centre gets the merged view.
    fn add_backend_update(
        &self,
        now: Millis,
        known: &Backend,
        acked: u64,
        is_far: bool,
        heartbeat: &mut Heartbeat,
    ) {
        if known.listed.data_centre != self.own.place.data_centre {
            return;
        }
        let rank = known.watchers.iter().position(|w| *w == self.own.host);
        if known.last_change > acked && is_far {
            heartbeat.backends.extend(known.merged_update());
        } else if known.last_change > acked && rank.is_some() {
            heartbeat.backends.extend(known.own_update(&self.own.host));
        }
        if known.load_change > acked && (is_far || rank == Some(0)) {
            heartbeat.loads.extend(known.load_update(now));
        }
    }

    /// Applies the updates on other hosts and on backend servers in a heartbeat.
    fn apply_updates(&mut self, now: Millis, heartbeat: Heartbeat) {
        let is_partner = self.partners.contains(&heartbeat.host);
        for update in heartbeat.hosts {
            self.apply_host_update(now, update, is_partner);
        }
        let from = &heartbeat.host;
        for update in heartbeat.backends {
            let id = update.backend.clone();
            let Some(backend) = self.backends.get_mut(&id) else {
                continue;
            };
            let was_leaving = backend.lifecycle.leaving;
            let is_near = backend.listed.data_centre == self.own.place.data_centre;
            let changed = backend.apply_update(now, from, update);
            let starts_leaving = backend.lifecycle.leaving && !was_leaving;
            self.record_backend_change(&id, changed);
            if starts_leaving && is_near {
                self.expedite_heartbeats(false);
            }
        }
        for update in &heartbeat.loads {
            let found = self.backends.get_mut(&update.backend);
            let changed = found.map(|b| b.apply_load(now, from, update));
            self.record_backend_change(&update.backend, changed.unwrap_or_default());
        }
        // What the heartbeat leaves out is unchanged since the sender last reported it.
        let here = self.own.place.data_centre.clone();
        self.update_backends(|b| {
            // Not for servers of this data centre that the sender does not poll: it sends no updates on them.
            if b.listed.data_centre != here || b.watchers.contains(from) {
                b.confirm(now, from)
            } else {
                Changed::default()
            }
        });
    }

    /// Applies an update on a host. Its status counts only for a host of another data centre, and only from
    /// the partner there.
    fn apply_host_update(&mut self, now: Millis, update: HostUpdate, is_partner: bool) {
        if update.host == self.own.host {
            if update.leaving && update.incarnation == Some(self.own.incarnation()) {
                self.leave();
            }
            return;
        }
        let here = self.own.place.data_centre.clone();
        let Some(host) = self.hosts.get_mut(&update.host) else {
            return;
        };
        let before = host.update(&update.host);
        let is_included = host.place.data_centre != here && is_partner;
        let is_other = is_included && host.apply_report(now, &update);
        if host.lifecycle.incarnation == update.incarnation {
            host.lifecycle.leaving |= update.leaving;
        }
        if host.update(&update.host) != before {
            self.record_host_change(&update.host);
        }
        if is_other {
            self.update_backends(|b| b.drop_claim(now, &update.host));
        }
    }

    fn is_near(&self, place: &Place) -> bool {
        place.data_centre == self.own.place.data_centre
    }

    /// The heartbeat period to a host of this data centre, or to one of another.
    fn period(&self, is_near: bool) -> Millis {
        let near = self.hosts.iter().filter(|(_, h)| self.is_near(&h.place));
        let period = self.policy.heartbeat_period(near.count());
        if is_near {
            period
        } else {
            scaled(period, SLOW_FACTOR)
        }
    }

    /// Makes the next heartbeats due now, as a host or a server is leaving and must get no new work.
    ///
    /// `is_local` means that this agent observed it itself. If another agent of the data centre reported it,
    /// only peers of other data centres are sent heartbeats, since that agent informs its own data centre.
    fn expedite_heartbeats(&mut self, is_local: bool) {
        let here = self.own.place.data_centre.clone();
        for (_, host) in self.hosts.iter_mut() {
            let is_near = host.place.data_centre == here;
            let is_included = if is_near {
                is_local
            } else {
                host.is_exchanging
            };
            host.is_due |= is_included && host.status != Status::Dead;
        }
    }

    /// Assigns a sequence number to a change that routers are notified of.
    fn record_change(&mut self) {
        self.last_seq += 1;
        self.revision = self.last_seq;
    }

    fn record_host_change(&mut self, id: &HostId) {
        self.record_change();
        if let Some(host) = self.hosts.get_mut(id) {
            host.last_change = self.last_seq;
        }
    }

    /// Applies `change` to every backend server and records what has changed.
    fn update_backends(&mut self, mut change: impl FnMut(&mut Backend) -> Changed) {
        let mut changes = Vec::new();
        for (id, backend) in self.backends.iter_mut() {
            let changed = change(backend);
            if changed != Changed::default() {
                changes.push((id.clone(), changed));
            }
        }
        for (id, changed) in changes {
            self.record_backend_change(&id, changed);
        }
    }

    fn record_backend_change(&mut self, id: &BackendId, changed: Changed) {
        if !changed.state && !changed.load {
            return;
        }
        self.record_change();
        if let Some(backend) = self.backends.get_mut(id) {
            if changed.state {
                backend.last_change = self.last_seq;
            }
            if changed.load {
                backend.load_change = self.last_seq;
            }
        }
    }
}
