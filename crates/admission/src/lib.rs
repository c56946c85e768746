//! Admission control of a router: limits, fair queueing by workspace, and retry budgets.
//!
//! The crate does no I/O: requests, their ends and the time are passed in, starts and refusals are
//! returned. The router handles HTTP and derives its bounds from the state of the other routers.

pub mod budget;
pub mod controller;
mod flow;
pub mod share;

pub use budget::RetryBudget;
pub use controller::{Action, Controller, ProfileBounds, Reason, Request, WorkspaceBounds};
pub use share::limit_share;
