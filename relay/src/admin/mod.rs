//! The second address, for those who run the relay: it asks the fronts, and decides nothing.
//!
//! It has a listener, places and a connection policy of its own: who connects and finishes no call, thousands of submitters, or a
//! busy relay never keep a call waiting.
mod call;

use actix_http::header::{self, HeaderValue};
use actix_http::{HttpService, KeepAlive, Request, Response, StatusCode};
use actix_service::fn_service;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::availability::Word;
use crate::backlog::Backlog;
use crate::connection_limiter::{
    self, ConnectionLimiter, ConnectionPolicy, ConnectionState, EvictionPolicy, TrackedStream,
};
use crate::core::NotOut;
use crate::disabled::Refused;
use crate::figures::{Census, Figures};
use crate::instances::Instances;
use call::{Call, Unfit};

/// A call is short: one that is not whole within this time is none.
const CONNECTION_POLICY: ConnectionPolicy = ConnectionPolicy {
    first_request_timeout: Duration::from_secs(1),
    request_timeout: Some(Duration::from_secs(1)),
    idle_timeout: Duration::from_secs(1),
    eviction: EvictionPolicy::IdleOrIncomplete,
};
/// What a caller goes on sending after its answer is read for so long.
const LINGER: Duration = Duration::from_millis(200);

/// So long a call waits for the relay to become this process's: its caller waits a second.
const PATIENCE: Duration = Duration::from_millis(800);

/// A front as those who run the relay see it.
pub trait Front {
    fn census(&self) -> Census;
    /// Leaves an endpoint out, or takes it back.
    fn set_out(&self, id: &str, out: bool) -> Result<(), NotOut>;
    /// What waits on disk, if anything may.
    fn backlog(&self) -> Option<Rc<Backlog>>;
}

/// The process, as far as it is theirs to send clients away.
pub trait Process {
    /// False if that can't be had any more.
    fn turn(&self, word: Word) -> bool;
}

pub struct Admin {
    figures: Rc<Figures>,
    /// None until the relay is this process's.
    fronts: RefCell<Vec<Rc<dyn Front>>>,
    opened: Notify,
    /// It can serve, be it only once another process has let go.
    ready: Cell<bool>,
    /// None where this instance talks to no others.
    instances: RefCell<Option<Rc<Instances>>>,
    process: Rc<dyn Process>,
}

impl Admin {
    pub fn new(figures: Rc<Figures>, process: Rc<dyn Process>) -> Rc<Self> {
        Rc::new(Admin {
            figures,
            fronts: RefCell::default(),
            opened: Notify::new(),
            ready: Cell::new(false),
            instances: RefCell::default(),
            process,
        })
    }

    /// The process can serve as soon as another one, which knows of it, lets go.
    pub fn set_ready(&self) {
        self.ready.set(true);
    }

    pub fn set_instances(&self, instances: Option<Rc<Instances>>) {
        *self.instances.borrow_mut() = instances;
    }

    /// The fronts can serve.
    pub fn open(&self, fronts: Vec<Rc<dyn Front>>) {
        self.set_ready();
        *self.fronts.borrow_mut() = fronts;
        self.opened.notify_waiters();
    }

    /// Takes calls, one to a connection.
    pub async fn accept(self: Rc<Self>, listener: TcpListener, places: Rc<ConnectionLimiter>) {
        let service = HttpService::build()
            .keep_alive(KeepAlive::Disabled)
            .client_request_timeout(Duration::ZERO)
            .client_disconnect_timeout(LINGER)
            .on_connect_ext(|gate: &TrackedStream, data| drop(data.insert(gate.seen())))
            .h1(fn_service(move |request: Request| {
                let admin = self.clone();
                async move {
                    let seen = request.conn_data::<Rc<ConnectionState>>().cloned();
                    seen.iter().for_each(|seen| seen.serving());
                    let response = admin.answer(&request).await;
                    seen.iter().for_each(|seen| seen.answered());
                    Ok::<_, Infallible>(response)
                }
            }));
        connection_limiter::accept(listener, places, CONNECTION_POLICY, service).await;
    }

    async fn answer(&self, request: &Request) -> Response<String> {
        let call = Call::read(request.method(), request.path());
        tracing::debug!(method = %request.method(), path = request.path(), ?call, "call to the second address");
        match call {
            Ok(Call::Ready) if !self.ready.get() => {
                said(StatusCode::SERVICE_UNAVAILABLE, "not yet: it starts")
            }
            Ok(Call::Ready) => said(StatusCode::OK, "ready"),
            Ok(Call::Figures) => {
                let census = self.fronts.borrow().iter().map(|front| front.census()).sum();
                let text = Response::with_body(StatusCode::OK, self.figures.text(census));
                of_type(text, prometheus::TEXT_FORMAT)
            }
            Ok(Call::Instances) => match &*self.instances.borrow() {
                Some(instances) => {
                    let view = Response::with_body(StatusCode::OK, instances.view().to_string());
                    of_type(view, "application/json")
                }
                None => {
                    said(StatusCode::NOT_FOUND, "this relay talks to no others: its file has no [instances]")
                }
            },
            Ok(_) if !self.is_open().await => {
                said(StatusCode::SERVICE_UNAVAILABLE, "another process still runs the relay: ask there")
            }
            Ok(Call::Backlog { destination }) => self.backlog(destination).await,
            Ok(Call::Endpoint { id, out }) => self.set_out(&id, out),
            Ok(Call::Drain) => self.turn(Word::Drain, "clients are sent away"),
            Ok(Call::Resume) => self.turn(Word::Resume, "clients are taken"),
            Err(Unfit::NoSuchPath) => said(StatusCode::NOT_FOUND, "there is no such call"),
            Err(Unfit::Destination) => said(StatusCode::BAD_REQUEST, "the destination is no number"),
            Err(Unfit::Id(why)) => said(StatusCode::BAD_REQUEST, &format!("the id of the endpoint: {why}")),
            Err(Unfit::Method(wanted)) => {
                let mut answer = said(StatusCode::METHOD_NOT_ALLOWED, &format!("this call is a {wanted}"));
                answer.headers_mut().insert(header::ALLOW, HeaderValue::from_static(wanted));
                answer
            }
        }
    }
}

impl Admin {
    /// Whether the relay is this process's, now or in a moment.
    async fn is_open(&self) -> bool {
        let opened = self.opened.notified();
        !self.fronts.borrow().is_empty() || timeout(PATIENCE, opened).await.is_ok()
    }

    async fn backlog(&self, destination: Option<u64>) -> Response<String> {
        let backlog = self.fronts.borrow().iter().find_map(|front| front.backlog());
        let Some(backlog) = backlog else {
            return said(StatusCode::NOT_FOUND, "nothing waits on disk: the relay's file has no [backlog]");
        };
        match backlog.report(destination).await {
            Ok(report) => {
                let text = serde_json::to_string(&report).expect("a report has only plain values");
                of_type(Response::with_body(StatusCode::OK, text), "application/json")
            }
            Err(fault) => said(StatusCode::SERVICE_UNAVAILABLE, &fault.to_string()),
        }
    }

    /// Where two fronts know the id, it is out on both.
    fn set_out(&self, id: &str, out: bool) -> Response<String> {
        let mut answer = said(StatusCode::NOT_FOUND, "nobody has this id");
        for front in self.fronts.borrow().iter() {
            match front.set_out(id, out) {
                Ok(()) => answer = said(StatusCode::OK, if out { "out by hand" } else { "not out by hand" }),
                Err(NotOut::Unknown) => {}
                Err(NotOut::Handed) => {
                    return said(StatusCode::SERVICE_UNAVAILABLE, "its successor has the relay: ask there");
                }
                Err(NotOut::Unkept(Refused::Full)) => {
                    return said(
                        StatusCode::INSUFFICIENT_STORAGE,
                        "too many are out by hand: take some back",
                    );
                }
                Err(NotOut::Unkept(Refused::Unwritten(fault))) => {
                    tracing::error!(%fault, id, "cannot write which nodes are out by hand");
                    return said(
                        StatusCode::INTERNAL_SERVER_ERROR,
                        "it cannot be written: nothing has changed",
                    );
                }
            }
        }
        answer
    }

    fn turn(&self, word: Word, done: &str) -> Response<String> {
        match self.process.turn(word) {
            true => said(StatusCode::OK, done),
            false => said(StatusCode::CONFLICT, "the process has been told to end"),
        }
    }
}

/// An answer with a line that says why.
fn said(status: StatusCode, line: &str) -> Response<String> {
    of_type(Response::with_body(status, format!("{line}\n")), "text/plain; charset=utf-8")
}

fn of_type(mut answer: Response<String>, kind: &'static str) -> Response<String> {
    answer.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    answer
}
