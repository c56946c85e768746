//! Limits that servers name on the requests a second that they take from all hosts together, and pauses for which they
//! want none from this one.

use balance::turns::Turns;
use base::hash::short_hash;
use base::prelude::*;
use membership::gossip::{Announcement, ServerLimit};

use super::{Fleet, PlacementRequest, Server, Servers};

/// The number of hosts that share a limit until the list of hosts is read.
const DEFAULT_HOSTS: u64 = 16;

/// How long a change of a limit is included in messages to other hosts.
const ANNOUNCE_TTL: Millis = Millis(3_000);

/// How much longer than asked for a server is paused at most, in percent.
const MAX_SPREAD_PERCENT: u64 = 10;

/// What a server last said of its limit.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Limit {
    /// This host's turns; `None` without a limit.
    turns: Option<Turns>,
    /// When it last said so, to any host; 0 if it never named a limit.
    said_at: Millis,
    announcement: Announcement,
}

/// How requests for a service get turns at its servers, all of which are limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextTurn {
    /// When a request that comes now gets a turn, behind those that wait.
    pub at: Millis,
    /// When to look for a turn.
    pub check: Millis,
}

impl Limit {
    /// Applies what the server said at `at`; returns whether that is a change.
    fn apply(&mut self, now: Millis, at: Millis, limit: Option<u64>, hosts: u64) -> bool {
        let before = self.turns.map(|t| t.limit());
        self.said_at = at;
        match (&mut self.turns, limit) {
            (turns, None) => *turns = None,
            (Some(turns), Some(limit)) if turns.limit() != limit => {
                turns.set_limit(now, limit, hosts);
            }
            (Some(_), Some(_)) => {}
            (turns, Some(limit)) => {
                *turns = Some(Turns::new(now, limit, hosts, rand::random()));
            }
        }
        before != limit
    }
}

impl Server {
    /// Whether it wants no requests from this host at present.
    fn is_paused(&self, now: Millis) -> bool {
        now < self.paused_until
    }

    /// Whether a pause or a limit of it is in force, or its leaving is being announced to other hosts.
    pub(super) fn has_notice(&self, now: Millis) -> bool {
        self.is_paused(now) || self.limit.turns.is_some() || self.leaving.is_due(now, true)
    }

    /// Drops all state but its pause, its limit and the announcement of its leaving.
    pub(super) fn keep_notices(&mut self) {
        *self = Self {
            paused_until: self.paused_until,
            leaving: self.leaving,
            limit: self.limit,
            last_listed: self.last_listed,
            ..Self::default()
        };
    }
}

impl Servers {
    /// Sets the number of hosts that share the limits, this one included.
    pub fn set_hosts(&self, hosts: u64) {
        self.lock().hosts = hosts;
    }

    /// Records what a server says of its limit in the answer to a request sent at `sent`; returns whether it has
    /// changed.
    pub fn record_limit(
        &self,
        id: &BackendId,
        now: Millis,
        sent: Millis,
        limit: Option<u64>,
    ) -> bool {
        let mut fleet = self.lock();
        let hosts = fleet.sharing_hosts();
        let known = &mut fleet.servers.entry(id.clone(), Server::default).limit;
        // An answer without a limit may have been on its way when another one named it.
        let is_stale = limit.is_none() && (known.turns.is_none() || sent < known.said_at);
        if is_stale || !known.apply(now, now, limit, hosts) {
            return false;
        }
        known.announcement = Announcement::start(now, ANNOUNCE_TTL, true);
        true
    }

    /// Records that a server wants no requests from this host for a while.
    pub fn pause(&self, id: &BackendId, now: Millis, pause: Millis) {
        let mut fleet = self.lock();
        let server = fleet.servers.entry(id.clone(), Server::default);
        // Spreads the return of the requests of several hosts.
        let extra = Millis(pause.0 * rand::random_range(0..=MAX_SPREAD_PERCENT) / 100);
        server.paused_until = server.paused_until.max(now + pause + extra);
    }

    /// Whether a server takes requests from this host, apart from its limit: it is listed, has not said that it is
    /// leaving, and is not paused.
    pub fn takes_requests(&self, id: &BackendId, now: Millis) -> bool {
        let fleet = self.lock();
        let is_usable = fleet.roster.get(id).is_some_and(|m| m.is_usable(now));
        let server = fleet.servers.get(id);
        is_usable && !server.is_some_and(|s| s.is_paused(now))
    }

    /// Takes turns at a server; returns `false` if it is limited and none is due, or it is paused.
    pub fn take_turns(&self, id: &BackendId, now: Millis, count: u64) -> bool {
        self.lock().take_turns(id, now, count)
    }

    /// Whether a server limits its requests.
    pub fn is_limited(&self, id: &BackendId) -> bool {
        let fleet = self.lock();
        let server = fleet.servers.get(id);
        server.is_some_and(|s| s.limit.turns.is_some())
    }

    /// The next turn at any server that may take the request; `None` if no server is held back by its limit or a pause.
    pub fn next_turn(&self, now: Millis, request: &PlacementRequest<'_>) -> Option<NextTurn> {
        let fleet = self.lock();
        let hosts = fleet.sharing_hosts();
        let members = fleet.usable(now, request.service);
        let servers = members.filter_map(|(id, _)| fleet.servers.get(id));
        let is_held = |s: &&Server| s.limit.turns.is_some() || s.is_paused(now);
        let held: Vec<&Server> = servers
            .filter(|s| is_held(s) && !s.health.is_ejected(now))
            .collect();
        let due = |s: &&Server| {
            let turn = s.limit.turns.map_or(now, |t| t.due(now, hosts));
            turn.max(s.paused_until)
        };
        let check = held.iter().map(due).min()?;
        let periods = held
            .iter()
            .filter_map(|s| Some(s.limit.turns?.period(hosts)));
        let each_ms: f64 = periods.map(|p| 1.0 / p.0 as f64).sum();
        let service = ServiceName::from(request.service);
        let ahead = fleet.waiting.get(&service).copied().unwrap_or(0);
        let behind = if each_ms > 0.0 {
            Millis((ahead as f64 / each_ms) as u64)
        } else {
            Millis(0)
        };
        Some(NextTurn {
            at: check.max(now) + behind,
            check,
        })
    }

    /// Counts a request for a service that starts to wait for a turn, or with -1 one that no longer does.
    pub fn add_waiting(&self, service: &str, change: i64) {
        let mut fleet = self.lock();
        let count = fleet.waiting.entry(ServiceName::from(service), || 0);
        *count = count.saturating_add_signed(change);
    }

    /// Changed limits for messages to other hosts, from a host that passes messages on (`is_hub`) or does not.
    pub fn announced_limits(&self, now: Millis, is_hub: bool) -> Vec<ServerLimit> {
        let fleet = self.lock();
        let servers = fleet.servers.iter();
        let due = servers.filter(|(_, s)| s.limit.announcement.is_due(now, is_hub));
        due.map(|(id, s)| ServerLimit {
            server: short_hash(id.as_str()),
            limit: s.limit.turns.map(|t| t.limit()),
            age: u32::try_from(now.since(s.limit.said_at).0).unwrap_or(u32::MAX),
        })
        .collect()
    }

    /// Applies a message of another host; returns whether there was news in it.
    pub fn merge_limits(&self, now: Millis, received: &[ServerLimit]) -> bool {
        let mut fleet = self.lock();
        let hosts = fleet.sharing_hosts();
        let mut is_news = false;
        for one in received {
            let at = now - Millis(u64::from(one.age));
            let Some(id) = fleet.id_of(one.server) else {
                continue;
            };
            let known = &mut fleet.servers.entry(id, Server::default).limit;
            if known.said_at < at && known.apply(now, at, one.limit, hosts) {
                known.announcement = Announcement::start(now, ANNOUNCE_TTL, false);
                is_news = true;
            }
        }
        is_news
    }
}

impl Fleet {
    /// The number of hosts that share the limits.
    fn sharing_hosts(&self) -> u64 {
        if self.hosts == 0 {
            DEFAULT_HOSTS
        } else {
            self.hosts
        }
    }

    /// Whether a server takes a request now: it is not paused, and its limit leaves room. A backup gets no place at a
    /// limited server.
    pub(super) fn has_turn(&self, server: &Server, now: Millis, is_backup: bool) -> bool {
        let turns = server.limit.turns;
        !server.is_paused(now)
            && turns.is_none_or(|t| !is_backup && t.due(now, self.sharing_hosts()) <= now)
    }

    /// Takes turns at a server; returns `false` if it is limited and none is due.
    pub(super) fn take_turns(&mut self, id: &BackendId, now: Millis, count: u64) -> bool {
        let hosts = self.sharing_hosts();
        let Some(server) = self.servers.get_mut(id) else {
            return true;
        };
        if server.is_paused(now) {
            return false;
        }
        let Some(turns) = &mut server.limit.turns else {
            return true;
        };
        let is_due = turns.due(now, hosts) <= now;
        if is_due {
            turns.take(now, hosts, count);
        }
        is_due
    }
}
