//! A small language for scenarios, and the stand-ins that play them round the relay's own program.
//!
//! A line is a verb, a party and words: `send`, `expect`, `close` or `wait`. Parties:
//! - `relay` (`relay2` beside it in an upgrade; passed=yes: the platform passes the socket on): send start, term, kill, hup (drain=GATEWAY, limit=BYTES: the second front's file says so; the
//!   platform's is written anew with the words' settings; own=KEY:VALUE at the start is a file of our own;
//!   backlog=NAME keeps what waits in that folder);
//!   expect log=PART or exit. With files=N at the start, the system gives it no more than N descriptors; memory_mb=N is told
//!   as its limit. Expect measured: the most `descriptors` it was seen to have, the most `resident_mb`.
//! - `list`: discovery; `list2` (discovery=list2 in the settings) is another with the same list. Send
//!   NODE:DEST[:STATE] ...: it is up, and these are all nodes; with a STATE of HANG, no watch is
//!   answered; with HEAD or HALF, its answer ends behind the head or in the middle (expect silent); with LOWER, its generation is 1,
//!   and watches from a later one are answered by no changes. Close: it is down. Expect returned or failed: a notice. On the second front, notices go to `ends`.
//! - `s...`: a submitter's connection over HTTP/1.1 (half=yes: more is to follow before an answer; reset=yes: it
//!   resets the connection at once; answers=N: so many are
//!   due; flood=N: so many bytes behind it); `p...`: over HTTP/2. Send a request, expect a status.
//! - `m...`: many clients. Send COUNT: so many connect and say nothing (half=BYTES: half a line); expect connected or shut, with
//!   the `count` by then in hundreds.
//! - `a...` to `d...`: a caller at the second address of the process started last; send half is a call that it never finishes.
//! - `x...`: an execute node to which connections do not come up before it is sent `open`; what comes then is told as `came`.
//! - `n...`: an execute node; `g...`: a gateway (`g3` allows one stream on a connection). Expect POST, send a
//!   status (to=BODY of the call meant), raw=TEXT in its place (_ is a space, | a line's end), reset=CODE or
//!   goaway=LAST_STREAM. Close: breaks its connections and refuses new ones; `close n1 call` only breaks the
//!   connections it has, `close n1 reset` by a reset. `close n1 after=BYTES`: of the next call, only so many bytes are read
//!   (told as `part`), and then its connection is reset. `close list quiet`: nothing more is heard on those that there are, which stay open (what comes on them
//!   is told as `unheard`).
//!
//! `expect` waits for something that fits all its words: `key=value`, `key=*`, `key<number`, `key>number`, `!key` (it has none).
//! `expect X nothing` and `wait` take milliseconds. `expect X never WORDS`: nothing that fits them has come so far.
mod crowd;
mod http1;
mod http2;
mod usage;

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

/// The plug-in of scenarios whose file names one.
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

const PATIENCE: Duration = Duration::from_secs(8);

/// Something that a party got: its first word and what belongs to it.
#[derive(Debug)]
pub struct Got {
    what: String,
    fields: HashMap<String, String>,
    answer: Option<mpsc::UnboundedSender<Said>>,
}

/// What a party is to send: words, some with a value.
pub type Said = Vec<(String, String)>;

pub fn said<'a>(said: &'a [(String, String)], key: &str) -> Option<&'a str> {
    said.iter().find(|(k, _)| k == key).map(|(_, v)| v.as_str())
}

/// A party's ways in and out.
struct Party {
    got: mpsc::UnboundedReceiver<Got>,
    seen: Vec<Got>,
    /// Calls without an answer, by their bodies; the newest last.
    calls: Vec<(String, mpsc::UnboundedSender<Said>)>,
    say: mpsc::UnboundedSender<Said>,
    address: Option<SocketAddr>,
}

pub struct Stage {
    folder: tempfile::TempDir,
    parties: HashMap<String, Party>,
    /// By the parties' names: two of them run in an upgrade.
    relays: HashMap<String, Child>,
    usages: HashMap<String, usage::Usage>,
    /// The listening socket that the platform passes on, where a scenario wants one.
    socket: Option<std::net::TcpListener>,
    /// Listening addresses by front, as the relay's log told them.
    fronts: HashMap<&'static str, SocketAddr>,
    list: watch::Sender<(u64, String)>,
    push: Option<String>,
}

/// Plays a scenario; `push` is the second front's file with stand-ins' names in place of addresses.
pub fn play(push: Option<&str>, scenario: &str) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let mut stage = Stage {
            folder: tempfile::tempdir().expect("a folder"),
            parties: HashMap::new(),
            relays: HashMap::new(),
            usages: HashMap::new(),
            socket: None,
            fronts: HashMap::new(),
            list: watch::Sender::new((1, String::new())),
            push: push.map(str::to_owned),
        };
        for (number, line) in scenario.lines().enumerate() {
            let words: Vec<&str> = line.split('#').next().unwrap_or("").split_whitespace().collect();
            let [verb, party, rest @ ..] = &words[..] else { continue };
            if let Err(why) = stage.step(verb, party, rest).await {
                panic!("line {}: {}: {why}", number + 1, line.trim());
            }
        }
    });
}

impl Stage {
    async fn step(&mut self, verb: &str, party: &str, rest: &[&str]) -> Result<(), String> {
        let said: Said = rest
            .iter()
            .map(|w| w.split_once('=').map_or((w.to_string(), String::new()), |(k, v)| (k.into(), v.into())))
            .collect();
        match (verb, party) {
            ("wait", ms) => tokio::time::sleep(millis(ms)?).await,
            ("send", "relay" | "relay2" | "relay3") => self.control(party, &said).await?,
            ("send", "list" | "list2") => {
                let list = rest.iter().map(|w| self.entry(w)).collect::<Vec<_>>().join(",");
                let open = vec![("open".into(), String::new())];
                self.party(party).say.send(open).map_err(|_| "nobody listens")?;
                self.list
                    .send_modify(|(generation, entries)| (*generation, *entries) = (*generation + 1, list));
            }
            ("send", name) => {
                let party = self.party(name);
                let to = party.calls.iter().rposition(|(b, _)| said_to(&said).is_none_or(|to| to == b));
                let calls_open = name.starts_with(['n', 'g']) && said[0].0 != "goaway";
                let say = match to.filter(|_| calls_open) {
                    Some(i) => party.calls.remove(i).1,
                    None if calls_open => return Err("there is no such call".into()),
                    None => party.say.clone(),
                };
                say.send(said).map_err(|_| "nobody listens")?;
            }
            ("close", name) => {
                let what = rest.first().unwrap_or(&"all").to_string();
                let party = self.party(name);
                party.say.send(vec![("close".into(), what)]).map_err(|_| "nobody listens")?;
                // What goes quiet stays as it is.
                if rest.first() != Some(&"quiet") {
                    party.calls.clear();
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            ("expect", name) => {
                if rest.first() == Some(&"measured") {
                    let measured = self.measure(name)?;
                    return if fits(&measured, rest) {
                        Ok(())
                    } else {
                        Err(format!("but it is {measured:?}"))
                    };
                }
                let party = self.party(name);
                if let ["never", words @ ..] = rest {
                    party.seen.extend(std::iter::from_fn(|| party.got.try_recv().ok()));
                    let stray = party.seen.iter().find(|got| fits(got, words));
                    return stray.map_or(Ok(()), |got| Err(format!("but there is {got:?}")));
                }
                if let ["nothing", ms] = rest {
                    tokio::time::sleep(millis(ms)?).await;
                    party.seen.extend(std::iter::from_fn(|| party.got.try_recv().ok()));
                    let stray =
                        party.seen.iter().find(|got| !["closed", "givenup"].contains(&got.what.as_str()));
                    return stray.map_or(Ok(()), |got| Err(format!("but there is {got:?}")));
                }
                let wanted = async {
                    if let Some(i) = party.seen.iter().position(|got| fits(got, rest)) {
                        return Some(party.seen.remove(i));
                    }
                    // Each is looked at once: a crowd's thousands of log lines must not keep the stand-ins from their turn.
                    loop {
                        let got = party.got.recv().await?;
                        if fits(&got, rest) {
                            return Some(got);
                        }
                        party.seen.push(got);
                    }
                };
                let got = timeout(PATIENCE, wanted).await.ok().flatten();
                let got = got.ok_or_else(|| format!("only {:?} came", party.seen))?;
                if let Some(answer) = got.answer {
                    party.calls.push((got.fields.get("body").cloned().unwrap_or_default(), answer));
                }
            }
            _ => return Err("no such verb".into()),
        }
        Ok(())
    }

    /// A party, brought to life when it is first named.
    fn party(&mut self, name: &str) -> &mut Party {
        if !self.parties.contains_key(name) {
            let (say, words) = mpsc::unbounded_channel();
            let (tell, got) = mpsc::unbounded_channel();
            let mut address = None;
            let front = |stage: &Self, front: &str| {
                *stage.fronts.get(front).unwrap_or_else(|| panic!("the {front} front is not there yet"))
            };
            match &name[..1] {
                "n" => address = Some(http1::node(tell, words)),
                "x" => address = Some(http1::late(tell, words)),
                "l" => address = Some(http1::discovery(tell, words, self.list.subscribe())),
                "g" => address = Some(http2::gateway(tell, words, if name == "g3" { 1 } else { 200 })),
                "a" | "b" | "c" | "d" => http1::caller(front(self, "admin"), tell, words),
                "m" => crowd::crowd(front(self, "platform"), tell, words),
                "s" => http1::submitter(front(self, "platform"), tell, words),
                "p" => http2::submitter(front(self, "push"), tell, words),
                "e" if self.push.is_some() => address = Some(http2::gateway(tell, words, 200)),
                // The relay's log, and notices to discovery: both are put in from elsewhere.
                _ => drop((tell, words)),
            }
            let party = Party { got, seen: Vec::new(), calls: Vec::new(), say, address };
            self.parties.insert(name.into(), party);
        }
        self.parties.get_mut(name).expect("just made")
    }

    fn entry(&mut self, word: &str) -> String {
        let mut parts = word.split(':');
        let (name, dest) = (parts.next().unwrap_or(""), parts.next().unwrap_or("0"));
        let state = parts.next().unwrap_or("SERVING");
        let address = self.party(name).address.expect("a node");
        format!(
            r#"{{"instanceId":"{name}","hostPort":"{address}","zone":"z","machineType":"k","cell":{dest},"lifecycle":"{state}","weight":50.0,"startedAtMs":0}}"#
        )
    }

    /// What a relay used of its machine so far.
    fn measure(&self, name: &str) -> Result<Got, String> {
        let usage = self.usages.get(name).ok_or("it was not started")?;
        let resident = usage.most_resident_mb().ok_or("it has ended")?.to_string();
        let descriptors = usage.most_descriptors().to_string();
        let fields = [("descriptors", descriptors.as_str()), ("resident_mb", resident.as_str())];
        Ok(Got::new("measured", fields))
    }

    async fn control(&mut self, name: &str, said: &Said) -> Result<(), String> {
        match said[0].0.as_str() {
            "start" => self.start(name, said).await,
            "stranger" => {
                // Somebody who does not speak the hand-over's protocol comes to its socket.
                use std::io::Write;
                let path = self.folder.path().join("state/handover");
                let mut socket = std::os::unix::net::UnixStream::connect(path).map_err(|e| e.to_string())?;
                socket.write_all(raw_bytes(said)).map_err(|e| e.to_string())
            }
            signal => {
                if self.push.is_some() {
                    self.write_file(said)?;
                } else if signal == "hup" {
                    let settings = self.settings(said);
                    fs::write(self.folder.path().join("config.json"), settings).map_err(|e| e.to_string())?;
                }
                let relay = self.relays.get_mut(name).ok_or("it does not run")?;
                let id = relay.id().ok_or("it has ended")?.to_string();
                let name = format!("-{}", signal.to_uppercase());
                let sent = std::process::Command::new("kill").args([&name, &id]).status();
                sent.map_err(|e| e.to_string())?;
                Ok(())
            }
        }
    }

    async fn start(&mut self, name: &str, words: &Said) -> Result<(), String> {
        let (tell, got) = mpsc::unbounded_channel();
        let program = env!("CARGO_BIN_EXE_onyxglade");
        let mut command = Command::new(program);
        if said(words, "passed").is_some() {
            // The shell puts what is its standard input where the platform would put it.
            command = Command::new("/bin/sh");
            command.args(["-c", "exec \"$0\" \"$@\" 4<&0 </dev/null", program]);
        }
        if let Some(files) = said(words, "files") {
            command = Command::new("/bin/sh");
            command.args(["-c", "ulimit -n \"$1\" && exec \"$0\"", program, files]);
        }
        command.env_clear().env("ONYXGLADE_LOG", "onyxglade=debug").stdout(Stdio::piped()).kill_on_drop(true);
        if let Some(file) = self.write_file(words)? {
            command.arg("--config").arg(file);
        } else {
            if let Some((key, value)) = said(words, "own").and_then(|own| own.split_once(':')) {
                let own = self.folder.path().join("own.toml");
                fs::write(&own, format!("[idle]\n{key} = {value}\n")).map_err(|e| e.to_string())?;
                command.arg("--config").arg(own);
            }
            if let Some(name) = said(words, "backlog") {
                let own = self.folder.path().join("own.toml");
                let folder = self.folder.path().join(name);
                let table = format!("[backlog]\nfolder = {folder:?}\nmemory_mb = 16\ndisk_mb = 256\n");
                fs::write(&own, table).map_err(|e| e.to_string())?;
                command.arg("--config").arg(own);
            }
            let file = self.folder.path().join("config.json");
            fs::write(&file, self.settings(words)).map_err(|e| e.to_string())?;
            command
                .env("BALANCER_ADMIN", "127.0.0.1:0")
                .env("BALANCER_CONFIG", file)
                .env("BALANCER_STATE", self.folder.path().join("state"));
        }
        if said(words, "passed").is_some() {
            let bound = std::net::TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
            let socket = self.socket.get_or_insert(bound).try_clone().map_err(|e| e.to_string())?;
            let listen = socket.local_addr().map_err(|e| e.to_string())?;
            self.fronts.insert("platform", listen);
            command.stdin(Stdio::from(OwnedFd::from(socket))).env("BALANCER_PASSED_SOCKET", "4");
            command.env("BALANCER_LISTEN", listen.to_string());
        }
        let mut relay = command.spawn().map_err(|e| e.to_string())?;
        if let Some(process) = relay.id() {
            self.usages.insert(name.into(), usage::Usage::of(process));
        }
        let mut lines = BufReader::new(relay.stdout.take().expect("piped")).lines();
        self.relays.insert(name.into(), relay);
        let mut ready = false;
        while let Ok(Ok(Some(line))) = timeout(PATIENCE, lines.next_line()).await {
            for (front, told) in
                [("admin", "admin address"), ("platform", "platform front"), ("push", "push front")]
            {
                if line.contains(&format!("{told} is ready")) {
                    let at = line.split("listen=").nth(1).and_then(|a| a.trim().parse().ok());
                    self.fronts.insert(front, at.ok_or("no address is told")?);
                    ready |= front != "admin";
                }
            }
            ready |= line.contains("upgrade: another process runs the relay");
            let _ = tell.send(Got::new("log", [("log", line.as_str())]));
            if ready {
                break;
            }
        }
        let party = self.party(name);
        (party.got, party.seen) = (got, Vec::new());
        tokio::spawn(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                if std::env::var_os("SCENARIO_LOG").is_some() {
                    eprintln!("{line}");
                }
                let _ = tell.send(Got::new("log", [("log", line.as_str())]));
            }
            let _ = tell.send(Got::new("exit", []));
        });
        if ready || words.iter().any(|(k, _)| k == "faulty") {
            Ok(())
        } else {
            Err("it does not start".into())
        }
    }

    /// Writes the second front's file, with the gateway named by `drain` as draining.
    fn write_file(&mut self, words: &Said) -> Result<Option<PathBuf>, String> {
        let Some(mut text) = self.push.clone() else { return Ok(None) };
        for name in ["ends", "g1", "g2", "g3"] {
            let address = self.party(name).address.expect("it listens").to_string();
            let drains = if said(words, "drain") == Some(name) { ", draining = true" } else { "" };
            text = text.replace(&format!("\"{name}\""), &format!("\"{address}\"{drains}"));
        }
        let limit = format!("body_limit = {}", said(words, "limit").unwrap_or("100"));
        let text = text.replace("body_limit = 100", &limit);
        let file = self.folder.path().join("push.toml");
        let folder = self.folder.path().display().to_string();
        fs::write(self.folder.path().join("hook.rhai"), HOOK).map_err(|e| e.to_string())?;
        fs::write(&file, text.replace("FOLDER", &folder)).map_err(|e| e.to_string())?;
        Ok(Some(file))
    }

    fn settings(&mut self, words: &Said) -> String {
        let of = |key: &str, default: &str| said(words, key).unwrap_or(default).to_owned();
        let (slots, held, disk) = (of("slots", "8"), of("held", "40"), of("disk_mb", "3"));
        let (sockets, memory) = (of("sockets", "256"), of("memory_mb", "512"));
        let (bundle, mode) = (of("bundle", "1"), of("mode", "subscribe"));
        let (window, idle, listen) = (of("window", "7500"), of("idle", "10000"), of("listen", "127.0.0.1:0"));
        let (must_ask, step) = (of("must_ask", "10"), of("step", "5"));
        let discovery = self.party(&of("discovery", "list")).address.expect("it listens");
        let known = said(words, "known").map_or(String::new(), |generation| {
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
            "policy_limits":{{"most_tries":8,"most_held":{held},"max_retry_after":3000000000,"idle_close":{idle}000000,"dial_timeout":1500000000,"retry_after":true}},
            "rules":{{"cold":14000000000,"cold_share":0.18,"fall":3000000000,"fall_multiple":2.0,"must_ask_in":{must_ask}000000000}}}}}}"#
        )
    }
}

impl Got {
    pub fn new<'a>(what: &str, fields: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        let fields = fields.into_iter().map(|(k, v)| (k.to_owned(), v.to_owned())).collect();
        Got { what: what.into(), fields, answer: None }
    }

    pub fn call(mut self, answer: mpsc::UnboundedSender<Said>) -> Self {
        self.answer = Some(answer);
        self
    }
}

/// What a stranger says: noise, or the beginning of a greeting.
fn raw_bytes(words: &Said) -> &[u8] {
    if said(words, "torn").is_some() { b"ogho\x02" } else { b"GET / HTTP/1.1\r\n\r\n" }
}

fn said_to(words: &Said) -> Option<&str> {
    said(words, "to")
}

fn millis(text: &str) -> Result<Duration, String> {
    text.parse().map(Duration::from_millis).map_err(|_| format!("'{text}' is no number of milliseconds"))
}

/// Whether something fits all words of an `expect`.
fn fits(got: &Got, words: &[&str]) -> bool {
    words.iter().all(|word| {
        if let Some(absent) = word.strip_prefix('!') {
            return !got.fields.contains_key(absent);
        }
        let Some(at) = word.find(['=', '<', '>']) else { return got.what == *word };
        let Some(value) = got.fields.get(&word[..at]) else { return false };
        let wanted = &word[at + 1..];
        let number = |text: &str| text.parse::<f64>().unwrap_or(f64::NAN);
        match &word[at..=at] {
            "<" => number(value) < number(wanted),
            ">" => number(value) > number(wanted),
            _ if got.what == "log" => value.contains(&wanted.replace('_', " ")),
            _ => wanted == "*" || value == wanted,
        }
    })
}
