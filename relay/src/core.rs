//! Jobs, claims and outcomes, and the drive of the decision module. No wire is known here: a front hands
//! jobs in, and a [`Carrier`] takes claims to execute nodes and notices to their readers.
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use slatethread::{Action, Condition, Courier, DestId, EndpointId, Event, MsgId, Nanos, Request, Risk};
use slatethread::{ClassId, Effect, Endpoint, KindId, ListScope, Report, ZoneId};
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::{sleep, sleep_until};

use crate::config::{Lifecycle, NodeList, Rules};
use crate::journal::{Journal, Key, MayHaveRun, Open};

/// A message that a submitter hands in: what the core reads of it, and what passes through unread.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    pub id: String,
    pub class: String,
    /// Which destination.
    pub dest: u64,
    pub deadline: SystemTime,
    /// The submitter marked it as another try.
    pub retry: bool,
    /// A relay that had it has died.
    pub reconnect: bool,
    /// What passes through unchanged and only the front reads.
    pub fields: Vec<(String, Bytes)>,
    pub body: Bytes,
}

/// The answer to a submitter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// From now on the relay owes the job its end.
    Taken,
    /// Handing it in again is harmless, after that time if one is told.
    Refused {
        after: Option<Duration>,
    },
    Failed,
}

/// How one claim ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Delivered,
    /// Answered for good that it cannot be delivered, with the status that said so.
    Rejected(u16),
    /// The message is over; nothing more is owed for it.
    Over,
    /// Not sent: it never reached the node, or the node says that it did not count.
    NotSent,
    Full {
        wait: Option<Duration>,
    },
    Error,
    TimedOut,
    Reset,
    Unconnected,
    Cancelled,
}

impl Outcome {
    pub fn never_ran(self) -> bool {
        use Outcome::*;
        matches!(self, Over | NotSent | Full { .. } | Unconnected)
    }

    fn ends_job(self) -> bool {
        matches!(self, Outcome::Delivered | Outcome::Over | Outcome::Rejected(_))
    }

    fn for_module(self) -> slatethread::Outcome {
        use slatethread::Outcome as To;
        match self {
            // The node served the call; that nobody can deliver the message is no fault of the node's.
            Outcome::Delivered | Outcome::Rejected(_) => To::Ok,
            Outcome::Over | Outcome::NotSent => To::Moot,
            Outcome::Full { wait } => To::Full { wait: wait.map(nanos) },
            Outcome::Error => To::Error,
            Outcome::TimedOut => To::Timeout,
            Outcome::Reset => To::Reset,
            Outcome::Unconnected => To::ConnectFailed,
            Outcome::Cancelled => To::Cancelled,
        }
    }
}

/// The end of a job that was taken on and not delivered, as it is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    pub id: String,
    pub end: NoticeEnd,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NoticeEnd {
    /// Given up; with the status by which a node rejected it, if one did.
    Failed { status: Option<u16> },
    /// A requeue notice: handing the job in again is harmless, after that time if one is told.
    Returned { after: Option<Duration> },
}

/// An execute node.
#[derive(Debug)]
pub struct Node {
    pub id: EndpointId,
    pub name: String,
    pub address: SocketAddr,
    pub zone: ZoneId,
    pub dest: u64,
    kind: KindId,
    weight: Option<f64>,
    /// Neither draining nor gone.
    open: Cell<bool>,
}

/// The leave to send one claim, asked for right before its first byte.
pub struct Ticket {
    node: Rc<Node>,
    /// End of the wait told by its destination.
    wait: Rc<Cell<Instant>>,
    not_after: Option<Instant>,
    sent: Cell<bool>,
}

impl Ticket {
    /// Guards against claims that were decided on, waited for their connection, and would be sent to a
    /// node that drains by now, into a wait told by now, or past the memory of an earlier claim.
    pub fn may_begin(&self) -> bool {
        let now = Instant::now();
        self.node.open.get() && now >= self.wait.get() && self.not_after.is_none_or(|end| now < end)
    }

    /// To be called once the last byte is on its way: from here on the claim may run.
    pub fn mark_sent(&self) {
        self.sent.set(true);
    }

    pub fn is_sent(&self) -> bool {
        self.sent.get()
    }
}

/// A front's way out.
pub trait Carrier: 'static {
    /// Takes a claim to a node. Dropping the future must give the claim up at once.
    fn claim(
        &self,
        job: &Job,
        node: &Node,
        limit: Duration,
        ticket: &Rc<Ticket>,
    ) -> impl Future<Output = Outcome>;
    /// Tells how a job ended; done once it is certain to have been heard.
    fn notify(&self, notice: &Notice) -> impl Future<Output = Result<(), String>>;
    /// Closes idle connections to a node.
    fn close_idle(&self, node: &Node);
    /// The node is gone, or has another address.
    fn forget(&self, node: &Node);
}

/// What the module orders for one job.
enum Order {
    /// The round that took it in is over.
    Held,
    Claim {
        node: Rc<Node>,
        limit: Duration,
    },
    Cancel {
        attempt: u32,
    },
    Fail,
    Refuse {
        after: Option<Duration>,
    },
}

/// Orders that can be waiting for one job: held, a claim, its cancellation, an end.
const ORDERS: usize = 8;

struct State {
    courier: Courier,
    /// What has happened since the last round.
    inbox: Vec<Event>,
    timers: BinaryHeap<Reverse<(Instant, u64)>>,
    seats: HashMap<MsgId, mpsc::Sender<Order>>,
    next_msg: u32,
    nodes: HashMap<EndpointId, Rc<Node>>,
    by_name: HashMap<String, EndpointId>,
    next_node: u32,
    waits: HashMap<(u64, Option<EndpointId>), Rc<Cell<Instant>>>,
    /// Ids of jobs that are being taken or have no end yet.
    ids: HashSet<String>,
    claims_out: usize,
}

pub struct Core<C> {
    pub carrier: C,
    pub rules: Rules,
    state: RefCell<State>,
    journal: RefCell<Journal>,
    wake: Notify,
    follow: Notify,
    start: Instant,
    /// No further rounds: what is out comes home, the rest stays in the journal.
    winding_down: Cell<bool>,
}

/// The module's clock starts at an hour: to it, zero is long ago.
const CLOCK_START: Duration = Duration::from_secs(3600);
/// The told backoff where the module did not get to decide.
const DEFAULT_BACKOFF: Duration = Duration::from_secs(1);
/// Longest time between two tries to tell an end.
const NOTICE_PAUSE: Duration = Duration::from_secs(1);
/// How long an end is tried to be told; by then nobody waits for it.
const NOTICE_TRIES: Duration = Duration::from_secs(300);

/// Longest wait that is believed.
const LONGEST_WAIT: Duration = Duration::from_secs(24 * 3600);

/// A told wait, as it is kept to. Guards against figures past the end of the clock.
pub fn told_wait(wait: Duration) -> Duration {
    wait.min(LONGEST_WAIT)
}

/// A wait told in seconds, with or without decimals.
pub fn told_seconds(text: &str) -> Option<Duration> {
    let seconds: f64 = text.trim().parse().ok().filter(|s: &f64| *s > 0.0)?;
    Some(told_wait(Duration::try_from_secs_f64(seconds).unwrap_or(LONGEST_WAIT)))
}

fn nanos(span: Duration) -> Nanos {
    span.as_nanos().min(u128::from(u64::MAX)) as u64
}

impl<C: Carrier> Core<C> {
    pub fn new(carrier: C, rules: Rules, seed: u64, journal: Journal) -> Rc<Self> {
        let state = State {
            courier: Courier::new(rules.settings.clone(), seed),
            inbox: Vec::new(),
            timers: BinaryHeap::new(),
            seats: HashMap::new(),
            next_msg: 0,
            nodes: HashMap::new(),
            by_name: HashMap::new(),
            next_node: 0,
            waits: HashMap::new(),
            ids: HashSet::new(),
            claims_out: 0,
        };
        Rc::new(Core {
            carrier,
            rules,
            state: RefCell::new(state),
            journal: RefCell::new(journal),
            wake: Notify::new(),
            follow: Notify::new(),
            start: Instant::now(),
            winding_down: Cell::new(false),
        })
    }

    /// Takes a job from a submitter. The answer comes as soon as the module has decided and, if it took the
    /// job, the journal holds it.
    pub async fn admit(self: &Rc<Self>, job: Job) -> Answer {
        let full =
            self.rules.settings.max_held.is_some_and(|m| self.state.borrow().seats.len() >= m as usize);
        if full || self.winding_down.get() {
            return Answer::Refused { after: Some(DEFAULT_BACKOFF) };
        }
        if !self.state.borrow_mut().ids.insert(job.id.clone()) {
            // The same message once more, after a close that crossed it: it is in hand already.
            return Answer::Taken;
        }
        let (answer, answered) = oneshot::channel();
        actix_rt::spawn(self.clone().life(Origin::Submitter(job, answer)));
        answered.await.unwrap_or(Answer::Failed)
    }

    /// Whether a job has no end yet.
    pub fn is_open(&self, id: &str) -> bool {
        self.state.borrow().ids.contains(id)
    }

    /// Goes on with a job that outlived its process.
    pub fn resume(self: &Rc<Self>, open: Open) {
        self.state.borrow_mut().ids.insert(open.job.id.clone());
        actix_rt::spawn(self.clone().life(Origin::Journal(open)));
    }

    /// The whole life of a job: admitted, journaled, answered, claimed as the module orders, ended.
    async fn life(self: Rc<Self>, origin: Origin) {
        let (job, recovered, answer) = match origin {
            Origin::Submitter(job, answer) => (job, None, Some(answer)),
            Origin::Journal(open) => (open.job, Some((open.key, open.tries, open.risk, open.ending)), None),
        };
        if let Some((key, _, _, Some(notice))) = recovered {
            return self.finish(key, &job, Some(notice)).await;
        }
        let (key, tries, mut risk) = match recovered {
            Some((key, tries, risk, _)) => (Some(key), tries, risk),
            None => (None, 0, None),
        };
        let Some(class) = self.rules.class(&job.class) else {
            // Only a journal from before a change of the settings can hold such a job.
            tracing::warn!(id = job.id, class = job.class, "class is no longer known; the job fails");
            let notice = Notice { id: job.id.clone(), end: NoticeEnd::Failed { status: None } };
            return if let Some(key) = key {
                self.finish(key, &job, Some(notice)).await
            };
        };
        let mut seat = self.take_seat(&job, class, tries, risk.as_ref());
        let mut order = seat.next().await;
        let key = match (key, answer) {
            (Some(key), _) => key,
            (None, None) => return,
            (None, Some(answer)) => {
                let refusal = match order {
                    Order::Refuse { after } => Some(Answer::Refused { after }),
                    Order::Fail => Some(Answer::Failed),
                    _ => None,
                };
                let recorded = match refusal {
                    Some(refusal) => Err(refusal),
                    None => self.record(&job).ok_or(Answer::Refused { after: Some(DEFAULT_BACKOFF) }),
                };
                match recorded {
                    Ok(key) => {
                        // A submitter that is gone was not told: it hands the message in again.
                        if answer.send(Answer::Taken).is_err() {
                            seat.withdraw();
                            return self.finish(key, &job, None).await;
                        }
                        key
                    }
                    Err(refusal) => {
                        seat.withdraw();
                        self.state.borrow_mut().ids.remove(&job.id);
                        let _ = answer.send(refusal);
                        return;
                    }
                }
            }
        };
        let end = loop {
            match order {
                Order::Held | Order::Cancel { .. } => {}
                Order::Claim { node, limit } => {
                    match self.claim(key, &job, class, &mut risk, &mut seat, &node, limit).await {
                        Outcome::Delivered | Outcome::Over => break None,
                        Outcome::Rejected(status) => break Some(NoticeEnd::Failed { status: Some(status) }),
                        _ => {}
                    }
                }
                Order::Fail => break Some(NoticeEnd::Failed { status: None }),
                Order::Refuse { after } => break Some(NoticeEnd::Returned { after }),
            }
            order = seat.next().await;
        };
        drop(seat);
        self.finish(key, &job, end.map(|end| Notice { id: job.id.clone(), end })).await;
    }

    /// Carries out one claim and reports its outcome to the module.
    #[allow(clippy::too_many_arguments)]
    async fn claim(
        &self,
        key: Key,
        job: &Job,
        class: usize,
        risk: &mut Option<MayHaveRun>,
        seat: &mut Seat<'_, C>,
        node: &Rc<Node>,
        limit: Duration,
    ) -> Outcome {
        let sent = Instant::now();
        let attempt = seat.next_attempt;
        seat.next_attempt += 1;
        let this = MayHaveRun {
            sent: SystemTime::now(),
            node: node.name.clone(),
            zone: self.rules.names.zones.get(node.zone.0).cloned(),
        };
        let ticket = Rc::new(Ticket {
            node: node.clone(),
            wait: self.wait_of(node),
            not_after: risk.as_ref().and_then(|risk| self.memory_ends(class, risk)),
            sent: Cell::new(false),
        });
        let recorded = self.journal.borrow_mut().claim(key, this.clone());
        let outcome = if let Err(e) = recorded {
            tracing::error!(id = job.id, error = %e, "journal cannot record a claim; it is not sent");
            Outcome::NotSent
        } else {
            self.state.borrow_mut().claims_out += 1;
            let outcome = tokio::select! {
                biased;
                outcome = self.carrier.claim(job, node, limit, &ticket) => outcome,
                () = sleep(limit) => if ticket.is_sent() { Outcome::TimedOut } else { Outcome::Unconnected },
                () = seat.cancelled(attempt) => {
                    if ticket.is_sent() { Outcome::Cancelled } else { Outcome::NotSent }
                }
            };
            self.state.borrow_mut().claims_out -= 1;
            outcome
        };
        tracing::debug!(id = job.id, node = node.name, attempt, ?outcome, took = ?sent.elapsed(), "claim");
        if outcome.never_ran() {
            if let Err(e) = self.journal.borrow_mut().never_ran(key) {
                tracing::error!(id = job.id, error = %e, "journal cannot record that a claim never ran");
            }
        } else {
            risk.get_or_insert(this);
        }
        if let Outcome::Full { wait: Some(wait) } = outcome {
            let until = self.wait_of(node);
            until.set(until.get().max(Instant::now() + wait));
        }
        seat.report(Event::Closed {
            msg: seat.msg,
            attempt,
            endpoint: node.id,
            outcome: outcome.for_module(),
            latency: nanos(sent.elapsed()),
            no_more: outcome.ends_job(),
            report: Report::default(),
        });
        outcome
    }

    /// Tells the end of a job, if it has one to tell, and forgets it.
    async fn finish(&self, key: Key, job: &Job, notice: Option<Notice>) {
        if let Some(notice) = notice {
            if let Err(e) = self.journal.borrow_mut().ending(key, &notice) {
                tracing::error!(id = job.id, error = %e, "journal cannot record an end");
            }
            let since = Instant::now();
            let mut pause = Duration::from_millis(50);
            while let Err(e) = self.carrier.notify(&notice).await {
                if since.elapsed() > NOTICE_TRIES {
                    tracing::error!(id = job.id, error = e, "an end could not be told and is dropped");
                    break;
                }
                tracing::warn!(id = job.id, error = e, "an end could not be told; trying again");
                sleep(pause).await;
                pause = (pause * 2).min(NOTICE_PAUSE);
            }
        }
        if let Err(e) = self.journal.borrow_mut().end(key) {
            tracing::error!(id = job.id, error = %e, "journal cannot record that nothing more is owed");
        }
        self.state.borrow_mut().ids.remove(&job.id);
    }

    fn record(&self, job: &Job) -> Option<Key> {
        match self.journal.borrow_mut().job(job) {
            Ok(Some(key)) => Some(key),
            Ok(None) => {
                tracing::warn!(id = job.id, size = job.body.len(), "journal is full; the job is refused");
                None
            }
            Err(e) => {
                tracing::error!(id = job.id, error = %e, "journal cannot be written; the job is refused");
                None
            }
        }
    }

    /// Until when an earlier claim is surely remembered, where a repeat matters.
    fn memory_ends(&self, class: usize, risk: &MayHaveRun) -> Option<Instant> {
        let class = &self.rules.settings.classes[class];
        let ago = SystemTime::now().duration_since(risk.sent).unwrap_or_default();
        let memory = match class.effect {
            Effect::Safe => return None,
            Effect::Keyed => Duration::from_nanos(class.window.unwrap_or(0)),
            Effect::Unsafe => Duration::ZERO,
        };
        Some(Instant::now() + memory.saturating_sub(ago))
    }

    fn wait_of(&self, node: &Node) -> Rc<Cell<Instant>> {
        let apart = self.rules.settings.kinds.get(node.kind.0).and_then(|k| k.apart).unwrap_or(false);
        let unit = (node.dest, apart.then_some(node.id));
        let mut state = self.state.borrow_mut();
        state.waits.entry(unit).or_insert_with(|| Rc::new(Cell::new(self.start))).clone()
    }

    fn module_time(&self, at: Instant) -> Nanos {
        nanos(CLOCK_START + at.duration_since(self.start))
    }

    fn take_seat(&self, job: &Job, class: usize, tries: u32, risk: Option<&MayHaveRun>) -> Seat<'_, C> {
        let now = SystemTime::now();
        let mut state = self.state.borrow_mut();
        let risk = risk.map(|risk| {
            let ago = now.duration_since(risk.sent).unwrap_or_default();
            let zone = risk.zone.as_ref().and_then(|z| self.rules.names.zones.iter().position(|n| n == z));
            Risk {
                sent: self.module_time(Instant::now()).saturating_sub(nanos(ago)),
                // One that is no longer listed has no number; none is ever given twice.
                endpoint: state.by_name.get(&risk.node).copied().unwrap_or(EndpointId(u32::MAX)),
                zone: zone.map(ZoneId),
            }
        });
        let msg = loop {
            state.next_msg = state.next_msg.wrapping_add(1);
            let msg = MsgId(state.next_msg);
            if !state.seats.contains_key(&msg) {
                break msg;
            }
        };
        let (order, orders) = mpsc::channel(ORDERS);
        state.seats.insert(msg, order);
        state.inbox.push(Event::Request(Request {
            msg,
            dest: DestId(job.dest),
            class: ClassId(class),
            tenant: None,
            key: None,
            patience: nanos(job.deadline.duration_since(now).unwrap_or_default()),
            retry: job.retry,
            reconnect: job.reconnect,
            tries,
            risk,
        }));
        self.wake.notify_one();
        Seat { core: self, msg, orders, next_attempt: tries }
    }

    /// Takes in news of the list of execute nodes.
    pub fn take_list(&self, list: &NodeList, stale: bool) {
        let mut state = self.state.borrow_mut();
        let mut entries = Vec::with_capacity(list.instances.len());
        let mut listed = HashSet::new();
        for entry in &list.instances {
            let Ok(address) = entry.host_port.parse::<SocketAddr>() else {
                tracing::warn!(node = entry.instance_id, address = entry.host_port, "no address; left out");
                continue;
            };
            let id = match state.by_name.get(&entry.instance_id) {
                Some(id) => *id,
                None if entry.lifecycle == Lifecycle::Deleted => continue,
                None => {
                    state.next_node += 1;
                    let id = EndpointId(state.next_node);
                    state.by_name.insert(entry.instance_id.clone(), id);
                    id
                }
            };
            listed.insert(id);
            let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
            // A zone or kind that the settings do not name is none of theirs.
            let zone = place(&self.rules.names.zones, &entry.zone).unwrap_or(self.rules.names.zones.len());
            let kind = place(&self.rules.names.kinds, &entry.machine_type);
            let node = Node {
                id,
                name: entry.instance_id.clone(),
                address,
                zone: ZoneId(zone),
                dest: entry.cell,
                kind: KindId(kind.unwrap_or(self.rules.names.kinds.len())),
                weight: entry.weight,
                open: Cell::new(entry.lifecycle == Lifecycle::Serving),
            };
            let condition = match entry.lifecycle {
                Lifecycle::Serving => Condition::Active,
                Lifecycle::Draining | Lifecycle::Other => Condition::Leaving,
                Lifecycle::Deleted => Condition::Left,
            };
            entries.push(endpoint(&node, condition));
            self.put_node(&mut state, node, condition);
        }
        let scope = match (list.reset, stale) {
            (true, false) => ListScope::Whole,
            (true, true) => ListScope::Stale,
            (false, _) => ListScope::Patch,
        };
        if list.reset {
            let gone: Vec<_> = state.nodes.values().filter(|n| !listed.contains(&n.id)).cloned().collect();
            gone.iter().for_each(|node| self.drop_node(&mut state, node));
        }
        state.inbox.push(Event::List { scope, entries });
        self.wake.notify_one();
    }

    fn put_node(&self, state: &mut State, node: Node, condition: Condition) {
        if condition == Condition::Left {
            if let Some(node) = state.nodes.get(&node.id).cloned() {
                self.drop_node(state, &node);
            }
            return;
        }
        match state.nodes.get(&node.id) {
            Some(old) if old.address == node.address && old.dest == node.dest => {
                old.open.set(node.open.get())
            }
            old => {
                if let Some(old) = old {
                    old.open.set(false);
                    self.carrier.forget(old);
                }
                state.nodes.insert(node.id, Rc::new(node));
            }
        }
    }

    fn drop_node(&self, state: &mut State, node: &Rc<Node>) {
        node.open.set(false);
        self.carrier.forget(node);
        state.nodes.remove(&node.id);
        state.by_name.remove(&node.name);
        state.waits.remove(&(node.dest, Some(node.id)));
    }

    /// The list could not be had.
    pub fn list_broken(&self) {
        self.state.borrow_mut().inbox.push(Event::List { scope: ListScope::Broken, entries: Vec::new() });
        self.wake.notify_one();
    }

    /// Done when the module wants the list to be followed.
    pub async fn asked_to_follow(&self) {
        self.follow.notified().await;
    }

    /// Lets what is out come home, for so long at most; what is still open then stays in the journal.
    pub async fn wind_down(&self, most: Duration) {
        self.winding_down.set(true);
        self.wake.notify_one();
        let end = Instant::now() + most;
        while self.state.borrow().claims_out > 0 && Instant::now() < end {
            sleep(Duration::from_millis(10)).await;
        }
        let state = self.state.borrow();
        tracing::info!(
            claims = state.claims_out,
            jobs = state.ids.len(),
            "wound down; open jobs stay journaled"
        );
    }

    /// Plays rounds, no closer than the settings' step, until the relay winds down.
    pub async fn rounds(&self) {
        let step = self.rules.step();
        let mut last = Instant::now();
        while !self.winding_down.get() {
            let timer = self.state.borrow().timers.peek().map(|t| t.0.0);
            let due = timer.unwrap_or_else(|| Instant::now() + Duration::from_secs(3600));
            tokio::select! {
                () = self.wake.notified() => {}
                () = sleep_until(due.into()) => {}
            }
            sleep_until((last + step).into()).await;
            // Guards against acting on old news: what has arrived on sockets is read before the round. A
            // yielding task goes on after the runtime has looked at its sockets and run what they woke.
            for _ in 0..2 {
                tokio::task::yield_now().await;
            }
            last = Instant::now();
            self.round(last);
        }
    }

    fn round(&self, now: Instant) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let mut events = std::mem::take(&mut state.inbox);
        while let Some(Reverse((_, nonce))) = state.timers.peek().copied().filter(|t| t.0.0 <= now) {
            state.timers.pop();
            events.push(Event::Timer { nonce });
        }
        let mut actions = Vec::new();
        state.courier.on_round(self.module_time(now), &events, &mut actions);
        for action in actions {
            self.act(state, now, action);
        }
        for event in &events {
            if let Event::Request(request) = event {
                order(state, request.msg, Order::Held);
            }
        }
    }

    fn act(&self, state: &mut State, now: Instant, action: Action) {
        match action {
            Action::Send { msg, endpoint, limit } => {
                let Some(node) = state.nodes.get(&endpoint).cloned() else {
                    tracing::error!(endpoint = endpoint.0, "the module named a node that is not listed");
                    return;
                };
                let limit = Duration::from_nanos(limit);
                order(state, msg, Order::Claim { node, limit });
            }
            Action::Refuse { msg, backoff } => {
                order(state, msg, Order::Refuse { after: backoff.map(Duration::from_nanos) });
            }
            Action::Fail { msg } => order(state, msg, Order::Fail),
            Action::Cancel { msg, attempt } => order(state, msg, Order::Cancel { attempt }),
            Action::SetTimer { nonce, after } => {
                state.timers.push(Reverse((now + Duration::from_nanos(after), nonce)));
            }
            Action::Close { endpoint } => {
                if let Some(node) = state.nodes.get(&endpoint) {
                    self.carrier.close_idle(node);
                }
            }
            Action::Log { line } => tracing::info!("module: {line}"),
            Action::Follow { want: true } | Action::Reload => self.follow.notify_one(),
            Action::Follow { want: false } | Action::Probe { .. } | Action::Tell { .. } => {
                tracing::error!(?action, "the module asked for what no front offers");
            }
        }
    }
}

enum Origin {
    Submitter(Job, oneshot::Sender<Answer>),
    Journal(Open),
}

/// A job's place at the module. Leaving it frees the place.
struct Seat<'a, C> {
    core: &'a Core<C>,
    msg: MsgId,
    orders: mpsc::Receiver<Order>,
    /// Number of the next claim, as the module counts them.
    next_attempt: u32,
}

impl<C> Seat<'_, C> {
    async fn next(&mut self) -> Order {
        // The sender stays in the core for as long as the seat is taken.
        self.orders.recv().await.unwrap_or(Order::Fail)
    }

    /// Done when the module calls the claim off.
    async fn cancelled(&mut self, number: u32) {
        loop {
            match self.next().await {
                Order::Cancel { attempt } if attempt == number => return,
                Order::Held | Order::Cancel { .. } => {}
                _ => tracing::error!(msg = self.msg.0, "the module gave an order while a claim was out"),
            }
        }
    }

    fn report(&self, event: Event) {
        self.core.state.borrow_mut().inbox.push(event);
        self.core.wake.notify_one();
    }

    /// Tells the module that nobody wants the job any more.
    fn withdraw(&self) {
        self.report(Event::Expired { msg: self.msg });
    }
}

impl<C> Drop for Seat<'_, C> {
    fn drop(&mut self) {
        self.core.state.borrow_mut().seats.remove(&self.msg);
    }
}

fn order(state: &State, msg: MsgId, order: Order) {
    if let Some(seat) = state.seats.get(&msg)
        && seat.try_send(order).is_err()
    {
        tracing::error!(msg = msg.0, "a job does not take its orders");
    }
}

fn endpoint(node: &Node, condition: Condition) -> Endpoint {
    Endpoint {
        id: node.id,
        dest: DestId(node.dest),
        zone: node.zone,
        kind: node.kind,
        condition,
        weight: node.weight,
    }
}
