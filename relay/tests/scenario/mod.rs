//! A small language for test scenarios, and the mock peers that play them against the relay's own program.
//!
//! A line is a verb (`send`, `expect`, `close` or `wait`), a party and words; `#` begins a comment. Parties:
//! - `relay`: the relay's process (`relay2` and `relay3` run beside it in an upgrade). Send start, term, kill, hup or
//!   bad-handover (bytes that are not the handover protocol, to the handover socket; truncated=yes: the beginning of a valid
//!   hello). Words of start and hup:
//!   - for the push front's file: drain=GATEWAY, limit=BYTES (`body_limit`), same_address (it listens where the process
//!     started before did), own_folder (a state folder that no other process uses);
//!   - for the platform's file: the keys that `settings` reads;
//!   - at the start only: passed=yes (the platform passes the listening socket on), files=N (the system's limit on
//!     descriptors), idle_setting=KEY:VALUE or backlog=FOLDER (a relay file with that key of `[idle]`, or with a backlog in
//!     that folder), instances=yes (a relay file by which it shares lists, with no other instance), slow_hook (with a script that loops for ever, in long steps, on messages for destination 8), admin=off (no admin address; admin=on: one for a push front alone), both (the
//!     platform front beside the push front; the process is ready once both are), faulty (the process ends before it is ready).
//!
//!   Expect log=PART or exit; expect measured: `descriptors` (the most that were seen open at once) `resident_mb`
//!   (peak resident memory) and `together_mb` (the most that all processes together had resident at once).
//! - `list`: discovery; `list2` (discovery=list2 in the settings) is a second server of the same list. Send
//!   NODE:DEST[:STATE[:NAME]] ...: it listens, and these are all nodes (NAME: listed under another name). Special values of STATE: HANG answers no watch; HEAD and HALF
//!   stop the answer of a watch after its head or in the middle of its body (expect silent); LOWER sets the generation to 1
//!   and answers watches from a later generation with an empty change list. Close: it stops listening. Expect returned or
//!   failed: a notice. Notices of the push front go to `ends`.
//! - `s...`: a submitter's connection over HTTP/1.1. Send a request (detached=yes: does not wait for the response;
//!   reset=yes: resets the connection after the request; answers=N: waits for N responses; flood=N: N bytes after a raw
//!   request), expect a status. `p...`: a submitter over HTTP/2.
//! - `m...`: many clients. Send COUNT: that many connect and send nothing (partial_line=BYTES: part of a request line; fields=N or
//!   field_bytes=BYTES: a head with N short fields or a long one, that does not end; body=BYTES: the head ends, and so much of a body of
//!   64 KiB follows; per_interval=BYTES: so many in 50 ms); expect connected or closed, with the `count` so far in hundreds.
//! - `f...`: a client that sends requests one behind another (see `flooding_client`).
//! - `a...` to `d...`: a client of the admin address of the process started last. Send a request, or `partial`: a request
//!   that is never completed.
//! - `x...`: an execute node whose accept queue is full until it is sent `open`; requests that arrive then are reported as
//!   `received`.
//! - `o...`: an execute node that answers each request with 200 at once, and reports none.
//! - `n...`: an execute node; `g...`: a gateway (`g3` allows one stream per connection). Expect POST, then send a status
//!   (to=BODY selects the request), raw=TEXT in its place (_ is a space, | a line break; flood=N: N bytes behind it), reset=CODE or goaway=LAST_STREAM.
//!   Expect cancelled: the relay gave the request up.
//!
//! `close X` ends a submitter's connection, or breaks a server's connections and stops listening. `close X connections` breaks
//! only the connections, `close X reset` breaks them by a TCP reset, and `close X after=BYTES` resets them after that many bytes
//! of the next request (reported as `partial`). `close list quiet`: discovery never answers on its open connections again and
//! keeps them open; requests on them are reported as `unanswered`.
//!
//! `expect` waits for an event that matches all words: `key=value`, `key=*`, `key<number`, `key>number`, `!key` (absent).
//! `expect X nothing` and `wait` take milliseconds. `expect X never WORDS`: no event so far matches them.
mod flooding_client;
mod http1;
mod http2;
mod stalled_clients;
mod usage;

use onyxglade_lab::reserved_address::ReservedAddress;
use std::collections::HashMap;
use std::fs;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

/// The hook script of scenarios whose file names one.
const HOOK: &str = r##"
    fn admit(job) {
        if job.size == 9 { return #{ refuse: true, after_ms: 7000 }; }
        if job.size == 7 { return #{ left_ms: 300, label: "short" }; }
        if job.size == 5 { throw "no"; }
    }
    fn outcome(job, outcome) {
        if outcome.kind == "error" { return #{ refuse: true, label: "given-up" }; }
        if outcome.kind == "full" { return #{ left_ms: 200 }; }
    }"##;

/// The file of a push front that passes orders, which may never be repeated, to the gateway g1.
#[allow(dead_code)] // Each test file uses only a part of this module.
pub const ORDERS_FILE: &str = r#"
[push]
listen = "127.0.0.1:0"
notices = "ends"
state = "FOLDER/push"

[[class]]
name = "order"
aim_ms = 4000
give_up_ms = 28000
repeat = "never"

[[upstream]]
name = "shops"
rate = 200.0
server = [{ address = "g1" }]

[[location]]
path = "/order/"
upstream = "shops"
class = "order"
"#;

/// A script that compares two arrays for ever.
const SLOW_HOOK: &str = r#"
    fn admit(job) {
        if job.dest == 8 {
            let numbers = [];
            for number in 0..250 { numbers.push(number); }
            let same = numbers;
            while numbers == same { }
        }
    }"#;

const TIMEOUT: Duration = Duration::from_secs(8);
/// How many events a failed `expect` reports.
const REPORTED_EVENTS: usize = 40;

/// Something that a party received or observed: its kind and fields, and where the reply to a request goes.
#[derive(Debug)]
pub struct Event {
    kind: String,
    fields: HashMap<String, String>,
    reply: Option<mpsc::UnboundedSender<Instruction>>,
}

/// What a party is to do: words, some with a value.
pub type Instruction = Vec<(String, String)>;

/// The value of a word of an instruction.
pub fn argument<'a>(instruction: &'a [(String, String)], key: &str) -> Option<&'a str> {
    instruction.iter().find(|(k, _)| k == key).map(|(_, v)| v.as_str())
}

/// Whether an instruction has a word.
fn has(instruction: &[(String, String)], word: &str) -> bool {
    argument(instruction, word).is_some()
}

struct Party {
    events: mpsc::UnboundedReceiver<Event>,
    /// Events that no `expect` has matched yet.
    unmatched: Vec<Event>,
    /// Requests without a response, by their bodies; the newest last.
    open_requests: Vec<(String, mpsc::UnboundedSender<Instruction>)>,
    instructions: mpsc::UnboundedSender<Instruction>,
    address: Option<SocketAddr>,
}

impl Party {
    /// The last events that nothing matched; a crowd causes thousands.
    fn describe_unmatched(&self) -> String {
        let hidden = self.unmatched.len().saturating_sub(REPORTED_EVENTS);
        format!("no match among {hidden} earlier events and {:#?}", &self.unmatched[hidden..])
    }
}

pub struct Harness {
    folder: tempfile::TempDir,
    parties: HashMap<String, Party>,
    /// By party name; an upgrade runs more than one.
    relays: HashMap<String, Child>,
    usages: HashMap<String, usage::Usage>,
    usage_together: usage::RelayUsage,
    /// The listening socket that the platform passes to the relay (passed=yes).
    socket: Option<std::net::TcpListener>,
    /// Listening addresses by front, as the relay logged them.
    addresses: HashMap<&'static str, SocketAddr>,
    list: watch::Sender<(u64, String)>,
    push: Option<String>,
    /// Where the relay listens for other instances.
    instance: Option<ReservedAddress>,
}

/// Plays a scenario; `push` is the push front's file, with party names in place of addresses.
pub fn play(push: Option<&str>, scenario: &str) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let mut harness = Harness {
            folder: tempfile::tempdir().expect("a folder"),
            parties: HashMap::new(),
            relays: HashMap::new(),
            usages: HashMap::new(),
            usage_together: usage::RelayUsage::default(),
            socket: None,
            addresses: HashMap::new(),
            list: watch::Sender::new((1, String::new())),
            push: push.map(str::to_owned),
            instance: None,
        };
        for (number, line) in scenario.lines().enumerate() {
            let words: Vec<&str> = line.split('#').next().unwrap_or("").split_whitespace().collect();
            let [verb, party, arguments @ ..] = &words[..] else { continue };
            if let Err(why) = harness.step(verb, party, arguments).await {
                // Without the panic hook, whose backtrace would be all that the end of a CI log shows.
                eprintln!("line {}: {}: {why}", number + 1, line.trim());
                std::panic::resume_unwind(Box::new("the scenario failed"));
            }
        }
    });
}

impl Harness {
    async fn step(&mut self, verb: &str, party: &str, arguments: &[&str]) -> Result<(), String> {
        let instruction: Instruction = arguments
            .iter()
            .map(|w| w.split_once('=').map_or((w.to_string(), String::new()), |(k, v)| (k.into(), v.into())))
            .collect();
        match (verb, party) {
            ("wait", ms) => tokio::time::sleep(millis(ms)?).await,
            ("send", "relay" | "relay2" | "relay3") => self.control(party, &instruction).await?,
            ("send", "list" | "list2") => {
                let list = arguments.iter().map(|w| self.entry(w)).collect::<Vec<_>>().join(",");
                let open = vec![("open".into(), String::new())];
                self.party(party).instructions.send(open).map_err(|_| "the party has ended")?;
                self.list
                    .send_modify(|(generation, entries)| (*generation, *entries) = (*generation + 1, list));
            }
            ("send", name) => {
                let party = self.party(name);
                let position = party
                    .open_requests
                    .iter()
                    .rposition(|(body, _)| target_body(&instruction).is_none_or(|to| to == body));
                let is_reply = name.starts_with(['n', 'g']) && instruction[0].0 != "goaway";
                let receiver = match position.filter(|_| is_reply) {
                    Some(i) => party.open_requests.remove(i).1,
                    None if is_reply => return Err("no such request is open".into()),
                    None => party.instructions.clone(),
                };
                receiver.send(instruction).map_err(|_| "the party has ended")?;
            }
            ("close", name) => {
                let how = arguments.first().unwrap_or(&"all").to_string();
                let party = self.party(name);
                party.instructions.send(vec![("close".into(), how)]).map_err(|_| "the party has ended")?;
                // A quiet server keeps its connections and requests open.
                if arguments.first() != Some(&"quiet") {
                    party.open_requests.clear();
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            ("expect", name) => {
                if arguments.first() == Some(&"measured") {
                    let measured = self.measure(name)?;
                    return if matches(&measured, arguments) {
                        Ok(())
                    } else {
                        Err(format!("measured {measured:?}"))
                    };
                }
                let party = self.party(name);
                if let ["never", words @ ..] = arguments {
                    party.unmatched.extend(std::iter::from_fn(|| party.events.try_recv().ok()));
                    let unexpected = party.unmatched.iter().find(|event| matches(event, words));
                    return unexpected.map_or(Ok(()), |event| Err(format!("unexpected {event:?}")));
                }
                if let ["nothing", ms] = arguments {
                    tokio::time::sleep(millis(ms)?).await;
                    party.unmatched.extend(std::iter::from_fn(|| party.events.try_recv().ok()));
                    let unexpected = party
                        .unmatched
                        .iter()
                        .find(|event| !["closed", "cancelled"].contains(&event.kind.as_str()));
                    return unexpected.map_or(Ok(()), |event| Err(format!("unexpected {event:?}")));
                }
                let wanted = async {
                    if let Some(i) = party.unmatched.iter().position(|event| matches(event, arguments)) {
                        return Some(party.unmatched.remove(i));
                    }
                    // Checks each event once: rescanning all of them for each of thousands of log lines would starve the mock
                    // peers, which run on the same thread.
                    loop {
                        let event = party.events.recv().await?;
                        if matches(&event, arguments) {
                            return Some(event);
                        }
                        party.unmatched.push(event);
                    }
                };
                let event = timeout(TIMEOUT, wanted).await.ok().flatten();
                let event = event.ok_or_else(|| party.describe_unmatched())?;
                if let Some(reply) = event.reply {
                    party.open_requests.push((event.fields.get("body").cloned().unwrap_or_default(), reply));
                }
            }
            _ => return Err("no such verb".into()),
        }
        Ok(())
    }

    /// Returns a party; starts it when it is first named.
    fn party(&mut self, name: &str) -> &mut Party {
        if !self.parties.contains_key(name) {
            let (instructions, received) = mpsc::unbounded_channel();
            let (sender, events) = mpsc::unbounded_channel();
            let mut address = None;
            let front = |harness: &Self, front: &str| {
                *harness.addresses.get(front).unwrap_or_else(|| panic!("the {front} front is not ready yet"))
            };
            match &name[..1] {
                "n" => address = Some(http1::node(sender, received)),
                "o" => address = Some(http1::answering_node()),
                "x" => address = Some(http1::unaccepting_node(sender, received)),
                "l" => address = Some(http1::discovery(sender, received, self.list.subscribe())),
                "g" => address = Some(http2::gateway(sender, received, if name == "g3" { 1 } else { 200 })),
                "a" | "b" | "c" | "d" => http1::admin_client(front(self, "admin"), sender, received),
                "m" => stalled_clients::stalled_clients(front(self, "platform"), sender, received),
                "f" => flooding_client::flooding_client(front(self, "platform"), sender, received),
                "s" => http1::submitter(front(self, "platform"), sender, received),
                "p" => http2::submitter(front(self, "push"), sender, received),
                "e" if self.push.is_some() => address = Some(http2::gateway(sender, received, 200)),
                // The relay's log: `start` replaces the channel.
                _ => drop((sender, received)),
            }
            let party =
                Party { events, unmatched: Vec::new(), open_requests: Vec::new(), instructions, address };
            self.parties.insert(name.into(), party);
        }
        self.parties.get_mut(name).expect("inserted above")
    }

    /// The list entry of a NODE:DEST[:STATE[:NAME]] word.
    fn entry(&mut self, word: &str) -> String {
        let mut parts = word.split(':');
        let (party, dest) = (parts.next().unwrap_or(""), parts.next().unwrap_or("0"));
        let state = parts.next().unwrap_or("SERVING");
        let name = parts.next().unwrap_or(party);
        let address = self.party(party).address.expect("a node");
        format!(
            r#"{{"instanceId":"{name}","hostPort":"{address}","zone":"z","machineType":"k","cell":{dest},"lifecycle":"{state}","weight":50.0,"startedAtMs":0}}"#
        )
    }

    /// Peak resource usage of a relay process.
    fn measure(&self, name: &str) -> Result<Event, String> {
        let usage = self.usages.get(name).ok_or("the relay was not started")?;
        let resident = usage.most_resident_mb().ok_or("the relay has ended")?.to_string();
        let descriptors = usage.most_descriptors().to_string();
        let together = self.usage_together.most_resident_mb().to_string();
        let fields = [
            ("descriptors", descriptors.as_str()),
            ("resident_mb", resident.as_str()),
            ("together_mb", together.as_str()),
        ];
        Ok(Event::new("measured", fields))
    }

    async fn control(&mut self, name: &str, instruction: &Instruction) -> Result<(), String> {
        match instruction[0].0.as_str() {
            "start" => self.start(name, instruction).await,
            "bad-handover" => {
                use std::io::Write;
                let path = self.folder.path().join("state/handover");
                let mut socket = std::os::unix::net::UnixStream::connect(path).map_err(|e| e.to_string())?;
                socket.write_all(bad_handover_bytes(instruction)).map_err(|e| e.to_string())
            }
            signal => {
                if self.push.is_some() {
                    self.write_file(instruction)?;
                } else if signal == "hup" {
                    let settings = self.settings(instruction);
                    fs::write(self.folder.path().join("config.json"), settings).map_err(|e| e.to_string())?;
                }
                let relay = self.relays.get_mut(name).ok_or("the relay does not run")?;
                let id = relay.id().ok_or("the relay has ended")?.to_string();
                let name = format!("-{}", signal.to_uppercase());
                let sent = std::process::Command::new("kill").args([&name, &id]).status();
                sent.map_err(|e| e.to_string())?;
                Ok(())
            }
        }
    }

    async fn start(&mut self, name: &str, instruction: &Instruction) -> Result<(), String> {
        let (sender, events) = mpsc::unbounded_channel();
        let program = env!("CARGO_BIN_EXE_onyxglade");
        let mut command = Command::new(program);
        if argument(instruction, "passed").is_some() {
            // The shell moves the socket from its standard input to descriptor 4, where BALANCER_PASSED_SOCKET points.
            command = Command::new("/bin/sh");
            command.args(["-c", "exec \"$0\" \"$@\" 4<&0 </dev/null", program]);
        }
        if let Some(files) = argument(instruction, "files") {
            command = Command::new("/bin/sh");
            command.args(["-c", "ulimit -n \"$1\" && exec \"$0\"", program, files]);
        }
        command.env_clear().env("ONYXGLADE_LOG", "onyxglade=debug").stdout(Stdio::piped()).kill_on_drop(true);
        let push_file = self.write_file(instruction)?;
        let platform = push_file.is_none() || has(instruction, "both");
        if let Some(file) = push_file {
            command.arg("--config").arg(file);
        } else if let Some(file) = self.write_relay_file(instruction)? {
            command.arg("--config").arg(file);
        }
        if platform {
            let file = self.folder.path().join("config.json");
            fs::write(&file, self.settings(instruction)).map_err(|e| e.to_string())?;
            command.env("BALANCER_CONFIG", file).env("BALANCER_STATE", self.folder.path().join("state"));
        }
        if argument(instruction, "admin").map_or(platform, |admin| admin == "on") {
            command.env("BALANCER_ADMIN", "127.0.0.1:0");
        }
        if argument(instruction, "passed").is_some() {
            let bound = std::net::TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
            let socket = self.socket.get_or_insert(bound).try_clone().map_err(|e| e.to_string())?;
            let listen = socket.local_addr().map_err(|e| e.to_string())?;
            self.addresses.insert("platform", listen);
            command.stdin(Stdio::from(OwnedFd::from(socket))).env("BALANCER_PASSED_SOCKET", "4");
            command.env("BALANCER_LISTEN", listen.to_string());
        }
        let mut relay = command.spawn().map_err(|e| e.to_string())?;
        if let Some(process) = relay.id() {
            self.usages.insert(name.into(), usage::Usage::sample(process));
            self.usage_together.add(process);
        }
        let mut lines = BufReader::new(relay.stdout.take().expect("piped")).lines();
        self.relays.insert(name.into(), relay);
        // Fronts that serve, or wait for a predecessor.
        let mut fronts = 0;
        let expected_fronts = if has(instruction, "both") { 2 } else { 1 };
        while let Ok(Ok(Some(line))) = timeout(TIMEOUT, lines.next_line()).await {
            for (front, logged_name) in
                [("admin", "admin address"), ("platform", "platform front"), ("push", "push front")]
            {
                if line.contains(&format!("{logged_name} is ready")) {
                    let at = line.split("listen=").nth(1).and_then(|a| a.trim().parse().ok());
                    self.addresses.insert(front, at.ok_or("the log line has no address")?);
                    fronts += usize::from(front != "admin");
                }
            }
            let waits = ["upgrade: another process runs the relay", "upgrade: the push front waits"];
            fronts += usize::from(waits.iter().any(|text| line.contains(text)));
            let _ = sender.send(Event::new("log", [("log", line.as_str())]));
            if fronts >= expected_fronts {
                break;
            }
        }
        let ready = fronts >= expected_fronts;
        let party = self.party(name);
        (party.events, party.unmatched) = (events, Vec::new());
        tokio::spawn(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                if std::env::var_os("SCENARIO_LOG").is_some() {
                    eprintln!("{line}");
                }
                let _ = sender.send(Event::new("log", [("log", line.as_str())]));
            }
            let _ = sender.send(Event::new("exit", []));
        });
        if ready || has(instruction, "faulty") { Ok(()) } else { Err("the relay does not start".into()) }
    }

    /// Writes the relay's own file of a platform front, if the instruction sets something in it.
    fn write_relay_file(&mut self, instruction: &Instruction) -> Result<Option<PathBuf>, String> {
        let setting = argument(instruction, "idle_setting").and_then(|setting| setting.split_once(':'));
        let mut text = setting.map_or(String::new(), |(key, value)| format!("[idle]\n{key} = {value}\n"));
        if let Some(name) = argument(instruction, "backlog") {
            let folder = self.folder.path().join(name);
            text += &format!("[backlog]\nfolder = {folder:?}\nmemory_mb = 16\ndisk_mb = 256\n");
        }
        if has(instruction, "instances") {
            let key = self.folder.path().join("instances.key");
            fs::write(&key, [b'k'; 64]).map_err(|e| e.to_string())?;
            let reserved = ReservedAddress::new([127, 0, 0, 1].into()).map_err(|e| e.to_string())?;
            let address = self.instance.insert(reserved).address().to_string();
            text += &format!(
                "[instances]\nlisten = {address:?}\nseeds = [{address:?}]\nkey_file = {key:?}\nzone = \"z\"\nlists = true\n"
            );
        }
        if has(instruction, "slow_hook") {
            let script = self.folder.path().join("hook.rhai");
            fs::write(&script, SLOW_HOOK).map_err(|e| e.to_string())?;
            text += &format!("[hook]\nscript = {script:?}\n");
        }
        if text.is_empty() {
            return Ok(None);
        }
        let file = self.folder.path().join("relay.toml");
        fs::write(&file, text).map_err(|e| e.to_string())?;
        Ok(Some(file))
    }

    /// Writes the push front's file, with the gateway named by drain= as draining.
    fn write_file(&mut self, instruction: &Instruction) -> Result<Option<PathBuf>, String> {
        let Some(mut text) = self.push.clone() else { return Ok(None) };
        for name in ["ends", "g1", "g2", "g3"] {
            let address = self.party(name).address.expect("it listens").to_string();
            let drains = if argument(instruction, "drain") == Some(name) { ", draining = true" } else { "" };
            text = text.replace(&format!("\"{name}\""), &format!("\"{address}\"{drains}"));
        }
        let limit = format!("body_limit = {}", argument(instruction, "limit").unwrap_or("100"));
        let text = text.replace("body_limit = 100", &limit);
        let text = match self.addresses.get("push").filter(|_| has(instruction, "same_address")) {
            Some(address) => text.replace("listen = \"127.0.0.1:0\"", &format!("listen = \"{address}\"")),
            None => text,
        };
        let text = match has(instruction, "own_folder") {
            true => text.replace("FOLDER/push", "FOLDER/own"),
            false => text,
        };
        let file = self.folder.path().join("push.toml");
        let folder = self.folder.path().display().to_string();
        fs::write(self.folder.path().join("hook.rhai"), HOOK).map_err(|e| e.to_string())?;
        fs::write(&file, text.replace("FOLDER", &folder)).map_err(|e| e.to_string())?;
        Ok(Some(file))
    }

    /// The platform's configuration file.
    fn settings(&mut self, instruction: &Instruction) -> String {
        let of = |key: &str, default: &str| argument(instruction, key).unwrap_or(default).to_owned();
        let (slots, max_open, disk) = (of("slots", "8"), of("max_open", "40"), of("disk_mb", "3"));
        let (sockets, memory) = (of("sockets", "256"), of("memory_mb", "512"));
        let (bundle, mode) = (of("bundle", "1"), of("mode", "subscribe"));
        let (window, idle, listen) = (of("window", "7500"), of("idle", "10000"), of("listen", "127.0.0.1:0"));
        let (must_ask, step) = (of("must_ask", "10"), of("step", "5"));
        let discovery = self.party(&of("discovery", "list")).address.expect("it listens");
        let known = argument(instruction, "known").map_or(String::new(), |generation| {
            let list = &self.list.borrow().1;
            format!(r#""known":{{"generation":{generation},"reset":true,"instances":[{list}]}},"#)
        });
        format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}",{known}"seed":"8c1f","limits":{{"sockets":{sockets},"disk_mb":{disk},"memory_mb":{memory}}},
            "settings":{{"step":{step}000000,"categories":[
              {{"name":"notice","aim":1000000000,"give_up":6000000000,"effect":"read_like","late_worth":0.0,"credit":1.0}},
              {{"name":"order","aim":4000000000,"give_up":28000000000,"effect":"idempotency_key","group":"all","window":{window}000000,"late_worth":0.3,"credit":2.0}}],
            "extra":{{"max_calls":{slots},"own_limits":[false],"bundle_max":[{bundle}]}},"zone":"z","zones":["z"],"shapes":["k"],"replicas_of_me":1,
            "membership_mode":"{mode}","report":{{"columns":["x0","x1"]}},"weights":"nominal",
            "policy_limits":{{"most_tries":8,"most_held":{max_open},"max_retry_after":3000000000,"idle_close":{idle}000000,"dial_timeout":1500000000,"retry_after":true}},
            "rules":{{"cold":14000000000,"cold_share":0.18,"fall":3000000000,"fall_multiple":2.0,"must_ask_in":{must_ask}000000000}}}}}}"#
        )
    }
}

impl Event {
    pub fn new<'a>(kind: &str, fields: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        let fields = fields.into_iter().map(|(k, v)| (k.to_owned(), v.to_owned())).collect();
        Event { kind: kind.into(), fields, reply: None }
    }

    /// Makes the event a request, whose response goes to `reply`.
    pub fn with_reply(mut self, reply: mpsc::UnboundedSender<Instruction>) -> Self {
        self.reply = Some(reply);
        self
    }
}

/// Bytes that are no valid hello of the handover protocol: an HTTP request, or the beginning of a hello.
fn bad_handover_bytes(instruction: &Instruction) -> &[u8] {
    if argument(instruction, "truncated").is_some() { b"ogho\x02" } else { b"GET / HTTP/1.1\r\n\r\n" }
}

/// The body of the request that a response is for.
fn target_body(instruction: &Instruction) -> Option<&str> {
    argument(instruction, "to")
}

fn millis(text: &str) -> Result<Duration, String> {
    text.parse().map(Duration::from_millis).map_err(|_| format!("'{text}' is not a number of milliseconds"))
}

/// Whether an event matches all words of an `expect`.
fn matches(event: &Event, words: &[&str]) -> bool {
    words.iter().all(|word| {
        if let Some(absent) = word.strip_prefix('!') {
            return !event.fields.contains_key(absent);
        }
        let Some(at) = word.find(['=', '<', '>']) else { return event.kind == *word };
        let Some(value) = event.fields.get(&word[..at]) else { return false };
        let wanted = &word[at + 1..];
        let number = |text: &str| text.parse::<f64>().unwrap_or(f64::NAN);
        match &word[at..=at] {
            "<" => number(value) < number(wanted),
            ">" => number(value) > number(wanted),
            _ if event.kind == "log" => value.contains(&wanted.replace('_', " ")),
            _ => wanted == "*" || value == wanted,
        }
    })
}
