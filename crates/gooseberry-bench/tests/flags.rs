//! Checks the output and exit code of `--help` and `--version`.

use std::process::{Command, Output};

fn run(arguments: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_gooseberry-bench"));
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
    assert!(text.contains("Usage: gooseberry-bench"), "{text}");
    let (code, text) = run(&["--version"]);
    assert_eq!(code, Some(0));
    assert!(text.contains(env!("CARGO_PKG_VERSION")), "{text}");
}
