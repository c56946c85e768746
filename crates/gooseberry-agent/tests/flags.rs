//! Options that print and exit.

use std::process::{Command, Output};

fn run(arguments: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_gooseberry-agent"));
    let output: Output = command.args(arguments).output().expect("the program runs");
    let text = [output.stdout, output.stderr].concat();
    (
        output.status.code(),
        String::from_utf8_lossy(&text).into_owned(),
    )
}

#[test]
fn help_version() {
    let (code, text) = run(&["--help"]);
    assert_eq!(code, Some(0));
    assert!(text.contains("Usage: gooseberry-agent"), "{text}");
    let (code, text) = run(&["--version"]);
    assert_eq!(code, Some(0));
    assert!(text.contains(env!("CARGO_PKG_VERSION")), "{text}");
}

#[test]
fn check_settings() {
    let example = "../../examples/sao-mai/settings/entry-1/agent.json";
    let (code, text) = run(&["--check", "--settings", example]);
    assert_eq!(code, Some(0), "{text}");
    assert!(text.contains("correct"), "{text}");
    let (code, text) = run(&["--check", "--settings", "missing.json"]);
    assert_eq!(code, Some(1), "{text}");
    assert!(text.contains("missing.json: cannot be read"), "{text}");
}
