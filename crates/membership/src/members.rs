//! All that an agent believes of hosts and backend servers, and what it tells its peers.

use std::net::SocketAddr;

use base::hash::rendezvous;
use base::prelude::*;
use base::sorted::Sorted;
use serde::Serialize;

use crate::backends::{Backend, Changed, Report};
use crate::beat::{Beat, HostNote};
use crate::hosts::{Host, Seen, Standing};
use crate::listed::{ListedBackend, ListedHost, Place};
use crate::own::Own;
use crate::policy::{Policy, times};

/// With how many other data centres an agent exchanges beats.
const FAR_CENTRES: usize = 3;

/// Beats to another data centre and to dead hosts go out once in so many periods.
const SLOW: u64 = 6;

/// What the agent has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a beat and take in the answer.
    Beat {
        /// The host.
        host: HostId,
        /// Where its agent takes calls.
        addr: SocketAddr,
    },
    /// Ask a backend server for its load and take in the answer.
    Poll {
        /// The backend server.
        backend: BackendId,
        /// Where it is.
        addr: SocketAddr,
    },
}

/// All members.
#[derive(Clone, Debug, Serialize)]
pub struct Members {
    #[serde(skip)]
    policy: Policy,
    own: Own,
    hosts: Sorted<HostId, Host>,
    backends: Sorted<BackendId, Backend>,
    /// The hosts of other data centres that speak for these.
    partners: Vec<HostId>,
    /// The live hosts of the data centre among which the watching is shared.
    sharing: Vec<HostId>,
    /// The last number issued, to a beat or to a change.
    count: u64,
    /// The number of the last change that a router should hear of.
    revision: u64,
}

impl Members {
    /// Members without anybody but this agent's own host.
    pub fn new(own: Own, policy: Policy) -> Self {
        let sharing = vec![own.host.clone()];
        Self {
            policy,
            own,
            hosts: Sorted::default(),
            backends: Sorted::default(),
            partners: Vec::new(),
            sharing,
            count: 0,
            revision: 0,
        }
    }

    /// The host of this agent.
    pub fn own(&self) -> &Own {
        &self.own
    }

    /// The other hosts.
    pub fn hosts(&self) -> impl Iterator<Item = (&HostId, &Host)> {
        self.hosts.iter()
    }

    /// The backend servers.
    pub fn backends(&self) -> impl Iterator<Item = (&BackendId, &Backend)> {
        self.backends.iter()
    }

    /// The number of the last change that a router should hear of.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes no new work on this host from now on, for the rest of this life.
    pub fn leave(&mut self) {
        if !self.own.life.leaving {
            self.own.life.leaving = true;
            self.touch();
            self.hurry(true);
        }
    }

    /// Takes in the host list; both parts are sorted by name.
    pub fn listed(&mut self, now: Millis, hosts: &[ListedHost], backends: &[ListedBackend]) {
        for listed in hosts {
            self.list_host(now, listed);
        }
        let here = self.own.place.data_centre.clone();
        let count = self.hosts.len();
        self.hosts.retain(|id, host| {
            host.is_listed = hosts.binary_search_by(|l| l.host.cmp(id)).is_ok();
            // A host that beats is there, whatever the lagging list says.
            let is_heard = !matches!(host.standing, Standing::Unknown | Standing::Dead);
            host.is_listed || (is_heard && host.place.data_centre == here)
        });
        if self.hosts.len() != count {
            self.touch();
        }
        for listed in backends {
            self.list_backend(now, listed);
        }
        let is_listed = |id: &BackendId| backends.binary_search_by(|l| l.backend.cmp(id)).is_ok();
        let count = self.backends.len();
        self.backends.retain(|id, _| is_listed(id));
        if self.backends.len() != count {
            self.touch();
        }
    }

    /// Judges silences and says what is due.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.refresh(now);
        self.choose_partners();
        self.share();
        self.beats_due(now, out);
        self.polls_due(now, out);
    }

    /// Judges the silence of the peers, and of those who spoke for backend servers.
    ///
    /// Needed before anything is read out, as this process may have been paused.
    pub fn refresh(&mut self, now: Millis) {
        let policy = self.policy;
        let here = self.own.place.data_centre.clone();
        let (near, far) = (self.period(true), self.period(false));
        let mut fallen = Vec::new();
        for (id, host) in self.hosts.iter_mut() {
            let is_near = host.place.data_centre == here;
            // Other hosts of other data centres exchange no beats with this agent.
            if !is_near && !self.partners.contains(id) {
                continue;
            }
            let before = host.is_usable();
            host.judge(now, &policy, if is_near { near } else { far });
            if host.is_usable() != before {
                fallen.push(id.clone());
            }
        }
        for id in fallen {
            self.touch_host(&id);
        }
        // Gives up backend servers of which nobody has spoken for long.
        let limit = policy.stale.max(policy.dead_after(far));
        self.each_backend(|b| b.expire(now, limit));
    }

    /// The beat for a peer, as question or as answer.
    pub fn beat(&mut self, now: Millis, to: &HostId) -> Beat {
        self.count += 1;
        let peer = self.hosts.get(to);
        let acked = peer.map_or(0, |p| p.acked);
        let is_far = peer.is_some_and(|p| !self.is_near(&p.place));
        let mut beat = Beat {
            host: self.own.host.clone(),
            incarnation: self.own.incarnation(),
            seq: self.count,
            to: peer.and_then(|p| p.life.incarnation).unwrap_or_default(),
            echo: peer.map_or(0, |p| p.seen),
            whole: acked == 0,
            leaving: self.own.life.leaving,
            place: (acked == 0 && self.own.is_placed).then(|| self.own.place.clone()),
            ..Beat::default()
        };
        beat.hosts = self.host_notes(to, acked, is_far);
        for backend in self.backends.iter().map(|(_, b)| b) {
            self.add_backend(now, backend, acked, is_far, &mut beat);
        }
        beat
    }

    /// Takes in a beat, be it a question or an answer.
    pub fn heard(&mut self, now: Millis, beat: Beat) {
        if beat.host == self.own.host {
            return;
        }
        if self.hosts.get(&beat.host).is_none() {
            let Some(place) = beat.place.clone() else {
                return;
            };
            self.hosts.insert(beat.host.clone(), Host::new(now, place));
            self.touch();
        }
        let policy = self.policy;
        let place = self.hosts.get(&beat.host).map(|h| h.place.clone());
        let is_near = place.is_none_or(|p| self.is_near(&p));
        let period = self.period(is_near);
        let is_judged = is_near || self.partners.contains(&beat.host);
        let (own, sent) = (self.own.incarnation(), self.count);
        let Some(host) = self.hosts.get_mut(&beat.host) else {
            return;
        };
        let before = host.note(&beat.host);
        if is_judged {
            host.judge(now, &policy, period);
        }
        let seen = host.life.see(now, beat.incarnation);
        match seen {
            Seen::Past => return,
            Seen::New => host.reset(),
            Seen::Same => {}
        }
        // Numbers of an earlier life of this agent say nothing of this one.
        let echo = if beat.to == own { beat.echo } else { 0 };
        host.hear(now, &beat, echo);
        // Of the other hosts of another data centre the partner there tells.
        if is_judged || host.standing == Standing::Unknown {
            host.trust(echo, sent);
        }
        host.life.leaving |= beat.leaving;
        if let Some(place) = &beat.place {
            host.place = place.clone();
        }
        if host.note(&beat.host) != before {
            self.touch_host(&beat.host);
        }
        if seen == Seen::New {
            // The new life begins to tell from the start.
            self.each_backend(|b| b.forget(now, &beat.host));
        }
        self.take_notes(now, beat);
    }

    /// Takes in the answer of a backend server, or its lack.
    pub fn polled(&mut self, now: Millis, backend: &BackendId, report: Option<Report>) {
        let Some(known) = self.backends.get_mut(backend) else {
            return;
        };
        let was_leaving = known.life.leaving;
        let changed = match report {
            Some(report) => known.answered(now, &self.own.host, report),
            None => known.missed(now, &self.own.host, self.policy.dead_polls),
        };
        if known.life.leaving && !was_leaving {
            self.hurry(true);
        }
        self.touch_backend(backend, changed);
    }

    fn list_host(&mut self, now: Millis, listed: &ListedHost) {
        if listed.host == self.own.host {
            self.own.place.router = listed.place.router;
            self.own.is_placed = true;
            let before = self.own.life.leaving;
            let lag = self.policy.list_lag;
            self.own.life.list(now, listed.leaving, lag);
            if self.own.life.leaving != before {
                self.touch();
                self.hurry(true);
            }
            return;
        }
        let lag = self.policy.list_lag;
        let is_new = self.hosts.get(&listed.host).is_none();
        let place = &listed.place;
        let host = self
            .hosts
            .entry(listed.host.clone(), || Host::new(now, place.clone()));
        let before = host.life.is_leaving();
        host.life.list(now, listed.leaving, lag);
        if host.standing == Standing::Unknown {
            host.place = place.clone();
        }
        if is_new || host.life.is_leaving() != before {
            self.touch_host(&listed.host);
        }
    }

    fn list_backend(&mut self, now: Millis, listed: &ListedBackend) {
        let lag = self.policy.list_lag;
        let is_new = self.backends.get(&listed.backend).is_none();
        let backend = self
            .backends
            .entry(listed.backend.clone(), || Backend::new(now, listed.clone()));
        let before = backend.life.is_leaving();
        backend.life.list(now, listed.leaving, lag);
        backend.listed = listed.clone();
        let state = is_new || backend.life.is_leaving() != before;
        let has_left = backend.life.is_leaving() && !before;
        let is_near = listed.data_centre == self.own.place.data_centre;
        if is_new && is_near {
            backend.assign(&self.sharing);
        }
        if has_left && is_near {
            self.hurry(true);
        }
        self.touch_backend(&listed.backend, Changed { state, load: false });
    }

    /// Shares the watching anew if the live hosts of the data centre have changed.
    fn share(&mut self) {
        let is_sharing = |h: &Host| h.is_usable() && !h.life.is_leaving() && self.is_near(&h.place);
        let mut sharing: Vec<HostId> = self
            .hosts
            .iter()
            .filter(|(_, h)| is_sharing(h))
            .map(|(id, _)| id.clone())
            .collect();
        if !self.own.life.leaving || sharing.is_empty() {
            sharing.push(self.own.host.clone());
        }
        sharing.sort();
        if sharing == self.sharing {
            return;
        }
        self.sharing = sharing;
        let here = &self.own.place.data_centre;
        let count = &mut self.count;
        for (_, backend) in self.backends.iter_mut() {
            if backend.listed.data_centre == *here && backend.assign(&self.sharing) {
                // A new watcher has told nobody yet.
                *count += 1;
                backend.changed = *count;
                backend.load_changed = *count;
            }
        }
    }

    /// Beats that are due.
    ///
    /// Of two hosts that hear each other the one lower by name asks, as the answer is a beat too.
    fn beats_due(&mut self, now: Millis, out: &mut Vec<Action>) {
        let period = self.period(true);
        let here = self.own.place.data_centre.clone();
        let suspect = self.policy.suspect_after(period);
        for (id, host) in self.hosts.iter_mut() {
            let is_near = host.place.data_centre == here;
            if !is_near && !host.is_due && !self.partners.contains(id) {
                continue;
            }
            let hears = host.standing == Standing::Alive && now.since(host.heard) < suspect;
            if is_near && hears && *id < self.own.host && !host.is_due {
                continue;
            }
            let is_slow = !is_near || host.standing == Standing::Dead;
            let wait = if is_slow { times(period, SLOW) } else { period };
            if !host.is_due && host.beaten.is_some_and(|at| now.since(at) < wait) {
                continue;
            }
            host.is_due = false;
            host.beaten = Some(now);
            out.push(Action::Beat {
                host: id.clone(),
                addr: host.place.agent,
            });
        }
    }

    /// Backend servers that are due to be asked by this agent.
    fn polls_due(&mut self, now: Millis, out: &mut Vec<Action>) {
        let own = &self.own.host;
        let is_mine = |b: &Backend| b.watchers.contains(own);
        let watched = self.backends.iter().filter(|(_, b)| is_mine(b)).count();
        let period = self.policy.poll_period(watched);
        for (id, backend) in self.backends.iter_mut() {
            let is_due = backend.asked.is_none_or(|at| now.since(at) >= period);
            if !is_mine(backend) || !is_due {
                continue;
            }
            backend.asked = Some(now);
            out.push(Action::Poll {
                backend: id.clone(),
                addr: backend.listed.addr,
            });
        }
    }

    /// Chooses one host of each of a few other data centres.
    fn choose_partners(&mut self) {
        let partners = self.preferred_partners();
        for id in &partners {
            let is_new = !self.partners.contains(id);
            if let Some(host) = self.hosts.get_mut(id).filter(|_| is_new) {
                // What another host of that data centre has said is no longer followed.
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
        centres.truncate(FAR_CENTRES);
        let partner = |centre: &DataCentre| {
            let in_centre = self
                .hosts
                .iter()
                .filter(|(_, h)| h.place.data_centre == *centre);
            let preferred = |(id, h): &(&HostId, &Host)| {
                let is_dead = h.standing == Standing::Dead || h.life.is_leaving();
                // Dead hosts are asked in turn, as one of them may be back.
                let turn = is_dead.then_some(std::cmp::Reverse(h.beaten));
                let weight = rendezvous(self.own.host.as_str(), id.as_str());
                (!is_dead, turn, weight)
            };
            in_centre.max_by_key(preferred).map(|(id, _)| id.clone())
        };
        centres.iter().filter_map(|(_, c)| partner(c)).collect()
    }

    /// What a peer should hear of hosts: of its own data centre those that leave, else all.
    fn host_notes(&self, to: &HostId, acked: u64, is_far: bool) -> Vec<HostNote> {
        let is_told = |(id, h): &(&HostId, &Host)| {
            let matters = is_far || h.life.leaving;
            *id != to && h.changed > acked && matters && self.is_near(&h.place)
        };
        let told = self.hosts.iter().filter(is_told);
        told.map(|(id, h)| h.note(id)).collect()
    }

    /// Adds what a peer should hear of a backend server.
    fn add_backend(&self, now: Millis, known: &Backend, acked: u64, is_far: bool, beat: &mut Beat) {
        if known.listed.data_centre != self.own.place.data_centre {
            return;
        }
        let rank = known.watchers.iter().position(|w| *w == self.own.host);
        if known.changed > acked && is_far {
            beat.backends.extend(known.belief());
        } else if known.changed > acked && rank.is_some() {
            beat.backends.extend(known.note(&self.own.host));
        }
        if known.load_changed > acked && (is_far || rank == Some(0)) {
            beat.loads.extend(known.load_note(now));
        }
    }

    /// Takes in what a beat says of others.
    fn take_notes(&mut self, now: Millis, beat: Beat) {
        let is_partner = self.partners.contains(&beat.host);
        for note in beat.hosts {
            self.take_host(now, note, is_partner);
        }
        let from = &beat.host;
        for note in beat.backends {
            let id = note.backend.clone();
            let Some(backend) = self.backends.get_mut(&id) else {
                continue;
            };
            let was_leaving = backend.life.leaving;
            let is_near = backend.listed.data_centre == self.own.place.data_centre;
            let changed = backend.noted(now, from, note);
            let has_left = backend.life.leaving && !was_leaving;
            self.touch_backend(&id, changed);
            if has_left && is_near {
                self.hurry(false);
            }
        }
        for note in &beat.loads {
            let found = self.backends.get_mut(&note.backend);
            let changed = found.map(|b| b.loaded(now, from, note));
            self.touch_backend(&note.backend, changed.unwrap_or_default());
        }
        // What the sender does not mention is as it last said.
        let here = self.own.place.data_centre.clone();
        self.each_backend(|b| {
            // An agent that does not ask a backend server has no news of it to leave out.
            if b.listed.data_centre != here || b.watchers.contains(from) {
                b.confirm(now, from)
            } else {
                Changed::default()
            }
        });
    }

    /// Takes in what another agent says of a host.
    fn take_host(&mut self, now: Millis, note: HostNote, is_partner: bool) {
        if note.host == self.own.host {
            if note.leaving && note.incarnation == Some(self.own.incarnation()) {
                self.leave();
            }
            return;
        }
        let here = self.own.place.data_centre.clone();
        let Some(host) = self.hosts.get_mut(&note.host) else {
            return;
        };
        let before = host.note(&note.host);
        let is_told = host.place.data_centre != here && is_partner;
        let is_other = is_told && host.hear_say(now, &note);
        if host.life.incarnation == note.incarnation {
            host.life.leaving |= note.leaving;
        }
        if host.note(&note.host) != before {
            self.touch_host(&note.host);
        }
        if is_other {
            self.each_backend(|b| b.forget(now, &note.host));
        }
    }

    fn is_near(&self, place: &Place) -> bool {
        place.data_centre == self.own.place.data_centre
    }

    /// The time between beats to a host of this data centre, or to one of another.
    fn period(&self, is_near: bool) -> Millis {
        let near = self.hosts.iter().filter(|(_, h)| self.is_near(&h.place));
        let period = self.policy.beat_period(near.count());
        if is_near { period } else { times(period, SLOW) }
    }

    /// Has the next beats go out at once, as something leaves and others must hear of it soon.
    ///
    /// What was heard from another agent of the data centre goes to other data centres only.
    fn hurry(&mut self, is_first: bool) {
        let here = self.own.place.data_centre.clone();
        for (_, host) in self.hosts.iter_mut() {
            let is_near = host.place.data_centre == here;
            let is_told = if is_near { is_first } else { host.exchanges };
            host.is_due |= is_told && host.standing != Standing::Dead;
        }
    }

    /// Numbers a change that a router should hear of.
    fn touch(&mut self) {
        self.count += 1;
        self.revision = self.count;
    }

    fn touch_host(&mut self, id: &HostId) {
        self.touch();
        if let Some(host) = self.hosts.get_mut(id) {
            host.changed = self.count;
        }
    }

    /// Changes every backend server.
    fn each_backend(&mut self, mut change: impl FnMut(&mut Backend) -> Changed) {
        let mut changes = Vec::new();
        for (id, backend) in self.backends.iter_mut() {
            let changed = change(backend);
            if changed != Changed::default() {
                changes.push((id.clone(), changed));
            }
        }
        for (id, changed) in changes {
            self.touch_backend(&id, changed);
        }
    }

    fn touch_backend(&mut self, id: &BackendId, changed: Changed) {
        if !changed.state && !changed.load {
            return;
        }
        self.touch();
        if let Some(backend) = self.backends.get_mut(id) {
            if changed.state {
                backend.changed = self.count;
            }
            if changed.load {
                backend.load_changed = self.count;
            }
        }
    }
}
