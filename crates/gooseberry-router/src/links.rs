//! Connections to the routers of other hosts; appends of many streams travel together.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base::prelude::*;
use base::sorted::Sorted;
use journal::record::{Append, Refusal};
use peer::link::RouterLink;
use tokio::sync::mpsc;

/// The longest wait for a witness.
const APPEND_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The most appends in one message.
const MAX_BATCH: usize = 256;

/// What came of an append; `None` if the peer gave no answer.
pub type AppendResult = Option<Result<Offset, Refusal>>;

/// An append and where its answer goes.
pub struct QueuedAppend {
    /// The append.
    pub append: Append,
    /// Where its answer goes.
    pub reply: ReplyTo,
}

/// Where the answer of one append goes.
#[derive(Debug)]
pub struct ReplyTo {
    /// The number of the append at its owner.
    pub call: u64,
    /// The owner's task.
    pub sender: mpsc::UnboundedSender<AppendAck>,
}

/// The answer of an append, as its owner's task receives it.
#[derive(Clone, Copy, Debug)]
pub struct AppendAck {
    /// The number of the append.
    pub call: u64,
    /// The answer.
    pub answer: AppendResult,
}

/// A router of another host.
pub struct Peer {
    /// For single calls.
    pub link: Arc<RouterLink>,
    queue: mpsc::UnboundedSender<QueuedAppend>,
}

impl Peer {
    fn new(addr: SocketAddr) -> Self {
        let link = Arc::new(RouterLink::new(addr));
        let (queue, items) = mpsc::unbounded_channel();
        tokio::spawn(send_batches(Arc::new(RouterLink::new(addr)), items));
        Self { link, queue }
    }

    /// Sends an append along with others.
    pub fn append(&self, item: QueuedAppend) {
        // The task at the other end lives as long as this sender.
        let _ = self.queue.send(item);
    }
}

/// All peers that were ever called, by address.
#[derive(Default)]
pub struct Links {
    peers: Mutex<Sorted<SocketAddr, Arc<Peer>>>,
}

impl Links {
    /// The peer at `addr`.
    pub fn peer(&self, addr: SocketAddr) -> Arc<Peer> {
        let mut peers = self.peers.lock().unwrap_or_else(|e| e.into_inner());
        peers.entry(addr, || Arc::new(Peer::new(addr))).clone()
    }
}

/// Sends what has gathered while the message before was on its way.
async fn send_batches(link: Arc<RouterLink>, mut items: mpsc::UnboundedReceiver<QueuedAppend>) {
    let mut batch = Vec::new();
    while items.recv_many(&mut batch, MAX_BATCH).await > 0 {
        let (appends, replies): (Vec<Append>, Vec<ReplyTo>) =
            batch.drain(..).map(|i| (i.append, i.reply)).unzip();
        let answers = link.append(appends, APPEND_TIMEOUT).await;
        let answers: Vec<AppendResult> = match answers {
            Ok(answers) => answers.into_iter().map(Some).collect(),
            Err(_) => vec![None; replies.len()],
        };
        for (reply, answer) in replies.into_iter().zip(answers) {
            // An owner that has ended needs no answer.
            let _ = reply.sender.send(AppendAck {
                call: reply.call,
                answer,
            });
        }
    }
}
