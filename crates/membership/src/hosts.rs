//! The view that this agent has of one entry host.
//!
//! A host that was suspect or dead counts as alive again only after a challenge: it must echo a sequence
//! number issued after its return. That proves that it runs now, while a message alone may be a delayed one.

use base::prelude::*;
use serde::Serialize;
use strum::{Display, IntoStaticStr};

use crate::heartbeat::{Heartbeat, HostUpdate};
use crate::listed::Place;
use crate::policy::Policy;

/// How many past incarnations are remembered, so that late messages from them are recognised.
const PAST_INCARNATIONS: usize = 8;

/// Liveness of a host, by the time since its last message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display, IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Status {
    /// Listed, but no message received yet.
    Unknown,
    /// Within the suspicion timeout.
    Alive,
    /// Past the suspicion timeout.
    Suspect,
    /// Past the death timeout.
    Dead,
    /// Received from again, but the challenge is not answered yet.
    Returning,
}

/// The incarnation of a member, whether it is leaving, and its past incarnations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Lifecycle {
    /// The current incarnation; `None` until one is reported.
    pub incarnation: Option<Incarnation>,
    /// Whether it is leaving; never reset within an incarnation.
    pub leaving: bool,
    /// Whether the first reading of the host list marked it as leaving.
    ///
    /// As the list lags, the mark may refer to a past incarnation. It counts until the list drops it, and
    /// becomes final (`leaving`) once the list still has it after its maximum lag.
    #[serde(rename = "doubtful")]
    pub maybe_leaving: bool,
    /// When the incarnation was first reported, or the member first listed.
    #[serde(rename = "born")]
    pub first_observed: Millis,
    past: Vec<Incarnation>,
    /// Whether the last reading of the host list marked it as leaving; `None` before the first.
    #[serde(rename = "listed")]
    listed_leaving: Option<bool>,
}

/// How a reported incarnation relates to the known ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observed {
    /// The current incarnation.
    Same,
    /// An incarnation not reported before.
    New,
    /// A past incarnation.
    Past,
}

impl Lifecycle {
    /// A member without a known incarnation, first listed at `now`.
    pub fn new(now: Millis) -> Self {
        Self {
            first_observed: now,
            ..Self::default()
        }
    }

    /// An incarnation that starts now. A leaving mark that the host list has from the start is ignored until
    /// the maximum lag has passed, as it refers to a previous incarnation.
    pub fn with_incarnation(now: Millis, incarnation: Incarnation) -> Self {
        Self {
            incarnation: Some(incarnation),
            first_observed: now,
            listed_leaving: Some(true),
            ..Self::default()
        }
    }

    /// Whether it should get no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.maybe_leaving
    }

    /// Applies an incarnation reported by the member itself; a new one starts as not leaving.
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

    /// Switches to an incarnation reported by a third party. The previous one is not recorded as past, since
    /// such a report does not prove that it has ended.
    pub fn begin_reported(&mut self, now: Millis, incarnation: Incarnation) {
        self.past.retain(|p| *p != incarnation);
        let before = self.incarnation.replace(incarnation);
        if before.is_some() {
            self.leaving = false;
            self.maybe_leaving = false;
        }
        self.first_observed = now;
    }

    /// Switches to another incarnation and records the previous one as past.
    pub fn begin(&mut self, now: Millis, incarnation: Incarnation) {
        if let Some(old) = self.incarnation.replace(incarnation) {
            // Reset only if there was a previous incarnation; otherwise the marks refer to this one.
            self.leaving = false;
            self.maybe_leaving = false;
            self.past.push(old);
            let extra = self.past.len().saturating_sub(PAST_INCARNATIONS);
            self.past.drain(..extra);
        }
        self.first_observed = now;
    }

    /// Applies the leaving mark of the host list, which lags by at most `lag`.
    pub fn apply_listed(&mut self, now: Millis, leaving: bool, lag: Millis) {
        let before = self.listed_leaving.replace(leaving);
        if !leaving {
            self.maybe_leaving = false;
            return;
        }
        // Within the lag after the incarnation began, the mark may refer to the previous one.
        let is_current = now.since(self.first_observed) >= lag;
        if before == Some(false) || is_current {
            self.leaving = true;
        } else if before.is_none() {
            self.maybe_leaving = true;
        }
    }
}

/// An entry host other than this agent's own.
#[derive(Clone, Debug, Serialize)]
pub struct Host {
    /// Data centre and addresses.
    pub place: Place,
    /// Incarnations, and whether it is leaving.
    #[serde(rename = "life")]
    pub lifecycle: Lifecycle,
    /// Liveness as of the last check or message.
    #[serde(rename = "standing")]
    pub status: Status,
    /// Whether the last reading of the host list contains it.
    pub is_listed: bool,
    /// When it last sent a message, or the partner in its data centre last reported on it; initially when it
    /// became known.
    #[serde(rename = "heard")]
    pub last_report: Millis,
    /// The highest sequence number up to which all its updates have been applied here; sent as `echo`.
    #[serde(rename = "seen")]
    pub received_seq: u64,
    /// Whether it has sent a full snapshot since the last reset.
    pub synced: bool,
    /// The last `echo` received: this agent's sequence number that the host has acknowledged.
    #[serde(rename = "acked")]
    pub acked_seq: u64,
    /// The sequence number that a returning host must echo before it counts as alive.
    challenge: u64,
    /// When a heartbeat was last sent to it; `None` before the first.
    #[serde(rename = "beaten")]
    pub last_sent: Option<Millis>,
    /// Whether a heartbeat of its current incarnation has been received.
    #[serde(rename = "exchanges")]
    pub is_exchanging: bool,
    /// Whether a heartbeat is to be sent now, regardless of `last_sent`.
    pub is_due: bool,
    /// Sequence number of the last change of this agent's view of it.
    #[serde(rename = "changed")]
    pub last_change: u64,
}

impl Host {
    /// A host from which no message has been received.
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

    /// Whether it can be taken as running: alive, or listed without a message so far.
    pub fn is_usable(&self) -> bool {
        matches!(self.status, Status::Alive | Status::Unknown)
    }

    /// Applies a heartbeat of the current incarnation; `echo` is this agent's sequence number that it
    /// acknowledges.
    ///
    /// The caller must call [`Host::apply_timeouts`] first if the host is subject to them, as this resets the
    /// time since the last message; otherwise a pause of either side goes unnoticed.
    pub fn receive(&mut self, now: Millis, heartbeat: &Heartbeat, echo: u64) {
        self.last_report = now;
        self.is_exchanging = true;
        self.synced |= heartbeat.is_full;
        if self.synced {
            self.received_seq = self.received_seq.max(heartbeat.seq);
        }
        self.acked_seq = echo;
    }

    /// Updates the status on a heartbeat with this echo; `sent` is the last sequence number issued here.
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

    /// Applies the report of another host of its data centre; returns whether the incarnation differs.
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

    /// Discards what was received, so that the echo makes the host send a full snapshot again.
    pub fn resync(&mut self) {
        self.received_seq = 0;
        self.synced = false;
    }

    /// Marks the host as alive if it echoes a sequence number issued after its return.
    fn check_challenge(&mut self, echo: u64) {
        if echo >= self.challenge {
            self.status = Status::Alive;
        }
    }

    /// Resets the exchange for a new incarnation, which has received nothing of what was sent so far.
    pub fn reset(&mut self) {
        self.resync();
        self.acked_seq = 0;
        self.is_exchanging = false;
        self.challenge = 0;
        self.status = Status::Unknown;
    }

    /// Marks the host as suspect or dead by the time since its last message, given its heartbeat `period`.
    pub fn apply_timeouts(&mut self, now: Millis, policy: &Policy, period: Millis) {
        let elapsed = now.since(self.last_report);
        if elapsed >= policy.dead_after(period) {
            self.status = Status::Dead;
        } else if elapsed >= policy.suspect_after(period) && self.status == Status::Alive {
            self.status = Status::Suspect;
        }
    }

    /// The update on this host for other agents.
    pub fn update(&self, host: &HostId) -> HostUpdate {
        HostUpdate {
            host: host.clone(),
            incarnation: self.lifecycle.incarnation,
            leaving: self.lifecycle.leaving,
            alive: self.is_usable(),
        }
    }
}
