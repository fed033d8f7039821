//! A relay that hands messages on to partner systems; `slatethread` decides, this program acts.
#![forbid(unsafe_code)]

mod config;
mod core;
mod discovery;
mod door;
mod hook;
mod import;
mod journal;
mod notice;
mod platform;
mod push;

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;

use crate::config::{Limits, Own, Rules};
use crate::core::{Carrier, Core};
use crate::door::Places;
use crate::hook::Hooks;
use crate::journal::Journal;

/// After SIGTERM, connections still arrive for up to 0.4 s: so long everything goes on.
const STILL_SERVING: Duration = Duration::from_millis(600);
/// Then claims are sent for so long; SIGKILL comes no sooner than 3.7 s after SIGTERM.
const STILL_SENDING: Duration = Duration::from_millis(2000);
/// And what is out may come home for so long.
const COMING_HOME: Duration = Duration::from_millis(800);
/// Part of the descriptors that submitters' connections may take; the rest is for nodes and files.
const SUBMITTERS_PART: f64 = 0.4;

const USAGE: &str = "usage: onyxglade [--config FILE] | onyxglade import-nginx FILE";

fn main() -> ExitCode {
    let filter = tracing_subscriber::EnvFilter::try_from_env("ONYXGLADE_LOG")
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    tracing_subscriber::fmt().with_env_filter(filter).with_ansi(false).init();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let file = match arguments[..] {
        [] => None,
        ["--config", file] => Some(PathBuf::from(file)),
        ["import-nginx", file] => return import_nginx(Path::new(file)),
        _ => {
            eprintln!("{USAGE}");
            return ExitCode::from(2);
        }
    };
    match actix_rt::System::new().block_on(run(file)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            tracing::error!("{fault}");
            ExitCode::FAILURE
        }
    }
}

/// Prints the file of ours, and beside it what was not carried over.
fn import_nginx(file: &Path) -> ExitCode {
    match import::file(file) {
        Ok((text, remarks)) => {
            remarks.iter().for_each(|remark| eprintln!("{}: {remark}", file.display()));
            match std::io::stdout().write_all(text.as_bytes()) {
                Ok(()) => ExitCode::SUCCESS,
                Err(_) => ExitCode::FAILURE,
            }
        }
        Err(fault) => {
            eprintln!("{fault}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the fronts that are configured until SIGTERM.
async fn run(file: Option<PathBuf>) -> Result<(), String> {
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let mut reload = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let platform = config::platform()?;
    let own = file.as_deref().map(config::own).transpose()?;
    let own = own.unwrap_or(Own { push: None, hook: None });
    if platform.is_none() && own.push.is_none() {
        return Err(format!(
            "no front is configured: set BALANCER_CONFIG or name a file with [push]; {USAGE}"
        ));
    }
    // Each front has its own, read from the same script.
    let hooks = || own.hook.as_ref().map(Hooks::load).transpose();
    let platform = match platform {
        Some(platform) => Some(start_platform(platform, hooks()?).await?),
        None => None,
    };
    let push = match own.push {
        Some(push) => Some(start_push(push, hooks()?).await?),
        None => None,
    };
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => {
                if let Some(platform) = &platform {
                    platform.reload();
                }
                if let (Some(push), Some(file)) = (&push, &file) {
                    push.reload(file);
                }
            }
        }
    }
    tracing::info!("SIGTERM: winding down");
    if let Some(platform) = &platform {
        platform.server.set_leaving();
    }
    sleep(STILL_SERVING).await;
    if let Some(platform) = &platform {
        platform.accepting.abort();
        platform.server.close_idle();
    }
    if let Some(push) = &push {
        push.accepting.abort();
    }
    tracing::info!("winding down: no connections are taken any more");
    sleep(STILL_SENDING).await;
    let first = async {
        if let Some(platform) = &platform {
            platform.core.wind_down(COMING_HOME).await;
        }
    };
    let second = async {
        if let Some(push) = &push {
            push.core.wind_down(COMING_HOME).await;
        }
    };
    tokio::join!(first, second);
    Ok(())
}

struct PlatformFront {
    core: Rc<Core<platform::carrier::ToNodes>>,
    server: Rc<platform::server::Server<platform::carrier::ToNodes>>,
    accepting: actix_rt::task::JoinHandle<()>,
    places: Rc<Places>,
    listen: std::net::SocketAddr,
}

struct PushFront {
    core: Rc<Core<push::gateways::Gateways>>,
    server: Rc<push::server::Server<push::gateways::Gateways>>,
    accepting: actix_rt::task::JoinHandle<()>,
    places: Places,
    listen: std::net::SocketAddr,
    state: PathBuf,
}

/// A core with its journal and what that holds open, playing rounds.
fn start_core<C: Carrier>(
    front: &'static str,
    carrier: C,
    rules: Rules,
    hooks: Option<Hooks>,
    seed: u64,
    state: &Path,
    disk: u64,
) -> Result<Rc<Core<C>>, String> {
    let (journal, open) =
        Journal::open(state, disk).map_err(|e| format!("journal in {}: {e}", state.display()))?;
    let core = Core::new(carrier, rules, hooks, seed, journal);
    tracing::info!(recovered = open.len(), "journal read");
    open.into_iter().for_each(|open| core.resume(open));
    let (rounds, tally) = (core.clone(), core.clone());
    actix_rt::spawn(async move { rounds.rounds().await });
    actix_rt::spawn(async move { tally.tell_tally(front).await });
    Ok(core)
}

async fn listen(key: &str, address: std::net::SocketAddr) -> Result<TcpListener, String> {
    TcpListener::bind(address).await.map_err(|e| format!("{key}: cannot listen on {address}: {e}"))
}

async fn start_platform(config: config::Platform, hooks: Option<Hooks>) -> Result<PlatformFront, String> {
    let to_nodes = platform::carrier::ToNodes::new(&config.rules, config.discovery);
    let discovery = to_nodes.platform();
    let Limits { disk, sockets } = config.limits;
    let core = start_core("platform", to_nodes, config.rules, hooks, config.seed, &config.state, disk)
        .map_err(|e| format!("BALANCER_STATE: {e}"))?;
    core.take_list(&config.known, true);
    actix_rt::spawn(discovery::follow(core.clone(), discovery));
    actix_rt::spawn(platform::carrier::close_idle(core.clone()));
    let listener = listen("BALANCER_LISTEN", config.listen).await?;
    let address = listener.local_addr().unwrap_or(config.listen);
    let server = platform::server::Server::new(core.clone());
    let places = Rc::new(Places::new(submitters(sockets)));
    let accepting = actix_rt::spawn(server.clone().accept(listener, places.clone()));
    server.set_ready();
    tracing::info!(name = config.name, listen = %address, "platform front is ready");
    Ok(PlatformFront { core, server, accepting, places, listen: config.listen })
}

/// How many descriptors submitters may take.
fn submitters(sockets: usize) -> usize {
    ((sockets as f64 * SUBMITTERS_PART) as usize).max(1)
}

impl PlatformFront {
    /// Reads the configuration anew and takes it up without dropping a job or a connection.
    fn reload(&self) {
        let config = match config::platform() {
            Ok(Some(config)) => config,
            Ok(None) => return,
            Err(fault) => {
                // Guards against half a file: nothing of it is taken up.
                tracing::error!(fault, "SIGHUP: the configuration is faulty; nothing changes");
                return;
            }
        };
        if config.listen != self.listen {
            tracing::warn!(listen = %config.listen, "SIGHUP: another address is listened on with the next start");
        }
        self.core.carrier.settle(&config.rules, config.discovery);
        self.core.settle(config.rules, config.limits.disk);
        self.places.set(submitters(config.limits.sockets));
        tracing::info!(discovery = %config.discovery, "SIGHUP: configuration read anew");
    }
}

async fn start_push(config: config::Push, hooks: Option<Hooks>) -> Result<PushFront, String> {
    // Not told by anybody: this front's own, new with each start.
    let seed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
    let gateways = push::gateways::Gateways::new(&config.rules, config.notices);
    let core = start_core("push", gateways, config.rules.clone(), hooks, seed, &config.state, config.disk)
        .map_err(|e| format!("push.state: {e}"))?;
    core.take_list(&config.gateways, false);
    actix_rt::spawn(push::gateways::close_idle(core.clone()));
    let listener = listen("push.listen", config.listen).await?;
    let address = listener.local_addr().unwrap_or(config.listen);
    let server = push::server::Server::new(core.clone(), &config, seed);
    let places = Places::new(config.connections);
    let accepting = actix_rt::spawn(server.clone().accept(listener, places.free()));
    tracing::info!(listen = %address, "push front is ready");
    Ok(PushFront { core, server, accepting, places, listen: config.listen, state: config.state })
}

impl PushFront {
    /// Reads the file anew and takes it up without dropping a message or a connection.
    fn reload(&self, file: &Path) {
        match config::own(file).and_then(|own| own.push.ok_or("push: the table is gone".into())) {
            Ok(push) => {
                if (push.listen, &push.state) != (self.listen, &self.state) {
                    tracing::warn!("SIGHUP: push.listen and push.state are taken up with the next start");
                }
                self.core.carrier.settle(&push.rules, push.notices);
                self.core.settle(push.rules, push.disk);
                self.core.take_list(&push.gateways, false);
                self.server.settle(push.locations, push.body_limit);
                self.places.set(push.connections);
                tracing::info!(gateways = push.gateways.instances.len(), "SIGHUP: file read anew");
            }
            Err(fault) => tracing::error!(fault, "SIGHUP: the file is faulty; nothing changes"),
        }
    }
}
