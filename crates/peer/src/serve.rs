//! Servers for the `tarpc` services: one accept loop per listener, with handlers given as closures.

use base::prelude::*;
use futures_util::{Stream, StreamExt};
use journal::record::{Append, Refusal};
use membership::Heartbeat;
use platform::store::{Rows, Table};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::TcpListener;
use tokio_serde::formats::MessagePack;
use tokio_util::sync::CancellationToken;

use crate::agent::{About, AgentPeer, Changes, ChangesRequest, View};
use crate::host::{FeedError, HostPeer};
use crate::link::{Frames, frames};
use crate::router::{RouterPeer, Sealed};

/// Handlers for the calls of [`RouterPeer`].
#[derive(Clone)]
pub struct RouterServer<A, S, C> {
    /// Handles [`RouterPeer::append`].
    pub append: A,
    /// Handles [`RouterPeer::seal`].
    pub seal: S,
    /// Handles [`RouterPeer::close`].
    pub close: C,
}

impl<A, S, C> RouterPeer for RouterServer<A, S, C>
where
    A: Fn(Vec<Append>) -> Vec<Result<Offset, Refusal>> + Clone + Send + Sync + 'static,
    S: Fn(RequestKey, Epoch, u64) -> Result<Sealed, Refusal> + Clone + Send + Sync + 'static,
    C: Fn(RequestKey, Epoch) + Clone + Send + Sync + 'static,
{
    async fn append(self, _: Context, batch: Vec<Append>) -> Vec<Result<Offset, Refusal>> {
        (self.append)(batch)
    }

    async fn seal(
        self,
        _: Context,
        key: RequestKey,
        epoch: Epoch,
        digest: u64,
    ) -> Result<Sealed, Refusal> {
        (self.seal)(key, epoch, digest)
    }

    async fn close(self, _: Context, key: RequestKey, epoch: Epoch) {
        (self.close)(key, epoch);
    }
}

/// Handlers for the calls of [`AgentPeer`].
#[derive(Clone)]
pub struct AgentServer<V, C, A, H, L> {
    /// Handles [`AgentPeer::view`].
    pub view: V,
    /// Handles [`AgentPeer::changes`].
    pub changes: C,
    /// Handles [`AgentPeer::about`].
    pub about: A,
    /// Handles [`AgentPeer::heartbeat`].
    pub heartbeat: H,
    /// Handles [`AgentPeer::leave`].
    pub leave: L,
}

impl<V, F, C, G, A, H, L> AgentPeer for AgentServer<V, C, A, H, L>
where
    V: Fn(u64, Version, Millis) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = View> + Send + 'static,
    C: Fn(ChangesRequest) -> G + Clone + Send + Sync + 'static,
    G: Future<Output = Changes> + Send + 'static,
    A: Fn() -> About + Clone + Send + Sync + 'static,
    H: Fn(Heartbeat) -> Heartbeat + Clone + Send + Sync + 'static,
    L: Fn() + Clone + Send + Sync + 'static,
{
    async fn changes(self, _: Context, ask: ChangesRequest) -> Changes {
        (self.changes)(ask).await
    }

    async fn about(self, _: Context) -> About {
        (self.about)()
    }

    async fn heartbeat(self, _: Context, beat: Heartbeat) -> Heartbeat {
        (self.heartbeat)(beat)
    }

    async fn leave(self, _: Context) {
        (self.leave)();
    }

    async fn view(self, _: Context, revision: u64, version: Version, wait_ms: u64) -> View {
        (self.view)(revision, version, Millis(wait_ms)).await
    }
}

/// Handler for the calls of [`HostPeer`].
#[derive(Clone)]
pub struct HostServer<C> {
    /// Handles [`HostPeer::changes`].
    pub changes: C,
}

impl<C, F> HostPeer for HostServer<C>
where
    C: Fn(Table, u64, Millis) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<Rows, FeedError>> + Send + 'static,
{
    async fn changes(
        self,
        _: Context,
        table: Table,
        since: u64,
        wait_ms: u64,
    ) -> Result<Rows, FeedError> {
        (self.changes)(table, since, Millis(wait_ms)).await
    }
}

/// Serves [`RouterPeer`] on connections accepted until `stop` is cancelled, which leaves open ones running.
pub async fn router<A, S, C>(
    listener: TcpListener,
    stop: CancellationToken,
    server: RouterServer<A, S, C>,
) where
    A: Fn(Vec<Append>) -> Vec<Result<Offset, Refusal>> + Clone + Send + Sync + 'static,
    S: Fn(RequestKey, Epoch, u64) -> Result<Sealed, Refusal> + Clone + Send + Sync + 'static,
    C: Fn(RequestKey, Epoch) + Clone + Send + Sync + 'static,
{
    accept(listener, stop, |stream| {
        let transport = tarpc::serde_transport::new(stream, MessagePack::default());
        let calls = BaseChannel::with_defaults(transport).execute(server.clone().serve());
        tokio::spawn(answer(calls));
    })
    .await;
}

/// Serves [`AgentPeer`] until `stop` is cancelled, which also ends open connections.
pub async fn agent<V, F, C, G, A, H, L>(
    listener: TcpListener,
    stop: CancellationToken,
    server: AgentServer<V, C, A, H, L>,
) where
    V: Fn(u64, Version, Millis) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = View> + Send + 'static,
    C: Fn(ChangesRequest) -> G + Clone + Send + Sync + 'static,
    G: Future<Output = Changes> + Send + 'static,
    A: Fn() -> About + Clone + Send + Sync + 'static,
    H: Fn(Heartbeat) -> Heartbeat + Clone + Send + Sync + 'static,
    L: Fn() + Clone + Send + Sync + 'static,
{
    let end = stop.clone();
    accept(listener, stop, |stream| {
        let transport = tarpc::serde_transport::new(stream, MessagePack::default());
        let calls = BaseChannel::with_defaults(transport).execute(server.clone().serve());
        let serving = answer(calls);
        let end = end.clone();
        tokio::spawn(async move {
            // A stopped agent must not go on answering with a view that is no longer updated.
            end.run_until_cancelled(serving).await;
        });
    })
    .await;
}

/// Serves [`HostPeer`] on connections accepted until `stop` is cancelled, which leaves open ones running.
pub async fn host<C, F>(listener: TcpListener, stop: CancellationToken, server: HostServer<C>)
where
    C: Fn(Table, u64, Millis) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<Rows, FeedError>> + Send + 'static,
{
    accept(listener, stop, |stream| {
        let transport = tarpc::serde_transport::new(stream, MessagePack::default());
        let calls = BaseChannel::with_defaults(transport).execute(server.clone().serve());
        tokio::spawn(answer(calls));
    })
    .await;
}

/// Answers the calls of one connection concurrently until the connection ends.
async fn answer<F>(calls: impl Stream<Item = F>)
where
    F: Future<Output = ()> + Send + 'static,
{
    calls
        .for_each(|call| async move {
            tokio::spawn(call);
        })
        .await;
}

/// Accepts connections until `stop` is cancelled and passes each to `run`.
async fn accept(listener: TcpListener, stop: CancellationToken, run: impl Fn(Frames)) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        // A failed accept affects one connection only; the listener remains usable.
        let Ok((stream, _)) = accepted else { continue };
        run(frames(stream));
    }
}
