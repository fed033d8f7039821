//! As much HTTP/2 (RFC 9113, RFC 7541) as the stand-ins need: frames, a submitter's connection, and a server.
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const DATA: u8 = 0;
const HEADERS: u8 = 1;
const RST_STREAM: u8 = 3;
const SETTINGS: u8 = 4;
const PING: u8 = 6;
const GOAWAY: u8 = 7;
const WINDOW_UPDATE: u8 = 8;
const CONTINUATION: u8 = 9;
const END_STREAM: u8 = 1;
const ACK: u8 = 1;
const END_HEADERS: u8 = 4;
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

struct Frame {
    kind: u8,
    flags: u8,
    stream: u32,
    payload: Vec<u8>,
}

fn read_frame(from: &mut impl Read) -> io::Result<Frame> {
    let mut head = [0; 9];
    from.read_exact(&mut head)?;
    let length = u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize;
    let mut payload = vec![0; length];
    from.read_exact(&mut payload)?;
    let stream = u32::from_be_bytes([head[5], head[6], head[7], head[8]]) & 0x7fff_ffff;
    Ok(Frame { kind: head[3], flags: head[4], stream, payload })
}

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (payload.len() as u32).to_be_bytes()[1..].to_vec();
    bytes.extend([kind, flags]);
    bytes.extend(stream.to_be_bytes());
    bytes.extend(payload);
    bytes
}

/// A header field as a literal without indexing and without Huffman coding.
fn field(name: &str, value: &str) -> Vec<u8> {
    let mut bytes = vec![0];
    for text in [name, value] {
        assert!(text.len() < 127, "fields of the stand-ins are short");
        bytes.push(text.len() as u8);
        bytes.extend(text.as_bytes());
    }
    bytes
}

/// The Huffman codes of the characters that a status or a message's location has.
const CODES: [(u32, u32, char); 38] = [
    (0x16, 6, '-'),
    (0x18, 6, '/'),
    (0x00, 5, '0'),
    (0x01, 5, '1'),
    (0x02, 5, '2'),
    (0x19, 6, '3'),
    (0x1a, 6, '4'),
    (0x1b, 6, '5'),
    (0x1c, 6, '6'),
    (0x1d, 6, '7'),
    (0x1e, 6, '8'),
    (0x1f, 6, '9'),
    (0x03, 5, 'a'),
    (0x23, 6, 'b'),
    (0x04, 5, 'c'),
    (0x24, 6, 'd'),
    (0x05, 5, 'e'),
    (0x25, 6, 'f'),
    (0x26, 6, 'g'),
    (0x27, 6, 'h'),
    (0x06, 5, 'i'),
    (0x74, 7, 'j'),
    (0x75, 7, 'k'),
    (0x28, 6, 'l'),
    (0x29, 6, 'm'),
    (0x2a, 6, 'n'),
    (0x07, 5, 'o'),
    (0x2b, 6, 'p'),
    (0x76, 7, 'q'),
    (0x2c, 6, 'r'),
    (0x08, 5, 's'),
    (0x09, 5, 't'),
    (0x2d, 6, 'u'),
    (0x77, 7, 'v'),
    (0x78, 7, 'w'),
    (0x79, 7, 'x'),
    (0x7a, 7, 'y'),
    (0x7b, 7, 'z'),
];

fn huffman(bytes: &[u8]) -> String {
    let (mut text, mut code, mut bits) = (String::new(), 0, 0);
    for bit in bytes.iter().flat_map(|byte| (0..8).rev().map(move |i| u32::from(byte >> i & 1))) {
        (code, bits) = (code << 1 | bit, bits + 1);
        if let Some((_, _, c)) = CODES.iter().find(|(c, b, _)| (*c, *b) == (code, bits)) {
            text.push(*c);
            (code, bits) = (0, 0);
        }
        if bits > 7 {
            // A character that is not in the table: the rest cannot be read.
            break;
        }
    }
    text
}

fn integer(bytes: &[u8], at: &mut usize, prefix: u32) -> Option<usize> {
    let most = (1_usize << prefix) - 1;
    let mut value = usize::from(*bytes.get(*at)?) & most;
    *at += 1;
    if value < most {
        return Some(value);
    }
    let mut shift = 0;
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        value += usize::from(byte & 0x7f) << shift;
        shift += 7;
        if byte & 0x80 == 0 {
            return Some(value);
        }
    }
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    let coded = bytes.get(*at)? & 0x80 != 0;
    let length = integer(bytes, at, 7)?;
    let text = bytes.get(*at..*at + length)?;
    *at += length;
    Some(if coded { huffman(text) } else { String::from_utf8_lossy(text).into_owned() })
}

/// The status and the location in a block of header fields. The peer was told to keep no dynamic table.
fn status_and_location(block: &[u8]) -> (u16, String) {
    let (mut status, mut location, mut at) = (0, String::new(), 0);
    while at < block.len() {
        let first = block[at];
        let read = if first & 0x80 != 0 {
            integer(block, &mut at, 7).map(|index| {
                status =
                    [200, 204, 206, 304, 400, 404, 500].get(index.wrapping_sub(8)).copied().unwrap_or(status);
            })
        } else if first & 0xe0 == 0x20 {
            integer(block, &mut at, 5).map(|_| ())
        } else {
            let prefix = if first & 0x40 != 0 { 6 } else { 4 };
            (|| {
                let index = integer(block, &mut at, prefix)?;
                let name = if index == 0 { string(block, &mut at)? } else { String::new() };
                let value = string(block, &mut at)?;
                match index {
                    8..=14 => status = value.parse().unwrap_or(0),
                    46 => location = value,
                    _ if name == "location" => location = value,
                    _ => {}
                }
                Some(())
            })()
        };
        if read.is_none() {
            break;
        }
    }
    (status, location)
}

/// What became of one request.
#[derive(Clone, Debug)]
pub struct Request {
    pub body: String,
    /// When its last byte had been written.
    pub written: Instant,
    /// When it was answered, with the status and the location of the message.
    pub answered: Option<(Instant, u16, String)>,
    /// Whether the relay has reset its stream, or named a lower one as the last that it took (GOAWAY).
    pub turned_away: bool,
}

#[derive(Default)]
struct ClientState {
    requests: Vec<Request>,
    streams: HashMap<u32, usize>,
    next_stream: u32,
    ended: Option<(Instant, String)>,
}

/// A submitter's connection.
pub struct Client {
    state: Arc<Mutex<ClientState>>,
    writer: Arc<Mutex<TcpStream>>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        let mut reader = stream.try_clone()?;
        let writer = Arc::new(Mutex::new(stream));
        let mut hello = PREFACE.to_vec();
        // SETTINGS_HEADER_TABLE_SIZE = 0, SETTINGS_ENABLE_PUSH = 0.
        hello.extend(frame(SETTINGS, 0, 0, &[0, 1, 0, 0, 0, 0, 0, 2, 0, 0, 0, 0]));
        writer.lock().unwrap().write_all(&hello)?;
        let state = Arc::new(Mutex::new(ClientState { next_stream: 1, ..ClientState::default() }));
        let (shared, answers) = (state.clone(), writer.clone());
        thread::spawn(move || {
            let end = loop {
                match read_frame(&mut reader) {
                    Ok(frame) => shared.lock().unwrap().take(&frame, &answers),
                    Err(error) => break error.to_string(),
                }
            };
            shared.lock().unwrap().ended = Some((Instant::now(), end));
        });
        Ok(Client { state, writer })
    }

    /// Writes a whole request.
    pub fn post(&self, path: &str, ttl: u32, body: &str) -> io::Result<()> {
        let mut state = self.state.lock().unwrap();
        if let Some((_, end)) = &state.ended {
            return Err(io::Error::other(end.clone()));
        }
        let stream = state.next_stream;
        let number = state.requests.len();
        let mut block = Vec::new();
        let ttl = ttl.to_string();
        let length = body.len().to_string();
        for (name, value) in [
            (":method", "POST"),
            (":scheme", "http"),
            (":authority", "relay"),
            (":path", path),
            ("ttl", &ttl),
            ("content-length", &length),
        ] {
            block.extend(field(name, value));
        }
        let mut bytes = frame(HEADERS, END_HEADERS, stream, &block);
        bytes.extend(frame(DATA, END_STREAM, stream, body.as_bytes()));
        // The state stays locked, so that an answer is not taken in before the request is noted.
        self.writer.lock().unwrap().write_all(&bytes)?;
        state.next_stream += 2;
        state.streams.insert(stream, number);
        let written = Instant::now();
        state.requests.push(Request { body: body.into(), written, answered: None, turned_away: false });
        Ok(())
    }

    pub fn requests(&self) -> Vec<Request> {
        self.state.lock().unwrap().requests.clone()
    }

    /// How many requests are neither answered nor turned away.
    pub fn open(&self) -> usize {
        let state = self.state.lock().unwrap();
        state.requests.iter().filter(|r| r.answered.is_none() && !r.turned_away).count()
    }

    pub fn close(&self) {
        let _ = self.writer.lock().unwrap().shutdown(Shutdown::Both);
    }
}

impl ClientState {
    fn take(&mut self, received: &Frame, writer: &Mutex<TcpStream>) {
        let now = Instant::now();
        let number = self.streams.get(&received.stream).copied();
        match received.kind {
            SETTINGS if received.flags & ACK == 0 => {
                let _ = writer.lock().unwrap().write_all(&frame(SETTINGS, ACK, 0, &[]));
            }
            PING if received.flags & ACK == 0 => {
                let _ = writer.lock().unwrap().write_all(&frame(PING, ACK, 0, &received.payload));
            }
            HEADERS => {
                if let Some(request) = number.and_then(|number| self.requests.get_mut(number)) {
                    let (status, location) = status_and_location(&received.payload);
                    request.answered.get_or_insert((now, status, location));
                }
            }
            RST_STREAM => {
                if let Some(request) = number.and_then(|number| self.requests.get_mut(number)) {
                    request.turned_away = true;
                }
            }
            GOAWAY => {
                let last = u32::from_be_bytes(received.payload[..4].try_into().unwrap()) & 0x7fff_ffff;
                for (_, number) in self.streams.iter().filter(|(stream, _)| **stream > last) {
                    self.requests[*number].turned_away = true;
                }
            }
            DATA => {
                let more = (received.payload.len() as u32).to_be_bytes();
                if !received.payload.is_empty() {
                    let _ = writer.lock().unwrap().write_all(&frame(WINDOW_UPDATE, 0, 0, &more));
                }
            }
            _ => {}
        }
    }
}

/// How a server answers a request.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    pub after: Duration,
    pub status: u16,
}

/// What a server does with the body of a request whose last byte has arrived.
type Handler = Arc<dyn Fn(&str) -> Answer + Send + Sync>;

/// An HTTP/2 server in clear text: a gateway, or the receiver of notices.
pub struct Server {
    pub address: SocketAddr,
    stopped: Arc<AtomicBool>,
}

impl Server {
    pub fn start(handler: impl Fn(&str) -> Answer + Send + Sync + 'static) -> io::Result<Server> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let handler: Handler = Arc::new(handler);
        let stopped = Arc::new(AtomicBool::new(false));
        let stop = stopped.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let handler = handler.clone();
                thread::spawn(move || _ = serve(stream, &handler));
            }
        });
        Ok(Server { address, stopped })
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

fn serve(stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = stream.try_clone()?;
    let writer = Arc::new(Mutex::new(stream));
    let write = |bytes: &[u8]| writer.lock().unwrap().write_all(bytes);
    let mut preface = [0; PREFACE.len()];
    reader.read_exact(&mut preface)?;
    write(&frame(SETTINGS, 0, 0, &[]))?;
    let mut bodies: HashMap<u32, Vec<u8>> = HashMap::new();
    loop {
        let received = read_frame(&mut reader)?;
        match received.kind {
            SETTINGS if received.flags & ACK == 0 => write(&frame(SETTINGS, ACK, 0, &[]))?,
            PING if received.flags & ACK == 0 => write(&frame(PING, ACK, 0, &received.payload))?,
            HEADERS => _ = bodies.entry(received.stream).or_default(),
            DATA => {
                bodies.entry(received.stream).or_default().extend(&received.payload);
                if !received.payload.is_empty() {
                    let more = (received.payload.len() as u32).to_be_bytes();
                    write(&frame(WINDOW_UPDATE, 0, 0, &more))?;
                }
            }
            RST_STREAM => _ = bodies.remove(&received.stream),
            GOAWAY => {}
            CONTINUATION => return Err(io::Error::other("the stand-in takes no CONTINUATION")),
            _ => {}
        }
        let whole = matches!(received.kind, HEADERS | DATA) && received.flags & END_STREAM != 0;
        if whole && let Some(body) = bodies.remove(&received.stream) {
            let answer = handler(&String::from_utf8_lossy(&body));
            let (writer, stream) = (writer.clone(), received.stream);
            thread::spawn(move || {
                thread::sleep(answer.after);
                let block = field(":status", &answer.status.to_string());
                let bytes = frame(HEADERS, END_HEADERS | END_STREAM, stream, &block);
                let _ = writer.lock().unwrap().write_all(&bytes);
            });
        }
    }
}
