//! Short runs of the soak with fixed seeds: one with random faults, one with planned operations
//! only (every fourth seed). A run fails if it has any finding.

use std::process::Command;

fn soak(seed: &str) {
    let output = Command::new(env!("CARGO_BIN_EXE_gooseberry-bench"))
        .args(["soak", "--seed", seed, "--seconds", "4", "--callers", "8"])
        .output()
        .expect("the bench starts");
    let text = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{text}{errors}");
}

#[test]
fn random_faults() {
    soak("3");
}

#[test]
fn planned_work() {
    soak("4");
}
