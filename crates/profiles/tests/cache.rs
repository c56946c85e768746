//! The version only increases, whichever updates arrive in whichever order.

use base::prelude::*;
use profiles::cache::{ConfigCache, Update};
use profiles::change::{Change, Proposal, propose};
use profiles::document::{Document, Workspace};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// The documents of versions 0 to `count`, and a cache at version `count`.
fn accepted(count: u64) -> (Vec<Document>, ConfigCache) {
    let mut documents = vec![Document::default()];
    let mut cache = ConfigCache::default();
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
        let (document, revision) = propose(cache.document(), &proposal).expect("a valid change");
        cache.apply(Update::Changes(vec![revision]));
        documents.push(document);
    }
    (documents, cache)
}

proptest! {
    #![proptest_config(Config {
        cases: 128,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn versions_only_increase(
        updates in prop::collection::vec((any::<bool>(), 0..12_usize, 0..12_u64), 0..30),
    ) {
        let (documents, source) = accepted(11);
        let mut cache = ConfigCache::default();
        for (is_full, version, after) in updates {
            let before = cache.version();
            let update = if is_full {
                Update::Full(documents[version].clone())
            } else {
                source.update_since(Version(after))
            };
            cache.apply(update);
            prop_assert!(cache.version() >= before);
            let number = usize::try_from(cache.version().0).expect("a small number");
            prop_assert_eq!(cache.document(), &documents[number]);
        }
        cache.apply(source.update_since(cache.version()));
        prop_assert_eq!(cache.document(), source.document());
    }
}

#[test]
fn full_update_when_far_behind() {
    let (_, source) = accepted(300);
    assert!(matches!(source.update_since(Version(0)), Update::Full(_)));
    let Update::Changes(revisions) = source.update_since(Version(298)) else {
        panic!("two revisions are kept");
    };
    assert_eq!(revisions.len(), 2);
}
