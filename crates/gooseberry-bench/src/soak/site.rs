//! The processes of a soak, the proxies between them, and the operations on both.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use base::prelude::*;
use gooseberry_standin::faults::Switch;
use gooseberry_standin::site::path::{Cut, Path};
use gooseberry_standin::site::store::Put;
use gooseberry_standin::site::{documents, store, worker};
use hyper::Method;
use serde_json::Value;
use settings::common::Level;
use settings::gateway::{Gateway as GatewaySettings, Limits, Listen, Retries};
use web::client::call;

use crate::harness::BenchError;
use crate::harness::child::{Child, write_settings};
use crate::soak::proxy::Proxy;

/// Number of events in a complete stream.
pub(crate) const EVENTS: u64 = 40;

/// Data centres; processes are assigned to them round-robin.
const CENTRES: [&str; 3] = ["a", "b", "c"];

/// Time between SIGTERM and SIGKILL in the settings of the gateways; the soak itself sends no
/// SIGKILL after it.
pub(crate) const STOP_GRACE: Duration = Duration::from_secs(8);

/// Time limit of each HTTP call from the bench to a process.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The longest wait for the store or the gateways to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of processes of each kind.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shape {
    pub(crate) gateways: usize,
    pub(crate) engines: usize,
    pub(crate) plain: usize,
}

/// Folders of the binaries.
#[derive(Clone, Debug)]
pub(crate) struct Programs {
    /// All programs of this version.
    pub(crate) current: PathBuf,
    /// The gateway of an earlier version; `None` to run this one only.
    pub(crate) earlier: Option<PathBuf>,
}

/// A gateway and its proxies.
#[derive(Debug)]
pub(crate) struct Gateway {
    child: Option<Child>,
    /// Whether its next process is of the earlier version.
    is_earlier: bool,
    file: PathBuf,
    /// Address at which the balancer polls whether it accepts connections.
    pub(crate) ready: SocketAddr,
    /// Proxy between callers and the gateway.
    pub(crate) caller_proxy: Proxy,
    /// Proxy between the gateway and its view of the store.
    pub(crate) store_proxy: Proxy,
    /// Its paths to the backend servers, by their index.
    paths: Vec<Path>,
}

/// A backend server and the proxy in front of it, whose address is the listed one.
#[derive(Debug)]
pub(crate) struct Server {
    child: Option<Child>,
    file: PathBuf,
    /// The start time counts the incarnations from 1 and is part of the id.
    settings: worker::Settings,
    centre: &'static str,
    /// Whether it is listed as draining, or no longer listed.
    leaving: bool,
    pub(crate) proxy: Proxy,
}

/// All processes and proxies of a soak.
#[derive(Debug)]
pub(crate) struct Site {
    programs: Programs,
    /// Folder of settings, logs and records of this run.
    run_folder: PathBuf,
    store: Child,
    store_addr: SocketAddr,
    pub(crate) gateways: Vec<Gateway>,
    pub(crate) servers: Vec<Server>,
    /// Version of the configuration written last.
    pub(crate) version: u64,
}

/// Allocates loopback addresses, derived from the process id and the seed so that concurrent soaks
/// rarely share them.
struct Addresses {
    base: [u8; 2],
    next: u8,
}

impl Addresses {
    fn new(seed: u64) -> Self {
        let number = u64::from(std::process::id()) ^ (seed << 3);
        Self {
            base: [128 + (number >> 8) as u8 % 100, number as u8],
            next: 1,
        }
    }

    fn next(&mut self) -> SocketAddr {
        let [a, b] = self.base;
        let ip = Ipv4Addr::new(127, a, b, self.next);
        self.next += 1;
        SocketAddr::new(IpAddr::V4(ip), 7_000)
    }
}

impl Site {
    /// Starts all processes and waits until every gateway is ready.
    pub(crate) async fn start(
        programs: Programs,
        seed: u64,
        shape: Shape,
    ) -> Result<Self, BenchError> {
        let name = format!("gooseberry-soak-{}-{seed}", std::process::id());
        let run_folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&run_folder).map_err(|cause| BenchError::File {
            file: run_folder.clone(),
            cause,
        })?;
        let mut addresses = Addresses::new(seed);
        let store_addr = addresses.next();
        let views: Vec<store::View> = (0..shape.gateways)
            .map(|i| store::View {
                listen: addresses.next(),
                port_shift: port_shift(i),
            })
            .collect();
        let file = run_folder.join("store.json");
        let settings = store::Settings {
            listen: store_addr,
            views: views.clone(),
        };
        write_settings(&file, &settings)?;
        let store = Child::start(
            &programs.current,
            "gooseberry-standin",
            &["site-store"],
            &file,
        )?;
        let mut site = Self {
            programs,
            run_folder,
            store,
            store_addr,
            gateways: Vec::new(),
            servers: Vec::new(),
            version: 1,
        };
        for i in 0..shape.engines + shape.plain {
            site.add_server(&mut addresses, i, i < shape.engines)
                .await?;
        }
        for (i, view) in views.iter().enumerate() {
            site.add_gateway(&mut addresses, i, view.listen).await?;
        }
        site.wait_for_store().await?;
        site.configure(documents::config(1)).await?;
        for i in 0..site.servers.len() {
            site.list(i).await?;
        }
        site.wait_until_ready().await?;
        Ok(site)
    }

    async fn add_server(
        &mut self,
        addresses: &mut Addresses,
        i: usize,
        is_engine: bool,
    ) -> Result<(), BenchError> {
        let (listen, public) = (addresses.next(), addresses.next());
        let settings = worker::Settings {
            listen,
            id: format!("server-{i}-1"),
            engine: is_engine,
            work_ms: 30,
            event_ms: 20,
            events: EVENTS,
            slots: 64,
            born: 1,
            record: Some(self.run_folder.join(format!("server-{i}.runs"))),
        };
        let file = self.run_folder.join(format!("server-{i}.json"));
        let server = Server {
            child: None,
            file,
            settings,
            centre: CENTRES[i % CENTRES.len()],
            leaving: false,
            proxy: Proxy::start(public, listen).await?,
        };
        self.servers.push(server);
        self.spawn_server(i)
    }

    async fn add_gateway(
        &mut self,
        addresses: &mut Addresses,
        i: usize,
        store: SocketAddr,
    ) -> Result<(), BenchError> {
        let (own, caller_proxy, store_proxy) =
            (addresses.next(), addresses.next(), addresses.next());
        let on = |port: u16| SocketAddr::new(own.ip(), port);
        let settings = GatewaySettings {
            host: HostId(format!("host-{i}")),
            data_centre: DataCentre::from(CENTRES[i % CENTRES.len()]),
            listen: Listen {
                callers: own,
                ready: on(7_001),
                peers: on(7_002),
                metrics: on(7_003),
                tunnels: Some(on(7_004)),
            },
            store: store_proxy,
            retries: Retries {
                window_s: 10.0,
                ratio: 0.8,
                extra: 150.0,
            },
            grace_s: STOP_GRACE.as_secs_f64(),
            leave_ms: 2_000,
            limits: Limits::default(),
            log_level: Level::Info,
        };
        let file = self.run_folder.join(format!("gateway-{i}.json"));
        write_settings(&file, &settings)?;
        let mut paths = Vec::new();
        for server in &self.servers {
            let to = server.proxy.addr;
            let addr = SocketAddr::new(to.ip(), to.port() + port_shift(i));
            let path = Path::start(addr, to).await;
            paths.push(path.map_err(|cause| BenchError::Listen { addr, cause })?);
        }
        self.gateways.push(Gateway {
            child: None,
            is_earlier: i % 2 == 1,
            file,
            ready: settings.listen.ready,
            caller_proxy: Proxy::start(caller_proxy, own).await?,
            store_proxy: Proxy::start(store_proxy, store).await?,
            paths,
        });
        self.spawn_gateway(i)
    }

    /// Starts the process of a gateway; the next one is of the other version, if there are two.
    fn spawn_gateway(&mut self, i: usize) -> Result<(), BenchError> {
        let gateway = &mut self.gateways[i];
        let earlier = self.programs.earlier.as_ref();
        let folder = earlier.filter(|_| gateway.is_earlier);
        let folder = folder.unwrap_or(&self.programs.current);
        let child = Child::start(folder, "gooseberry-gateway", &[], &gateway.file)?;
        gateway.child = Some(child);
        gateway.is_earlier = !gateway.is_earlier;
        Ok(())
    }

    /// Starts the process of a backend server under its current id.
    fn spawn_server(&mut self, i: usize) -> Result<(), BenchError> {
        let server = &mut self.servers[i];
        write_settings(&server.file, &server.settings)?;
        let arguments = ["site-worker"];
        let child = Child::start(
            &self.programs.current,
            "gooseberry-standin",
            &arguments,
            &server.file,
        )?;
        server.child = Some(child);
        Ok(())
    }

    /// Starts a backend server under a new id and replaces its row; the old process must have
    /// exited.
    pub(crate) async fn replace_server(&mut self, i: usize) -> Result<(), BenchError> {
        self.unlist(i).await?;
        let server = &mut self.servers[i];
        server.settings.born += 1;
        server.leaving = false;
        server.settings.id = format!("server-{i}-{}", server.settings.born);
        self.spawn_server(i)?;
        self.list(i).await
    }

    /// Kills the process of a backend server; its row stays.
    pub(crate) async fn kill_server(&mut self, i: usize) {
        if let Some(mut child) = self.servers[i].child.take() {
            child.kill();
            child.wait().await;
        }
    }

    /// Kills the process of a gateway.
    pub(crate) async fn kill_gateway(&mut self, i: usize) {
        if let Some(mut child) = self.gateways[i].child.take() {
            child.kill();
            child.wait().await;
        }
    }

    /// The process of a gateway, if it runs.
    pub(crate) fn gateway(&mut self, i: usize) -> Option<&mut Child> {
        self.gateways[i].child.as_mut()
    }

    /// The process of a backend server, if it runs.
    pub(crate) fn server(&mut self, i: usize) -> Option<&mut Child> {
        self.servers[i].child.as_mut()
    }

    /// Lists a backend server as draining, unless at least a third of them drain already.
    pub(crate) async fn drain(&mut self, i: usize) -> Result<(), BenchError> {
        let leaving = self.servers.iter().filter(|s| s.leaving).count();
        if leaving * 3 >= self.servers.len() {
            return Ok(());
        }
        self.servers[i].leaving = true;
        self.list(i).await
    }

    /// Changes the paths of a gateway to the backend servers, or to those that are no engines.
    pub(crate) fn cut_gateway(&self, i: usize, cut: Cut, only_plain: bool) {
        for (path, server) in self.gateways[i].paths.iter().zip(&self.servers) {
            if !only_plain || !server.settings.engine {
                path.set(cut);
            }
        }
    }

    /// Deletes the row of a backend server without stopping its process.
    pub(crate) async fn remove_row(&mut self, i: usize) -> Result<(), BenchError> {
        self.servers[i].leaving = true;
        self.unlist(i).await
    }

    async fn list(&self, i: usize) -> Result<(), BenchError> {
        let server = &self.servers[i];
        let state = if server.leaving { "draining" } else { "ready" };
        let engine = server.settings.engine;
        let row = documents::row(
            server.proxy.addr,
            engine,
            server.centre,
            state,
            server.settings.born,
        );
        self.put(documents::SERVERS, &server.settings.id, Some(row))
            .await
    }

    async fn unlist(&self, i: usize) -> Result<(), BenchError> {
        self.put(documents::SERVERS, &self.servers[i].settings.id, None)
            .await
    }

    /// Writes a configuration into the store.
    pub(crate) async fn configure(&self, config: Value) -> Result<(), BenchError> {
        let (table, key) = documents::CONFIG;
        self.put(table, key, Some(config)).await
    }

    async fn put(&self, table: &str, key: &str, value: Option<Value>) -> Result<(), BenchError> {
        let body = Put {
            table: table.to_owned(),
            key: key.to_owned(),
            value,
        };
        self.post_to_store("/standin/put", &body).await
    }

    /// Sets the fault switches of the store.
    pub(crate) async fn switch_store(&self, switch: &Switch) -> Result<(), BenchError> {
        self.post_to_store("/faults", switch).await
    }

    /// Makes the store drop its history of changes.
    pub(crate) async fn compact(&self) -> Result<(), BenchError> {
        self.post_to_store("/standin/compact", &()).await
    }

    async fn post_to_store<T: serde::Serialize>(
        &self,
        path: &str,
        body: &T,
    ) -> Result<(), BenchError> {
        let answer =
            call::<T, Value>(self.store_addr, Method::POST, path, body, CALL_TIMEOUT).await;
        match answer {
            Ok(_) => Ok(()),
            // An empty answer is not JSON.
            Err(web::client::CallError::Decode { .. }) => Ok(()),
            Err(error) => Err(error.into()),
        }
    }

    async fn wait_for_store(&self) -> Result<(), BenchError> {
        let end = Instant::now() + START_TIMEOUT;
        while self.compact().await.is_err() {
            if Instant::now() > end {
                return Err(BenchError::NotReady("the store stand-in".to_owned()));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    /// Waits until every gateway is ready.
    pub(crate) async fn wait_until_ready(&self) -> Result<(), BenchError> {
        let end = Instant::now() + START_TIMEOUT;
        for gateway in &self.gateways {
            while !accepts_connections(gateway.ready).await {
                if Instant::now() > end {
                    return Err(BenchError::NotReady(gateway.file.display().to_string()));
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    /// Ends every fault, restarts every process that has exited, and waits until the gateways are
    /// ready.
    pub(crate) async fn heal(&mut self) -> Result<(), BenchError> {
        self.store.thaw();
        self.switch_store(&Switch {
            outage: Some(false),
            delay_ms: Some(0),
            ..Switch::default()
        })
        .await?;
        for i in 0..self.gateways.len() {
            self.gateways[i].caller_proxy.heal();
            self.gateways[i].store_proxy.heal();
            self.cut_gateway(i, Cut::Open, false);
            if let Some(child) = self.gateway(i) {
                child.thaw();
            }
        }
        // Gateways that received SIGTERM exit within their grace period and are then restarted.
        let end = Instant::now() + STOP_GRACE;
        while Instant::now() < end && !self.all_accept_connections().await {
            self.restart_gateways()?;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        for i in 0..self.servers.len() {
            self.servers[i].proxy.heal();
            if let Some(child) = self.server(i) {
                child.thaw();
            }
            if self.servers[i].child.is_none() || self.servers[i].leaving {
                self.kill_server(i).await;
                self.replace_server(i).await?;
            }
        }
        self.wait_until_ready().await
    }

    /// Restarts every gateway whose process has exited.
    pub(crate) fn restart_gateways(&mut self) -> Result<(), BenchError> {
        for i in 0..self.gateways.len() {
            if self.gateway(i).is_none_or(Child::has_ended) {
                self.spawn_gateway(i)?;
            }
        }
        Ok(())
    }

    async fn all_accept_connections(&self) -> bool {
        for gateway in &self.gateways {
            if !accepts_connections(gateway.ready).await {
                return false;
            }
        }
        true
    }

    /// Sorted ids of the requests that backend servers ran, each as often as it ran.
    pub(crate) fn run_ids(&self) -> Vec<String> {
        let records = self
            .servers
            .iter()
            .filter_map(|s| s.settings.record.as_ref());
        // A server that has not run any request has no file.
        let texts = records.filter_map(|f| std::fs::read_to_string(f).ok());
        let mut run_ids: Vec<String> = texts
            .flat_map(|t| t.lines().map(str::to_owned).collect::<Vec<_>>())
            .collect();
        run_ids.sort_unstable();
        run_ids
    }

    /// Kills every process and waits for its exit.
    pub(crate) async fn stop(&mut self) {
        for i in 0..self.gateways.len() {
            self.kill_gateway(i).await;
        }
        for i in 0..self.servers.len() {
            self.kill_server(i).await;
        }
        self.store.kill();
        self.store.wait().await;
    }
}

/// By how much the ports of the backend servers are raised for a gateway.
fn port_shift(gateway: usize) -> u16 {
    1 + gateway as u16
}

/// Whether a gateway reports that it accepts connections.
pub(crate) async fn accepts_connections(addr: SocketAddr) -> bool {
    let answer = web::client::get::<Value>(addr, "/readyz", CALL_TIMEOUT).await;
    // A gateway that is ready answers with a success whose body is not JSON.
    matches!(answer, Ok(_) | Err(web::client::CallError::Decode { .. }))
}
