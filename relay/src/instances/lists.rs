//! Lists between instances: the sockets and clocks round [`onyxglade_instances::Lists`]. Decides nothing. Without `lists` in
//! `[instances]` nothing here runs, and no link stands.
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
use crate::core::{Carrier, Core};
use crate::list::{NodeEntry, NodeList};

/// Words that wait on a link: one whose far side does not take them is given up.
const WAITING: usize = 64;
/// A link comes up within this time, and takes a word within it.
const TAKES: Duration = Duration::from_secs(2);
/// An instance that cannot listen for so long (the process before it still does) asks the list service by itself.
const LISTENS: Duration = Duration::from_secs(1);
/// A list of an earlier process's is used only if nothing better has come by then: its addresses may be others' by now. One that is alone
/// still serves within its first second.
const KNOWN_AFTER: Duration = Duration::from_millis(900);

/// What the lists of this instance are told beforehand.
#[derive(Clone, Copy, Debug)]
pub struct Told {
    /// The list is to be no older than this.
    pub must_ask_in: Duration,
    /// The longest list that is taken, in bytes.
    pub longest: usize,
}

/// A link that stands.
struct Way {
    words: mpsc::Sender<LinkMessage>,
    ended: CancellationToken,
}

/// Lists, as this instance has them from the list service or from others.
pub struct Shared {
    told: Told,
    begun: Instant,
    lists: RefCell<Option<Lists>>,
    turn: watch::Sender<bool>,
    began: Notify,
    changed: Notify,
    ways: RefCell<HashMap<u64, Way>>,
    last_way: Cell<u64>,
}

impl Shared {
    pub(super) fn new(told: Told, begun: Instant) -> Rc<Self> {
        Rc::new(Shared {
            told,
            begun,
            lists: RefCell::default(),
            turn: watch::Sender::new(false),
            began: Notify::new(),
            changed: Notify::new(),
            ways: RefCell::default(),
            last_way: Cell::new(0),
        })
    }

    /// The instance listens at an address from now on.
    pub(super) fn begin(self: &Rc<Self>, instances: &Rc<Instances>, me: SocketAddr, seed: u64) {
        let config = ListsConfig {
            me,
            seeds: instances.told.seeds.clone(),
            expected: instances.told.expected,
            must_ask_in: self.told.must_ask_in,
            max_bytes: self.told.longest,
        };
        *self.lists.borrow_mut() = Some(Lists::new(config, seed, self.begun.elapsed()));
        self.began.notify_waiters();
        let (shared, instances) = (self.clone(), instances.clone());
        actix_rt::spawn(async move {
            loop {
                shared.handle(&instances, ListsInput::TimerDue);
                let due = shared.lists.borrow().as_ref().map(Lists::due).unwrap_or_default();
                sleep_until((shared.begun + due).into()).await;
            }
        });
    }

    pub(super) fn handle(self: &Rc<Self>, instances: &Rc<Instances>, heard: ListsInput) {
        let now = self.begun.elapsed();
        let todo = match &mut *self.lists.borrow_mut() {
            Some(lists) => lists.handle(now, heard),
            None => return,
        };
        for what in todo {
            match what {
                ListsOutput::Open(to) => self.open(instances, to),
                ListsOutput::Close(number) => self.end(number),
                ListsOutput::Send(number, word) => {
                    // One that does not take what is said is as good as gone; its task tells that it has ended.
                    if let Some(way) = self.ways.borrow().get(&number)
                        && way.words.try_send(word).is_err()
                    {
                        way.ended.cancel();
                    }
                }
                ListsOutput::Poll(turn) => drop(self.turn.send_replace(turn)),
                ListsOutput::ListChanged => self.changed.notify_one(),
            }
        }
    }

    /// Ends a link that is known to have ended here.
    fn end(&self, number: u64) {
        if let Some(way) = self.ways.borrow_mut().remove(&number) {
            way.ended.cancel();
        }
    }

    fn open(self: &Rc<Self>, instances: &Rc<Instances>, to: SocketAddr) {
        let (shared, instances) = (self.clone(), instances.clone());
        actix_rt::spawn(async move {
            match timeout(TAKES, link::connect(&instances, to)).await {
                Ok(Ok(stream)) => shared.stand(&instances, stream, Some(to)).await,
                _ => shared.handle(&instances, ListsInput::OpenFailed(to)),
            }
        });
    }

    /// A link's whole life, once it is up: what is said on it is heard, and what is to be said is sent, until either side ends it.
    pub(super) async fn stand(
        self: &Rc<Self>,
        instances: &Rc<Instances>,
        stream: TcpStream,
        to: Option<SocketAddr>,
    ) {
        let _ = stream.set_nodelay(true);
        let Some(mut sealed) = instances.sealed() else { return };
        let number = self.last_way.get() + 1;
        self.last_way.set(number);
        let (words, mut said) = mpsc::channel::<LinkMessage>(WAITING);
        let ended = CancellationToken::new();
        self.ways.borrow_mut().insert(number, Way { words, ended: ended.clone() });
        self.handle(instances, ListsInput::Opened { link: number, to });
        let (mut from, mut out) = split(stream);
        let say = async {
            while let Some(word) = said.recv().await {
                let frame = sealed.seal(&word.encode(), super::unix());
                let Ok(Ok(())) = timeout(TAKES, link::write(&mut out, &frame)).await else { break };
            }
            let _ = timeout(TAKES, out.shutdown()).await;
        };
        let hear = async {
            while let Ok(frame) = link::read(&mut from, MAX_FRAME_BYTES).await {
                let Some(word) = instances.open(&frame) else { break };
                self.handle(instances, ListsInput::Received(number, word));
            }
        };
        tokio::select! {
            () = say => {}
            () = hear => {}
            () = ended.cancelled() => {}
        }
        if self.ways.borrow_mut().remove(&number).is_some() {
            self.handle(instances, ListsInput::Closed(number));
        }
    }

    /// For the view of those who run the relay.
    pub(super) fn view(&self) -> Value {
        let lists = self.lists.borrow();
        let Some(lists) = &*lists else { return Value::Null };
        let (heard, hearers) = lists.links();
        let now = self.begun.elapsed();
        let held = lists.current().map(|held| {
            json!({"generation": held.version.generation, "memory": held.resets, "origin": held.origin.to_string(), "hops": held.hops,
                "age_ms": now.saturating_sub(held.earliest).as_millis() as u64})
        });
        json!({"asks": *self.turn.borrow(), "held": held, "hears": heard, "heard_by": hearers})
    }
}

/// The way in which this instance asks the list service where lists are shared.
#[derive(Clone)]
pub struct Sharing {
    pub(super) instances: Rc<Instances>,
    pub(super) shared: Rc<Shared>,
}

impl Sharing {
    /// Done when the list service is to be called by this instance.
    pub async fn turn(&self) {
        let shared = &self.shared;
        if shared.lists.borrow().is_none() {
            let _ = timeout(LISTENS, shared.began.notified()).await;
        }
        if shared.lists.borrow().is_some() {
            // Its sender is held here.
            let _ = shared.turn.subscribe().wait_for(|turn| *turn).await;
        }
    }

    /// Done when it no longer is.
    pub async fn over(&self) {
        let shared = &self.shared;
        if shared.lists.borrow().is_none() {
            shared.began.notified().await;
        }
        let _ = shared.turn.subscribe().wait_for(|turn| !*turn).await;
    }

    /// The service is called: from which generation on, or for all of the list. None while this instance does not listen yet, and asks
    /// as one that is alone.
    pub fn asks(&self) -> Option<Option<u64>> {
        let index = self.shared.lists.borrow().as_ref().map(Lists::watch_index)?;
        self.shared.handle(&self.instances, ListsInput::CallStarted);
        Some(index)
    }

    /// It answered a call that began at a time.
    pub fn answered(&self, began: Instant, list: &NodeList) {
        let began = began.saturating_duration_since(self.shared.begun);
        let (generation, whole, entries) = (list.generation, list.reset, list.texts());
        self.shared.handle(&self.instances, ListsInput::CallAnswered { began, generation, whole, entries });
    }

    /// It did not.
    pub fn failed(&self, torn: bool) {
        self.shared.handle(&self.instances, ListsInput::CallFailed { torn });
    }
}

/// Takes in what is held, whenever that is another list; for want of any, what was known before the start.
pub async fn take<C: Carrier>(core: Rc<Core<C>>, sharing: Sharing, known: NodeList) {
    let shared = sharing.shared;
    let mut taken = None;
    let mut known = (!known.is_empty()).then_some(known);
    let known_at = Instant::now() + KNOWN_AFTER;
    loop {
        tokio::select! {
            biased;
            () = shared.changed.notified() => known = None,
            () = sleep_until(known_at.into()), if known.is_some() => {
                let known = known.take().unwrap_or_default();
                let (generation, nodes) = (known.generation, known.len());
                tracing::info!(generation, nodes, "the list that was known before the start is used");
                core.take_list(&known).await;
                continue;
            }
        }
        let told = shared
            .lists
            .borrow()
            .as_ref()
            .and_then(|lists| Some((lists.current()?, lists.changes_since(taken))));
        let Some((held, difference)) = told else { continue };
        let read = |(name, text): (String, Option<String>)| match text {
            None => Some(NodeEntry::gone(name)),
            Some(text) => {
                let read = NodeEntry::read(&text);
                read.map_err(|fault| tracing::warn!(name, fault, "an entry of the list; left out")).ok()
            }
        };
        let whole = difference.base.is_none();
        let entries: Vec<_> = difference.entries.into_iter().filter_map(read).collect();
        let (generation, changes, origin) = (difference.version.generation, entries.len(), held.origin);
        if taken.is_none() {
            tracing::info!(generation, nodes = changes, %origin, hops = held.hops, "list of execute nodes");
        } else {
            tracing::info!(generation, changes, whole, %origin, hops = held.hops, "list of execute nodes changed");
        }
        taken = Some(difference.version);
        core.take_list(&NodeList::made(generation, whole, entries)).await;
    }
}
