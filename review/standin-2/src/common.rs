//! Stand-ins for clients, endpoints and discovery, and the processes of the relay. Standard library only, all on loopback.
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// What was sent, answered and run, with the time since the start in seconds.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Record> {
        let file = File::create(path).unwrap_or_else(|e| cannot_run(&format!("record.txt: {e}")));
        Arc::new(Record { file: Mutex::new(file), start: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
    }
}

/// The processes that were started and the folder, to be ended and removed also where a case cannot run.
static STARTED: Mutex<(Vec<u32>, Vec<PathBuf>)> = Mutex::new((Vec::new(), Vec::new()));

pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case cannot run: {why}");
    if let Ok(started) = STARTED.lock() {
        for process in &started.0 {
            let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -KILL {process} 2>/dev/null")).status();
        }
        started.1.iter().for_each(|folder| drop(fs::remove_dir_all(folder)));
    }
    std::process::exit(2);
}

/// A request as a server reads it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }
}

/// Reads one request; None at the end of the connection.
fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let mut part = [0; 8192];
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let mut first = lines.next()?.split(' ');
            let (method, path) = (first.next()?.to_owned(), first.next()?.to_owned());
            let headers: Vec<_> = lines
                .filter_map(|l| l.split_once(':'))
                .map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()))
                .collect();
            let length = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case("content-length"));
            let length: usize = length.and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
            while buffer.len() < end + 4 + length {
                match stream.read(&mut part) {
                    Ok(n) if n > 0 => buffer.extend_from_slice(&part[..n]),
                    _ => return None,
                }
            }
            let body = buffer[end + 4..end + 4 + length].to_vec();
            buffer.drain(..end + 4 + length);
            return Some(Request { method, path, headers, body });
        }
        match stream.read(&mut part) {
            Ok(n) if n > 0 => buffer.extend_from_slice(&part[..n]),
            _ => return None,
        }
    }
}

fn write_response(stream: &mut TcpStream, status: u16, headers: &str, body: &str) -> bool {
    let text = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes()).is_ok()
}

/// Waits until the peer has ended the connection, at most for this long; true if it has.
fn ended_within(stream: &mut TcpStream, limit: Duration) -> bool {
    let end = Instant::now() + limit;
    let _ = stream.set_read_timeout(Some(ms(10)));
    let mut byte = [0; 1];
    let ended = loop {
        match stream.peek(&mut byte) {
            Ok(0) => break true,
            Ok(_) => sleep(ms(5)),
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => break true,
        }
        if Instant::now() >= end {
            break false;
        }
    };
    let _ = stream.set_read_timeout(None);
    ended
}

/// A call as an endpoint saw it.
#[derive(Clone)]
pub struct Call {
    pub ids: Vec<String>,
    pub arrived: Instant,
    /// When it was answered or its connection ended; None while it is out.
    pub over: Option<Instant>,
    /// The status of its answer; 0 while there is none.
    pub status: u16,
}

/// What an endpoint does with a call: after `hold` it answers, unless `status` is 0.
pub struct Reply {
    pub hold: Duration,
    pub status: u16,
    pub headers: String,
}

pub fn ok_after(hold: u64) -> Reply {
    Reply { hold: ms(hold), status: 200, headers: String::new() }
}

/// An endpoint. A call with several messages is answered `ok` for each of them where the status is 200.
pub struct Endpoint {
    pub address: SocketAddr,
    pub calls: Arc<Mutex<Vec<Call>>>,
    open: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Endpoint {
    pub fn start(
        name: &str,
        record: &Arc<Record>,
        answer: impl Fn(&[String]) -> Reply + Send + Sync + 'static,
    ) -> Endpoint {
        Endpoint::start_at("127.0.0.1:0".parse().unwrap(), name, record, answer)
    }

    /// Starts an endpoint at this address, which may be that of one that has gone.
    pub fn start_at(
        address: SocketAddr,
        name: &str,
        record: &Arc<Record>,
        answer: impl Fn(&[String]) -> Reply + Send + Sync + 'static,
    ) -> Endpoint {
        let listener = TcpListener::bind(address).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let address = listener.local_addr().unwrap();
        listener.set_nonblocking(true).unwrap();
        let (open, connections) = (Arc::new(AtomicBool::new(true)), Arc::<Mutex<Vec<TcpStream>>>::default());
        let calls: Arc<Mutex<Vec<Call>>> = Arc::default();
        let (shared, record, name, answer) = (calls.clone(), record.clone(), name.to_owned(), Arc::new(answer));
        let (is_open, kept) = (open.clone(), connections.clone());
        record.line(&format!("{name}: listens at {address}"));
        thread::spawn(move || {
            while is_open.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    sleep(ms(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                kept.lock().unwrap().extend(stream.try_clone());
                let (calls, record, name, answer) = (shared.clone(), record.clone(), name.clone(), answer.clone());
                thread::spawn(move || serve_endpoint(stream, &name, &record, &calls, &*answer));
            }
        });
        Endpoint { address, calls, open, connections }
    }

    /// Ends it: its connections break, and new ones are refused.
    pub fn end(&self) {
        self.open.store(false, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
        sleep(ms(20));
    }

    pub fn calls(&self) -> Vec<Call> {
        self.calls.lock().unwrap().clone()
    }

    pub fn wait_for(&self, id: &str, limit: Duration) -> bool {
        wait_until(limit, || self.calls().iter().any(|c| c.ids.iter().any(|i| i == id)))
    }
}

fn serve_endpoint(
    mut stream: TcpStream,
    name: &str,
    record: &Record,
    calls: &Mutex<Vec<Call>>,
    answer: &(dyn Fn(&[String]) -> Reply + Send + Sync),
) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer) {
        let arrived = Instant::now();
        let ids = match request.path.as_str() {
            "/v1/messages" => vec![request.header("x-request-id").unwrap_or("?").to_owned()],
            "/v1/messages:batch" => ids_of_batch(&request.body),
            _ => {
                write_response(&mut stream, 404, "", "");
                continue;
            }
        };
        let number = {
            let mut calls = calls.lock().unwrap();
            calls.push(Call { ids: ids.clone(), arrived, over: None, status: 0 });
            calls.len() - 1
        };
        record.line(&format!("{name}: call {number} arrived: {}", ids.join(" ")));
        let reply = answer(&ids);
        let ended = ended_within(&mut stream, reply.hold);
        calls.lock().unwrap()[number].over = Some(Instant::now());
        if ended || reply.status == 0 {
            record.line(&format!("{name}: call {number}: the caller ended the connection, or it is never answered"));
            return;
        }
        let body = match request.path.as_str() {
            "/v1/messages:batch" if reply.status == 200 => ids.iter().map(|id| format!("{id} ok\r\n")).collect(),
            _ => String::new(),
        };
        let written = write_response(&mut stream, reply.status, &reply.headers, &body);
        calls.lock().unwrap()[number].status = reply.status;
        record.line(&format!("{name}: call {number} answered {} {}", reply.status, reply.headers.trim()));
        if !written {
            return;
        }
    }
}

fn ids_of_batch(body: &[u8]) -> Vec<String> {
    let mut ids = Vec::new();
    let mut rest = body;
    while let Some(end) = rest.windows(2).position(|w| w == b"\r\n") {
        let line = String::from_utf8_lossy(&rest[..end]).into_owned();
        let mut words = line.split(' ');
        let (Some(id), Some(_), Some(Ok(length))) = (words.next(), words.next(), words.next().map(str::parse::<usize>))
        else {
            break;
        };
        ids.push(id.to_owned());
        rest = rest.get(end + 2 + length + 2..).unwrap_or(&[]);
    }
    ids
}

/// How discovery is reached.
#[derive(Clone, Copy, PartialEq)]
pub enum Mode {
    /// One service; while it is down, its calls end with 503.
    Asked,
    /// The agent on the relay's machine; while discovery is down it is silent, and then answers what it was asked.
    Pushed,
}

struct List {
    generation: u64,
    /// The entry of each endpoint, and the generation that it came with.
    entries: BTreeMap<String, (u64, String)>,
}

pub struct Discovery {
    pub address: SocketAddr,
    list: Mutex<List>,
    down: AtomicBool,
    /// Calls that came before this are never answered.
    silent_until: Mutex<Option<Instant>>,
    pub notices: Mutex<Vec<(Instant, String)>>,
    mode: Mode,
    record: Arc<Record>,
}

pub fn entry(name: &str, address: SocketAddr, kind: &str, zone: &str, cell: u64, state: &str) -> String {
    format!(
        r#"{{"instanceId":"{name}","hostPort":"{address}","zone":"{zone}","machineType":"{kind}","cell":{cell},"lifecycle":"{state}","weight":50.0,"startedAtMs":0}}"#
    )
}

impl Discovery {
    pub fn start(mode: Mode, record: &Arc<Record>, entries: &[(&str, String)]) -> Arc<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let entries = entries.iter().map(|(n, e)| ((*n).to_owned(), (10, e.clone()))).collect();
        let discovery = Arc::new(Discovery {
            address: listener.local_addr().unwrap(),
            list: Mutex::new(List { generation: 10, entries }),
            down: AtomicBool::new(false),
            silent_until: Mutex::default(),
            notices: Mutex::default(),
            mode,
            record: record.clone(),
        });
        let shared = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = shared.clone();
                thread::spawn(move || discovery.serve(stream));
            }
        });
        discovery
    }

    pub fn set_down(&self, down: bool) {
        self.record.line(if down { "discovery: down" } else { "discovery: up again" });
        self.down.store(down, Ordering::SeqCst);
    }

    /// All watches that are open now fall silent: they are never answered, and their connections stay open.
    pub fn silence_watches(&self) {
        self.record.line("discovery: all open watches fall silent");
        *self.silent_until.lock().unwrap() = Some(Instant::now());
    }

    pub fn change(&self, name: &str, entry: String) {
        let mut list = self.list.lock().unwrap();
        list.generation += 1;
        let generation = list.generation;
        list.entries.insert(name.to_owned(), (generation, entry.clone()));
        self.record.line(&format!("discovery: generation {generation}: {entry}"));
    }

    /// The whole list, as `known` in the configuration has it.
    pub fn whole(&self) -> String {
        let list = self.list.lock().unwrap();
        let entries: Vec<_> = list.entries.values().map(|(_, e)| e.as_str()).collect();
        format!(r#"{{"generation":{},"reset":true,"instances":[{}]}}"#, list.generation, entries.join(","))
    }

    fn changes(&self, index: u64) -> Option<String> {
        let list = self.list.lock().unwrap();
        let entries: Vec<_> = list.entries.values().filter(|(g, _)| *g > index).map(|(_, e)| e.as_str()).collect();
        let text = format!(r#"{{"generation":{},"reset":false,"instances":[{}]}}"#, list.generation, entries.join(","));
        (list.generation > index).then_some(text)
    }

    fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer) {
            if request.method == "POST" {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                self.record.line(&format!("discovery: notices {}", text.trim()));
                self.notices.lock().unwrap().push((Instant::now(), text));
                write_response(&mut stream, 204, "", "");
                continue;
            }
            self.record.line(&format!("discovery: asked {}", request.path));
            let number = |name: &str| {
                let query = request.path.split_once('?')?.1;
                query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
            };
            let asked = Instant::now();
            let end = asked + ms(number("wait").unwrap_or(0));
            let text = loop {
                if self.silent_until.lock().unwrap().is_some_and(|until| asked < until) {
                    if ended_within(&mut stream, ms(5)) {
                        return;
                    }
                    continue;
                }
                match (self.is_down(), self.mode) {
                    (true, Mode::Asked) => break None,
                    (true, Mode::Pushed) => {
                        if ended_within(&mut stream, ms(5)) {
                            return;
                        }
                        continue;
                    }
                    _ => {}
                }
                let Some(index) = number("index") else { break Some(self.whole()) };
                if let Some(changes) = self.changes(index) {
                    break Some(changes);
                }
                if Instant::now() >= end {
                    break Some(format!(r#"{{"generation":{index},"reset":false,"instances":[]}}"#));
                }
                if ended_within(&mut stream, ms(5)) {
                    return;
                }
            };
            match text {
                Some(text) => {
                    self.record.line(&format!("discovery: answered {text}"));
                    write_response(&mut stream, 200, "", &text)
                }
                None => {
                    self.record.line("discovery: answered 503");
                    write_response(&mut stream, 503, "", "")
                }
            };
        }
    }
}

/// One call of a client on a connection of its own: the status, or None if there was no answer within `limit`.
pub fn request(address: SocketAddr, head: &str, body: &str, limit: Duration) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(limit)).ok()?;
    let text = format!("{head}\r\nHost: backend.local\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let text = text.replacen("\r\n", " HTTP/1.1\r\n", 1);
    stream.write_all(text.as_bytes()).ok()?;
    let mut answer = Vec::new();
    let mut part = [0; 1024];
    loop {
        match stream.read(&mut part) {
            Ok(n) if n > 0 => answer.extend_from_slice(&part[..n]),
            _ => return None,
        }
        if answer.windows(4).any(|w| w == b"\r\n\r\n") {
            return String::from_utf8_lossy(&answer).split(' ').nth(1)?.parse().ok();
        }
    }
}

static LAST_ID: AtomicU32 = AtomicU32::new(0);

/// Hands in a message under a fresh id; returns the id and the answer's status.
pub fn submit(record: &Record, relay: SocketAddr, class: &str, dest: u64, left: u64, keyed: bool) -> (String, Option<u16>) {
    let number = LAST_ID.fetch_add(1, Ordering::SeqCst) + 1;
    let id = format!("{number:016x}");
    let key = if keyed { format!("\r\nIdempotency-Key: {number:032x}") } else { String::new() };
    let head = format!(
        "POST /{class}\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\nX-Timeout-Ms: {left}{key}\r\nX-Envelope: dest={dest}"
    );
    record.line(&format!("client: hands in {id} class={class} dest={dest} time={left}"));
    let status = request(relay, &head, "hello", ms(400));
    record.line(&format!("client: {id} answered {status:?}"));
    (id, status)
}

pub fn is_taken(status: Option<u16>) -> bool {
    matches!(status, Some(200 | 202))
}

pub fn wait_until(limit: Duration, mut done: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if done() {
            return true;
        }
        sleep(ms(10));
    }
    done()
}

static LAST_FOLDER: AtomicU32 = AtomicU32::new(0);

/// A temporary folder, removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let base = std::env::var("TMPDIR").unwrap_or_else(|_| "/tmp".into());
        let number = LAST_FOLDER.fetch_add(1, Ordering::SeqCst);
        let path = Path::new(&base).join(format!("review2-{}-{number}", std::process::id()));
        fs::create_dir_all(path.join("state")).unwrap_or_else(|e| cannot_run(&e.to_string()));
        STARTED.lock().unwrap().1.push(path.clone());
        Folder(path)
    }

    pub fn empty_state(&self) {
        let _ = fs::remove_dir_all(self.0.join("state"));
        let _ = fs::create_dir_all(self.0.join("state"));
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A free port of the loopback address.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
    listener.local_addr().unwrap()
}

/// What a process of the relay is started with.
pub struct Start<'a> {
    pub folder: &'a Folder,
    pub name: &'a str,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub admin: Option<SocketAddr>,
    /// The clients' listening socket, where the platform holds it.
    pub passed: Option<&'a TcpListener>,
    pub known: &'a str,
    pub settings: &'a str,
}

/// A process of the relay, killed when dropped.
pub struct Relay {
    child: Child,
    pub name: String,
}

impl Relay {
    /// Starts it as the deploy file says, from the repository's root.
    pub fn start(start: &Start, record: &Record) -> Relay {
        Relay::start_with(start, None, record)
    }

    /// The same with a file of the relay's own, `--config FILE`. A name that begins with `n1` is another relay's.
    pub fn start_with(start: &Start, file: Option<&Path>, record: &Record) -> Relay {
        let root = std::env::var("REVIEW_ROOT").unwrap_or_else(|_| cannot_run("REVIEW_ROOT is not set"));
        let Start { folder, name, listen, discovery, .. } = start;
        let config = folder.0.join(format!("{name}.json"));
        let relay = if name.starts_with("n1") { "n1" } else { "n0" };
        let text = format!(
            r#"{{"name":"{relay}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3}},"known":{},"settings":{}}}"#,
            start.known, start.settings
        );
        fs::write(&config, text).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let log = |suffix: &str| {
            let path = folder.0.join(format!("{name}.{suffix}"));
            File::create(path).unwrap_or_else(|e| cannot_run(&e.to_string()))
        };
        let mut run = "exec target/release/onyxglade".to_owned();
        if let Some(file) = file {
            run = format!("{run} --config {}", file.display());
        }
        let mut command = Command::new("/bin/sh");
        match start.passed {
            // The socket comes as standard input, and the shell makes it descriptor 4.
            Some(socket) => {
                let socket = OwnedFd::from(socket.try_clone().unwrap());
                command.stdin(Stdio::from(socket)).env("BALANCER_PASSED_SOCKET", "4");
                command.arg("-c").arg(format!("exec 4<&0 0</dev/null; {run}"));
            }
            None => {
                command.stdin(Stdio::null()).arg("-c").arg(run);
            }
        }
        command.current_dir(root).env("BALANCER_CONFIG", &config).env("BALANCER_STATE", folder.0.join("state"));
        command.env("BALANCER_NAME", relay).env("BALANCER_LISTEN", listen.to_string());
        command.env("BALANCER_DISCOVERY", discovery.to_string()).env("TMPDIR", &folder.0);
        command.env("ONYXGLADE_LOG", std::env::var("ONYXGLADE_LOG").unwrap_or_else(|_| "info".into()));
        command.env_remove("BALANCER_ADMIN");
        if let Some(admin) = start.admin {
            command.env("BALANCER_ADMIN", admin.to_string());
        }
        command.stdout(log("out")).stderr(log("err"));
        let child = command.spawn().unwrap_or_else(|e| cannot_run(&e.to_string()));
        STARTED.lock().unwrap().0.push(child.id());
        record.line(&format!("relay {name}: started, known {}", start.known));
        Relay { child, name: (*name).to_owned() }
    }

    pub fn signal(&self, signal: &str, record: &Record) {
        record.line(&format!("relay {}: SIG{signal}", self.name));
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{signal} {}", self.child.id())).status();
    }

    pub fn kill(&mut self, record: &Record) {
        record.line(&format!("relay {}: SIGKILL", self.name));
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().0.retain(|process| *process != self.child.id());
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().0.retain(|process| *process != self.child.id());
    }
}

pub fn is_ready(address: SocketAddr) -> bool {
    request(address, "GET /ready", "", ms(1000)) == Some(200)
}

pub fn admin_ready(address: SocketAddr) -> bool {
    request(address, "GET /-/ready", "", ms(1000)) == Some(200)
}

/// Settings as those of the first small deployment: two classes, discovery is asked.
pub const KULKU: &str = r#"{"callers":{"marks_retry":false},
 "categories":[{"aim":4000000000,"credit":2.0,"effect":"idempotency_key","give_up":28000000000,"group":"all","late_worth":0.3,"name":"ticket-order","stream":false,"window":7500000000},{"aim":1000000000,"credit":1.0,"effect":"read_like","give_up":6000000000,"group":"all","late_worth":0.0,"name":"disruption-notice","stream":false,"window":5000000000}],
 "counted_by":"request","extra":{"bundle_max":[1,1,1],"fades":"line","fee_by_zone":[0.0,0.0],"max_calls":56,"own_limits":[false,false,false],"turned_away_price":0.03},
 "goal":{"whole":0.55,"worst_class":0.2,"worst_tenant":0.0,"worst_window":0.25},"layers":["partners"],"membership_mode":"subscribe","orgs":[],"over_share_worth":0.1,
 "policy_limits":{"cancel":true,"cpu_us_per_request":0.0,"cpu_us_per_s":500000,"dial_timeout":1500000000,"idle_close":10000000000,"max_retry_after":3000000000,"most_held":449,"most_tries":8,"parallel_tries":false,"peers":false,"probing":false,"retry_after":true,"streams_per_conn":1},
 "replicas_of_me":2,"report":{"columns":[],"source":"off"},
 "rules":{"answer_slack":20000000,"cold":14000000000,"cold_share":0.18,"fall":3000000000,"fall_multiple":2.0,"must_ask_in":10000000000,"stop_sending_within":500000000},
 "service_type":"deliver","shapes":["big-operators","ticket-sellers","small-apps"],"slot_no":0,"step":5000000,"tier":0,"weights":"nominal","zone":"hall-b","zones":["hall-a","hall-b"]}"#;

/// Settings as those of the second small deployment: lists are pushed, and one kind of endpoint takes several messages in a call.
pub const DAR: &str = r#"{"callers":{"marks_retry":true},
 "categories":[{"aim":1500000000,"credit":1.0,"effect":"read_like","give_up":8000000000,"late_worth":0.1,"name":"status","stream":false},{"aim":2000000000,"credit":1.0,"effect":"non_idempotent","give_up":16000000000,"late_worth":0.4,"name":"order","stream":false}],
 "counted_by":"request","extra":{"bundle_max":[10,1,1],"fades":"line","fee_by_zone":[0.0],"max_calls":30,"own_limits":[false,false,false],"turned_away_price":0.0},
 "goal":{"whole":0.55,"worst_class":0.2,"worst_tenant":0.0,"worst_window":0.25},"layers":["partner-systems"],"membership_mode":"automatic","orgs":[],"over_share_worth":0.1,
 "policy_limits":{"cancel":true,"cpu_us_per_request":0.0,"cpu_us_per_s":400000,"dial_timeout":1500000000,"idle_close":5000000000,"max_retry_after":3000000000,"most_held":200,"most_tries":8,"parallel_tries":false,"peers":false,"probing":true,"retry_after":true,"streams_per_conn":1},
 "replicas_of_me":2,"report":{"columns":["x0","x1"],"source":"inline"},
 "rules":{"answer_slack":20000000,"cold":11000000000,"cold_share":0.19,"fall":1500000000,"fall_multiple":2.0,"stop_sending_within":500000000},
 "service_type":"deliver","shapes":["distributor","factory","workshop"],"slot_no":0,"step":5000000,"tier":0,"weights":"rough","zone":"dar-es-salaam","zones":["dar-es-salaam"]}"#;
