//! Mock peers over HTTP/1.1: execute nodes, discovery, submitters and clients of the admin address.
use onyxglade_lab::reserved_address::ReservedAddress;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

use super::{Event, Instruction, argument};

type Events = mpsc::UnboundedSender<Event>;
type Instructions = mpsc::UnboundedReceiver<Instruction>;

/// A server's listener, which can be closed and opened again: its address stays reserved meanwhile.
pub struct Listener {
    address: ReservedAddress,
    socket: Option<TcpListener>,
}

impl Listener {
    fn open(&mut self) {
        let listen = || self.address.listen().expect("no other listener");
        self.socket.get_or_insert_with(listen);
    }
}

pub fn listener() -> (Listener, SocketAddr) {
    let reserved = ReservedAddress::new(Ipv4Addr::LOCALHOST).expect("a port");
    let address = reserved.address();
    let mut listener = Listener { address: reserved, socket: None };
    listener.open();
    (listener, address)
}

/// Added to the value that connections watch: the open ones never answer again and stay open.
const QUIET: u32 = 1_000_000;

/// How `close` resets connections: at once, or after a number of bytes of the next request.
const RESETS: [&str; 2] = ["reset", "after="];

/// Accepts connections until a `close` instruction; `serve` handles one connection and returns when the watched value changes.
pub async fn listen<F, S>(mut listener: Listener, mut instructions: Instructions, serve: F)
where
    F: Fn(TcpStream, watch::Receiver<u32>, mpsc::UnboundedReceiver<Instruction>) -> S,
    S: Future<Output = ()> + Send + 'static,
{
    let broken = watch::Sender::new(0);
    let mut connections: Vec<mpsc::UnboundedSender<Instruction>> = Vec::new();
    loop {
        let accept = async { listener.socket.as_ref().expect("it listens").accept().await };
        tokio::select! {
            Ok((stream, _)) = accept, if listener.socket.is_some() => {
                let (sender, receiver) = mpsc::unbounded_channel();
                connections.push(sender);
                tokio::spawn(serve(stream, broken.subscribe(), receiver));
            }
            instruction = instructions.recv() => match instruction {
                None => return,
                Some(instruction) if instruction[0].1 == "quiet" => broken.send_modify(|n| *n += QUIET),
                // Each connection resets itself.
                Some(instruction) if instruction[0].0 == "close" && RESETS.iter().any(|how| instruction[0].1.starts_with(how)) => {
                    connections.iter().for_each(|c| drop(c.send(instruction.clone())));
                }
                Some(instruction) if instruction[0].0 == "close" => {
                    broken.send_modify(|n| *n += 1);
                    connections.clear();
                    if instruction[0].1 == "all" {
                        listener.socket = None;
                    }
                }
                Some(instruction) if instruction[0].0 == "open" => {
                    listener.open();
                }
                Some(instruction) => connections.iter().for_each(|c| drop(c.send(instruction.clone()))),
            }
        }
    }
}

/// An address where new connections hang in the handshake, because its accept queue is full. After the first instruction it
/// accepts them and reports the requests that arrive.
pub fn unaccepting_node(events: Events, mut instructions: Instructions) -> SocketAddr {
    let listener =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    listener.listen(0).expect("listen");
    let address = listener.local_addr().expect("an address").as_socket().expect("an IP address");
    let queued = std::net::TcpStream::connect(address).expect("the only connection that fits the queue");
    tokio::spawn(async move {
        let _queued = queued;
        let _ = instructions.recv().await;
        listener.set_nonblocking(true).expect("a socket");
        let listener = TcpListener::from_std(listener.into()).expect("a socket");
        while let Ok((mut stream, _)) = listener.accept().await {
            let events = events.clone();
            tokio::spawn(async move {
                while let Some(request) = read(&mut stream, 0).await {
                    let _ = events.send(Event::new("received", [("body", request.fields["body"].as_str())]));
                }
            });
        }
    });
    address
}

/// Reads a message; its kind is word `first` of the start line (the method or the status). `None` if the connection ended.
async fn read(stream: &mut TcpStream, first: usize) -> Option<Event> {
    let mut text = Vec::new();
    let end = loop {
        if let Some(end) = text.windows(4).position(|w| w == b"\r\n\r\n") {
            break end;
        }
        let mut byte = [0; 1];
        if stream.read(&mut byte).await.ok()? == 0 {
            return None;
        }
        text.push(byte[0]);
    };
    let head = String::from_utf8_lossy(&text[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let start: Vec<&str> = lines.next()?.split(' ').collect();
    let headers = lines.filter_map(|l| l.split_once(": ")).map(|(k, v)| (k.to_lowercase(), v.to_owned()));
    let mut fields: HashMap<String, String> = headers.collect();
    let mut body = vec![0; fields.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0)];
    stream.read_exact(&mut body).await.ok()?;
    fields.insert("path".into(), start[1].into());
    fields.insert("size".into(), body.len().to_string());
    fields.insert("body".into(), body.iter().map(|b| *b as char).collect());
    let mut event = Event::new(start[first], []);
    event.fields = fields;
    Some(event)
}

/// Text that is written as one word: `_` is a space, `|` a line break.
fn raw(word: &str) -> String {
    word.replace('_', " ").replace('|', "\r\n")
}

/// Bytes that follow a raw message.
fn flood(instruction: &Instruction) -> Vec<u8> {
    let size = argument(instruction, "flood").map_or(0, |size| size.parse().expect("a size"));
    vec![b'a'; size]
}

fn response(instruction: &Instruction) -> Vec<u8> {
    if let Some(word) = argument(instruction, "raw") {
        return [raw(word).into_bytes(), flood(instruction)].concat();
    }
    let headers = instruction[1..].iter().filter(|(k, _)| k != "to").map(|(k, v)| format!("{k}: {v}\r\n"));
    let headers = headers.collect::<String>();
    format!("HTTP/1.1 {} x\r\ncontent-length: 2\r\n{headers}\r\nok", instruction[0].0).into_bytes()
}

/// An execute node. Its requests are reported with the number of the connection that they arrived on.
pub fn node(events: Events, instructions: Instructions) -> SocketAddr {
    let (listener, address) = listener();
    let count = std::sync::atomic::AtomicU32::new(0);
    tokio::spawn(async move {
        let serve =
            |mut stream: TcpStream, mut broken: watch::Receiver<u32>, mut instructions: Instructions| {
                let events = events.clone();
                let number = count.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                async move {
                    loop {
                        let mut request = tokio::select! {
                            request = read(&mut stream, 0) => match request {
                                Some(request) => request,
                                None => break,
                            },
                            Some(how) = instructions.recv() => return reset(stream, &how, &events).await,
                            _ = broken.changed() => return,
                        };
                        request.fields.insert("connection".into(), number.to_string());
                        let body = request.fields["body"].clone();
                        let (reply, mut replies) = mpsc::unbounded_channel();
                        let _ = events.send(request.with_reply(reply));
                        let mut byte = [0; 1];
                        tokio::select! {
                            Some(reply) = replies.recv() => drop(stream.write_all(&response(&reply)).await),
                            _ = stream.read(&mut byte) => {
                                let _ = events.send(Event::new("cancelled", [("body", body.as_str())]));
                                return;
                            }
                            Some(how) = instructions.recv() => return reset(stream, &how, &events).await,
                            _ = broken.changed() => return,
                        }
                    }
                    let _ = events.send(Event::new("closed", [("connection", number.to_string().as_str())]));
                }
            };
        listen(listener, instructions, serve).await;
    });
    address
}

/// An execute node that answers each request with 200 at once.
pub fn answering_node() -> SocketAddr {
    let (listener, address) = listener();
    tokio::spawn(async move {
        let listener = listener;
        let socket = listener.socket.as_ref().expect("it listens");
        while let Ok((mut stream, _)) = socket.accept().await {
            tokio::spawn(async move {
                while read(&mut stream, 0).await.is_some() {
                    let _ = stream.write_all(b"HTTP/1.1 200 x\r\ncontent-length: 0\r\n\r\n").await;
                }
            });
        }
    });
    address
}

/// Resets a connection, at once or after a number of bytes of the next request.
async fn reset(mut stream: TcpStream, how: &Instruction, events: &Events) {
    if let Some(bytes) = how[0].1.strip_prefix("after=") {
        let mut partial = vec![0; bytes.parse().expect("a number")];
        if stream.read_exact(&mut partial).await.is_err() {
            return;
        }
        let _ = events.send(Event::new("partial", [("size", bytes)]));
    }
    stream.set_zero_linger().expect("a socket");
}

/// Discovery: serves the whole list and watches that end with a change, and receives notices.
pub fn discovery(
    events: Events,
    instructions: Instructions,
    list: watch::Receiver<(u64, String)>,
) -> SocketAddr {
    let (listener, address) = listener();
    tokio::spawn(async move {
        let serve = |mut stream: TcpStream, mut broken: watch::Receiver<u32>, _| {
            let (events, mut list) = (events.clone(), list.clone());
            let opened = *broken.borrow();
            let is_quiet = move |broken: &watch::Receiver<u32>| *broken.borrow() >= opened + QUIET;
            async move {
                while let Some(request) = read(&mut stream, 0).await {
                    let path = request.fields["path"].clone();
                    if is_quiet(&broken) {
                        let _ = events.send(Event::new("unanswered", [("path", path.as_str())]));
                        return std::future::pending().await;
                    }
                    let reply = if request.kind == "POST" {
                        for line in request.fields["body"].lines() {
                            let notice: serde_json::Value = serde_json::from_str(line).expect("JSON");
                            let text = |key: &str| notice[key].as_str().expect("a string").to_owned();
                            let after = notice["after_ms"].to_string();
                            let fields = [("id", text("id")), ("after_ms", after)];
                            let fields = fields.iter().map(|(k, v)| (*k, v.as_str()));
                            let _ = events.send(Event::new(&text("state"), fields));
                        }
                        "HTTP/1.1 204 x\r\n\r\n".to_owned()
                    } else {
                        let parameter =
                            |key: &str| path.split(key).nth(1)?.split('&').next()?.parse::<u64>().ok();
                        let (known, wait) = (parameter("index="), parameter("wait=").unwrap_or(0));
                        let has_state = |state: &str| list.borrow().1.contains(state);
                        // Its generation is 1 again, and it answers watches from later ones with no changes.
                        let lower = has_state("LOWER");
                        let hangs = has_state("HANG") || lower && known == Some(1);
                        let wait = std::time::Duration::from_millis(wait);
                        let is_broken = tokio::select! {
                            biased;
                            _ = broken.changed() => true,
                            () = tokio::time::sleep(wait), if known.is_some() && !hangs => false,
                            _ = list.wait_for(|(generation, _)| Some(*generation) != known), if !(lower && known == Some(1)) => false,
                        };
                        if is_broken {
                            if is_quiet(&broken) {
                                std::future::pending::<()>().await;
                            }
                            return;
                        }
                        let (generation, entries) = list.borrow_and_update().clone();
                        let text = match known {
                            Some(_) if lower => r#"{"generation":1,"reset":false,"instances":[]}"#.to_owned(),
                            _ => {
                                let generation = if lower { 1 } else { generation };
                                format!(
                                    r#"{{"generation":{generation},"reset":true,"instances":[{entries}]}}"#
                                )
                            }
                        };
                        let head = format!("HTTP/1.1 200 x\r\ncontent-length: {}\r\n\r\n", text.len());
                        let whole = format!("{head}{text}");
                        // Stops here without closing the connection.
                        let cut = match known {
                            Some(_) if entries.contains("HEAD") => Some(head.len()),
                            Some(_) if entries.contains("HALF") => Some(head.len() + text.len() / 2),
                            _ => None,
                        };
                        if let Some(cut) = cut {
                            let _ = stream.write_all(&whole.as_bytes()[..cut]).await;
                            let _ = events.send(Event::new("silent", []));
                            return drop(broken.changed().await);
                        }
                        whole
                    };
                    if stream.write_all(reply.as_bytes()).await.is_err() {
                        return;
                    }
                }
            }
        };
        listen(listener, instructions, serve).await;
    });
    address
}

fn request(instruction: &Instruction) -> Vec<u8> {
    if let Some(word) = argument(instruction, "raw") {
        return [raw(word).into_bytes(), flood(instruction)].concat();
    }
    let id = argument(instruction, "id").unwrap_or("");
    let mut text = format!("{} {} HTTP/1.1\r\nhost: relay\r\n", instruction[0].0, instruction[1].0);
    for (key, value) in &instruction[2..] {
        text += &match key.as_str() {
            "id" => format!("X-Request-ID: {value}\r\n"),
            "dest" => format!("X-Envelope: dest={value}\r\n"),
            "timeout" => format!("X-Timeout-Ms: {value}\r\n"),
            "key" => format!("Idempotency-Key: {value}\r\n"),
            "size" => continue,
            _ => format!("{key}: {value}\r\n"),
        };
    }
    let size = argument(instruction, "size").map_or(id.len(), |s| s.parse().expect("a size"));
    let mut body = id.as_bytes().to_vec();
    body.resize(size, 0xff);
    text += &format!("content-length: {}\r\n\r\n", body.len());
    [text.into_bytes(), body].concat()
}

/// A client of the admin address: one request per connection, never completed if it is `partial`. Metrics are reported as NAME
/// or NAME:CLASS:OUTCOME.
pub fn admin_client(relay: SocketAddr, events: Events, mut instructions: Instructions) {
    tokio::spawn(async move {
        let mut unfinished = Vec::new();
        while let Some(instruction) = instructions.recv().await {
            let mut stream = TcpStream::connect(relay).await.expect("the relay listens");
            if instruction[0].0 == "partial" {
                stream.write_all(b"GET /-/re").await.expect("the request is written");
                unfinished.push(stream);
                continue;
            }
            stream.write_all(&request(&instruction)).await.expect("the request is written");
            let Some(mut response) = read(&mut stream, 1).await else { continue };
            for line in response.fields["body"].clone().lines().filter(|line| !line.starts_with('#')) {
                let Some((name, value)) = line.rsplit_once(' ') else { continue };
                let name = name.replace(['{', ','], ":").replace(['"', '}'], "");
                let name = name.replace("category=", "").replace("outcome=", "");
                response.fields.insert(name, value.into());
            }
            let _ = events.send(response);
        }
    });
}

/// A submitter's connection.
pub fn submitter(relay: SocketAddr, events: Events, mut instructions: Instructions) {
    tokio::spawn(async move {
        let mut stream = TcpStream::connect(relay).await.expect("the relay listens");
        let mut byte = [0; 1];
        loop {
            // Peeks without consuming: the relay may close an idle connection.
            let instruction = tokio::select! {
                instruction = instructions.recv() => instruction,
                _ = stream.peek(&mut byte) => None,
            };
            let Some(instruction) = instruction else { break };
            if instruction[0].0 == "close" || stream.write_all(&request(&instruction)).await.is_err() {
                break;
            }
            if argument(&instruction, "detached").is_some() {
                continue;
            }
            if argument(&instruction, "reset").is_some() {
                stream.set_zero_linger().expect("a socket");
                break;
            }
            let answers =
                argument(&instruction, "answers").map_or(1, |count| count.parse().expect("a number"));
            for _ in 0..answers {
                match read(&mut stream, 1).await {
                    Some(response) => drop(events.send(response)),
                    None => return drop(events.send(Event::new("closed", []))),
                }
            }
        }
        let _ = events.send(Event::new("closed", []));
    });
}
