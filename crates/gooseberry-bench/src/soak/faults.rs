//! Random faults of the soak. They are injected one after another, and most last until a later one
//! ends them, so that they overlap.

use std::time::Duration;

use gooseberry_standin::faults::Switch;
use gooseberry_standin::site::documents;
use gooseberry_standin::site::path::Cut;
use rand::RngExt;
use rand::rngs::SmallRng;
use strum::{EnumCount, FromRepr};

use crate::harness::BenchError;
use crate::soak::proxy::{Mode, Proxy};
use crate::soak::site::{Shape, Site};

/// Kind of a fault or planned operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumCount, FromRepr)]
pub(crate) enum Kind {
    /// Kills a backend server.
    KillServer,
    /// Kills all backend servers of a data centre.
    KillCentre,
    /// Kills a backend server and starts it under a new id.
    RenewServer,
    /// Suspends a backend server for a while.
    PauseServer,
    /// Lists a backend server as draining.
    DrainServer,
    /// Deletes the row of a backend server that runs on, as when its registration expires.
    LapseServer,
    /// Disturbs the connections to a backend server.
    DisturbServer,
    /// Kills a gateway, which is then restarted.
    KillGateway,
    /// Suspends a gateway for a while.
    PauseGateway,
    /// Sends SIGTERM to a gateway, which is restarted once it has exited.
    StopGateway,
    /// Sends SIGHUP to a gateway, upon which it reloads its settings.
    ReloadGateway,
    /// Cuts a gateway from all backend servers or those of one service, or ends that; which one is drawn.
    CutGateway,
    /// Disturbs the connections of callers to a gateway.
    DisturbCallers,
    /// Disturbs the connections of a gateway to the store.
    DisturbStore,
    /// Makes the store refuse every call, or ends that; which one is drawn.
    StoreOutage,
    /// Delays the answers of the store, or ends that; which one is drawn.
    StoreSlow,
    /// Compacts the store: it drops its history of changes.
    StoreForgets,
    /// Writes a new version of the configuration.
    Configure,
    /// Ends all disturbances of connections, except for stalled and reset ones.
    Heal,
}

/// A fault with its target and duration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fault {
    kind: Kind,
    /// Index of the gateway or backend server.
    target: usize,
    /// Duration of a suspension, or delay of the store, in milliseconds; other kinds ignore it.
    span_ms: u64,
}

/// States of the paths of a gateway to the backend servers.
pub(crate) const CUTS: [Cut; 4] = [Cut::Reset, Cut::RefuseNew, Cut::Hang, Cut::Open];

/// Routine operations, which must not interrupt any request.
const PLANNED: [Kind; 4] = [
    Kind::StopGateway,
    Kind::ReloadGateway,
    Kind::DrainServer,
    Kind::Configure,
];

impl Fault {
    /// Draws a fault; with `is_planned`, only a routine operation.
    pub(crate) fn draw(rng: &mut SmallRng, shape: &Shape, is_planned: bool) -> Self {
        let kind = if is_planned {
            PLANNED[rng.random_range(0..PLANNED.len())]
        } else {
            Kind::from_repr(rng.random_range(0..Kind::COUNT)).unwrap_or(Kind::Heal)
        };
        let count = match kind {
            Kind::KillGateway
            | Kind::PauseGateway
            | Kind::StopGateway
            | Kind::ReloadGateway
            | Kind::CutGateway
            | Kind::DisturbCallers
            | Kind::DisturbStore => shape.gateways,
            _ => shape.engines + shape.plain,
        };
        Self {
            kind,
            target: rng.random_range(0..count),
            span_ms: rng.random_range(100..1_500),
        }
    }
}

impl Site {
    /// Injects a fault; for a suspension, returns after its end.
    pub(crate) async fn inject(
        &mut self,
        fault: &Fault,
        rng: &mut SmallRng,
    ) -> Result<(), BenchError> {
        let i = fault.target;
        let duration = Duration::from_millis(fault.span_ms);
        match fault.kind {
            Kind::KillServer => self.kill_server(i).await,
            Kind::KillCentre => {
                for n in (i % 3..self.servers.len()).step_by(3) {
                    self.kill_server(n).await;
                }
            }
            Kind::RenewServer => {
                self.kill_server(i).await;
                self.replace_server(i).await?;
            }
            Kind::PauseServer => {
                if let Some(child) = self.server(i) {
                    child.freeze();
                    tokio::time::sleep(duration).await;
                    child.thaw();
                }
            }
            Kind::DrainServer => self.drain(i).await?,
            Kind::LapseServer => self.remove_row(i).await?,
            Kind::DisturbServer => disturb(&self.servers[i].proxy, rng),
            Kind::KillGateway => self.kill_gateway(i).await,
            Kind::PauseGateway => {
                if let Some(child) = self.gateway(i) {
                    child.freeze();
                    tokio::time::sleep(duration).await;
                    child.thaw();
                }
            }
            Kind::StopGateway => {
                if let Some(child) = self.gateway(i) {
                    child.terminate();
                }
            }
            Kind::ReloadGateway => {
                if let Some(child) = self.gateway(i) {
                    child.reload();
                }
            }
            Kind::CutGateway => {
                let cut = CUTS[rng.random_range(0..CUTS.len())];
                self.cut_gateway(i, cut, rng.random());
            }
            Kind::DisturbCallers => disturb(&self.gateways[i].caller_proxy, rng),
            Kind::DisturbStore => disturb(&self.gateways[i].store_proxy, rng),
            Kind::StoreOutage => {
                let outage = Some(rng.random());
                self.switch_store(&Switch {
                    outage,
                    ..Switch::default()
                })
                .await?;
            }
            Kind::StoreSlow => {
                let delay_ms = Some(if rng.random() { fault.span_ms } else { 0 });
                self.switch_store(&Switch {
                    delay_ms,
                    ..Switch::default()
                })
                .await?;
            }
            Kind::StoreForgets => self.compact().await?,
            Kind::Configure => {
                self.version += rng.random_range(1..5);
                self.configure(documents::config(self.version)).await?;
            }
            Kind::Heal => self.heal_connections(),
        }
        Ok(())
    }

    fn heal_connections(&self) {
        for i in 0..self.gateways.len() {
            self.cut_gateway(i, Cut::Open, false);
        }
        for gateway in &self.gateways {
            gateway.caller_proxy.heal();
            gateway.store_proxy.heal();
        }
        for server in &self.servers {
            server.proxy.heal();
        }
    }
}

/// Disturbs the connections of a proxy in a randomly drawn way.
fn disturb(proxy: &Proxy, rng: &mut SmallRng) {
    let choice = rng.random_range(0..6);
    let delay = rng.random_range(5..400);
    proxy.change(|mode: &mut Mode| match choice {
        0 => mode.delay_ms = delay,
        1 => mode.blocks_requests = true,
        2 => mode.blocks_answers = true,
        3 => mode.stall_epoch += 1,
        4 => mode.reset_epoch += 1,
        _ => {
            mode.blocks_requests = true;
            mode.blocks_answers = true;
        }
    });
}
