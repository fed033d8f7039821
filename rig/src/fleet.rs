//! The relay processes: starting them in folders of their own, stopping and restarting them, and reading their logs.
use onyxglade_lab::experiment::RelayTable;
use onyxglade_lab::relay::configuration;
use onyxglade_lab::reserved_address::ReservedAddress;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::fs;
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::history::{Event, EventKind};
use crate::schedule::StateFolder;
use crate::system_faults::SystemFault;

/// Time that a process has to exit after SIGTERM.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(3700);
/// How often to check whether a process is ready.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long a second start beside a running process may take to end, also while its folder fails.
const SECOND_START_TIMEOUT: Duration = Duration::from_secs(10);
/// How often the memory of a process is measured; its own peak is read, so a short one is not missed.
const MEMORY_INTERVAL: Duration = Duration::from_millis(100);
/// The program's exit code if another process uses its state folder.
const EXIT_IN_USE: i32 = 3;
/// Size of the shim's control file, which is the maximum that the shim reads.
const CONTROL_BYTES: usize = 1024;
/// Address of the first relay; the others follow it. Each relay has an address of its own, so that the local port of no outgoing
/// connection can collide with its listeners.
pub const FIRST_ADDRESS: u32 = 0x7f20_0001;

/// One relay: its folder and address, and its process while one runs.
pub struct Relay {
    pub number: usize,
    pub address: SocketAddr,
    /// Where it listens for other relays.
    pub peer_address: SocketAddr,
    /// Keeps both addresses while no process of the relay listens on them.
    _reserved: [ReservedAddress; 2],
    program: PathBuf,
    /// The shim to preload into its processes, if system faults are scheduled.
    shim: Option<PathBuf>,
    /// System faults in force.
    active_faults: RefCell<Vec<SystemFault>>,
    folder: PathBuf,
    /// The configured memory, in bytes.
    memory_limit: f64,
    process: RefCell<Option<Rc<Process>>>,
    events: Rc<RefCell<Vec<Event>>>,
    start: Instant,
}

/// One process of a relay.
struct Process {
    pid: Pid,
    /// Whether it has not exited, so that it can be signalled.
    runs: Cell<bool>,
    /// Whether it logged that it is ready to serve.
    ready: Cell<bool>,
    /// Whether the schedule ended it.
    end_requested: Cell<bool>,
    exited: Notify,
}

impl Relay {
    /// Creates a relay's folder and writes its configuration.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        program: &Path,
        folder: &Path,
        number: usize,
        table: &RelayTable,
        list: SocketAddr,
        known: Option<Value>,
        seed: u64,
        shim: Option<PathBuf>,
        (events, start): (Rc<RefCell<Vec<Event>>>, Instant),
    ) -> Result<Rc<Relay>, String> {
        let describe = |what: &str, e: io::Error| format!("r{number}: {what}: {e}");
        let ip = Ipv4Addr::from(FIRST_ADDRESS + number as u32);
        let reserve = || ReservedAddress::new(ip).map_err(|e| describe("no free port", e));
        let (reserved, reserved_peer) = (reserve()?, reserve()?);
        let (address, peer_address) = (reserved.address(), reserved_peer.address());
        let folder = folder.join(format!("r{number}"));
        fs::create_dir_all(folder.join("state")).map_err(|e| describe("cannot prepare its folder", e))?;
        let mut config = configuration(table, &format!("n{number}"), address, list, seed);
        config["known"] = known.unwrap_or(Value::Null);
        if config["known"].is_null() {
            config.as_object_mut().map(|config| config.remove("known"));
        }
        for (name, text) in [("config.json", config.to_string()), ("log", String::new())] {
            fs::write(folder.join(name), text).map_err(|e| describe(name, e))?;
        }
        let program = program.to_owned();
        Ok(Rc::new(Relay {
            number,
            address,
            peer_address,
            _reserved: [reserved, reserved_peer],
            program,
            shim,
            active_faults: RefCell::default(),
            folder,
            memory_limit: table.memory_mb * 1e6,
            process: RefCell::default(),
            events,
            start,
        }))
    }

    /// Writes the relay's own configuration file.
    pub fn write_own(&self, own: &toml::Table) -> Result<(), String> {
        let text = toml::to_string(own).map_err(|e| format!("relay.own: {e}"))?;
        fs::write(self.folder.join("own.toml"), text)
            .map_err(|e| format!("r{}: cannot write its own configuration file: {e}", self.number))
    }

    fn record(&self, kind: EventKind) {
        self.events.borrow_mut().push(Event { at: self.start.elapsed(), relay: self.number, kind });
    }

    fn state_folder(&self) -> PathBuf {
        self.folder.join("state")
    }

    /// Starts a process.
    pub fn start(self: &Rc<Self>) -> Result<(), String> {
        let describe = |what: &str, e: io::Error| format!("r{}: {what}: {e}", self.number);
        copy_files(&self.state_folder(), &self.folder.join("earlier"))
            .map_err(|e| describe("cannot prepare its folder", e))?;
        if self.shim.is_some() {
            self.write_control().map_err(|e| describe("cannot write the shim's control file", e))?;
        }
        let spawned = self.command().stdout(Stdio::piped()).spawn();
        let mut child = spawned.map_err(|e| describe("cannot be started", e))?;
        let pid =
            child.id().and_then(|id| Pid::from_raw(id as i32)).ok_or("the process has already exited")?;
        let process = Rc::new(Process {
            pid,
            runs: Cell::new(true),
            ready: Cell::new(false),
            end_requested: Cell::new(false),
            exited: Notify::new(),
        });
        self.process.replace(Some(process.clone()));
        self.record(EventKind::Started);
        let output = child.stdout.take().expect("piped");
        spawn_local(self.clone().watch_memory(process.clone()));
        spawn_local(self.clone().follow_log(child, BufReader::new(output), process));
        Ok(())
    }

    /// Records once if a process, with the files in its folder, takes more memory than configured.
    async fn watch_memory(self: Rc<Self>, process: Rc<Process>) {
        while process.runs.get() {
            let files = folder_bytes(&self.state_folder());
            let bytes = peak_resident(process.pid).map_or(0.0, |resident| resident + files);
            if bytes > self.memory_limit {
                return self.record(EventKind::OverMemory(bytes / 1e6));
            }
            sleep(MEMORY_INTERVAL).await;
        }
    }

    /// The command that runs the program.
    fn command(&self) -> Command {
        let mut command = Command::new(&self.program);
        command.env_clear();
        if let Some(shim) = &self.shim {
            command
                .env("LD_PRELOAD", shim)
                .env("ONYXGLADE_SHIM_CONTROL", self.control_path())
                .env("ONYXGLADE_SHIM_FOLDER", self.state_folder());
        }
        let log = std::env::var("ONYXGLADE_LOG").unwrap_or("info".into());
        command
            .env("ONYXGLADE_LOG", log)
            .env("BALANCER_CONFIG", self.folder.join("config.json"))
            .env("BALANCER_STATE", self.state_folder())
            .arg("--config")
            .arg(self.folder.join("own.toml"))
            .kill_on_drop(true);
        command
    }

    /// Starts the program a second time beside the running process, and waits until it ends. Any other end than that the folder is in
    /// use counts as a crash.
    pub async fn start_again(&self) -> Result<(), String> {
        if !self.runs() {
            return Ok(());
        }
        let describe = |e: io::Error| format!("r{}: cannot be started a second time: {e}", self.number);
        let log = fs::File::create(self.folder.join("log-second")).map_err(describe)?;
        let mut second = self.command().stdout(log).spawn().map_err(describe)?;
        let ended = timeout(SECOND_START_TIMEOUT, second.wait()).await;
        let code = ended.ok().and_then(Result::ok).and_then(|status| status.code());
        if code != Some(EXIT_IN_USE) {
            self.record(EventKind::Crashed(code));
        }
        Ok(())
    }

    /// Reads the log of a process until it exits.
    async fn follow_log(
        self: Rc<Self>,
        mut child: Child,
        output: BufReader<tokio::process::ChildStdout>,
        process: Rc<Process>,
    ) {
        let mut log = fs::OpenOptions::new().append(true).open(self.folder.join("log")).ok();
        let mut lines = output.lines();
        while let Ok(Some(line)) = lines.next_line().await {
            self.record_log_line(&line, &process);
            if let Some(log) = &mut log {
                let _ = writeln!(log, "{line}");
            }
        }
        let code = child.wait().await.ok().and_then(|status| status.code());
        process.runs.set(false);
        self.record(EventKind::Exited);
        process.exited.notify_waiters();
        if !process.end_requested.get() {
            self.record(EventKind::Crashed(code));
        }
    }

    fn record_log_line(&self, line: &str, process: &Process) {
        if line.contains("platform front is ready") {
            process.ready.set(true);
            self.record(EventKind::Ready);
        } else if let Some(change) = line.split("instances: member is ").nth(1) {
            let name = change.split("name=\"n").nth(1).and_then(|name| name.split('"').next());
            let Some(other) = name.and_then(|name| name.parse().ok()) else { return };
            self.record(if change.starts_with("down") {
                EventKind::Misses(other)
            } else {
                EventKind::Sees(other)
            });
        } else if line.contains("list of execute nodes") {
            let generation = line.split("generation=").nth(1).and_then(|g| g.split_whitespace().next());
            self.record(EventKind::Listed(generation.and_then(|g| g.parse().ok()).unwrap_or(0)));
        }
    }

    /// Waits until the current process is ready; false if it exits first.
    pub async fn ready(&self) -> bool {
        let Some(process) = self.process.borrow().clone() else { return false };
        while process.runs.get() && !process.ready.get() {
            sleep(POLL_INTERVAL).await;
        }
        process.ready.get()
    }

    pub fn runs(&self) -> bool {
        self.process.borrow().as_ref().is_some_and(|process| process.runs.get())
    }

    fn signal(&self, signal: Signal) -> Option<Rc<Process>> {
        let process = self.process.borrow().clone().filter(|process| process.runs.get())?;
        kill_process(process.pid, signal).ok()?;
        Some(process)
    }

    /// Ends the process: with SIGKILL at once, or with SIGTERM and, after the time to exit, SIGKILL.
    pub async fn end(&self, at_once: bool) {
        let Some(process) = self.process.borrow().clone().filter(|process| process.runs.get()) else {
            return;
        };
        if !process.end_requested.replace(true) {
            self.record(EventKind::Ended);
        }
        if !at_once {
            self.signal(Signal::TERM);
            if timeout(SHUTDOWN_TIMEOUT, wait_for_exit(&process)).await.is_ok() {
                return;
            }
        }
        // SIGKILL also ends a process that is stopped.
        self.signal(Signal::KILL);
        wait_for_exit(&process).await;
    }

    /// Starts a new process unless one runs, with the state folder as the schedule specifies.
    pub fn restart(self: &Rc<Self>, folder: StateFolder) -> Result<(), String> {
        if self.runs() {
            return Ok(());
        }
        let describe = |e: io::Error| format!("r{}: cannot restore its folder: {e}", self.number);
        match folder {
            StateFolder::Kept => {}
            StateFolder::Emptied => clear_folder(&self.state_folder()).map_err(describe)?,
            StateFolder::Earlier => {
                clear_folder(&self.state_folder()).map_err(describe)?;
                copy_files(&self.folder.join("earlier"), &self.state_folder()).map_err(describe)?;
            }
        }
        self.start()
    }

    /// Injects a system fault until it is cleared.
    pub fn inject(&self, fault: SystemFault) -> Result<(), String> {
        self.active_faults.borrow_mut().push(fault);
        self.write_control()
            .map_err(|e| format!("r{}: cannot write the shim's control file: {e}", self.number))
    }

    /// Clears a system fault.
    pub fn clear_fault(&self, fault: SystemFault) -> Result<(), String> {
        let mut active_faults = self.active_faults.borrow_mut();
        if let Some(index) = active_faults.iter().position(|other| *other == fault) {
            active_faults.remove(index);
        }
        drop(active_faults);
        self.write_control()
            .map_err(|e| format!("r{}: cannot write the shim's control file: {e}", self.number))
    }

    /// Has the process killed in the middle of its next write, or after `max_wait` if it writes nothing.
    pub async fn kill_during_write(&self, torn_write: SystemFault, max_wait: Duration) -> Result<(), String> {
        let Some(process) = self.process.borrow().clone().filter(|process| process.runs.get()) else {
            return Ok(());
        };
        let by_schedule = !process.end_requested.replace(true);
        self.inject(torn_write)?;
        if timeout(max_wait, wait_for_exit(&process)).await.is_err() {
            self.signal(Signal::KILL);
            wait_for_exit(&process).await;
        }
        if by_schedule {
            self.record(EventKind::Ended);
        }
        self.clear_fault(torn_write)
    }

    fn control_path(&self) -> PathBuf {
        self.folder.join("system-faults")
    }

    /// Overwrites the control file in place with one write of fixed size, so that the shim, which keeps it open, never reads half of it.
    fn write_control(&self) -> io::Result<()> {
        let lines: Vec<_> = self.active_faults.borrow().iter().map(SystemFault::control_line).collect();
        let mut text = lines.join("\n").into_bytes();
        text.resize(CONTROL_BYTES, b'\n');
        let file =
            fs::OpenOptions::new().write(true).create(true).truncate(false).open(self.control_path())?;
        file.write_all_at(&text, 0)
    }

    /// Stops the process for a time.
    pub async fn stop(&self, time: Duration) {
        if self.signal(Signal::STOP).is_none() {
            return;
        }
        self.record(EventKind::Stopped);
        sleep(time).await;
        if self.signal(Signal::CONT).is_some() {
            self.record(EventKind::Resumed);
        }
    }

    /// Sends SIGHUP, so that the process reloads its configuration.
    pub fn reload(&self) {
        if self.signal(Signal::HUP).is_some() {
            self.record(EventKind::Reloaded);
        }
    }
}

/// The most memory that a process had resident, in bytes.
fn peak_resident(process: Pid) -> Option<f64> {
    let status = fs::read_to_string(format!("/proc/{}/status", process.as_raw_nonzero())).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kilobytes: f64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kilobytes * 1024.0)
}

/// The size of the files in a folder, in bytes.
fn folder_bytes(folder: &Path) -> f64 {
    let entries = fs::read_dir(folder).into_iter().flatten().flatten();
    entries.filter_map(|entry| Some(entry.metadata().ok()?.len() as f64)).sum()
}

async fn wait_for_exit(process: &Process) {
    while process.runs.get() {
        let _ = timeout(Duration::from_millis(50), process.exited.notified()).await;
    }
}

fn clear_folder(folder: &Path) -> io::Result<()> {
    fs::remove_dir_all(folder)?;
    fs::create_dir_all(folder)
}

/// Copies the regular files of a folder; the state folder has no subfolders.
fn copy_files(from: &Path, to: &Path) -> io::Result<()> {
    fs::create_dir_all(to)?;
    for entry in fs::read_dir(from)? {
        let entry = entry?;
        if entry.file_type()?.is_file() {
            fs::copy(entry.path(), to.join(entry.file_name()))?;
        }
    }
    Ok(())
}
