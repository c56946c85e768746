//! Scripted scenarios of the witness log and of the owner's side.

mod scripts;

use scripts::replica::ReplicaScript;
use scripts::store::StoreScript;

#[test]
fn witness_store() {
    datadriven::walk("tests/store", |file| {
        let mut script = StoreScript::default();
        file.run(|case| script.run(case));
    });
}

#[test]
fn owner_replica() {
    datadriven::walk("tests/replica", |file| {
        let mut script = ReplicaScript::default();
        file.run(|case| script.run(case));
    });
}
