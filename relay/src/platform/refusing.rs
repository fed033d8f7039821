//! Answers clients with 503 and a `Retry-After` header while the state folder cannot be opened.
use actix_http::{Request, Response};
use actix_service::fn_service;
use bytes::Bytes;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::timeout;

use super::server::{CONNECTION_POLICY, HTTP_LIMITS};
use crate::connection_limiter::{self, ConnectionLimiter, ConnectionState, TrackedStream};
use crate::http1::{BodyError, Handler, Http1Limits, Http1Server, refusal};
use crate::memory_budget::MemoryBudget;
use crate::metrics::RejectReason;

/// How long a connection may take. Unlike the limiter's check, this holds on once the folder could be opened.
const CONNECTION_TIME: Duration = Duration::from_millis(3500);

/// Refuses every request.
struct Refusing;

impl Handler for Refusing {
    type Head = ();
    type Body = &'static str;

    fn decode(&self, _: &Request, _: &ConnectionState) {}

    fn needs_body(&self, (): &()) -> bool {
        false
    }

    async fn respond(
        &self,
        (): (),
        _: Result<Bytes, BodyError>,
        state: &Rc<ConnectionState>,
    ) -> Response<&'static str> {
        state.response_ready();
        refusal()
    }

    fn rejected(&self, _: RejectReason) {}
}

/// Answers every request with 503 for as long as this future is polled, on at most `connections` connections at once. Requests on
/// connections that were accepted until then are still answered.
pub async fn refuse_all(listener: Rc<TcpListener>, connections: usize, memory: MemoryBudget) {
    let limits = Http1Limits { keep_alive: false, ..HTTP_LIMITS };
    let server = Http1Server::new(Refusing, limits, memory.clone());
    let service = fn_service(move |(stream, _): (TrackedStream, Option<SocketAddr>)| {
        let server = server.clone();
        async move { timeout(CONNECTION_TIME, server.serve(stream)).await.unwrap_or(Ok(())) }
    });
    let limiter = Rc::new(ConnectionLimiter::new(connections).with_memory(memory));
    connection_limiter::accept(listener, limiter, CONNECTION_POLICY, service).await;
}
