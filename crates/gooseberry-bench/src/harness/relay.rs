//! TCP relays between the processes of a deployment that can stall connections and partition data
//! centres.
//!
//! Each data centre reaches each address through a relay of its own. A relay therefore knows the
//! data centres at both ends of its connections.

use std::net::SocketAddr;

use base::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::BenchError;
use super::fleet::{Plan, relay_address, relay_targets};

/// Size of the buffer of each direction of a connection, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Which connections of a relay forward data.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Gate {
    /// Raised by each stall; connections opened at a lower value forward nothing more.
    stall_epoch: u64,
    /// Whether no connection forwards data.
    is_partitioned: bool,
}

/// The relay from one data centre to one address.
#[derive(Debug)]
struct Relay {
    /// Index of the data centre whose processes connect to it.
    from: usize,
    /// Index of the data centre of the target.
    to: usize,
    target: SocketAddr,
    gate: watch::Sender<Gate>,
}

/// All relays of a deployment; dropping them closes their connections.
#[derive(Debug)]
pub(crate) struct Relays {
    centres: Vec<DataCentre>,
    relays: Vec<Relay>,
    _tasks: JoinSet<()>,
}

impl Relays {
    /// Starts the relays of all data centres of `plan`.
    pub(crate) async fn start(plan: &Plan) -> Result<Self, BenchError> {
        let mut centres = plan.hosts.clone();
        centres.extend(plan.engines.iter().cloned());
        centres.sort_unstable();
        centres.dedup();
        let mut all = Self {
            centres,
            relays: Vec::new(),
            _tasks: JoinSet::new(),
        };
        for (target, centre) in relay_targets(plan) {
            let to = all.centre_index(&centre);
            for from in 0..all.centres.len() {
                all.listen(from, to, target).await?;
            }
        }
        Ok(all)
    }

    /// Number of data centres with entry hosts or engines.
    pub(crate) fn centre_count(&self) -> usize {
        self.centres.len()
    }

    /// Index of a data centre; 0 if it has neither entry hosts nor engines.
    pub(crate) fn centre_index(&self, name: &DataCentre) -> usize {
        self.centres.binary_search(name).unwrap_or(0)
    }

    /// Stalls the connections to `target` that are open now: they stay open and forward nothing
    /// more.
    pub(crate) fn stall(&self, target: SocketAddr) {
        for relay in self.relays.iter().filter(|r| r.target == target) {
            relay.gate.send_modify(|g| g.stall_epoch += 1);
        }
    }

    /// Partitions a data centre from all others, or ends the partition.
    pub(crate) fn set_partitioned(&self, centre: usize, is_partitioned: bool) {
        let crosses = |r: &&Relay| (r.from == centre) != (r.to == centre);
        for relay in self.relays.iter().filter(crosses) {
            relay
                .gate
                .send_modify(|g| g.is_partitioned = is_partitioned);
        }
    }

    async fn listen(
        &mut self,
        from: usize,
        to: usize,
        target: SocketAddr,
    ) -> Result<(), BenchError> {
        let addr = relay_address(from, target);
        let listener = TcpListener::bind(addr).await;
        let listener = listener.map_err(|cause| BenchError::Listen { addr, cause })?;
        let gate = watch::Sender::new(Gate::default());
        self._tasks.spawn(accept(listener, target, gate.clone()));
        self.relays.push(Relay {
            from,
            to,
            target,
            gate,
        });
        Ok(())
    }
}

/// Accepts connections until the task is aborted, which also closes them.
async fn accept(listener: TcpListener, target: SocketAddr, gate: watch::Sender<Gate>) {
    let mut open = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        open.spawn(relay(stream, target, gate.subscribe()));
        while open.try_join_next().is_some() {}
    }
}

/// Forwards both directions of one connection until either end closes it.
async fn relay(near: TcpStream, target: SocketAddr, mut gate: watch::Receiver<Gate>) {
    let opened_epoch = gate.borrow().stall_epoch;
    if gate.wait_for(|g| !g.is_partitioned).await.is_err() {
        return;
    }
    // If the target does not listen, the near connection closes at once.
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    // Without TCP_NODELAY, small frames would wait for acknowledgements, which they don't without a
    // relay.
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::select! {
        () = pump(near_read, far_write, gate.clone(), opened_epoch) => {}
        () = pump(far_read, near_write, gate, opened_epoch) => {}
    }
}

/// Forwards one direction of a connection; while the gate is closed, data that was read waits.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut gate: watch::Receiver<Gate>,
    opened_epoch: u64,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(count) = from.read(&mut buffer).await else {
            return;
        };
        let passes = |g: &Gate| !g.is_partitioned && g.stall_epoch <= opened_epoch;
        if gate.wait_for(passes).await.is_err() {
            return;
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
