//! What may go wrong, drawn at random; faults come in series and overlap.

use std::time::Duration;

use gooseberry_standin::faults::Switch;
use gooseberry_standin::site::documents;
use rand::RngExt;
use rand::rngs::SmallRng;
use strum::{EnumCount, FromRepr};

use crate::harness::BenchError;
use crate::soak::proxy::{Mode, Proxy};
use crate::soak::site::{Shape, Site};

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumCount, FromRepr)]
pub(crate) enum Kind {
    /// A backend server is killed.
    KillServer,
    /// All backend servers of a data centre are killed.
    KillCentre,
    /// A killed backend server starts anew under another id.
    RenewServer,
    /// A backend server stands still and wakes again.
    PauseServer,
    /// A backend server is listed as leaving.
    DrainServer,
    /// The row of a backend server goes although it lives.
    LapseServer,
    /// Connections to a backend server are disturbed.
    DisturbServer,
    /// A gateway is killed and started again.
    KillGateway,
    /// A gateway stands still and wakes again.
    PauseGateway,
    /// A gateway is told to stop, and started again once it has ended.
    StopGateway,
    /// A gateway is told to read its settings again.
    ReloadGateway,
    /// Connections of callers to a gateway are disturbed.
    DisturbCallers,
    /// Connections of a gateway to the store are disturbed.
    DisturbStore,
    /// The store refuses every call for a while, or answers again.
    StoreOutage,
    /// The store answers late, or in time again.
    StoreSlow,
    /// The store forgets its history.
    StoreForgets,
    /// A new version of the configuration.
    Configure,
    /// All disturbances of connections end.
    Heal,
}

/// A fault and whom it concerns.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fault {
    kind: Kind,
    /// The number of the gateway or backend server.
    target: usize,
    /// How long it lasts, where it lasts, in milliseconds.
    span_ms: u64,
}

/// What operators do on an ordinary day.
const PLANNED: [Kind; 4] = [
    Kind::StopGateway,
    Kind::ReloadGateway,
    Kind::DrainServer,
    Kind::Configure,
];

impl Fault {
    /// Draws a fault, or planned work only.
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
    /// Brings a fault about.
    pub(crate) async fn inject(
        &mut self,
        fault: &Fault,
        rng: &mut SmallRng,
    ) -> Result<(), BenchError> {
        let i = fault.target;
        let span = Duration::from_millis(fault.span_ms);
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
                    tokio::time::sleep(span).await;
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
                    tokio::time::sleep(span).await;
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
        for gateway in &self.gateways {
            gateway.caller_proxy.heal();
            gateway.store_proxy.heal();
        }
        for server in &self.servers {
            server.proxy.heal();
        }
    }
}

/// Disturbs the connections of a proxy in some way.
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
