//! Control of real relay processes: configuration, start, and resource usage.
use serde_json::{Value, json};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::OnceLock;
use std::time::{Duration, Instant};
use tokio::process::{Child, Command};

use crate::experiment::{Experiment, Front, RelayTable};
use crate::push;
use crate::reserved_address::ReservedAddress;

/// A running relay process.
pub struct Relay {
    child: Child,
    pub id: u32,
    pub address: SocketAddr,
    _reserved: ReservedAddress,
}

/// Resource usage of a process, as reported by the system.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    pub cpu: Duration,
    pub resident_kb: u64,
    pub descriptors: u32,
}

/// How long a relay may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Path of the relay binary, which is expected next to the test bench's own. It is built if it does not
/// exist.
pub fn program() -> Result<PathBuf, String> {
    let program = artifact_path("onyxglade")?;
    if !program.exists() {
        build(&program, &["-p", "onyxglade", "--bin", "onyxglade"])?;
    }
    Ok(program)
}

/// Path of the shim that injects system call faults into a relay. It is always rebuilt: no test depends on
/// its package, so an existing file may be outdated.
pub fn shim() -> Result<PathBuf, String> {
    static BUILT: OnceLock<Result<PathBuf, String>> = OnceLock::new();
    let built = || {
        let shim = artifact_path("libonyxglade_shim.so")?;
        build(&shim, &["-p", "onyxglade-shim"])?;
        Ok(shim)
    };
    BUILT.get_or_init(built).clone()
}

/// Path of a build artifact next to the test bench's own binary.
fn artifact_path(file: &str) -> Result<PathBuf, String> {
    let lab =
        std::env::current_exe().map_err(|e| format!("cannot determine the path of the lab binary: {e}"))?;
    let folder = lab.parent().unwrap_or(Path::new("."));
    // Test binaries are located one folder further down.
    let folder = if folder.ends_with("deps") { folder.parent().unwrap_or(folder) } else { folder };
    Ok(folder.join(file))
}

fn build(file: &Path, what: &[&str]) -> Result<(), String> {
    let mut build = std::process::Command::new(std::env::var_os("CARGO").unwrap_or("cargo".into()));
    build.args(["build", "--quiet", "--locked"]).args(what);
    if file.parent().is_some_and(|folder| folder.ends_with("release")) {
        build.arg("--release");
    }
    // Cargo must run inside the workspace, whatever the current folder is.
    build.current_dir(Path::new(env!("CARGO_MANIFEST_DIR")));
    let built = build.status().map_err(|e| format!("cannot run cargo to build {}: {e}", file.display()))?;
    if !built.success() || !file.exists() {
        return Err(format!("building {} failed", file.display()));
    }
    Ok(())
}

/// The settings that the platform would send, used on sockets and in virtual time.
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

/// The configuration that the platform would provide for a relay.
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
        "limits": {
            "cores": 1.0, "memory_mb": table.memory_mb, "sockets": table.sockets, "disk_mb": table.disk_mb
        },
        "settings": settings(table)
    })
}

impl Relay {
    /// Starts a relay in its own folder and waits until it is ready.
    pub async fn start(
        program: &Path,
        folder: &Path,
        experiment: &Experiment,
        number: usize,
        environment: RelayEnvironment,
        seed: u64,
    ) -> Result<Relay, String> {
        let fault = |what: &str, e: std::io::Error| format!("relay {number}: {what}: {e}");
        let reserved = ReservedAddress::new(Ipv4Addr::LOCALHOST);
        let reserved = reserved.map_err(|e| fault("cannot find a free port", e))?;
        let address = reserved.address();
        let folder = folder.join(format!("relay{number}"));
        std::fs::create_dir_all(folder.join("state")).map_err(|e| fault("cannot create its folder", e))?;
        let (config_file, own_file) = (folder.join("config.json"), folder.join("own.toml"));
        let push = experiment.relay.front == Front::Push;
        let table = match push {
            true => {
                let state = folder.join("state").display().to_string();
                push::relay_file(
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
        let text = toml::to_string(&table).map_err(|e| format!("relay.own: {e}"))?;
        std::fs::write(&own_file, text).map_err(|e| fault("cannot write its own file", e))?;
        let log = std::fs::File::create(folder.join("log")).map_err(|e| fault("cannot create its log", e))?;
        let mut command = Command::new(program);
        command
            .env_clear()
            .env("ONYXGLADE_LOG", std::env::var("ONYXGLADE_LOG").unwrap_or("info".into()))
            .stdout(Stdio::from(log))
            .kill_on_drop(true);
        // The test bench's own binary contains the baseline proxy.
        let baseline = std::env::current_exe().is_ok_and(|lab| lab == program);
        command.args(if baseline {
            vec!["floor".as_ref(), own_file.as_os_str()]
        } else {
            vec!["--config".as_ref(), own_file.as_os_str()]
        });
        if !push {
            let config = configuration(
                &experiment.relay,
                &format!("n{number}"),
                address,
                environment.list_or_notices,
                seed,
            );
            std::fs::write(&config_file, config.to_string())
                .map_err(|e| fault("cannot write its configuration", e))?;
            command.env("BALANCER_CONFIG", config_file).env("BALANCER_STATE", folder.join("state"));
        }
        let child = command.spawn().map_err(|e| fault("cannot start the process", e))?;
        let id = child.id().ok_or("the relay has already exited")?;
        let mut relay = Relay { child, id, address, _reserved: reserved };
        let started = Instant::now();
        while !ready(address, push).await {
            if let Ok(Some(status)) = relay.child.try_wait() {
                let log = std::fs::read_to_string(folder.join("log")).unwrap_or_default();
                return Err(format!("relay {number} exited with {status} before it was ready: {log}"));
            }
            if started.elapsed() > READY_TIMEOUT {
                return Err(format!("relay {number} is not ready after {READY_TIMEOUT:?}"));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(relay)
    }

    /// Whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn usage(&self) -> Usage {
        usage(self.id).unwrap_or_default()
    }
}

/// Peers that a relay is configured with.
#[derive(Clone, Copy)]
pub struct RelayEnvironment {
    /// Address of discovery, or of the receiver of notices on the push interface.
    pub list_or_notices: SocketAddr,
    /// Port of the partners.
    pub port: u16,
    /// Number of destinations listed.
    pub dests: usize,
}

/// Checks whether a relay is ready. On the push interface, it is as soon as it listens.
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

/// Reads the resource usage of a process. CPU time is that of its main thread, in nanoseconds from the
/// scheduler: all jobs are processed there. The total over all threads would lose the time of threads that
/// have ended, such as those that decode long lists.
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
