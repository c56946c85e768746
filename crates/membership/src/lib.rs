//! Membership: which entry hosts and backend servers exist, which are alive, and which are leaving.
//!
//! The crate does no I/O. Its inputs are the host list, received heartbeats, poll results and the time;
//! its outputs are the heartbeats and polls to send and the merged view of all members.

pub mod backends;
pub mod contact;
pub mod gossip;
pub mod heartbeat;
pub mod hosts;
pub mod listed;
pub mod members;
pub mod own;
pub mod policy;
pub mod roster;
pub mod sources;
pub mod tunnels;

pub use contact::Contact;
pub use heartbeat::Heartbeat;
pub use members::Members;
pub use policy::Policy;
pub use roster::Roster;
pub use tunnels::TunnelHosts;
