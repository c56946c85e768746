//! `gooseberry-standin`: one stand-in as a process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use bpaf::Bpaf;
use gooseberry_standin::site::{store, worker};
use gooseberry_standin::{engine, platform, service};
use serde::de::DeserializeOwned;
use settings::SettingsError;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Stand-ins for engines, plain services and the platform, for tests and measurements.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// A model engine.
    #[bpaf(command)]
    Engine(#[bpaf(external(place))] Place),
    /// A plain service.
    #[bpaf(command)]
    Service(#[bpaf(external(place))] Place),
    /// The platform: table, object store and host list.
    #[bpaf(command)]
    Platform(#[bpaf(external(place))] Place),
    /// The store of the users' platform.
    #[bpaf(command)]
    SiteStore(#[bpaf(external(place))] Place),
    /// A backend server of the users' platform.
    #[bpaf(command)]
    SiteWorker(#[bpaf(external(place))] Place),
}

/// Where a stand-in listens and what it is like.
#[derive(Clone, Debug, Bpaf)]
struct Place {
    /// The JSON file with the settings.
    #[bpaf(short, long, argument("FILE"))]
    settings: Option<PathBuf>,
    /// The address to listen on, instead of that in the settings.
    #[bpaf(short, long, argument("ADDR"))]
    listen: Option<SocketAddr>,
}

#[tokio::main]
async fn main() -> ExitCode {
    let command = command().run();
    match run(command).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("gooseberry-standin: {message}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> Result<(), String> {
    let stop = CancellationToken::new();
    let stopper = stop.clone();
    tokio::spawn(async move {
        // Without a handler for the signal there is nothing to wait for.
        if tokio::signal::ctrl_c().await.is_ok() {
            stopper.cancel();
        }
    });
    match command {
        Command::Engine(place) => {
            let mut settings: engine::Settings = load(&place)?;
            let listener = bind(&place, &mut settings.listen).await?;
            engine::run(listener, settings, stop).await;
        }
        Command::Service(place) => {
            let mut settings: service::Settings = load(&place)?;
            let listener = bind(&place, &mut settings.listen).await?;
            service::run(listener, settings, stop).await;
        }
        Command::Platform(place) => {
            let mut settings: platform::Settings = load(&place)?;
            let listener = bind(&place, &mut settings.listen).await?;
            platform::run(listener, settings, stop).await;
        }
        Command::SiteStore(place) => {
            let mut settings: store::Settings = load(&place)?;
            let listener = bind(&place, &mut settings.listen).await?;
            store::run(listener, Arc::new(store::Store::default()), stop).await;
        }
        Command::SiteWorker(place) => {
            let mut settings: worker::Settings = load(&place)?;
            let listener = bind(&place, &mut settings.listen).await?;
            worker::run(listener, settings, worker::Shared::default(), stop).await;
        }
    }
    Ok(())
}

/// The settings in the file, or the defaults.
fn load<T: DeserializeOwned + Default>(place: &Place) -> Result<T, String> {
    let Some(file) = &place.settings else {
        return Ok(T::default());
    };
    settings::load::read(file).map_err(|e: SettingsError| e.to_string())
}

/// Binds the address and prints where the stand-in listens.
async fn bind(place: &Place, listen: &mut SocketAddr) -> Result<TcpListener, String> {
    *listen = place.listen.unwrap_or(*listen);
    let listener = TcpListener::bind(*listen)
        .await
        .map_err(|e| format!("cannot listen on {listen}: {e}; choose another address"))?;
    let bound = listener.local_addr().map_err(|e| e.to_string())?;
    println!("listening on {bound}");
    Ok(listener)
}
