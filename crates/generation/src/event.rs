//! What a generation is told and what it asks for.

use base::prelude::*;
use thiserror::Error;

/// What has happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// An engine accepted the stream of an attempt, or its resumption.
    Opened {
        /// The attempt.
        attempt: Attempt,
        /// The offset of the first token that follows.
        offset: Offset,
    },
    /// An attempt could not be opened.
    OpenFailed {
        /// The attempt.
        attempt: Attempt,
        /// The cause.
        cause: OpenError,
    },
    /// A token came.
    Token {
        /// The attempt.
        attempt: Attempt,
        /// The position of the token.
        offset: Offset,
        /// The token.
        token: Token,
    },
    /// An engine says that the output is whole.
    Ended {
        /// The attempt.
        attempt: Attempt,
        /// The number of tokens.
        length: u64,
    },
    /// A stream that was open failed.
    Broken {
        /// The attempt.
        attempt: Attempt,
        /// The cause.
        cause: StreamError,
    },
    /// Tokens before this offset may be delivered.
    Released(Offset),
    /// Ownership was confirmed after [`Action::Verify`].
    Verified,
    /// Another router owns the request now.
    Superseded,
    /// The caller's connection is gone.
    CallerDisconnected,
    /// Whether tokens are being read from the engines; false while the caller is too slow.
    Reading(bool),
    /// The time by which the first token was of use is over.
    DeadlineExpired,
    /// Time has passed.
    Tick,
}

/// Why an attempt could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// No backend server can be chosen now.
    NoBackend,
    /// The backend server is not reachable or gave no answer in time.
    Unreachable,
    /// The backend server has no room or is not ready.
    Busy,
    /// No backend server has the model version.
    ModelGone,
    /// The backend server says that the request is malformed.
    Invalid,
    /// The engine doesn't know the stream that was to be resumed.
    NoStream,
}

/// Why a stream that was open failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// The connection closed before the last frame.
    Closed,
    /// Frames make no sense.
    Garbled,
}

/// What the owner has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Choose a backend server and start a stream there after the tokens so far.
    Open {
        /// The attempt.
        attempt: Attempt,
        /// The attempts whose backend servers are to be left out.
        avoid: Vec<Attempt>,
        /// Whether the attempt runs beside another one that is only suspected.
        is_hedge: bool,
    },
    /// Read the stream of an attempt from an offset over a new connection; close the old one.
    Reattach {
        /// The attempt.
        attempt: Attempt,
        /// The next offset.
        from: Offset,
    },
    /// Close the connection of an attempt and end its stream on the engine.
    Cancel(Attempt),
    /// Close the connection of an attempt and leave its stream to another router.
    Detach(Attempt),
    /// The attempt whose tokens count has changed.
    SetCurrent(Attempt),
    /// Write the tokens before this offset to the journal.
    Journal {
        /// The number of tokens.
        length: Offset,
        /// Whether they are the whole output.
        finished: bool,
    },
    /// Confirm ownership with the witness, then tell [`Event::Verified`].
    Verify,
    /// Write the tokens from one offset to another to the caller.
    Deliver {
        /// The first.
        from: Offset,
        /// The offset after the last.
        to: Offset,
    },
    /// Write a keep-alive to the caller.
    KeepAlive,
    /// Output goes on after a loss.
    Recovered {
        /// The time from the last token before the loss, in milliseconds.
        silence_ms: u64,
        /// Whether the same engine stream goes on over a new connection.
        same_stream: bool,
    },
    /// Begin a new generation from the first token and tell the caller.
    Restart,
    /// The caller has the whole output.
    Finish,
    /// The request ends without the whole output; the caller is told why if it is there.
    Fail(Failure),
}

/// Why a request ends without the whole output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Failure {
    /// No new token for too long.
    #[error("no backend server continued the output in time; repeat the request with its key")]
    Stalled,
    /// Too many engine streams were started.
    #[error("the output was lost too many times; repeat the request with its key later")]
    Attempts,
    /// No first token in time.
    #[error("no output began within the deadline; repeat the request later")]
    Late,
    /// The model version is gone.
    #[error("the model version that began the output is gone; send the request under a new key")]
    ModelGone,
    /// The request is malformed in the eyes of the engine.
    #[error("the engine refused the request as malformed; correct it")]
    Invalid,
    /// Another router owns the request.
    #[error("the request was repeated on another connection, where the output goes on")]
    Superseded,
    /// The caller went away and did not come back.
    #[error("the caller went away; the output was given up")]
    Abandoned,
}
