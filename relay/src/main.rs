//! A relay that hands messages on to partner systems; `slatethread` decides, this program acts.
#![forbid(unsafe_code)]

mod config;
mod core;
mod discovery;
mod journal;
mod platform;

use std::process::ExitCode;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;

use crate::core::Core;
use crate::journal::Journal;
use crate::platform::carrier::{self, ToNodes};
use crate::platform::server::Server;

/// After SIGTERM, connections still arrive for up to 0.4 s: so long everything goes on.
const STILL_SERVING: Duration = Duration::from_millis(600);
/// Then claims are sent for so long; SIGKILL comes no sooner than 3.7 s after SIGTERM.
const STILL_SENDING: Duration = Duration::from_millis(2000);
/// And what is out may come home for so long.
const COMING_HOME: Duration = Duration::from_millis(800);
/// Part of the descriptors that submitters' connections may take; the rest is for nodes and files.
const SUBMITTERS_PART: f64 = 0.4;

fn main() -> ExitCode {
    let filter = tracing_subscriber::EnvFilter::try_from_env("ONYXGLADE_LOG")
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    tracing_subscriber::fmt().with_env_filter(filter).with_ansi(false).init();
    match actix_rt::System::new().block_on(serve()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            tracing::error!("{fault}");
            ExitCode::FAILURE
        }
    }
}

async fn serve() -> Result<(), String> {
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let config = config::platform()?;
    let (journal, open) = Journal::open(&config.state, config.limits.disk)
        .map_err(|e| format!("BALANCER_STATE: journal in {}: {e}", config.state.display()))?;
    let to_nodes = ToNodes::new(&config.rules, config.discovery);
    let client = to_nodes.platform();
    let core = Core::new(to_nodes, config.rules, config.seed, journal);
    core.take_list(&config.known, true);
    tracing::info!(name = config.name, recovered = open.len(), "starting");
    open.into_iter().for_each(|open| core.resume(open));
    actix_rt::spawn({
        let core = core.clone();
        async move { core.rounds().await }
    });
    actix_rt::spawn(discovery::follow(core.clone(), client, config.discovery));
    actix_rt::spawn(carrier::close_idle(core.clone()));
    let listener = TcpListener::bind(config.listen)
        .await
        .map_err(|e| format!("BALANCER_LISTEN: cannot listen on {}: {e}", config.listen))?;
    let connections = (config.limits.sockets as f64 * SUBMITTERS_PART) as usize;
    let server = Server::new(core.clone(), connections.max(1));
    server.set_ready();
    let accepting = actix_rt::spawn(server.clone().accept(listener));
    tracing::info!(listen = %config.listen, "ready");

    terminate.recv().await;
    tracing::info!("SIGTERM: winding down");
    server.set_leaving();
    sleep(STILL_SERVING).await;
    accepting.abort();
    server.close_idle();
    sleep(STILL_SENDING).await;
    core.wind_down(COMING_HOME).await;
    Ok(())
}
