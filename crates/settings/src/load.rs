//! Reading and validation of a JSON settings file.

use std::fs;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use thiserror::Error;

pub use profiles::check::Fault;

/// The reason why settings cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{}: cannot be read: {cause}; name a file that exists and may be read", file.display())]
    Unreadable {
        /// Path of the file.
        file: PathBuf,
        /// The I/O error.
        cause: std::io::Error,
    },
    /// The file is not JSON, or does not match the expected types.
    #[error("{}: at {place}: {cause}; {}", file.display(), remedy(cause))]
    Malformed {
        /// Path of the file.
        file: PathBuf,
        /// Path within the JSON document, such as `listen.callers`.
        place: String,
        /// The parser's message.
        cause: String,
    },
    /// A value has the right type but is not valid.
    #[error("{}: {fault}", file.display())]
    Invalid {
        /// Path of the file.
        file: PathBuf,
        /// The first of the faults.
        fault: Fault,
    },
}

/// Advice for an error of the JSON parser, which does not say what to write instead.
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

/// Validation beyond the types of the fields.
pub trait Validate {
    /// All faults; empty if the settings are valid.
    fn faults(&self) -> Vec<Fault>;
}

/// Reads and validates the settings in `file`.
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

/// Reads JSON without validating the values.
///
/// # Errors
///
/// [`SettingsError::Unreadable`] or [`SettingsError::Malformed`].
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
