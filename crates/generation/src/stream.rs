//! State of one engine stream of a generation, and when it is suspected.

use base::prelude::*;
use serde::Serialize;

use crate::gaps::Gaps;
use crate::policy::Policy;

/// Maximum number of answered probes, without a token in between, that end the suspicion of a
/// stream.
const MAX_ANSWERED_PROBES: u32 = 2;

/// Stage of an engine stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(crate) enum Stage {
    /// Requested, not yet accepted by the engine.
    Opening,
    /// Accepted, without a token yet.
    Waiting,
    /// Producing tokens.
    #[serde(rename = "Flowing")]
    Streaming,
    /// Unresponsive, broken or taken over; being resumed over a new connection since this time.
    Probing(Millis),
}

/// One engine stream, identified by its attempt.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct EngineStream {
    pub(crate) attempt: Attempt,
    pub(crate) stage: Stage,
    /// Whether it was opened while another stream was only suspected.
    pub(crate) is_hedge: bool,
    /// Whether a second attempt was opened because this one was suspected.
    pub(crate) is_hedged: bool,
    /// When the stream was opened, was accepted, answered a probe or produced a token, whichever
    /// came last; also the end of a pause of the owner or of a wait for a slow caller.
    #[serde(rename = "last")]
    pub(crate) last_progress: Millis,
    /// Whether it has produced a token.
    has_tokens: bool,
    /// Number of probes answered since the last token.
    #[serde(rename = "answered")]
    answered_probes: u32,
    gaps: Gaps,
}

impl EngineStream {
    /// Creates a stream that is being opened.
    pub(crate) fn new(now: Millis, attempt: Attempt, is_hedge: bool) -> Self {
        Self {
            attempt,
            stage: Stage::Opening,
            is_hedge,
            is_hedged: false,
            last_progress: now,
            has_tokens: false,
            answered_probes: 0,
            gaps: Gaps::default(),
        }
    }

    /// Records a token.
    pub(crate) fn on_token(&mut self, now: Millis) {
        if self.has_tokens {
            self.gaps.add(now.since(self.last_progress).0);
        }
        self.has_tokens = true;
        self.stage = Stage::Streaming;
        self.is_hedged = false;
        self.answered_probes = 0;
        self.last_progress = now;
    }

    /// Records that the engine accepted the stream or answered a probe of it.
    pub(crate) fn on_opened(&mut self, now: Millis) {
        if self.is_probing() {
            self.answered_probes += 1;
            if self.answered_probes > MAX_ANSWERED_PROBES {
                // The engine answers but produces no tokens: let the probe time out.
                return;
            }
        }
        self.stage = if self.has_tokens {
            Stage::Streaming
        } else {
            Stage::Waiting
        };
        self.last_progress = now;
    }

    /// Whether it is being resumed over a new connection.
    pub(crate) fn is_probing(&self) -> bool {
        matches!(self.stage, Stage::Probing(_))
    }

    /// The time at which the stream is suspected unless a token arrives before.
    pub(crate) fn suspect_at(&self, policy: &Policy) -> Millis {
        let limit = match self.stage {
            // The router times out a connection attempt, after `Policy::open_ms` or, for a probe,
            // `Policy::confirm_ms`, and reports the failure.
            Stage::Opening | Stage::Probing(_) => return Millis::MAX,
            Stage::Waiting => policy.first_ms,
            Stage::Streaming => self.gaps.limit(policy),
        };
        self.last_progress + Millis(limit)
    }
}
