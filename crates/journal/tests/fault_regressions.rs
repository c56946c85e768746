//! Regression tests for a store at its limits, which fault experiments with real processes reached.
//!
//! Guards against refusing appends with `Full` while closed journals, which nobody needs, still
//! fill the store.

use base::prelude::*;
use journal::record::{Append, Header, Refusal, Segment};
use journal::store::{Limits, Store};

fn epoch() -> Epoch {
    Epoch::default().next_for(Incarnation(1))
}

fn append(key: &str) -> Append {
    let link = Segment {
        generation: GenerationId(1),
        start: Offset(0),
    };
    Append {
        key: RequestKey(key.to_owned()),
        epoch: epoch(),
        header: Some(Header {
            lineage: vec![link],
            ..Header::default()
        }),
        from: Offset(0),
        tokens: vec![Token {
            id: 1,
            text: "x".to_owned(),
        }],
        finish: None,
    }
}

/// A store that the journals `a` and `b` fill to a limit.
fn full(limits: Limits) -> Store {
    let mut store = Store::new(limits);
    for key in ["a", "b"] {
        assert_eq!(store.append(Millis(1), append(key)), Ok(Offset(1)));
    }
    assert_eq!(store.append(Millis(2), append("c")), Err(Refusal::Full));
    store
}

fn close(store: &mut Store, now: u64, key: &str) {
    store.close(Millis(now), &RequestKey(key.to_owned()), epoch());
}

fn keys(store: &Store) -> Vec<String> {
    store.summaries().map(|s| s.key.0).collect()
}

#[test]
fn oldest_closed_dropped() {
    let mut store = full(Limits {
        count: 2,
        ..Limits::default()
    });
    close(&mut store, 4, "a");
    close(&mut store, 3, "b");
    assert_eq!(store.append(Millis(5), append("c")), Ok(Offset(1)));
    assert_eq!(keys(&store), ["a", "c"]);
}

#[test]
fn closed_bytes_freed() {
    let one = Token {
        id: 1,
        text: "x".to_owned(),
    };
    let mut store = full(Limits {
        bytes: 2 * one.size(),
        ..Limits::default()
    });
    close(&mut store, 3, "b");
    assert_eq!(store.append(Millis(4), append("c")), Ok(Offset(1)));
    assert_eq!(keys(&store), ["a", "c"]);
    assert_eq!(store.bytes(), 2 * one.size());
}
