//! What a profile declares about resuming.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// What a profile weighs more when an engine is suspected.
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
pub enum Mode {
    /// Start a second attempt on suspicion, while the first is still listened to.
    #[default]
    Latency,
    /// Confirm the loss first, so that no work is done twice.
    Cost,
    /// Begin again from the first token; a baseline for measurements only.
    Scratch,
}

/// What to do when no engine has the model version that began a generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ModelGone {
    /// Begin a new generation and tell the caller.
    Restart,
    /// End with an error.
    #[default]
    Fail,
}

/// The times and bounds of one generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// What is weighed more.
    pub mode: Mode,
    /// The longest that an engine may take to accept a stream, in milliseconds.
    pub open_ms: u64,
    /// The longest from acceptance to the first token, in milliseconds.
    pub first_ms: u64,
    /// The least silence between tokens that is suspected, in milliseconds.
    pub floor_ms: u64,
    /// The greatest silence between tokens that is not suspected, in milliseconds.
    pub ceiling_ms: u64,
    /// How many times the smoothed gap between tokens a silence must last to be suspected.
    pub gap_factor: u32,
    /// How long the probe of a suspected stream may take before a second attempt starts, in
    /// milliseconds; used in the latency mode.
    pub hedge_ms: u64,
    /// How long the probe of a suspected stream may take before the engine is given up, in
    /// milliseconds.
    pub confirm_ms: u64,
    /// The least wait before another try when no backend server can be had, in milliseconds.
    pub retry_ms: u64,
    /// The longest without a new token before the request is given up, in milliseconds.
    pub stall_ms: u64,
    /// The time between keep-alives while no token is delivered, in milliseconds.
    pub keepalive_ms: u64,
    /// How long a generation goes on for a caller that went away, in milliseconds.
    pub orphan_ms: u64,
    /// The longest time between two events of a running owner, in milliseconds; after a longer
    /// one, ownership is verified before anything is delivered.
    pub pause_ms: u64,
    /// The most engine streams over the whole generation.
    pub attempts: u64,
    /// The most resumes that wait for one engine at once while another engine has fewer, counted
    /// by each router.
    pub resumes: u64,
    /// What to do when the model version is gone.
    pub model_gone: ModelGone,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            mode: Mode::Latency,
            open_ms: 1_000,
            first_ms: 4_000,
            floor_ms: 250,
            ceiling_ms: 2_000,
            gap_factor: 8,
            hedge_ms: 50,
            confirm_ms: 1_500,
            retry_ms: 100,
            stall_ms: 30_000,
            keepalive_ms: 1_000,
            orphan_ms: 10_000,
            pause_ms: 2_000,
            attempts: 16,
            resumes: 2,
            model_gone: ModelGone::Fail,
        }
    }
}
