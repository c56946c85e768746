//! Builds the programs that experiments start and locates the binaries.

use std::path::{Path, PathBuf};

use tokio::process::Command;

use super::BenchError;

/// The packages to build; each has a binary of the same name.
const PROGRAMS: [&str; 4] = [
    "gooseberry-router",
    "gooseberry-agent",
    "gooseberry-gateway",
    "gooseberry-standin",
];

/// The manifest of this crate, so that Cargo finds the workspace from any working directory.
const MANIFEST: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml");

/// Builds the programs with the Cargo profile of the running bench, and returns the folder of the
/// binaries.
pub(crate) async fn programs() -> Result<PathBuf, BenchError> {
    let own = std::env::current_exe().map_err(|e| BenchError::Build(e.to_string()))?;
    let folder = own.parent().unwrap_or(Path::new(".")).to_owned();
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
    let mut command = Command::new(cargo);
    command.args(["build", "--locked", "--quiet", "--bins"]);
    command.args(["--manifest-path", MANIFEST]);
    for program in PROGRAMS {
        command.args(["--package", program]);
    }
    if folder.ends_with("release") {
        command.arg("--release");
    }
    let status = command.status().await;
    let status = status.map_err(|e| BenchError::Build(e.to_string()))?;
    if !status.success() {
        return Err(BenchError::Build(status.to_string()));
    }
    Ok(folder)
}

/// The commit of the sources as `git describe --dirty` prints it; `unknown` without git.
pub(crate) async fn commit() -> String {
    let folder = Path::new(MANIFEST).parent().unwrap_or(Path::new("."));
    let mut command = Command::new("git");
    command.args(["describe", "--always", "--dirty"]);
    let output = command.current_dir(folder).output().await;
    let text = output.map(|o| String::from_utf8_lossy(&o.stdout).trim().to_owned());
    text.ok()
        .filter(|t| !t.is_empty())
        .unwrap_or_else(|| "unknown".to_owned())
}
