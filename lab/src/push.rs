//! The second front's world: gateways, a reader of notices and submitters over HTTP/2 without TLS.
//!
//! Streams take the place of connections: a call that breaks is a stream that is reset, and a partner that refuses
//! connections breaks those that it has.
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
use crate::model::{At, Fate};
use crate::world::{World, address};

/// Streams that one connection may have open.
const STREAMS: u32 = 1000;
/// Submitters wait so long for an answer.
const ANSWER_TIME: Duration = Duration::from_secs(3);

/// The relay's own file for an experiment: an upstream for each destination, a location for each of its classes.
pub fn file(
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
    let whole = |n: u64| Value::Integer(n as i64);
    file.insert(
        "push".into(),
        table(vec![
            ("listen", listen.to_string().into()),
            ("notices", notices.to_string().into()),
            ("state", state.into()),
            ("disk_mb", relay.disk_mb.into()),
            ("body_limit", whole(experiment.load.body.max(4096) as u64)),
            ("connections", whole(256)),
        ])
        .into(),
    );
    let mut limits = table(vec![
        ("relays", whole(relay.count as u64)),
        ("slots", whole(relay.slots.into())),
        ("jobs", whole(relay.held.into())),
        ("idle_close_ms", whole(relay.idle_close_ms)),
    ]);
    // What the experiment says of them itself.
    limits.extend(file.get("limits").and_then(Value::as_table).cloned().unwrap_or_default());
    file.insert("limits".into(), limits.into());
    let class = |name: &str, aim: u64, give_up: u64, repeat: &str, worth: f64| {
        let pairs = vec![
            ("name", name.into()),
            ("aim_ms", whole(aim)),
            ("give_up_ms", whole(give_up)),
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
async fn whole(mut body: RecvStream) -> Result<Bytes, h2::Error> {
    let mut all = Vec::new();
    while let Some(part) = body.data().await {
        let part = part?;
        all.extend_from_slice(&part);
        body.flow_control().release_capacity(part.len())?;
    }
    Ok(all.into())
}

/// The message that a request's path ends with.
fn message(path: &str) -> Option<u64> {
    message_number(path.rsplit('/').next()?)
}

/// A gateway's side of one connection, until it ends.
pub async fn serve(stream: TcpStream, world: Rc<RefCell<World>>, start: Instant, dest: usize, endpoint: u32) {
    let mut builder = server::Builder::new();
    builder.max_concurrent_streams(STREAMS);
    let Ok(mut connection) = builder.handshake::<_, Bytes>(stream).await else { return };
    while let Some(Ok((request, answer))) = connection.accept().await {
        spawn_local(call(request, answer, world.clone(), start, dest, endpoint));
        if world.borrow_mut().partner(dest, endpoint).is_gone(start.elapsed()) {
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
    let (Some(msg), Ok(_)) = (message, whole(request.into_body()).await) else {
        return answer.send_reset(Reason::PROTOCOL_ERROR);
    };
    let now = || -> At { start.elapsed() };
    let fate = world.borrow_mut().call(msg, dest, endpoint, first, now());
    let over = |fate| world.borrow_mut().call_over(msg, dest, now(), fate);
    let mut status = StatusCode::CREATED;
    match fate {
        Fate::Served(after) => {
            let ended = std::future::poll_fn(|cx| answer.poll_reset(cx));
            tokio::select! {
                () = tokio::time::sleep(after) => {}
                _ = ended => return over(None),
            }
        }
        Fate::Failed => status = StatusCode::INTERNAL_SERVER_ERROR,
        Fate::Full(_) => status = StatusCode::TOO_MANY_REQUESTS,
        Fate::Lost => {
            answer.send_reset(Reason::INTERNAL_ERROR);
            return over(None);
        }
        Fate::Silent => {
            let _ = std::future::poll_fn(|cx| answer.poll_reset(cx)).await;
            return over(None);
        }
    }
    let mut response = Response::builder().status(status);
    if let Fate::Full(Some(wait)) = fate {
        response = response.header("retry-after", format!("{:.3}", wait.as_secs_f64()));
    }
    let response = response.body(()).expect("a sound answer");
    let sent = answer.send_response(response, true).is_ok();
    over(Some(fate).filter(|_| sent));
}

/// The reader of notices; gives its address.
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
                        let read = whole(request.into_body())
                            .await
                            .is_ok_and(|body| world.borrow_mut().report(&body, start.elapsed()));
                        let status = if read { StatusCode::NO_CONTENT } else { StatusCode::BAD_REQUEST };
                        let response = Response::builder().status(status).body(()).expect("a sound answer");
                        let _: Result<h2::SendStream<Bytes>, _> = answer.send_response(response, true);
                    });
                }
            });
        }
    });
    Ok(address)
}

/// Opens a connection over HTTP/2 that reads and writes by itself.
pub async fn dial(address: SocketAddr, builder: &client::Builder) -> Option<client::SendRequest<Bytes>> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (line, connection) = builder.handshake(stream).await.ok()?;
    spawn_local(async move { drop(connection.await) });
    Some(line)
}

/// The submitters of one relay: a few connections, with a stream for each message.
pub struct Submitters {
    relay: SocketAddr,
    lines: RefCell<Vec<Option<client::SendRequest<Bytes>>>>,
    next: Cell<usize>,
    world: Rc<RefCell<World>>,
    body: Bytes,
}

impl Submitters {
    pub fn new(relay: SocketAddr, world: Rc<RefCell<World>>, body: usize, lines: usize) -> Rc<Self> {
        let body = Bytes::from(vec![b'x'; body]);
        let lines = RefCell::new(vec![None; lines.max(1)]);
        Rc::new(Submitters { relay, lines, next: Cell::new(0), world, body })
    }

    /// The next connection by turns, opened where it is not.
    async fn line(&self) -> Option<client::SendRequest<Bytes>> {
        let slot = self.next.get() % self.lines.borrow().len();
        self.next.set(slot + 1);
        let known = self.lines.borrow()[slot].clone();
        if let Some(line) = known
            && let Ok(line) = line.ready().await
        {
            return Some(line);
        }
        let line = dial(self.relay, &client::Builder::new()).await?;
        self.lines.borrow_mut()[slot] = Some(line.clone());
        line.ready().await.ok()
    }
}

impl Submitter for Submitters {
    /// Times to live are whole seconds, rounded.
    const DEADLINE_SLACK: Duration = Duration::from_millis(500);

    async fn hand_in(&self, msg: u64, arrival: &Arrival, intended: Instant) -> Option<bool> {
        let call = async {
            let mut line = self.line().await?;
            let left = arrival.patience.saturating_sub(intended.elapsed());
            let class = arrival.class();
            let request = Request::post(format!("http://{}/{class}/{}/m{msg}", self.relay, arrival.dest))
                .header("ttl", left.as_secs_f64().round().max(1.0) as u64)
                .body(())
                .ok()?;
            let (answer, mut stream) = line.send_request(request, false).ok()?;
            stream.send_data(self.body.clone(), true).ok()?;
            let answer = answer.await.ok()?;
            let taken = answer.status().is_success();
            let location = answer.headers().get("location").and_then(|v| v.to_str().ok());
            if let Some(id) = location.and_then(|l| l.rsplit('/').next()).filter(|_| taken) {
                self.world.borrow_mut().named(id, msg);
            }
            Some(taken)
        };
        timeout(ANSWER_TIME, call).await.ok().flatten()
    }
}
