//! The rules by which a server may be chosen.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// How a server is chosen among those that may be used.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Rule {
    /// Load, prefix cache, health and place together.
    #[default]
    Combined,
    /// One after the other; a baseline for measurements only.
    RoundRobin,
    /// At random; a baseline for measurements only.
    Random,
    /// The fewest requests of this router; a baseline for measurements only.
    LeastInFlight,
}
