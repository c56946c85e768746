//! Start and exit of a daemon: settings, logger and exit code.

use std::fmt::Display;
use std::path::Path;
use std::process::ExitCode;

use serde::de::DeserializeOwned;
use settings::Validate;
use settings::common::Log;

/// Reads and checks the settings and installs the logger for standard error.
///
/// # Errors
///
/// The exit code if the process is to exit: the settings are invalid, or `is_check` is set.
pub fn prepare<T: DeserializeOwned + Validate>(
    program: &str,
    file: &Path,
    is_check: bool,
    log: impl FnOnce(&T) -> &Log,
) -> Result<T, ExitCode> {
    let settings: T = read_settings(program, file, is_check)?;
    crate::stderr_log::start(log(&settings));
    Ok(settings)
}

/// Reads and checks the settings; prints a confirmation if `is_check`.
///
/// # Errors
///
/// The exit code if the process is to exit: the settings are invalid, or `is_check` is set.
pub fn read_settings<T: DeserializeOwned + Validate>(
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

/// Returns the exit code of a daemon that ended with `result`; prints an error to standard error.
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
