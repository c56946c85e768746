//! A gateway whose paths to the backend servers and to the other hosts can be cut, while all other gateways keep
//! theirs.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use base::prelude::*;
use bytes::Bytes;
use gooseberry_gateway::link::Link;
use gooseberry_gateway::metrics::Cause;
use gooseberry_gateway::run::{self, Gateway};
use gooseberry_standin::site::documents::SERVERS;
use gooseberry_standin::site::path::Path;
use gooseberry_standin::site::store::{self, Put, Store};
use http_body_util::Full;
use hyper::Request;
use serde_json::Value;

use super::{Answer, Site, caller, exchange, settings};

pub(crate) use gooseberry_standin::site::path::Cut;

/// The table of the hosts' rows.
const HOSTS: &str = "gooseberry-hosts";

/// The time that a cut gets to take effect before the test goes on.
const SETTLE: Duration = Duration::from_millis(50);

/// A gateway with a store of its own, which lists servers and hosts at the addresses of its paths.
pub(crate) struct CutHost {
    pub(crate) gateway: Gateway,
    callers: SocketAddr,
    /// The paths to servers and to the tunnels of other hosts, by name.
    paths: Vec<(String, Path)>,
}

impl Site {
    /// Starts a gateway in the data centre `b` whose paths can be cut, and which knows the hosts `peers`.
    pub(crate) async fn cut_host(&self, host: &str, peers: &[&str]) -> CutHost {
        let store = Arc::new(Store::default());
        let listener = super::listener().await;
        let addr = listener.local_addr().unwrap();
        tokio::spawn(store::run(listener, Arc::clone(&store), self.stop.clone()));
        let mut paths = Vec::new();
        for peer in peers {
            self.until("the host is listed", || {
                self.store.get(HOSTS, peer).is_some()
            })
            .await;
            let path = copy_row(&self.store, &store, (HOSTS, peer), "tunnels_h2").await;
            paths.push(((*peer).to_owned(), path));
        }
        for id in self.server_ids() {
            let path = copy_row(&self.store, &store, (SERVERS, &id), "addr").await;
            paths.push((id, path));
        }
        let config = self.store.get("op", "config").unwrap();
        put(
            &store,
            ("op", "config"),
            serde_json::from_slice(&config).unwrap(),
        );
        let mut settings = settings(host, addr);
        settings.data_centre = DataCentre::from("b");
        let gateway = run::start(&settings, || 0).await.unwrap();
        let cut = CutHost {
            callers: gateway.listen.callers,
            gateway,
            paths,
        };
        self.until("the host is ready", || {
            cut.gateway.ctx.is_ready() && cut.gateway.ctx.gossip().is_listed()
        })
        .await;
        cut
    }

    fn server_ids(&self) -> Vec<String> {
        let fleet = self.gateway.ctx.servers.lock();
        fleet.roster.iter().map(|(id, _)| id.to_string()).collect()
    }

    /// Rewrites a host's row as an earlier version would write it.
    pub(crate) async fn forget_tunnels(&self, host: &str) {
        self.until("the host is listed", || {
            self.store.get(HOSTS, host).is_some()
        })
        .await;
        let row = self.store.get(HOSTS, host).unwrap();
        let mut row: Value = serde_json::from_slice(&row).unwrap();
        row.as_object_mut().unwrap().remove("tunnels_h2");
        put(&self.store, (HOSTS, host), row);
    }
}

impl CutHost {
    /// Changes the paths to the servers and hosts whose name starts with `prefix`.
    pub(crate) async fn cut(&self, prefix: &str, cut: Cut) {
        for (_, path) in self.paths.iter().filter(|(id, _)| id.starts_with(prefix)) {
            path.set(cut);
        }
        tokio::time::sleep(SETTLE).await;
    }

    /// Changes the paths to all servers.
    pub(crate) async fn cut_servers(&self, cut: Cut) {
        self.cut("e-", cut).await;
        self.cut("p-", cut).await;
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

    /// The number of tunnels that other hosts have opened for this one.
    pub(crate) fn tunnel_count(&self) -> u64 {
        let cause = "opened";
        let tunnels = &self.gateway.ctx.metrics.tunnels;
        tunnels.get_or_create(&Cause { cause }).get()
    }
}

/// A loopback address of its own, so that no other test takes a port that is free while its listener is closed.
fn own_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let number = std::process::id().wrapping_mul(61) ^ (NEXT.fetch_add(1, Ordering::Relaxed) << 8);
    let [_, a, b, c] = number.to_be_bytes();
    (Ipv4Addr::new(127, 64 | (a & 63), b, c.clamp(1, 254)), 0).into()
}

/// Copies a row with the address in `field` replaced by that of a path to it; a row without one is copied as it
/// is, with a path to nowhere.
async fn copy_row(from: &Store, to: &Store, name: (&str, &str), field: &str) -> Path {
    let mut row: Value = serde_json::from_slice(&from.get(name.0, name.1).unwrap()).unwrap();
    let addr = row[field].as_str().and_then(|a| a.parse().ok());
    let path = Path::start(own_address(), addr.unwrap_or_else(own_address))
        .await
        .unwrap();
    if addr.is_some() {
        row[field] = path.addr.to_string().into();
    }
    put(to, name, row);
    path
}

fn put(store: &Store, (table, key): (&str, &str), value: Value) {
    store.put(&Put {
        table: table.to_owned(),
        key: key.to_owned(),
        value: Some(value),
    });
}
