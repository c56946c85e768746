//! What routers ask of each other: witnessing and taking over.

use base::prelude::*;
use journal::record::{Append, Refusal, Snapshot};
use serde::{Deserialize, Serialize};

/// The answer to a seal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sealed {
    /// The journal, if the host holds one.
    pub snapshot: Option<Snapshot>,
}

/// Calls that a router takes of its peers.
#[tarpc::service]
pub trait RouterPeer {
    /// Adds tokens to journals; one result an append, in the same order.
    async fn append(batch: Vec<Append>) -> Vec<Result<Offset, Refusal>>;

    /// Refuses later appends below `epoch` and returns the journal.
    async fn seal(key: RequestKey, epoch: Epoch, digest: u64) -> Result<Sealed, Refusal>;

    /// The caller has the whole answer.
    async fn close(key: RequestKey, epoch: Epoch);
}
