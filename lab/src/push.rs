//! Emulated peers for the push interface: gateways, the receiver of notices, and submitters, over HTTP/2
//! without TLS.
//!
//! Streams take the role that connections have on the platform interface: a broken call is a stream reset,
//! and a partner that refuses connections closes those it has.
use bytes::Bytes;
use h2::{Reason, RecvStream, client, server};
use http::{Request, Response, StatusCode};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::timeout;
use toml::{Table, Value};

use crate::arrivals::Arrival;
use crate::experiment::Experiment;
use crate::load::Submitter;
use crate::message_number;
use crate::model::{At, CallOutcome};
use crate::world::{World, address};

/// Maximum number of concurrent streams on a connection.
const STREAMS: u32 = 1000;
/// How long a submitter waits for an answer.
const ANSWER_TIME: Duration = Duration::from_secs(3);

/// Builds the relay's own file for an experiment, with an upstream for each destination and a location for
/// each destination and class.
pub fn relay_file(
    experiment: &Experiment,
    dests: usize,
    listen: SocketAddr,
    notices: SocketAddr,
    port: u16,
    state: &str,
) -> Table {
    let relay = &experiment.relay;
    let mut file = relay.own.clone();
    let table = |pairs: Vec<(&str, Value)>| -> Table {
        pairs.into_iter().map(|(key, value)| (key.to_owned(), value)).collect()
    };
    let int = |n: u64| Value::Integer(n as i64);
    file.insert(
        "push".into(),
        table(vec![
            ("listen", listen.to_string().into()),
            ("notices", notices.to_string().into()),
            ("state", state.into()),
            ("disk_mb", relay.disk_mb.into()),
            ("body_limit", int(experiment.load.body.max(4096) as u64)),
            ("connections", int(256)),
        ])
        .into(),
    );
    let mut limits = table(vec![
        ("relays", int(relay.count as u64)),
        ("slots", int(relay.slots.into())),
        ("jobs", int(relay.held.into())),
        ("idle_close_ms", int(relay.idle_close_ms)),
    ]);
    // Limits set by the experiment take precedence.
    limits.extend(file.get("limits").and_then(Value::as_table).cloned().unwrap_or_default());
    file.insert("limits".into(), limits.into());
    let class = |name: &str, aim: u64, give_up: u64, repeat: &str, worth: f64| {
        let pairs = vec![
            ("name", name.into()),
            ("aim_ms", int(aim)),
            ("give_up_ms", int(give_up)),
            ("repeat", repeat.into()),
            ("worth", worth.into()),
        ];
        Value::Table(table(pairs))
    };
    let classes = vec![class("notice", 1000, 6000, "safe", 1.0), class("order", 4000, 28_000, "never", 2.0)];
    file.insert("class".into(), Value::Array(classes));
    let world = World::new(experiment, dests, 0);
    let (mut upstreams, mut locations) = (Vec::new(), Vec::new());
    for dest in 0..dests {
        let name = format!("d{dest}");
        let servers = world.endpoints_of(dest).map(|endpoint| {
            Value::Table(table(vec![("address", address(endpoint, 0, port).to_string().into())]))
        });
        let mut upstream =
            table(vec![("name", name.clone().into()), ("server", Value::Array(servers.collect()))]);
        if relay.weights {
            upstream.insert("rate".into(), experiment.partners_of(dest).nature.rate.into());
        }
        upstreams.push(Value::Table(upstream));
        for class in ["notice", "order"] {
            locations.push(Value::Table(table(vec![
                ("path", format!("/{class}/{dest}/").into()),
                ("upstream", name.clone().into()),
                ("class", class.into()),
            ])));
        }
    }
    file.insert("upstream".into(), Value::Array(upstreams));
    file.insert("location".into(), Value::Array(locations));
    file
}

/// Reads a body to its end.
async fn read_body(mut body: RecvStream) -> Result<Bytes, h2::Error> {
    let mut all = Vec::new();
    while let Some(part) = body.data().await {
        let part = part?;
        all.extend_from_slice(&part);
        body.flow_control().release_capacity(part.len())?;
    }
    Ok(all.into())
}

/// Parses the message number from the last segment of a request's path.
fn message(path: &str) -> Option<u64> {
    message_number(path.rsplit('/').next()?)
}

/// Serves a connection as a gateway until it ends.
pub async fn serve(stream: TcpStream, world: Rc<RefCell<World>>, start: Instant, dest: usize, endpoint: u32) {
    let mut builder = server::Builder::new();
    builder.max_concurrent_streams(STREAMS);
    let Ok(mut connection) = builder.handshake::<_, Bytes>(stream).await else { return };
    while let Some(Ok((request, answer))) = connection.accept().await {
        spawn_local(call(request, answer, world.clone(), start, dest, endpoint));
        if world.borrow_mut().partner(dest, endpoint).refuses_connections(start.elapsed()) {
            return;
        }
    }
}

async fn call(
    request: Request<RecvStream>,
    mut answer: server::SendResponse<Bytes>,
    world: Rc<RefCell<World>>,
    start: Instant,
    dest: usize,
    endpoint: u32,
) {
    let first = start.elapsed();
    let message = message(request.uri().path());
    let (Some(msg), Ok(_)) = (message, read_body(request.into_body()).await) else {
        return answer.send_reset(Reason::PROTOCOL_ERROR);
    };
    let now = || -> At { start.elapsed() };
    let outcome = world.borrow_mut().call(msg, dest, endpoint, first, now());
    let end_call = |outcome| world.borrow_mut().call_ended(msg, dest, now(), outcome);
    let mut status = StatusCode::CREATED;
    match outcome {
        CallOutcome::Served(after) => {
            let ended = std::future::poll_fn(|cx| answer.poll_reset(cx));
            tokio::select! {
                () = tokio::time::sleep(after) => {}
                _ = ended => return end_call(None),
            }
        }
        CallOutcome::Failed => status = StatusCode::INTERNAL_SERVER_ERROR,
        CallOutcome::Overloaded(_) => status = StatusCode::TOO_MANY_REQUESTS,
        CallOutcome::ConnectionLost => {
            answer.send_reset(Reason::INTERNAL_ERROR);
            return end_call(None);
        }
        CallOutcome::Unanswered => {
            let _ = std::future::poll_fn(|cx| answer.poll_reset(cx)).await;
            return end_call(None);
        }
    }
    let mut response = Response::builder().status(status);
    if let CallOutcome::Overloaded(Some(wait)) = outcome {
        response = response.header("retry-after", format!("{:.3}", wait.as_secs_f64()));
    }
    let response = response.body(()).expect("valid response");
    let sent = answer.send_response(response, true).is_ok();
    end_call(Some(outcome).filter(|_| sent));
}

/// Starts the receiver of notices and returns its address.
pub async fn notices(world: Rc<RefCell<World>>, start: Instant) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let world = world.clone();
            spawn_local(async move {
                let Ok(mut connection) = server::handshake(stream).await else { return };
                while let Some(Ok((request, mut answer))) = connection.accept().await {
                    let world = world.clone();
                    spawn_local(async move {
                        let valid = read_body(request.into_body())
                            .await
                            .is_ok_and(|body| world.borrow_mut().receive_notices(&body, start.elapsed()));
                        let status = if valid { StatusCode::NO_CONTENT } else { StatusCode::BAD_REQUEST };
                        let response = Response::builder().status(status).body(()).expect("valid response");
                        let _: Result<h2::SendStream<Bytes>, _> = answer.send_response(response, true);
                    });
                }
            });
        }
    });
    Ok(address)
}

/// Opens an HTTP/2 connection and drives it in a task of its own.
pub async fn connect(address: SocketAddr, builder: &client::Builder) -> Option<client::SendRequest<Bytes>> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = builder.handshake(stream).await.ok()?;
    spawn_local(async move { drop(connection.await) });
    Some(sender)
}

/// The submitters of one relay. They share a few connections, with one stream for each message.
pub struct Submitters {
    relay: SocketAddr,
    connections: RefCell<Vec<Option<client::SendRequest<Bytes>>>>,
    next: Cell<usize>,
    world: Rc<RefCell<World>>,
    body: Bytes,
}

impl Submitters {
    pub fn new(relay: SocketAddr, world: Rc<RefCell<World>>, body: usize, connections: usize) -> Rc<Self> {
        let body = Bytes::from(vec![b'x'; body]);
        let connections = RefCell::new(vec![None; connections.max(1)]);
        Rc::new(Submitters { relay, connections, next: Cell::new(0), world, body })
    }

    /// Selects the next connection in round-robin order and opens it if necessary.
    async fn connection(&self) -> Option<client::SendRequest<Bytes>> {
        let slot = self.next.get() % self.connections.borrow().len();
        self.next.set(slot + 1);
        let known = self.connections.borrow()[slot].clone();
        if let Some(connection) = known
            && let Ok(connection) = connection.ready().await
        {
            return Some(connection);
        }
        let connection = connect(self.relay, &client::Builder::new()).await?;
        self.connections.borrow_mut()[slot] = Some(connection.clone());
        connection.ready().await.ok()
    }
}

impl Submitter for Submitters {
    /// A time to live is sent in whole seconds, rounded.
    const DEADLINE_SLACK: Duration = Duration::from_millis(500);

    async fn hand_in(&self, msg: u64, arrival: &Arrival, intended: Instant) -> Option<bool> {
        let call = async {
            let mut connection = self.connection().await?;
            let left = arrival.patience.saturating_sub(intended.elapsed());
            let class = arrival.class();
            let request = Request::post(format!("http://{}/{class}/{}/m{msg}", self.relay, arrival.dest))
                .header("ttl", left.as_secs_f64().round().max(1.0) as u64)
                .body(())
                .ok()?;
            let (answer, mut stream) = connection.send_request(request, false).ok()?;
            stream.send_data(self.body.clone(), true).ok()?;
            let answer = answer.await.ok()?;
            let accepted = answer.status().is_success();
            let location = answer.headers().get("location").and_then(|v| v.to_str().ok());
            if let Some(id) = location.and_then(|l| l.rsplit('/').next()).filter(|_| accepted) {
                self.world.borrow_mut().assign_id(id, msg);
            }
            Some(accepted)
        };
        timeout(ANSWER_TIME, call).await.ok().flatten()
    }
}
