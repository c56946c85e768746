//! What a caller is told when a request is not answered.

use hyper::StatusCode;
use hyper::header::{HeaderValue, RETRY_AFTER};
use serde::Serialize;
use strum::{Display, IntoStaticStr};
use web::{Response, reply};

/// Whether a request was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// Certainly not, and it never will be.
    NotRun,
    /// Yes.
    Ran,
    /// It may have been.
    Unknown,
}

/// The kind of an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display, IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// The body is not as expected.
    Malformed,
    /// The body is too large.
    TooLarge,
    /// The bearer key is missing or unknown.
    Unauthorized,
    /// There is no such path, service or model.
    NotFound,
    /// The method is not allowed here.
    MethodNotAllowed,
    /// The key was used for another request.
    KeyReused,
    /// The host takes no requests now.
    NotReady,
    /// There is no room within the deadline.
    Overloaded,
    /// The output could not be continued.
    Lost,
    /// The request goes on elsewhere.
    Superseded,
    /// It is not known whether the call ran.
    OutcomeUnknown,
    /// The call could not be sent in time.
    NotSent,
    /// The platform's table gives no certain answer.
    StoreAway,
    /// The outcome is kept and cannot be read now.
    OutcomeAway,
    /// The backend server gave no usable answer.
    BadGateway,
}

/// The body of every error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CallerError {
    /// The kind.
    pub kind: Kind,
    /// What happened and what to do.
    pub message: String,
    /// Whether the request was run.
    pub ran: Ran,
    /// The seconds after which to come back, where that helps.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<u64>,
}

impl CallerError {
    /// An error of a request that was not run.
    pub fn not_run(kind: Kind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            ran: Ran::NotRun,
            retry_after: None,
        }
    }

    /// Says when to come back.
    pub fn retry_after(self, seconds: u64) -> Self {
        Self {
            retry_after: Some(seconds),
            ..self
        }
    }

    /// The status that goes with the kind.
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

    /// The error as a whole response.
    pub fn response(&self) -> Response {
        let mut response = reply::json(self.status(), self);
        if let Some(seconds) = self.retry_after {
            let value = HeaderValue::from(seconds);
            response.headers_mut().insert(RETRY_AFTER, value);
        }
        response
    }
}
