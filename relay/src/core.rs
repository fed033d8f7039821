//! Jobs, claims and outcomes, and the drive of the decision module. No wire is known here: a front hands
//! jobs in, and a [`Carrier`] takes claims to execute nodes and notices to their readers.
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use slatethread::{Action, Condition, Courier, DestId, EndpointId, Event, MsgId, Nanos, Request, Risk};
use slatethread::{ClassId, Effect, Endpoint, Group, KindId, ListScope, Report, ZoneId};
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
use crate::hook::Hooks;
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
    /// What a plug-in calls it, for the log.
    pub label: Option<String>,
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
    hooks: Option<Hooks>,
    state: RefCell<State>,
    journal: RefCell<Journal>,
    wake: Notify,
    follow: Notify,
    start: Instant,
    /// Told when the last round has been played.
    closing: Notify,
    tally: Cell<Tally>,
    /// No further rounds: what is out comes home, the rest stays in the journal.
    winding_down: Cell<bool>,
}

/// The module's clock starts at an hour: to it, zero is long ago.
const CLOCK_START: Duration = Duration::from_secs(3600);
/// The told backoff where the module did not get to decide.
const DEFAULT_BACKOFF: Duration = Duration::from_secs(1);
/// Shortest and longest time between two tries to tell an end.
const NOTICE_FIRST_PAUSE: Duration = Duration::from_millis(50);
const NOTICE_PAUSE: Duration = Duration::from_secs(2);
/// How often the log has a line on what was done.
const TALLY_PAUSE: Duration = Duration::from_secs(60);
/// When nothing else is due.
const FAR_OFF: Duration = Duration::from_secs(3600);

/// Longest name of a node, and of a zone together with it, that fits into a journal record.
const LONGEST_NODE_NAME: usize = 200;
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
    pub fn new(carrier: C, rules: Rules, hooks: Option<Hooks>, seed: u64, journal: Journal) -> Rc<Self> {
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
            hooks,
            state: RefCell::new(state),
            journal: RefCell::new(journal),
            wake: Notify::new(),
            follow: Notify::new(),
            start: Instant::now(),
            closing: Notify::new(),
            tally: Cell::default(),
            winding_down: Cell::new(false),
        })
    }

    /// Takes a job from a submitter. The answer comes as soon as the module has decided and, if it took the
    /// job, the journal holds it.
    pub async fn admit(self: &Rc<Self>, job: Job) -> Answer {
        let full =
            self.rules.settings.max_held.is_some_and(|m| self.state.borrow().seats.len() >= m as usize);
        if full || self.winding_down.get() {
            self.count(|tally| tally.turned_away += 1);
            return Answer::Refused { after: Some(DEFAULT_BACKOFF) };
        }
        if !self.state.borrow_mut().ids.insert(job.id.clone()) {
            // The same message once more, after a close that crossed it: it is in hand already.
            return Answer::Taken;
        }
        let (answer, answered) = oneshot::channel();
        actix_rt::spawn(self.clone().life(job, Course::default(), Some(answer)));
        answered.await.unwrap_or(Answer::Failed)
    }

    /// Whether a job has no end yet.
    pub fn is_open(&self, id: &str) -> bool {
        self.state.borrow().ids.contains(id)
    }

    /// Goes on with a job that outlived its process.
    pub fn resume(self: &Rc<Self>, open: Open) {
        self.state.borrow_mut().ids.insert(open.job.id.clone());
        let Open { key, job, tries, risk, ending } = open;
        let course = Course { key, tries, risk, ending, ..Course::default() };
        actix_rt::spawn(self.clone().life(job, course, None));
    }

    /// The whole life of a job: admitted, journaled, answered, claimed as the module orders, ended.
    async fn life(self: Rc<Self>, mut job: Job, mut course: Course, answer: Option<oneshot::Sender<Answer>>) {
        // Admit.
        if let Some(notice) = course.ending.take() {
            return self.finish(&job, &course, Some(notice)).await;
        }
        let Some(class) = self.rules.class(&job.class) else {
            // Only a journal from before a change of the settings can hold such a job.
            tracing::warn!(id = job.id, class = job.class, "class is no longer known; the job fails");
            return self.finish(&job, &course, Some(job.failed(None))).await;
        };
        course.class = class;
        if let (Some(hooks), Some(_)) = (&self.hooks, &answer) {
            let ruling = hooks.admit(&job, job.left());
            if ruling.refuse {
                return self.turn_away(&job, answer, Answer::Refused { after: ruling.after });
            }
            job.deadline =
                ruling.left.map_or(job.deadline, |left| job.deadline.min(SystemTime::now() + left));
            job.label = ruling.label;
        }
        let mut seat = self.take_seat(&job, &course);
        let mut order = tokio::select! {
            order = seat.next() => order,
            // No round will decide on it any more.
            () = self.closed(), if answer.is_some() => Order::Refuse { after: Some(DEFAULT_BACKOFF) },
        };

        // Journal and answer.
        if let Some(answer) = answer {
            let taken_on = match order {
                Order::Refuse { after } => Err(Answer::Refused { after }),
                Order::Fail => Err(Answer::Failed),
                _ => self.record(&job).ok_or(Answer::Refused { after: Some(DEFAULT_BACKOFF) }),
            };
            match taken_on {
                Ok(key) => {
                    course.key = key;
                    self.count(|tally| tally.taken += 1);
                }
                Err(refusal) => {
                    seat.leave(order);
                    return self.turn_away(&job, Some(answer), refusal);
                }
            }
            if answer.send(Answer::Taken).is_err() {
                // A submitter that is gone was not told: it hands the message in again.
                seat.leave(order);
                return self.finish(&job, &course, None).await;
            }
        }

        // Claim as the module orders.
        let end = loop {
            match order {
                Order::Held | Order::Cancel { .. } => {}
                Order::Fail => break Some(job.failed(None)),
                Order::Refuse { after } => break Some(job.returned(after)),
                Order::Claim { node, limit } => {
                    let outcome = self.claim(&job, &mut course, &mut seat, &node, limit).await;
                    match outcome {
                        Outcome::Delivered | Outcome::Over => break None,
                        Outcome::Rejected(status) => break Some(job.failed(Some(status))),
                        _ => {}
                    }
                    if let Some(hooks) = &self.hooks {
                        let ruling = hooks.outcome(&job, job.left(), outcome, seat.next_attempt, &node.name);
                        job.label = ruling.label.or(job.label);
                        let cut = if ruling.refuse { Some(Duration::ZERO) } else { ruling.left };
                        let cut = cut.map(|left| Instant::now() + left);
                        course.cut = course.cut.into_iter().chain(cut).min();
                        course.cut_after = ruling.after.or(course.cut_after);
                    }
                }
            }
            // Guards against a claim between a plug-in's word and the end: the cut is looked at first.
            let cut = course.cut.unwrap_or_else(|| Instant::now() + FAR_OFF);
            if cut <= Instant::now() {
                seat.leave(Order::Held);
                break Some(match self.may_return(&job, &course) {
                    true => job.returned(course.cut_after.or(Some(DEFAULT_BACKOFF))),
                    false => job.failed(None),
                });
            }
            order = tokio::select! {
                biased;
                () = sleep_until(cut.into()) => Order::Held,
                order = seat.next() => order,
            };
        };

        // End.
        drop(seat);
        self.finish(&job, &course, end).await;
    }

    /// Carries out one claim and reports its outcome to the module.
    async fn claim(
        &self,
        job: &Job,
        course: &mut Course,
        seat: &mut Seat<'_, C>,
        node: &Rc<Node>,
        limit: Duration,
    ) -> Outcome {
        let sent = Instant::now();
        let attempt = seat.next_attempt;
        seat.next_attempt += 1;
        let limit = course.cut.map_or(limit, |cut| limit.min(cut.saturating_duration_since(sent)));
        let this = MayHaveRun {
            sent: SystemTime::now(),
            node: node.name.clone(),
            zone: self.rules.names.zones.get(node.zone.0).cloned(),
        };
        let ticket = Rc::new(Ticket {
            node: node.clone(),
            wait: self.wait_of(node),
            not_after: course.risk.as_ref().and_then(|risk| self.memory_ends(course.class, risk)),
            sent: Cell::new(false),
        });
        let recorded = self.journal.borrow_mut().claim(course.key, this.clone());
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
        let label = job.label.as_deref().unwrap_or("");
        tracing::debug!(id = job.id, node = node.name, attempt, ?outcome, took = ?sent.elapsed(), label, "claim");
        if outcome.never_ran() {
            if let Err(e) = self.journal.borrow_mut().never_ran(course.key) {
                tracing::error!(id = job.id, error = %e, "journal cannot record that a claim never ran");
            }
        } else {
            course.risk.get_or_insert(this);
        }
        if let Outcome::Full { wait: Some(wait) } = outcome {
            let until = self.wait_of(node);
            until.set(until.get().max(Instant::now() + wait));
        }
        self.count(|tally| {
            tally.claims += 1;
            tally.delivered += u32::from(outcome == Outcome::Delivered);
        });
        seat.report_closed(attempt, node, outcome, sent.elapsed());
        outcome
    }

    /// Tells the end of a job, if it has one to tell, and forgets it.
    async fn finish(&self, job: &Job, course: &Course, notice: Option<Notice>) {
        if let Some(notice) = notice {
            if let Err(e) = self.journal.borrow_mut().ending(course.key, &notice) {
                tracing::error!(id = job.id, error = %e, "journal cannot record an end");
            }
            self.count(|tally| match notice.end {
                NoticeEnd::Failed { .. } => tally.failed += 1,
                NoticeEnd::Returned { .. } => tally.returned += 1,
            });
            let label = job.label.as_deref().unwrap_or("");
            tracing::debug!(id = job.id, end = ?notice.end, label, "ended undelivered");
            let mut pause = NOTICE_FIRST_PAUSE;
            while let Err(e) = self.carrier.notify(&notice).await {
                // Its room in the journal is kept: should nobody listen for long, new jobs are refused.
                if pause == NOTICE_FIRST_PAUSE {
                    tracing::warn!(id = job.id, error = e, "an end could not be told; trying on");
                }
                sleep(pause).await;
                pause = (pause * 2).min(NOTICE_PAUSE);
            }
        }
        if let Err(e) = self.journal.borrow_mut().end(course.key) {
            tracing::error!(id = job.id, error = %e, "journal cannot record that nothing more is owed");
        }
        self.state.borrow_mut().ids.remove(&job.id);
    }

    fn count(&self, change: impl FnOnce(&mut Tally)) {
        let mut tally = self.tally.get();
        change(&mut tally);
        self.tally.set(tally);
    }

    /// Tells what has become of jobs and claims, every so often if there was anything.
    pub async fn tell_tally(&self, front: &'static str) {
        loop {
            sleep(TALLY_PAUSE).await;
            let tally = self.tally.take();
            if tally != Tally::default() {
                let Tally { taken, turned_away, claims, delivered, returned, failed } = tally;
                let open = self.state.borrow().ids.len();
                tracing::info!(
                    front,
                    taken,
                    turned_away,
                    claims,
                    delivered,
                    returned,
                    failed,
                    open,
                    "last minute"
                );
            }
        }
    }

    /// Gives a new job its answer instead of taking it on.
    fn turn_away(&self, job: &Job, answer: Option<oneshot::Sender<Answer>>, refusal: Answer) {
        self.count(|tally| tally.turned_away += 1);
        self.state.borrow_mut().ids.remove(&job.id);
        if let Some(answer) = answer {
            // A submitter that is gone needs none.
            let _ = answer.send(refusal);
        }
    }

    /// Whether handing the job in again is harmless, as the rules have it.
    fn may_return(&self, job: &Job, course: &Course) -> bool {
        let class = &self.rules.settings.classes[course.class];
        let repeatable = match class.effect {
            Effect::Safe => true,
            Effect::Keyed => course.risk.is_none() || class.group == Group::All,
            Effect::Unsafe => course.risk.is_none(),
        };
        repeatable && !job.left().is_zero()
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
        let ago = risk.ago(SystemTime::now());
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

    fn take_seat(&self, job: &Job, course: &Course) -> Seat<'_, C> {
        let now = SystemTime::now();
        let mut state = self.state.borrow_mut();
        let risk = course.risk.as_ref().map(|risk| {
            let ago = risk.ago(now);
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
            class: ClassId(course.class),
            tenant: None,
            key: None,
            patience: nanos(job.deadline.duration_since(now).unwrap_or_default()),
            retry: job.retry,
            reconnect: job.reconnect,
            tries: course.tries,
            risk,
        }));
        self.wake.notify_one();
        Seat { core: self, msg, orders, next_attempt: course.tries, kept: None }
    }

    /// Takes in news of the list of execute nodes.
    pub fn take_list(&self, list: &NodeList, stale: bool) {
        let mut state = self.state.borrow_mut();
        let mut entries = Vec::with_capacity(list.instances.len());
        let mut listed = HashSet::new();
        for entry in &list.instances {
            if entry.instance_id.len() > LONGEST_NODE_NAME {
                // Journal records must stay within the room that is kept for them.
                tracing::warn!(address = entry.host_port, "a node's name is too long; left out");
                continue;
            }
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
        self.closing.notify_waiters();
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

    /// Done when no more rounds are played.
    async fn closed(&self) {
        while !self.winding_down.get() {
            self.closing.notified().await;
        }
    }

    /// Plays rounds, no closer than the settings' step, until the relay winds down.
    pub async fn rounds(&self) {
        let step = self.rules.step();
        let mut last = Instant::now();
        while !self.winding_down.get() {
            let timer = self.state.borrow().timers.peek().map(|t| t.0.0);
            let due = timer.unwrap_or_else(|| Instant::now() + FAR_OFF);
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
            if !self.winding_down.get() {
                self.round(last);
            }
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
            Action::Log { line } => tracing::info!("module: {}", named(state, &line)),
            Action::Follow { want: true } | Action::Reload => self.follow.notify_one(),
            Action::Follow { want: false } | Action::Probe { .. } | Action::Tell { .. } => {
                tracing::error!(?action, "the module asked for what no front offers");
            }
        }
    }
}

/// What has become of jobs and claims since it was last told.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Tally {
    taken: u32,
    turned_away: u32,
    claims: u32,
    delivered: u32,
    returned: u32,
    failed: u32,
}

/// What is known of a job's course.
#[derive(Default)]
struct Course {
    key: Key,
    class: usize,
    /// Claims made by an earlier process.
    tries: u32,
    /// The first claim that may have run.
    risk: Option<MayHaveRun>,
    /// Its end was decided by an earlier process.
    ending: Option<Notice>,
    /// A plug-in lets it live no longer, and what it tells then.
    cut: Option<Instant>,
    cut_after: Option<Duration>,
}

impl Job {
    fn left(&self) -> Duration {
        self.deadline.duration_since(SystemTime::now()).unwrap_or_default()
    }

    fn failed(&self, status: Option<u16>) -> Notice {
        Notice { id: self.id.clone(), end: NoticeEnd::Failed { status } }
    }

    fn returned(&self, after: Option<Duration>) -> Notice {
        Notice { id: self.id.clone(), end: NoticeEnd::Returned { after } }
    }
}

/// A job's place at the module. Leaving it frees the place.
struct Seat<'a, C> {
    core: &'a Core<C>,
    msg: MsgId,
    orders: mpsc::Receiver<Order>,
    /// Number of the next claim, as the module counts them.
    next_attempt: u32,
    /// An order that came while a claim was out.
    kept: Option<Order>,
}

impl<C> Seat<'_, C> {
    async fn next(&mut self) -> Order {
        if let Some(order) = self.kept.take() {
            return order;
        }
        // The sender stays in the core for as long as the seat is taken.
        self.orders.recv().await.unwrap_or(Order::Fail)
    }

    /// Done when the module calls the claim off.
    async fn cancelled(&mut self, number: u32) {
        loop {
            match self.orders.recv().await.unwrap_or(Order::Fail) {
                Order::Cancel { attempt } if attempt == number => return,
                Order::Held | Order::Cancel { .. } => {}
                // Not to be expected while a claim is out, and not to be lost either.
                order => self.kept = Some(order),
            }
        }
    }

    fn report(&self, event: Event) {
        self.core.state.borrow_mut().inbox.push(event);
        self.core.wake.notify_one();
    }

    fn report_closed(&self, attempt: u32, node: &Node, outcome: Outcome, took: Duration) {
        self.report(Event::Closed {
            msg: self.msg,
            attempt,
            endpoint: node.id,
            outcome: outcome.for_module(),
            latency: nanos(took),
            no_more: outcome.ends_job(),
            report: Report::default(),
        });
    }

    /// Tells the module that nobody wants the job any more. Guards against claims that it has ordered and that
    /// are not carried out: without an outcome they would hold their slots for ever.
    fn leave(&mut self, order: Order) {
        let mut order = Some(order);
        while let Some(this) = order.or_else(|| self.kept.take()) {
            if let Order::Claim { node, .. } = this {
                self.report_closed(self.next_attempt, &node, Outcome::NotSent, Duration::ZERO);
                self.next_attempt += 1;
            }
            order = self.orders.try_recv().ok();
        }
        self.report(Event::Expired { msg: self.msg });
    }
}

impl<C> Drop for Seat<'_, C> {
    fn drop(&mut self) {
        self.core.state.borrow_mut().seats.remove(&self.msg);
    }
}

/// A line of the module's with the name of its execute node in place of the number.
fn named(state: &State, line: &str) -> String {
    let rest = line.strip_prefix("endpoint ").and_then(|rest| rest.split_once(' '));
    let node = rest.and_then(|(id, _)| state.nodes.get(&EndpointId(id.parse().ok()?)));
    match (node, rest) {
        (Some(node), Some((_, what))) => format!("execute node {} {what}", node.name),
        _ => line.to_owned(),
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
