//! Engine streams of a generation: opening, probing, hedging, abandoning and retrying.

use base::prelude::*;

use super::{Generation, MAX_BACKOFF_FACTOR, MAX_STREAMS};
use crate::event::{Action, Failure, OpenError};
use crate::policy::{Mode, ModelGone};
use crate::stream::{EngineStream, Stage};

impl Generation {
    pub(super) fn on_opened(
        &mut self,
        now: Millis,
        attempt: Attempt,
        offset: Offset,
        out: &mut Vec<Action>,
    ) {
        let next = self.next_offset();
        let Some(stream) = self.stream_mut(attempt) else {
            out.push(Action::Cancel(attempt));
            return;
        };
        if offset > next {
            // The engine starts after the next offset; the tokens in between cannot be obtained.
            self.abandon(now, attempt, out);
            return;
        }
        stream.on_opened(now);
        self.retries = 0;
        if self.current.is_none() {
            self.make_current(attempt, out);
        }
    }

    pub(super) fn on_open_failed(
        &mut self,
        now: Millis,
        attempt: Attempt,
        cause: OpenError,
        out: &mut Vec<Action>,
    ) {
        if self.stream_mut(attempt).is_none() {
            return;
        }
        match cause {
            OpenError::Invalid => self.fail(Failure::Invalid, out),
            OpenError::ModelGone if self.streams.len() == 1 => {
                self.on_model_gone(now, attempt, out)
            }
            OpenError::NoBackend | OpenError::ModelGone | OpenError::Busy => {
                self.remove_stream(attempt);
                self.schedule_retry(now);
            }
            OpenError::Unreachable | OpenError::NoStream => {
                self.avoid.push(attempt);
                self.remove_stream(attempt);
                // If the failed attempt was a hedge, the suspected stream may be hedged again.
                for stream in &mut self.streams {
                    stream.is_hedged = false;
                }
                if self.streams.is_empty() {
                    self.reopen(now, out);
                }
            }
        }
    }

    /// Handles offsets that an engine skipped, by reading them again over a new connection.
    pub(super) fn on_gap(&mut self, now: Millis, attempt: Attempt, out: &mut Vec<Action>) {
        let is_probing = self.stream_mut(attempt).is_some_and(|s| s.is_probing());
        if is_probing {
            // A new connection is being opened already, and reads from the missing offset.
            self.counts.dropped += 1;
            return;
        }
        self.counts.gaps += 1;
        self.probe(now, attempt, out);
    }

    pub(super) fn on_broken(&mut self, now: Millis, attempt: Attempt, out: &mut Vec<Action>) {
        let Some(stream) = self.stream_mut(attempt) else {
            return;
        };
        let was_probing = stream.is_probing();
        if self.policy.mode == Mode::Scratch {
            self.restart(now, out);
        } else if was_probing {
            // The probe has failed as well, so the engine is taken to have failed.
            self.abandon(now, attempt, out);
        } else {
            self.probe(now, attempt, out);
        }
    }

    /// Suspects streams that are unresponsive, and hedges or abandons those already being probed.
    pub(super) fn check_streams(&mut self, now: Millis, out: &mut Vec<Action>) {
        let policy = self.policy;
        let attempts: Vec<Attempt> = self.streams.iter().map(|s| s.attempt).collect();
        for attempt in attempts {
            let Some(stream) = self.stream_mut(attempt) else {
                continue;
            };
            let Stage::Probing(since) = stream.stage else {
                if stream.suspect_at(&policy) <= now {
                    self.suspect(now, attempt, out);
                }
                continue;
            };
            let waited = now.since(since).0;
            if waited >= policy.confirm_ms {
                self.abandon(now, attempt, out);
            } else if policy.mode == Mode::Latency && waited >= policy.hedge_ms && !stream.is_hedged
            {
                stream.is_hedged = true;
                self.open(now, true, out);
            }
        }
    }

    /// Handles a stream that has been silent for longer than its limit.
    fn suspect(&mut self, now: Millis, attempt: Attempt, out: &mut Vec<Action>) {
        if self.policy.mode == Mode::Scratch {
            self.restart(now, out);
        } else {
            self.probe(now, attempt, out);
        }
    }

    /// Probes a stream by resuming it over a new connection.
    fn probe(&mut self, now: Millis, attempt: Attempt, out: &mut Vec<Action>) {
        let from = self.next_offset();
        self.counts.probes += 1;
        self.record_interruption();
        if let Some(stream) = self.stream_mut(attempt) {
            stream.stage = Stage::Probing(now);
            out.push(Action::Reattach { attempt, from });
        }
    }

    /// Cancels a stream, excludes its backend server, and opens another attempt if none is left.
    pub(super) fn abandon(&mut self, now: Millis, attempt: Attempt, out: &mut Vec<Action>) {
        self.avoid.push(attempt);
        self.remove_stream(attempt);
        out.push(Action::Cancel(attempt));
        self.record_interruption();
        if self.streams.is_empty() {
            self.reopen(now, out);
        }
    }

    /// Opens another attempt: at once after the first failure, with backoff after further ones.
    fn reopen(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.policy.mode == Mode::Scratch && !self.tokens.is_empty() {
            self.restart(now, out);
            return;
        }
        if self.retries == 0 {
            self.retries = 1;
            self.open(now, false, out);
        } else {
            self.schedule_retry(now);
        }
    }

    pub(super) fn open(&mut self, now: Millis, is_hedge: bool, out: &mut Vec<Action>) {
        if self.streams.len() >= MAX_STREAMS {
            return;
        }
        if self.attempts.0 >= self.policy.attempts {
            if self.streams.is_empty() {
                self.fail(Failure::Attempts, out);
            }
            return;
        }
        self.attempts = self.attempts.next();
        self.counts.hedges += u64::from(is_hedge);
        let mut avoid = self.avoid.clone();
        avoid.extend(self.streams.iter().map(|s| s.attempt));
        self.streams
            .push(EngineStream::new(now, self.attempts, is_hedge));
        out.push(Action::Open {
            attempt: self.attempts,
            avoid,
            is_hedge,
        });
    }

    /// Schedules another attempt with exponential backoff, if no stream is left.
    fn schedule_retry(&mut self, now: Millis) {
        if !self.streams.is_empty() {
            return;
        }
        let factor = 1 << self.retries.min(MAX_BACKOFF_FACTOR.ilog2());
        self.retries += 1;
        // Every backend server becomes eligible again: those that failed may have recovered by
        // then.
        self.avoid.clear();
        self.retry_at = Some(now + Millis(self.policy.retry_ms * factor));
    }

    fn on_model_gone(&mut self, now: Millis, attempt: Attempt, out: &mut Vec<Action>) {
        if self.tokens.is_empty() {
            // No tokens to stay consistent with: the model may still be loading on a backend
            // server.
            self.remove_stream(attempt);
            self.schedule_retry(now);
            return;
        }
        match self.policy.model_gone {
            ModelGone::Fail => self.fail(Failure::ModelGone, out),
            ModelGone::Restart => self.restart(now, out),
        }
    }

    /// Discards all tokens and begins again from the first one.
    fn restart(&mut self, now: Millis, out: &mut Vec<Action>) {
        for stream in std::mem::take(&mut self.streams) {
            out.push(Action::Cancel(stream.attempt));
            self.avoid.push(stream.attempt);
        }
        self.record_interruption();
        self.tokens.clear();
        self.released = Offset(0);
        self.delivered = Offset(0);
        self.current = None;
        self.last_token = now;
        out.push(Action::Restart);
        self.open(now, false, out);
    }

    /// Cancels all attempts but `winner`.
    pub(super) fn cancel_others(&mut self, winner: Attempt, out: &mut Vec<Action>) {
        self.streams.retain(|stream| {
            let wins = stream.attempt == winner;
            if !wins {
                out.push(Action::Cancel(stream.attempt));
            }
            wins
        });
    }

    fn remove_stream(&mut self, attempt: Attempt) {
        self.streams.retain(|s| s.attempt != attempt);
    }

    pub(super) fn stream_mut(&mut self, attempt: Attempt) -> Option<&mut EngineStream> {
        self.streams.iter_mut().find(|s| s.attempt == attempt)
    }
}
