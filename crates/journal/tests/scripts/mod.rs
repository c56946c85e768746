//! Interpreters of the scenario commands, and their common arguments.

pub(crate) mod replicator;
pub(crate) mod store;

use base::prelude::*;
use datadriven::TestCase;

/// First value of the argument `name`.
pub(crate) fn text(case: &TestCase, name: &str) -> Option<String> {
    case.args.get(name).and_then(|v| v.first()).cloned()
}

/// First value of the argument `name`, as a number.
pub(crate) fn number(case: &TestCase, name: &str) -> Option<u64> {
    text(case, name).map(|v| v.parse().expect("the argument is a number"))
}

/// Time of a command (`t=`), 0 by default.
pub(crate) fn now(case: &TestCase) -> Millis {
    Millis(number(case, "t").unwrap_or(0))
}

/// Epoch of a command, given as `(round,owner)`, `(1,1)` by default.
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
