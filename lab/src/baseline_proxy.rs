//! A minimal HTTP/2 proxy built on the same libraries as the relay. Its costs are the lower bound that the
//! relay's costs are compared with. It reads listener, upstreams and locations from the relay's file,
//! answers every message with 201 and forwards it once, over one connection per gateway. It keeps no
//! journal, makes no decisions and sends no notices, so the difference to the relay is the cost of these.
use actix_http::{HttpMessage, HttpService, KeepAlive, Request, Response, StatusCode};
use actix_service::fn_service;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use h2::client::SendRequest;
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use tokio::net::TcpListener;

use crate::push;

#[derive(Deserialize)]
struct File {
    push: PushTable,
    upstream: Vec<Upstream>,
    location: Vec<Location>,
}

#[derive(Deserialize)]
struct PushTable {
    listen: SocketAddr,
}

#[derive(Deserialize)]
struct Upstream {
    name: String,
    server: Vec<Server>,
}

#[derive(Deserialize)]
struct Server {
    address: SocketAddr,
}

#[derive(Deserialize)]
struct Location {
    path: String,
    upstream: String,
}

/// Connection to a gateway; the lock prevents concurrent messages from opening one connection each.
type Connection = Rc<tokio::sync::Mutex<Option<SendRequest<Bytes>>>>;

/// Maximum number of concurrent streams to one gateway.
const STREAMS: usize = 1000;

struct BaselineProxy {
    /// Gateway addresses by path prefix.
    gateways: HashMap<String, SocketAddr>,
    connections: RefCell<HashMap<SocketAddr, Connection>>,
    /// Number of the last message, used in its `Location` header.
    last_message: Cell<u64>,
}

/// Forwards messages until the process is terminated.
pub fn run(file: &Path) -> Result<(), String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let File { push: table, upstream, location } = toml::from_str(&text).map_err(|e| e.to_string())?;
    let address = |name: &str| upstream.iter().find(|u| u.name == name)?.server.first().map(|s| s.address);
    let gateways = location.iter().filter_map(|l| Some((l.path.clone(), address(&l.upstream)?))).collect();
    let proxy =
        Rc::new(BaselineProxy { gateways, connections: RefCell::default(), last_message: Cell::new(0) });
    actix_rt::System::new().block_on(async move {
        let listener = TcpListener::bind(table.listen).await.map_err(|e| e.to_string())?;
        loop {
            let (stream, _) = listener.accept().await.map_err(|e| e.to_string())?;
            let proxy = proxy.clone();
            actix_rt::spawn(async move {
                let _ = stream.set_nodelay(true);
                let service = HttpService::build().keep_alive(KeepAlive::Os).h2(fn_service(move |request| {
                    let proxy = proxy.clone();
                    async move { Ok::<_, Infallible>(proxy.serve(request).await) }
                }));
                let service = actix_service::ServiceFactory::new_service(&service, ()).await;
                if let Ok(service) = service {
                    let peer = stream.peer_addr().ok();
                    let _ = actix_service::Service::call(&service, (stream, peer)).await;
                }
            });
        }
    })
}

impl BaselineProxy {
    async fn serve(self: Rc<Self>, mut request: Request) -> Response<String> {
        let path = request.path().to_owned();
        let gateway = path.rfind('/').and_then(|end| self.gateways.get(&path[..=end])).copied();
        let Some(gateway) = gateway else { return Response::with_body(StatusCode::NOT_FOUND, String::new()) };
        let ttl = request.headers().get("ttl").and_then(|v| v.to_str().ok()).unwrap_or("0").to_owned();
        let (mut payload, mut body) = (request.take_payload(), BytesMut::new());
        while let Some(Ok(part)) = payload.next().await {
            body.extend_from_slice(&part);
        }
        self.last_message.set(self.last_message.get() + 1);
        let mut response = Response::with_body(StatusCode::CREATED, String::new());
        let location = format!("/message/{}", self.last_message.get()).parse().expect("digits");
        response.headers_mut().insert(actix_http::header::LOCATION, location);
        actix_rt::spawn(self.forward(gateway, path, ttl, body.freeze()));
        response
    }

    async fn forward(self: Rc<Self>, gateway: SocketAddr, path: String, ttl: String, body: Bytes) {
        let Some(mut connection) = self.connection(gateway).await else { return };
        let request = http::Request::post(format!("http://{gateway}{path}")).header("ttl", ttl).body(());
        let Ok(request) = request else { return };
        let Ok((answer, mut stream)) = connection.send_request(request, false) else { return };
        if stream.send_data(body, true).is_ok()
            && let Ok(answer) = answer.await
        {
            let mut rest = answer.into_body();
            while let Some(Ok(part)) = rest.data().await {
                let _ = rest.flow_control().release_capacity(part.len());
            }
        }
    }

    async fn connection(&self, gateway: SocketAddr) -> Option<SendRequest<Bytes>> {
        let connection = self.connections.borrow_mut().entry(gateway).or_default().clone();
        let mut connection = connection.lock().await;
        if let Some(known) = connection.clone()
            && let Ok(ready) = known.ready().await
        {
            return Some(ready);
        }
        let mut builder = h2::client::Builder::new();
        builder.enable_push(false).initial_max_send_streams(STREAMS);
        let sender = push::connect(gateway, &builder).await?;
        *connection = Some(sender.clone());
        sender.ready().await.ok()
    }
}
