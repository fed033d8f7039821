//! Submitters: messages are handed in at the times that were drawn, whatever became of those before them, and every
//! latency counts from the time at which a message should have been handed in.
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout};

use crate::arrivals::Arrival;
use crate::world::World;

/// Submitters wait so long for an answer, then close the connection.
const ANSWER_TIME: Duration = Duration::from_millis(400);

type Connection = http1::SendRequest<Full<Bytes>>;

/// The submitters of one relay.
pub struct Submitters {
    relay: SocketAddr,
    idle: RefCell<Vec<Connection>>,
    world: Rc<RefCell<World>>,
    start: Instant,
    body: Bytes,
    /// Connections that were opened.
    pub opened: Cell<u32>,
}

impl Submitters {
    pub fn new(relay: SocketAddr, world: Rc<RefCell<World>>, start: Instant, body: usize) -> Rc<Self> {
        let body = Bytes::from(vec![b'x'; body]);
        Rc::new(Submitters { relay, idle: RefCell::default(), world, start, body, opened: Cell::new(0) })
    }

    async fn connection(&self) -> Option<Connection> {
        loop {
            let Some(mut idle) = self.idle.borrow_mut().pop() else { break };
            if idle.ready().await.is_ok() {
                return Some(idle);
            }
        }
        let stream = TcpStream::connect(self.relay).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        spawn_local(async move { drop(connection.await) });
        self.opened.set(self.opened.get() + 1);
        Some(sender)
    }

    /// Hands one message in; whether it was taken on, if that was heard.
    async fn hand_in(&self, msg: u64, arrival: &Arrival, intended: Instant) -> Option<bool> {
        let call = async {
            let mut connection = self.connection().await?;
            let left = arrival.patience.saturating_sub(intended.elapsed());
            let class = if arrival.order { "order" } else { "notice" };
            let request = Request::post(format!("/{class}"))
                .header("host", "relay")
                .header("x-request-id", format!("m{msg}"))
                .header("x-priority-class", class)
                .header("x-timeout-ms", left.as_millis().to_string())
                .header("x-envelope", format!("dest={}", arrival.dest))
                .body(Full::new(self.body.clone()))
                .ok()?;
            let answer = connection.send_request(request).await.ok()?;
            let status = answer.status();
            answer.into_body().collect().await.ok()?;
            self.idle.borrow_mut().push(connection);
            Some(status)
        };
        let status = timeout(ANSWER_TIME, call).await.ok().flatten()?;
        Some(matches!(status, StatusCode::OK | StatusCode::ACCEPTED))
    }

    /// Hands all messages in, each at its time, with numbers from `first` on.
    pub async fn play(self: Rc<Self>, arrivals: Vec<(u64, Arrival)>, begin: Instant) {
        for (msg, arrival) in arrivals {
            let intended = begin + arrival.at;
            sleep_until(intended.into()).await;
            let this = self.clone();
            spawn_local(async move {
                let at = intended.saturating_duration_since(this.start);
                this.world.borrow_mut().hand_in(msg, arrival.dest, at, arrival.patience, arrival.order);
                let answer = this.hand_in(msg, &arrival, intended).await;
                this.world.borrow_mut().answer(msg, this.start.elapsed(), answer);
            });
        }
    }
}
