//! The server loop for calls of peers.

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

/// What a router does with the calls of its peers.
#[derive(Clone)]
pub struct RouterServer<A, S, C> {
    /// Adds tokens to journals.
    pub append: A,
    /// Seals a journal.
    pub seal: S,
    /// Notes that a caller has the whole answer.
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

/// What an agent does with the calls of routers and other agents.
#[derive(Clone)]
pub struct AgentServer<V, C, A, H, L> {
    /// Answers with the view.
    pub view: V,
    /// Answers with what is new in the configuration.
    pub changes: C,
    /// Answers with the agent itself.
    pub about: A,
    /// Answers a heartbeat.
    pub heartbeat: H,
    /// Has the host take no new work.
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

/// What an entry host does with the calls of the others.
#[derive(Clone)]
pub struct HostServer<C> {
    /// Answers with the changes of a table.
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

/// Serves the calls that a router takes until `stop` is cancelled.
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

/// Serves the calls that an agent takes until `stop` is cancelled.
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
            // An agent that has stopped must not go on answering with what it knew.
            end.run_until_cancelled(serving).await;
        });
    })
    .await;
}

/// Serves the calls that an entry host takes until `stop` is cancelled.
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

/// Answers the calls of one connection, side by side, until it ends.
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

/// Takes connections and hands each to `run`.
async fn accept(listener: TcpListener, stop: CancellationToken, run: impl Fn(Frames)) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        // A failed accept concerns one connection only; the listener remains usable.
        let Ok((stream, _)) = accepted else { continue };
        run(frames(stream));
    }
}
