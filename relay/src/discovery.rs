//! Follows the platform's list of execute nodes by long polling: each watch is renewed as soon as it is answered. Watching starts from
//! the known list, or from the whole list where none is known. When to retry after a failure is up to the decision module.
use awc::error::{ConnectError, SendRequestError};
use futures_util::StreamExt;
use slatethread::ListScope;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::task::spawn_blocking;
use tokio::time::{sleep, timeout};

use crate::core::{AnswerTimes, Core, Transport};
use crate::instances::ListSharing;
use crate::list::{ListText, NodeList};
use crate::metrics::DiscoveryResult;

/// How long a watch waits for a change: the configured time within which the list must be requested, divided by this. Guards against
/// a discovery service that stops answering, which only the end of the wait reveals.
const WATCH_DIVISOR: u32 = 5;
/// The same where instances share lists: only few of them watch, and the longer a watch is, the older is the list that they pass on.
const SHARED_WATCH_DIVISOR: u32 = 10;
/// Upper bound on the wait of a watch. Each response renews the lease on the list, counted from the start of its call. A silent watch
/// is given up [`RESPONSE_MARGIN`] after its wait, while most of the lease is left for discovery to answer another call.
const MAX_WATCH: Duration = Duration::from_secs(1);
/// How long the response to a renewed watch may take beyond its wait: such a call is not queued at discovery.
const RESPONSE_MARGIN: Duration = Duration::from_secs(1);
/// The wait of a call that begins a watch: its response confirms the list as soon as discovery serves the call.
const FIRST_WATCH: Duration = Duration::from_millis(1);
/// After this many consecutive responses that were interrupted or missing, the whole list is requested: it may be that only watches
/// fail.
const MAX_DOUBTFUL_FAILURES: u32 = 2;

/// Delay before a watch is renewed that was answered at once although nothing changed: short enough for the watch to continue. Guards
/// against keeping both sides busy if discovery answers watches without waiting.
const EMPTY_RESPONSE_DELAY: Duration = Duration::from_millis(50);

/// The address of the discovery service, and the HTTP client for it.
#[derive(Clone)]
pub struct DiscoveryServer {
    /// Used for the list alone. Each call has a connection of its own: an answer does not name its call, and a copy of an earlier one
    /// would renew the lease on the list.
    pub client: awc::Client,
    pub address: SocketAddr,
    /// The longest list that is read, in bytes.
    pub list_limit: usize,
}

/// Follows the list each time the decision module requests it, until a call fails, and without a request as soon as discovery has
/// moved. `known_generation` is the generation of the list that is already known. Where instances share lists (`sharing`), the list is
/// followed only while it is this instance's turn, and what is received is shared before it is applied.
pub async fn follow<C: Transport>(
    core: Rc<Core<C>>,
    mut server: watch::Receiver<DiscoveryServer>,
    mut known_generation: Option<u64>,
    sharing: Option<ListSharing>,
) {
    // Where lists are pushed, their source is on this machine and has no queue: the decision module does not request them.
    let mut pushed = !core.rules().settings.list_on_request;
    let mut restart = false;
    let mut doubtful_failures = 0;
    loop {
        if !restart && !std::mem::take(&mut pushed) {
            tokio::select! {
                () = core.list_requested() => {}
                Ok(()) = server.changed() => restart = true,
            }
        }
        if std::mem::take(&mut restart) {
            doubtful_failures = 0;
        }
        if let Some(sharing) = &sharing {
            sharing.wait_until_poller().await;
        }
        let current = server.borrow_and_update().clone();
        tokio::select! {
            // It is another instance's turn now; this one waits for its next turn, whatever the decision module requests.
            () = turn_ended(&sharing) => restart = true,
            // Guards against following the old server to its end, or calling the new one only after a backoff.
            Ok(()) = server.changed() => restart = true,
            error = follow_until_error(
                &core,
                &current,
                &mut known_generation,
                &mut doubtful_failures,
                sharing.as_ref(),
            ) => {
                let CallError { message, kind, elapsed } = error;
                let doubtful = matches!(kind, ListScope::Truncated | ListScope::TimedOut);
                doubtful_failures = if doubtful { doubtful_failures + 1 } else { 0 };
                known_generation = known_generation.filter(|_| doubtful_failures < MAX_DOUBTFUL_FAILURES);
                tracing::warn!(
                    fault = message,
                    how = ?kind,
                    waited = ?elapsed,
                    "discovery cannot be followed; the decision module schedules a retry"
                );
                if let Some(sharing) = &sharing {
                    sharing.call_failed(kind == ListScope::Truncated);
                }
                core.list_unavailable(kind);
            }
        }
    }
}

async fn turn_ended(sharing: &Option<ListSharing>) {
    match sharing {
        Some(sharing) => sharing.wait_while_poller().await,
        None => std::future::pending().await,
    }
}

/// Why a call to discovery failed.
struct CallError {
    message: String,
    /// Whether the connection was refused or could not be made, the call was rejected, the response was interrupted, or there was
    /// none in time.
    kind: ListScope,
    /// How long the call took until it failed.
    elapsed: Duration,
}

impl CallError {
    fn new(kind: ListScope, message: impl ToString) -> Self {
        CallError { message: message.to_string(), kind, elapsed: Duration::ZERO }
    }

    /// The kind of failure for the metrics.
    fn outcome(&self) -> DiscoveryResult {
        match self.kind {
            ListScope::Unreachable => DiscoveryResult::ConnectFailed,
            ListScope::Rejected => DiscoveryResult::ErrorStatus,
            ListScope::Truncated => DiscoveryResult::Truncated,
            _ => DiscoveryResult::TimedOut,
        }
    }

    /// No connection could be made. Only a refused connection shows that discovery is down: if it cannot be established otherwise,
    /// discovery may still be reachable for others, and a missing file descriptor is a problem of this relay.
    fn connect_failed(error: &ConnectError) -> Self {
        let refused =
            matches!(error, ConnectError::Io(e) if e.kind() == std::io::ErrorKind::ConnectionRefused);
        let kind = if refused { ListScope::Unreachable } else { ListScope::NotConnected };
        CallError::new(kind, error)
    }

    fn interrupted(message: impl ToString) -> Self {
        CallError::new(ListScope::Truncated, message)
    }
}

/// Follows the list until a call fails, and returns why. A list is applied while the next watch is already open, since a watch
/// continues only if it is renewed at once; but no more than one list at a time. Where a list is known, only its changes are requested,
/// first by a call that does not wait: its response is the smallest one that confirms the list. Guards against discovery writing the
/// whole list to every relay when a fleet starts or discovery has moved. If the new server counts generations differently, it reports a
/// lower one.
async fn follow_until_error<C: Transport>(
    core: &Rc<Core<C>>,
    server: &DiscoveryServer,
    known_generation: &mut Option<u64>,
    doubtful_failures: &mut u32,
    sharing: Option<&ListSharing>,
) -> CallError {
    let mut first = true;
    // Whether the last response was to a watch, which the next call renews.
    let mut renewal = false;
    loop {
        let shared = sharing.and_then(|sharing| Some((sharing, sharing.call_started()?)));
        let index = shared.as_ref().map_or(*known_generation, |(_, index)| *index);
        let max_wait =
            core.rules().list_max_age() / if shared.is_some() { SHARED_WATCH_DIVISOR } else { WATCH_DIVISOR };
        let max_wait = max_wait.min(MAX_WATCH);
        let wait = if renewal || shared.is_some() { max_wait } else { FIRST_WATCH };
        let time_limit =
            if renewal { wait + RESPONSE_MARGIN } else { wait + core.list_call_timeout(index.is_some()) };
        tracing::debug!(held = ?index, ?wait, "calling discovery");
        let begun = Instant::now();
        let response = fetch(core, server, index.map(|index| (index, wait)), time_limit).await;
        let waited = begun.elapsed();
        if !renewal {
            core.metrics().discovery_call_ended(
                response.as_ref().map_or_else(CallError::outcome, |_| DiscoveryResult::Answered),
                waited,
            );
        }
        let (list, first_byte) = match response {
            Ok(response) => response,
            Err(error) => return CallError { elapsed: waited, ..error },
        };
        let answered = AnswerTimes { begun, first_byte };
        *doubtful_failures = 0;
        renewal = index.is_some();
        let (generation, changes, whole) = (list.generation, list.len(), list.reset);
        tracing::debug!(generation, changes, whole, ?waited, "discovery answered");
        if let Some((sharing, _)) = shared {
            *known_generation = Some(generation);
            sharing.call_answered(answered, &list);
            if std::mem::take(&mut first) {
                // Only informs the decision module that the list is available; its entries are applied from the shared list, and
                // confirm it only then.
                apply_unconfirmed(core, NodeList::new(generation, false, Vec::new()));
            }
            continue;
        }
        // If discovery has lost its state, the changes that it reports do not lead from the known list to its current one.
        let lower = !whole && known_generation.is_some_and(|known| generation < known);
        if known_generation.replace(generation).is_none() {
            tracing::info!(generation, nodes = changes, "list of execute nodes");
        } else if whole || changes > 0 {
            tracing::info!(generation, changes, whole, "list of execute nodes changed");
        }
        if lower {
            tracing::warn!(
                generation,
                "discovery reports a lower generation than before; requesting the whole list"
            );
            *known_generation = None;
            renewal = false;
        }
        // The first response is applied even if nothing changed, so that the decision module learns that the list is available.
        if std::mem::take(&mut first) || whole || changes > 0 {
            core.lists_applied().await;
            if lower {
                apply_unconfirmed(core, list);
            } else {
                apply(core, list, answered);
            }
        } else if !lower {
            confirm_unchanged(core, answered);
        }
        if changes == 0 && waited < EMPTY_RESPONSE_DELAY && wait > EMPTY_RESPONSE_DELAY {
            sleep(EMPTY_RESPONSE_DELAY).await;
        }
    }
}

/// Applies a list in the background, and confirms it once it is applied.
fn apply<C: Transport>(core: &Rc<Core<C>>, list: NodeList, answered: AnswerTimes) {
    let core = core.clone();
    actix_rt::spawn(async move {
        core.apply_list(&list).await;
        core.list_confirmed(answered);
    });
}

/// Applies changes in the background that do not make the list complete.
fn apply_unconfirmed<C: Transport>(core: &Rc<Core<C>>, list: NodeList) {
    let core = core.clone();
    actix_rt::spawn(async move { core.apply_list(&list).await });
}

/// Confirms the list, which has not changed, once earlier lists are applied.
fn confirm_unchanged<C: Transport>(core: &Rc<Core<C>>, answered: AnswerTimes) {
    let core = core.clone();
    actix_rt::spawn(async move {
        core.lists_applied().await;
        core.list_confirmed(answered);
    });
}

/// Makes one call: for the changes since an index, waiting for them, or for the whole list. Returns the list, and when its first byte
/// arrived.
async fn fetch<C: Transport>(
    core: &Rc<Core<C>>,
    server: &DiscoveryServer,
    watch: Option<(u64, Duration)>,
    time_limit: Duration,
) -> Result<(NodeList, Instant), CallError> {
    let base = format!("http://{}/v1/endpoints", server.address);
    let url = match watch {
        Some((index, wait)) => format!("{base}?index={index}&wait={}", wait.as_millis()),
        None => base,
    };
    let call = async {
        let mut response =
            server.client.get(url).force_close().no_decompress().send().await.map_err(|e| match e {
                SendRequestError::Connect(e) => CallError::connect_failed(&e),
                e => CallError::interrupted(e),
            })?;
        if response.status() != 200 {
            let message = format!("status {}", response.status().as_u16());
            return Err(CallError::new(ListScope::Rejected, message));
        }
        let first = Instant::now();
        core.list_answer_started(first);
        let mut text = ListText::default();
        while let Some(part) = response.next().await {
            let part = part.map_err(CallError::interrupted)?;
            if !text.append(&part, server.list_limit).map_err(CallError::interrupted)? {
                let limit = server.list_limit;
                let message = format!("the list is longer than idle.list_limit_mb allows ({limit} bytes)");
                return Err(CallError::interrupted(message));
            }
        }
        if !text.is_mapped() {
            return Ok((NodeList::parse(text).map_err(CallError::interrupted)?, first));
        }
        // On another thread, so that jobs are not delayed meanwhile.
        let read = spawn_blocking(move || NodeList::parse(text)).await;
        Ok((read.map_err(CallError::interrupted)?.map_err(CallError::interrupted)?, first))
    };
    timeout(time_limit, call)
        .await
        .unwrap_or_else(|_| Err(CallError::new(ListScope::TimedOut, "no response in time")))
}
