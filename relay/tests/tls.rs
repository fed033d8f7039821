//! TLS on both sides of the second front: what is presented, who is let in, and that reloading drops nothing.
mod program;

use bytes::Bytes;
use h2::{client, server};
use http::{Request, Response};
use onyxglade::tls::{self, ClientTlsTable, MinTlsVersion, ServerTlsTable};
use program::Program;
use rustls::pki_types::ServerName;
use rustls::{ClientConfig, ServerConfig};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_rustls::client::TlsStream;
use tokio_rustls::{TlsAcceptor, TlsConnector};

const PATIENCE: Duration = Duration::from_secs(8);

/// Certificates of one authority in a folder.
struct Certificates(PathBuf);

impl Certificates {
    fn make(folder: &Path, name: &str) -> Self {
        let folder = folder.join(name);
        tls::generate_certificates(&folder, &["gateway.test".into()]).expect("certificates");
        Certificates(folder)
    }

    fn file(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    fn server(&self, clients: bool) -> Arc<ServerConfig> {
        let clients = clients.then(|| self.file("authority.pem"));
        let (certificate, key) = (self.file("server.pem"), self.file("server.key"));
        tls::server_config(&ServerTlsTable { certificate, key, clients, min_version: MinTlsVersion::Tls12 })
            .expect("sound")
    }

    fn client(&self, presents: bool) -> ClientConfig {
        self.client_with(presents.then_some(self))
    }

    /// One that trusts this authority and presents what is of another.
    fn client_with(&self, presents: Option<&Certificates>) -> ClientConfig {
        let of = |name: &str| presents.map(|own| own.file(name));
        let (certificate, key) = (of("client.pem"), of("client.key"));
        let table = ClientTlsTable {
            trust: self.file("authority.pem"),
            certificate,
            key,
            min_version: MinTlsVersion::Tls12,
        };
        Arc::unwrap_or_clone(tls::client_config(&table).expect("sound"))
    }
}

/// A gateway that takes everything; tells what came, by which certificate of the relay's if any.
async fn gateway(config: Arc<ServerConfig>) -> (SocketAddr, mpsc::UnboundedReceiver<(String, bool)>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let (tell, told) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (acceptor, tell) = (TlsAcceptor::from(config.clone()), tell.clone());
            tokio::spawn(async move {
                let Ok(stream) = acceptor.accept(stream).await else { return };
                let known = stream.get_ref().1.peer_certificates().is_some();
                let Ok(mut connection) = server::handshake(stream).await else { return };
                while let Some(Ok((request, mut answer))) = connection.accept().await {
                    let _ = tell.send((request.uri().path().to_owned(), known));
                    let taken = Response::builder().status(201).body(()).expect("a response");
                    let _: Result<h2::SendStream<Bytes>, _> = answer.send_response(taken, true);
                }
            });
        }
    });
    (address, told)
}

struct Relay {
    program: Program,
    _folder: tempfile::TempDir,
}

impl Relay {
    async fn start(own: &Certificates, trust: &Certificates, gateway: SocketAddr, clients: bool) -> Relay {
        let folder = tempfile::tempdir().expect("a folder");
        let clients =
            if clients { format!("clients = {:?}\n", own.file("authority.pem")) } else { String::new() };
        let text = format!(
            "[push]\nlisten = \"127.0.0.1:0\"\nnotices = \"127.0.0.1:1\"\nstate = {:?}\n\
             [push.tls]\ncertificate = {:?}\nkey = {:?}\n{clients}\
             [gateways.tls]\ntrust = {:?}\ncertificate = {:?}\nkey = {:?}\n\
             [[class]]\nname = \"notice\"\naim_ms = 500\ngive_up_ms = 3000\nrepeat = \"safe\"\n\
             [[upstream]]\nname = \"g\"\ntls = \"gateway.test\"\nserver = [{{ address = \"{gateway}\" }}]\n\
             [[location]]\npath = \"/push/\"\nupstream = \"g\"\nclass = \"notice\"\n",
            folder.path().join("state"),
            own.file("server.pem"),
            own.file("server.key"),
            trust.file("authority.pem"),
            own.file("client.pem"),
            own.file("client.key"),
        );
        let file = folder.path().join("push.toml");
        std::fs::write(&file, text).expect("the file");
        Relay { program: Program::start(&file, "onyxglade=debug").await, _folder: folder }
    }

    /// Waits for a line of the log.
    async fn logs(&mut self, part: &str) -> String {
        let find = async {
            loop {
                let line = self.program.lines.next_line().await.expect("a log").expect("it runs");
                if line.contains(part) {
                    return line;
                }
            }
        };
        timeout(PATIENCE, find).await.unwrap_or_else(|_| panic!("no line with '{part}'"))
    }

    async fn connect(
        &self,
        mut config: ClientConfig,
        protocols: &[&[u8]],
    ) -> std::io::Result<TlsStream<TcpStream>> {
        config.alpn_protocols = protocols.iter().map(|p| p.to_vec()).collect();
        let stream = TcpStream::connect(self.program.address).await?;
        let name = ServerName::try_from("localhost").expect("a name");
        TlsConnector::from(Arc::new(config)).connect(name, stream).await
    }
}

async fn speak(stream: TlsStream<TcpStream>) -> client::SendRequest<Bytes> {
    let (sender, connection) = client::handshake(stream).await.expect("HTTP/2");
    tokio::spawn(connection);
    sender
}

async fn post(sender: &client::SendRequest<Bytes>, path: &str) -> Result<u16, h2::Error> {
    let mut sender = sender.clone().ready().await?;
    let request =
        Request::post(format!("https://localhost{path}")).header("ttl", "3").body(()).expect("a request");
    let (answer, mut stream) = sender.send_request(request, false)?;
    stream.send_data(Bytes::from_static(b"m"), true)?;
    Ok(answer.await?.status().as_u16())
}

#[tokio::test]
async fn messages_pass_by_tls_on_both_sides_and_new_certificates_drop_nothing() {
    let folder = tempfile::tempdir().expect("a folder");
    let (own, other) = (Certificates::make(folder.path(), "own"), Certificates::make(folder.path(), "other"));
    // The gateway lets in only who presents a certificate of this authority's.
    let (gateway, mut told) = gateway(own.server(true)).await;
    let mut relay = Relay::start(&own, &own, gateway, false).await;
    let first = relay.connect(own.client(false), &[b"h2"]).await.expect("it is let in");
    let first = speak(first).await;
    assert_eq!(post(&first, "/push/a").await.expect("an answer"), 201);
    let got = timeout(PATIENCE, told.recv()).await.expect("in time").expect("a call");
    assert_eq!(got, ("/push/a".to_owned(), true));

    // Certificates of another authority take the place of those that are presented.
    for name in ["server.pem", "server.key"] {
        std::fs::copy(other.file(name), own.file(name)).expect("replaced");
    }
    let id = relay.program.child.id().expect("it runs").to_string();
    std::process::Command::new("kill").args(["-HUP", &id]).status().expect("a signal");
    relay.logs("SIGHUP: file read anew").await;
    assert_eq!(post(&first, "/push/b").await.expect("the old connection goes on"), 201);
    assert!(
        relay.connect(own.client(false), &[b"h2"]).await.is_err(),
        "the old authority still vouches for it"
    );
    let second = relay.connect(other.client(false), &[b"h2"]).await.expect("the new one does");
    assert_eq!(post(&speak(second).await, "/push/c").await.expect("an answer"), 201);
    let paths = [told.recv().await, told.recv().await].map(|got| got.expect("a call").0);
    assert_eq!(paths, ["/push/b", "/push/c"]);
}

#[tokio::test]
async fn who_presents_nothing_or_speaks_something_else_is_not_let_in() {
    let folder = tempfile::tempdir().expect("a folder");
    let (own, other) = (Certificates::make(folder.path(), "own"), Certificates::make(folder.path(), "other"));
    let (gateway, _told) = gateway(own.server(false)).await;
    let relay = Relay::start(&own, &own, gateway, true).await;
    let known = relay.connect(own.client(true), &[b"h2"]).await.expect("it is let in");
    assert_eq!(post(&speak(known).await, "/push/a").await.expect("an answer"), 201);
    assert!(relay.connect(own.client(true), &[b"http/1.1"]).await.is_err(), "another protocol is agreed on");
    for presents in [None, Some(&other)] {
        let stranger = own.client_with(presents);
        let answered = async {
            let stream = relay.connect(stranger.clone(), &[b"h2"]).await.ok()?;
            let (sender, connection) = client::handshake(stream).await.ok()?;
            tokio::spawn(connection);
            post(&sender, "/push/b").await.ok()
        };
        assert_eq!(timeout(PATIENCE, answered).await.expect("in time"), None, "a stranger is let in");
    }
    // Without any protocol named, nothing is spoken.
    let answered = async {
        let stream = relay.connect(own.client(true), &[]).await.ok()?;
        let (sender, connection) = client::handshake(stream).await.ok()?;
        tokio::spawn(connection);
        post(&sender, "/push/b").await.ok()
    };
    assert_eq!(timeout(PATIENCE, answered).await.expect("in time"), None);
}

#[tokio::test]
async fn a_gateway_that_cannot_show_who_it_is_gets_nothing() {
    let folder = tempfile::tempdir().expect("a folder");
    let (own, other) = (Certificates::make(folder.path(), "own"), Certificates::make(folder.path(), "other"));
    let (gateway, mut told) = gateway(other.server(false)).await;
    let mut relay = Relay::start(&own, &own, gateway, false).await;
    let line = relay.connect(own.client(false), &[b"h2"]).await.expect("it is let in");
    assert_eq!(post(&speak(line).await, "/push/a").await.expect("an answer"), 201);
    let line = relay.logs("no connection to a gateway").await;
    assert!(line.contains("TLS"), "{line}");
    assert!(timeout(Duration::from_millis(500), told.recv()).await.is_err());
}
