//! Connections to the routers of other hosts; appends of many requests are sent in batches.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base::prelude::*;
use base::sorted::Sorted;
use journal::record::{Append, Refusal};
use peer::link::RouterLink;
use tokio::sync::mpsc;

/// Time limit for a witness to answer a batch of appends.
const APPEND_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum number of appends in one message.
const MAX_BATCH: usize = 256;

/// Result of an append; `None` if the peer did not answer in time.
pub type AppendResult = Option<Result<Offset, Refusal>>;

/// An append in the queue to a peer.
pub struct QueuedAppend {
    /// The append to send.
    pub append: Append,
    /// Recipient of the answer.
    pub reply: ReplyTo,
}

/// Recipient of the answer to one append.
#[derive(Debug)]
pub struct ReplyTo {
    /// Number of the append, as given by its owner.
    pub call: u64,
    /// Channel to the driver task of the owner.
    pub sender: mpsc::UnboundedSender<AppendAck>,
}

/// Answer to an append, as received by the driver task of its owner.
#[derive(Clone, Copy, Debug)]
pub struct AppendAck {
    /// Number of the append, as given by its owner.
    pub call: u64,
    /// Length of the journal, or why the append was refused.
    pub answer: AppendResult,
}

/// The router of another host.
pub struct Peer {
    /// Link for single calls; batches of appends have their own.
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

    /// Queues an append for the next batch.
    pub fn append(&self, item: QueuedAppend) {
        // Cannot fail: the receiving task ends only when this sender is dropped.
        let _ = self.queue.send(item);
    }
}

/// All peers that this process has called, by address; none is ever removed.
#[derive(Default)]
pub struct Links {
    peers: Mutex<Sorted<SocketAddr, Arc<Peer>>>,
}

impl Links {
    /// The peer at `addr`, created on first use.
    pub fn peer(&self, addr: SocketAddr) -> Arc<Peer> {
        let mut peers = self.peers.lock().unwrap_or_else(|e| e.into_inner());
        peers.entry(addr, || Arc::new(Peer::new(addr))).clone()
    }
}

/// Sends queued appends in batches, one batch at a time: each has what was queued during the last.
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
            // Fails if the driver has ended, which needs no answer.
            let _ = reply.sender.send(AppendAck {
                call: reply.call,
                answer,
            });
        }
    }
}
