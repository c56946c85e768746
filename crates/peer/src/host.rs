//! Calls between entry hosts: changes of the store's tables, provided by the hub of a data centre.

use platform::store::{Rows, Table};
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

/// Why a host cannot provide the changes of a table; the calling host then polls the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum FeedError {
    /// It does not poll the store for the table, the store does not answer, or the host is stopping.
    #[strum(serialize = "away")]
    #[serde(rename = "Away")]
    Unavailable,
    /// Some of the requested changes have been evicted.
    #[strum(serialize = "behind")]
    #[serde(rename = "Behind")]
    Evicted,
}

/// The service of an entry host for the other entry hosts of its data centre.
#[tarpc::service]
pub trait HostPeer {
    /// Returns the changes of `table` with a revision greater than `since`.
    ///
    /// A long poll: waits up to `wait_ms` for the first change, and returns no rows if there is none.
    async fn changes(table: Table, since: u64, wait_ms: u64) -> Result<Rows, FeedError>;
}
