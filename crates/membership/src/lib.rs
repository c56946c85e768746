//! Which entry hosts and backend servers there are, which of them live, and which of them leave.
//!
//! Pure: the host list, heartbeats, answers of backend servers and the time come in; heartbeats to
//! send, backend servers to ask and the merged belief go out. The crate knows nothing of sockets.

pub mod backends;
pub mod gossip;
pub mod heartbeat;
pub mod hosts;
pub mod listed;
pub mod members;
pub mod own;
pub mod policy;
pub mod roster;

pub use heartbeat::Heartbeat;
pub use members::Members;
pub use policy::Policy;
pub use roster::Roster;
