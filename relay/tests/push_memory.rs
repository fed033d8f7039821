//! Submitters of the push front whose requests take memory, to a relay with both fronts and the least memory that the pages name.
mod program;

use bytes::Bytes;
use h2::SendStream;
use h2::client::SendRequest;
use http::Request;
use onyxglade_lab::experiment::RelayTable;
use onyxglade_lab::relay::configuration;
use program::{Program, peak_resident_mb};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

const MEMORY_MB: f64 = 32.0;
const CONNECTIONS: usize = 60;
const STREAMS: usize = 100;
/// Short fields of each request: a header list of about 8 KB.
const FIELDS: usize = 180;
const TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a relay with both fronts, whose gateway and discovery never accept a connection.
async fn start(folder: &Path) -> Program {
    let unused = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let peer = unused.local_addr().expect("bound");
    drop(unused);
    let text = format!(
        r#"[push]
listen = "127.0.0.1:0"
notices = "{peer}"
state = "{}"
[[class]]
name = "order"
aim_ms = 4000
give_up_ms = 28000
repeat = "never"
[[upstream]]
name = "shops"
rate = 200.0
server = [{{ address = "{peer}" }}]
[[location]]
path = "/order/"
upstream = "shops"
class = "order"
"#,
        folder.join("push").display()
    );
    let (file, platform, state) =
        (folder.join("push.toml"), folder.join("config.json"), folder.join("state"));
    std::fs::write(&file, text).expect("written");
    let table = RelayTable { memory_mb: MEMORY_MB, disk_mb: 3.0, ..RelayTable::default() };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    std::fs::write(&platform, configuration(&table, "n0", any, peer, 1).to_string()).expect("written");
    std::fs::create_dir_all(&state).expect("a folder");
    let variables = [("BALANCER_CONFIG", platform.as_path()), ("BALANCER_STATE", state.as_path())];
    Program::start_with(&file, "info", &variables).await
}

async fn connect(program: &Program) -> SendRequest<Bytes> {
    let stream = TcpStream::connect(program.address).await.expect("the relay listens");
    let (sender, connection) = h2::client::handshake(stream).await.expect("HTTP/2");
    tokio::spawn(connection);
    sender
}

fn order(number: usize, fields: usize) -> Request<()> {
    let mut request = Request::post(format!("http://relay/order/{number}")).header("ttl", "20");
    for field in 0..fields {
        request = request.header(format!("field-{field}"), "1");
    }
    request.body(()).expect("a request")
}

/// Begins requests whose bodies do not end. Dropping what is returned resets them.
async fn begin_requests(sender: &SendRequest<Bytes>) -> Vec<SendStream<Bytes>> {
    let mut bodies = Vec::new();
    for number in 0..STREAMS {
        let Ok(mut sender) = sender.clone().ready().await else { break };
        let Ok((response, mut body)) = sender.send_request(order(number, FIELDS), false) else { break };
        let _ = body.send_data(Bytes::from_static(&[b'a'; 512]), false);
        tokio::spawn(response);
        bodies.push(body);
    }
    bodies
}

#[tokio::test]
async fn thousands_of_streams_with_header_lists_of_short_fields_stay_within_the_memory_limit() {
    let folder = tempfile::tempdir().expect("a folder");
    let program = start(folder.path()).await;
    let mut senders = Vec::new();
    let mut bodies = Vec::new();
    for _ in 0..CONNECTIONS {
        let sender = connect(&program).await;
        bodies.extend(begin_requests(&sender).await);
        senders.push(sender);
    }
    // Another submitter's request is answered behind all of them.
    let mut other = connect(&program).await.ready().await.expect("ready");
    let (response, _) = other.send_request(order(0, 0), true).expect("sent");
    let response = timeout(TIMEOUT, response).await.expect("an answer in time").expect("an answer");
    assert!([201, 429].contains(&response.status().as_u16()), "{}", response.status());
    let peak = peak_resident_mb(&program.child);
    assert!(peak <= MEMORY_MB, "{peak} MB");
}
