//! Submitters of messages. Messages are submitted at the times drawn in advance, independently of earlier
//! answers, and every latency is measured from the time at which the message was scheduled to be submitted.
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout};

use crate::arrivals::Arrival;
use crate::world::World;

/// How long a submitter waits for an answer before it closes the connection.
const ANSWER_TIME: Duration = Duration::from_millis(400);

type Connection = http1::SendRequest<Full<Bytes>>;

/// The submitters of one relay, on either interface.
pub trait Submitter: 'static {
    /// Amount by which the interface may extend a deadline, because of the precision at which it transmits
    /// deadlines.
    const DEADLINE_SLACK: Duration;
    /// Submits one message. Returns whether it was accepted, or `None` if no answer was received in time.
    fn hand_in(&self, msg: u64, arrival: &Arrival, intended: Instant) -> impl Future<Output = Option<bool>>;
}

/// The relay's answer to a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    /// The message was accepted or has already been delivered.
    Accepted,
    /// The message was not accepted.
    Refused {
        /// Delay after which the client should retry, if the answer contains one.
        retry_after: Option<Duration>,
    },
    /// Any other status.
    Failed(StatusCode),
}

impl Response {
    fn of<B>(answer: &hyper::Response<B>) -> Response {
        match answer.status() {
            StatusCode::OK | StatusCode::ACCEPTED => Response::Accepted,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                let header = answer.headers().get("retry-after").and_then(|value| value.to_str().ok());
                let seconds = header.and_then(|text| text.parse().ok());
                Response::Refused { retry_after: seconds.and_then(|s| Duration::try_from_secs_f64(s).ok()) }
            }
            status => Response::Failed(status),
        }
    }
}

/// A request that was sent on a new connection, which then closed without an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Unanswered {
    pub msg: u64,
    /// Error with which the connection ended.
    pub why: String,
    pub connected: Instant,
    pub ended: Instant,
}

/// The submitters of one relay on the platform interface.
pub struct Submitters {
    relay: SocketAddr,
    idle: RefCell<Vec<Connection>>,
    body: Bytes,
    unanswered: RefCell<Vec<Unanswered>>,
}

impl Submitters {
    pub fn new(relay: SocketAddr, body: usize) -> Rc<Self> {
        let body = Bytes::from(vec![b'x'; body]);
        Rc::new(Submitters { relay, idle: RefCell::default(), body, unanswered: RefCell::default() })
    }

    /// Returns the requests that got no answer because the relay closed their connections.
    pub fn unanswered(&self) -> Vec<Unanswered> {
        self.unanswered.borrow().clone()
    }

    /// Takes a connection from the pool that is still open.
    async fn open_connection(&self) -> Option<Connection> {
        loop {
            let mut idle = self.idle.borrow_mut().pop()?;
            if idle.ready().await.is_ok() {
                return Some(idle);
            }
        }
    }

    async fn new_connection(&self) -> Option<Connection> {
        let stream = TcpStream::connect(self.relay).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        spawn_local(async move { drop(connection.await) });
        Some(sender)
    }

    /// Submits one message and returns the relay's answer if it arrives in time. An idle connection may be
    /// closed while the request is being sent on it; the request is then sent once more, on a new
    /// connection.
    pub async fn request(&self, msg: u64, arrival: &Arrival, intended: Instant) -> Option<Response> {
        let call = async {
            if let Some(open) = self.open_connection().await
                && let Ok(response) = self.request_on(open, msg, arrival, intended).await
            {
                return Some(response);
            }
            let connected = Instant::now();
            let new = self.new_connection().await?;
            let answer = self.request_on(new, msg, arrival, intended).await;
            if let Err(error) = answer.as_ref()
                && !error.is_canceled()
            {
                let (why, ended) = (format!("{error:?}"), Instant::now());
                self.unanswered.borrow_mut().push(Unanswered { msg, why, connected, ended });
            }
            answer.ok()
        };
        timeout(ANSWER_TIME, call).await.ok().flatten()
    }

    async fn request_on(
        &self,
        mut connection: Connection,
        msg: u64,
        arrival: &Arrival,
        intended: Instant,
    ) -> hyper::Result<Response> {
        let left = arrival.patience.saturating_sub(intended.elapsed());
        let class = arrival.class();
        let request = Request::post(format!("/{class}"))
            .header("host", "relay")
            .header("x-request-id", format!("m{msg}"))
            .header("x-priority-class", class)
            .header("x-timeout-ms", left.as_millis().to_string())
            .header("x-envelope", format!("dest={}", arrival.dest))
            .body(Full::new(self.body.clone()))
            .expect("valid headers");
        let answer = connection.send_request(request).await?;
        let response = Response::of(&answer);
        answer.into_body().collect().await?;
        self.idle.borrow_mut().push(connection);
        Ok(response)
    }
}

impl Submitter for Submitters {
    const DEADLINE_SLACK: Duration = Duration::ZERO;

    async fn hand_in(&self, msg: u64, arrival: &Arrival, intended: Instant) -> Option<bool> {
        Some(self.request(msg, arrival, intended).await? == Response::Accepted)
    }
}

/// Submits all messages at their scheduled times, independently of earlier answers, and reports them to
/// `world`, whose clock started at `start`.
pub async fn submit_all<S: Submitter>(
    submitters: Rc<S>,
    world: Rc<RefCell<World>>,
    start: Instant,
    arrivals: Vec<(u64, Arrival)>,
    load_start: Instant,
) {
    for (msg, arrival) in arrivals {
        let intended = load_start + arrival.at;
        sleep_until(intended.into()).await;
        let (submitters, world) = (submitters.clone(), world.clone());
        spawn_local(async move {
            let at = intended.saturating_duration_since(start);
            let patience = arrival.patience + S::DEADLINE_SLACK;
            world.borrow_mut().hand_in(msg, arrival.dest, at, patience, arrival.order);
            let answer = submitters.hand_in(msg, &arrival, intended).await;
            world.borrow_mut().answer(msg, start.elapsed(), answer);
        });
    }
}
