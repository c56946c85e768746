//! A connection to a peer that is opened again when it fails.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base::prelude::*;
use base::traffic;
use journal::record::{Append, Refusal};
use membership::Heartbeat;
use platform::store::{Rows, Table};
use tarpc::client::RpcError;
use tarpc::context::{self, Context};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::io::{InspectReader, InspectWriter};

use crate::agent::{About, AgentPeerClient, Ask, Changes, View};
use crate::host::{HostPeerClient, Unserved};
use crate::router::{RouterPeerClient, Sealed};

/// The largest message between processes, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// The longest wait for a connection.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Time beyond which the transport itself gives up a call that the caller has already given up.
const GRACE: Duration = Duration::from_millis(200);

/// Why a peer gave no answer.
#[derive(Debug, Error)]
pub enum LinkError {
    /// No connection could be made; the call was not sent.
    #[error("no connection to peer {addr}: {cause}; check that the process runs there")]
    Connect {
        /// The address.
        addr: SocketAddr,
        /// The cause.
        cause: String,
    },
    /// The call was sent and not answered.
    #[error("peer {addr} gave no answer: {cause}; the call may have been received")]
    Lost {
        /// The address.
        addr: SocketAddr,
        /// The cause.
        cause: String,
    },
}

/// A connection whose bytes are counted.
type Counted = InspectReader<InspectWriter<TcpStream, fn(&[u8])>, fn(&[u8])>;

/// A connection as a sequence of messages.
pub(crate) type Frames = Framed<Counted, LengthDelimitedCodec>;

/// The messages of a connection, on either side.
pub(crate) fn frames(stream: TcpStream) -> Frames {
    // Without this, small frames wait for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let written: InspectWriter<_, fn(&[u8])> = InspectWriter::new(stream, traffic::count_sent);
    let counted: Counted = InspectReader::new(written, traffic::count_received);
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_codec();
    Framed::new(counted, codec)
}

/// Declares a link for the client of one service.
macro_rules! link {
    ($(#[$doc:meta])* $name:ident, $client:ident) => {
        $(#[$doc])*
        pub struct $name {
            addr: SocketAddr,
            client: Mutex<Option<$client>>,
        }

        impl $name {
            /// A link that connects on its first call.
            pub fn new(addr: SocketAddr) -> Self {
                Self {
                    addr,
                    client: Mutex::new(None),
                }
            }

            /// The address of the peer.
            pub fn addr(&self) -> SocketAddr {
                self.addr
            }

            /// The client over the open connection, or over a new one; and whether it was open.
            async fn client(&self) -> Result<($client, bool), LinkError> {
                let mut slot = self.client.lock().await;
                if let Some(client) = slot.as_ref() {
                    return Ok((client.clone(), true));
                }
                let addr = self.addr;
                let refused = |cause: String| LinkError::Connect { addr, cause };
                let stream = timeout(CONNECT_LIMIT, TcpStream::connect(addr))
                    .await
                    .map_err(|e| refused(e.to_string()))?
                    .map_err(|e| refused(e.to_string()))?;
                let format = tokio_serde::formats::MessagePack::default();
                let transport = tarpc::serde_transport::new(frames(stream), format);
                let client = $client::new(tarpc::client::Config::default(), transport).spawn();
                *slot = Some(client.clone());
                Ok((client, false))
            }

            /// Closes the connection, so that the next call opens a new one.
            async fn reset(&self) {
                *self.client.lock().await = None;
            }

            /// Makes one call within `limit`; the connection is given up if it is not answered.
            ///
            /// A connection that was open before may end at a process that is gone by now, so the
            /// call is made once more over a new one. Calls between peers may be received twice.
            async fn call<T, F>(
                &self,
                limit: Duration,
                run: impl Fn($client, Context) -> F,
            ) -> Result<T, LinkError>
            where
                F: Future<Output = Result<T, RpcError>>,
            {
                let deadline = Instant::now() + limit;
                let (client, was_open) = self.client().await?;
                let answer = self.try_call(client, deadline, &run).await;
                if answer.is_ok() || !was_open || Instant::now() >= deadline {
                    return answer;
                }
                let (client, _) = self.client().await?;
                self.try_call(client, deadline, &run).await
            }

            /// Makes one call over the connection of `client`.
            async fn try_call<T, F>(
                &self,
                client: $client,
                deadline: Instant,
                run: &impl Fn($client, Context) -> F,
            ) -> Result<T, LinkError>
            where
                F: Future<Output = Result<T, RpcError>>,
            {
                let addr = self.addr;
                let lost = |cause: String| LinkError::Lost { addr, cause };
                let mut context = context::current();
                context.deadline = deadline + GRACE;
                let left = deadline.saturating_duration_since(Instant::now());
                let answer = match timeout(left, run(client, context)).await {
                    Ok(Ok(answer)) => return Ok(answer),
                    Ok(Err(e)) => lost(e.to_string()),
                    Err(e) => lost(e.to_string()),
                };
                self.reset().await;
                Err(answer)
            }
        }
    };
}

link!(
    /// A link to a router.
    RouterLink,
    RouterPeerClient
);
link!(
    /// A link to an agent.
    AgentLink,
    AgentPeerClient
);

link!(
    /// A link to an entry host.
    HostLink,
    HostPeerClient
);

impl HostLink {
    /// Waits up to `wait` for changes of a table behind the revision `since`.
    ///
    /// # Errors
    ///
    /// Any [`LinkError`].
    pub async fn changes(
        &self,
        table: Table,
        since: u64,
        wait: Millis,
        limit: Duration,
    ) -> Result<Result<Rows, Unserved>, LinkError> {
        self.call(limit, |c, ctx| async move {
            c.changes(ctx, table, since, wait.0).await
        })
        .await
    }
}

impl RouterLink {
    /// Adds tokens to journals at the peer.
    ///
    /// # Errors
    ///
    /// Any [`LinkError`].
    pub async fn append(
        &self,
        batch: Vec<Append>,
        limit: Duration,
    ) -> Result<Vec<Result<Offset, Refusal>>, LinkError> {
        self.call(limit, |c, ctx| {
            let batch = batch.clone();
            async move { c.append(ctx, batch).await }
        })
        .await
    }

    /// Seals a journal at the peer.
    ///
    /// # Errors
    ///
    /// Any [`LinkError`].
    pub async fn seal(
        &self,
        key: &RequestKey,
        epoch: Epoch,
        digest: u64,
        limit: Duration,
    ) -> Result<Result<Sealed, Refusal>, LinkError> {
        self.call(limit, |c, ctx| {
            let key = key.clone();
            async move { c.seal(ctx, key, epoch, digest).await }
        })
        .await
    }

    /// Tells the peer that the caller has the whole answer.
    ///
    /// # Errors
    ///
    /// Any [`LinkError`].
    pub async fn close(
        &self,
        key: &RequestKey,
        epoch: Epoch,
        limit: Duration,
    ) -> Result<(), LinkError> {
        self.call(limit, |c, ctx| {
            let key = key.clone();
            async move { c.close(ctx, key, epoch).await }
        })
        .await
    }
}

impl AgentLink {
    /// Reads the view of an agent.
    ///
    /// # Errors
    ///
    /// Any [`LinkError`].
    pub async fn view(
        &self,
        revision: u64,
        version: Version,
        wait: Millis,
        limit: Duration,
    ) -> Result<View, LinkError> {
        self.call(limit, |c, ctx| async move {
            c.view(ctx, revision, version, wait.0).await
        })
        .await
    }

    /// Asks an agent for newer versions of the configuration.
    ///
    /// # Errors
    ///
    /// Any [`LinkError`].
    pub async fn changes(&self, ask: Ask, limit: Duration) -> Result<Changes, LinkError> {
        self.call(limit, |c, ctx| async move { c.changes(ctx, ask).await })
            .await
    }

    /// Asks an agent for itself.
    ///
    /// # Errors
    ///
    /// Any [`LinkError`].
    pub async fn about(&self, limit: Duration) -> Result<About, LinkError> {
        self.call(limit, |c, ctx| async move { c.about(ctx).await })
            .await
    }

    /// Sends a heartbeat and returns that of the peer.
    ///
    /// # Errors
    ///
    /// Any [`LinkError`].
    pub async fn heartbeat(
        &self,
        beat: Heartbeat,
        limit: Duration,
    ) -> Result<Heartbeat, LinkError> {
        self.call(limit, |c, ctx| {
            let beat = beat.clone();
            async move { c.heartbeat(ctx, beat).await }
        })
        .await
    }

    /// Tells an agent that its host takes no new work.
    ///
    /// # Errors
    ///
    /// Any [`LinkError`].
    pub async fn leave(&self, limit: Duration) -> Result<(), LinkError> {
        self.call(limit, |c, ctx| async move { c.leave(ctx).await })
            .await
    }
}
