//! The engine streams of a generation: which are opened, probed, given up and opened again.

use base::prelude::*;

use super::{Generation, MAX_BACKOFF, MAX_RUNS};
use crate::event::{Action, Failure, OpenError};
use crate::policy::{Mode, ModelGone};
use crate::run::{Run, Stage};

impl Generation {
    pub(super) fn opened(
        &mut self,
        now: Millis,
        attempt: Attempt,
        offset: Offset,
        out: &mut Vec<Action>,
    ) {
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

    pub(super) fn open_failed(
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

    /// An engine skipped offsets: they are read again over a new connection.
    pub(super) fn skipped(&mut self, now: Millis, attempt: Attempt, out: &mut Vec<Action>) {
        let is_probing = self.run_mut(attempt).is_some_and(|r| r.is_probing());
        if is_probing {
            // A new connection is being opened already.
            self.counts.dropped += 1;
            return;
        }
        self.counts.gaps += 1;
        self.probe(now, attempt, out);
    }

    pub(super) fn broken(&mut self, now: Millis, attempt: Attempt, out: &mut Vec<Action>) {
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

    /// Suspects runs that are silent, and decides on those already suspected.
    pub(super) fn check_runs(&mut self, now: Millis, out: &mut Vec<Action>) {
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
    pub(super) fn give_up(&mut self, now: Millis, attempt: Attempt, out: &mut Vec<Action>) {
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

    pub(super) fn open(&mut self, now: Millis, is_hedge: bool, out: &mut Vec<Action>) {
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

    /// Ends the attempts that lost against `winner`.
    pub(super) fn cancel_others(&mut self, winner: Attempt, out: &mut Vec<Action>) {
        self.runs.retain(|run| {
            let wins = run.attempt == winner;
            if !wins {
                out.push(Action::Cancel(run.attempt));
            }
            wins
        });
    }

    fn drop_run(&mut self, attempt: Attempt) {
        self.runs.retain(|r| r.attempt != attempt);
    }

    pub(super) fn run_mut(&mut self, attempt: Attempt) -> Option<&mut Run> {
        self.runs.iter_mut().find(|r| r.attempt == attempt)
    }
}
