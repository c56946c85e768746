//! Clients for the `tarpc` services, each over one connection that is reopened after a failure.

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

use crate::agent::{About, AgentPeerClient, Changes, ChangesRequest, View};
use crate::host::{FeedError, HostPeerClient};
use crate::router::{RouterPeerClient, Sealed};

/// Maximum size of a message in either direction, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// Time limit for opening a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Margin of the `tarpc` deadline over that of the call, so that the call's own timeout expires first.
const TRANSPORT_GRACE: Duration = Duration::from_millis(200);

/// Why a call to a peer failed.
#[derive(Debug, Error)]
pub enum LinkError {
    /// No connection could be opened, so nothing was sent over it. If this was a retry, the peer may have
    /// received the first attempt.
    #[error("no connection to peer {addr}: {cause}; check that the process runs there")]
    Connect {
        /// Address of the peer.
        addr: SocketAddr,
        /// The underlying error.
        cause: String,
    },
    /// The connection failed or the deadline passed before an answer; the call may have been received.
    #[error("peer {addr} did not answer: {cause}; the call may have been received")]
    Unanswered {
        /// Address of the peer.
        addr: SocketAddr,
        /// The RPC error or the timeout.
        cause: String,
    },
}

/// A connection that counts its bytes for [`traffic`].
type CountedStream = InspectReader<InspectWriter<TcpStream, fn(&[u8])>, fn(&[u8])>;

/// A connection split into length-delimited messages.
pub(crate) type Frames = Framed<CountedStream, LengthDelimitedCodec>;

/// Sets up message framing and byte counting for a connection, on the client or the server side.
pub(crate) fn frames(stream: TcpStream) -> Frames {
    // With Nagle's algorithm, small frames would wait for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let written: InspectWriter<_, fn(&[u8])> = InspectWriter::new(stream, traffic::count_sent);
    let counted: CountedStream = InspectReader::new(written, traffic::count_received);
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_codec();
    Framed::new(counted, codec)
}

/// Declares a link type over the `tarpc` client of one service.
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

            /// Address of the peer.
            pub fn addr(&self) -> SocketAddr {
                self.addr
            }

            /// The client over the open connection, or over a new one; also whether it was open before.
            async fn client(&self) -> Result<($client, bool), LinkError> {
                let mut slot = self.client.lock().await;
                if let Some(client) = slot.as_ref() {
                    return Ok((client.clone(), true));
                }
                let addr = self.addr;
                let connect_error = |cause: String| LinkError::Connect { addr, cause };
                let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr))
                    .await
                    .map_err(|e| connect_error(e.to_string()))?
                    .map_err(|e| connect_error(e.to_string()))?;
                let format = tokio_serde::formats::MessagePack::default();
                let transport = tarpc::serde_transport::new(frames(stream), format);
                let client = $client::new(tarpc::client::Config::default(), transport).spawn();
                *slot = Some(client.clone());
                Ok((client, false))
            }

            /// Discards the connection, so that the next call opens a new one.
            async fn reset(&self) {
                *self.client.lock().await = None;
            }

            /// Makes a call within `limit`; if it fails, the connection is discarded.
            ///
            /// A connection that was open before may lead to a process that has since ended, so a
            /// failed call is retried once over a new connection if time is left. A peer may
            /// therefore receive a call twice.
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

            /// Makes one attempt over the connection of `client`.
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
                let unanswered = |cause: String| LinkError::Unanswered { addr, cause };
                let mut context = context::current();
                context.deadline = deadline + TRANSPORT_GRACE;
                let left = deadline.saturating_duration_since(Instant::now());
                let error = match timeout(left, run(client, context)).await {
                    Ok(Ok(answer)) => return Ok(answer),
                    Ok(Err(e)) => unanswered(e.to_string()),
                    Err(e) => unanswered(e.to_string()),
                };
                self.reset().await;
                Err(error)
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
    /// Polls an entry host for changes of a table after the revision `since`, for up to `wait`.
    ///
    /// `limit` bounds the whole call, so it must exceed `wait`.
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
    ) -> Result<Result<Rows, FeedError>, LinkError> {
        self.call(limit, |c, ctx| async move {
            c.changes(ctx, table, since, wait.0).await
        })
        .await
    }
}

impl RouterLink {
    /// Appends tokens to journals at the peer; one result per append, in the same order.
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

    /// Seals a journal at the peer and returns its contents.
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

    /// Marks a journal at the peer whose complete output was delivered to the caller.
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
    /// Polls an agent for a view whose revision differs from `revision`, for up to `wait`.
    ///
    /// `limit` bounds the whole call, so it must exceed `wait`.
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

    /// Polls an agent for newer versions of the configuration.
    ///
    /// `limit` bounds the whole call, so it must exceed the wait in the request.
    ///
    /// # Errors
    ///
    /// Any [`LinkError`].
    pub async fn changes(
        &self,
        ask: ChangesRequest,
        limit: Duration,
    ) -> Result<Changes, LinkError> {
        self.call(limit, |c, ctx| async move { c.changes(ctx, ask).await })
            .await
    }

    /// Queries the identity of an agent and the version of its configuration.
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

    /// Has an agent mark its host as leaving, so that it gets no new work.
    ///
    /// # Errors
    ///
    /// Any [`LinkError`].
    pub async fn leave(&self, limit: Duration) -> Result<(), LinkError> {
        self.call(limit, |c, ctx| async move { c.leave(ctx).await })
            .await
    }
}
