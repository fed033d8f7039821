//! The real relay: its configuration, its process, and what the system says of that.
use serde_json::{Value, json};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::OnceLock;
use std::time::{Duration, Instant};
use tokio::process::{Child, Command};

use crate::experiment::{Experiment, Front, RelayTable};
use crate::push;

/// A relay that was started.
pub struct Relay {
    child: Child,
    pub id: u32,
    pub address: SocketAddr,
}

/// What the system says of processes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    pub cpu: Duration,
    pub resident_kb: u64,
    pub descriptors: u32,
}

/// How long a relay may take to be ready.
const READY: Duration = Duration::from_secs(20);

/// The relay's program beside the lab's own, built first where it is not there.
pub fn program() -> Result<PathBuf, String> {
    let program = beside("onyxglade")?;
    if !program.exists() {
        build(&program, &["-p", "onyxglade", "--bin", "onyxglade"])?;
    }
    Ok(program)
}

/// The shim that makes a relay's system calls fail, built first: no test depends on it, so that it may be an old one.
pub fn shim() -> Result<PathBuf, String> {
    static BUILT: OnceLock<Result<PathBuf, String>> = OnceLock::new();
    let built = || {
        let shim = beside("libonyxglade_shim.so")?;
        build(&shim, &["-p", "onyxglade-shim"])?;
        Ok(shim)
    };
    BUILT.get_or_init(built).clone()
}

/// What is built beside the lab's own program.
fn beside(file: &str) -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|e| format!("where the lab is: {e}"))?;
    let folder = own.parent().unwrap_or(Path::new("."));
    // Tests run one folder further down.
    let folder = if folder.ends_with("deps") { folder.parent().unwrap_or(folder) } else { folder };
    Ok(folder.join(file))
}

fn build(file: &Path, what: &[&str]) -> Result<(), String> {
    let mut build = std::process::Command::new(std::env::var_os("CARGO").unwrap_or("cargo".into()));
    build.args(["build", "--quiet", "--locked"]).args(what);
    if file.parent().is_some_and(|folder| folder.ends_with("release")) {
        build.arg("--release");
    }
    // The workspace, wherever this is run.
    build.current_dir(Path::new(env!("CARGO_MANIFEST_DIR")));
    let built = build.status().map_err(|e| format!("building {}: {e}", file.display()))?;
    if !built.success() || !file.exists() {
        return Err(format!("{} is not there", file.display()));
    }
    Ok(())
}

/// The settings that the platform would tell, on sockets and in virtual time alike.
pub fn settings(table: &RelayTable) -> Value {
    json!({
        "step": 5_000_000u64,
        "categories": [
            {"name": "notice", "aim": 1_000_000_000u64, "give_up": 6_000_000_000u64, "effect": "read_like",
             "late_worth": 0.0, "credit": 1.0},
            {"name": "order", "aim": 4_000_000_000u64, "give_up": 28_000_000_000u64,
             "effect": "non_idempotent", "late_worth": 0.3, "credit": 2.0}
        ],
        "extra": {"max_calls": table.slots, "own_limits": [false], "bundle_max": [1]},
        "zone": "a", "zones": ["a"], "shapes": ["m"], "replicas_of_me": table.told.unwrap_or(table.count),
        "membership_mode": "subscribe", "weights": if table.weights { "nominal" } else { "none" },
        "policy_limits": {
            "most_tries": 8, "most_held": table.held, "max_retry_after": 3_000_000_000u64,
            "idle_close": table.idle_close_ms * 1_000_000, "dial_timeout": 1_500_000_000u64,
            "retry_after": true
        },
        "rules": {
            "cold": 14_000_000_000u64, "cold_share": 0.18, "fall": 3_000_000_000u64, "fall_multiple": 2.0,
            "must_ask_in": table.must_ask_in_ms * 1_000_000
        }
    })
}

/// What the platform would tell a relay.
pub fn configuration(
    table: &RelayTable,
    name: &str,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: u64,
) -> Value {
    json!({
        "name": name, "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": format!("{seed:x}"),
        "limits": {"cores": 1.0, "memory_mb": 2048, "sockets": table.sockets, "disk_mb": table.disk_mb},
        "settings": settings(table)
    })
}

impl Relay {
    /// Starts a relay in a folder of its own and waits until it is ready.
    pub async fn start(
        program: &Path,
        folder: &Path,
        experiment: &Experiment,
        number: usize,
        environment: RelayEnvironment,
        seed: u64,
    ) -> Result<Relay, String> {
        let fault = |what: &str, e: std::io::Error| format!("relay {number}: {what}: {e}");
        // A port of its own: told by the system, then given up for the relay to take.
        let port = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).and_then(|l| l.local_addr());
        let address = port.map_err(|e| fault("no port", e))?;
        let folder = folder.join(format!("relay{number}"));
        std::fs::create_dir_all(folder.join("state")).map_err(|e| fault("its folder", e))?;
        let (file, own) = (folder.join("config.json"), folder.join("own.toml"));
        let push = experiment.relay.front == Front::Push;
        let text = match push {
            true => {
                let state = folder.join("state").display().to_string();
                push::file(
                    experiment,
                    environment.dests,
                    address,
                    environment.list_or_notices,
                    environment.port,
                    &state,
                )
            }
            false => experiment.relay.own.clone(),
        };
        let text = toml::to_string(&text).map_err(|e| format!("relay.own: {e}"))?;
        std::fs::write(&own, text).map_err(|e| fault("its own file", e))?;
        let log = std::fs::File::create(folder.join("log")).map_err(|e| fault("its log", e))?;
        let mut command = Command::new(program);
        command
            .env_clear()
            .env("ONYXGLADE_LOG", std::env::var("ONYXGLADE_LOG").unwrap_or("info".into()))
            .stdout(Stdio::from(log))
            .kill_on_drop(true);
        // The lab's own program is the baseline proxy.
        let baseline = std::env::current_exe().is_ok_and(|own| own == program);
        command.args(if baseline {
            vec!["floor".as_ref(), own.as_os_str()]
        } else {
            vec!["--config".as_ref(), own.as_os_str()]
        });
        if !push {
            let config = configuration(
                &experiment.relay,
                &format!("n{number}"),
                address,
                environment.list_or_notices,
                seed,
            );
            std::fs::write(&file, config.to_string()).map_err(|e| fault("its configuration", e))?;
            command.env("BALANCER_CONFIG", file).env("BALANCER_STATE", folder.join("state"));
        }
        let child = command.spawn().map_err(|e| fault("cannot be started", e))?;
        let id = child.id().ok_or("a relay that has ended")?;
        let mut relay = Relay { child, id, address };
        let begun = Instant::now();
        while !ready(address, push).await {
            if let Ok(Some(status)) = relay.child.try_wait() {
                let log = std::fs::read_to_string(folder.join("log")).unwrap_or_default();
                return Err(format!("relay {number} ended with {status}: {log}"));
            }
            if begun.elapsed() > READY {
                return Err(format!("relay {number} is not ready after {READY:?}"));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(relay)
    }

    /// Whether the process still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn usage(&self) -> Usage {
        usage(self.id).unwrap_or_default()
    }
}

/// What a relay is to find round it.
#[derive(Clone, Copy)]
pub struct RelayEnvironment {
    /// Discovery, or the reader of notices.
    pub list_or_notices: SocketAddr,
    /// The port of the partners.
    pub port: u16,
    /// Destinations listed.
    pub dests: usize,
}

/// The second front is ready as soon as it listens.
async fn ready(address: SocketAddr, push: bool) -> bool {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let call = async {
        let mut stream = tokio::net::TcpStream::connect(address).await.ok()?;
        if push {
            return Some(true);
        }
        stream.write_all(b"GET /ready HTTP/1.1\r\nhost: r\r\nconnection: close\r\n\r\n").await.ok()?;
        let mut text = Vec::new();
        stream.read_buf(&mut text).await.ok()?;
        Some(text.starts_with(b"HTTP/1.1 200"))
    };
    tokio::time::timeout(Duration::from_secs(1), call).await.ok().flatten().unwrap_or(false)
}

/// What the system says of a process. Processor time is its first thread's, to the nanosecond, as the scheduler
/// counts it: all jobs are done there, and threads that end (long lists are decoded on one) would take theirs along.
fn usage(id: u32) -> Option<Usage> {
    let folder = PathBuf::from(format!("/proc/{id}"));
    let text = std::fs::read_to_string(folder.join("schedstat")).ok()?;
    let cpu = text.split_whitespace().next()?.parse::<u64>().ok()?;
    let status = std::fs::read_to_string(folder.join("status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let resident_kb = line.trim().trim_end_matches("kB").trim().parse().ok()?;
    let descriptors = std::fs::read_dir(folder.join("fd")).ok()?.count() as u32;
    Some(Usage { cpu: Duration::from_nanos(cpu), resident_kb, descriptors })
}

#[cfg(test)]
mod tests;
