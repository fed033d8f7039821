//! Mock peers over HTTP/2: gateways (also the receiver of notices) and submitters.
use bytes::Bytes;
use h2::{Reason, RecvStream};
use std::io::Write;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

use super::http1::{listen, listener};
use super::{Event, Instruction, argument};

type Events = mpsc::UnboundedSender<Event>;
type Instructions = mpsc::UnboundedReceiver<Instruction>;

async fn read_body(mut body: RecvStream) -> Option<String> {
    let mut text = Vec::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.ok()?;
        body.flow_control().release_capacity(chunk.len()).ok()?;
        text.extend_from_slice(&chunk);
    }
    Some(String::from_utf8_lossy(&text).into_owned())
}

fn add_headers(event: &mut Event, headers: &http::HeaderMap) {
    for (name, value) in headers {
        event.fields.insert(name.to_string(), String::from_utf8_lossy(value.as_bytes()).into_owned());
    }
}

/// A gateway. A request is answered with a status or with `reset=CODE`. `goaway=ID` sends a GOAWAY frame on all connections:
/// streams above that id were not processed, and each connection ends once the others are answered.
pub fn gateway(events: Events, instructions: Instructions, streams: u32) -> SocketAddr {
    let (listener, address) = listener();
    tokio::spawn(async move {
        let serve = |stream: TcpStream, mut broken: watch::Receiver<u32>, mut instructions: Instructions| {
            let events = events.clone();
            async move {
                // A second handle for raw frames: h2 cannot send GOAWAY with a chosen id.
                let stream = stream.into_std().expect("a socket");
                let mut raw = stream.try_clone().expect("a socket");
                let stream = TcpStream::from_std(stream).expect("a socket");
                let mut builder = h2::server::Builder::new();
                let opened = builder.max_concurrent_streams(streams).handshake(stream).await;
                let Ok(mut connection) = opened else { return };
                loop {
                    tokio::select! {
                        accepted = connection.accept() => match accepted {
                            Some(Ok((request, reply))) => drop(tokio::spawn(handle_request(request, reply, events.clone()))),
                            _ => break,
                        },
                        Some(instruction) = instructions.recv() => {
                            let last: u32 = super::argument(&instruction, "goaway").and_then(|l| l.parse().ok()).expect("an id");
                            let frame = [&[0, 0, 8, 7, 0, 0, 0, 0, 0], &last.to_be_bytes()[..], &[0; 4]].concat();
                            raw.write_all(&frame).expect("the frame is written");
                        }
                        _ = broken.changed() => return,
                    }
                }
                let _ = events.send(Event::new("closed", []));
            }
        };
        listen(listener, instructions, serve).await;
    });
    address
}

async fn handle_request(
    request: http::Request<RecvStream>,
    mut reply: h2::server::SendResponse<Bytes>,
    events: Events,
) {
    let (head, body) = request.into_parts();
    let mut event = Event::new(head.method.as_str(), [("path", head.uri.path())]);
    event.fields.insert("stream".into(), reply.stream_id().as_u32().to_string());
    add_headers(&mut event, &head.headers);
    let Some(body) = read_body(body).await else { return };
    event.fields.insert("body".into(), body.clone());
    let (replies, mut instructions) = mpsc::unbounded_channel();
    if head.uri.path() == "/reports" {
        let notice: serde_json::Value = serde_json::from_str(&body).expect("JSON");
        event.kind = notice["state"].as_str().expect("a state").into();
        event.fields.insert("status".into(), notice["status"].to_string());
        event.fields.insert("after_ms".into(), notice["after_ms"].to_string());
        let _ = events.send(event);
        let _ = replies.send(vec![("204".into(), String::new())]);
    } else {
        let _ = events.send(event.with_reply(replies));
    }
    let cancelled = std::future::poll_fn(|cx| reply.poll_reset(cx));
    let instruction = tokio::select! {
        Some(instruction) = instructions.recv() => instruction,
        _ = cancelled => {
            let _ = events.send(Event::new("cancelled", [("body", body.as_str())]));
            return;
        }
    };
    if let Some(code) = argument(&instruction, "reset") {
        return reply.send_reset(Reason::from(code.parse::<u32>().expect("a code")));
    }
    let mut response = http::Response::builder().status(instruction[0].0.as_str());
    for (name, value) in instruction[1..].iter().filter(|(k, _)| k != "to") {
        response = response.header(name, value);
    }
    let _ = reply.send_response(response.body(()).expect("a response"), true);
}

/// A submitter's connection; each response is reported with the body of its request as `to`, and the end of the connection as `closed`.
pub fn submitter(relay: SocketAddr, events: Events, mut instructions: Instructions) {
    tokio::spawn(async move {
        let stream = TcpStream::connect(relay).await.expect("the relay listens");
        let (mut sender, connection) = h2::client::handshake(stream).await.expect("the HTTP/2 handshake");
        let ended = events.clone();
        tokio::spawn(async move {
            let _ = connection.await;
            let _ = ended.send(Event::new("closed", []));
        });
        while let Some(instruction) = instructions.recv().await {
            let Ok(ready) = sender.ready().await else { break };
            sender = ready;
            let (method, path) = (instruction[0].0.as_str(), instruction[1].0.as_str());
            let mut request = http::Request::builder().method(method).uri(format!("http://relay{path}"));
            for (name, value) in instruction[2..].iter().filter(|(k, _)| k != "body") {
                request = request.header(name, value);
            }
            let body = argument(&instruction, "body").unwrap_or("").to_owned();
            let Ok((response, mut stream)) = sender.send_request(request.body(()).expect("a request"), false)
            else {
                break;
            };
            let _ = stream.send_data(Bytes::from(body.clone()), true);
            let events = events.clone();
            tokio::spawn(async move {
                let Ok(response) = response.await else { return };
                let mut event = Event::new(response.status().as_str(), [("to", body.as_str())]);
                add_headers(&mut event, response.headers());
                let _ = events.send(event);
            });
        }
    });
}
