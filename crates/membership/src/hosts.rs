//! One entry host as this agent believes it to be.

use base::prelude::*;
use serde::Serialize;
use strum::{Display, IntoStaticStr};

use crate::beat::{Beat, HostNote};
use crate::listed::Place;
use crate::policy::Policy;

/// How many earlier lives are remembered, so that late news of them is known as such.
const PAST_LIVES: usize = 8;

/// Whether a host is heard of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display, IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
    /// Listed, and not yet heard of.
    Unknown,
    /// Heard of lately.
    Alive,
    /// Not heard of for a while.
    Suspect,
    /// Not heard of for long.
    Dead,
    /// Heard of again after a silence, and not yet shown to run now.
    Returning,
}

/// One life of a member and the lives before it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Life {
    /// The life, if one was heard of.
    pub incarnation: Option<Incarnation>,
    /// Whether it leaves; it does not become false again within a life.
    pub leaving: bool,
    /// Whether the host list named it as leaving when it was first seen there.
    ///
    /// The lagging list may mean an earlier life; this counts until the list says otherwise, and
    /// for good once the list has held on to it for as long as it may lag.
    pub doubtful: bool,
    /// When it was first listed or heard of.
    pub born: Millis,
    past: Vec<Incarnation>,
    /// What the host list said last, if it was read.
    listed: Option<bool>,
}

/// What news of an incarnation means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    /// It is the life already known.
    Same,
    /// It is a life not heard of before.
    New,
    /// It is an earlier life.
    Past,
}

impl Life {
    /// A member that was just found in the host list.
    pub fn new(now: Millis) -> Self {
        Self {
            born: now,
            ..Self::default()
        }
    }

    /// A life of which the host list cannot have heard before.
    pub fn newborn(now: Millis, incarnation: Incarnation) -> Self {
        Self {
            incarnation: Some(incarnation),
            born: now,
            listed: Some(true),
            ..Self::default()
        }
    }

    /// Whether it is to get no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.doubtful
    }

    /// Takes in news of an incarnation; a new one begins without leaving.
    pub fn see(&mut self, now: Millis, incarnation: Incarnation) -> Seen {
        if self.incarnation == Some(incarnation) {
            return Seen::Same;
        }
        if self.past.contains(&incarnation) {
            return Seen::Past;
        }
        self.begin(now, incarnation);
        Seen::New
    }

    /// Begins a life by hearsay, which does not prove that the one before has ended.
    pub fn replace(&mut self, now: Millis, incarnation: Incarnation) {
        self.past.retain(|p| *p != incarnation);
        let before = self.incarnation.replace(incarnation);
        if before.is_some() {
            self.leaving = false;
            self.doubtful = false;
        }
        self.born = now;
    }

    /// Begins another life.
    pub fn begin(&mut self, now: Millis, incarnation: Incarnation) {
        if let Some(old) = self.incarnation.replace(incarnation) {
            // Without an earlier life, what was said of it holds for this one.
            self.leaving = false;
            self.doubtful = false;
            self.past.push(old);
            let extra = self.past.len().saturating_sub(PAST_LIVES);
            self.past.drain(..extra);
        }
        self.born = now;
    }

    /// Takes in what the host list says.
    pub fn list(&mut self, now: Millis, leaving: bool, lag: Millis) {
        let before = self.listed.replace(leaving);
        if !leaving {
            self.doubtful = false;
            return;
        }
        // What the list said before this life began may hold for the life before.
        let is_current = now.since(self.born) >= lag;
        if before == Some(false) || is_current {
            self.leaving = true;
        } else if before.is_none() {
            self.doubtful = true;
        }
    }
}

/// An entry host.
#[derive(Clone, Debug, Serialize)]
pub struct Host {
    /// Where it is reached.
    pub place: Place,
    /// Its life.
    pub life: Life,
    /// How it stands.
    pub standing: Standing,
    /// Whether the host list names it now.
    pub is_listed: bool,
    /// When it was last heard of, or first listed.
    pub heard: Millis,
    /// The highest number of its beats up to which nothing that it told is missing here.
    pub seen: u64,
    /// Whether it has told all once.
    pub synced: bool,
    /// The highest of this agent's numbers that it last showed to have.
    pub acked: u64,
    /// The number that it must show before it is trusted again.
    challenge: u64,
    /// When a beat was last sent to it.
    pub beaten: Option<Millis>,
    /// Whether beats go to and fro between it and this agent.
    pub exchanges: bool,
    /// Whether a beat is due now, whenever the last one was sent.
    pub is_due: bool,
    /// The number of the change by which this agent's belief came about.
    pub changed: u64,
}

impl Host {
    /// A host that was not yet heard of.
    pub fn new(now: Millis, place: Place) -> Self {
        Self {
            place,
            life: Life::new(now),
            standing: Standing::Unknown,
            is_listed: false,
            heard: now,
            seen: 0,
            synced: false,
            acked: 0,
            challenge: 0,
            beaten: None,
            exchanges: false,
            is_due: false,
            changed: 0,
        }
    }

    /// Whether it runs, as far as is known.
    pub fn is_usable(&self) -> bool {
        matches!(self.standing, Standing::Alive | Standing::Unknown)
    }

    /// Takes in a beat of this life; `echo` is the last number that the host has shown to have.
    ///
    /// The silence before it must have been judged, so that it shows after a pause of either side.
    pub fn hear(&mut self, now: Millis, beat: &Beat, echo: u64) {
        self.heard = now;
        self.exchanges = true;
        self.synced |= beat.whole;
        if self.synced {
            self.seen = self.seen.max(beat.seq);
        }
        self.acked = echo;
    }

    /// Judges the host by a beat with this echo, where `sent` is the last number issued here.
    pub fn trust(&mut self, echo: u64, sent: u64) {
        match self.standing {
            Standing::Unknown => self.standing = Standing::Alive,
            Standing::Suspect | Standing::Dead => {
                self.standing = Standing::Returning;
                self.challenge = sent + 1;
                self.answer(echo);
            }
            Standing::Returning => self.answer(echo),
            Standing::Alive => {}
        }
    }

    /// Takes in what another host of its data centre says; returns whether it is another life.
    pub fn hear_say(&mut self, now: Millis, note: &HostNote) -> bool {
        let is_other = note.incarnation.is_some() && self.life.incarnation != note.incarnation;
        if let Some(incarnation) = note.incarnation.filter(|_| is_other) {
            self.life.replace(now, incarnation);
            self.reset();
        }
        self.heard = now;
        self.standing = if note.alive {
            Standing::Alive
        } else {
            Standing::Dead
        };
        is_other
    }

    /// Has the host tell all again.
    pub fn resync(&mut self) {
        self.seen = 0;
        self.synced = false;
    }

    /// Trusts the host again if it shows a number that was issued after its return.
    fn answer(&mut self, echo: u64) {
        if echo >= self.challenge {
            self.standing = Standing::Alive;
        }
    }

    /// Starts a new life: nothing sent to the one before counts.
    pub fn reset(&mut self) {
        self.resync();
        self.acked = 0;
        self.exchanges = false;
        self.challenge = 0;
        self.standing = Standing::Unknown;
    }

    /// Judges the silence, where beats go out to the host every `period`.
    pub fn judge(&mut self, now: Millis, policy: &Policy, period: Millis) {
        let silence = now.since(self.heard);
        if silence >= policy.dead_after(period) {
            self.standing = Standing::Dead;
        } else if silence >= policy.suspect_after(period) && self.standing == Standing::Alive {
            self.standing = Standing::Suspect;
        }
    }

    /// What this agent says of it.
    pub fn note(&self, host: &HostId) -> HostNote {
        HostNote {
            host: host.clone(),
            incarnation: self.life.incarnation,
            leaving: self.life.leaving,
            alive: self.is_usable(),
        }
    }
}
