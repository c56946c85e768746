//! Authentication: finds the workspace of a request by its bearer key.

use base::hash::key_digest;
use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use profiles::document::{Document, Workspace};

use crate::errors::{CallerError, Kind};

/// Returns the workspace whose bearer key is in the headers.
///
/// # Errors
///
/// `Unauthorized` if the key is missing or unknown.
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
        let message = "unknown bearer key; ask an operator for a valid one";
        CallerError::not_run(Kind::Unauthorized, message)
    })
}
