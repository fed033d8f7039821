//! Stand-ins over HTTP/2: gateways (and the reader of notices) and submitters.
use bytes::Bytes;
use h2::{Reason, RecvStream};
use std::io::Write;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

use super::http1::{listen, listener};
use super::{Got, Said, said};

type Tell = mpsc::UnboundedSender<Got>;
type Words = mpsc::UnboundedReceiver<Said>;

async fn whole(mut body: RecvStream) -> Option<String> {
    let mut text = Vec::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.ok()?;
        body.flow_control().release_capacity(chunk.len()).ok()?;
        text.extend_from_slice(&chunk);
    }
    Some(String::from_utf8_lossy(&text).into_owned())
}

fn put_headers(got: &mut Got, headers: &http::HeaderMap) {
    for (name, value) in headers {
        got.fields.insert(name.to_string(), String::from_utf8_lossy(value.as_bytes()).into_owned());
    }
}

/// A gateway. A call is answered with a status or with `reset=CODE`; `goaway=ID` tells all connections that
/// streams above that one never ran, and ends them as soon as the rest is answered.
pub fn gateway(tell: Tell, words: Words, streams: u32) -> SocketAddr {
    let (listener, address) = listener();
    tokio::spawn(async move {
        let serve = |stream: TcpStream, mut broken: watch::Receiver<u32>, mut said: Words| {
            let tell = tell.clone();
            async move {
                // A second handle: h2 sends no GOAWAY with an id of one's choice.
                let stream = stream.into_std().expect("a socket");
                let mut raw = stream.try_clone().expect("a socket");
                let stream = TcpStream::from_std(stream).expect("a socket");
                let mut builder = h2::server::Builder::new();
                let opened = builder.max_concurrent_streams(streams).handshake(stream).await;
                let Ok(mut connection) = opened else { return };
                loop {
                    tokio::select! {
                        call = connection.accept() => match call {
                            Some(Ok((request, reply))) => drop(tokio::spawn(call_in(request, reply, tell.clone()))),
                            _ => break,
                        },
                        Some(words) = said.recv() => {
                            let last: u32 = super::said(&words, "goaway").and_then(|l| l.parse().ok()).expect("an id");
                            let frame = [&[0, 0, 8, 7, 0, 0, 0, 0, 0], &last.to_be_bytes()[..], &[0; 4]].concat();
                            raw.write_all(&frame).expect("it is written");
                        }
                        _ = broken.changed() => return,
                    }
                }
                let _ = tell.send(Got::new("closed", []));
            }
        };
        listen(listener, words, serve).await;
    });
    address
}

async fn call_in(request: http::Request<RecvStream>, mut reply: h2::server::SendResponse<Bytes>, tell: Tell) {
    let (head, body) = request.into_parts();
    let mut got = Got::new(head.method.as_str(), [("path", head.uri.path())]);
    got.fields.insert("stream".into(), reply.stream_id().as_u32().to_string());
    put_headers(&mut got, &head.headers);
    let Some(body) = whole(body).await else { return };
    got.fields.insert("body".into(), body.clone());
    let (say, mut words) = mpsc::unbounded_channel();
    if head.uri.path() == "/reports" {
        let notice: serde_json::Value = serde_json::from_str(&body).expect("JSON");
        got.what = notice["state"].as_str().expect("a state").into();
        got.fields.insert("status".into(), notice["status"].to_string());
        got.fields.insert("after_ms".into(), notice["after_ms"].to_string());
        let _ = tell.send(got);
        let _ = say.send(vec![("204".into(), String::new())]);
    } else {
        let _ = tell.send(got.call(say));
    }
    let given_up = std::future::poll_fn(|cx| reply.poll_reset(cx));
    let said_words = tokio::select! {
        Some(words) = words.recv() => words,
        _ = given_up => {
            let _ = tell.send(Got::new("givenup", [("body", body.as_str())]));
            return;
        }
    };
    if let Some(code) = said(&said_words, "reset") {
        return reply.send_reset(Reason::from(code.parse::<u32>().expect("a code")));
    }
    let mut answer = http::Response::builder().status(said_words[0].0.as_str());
    for (name, value) in said_words[1..].iter().filter(|(k, _)| k != "to") {
        answer = answer.header(name, value);
    }
    let _ = reply.send_response(answer.body(()).expect("a response"), true);
}

/// A submitter's connection; each answer is told with the body of its request as `to`.
pub fn submitter(relay: SocketAddr, tell: Tell, mut words: Words) {
    tokio::spawn(async move {
        let stream = TcpStream::connect(relay).await.expect("the relay listens");
        let (mut sender, connection) = h2::client::handshake(stream).await.expect("it speaks HTTP/2");
        tokio::spawn(connection);
        while let Some(words) = words.recv().await {
            let Ok(ready) = sender.ready().await else { break };
            sender = ready;
            let (method, path) = (words[0].0.as_str(), words[1].0.as_str());
            let mut request = http::Request::builder().method(method).uri(format!("http://relay{path}"));
            for (name, value) in words[2..].iter().filter(|(k, _)| k != "body") {
                request = request.header(name, value);
            }
            let body = said(&words, "body").unwrap_or("").to_owned();
            let Ok((answer, mut stream)) = sender.send_request(request.body(()).expect("a request"), false)
            else {
                break;
            };
            let _ = stream.send_data(Bytes::from(body.clone()), true);
            let tell = tell.clone();
            tokio::spawn(async move {
                let Ok(answer) = answer.await else { return };
                let mut got = Got::new(answer.status().as_str(), [("to", body.as_str())]);
                put_headers(&mut got, answer.headers());
                let _ = tell.send(got);
            });
        }
    });
}
