//! The command line: settings are checked whole before anything starts.

use std::process::{Command, Output};

fn check(name: &str, text: &str) -> Output {
    let file = std::env::temp_dir().join(format!("check-{}-{name}.json", std::process::id()));
    std::fs::write(&file, text).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_gooseberry-gateway"))
        .arg("--settings")
        .arg(&file)
        .arg("--check")
        .output()
        .unwrap();
    std::fs::remove_file(&file).unwrap();
    output
}

#[test]
fn wrong_settings() {
    let output = check("wrong", r#"{"host": 5}"#);
    assert!(!output.status.success());
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        text.contains("at host:") && text.contains("correct this entry"),
        "{text}"
    );
}

#[test]
fn correct_settings() {
    let text = r#"{"host": "front-1", "data_centre": "a",
        "listen": {"callers": "10.1.0.19:8740", "ready": "10.1.0.19:8749",
                   "peers": "10.1.0.19:7200", "metrics": "10.1.0.19:9464"},
        "store": "10.200.1.7:8742",
        "retries": {"window_s": 10, "ratio": 0.8, "extra": 150},
        "grace_s": 8, "leave_ms": 2000}"#;
    let output = check("correct", text);
    assert!(output.status.success());
    assert!(String::from_utf8_lossy(&output.stdout).contains("correct"));
}
