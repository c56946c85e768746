//! A gateway whose paths to the backend servers can be cut while all other gateways keep theirs.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use gooseberry_gateway::run::{self, Gateway};
use gooseberry_standin::site::documents::SERVERS;
use gooseberry_standin::site::store::{self, Put, Store};
use serde_json::Value;
use socket2::{Domain, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::{Answer, Site, caller, exchange, settings};
use base::prelude::*;
use bytes::Bytes;
use gooseberry_gateway::link::Link;
use http_body_util::Full;
use hyper::Request;

/// The table of the hosts' rows.
const HOSTS: &str = "gooseberry-hosts";

/// The time that a hung or refusing listener gets to take effect before the test goes on.
const SETTLE: std::time::Duration = std::time::Duration::from_millis(50);

/// State of a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cut {
    /// Connections pass.
    Open,
    /// Open connections are closed and new ones refused.
    Reset,
    /// Open connections live on and new ones are refused.
    RefuseNew,
    /// Open connections carry nothing more and new ones are never accepted.
    Hang,
}

/// The path of one host to one server.
struct Path {
    addr: SocketAddr,
    state: watch::Sender<Cut>,
    _task: JoinSet<()>,
}

/// A gateway with a store of its own, which lists the servers at the addresses of its paths.
pub(crate) struct CutHost {
    pub(crate) gateway: Gateway,
    pub(crate) store: Arc<Store>,
    callers: SocketAddr,
    paths: Vec<(String, Path)>,
}

impl Site {
    /// Starts a gateway whose paths can be cut, in the data centre `a`; it knows the hosts `peers` by their rows.
    pub(crate) async fn cut_host(&self, host: &str, peers: &[&str]) -> CutHost {
        let store = Arc::new(Store::default());
        let listener = super::listener().await;
        let addr = listener.local_addr().unwrap();
        tokio::spawn(store::run(listener, Arc::clone(&store), self.stop.clone()));
        for peer in peers {
            self.until("the host is listed", || {
                self.store.get(HOSTS, peer).is_some()
            })
            .await;
            copy_row(&self.store, &store, HOSTS, peer, |_| ());
        }
        let mut paths = Vec::new();
        for id in self.server_ids() {
            let path = Path::start(row_addr(&self.store, &id)).await;
            let addr = path.addr;
            copy_row(&self.store, &store, SERVERS, &id, |row| {
                row["addr"] = addr.to_string().into();
            });
            paths.push((id, path));
        }
        copy_row(&self.store, &store, "op", "config", |_| ());
        let gateway = run::start(&settings(host, addr), || 0).await.unwrap();
        let cut = CutHost {
            callers: gateway.listen.callers,
            gateway,
            store,
            paths,
        };
        self.until("the configuration is in force", || {
            super::version(&cut.gateway) > 0 && cut.gateway.ctx.is_ready()
        })
        .await;
        cut
    }

    fn server_ids(&self) -> Vec<String> {
        let fleet = self.gateway.ctx.servers.lock();
        fleet.roster.iter().map(|(id, _)| id.to_string()).collect()
    }
}

impl CutHost {
    /// Changes the paths to the servers whose id starts with `prefix`.
    pub(crate) async fn cut(&self, prefix: &str, cut: Cut) {
        for (_, path) in self.paths.iter().filter(|(id, _)| id.starts_with(prefix)) {
            path.state.send_replace(cut);
        }
        tokio::time::sleep(SETTLE).await;
    }

    /// Sends a request over a new connection and reads the whole answer.
    pub(crate) async fn send(&self, request: Request<Full<Bytes>>) -> Answer {
        let mut link = self.open().await;
        exchange(&mut link, request).await
    }

    pub(crate) async fn open(&self) -> Link {
        Link::open(self.callers, Millis(5_000)).await.unwrap()
    }

    /// Sends a request; `None` if the connection ends without an answer.
    pub(crate) async fn try_send(&self, request: Request<Full<Bytes>>) -> Option<Answer> {
        let mut link = self.open().await;
        let response = link.send(request).await.ok()?;
        Some(caller::read(response).await)
    }
}

impl Path {
    async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind((own_address(), 0)).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let state = watch::Sender::new(Cut::Open);
        let mut task = JoinSet::new();
        task.spawn(run_path(listener, addr, to, state.subscribe()));
        Self {
            addr,
            state,
            _task: task,
        }
    }
}

/// A loopback address of its own, so that no other test takes a port that is free while its listener is closed.
fn own_address() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let number = std::process::id().wrapping_mul(61) ^ (NEXT.fetch_add(1, Ordering::Relaxed) << 8);
    let [_, a, b, c] = number.to_be_bytes();
    Ipv4Addr::new(127, 64 | (a & 63), b, c.clamp(1, 254))
}

async fn run_path(
    first: TcpListener,
    addr: SocketAddr,
    to: SocketAddr,
    mut state: watch::Receiver<Cut>,
) {
    let mut open = JoinSet::new();
    let mut listener = Some(first);
    loop {
        let cut = *state.borrow_and_update();
        match cut {
            Cut::Open => {
                let accepting = match listener.take() {
                    Some(listener) => listener,
                    None => TcpListener::bind(addr).await.unwrap(),
                };
                loop {
                    tokio::select! {
                        accepted = accepting.accept() => {
                            open.spawn(forward(accepted.unwrap().0, to, state.clone()));
                        }
                        _ = state.changed() => break,
                    }
                }
            }
            Cut::Reset | Cut::RefuseNew => state.changed().await.unwrap(),
            Cut::Hang => {
                let _full = full_listener(addr).await;
                state.changed().await.unwrap();
            }
        }
    }
}

/// A listener that accepts nothing and whose queue is full, so that further connections hang.
async fn full_listener(addr: SocketAddr) -> (Socket, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap();
    socket.bind(&addr.into()).unwrap();
    socket.listen(0).unwrap();
    let mut queued = Vec::new();
    let limit = std::time::Duration::from_millis(20);
    while let Ok(stream) = tokio::time::timeout(limit, TcpStream::connect(addr)).await {
        queued.push(stream.unwrap());
    }
    (socket, queued)
}

async fn forward(mut near: TcpStream, to: SocketAddr, mut state: watch::Receiver<Cut>) {
    let Ok(mut far) = TcpStream::connect(to).await else {
        return;
    };
    tokio::select! {
        // An error here is the end of the connection on either side.
        _ = tokio::io::copy_bidirectional(&mut near, &mut far) => {}
        cut = ends(&mut state) => if cut == Cut::Hang {
            std::future::pending().await
        },
    }
}

/// Waits for a cut that open connections do not survive.
async fn ends(state: &mut watch::Receiver<Cut>) -> Cut {
    let cut = state
        .wait_for(|c| matches!(c, Cut::Reset | Cut::Hang))
        .await;
    cut.map_or(Cut::Reset, |c| *c)
}

fn row_addr(store: &Store, id: &str) -> SocketAddr {
    let row: Value = serde_json::from_slice(&store.get(SERVERS, id).unwrap()).unwrap();
    row["addr"].as_str().unwrap().parse().unwrap()
}

fn copy_row(from: &Store, to: &Store, table: &str, key: &str, change: impl FnOnce(&mut Value)) {
    let mut row: Value = serde_json::from_slice(&from.get(table, key).unwrap()).unwrap();
    change(&mut row);
    to.put(&Put {
        table: table.to_owned(),
        key: key.to_owned(),
        value: Some(row),
    });
}
