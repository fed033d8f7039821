//! Encoding and decoding of RFC 9113 frames, and a connection that sends whatever bytes a script gives.
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long to wait for a frame.
const TIMEOUT: Duration = Duration::from_secs(3);
pub const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

const TYPES: [&str; 10] = [
    "DATA",
    "HEADERS",
    "PRIORITY",
    "RST_STREAM",
    "SETTINGS",
    "PUSH_PROMISE",
    "PING",
    "GOAWAY",
    "WINDOW_UPDATE",
    "CONTINUATION",
];
const CODES: [&str; 14] = [
    "NO_ERROR",
    "PROTOCOL_ERROR",
    "INTERNAL_ERROR",
    "FLOW_CONTROL_ERROR",
    "SETTINGS_TIMEOUT",
    "STREAM_CLOSED",
    "FRAME_SIZE_ERROR",
    "REFUSED_STREAM",
    "CANCEL",
    "COMPRESSION_ERROR",
    "CONNECT_ERROR",
    "ENHANCE_YOUR_CALM",
    "INADEQUATE_SECURITY",
    "HTTP_1_1_REQUIRED",
];

/// A received frame.
#[derive(Clone, Debug)]
pub struct Frame {
    pub kind: String,
    pub flags: u8,
    pub stream: u32,
    pub payload: Vec<u8>,
    /// The decoded header block.
    pub fields: Vec<(String, String)>,
}

impl Frame {
    /// The error code of RST_STREAM or GOAWAY.
    pub fn code(&self) -> &'static str {
        let at = if self.kind == "GOAWAY" { 4 } else { 0 };
        CODES.get(number(self.payload.get(at..at + 4)) as usize).copied().unwrap_or("unknown")
    }

    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// The value of a setting in a SETTINGS frame.
    pub fn setting(&self, id: u64) -> Option<u64> {
        let mut settings = self.payload.chunks_exact(6);
        settings.find(|s| number(Some(&s[..2])) == id).map(|s| number(Some(&s[2..])))
    }
}

fn number(bytes: Option<&[u8]>) -> u64 {
    bytes.unwrap_or(&[]).iter().fold(0, |n, b| n << 8 | u64::from(*b))
}

/// The number of a frame's type.
pub fn kind(name: &str) -> Result<u8, String> {
    let known = TYPES.iter().position(|t| *t == name).map(|n| n as u8);
    known
        .or_else(|| name.strip_prefix("0x").and_then(|n| u8::from_str_radix(n, 16).ok()))
        .ok_or(format!("unknown frame type {name}"))
}

pub fn code(name: &str) -> Result<u32, String> {
    CODES.iter().position(|c| *c == name).map(|n| n as u32).ok_or(format!("unknown error code {name}"))
}

pub fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32).to_be_bytes();
    let head = [&length[1..], &[kind, flags], &stream.to_be_bytes()].concat();
    [&head, payload].concat()
}

/// An uncompressed header block: literal fields without indexing.
pub fn block<'a>(fields: impl IntoIterator<Item = (&'a str, &'a str)>) -> Vec<u8> {
    let mut block = Vec::new();
    for (name, value) in fields {
        block.push(0);
        for text in [name, value] {
            // An integer with a 7-bit prefix (RFC 7541, 5.1).
            let mut length = text.len();
            if length < 127 {
                block.push(length as u8);
            } else {
                block.push(127);
                length -= 127;
                while length >= 128 {
                    block.push((length % 128) as u8 | 128);
                    length /= 128;
                }
                block.push(length as u8);
            }
            block.extend_from_slice(text.as_bytes());
        }
    }
    block
}

pub fn hex(text: &str) -> Result<Vec<u8>, String> {
    let digit = |at: usize| u8::from_str_radix(text.get(at..at + 2).unwrap_or("x"), 16);
    (0..text.len())
        .step_by(2)
        .map(|at| digit(at).map_err(|_| format!("'{text}' is not hexadecimal")))
        .collect()
}

/// The script's end of a connection.
pub struct Connection {
    stream: TcpStream,
    read: Vec<u8>,
    hpack: fluke_hpack::Decoder<'static>,
    block: Vec<u8>,
    pub ended: bool,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            read: Vec::new(),
            hpack: fluke_hpack::Decoder::new(),
            block: Vec::new(),
            ended: false,
        }
    }

    /// Writes bytes. A failure shows in what is read afterwards.
    pub async fn write(&mut self, bytes: &[u8]) {
        let _ = timeout(TIMEOUT, self.stream.write_all(bytes)).await;
    }

    /// Closes the write side.
    pub async fn shutdown(&mut self) {
        let _ = self.stream.shutdown().await;
    }

    /// Buffers at least `length` bytes; `None` if the connection ended or the timeout passed.
    async fn fill(&mut self, length: usize) -> Option<()> {
        while self.read.len() < length {
            match timeout(TIMEOUT, self.stream.read_buf(&mut self.read)).await {
                Ok(Ok(read)) if read > 0 => {}
                Ok(_) => {
                    self.ended = true;
                    return None;
                }
                Err(_) => return None,
            }
        }
        Some(())
    }

    /// Reads exactly `length` bytes.
    pub async fn take(&mut self, length: usize) -> Option<Vec<u8>> {
        self.fill(length).await?;
        Some(self.read.drain(..length).collect())
    }

    /// The next frame; `None` if the connection ended or nothing was received in time.
    pub async fn next(&mut self) -> Option<Frame> {
        self.fill(9).await?;
        let length = number(Some(&self.read[..3])) as usize;
        self.fill(9 + length).await?;
        let whole: Vec<u8> = self.read.drain(..9 + length).collect();
        let kind = TYPES.get(whole[3] as usize).map_or(format!("0x{:x}", whole[3]), |t| t.to_string());
        let stream = number(Some(&whole[5..9])) as u32 & 0x7fff_ffff;
        let mut frame =
            Frame { kind, flags: whole[4], stream, payload: whole[9..].to_vec(), fields: Vec::new() };
        if matches!(frame.kind.as_str(), "HEADERS" | "CONTINUATION") {
            let skip = if frame.kind == "HEADERS" && frame.flags & 0x20 != 0 { 5 } else { 0 };
            self.block.extend_from_slice(&frame.payload[skip..]);
            if frame.flags & 4 != 0 {
                let block = std::mem::take(&mut self.block);
                let fields = self.hpack.decode(&block).unwrap_or_default();
                let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
                frame.fields = fields.into_iter().map(|(n, v)| (text(n), text(v))).collect();
            }
        }
        Some(frame)
    }
}
