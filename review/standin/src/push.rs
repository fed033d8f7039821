//! The push front under test: its file, its gateway and its receiver of notices.
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::h2::{Answer, Client, Server};
use crate::process::{Folder, Record, Relay, free_address, wait_until};

/// What the stand-ins saw.
#[derive(Default)]
pub struct Seen {
    /// When each message ran at the gateway, by its body.
    pub runs: HashMap<String, Vec<Instant>>,
    /// The notices, by the id of the message.
    pub notices: HashMap<String, Vec<(Instant, String)>>,
}

/// A gateway, the receiver of notices, and the file of a push front that uses them.
pub struct Push {
    pub root: PathBuf,
    pub folder: Folder,
    pub listen: SocketAddr,
    pub seen: Arc<Mutex<Seen>>,
    _gateway: Server,
    _notices: Server,
}

impl Push {
    /// `rate` is what the gateway is listed to take a second, `takes` how long it works on a message.
    pub fn start(root: &Path, record: &Arc<Record>, rate: u32, takes: Duration) -> io::Result<Push> {
        let folder = Folder::create()?;
        let seen = Arc::new(Mutex::new(Seen::default()));
        let (runs, log) = (seen.clone(), record.clone());
        let gateway = Server::start(move |body| {
            log.line(format!("gateway: runs {body}"));
            runs.lock().unwrap().runs.entry(body.to_owned()).or_default().push(Instant::now());
            Answer { after: takes, status: 201 }
        })?;
        let (ends, log) = (seen.clone(), record.clone());
        let notices = Server::start(move |body| {
            for line in body.lines() {
                log.line(format!("notice: {line}"));
                let id = line.split("\"id\":\"").nth(1).and_then(|rest| rest.split('"').next()).unwrap_or("");
                let notice = (Instant::now(), line.to_owned());
                ends.lock().unwrap().notices.entry(id.to_owned()).or_default().push(notice);
            }
            Answer { after: Duration::ZERO, status: 204 }
        })?;
        let listen = free_address()?;
        // As deploy/push.toml, with addresses of this case and a listed rate.
        let text = format!(
            r#"[push]
listen = "{listen}"
notices = "{}"
state = "{}"
disk_mb = 64
body_limit = 4096

[limits]
relays = 1
slots = 64
jobs = 512
tries = 8

[[class]]
name = "ticket-order"
aim_ms = 4000
give_up_ms = 28000
repeat = "never"
worth = 2.0
late_worth = 0.3

[[class]]
name = "disruption-notice"
aim_ms = 1000
give_up_ms = 6000
repeat = "safe"

[[upstream]]
name = "apps"
rate = {rate}.0
server = [{{ address = "{}" }}]

[[location]]
path = "/push/"
upstream = "apps"
class = "disruption-notice"

[[location]]
path = "/order/"
upstream = "apps"
class = "ticket-order"
"#,
            notices.address,
            folder.0.join("push").display(),
            gateway.address,
        );
        std::fs::write(folder.0.join("push.toml"), text)?;
        Ok(Push { root: root.to_owned(), folder, listen, seen, _gateway: gateway, _notices: notices })
    }

    /// The arguments behind `run`.
    pub fn arguments(&self) -> String {
        format!("--config {}", self.folder.0.join("push.toml").display())
    }

    /// Starts a process of the relay with this front, with an admin address of its own.
    pub fn relay(&self, name: &str) -> io::Result<Relay> {
        let admin = [("BALANCER_ADMIN", free_address()?.to_string())];
        let log = self.folder.0.join(format!("{name}.log"));
        Relay::start(&self.root, &self.arguments(), &admin, &log, None)
    }

    /// Waits until the front accepts connections, and returns one.
    pub fn connect(&self) -> io::Result<Client> {
        let mut client = None;
        wait_until(Duration::from_secs(10), || {
            client = Client::connect(self.listen).ok();
            client.is_some()
        });
        client.ok_or_else(|| io::Error::other("the push front does not accept connections"))
    }
}
