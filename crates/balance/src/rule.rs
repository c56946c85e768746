//! Load-balancing rules.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// How a server is chosen among the usable ones.
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
    /// By load, prefix cache, health and data centre together.
    #[default]
    Combined,
    /// Each server in turn; a baseline for measurements only.
    RoundRobin,
    /// At random; a baseline for measurements only.
    Random,
    /// The fewest requests of this router in flight; a baseline for measurements only.
    LeastInFlight,
}
