//! The workspace of a request, from its bearer key.

use base::hash::key_digest;
use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use profiles::document::{Document, Workspace};

use crate::errors::{CallerError, Kind};

/// The workspace whose bearer key stands in the headers.
///
/// # Errors
///
/// `Unauthorized` if there is none.
pub fn workspace<'a>(
    document: &'a Document,
    headers: &HeaderMap,
) -> Result<&'a Workspace, CallerError> {
    let bearer = headers
        .get(AUTHORIZATION)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.strip_prefix("Bearer "));
    let Some(bearer) = bearer else {
        let message = "no bearer key; send `Authorization: Bearer KEY`";
        return Err(CallerError::not_run(Kind::Unauthorized, message));
    };
    document.workspace(&key_digest(bearer)).ok_or_else(|| {
        let message = "the bearer key is not known; ask an operator for one";
        CallerError::not_run(Kind::Unauthorized, message)
    })
}
