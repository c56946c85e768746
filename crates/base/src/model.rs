//! Models and the roles of the engines that run them.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A model, with the version and adapter that decide its output.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The name of the model.
    pub name: String,
    /// The version of the weights.
    pub version: String,
    /// The adapter, if any.
    #[serde(default)]
    pub adapter: Option<String>,
}

impl fmt::Display for Model {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.name, self.version)?;
        match &self.adapter {
            Some(adapter) => write!(f, "+{adapter}"),
            None => Ok(()),
        }
    }
}

/// What an engine is used for.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Mixed,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}
