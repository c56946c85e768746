//! Limits, the fair queue by workspace and the retry budget.
//!
//! Pure: requests, ends and the time come in, starts and refusals go out. The crate knows nothing
//! of HTTP or of how the bounds of one router are worked out from what others do.

pub mod budget;
pub mod gate;
mod lane;
pub mod share;

pub use budget::Budget;
pub use gate::{Action, Ask, ClassBounds, Gate, Reason, SpaceBounds};
pub use share::share;
