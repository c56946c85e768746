//! One submission of a call that may not repeat.
//!
//! The call is sent only by the submission whose claim is certainly in the table, or, for a key
//! made by the router itself, by that router alone. `NotRun` is answered only where no submission
//! of the key can ever be sent: this one holds the row and will not send, or the row says so.

use base::prelude::*;
use serde::Serialize;
use strum::{Display, IntoStaticStr};

use crate::record::{Outcome, Owner, State, VersionedRecord};

/// The wait before a write or a choice that failed is tried again.
const RETRY_DELAY: Millis = Millis(50);

/// The wait between looks at a row that another submission holds.
const POLL_INTERVAL: Millis = Millis(100);

/// How long a row is put in order after the caller has its answer.
const CLEANUP_LIMIT: Millis = Millis(60_000);

/// How many looks find no row before the clearing of an abandoned claim ends.
const MAX_EMPTY_READS: u32 = 20;

/// Where a key comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum KeyOrigin {
    /// The caller chose it: other routers may have it too.
    #[serde(rename = "Given")]
    Caller,
    /// This router made it for this submission: no other router sends it.
    #[serde(rename = "Minted")]
    Generated,
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
    Found(Option<VersionedRecord>),
    /// The write or read has no certain answer.
    Unconfirmed,
    /// A backend server was chosen; the call is sent if the answer is [`Action::Send`].
    ServerReady,
    /// No backend server can be used now.
    NoServer,
    /// The chosen server certainly received nothing.
    NotSent,
    /// The server answered.
    Answered(Outcome),
    /// The call was sent and has no usable answer.
    NoAnswer,
    /// The time of [`Submission::due`] has come.
    TimerFired,
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
    Read,
    /// Choose a backend server and come back with [`Event::ServerReady`].
    SelectServer,
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
    Unknown(UnknownReason),
    /// The key belongs to another call.
    Reused,
}

/// Why it is not known whether a call ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum UnknownReason {
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
pub struct Submission {
    owner: Owner,
    digest: u64,
    origin: KeyOrigin,
    times: Times,
    phase: Phase,
    /// The version of the own claim, once certain; none for a key made here.
    version: Option<u64>,
    /// The work that waits for its time.
    #[serde(skip)]
    deferred: Option<(Millis, Action)>,
    /// The write that puts the row in order.
    #[serde(skip)]
    final_write: Option<(Expected, State)>,
    #[serde(rename = "looks")]
    empty_reads: u32,
}

impl Submission {
    /// A submission and its first work.
    pub fn new(owner: Owner, digest: u64, origin: KeyOrigin, times: Times) -> (Self, Action) {
        let (phase, action) = match origin {
            KeyOrigin::Caller => (Phase::Claiming, claim()),
            KeyOrigin::Generated => (Phase::Holding, Action::SelectServer),
            KeyOrigin::Foreign => (Phase::Waiting, Action::Read),
        };
        let submission = Self {
            owner,
            digest,
            origin,
            times,
            phase,
            version: None,
            deferred: None,
            final_write: None,
            empty_reads: 0,
        };
        (submission, action)
    }

    /// How far the submission is.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The digest of the call.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// When [`Event::TimerFired`] is due.
    pub fn due(&self) -> Millis {
        let limit = match self.phase {
            Phase::Claiming | Phase::Holding => self.times.send_by,
            Phase::Sent | Phase::Cancelling | Phase::Waiting => self.times.deadline,
            Phase::Closing | Phase::Clearing => self.times.deadline + CLEANUP_LIMIT,
            Phase::Over => Millis::MAX,
        };
        let deferred = self.deferred.as_ref().map_or(Millis::MAX, |(at, _)| *at);
        limit.min(deferred)
    }

    /// Takes in an event.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        if event == Event::TimerFired {
            return self.on_timer(now);
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
    fn on_timer(&mut self, now: Millis) -> Vec<Action> {
        let is_late = now >= self.times.send_by;
        let is_expired = now >= self.times.deadline;
        match self.phase {
            Phase::Claiming if is_late => self.cancel_unconfirmed(),
            Phase::Holding if is_late => self.cancel_confirmed(),
            Phase::Sent if is_expired => self.answer_lost(),
            Phase::Cancelling if is_expired => self.answer_unknown(UnknownReason::Store),
            Phase::Waiting if is_expired => self.answer_unknown(UnknownReason::Busy),
            Phase::Closing | Phase::Clearing if now >= self.times.deadline + CLEANUP_LIMIT => {
                self.end()
            }
            _ => self.run_deferred(now),
        }
    }

    /// Starts the work whose time has come.
    fn run_deferred(&mut self, now: Millis) -> Vec<Action> {
        match self.deferred.take_if(|(at, _)| *at <= now) {
            Some((_, action)) => vec![action],
            None => Vec::new(),
        }
    }

    fn claiming(&mut self, now: Millis, event: Event) -> Vec<Action> {
        match event {
            Event::Committed(version) => self.confirm_claim(now, version),
            Event::Found(Some(row)) if self.is_own_claim(&row) => {
                self.confirm_claim(now, row.version)
            }
            Event::Found(Some(row)) => self.resolve_row(now, row),
            _ if now >= self.times.send_by => self.cancel_unconfirmed(),
            _ => self.defer(now + RETRY_DELAY, claim()),
        }
    }

    /// The claim is certain.
    fn confirm_claim(&mut self, now: Millis, version: u64) -> Vec<Action> {
        self.version = Some(version);
        if now >= self.times.send_by {
            return self.cancel_confirmed();
        }
        self.enter(Phase::Holding);
        vec![Action::SelectServer]
    }

    fn holding(&mut self, now: Millis, event: Event) -> Vec<Action> {
        if now >= self.times.send_by {
            return self.cancel_confirmed();
        }
        match event {
            Event::ServerReady => {
                self.enter(Phase::Sent);
                vec![Action::Send]
            }
            Event::NoServer => self.defer(now + RETRY_DELAY, Action::SelectServer),
            _ => Vec::new(),
        }
    }

    fn sent(&mut self, now: Millis, event: Event) -> Vec<Action> {
        match event {
            Event::Answered(outcome) => {
                let mut actions = vec![Action::Answer(Answer::Fresh)];
                actions.extend(self.write_final(self.expected(), State::Done(outcome)));
                actions
            }
            Event::NotSent if now >= self.times.send_by => self.cancel_confirmed(),
            Event::NotSent => {
                self.enter(Phase::Holding);
                self.defer(now + RETRY_DELAY, Action::SelectServer)
            }
            Event::NoAnswer => self.answer_lost(),
            _ => Vec::new(),
        }
    }

    fn cancelling(&mut self, now: Millis, event: Event) -> Vec<Action> {
        match event {
            Event::Committed(_) => self.finish(Answer::NotRun),
            // The claim took effect after all; its owner, this submission, does not send.
            Event::Found(Some(row)) if self.is_own_claim(&row) => {
                self.version = Some(row.version);
                self.cancel_confirmed()
            }
            Event::Found(Some(row)) => self.resolve_row(now, row),
            _ if now >= self.times.deadline => self.answer_unknown(UnknownReason::Store),
            _ => self.defer(now + RETRY_DELAY, cancel()),
        }
    }

    fn waiting(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let may_claim = self.origin == KeyOrigin::Caller && now < self.times.send_by;
        match event {
            Event::Found(Some(row)) => self.resolve_row(now, row),
            // The other submission gave its claim up and has told nobody that it was not run.
            Event::Found(None) if may_claim => {
                self.enter(Phase::Claiming);
                vec![claim()]
            }
            _ if now >= self.times.deadline => self.answer_unknown(UnknownReason::Busy),
            _ => self.defer(now + POLL_INTERVAL, Action::Read),
        }
    }

    fn closing(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let Some((expected, state)) = self.final_write.clone() else {
            return self.end();
        };
        match event {
            Event::Found(Some(row)) if self.is_own_claim(&row) => {
                self.write_final(Expected::Version(row.version), state)
            }
            Event::Unconfirmed => self.defer(now + RETRY_DELAY, Action::Write(expected, state)),
            _ => self.end(),
        }
    }

    fn clearing(&mut self, now: Millis, event: Event) -> Vec<Action> {
        match event {
            Event::Found(Some(row)) if self.is_own_claim(&row) => {
                vec![Action::Delete(row.version)]
            }
            Event::Found(Some(_)) | Event::Committed(_) => self.end(),
            Event::Found(None) if self.empty_reads >= MAX_EMPTY_READS => self.end(),
            Event::Found(None) => {
                self.empty_reads += 1;
                self.defer(now + POLL_INTERVAL, Action::Read)
            }
            _ => self.defer(now + RETRY_DELAY, Action::Read),
        }
    }

    /// Acts on a row that another submission wrote.
    fn resolve_row(&mut self, now: Millis, row: VersionedRecord) -> Vec<Action> {
        if row.record.digest != self.digest {
            return self.finish(Answer::Reused);
        }
        match row.record.state {
            State::Done(outcome) => self.finish(Answer::Stored(outcome)),
            State::Cancelled => self.finish(Answer::NotRun),
            State::Lost => self.finish(Answer::Unknown(UnknownReason::Lost)),
            State::Running if now >= self.times.deadline => {
                self.answer_unknown(UnknownReason::Busy)
            }
            State::Running => {
                self.enter(Phase::Waiting);
                self.defer(now + POLL_INTERVAL, Action::Read)
            }
        }
    }

    /// Gives up a claim that is not certain.
    fn cancel_unconfirmed(&mut self) -> Vec<Action> {
        self.enter(Phase::Cancelling);
        vec![cancel()]
    }

    /// Gives up the certain right to send: nobody else ever has it.
    fn cancel_confirmed(&mut self) -> Vec<Action> {
        let mut actions = vec![Action::Answer(Answer::NotRun)];
        actions.extend(self.write_final(self.expected(), State::Cancelled));
        actions
    }

    /// Ends a call that was sent and has no answer.
    fn answer_lost(&mut self) -> Vec<Action> {
        let mut actions = vec![Action::Answer(Answer::Unknown(UnknownReason::Lost))];
        actions.extend(self.write_final(self.expected(), State::Lost));
        actions
    }

    /// Tells the caller that nothing certain is known.
    fn answer_unknown(&mut self, reason: UnknownReason) -> Vec<Action> {
        self.enter(Phase::Clearing);
        vec![Action::Answer(Answer::Unknown(reason)), Action::Read]
    }

    fn write_final(&mut self, expected: Expected, state: State) -> Vec<Action> {
        self.enter(Phase::Closing);
        self.final_write = Some((expected, state.clone()));
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

    fn defer(&mut self, at: Millis, action: Action) -> Vec<Action> {
        self.deferred = Some((at, action));
        Vec::new()
    }

    fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        self.deferred = None;
    }

    fn expected(&self) -> Expected {
        self.version.map_or(Expected::Absent, Expected::Version)
    }

    fn is_own_claim(&self, row: &VersionedRecord) -> bool {
        row.record.owner == self.owner && row.record.state == State::Running
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
