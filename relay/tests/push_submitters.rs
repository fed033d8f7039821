//! What submitters of the push front see of a shutdown, and of others that hold their connections, with the real program.
mod program;

use bytes::Bytes;
use h2::client::SendRequest;
use http::Request;
use program::Program;
use std::path::Path;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Much longer than anything here takes.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a relay whose gateway never accepts a connection.
async fn start(folder: &Path, connections: usize) -> Program {
    let unused = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let gateway = unused.local_addr().expect("bound");
    let file = folder.join("push.toml");
    let text = format!(
        r#"[push]
listen = "127.0.0.1:0"
notices = "{gateway}"
state = "{}"
connections = {connections}
[[class]]
name = "order"
aim_ms = 4000
give_up_ms = 28000
repeat = "never"
[[upstream]]
name = "shops"
rate = 200.0
server = [{{ address = "{gateway}" }}]
[[location]]
path = "/order/"
upstream = "shops"
class = "order"
"#,
        folder.join("push").display()
    );
    std::fs::write(&file, text).expect("written");
    drop(unused);
    Program::start(&file, "info").await
}

async fn connect(program: &Program) -> SendRequest<Bytes> {
    let stream = TcpStream::connect(program.address).await.expect("the relay listens");
    let (sender, connection) = h2::client::handshake(stream).await.expect("HTTP/2");
    tokio::spawn(connection);
    sender
}

/// Submits a message. The status, or why there is none.
async fn post(sender: &SendRequest<Bytes>, number: u32) -> Result<u16, h2::Error> {
    let mut sender = sender.clone().ready().await?;
    let request = Request::post(format!("http://relay/order/{number}")).header("ttl", "20").body(());
    let (response, mut body) = sender.send_request(request.expect("a request"), false)?;
    body.send_data(Bytes::from(format!("order-{number}")), true)?;
    Ok(response.await?.status().as_u16())
}

// Guards against a shutdown that breaks submitters' connections with requests that were read, or without telling them which were not.
#[tokio::test]
async fn every_request_at_a_shutdown_is_answered_or_known_to_be_unread() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut program = start(folder.path(), 16).await;
    let submitters: Vec<_> = futures_util::future::join_all((0..4).map(|_| connect(&program))).await;
    for sender in &submitters {
        post(sender, 0).await.expect("an answer");
    }
    let process = program.child.id().expect("it runs").to_string();
    std::process::Command::new("kill").args(["-TERM", &process]).status().expect("kill");
    let submit = async |sender: SendRequest<Bytes>| {
        for number in 1.. {
            if let Err(error) = post(&sender, number).await {
                assert!(number > 1, "nothing was answered after SIGTERM");
                return error;
            }
            sleep(Duration::from_millis(2)).await;
        }
        unreachable!("the relay ends");
    };
    let ends = futures_util::future::join_all(submitters.into_iter().map(submit));
    for error in timeout(TIMEOUT, ends).await.expect("the relay closes connections") {
        let unread = error.is_go_away() || error.reason() == Some(h2::Reason::REFUSED_STREAM);
        assert!(unread, "{error:?}");
    }
    let status = timeout(TIMEOUT, program.child.wait()).await.expect("the relay ends").expect("a status");
    assert!(status.success());
}

// Guards against submitters that ask once and hold their connections, and so keep all others out.
#[tokio::test]
async fn submitters_that_hold_their_connections_keep_nobody_out() {
    let folder = tempfile::tempdir().expect("a folder");
    let program = start(folder.path(), 8).await;
    let mut held = Vec::new();
    for number in 0..8 {
        let sender = connect(&program).await;
        post(&sender, number).await.expect("an answer");
        held.push(sender);
    }
    for number in 8..12 {
        let late = async {
            let sender = connect(&program).await;
            post(&sender, number).await.expect("an answer");
        };
        timeout(TIMEOUT, late).await.expect("a place");
    }
}
