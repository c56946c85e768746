//! One entry host as this agent believes it to be.

use base::prelude::*;
use serde::Serialize;
use strum::{Display, IntoStaticStr};

use crate::heartbeat::{Heartbeat, HostUpdate};
use crate::listed::Place;
use crate::policy::Policy;

/// How many earlier lives are remembered, so that late news of them is known as such.
const PAST_INCARNATIONS: usize = 8;

/// Whether a host is heard of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display, IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Status {
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
pub struct Lifecycle {
    /// The life, if one was heard of.
    pub incarnation: Option<Incarnation>,
    /// Whether it leaves; it does not become false again within a life.
    pub leaving: bool,
    /// Whether the host list named it as leaving when it was first seen there.
    ///
    /// The lagging list may mean an earlier life; this counts until the list says otherwise, and
    /// for good once the list has held on to it for as long as it may lag.
    #[serde(rename = "doubtful")]
    pub maybe_leaving: bool,
    /// When it was first listed or heard of.
    #[serde(rename = "born")]
    pub first_observed: Millis,
    past: Vec<Incarnation>,
    /// What the host list said last, if it was read.
    #[serde(rename = "listed")]
    listed_leaving: Option<bool>,
}

/// What news of an incarnation means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observed {
    /// It is the life already known.
    Same,
    /// It is a life not heard of before.
    New,
    /// It is an earlier life.
    Past,
}

impl Lifecycle {
    /// A member that was just found in the host list.
    pub fn new(now: Millis) -> Self {
        Self {
            first_observed: now,
            ..Self::default()
        }
    }

    /// A life of which the host list cannot have heard before.
    pub fn with_incarnation(now: Millis, incarnation: Incarnation) -> Self {
        Self {
            incarnation: Some(incarnation),
            first_observed: now,
            listed_leaving: Some(true),
            ..Self::default()
        }
    }

    /// Whether it is to get no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.maybe_leaving
    }

    /// Takes in news of an incarnation; a new one begins without leaving.
    pub fn observe(&mut self, now: Millis, incarnation: Incarnation) -> Observed {
        if self.incarnation == Some(incarnation) {
            return Observed::Same;
        }
        if self.past.contains(&incarnation) {
            return Observed::Past;
        }
        self.begin(now, incarnation);
        Observed::New
    }

    /// Begins a life by hearsay, which does not prove that the one before has ended.
    pub fn begin_reported(&mut self, now: Millis, incarnation: Incarnation) {
        self.past.retain(|p| *p != incarnation);
        let before = self.incarnation.replace(incarnation);
        if before.is_some() {
            self.leaving = false;
            self.maybe_leaving = false;
        }
        self.first_observed = now;
    }

    /// Begins another life.
    pub fn begin(&mut self, now: Millis, incarnation: Incarnation) {
        if let Some(old) = self.incarnation.replace(incarnation) {
            // Without an earlier life, what was said of it holds for this one.
            self.leaving = false;
            self.maybe_leaving = false;
            self.past.push(old);
            let extra = self.past.len().saturating_sub(PAST_INCARNATIONS);
            self.past.drain(..extra);
        }
        self.first_observed = now;
    }

    /// Takes in what the host list says.
    pub fn apply_listed(&mut self, now: Millis, leaving: bool, lag: Millis) {
        let before = self.listed_leaving.replace(leaving);
        if !leaving {
            self.maybe_leaving = false;
            return;
        }
        // What the list said before this life began may hold for the life before.
        let is_current = now.since(self.first_observed) >= lag;
        if before == Some(false) || is_current {
            self.leaving = true;
        } else if before.is_none() {
            self.maybe_leaving = true;
        }
    }
}

/// An entry host.
#[derive(Clone, Debug, Serialize)]
pub struct Host {
    /// Where it is reached.
    pub place: Place,
    /// Its life.
    #[serde(rename = "life")]
    pub lifecycle: Lifecycle,
    /// How it stands.
    #[serde(rename = "standing")]
    pub status: Status,
    /// Whether the host list names it now.
    pub is_listed: bool,
    /// When it was last heard of, or first listed.
    #[serde(rename = "heard")]
    pub last_report: Millis,
    /// The highest number of its beats up to which nothing that it told is missing here.
    #[serde(rename = "seen")]
    pub received_seq: u64,
    /// Whether it has told all once.
    pub synced: bool,
    /// The highest of this agent's numbers that it last showed to have.
    #[serde(rename = "acked")]
    pub acked_seq: u64,
    /// The number that it must show before it is trusted again.
    challenge: u64,
    /// When a beat was last sent to it.
    #[serde(rename = "beaten")]
    pub last_sent: Option<Millis>,
    /// Whether beats go to and fro between it and this agent.
    #[serde(rename = "exchanges")]
    pub is_exchanging: bool,
    /// Whether a beat is due now, whenever the last one was sent.
    pub is_due: bool,
    /// The number of the change by which this agent's belief came about.
    #[serde(rename = "changed")]
    pub last_change: u64,
}

impl Host {
    /// A host that was not yet heard of.
    pub fn new(now: Millis, place: Place) -> Self {
        Self {
            place,
            lifecycle: Lifecycle::new(now),
            status: Status::Unknown,
            is_listed: false,
            last_report: now,
            received_seq: 0,
            synced: false,
            acked_seq: 0,
            challenge: 0,
            last_sent: None,
            is_exchanging: false,
            is_due: false,
            last_change: 0,
        }
    }

    /// Whether it runs, as far as is known.
    pub fn is_usable(&self) -> bool {
        matches!(self.status, Status::Alive | Status::Unknown)
    }

    /// Takes in a beat of this life; `echo` is the last number that the host has shown to have.
    ///
    /// The silence before it must have been judged, so that it shows after a pause of either side.
    pub fn receive(&mut self, now: Millis, heartbeat: &Heartbeat, echo: u64) {
        self.last_report = now;
        self.is_exchanging = true;
        self.synced |= heartbeat.is_full;
        if self.synced {
            self.received_seq = self.received_seq.max(heartbeat.seq);
        }
        self.acked_seq = echo;
    }

    /// Judges the host by a beat with this echo, where `sent` is the last number issued here.
    pub fn update_status(&mut self, echo: u64, sent: u64) {
        match self.status {
            Status::Unknown => self.status = Status::Alive,
            Status::Suspect | Status::Dead => {
                self.status = Status::Returning;
                self.challenge = sent + 1;
                self.check_challenge(echo);
            }
            Status::Returning => self.check_challenge(echo),
            Status::Alive => {}
        }
    }

    /// Takes in what another host of its data centre says; returns whether it is another life.
    pub fn apply_report(&mut self, now: Millis, update: &HostUpdate) -> bool {
        let is_other =
            update.incarnation.is_some() && self.lifecycle.incarnation != update.incarnation;
        if let Some(incarnation) = update.incarnation.filter(|_| is_other) {
            self.lifecycle.begin_reported(now, incarnation);
            self.reset();
        }
        self.last_report = now;
        self.status = if update.alive {
            Status::Alive
        } else {
            Status::Dead
        };
        is_other
    }

    /// Has the host tell all again.
    pub fn resync(&mut self) {
        self.received_seq = 0;
        self.synced = false;
    }

    /// Trusts the host again if it shows a number that was issued after its return.
    fn check_challenge(&mut self, echo: u64) {
        if echo >= self.challenge {
            self.status = Status::Alive;
        }
    }

    /// Starts a new life: nothing sent to the one before counts.
    pub fn reset(&mut self) {
        self.resync();
        self.acked_seq = 0;
        self.is_exchanging = false;
        self.challenge = 0;
        self.status = Status::Unknown;
    }

    /// Judges the silence, where beats go out to the host every `period`.
    pub fn apply_timeouts(&mut self, now: Millis, policy: &Policy, period: Millis) {
        let silence = now.since(self.last_report);
        if silence >= policy.dead_after(period) {
            self.status = Status::Dead;
        } else if silence >= policy.suspect_after(period) && self.status == Status::Alive {
            self.status = Status::Suspect;
        }
    }

    /// What this agent says of it.
    pub fn update(&self, host: &HostId) -> HostUpdate {
        HostUpdate {
            host: host.clone(),
            incarnation: self.lifecycle.incarnation,
            leaving: self.lifecycle.leaving,
            alive: self.is_usable(),
        }
    }
}
