//! Nodes only move to higher versions, whatever reaches them in whatever order.

use base::prelude::*;
use profiles::cache::{ConfigCache, Update};
use profiles::change::{Change, Proposal, propose};
use profiles::document::{Document, Workspace};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// The accepted documents up to version `count`, and a node that holds them all.
fn accepted(count: u64) -> (Vec<Document>, ConfigCache) {
    let mut documents = vec![Document::default()];
    let mut held = ConfigCache::default();
    for i in 0..count {
        let workspace = Workspace {
            name: WorkspaceName(format!("w-{}", i % 3)),
            keys: Vec::new(),
            share: u32::try_from(i).unwrap_or(0) + 1,
            running: 0,
        };
        let proposal = Proposal {
            base: Version(i),
            operation: OperationId(format!("op-{i}")),
            changes: vec![Change::PutWorkspace(workspace)],
        };
        let (document, revision) = propose(held.document(), &proposal).expect("a valid change");
        held.apply(Update::Changes(vec![revision]));
        documents.push(document);
    }
    (documents, held)
}

proptest! {
    #![proptest_config(Config {
        cases: 128,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn versions_only_increase(news in prop::collection::vec((any::<bool>(), 0..12_usize, 0..12_u64), 0..30)) {
        let (documents, source) = accepted(11);
        let mut node = ConfigCache::default();
        for (is_full, version, after) in news {
            let before = node.version();
            let one = if is_full {
                Update::Full(documents[version].clone())
            } else {
                source.updates_since(Version(after))
            };
            node.apply(one);
            prop_assert!(node.version() >= before);
            let number = usize::try_from(node.version().0).expect("a small number");
            prop_assert_eq!(node.document(), &documents[number]);
        }
        node.apply(source.updates_since(node.version()));
        prop_assert_eq!(node.document(), source.document());
    }
}

#[test]
fn full_update_when_far_behind() {
    let (_, source) = accepted(300);
    assert!(matches!(source.updates_since(Version(0)), Update::Full(_)));
    let Update::Changes(revisions) = source.updates_since(Version(298)) else {
        panic!("two revisions are kept");
    };
    assert_eq!(revisions.len(), 2);
}
