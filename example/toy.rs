//! Minimal peers for trying the push interface on one machine: a gateway, a receiver of notices, and a
//! submitter.
//!
//!     cargo run --example toy serve              a gateway on 127.0.0.1:9001 and notices on 127.0.0.1:8481
//!     cargo run --example toy send PATH TTL TEXT  submits one message to 127.0.0.1:8480
use bytes::Bytes;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

type Error = Box<dyn std::error::Error>;

fn main() -> Result<(), Error> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        match args[..] {
            ["serve"] => tokio::try_join!(serve("127.0.0.1:9001"), serve("127.0.0.1:8481")).map(|_| ()),
            ["send", path, ttl, text] => send(path, ttl, text).await,
            _ => Err("usage: toy serve | toy send PATH TTL TEXT".into()),
        }
    })
}

async fn serve(address: &str) -> Result<(), Error> {
    let listener = TcpListener::bind(address).await?;
    println!("toy: listening on {address}");
    loop {
        let (stream, _) = listener.accept().await?;
        tokio::spawn(async move {
            if let Err(e) = connection(stream).await {
                println!("connection failed: {e}");
            }
        });
    }
}

async fn connection(stream: TcpStream) -> Result<(), h2::Error> {
    let mut connection = h2::server::handshake(stream).await?;
    while let Some(call) = connection.accept().await {
        let (request, reply) = call?;
        tokio::spawn(async move {
            if let Err(e) = answer(request, reply).await {
                println!("call failed: {e}");
            }
        });
    }
    Ok(())
}

/// Answers a message according to the end of its path: /busy with 429 and a retry-after of two seconds,
/// /gone with 410, /error with 500, /slow with 201 after two seconds, and any other path with 201 at once.
async fn answer(
    request: http::Request<h2::RecvStream>,
    mut reply: h2::server::SendResponse<Bytes>,
) -> Result<(), h2::Error> {
    let (head, mut body) = request.into_parts();
    let mut text = Vec::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk?;
        body.flow_control().release_capacity(chunk.len())?;
        text.extend_from_slice(&chunk);
    }
    let path = head.uri.path();
    println!("{} {path}: {}", head.method, String::from_utf8_lossy(&text).trim_end());
    let mut response = http::Response::builder();
    response = match path.rsplit('/').next() {
        _ if path == "/reports" => response.status(204),
        Some("busy") => response.status(429).header("retry-after", "2"),
        Some("gone") => response.status(410),
        Some("error") => response.status(500),
        Some("slow") => {
            tokio::time::sleep(Duration::from_secs(2)).await;
            response.status(201)
        }
        _ => response.status(201),
    };
    reply.send_response(response.body(()).expect("valid status and header"), true)?;
    Ok(())
}

async fn send(path: &str, ttl: &str, text: &str) -> Result<(), Error> {
    let stream = TcpStream::connect("127.0.0.1:8480").await?;
    let (sender, connection) = h2::client::handshake(stream).await?;
    tokio::spawn(connection);
    let request = http::Request::post(format!("http://127.0.0.1:8480{path}")).header("ttl", ttl).body(())?;
    let mut sender = sender.ready().await?;
    let (answer, mut body) = sender.send_request(request, false)?;
    body.send_data(Bytes::copy_from_slice(text.as_bytes()), true)?;
    let answer = answer.await?;
    println!("{}", answer.status());
    for name in ["location", "ttl", "retry-after"] {
        if let Some(value) = answer.headers().get(name) {
            println!("{name}: {}", value.to_str()?);
        }
    }
    Ok(())
}
