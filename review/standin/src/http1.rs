//! As much HTTP/1.1 as the stand-ins need: a server, and a client's connection.
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request as it was read.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }
}

/// How a server answers: a status and a body.
pub struct Reply(pub u16, pub Vec<u8>);

/// The first line, the header fields and the body of a message.
type Message = (String, Vec<(String, String)>, Vec<u8>);

/// Reads a message; `None` at the end of the connection.
fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let mut body = vec![0; length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(Some((first, headers, body)))
}

/// Starts a server at an address of its own. Each connection has a thread, which calls `handler` for each request.
pub fn serve(handler: impl Fn(&Request) -> Reply + Send + Sync + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || _ = serve_connection(stream, &*handler));
        }
    });
    Ok(address)
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(&Request) -> Reply) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some((first, headers, body)) = read_message(&mut reader)? {
        let mut words = first.split_whitespace().map(str::to_owned);
        let path = words.nth(1).unwrap_or_default();
        let Reply(status, body) = handler(&Request { path, headers, body });
        let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len());
        writer.write_all(&[head.as_bytes(), &body].concat())?;
    }
    Ok(())
}

/// Sends one request on a connection of its own, and returns the status of its answer.
pub fn call(address: SocketAddr, request: &[u8], most: Duration) -> io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&address, most)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(most))?;
    stream.write_all(request)?;
    let answer = read_message(&mut BufReader::new(stream))?;
    let status = answer.and_then(|(first, ..)| first.split_whitespace().nth(1)?.parse().ok());
    status.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Sends a request without a body.
pub fn get(address: SocketAddr, path: &str) -> io::Result<u16> {
    let request = format!("GET {path} HTTP/1.1\r\nHost: relay\r\n\r\n");
    call(address, request.as_bytes(), Duration::from_secs(1))
}
