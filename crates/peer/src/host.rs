//! Calls between entry hosts.

use platform::store::{Rows, Table};
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

/// Why a host does not tell the changes of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum FeedError {
    /// It does not follow the table at the store, or cannot reach it.
    #[strum(serialize = "away")]
    #[serde(rename = "Away")]
    Unavailable,
    /// It no longer holds the changes asked for.
    #[strum(serialize = "behind")]
    #[serde(rename = "Behind")]
    Evicted,
}

/// Calls that an entry host takes from those of its data centre.
#[tarpc::service]
pub trait HostPeer {
    /// The changes of `table` behind the revision `since`, as soon as there are any; none if there are
    /// none within `wait_ms`.
    async fn changes(table: Table, since: u64, wait_ms: u64) -> Result<Rows, FeedError>;
}
