//! Passes lists of execute nodes between instances: the I/O for the state machine [`onyxglade_instances::Lists`], which
//! makes all decisions. Nothing here runs, and there are no persistent links, unless `lists` in `[instances]` is set.
use onyxglade_instances::{LinkMessage, Lists, ListsConfig, ListsInput, ListsOutput, MAX_FRAME_BYTES};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncWriteExt, split};
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{sleep_until, timeout};
use tokio_util::sync::CancellationToken;

use super::{Instances, link};
use crate::core::{AnswerTimes, Core, Transport};
use crate::list::{NodeEntry, NodeList};

/// Maximum number of messages queued on a link. A link whose peer does not read them is closed.
const MAX_QUEUED_MESSAGES: usize = 64;
/// Time allowed for opening a link, and for writing a message to it.
const LINK_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which an instance that cannot listen yet, because its predecessor process still does, calls discovery on its
/// own.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before the list of an earlier process is used, if no newer one has arrived by then: its addresses may belong to
/// other machines by now. The delay still lets an instance without peers serve within its first second.
const KNOWN_LIST_DELAY: Duration = Duration::from_millis(900);

/// Limits of the shared lists.
#[derive(Clone, Copy, Debug)]
pub struct ListSharingLimits {
    /// The list must be confirmed at least this often.
    pub max_age: Duration,
    /// Maximum size of an accepted list, in bytes.
    pub max_bytes: usize,
}

/// An open persistent link.
struct OpenLink {
    outgoing: mpsc::Sender<LinkMessage>,
    cancelled: CancellationToken,
}

/// The list of execute nodes, as received from discovery or from other instances.
pub struct SharedLists {
    limits: ListSharingLimits,
    started_at: Instant,
    lists: RefCell<Option<Lists>>,
    /// Whether this instance is to call discovery.
    polling: watch::Sender<bool>,
    /// Notified when sharing starts.
    started: Notify,
    /// Notified when the shared list has changed, or was confirmed.
    changed: Notify,
    /// When the first byte arrived of the last answer to this instance that is in its list.
    adopted_answer: Cell<Option<Instant>>,
    links: RefCell<HashMap<u64, OpenLink>>,
    last_link: Cell<u64>,
}

impl SharedLists {
    pub(super) fn new(limits: ListSharingLimits, started_at: Instant) -> Rc<Self> {
        Rc::new(SharedLists {
            limits,
            started_at,
            lists: RefCell::default(),
            polling: watch::Sender::new(false),
            started: Notify::new(),
            changed: Notify::new(),
            adopted_answer: Cell::default(),
            links: RefCell::default(),
            last_link: Cell::new(0),
        })
    }

    /// Starts sharing, once the instance listens at `address`.
    pub(super) fn start(self: &Rc<Self>, instances: &Rc<Instances>, address: SocketAddr, seed: u64) {
        let config = ListsConfig {
            me: address,
            seeds: instances.settings.seeds.clone(),
            expected: instances.settings.expected,
            must_ask_in: self.limits.max_age,
            max_bytes: self.limits.max_bytes,
        };
        *self.lists.borrow_mut() = Some(Lists::new(config, seed, self.started_at.elapsed()));
        self.started.notify_waiters();
        let (shared, instances) = (self.clone(), instances.clone());
        actix_rt::spawn(async move {
            loop {
                shared.handle(&instances, ListsInput::TimerDue);
                let due = shared.lists.borrow().as_ref().map(Lists::due).unwrap_or_default();
                sleep_until((shared.started_at + due).into()).await;
            }
        });
    }

    pub(super) fn handle(self: &Rc<Self>, instances: &Rc<Instances>, event: ListsInput) {
        let now = self.started_at.elapsed();
        let actions = match &mut *self.lists.borrow_mut() {
            Some(lists) => {
                let confirmed_before = lists.current().map(|current| current.earliest);
                let actions = lists.handle(now, event);
                if lists.current().map(|current| current.earliest) > confirmed_before {
                    self.changed.notify_one();
                }
                actions
            }
            None => return,
        };
        for action in actions {
            match action {
                ListsOutput::Open(to) => self.open_link(instances, to),
                ListsOutput::Close(number) => self.close_link(number),
                ListsOutput::Send(number, message) => {
                    // A link whose queue is full is treated as dead; its task reports that it has closed.
                    if let Some(link) = self.links.borrow().get(&number)
                        && link.outgoing.try_send(message).is_err()
                    {
                        link.cancelled.cancel();
                    }
                }
                ListsOutput::Poll(polling) => drop(self.polling.send_replace(polling)),
                ListsOutput::ListChanged => self.changed.notify_one(),
            }
        }
    }

    /// Closes a link without reporting `Closed` to the state machine, which has requested it.
    fn close_link(&self, number: u64) {
        if let Some(link) = self.links.borrow_mut().remove(&number) {
            link.cancelled.cancel();
        }
    }

    fn open_link(self: &Rc<Self>, instances: &Rc<Instances>, to: SocketAddr) {
        let (shared, instances) = (self.clone(), instances.clone());
        actix_rt::spawn(async move {
            match timeout(LINK_TIMEOUT, link::connect(&instances, to)).await {
                Ok(Ok(stream)) => shared.run_link(&instances, stream, Some(to)).await,
                _ => shared.handle(&instances, ListsInput::OpenFailed(to)),
            }
        });
    }

    /// Runs an open link: handles received messages and sends queued ones until either side closes it.
    pub(super) async fn run_link(
        self: &Rc<Self>,
        instances: &Rc<Instances>,
        stream: TcpStream,
        to: Option<SocketAddr>,
    ) {
        let _ = stream.set_nodelay(true);
        let Some(mut sealer) = instances.link_sealer() else { return };
        let number = self.last_link.get() + 1;
        self.last_link.set(number);
        let (outgoing, mut queued) = mpsc::channel::<LinkMessage>(MAX_QUEUED_MESSAGES);
        let cancelled = CancellationToken::new();
        self.links.borrow_mut().insert(number, OpenLink { outgoing, cancelled: cancelled.clone() });
        self.handle(instances, ListsInput::Opened { link: number, to });
        let (mut reader, mut writer) = split(stream);
        let write = async {
            while let Some(message) = queued.recv().await {
                let frame = sealer.seal(&message.encode(), super::unix_time());
                let Ok(Ok(())) = timeout(LINK_TIMEOUT, link::write_frame(&mut writer, &frame)).await else {
                    break;
                };
            }
            let _ = timeout(LINK_TIMEOUT, writer.shutdown()).await;
        };
        let read = async {
            while let Ok(frame) = link::read_frame(&mut reader, MAX_FRAME_BYTES).await {
                let Some(message) = instances.open(&frame) else { break };
                self.handle(instances, ListsInput::Received(number, message));
            }
        };
        tokio::select! {
            () = write => {}
            () = read => {}
            () = cancelled.cancelled() => {}
        }
        if self.links.borrow_mut().remove(&number).is_some() {
            self.handle(instances, ListsInput::Closed(number));
        }
    }

    /// The state of list sharing for the admin API.
    pub(super) fn view(&self) -> Value {
        let lists = self.lists.borrow();
        let Some(lists) = &*lists else { return Value::Null };
        let (followed, followers) = lists.links();
        let now = self.started_at.elapsed();
        let current = lists.current().map(|current| {
            json!({"generation": current.version.generation, "memory": current.resets, "origin": current.origin.to_string(), "hops": current.hops,
                "age_ms": now.saturating_sub(current.earliest).as_millis() as u64})
        });
        json!({"asks": *self.polling.borrow(), "held": current, "hears": followed, "heard_by": followers})
    }
}

/// Coordinates this instance's calls to discovery when lists are shared.
#[derive(Clone)]
pub struct ListSharing {
    pub(super) instances: Rc<Instances>,
    pub(super) shared: Rc<SharedLists>,
}

impl ListSharing {
    /// Waits until this instance is to call discovery.
    pub async fn wait_until_poller(&self) {
        let shared = &self.shared;
        if shared.lists.borrow().is_none() {
            let _ = timeout(LISTEN_TIMEOUT, shared.started.notified()).await;
        }
        if shared.lists.borrow().is_some() {
            // Never fails: `shared` owns the sender.
            let _ = shared.polling.subscribe().wait_for(|polling| *polling).await;
        }
    }

    /// Waits until this instance is no longer to call discovery.
    pub async fn wait_while_poller(&self) {
        let shared = &self.shared;
        if shared.lists.borrow().is_none() {
            shared.started.notified().await;
        }
        let _ = shared.polling.subscribe().wait_for(|polling| !*polling).await;
    }

    /// Reports the start of a call. Returns the generation from which on changes are to be requested, or `Some(None)` for the
    /// whole list; `None` while this instance does not listen yet and calls the service on its own.
    pub fn call_started(&self) -> Option<Option<u64>> {
        let index = self.shared.lists.borrow().as_ref().map(Lists::watch_index)?;
        self.shared.handle(&self.instances, ListsInput::CallStarted);
        Some(index)
    }

    /// Reports the response to a call.
    pub fn call_answered(&self, answered: AnswerTimes, list: &NodeList) {
        let began = answered.begun.saturating_duration_since(self.shared.started_at);
        let (generation, whole, entries) = (list.generation, list.reset, list.entry_texts());
        self.shared.handle(&self.instances, ListsInput::CallAnswered { began, generation, whole, entries });
        let current = self.shared.lists.borrow().as_ref().and_then(Lists::current);
        if current.is_some_and(|current| current.earliest == began) {
            self.shared.adopted_answer.set(Some(answered.first_byte));
        }
    }

    /// Reports that a call failed; `torn` if its response broke off.
    pub fn call_failed(&self, torn: bool) {
        self.shared.handle(&self.instances, ListsInput::CallFailed { torn });
    }
}

/// Applies each new shared list to the core, and confirms it as often as the instances do. Makes the list known before startup known to
/// the core if no other arrives in time; no claims are sent by it.
pub async fn apply_lists<C: Transport>(core: Rc<Core<C>>, sharing: ListSharing, known: NodeList) {
    let shared = sharing.shared;
    let mut applied = None;
    let mut known = (!known.is_empty()).then_some(known);
    let use_known_at = Instant::now() + KNOWN_LIST_DELAY;
    loop {
        tokio::select! {
            biased;
            () = shared.changed.notified() => known = None,
            () = sleep_until(use_known_at.into()), if known.is_some() => {
                let known = known.take().unwrap_or_default();
                let (generation, nodes) = (known.generation, known.len());
                tracing::info!(generation, nodes, "no list received yet; the nodes known before startup wait to be confirmed");
                core.apply_list(&known).await;
                continue;
            }
        }
        let update = shared.lists.borrow().as_ref().and_then(|lists| {
            let current = lists.current()?;
            Some((current, (applied != Some(current.version)).then(|| lists.changes_since(applied))))
        });
        let Some((current, difference)) = update else { continue };
        let begun = shared.started_at + current.earliest;
        let first_byte = shared.adopted_answer.get().unwrap_or(begun);
        let confirmed = AnswerTimes { begun, first_byte };
        let Some(difference) = difference else {
            core.list_confirmed(confirmed);
            continue;
        };
        let decode_entry = |(name, text): (String, Option<String>)| match text {
            None => Some(NodeEntry::deleted(name)),
            Some(text) => {
                let entry = NodeEntry::parse(&text);
                entry
                    .map_err(|fault| {
                        tracing::warn!(name, fault, "invalid entry in the node list; skipping it")
                    })
                    .ok()
            }
        };
        let whole = difference.base.is_none();
        let entries: Vec<_> = difference.entries.into_iter().filter_map(decode_entry).collect();
        let (generation, changes, origin) = (difference.version.generation, entries.len(), current.origin);
        if applied.is_none() {
            tracing::info!(generation, nodes = changes, %origin, hops = current.hops, "list of execute nodes");
        } else {
            tracing::info!(generation, changes, whole, %origin, hops = current.hops, "list of execute nodes changed");
        }
        applied = Some(difference.version);
        core.apply_list(&NodeList::new(generation, whole, entries)).await;
        core.list_confirmed(confirmed);
    }
}
