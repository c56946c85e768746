//! Reading and checking a JSON file.

use std::fs;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use thiserror::Error;

pub use profiles::check::Fault;

/// Why settings cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{}: cannot be read: {cause}; name a file that exists and may be read", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// The cause given by the system.
        cause: std::io::Error,
    },
    /// The file is not JSON of the expected shape.
    #[error("{}: at {place}: {cause}; {}", file.display(), remedy(cause))]
    Malformed {
        /// The file.
        file: PathBuf,
        /// The path in the file, as `listen.callers`.
        place: String,
        /// What was found and what was expected.
        cause: String,
    },
    /// A value is of the right shape and makes no sense.
    #[error("{}: {fault}", file.display())]
    Invalid {
        /// The file.
        file: PathBuf,
        /// The first fault.
        fault: Fault,
    },
}

/// What to write where the JSON library only says what is wrong.
fn remedy(cause: &str) -> &'static str {
    if cause.starts_with("invalid socket address") {
        "write an IP number and a port, as 10.0.0.7:7004"
    } else if cause.starts_with("missing field") {
        "add this entry"
    } else if cause.starts_with("expected") || cause.starts_with("EOF") {
        "write JSON, beginning with an opening brace"
    } else {
        "correct this entry"
    }
}

/// Settings that can be checked as a whole.
pub trait Validate {
    /// All faults; none if the settings may be used.
    fn faults(&self) -> Vec<Fault>;
}

/// Reads and checks the settings in `file`.
///
/// # Errors
///
/// Any [`SettingsError`].
pub fn load<T: DeserializeOwned + Validate>(file: &Path) -> Result<T, SettingsError> {
    let settings: T = read(file)?;
    match settings.faults().into_iter().next() {
        None => Ok(settings),
        Some(fault) => Err(SettingsError::Invalid {
            file: file.to_owned(),
            fault,
        }),
    }
}

/// Reads JSON without checks of its sense.
///
/// # Errors
///
/// `Unreadable` or `Malformed`.
pub fn read<T: DeserializeOwned>(file: &Path) -> Result<T, SettingsError> {
    let text = fs::read_to_string(file).map_err(|cause| SettingsError::Unreadable {
        file: file.to_owned(),
        cause,
    })?;
    let mut parser = serde_json::Deserializer::from_str(&text);
    let value = serde_path_to_error::deserialize(&mut parser).map_err(|e| {
        let place = e.path().to_string();
        SettingsError::Malformed {
            file: file.to_owned(),
            place,
            cause: e.into_inner().to_string(),
        }
    })?;
    parser.end().map_err(|e| SettingsError::Malformed {
        file: file.to_owned(),
        place: ".".to_owned(),
        cause: e.to_string(),
    })?;
    Ok(value)
}
