//! Rules that decide which calls are idempotent.

use profiles::document::{RetryRule, Service};
use service::client::Call;

/// Whether the service declares in `may_repeat` that this call may be retried.
pub fn is_idempotent(service: &Service, call: &Call) -> bool {
    let path = call.uri.path();
    let matches =
        |rule: &RetryRule| rule.method == call.method.as_str() && is_below(path, &rule.path);
    is_unambiguous(path) && service.may_repeat.iter().any(matches)
}

/// Whether `path` is `start` or a path below it.
fn is_below(path: &str, start: &str) -> bool {
    let Some(rest) = path.strip_prefix(start) else {
        return false;
    };
    rest.is_empty() || start.ends_with('/') || rest.starts_with('/')
}

/// Whether a path has only one interpretation.
///
/// A server may resolve `/status/../confirm`, or an encoded form of it, to a call that no rule
/// covers.
fn is_unambiguous(path: &str) -> bool {
    let is_dots = |segment: &str| segment == "." || segment == "..";
    !path.contains(['%', '\\', ';']) && !path.contains("//") && !path.split('/').any(is_dots)
}
