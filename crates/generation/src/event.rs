//! Input events and output actions of the state machine.

use base::prelude::*;
use thiserror::Error;

/// An input to [`Generation::on_event`](crate::Generation::on_event).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// An engine accepted the stream of an attempt, or its resumption.
    Opened {
        /// The attempt.
        attempt: Attempt,
        /// The offset of the first token that the engine will send.
        offset: Offset,
    },
    /// An attempt could not be opened.
    OpenFailed {
        /// The attempt.
        attempt: Attempt,
        /// The cause.
        cause: OpenError,
    },
    /// A token was received.
    Token {
        /// The attempt.
        attempt: Attempt,
        /// The offset of the token in the output.
        offset: Offset,
        /// The token.
        token: Token,
    },
    /// An engine reported the end of the output.
    Ended {
        /// The attempt.
        attempt: Attempt,
        /// The number of tokens in the complete output.
        length: u64,
    },
    /// A stream that was open failed.
    Broken {
        /// The attempt.
        attempt: Attempt,
        /// The cause.
        cause: StreamError,
    },
    /// Tokens before this offset may be delivered: the witness holds them, or output continues
    /// without one.
    Released(Offset),
    /// Ownership was confirmed after [`Action::Verify`].
    Verified,
    /// Another router has taken the request over.
    Superseded,
    /// The caller's connection has closed.
    CallerDisconnected,
    /// Reading from the engines was paused (`false`) because the caller is too slow, or resumed
    /// (`true`).
    Reading(bool),
    /// The deadline for the first token has passed.
    DeadlineExpired,
    /// Time has passed; due at [`Generation::wake_at`](crate::Generation::wake_at).
    Tick,
}

/// Why an attempt could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// No backend server is eligible at the moment.
    NoBackend,
    /// The backend server is unreachable or did not answer within the time limit.
    Unreachable,
    /// The backend server has no free capacity or is not ready.
    Busy,
    /// No backend server has the model version.
    ModelGone,
    /// The backend server rejected the request as malformed.
    Invalid,
    /// The engine does not know the stream to resume, for example after a restart.
    NoStream,
}

/// Why a stream that was open failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// The connection closed before the end frame.
    Closed,
    /// A frame could not be read or decoded.
    Garbled,
}

/// An output of the state machine, to be carried out by the router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Choose a backend server and start a stream there that continues after the tokens so far.
    Open {
        /// The attempt.
        attempt: Attempt,
        /// Attempts whose backend servers must not be chosen.
        avoid: Vec<Attempt>,
        /// Whether another stream, which is only suspected, stays open.
        is_hedge: bool,
    },
    /// Close the connection of an attempt and resume its stream over a new one.
    Reattach {
        /// The attempt.
        attempt: Attempt,
        /// The offset from which to read.
        from: Offset,
    },
    /// Close the connection of an attempt and cancel its stream on the engine.
    Cancel(Attempt),
    /// Close the connection of an attempt but let its stream run, for the router that took over.
    Detach(Attempt),
    /// Record this attempt's stream as the one that a takeover resumes.
    SetCurrent(Attempt),
    /// Write the tokens before this offset to the journal.
    Journal {
        /// The number of tokens.
        length: Offset,
        /// Whether they are the complete output.
        finished: bool,
    },
    /// Confirm ownership with the witness, then send [`Event::Verified`].
    Verify,
    /// Write the tokens `from..to` to the caller.
    Deliver {
        /// The offset of the first token.
        from: Offset,
        /// The offset after the last token.
        to: Offset,
    },
    /// Write a keep-alive to the caller.
    KeepAlive,
    /// Output continued after an interruption; for metrics.
    Recovered {
        /// The time since the last token before the interruption, or since the takeover, in
        /// milliseconds.
        silence_ms: u64,
        /// Whether the interrupted engine stream itself continued, rather than another attempt.
        same_stream: bool,
    },
    /// Begin a new generation from the first token and notify the caller, which discards its
    /// tokens.
    Restart,
    /// The complete output was delivered; end the response.
    Finish,
    /// End the request before the output is complete; a caller that is connected receives the
    /// error.
    Fail(Failure),
}

/// Why a request ends before its output is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Failure {
    /// No token within [`Policy::stall_ms`](crate::Policy::stall_ms).
    #[error("no backend server continued the output in time; repeat the request with its key")]
    Stalled,
    /// [`Policy::attempts`](crate::Policy::attempts) engine streams were opened, and the last
    /// failed.
    #[error("the output was interrupted too many times; repeat the request with its key later")]
    Attempts,
    /// No token before the deadline for the first one.
    #[error("no output began within the deadline; repeat the request later")]
    Late,
    /// No backend server has the model version that produced the tokens so far.
    #[error("the output's model version is no longer available; send the request under a new key")]
    ModelGone,
    /// The engine rejected the request as malformed.
    #[error("the engine rejected the request as malformed; correct the request")]
    Invalid,
    /// Another router has taken the request over.
    #[error("the request was repeated on another connection, where the output goes on")]
    Superseded,
    /// The caller did not reconnect within [`Policy::orphan_ms`](crate::Policy::orphan_ms).
    #[error("the caller disconnected and did not reconnect; the output was cancelled")]
    Abandoned,
}
