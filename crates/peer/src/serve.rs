//! The server loop for calls of peers.

use base::prelude::*;
use futures_util::StreamExt;
use journal::record::{Append, Refusal};
use membership::Beat;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio_serde::formats::MessagePack;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::sync::CancellationToken;

use crate::agent::{AgentPeer, View};
use crate::link::codec;
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
pub struct AgentServer<V, H, L> {
    /// Answers with the view.
    pub view: V,
    /// Answers a heartbeat.
    pub heartbeat: H,
    /// Has the host take no new work.
    pub leave: L,
}

impl<V, F, H, L> AgentPeer for AgentServer<V, H, L>
where
    V: Fn(u64, Version, Millis) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = View> + Send + 'static,
    H: Fn(Beat) -> Beat + Clone + Send + Sync + 'static,
    L: Fn() + Clone + Send + Sync + 'static,
{
    async fn heartbeat(self, _: Context, beat: Beat) -> Beat {
        (self.heartbeat)(beat)
    }

    async fn leave(self, _: Context) {
        (self.leave)();
    }

    async fn view(self, _: Context, revision: u64, version: Version, wait_ms: u64) -> View {
        (self.view)(revision, version, Millis(wait_ms)).await
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
        tokio::spawn(calls.for_each(|call| async move {
            tokio::spawn(call);
        }));
    })
    .await;
}

/// Serves the calls that an agent takes until `stop` is cancelled.
pub async fn agent<V, F, H, L>(
    listener: TcpListener,
    stop: CancellationToken,
    server: AgentServer<V, H, L>,
) where
    V: Fn(u64, Version, Millis) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = View> + Send + 'static,
    H: Fn(Beat) -> Beat + Clone + Send + Sync + 'static,
    L: Fn() + Clone + Send + Sync + 'static,
{
    accept(listener, stop, |stream| {
        let transport = tarpc::serde_transport::new(stream, MessagePack::default());
        let calls = BaseChannel::with_defaults(transport).execute(server.clone().serve());
        tokio::spawn(calls.for_each(|call| async move {
            tokio::spawn(call);
        }));
    })
    .await;
}

/// Takes connections and hands each to `run`.
async fn accept(
    listener: TcpListener,
    stop: CancellationToken,
    run: impl Fn(Framed<TcpStream, LengthDelimitedCodec>),
) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        // A failed accept concerns one connection only; the listener remains usable.
        let Ok((stream, _)) = accepted else { continue };
        // Without this, small frames wait for the peer's delayed acknowledgement.
        let _ = stream.set_nodelay(true);
        run(Framed::new(stream, codec()));
    }
}
