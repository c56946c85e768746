//! One backend server as this agent believes it to be.

use base::hash::rendezvous;
use base::prelude::*;
use serde::Serialize;

use crate::beat::{BackendNote, LoadNote};
use crate::hosts::Life;
use crate::listed::ListedBackend;

/// How many agents of a data centre ask each backend server.
pub const WATCHERS: usize = 2;

/// A change of load by this part of the slots is told to others.
const LOAD_PART: u64 = 8;

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
    pub got: Millis,
    /// When the agent last confirmed what it has said.
    pub confirmed: Millis,
    /// Whether that was lately.
    pub is_fresh: bool,
}

/// A backend server.
#[derive(Clone, Debug, Serialize)]
pub struct Backend {
    /// What the host list says of it.
    pub listed: ListedBackend,
    /// Its life.
    pub life: Life,
    /// What is said of it, one claim an agent.
    claims: Vec<Claim>,
    /// The questions of this agent that were not answered since the last answer.
    pub misses: u32,
    /// When this agent last asked.
    pub asked: Option<Millis>,
    /// The agents that ask it, the most preferred first.
    pub watchers: Vec<HostId>,
    /// The number of the last change of all but the load.
    pub changed: u64,
    /// The number of the last change of the load that others should hear of.
    pub load_changed: u64,
    /// What is believed.
    state: State,
    /// The load that others were last told.
    told: u64,
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
            life: Life::new(now),
            claims: Vec::new(),
            misses: 0,
            asked: None,
            watchers: Vec::new(),
            changed: 0,
            load_changed: 0,
            state: State::default(),
            told: 0,
        }
    }

    /// Whether it answers.
    pub fn is_alive(&self) -> bool {
        self.state.alive
    }

    /// The claim that is believed: that of the first watcher that speaks of the present life.
    pub fn claim(&self) -> Option<&Claim> {
        let life = self.life.incarnation;
        let is_current = |c: &&Claim| Some(c.report.incarnation) == life;
        let rank = |c: &&Claim| (self.rank(&c.from), std::cmp::Reverse(c.confirmed));
        self.heeded().filter(is_current).min_by_key(rank)
    }

    /// The fresh claims of watchers, or of others while no watcher speaks.
    fn heeded(&self) -> impl Iterator<Item = &Claim> {
        let fresh = || self.claims.iter().filter(|c| c.is_fresh);
        let has_watchers = fresh().any(|c| self.rank(&c.from) < WATCHERS);
        fresh().filter(move |c| !has_watchers || self.rank(&c.from) < WATCHERS)
    }

    /// Takes in the answer to a question of this agent, called `own`.
    pub fn answered(&mut self, now: Millis, own: &HostId, report: Report) -> Changed {
        self.misses = 0;
        let before = self.note(own);
        self.say(now, own, true, report);
        self.settle_own(now, own, before)
    }

    /// Takes in that a question of this agent was not answered.
    pub fn missed(&mut self, now: Millis, own: &HostId, dead: u32) -> Changed {
        self.misses = self.misses.saturating_add(1);
        let before = self.note(own);
        let is_dead = self.misses >= dead;
        if let Some(claim) = self.claims.iter_mut().find(|c| c.from == *own) {
            claim.alive &= !is_dead;
            claim.confirmed = now;
            claim.is_fresh = true;
        } else if let Some(incarnation) = self.life.incarnation.filter(|_| is_dead) {
            // Others have told of this life; this agent has found it dead.
            let report = Report {
                incarnation,
                ..Report::default()
            };
            self.say(now, own, false, report);
        }
        self.settle_own(now, own, before)
    }

    /// Takes in what another agent says.
    pub fn noted(&mut self, now: Millis, from: &HostId, note: BackendNote) -> Changed {
        let held = self.claims.iter().find(|c| c.from == *from);
        let load = held.map(|c| (c.report.running, c.report.queued, c.report.age));
        let (running, queued, age) = load.unwrap_or_default();
        let report = Report {
            incarnation: note.incarnation,
            leaving: note.leaving,
            running,
            queued,
            slots: note.slots,
            models: note.models,
            age,
        };
        self.say(now, from, note.alive, report);
        self.settle(now)
    }

    /// Takes in the load that another agent has read.
    pub fn loaded(&mut self, now: Millis, from: &HostId, note: &LoadNote) -> Changed {
        if let Some(claim) = self.claims.iter_mut().find(|c| c.from == *from) {
            claim.report.running = note.running;
            claim.report.queued = note.queued;
            claim.report.age = note.age;
            claim.got = now;
        }
        self.settle(now)
    }

    /// Takes in that an agent stands by what it has said.
    pub fn confirm(&mut self, now: Millis, from: &HostId) -> Changed {
        let Some(claim) = self.claims.iter_mut().find(|c| c.from == *from) else {
            return Changed::default();
        };
        claim.confirmed = now;
        if claim.is_fresh {
            return Changed::default();
        }
        // Only changes travel, so that the claim of before the silence still holds.
        claim.is_fresh = true;
        self.settle(now)
    }

    /// Leaves claims out of account that were not confirmed for `limit`.
    pub fn expire(&mut self, now: Millis, limit: Millis) -> Changed {
        let mut has_expired = false;
        for claim in &mut self.claims {
            if claim.is_fresh && now.since(claim.confirmed) >= limit {
                claim.is_fresh = false;
                has_expired = true;
            }
        }
        if has_expired {
            self.settle(now)
        } else {
            Changed::default()
        }
    }

    /// Drops what an agent has said, as its life has ended.
    pub fn forget(&mut self, now: Millis, from: &HostId) -> Changed {
        self.claims.retain(|c| c.from != *from);
        self.settle(now)
    }

    /// Replaces the claim of an agent.
    fn say(&mut self, now: Millis, from: &HostId, alive: bool, report: Report) {
        let held = self.claims.iter().position(|c| c.from == *from);
        let before = held.map(|i| self.claims.remove(i).report.incarnation);
        // Only an agent that has seen the present life end knows that another life is a later one.
        let is_later = before.is_some() && before == self.life.incarnation;
        if is_later && before != Some(report.incarnation) {
            self.life.begin(now, report.incarnation);
        }
        self.claims.push(Claim {
            from: from.clone(),
            alive,
            report,
            got: now,
            confirmed: now,
            is_fresh: true,
        });
    }

    /// Draws the belief from the claims, and sees whether what this agent says has changed.
    fn settle_own(&mut self, now: Millis, own: &HostId, before: Option<BackendNote>) -> Changed {
        let mut changed = self.settle(now);
        changed.state |= self.note(own) != before;
        changed
    }

    /// Draws the belief from the claims.
    fn settle(&mut self, now: Millis) -> Changed {
        if self.claim().is_none() {
            let first = self.heeded().min_by_key(|c| self.rank(&c.from));
            if let Some(incarnation) = first.map(|c| c.report.incarnation) {
                self.life.begin(now, incarnation);
            }
        }
        let life = self.life.incarnation;
        let says = |c: &Claim| c.report.leaving && Some(c.report.incarnation) == life;
        self.life.leaving |= self.claims.iter().any(says);
        let claim = self.claim();
        let state = State {
            incarnation: life,
            leaving: self.life.is_leaving(),
            alive: claim.is_some_and(|c| c.alive),
            slots: claim.map_or(0, |c| c.report.slots),
            models: claim.map(|c| c.report.models.clone()).unwrap_or_default(),
        };
        let load = claim.map_or(0, |c| c.report.running + c.report.queued);
        Changed {
            state: std::mem::replace(&mut self.state, state.clone()) != state,
            load: self.is_news(load),
        }
    }

    /// The place of an agent among the watchers, or behind them.
    fn rank(&self, host: &HostId) -> usize {
        let place = self.watchers.iter().position(|w| w == host);
        place.unwrap_or(WATCHERS)
    }

    /// Chooses who asks it, among the sorted `hosts`; returns whether that has changed.
    pub fn assign(&mut self, hosts: &[HostId]) -> bool {
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
    pub fn note(&self, own: &HostId) -> Option<BackendNote> {
        let claim = self.claims.iter().find(|c| c.from == *own)?;
        let is_current = Some(claim.report.incarnation) == self.life.incarnation;
        Some(BackendNote {
            backend: self.listed.backend.clone(),
            incarnation: claim.report.incarnation,
            leaving: claim.report.leaving || (is_current && self.life.leaving),
            alive: claim.alive,
            slots: claim.report.slots,
            models: claim.report.models.clone(),
        })
    }

    /// What is believed of it, for an agent that hears none of the watchers.
    pub fn belief(&self) -> Option<BackendNote> {
        Some(BackendNote {
            backend: self.listed.backend.clone(),
            incarnation: self.life.incarnation?,
            leaving: self.life.leaving,
            alive: self.state.alive,
            slots: self.state.slots,
            models: self.state.models.clone(),
        })
    }

    /// What this agent says of its load, once there is a report.
    pub fn load_note(&self, now: Millis) -> Option<LoadNote> {
        let claim = self.claim()?;
        Some(LoadNote {
            backend: self.listed.backend.clone(),
            running: claim.report.running,
            queued: claim.report.queued,
            age: claim.age(now),
        })
    }

    /// Whether a load differs enough from what others were told; notes it as told if so.
    fn is_news(&mut self, load: u64) -> bool {
        let step = (self.state.slots / LOAD_PART).max(1);
        let is_news = load.abs_diff(self.told) >= step;
        if is_news {
            self.told = load;
        }
        is_news
    }
}

impl Claim {
    /// The age of the report.
    pub fn age(&self, now: Millis) -> Millis {
        self.report.age + now.since(self.got)
    }
}
