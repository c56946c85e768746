//! Runs `calls` with real processes under faults and checks that no key is executed twice, no call
//! reported as `not_run` was executed, and no answer belongs to another call.
//!
//! No assertion depends on timing.

use std::process::Command;

use serde_json::Value;

#[test]
fn calls_exact() {
    let output = Command::new(env!("CARGO_BIN_EXE_gooseberry-bench"))
        .args(["calls", "--json", "--seed", "7", "--keys", "200"])
        .args(["--rate", "50", "--seconds", "1"])
        .output()
        .expect("the bench starts");
    let text = String::from_utf8_lossy(&output.stdout);
    let report: Value = serde_json::from_str(&text)
        .unwrap_or_else(|e| panic!("{e}: {text}{}", String::from_utf8_lossy(&output.stderr)));
    assert_eq!(report["keys"], 200);
    assert_eq!(report["runs_max"], 1);
    for violation in ["false_not_run", "crossed"] {
        assert_eq!(report[violation], 0, "{violation}");
    }
}
