//! Calls between routers: replicating journals to witnesses, and sealing them for a takeover.

use base::prelude::*;
use journal::record::{Append, Refusal, Snapshot};
use serde::{Deserialize, Serialize};

/// The result of a successful seal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sealed {
    /// Contents of the journal; `None` if the peer holds none for the request, whose key is sealed all the
    /// same.
    pub snapshot: Option<Snapshot>,
}

/// The service of a router for the routers of other hosts.
#[tarpc::service]
pub trait RouterPeer {
    /// Appends tokens to journals; returns one result per append, in the same order.
    async fn append(batch: Vec<Append>) -> Vec<Result<Offset, Refusal>>;

    /// Fences off appends under epochs lower than `epoch` and returns the contents of the journal.
    ///
    /// `digest` is that of the request body; a journal with another one is not sealed, and the call fails with
    /// [`Refusal::OtherRequest`].
    async fn seal(key: RequestKey, epoch: Epoch, digest: u64) -> Result<Sealed, Refusal>;

    /// Marks a journal whose complete output was delivered to the caller; it may then be evicted.
    async fn close(key: RequestKey, epoch: Epoch);
}
