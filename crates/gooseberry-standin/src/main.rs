//! `gooseberry-standin`: runs one stand-in as a process.

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
    Engine(#[bpaf(external(server_args))] ServerArgs),
    /// A plain service.
    #[bpaf(command)]
    Service(#[bpaf(external(server_args))] ServerArgs),
    /// The platform: table, object store and host list.
    #[bpaf(command)]
    Platform(#[bpaf(external(server_args))] ServerArgs),
    /// The metadata store of the deployment's platform.
    #[bpaf(command)]
    SiteStore(#[bpaf(external(server_args))] ServerArgs),
    /// A backend server of the deployment's platform.
    #[bpaf(command)]
    SiteWorker(#[bpaf(external(server_args))] ServerArgs),
}

/// The settings and the address of a stand-in.
#[derive(Clone, Debug, Bpaf)]
struct ServerArgs {
    /// The JSON file with the settings; the defaults apply without one.
    #[bpaf(short, long, argument("FILE"))]
    settings: Option<PathBuf>,
    /// The address to listen on; overrides the one in the settings.
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
    let on_signal = stop.clone();
    tokio::spawn(async move {
        // If no signal handler can be installed, the process runs until it is killed.
        if tokio::signal::ctrl_c().await.is_ok() {
            on_signal.cancel();
        }
    });
    match command {
        Command::Engine(args) => {
            let mut settings: engine::Settings = read_settings(&args)?;
            let listener = bind(&args, &mut settings.listen).await?;
            engine::run(listener, settings, stop).await;
        }
        Command::Service(args) => {
            let mut settings: service::Settings = read_settings(&args)?;
            let listener = bind(&args, &mut settings.listen).await?;
            service::run(listener, settings, stop).await;
        }
        Command::Platform(args) => {
            let mut settings: platform::Settings = read_settings(&args)?;
            let listener = bind(&args, &mut settings.listen).await?;
            platform::run(listener, settings, stop).await;
        }
        Command::SiteStore(args) => {
            let mut settings: store::Settings = read_settings(&args)?;
            let listener = bind(&args, &mut settings.listen).await?;
            let state = Arc::new(store::Store::default());
            for view in &settings.views {
                let listener = TcpListener::bind(view.listen).await.map_err(|e| {
                    format!(
                        "cannot listen on {}: {e}; choose another address",
                        view.listen
                    )
                })?;
                let (state, stop) = (Arc::clone(&state), stop.clone());
                tokio::spawn(store::run_view(listener, state, view.port_shift, stop));
            }
            store::run(listener, state, stop).await;
        }
        Command::SiteWorker(args) => {
            let mut settings: worker::Settings = read_settings(&args)?;
            let listener = bind(&args, &mut settings.listen).await?;
            worker::run(listener, settings, worker::Shared::default(), stop).await;
        }
    }
    Ok(())
}

/// Reads the settings from the file, or returns the defaults if no file is given.
fn read_settings<T: DeserializeOwned + Default>(args: &ServerArgs) -> Result<T, String> {
    let Some(file) = &args.settings else {
        return Ok(T::default());
    };
    settings::load::read(file).map_err(|e: SettingsError| e.to_string())
}

/// Binds the address, writes the effective one to `listen` and prints the bound one.
async fn bind(args: &ServerArgs, listen: &mut SocketAddr) -> Result<TcpListener, String> {
    *listen = args.listen.unwrap_or(*listen);
    let listener = TcpListener::bind(*listen)
        .await
        .map_err(|e| format!("cannot listen on {listen}: {e}; choose another address"))?;
    let bound = listener.local_addr().map_err(|e| e.to_string())?;
    println!("listening on {bound}");
    Ok(listener)
}
