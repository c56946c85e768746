//! Errors returned to callers.

use hyper::StatusCode;
use hyper::header::{HeaderValue, RETRY_AFTER};
use serde::Serialize;
use strum::{Display, IntoStaticStr};
use web::{Response, reply};

/// Whether a request was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It was not run and never will be.
    NotRun,
    /// It was run.
    Ran,
    /// It may have been run.
    Unknown,
}

/// Kind of an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display, IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// The body or a header is invalid.
    Malformed,
    /// The body is too large.
    TooLarge,
    /// The bearer key is missing or unknown.
    Unauthorized,
    /// There is no such path, service or model.
    NotFound,
    /// The method is not allowed here.
    MethodNotAllowed,
    /// The key was used for a different request.
    KeyReused,
    /// The host does not accept requests now.
    NotReady,
    /// There is no capacity within the deadline.
    Overloaded,
    /// The output was interrupted and could not be resumed.
    Lost,
    /// Another router or connection has taken over the request.
    Superseded,
    /// It is not known whether the call ran.
    OutcomeUnknown,
    /// The call could not be sent in time.
    NotSent,
    /// The platform's table did not confirm whether the call ran.
    StoreAway,
    /// The stored outcome cannot be read now.
    OutcomeAway,
    /// The backend server gave no usable answer.
    BadGateway,
}

/// Body of every error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CallerError {
    /// Kind, which determines the HTTP status.
    pub kind: Kind,
    /// What happened and how to proceed.
    pub message: String,
    /// Whether the request was run.
    pub ran: Ran,
    /// Seconds after which to retry; `None` if a retry does not help.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<u64>,
}

impl CallerError {
    /// Creates an error for a request that was not run.
    pub fn not_run(kind: Kind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            ran: Ran::NotRun,
            retry_after: None,
        }
    }

    /// Sets the time after which to retry, in seconds.
    pub fn retry_after(self, seconds: u64) -> Self {
        Self {
            retry_after: Some(seconds),
            ..self
        }
    }

    /// HTTP status of the kind.
    pub fn status(&self) -> StatusCode {
        match self.kind {
            Kind::Malformed => StatusCode::BAD_REQUEST,
            Kind::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Kind::Unauthorized => StatusCode::UNAUTHORIZED,
            Kind::NotFound => StatusCode::NOT_FOUND,
            Kind::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            Kind::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Kind::NotReady
            | Kind::Overloaded
            | Kind::NotSent
            | Kind::StoreAway
            | Kind::OutcomeAway => StatusCode::SERVICE_UNAVAILABLE,
            Kind::Superseded => StatusCode::CONFLICT,
            Kind::Lost | Kind::BadGateway => StatusCode::BAD_GATEWAY,
            Kind::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Converts the error to a response.
    pub fn response(&self) -> Response {
        let mut response = reply::json(self.status(), self);
        if let Some(seconds) = self.retry_after {
            let value = HeaderValue::from(seconds);
            response.headers_mut().insert(RETRY_AFTER, value);
        }
        response
    }
}
