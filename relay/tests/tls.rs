//! TLS on both sides of the push front: which certificates are presented and accepted, and that a reload drops nothing.
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

const TIMEOUT: Duration = Duration::from_secs(8);

/// A folder with the certificates of one authority.
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
            .expect("a valid configuration")
    }

    fn client(&self, presents: bool) -> ClientConfig {
        self.client_with(presents.then_some(self))
    }

    /// A client that trusts this authority and may present another authority's certificate.
    fn client_with(&self, presents: Option<&Certificates>) -> ClientConfig {
        let presented = |name: &str| presents.map(|certificates| certificates.file(name));
        let (certificate, key) = (presented("client.pem"), presented("client.key"));
        let table = ClientTlsTable {
            trust: self.file("authority.pem"),
            certificate,
            key,
            min_version: MinTlsVersion::Tls12,
        };
        Arc::unwrap_or_clone(tls::client_config(&table).expect("a valid configuration"))
    }
}

/// A gateway that accepts every message; reports its path and whether the relay presented a certificate.
async fn gateway(config: Arc<ServerConfig>) -> (SocketAddr, mpsc::UnboundedReceiver<(String, bool)>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let (received, requests) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (acceptor, received) = (TlsAcceptor::from(config.clone()), received.clone());
            tokio::spawn(async move {
                let Ok(stream) = acceptor.accept(stream).await else { return };
                let has_certificate = stream.get_ref().1.peer_certificates().is_some();
                let Ok(mut connection) = server::handshake(stream).await else { return };
                while let Some(Ok((request, mut response))) = connection.accept().await {
                    let _ = received.send((request.uri().path().to_owned(), has_certificate));
                    let created = Response::builder().status(201).body(()).expect("a response");
                    let _: Result<h2::SendStream<Bytes>, _> = response.send_response(created, true);
                }
            });
        }
    });
    (address, requests)
}

struct Relay {
    program: Program,
    _folder: tempfile::TempDir,
}

impl Relay {
    async fn start(
        certificates: &Certificates,
        trust: &Certificates,
        gateway: SocketAddr,
        clients: bool,
    ) -> Relay {
        let folder = tempfile::tempdir().expect("a folder");
        let clients = if clients {
            format!("clients = {:?}\n", certificates.file("authority.pem"))
        } else {
            String::new()
        };
        let text = format!(
            "[push]\nlisten = \"127.0.0.1:0\"\nnotices = \"127.0.0.1:1\"\nstate = {:?}\n\
             [push.tls]\ncertificate = {:?}\nkey = {:?}\n{clients}\
             [gateways.tls]\ntrust = {:?}\ncertificate = {:?}\nkey = {:?}\n\
             [[class]]\nname = \"notice\"\naim_ms = 500\ngive_up_ms = 3000\nrepeat = \"safe\"\n\
             [[upstream]]\nname = \"g\"\ntls = \"gateway.test\"\nserver = [{{ address = \"{gateway}\" }}]\n\
             [[location]]\npath = \"/push/\"\nupstream = \"g\"\nclass = \"notice\"\n",
            folder.path().join("state"),
            certificates.file("server.pem"),
            certificates.file("server.key"),
            trust.file("authority.pem"),
            certificates.file("client.pem"),
            certificates.file("client.key"),
        );
        let file = folder.path().join("push.toml");
        std::fs::write(&file, text).expect("the file");
        Relay { program: Program::start(&file, "onyxglade=debug").await, _folder: folder }
    }

    /// Waits for a log line that contains `part`.
    async fn expect_log(&mut self, part: &str) -> String {
        let find = async {
            loop {
                let line = self.program.lines.next_line().await.expect("a log").expect("the relay runs");
                if line.contains(part) {
                    return line;
                }
            }
        };
        timeout(TIMEOUT, find).await.unwrap_or_else(|_| panic!("no log line with '{part}'"))
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

async fn handshake(stream: TlsStream<TcpStream>) -> client::SendRequest<Bytes> {
    let (sender, connection) = client::handshake(stream).await.expect("the HTTP/2 handshake");
    tokio::spawn(connection);
    sender
}

async fn post(sender: &client::SendRequest<Bytes>, path: &str) -> Result<u16, h2::Error> {
    let mut sender = sender.clone().ready().await?;
    let request =
        Request::post(format!("https://localhost{path}")).header("ttl", "3").body(()).expect("a request");
    let (response, mut stream) = sender.send_request(request, false)?;
    stream.send_data(Bytes::from_static(b"m"), true)?;
    Ok(response.await?.status().as_u16())
}

#[tokio::test]
async fn messages_pass_over_tls_on_both_sides_and_a_certificate_reload_drops_nothing() {
    let folder = tempfile::tempdir().expect("a folder");
    let (certificates, other) =
        (Certificates::make(folder.path(), "own"), Certificates::make(folder.path(), "other"));
    // The gateway requires a client certificate of this authority.
    let (gateway, mut requests) = gateway(certificates.server(true)).await;
    let mut relay = Relay::start(&certificates, &certificates, gateway, false).await;
    let first =
        relay.connect(certificates.client(false), &[b"h2"]).await.expect("the connection is accepted");
    let first = handshake(first).await;
    assert_eq!(post(&first, "/push/a").await.expect("a response"), 201);
    let received = timeout(TIMEOUT, requests.recv()).await.expect("in time").expect("a request");
    assert_eq!(received, ("/push/a".to_owned(), true));

    // Replaces the relay's server certificate with one of another authority.
    for name in ["server.pem", "server.key"] {
        std::fs::copy(other.file(name), certificates.file(name)).expect("replaced");
    }
    let id = relay.program.child.id().expect("the relay runs").to_string();
    std::process::Command::new("kill").args(["-HUP", &id]).status().expect("a signal");
    relay.expect_log("SIGHUP: file read anew").await;
    assert_eq!(post(&first, "/push/b").await.expect("the old connection stays open"), 201);
    assert!(
        relay.connect(certificates.client(false), &[b"h2"]).await.is_err(),
        "the relay still presents the old certificate"
    );
    let second =
        relay.connect(other.client(false), &[b"h2"]).await.expect("the new certificate is presented");
    assert_eq!(post(&handshake(second).await, "/push/c").await.expect("a response"), 201);
    let paths = [requests.recv().await, requests.recv().await].map(|received| received.expect("a request").0);
    assert_eq!(paths, ["/push/b", "/push/c"]);
}

#[tokio::test]
async fn clients_without_a_trusted_certificate_or_http2_are_refused() {
    let folder = tempfile::tempdir().expect("a folder");
    let (certificates, other) =
        (Certificates::make(folder.path(), "own"), Certificates::make(folder.path(), "other"));
    let (gateway, _requests) = gateway(certificates.server(false)).await;
    let relay = Relay::start(&certificates, &certificates, gateway, true).await;
    let trusted =
        relay.connect(certificates.client(true), &[b"h2"]).await.expect("the connection is accepted");
    assert_eq!(post(&handshake(trusted).await, "/push/a").await.expect("a response"), 201);
    assert!(
        relay.connect(certificates.client(true), &[b"http/1.1"]).await.is_err(),
        "another protocol was negotiated"
    );
    for presents in [None, Some(&other)] {
        let untrusted = certificates.client_with(presents);
        let status = async {
            let stream = relay.connect(untrusted.clone(), &[b"h2"]).await.ok()?;
            let (sender, connection) = client::handshake(stream).await.ok()?;
            tokio::spawn(connection);
            post(&sender, "/push/b").await.ok()
        };
        assert_eq!(timeout(TIMEOUT, status).await.expect("in time"), None, "an untrusted client was served");
    }
    // Without ALPN, the relay does not serve the connection.
    let status = async {
        let stream = relay.connect(certificates.client(true), &[]).await.ok()?;
        let (sender, connection) = client::handshake(stream).await.ok()?;
        tokio::spawn(connection);
        post(&sender, "/push/b").await.ok()
    };
    assert_eq!(timeout(TIMEOUT, status).await.expect("in time"), None);
}

#[tokio::test]
async fn a_gateway_with_an_untrusted_certificate_gets_nothing() {
    let folder = tempfile::tempdir().expect("a folder");
    let (certificates, other) =
        (Certificates::make(folder.path(), "own"), Certificates::make(folder.path(), "other"));
    let (gateway, mut requests) = gateway(other.server(false)).await;
    let mut relay = Relay::start(&certificates, &certificates, gateway, false).await;
    let stream =
        relay.connect(certificates.client(false), &[b"h2"]).await.expect("the connection is accepted");
    assert_eq!(post(&handshake(stream).await, "/push/a").await.expect("a response"), 201);
    let line = relay.expect_log("no connection to a gateway").await;
    assert!(line.contains("TLS"), "{line}");
    assert!(timeout(Duration::from_millis(500), requests.recv()).await.is_err());
}
