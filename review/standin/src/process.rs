//! Starts relays by the deploy file, sends them signals, and keeps the record of a case.
use std::fmt::Display;
use std::fs::File;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Mutex;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The record of a case: what was sent, answered and run, with the time since its start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record { start: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    pub fn line(&self, text: impl Display) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: impl Display) {
        let at = at.saturating_duration_since(self.start).as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }

    /// A line that is printed as well.
    pub fn say(&self, text: impl Display) {
        println!("{text}");
        self.line(text);
    }

    pub fn at(&self, at: Instant) -> String {
        format!("{:.3}", at.saturating_duration_since(self.start).as_secs_f64())
    }
}

/// An address of the loopback interface that nobody uses now.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// The value of a key of deploy/balancer.toml.
fn deploy_key(root: &Path, key: &str) -> io::Result<String> {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml"))?;
    let value = text
        .lines()
        .find_map(|line| line.strip_prefix(key)?.trim().strip_prefix('=')?.trim().split('"').nth(1));
    value.map(str::to_owned).ok_or_else(|| io::Error::other(format!("deploy/balancer.toml has no {key}")))
}

/// A process of the relay. It is killed when this is dropped.
pub struct Relay {
    child: Child,
}

impl Relay {
    /// Starts `run` of the deploy file, with more arguments behind it, as the platform does: by the shell, from the root.
    /// `passed` is a listening socket that the process inherits as descriptor 4.
    pub fn start(
        root: &Path,
        arguments: &str,
        variables: &[(&str, String)],
        log: &Path,
        passed: Option<&TcpListener>,
    ) -> io::Result<Relay> {
        let mut run = deploy_key(root, "run")?;
        let mut input = Stdio::null();
        if let Some(listener) = passed {
            // The shell moves the socket from its standard input to descriptor 4.
            input = Stdio::from(OwnedFd::from(listener.try_clone()?));
            run = format!("exec 4<&0 0</dev/null; {run}");
        }
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(format!("{run} {arguments}")).current_dir(root);
        for name in ["CONFIG", "STATE", "NAME", "LISTEN", "DISCOVERY", "ADMIN", "PASSED_SOCKET"] {
            command.env_remove(format!("BALANCER_{name}"));
        }
        command.env("ONYXGLADE_LOG", "onyxglade=debug").envs(variables.iter().map(|(k, v)| (*k, v.as_str())));
        let child = command.stdin(input).stdout(log.try_clone()?).stderr(log).spawn()?;
        Ok(Relay { child })
    }

    /// Sends a signal, such as TERM.
    pub fn signal(&self, signal: &str) {
        let kill = format!("kill -{signal} {}", self.child.id());
        let _ = Command::new("/bin/sh").arg("-c").arg(kill).status();
    }

    /// Waits for the end of the process, for so long at most.
    pub fn wait(&mut self, most: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + most;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            if Instant::now() >= until {
                return None;
            }
            sleep(Duration::from_millis(5));
        }
    }

    /// SIGTERM, and SIGKILL 3.7 s later if it still runs. Returns how it ended.
    pub fn terminate(&mut self) -> Option<ExitStatus> {
        self.signal("TERM");
        if let Some(status) = self.wait(Duration::from_millis(3700)) {
            return Some(status);
        }
        let _ = self.child.kill();
        self.wait(Duration::from_secs(2))
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A temporary folder that is removed when this is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> io::Result<Folder> {
        let base = std::env::var_os("TMPDIR").map_or_else(|| PathBuf::from("/tmp"), PathBuf::from);
        let nanos =
            std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default().as_nanos();
        let folder = base.join(format!("review-{}-{nanos}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        Ok(Folder(folder))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        } else {
            println!("kept: {}", self.0.display());
        }
    }
}

/// Waits until something is so, for so long at most.
pub fn wait_until(most: Duration, mut is_so: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + most;
    while !is_so() {
        if Instant::now() >= until {
            return false;
        }
        sleep(Duration::from_millis(5));
    }
    true
}
