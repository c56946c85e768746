//! One engine stream of a generation.

use base::prelude::*;
use serde::Serialize;

use crate::gaps::Gaps;
use crate::policy::Policy;

/// How many answered probes in a row excuse a stream that gives no token.
const MAX_ANSWERED_PROBES: u32 = 2;

/// How far a stream has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(crate) enum Stage {
    /// The engine has not accepted it.
    Opening,
    /// It is accepted and has given no token.
    Waiting,
    /// It gives tokens.
    #[serde(rename = "Flowing")]
    Streaming,
    /// It went silent or broke, and is being resumed over a new connection since then.
    Probing(Millis),
}

/// The state of one engine stream.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct EngineStream {
    pub(crate) attempt: Attempt,
    pub(crate) stage: Stage,
    /// Whether it runs beside another that is only suspected.
    pub(crate) is_hedge: bool,
    /// Whether a second attempt was started because of it.
    pub(crate) is_hedged: bool,
    /// When the stage began or the last token came.
    #[serde(rename = "last")]
    pub(crate) last_progress: Millis,
    /// Whether it has given a token.
    has_tokens: bool,
    /// Probes answered since the last token.
    #[serde(rename = "answered")]
    answered_probes: u32,
    gaps: Gaps,
}

impl EngineStream {
    /// A stream that is being opened.
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

    /// Notes a token.
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

    /// Notes that the engine accepted the stream, or answered a probe of it.
    pub(crate) fn on_opened(&mut self, now: Millis) {
        if self.is_probing() {
            self.answered_probes += 1;
            if self.answered_probes > MAX_ANSWERED_PROBES {
                // The engine is alive but gives no token; the probe is left to run out.
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

    /// Whether it is being resumed.
    pub(crate) fn is_probing(&self) -> bool {
        matches!(self.stage, Stage::Probing(_))
    }

    /// When silence becomes suspect.
    pub(crate) fn suspect_at(&self, policy: &Policy) -> Millis {
        let limit = match self.stage {
            // The opener has the limit of this stage; it reports a failure by itself.
            Stage::Opening | Stage::Probing(_) => return Millis::MAX,
            Stage::Waiting => policy.first_ms,
            Stage::Streaming => self.gaps.limit(policy),
        };
        self.last_progress + Millis(limit)
    }
}
