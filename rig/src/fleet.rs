//! The processes: started in folders of their own, ended, stopped and started again, and what they log.
use onyxglade_lab::experiment::RelayTable;
use onyxglade_lab::relay::configuration;
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

use crate::history::{Event, What};
use crate::schedule::Folder;
use crate::system_faults::SystemFault;

/// After SIGTERM a process has so long.
const WIND_DOWN: Duration = Duration::from_millis(3700);
/// How often it is looked whether a process is ready.
const LOOK: Duration = Duration::from_millis(50);
/// The shim's control file is always so long, which is as much as the shim reads.
const CONTROL_BYTES: usize = 1024;
/// Relays have addresses of their own, so that no connection's own port can be in their way.
pub const FIRST: u32 = 0x7f20_0001;

/// One relay: its folder and address, and its process while one runs.
pub struct Relay {
    pub number: usize,
    pub address: SocketAddr,
    /// Where it listens for other relays.
    pub instances: SocketAddr,
    program: PathBuf,
    /// Loaded into its processes, where their system is to fail.
    shim: Option<PathBuf>,
    /// What their system does wrong just now.
    struck: RefCell<Vec<SystemFault>>,
    folder: PathBuf,
    life: RefCell<Option<Rc<Life>>>,
    events: Rc<RefCell<Vec<Event>>>,
    start: Instant,
}

/// One process.
struct Life {
    pid: Pid,
    /// It is still there to be signalled.
    runs: Cell<bool>,
    /// It said that it can serve.
    ready: Cell<bool>,
    /// Its end is the schedule's doing.
    told: Cell<bool>,
    ended: Notify,
}

impl Relay {
    /// A relay's folder, with its files in it.
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
        let fault = |what: &str, e: io::Error| format!("r{number}: {what}: {e}");
        let ip = Ipv4Addr::from(FIRST + number as u32);
        // Both are held until both are known, so that they differ.
        let port = || std::net::TcpListener::bind((ip, 0)).and_then(|l| Ok((l.local_addr()?, l)));
        let (address, _held) = port().map_err(|e| fault("no port", e))?;
        let (instances, _held) = port().map_err(|e| fault("no port", e))?;
        let folder = folder.join(format!("r{number}"));
        fs::create_dir_all(folder.join("state")).map_err(|e| fault("its folder", e))?;
        let mut told = configuration(table, &format!("n{number}"), address, list, seed);
        told["known"] = known.unwrap_or(Value::Null);
        if told["known"].is_null() {
            told.as_object_mut().map(|told| told.remove("known"));
        }
        for (name, text) in [("config.json", told.to_string()), ("log", String::new())] {
            fs::write(folder.join(name), text).map_err(|e| fault(name, e))?;
        }
        let program = program.to_owned();
        Ok(Rc::new(Relay {
            number,
            address,
            instances,
            program,
            shim,
            struck: RefCell::default(),
            folder,
            life: RefCell::default(),
            events,
            start,
        }))
    }

    /// Writes its own file.
    pub fn write_own(&self, own: &toml::Table) -> Result<(), String> {
        let text = toml::to_string(own).map_err(|e| format!("relay.own: {e}"))?;
        fs::write(self.folder.join("own.toml"), text)
            .map_err(|e| format!("r{}: its own file: {e}", self.number))
    }

    fn tell(&self, what: What) {
        self.events.borrow_mut().push(Event { at: self.start.elapsed(), relay: self.number, what });
    }

    fn state(&self) -> PathBuf {
        self.folder.join("state")
    }

    /// Starts its process.
    pub fn start(self: &Rc<Self>) -> Result<(), String> {
        let fault = |what: &str, e: io::Error| format!("r{}: {what}: {e}", self.number);
        copy(&self.state(), &self.folder.join("earlier")).map_err(|e| fault("its folder", e))?;
        let mut command = Command::new(&self.program);
        command.env_clear();
        if let Some(shim) = &self.shim {
            self.write_control().map_err(|e| fault("the shim's control file", e))?;
            command
                .env("LD_PRELOAD", shim)
                .env("ONYXGLADE_SHIM_CONTROL", self.control())
                .env("ONYXGLADE_SHIM_FOLDER", self.state());
        }
        let log = std::env::var("ONYXGLADE_LOG").unwrap_or("info".into());
        let mut child = command
            .env("ONYXGLADE_LOG", log)
            .env("BALANCER_CONFIG", self.folder.join("config.json"))
            .env("BALANCER_STATE", self.state())
            .arg("--config")
            .arg(self.folder.join("own.toml"))
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .map_err(|e| fault("cannot be started", e))?;
        let pid = child.id().and_then(|id| Pid::from_raw(id as i32)).ok_or("a process that has ended")?;
        let life = Rc::new(Life {
            pid,
            runs: Cell::new(true),
            ready: Cell::new(false),
            told: Cell::new(false),
            ended: Notify::new(),
        });
        self.life.replace(Some(life.clone()));
        self.tell(What::Started);
        let out = child.stdout.take().expect("piped");
        spawn_local(self.clone().follow(child, BufReader::new(out), life));
        Ok(())
    }

    /// Reads what a process logs, to its end.
    async fn follow(
        self: Rc<Self>,
        mut child: Child,
        out: BufReader<tokio::process::ChildStdout>,
        life: Rc<Life>,
    ) {
        let mut log = fs::OpenOptions::new().append(true).open(self.folder.join("log")).ok();
        let mut lines = out.lines();
        while let Ok(Some(line)) = lines.next_line().await {
            self.heard(&line, &life);
            if let Some(log) = &mut log {
                let _ = writeln!(log, "{line}");
            }
        }
        let code = child.wait().await.ok().and_then(|status| status.code());
        life.runs.set(false);
        self.tell(What::Gone);
        life.ended.notify_waiters();
        if !life.told.get() {
            self.tell(What::Crashed(code));
        }
    }

    fn heard(&self, line: &str, life: &Life) {
        if line.contains("platform front is ready") {
            life.ready.set(true);
            self.tell(What::Ready);
        } else if let Some(word) = line.split("instances: member is ").nth(1) {
            let name = word.split("name=\"n").nth(1).and_then(|name| name.split('"').next());
            let Some(other) = name.and_then(|name| name.parse().ok()) else { return };
            self.tell(if word.starts_with("down") { What::Misses(other) } else { What::Sees(other) });
        } else if line.contains("list of execute nodes") {
            let generation = line.split("generation=").nth(1).and_then(|g| g.split_whitespace().next());
            self.tell(What::Listed(generation.and_then(|g| g.parse().ok()).unwrap_or(0)));
        }
    }

    /// Waits until its present process is ready; false if it ends before.
    pub async fn ready(&self) -> bool {
        let Some(life) = self.life.borrow().clone() else { return false };
        while life.runs.get() && !life.ready.get() {
            sleep(LOOK).await;
        }
        life.ready.get()
    }

    pub fn runs(&self) -> bool {
        self.life.borrow().as_ref().is_some_and(|life| life.runs.get())
    }

    fn signal(&self, signal: Signal) -> Option<Rc<Life>> {
        let life = self.life.borrow().clone().filter(|life| life.runs.get())?;
        kill_process(life.pid, signal).ok()?;
        Some(life)
    }

    /// Ends its process: at once, or by SIGTERM with the time that is due then.
    pub async fn end(&self, at_once: bool) {
        let Some(life) = self.life.borrow().clone().filter(|life| life.runs.get()) else { return };
        if !life.told.replace(true) {
            self.tell(What::Ended);
        }
        if !at_once {
            self.signal(Signal::TERM);
            if timeout(WIND_DOWN, ended(&life)).await.is_ok() {
                return;
            }
        }
        // One that was stopped dies of it too.
        self.signal(Signal::KILL);
        ended(&life).await;
    }

    /// Starts it again, with its folder as the schedule has it.
    pub fn start_again(self: &Rc<Self>, folder: Folder) -> Result<(), String> {
        if self.runs() {
            return Ok(());
        }
        let fault = |e: io::Error| format!("r{}: its folder: {e}", self.number);
        match folder {
            Folder::Kept => {}
            Folder::Emptied => empty(&self.state()).map_err(fault)?,
            Folder::Earlier => {
                empty(&self.state()).map_err(fault)?;
                copy(&self.folder.join("earlier"), &self.state()).map_err(fault)?;
            }
        }
        self.start()
    }

    /// Has its system do something wrong from now on.
    pub fn strike(&self, fault: SystemFault) -> Result<(), String> {
        self.struck.borrow_mut().push(fault);
        self.write_control().map_err(|e| format!("r{}: the shim's control file: {e}", self.number))
    }

    /// Ends what its system does wrong.
    pub fn heal(&self, fault: SystemFault) -> Result<(), String> {
        let mut struck = self.struck.borrow_mut();
        if let Some(place) = struck.iter().position(|other| *other == fault) {
            struck.remove(place);
        }
        drop(struck);
        self.write_control().map_err(|e| format!("r{}: the shim's control file: {e}", self.number))
    }

    /// Has its process killed in the middle of its next write, or when it has written nothing for so long.
    pub async fn die_in_write(&self, torn: SystemFault, most: Duration) -> Result<(), String> {
        let Some(life) = self.life.borrow().clone().filter(|life| life.runs.get()) else { return Ok(()) };
        let by_schedule = !life.told.replace(true);
        self.strike(torn)?;
        if timeout(most, ended(&life)).await.is_err() {
            self.signal(Signal::KILL);
            ended(&life).await;
        }
        if by_schedule {
            self.tell(What::Ended);
        }
        self.heal(torn)
    }

    fn control(&self) -> PathBuf {
        self.folder.join("system-faults")
    }

    /// Written over in place, so that the shim, which keeps it open, never reads half of it.
    fn write_control(&self) -> io::Result<()> {
        let lines: Vec<_> = self.struck.borrow().iter().map(SystemFault::line).collect();
        let mut text = lines.join("\n").into_bytes();
        text.resize(CONTROL_BYTES, b'\n');
        let file = fs::OpenOptions::new().write(true).create(true).truncate(false).open(self.control())?;
        file.write_all_at(&text, 0)
    }

    /// Stops it for so long.
    pub async fn stop(&self, time: Duration) {
        if self.signal(Signal::STOP).is_none() {
            return;
        }
        self.tell(What::Stopped);
        sleep(time).await;
        if self.signal(Signal::CONT).is_some() {
            self.tell(What::GoesOn);
        }
    }

    /// Has it read its configuration anew.
    pub fn hup(&self) {
        if self.signal(Signal::HUP).is_some() {
            self.tell(What::Reloaded);
        }
    }
}

async fn ended(life: &Life) {
    while life.runs.get() {
        let _ = timeout(Duration::from_millis(50), life.ended.notified()).await;
    }
}

fn empty(folder: &Path) -> io::Result<()> {
    fs::remove_dir_all(folder)?;
    fs::create_dir_all(folder)
}

/// Copies plain files; the folder that lasts has no others below it.
fn copy(from: &Path, to: &Path) -> io::Result<()> {
    fs::create_dir_all(to)?;
    for entry in fs::read_dir(from)? {
        let entry = entry?;
        if entry.file_type()?.is_file() {
            fs::copy(entry.path(), to.join(entry.file_name()))?;
        }
    }
    Ok(())
}
