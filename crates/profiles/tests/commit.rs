//! Racing operators and lost answers, in random order: at most one proposal a version, and each
//! outcome that is told is true.

use base::prelude::*;
use profiles::change::{Change, Proposal, Revision};
use profiles::commit::{Commit, Outcome, Step, StoreState, WriteResult};
use profiles::document::{Document, Workspace};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// A store that keeps every accepted revision, and writes that are still under way.
#[derive(Default)]
struct Store {
    document: Document,
    revisions: Vec<Revision>,
    late: Vec<(Version, Document, Revision)>,
}

impl Store {
    fn seen(&self, base: Version) -> StoreState {
        let next = self.revisions.iter().find(|r| r.version == base.next());
        StoreState {
            document: self.document.clone(),
            next: next.cloned(),
        }
    }

    fn write(&mut self, base: Version, document: Document, revision: Revision) -> bool {
        let holds = self.document.version == base;
        if holds {
            self.document = document;
            self.revisions.push(revision);
        }
        holds
    }

    fn settle(&mut self) {
        for (base, document, revision) in std::mem::take(&mut self.late) {
            self.write(base, document, revision);
        }
    }
}

/// An operator's proposal on its way.
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

    /// Carries out one step; `fault` decides what becomes of it.
    fn run(&mut self, now: Millis, store: &mut Store, fault: u8) {
        let step = std::mem::replace(&mut self.step, Step::Read);
        self.step = match step {
            Step::Read | Step::ReadLater => {
                let seen = (fault != 0).then(|| store.seen(self.base));
                self.commit.on_read(now, seen.as_ref())
            }
            Step::Write(document, revision) => {
                let written = match fault {
                    0 => WriteResult::Unsent,
                    1 => {
                        store.late.push((self.base, document, revision));
                        WriteResult::Unanswered
                    }
                    2 => {
                        store.write(self.base, document, revision);
                        WriteResult::Unanswered
                    }
                    _ if store.write(self.base, document, revision) => WriteResult::Committed,
                    _ => WriteResult::Conflict,
                };
                self.commit.on_write(now, written)
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
    fn outcomes_hold(script in prop::collection::vec((0..3_usize, 0..8_u8), 0..80)) {
        let mut store = Store::default();
        let mut operators: Vec<Operator> = (0..3).map(|i| Operator::new(i, Version(0))).collect();
        for (now, (who, fault)) in (0..).zip(script) {
            if fault == 7 {
                store.settle();
            }
            operators[who].run(Millis(now), &mut store, fault);
        }
        for one in &mut operators {
            while !matches!(one.step, Step::Finish(_)) {
                one.run(Millis(1_000), &mut store, 0);
            }
        }
        store.settle();
        prop_assert!(store.revisions.len() <= 1, "one proposal a version");
        for one in &operators {
            let is_in = store.revisions.iter().any(|r| r.operation == one.operation);
            match &one.step {
                Step::Finish(Outcome::Accepted { .. }) => prop_assert!(is_in),
                Step::Finish(Outcome::Refused { .. } | Outcome::Unavailable) => prop_assert!(!is_in),
                _ => {}
            }
        }
    }
}

#[test]
fn lost_answer_read_back() {
    let mut store = Store::default();
    let mut one = Operator::new(0, Version(0));
    // Read, written with the answer lost, read back.
    for fault in [3, 2, 3] {
        one.run(Millis(0), &mut store, fault);
    }
    let version = Version(1);
    assert_eq!(one.step, Step::Finish(Outcome::Accepted { version }));
}

#[test]
fn lost_answer_store_away() {
    let mut store = Store::default();
    let mut one = Operator::new(0, Version(0));
    for (now, fault) in [(0, 3), (0, 2), (30, 0)] {
        one.run(Millis(now), &mut store, fault);
    }
    let operation = one.operation.clone();
    assert_eq!(one.step, Step::Finish(Outcome::Unknown { operation }));
}
