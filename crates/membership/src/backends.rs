//! The view that this agent has of one backend server, merged from the claims of several agents.
//!
//! Each backend server is polled by [`WATCHERS`] agents of its data centre. Their results travel in
//! heartbeats and are held as one claim per agent; the view follows the most preferred watcher.

use base::hash::rendezvous;
use base::prelude::*;
use serde::Serialize;

use crate::heartbeat::{BackendUpdate, LoadUpdate};
use crate::hosts::Lifecycle;
use crate::listed::ListedBackend;

/// How many agents of a data centre poll each backend server.
pub const WATCHERS: usize = 2;

/// A load is sent to other agents once it has changed by one such fraction of the slots, at least by 1.
const LOAD_FRACTION: u64 = 8;

/// The answer of a backend server to a poll.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Incarnation of the server.
    pub incarnation: Incarnation,
    /// Whether it reports that it is leaving.
    pub leaving: bool,
    /// Number of running requests.
    pub running: u64,
    /// Number of queued requests.
    pub queued: u64,
    /// Maximum number of concurrent requests.
    pub slots: u64,
    /// The models that it has loaded.
    pub models: Vec<Model>,
    /// Age of the figures when the report was received.
    pub age: Millis,
}

/// The last report of one agent on a backend server.
#[derive(Clone, Debug, Serialize)]
pub struct Claim {
    /// Host of the agent; this agent's own host for its own polls.
    pub from: HostId,
    /// Whether the backend server answers its polls.
    pub alive: bool,
    /// The last poll result that it received.
    pub report: Report,
    /// When this agent received the report or its last load.
    #[serde(rename = "got")]
    pub received_at: Millis,
    /// When the agent last sent or confirmed the claim.
    #[serde(rename = "confirmed")]
    pub confirmed_at: Millis,
    /// Whether that was within the claim's time to live; only fresh claims count.
    pub is_fresh: bool,
}

/// A backend server.
#[derive(Clone, Debug, Serialize)]
pub struct Backend {
    /// Its entry in the host list.
    pub listed: ListedBackend,
    /// Incarnations, and whether it is leaving.
    #[serde(rename = "life")]
    pub lifecycle: Lifecycle,
    /// One claim per agent that has reported on it.
    claims: Vec<Claim>,
    /// Number of this agent's consecutive unanswered polls.
    #[serde(rename = "misses")]
    pub missed_polls: u32,
    /// When this agent last polled it; `None` before the first poll.
    #[serde(rename = "asked")]
    pub last_poll: Option<Millis>,
    /// The hosts whose agents poll it, the most preferred first.
    pub watchers: Vec<HostId>,
    /// Sequence number of the last change other than of the load.
    #[serde(rename = "changed")]
    pub last_change: u64,
    /// Sequence number of the last change of the load that is sent to other agents.
    #[serde(rename = "load_changed")]
    pub load_change: u64,
    /// The merged state.
    state: State,
    /// Running and queued requests as last sent to other agents.
    #[serde(rename = "told")]
    reported_load: u64,
}

/// The merged state other than the load; a difference sets [`Changed::state`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
struct State {
    incarnation: Option<Incarnation>,
    leaving: bool,
    alive: bool,
    slots: u64,
    models: Vec<Model>,
}

/// Which parts of the view an update has changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Changed {
    /// The incarnation, leaving, alive, the slots or the models.
    pub state: bool,
    /// The load, by enough to send it to other agents.
    pub load: bool,
}

impl Backend {
    /// A backend server on which nothing has been reported.
    pub fn new(now: Millis, listed: ListedBackend) -> Self {
        Self {
            listed,
            lifecycle: Lifecycle::new(now),
            claims: Vec::new(),
            missed_polls: 0,
            last_poll: None,
            watchers: Vec::new(),
            last_change: 0,
            load_change: 0,
            state: State::default(),
            reported_load: 0,
        }
    }

    /// Whether it answers polls, according to the claim in effect.
    pub fn is_alive(&self) -> bool {
        self.state.alive
    }

    /// The claim in effect: of those on the current incarnation, that of the most preferred watcher, or the
    /// last confirmed one while no watcher has a claim. `None` while there is no fresh claim.
    pub fn claim(&self) -> Option<&Claim> {
        let incarnation = self.lifecycle.incarnation;
        let is_current = |c: &&Claim| Some(c.report.incarnation) == incarnation;
        let rank = |c: &&Claim| {
            (
                self.watcher_rank(&c.from),
                std::cmp::Reverse(c.confirmed_at),
            )
        };
        self.eligible_claims().filter(is_current).min_by_key(rank)
    }

    /// The fresh claims of watchers, or those of other agents while no watcher has one.
    fn eligible_claims(&self) -> impl Iterator<Item = &Claim> {
        let fresh = || self.claims.iter().filter(|c| c.is_fresh);
        let has_watchers = fresh().any(|c| self.watcher_rank(&c.from) < WATCHERS);
        fresh().filter(move |c| !has_watchers || self.watcher_rank(&c.from) < WATCHERS)
    }

    /// Applies the answer to a poll of this agent, whose host is `own`.
    pub fn poll_answered(&mut self, now: Millis, own: &HostId, report: Report) -> Changed {
        self.missed_polls = 0;
        let before = self.own_update(own);
        self.set_claim(now, own, true, report);
        self.reevaluate_own(now, own, before)
    }

    /// Applies an unanswered poll of this agent; after `dead` consecutive ones the server is dead.
    pub fn poll_missed(&mut self, now: Millis, own: &HostId, dead: u32) -> Changed {
        self.missed_polls = self.missed_polls.saturating_add(1);
        let before = self.own_update(own);
        let is_dead = self.missed_polls >= dead;
        if let Some(claim) = self.claims.iter_mut().find(|c| c.from == *own) {
            claim.alive &= !is_dead;
            claim.confirmed_at = now;
            claim.is_fresh = true;
        } else if let Some(incarnation) = self.lifecycle.incarnation.filter(|_| is_dead) {
            // The incarnation is known from other agents only; this agent finds it dead.
            let report = Report {
                incarnation,
                ..Report::default()
            };
            self.set_claim(now, own, false, report);
        }
        self.reevaluate_own(now, own, before)
    }

    /// Applies an update from another agent, keeping the load that it last sent.
    pub fn apply_update(&mut self, now: Millis, from: &HostId, update: BackendUpdate) -> Changed {
        let held = self.claims.iter().find(|c| c.from == *from);
        let load = held.map(|c| (c.report.running, c.report.queued, c.report.age));
        let (running, queued, age) = load.unwrap_or_default();
        let report = Report {
            incarnation: update.incarnation,
            leaving: update.leaving,
            running,
            queued,
            slots: update.slots,
            models: update.models,
            age,
        };
        self.set_claim(now, from, update.alive, report);
        self.reevaluate(now)
    }

    /// Applies the load that another agent sent; ignored without a claim of that agent.
    pub fn apply_load(&mut self, now: Millis, from: &HostId, update: &LoadUpdate) -> Changed {
        if let Some(claim) = self.claims.iter_mut().find(|c| c.from == *from) {
            claim.report.running = update.running;
            claim.report.queued = update.queued;
            claim.report.age = update.age;
            claim.received_at = now;
        }
        self.reevaluate(now)
    }

    /// Renews the claim of an agent.
    pub fn confirm(&mut self, now: Millis, from: &HostId) -> Changed {
        let Some(claim) = self.claims.iter_mut().find(|c| c.from == *from) else {
            return Changed::default();
        };
        claim.confirmed_at = now;
        if claim.is_fresh {
            return Changed::default();
        }
        // Agents send changes only, so that the claim from before the expiry is still valid.
        claim.is_fresh = true;
        self.reevaluate(now)
    }

    /// Disregards the claims that were not confirmed for `limit`.
    pub fn expire_claims(&mut self, now: Millis, limit: Millis) -> Changed {
        let mut has_expired = false;
        for claim in &mut self.claims {
            if claim.is_fresh && now.since(claim.confirmed_at) >= limit {
                claim.is_fresh = false;
                has_expired = true;
            }
        }
        if has_expired {
            self.reevaluate(now)
        } else {
            Changed::default()
        }
    }

    /// Drops the claim of an agent whose incarnation has ended.
    pub fn drop_claim(&mut self, now: Millis, from: &HostId) -> Changed {
        self.claims.retain(|c| c.from != *from);
        self.reevaluate(now)
    }

    /// Replaces the claim of an agent. If it shows that the current incarnation has ended, begins the next.
    fn set_claim(&mut self, now: Millis, from: &HostId, alive: bool, report: Report) {
        let held = self.claims.iter().position(|c| c.from == *from);
        let before = held.map(|i| self.claims.remove(i).report.incarnation);
        // Incarnations have no order. Only an agent that reported the current one before can know that
        // another is a later one.
        let is_later = before.is_some() && before == self.lifecycle.incarnation;
        if is_later && before != Some(report.incarnation) {
            self.lifecycle.begin(now, report.incarnation);
        }
        self.claims.push(Claim {
            from: from.clone(),
            alive,
            report,
            received_at: now,
            confirmed_at: now,
            is_fresh: true,
        });
    }

    /// Merges the claims, and also reports a change if this agent's own update differs from `before`.
    fn reevaluate_own(
        &mut self,
        now: Millis,
        own: &HostId,
        before: Option<BackendUpdate>,
    ) -> Changed {
        let mut changed = self.reevaluate(now);
        changed.state |= self.own_update(own) != before;
        changed
    }

    /// Merges the claims into the state and the load.
    fn reevaluate(&mut self, now: Millis) -> Changed {
        if self.claim().is_none() {
            let first = self
                .eligible_claims()
                .min_by_key(|c| self.watcher_rank(&c.from));
            if let Some(incarnation) = first.map(|c| c.report.incarnation) {
                self.lifecycle.begin(now, incarnation);
            }
        }
        let incarnation = self.lifecycle.incarnation;
        let is_leaving = |c: &Claim| c.report.leaving && Some(c.report.incarnation) == incarnation;
        self.lifecycle.leaving |= self.claims.iter().any(is_leaving);
        let claim = self.claim();
        let state = State {
            incarnation,
            leaving: self.lifecycle.is_leaving(),
            alive: claim.is_some_and(|c| c.alive),
            slots: claim.map_or(0, |c| c.report.slots),
            models: claim.map(|c| c.report.models.clone()).unwrap_or_default(),
        };
        let load = claim.map_or(0, |c| c.report.running + c.report.queued);
        Changed {
            state: std::mem::replace(&mut self.state, state.clone()) != state,
            load: self.record_load(load),
        }
    }

    /// Index of an agent among the watchers; [`WATCHERS`] if it is none.
    fn watcher_rank(&self, host: &HostId) -> usize {
        let place = self.watchers.iter().position(|w| w == host);
        place.unwrap_or(WATCHERS)
    }

    /// Chooses its watchers among `hosts` by rendezvous hashing; returns whether they have changed.
    pub fn assign_watchers(&mut self, hosts: &[HostId]) -> bool {
        let name = self.listed.backend.as_str();
        let mut ranked: Vec<(u64, &HostId)> = hosts
            .iter()
            .map(|h| (rendezvous(name, h.as_str()), h))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let first = ranked.into_iter().take(WATCHERS);
        let watchers: Vec<HostId> = first.map(|(_, h)| h.clone()).collect();
        let is_new = watchers != self.watchers;
        self.watchers = watchers;
        is_new
    }

    /// The update with the claim of `own` itself, for agents of the data centre, which receive those of all
    /// watchers; `None` without a claim.
    pub fn own_update(&self, own: &HostId) -> Option<BackendUpdate> {
        let claim = self.claims.iter().find(|c| c.from == *own)?;
        let is_current = Some(claim.report.incarnation) == self.lifecycle.incarnation;
        Some(BackendUpdate {
            backend: self.listed.backend.clone(),
            incarnation: claim.report.incarnation,
            leaving: claim.report.leaving || (is_current && self.lifecycle.leaving),
            alive: claim.alive,
            slots: claim.report.slots,
            models: claim.report.models.clone(),
        })
    }

    /// The update with the merged state, for agents of other data centres, which receive none from the
    /// watchers; `None` without a known incarnation.
    pub fn merged_update(&self) -> Option<BackendUpdate> {
        Some(BackendUpdate {
            backend: self.listed.backend.clone(),
            incarnation: self.lifecycle.incarnation?,
            leaving: self.lifecycle.leaving,
            alive: self.state.alive,
            slots: self.state.slots,
            models: self.state.models.clone(),
        })
    }

    /// The update with the load of the claim in effect; `None` if there is none.
    pub fn load_update(&self, now: Millis) -> Option<LoadUpdate> {
        let claim = self.claim()?;
        Some(LoadUpdate {
            backend: self.listed.backend.clone(),
            running: claim.report.running,
            queued: claim.report.queued,
            age: claim.age(now),
        })
    }

    /// Whether a load differs enough from the one last sent to other agents; if so it is recorded as sent.
    fn record_load(&mut self, load: u64) -> bool {
        let step = (self.state.slots / LOAD_FRACTION).max(1);
        let is_reported = load.abs_diff(self.reported_load) >= step;
        if is_reported {
            self.reported_load = load;
        }
        is_reported
    }
}

impl Claim {
    /// Age of the load figures at `now`.
    pub fn age(&self, now: Millis) -> Millis {
        self.report.age + now.since(self.received_at)
    }
}
