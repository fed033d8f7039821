//! The admin address, for the operators of the relay. It passes calls on to the process that runs the relay, and decides nothing itself.
//!
//! It has its own listener, connection limit and connection policy, so that neither callers that do not complete a call, nor
//! thousands of submitters, nor a busy relay delay a call.
mod call;
mod control;

use actix_http::header::{self, HeaderValue};
use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::timeout;

use crate::availability::AvailabilityEvent;
use crate::backlog::Backlog;
use crate::connection_limiter::{ConnectionLimiter, ConnectionPolicy, ConnectionState, EvictionPolicy};
use crate::core::SetDisabledError;
use crate::disabled::DisableError;
use crate::http1::{BodyError, Handler, Http1Limits, Http1Server};
use crate::instances::Instances;
use crate::memory_budget::MemoryBudget;
use crate::metrics::{GaugeValues, Metrics, RejectReason};
use call::{Call, InvalidCall};
pub use control::{ControlHolder, Shutdown};
use control::{NoControl, ServingFronts};

/// Calls are short: one that is not complete within 1 s is dropped.
const CONNECTION_POLICY: ConnectionPolicy = ConnectionPolicy {
    first_request_timeout: Duration::from_secs(1),
    request_timeout: Some(Duration::from_secs(1)),
    idle_timeout: Duration::from_secs(1),
    eviction: EvictionPolicy::IdleOrIncomplete,
};
/// Calls have no bodies; a small one is read and dropped.
const HTTP_LIMITS: Http1Limits =
    Http1Limits { head: 16 * 1024, body: 4 * 1024, linger: Duration::from_millis(200), keep_alive: false };

/// How long a call waits until this process has taken over the relay; its caller waits for a second.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(800);

/// What operators can see of a front, whichever process runs the relay.
pub trait FrontFigures {
    /// The current values of its gauges.
    fn gauge_values(&self) -> GaugeValues;
}

/// What operators can ask of a front, and do to it, at the process that runs the relay.
pub trait FrontControl {
    /// Disables an endpoint, or enables it again.
    fn set_disabled(&self, id: &str, disabled: bool) -> Result<(), SetDisabledError>;
    /// The messages queued on disk, if the front has a backlog.
    fn backlog(&self) -> Option<Rc<Backlog>>;
}

/// Lets operators drain the process's client connections.
pub trait AvailabilityControl {
    /// Applies an event to the process's availability; false if it is no longer possible.
    fn apply(&self, event: AvailabilityEvent) -> bool;
    /// Whether client connections are drained.
    fn is_drained(&self) -> bool;
}

pub struct Admin {
    metrics: Rc<Metrics>,
    /// Empty until this process runs the relay.
    fronts: RefCell<Vec<Rc<dyn FrontFigures>>>,
    /// This process can serve, though perhaps only after another process has handed over.
    ready: Cell<bool>,
    /// `None` if this instance has no connections to others.
    instances: RefCell<Option<Rc<Instances>>>,
    control: Rc<ControlHolder>,
}

impl Admin {
    pub fn new(metrics: Rc<Metrics>, control: Rc<ControlHolder>) -> Rc<Self> {
        Rc::new(Admin {
            metrics,
            fronts: RefCell::default(),
            ready: Cell::new(false),
            instances: RefCell::default(),
            control,
        })
    }

    /// Marks the process as ready: it can serve now, or as soon as another process, which knows of it, has handed over.
    pub fn set_ready(&self) {
        self.ready.set(true);
    }

    pub fn set_instances(&self, instances: Option<Rc<Instances>>) {
        *self.instances.borrow_mut() = instances;
    }

    /// To be called when a front serves.
    pub fn add_front<F: FrontFigures + FrontControl + 'static>(&self, front: Rc<F>) {
        self.fronts.borrow_mut().push(front.clone());
        self.control.add_front(front);
    }

    /// Serves calls, one per connection.
    pub async fn accept(self: Rc<Self>, listener: TcpListener, limiter: Rc<ConnectionLimiter>) {
        // Its few connections are part of the fixed reserve.
        let server = Http1Server::new(CallHandler(self), HTTP_LIMITS, MemoryBudget::unlimited());
        server.accept(Rc::new(listener), limiter, CONNECTION_POLICY).await;
    }

    async fn respond(&self, call: Result<Call, InvalidCall>) -> Response<String> {
        match call {
            Ok(Call::Ready) if !self.ready.get() => {
                text_response(StatusCode::SERVICE_UNAVAILABLE, "starting: not ready yet")
            }
            Ok(Call::Ready) => text_response(StatusCode::OK, "ready"),
            Ok(Call::Metrics) => {
                let gauge_values = self.fronts.borrow().iter().map(|front| front.gauge_values()).sum();
                let response = Response::with_body(StatusCode::OK, self.metrics.render(gauge_values));
                with_content_type(response, prometheus::TEXT_FORMAT)
            }
            Ok(Call::Instances) => match &*self.instances.borrow() {
                Some(instances) => {
                    let response = Response::with_body(StatusCode::OK, instances.view().to_string());
                    with_content_type(response, "application/json")
                }
                None => text_response(
                    StatusCode::NOT_FOUND,
                    "this relay is not connected to other instances: its file has no [instances]",
                ),
            },
            Ok(Call::Backlog { destination }) => match self.fronts().await {
                Ok(serving) => backlog_report(serving, destination).await,
                Err(why) => refusal("backlog", why),
            },
            Ok(Call::Endpoint { id, disabled }) => match self.fronts().await {
                Ok(serving) => set_disabled(serving, &id, disabled),
                Err(why) => refusal("endpoints", why),
            },
            Ok(Call::Drain) => self.apply("drain", AvailabilityEvent::Drain).await,
            Ok(Call::Resume) => self.apply("resume", AvailabilityEvent::Resume).await,
            Err(InvalidCall::UnknownPath) => text_response(StatusCode::NOT_FOUND, "unknown path"),
            Err(InvalidCall::Destination) => {
                text_response(StatusCode::BAD_REQUEST, "the destination is not a number")
            }
            Err(InvalidCall::Id(reason)) => {
                text_response(StatusCode::BAD_REQUEST, &format!("invalid endpoint id: {reason}"))
            }
            Err(InvalidCall::Method(method)) => {
                let mut response =
                    text_response(StatusCode::METHOD_NOT_ALLOWED, &format!("this path requires {method}"));
                response.headers_mut().insert(header::ALLOW, HeaderValue::from_static(method));
                response
            }
        }
    }
}

/// Answers calls on behalf of the server of their connections.
struct CallHandler(Rc<Admin>);

impl Handler for CallHandler {
    type Head = Result<Call, InvalidCall>;
    type Body = String;

    fn decode(&self, request: &Request, _: &ConnectionState) -> Self::Head {
        let call = Call::parse(request.method(), request.path());
        tracing::debug!(method = %request.method(), path = request.path(), ?call, "call to the admin address");
        call
    }

    fn needs_body(&self, _: &Self::Head) -> bool {
        false
    }

    async fn respond(
        &self,
        call: Self::Head,
        body: Result<Bytes, BodyError>,
        state: &Rc<ConnectionState>,
    ) -> Response<String> {
        state.request_complete();
        let response = match body {
            Ok(_) => self.0.respond(call).await,
            Err(_) => text_response(StatusCode::BAD_REQUEST, "the body cannot be read"),
        };
        state.response_ready();
        response
    }

    fn rejected(&self, reason: RejectReason) {
        tracing::debug!(?reason, "call to the admin address rejected");
    }
}

impl Admin {
    /// The fronts of the relay; waits for a takeover, and for fronts that are about to open. They may be given up behind the next await.
    ///
    /// # Errors
    /// This process does not run the relay by then.
    async fn fronts(&self) -> Result<ServingFronts, NoControl> {
        let _ = timeout(TAKEOVER_TIMEOUT, self.control.all_fronts_decided()).await;
        self.control.fronts()
    }

    /// Drains or resumes the relay; waits for a takeover.
    async fn apply(&self, call: &'static str, event: AvailabilityEvent) -> Response<String> {
        let _ = timeout(TAKEOVER_TIMEOUT, self.control.decided()).await;
        // From here on without an await: what is confirmed is handed over.
        let availability = match self.control.availability() {
            Ok(availability) => availability,
            Err(why) => return refusal(call, why),
        };
        match (availability.apply(event), event) {
            (true, AvailabilityEvent::Drain) => {
                text_response(StatusCode::OK, "client connections are drained")
            }
            (true, _) => text_response(StatusCode::OK, "client connections are accepted"),
            (false, _) => refusal(call, NoControl::ShuttingDown),
        }
    }
}

/// Refuses a call that this process cannot apply.
fn refusal(call: &'static str, why: NoControl) -> Response<String> {
    tracing::info!(call, %why, "an operator's call is refused");
    let status = match why {
        NoControl::Starting | NoControl::PredecessorRuns | NoControl::HandedOver => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        NoControl::ShuttingDown => StatusCode::CONFLICT,
    };
    text_response(status, &why.to_string())
}

async fn backlog_report(serving: ServingFronts, destination: Option<u64>) -> Response<String> {
    let backlog = serving.fronts.iter().find_map(|front| front.backlog());
    let Some(backlog) = backlog else {
        return match serving.complete {
            true => text_response(
                StatusCode::NOT_FOUND,
                "no messages are queued on disk: the relay's file has no [backlog]",
            ),
            false => front_missing(),
        };
    };
    match backlog.report(destination).await {
        Ok(report) => {
            let text = serde_json::to_string(&report).expect("a report can be serialized");
            with_content_type(Response::with_body(StatusCode::OK, text), "application/json")
        }
        Err(error) => text_response(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
    }
}

/// Disables or enables an endpoint. If several fronts know its id, on all of them.
fn set_disabled(serving: ServingFronts, id: &str, disabled: bool) -> Response<String> {
    let mut response = match serving.complete {
        true => text_response(StatusCode::NOT_FOUND, "no endpoint has this id"),
        false => front_missing(),
    };
    for front in &serving.fronts {
        match front.set_disabled(id, disabled) {
            Ok(()) => {
                response = text_response(StatusCode::OK, if disabled { "disabled" } else { "not disabled" })
            }
            Err(SetDisabledError::Unknown) => {}
            Err(SetDisabledError::HandedOver) => return refusal("endpoints", NoControl::HandedOver),
            Err(SetDisabledError::NotStored(DisableError::Full)) => {
                return text_response(
                    StatusCode::INSUFFICIENT_STORAGE,
                    "too many endpoints are disabled: enable some first",
                );
            }
            Err(SetDisabledError::NotStored(DisableError::Io(error))) => {
                tracing::error!(fault = %error, id, "cannot write the list of disabled nodes; nothing changes");
                return text_response(
                    StatusCode::INTERNAL_SERVER_ERROR,
                    "the change cannot be stored: nothing has changed",
                );
            }
        }
    }
    response
}

/// The answer to a call that only a front could decide that does not serve yet.
fn front_missing() -> Response<String> {
    text_response(StatusCode::SERVICE_UNAVAILABLE, "a front of this process cannot start yet: see the log")
}

/// A response with one line of plain text.
fn text_response(status: StatusCode, line: &str) -> Response<String> {
    with_content_type(Response::with_body(status, format!("{line}\n")), "text/plain; charset=utf-8")
}

fn with_content_type(mut response: Response<String>, content_type: &'static str) -> Response<String> {
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
