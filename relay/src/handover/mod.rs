//! An upgrade: a second process takes the relay over from the one that runs. `docs/handover.md` tells the whole.
//!
//! Owns the lock that says who has the journal, the socket between the two, and what goes over it. Who owns what is
//! decided in [`owners`], what a job's life is in the core; here is only what carries it.
mod frame;
mod owners;

use futures_util::future::LocalBoxFuture;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fs::{File, OpenOptions, TryLockError};
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
use crate::estate::{Estate, Home};
use crate::job::{Answer, Job};
use crate::journal::Key;
use frame::{Frame, VERSION};
use owners::{Does, Happens, Owner};

/// In the folder that lasts.
const LOCK: &str = "lock";
const SOCKET: &str = "handover";
/// The address of a Unix socket holds no more bytes than 107.
const LONGEST_PATH: usize = 100;
/// A greeting takes no longer; the other process may be busy.
const GREETING: Duration = Duration::from_secs(1);
/// How often the lock is tried, while the process before is about to end.
const LOCK_PAUSE: Duration = Duration::from_millis(5);
/// Nodes in a frame.
const NODES: usize = 500;
/// What a submitter is told whose job cannot be handed on any more.
const COME_AGAIN: Answer = Answer::Refused { after: Some(Duration::from_secs(1)) };

/// The lock on a folder's journal, if nobody has it. It ends with its process.
fn try_lock(folder: &Path) -> io::Result<Option<File>> {
    std::fs::create_dir_all(folder)?;
    let file = OpenOptions::new().create(true).truncate(false).write(true).open(folder.join(LOCK))?;
    match file.try_lock() {
        Ok(()) => Ok(Some(file)),
        Err(TryLockError::WouldBlock) => Ok(None),
        Err(TryLockError::Error(e)) => Err(e),
    }
}

/// The socket's path, in a form that is short enough. The folder must stay open for as long as it is used.
fn socket_path(folder: &Path) -> io::Result<(PathBuf, File)> {
    let open = File::open(folder)?;
    let plain = folder.join(SOCKET);
    let short = match plain.as_os_str().len() {
        0..=LONGEST_PATH => plain,
        _ => PathBuf::from(format!("/proc/self/fd/{}/{SOCKET}", open.as_raw_fd())),
    };
    Ok((short, open))
}

/// The relay as it was had from the process before, which may still have claims out.
pub struct Legacy {
    pub estate: Estate,
    read: OwnedReadHalf,
    write: OwnedWriteHalf,
}

/// Waits until the journal in the folder is this process's to open. If another one has it, `waiting` is called once
/// that one knows of this, or can't be told; what it hands over comes with the lock. Should it die, or not know how to
/// hand over, its lock ends with it, and the journal is all there is.
pub async fn own(folder: &Path, waiting: impl FnOnce()) -> io::Result<(File, Option<Legacy>)> {
    if let Some(lock) = try_lock(folder)? {
        return Ok((lock, None));
    }
    let met = timeout(GREETING, greet(folder)).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
    match &met {
        Ok(_) => tracing::info!(
            "upgrade: another process runs the relay, and hands it over when it is told to end"
        ),
        Err(fault) => {
            tracing::warn!(%fault, "upgrade: another process runs the relay and cannot hand it over; waiting for its end");
        }
    }
    waiting();
    let legacy = match met {
        Ok(stream) => match heir(stream).await {
            Ok(legacy) => Some(legacy),
            Err(fault) => {
                tracing::warn!(%fault, "upgrade: the process before is gone; its journal is taken over");
                None
            }
        },
        Err(_) => None,
    };
    loop {
        if let Some(lock) = try_lock(folder)? {
            return Ok((lock, legacy));
        }
        sleep(LOCK_PAUSE).await;
    }
}

async fn greet(folder: &Path) -> io::Result<UnixStream> {
    let (path, _open) = socket_path(folder)?;
    let mut stream = UnixStream::connect(path).await?;
    stream.write_all(&Frame::Hello { version: VERSION }.encode()).await?;
    match Frame::read(&mut stream).await? {
        Frame::Welcome => Ok(stream),
        Frame::Refused(why) => Err(io::Error::other(why)),
        other => Err(io::Error::other(format!("{other:?} is no answer to a greeting"))),
    }
}

/// Waits for what is handed over.
async fn heir(stream: UnixStream) -> io::Result<Legacy> {
    let (mut read, write) = stream.into_split();
    let mut nodes = Vec::new();
    loop {
        match Frame::read(&mut read).await? {
            Frame::Nodes(part) => nodes.extend(part),
            Frame::Yours(mut estate) => {
                estate.nodes = nodes;
                return Ok(Legacy { estate: *estate, read, write });
            }
            other => return Err(io::Error::other(format!("{other:?} was not to be expected"))),
        }
    }
}

impl Legacy {
    /// Hears what becomes of claims that are out at the process before, and takes jobs from submitters who are still
    /// connected there, until it ends. Claims of which nothing was told by then may have run.
    pub async fn follow<C: Transport>(
        self,
        core: Rc<Core<C>>,
        homes: Vec<(Key, oneshot::Sender<Home>)>,
        ended: impl FnOnce(),
    ) {
        let Legacy { mut read, write, .. } = self;
        let say = writer(write);
        let mut homes: HashMap<_, _> = homes.into_iter().collect();
        let fault = loop {
            match Frame::read(&mut read).await {
                Ok(Frame::Home(home)) => {
                    if let Some(teller) = homes.remove(&home.key) {
                        // The life that waits for it is there for as long as its teller is.
                        drop(teller.send(home));
                    }
                }
                Ok(Frame::Ask(number, job)) => {
                    let (core, say) = (core.clone(), say.clone());
                    actix_rt::spawn(async move {
                        let answer = core.admit(*job).await;
                        drop(say.send(Frame::Told(number, answer)));
                    });
                }
                Ok(other) => break format!("{other:?} was not to be expected"),
                Err(fault) => break fault.to_string(),
            }
        };
        tracing::info!(fault, unknown = homes.len(), "upgrade: the process before has ended");
        drop(homes);
        ended();
    }
}

/// Writes what is put in, for as long as that goes. What waits is bounded by claims out and submitters' connections.
fn writer(mut write: OwnedWriteHalf) -> mpsc::UnboundedSender<Frame> {
    let (say, mut said) = mpsc::unbounded_channel::<Frame>();
    actix_rt::spawn(async move {
        while let Some(frame) = said.recv().await {
            if write.write_all(&frame.encode()).await.is_err() {
                return;
            }
        }
    });
    say
}

/// The side of the process that runs the relay.
pub struct Elder {
    owner: Cell<Owner>,
    heir: RefCell<Option<Rc<Heir>>>,
    /// The socket's path can be used for as long as this is open.
    _folder: File,
}

/// The newcomer, as the process before sees it.
struct Heir {
    say: mpsc::UnboundedSender<Frame>,
    asked: RefCell<HashMap<u64, oneshot::Sender<Answer>>>,
    last: Cell<u64>,
}

impl Elder {
    /// Listens for newcomers. To be called by who has the lock: what an earlier process left is taken away.
    pub fn listen(folder: &Path) -> io::Result<Rc<Elder>> {
        let (path, open) = socket_path(folder)?;
        match std::fs::remove_file(&path) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let listener = UnixListener::bind(path)?;
        let elder = Rc::new(Elder { owner: Cell::default(), heir: RefCell::default(), _folder: open });
        let this = elder.clone();
        actix_rt::spawn(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => drop(actix_rt::spawn(this.clone().meet(stream))),
                    Err(error) => {
                        tracing::warn!(%error, "upgrade: cannot take a newcomer's connection");
                        sleep(GREETING).await;
                    }
                }
            }
        });
        Ok(elder)
    }

    /// A newcomer waits for this process to end.
    pub fn is_linked(&self) -> bool {
        self.owner.get() == Owner::Linked
    }

    fn turn(&self, what: Happens) -> Does {
        let (owner, does) = self.owner.get().turn(what);
        self.owner.set(owner);
        does
    }

    async fn meet(self: Rc<Self>, mut stream: UnixStream) {
        let hello = timeout(GREETING, Frame::read(&mut stream)).await;
        let Ok(Ok(Frame::Hello { version })) = hello else {
            tracing::warn!(?hello, "upgrade: who came does not speak this protocol");
            return;
        };
        if let Does::Refuse(why) = self.turn(Happens::Met { version }) {
            tracing::warn!(version, why, "upgrade: a newcomer is refused");
            // It finds out by the end of the connection otherwise.
            let _ = stream.write_all(&Frame::Refused(why.into()).encode()).await;
            return;
        }
        tracing::info!("upgrade: a newcomer waits for this process to end");
        let (mut read, write) = stream.into_split();
        let heir = Rc::new(Heir { say: writer(write), asked: RefCell::default(), last: Cell::new(0) });
        drop(heir.say.send(Frame::Welcome));
        *self.heir.borrow_mut() = Some(heir.clone());
        while let Ok(Frame::Told(number, answer)) = Frame::read(&mut read).await {
            let asked = heir.asked.borrow_mut().remove(&number);
            // A submitter that is gone needs none.
            asked.into_iter().for_each(|asked| _ = asked.send(answer));
        }
        tracing::warn!("upgrade: the newcomer is gone");
        self.turn(Happens::Lost);
        heir.asked.borrow_mut().clear();
        *self.heir.borrow_mut() = None;
    }

    /// The process is told to end. True if the relay is its successor's from now on.
    pub fn terminate<C: Transport>(&self, core: &Core<C>, drained: bool) -> bool {
        let heir = self.heir.borrow().clone();
        let (Does::HandOver, Some(heir)) = (self.turn(Happens::Terminate), heir) else { return false };
        let mut estate = core.hand_over(heir.clone());
        estate.drained = drained;
        let (nodes, waits, out) = (estate.nodes.len(), estate.waits.len(), estate.out.len());
        tracing::info!(nodes, waits, out, "upgrade: the relay is handed over");
        for part in std::mem::take(&mut estate.nodes).chunks(NODES) {
            drop(heir.say.send(Frame::Nodes(part.to_vec())));
        }
        drop(heir.say.send(Frame::Yours(Box::new(estate))));
        true
    }
}

impl Successor for Heir {
    fn admit(&self, job: Job) -> LocalBoxFuture<'_, Answer> {
        Box::pin(async move {
            let number = self.last.get() + 1;
            self.last.set(number);
            let (ask, told) = oneshot::channel();
            self.asked.borrow_mut().insert(number, ask);
            if self.say.send(Frame::Ask(number, Box::new(job))).is_err() {
                return COME_AGAIN;
            }
            told.await.unwrap_or(COME_AGAIN)
        })
    }

    fn claim_ended(&self, home: Home) {
        // Should the successor be gone, the journal says that the claim may have run.
        drop(self.say.send(Frame::Home(home)));
    }
}
