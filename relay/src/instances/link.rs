//! Links (TCP connections) between instances. A link carries one request frame and one response frame; or its first frame
//! turns it into a persistent link. A misbehaving peer affects only its own connection: time, frame size and the number of
//! links are limited.
use onyxglade_instances::{LinkMessage, MAX_FRAME_BYTES, View};
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

use super::Instances;

/// Maximum number of open links from other instances, before they become persistent; further ones are closed unread.
const MAX_LINKS: usize = 16;
/// Maximum number of persistent links from other instances. Enough for a startup, when few instances are known and many
/// receive the list from the same one.
const MAX_PERSISTENT_LINKS: usize = 256;
/// Time allowed for a request and its response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of a request frame in bytes; only responses are long.
const MAX_REQUEST_BYTES: usize = 256;

/// Accepts links and serves their requests.
pub(super) async fn accept(instances: Rc<Instances>, listener: TcpListener) {
    let link_permits = Arc::new(Semaphore::new(MAX_LINKS));
    let persistent_permits = Arc::new(Semaphore::new(MAX_PERSISTENT_LINKS));
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let Ok(permit) = link_permits.clone().try_acquire_owned() else { continue };
                let (instances, persistent_permits) = (instances.clone(), persistent_permits.clone());
                actix_rt::spawn(async move {
                    let result = timeout(REQUEST_TIMEOUT, serve_request(&instances, stream)).await;
                    drop(permit);
                    match result {
                        Ok(Ok(None)) => {}
                        Ok(Ok(Some(stream))) => {
                            if let (Some(shared_lists), Ok(_permit)) =
                                (&instances.shared_lists, persistent_permits.try_acquire_owned())
                            {
                                shared_lists.run_link(&instances, stream, None).await;
                            }
                        }
                        _ => tracing::debug!(%from, "instances: link closed without a valid request"),
                    }
                });
            }
            Err(_) => sleep(Duration::from_millis(5)).await,
        }
    }
}

/// Serves the request in the first frame. Returns the stream if the link becomes persistent.
async fn serve_request(instances: &Instances, mut stream: TcpStream) -> io::Result<Option<TcpStream>> {
    let frame = read_frame(&mut stream, MAX_REQUEST_BYTES).await?;
    match (instances.open(&frame), instances.membership_view()) {
        (Some(LinkMessage::ViewRequest), Some(view)) => {
            write_frame(&mut stream, &instances.seal(&LinkMessage::View(view))).await?;
            Ok(None)
        }
        (Some(LinkMessage::Subscribe), _) if instances.shared_lists.is_some() => Ok(Some(stream)),
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}

/// Opens a link to another instance.
pub(super) async fn connect(instances: &Instances, address: SocketAddr) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // Binds to the address that other instances know, so that they can tell by it which instance connects.
    if let (SocketAddr::V4(own), true) = (instances.settings.listen, address.is_ipv4()) {
        socket.bind(SocketAddrV4::new(*own.ip(), 0).into())?;
    }
    socket.connect(address).await
}

/// Requests the membership view of another instance.
pub(super) async fn request_view(instances: &Instances, address: SocketAddr) -> io::Result<View> {
    let call = async {
        let mut stream = connect(instances, address).await?;
        write_frame(&mut stream, &instances.seal(&LinkMessage::ViewRequest)).await?;
        let frame = read_frame(&mut stream, MAX_FRAME_BYTES).await?;
        match instances.open(&frame) {
            Some(LinkMessage::View(view)) => Ok(view),
            _ => Err(io::ErrorKind::InvalidData.into()),
        }
    };
    timeout(REQUEST_TIMEOUT, call).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// Reads a frame of at most `max_bytes`.
pub(super) async fn read_frame(
    stream: &mut (impl AsyncRead + Unpin),
    max_bytes: usize,
) -> io::Result<Vec<u8>> {
    let length = stream.read_u32().await? as usize;
    if length > max_bytes {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            format!("frame of {length} bytes is too large"),
        ));
    }
    // The declared length is not trusted: the buffer grows only with the data that arrives.
    let mut frame = Vec::new();
    stream.take(length as u64).read_to_end(&mut frame).await?;
    if frame.len() < length { Err(io::ErrorKind::UnexpectedEof.into()) } else { Ok(frame) }
}

/// Writes a frame with its length.
pub(super) async fn write_frame(stream: &mut (impl AsyncWrite + Unpin), frame: &[u8]) -> io::Result<()> {
    let mut bytes = (frame.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(frame);
    stream.write_all(&bytes).await
}
