//! State machine of one generation.
//!
//! Tokens are appended in offset order from at most two engine streams at a time, written to the
//! journal, and delivered once released, normally by the witness's acknowledgement. A stream that
//! falls silent or breaks is probed over a new connection; if the probe fails, another attempt
//! continues after the tokens received so far.

mod attempts;

use base::prelude::*;
use serde::Serialize;

use crate::event::{Action, Event, Failure};
use crate::policy::{Mode, Policy};
use crate::stream::{EngineStream, Stage};

/// Maximum number of engine streams of one generation at a time: one and its hedge.
const MAX_STREAMS: usize = 2;

/// Cap of the exponential backoff between retries, as a multiple of [`Policy::retry_ms`].
const MAX_BACKOFF_FACTOR: u32 = 8;

/// Event counts for metrics and state dumps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Tokens discarded because their offset was filled already, their attempt is no longer active
    /// or their stream is being resumed.
    pub dropped: u64,
    /// Times that an engine skipped offsets, which were then read again over a new connection.
    pub gaps: u64,
    /// Probes: attempts to resume a stream over a new connection.
    pub probes: u64,
    /// Second attempts started while the first one was only suspected.
    pub hedges: u64,
    /// Recoveries in which the interrupted stream itself continued.
    #[serde(rename = "alarms")]
    pub false_alarms: u64,
    /// Interruptions after which output continued.
    pub recoveries: u64,
    /// Pauses of the owner process of at least [`Policy::pause_ms`].
    pub pauses: u64,
}

/// An interruption of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
struct Interruption {
    /// Arrival time of the last token before it; the time of the takeover for a new owner.
    #[serde(rename = "at")]
    since: Millis,
    /// The current attempt at that time, or the previous owner's stream if that is resumed; `None`
    /// without either.
    attempt: Option<Attempt>,
}

/// One generation at its owner.
///
/// # Invariants
///
/// `delivered <= released <= tokens.len()`. Tokens are only ever appended, except by
/// [`Action::Restart`], which discards all of them.
#[derive(Clone, Debug, Serialize)]
pub struct Generation {
    policy: Policy,
    #[serde(skip)]
    tokens: Vec<Token>,
    #[serde(rename = "runs")]
    streams: Vec<EngineStream>,
    /// Attempt that produced the last token, or the first attempt that an engine accepted.
    current: Option<Attempt>,
    /// Attempts whose backend servers are excluded when a server is chosen.
    avoid: Vec<Attempt>,
    attempts: Attempt,
    #[serde(rename = "is_whole")]
    is_complete: bool,
    released: Offset,
    delivered: Offset,
    /// When the next attempt is due, while no stream is open.
    retry_at: Option<Millis>,
    #[serde(rename = "tries")]
    retries: u32,
    last_token: Millis,
    last_write: Millis,
    last_event: Millis,
    /// The interruption that has not been recovered from.
    #[serde(rename = "loss")]
    interruption: Option<Interruption>,
    #[serde(rename = "gone_at")]
    disconnected_at: Option<Millis>,
    /// False from a detected pause until [`Event::Verified`]; nothing is delivered meanwhile.
    is_verified: bool,
    /// False while the caller is too slow and engines are not read; their silence is then ignored.
    is_reading: bool,
    is_over: bool,
    counts: Counts,
}

impl Generation {
    /// Creates a generation without tokens; call [`Self::start`] next.
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

    /// Creates a generation that continues a previous owner's `tokens`, of which the caller holds
    /// those before `delivered`; call [`Self::start`] next.
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

    /// Opens the first engine stream.
    ///
    /// With `has_stream`, attempt 1 is the engine stream of the previous owner: it is resumed, and
    /// a new attempt is opened only if that fails.
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

    /// Applies an event and appends the resulting actions to `out`.
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
            // The deadline bounds only the time to the first token.
            Event::DeadlineExpired => {}
            Event::Tick => self.tick(now, out),
        }
        self.deliver(now, out);
    }

    /// The tokens received so far.
    pub fn tokens(&self) -> &[Token] {
        &self.tokens
    }

    /// The offset of the next token, which is the number of tokens received.
    pub fn next_offset(&self) -> Offset {
        Offset(self.tokens.len() as u64)
    }

    /// The offset after the last token delivered to the caller.
    pub fn delivered(&self) -> Offset {
        self.delivered
    }

    /// Whether an engine has ended the output; the last tokens may not be delivered yet.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Whether the generation has finished or failed; further events are ignored.
    pub fn is_over(&self) -> bool {
        self.is_over
    }

    /// Event counts since the generation was created here.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// The time at which the next [`Event::Tick`] is due.
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

    /// When a stream is to be suspected, hedged or abandoned next; never while the caller is too
    /// slow.
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

    /// Detects that the owner process itself was paused.
    ///
    /// Time that passed during the pause must not make engines look unresponsive, and another
    /// router may have taken the request over, so delivery waits until ownership is verified.
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

    /// Records that output is interrupted since the last token, unless it is already.
    fn record_interruption(&mut self) {
        self.interruption = self.interruption.or(Some(Interruption {
            since: self.last_token,
            attempt: self.current,
        }));
    }

    /// Reports, once per interruption, that output has continued.
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

    /// Delivers tokens that are released, and finishes once the complete output is delivered.
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
