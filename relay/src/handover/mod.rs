//! Upgrades: a second process, the successor, takes the relay over from the running one, its predecessor. The whole
//! protocol is described in `docs/handover.md`.
//!
//! This module owns the socket between the two processes and the exchange of frames over it.
//! [`owners`] decides which process owns the relay, and the core runs the jobs; this module does only the I/O.
mod frame;
mod owners;

use futures_util::future::LocalBoxFuture;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fs::File;
use std::io;
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

use crate::core::{Core, Successor, Transport};
use crate::handover_state::{FinishedClaim, HandoverState};
use crate::job::{Answer, Job};
use crate::journal::Key;
use crate::state_lock::{Holder, LockError, StateLock};
use frame::{Frame, VERSION};
use owners::{Action, Event, Ownership};

/// Name of the socket in the state folder.
const SOCKET: &str = "handover";
/// Longest path that is used as a socket address as it is; the address of a Unix socket has at most 107 bytes.
const MAX_SOCKET_PATH: usize = 100;
/// Timeout of the hello exchange; the other process may be busy. Also the pause after a failed accept.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between attempts to take the lock, while the predecessor is about to exit.
const LOCK_RETRY_PAUSE: Duration = Duration::from_millis(5);
/// Most nodes in a frame.
const NODES_PER_FRAME: usize = 500;
/// The answer to a submitter whose job can no longer be forwarded to the successor.
const RETRY_LATER: Answer = Answer::Refused { after: Some(Duration::from_secs(1)) };

/// Locks a folder unless another process has the lock.
fn try_lock(folder: &Path) -> io::Result<Option<StateLock>> {
    match StateLock::acquire(folder) {
        Ok(lock) => Ok(Some(lock)),
        Err(LockError::InUse { .. }) => Ok(None),
        Err(error) => Err(error.into_io()),
    }
}

/// The path of the handover socket, through `/proc/self/fd` if it is too long for a socket address. The returned folder
/// must stay open for as long as the path is used.
fn socket_path(folder: &Path) -> io::Result<(PathBuf, File)> {
    let open = File::open(folder)?;
    let direct = folder.join(SOCKET);
    let path = match direct.as_os_str().len() {
        0..=MAX_SOCKET_PATH => direct,
        _ => PathBuf::from(format!("/proc/self/fd/{}/{SOCKET}", open.as_raw_fd())),
    };
    Ok((path, open))
}

/// The state received from the predecessor, and the connection to it while it still has claims in flight.
pub struct Predecessor {
    pub state: HandoverState,
    read: OwnedReadHalf,
    write: OwnedWriteHalf,
}

/// How a front of this process comes to use its state folder.
pub enum FolderClaim {
    /// The folder is this process's.
    Owned(StateLock),
    /// A predecessor uses it.
    Pending(PendingHandover),
}

/// A folder that a predecessor uses.
pub struct PendingHandover {
    folder: PathBuf,
    /// The connection on which the predecessor hands over; none if it cannot.
    connection: Option<UnixStream>,
}

/// A folder that has become this process's.
pub struct TakenFolder {
    pub lock: Rc<StateLock>,
    /// What a predecessor has handed over.
    pub predecessor: Option<Predecessor>,
    /// The relay is drained, by a predecessor that has handed over or ended.
    pub drained: bool,
}

/// Claims a folder: locks it, or else tells the process that has the lock that this one waits for it. The predecessor has answered, or
/// has failed to, when this returns.
///
/// # Errors
/// The file system's, and [`LockError::InUse`] if another front of this process uses the folder.
pub async fn claim_folder(folder: &Path) -> Result<FolderClaim, LockError> {
    match StateLock::acquire(folder) {
        Ok(lock) => return Ok(FolderClaim::Owned(lock)),
        Err(LockError::InUse { holder, .. }) if holder != Holder::ThisProcess => {}
        Err(error) => return Err(error),
    }
    let connected =
        timeout(HELLO_TIMEOUT, connect(folder)).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
    let folder = folder.to_owned();
    match &connected {
        Ok(_) => {
            tracing::info!(folder = %folder.display(), "upgrade: another process runs the relay; it hands over when it receives SIGTERM")
        }
        Err(fault) => {
            tracing::warn!(folder = %folder.display(), %fault, "upgrade: another process runs the relay and cannot hand it over; waiting for it to exit");
        }
    }
    Ok(FolderClaim::Pending(PendingHandover { folder, connection: connected.ok() }))
}

impl FolderClaim {
    /// Whether a predecessor uses the folder.
    pub fn is_pending(&self) -> bool {
        matches!(self, FolderClaim::Pending(_))
    }

    /// Waits until the folder is this process's. The state that a predecessor hands over is returned with the lock. If it crashes or
    /// cannot hand over, its lock is released when it exits, and what it left in the folder is all there is to recover from. A process
    /// that had ended before the folder was claimed leaves no drain: that is a restart.
    pub async fn complete(self) -> TakenFolder {
        let PendingHandover { folder, connection } = match self {
            FolderClaim::Owned(lock) => {
                return TakenFolder { lock: Rc::new(lock), predecessor: None, drained: false };
            }
            FolderClaim::Pending(pending) => pending,
        };
        let predecessor = match connection {
            Some(stream) => match receive_state(stream).await {
                Ok(predecessor) => Some(predecessor),
                Err(fault) => {
                    tracing::warn!(%fault, "upgrade: the predecessor is gone; its journal is taken over");
                    None
                }
            },
            None => None,
        };
        let mut logged = false;
        loop {
            match try_lock(&folder) {
                Ok(Some(lock)) => {
                    let handed_over = predecessor.as_ref().map(|predecessor| predecessor.state.drained);
                    let drained = handed_over.unwrap_or(lock.previous_was_drained());
                    return TakenFolder { lock: Rc::new(lock), predecessor, drained };
                }
                Ok(None) => {}
                Err(error) => {
                    if !std::mem::replace(&mut logged, true) {
                        tracing::error!(%error, folder = %folder.display(), "upgrade: the state folder cannot be locked; retrying until it can");
                    }
                }
            }
            sleep(LOCK_RETRY_PAUSE).await;
        }
    }
}

/// Connects to the process that runs the relay and exchanges hellos with it.
async fn connect(folder: &Path) -> io::Result<UnixStream> {
    let (path, _open) = socket_path(folder)?;
    let mut stream = UnixStream::connect(path).await?;
    stream.write_all(&Frame::Hello { version: VERSION }.encode()).await?;
    match Frame::read(&mut stream).await? {
        Frame::Welcome => Ok(stream),
        Frame::Refused(reason) => Err(io::Error::other(reason)),
        other => Err(io::Error::other(format!("unexpected reply to the hello: {other:?}"))),
    }
}

/// Waits for the predecessor's state.
async fn receive_state(stream: UnixStream) -> io::Result<Predecessor> {
    let (mut read, write) = stream.into_split();
    let mut nodes = Vec::new();
    loop {
        match Frame::read(&mut read).await? {
            Frame::Nodes(part) => nodes.extend(part),
            Frame::HandOver(mut state) => {
                state.nodes = nodes;
                return Ok(Predecessor { state: *state, read, write });
            }
            other => return Err(io::Error::other(format!("unexpected frame: {other:?}"))),
        }
    }
}

impl Predecessor {
    /// Receives the outcomes of the predecessor's claims in flight, and admits jobs from submitters who are still connected
    /// to it, until it exits; then calls `ended`. Each outcome goes to the sender with its job's key in `waiting`. Claims
    /// whose outcome was not reported by then may have run.
    pub async fn follow<C: Transport>(
        self,
        core: Rc<Core<C>>,
        waiting: Vec<(Key, oneshot::Sender<FinishedClaim>)>,
        ended: impl FnOnce(),
    ) {
        let Predecessor { mut read, write, .. } = self;
        let frames = spawn_writer(write);
        let mut waiting: HashMap<_, _> = waiting.into_iter().collect();
        let fault = loop {
            match Frame::read(&mut read).await {
                Ok(Frame::ClaimFinished(claim)) => {
                    if let Some(sender) = waiting.remove(&claim.key) {
                        // The job's task keeps the receiver until the outcome arrives or the sender is dropped.
                        drop(sender.send(claim));
                    }
                }
                Ok(Frame::Admit(number, job)) => {
                    let (core, frames) = (core.clone(), frames.clone());
                    actix_rt::spawn(async move {
                        let answer = core.admit(*job).await;
                        drop(frames.send(Frame::Answered(number, answer)));
                    });
                }
                Ok(other) => break format!("unexpected frame: {other:?}"),
                Err(fault) => break fault.to_string(),
            }
        };
        tracing::info!(
            fault,
            unknown = waiting.len(),
            "upgrade: the connection to the predecessor has ended"
        );
        drop(waiting);
        ended();
    }
}

/// Spawns a task that writes the frames sent to it until a write fails. The channel has no bound of its own: its length is
/// bounded by the claims in flight and the submitters' connections.
fn spawn_writer(mut write: OwnedWriteHalf) -> mpsc::UnboundedSender<Frame> {
    let (sender, mut frames) = mpsc::unbounded_channel::<Frame>();
    actix_rt::spawn(async move {
        while let Some(frame) = frames.recv().await {
            if write.write_all(&frame.encode()).await.is_err() {
                return;
            }
        }
    });
    sender
}

/// Called with whether a successor runs, whenever that changes.
pub type SuccessorChanged = Box<dyn Fn(bool)>;

/// The predecessor's side of a handover: accepts successors, and hands over to one.
pub struct HandoverListener {
    ownership: Cell<Ownership>,
    successor: RefCell<Option<Rc<SuccessorLink>>>,
    successor_changed: SuccessorChanged,
    /// Kept open since the socket's path may lead through this descriptor.
    _folder: File,
}

/// The predecessor's connection to its successor.
struct SuccessorLink {
    frames: mpsc::UnboundedSender<Frame>,
    /// Forwarded jobs without an answer yet, by number.
    pending: RefCell<HashMap<u64, oneshot::Sender<Answer>>>,
    /// Number of the last forwarded job.
    last: Cell<u64>,
}

impl HandoverListener {
    /// Listens for successors. The caller must have the lock, since the socket of an earlier process is removed.
    pub fn listen(folder: &Path, successor_changed: SuccessorChanged) -> io::Result<Rc<HandoverListener>> {
        let (path, open) = socket_path(folder)?;
        match std::fs::remove_file(&path) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let listener = UnixListener::bind(path)?;
        let handover = Rc::new(HandoverListener {
            ownership: Cell::default(),
            successor: RefCell::default(),
            successor_changed,
            _folder: open,
        });
        let this = handover.clone();
        actix_rt::spawn(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => drop(actix_rt::spawn(this.clone().serve(stream))),
                    Err(error) => {
                        tracing::warn!(%error, "upgrade: cannot accept a successor's connection; trying again");
                        sleep(HELLO_TIMEOUT).await;
                    }
                }
            }
        });
        Ok(handover)
    }

    /// Whether a successor waits for this process to terminate.
    pub fn has_successor(&self) -> bool {
        self.ownership.get() == Ownership::SuccessorWaiting
    }

    fn handle(&self, event: Event) -> Action {
        let (ownership, action) = self.ownership.get().handle(event);
        self.ownership.set(ownership);
        action
    }

    /// Serves a connection to the socket until it ends.
    async fn serve(self: Rc<Self>, mut stream: UnixStream) {
        let hello = timeout(HELLO_TIMEOUT, Frame::read(&mut stream)).await;
        let Ok(Ok(Frame::Hello { version })) = hello else {
            tracing::warn!(
                ?hello,
                "upgrade: the peer does not speak this protocol; its connection is closed"
            );
            return;
        };
        if let Action::Refuse(why) = self.handle(Event::Hello { version }) {
            tracing::warn!(version, why, "upgrade: a successor is refused");
            // If the frame is lost, the end of the connection has the same effect.
            let _ = stream.write_all(&Frame::Refused(why.into()).encode()).await;
            return;
        }
        tracing::info!("upgrade: a successor waits for this process to terminate");
        (self.successor_changed)(true);
        let (mut read, write) = stream.into_split();
        let successor = Rc::new(SuccessorLink {
            frames: spawn_writer(write),
            pending: RefCell::default(),
            last: Cell::new(0),
        });
        drop(successor.frames.send(Frame::Welcome));
        *self.successor.borrow_mut() = Some(successor.clone());
        while let Ok(Frame::Answered(number, answer)) = Frame::read(&mut read).await {
            let pending = successor.pending.borrow_mut().remove(&number);
            // The submitter may have disconnected; then nobody needs the answer.
            pending.into_iter().for_each(|submitter| _ = submitter.send(answer));
        }
        tracing::warn!("upgrade: the successor is gone");
        self.handle(Event::SuccessorLost);
        (self.successor_changed)(false);
        successor.pending.borrow_mut().clear();
        *self.successor.borrow_mut() = None;
    }

    /// Hands the relay over to the waiting successor when the process receives SIGTERM. False if no successor waits, so that this
    /// process has to wind down itself.
    pub fn terminate<C: Transport>(&self, core: &Core<C>, drained: bool) -> bool {
        let successor = self.successor.borrow().clone();
        let (Action::HandOver, Some(successor)) = (self.handle(Event::Terminate), successor) else {
            return false;
        };
        let mut state = core.hand_over(successor.clone());
        state.drained = drained;
        let (nodes, waits, in_flight) = (state.nodes.len(), state.waits.len(), state.in_flight.len());
        tracing::info!(nodes, waits, out = in_flight, "upgrade: the relay is handed over");
        for part in std::mem::take(&mut state.nodes).chunks(NODES_PER_FRAME) {
            drop(successor.frames.send(Frame::Nodes(part.to_vec())));
        }
        drop(successor.frames.send(Frame::HandOver(Box::new(state))));
        true
    }
}

impl Successor for SuccessorLink {
    fn admit(&self, job: Job) -> LocalBoxFuture<'_, Answer> {
        Box::pin(async move {
            let number = self.last.get() + 1;
            self.last.set(number);
            let (sender, answer) = oneshot::channel();
            self.pending.borrow_mut().insert(number, sender);
            if self.frames.send(Frame::Admit(number, Box::new(job))).is_err() {
                return RETRY_LATER;
            }
            answer.await.unwrap_or(RETRY_LATER)
        })
    }

    fn claim_ended(&self, claim: FinishedClaim) {
        // If the successor is gone, the journal still says that the claim may have run.
        drop(self.frames.send(Frame::ClaimFinished(claim)));
    }
}
