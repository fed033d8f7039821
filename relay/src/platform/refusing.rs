//! Answers clients with 503 and a `Retry-After` header while the state folder cannot be opened.
use actix_http::header::RETRY_AFTER;
use actix_http::{HttpService, KeepAlive, Request, Response, StatusCode};
use actix_service::{IntoServiceFactory, Service, ServiceFactory, fn_service};
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::sleep;

use super::server::read_body;

/// The value of `Retry-After`, in seconds.
const RETRY_AFTER_S: &str = "1";
/// Time limit for a request to be complete.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Answers every request with 503 for as long as this future is polled, on at most `connections` connections at once. Requests on
/// connections that were accepted until then are still answered.
pub async fn refuse_all(listener: &TcpListener, connections: usize) {
    let permits = Arc::new(Semaphore::new(connections));
    let answer = fn_service(async |mut request: Request| {
        // Closing a connection with an unread body would reset it, and the response would be lost.
        let _ = read_body(&mut request).await;
        let mut response = Response::new(StatusCode::SERVICE_UNAVAILABLE);
        response.headers_mut().insert(RETRY_AFTER, RETRY_AFTER_S.parse().expect("digits"));
        Ok::<_, Infallible>(response)
    });
    let service = HttpService::build()
        .keep_alive(KeepAlive::Disabled)
        .client_request_timeout(REQUEST_TIMEOUT)
        .h1(answer)
        .into_factory();
    let Ok(service) = service.new_service(()).await else { return };
    let service = Rc::new(service);
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, address)) => {
                let service = service.clone();
                actix_rt::spawn(async move {
                    let _ = service.call((stream, Some(address))).await;
                    drop(permit);
                });
            }
            Err(error) => {
                tracing::warn!(%error, "cannot accept a connection; retrying");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
