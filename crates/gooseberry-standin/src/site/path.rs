//! The network path of one host to one address, which can be cut while the paths of other hosts stay open.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{Domain, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Time after which a connection to a full listener is known to hang.
const HANG_TIME: Duration = Duration::from_millis(20);

/// The pause before a listener that could not be bound is bound again.
const BIND_PAUSE: Duration = Duration::from_millis(20);

/// State of a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Connections pass.
    Open,
    /// Open connections are closed and new ones are refused.
    Reset,
    /// Open connections live on and new ones are refused.
    RefuseNew,
    /// Open connections carry nothing more and new ones are never accepted.
    Hang,
}

/// A path, which forwards connections while it runs; dropping it closes them.
#[derive(Debug)]
pub struct Path {
    /// The address at which it accepts connections.
    pub addr: SocketAddr,
    state: watch::Sender<Cut>,
    _tasks: JoinSet<()>,
}

impl Path {
    /// Listens on `addr`, where port 0 picks a free one, and forwards connections to `to`.
    ///
    /// # Errors
    ///
    /// The operating system's error if `addr` cannot be bound.
    pub async fn start(addr: SocketAddr, to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let state = watch::Sender::new(Cut::Open);
        let mut tasks = JoinSet::new();
        tasks.spawn(run(listener, to, state.subscribe()));
        Ok(Self {
            addr,
            state,
            _tasks: tasks,
        })
    }

    /// Changes the state of the path.
    pub fn set(&self, cut: Cut) {
        self.state.send_replace(cut);
    }
}

async fn run(first: TcpListener, to: SocketAddr, mut state: watch::Receiver<Cut>) {
    let Ok(addr) = first.local_addr() else { return };
    let mut open = JoinSet::new();
    let mut listener = Some(first);
    loop {
        let cut = *state.borrow_and_update();
        let changed = match cut {
            Cut::Open => {
                let accepting = match listener.take() {
                    Some(listener) => listener,
                    None => match TcpListener::bind(addr).await {
                        Ok(listener) => listener,
                        Err(_) => {
                            tokio::time::sleep(BIND_PAUSE).await;
                            continue;
                        }
                    },
                };
                loop {
                    tokio::select! {
                        accepted = accepting.accept() => {
                            if let Ok((near, _)) = accepted {
                                open.spawn(forward(near, to, state.clone()));
                            }
                        }
                        changed = state.changed() => break changed,
                    }
                    while open.try_join_next().is_some() {}
                }
            }
            Cut::Reset | Cut::RefuseNew => {
                listener = None;
                state.changed().await
            }
            Cut::Hang => {
                listener = None;
                let _full = full_listener(addr).await;
                state.changed().await
            }
        };
        if changed.is_err() {
            return;
        }
    }
}

/// A listener that accepts nothing and whose queue is full, so that further connections hang.
async fn full_listener(addr: SocketAddr) -> io::Result<(Socket, Vec<TcpStream>)> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(0)?;
    let mut queued = Vec::new();
    while let Ok(stream) = tokio::time::timeout(HANG_TIME, TcpStream::connect(addr)).await {
        queued.push(stream?);
    }
    Ok((socket, queued))
}

async fn forward(mut near: TcpStream, to: SocketAddr, mut state: watch::Receiver<Cut>) {
    let Ok(mut far) = TcpStream::connect(to).await else {
        return;
    };
    for stream in [&near, &far] {
        // Avoids that small chunks wait for acknowledgements. A failure only makes them slower.
        let _ = stream.set_nodelay(true);
    }
    tokio::select! {
        // An error here is the end of the connection on either side.
        _ = tokio::io::copy_bidirectional(&mut near, &mut far) => {}
        cut = until_cut(&mut state) => if cut == Cut::Hang {
            std::future::pending().await
        },
    }
}

/// Waits for a cut that open connections do not survive.
async fn until_cut(state: &mut watch::Receiver<Cut>) -> Cut {
    let cut = state
        .wait_for(|c| matches!(c, Cut::Reset | Cut::Hang))
        .await;
    cut.map_or(Cut::Reset, |c| *c)
}
