//! Options and commands that print and exit without an agent.

use std::process::{Command, Output};

fn run(arguments: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_gooseberryctl"));
    let output: Output = command.args(arguments).output().expect("the program runs");
    let text = [output.stdout, output.stderr].concat();
    (
        output.status.code(),
        String::from_utf8_lossy(&text).into_owned(),
    )
}

#[test]
fn check_directory() {
    let (code, text) = run(&["check", "../../examples/nyah"]);
    assert_eq!(code, Some(0), "{text}");
    assert!(
        text.contains("2 profiles, 2 services, 10 workspaces"),
        "{text}"
    );
    let (code, text) = run(&["check", "missing"]);
    assert_eq!(code, Some(1), "{text}");
    assert!(text.contains("missing: no such directory"), "{text}");
}

#[test]
fn help_version() {
    let (code, text) = run(&["--help"]);
    assert_eq!(code, Some(0));
    assert!(text.contains("Usage: gooseberryctl"), "{text}");
    let (code, text) = run(&["--version"]);
    assert_eq!(code, Some(0));
    assert!(text.contains(env!("CARGO_PKG_VERSION")), "{text}");
}
