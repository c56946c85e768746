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
const LIMIT: Duration = Duration::from_millis(1_000);

/// The most appends in one message.
const MAX_BATCH: usize = 256;

/// What came of an append; `None` if the peer gave no answer.
pub type Answer = Option<Result<Offset, Refusal>>;

/// An append and where its answer goes.
pub struct Item {
    /// The append.
    pub append: Append,
    /// Where its answer goes.
    pub done: Done,
}

/// Where the answer of one append goes.
#[derive(Debug)]
pub struct Done {
    /// The number of the append at its owner.
    pub call: u64,
    /// The owner's task.
    pub to: mpsc::UnboundedSender<Acked>,
}

/// The answer of an append, as its owner's task receives it.
#[derive(Clone, Copy, Debug)]
pub struct Acked {
    /// The number of the append.
    pub call: u64,
    /// The answer.
    pub answer: Answer,
}

/// A router of another host.
pub struct Peer {
    /// For single calls.
    pub link: Arc<RouterLink>,
    queue: mpsc::UnboundedSender<Item>,
}

impl Peer {
    fn new(addr: SocketAddr) -> Self {
        let link = Arc::new(RouterLink::new(addr));
        let (queue, items) = mpsc::unbounded_channel();
        tokio::spawn(send_batches(Arc::new(RouterLink::new(addr)), items));
        Self { link, queue }
    }

    /// Sends an append along with others.
    pub fn append(&self, item: Item) {
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
async fn send_batches(link: Arc<RouterLink>, mut items: mpsc::UnboundedReceiver<Item>) {
    let mut batch = Vec::new();
    while items.recv_many(&mut batch, MAX_BATCH).await > 0 {
        let (appends, dones): (Vec<Append>, Vec<Done>) =
            batch.drain(..).map(|i| (i.append, i.done)).unzip();
        let answers = link.append(appends, LIMIT).await;
        let answers: Vec<Answer> = match answers {
            Ok(answers) => answers.into_iter().map(Some).collect(),
            Err(_) => vec![None; dones.len()],
        };
        for (done, answer) in dones.into_iter().zip(answers) {
            // An owner that has ended needs no answer.
            let _ = done.to.send(Acked {
                call: done.call,
                answer,
            });
        }
    }
}
