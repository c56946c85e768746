//! What every daemon does before it starts and when it ends.

use std::fmt::Display;
use std::path::Path;
use std::process::ExitCode;

use serde::de::DeserializeOwned;
use settings::Checked;
use settings::common::Log;

/// Reads and checks the settings and sets the logger.
///
/// # Errors
///
/// The exit code if the process is to end here: the settings are wrong, or were only to be checked.
pub fn prepare<T: DeserializeOwned + Checked>(
    program: &str,
    file: &Path,
    is_check: bool,
    log: impl FnOnce(&T) -> &Log,
) -> Result<T, ExitCode> {
    let settings: T = read_settings(program, file, is_check)?;
    crate::stderr_log::start(log(&settings));
    Ok(settings)
}

/// Reads and checks the settings.
///
/// # Errors
///
/// The exit code if the process is to end here: the settings are wrong, or were only to be checked.
pub fn read_settings<T: DeserializeOwned + Checked>(
    program: &str,
    file: &Path,
    is_check: bool,
) -> Result<T, ExitCode> {
    let settings: T = settings::load(file).map_err(|e| print_failure(program, &e))?;
    if is_check {
        println!("{}: correct", file.display());
        return Err(ExitCode::SUCCESS);
    }
    Ok(settings)
}

/// The exit code of a daemon that has ended with `result`; an error is printed.
pub fn exit_code<E: Display>(program: &str, result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => print_failure(program, &e),
    }
}

fn print_failure<E: Display>(program: &str, error: &E) -> ExitCode {
    eprintln!("{program}: {error}");
    ExitCode::FAILURE
}
