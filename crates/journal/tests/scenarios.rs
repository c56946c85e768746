//! Scripted scenarios of the journal store and of the replicator.

mod scripts;

use scripts::replicator::ReplicatorScript;
use scripts::store::StoreScript;

#[test]
fn journal_store() {
    datadriven::walk("tests/store", |file| {
        let mut script = StoreScript::default();
        file.run(|case| script.run(case));
    });
}

#[test]
fn replicator() {
    datadriven::walk("tests/replica", |file| {
        let mut script = ReplicatorScript::default();
        file.run(|case| script.run(case));
    });
}
