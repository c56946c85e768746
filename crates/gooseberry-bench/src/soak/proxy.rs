//! A TCP proxy on a loopback address that can delay, reset, stall or block its connections, also in
//! one direction only.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::harness::BenchError;

/// Size of the buffer of each direction of a connection, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Disturbances that a proxy applies to its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Mode {
    /// Delay of each chunk of data in either direction, in milliseconds.
    pub(crate) delay_ms: u64,
    /// Whether data to the target is held back.
    pub(crate) blocks_requests: bool,
    /// Whether data from the target is held back.
    pub(crate) blocks_answers: bool,
    /// Raised by each stall; connections opened at a lower value forward nothing more.
    pub(crate) stall_epoch: u64,
    /// Raised by each reset; connections opened at a lower value are closed.
    pub(crate) reset_epoch: u64,
}

/// A running proxy; dropping it closes its connections.
#[derive(Debug)]
pub(crate) struct Proxy {
    /// Address on which it listens.
    pub(crate) addr: SocketAddr,
    mode: watch::Sender<Mode>,
    _tasks: JoinSet<()>,
}

impl Proxy {
    /// Listens on `addr` and forwards connections to `target`.
    pub(crate) async fn start(addr: SocketAddr, target: SocketAddr) -> Result<Self, BenchError> {
        let listener = TcpListener::bind(addr).await;
        let listener = listener.map_err(|cause| BenchError::Listen { addr, cause })?;
        let mode = watch::Sender::new(Mode::default());
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, target, mode.clone()));
        Ok(Self {
            addr,
            mode,
            _tasks: tasks,
        })
    }

    /// Changes the disturbances, also of open connections.
    pub(crate) fn change(&self, change: impl FnOnce(&mut Mode)) {
        self.mode.send_modify(change);
    }

    /// Ends delays and blocks; connections that were stalled or reset stay so.
    pub(crate) fn heal(&self) {
        self.change(|m| {
            *m = Mode {
                stall_epoch: m.stall_epoch,
                reset_epoch: m.reset_epoch,
                ..Mode::default()
            };
        });
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, mode: watch::Sender<Mode>) {
    let mut open = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        open.spawn(forward(stream, target, mode.subscribe()));
        while open.try_join_next().is_some() {}
    }
}

/// Forwards both directions of one connection until either end closes it or it is reset.
async fn forward(near: TcpStream, target: SocketAddr, mode: watch::Receiver<Mode>) {
    let at_open = *mode.borrow();
    // If the target does not listen, the near connection closes at once.
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    for stream in [&near, &far] {
        // Avoids that small chunks wait for acknowledgements. A failure only makes them slower.
        let _ = stream.set_nodelay(true);
    }
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let mut mode_changes = mode.clone();
    tokio::select! {
        () = pump(near_read, far_write, mode.clone(), at_open, |m| m.blocks_requests) => {}
        () = pump(far_read, near_write, mode, at_open, |m| m.blocks_answers) => {}
        _ = mode_changes.wait_for(|m| m.reset_epoch > at_open.reset_epoch) => {}
    }
}

/// Forwards one direction of a connection; while it is blocked, data that was read waits.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    at_open: Mode,
    is_blocked: fn(&Mode) -> bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(count) = from.read(&mut buffer).await else {
            return;
        };
        let passes = |m: &Mode| !is_blocked(m) && m.stall_epoch <= at_open.stall_epoch;
        let delay = match mode.wait_for(passes).await {
            Ok(mode) => mode.delay_ms,
            Err(_) => return,
        };
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
