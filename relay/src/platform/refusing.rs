//! What clients hear while the folder that lasts cannot be opened: that they are to come again.
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

/// When clients are told to come again, in seconds.
const COME_AGAIN_S: &str = "1";
/// A request has to be whole within this time.
const WHOLE: Duration = Duration::from_millis(2500);
/// After a connection could not be taken.
const PAUSE: Duration = Duration::from_millis(20);

/// Answers every request with 503, on so many connections at once, for as long as this is polled. What is on such a connection by
/// then is still answered.
pub async fn refuse_all(listener: &TcpListener, connections: usize) {
    let places = Arc::new(Semaphore::new(connections));
    let answer = fn_service(async |mut request: Request| {
        // A connection with an unread body would be reset, and the answer with it.
        let _ = read_body(&mut request).await;
        let mut response = Response::new(StatusCode::SERVICE_UNAVAILABLE);
        response.headers_mut().insert(RETRY_AFTER, COME_AGAIN_S.parse().expect("digits"));
        Ok::<_, Infallible>(response)
    });
    let service = HttpService::build()
        .keep_alive(KeepAlive::Disabled)
        .client_request_timeout(WHOLE)
        .h1(answer)
        .into_factory();
    let Ok(service) = service.new_service(()).await else { return };
    let service = Rc::new(service);
    loop {
        let Ok(place) = places.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, address)) => {
                let service = service.clone();
                actix_rt::spawn(async move {
                    let _ = service.call((stream, Some(address))).await;
                    drop(place);
                });
            }
            Err(error) => {
                tracing::warn!(%error, "cannot take a connection");
                sleep(PAUSE).await;
            }
        }
    }
}
