//! Links between instances: a frame asks, a frame answers, and the link ends; or the first frame says that it is to stand. One bad
//! peer costs its own connection and no more: each has its time, its length and its place among few.
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

/// Links that others have open here at once; one more is closed unread.
const LINKS: usize = 16;
/// Links that others have standing here at once. As many as hear the list from one in a start, when few are known.
const STANDING: usize = 256;
/// A link has done all within this time.
const WHOLE: Duration = Duration::from_secs(3);
/// Longest question, in bytes: only answers are long.
const LONGEST_ASK: usize = 256;

/// Takes links, and answers what is asked.
pub(super) async fn accept(instances: Rc<Instances>, listener: TcpListener) {
    let places = Arc::new(Semaphore::new(LINKS));
    let standing = Arc::new(Semaphore::new(STANDING));
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let Ok(place) = places.clone().try_acquire_owned() else { continue };
                let (instances, standing) = (instances.clone(), standing.clone());
                actix_rt::spawn(async move {
                    let answered = timeout(WHOLE, answer(&instances, stream)).await;
                    drop(place);
                    match answered {
                        Ok(Ok(None)) => {}
                        Ok(Ok(Some(stream))) => {
                            if let (Some(shared), Ok(_place)) =
                                (&instances.shared, standing.try_acquire_owned())
                            {
                                shared.stand(&instances, stream, None).await;
                            }
                        }
                        _ => tracing::debug!(%from, "instances: a link ended with nothing said"),
                    }
                });
            }
            Err(_) => sleep(Duration::from_millis(5)).await,
        }
    }
}

/// Answers the first frame; gives the link back if it is to stand.
async fn answer(instances: &Instances, mut stream: TcpStream) -> io::Result<Option<TcpStream>> {
    let frame = read(&mut stream, LONGEST_ASK).await?;
    match (instances.open(&frame), instances.known()) {
        (Some(LinkMessage::ViewRequest), Some(view)) => {
            write(&mut stream, &instances.seal(&LinkMessage::View(view))).await?;
            Ok(None)
        }
        (Some(LinkMessage::Subscribe), _) if instances.shared.is_some() => Ok(Some(stream)),
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}

/// A link to another.
pub(super) async fn connect(instances: &Instances, at: SocketAddr) -> io::Result<TcpStream> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // From the address that others know, so that it can be told by it who asks.
    if let (SocketAddr::V4(mine), true) = (instances.told.listen, at.is_ipv4()) {
        socket.bind(SocketAddrV4::new(*mine.ip(), 0).into())?;
    }
    socket.connect(at).await
}

/// Asks another for its view.
pub(super) async fn ask(instances: &Instances, at: SocketAddr) -> io::Result<View> {
    let call = async {
        let mut stream = connect(instances, at).await?;
        write(&mut stream, &instances.seal(&LinkMessage::ViewRequest)).await?;
        let frame = read(&mut stream, MAX_FRAME_BYTES).await?;
        match instances.open(&frame) {
            Some(LinkMessage::View(view)) => Ok(view),
            _ => Err(io::ErrorKind::InvalidData.into()),
        }
    };
    timeout(WHOLE, call).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// Reads a frame that is not longer than it may be.
pub(super) async fn read(stream: &mut (impl AsyncRead + Unpin), longest: usize) -> io::Result<Vec<u8>> {
    let length = stream.read_u32().await? as usize;
    if length > longest {
        return Err(io::Error::new(io::ErrorKind::InvalidData, format!("a frame of {length} bytes")));
    }
    // What is told is not believed before it comes: room grows with what is there.
    let mut frame = Vec::new();
    stream.take(length as u64).read_to_end(&mut frame).await?;
    if frame.len() < length { Err(io::ErrorKind::UnexpectedEof.into()) } else { Ok(frame) }
}

pub(super) async fn write(stream: &mut (impl AsyncWrite + Unpin), frame: &[u8]) -> io::Result<()> {
    let mut bytes = (frame.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(frame);
    stream.write_all(&bytes).await
}
