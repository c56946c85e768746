//! A TCP relay to the platform that can be cut, to simulate a partition.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

/// Interval at which the relay checks whether it has been cut and must close its connections.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A relay, which stops when dropped.
#[derive(Debug)]
pub(crate) struct Relay {
    is_cut: Arc<AtomicBool>,
    task: JoinHandle<()>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Relay {
    /// Starts a relay from `listen` to `target`; if the address cannot be bound, nothing is
    /// relayed.
    pub(crate) async fn start(listen: SocketAddr, target: SocketAddr) -> Self {
        let is_cut = Arc::new(AtomicBool::new(false));
        let cut = is_cut.clone();
        let task = tokio::spawn(async move {
            if let Ok(listener) = TcpListener::bind(listen).await {
                run(listener, target, cut).await;
            }
        });
        Self { is_cut, task }
    }

    /// With `true`, closes all connections and drops new ones; with `false`, relays again.
    pub(crate) fn cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
    }
}

async fn run(listener: TcpListener, target: SocketAddr, cut: Arc<AtomicBool>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((mut client, _)) = accepted else { continue };
                if cut.load(Ordering::Relaxed) {
                    continue;
                }
                connections.spawn(async move {
                    let mut server = TcpStream::connect(target).await?;
                    tokio::io::copy_bidirectional(&mut client, &mut server).await
                });
            }
            () = sleep(POLL_INTERVAL) => {
                if cut.load(Ordering::Relaxed) {
                    connections.abort_all();
                }
                while connections.try_join_next().is_some() {}
            }
        }
    }
}
