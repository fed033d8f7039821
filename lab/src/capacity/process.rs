//! A relay process of a scale test: start, termination by SIGKILL, and resource usage read from `/proc`.
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};

use super::CapacityError;
use crate::reserved_address::ReservedAddress;

/// Time within which a started relay must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between two readiness checks of a starting relay.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Resource usage of a process.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Processor time of all running threads according to the scheduler.
    pub cpu: Duration,
    /// Time for which these threads were runnable and waited for a core.
    pub without_core: Duration,
    /// Resident memory, in bytes.
    pub resident: u64,
    /// Peak resident memory since the process started, in bytes.
    pub peak_resident: u64,
}

/// A relay process, killed when dropped.
pub struct RelayProcess {
    child: Child,
    id: u32,
    /// Address on which it accepts messages.
    pub address: SocketAddr,
    /// Time from the start of the process until it reported that it was ready.
    pub ready_after: Duration,
}

/// A relay's program, configuration files and state folder.
pub struct RelayFolder {
    program: PathBuf,
    folder: PathBuf,
    address: ReservedAddress,
}

impl RelayFolder {
    /// Writes the configuration of a relay, which `configure` builds from the address to listen on.
    pub fn create(
        program: &Path,
        folder: &Path,
        configure: impl FnOnce(SocketAddr) -> serde_json::Value,
    ) -> Result<RelayFolder, CapacityError> {
        let error = |source| CapacityError::File { path: folder.to_owned(), source };
        std::fs::create_dir_all(folder.join("state")).map_err(error)?;
        let address = ReservedAddress::new(Ipv4Addr::LOCALHOST).map_err(error)?;
        let configuration = configure(address.address()).to_string();
        std::fs::write(folder.join("config.json"), configuration).map_err(error)?;
        std::fs::write(folder.join("own.toml"), "").map_err(error)?;
        Ok(RelayFolder { program: program.to_owned(), folder: folder.to_owned(), address })
    }

    /// Writes the relay's own configuration file.
    pub fn write_own_file(&self, text: &str) -> Result<(), CapacityError> {
        let path = self.folder.join("own.toml");
        std::fs::write(&path, text).map_err(|source| CapacityError::File { path, source })
    }

    /// The relay's log since its last start.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// Starts the relay and waits until it is ready.
    pub async fn start(&self) -> Result<RelayProcess, CapacityError> {
        let error = |source| CapacityError::File { path: self.folder.clone(), source };
        let log = std::fs::File::create(self.folder.join("log")).map_err(error)?;
        let started = Instant::now();
        let child = Command::new(&self.program)
            .env_clear()
            .env("ONYXGLADE_LOG", "warn")
            .env("BALANCER_CONFIG", self.folder.join("config.json"))
            .env("BALANCER_STATE", self.folder.join("state"))
            .arg("--config")
            .arg(self.folder.join("own.toml"))
            .stdout(Stdio::from(log))
            .kill_on_drop(true)
            .spawn()
            .map_err(error)?;
        let id = child.id().ok_or_else(|| failed("the process ended immediately after its start"))?;
        let mut relay =
            RelayProcess { child, id, address: self.address.address(), ready_after: Duration::ZERO };
        while !is_ready(relay.address).await {
            if let Ok(Some(status)) = relay.child.try_wait() {
                let log = std::fs::read_to_string(self.folder.join("log")).unwrap_or_default();
                return Err(failed(&format!("the process ended with {status} before it was ready: {log}")));
            }
            if started.elapsed() > READY_TIMEOUT {
                return Err(failed("the relay was not ready in time"));
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        relay.ready_after = started.elapsed();
        Ok(relay)
    }

    /// Total size of the files in the state folder, in bytes.
    pub fn state_bytes(&self) -> Result<u64, CapacityError> {
        let state = self.folder.join("state");
        let error = |source| CapacityError::File { path: state.clone(), source };
        let entries = std::fs::read_dir(&state).map_err(error)?;
        let sizes = entries.filter_map(|entry| entry.ok()?.metadata().ok()).map(|file| file.len());
        Ok(sizes.sum())
    }
}

impl RelayProcess {
    /// Current resource usage of the process.
    pub fn usage(&self) -> Result<Usage, CapacityError> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id));
        let status = status.map_err(|e| failed(&format!("cannot read the status of the process: {e}")))?;
        let bytes =
            |field| bytes_of(&status, field).ok_or_else(|| failed("the process status has no memory usage"));
        let (resident, peak_resident) = (bytes("VmRSS:")?, bytes("VmHWM:")?);
        let without_core = schedule(self.id, 1).values().sum();
        Ok(Usage { cpu: thread_times(self.id).values().sum(), without_core, resident, peak_resident })
    }

    /// Kills the process with SIGKILL and waits until it has ended.
    pub async fn kill(mut self) -> Result<(), CapacityError> {
        self.child.kill().await.map_err(|e| failed(&format!("cannot kill the process: {e}")))
    }
}

/// Value in bytes of a field of `/proc/PID/status` that is given in kilobytes.
fn bytes_of(status: &str, field: &str) -> Option<u64> {
    let text = status.lines().find_map(|line| line.strip_prefix(field))?;
    Some(text.trim().trim_end_matches("kB").trim().parse::<u64>().ok()? * 1024)
}

/// Processor time of each running thread of a process.
pub fn thread_times(process: u32) -> HashMap<u32, Duration> {
    schedule(process, 0)
}

/// One column of the scheduler statistics of each thread: 0 is the time spent on a core, 1 the time spent waiting for
/// a core.
fn schedule(process: u32, column: usize) -> HashMap<u32, Duration> {
    let Ok(tasks) = std::fs::read_dir(format!("/proc/{process}/task")) else { return HashMap::new() };
    let time = |task: std::fs::DirEntry| {
        let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        let nanos = text.split_whitespace().nth(column)?.parse().ok()?;
        Some((task.file_name().to_str()?.parse().ok()?, Duration::from_nanos(nanos)))
    };
    tasks.filter_map(|task| time(task.ok()?)).collect()
}

fn failed(reason: &str) -> CapacityError {
    CapacityError::Measurement { subject: "relay", reason: reason.to_owned() }
}

async fn is_ready(address: SocketAddr) -> bool {
    let response_is_ok = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nhost: r\r\nconnection: close\r\n\r\n").await.ok()?;
        let mut text = Vec::new();
        stream.read_buf(&mut text).await.ok()?;
        Some(text.starts_with(b"HTTP/1.1 200"))
    };
    tokio::time::timeout(Duration::from_secs(30), response_is_ok).await.ok().flatten().unwrap_or(false)
}
