//! The commands of the scenario languages.

pub(crate) mod replica;
pub(crate) mod store;

use base::prelude::*;
use datadriven::TestCase;

/// The argument called `name`.
pub(crate) fn text(case: &TestCase, name: &str) -> Option<String> {
    case.args.get(name).and_then(|v| v.first()).cloned()
}

/// The argument called `name`, as a number.
pub(crate) fn number(case: &TestCase, name: &str) -> Option<u64> {
    text(case, name).map(|v| v.parse().expect("the argument is a number"))
}

/// The time of a command.
pub(crate) fn now(case: &TestCase) -> Millis {
    Millis(number(case, "t").unwrap_or(0))
}

/// The epoch of a command, as `(round,owner)`.
pub(crate) fn epoch(case: &TestCase) -> Epoch {
    let given = case.args.get("epoch").cloned().unwrap_or_default();
    let part = |i: usize| {
        given
            .get(i)
            .map_or(1, |v: &String| v.parse().expect("a number"))
    };
    Epoch {
        round: part(0),
        owner: Incarnation(part(1)),
    }
}
