//! Commands for the journal store.

use base::prelude::*;
use datadriven::TestCase;
use journal::record::{Append, FinishReason, Header, Refusal, Segment, StreamRef};
use journal::store::{Limits, Store};

use super::{epoch, now, number, text};

/// The store under test.
#[derive(Default)]
pub(crate) struct StoreScript {
    store: Store,
}

impl StoreScript {
    /// Runs one command and returns its output.
    pub(crate) fn run(&mut self, case: &TestCase) -> String {
        match case.directive.as_str() {
            "new" => {
                let default = Limits::default();
                self.store = Store::new(Limits {
                    bytes: number(case, "bytes").map_or(default.bytes, |n| n as usize),
                    count: number(case, "count").map_or(default.count, |n| n as usize),
                    idle_ms: 1_000,
                    retain_ms: 5_000,
                });
                String::new()
            }
            "append" => match self.store.append(now(case), append(case)) {
                Ok(held) => format!("held {held}\n"),
                Err(refusal) => refused(refusal),
            },
            "seal" => self.seal(case),
            "close" => {
                self.store.close(now(case), &key(case), epoch(case));
                String::new()
            }
            "expire" => {
                let orphans = self.store.expire(now(case));
                let line = |o: &journal::store::Orphan| format!("cancel {}\n", o.stream.name);
                orphans.iter().map(line).collect()
            }
            "leave" => {
                self.store.leave();
                String::new()
            }
            "dump" => self.dump(),
            other => panic!("there is no command `{other}`"),
        }
    }

    fn seal(&mut self, case: &TestCase) -> String {
        let digest = number(case, "digest").unwrap_or(0);
        let sealed = self.store.seal(now(case), &key(case), epoch(case), digest);
        match sealed {
            Ok(None) => "nothing\n".to_owned(),
            Ok(Some(s)) => format!(
                "epoch={} generation={} tokens={} whole={}\n",
                s.epoch,
                s.header.generation().0,
                s.tokens.len(),
                s.finish.is_some()
            ),
            Err(refusal) => refused(refusal),
        }
    }

    fn dump(&self) -> String {
        let mut text = String::new();
        for s in self.store.summaries() {
            text.push_str(&format!(
                "{} fence={} length={}\n",
                s.key, s.fence, s.length
            ));
        }
        text
    }
}

fn refused(refusal: Refusal) -> String {
    format!("refused: {refusal}\n")
}

fn key(case: &TestCase) -> RequestKey {
    RequestKey(text(case, "key").unwrap_or_else(|| "a".to_owned()))
}

/// An append of tokens with one byte of text each; its header, if any, names the stream after the
/// generation.
fn append(case: &TestCase) -> Append {
    let count = number(case, "tokens").unwrap_or(0);
    let token = |i: u64| Token {
        id: u32::try_from(i).expect("offsets are small"),
        text: "x".to_owned(),
    };
    let from = number(case, "from").unwrap_or(0);
    let header = number(case, "generation").map(|n| Header {
        digest: 0,
        lineage: vec![Segment {
            generation: GenerationId(n),
            start: Offset(0),
        }],
        model: Model::default(),
        stream: Some(StreamRef {
            name: format!("stream-{n}"),
            backend: BackendId::from("engine"),
            addr: ([127, 0, 0, 1], 1).into(),
            incarnation: Incarnation(1),
        }),
    });
    Append {
        key: key(case),
        epoch: epoch(case),
        header,
        from: Offset(from),
        tokens: (from..from + count).map(token).collect(),
        finish: case
            .args
            .contains_key("whole")
            .then_some(FinishReason::Stop),
    }
}
