//! Runs one wave of `faults` in which an engine and a router are killed. Every answer must be
//! exact, whatever the timing of the two failures.

use std::process::Command;

use serde_json::Value;

#[test]
fn pair_exact() {
    let output = Command::new(env!("CARGO_BIN_EXE_gooseberry-bench"))
        .args(["faults", "--json", "--no-baselines", "--profile", "sao-mai"])
        .args(["--seed", "3", "--streams", "24"])
        .args(["--fault", "engine_killed+router_killed"])
        .output()
        .expect("the bench starts");
    let text = String::from_utf8_lossy(&output.stdout);
    let report: Value = serde_json::from_str(&text)
        .unwrap_or_else(|e| panic!("{e}: {text}{}", String::from_utf8_lossy(&output.stderr)));
    assert_eq!(report["requests"], 24);
    assert_eq!(report["exact"], 24, "{report:#}");
    for flaw in ["missing", "repeated", "mixed", "lost", "left_running"] {
        assert_eq!(report[flaw], 0, "{flaw}");
    }
    assert!(output.status.success());
}
