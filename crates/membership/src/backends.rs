//! One backend server as this agent believes it to be.

use base::hash::rendezvous;
use base::prelude::*;
use serde::Serialize;

use crate::heartbeat::{BackendUpdate, LoadUpdate};
use crate::hosts::Lifecycle;
use crate::listed::ListedBackend;

/// How many agents of a data centre ask each backend server.
pub const WATCHERS: usize = 2;

/// A change of load by this part of the slots is told to others.
const LOAD_FRACTION: u64 = 8;

/// What a backend server answers when it is asked for its load.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Its life.
    pub incarnation: Incarnation,
    /// Whether it says that it leaves.
    pub leaving: bool,
    /// The requests that it runs.
    pub running: u64,
    /// The requests that wait there.
    pub queued: u64,
    /// The most requests that it runs at once.
    pub slots: u64,
    /// The models that it holds.
    pub models: Vec<Model>,
    /// The age of the report when it was given.
    pub age: Millis,
}

/// What one agent says of a backend server.
#[derive(Clone, Debug, Serialize)]
pub struct Claim {
    /// The agent; this one included.
    pub from: HostId,
    /// Whether the backend server answers it.
    pub alive: bool,
    /// The last report that it got.
    pub report: Report,
    /// When the report came here.
    #[serde(rename = "got")]
    pub received_at: Millis,
    /// When the agent last confirmed what it has said.
    #[serde(rename = "confirmed")]
    pub confirmed_at: Millis,
    /// Whether that was lately.
    pub is_fresh: bool,
}

/// A backend server.
#[derive(Clone, Debug, Serialize)]
pub struct Backend {
    /// What the host list says of it.
    pub listed: ListedBackend,
    /// Its life.
    #[serde(rename = "life")]
    pub lifecycle: Lifecycle,
    /// What is said of it, one claim an agent.
    claims: Vec<Claim>,
    /// The questions of this agent that were not answered since the last answer.
    #[serde(rename = "misses")]
    pub missed_polls: u32,
    /// When this agent last asked.
    #[serde(rename = "asked")]
    pub last_poll: Option<Millis>,
    /// The agents that ask it, the most preferred first.
    pub watchers: Vec<HostId>,
    /// The number of the last change of all but the load.
    #[serde(rename = "changed")]
    pub last_change: u64,
    /// The number of the last change of the load that others should hear of.
    #[serde(rename = "load_changed")]
    pub load_change: u64,
    /// What is believed.
    state: State,
    /// The load that others were last told.
    #[serde(rename = "told")]
    reported_load: u64,
}

/// All that [`Changed::state`] is about.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
struct State {
    incarnation: Option<Incarnation>,
    leaving: bool,
    alive: bool,
    slots: u64,
    models: Vec<Model>,
}

/// What has changed by a piece of news.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Changed {
    /// The life, leaving, alive, the slots or the models.
    pub state: bool,
    /// The load, by enough to tell others.
    pub load: bool,
}

impl Backend {
    /// A backend server that has not yet reported.
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

    /// Whether it answers.
    pub fn is_alive(&self) -> bool {
        self.state.alive
    }

    /// The claim that is believed: that of the first watcher that speaks of the present life.
    pub fn claim(&self) -> Option<&Claim> {
        let incarnation = self.lifecycle.incarnation;
        let is_current = |c: &&Claim| Some(c.report.incarnation) == incarnation;
        let rank = |c: &&Claim| {
            (
                self.watcher_rank(&c.from),
                std::cmp::Reverse(c.confirmed_at),
            )
        };
        self.effective_claims().filter(is_current).min_by_key(rank)
    }

    /// The fresh claims of watchers, or of others while no watcher speaks.
    fn effective_claims(&self) -> impl Iterator<Item = &Claim> {
        let fresh = || self.claims.iter().filter(|c| c.is_fresh);
        let has_watchers = fresh().any(|c| self.watcher_rank(&c.from) < WATCHERS);
        fresh().filter(move |c| !has_watchers || self.watcher_rank(&c.from) < WATCHERS)
    }

    /// Takes in the answer to a question of this agent, called `own`.
    pub fn poll_answered(&mut self, now: Millis, own: &HostId, report: Report) -> Changed {
        self.missed_polls = 0;
        let before = self.own_update(own);
        self.set_claim(now, own, true, report);
        self.reevaluate_own(now, own, before)
    }

    /// Takes in that a question of this agent was not answered.
    pub fn poll_missed(&mut self, now: Millis, own: &HostId, dead: u32) -> Changed {
        self.missed_polls = self.missed_polls.saturating_add(1);
        let before = self.own_update(own);
        let is_dead = self.missed_polls >= dead;
        if let Some(claim) = self.claims.iter_mut().find(|c| c.from == *own) {
            claim.alive &= !is_dead;
            claim.confirmed_at = now;
            claim.is_fresh = true;
        } else if let Some(incarnation) = self.lifecycle.incarnation.filter(|_| is_dead) {
            // Others have told of this life; this agent has found it dead.
            let report = Report {
                incarnation,
                ..Report::default()
            };
            self.set_claim(now, own, false, report);
        }
        self.reevaluate_own(now, own, before)
    }

    /// Takes in what another agent says.
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

    /// Takes in the load that another agent has read.
    pub fn apply_load(&mut self, now: Millis, from: &HostId, update: &LoadUpdate) -> Changed {
        if let Some(claim) = self.claims.iter_mut().find(|c| c.from == *from) {
            claim.report.running = update.running;
            claim.report.queued = update.queued;
            claim.report.age = update.age;
            claim.received_at = now;
        }
        self.reevaluate(now)
    }

    /// Takes in that an agent stands by what it has said.
    pub fn confirm(&mut self, now: Millis, from: &HostId) -> Changed {
        let Some(claim) = self.claims.iter_mut().find(|c| c.from == *from) else {
            return Changed::default();
        };
        claim.confirmed_at = now;
        if claim.is_fresh {
            return Changed::default();
        }
        // Only changes travel, so that the claim of before the silence still holds.
        claim.is_fresh = true;
        self.reevaluate(now)
    }

    /// Leaves claims out of account that were not confirmed for `limit`.
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

    /// Drops what an agent has said, as its life has ended.
    pub fn drop_claim(&mut self, now: Millis, from: &HostId) -> Changed {
        self.claims.retain(|c| c.from != *from);
        self.reevaluate(now)
    }

    /// Replaces the claim of an agent.
    fn set_claim(&mut self, now: Millis, from: &HostId, alive: bool, report: Report) {
        let held = self.claims.iter().position(|c| c.from == *from);
        let before = held.map(|i| self.claims.remove(i).report.incarnation);
        // Only an agent that has seen the present life end knows that another life is a later one.
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

    /// Draws the belief from the claims, and sees whether what this agent says has changed.
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

    /// Draws the belief from the claims.
    fn reevaluate(&mut self, now: Millis) -> Changed {
        if self.claim().is_none() {
            let first = self
                .effective_claims()
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

    /// The place of an agent among the watchers, or behind them.
    fn watcher_rank(&self, host: &HostId) -> usize {
        let place = self.watchers.iter().position(|w| w == host);
        place.unwrap_or(WATCHERS)
    }

    /// Chooses who asks it, among the sorted `hosts`; returns whether that has changed.
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

    /// What `own` itself has found, for agents that hear all watchers.
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

    /// What is believed of it, for an agent that hears none of the watchers.
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

    /// What this agent says of its load, once there is a report.
    pub fn load_update(&self, now: Millis) -> Option<LoadUpdate> {
        let claim = self.claim()?;
        Some(LoadUpdate {
            backend: self.listed.backend.clone(),
            running: claim.report.running,
            queued: claim.report.queued,
            age: claim.age(now),
        })
    }

    /// Whether a load differs enough from what others were told; notes it as told if so.
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
    /// The age of the report.
    pub fn age(&self, now: Millis) -> Millis {
        self.report.age + now.since(self.received_at)
    }
}
