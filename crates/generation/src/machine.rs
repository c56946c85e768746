//! The state machine of one generation.

use base::prelude::*;
use serde::Serialize;

use crate::event::{Action, Event, Failure, OpenError};
use crate::policy::{Mode, ModelGone, Policy};
use crate::run::{Run, Stage};

/// The most engine streams that run at once for one generation.
const MAX_RUNS: usize = 2;

/// The greatest multiple of the retry wait between two tries.
const MAX_BACKOFF: u32 = 8;

/// Counts for metrics and state dumps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Tokens dropped because their offset was already taken or their attempt no longer counts.
    pub dropped: u64,
    /// Offsets that were skipped by an engine and read again.
    pub gaps: u64,
    /// Streams resumed over a new connection.
    pub probes: u64,
    /// Second attempts started on suspicion.
    pub hedges: u64,
    /// Suspected streams that went on.
    pub alarms: u64,
    /// Losses after which output went on.
    pub recoveries: u64,
    /// Pauses of the owner itself.
    pub pauses: u64,
}

/// A loss of output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
struct Loss {
    /// When the last token before it came.
    at: Millis,
    /// The attempt that gave that token.
    attempt: Option<Attempt>,
}

/// One generation at its owner.
///
/// # Invariants
///
/// `delivered <= released <= tokens.len()`; the tokens never change once taken, except by
/// [`Action::Restart`], which drops them all.
#[derive(Clone, Debug, Serialize)]
pub struct Generation {
    policy: Policy,
    #[serde(skip)]
    tokens: Vec<Token>,
    runs: Vec<Run>,
    /// The attempt whose tokens were taken last.
    current: Option<Attempt>,
    /// Attempts that are left out when a backend server is chosen.
    avoid: Vec<Attempt>,
    attempts: Attempt,
    is_whole: bool,
    released: Offset,
    delivered: Offset,
    /// When the next try to open an attempt is due, while none runs.
    retry_at: Option<Millis>,
    tries: u32,
    last_token: Millis,
    last_write: Millis,
    last_event: Millis,
    /// The loss after which output has not gone on yet.
    loss: Option<Loss>,
    gone_at: Option<Millis>,
    is_verified: bool,
    is_reading: bool,
    is_over: bool,
    counts: Counts,
}

impl Generation {
    /// A new generation; [`Self::start`] sets it going.
    pub fn new(now: Millis, policy: Policy) -> Self {
        Self {
            policy,
            tokens: Vec::new(),
            runs: Vec::new(),
            current: None,
            avoid: Vec::new(),
            attempts: Attempt(0),
            is_whole: false,
            released: Offset(0),
            delivered: Offset(0),
            retry_at: None,
            tries: 0,
            last_token: now,
            last_write: now,
            last_event: now,
            loss: None,
            gone_at: None,
            is_verified: true,
            is_reading: true,
            is_over: false,
            counts: Counts::default(),
        }
    }

    /// A generation taken over with `tokens`, of which the caller has those before `delivered`.
    pub fn takeover(
        now: Millis,
        policy: Policy,
        tokens: Vec<Token>,
        is_whole: bool,
        delivered: Offset,
    ) -> Self {
        Self {
            tokens,
            is_whole,
            released: delivered,
            delivered,
            loss: Some(Loss {
                at: now,
                attempt: None,
            }),
            ..Self::new(now, policy)
        }
    }

    /// Sets the generation going.
    ///
    /// With `has_stream`, attempt 1 stands for the engine stream of the previous owner, which is
    /// resumed before a new one is opened.
    pub fn start(&mut self, now: Millis, has_stream: bool, out: &mut Vec<Action>) {
        if !self.tokens.is_empty() {
            self.journal(out);
        }
        if self.is_whole {
            return;
        }
        if !has_stream {
            self.open(now, false, out);
            return;
        }
        self.attempts = self.attempts.next();
        self.loss = Some(Loss {
            at: now,
            attempt: Some(self.attempts),
        });
        let mut run = Run::new(now, self.attempts, false);
        run.stage = Stage::Probing(now);
        self.runs.push(run);
        out.push(Action::Reattach {
            attempt: self.attempts,
            from: self.next(),
        });
    }

    /// Takes in what has happened and adds what has to be done to `out`.
    pub fn on(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        if self.is_over {
            return;
        }
        self.notice_pause(now, out);
        self.last_event = now;
        match event {
            Event::Opened { attempt, offset } => self.opened(now, attempt, offset, out),
            Event::OpenFailed { attempt, cause } => self.open_failed(now, attempt, cause, out),
            Event::Token {
                attempt,
                offset,
                token,
            } => self.token(now, attempt, offset, token, out),
            Event::Ended { attempt, length } => self.ended(now, attempt, length, out),
            Event::Broken { attempt, .. } => self.broken(now, attempt, out),
            Event::Released(upto) => self.released = self.released.max(upto),
            Event::Verified => self.is_verified = true,
            Event::Superseded => self.superseded(out),
            Event::CallerGone => self.gone_at = self.gone_at.or(Some(now)),
            Event::Reading(is_reading) => self.set_reading(now, is_reading),
            Event::Tick => self.tick(now, out),
        }
        self.deliver(now, out);
    }

    /// The tokens so far.
    pub fn tokens(&self) -> &[Token] {
        &self.tokens
    }

    /// The offset of the next token.
    pub fn next(&self) -> Offset {
        Offset(self.tokens.len() as u64)
    }

    /// The tokens that the caller was sent.
    pub fn delivered(&self) -> Offset {
        self.delivered
    }

    /// Whether the output is whole.
    pub fn is_whole(&self) -> bool {
        self.is_whole
    }

    /// Whether nothing more will be asked for.
    pub fn is_over(&self) -> bool {
        self.is_over
    }

    /// What has been counted.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// When an [`Event::Tick`] is next needed.
    pub fn wake(&self, now: Millis) -> Millis {
        let mut at = self.last_write + Millis(self.policy.keepalive_ms);
        at = at.min(self.last_event + Millis(self.policy.pause_ms / 2));
        if let Some(retry) = self.retry_at {
            at = at.min(retry);
        }
        if let Some(gone) = self.gone_at {
            at = at.min(gone + Millis(self.policy.orphan_ms));
        }
        for run in &self.runs {
            at = at.min(self.run_wake(run));
        }
        at.max(now + Millis(1))
    }

    /// When a run needs a decision.
    fn run_wake(&self, run: &Run) -> Millis {
        if !self.is_reading {
            return Millis::MAX;
        }
        let Stage::Probing(since) = run.stage else {
            return run.suspect_at(&self.policy);
        };
        if run.is_hedged || self.policy.mode == Mode::Cost {
            return since + Millis(self.policy.confirm_ms);
        }
        since + Millis(self.policy.hedge_ms)
    }

    /// Notices that the owner itself was paused: its timers say nothing of others, and another
    /// router may own the request by now.
    fn notice_pause(&mut self, now: Millis, out: &mut Vec<Action>) {
        if now.since(self.last_event).0 < self.policy.pause_ms {
            return;
        }
        self.counts.pauses += 1;
        self.is_verified = false;
        for run in &mut self.runs {
            run.last = now;
            if run.is_probing() {
                run.stage = Stage::Probing(now);
            }
        }
        self.last_token = now;
        out.push(Action::Verify);
    }

    fn opened(&mut self, now: Millis, attempt: Attempt, offset: Offset, out: &mut Vec<Action>) {
        let next = self.next();
        let Some(run) = self.run_mut(attempt) else {
            out.push(Action::Cancel(attempt));
            return;
        };
        if offset > next {
            // The engine started beyond what is held; what lies between is nowhere to be had.
            self.give_up(now, attempt, out);
            return;
        }
        run.opened(now);
        self.tries = 0;
        if self.current.is_none() {
            self.make_current(attempt, out);
        }
    }

    fn open_failed(
        &mut self,
        now: Millis,
        attempt: Attempt,
        cause: OpenError,
        out: &mut Vec<Action>,
    ) {
        if self.run_mut(attempt).is_none() {
            return;
        }
        match cause {
            OpenError::Invalid => self.fail(Failure::Invalid, out),
            OpenError::ModelGone if self.runs.len() == 1 => self.model_gone(now, attempt, out),
            OpenError::NoBackend | OpenError::ModelGone | OpenError::Busy => {
                self.drop_run(attempt);
                self.retry_later(now);
            }
            OpenError::Unreachable | OpenError::NoStream => {
                self.avoid.push(attempt);
                self.drop_run(attempt);
                // If this was a second attempt beside a suspected one, another may start.
                for run in &mut self.runs {
                    run.is_hedged = false;
                }
                if self.runs.is_empty() {
                    self.open_again(now, out);
                }
            }
        }
    }

    fn token(
        &mut self,
        now: Millis,
        attempt: Attempt,
        offset: Offset,
        token: Token,
        out: &mut Vec<Action>,
    ) {
        let next = self.next();
        let counts = self.run_mut(attempt).is_some() && !self.is_whole;
        if !counts || offset < next {
            self.counts.dropped += 1;
            return;
        }
        if offset > next {
            self.skipped(now, attempt, out);
            return;
        }
        if let Some(run) = self.run_mut(attempt) {
            run.token(now);
        }
        self.tokens.push(token);
        self.last_token = now;
        self.note_recovery(now, attempt, out);
        self.make_current(attempt, out);
        self.cancel_others(attempt, out);
        self.journal(out);
    }

    fn ended(&mut self, now: Millis, attempt: Attempt, length: u64, out: &mut Vec<Action>) {
        if self.run_mut(attempt).is_none() || self.is_whole {
            return;
        }
        let next = self.next().0;
        if length > next {
            self.skipped(now, attempt, out);
            return;
        }
        if length < next {
            self.give_up(now, attempt, out);
            return;
        }
        self.is_whole = true;
        self.cancel_others(attempt, out);
        self.runs.clear();
        self.retry_at = None;
        self.journal(out);
    }

    /// An engine skipped offsets: they are read again over a new connection.
    fn skipped(&mut self, now: Millis, attempt: Attempt, out: &mut Vec<Action>) {
        let is_probing = self.run_mut(attempt).is_some_and(|r| r.is_probing());
        if is_probing {
            // A new connection is being opened already.
            self.counts.dropped += 1;
            return;
        }
        self.counts.gaps += 1;
        self.probe(now, attempt, out);
    }

    fn broken(&mut self, now: Millis, attempt: Attempt, out: &mut Vec<Action>) {
        let Some(run) = self.run_mut(attempt) else {
            return;
        };
        let was_probing = run.is_probing();
        if self.policy.mode == Mode::Scratch {
            self.restart(now, out);
        } else if was_probing {
            // A stream that breaks on the new connection as well has no engine behind it.
            self.give_up(now, attempt, out);
        } else {
            self.probe(now, attempt, out);
        }
    }

    fn superseded(&mut self, out: &mut Vec<Action>) {
        for run in std::mem::take(&mut self.runs) {
            out.push(Action::Detach(run.attempt));
        }
        self.is_over = true;
        out.push(Action::Fail(Failure::Superseded));
    }

    fn set_reading(&mut self, now: Millis, is_reading: bool) {
        self.is_reading = is_reading;
        for run in &mut self.runs {
            run.last = now;
        }
        self.last_token = now;
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        let policy = self.policy;
        if self
            .gone_at
            .is_some_and(|t| now.since(t).0 >= policy.orphan_ms)
        {
            self.fail(Failure::Abandoned, out);
            return;
        }
        if !self.is_whole && self.is_reading && now.since(self.last_token).0 >= policy.stall_ms {
            self.fail(Failure::Stalled, out);
            return;
        }
        if self.is_reading {
            self.check_runs(now, out);
        }
        if self.retry_at.is_some_and(|t| t <= now) {
            self.retry_at = None;
            if self.runs.is_empty() && !self.is_whole {
                self.open(now, false, out);
            }
        }
        if now.since(self.last_write).0 >= policy.keepalive_ms && self.gone_at.is_none() {
            self.last_write = now;
            out.push(Action::KeepAlive);
        }
    }

    /// Suspects runs that are silent, and decides on those already suspected.
    fn check_runs(&mut self, now: Millis, out: &mut Vec<Action>) {
        let policy = self.policy;
        let attempts: Vec<Attempt> = self.runs.iter().map(|r| r.attempt).collect();
        for attempt in attempts {
            let Some(run) = self.run_mut(attempt) else {
                continue;
            };
            let Stage::Probing(since) = run.stage else {
                if run.suspect_at(&policy) <= now {
                    self.suspect(now, attempt, out);
                }
                continue;
            };
            let waited = now.since(since).0;
            if waited >= policy.confirm_ms {
                self.give_up(now, attempt, out);
            } else if policy.mode == Mode::Latency && waited >= policy.hedge_ms && !run.is_hedged {
                run.is_hedged = true;
                self.open(now, true, out);
            }
        }
    }

    /// A run is silent for longer than its own gaps explain.
    fn suspect(&mut self, now: Millis, attempt: Attempt, out: &mut Vec<Action>) {
        if self.policy.mode == Mode::Scratch {
            self.restart(now, out);
        } else {
            self.probe(now, attempt, out);
        }
    }

    /// Resumes a run over a new connection.
    fn probe(&mut self, now: Millis, attempt: Attempt, out: &mut Vec<Action>) {
        let from = self.next();
        self.counts.probes += 1;
        self.note_loss();
        if let Some(run) = self.run_mut(attempt) {
            run.stage = Stage::Probing(now);
            out.push(Action::Reattach { attempt, from });
        }
    }

    /// Ends a run for good, and opens another attempt if none runs.
    fn give_up(&mut self, now: Millis, attempt: Attempt, out: &mut Vec<Action>) {
        self.avoid.push(attempt);
        self.drop_run(attempt);
        out.push(Action::Cancel(attempt));
        self.note_loss();
        if self.runs.is_empty() {
            self.open_again(now, out);
        }
    }

    /// Opens another attempt at once after a loss, later after a row of failures.
    fn open_again(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.policy.mode == Mode::Scratch && !self.tokens.is_empty() {
            self.restart(now, out);
            return;
        }
        if self.tries == 0 {
            self.tries = 1;
            self.open(now, false, out);
        } else {
            self.retry_later(now);
        }
    }

    fn open(&mut self, now: Millis, is_hedge: bool, out: &mut Vec<Action>) {
        if self.runs.len() >= MAX_RUNS {
            return;
        }
        if self.attempts.0 >= self.policy.attempts {
            if self.runs.is_empty() {
                self.fail(Failure::Attempts, out);
            }
            return;
        }
        self.attempts = self.attempts.next();
        self.counts.hedges += u64::from(is_hedge);
        let mut avoid = self.avoid.clone();
        avoid.extend(self.runs.iter().map(|r| r.attempt));
        self.runs.push(Run::new(now, self.attempts, is_hedge));
        out.push(Action::Open {
            attempt: self.attempts,
            avoid,
            is_hedge,
        });
    }

    /// Plans another try, each later than the one before.
    fn retry_later(&mut self, now: Millis) {
        if !self.runs.is_empty() {
            return;
        }
        let factor = 1 << self.tries.min(MAX_BACKOFF.ilog2());
        self.tries += 1;
        // After a round of failures every backend server deserves another look.
        self.avoid.clear();
        self.retry_at = Some(now + Millis(self.policy.retry_ms * factor));
    }

    fn model_gone(&mut self, now: Millis, attempt: Attempt, out: &mut Vec<Action>) {
        if self.tokens.is_empty() {
            // Nothing was generated yet: the model may still be loading somewhere.
            self.drop_run(attempt);
            self.retry_later(now);
            return;
        }
        match self.policy.model_gone {
            ModelGone::Fail => self.fail(Failure::ModelGone, out),
            ModelGone::Restart => self.restart(now, out),
        }
    }

    /// Drops all tokens and begins a new generation.
    fn restart(&mut self, now: Millis, out: &mut Vec<Action>) {
        for run in std::mem::take(&mut self.runs) {
            out.push(Action::Cancel(run.attempt));
            self.avoid.push(run.attempt);
        }
        self.note_loss();
        self.tokens.clear();
        self.released = Offset(0);
        self.delivered = Offset(0);
        self.current = None;
        self.last_token = now;
        out.push(Action::Restart);
        self.open(now, false, out);
    }

    fn fail(&mut self, failure: Failure, out: &mut Vec<Action>) {
        for run in std::mem::take(&mut self.runs) {
            out.push(Action::Cancel(run.attempt));
        }
        self.is_over = true;
        out.push(Action::Fail(failure));
    }

    /// Notes that output is held up since the last token.
    fn note_loss(&mut self) {
        self.loss = self.loss.or(Some(Loss {
            at: self.last_token,
            attempt: self.current,
        }));
    }

    /// Says once for each loss that output goes on.
    fn note_recovery(&mut self, now: Millis, attempt: Attempt, out: &mut Vec<Action>) {
        let Some(loss) = self.loss.take() else {
            return;
        };
        let same_stream = loss.attempt == Some(attempt);
        self.counts.recoveries += 1;
        self.counts.alarms += u64::from(same_stream);
        self.avoid.clear();
        out.push(Action::Recovered {
            silence_ms: now.since(loss.at).0,
            same_stream,
        });
    }

    fn make_current(&mut self, attempt: Attempt, out: &mut Vec<Action>) {
        if self.current != Some(attempt) {
            self.current = Some(attempt);
            out.push(Action::Current(attempt));
        }
    }

    /// Ends the attempts that lost against `winner`.
    fn cancel_others(&mut self, winner: Attempt, out: &mut Vec<Action>) {
        self.runs.retain(|run| {
            let wins = run.attempt == winner;
            if !wins {
                out.push(Action::Cancel(run.attempt));
            }
            wins
        });
    }

    fn journal(&self, out: &mut Vec<Action>) {
        out.push(Action::Journal {
            length: self.next(),
            finished: self.is_whole,
        });
    }

    /// Delivers what may be delivered, and finishes when that is all.
    fn deliver(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.is_over || !self.is_verified {
            return;
        }
        let to = self.released.min(self.next());
        if self.gone_at.is_none() && to > self.delivered {
            out.push(Action::Deliver {
                from: self.delivered,
                to,
            });
            self.delivered = to;
            self.last_write = now;
        }
        if self.is_whole && to == self.next() {
            self.is_over = true;
            out.push(Action::Finish);
        }
    }

    fn drop_run(&mut self, attempt: Attempt) {
        self.runs.retain(|r| r.attempt != attempt);
    }

    fn run_mut(&mut self, attempt: Attempt) -> Option<&mut Run> {
        self.runs.iter_mut().find(|r| r.attempt == attempt)
    }
}
