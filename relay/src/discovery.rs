//! Follows the platform's list of execute nodes by a watch that is renewed at once: from the list that is held on, or
//! from the whole one where none is.
//! When to ask again after a failure is the module's decision.
use awc::error::{ConnectError, SendRequestError};
use futures_util::StreamExt;
use slatethread::ListScope;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::task::spawn_blocking;
use tokio::time::{sleep, timeout};

use crate::core::{Answered, Carrier, Core};
use crate::figures::Heard;
use crate::instances::ListSharing;
use crate::list::{ListText, NodeList};

/// How long a watch is held where nothing changes, as a part of the time in which the settings want the list
/// asked for. Guards against a discovery that goes silent: only the end of a wait shows that.
const WAIT_PART: u32 = 5;
/// The same where lists pass between instances: few hold watches, and what they say is the older the longer these are.
const SHARED_PART: u32 = 10;
/// However long that is, a watch is held no longer: each of its answers renews the lease on the list, from its call's beginning on.
/// After its wait [`PATIENCE`] goes by before a silent one is given up, and most of the lease is left in which discovery can answer anew.
const LONGEST_WAIT: Duration = Duration::from_secs(1);
/// How long the answer of a watch that goes on may take beyond its wait: it stands in no queue.
const PATIENCE: Duration = Duration::from_secs(1);
/// The wait of a call that begins a watch: its answer confirms the list as soon as discovery comes to it.
const FIRST_WAIT: Duration = Duration::from_millis(1);
/// After so many answers in a row that broke off or did not come, the whole list is asked for: it may be watches alone that fail.
const DOUBTS: u32 = 2;

/// A watch that is answered at once though nothing changed is asked anew after so long: soon enough for it to go on.
/// Guards against a discovery that holds no watch keeping both sides busy.
const EMPTY_PAUSE: Duration = Duration::from_millis(50);

/// Where discovery is, and a client whose connections lead there.
#[derive(Clone)]
pub struct Place {
    /// For the list alone: one call at a time, so that after a silent one, whose connection is left, none rests here that
    /// may be as silent.
    pub client: awc::Client,
    pub address: SocketAddr,
    /// The longest list that is read, in bytes.
    pub list_limit: usize,
}

/// Follows the list whenever the module asks for it, for as long as that goes well, and from its first word on
/// wherever discovery has moved to. `held` is the generation of the list that is known already. Where lists pass between instances
/// (`sharing`), only while it is this one's turn, and what comes is theirs before it is taken in.
pub async fn follow<C: Carrier>(
    core: Rc<Core<C>>,
    mut place: watch::Receiver<Place>,
    mut held: Option<u64>,
    sharing: Option<ListSharing>,
) {
    // Where lists are pushed, who has them is on this machine and keeps nobody waiting: the module does not ask for them.
    let mut pushed = !core.rules().settings.list_on_request;
    let mut moved = false;
    let mut doubts = 0;
    loop {
        if !moved && !std::mem::take(&mut pushed) {
            tokio::select! {
                () = core.asked_to_follow() => {}
                Ok(()) = place.changed() => moved = true,
            }
        }
        if std::mem::take(&mut moved) {
            doubts = 0;
        }
        if let Some(sharing) = &sharing {
            sharing.wait_until_poller().await;
        }
        let now = place.borrow_and_update().clone();
        tokio::select! {
            // Another has it now; this one waits for its turn again, whatever the module asks for.
            () = over(&sharing) => moved = true,
            // Guards against following the old one to its end, or asking the new one only after a pause.
            Ok(()) = place.changed() => moved = true,
            fault = session(&core, &now, &mut held, &mut doubts, sharing.as_ref()) => {
                let Fault { text, how, unconnected, waited } = fault;
                let doubtful = matches!(how, ListScope::Torn | ListScope::Silent) && !unconnected;
                doubts = if doubtful { doubts + 1 } else { 0 };
                held = held.filter(|_| doubts < DOUBTS);
                tracing::warn!(
                    fault = text,
                    ?how,
                    ?waited,
                    "discovery cannot be followed; the module asks again later"
                );
                if let Some(sharing) = &sharing {
                    sharing.call_failed(how == ListScope::Torn);
                }
                core.list_broken(how);
            }
        }
    }
}

async fn over(sharing: &Option<ListSharing>) {
    match sharing {
        Some(sharing) => sharing.wait_while_poller().await,
        None => std::future::pending().await,
    }
}

/// What went wrong with a call.
struct Fault {
    text: String,
    /// What was heard: nothing since no call was taken, that it was turned away, an answer that broke off, silence.
    how: ListScope,
    /// The call did not go out.
    unconnected: bool,
    /// How long the call had been out.
    waited: Duration,
}

impl Fault {
    fn new(how: ListScope, text: impl ToString) -> Self {
        Fault { text: text.to_string(), how, unconnected: false, waited: Duration::ZERO }
    }

    /// The same for the figures.
    fn heard(&self) -> Heard {
        match self.how {
            ListScope::Broken => Heard::Refused,
            ListScope::Busy => Heard::TurnedAway,
            ListScope::Torn => Heard::BrokeOff,
            _ => Heard::Silent,
        }
    }

    /// No connection was had. Only one that is refused says that nobody is there: one that does not come up may be cut off from a
    /// discovery that others reach, and a descriptor that is not to be had is the relay's own affair.
    fn unconnected(error: &ConnectError) -> Self {
        let refused =
            matches!(error, ConnectError::Io(e) if e.kind() == std::io::ErrorKind::ConnectionRefused);
        let how = if refused { ListScope::Broken } else { ListScope::Silent };
        Fault { unconnected: true, ..Fault::new(how, error) }
    }

    fn torn(text: impl ToString) -> Self {
        Fault::new(ListScope::Torn, text)
    }
}

/// Ends with what went wrong. A list is taken in while the next watch is already under way, since a watch goes on
/// only if it is renewed at once; but no more than one at a time. Where a list is held, what it lacks is asked for and
/// no more, first by a call that does not wait: its answer is the smallest that confirms the list. Guards against a fleet that starts, or
/// whose discovery has moved, having the whole list written to every relay first. What counts otherwise tells a lower generation.
async fn session<C: Carrier>(
    core: &Rc<Core<C>>,
    place: &Place,
    held: &mut Option<u64>,
    doubts: &mut u32,
    sharing: Option<&ListSharing>,
) -> Fault {
    let mut first = true;
    // The last answer was a watch's, so that the next one goes on from it.
    let mut goes_on = false;
    loop {
        let shared = sharing.and_then(|sharing| Some((sharing, sharing.call_started()?)));
        let index = shared.as_ref().map_or(*held, |(_, index)| *index);
        let longest = core.rules().list_max_age() / if shared.is_some() { SHARED_PART } else { WAIT_PART };
        let longest = longest.min(LONGEST_WAIT);
        let wait = if goes_on || shared.is_some() { longest } else { FIRST_WAIT };
        let patience = if goes_on { wait + PATIENCE } else { wait + core.list_patience(index.is_some()) };
        tracing::debug!(held = ?index, ?wait, "discovery is asked");
        let begun = Instant::now();
        let answer = fetch(core, place, index.map(|index| (index, wait)), patience).await;
        let waited = begun.elapsed();
        if !goes_on {
            core.figures()
                .discovery_called(answer.as_ref().map_or_else(Fault::heard, |_| Heard::Answered), waited);
        }
        let (list, first_byte) = match answer {
            Ok(answer) => answer,
            Err(fault) => return Fault { waited, ..fault },
        };
        let answered = Answered { begun, first: first_byte };
        *doubts = 0;
        goes_on = index.is_some();
        let (generation, changes, whole) = (list.generation, list.len(), list.reset);
        tracing::debug!(generation, changes, whole, ?waited, "discovery has answered");
        if let Some((sharing, _)) = shared {
            *held = Some(generation);
            sharing.call_answered(begun, &list);
            if std::mem::take(&mut first) {
                // The module hears that the list can be had; what is in it comes by way of the others' one.
                take(core, NodeList::made(generation, false, Vec::new()), answered);
            }
            continue;
        }
        // What a service that lost its memory calls changes does not lead from the list that is held to its own.
        let lower = !whole && held.is_some_and(|held| generation < held);
        if held.replace(generation).is_none() {
            tracing::info!(generation, nodes = changes, "list of execute nodes");
        } else if whole || changes > 0 {
            tracing::info!(generation, changes, whole, "list of execute nodes changed");
        }
        if lower {
            tracing::warn!(
                generation,
                "discovery has a lower generation than before; the whole list is asked for"
            );
            *held = None;
            goes_on = false;
        }
        // The first is taken in even if nothing changed: the module hears that the list can be had.
        if std::mem::take(&mut first) || whole || changes > 0 {
            core.lists_taken().await;
            if lower {
                take_unconfirmed(core, list);
            } else {
                take(core, list, answered);
            }
        } else if !lower {
            confirm(core, answered);
        }
        if changes == 0 && waited < EMPTY_PAUSE && wait > EMPTY_PAUSE {
            sleep(EMPTY_PAUSE).await;
        }
    }
}

/// Takes a list in; from then on it is confirmed.
fn take<C: Carrier>(core: &Rc<Core<C>>, list: NodeList, answered: Answered) {
    let core = core.clone();
    actix_rt::spawn(async move {
        core.take_list(&list).await;
        core.list_confirmed(answered);
    });
}

/// Takes in changes that do not lead to the whole list.
fn take_unconfirmed<C: Carrier>(core: &Rc<Core<C>>, list: NodeList) {
    let core = core.clone();
    actix_rt::spawn(async move { core.take_list(&list).await });
}

/// Nothing has changed: the list is confirmed once what came before is taken in.
fn confirm<C: Carrier>(core: &Rc<Core<C>>, answered: Answered) {
    let core = core.clone();
    actix_rt::spawn(async move {
        core.lists_taken().await;
        core.list_confirmed(answered);
    });
}

/// One call: for what changed since an index, waiting so long for it, or for the whole list. Gives the list, and when its first byte came.
async fn fetch<C: Carrier>(
    core: &Rc<Core<C>>,
    place: &Place,
    watch: Option<(u64, Duration)>,
    patience: Duration,
) -> Result<(NodeList, Instant), Fault> {
    let base = format!("http://{}/v1/endpoints", place.address);
    let url = match watch {
        Some((index, wait)) => format!("{base}?index={index}&wait={}", wait.as_millis()),
        None => base,
    };
    let call = async {
        let mut response = place.client.get(url).no_decompress().send().await.map_err(|e| match e {
            SendRequestError::Connect(e) => Fault::unconnected(&e),
            e => Fault::torn(e),
        })?;
        if response.status() != 200 {
            let text = format!("status {}", response.status().as_u16());
            return Err(Fault::new(ListScope::Busy, text));
        }
        let first = Instant::now();
        core.list_answer_begins(first);
        let mut text = ListText::default();
        while let Some(part) = response.next().await {
            let part = part.map_err(Fault::torn)?;
            if !text.add(&part, place.list_limit).map_err(Fault::torn)? {
                let limit = place.list_limit;
                let what = format!("the list is longer than idle.list_limit_mb allows ({limit} bytes)");
                return Err(Fault::torn(what));
            }
        }
        if !text.is_long() {
            return Ok((NodeList::read(text).map_err(Fault::torn)?, first));
        }
        // On another thread, so that jobs go on meanwhile.
        let read = spawn_blocking(move || NodeList::read(text)).await;
        Ok((read.map_err(Fault::torn)?.map_err(Fault::torn)?, first))
    };
    timeout(patience, call).await.unwrap_or_else(|_| Err(Fault::new(ListScope::Silent, "no answer")))
}
