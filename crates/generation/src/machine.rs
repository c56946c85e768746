//! The state machine of one generation.

mod attempts;

use base::prelude::*;
use serde::Serialize;

use crate::event::{Action, Event, Failure};
use crate::policy::{Mode, Policy};
use crate::stream::{EngineStream, Stage};

/// The most engine streams that run at once for one generation.
const MAX_STREAMS: usize = 2;

/// The greatest multiple of the retry wait between two retries.
const MAX_BACKOFF_FACTOR: u32 = 8;

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
    #[serde(rename = "alarms")]
    pub false_alarms: u64,
    /// Losses after which output went on.
    pub recoveries: u64,
    /// Pauses of the owner itself.
    pub pauses: u64,
}

/// A loss of output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
struct Interruption {
    /// When the last token before it came.
    #[serde(rename = "at")]
    since: Millis,
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
    #[serde(rename = "runs")]
    streams: Vec<EngineStream>,
    /// The attempt whose tokens were taken last.
    current: Option<Attempt>,
    /// Attempts that are left out when a backend server is chosen.
    avoid: Vec<Attempt>,
    attempts: Attempt,
    #[serde(rename = "is_whole")]
    is_complete: bool,
    released: Offset,
    delivered: Offset,
    /// When the next try to open an attempt is due, while none runs.
    retry_at: Option<Millis>,
    #[serde(rename = "tries")]
    retries: u32,
    last_token: Millis,
    last_write: Millis,
    last_event: Millis,
    /// The loss after which output has not gone on yet.
    #[serde(rename = "loss")]
    interruption: Option<Interruption>,
    #[serde(rename = "gone_at")]
    disconnected_at: Option<Millis>,
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
            streams: Vec::new(),
            current: None,
            avoid: Vec::new(),
            attempts: Attempt(0),
            is_complete: false,
            released: Offset(0),
            delivered: Offset(0),
            retry_at: None,
            retries: 0,
            last_token: now,
            last_write: now,
            last_event: now,
            interruption: None,
            disconnected_at: None,
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
        is_complete: bool,
        delivered: Offset,
    ) -> Self {
        Self {
            tokens,
            is_complete,
            released: delivered,
            delivered,
            interruption: Some(Interruption {
                since: now,
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
        if self.is_complete {
            return;
        }
        if !has_stream {
            self.open(now, false, out);
            return;
        }
        self.attempts = self.attempts.next();
        self.interruption = Some(Interruption {
            since: now,
            attempt: Some(self.attempts),
        });
        let mut stream = EngineStream::new(now, self.attempts, false);
        stream.stage = Stage::Probing(now);
        self.streams.push(stream);
        out.push(Action::Reattach {
            attempt: self.attempts,
            from: self.next_offset(),
        });
    }

    /// Takes in what has happened and adds what has to be done to `out`.
    pub fn on_event(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        if self.is_over {
            return;
        }
        self.detect_pause(now, out);
        self.last_event = now;
        match event {
            Event::Opened { attempt, offset } => self.on_opened(now, attempt, offset, out),
            Event::OpenFailed { attempt, cause } => self.on_open_failed(now, attempt, cause, out),
            Event::Token {
                attempt,
                offset,
                token,
            } => self.on_token(now, attempt, offset, token, out),
            Event::Ended { attempt, length } => self.on_ended(now, attempt, length, out),
            Event::Broken { attempt, .. } => self.on_broken(now, attempt, out),
            Event::Released(upto) => self.released = self.released.max(upto),
            Event::Verified => self.is_verified = true,
            Event::Superseded => self.on_superseded(out),
            Event::CallerDisconnected => self.disconnected_at = self.disconnected_at.or(Some(now)),
            Event::Reading(is_reading) => self.on_reading(now, is_reading),
            Event::DeadlineExpired if self.tokens.is_empty() => self.fail(Failure::Late, out),
            // Output that has begun in time goes on.
            Event::DeadlineExpired => {}
            Event::Tick => self.tick(now, out),
        }
        self.deliver(now, out);
    }

    /// The tokens so far.
    pub fn tokens(&self) -> &[Token] {
        &self.tokens
    }

    /// The offset of the next token.
    pub fn next_offset(&self) -> Offset {
        Offset(self.tokens.len() as u64)
    }

    /// The tokens that the caller was sent.
    pub fn delivered(&self) -> Offset {
        self.delivered
    }

    /// Whether the output is whole.
    pub fn is_complete(&self) -> bool {
        self.is_complete
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
    pub fn wake_at(&self, now: Millis) -> Millis {
        let mut at = self.last_write + Millis(self.policy.keepalive_ms);
        at = at.min(self.last_event + Millis(self.policy.pause_ms / 2));
        if let Some(retry) = self.retry_at {
            at = at.min(retry);
        }
        if let Some(gone) = self.disconnected_at {
            at = at.min(gone + Millis(self.policy.orphan_ms));
        }
        for stream in &self.streams {
            at = at.min(self.stream_wake_at(stream));
        }
        at.max(now + Millis(1))
    }

    /// When a run needs a decision.
    fn stream_wake_at(&self, stream: &EngineStream) -> Millis {
        if !self.is_reading {
            return Millis::MAX;
        }
        let Stage::Probing(since) = stream.stage else {
            return stream.suspect_at(&self.policy);
        };
        if stream.is_hedged || self.policy.mode == Mode::Cost {
            return since + Millis(self.policy.confirm_ms);
        }
        since + Millis(self.policy.hedge_ms)
    }

    /// Notices that the owner itself was paused: its timers say nothing of others, and another
    /// router may own the request by now.
    fn detect_pause(&mut self, now: Millis, out: &mut Vec<Action>) {
        if now.since(self.last_event).0 < self.policy.pause_ms {
            return;
        }
        self.counts.pauses += 1;
        self.is_verified = false;
        for stream in &mut self.streams {
            stream.last_progress = now;
            if stream.is_probing() {
                stream.stage = Stage::Probing(now);
            }
        }
        self.last_token = now;
        out.push(Action::Verify);
    }

    fn on_token(
        &mut self,
        now: Millis,
        attempt: Attempt,
        offset: Offset,
        token: Token,
        out: &mut Vec<Action>,
    ) {
        let next = self.next_offset();
        let is_accepted = self.stream_mut(attempt).is_some() && !self.is_complete;
        if !is_accepted || offset < next {
            self.counts.dropped += 1;
            return;
        }
        if offset > next {
            self.on_gap(now, attempt, out);
            return;
        }
        if let Some(stream) = self.stream_mut(attempt) {
            stream.on_token(now);
        }
        self.tokens.push(token);
        self.last_token = now;
        self.record_recovery(now, attempt, out);
        self.make_current(attempt, out);
        self.cancel_others(attempt, out);
        self.journal(out);
    }

    fn on_ended(&mut self, now: Millis, attempt: Attempt, length: u64, out: &mut Vec<Action>) {
        if self.stream_mut(attempt).is_none() || self.is_complete {
            return;
        }
        let next = self.next_offset().0;
        if length > next {
            self.on_gap(now, attempt, out);
            return;
        }
        if length < next {
            self.abandon(now, attempt, out);
            return;
        }
        self.is_complete = true;
        self.cancel_others(attempt, out);
        self.streams.clear();
        self.retry_at = None;
        self.journal(out);
    }

    fn on_superseded(&mut self, out: &mut Vec<Action>) {
        for stream in std::mem::take(&mut self.streams) {
            out.push(Action::Detach(stream.attempt));
        }
        self.is_over = true;
        out.push(Action::Fail(Failure::Superseded));
    }

    fn on_reading(&mut self, now: Millis, is_reading: bool) {
        self.is_reading = is_reading;
        for stream in &mut self.streams {
            stream.last_progress = now;
        }
        self.last_token = now;
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        let policy = self.policy;
        if self
            .disconnected_at
            .is_some_and(|t| now.since(t).0 >= policy.orphan_ms)
        {
            self.fail(Failure::Abandoned, out);
            return;
        }
        if !self.is_complete && self.is_reading && now.since(self.last_token).0 >= policy.stall_ms {
            self.fail(Failure::Stalled, out);
            return;
        }
        if self.is_reading {
            self.check_streams(now, out);
        }
        if self.retry_at.is_some_and(|t| t <= now) {
            self.retry_at = None;
            if self.streams.is_empty() && !self.is_complete {
                self.open(now, false, out);
            }
        }
        if now.since(self.last_write).0 >= policy.keepalive_ms && self.disconnected_at.is_none() {
            self.last_write = now;
            out.push(Action::KeepAlive);
        }
    }

    fn fail(&mut self, failure: Failure, out: &mut Vec<Action>) {
        for stream in std::mem::take(&mut self.streams) {
            out.push(Action::Cancel(stream.attempt));
        }
        self.is_over = true;
        out.push(Action::Fail(failure));
    }

    /// Notes that output is held up since the last token.
    fn record_interruption(&mut self) {
        self.interruption = self.interruption.or(Some(Interruption {
            since: self.last_token,
            attempt: self.current,
        }));
    }

    /// Says once for each loss that output goes on.
    fn record_recovery(&mut self, now: Millis, attempt: Attempt, out: &mut Vec<Action>) {
        let Some(interruption) = self.interruption.take() else {
            return;
        };
        let same_stream = interruption.attempt == Some(attempt);
        self.counts.recoveries += 1;
        self.counts.false_alarms += u64::from(same_stream);
        self.avoid.clear();
        out.push(Action::Recovered {
            silence_ms: now.since(interruption.since).0,
            same_stream,
        });
    }

    fn make_current(&mut self, attempt: Attempt, out: &mut Vec<Action>) {
        if self.current != Some(attempt) {
            self.current = Some(attempt);
            out.push(Action::SetCurrent(attempt));
        }
    }

    fn journal(&self, out: &mut Vec<Action>) {
        out.push(Action::Journal {
            length: self.next_offset(),
            finished: self.is_complete,
        });
    }

    /// Delivers what may be delivered, and finishes when that is all.
    fn deliver(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.is_over || !self.is_verified {
            return;
        }
        let to = self.released.min(self.next_offset());
        if self.disconnected_at.is_none() && to > self.delivered {
            out.push(Action::Deliver {
                from: self.delivered,
                to,
            });
            self.delivered = to;
            self.last_write = now;
        }
        if self.is_complete && to == self.next_offset() {
            self.is_over = true;
            out.push(Action::Finish);
        }
    }
}
