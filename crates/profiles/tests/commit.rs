//! Concurrent operators with lost responses, in random order: at most one proposal is accepted per
//! version, and every reported outcome agrees with the store.

use base::prelude::*;
use profiles::change::{Change, Proposal, Revision};
use profiles::commit::{Commit, Outcome, Step, StoreState, WriteResult};
use profiles::document::{Document, Workspace};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// A store with all accepted revisions, and delayed writes that have not arrived yet.
#[derive(Default)]
struct Store {
    document: Document,
    revisions: Vec<Revision>,
    delayed: Vec<(Version, Document, Revision)>,
}

impl Store {
    fn read(&self, base: Version) -> StoreState {
        let next = self.revisions.iter().find(|r| r.version == base.next());
        StoreState {
            document: self.document.clone(),
            next: next.cloned(),
        }
    }

    fn write(&mut self, base: Version, document: Document, revision: Revision) -> bool {
        let is_unchanged = self.document.version == base;
        if is_unchanged {
            self.document = document;
            self.revisions.push(revision);
        }
        is_unchanged
    }

    fn deliver_delayed(&mut self) {
        for (base, document, revision) in std::mem::take(&mut self.delayed) {
            self.write(base, document, revision);
        }
    }
}

/// An operator with a proposal in progress.
struct Operator {
    base: Version,
    operation: OperationId,
    commit: Commit,
    step: Step,
}

impl Operator {
    fn new(i: usize, base: Version) -> Self {
        let workspace = Workspace {
            name: WorkspaceName(format!("w-{i}")),
            keys: Vec::new(),
            share: 1,
            running: 0,
        };
        let operation = OperationId(format!("op-{i}"));
        let proposal = Proposal {
            base,
            operation: operation.clone(),
            changes: vec![Change::PutWorkspace(workspace)],
        };
        Self {
            base,
            operation,
            commit: Commit::new(proposal, Millis(20)),
            step: Step::Read,
        }
    }

    /// Carries out one step. Fault 0 fails the read or leaves the write unsent, 1 delays the write and 2
    /// loses its response; other values do no harm.
    fn run(&mut self, now: Millis, store: &mut Store, fault: u8) {
        let step = std::mem::replace(&mut self.step, Step::Read);
        self.step = match step {
            Step::Read | Step::ReadLater => {
                let state = (fault != 0).then(|| store.read(self.base));
                self.commit.on_read(now, state.as_ref())
            }
            Step::Write(document, revision) => {
                let result = match fault {
                    0 => WriteResult::Unsent,
                    1 => {
                        store.delayed.push((self.base, document, revision));
                        WriteResult::Unanswered
                    }
                    2 => {
                        store.write(self.base, document, revision);
                        WriteResult::Unanswered
                    }
                    _ if store.write(self.base, document, revision) => WriteResult::Committed,
                    _ => WriteResult::Conflict,
                };
                self.commit.on_write(now, result)
            }
            end @ Step::Finish(_) => end,
        };
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn outcomes_match_store(script in prop::collection::vec((0..3_usize, 0..8_u8), 0..80)) {
        let mut store = Store::default();
        let mut operators: Vec<Operator> = (0..3).map(|i| Operator::new(i, Version(0))).collect();
        for (now, (who, fault)) in (0..).zip(script) {
            if fault == 7 {
                store.deliver_delayed();
            }
            operators[who].run(Millis(now), &mut store, fault);
        }
        for one in &mut operators {
            while !matches!(one.step, Step::Finish(_)) {
                one.run(Millis(1_000), &mut store, 0);
            }
        }
        store.deliver_delayed();
        prop_assert!(store.revisions.len() <= 1, "at most one proposal per version");
        for one in &operators {
            let is_stored = store.revisions.iter().any(|r| r.operation == one.operation);
            match &one.step {
                Step::Finish(Outcome::Accepted { .. }) => prop_assert!(is_stored),
                Step::Finish(Outcome::Refused { .. } | Outcome::Unavailable) => prop_assert!(!is_stored),
                _ => {}
            }
        }
    }
}

#[test]
fn lost_response_read_back() {
    let mut store = Store::default();
    let mut one = Operator::new(0, Version(0));
    // A read, a write whose response is lost, and a read that finds the revision.
    for fault in [3, 2, 3] {
        one.run(Millis(0), &mut store, fault);
    }
    let version = Version(1);
    assert_eq!(one.step, Step::Finish(Outcome::Accepted { version }));
}

#[test]
fn lost_response_store_unavailable() {
    let mut store = Store::default();
    let mut one = Operator::new(0, Version(0));
    for (now, fault) in [(0, 3), (0, 2), (30, 0)] {
        one.run(Millis(now), &mut store, fault);
    }
    let operation = one.operation.clone();
    assert_eq!(one.step, Step::Finish(Outcome::Unknown { operation }));
}
