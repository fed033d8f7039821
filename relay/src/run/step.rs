//! Steps of a start that use a state folder or a socket, and what follows when one fails.
//!
//! Until a process has said that it is ready, a step that fails ends its start. A successor's predecessor ends on the strength of that
//! answer: from then on a failed step is tried until it succeeds, since a process that ends would leave no relay at all.
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::time::sleep;

use super::Error;
use crate::handover::{FolderClaim, claim_folder};
use crate::inherited_socket;
use crate::journal::{Journal, OpenJob, is_transient};
use crate::listener::{ListenError, listen};
use crate::state_lock::{LockError, StateLock};

/// How long the previous process may keep an address that this one is to listen on.
const BIND_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the previous process may keep a state folder that this one is to use, where this one cannot take the relay over from it.
const LOCK_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two attempts to use what another process may be about to release.
const RETRY_PAUSE: Duration = Duration::from_millis(5);
/// Delay before a state folder that cannot be used is tried again.
const FOLDER_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Delay before a successor repeats a step that failed for a reason that may need an operator.
const STEP_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How often the log repeats that a front cannot start.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// What follows if a step fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartMode {
    /// The start fails: this process has promised nothing yet.
    Fresh,
    /// The step is repeated: the predecessor has ended, or will, since this process said that it was ready.
    Successor,
}

impl StartMode {
    /// Runs a step of a front's start.
    ///
    /// # Errors
    /// Those of the step, in a fresh start.
    pub async fn run<T>(
        self,
        front: &'static str,
        step: &'static str,
        attempt: impl AsyncFn() -> Result<T, Error>,
    ) -> Result<T, Error> {
        let started = Instant::now();
        let mut log_at = started;
        loop {
            let error = match attempt().await {
                Err(error) if self == StartMode::Successor => error,
                Ok(done) => {
                    if log_at > started {
                        tracing::info!(front, step, after = ?started.elapsed(), "the step of the start has succeeded");
                    }
                    return Ok(done);
                }
                failed => return failed,
            };
            if Instant::now() >= log_at {
                tracing::error!(front, step, %error, waited = ?started.elapsed(), "a front cannot start; trying on, while the other serves");
                log_at = Instant::now() + LOG_INTERVAL;
            }
            sleep(STEP_RETRY_DELAY).await;
        }
    }
}

/// Claims a front's state folder; `key` is the key that names it. Where this process cannot take over from another one (`may_wait` is
/// false), waits a short time for a process that is about to exit.
///
/// # Errors
/// Another process, or another front of this one, uses the folder; or the folder can never be locked.
pub async fn claim(key: &'static str, state: &Path, may_wait: bool) -> Result<FolderClaim, Error> {
    let until = Instant::now() + LOCK_TIMEOUT;
    let attempt = async || match if may_wait { claim_folder(state).await } else { lock(state) } {
        Err(error @ LockError::InUse { .. }) => Ok(Err(error)),
        claimed => claimed.map(Ok).map_err(LockError::into_io),
    };
    loop {
        match retry_in_folder(state, "lock", attempt).await.map_err(|e| format!("{key}: {e}"))? {
            Ok(claim) => return Ok(claim),
            Err(error) if Instant::now() >= until => return Err(Error::InUse(format!("{key}: {error}"))),
            Err(_) => sleep(RETRY_PAUSE).await,
        }
    }
}

fn lock(state: &Path) -> Result<FolderClaim, LockError> {
    StateLock::acquire(state).map(FolderClaim::Owned)
}

/// Opens the journal, and reads its open jobs, as soon as its folder can be used.
///
/// # Errors
/// The folder is unfit for a journal, or a later version of the program wrote it.
pub async fn open_journal(lock: &Rc<StateLock>, disk_bytes: u64) -> Result<(Journal, Vec<OpenJob>), String> {
    retry_in_folder(lock.folder(), "journal", async || Journal::open(lock, disk_bytes)).await
}

/// Retries an operation on the state folder for as long as its errors may be temporary.
async fn retry_in_folder<T>(
    state: &Path,
    what: &'static str,
    attempt: impl AsyncFn() -> io::Result<T>,
) -> Result<T, String> {
    let started = Instant::now();
    let mut logged = false;
    loop {
        match attempt().await {
            Ok(done) => {
                if logged {
                    tracing::info!(after = ?started.elapsed(), what, "the state folder can be used again");
                }
                return Ok(done);
            }
            Err(error) if !is_transient(&error) => {
                return Err(format!("{what} in {}: {error}", state.display()));
            }
            Err(error) => {
                if !std::mem::replace(&mut logged, true) {
                    let state = state.display();
                    tracing::error!(%error, %state, what, "the state folder cannot be used; retrying until it can");
                }
                sleep(FOLDER_RETRY_DELAY).await;
            }
        }
    }
}

/// Opens the socket that submitters connect to: the one passed by the platform, if the environment names one.
pub async fn listen_for_submitters(address: SocketAddr) -> Result<TcpListener, Error> {
    match inherited_socket::listener() {
        Ok(None) => {}
        Ok(Some(socket)) => {
            let listener = socket.set_nonblocking(true).and_then(|()| TcpListener::from_std(socket));
            return listener.map_err(|e| format!("BALANCER_PASSED_SOCKET: {e}").into());
        }
        Err(error) => {
            tracing::error!(
                fault = error,
                "the passed socket cannot be used; listening on BALANCER_LISTEN instead"
            );
        }
    }
    Ok(retry_socket(|| listen("BALANCER_LISTEN", address)).await?)
}

/// Retries to open a socket: for as long as the system lacks what a socket needs, and for a short time if it fails otherwise, since the
/// previous process may be about to close its own.
pub async fn retry_socket<T>(open: impl Fn() -> Result<T, ListenError>) -> Result<T, ListenError> {
    let until = Instant::now() + BIND_TIMEOUT;
    let mut logged = false;
    loop {
        match open() {
            Err(error) if error.is_shortage() => {
                if !std::mem::replace(&mut logged, true) {
                    tracing::error!(%error, "a socket cannot be opened; retrying until it can");
                }
            }
            Err(error) if Instant::now() > until => return Err(error),
            Err(_) => {}
            opened => return opened,
        }
        sleep(RETRY_PAUSE).await;
    }
}
