//! Runs `demo` with real processes and sockets and checks that every answer is complete and exact
//! although an engine is killed.
//!
//! No assertion depends on timing.

use std::process::Command;

use serde_json::Value;

#[test]
fn demo_exact() {
    let output = Command::new(env!("CARGO_BIN_EXE_gooseberry-bench"))
        .args(["demo", "--json", "--streams", "12", "--tokens", "120"])
        .output()
        .expect("the bench starts");
    let text = String::from_utf8_lossy(&output.stdout);
    let report: Value = serde_json::from_str(&text)
        .unwrap_or_else(|e| panic!("{e}: {text}{}", String::from_utf8_lossy(&output.stderr)));
    assert_eq!(report["requests"], 12);
    assert_eq!(report["exact"], 12);
    for violation in ["missing", "repeated", "mixed", "lost", "restarted"] {
        assert_eq!(report[violation], 0, "{violation}");
    }
    assert!(output.status.success());
}
