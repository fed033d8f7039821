//! Takes submitters' connections for a front, as many at once as there are places.
use actix_rt::net::TcpStream;
use actix_service::{Service, ServiceFactory};
use std::fmt::Debug;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// After a connection could not be taken, above all for want of descriptors.
const PAUSE: Duration = Duration::from_millis(20);

pub async fn accept<F>(listener: TcpListener, places: usize, factory: F)
where
    F: ServiceFactory<TcpStream, Config = (), InitError = ()>,
    F::Service: 'static,
    F::Error: Debug,
{
    let Ok(service) = factory.new_service(()).await else {
        tracing::error!("cannot serve submitters");
        return;
    };
    let service = Rc::new(service);
    let places = Arc::new(Semaphore::new(places));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let service = service.clone();
                actix_rt::spawn(async move {
                    if let Err(error) = service.call(stream).await {
                        tracing::debug!(?error, "submitter's connection");
                    }
                    drop(place);
                });
            }
            Err(error) => {
                tracing::warn!(%error, "cannot take a connection");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}
