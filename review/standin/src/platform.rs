//! The platform under test: discovery and the receiver of notices, endpoints, clients, and the configuration of a relay.
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http1::{self, Reply};
use crate::process::{Folder, Record, Relay, free_address, wait_until};

/// What the stand-ins saw, by the id of the message.
#[derive(Default)]
pub struct Seen {
    pub calls: HashMap<String, Vec<Instant>>,
    pub delivered: HashMap<String, Instant>,
    pub notices: HashMap<String, Vec<(Instant, String)>>,
}

/// A message that a client handed in.
pub struct Message {
    pub id: String,
    pub sent: Instant,
    pub deadline: Instant,
    pub answer: u16,
}

pub struct Platform {
    pub root: PathBuf,
    pub folder: Folder,
    pub listen: SocketAddr,
    listener: TcpListener,
    pub seen: Arc<Mutex<Seen>>,
    record: Arc<Record>,
    discovery: SocketAddr,
    /// The arguments behind `run`.
    pub arguments: String,
}

impl Platform {
    /// Starts discovery and one endpoint for each destination, numbered from 1, which answers 200 after so long.
    pub fn start(
        root: &Path,
        record: &Arc<Record>,
        endpoints: &[Duration],
        slots: u32,
        held: u32,
    ) -> io::Result<Platform> {
        let folder = Folder::create()?;
        let seen = Arc::new(Mutex::new(Seen::default()));
        let mut entries = Vec::new();
        for (index, takes) in endpoints.iter().copied().enumerate() {
            let (cell, seen, log) = (index + 1, seen.clone(), record.clone());
            let address = http1::serve(move |request| {
                let id = request.header("x-request-id").unwrap_or_default().to_owned();
                log.line(format!("endpoint {cell}: call with {id}"));
                seen.lock().unwrap().calls.entry(id.clone()).or_default().push(Instant::now());
                sleep(takes);
                seen.lock().unwrap().delivered.entry(id).or_insert_with(Instant::now);
                Reply(200, Vec::new())
            })?;
            entries.push(format!(
                r#"{{"instanceId":"s-{cell}","hostPort":"{address}","zone":"a","machineType":"m","cell":{cell},"lifecycle":"SERVING","weight":20.0,"startedAtMs":0}}"#
            ));
        }
        let list = entries.join(",");
        let (ends, log) = (seen.clone(), record.clone());
        let discovery = http1::serve(move |request| {
            if request.path == "/reports" {
                for line in String::from_utf8_lossy(&request.body).lines() {
                    log.line(format!("notice: {line}"));
                    let id =
                        line.split("\"id\":\"").nth(1).and_then(|rest| rest.split('"').next()).unwrap_or("");
                    let notice = (Instant::now(), line.to_owned());
                    ends.lock().unwrap().notices.entry(id.to_owned()).or_default().push(notice);
                }
                return Reply(204, Vec::new());
            }
            let wait = request.path.split("wait=").nth(1).and_then(|wait| wait.parse().ok());
            let (reset, instances) = match wait {
                Some(millis) => {
                    sleep(Duration::from_millis(millis));
                    (false, "")
                }
                None => (true, list.as_str()),
            };
            let body = format!(r#"{{"generation":1,"reset":{reset},"instances":[{instances}]}}"#);
            Reply(200, body.into_bytes())
        })?;
        // The platform holds the clients' listening socket.
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let listen = listener.local_addr()?;
        // The figures of kulku-main, with the slots and the messages held of a small relay.
        let configuration = format!(
            r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3}},
"settings":{{"step":5000000,"replicas_of_me":1,"zone":"a","zones":["a"],"shapes":["m"],"membership_mode":"subscribe","weights":"nominal",
"categories":[
{{"name":"disruption-notice","aim":1000000000,"give_up":6000000000,"effect":"read_like","late_worth":0.0,"credit":1.0}},
{{"name":"ticket-order","aim":4000000000,"give_up":28000000000,"effect":"idempotency_key","group":"all","window":7500000000,"late_worth":0.3,"credit":2.0}}],
"extra":{{"max_calls":{slots},"own_limits":[false],"bundle_max":[1]}},
"policy_limits":{{"most_tries":8,"most_held":{held},"max_retry_after":3000000000,"idle_close":10000000000,"dial_timeout":1500000000,"retry_after":true}},
"rules":{{"cold":14000000000,"cold_share":0.18,"fall":3000000000,"fall_multiple":2.0,"must_ask_in":10000000000}}}}}}"#
        );
        std::fs::write(folder.0.join("config.json"), configuration)?;
        std::fs::create_dir_all(folder.0.join("state"))?;
        Ok(Platform {
            root: root.to_owned(),
            folder,
            listen,
            listener,
            seen,
            record: record.clone(),
            discovery,
            arguments: String::new(),
        })
    }

    /// Starts a process of the relay with the clients' socket and an admin address of its own. Returns it and that address.
    pub fn relay(&self, name: &str) -> io::Result<(Relay, SocketAddr)> {
        let admin = free_address()?;
        let path = |name: &str| self.folder.0.join(name).display().to_string();
        let variables = [
            ("BALANCER_CONFIG", path("config.json")),
            ("BALANCER_STATE", path("state")),
            ("BALANCER_NAME", "n1".to_owned()),
            ("BALANCER_LISTEN", self.listen.to_string()),
            ("BALANCER_DISCOVERY", self.discovery.to_string()),
            ("BALANCER_ADMIN", admin.to_string()),
            ("BALANCER_PASSED_SOCKET", "4".to_owned()),
        ];
        let log = self.folder.0.join(format!("{name}.log"));
        let relay = Relay::start(&self.root, &self.arguments, &variables, &log, Some(&self.listener))?;
        Ok((relay, admin))
    }

    /// Waits until a process says at its admin address that it can serve.
    pub fn says_ready(&self, admin: SocketAddr, most: Duration) -> bool {
        wait_until(most, || http1::get(admin, "/-/ready").is_ok_and(|status| status == 200))
    }

    /// Waits until the relay is put to use.
    pub fn in_use(&self, most: Duration) -> bool {
        wait_until(most, || http1::get(self.listen, "/ready").is_ok_and(|status| status == 200))
    }

    /// Hands in a message. The answer is 0 if there was none within 400 ms.
    pub fn hand_in(&self, id: &str, class: &str, dest: usize, time: Duration) -> Message {
        let body = format!("message {id}");
        let request = format!(
            "POST /{class} HTTP/1.1\r\nHost: relay\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n\
             X-Timeout-Ms: {}\r\nIdempotency-Key: key-{id}\r\nContent-Length: {}\r\nX-Envelope: dest={dest}\r\n\r\n{body}",
            time.as_millis(),
            body.len(),
        );
        let sent = Instant::now();
        let answer = http1::call(self.listen, request.as_bytes(), Duration::from_millis(400)).unwrap_or(0);
        self.record
            .line_at(sent, format!("{id}: {class} for {dest}, {} ms, answered {answer}", time.as_millis()));
        Message { id: id.to_owned(), sent, deadline: sent + time, answer }
    }
}

/// The messages that were taken on and neither delivered nor ended by a notice by 350 ms behind their time, with the
/// figures of each.
pub fn lost(platform: &Platform, record: &Record, messages: &[Message]) -> Vec<String> {
    let slack = Duration::from_millis(350);
    let seen = platform.seen.lock().unwrap();
    let mut faults = Vec::new();
    let mut ids = HashSet::new();
    for message in messages.iter().filter(|message| ids.insert(&message.id)) {
        let id = &message.id;
        let notice = seen.notices.get(id).and_then(|notices| notices.first());
        let delivered = seen.delivered.get(id);
        let end = delivered.copied().into_iter().chain(notice.map(|(at, _)| *at)).min();
        let calls = seen.calls.get(id).map_or(0, Vec::len);
        let text = format!(
            "{id}: answered {}, its time was up at {}, {calls} calls, delivered {:?}, notice {:?}",
            message.answer,
            record.at(message.deadline),
            delivered.map(|at| record.at(*at)),
            notice.map(|(at, text)| format!("{} {text}", record.at(*at))),
        );
        record.line_at(message.sent, &text);
        if matches!(message.answer, 200 | 202) && end.is_none_or(|end| end > message.deadline + slack) {
            faults.push(text);
        }
    }
    faults
}
