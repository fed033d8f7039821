//! One relay process of a scale test: its start, its end by SIGKILL, and what `/proc` says of it.
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};

use super::CapacityError;

/// How long a relay may take to be ready.
const READY: Duration = Duration::from_secs(60);
/// How often a relay that starts is asked whether it is ready.
const POLL: Duration = Duration::from_millis(5);

/// What the system says of a process.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Processor time of all threads that live, as the scheduler counts it.
    pub cpu: Duration,
    /// Time that these threads were ready to run and waited for a core.
    pub without_core: Duration,
    /// Resident memory, in bytes.
    pub resident: u64,
    /// The most that it was since the process began.
    pub peak_resident: u64,
}

/// A relay process, killed when dropped.
pub struct RelayProcess {
    child: Child,
    id: u32,
    /// Where it takes messages.
    pub address: SocketAddr,
    /// From its start until it said that it was ready.
    pub ready_after: Duration,
}

/// Where a relay keeps its files, and how it is started.
pub struct RelayFolder {
    program: PathBuf,
    folder: PathBuf,
    address: SocketAddr,
}

impl RelayFolder {
    /// Writes a relay's configuration, which `configure` makes from the address to listen on.
    pub fn create(
        program: &Path,
        folder: &Path,
        configure: impl FnOnce(SocketAddr) -> serde_json::Value,
    ) -> Result<RelayFolder, CapacityError> {
        let fault = |source| CapacityError::File { path: folder.to_owned(), source };
        std::fs::create_dir_all(folder.join("state")).map_err(fault)?;
        // A port of its own: told by the system, then given up for the relay to take.
        let port = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).and_then(|l| l.local_addr());
        let address = port.map_err(fault)?;
        let configuration = configure(address).to_string();
        std::fs::write(folder.join("config.json"), configuration).map_err(fault)?;
        std::fs::write(folder.join("own.toml"), "").map_err(fault)?;
        Ok(RelayFolder { program: program.to_owned(), folder: folder.to_owned(), address })
    }

    /// Puts this into the relay's own file.
    pub fn write_own_file(&self, text: &str) -> Result<(), CapacityError> {
        let path = self.folder.join("own.toml");
        std::fs::write(&path, text).map_err(|source| CapacityError::File { path, source })
    }

    /// What the relay has logged since its last start.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// Starts the relay and waits until it is ready.
    pub async fn start(&self) -> Result<RelayProcess, CapacityError> {
        let fault = |source| CapacityError::File { path: self.folder.clone(), source };
        let log = std::fs::File::create(self.folder.join("log")).map_err(fault)?;
        let begun = Instant::now();
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
            .map_err(fault)?;
        let id = child.id().ok_or_else(|| failed("it ended at once"))?;
        let mut relay = RelayProcess { child, id, address: self.address, ready_after: Duration::ZERO };
        while !is_ready(self.address).await {
            if let Ok(Some(status)) = relay.child.try_wait() {
                let log = std::fs::read_to_string(self.folder.join("log")).unwrap_or_default();
                return Err(failed(&format!("it ended with {status}: {log}")));
            }
            if begun.elapsed() > READY {
                return Err(failed("it is not ready in time"));
            }
            tokio::time::sleep(POLL).await;
        }
        relay.ready_after = begun.elapsed();
        Ok(relay)
    }

    /// Bytes of the files in the folder that lasts.
    pub fn disk(&self) -> Result<u64, CapacityError> {
        let state = self.folder.join("state");
        let fault = |source| CapacityError::File { path: state.clone(), source };
        let entries = std::fs::read_dir(&state).map_err(fault)?;
        let sizes = entries.filter_map(|entry| entry.ok()?.metadata().ok()).map(|file| file.len());
        Ok(sizes.sum())
    }
}

impl RelayProcess {
    /// What the system says of the process now.
    pub fn usage(&self) -> Result<Usage, CapacityError> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id));
        let status = status.map_err(|e| failed(&format!("it is gone: {e}")))?;
        let bytes = |field| bytes_of(&status, field).ok_or_else(|| failed("its memory is not told"));
        let (resident, peak_resident) = (bytes("VmRSS:")?, bytes("VmHWM:")?);
        let without_core = schedule(self.id, 1).values().sum();
        Ok(Usage { cpu: thread_times(self.id).values().sum(), without_core, resident, peak_resident })
    }

    /// Ends the process by SIGKILL and waits for its end.
    pub async fn kill(mut self) -> Result<(), CapacityError> {
        self.child.kill().await.map_err(|e| failed(&format!("it cannot be ended: {e}")))
    }
}

/// A field of `/proc/PID/status` that is told in kilobytes.
fn bytes_of(status: &str, field: &str) -> Option<u64> {
    let text = status.lines().find_map(|line| line.strip_prefix(field))?;
    Some(text.trim().trim_end_matches("kB").trim().parse::<u64>().ok()? * 1024)
}

/// Processor time of each thread of a process that lives.
pub fn thread_times(process: u32) -> HashMap<u32, Duration> {
    schedule(process, 0)
}

/// One column of the scheduler's statistics of each thread: 0 is the time on a core, 1 that spent waiting for one.
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
    let call = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nhost: r\r\nconnection: close\r\n\r\n").await.ok()?;
        let mut text = Vec::new();
        stream.read_buf(&mut text).await.ok()?;
        Some(text.starts_with(b"HTTP/1.1 200"))
    };
    tokio::time::timeout(Duration::from_secs(30), call).await.ok().flatten().unwrap_or(false)
}
