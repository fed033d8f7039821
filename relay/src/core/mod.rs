//! Jobs, claims and outcomes, and the drive of the decision module. No wire is known here: a front hands
//! jobs in, and a [`Carrier`] takes claims to execute nodes and notices to their readers.
mod backlog;
mod bundle;
mod decision;
mod ends;
mod life;
mod list_confirmation;
mod nodes;
mod rounds;
mod succession;

use slatethread::{Dispatcher, EndpointId, Event, MsgId, Nanos};
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

pub use bundle::Part;
pub use list_confirmation::{Answered, ListClock};
use nodes::Nodes;
#[cfg(test)]
pub(crate) use nodes::tests;
pub use nodes::{Node, NotOut, Ticket};
pub use succession::Successor;

use crate::backlog::Backlog;
use crate::config::Rules;
use crate::disabled::Disabled;
use crate::figures::{Census, Ended, Figures};
use crate::hook::Hooks;
use crate::job::{Answer, Job, Outcome, nanos};
use crate::journal::{Health, Journal, Key, Open, SettledEnd};
use decision::Decision;
use life::Course;
use rounds::Order;

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
    /// Takes several claims to a node in one call; gives their outcomes in the same order. Dropping the future must
    /// give all of them up at once.
    fn claim_together(
        &self,
        parts: &[Part],
        _node: &Node,
        _limit: Duration,
    ) -> impl Future<Output = Vec<Outcome>> {
        // A front whose nodes take one message in a call is not asked.
        std::future::ready(vec![Outcome::NotSent; parts.len()])
    }
    /// Tells how a job ended; done once it is certain to have been heard.
    fn notify(&self, end: &SettledEnd) -> impl Future<Output = Result<(), String>>;
    /// Under what a job that waits is replaced by a later one under the same, if by any.
    fn replaces(&self, _job: &Job) -> Option<String> {
        None
    }
    /// Closes idle connections to a node.
    fn close_idle(&self, node: &Node);
    /// The node is gone, or has another address.
    fn forget(&self, node: &Node);
}

struct State {
    courier: Dispatcher,
    /// What has happened since the last round.
    inbox: Vec<Event>,
    timers: BinaryHeap<Reverse<(Instant, u64)>>,
    seats: HashMap<MsgId, mpsc::Sender<Order>>,
    next_msg: u32,
    nodes: Nodes,
    /// Ends of told waits; looked through when there are twice as many as were left.
    waits: HashMap<(u64, Option<EndpointId>), Rc<Cell<Instant>>>,
    waits_left: usize,
    /// Ids of jobs that have no end yet, and whether they were taken on or are still being decided on.
    ids: HashMap<String, bool>,
    recent: Recent,
    /// Open jobs that a later one may replace.
    replaceable: HashMap<String, MsgId>,
    /// Jobs whose claims are out.
    out: BTreeMap<Key, Rc<Ticket>>,
}

/// Answers given a moment ago, by id.
#[derive(Default)]
struct Recent {
    answers: HashMap<String, Answer>,
    order: VecDeque<(Instant, String)>,
}

/// So long and so many answers are kept: a repeat right after an answer comes within this time.
const RECENT: Duration = Duration::from_secs(3);
const MOST_RECENT: usize = 4096;

impl Recent {
    fn add(&mut self, id: &str, answer: Answer) {
        self.answers.insert(id.to_owned(), answer);
        self.order.push_back((Instant::now(), id.to_owned()));
        self.drop_old();
    }

    fn answer(&mut self, id: &str) -> Option<Answer> {
        self.drop_old();
        self.answers.get(id).copied()
    }

    /// Those that are still kept, the oldest first.
    fn all(&mut self) -> Vec<(String, Answer)> {
        self.drop_old();
        let of = |(_, id): &(Instant, String)| Some((id.clone(), *self.answers.get(id)?));
        self.order.iter().filter_map(of).collect()
    }

    fn drop_old(&mut self) {
        while self.order.len() > MOST_RECENT
            || self.order.front().is_some_and(|(at, _)| at.elapsed() > RECENT)
        {
            let old = self.order.pop_front();
            old.and_then(|(_, id)| self.answers.remove(&id));
        }
    }
}

pub struct Core<C> {
    pub carrier: C,
    rules: RefCell<Rc<Rules>>,
    hooks: Option<Hooks>,
    state: RefCell<State>,
    journal: Rc<RefCell<Journal>>,
    journal_health: Rc<Health>,
    disabled: RefCell<Disabled>,
    /// Among how many relays limits are divided, where that follows who is there.
    divided: Cell<Option<u32>>,
    /// Requests that wait on disk; none where it is off, and once another process has it.
    backlog: RefCell<Option<Rc<Backlog>>>,
    figures: Rc<Figures>,
    /// Held while a list is taken in: lists are taken in in their order.
    listing: tokio::sync::Mutex<()>,
    wake: Notify,
    follow: Notify,
    start: Instant,
    /// Told when the last round has been played.
    closing: Notify,
    /// Told with every answer.
    decisions: Notify,
    tally: Cell<Tally>,
    /// No further rounds: what is out comes home, the rest stays in the journal.
    winding_down: Cell<bool>,
    /// For how long the list may be acted on.
    list_clock: Rc<ListClock>,
    /// The version of the list that was last taken in.
    generation: Cell<Option<u64>>,
    /// The jobs are another process's.
    handed: CancellationToken,
    /// What is out is called off.
    ended: CancellationToken,
    successor: RefCell<Option<Rc<dyn Successor>>>,
    /// Slots that are taken by claims which another process has out.
    borrowed: Cell<usize>,
}

/// The module's clock starts at an hour: to it, zero is long ago.
const CLOCK_START: Duration = Duration::from_secs(3600);
/// The told backoff where the module did not get to decide.
const DEFAULT_BACKOFF: Duration = Duration::from_secs(1);
/// How often the log has a line on what was done.
const TALLY_PAUSE: Duration = Duration::from_secs(60);
/// When nothing else is due.
const FAR_OFF: Duration = Duration::from_secs(3600);

impl<C: Carrier> Core<C> {
    pub fn new(
        carrier: C,
        rules: Rules,
        hooks: Option<Hooks>,
        seed: u64,
        journal: Journal,
        disabled: Disabled,
        figures: Rc<Figures>,
    ) -> Rc<Self> {
        let state = State {
            courier: Dispatcher::new(rules.settings.clone(), seed),
            inbox: Vec::new(),
            timers: BinaryHeap::new(),
            seats: HashMap::new(),
            next_msg: 0,
            nodes: Nodes::default(),
            waits: HashMap::new(),
            waits_left: 0,
            ids: HashMap::new(),
            recent: Recent::default(),
            replaceable: HashMap::new(),
            out: BTreeMap::new(),
        };
        let start = Instant::now();
        Rc::new(Core {
            carrier,
            rules: RefCell::new(Rc::new(rules)),
            hooks,
            state: RefCell::new(state),
            journal_health: journal.health(),
            journal: Rc::new(RefCell::new(journal)),
            disabled: RefCell::new(disabled),
            divided: Cell::default(),
            backlog: RefCell::default(),
            figures,
            listing: tokio::sync::Mutex::new(()),
            wake: Notify::new(),
            follow: Notify::new(),
            start,
            list_clock: Rc::new(ListClock::new(start)),
            closing: Notify::new(),
            decisions: Notify::new(),
            tally: Cell::default(),
            winding_down: Cell::new(false),
            generation: Cell::new(None),
            handed: CancellationToken::new(),
            ended: CancellationToken::new(),
            successor: RefCell::new(None),
            borrowed: Cell::new(0),
        })
    }

    /// The version of the list that was last taken in.
    pub fn generation(&self) -> Option<u64> {
        self.generation.get()
    }

    pub fn rules(&self) -> Rc<Rules> {
        self.rules.borrow().clone()
    }

    /// Takes up new rules without a job's notice; `disk` is what the journal may fill. Classes, kinds and zones
    /// are known to open jobs and nodes by their places in the settings, so these can't change under them.
    pub fn settle(&self, mut rules: Rules, disk: u64) {
        // What follows who is there is not for the settings to tell.
        rules.settings.relays = self.divided.get().or(rules.settings.relays);
        rules.settings.list_shared = self.rules().settings.list_shared;
        self.journal.borrow_mut().set_limit(disk);
        let old = self.rules();
        if rules.names != old.names {
            tracing::warn!("classes, kinds or zones differ: the settings are taken up with the next start");
            // Discovery may have moved all the same.
            self.list_reloaded();
            return;
        }
        self.state.borrow_mut().courier.apply_settings(rules.settings.clone());
        *self.rules.borrow_mut() = Rc::new(rules);
        self.list_reloaded();
        self.lend();
    }

    /// Limits are divided among so many relays from now on.
    pub fn divide_limits(&self, relays: u32) {
        self.divided.set(Some(relays));
        let mut rules = (*self.rules()).clone();
        if rules.settings.relays != Some(relays) {
            rules.settings.relays = Some(relays);
            self.state.borrow_mut().courier.apply_settings(rules.settings.clone());
            *self.rules.borrow_mut() = Rc::new(rules);
        }
    }

    /// Takes a job from a submitter. The answer comes as soon as the module has decided and, if it took the
    /// job, the journal holds it.
    pub async fn admit(self: &Rc<Self>, job: Job) -> Answer {
        let successor = self.successor.borrow().clone();
        if let Some(successor) = successor {
            return successor.admit(job).await;
        }
        let held = self.state.borrow().seats.len() + self.borrowed.get();
        let full = self.rules().settings.max_open_messages.is_some_and(|m| held >= m as usize);
        let winding_down = self.winding_down.get();
        if full || winding_down || !self.knows(job.dest) {
            tracing::debug!(id = job.id, dest = job.dest, full, winding_down, "turned away at the door");
            self.count(|tally| tally.turned_away += 1);
            self.figures.ended(&job.class, Ended::TurnedBack);
            return Answer::Refused { after: Some(DEFAULT_BACKOFF) };
        }
        loop {
            // The same message once more, after a close that crossed it, is in hand already or about to be.
            match self.state.borrow().ids.get(&job.id) {
                Some(true) => return Answer::Taken,
                Some(false) => {}
                None => break,
            }
            self.decisions.notified().await;
        }
        // Guards against the work of deciding anew on what comes again right after its answer, and against
        // sending a second time what has only just been delivered.
        if let Some(answer) = self.state.borrow_mut().recent.answer(&job.id) {
            return answer;
        }
        let id = job.id.clone();
        self.state.borrow_mut().ids.insert(id.clone(), false);
        // A task of its own: the submitter may be gone at any moment, and the id is to be decided on all the same.
        let (answer, answered) = oneshot::channel();
        match self.backlog() {
            Some(backlog) => drop(actix_rt::spawn(self.clone().place(backlog, job, answer))),
            None => drop(actix_rt::spawn(self.clone().life(job, Course::default(), Some(answer)))),
        }
        let Ok(decision) = answered.await else { return Answer::Failed };
        if let Decision::Taken(taken_on) = &decision {
            tracing::debug!(id, key = taken_on.key(), "taken on");
        }
        decision.told()
    }

    /// The process's figures.
    pub fn figures(&self) -> &Figures {
        &self.figures
    }

    /// What there is just now, for the figures.
    pub fn census(&self) -> Census {
        if self.is_handed() {
            // Its successor tells them.
            return Census::default();
        }
        let state = self.state.borrow();
        let on_disk = self.backlog().map_or(0, |backlog| backlog.on_disk() as usize);
        let in_progress = on_disk + state.ids.values().filter(|taken| **taken).count();
        let (known, closed) = state.nodes.count();
        let list_age = self.list_clock.age(Instant::now());
        let unwritten_records = self.journal_health.unwritten();
        Census {
            in_progress,
            known,
            skipped: closed + state.courier.down_endpoints(),
            list_age,
            unwritten_records,
        }
    }

    /// Whether a job has no end yet.
    pub fn is_open(&self, id: &str) -> bool {
        self.state.borrow().ids.contains_key(id)
    }

    /// Goes on with a job that outlived its process.
    pub fn recover(self: &Rc<Self>, open: Open) {
        self.go_on(Course::kept(open));
    }

    /// Goes on with a job that another process had.
    fn resume(self: &Rc<Self>, open: Open) {
        self.go_on(Course::resumed(open));
    }

    fn go_on(self: &Rc<Self>, (job, course): (Job, Course)) {
        let (id, left) = (&job.id, job.left());
        tracing::debug!(id, dest = job.dest, tries = course.tries(), ?left, "goes on from the journal");
        self.state.borrow_mut().ids.insert(job.id.clone(), true);
        self.decisions.notify_waiters();
        actix_rt::spawn(self.clone().life(job, course, None));
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
            let Tally { latest_round, .. } = tally;
            if tally != (Tally { latest_round, ..Tally::default() }) {
                let Tally { taken, turned_away, claims, delivered, returned, failed, replaced, .. } = tally;
                let list_age = self.list_clock.age(Instant::now());
                let (open, kept) = {
                    let state = self.state.borrow();
                    (state.ids.len(), state.courier.record_counts())
                };
                tracing::info!(
                    front,
                    taken,
                    turned_away,
                    claims,
                    delivered,
                    returned,
                    failed,
                    replaced,
                    open,
                    listed = kept.listed,
                    in_use = kept.full,
                    cold = kept.cold,
                    ?list_age,
                    ?latest_round,
                    "last minute"
                );
            }
        }
    }

    fn module_time(&self, at: Instant) -> Nanos {
        nanos(CLOCK_START + at.duration_since(self.start))
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
        while !self.all_home() && Instant::now() < end {
            sleep(Duration::from_millis(10)).await;
        }
        let state = self.state.borrow();
        tracing::info!(
            claims = state.out.len(),
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
    replaced: u32,
    /// How late a round was at most.
    latest_round: Duration,
}
