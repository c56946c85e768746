//! Settings of a profile for interrupted generations.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// How a suspected engine is handled: the trade-off between latency and duplicate work.
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
    /// Open a second attempt on suspicion and keep reading the first.
    #[default]
    Latency,
    /// Open another attempt only when the first has failed, so that no work is done twice.
    Cost,
    /// Begin again from the first token; only a baseline for measurements.
    Scratch,
}

/// What to do when no engine has the model version that produced the tokens so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ModelGone {
    /// Begin a new generation and notify the caller.
    Restart,
    /// End the request with an error.
    #[default]
    Fail,
}

/// Time limits and bounds of one generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// How a suspected engine is handled.
    pub mode: Mode,
    /// Time limit for an engine to accept a stream, in milliseconds.
    pub open_ms: u64,
    /// Time from acceptance to the first token after which a stream is suspected, in milliseconds.
    pub first_ms: u64,
    /// Lower bound of the silence between tokens that is suspected, in milliseconds.
    pub floor_ms: u64,
    /// Upper bound of the silence between tokens that is not suspected, in milliseconds.
    pub ceiling_ms: u64,
    /// The multiple of the smoothed gap between tokens that a silence must last to be suspected.
    pub gap_factor: u32,
    /// How long the probe of a suspected stream may take before a second attempt is opened, in
    /// milliseconds; used in the latency mode only.
    pub hedge_ms: u64,
    /// How long the probe of a suspected stream may take before the stream is cancelled, in
    /// milliseconds.
    pub confirm_ms: u64,
    /// Initial backoff before another attempt when no backend server is available, in milliseconds.
    pub retry_ms: u64,
    /// Time without a new token after which the request fails, in milliseconds.
    pub stall_ms: u64,
    /// Interval of keep-alives to the caller while no token is delivered, in milliseconds.
    pub keepalive_ms: u64,
    /// How long a generation continues after its caller disconnected, in milliseconds.
    pub orphan_ms: u64,
    /// Time between two events from which the owner counts as having been paused, in milliseconds;
    /// ownership is then verified before anything is delivered.
    pub pause_ms: u64,
    /// Maximum number of engine streams opened over the whole generation.
    pub attempts: u64,
    /// Maximum number of resumed streams that wait for one engine at a time while another engine
    /// has fewer; counted by each router separately.
    pub resumes: u64,
    /// What to do when no engine has the model version that produced the tokens so far.
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
