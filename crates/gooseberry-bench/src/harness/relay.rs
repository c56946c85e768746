//! Relays between the processes of a deployment, which can go silent or part data centres.
//!
//! Each data centre reaches each address through a relay of its own, so that a relay knows both
//! ends of its connections.

use std::net::SocketAddr;

use base::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::BenchError;
use super::fleet::{Plan, relay_address, relay_targets};

/// The bytes read at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// What a relay lets through.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Gate {
    /// Connections opened while this number was lower pass nothing more.
    stall_epoch: u64,
    /// Whether nothing passes.
    is_partitioned: bool,
}

/// One relay.
#[derive(Debug)]
struct Relay {
    /// The number of the data centre whose processes use it.
    from: usize,
    /// The number of the data centre to which it leads.
    to: usize,
    target: SocketAddr,
    gate: watch::Sender<Gate>,
}

/// All relays of a deployment; they end with it.
#[derive(Debug)]
pub(crate) struct Relays {
    centres: Vec<DataCentre>,
    relays: Vec<Relay>,
    _tasks: JoinSet<()>,
}

impl Relays {
    /// Listens for the processes of all data centres of `plan`.
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

    /// How many data centres there are.
    pub(crate) fn centre_count(&self) -> usize {
        self.centres.len()
    }

    /// The number of a data centre.
    pub(crate) fn centre_index(&self, name: &DataCentre) -> usize {
        self.centres.binary_search(name).unwrap_or(0)
    }

    /// Lets nothing more through on the connections to `target` that are open now.
    pub(crate) fn stall(&self, target: SocketAddr) {
        for relay in self.relays.iter().filter(|r| r.target == target) {
            relay.gate.send_modify(|g| g.stall_epoch += 1);
        }
    }

    /// Parts a data centre from all others, or joins it to them again.
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

/// Takes connections for ever; they end with this task.
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

/// Passes on what both ends of one connection send, until one of them closes it.
async fn relay(near: TcpStream, target: SocketAddr, mut gate: watch::Receiver<Gate>) {
    let opened_epoch = gate.borrow().stall_epoch;
    if gate.wait_for(|g| !g.is_partitioned).await.is_err() {
        return;
    }
    // A target that doesn't listen shows as a connection closed at once.
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    // Small frames must not wait for acknowledgements here any more than without a relay.
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::select! {
        () = pump(near_read, far_write, gate.clone(), opened_epoch) => {}
        () = pump(far_read, near_write, gate, opened_epoch) => {}
    }
}

/// Passes on what one end sends.
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
