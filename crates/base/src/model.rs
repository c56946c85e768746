//! Models and the roles of the engines that run them.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A model, identified by all that determines its output; displayed as
/// `<name>@<version>`, followed by `+<adapter>` if it has one.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name, without version and adapter.
    pub name: String,
    /// Version of the weights.
    pub version: String,
    /// Name of the adapter applied to the weights; `None` for the weights alone.
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

/// Phases of generation that an engine runs.
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
