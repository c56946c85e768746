//! Which calls may be repeated.

use profiles::document::{RetryRule, Service};
use service::client::Call;

/// Whether the service declares that this call may be repeated.
pub fn is_idempotent(service: &Service, call: &Call) -> bool {
    let path = call.uri.path();
    let matches =
        |rule: &RetryRule| rule.method == call.method.as_str() && is_below(path, &rule.path);
    is_plain(path) && service.may_repeat.iter().any(matches)
}

/// Whether `path` is `start` or stands below it.
fn is_below(path: &str, start: &str) -> bool {
    let Some(rest) = path.strip_prefix(start) else {
        return false;
    };
    rest.is_empty() || start.ends_with('/') || rest.starts_with('/')
}

/// Whether a path means the same to every server.
///
/// A server may resolve `/status/../confirm`, or an encoded form of it, to a call that no rule
/// names.
fn is_plain(path: &str) -> bool {
    let is_dots = |segment: &str| segment == "." || segment == "..";
    !path.contains(['%', '\\', ';']) && !path.contains("//") && !path.split('/').any(is_dots)
}
