//! Limits, the fair queue by workspace and the retry budget.
//!
//! Pure: requests, ends and the time come in, starts and refusals go out. The crate knows nothing
//! of HTTP or of how the bounds of one router are worked out from what others do.

pub mod budget;
pub mod controller;
mod flow;
pub mod share;

pub use budget::RetryBudget;
pub use controller::{Action, Controller, ProfileBounds, Reason, Request, WorkspaceBounds};
pub use share::limit_share;
