//! One submission of a call that may not repeat.
//!
//! The call is sent only by the submission whose claim is certainly in the table, or, for a key
//! made by the router itself, by that router alone. `NotRun` is answered only where no submission
//! of the key can ever be sent: this one holds the row and will not send, or the row says so.

use base::prelude::*;
use serde::Serialize;
use strum::{Display, IntoStaticStr};

use crate::record::{Held, Outcome, Owner, State};

/// The wait before a write or a choice that failed is tried again.
const RETRY: Millis = Millis(50);

/// The wait between looks at a row that another submission holds.
const POLL: Millis = Millis(100);

/// How long a row is put in order after the caller has its answer.
const CLOSE: Millis = Millis(60_000);

/// How many looks find no row before the clearing of an abandoned claim ends.
const CLEAR_LOOKS: u32 = 20;

/// Where a key comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Origin {
    /// The caller chose it: other routers may have it too.
    Given,
    /// This router made it for this submission: no other router sends it.
    Minted,
    /// A router made it for an earlier submission: it is only looked up.
    Foreign,
}

/// The times of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Times {
    /// From here on the call is not sent.
    pub send_by: Millis,
    /// Here the caller has its answer.
    pub deadline: Millis,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The write took effect and made this version.
    Committed(u64),
    /// The row is as given: the write had no effect, or the row was read.
    Found(Option<Held>),
    /// The write or read has no certain answer.
    Failed,
    /// A backend server was chosen; the call is sent if the answer is [`Action::Send`].
    Ready,
    /// No backend server can be used now.
    NoServer,
    /// The chosen server certainly received nothing.
    Unsent,
    /// The server answered.
    Answered(Outcome),
    /// The call was sent and has no usable answer.
    Broke,
    /// The time of [`Once::due`] has come.
    Woke,
}

/// What a write expects of the row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// There is none.
    Absent,
    /// It is at this version.
    Version(u64),
}

/// What to do. All but [`Action::Answer`] replace the work that was under way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write the row with this state.
    Write(Expected, State),
    /// Take the row away, if it is at this version.
    Delete(u64),
    /// Read the row.
    Look,
    /// Choose a backend server and come back with [`Event::Ready`].
    Pick,
    /// Send the call now.
    Send,
    /// Tell the caller.
    Answer(Answer),
}

/// What the caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The answer that was just received.
    Fresh,
    /// The answer that an earlier submission received.
    Stored(Outcome),
    /// It was not run and never will be under this key.
    NotRun,
    /// It may have run.
    Unknown(Doubt),
    /// The key belongs to another call.
    Reused,
}

/// Why it is not known whether a call ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Doubt {
    /// It was sent and its answer is lost.
    Lost,
    /// Another submission holds the key and has not ended.
    Busy,
    /// The table gives no certain answer; this submission sent nothing.
    Store,
}

/// How far a submission is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// Its claim is being written.
    Claiming,
    /// It may be sent.
    Holding,
    /// It is being sent or was.
    Sent,
    /// It will not be sent; the row is being made to say so.
    Cancelling,
    /// Another submission holds the key.
    Waiting,
    /// The caller has its answer; the row is being put in order.
    Closing,
    /// The caller was told that the outcome is unknown; an own claim that shows up is removed.
    Clearing,
    /// Nothing is left to do.
    Over,
}

/// One submission.
///
/// # Invariants
///
/// Once `phase` has left [`Phase::Claiming`], [`Phase::Holding`] and [`Phase::Waiting`] without
/// reaching [`Phase::Sent`], no [`Action::Send`] follows.
#[derive(Clone, Debug, Serialize)]
pub struct Once {
    owner: Owner,
    digest: u64,
    origin: Origin,
    times: Times,
    phase: Phase,
    /// The version of the own claim, once certain; none for a key made here.
    version: Option<u64>,
    /// The work that waits for its time.
    #[serde(skip)]
    later: Option<(Millis, Action)>,
    /// The write that puts the row in order.
    #[serde(skip)]
    closing: Option<(Expected, State)>,
    looks: u32,
}

impl Once {
    /// A submission and its first work.
    pub fn new(owner: Owner, digest: u64, origin: Origin, times: Times) -> (Self, Action) {
        let (phase, action) = match origin {
            Origin::Given => (Phase::Claiming, claim()),
            Origin::Minted => (Phase::Holding, Action::Pick),
            Origin::Foreign => (Phase::Waiting, Action::Look),
        };
        let once = Self {
            owner,
            digest,
            origin,
            times,
            phase,
            version: None,
            later: None,
            closing: None,
            looks: 0,
        };
        (once, action)
    }

    /// How far the submission is.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The digest of the call.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// When [`Event::Woke`] is due.
    pub fn due(&self) -> Millis {
        let limit = match self.phase {
            Phase::Claiming | Phase::Holding => self.times.send_by,
            Phase::Sent | Phase::Cancelling | Phase::Waiting => self.times.deadline,
            Phase::Closing | Phase::Clearing => self.times.deadline + CLOSE,
            Phase::Over => Millis::MAX,
        };
        let later = self.later.as_ref().map_or(Millis::MAX, |(at, _)| *at);
        limit.min(later)
    }

    /// Takes in an event.
    pub fn on(&mut self, now: Millis, event: Event) -> Vec<Action> {
        if event == Event::Woke {
            return self.wake(now);
        }
        match self.phase {
            Phase::Claiming => self.claiming(now, event),
            Phase::Holding => self.holding(now, event),
            Phase::Sent => self.sent(now, event),
            Phase::Cancelling => self.cancelling(now, event),
            Phase::Waiting => self.waiting(now, event),
            Phase::Closing => self.closing(now, event),
            Phase::Clearing => self.clearing(now, event),
            Phase::Over => Vec::new(),
        }
    }

    /// Acts on the time alone.
    fn wake(&mut self, now: Millis) -> Vec<Action> {
        let is_late = now >= self.times.send_by;
        let is_over = now >= self.times.deadline;
        match self.phase {
            Phase::Claiming if is_late => self.abandon(),
            Phase::Holding if is_late => self.renounce(),
            Phase::Sent if is_over => self.lose(),
            Phase::Cancelling if is_over => self.doubt(Doubt::Store),
            Phase::Waiting if is_over => self.doubt(Doubt::Busy),
            Phase::Closing | Phase::Clearing if now >= self.times.deadline + CLOSE => self.end(),
            _ => self.resume(now),
        }
    }

    /// Starts the work whose time has come.
    fn resume(&mut self, now: Millis) -> Vec<Action> {
        match self.later.take_if(|(at, _)| *at <= now) {
            Some((_, action)) => vec![action],
            None => Vec::new(),
        }
    }

    fn claiming(&mut self, now: Millis, event: Event) -> Vec<Action> {
        match event {
            Event::Committed(version) => self.hold(now, version),
            Event::Found(Some(held)) if self.is_own_claim(&held) => self.hold(now, held.version),
            Event::Found(Some(held)) => self.meet(now, held),
            _ if now >= self.times.send_by => self.abandon(),
            _ => self.delay(now + RETRY, claim()),
        }
    }

    /// The claim is certain.
    fn hold(&mut self, now: Millis, version: u64) -> Vec<Action> {
        self.version = Some(version);
        if now >= self.times.send_by {
            return self.renounce();
        }
        self.enter(Phase::Holding);
        vec![Action::Pick]
    }

    fn holding(&mut self, now: Millis, event: Event) -> Vec<Action> {
        if now >= self.times.send_by {
            return self.renounce();
        }
        match event {
            Event::Ready => {
                self.enter(Phase::Sent);
                vec![Action::Send]
            }
            Event::NoServer => self.delay(now + RETRY, Action::Pick),
            _ => Vec::new(),
        }
    }

    fn sent(&mut self, now: Millis, event: Event) -> Vec<Action> {
        match event {
            Event::Answered(outcome) => {
                let mut actions = vec![Action::Answer(Answer::Fresh)];
                actions.extend(self.close(self.expected(), State::Done(outcome)));
                actions
            }
            Event::Unsent if now >= self.times.send_by => self.renounce(),
            Event::Unsent => {
                self.enter(Phase::Holding);
                self.delay(now + RETRY, Action::Pick)
            }
            Event::Broke => self.lose(),
            _ => Vec::new(),
        }
    }

    fn cancelling(&mut self, now: Millis, event: Event) -> Vec<Action> {
        match event {
            Event::Committed(_) => self.finish(Answer::NotRun),
            // The claim took effect after all; its owner, this submission, does not send.
            Event::Found(Some(held)) if self.is_own_claim(&held) => {
                self.version = Some(held.version);
                self.renounce()
            }
            Event::Found(Some(held)) => self.meet(now, held),
            _ if now >= self.times.deadline => self.doubt(Doubt::Store),
            _ => self.delay(now + RETRY, cancel()),
        }
    }

    fn waiting(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let may_claim = self.origin == Origin::Given && now < self.times.send_by;
        match event {
            Event::Found(Some(held)) => self.meet(now, held),
            // The other submission gave its claim up and has told nobody that it was not run.
            Event::Found(None) if may_claim => {
                self.enter(Phase::Claiming);
                vec![claim()]
            }
            _ if now >= self.times.deadline => self.doubt(Doubt::Busy),
            _ => self.delay(now + POLL, Action::Look),
        }
    }

    fn closing(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let Some((expected, state)) = self.closing.clone() else {
            return self.end();
        };
        match event {
            Event::Found(Some(held)) if self.is_own_claim(&held) => {
                self.close(Expected::Version(held.version), state)
            }
            Event::Failed => self.delay(now + RETRY, Action::Write(expected, state)),
            _ => self.end(),
        }
    }

    fn clearing(&mut self, now: Millis, event: Event) -> Vec<Action> {
        match event {
            Event::Found(Some(held)) if self.is_own_claim(&held) => {
                vec![Action::Delete(held.version)]
            }
            Event::Found(Some(_)) | Event::Committed(_) => self.end(),
            Event::Found(None) if self.looks >= CLEAR_LOOKS => self.end(),
            Event::Found(None) => {
                self.looks += 1;
                self.delay(now + POLL, Action::Look)
            }
            _ => self.delay(now + RETRY, Action::Look),
        }
    }

    /// Acts on a row that another submission wrote.
    fn meet(&mut self, now: Millis, held: Held) -> Vec<Action> {
        if held.record.digest != self.digest {
            return self.finish(Answer::Reused);
        }
        match held.record.state {
            State::Done(outcome) => self.finish(Answer::Stored(outcome)),
            State::Cancelled => self.finish(Answer::NotRun),
            State::Lost => self.finish(Answer::Unknown(Doubt::Lost)),
            State::Running if now >= self.times.deadline => self.doubt(Doubt::Busy),
            State::Running => {
                self.enter(Phase::Waiting);
                self.delay(now + POLL, Action::Look)
            }
        }
    }

    /// Gives up a claim that is not certain.
    fn abandon(&mut self) -> Vec<Action> {
        self.enter(Phase::Cancelling);
        vec![cancel()]
    }

    /// Gives up the certain right to send: nobody else ever has it.
    fn renounce(&mut self) -> Vec<Action> {
        let mut actions = vec![Action::Answer(Answer::NotRun)];
        actions.extend(self.close(self.expected(), State::Cancelled));
        actions
    }

    /// Ends a call that was sent and has no answer.
    fn lose(&mut self) -> Vec<Action> {
        let mut actions = vec![Action::Answer(Answer::Unknown(Doubt::Lost))];
        actions.extend(self.close(self.expected(), State::Lost));
        actions
    }

    /// Tells the caller that nothing certain is known.
    fn doubt(&mut self, doubt: Doubt) -> Vec<Action> {
        self.enter(Phase::Clearing);
        vec![Action::Answer(Answer::Unknown(doubt)), Action::Look]
    }

    fn close(&mut self, expected: Expected, state: State) -> Vec<Action> {
        self.enter(Phase::Closing);
        self.closing = Some((expected, state.clone()));
        vec![Action::Write(expected, state)]
    }

    fn finish(&mut self, answer: Answer) -> Vec<Action> {
        self.enter(Phase::Over);
        vec![Action::Answer(answer)]
    }

    fn end(&mut self) -> Vec<Action> {
        self.enter(Phase::Over);
        Vec::new()
    }

    fn delay(&mut self, at: Millis, action: Action) -> Vec<Action> {
        self.later = Some((at, action));
        Vec::new()
    }

    fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        self.later = None;
    }

    fn expected(&self) -> Expected {
        self.version.map_or(Expected::Absent, Expected::Version)
    }

    fn is_own_claim(&self, held: &Held) -> bool {
        held.record.owner == self.owner && held.record.state == State::Running
    }
}

/// The write of a claim.
fn claim() -> Action {
    Action::Write(Expected::Absent, State::Running)
}

/// The write that keeps all submissions of an unclaimed key from being sent.
fn cancel() -> Action {
    Action::Write(Expected::Absent, State::Cancelled)
}
