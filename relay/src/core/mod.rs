//! Runs jobs, and the rounds of the decision module (`slatethread`). Independent of any wire protocol: a front submits
//! jobs, and a [`Transport`] carries claims to execute nodes and notices to their receivers.
mod address_owners;
mod backlog;
mod bundle;
mod confirmation;
mod decision;
mod ends;
mod handover;
mod hooks;
mod job_task;
mod list_confirmation;
mod node;
mod node_table;
mod nodes;
mod recent_answers;
mod rounds;
mod send_permit;

use slatethread::{Dispatcher, EndpointId, Event, ListSource, MsgId, Nanos};
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

pub use bundle::BundledMessage;
pub use confirmation::{Confirmation, ConfirmationSender, Verdict, confirmation};
pub use handover::Successor;
pub use list_confirmation::{AnswerTimes, LeaseClock};
pub use node::Node;
use node_table::Nodes;
pub use nodes::SetDisabledError;
#[cfg(test)]
pub(crate) use nodes::tests;
pub use send_permit::SendPermit;

use crate::backlog::Backlog;
use crate::clock;
use crate::config::Rules;
use crate::disabled::DisabledNodes;
use crate::hook::Hooks;
use crate::job::{Answer, Job, Outcome, nanos};
use crate::journal::{FinalNotice, Journal, JournalHealth, Key, OpenJob};
use crate::metrics::{GaugeValues, MessageResult, Metrics};
use decision::Decision;
use job_task::JobProgress;
use recent_answers::RecentAnswers;
use rounds::Order;

/// Carries claims and notices for a front.
pub trait Transport: 'static {
    /// Sends a claim to a node. Dropping the future must cancel the claim at once.
    fn claim(
        &self,
        job: &Job,
        node: &Node,
        limit: Duration,
        permit: &Rc<SendPermit>,
    ) -> impl Future<Output = Outcome>;
    /// Sends several claims to a node in one call; returns their outcomes in the same order. Dropping the future must
    /// cancel all of them at once.
    fn claim_bundle(
        &self,
        messages: &[BundledMessage],
        _node: &Node,
        _limit: Duration,
    ) -> impl Future<Output = Vec<Outcome>> {
        // Not called for a front whose nodes accept only one message per call.
        std::future::ready(vec![Outcome::NotSent; messages.len()])
    }
    /// Delivers the notice of a job's end; completes once its receipt is certain.
    fn notify(&self, end: &FinalNotice) -> impl Future<Output = Result<(), String>>;
    /// The key by which a later job replaces an earlier one with the same key, if the job has one.
    fn replacement_key(&self, _job: &Job) -> Option<String> {
        None
    }
    /// Closes idle connections to a node.
    fn close_idle(&self, node: &Node);
    /// A node was removed from the list, or has another address now.
    fn node_removed(&self, node: &Node);
    /// Whether each address is that of one node only, so that another name there means another process.
    fn one_node_per_address(&self) -> bool {
        false
    }
}

struct State {
    dispatcher: Dispatcher,
    /// Events since the last round.
    inbox: Vec<Event>,
    timers: BinaryHeap<Reverse<(Instant, u64)>>,
    order_senders: HashMap<MsgId, mpsc::Sender<Order>>,
    next_msg: u32,
    nodes: Nodes,
    /// Ends of the waits requested by destinations or routes; pruned when twice as many as the last pruning left.
    waits: HashMap<(u64, Option<EndpointId>), Rc<Cell<Instant>>>,
    waits_after_pruning: usize,
    /// Ids of jobs that have not ended: true if the job was accepted, false while it is being decided on.
    ids: HashMap<String, bool>,
    recent: RecentAnswers,
    /// Open jobs that a later one may replace.
    replaceable: HashMap<String, MsgId>,
    /// Send permits of claims in flight.
    in_flight: BTreeMap<Key, Rc<SendPermit>>,
    /// Jobs whose claims are still in flight at the previous process, so that their slots are not available here.
    predecessor_claims: BTreeSet<Key>,
}

/// What a relay's state folder has of earlier processes.
pub struct StoredState {
    pub journal: Journal,
    /// The nodes that operators have disabled.
    pub disabled: DisabledNodes,
}

pub struct Core<C> {
    pub transport: C,
    rules: RefCell<Rc<Rules>>,
    hooks: Option<Rc<Hooks>>,
    state: RefCell<State>,
    journal: Rc<RefCell<Journal>>,
    journal_health: Rc<JournalHealth>,
    disabled: RefCell<DisabledNodes>,
    /// Number of relays that share the limits, if it follows the instances that are up.
    relay_count: Cell<Option<u32>>,
    /// Requests waiting on disk; `None` if disabled, or once another process has taken over.
    backlog: RefCell<Option<Rc<Backlog>>>,
    metrics: Rc<Metrics>,
    /// Locked while a list is applied: lists are applied in order.
    list_lock: tokio::sync::Mutex<()>,
    wake: Notify,
    list_request: Notify,
    start: Instant,
    /// Notified when there are no more rounds.
    rounds_stopped: Notify,
    /// Notified with every decision on a job.
    decisions: Notify,
    tally: Cell<Tally>,
    /// No more rounds: claims in flight may complete, and open jobs stay in the journal.
    winding_down: Cell<bool>,
    /// The lease on the list of nodes.
    lease_clock: Rc<LeaseClock>,
    /// The version of the list that was last applied.
    generation: Cell<Option<u64>>,
    /// Cancelled once the jobs belong to another process.
    handed_over: CancellationToken,
    /// Cancelled to cancel the claims in flight.
    claims_cancelled: CancellationToken,
    successor: RefCell<Option<Rc<dyn Successor>>>,
    /// Number of jobs that wait for a hook's decision.
    jobs_in_hooks: Cell<usize>,
    /// Number of jobs that count as delivered and whose answer is not certain yet.
    unconfirmed_deliveries: Cell<usize>,
    /// When the log last said that the journal is full.
    full_journal_logged: Cell<Option<Instant>>,
}

/// Start of the decision module's clock. One hour, since the module treats times near zero as long ago.
const CLOCK_START: Duration = Duration::from_secs(3600);
/// The backoff in refusals that the decision module did not decide on.
const DEFAULT_BACKOFF: Duration = Duration::from_secs(1);
/// Interval of the log's summary lines.
const TALLY_INTERVAL: Duration = Duration::from_secs(60);
/// Wake-up time when nothing else is scheduled.
const IDLE_WAKEUP: Duration = Duration::from_secs(3600);

impl<C: Transport> Core<C> {
    pub fn new(
        transport: C,
        list_source: ListSource,
        rules: Rules,
        hooks: Option<Rc<Hooks>>,
        seed: u64,
        stored: StoredState,
        metrics: Rc<Metrics>,
    ) -> Rc<Self> {
        let StoredState { journal, disabled } = stored;
        let mut recent = RecentAnswers::default();
        let now = clock::now();
        journal.ended_jobs().for_each(|job| recent.add_ended(&job.id, job.age(now)));
        let state = State {
            dispatcher: Dispatcher::new(rules.settings.clone(), seed),
            inbox: Vec::new(),
            timers: BinaryHeap::new(),
            order_senders: HashMap::new(),
            next_msg: 0,
            nodes: Nodes::new(transport.one_node_per_address()),
            waits: HashMap::new(),
            waits_after_pruning: 0,
            ids: HashMap::new(),
            recent,
            replaceable: HashMap::new(),
            in_flight: BTreeMap::new(),
            predecessor_claims: BTreeSet::new(),
        };
        let start = Instant::now();
        Rc::new(Core {
            transport,
            rules: RefCell::new(Rc::new(rules)),
            hooks,
            state: RefCell::new(state),
            journal_health: journal.health(),
            journal: Rc::new(RefCell::new(journal)),
            disabled: RefCell::new(disabled),
            relay_count: Cell::default(),
            backlog: RefCell::default(),
            metrics,
            list_lock: tokio::sync::Mutex::new(()),
            wake: Notify::new(),
            list_request: Notify::new(),
            start,
            lease_clock: Rc::new(LeaseClock::new(start, list_source)),
            rounds_stopped: Notify::new(),
            decisions: Notify::new(),
            tally: Cell::default(),
            winding_down: Cell::new(false),
            generation: Cell::new(None),
            handed_over: CancellationToken::new(),
            claims_cancelled: CancellationToken::new(),
            successor: RefCell::new(None),
            jobs_in_hooks: Cell::new(0),
            unconfirmed_deliveries: Cell::new(0),
            full_journal_logged: Cell::new(None),
        })
    }

    /// The version of the list that was last applied.
    pub fn generation(&self) -> Option<u64> {
        self.generation.get()
    }

    pub fn rules(&self) -> Rc<Rules> {
        self.rules.borrow().clone()
    }

    /// Applies new rules without disturbing open jobs; `disk` is the size limit of the journal. Open jobs and nodes
    /// refer to classes, kinds and zones by their indices in the settings, so rules that change these are not applied.
    pub fn apply_rules(&self, mut rules: Rules, disk: u64) {
        // These two are not reloaded: the number of relays may follow the instances that are up.
        rules.settings.relays = self.relay_count.get().or(rules.settings.relays);
        rules.settings.list_shared = self.rules().settings.list_shared;
        self.journal.borrow_mut().set_limit(disk);
        let old = self.rules();
        if rules.names != old.names {
            tracing::warn!("classes, kinds or zones differ: the settings are applied at the next start");
            // The address of discovery may have changed even so.
            self.list_reloaded();
            return;
        }
        self.state.borrow_mut().dispatcher.apply_settings(rules.settings.clone());
        *self.rules.borrow_mut() = Rc::new(rules);
        self.list_reloaded();
        self.reserve_predecessor_slots();
    }

    /// Divides the limits among this number of relays from now on.
    pub fn divide_limits(&self, relays: u32) {
        self.relay_count.set(Some(relays));
        let mut rules = (*self.rules()).clone();
        if rules.settings.relays != Some(relays) {
            rules.settings.relays = Some(relays);
            self.state.borrow_mut().dispatcher.apply_settings(rules.settings.clone());
            *self.rules.borrow_mut() = Rc::new(rules);
        }
    }

    /// Admits a job from a submitter. Answers once the decision module has decided and, if it accepted the job, the
    /// journal or the backlog has stored it.
    pub async fn admit(self: &Rc<Self>, job: Job) -> Answer {
        let successor = self.successor.borrow().clone();
        if let Some(successor) = successor {
            return successor.admit(job).await;
        }
        let in_memory = {
            let state = self.state.borrow();
            state.order_senders.len() + state.predecessor_claims.len() + self.jobs_in_hooks.get()
        };
        let full = self.rules().settings.max_open_messages.is_some_and(|m| in_memory >= m as usize);
        let winding_down = self.winding_down.get();
        if full || winding_down || !self.knows_destination(job.dest) {
            tracing::debug!(id = job.id, dest = job.dest, full, winding_down, "job refused on arrival");
            self.count(|tally| tally.refused += 1);
            self.metrics.message_ended(&job.class, MessageResult::Refused);
            return Answer::Refused { after: Some(DEFAULT_BACKOFF) };
        }
        loop {
            // A resubmission, say after the connection was closed before the answer: the first one may still be open.
            match self.state.borrow().ids.get(&job.id) {
                Some(true) => return Answer::Accepted,
                Some(false) => {}
                None => break,
            }
            self.decisions.notified().await;
        }
        // Repeats a recent answer instead of deciding again, so that a message that was just delivered is not sent a
        // second time.
        if let Some(answer) = self.state.borrow_mut().recent.answer(&job.id) {
            return answer;
        }
        let id = job.id.clone();
        self.state.borrow_mut().ids.insert(id.clone(), false);
        // Spawned, since the submitter may disconnect at any time, and the id must be decided on even then.
        let (answer, answered) = oneshot::channel();
        match self.backlog() {
            Some(backlog) => drop(actix_rt::spawn(self.clone().place_arrival(backlog, job, answer))),
            None => drop(actix_rt::spawn(self.clone().run_job(job, JobProgress::default(), Some(answer)))),
        }
        let Ok(decision) = answered.await else { return Answer::Failed };
        if let Decision::Accepted(receipt) = &decision {
            tracing::debug!(id, key = receipt.key(), "job accepted");
        }
        decision.answer()
    }

    /// The metrics of the process.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// The current values of this front's gauges.
    pub fn gauge_values(&self) -> GaugeValues {
        if self.is_handed_over() {
            // The successor reports them.
            return GaugeValues::default();
        }
        let state = self.state.borrow();
        let on_disk = self.backlog().map_or(0, |backlog| backlog.on_disk() as usize);
        let accepted = state.ids.values().filter(|accepted| **accepted).count();
        let in_progress = on_disk + accepted.saturating_sub(self.unconfirmed_deliveries.get());
        let (known, unavailable) = state.nodes.count();
        let list_age = self.lease_clock.age(Instant::now());
        let unwritten_records = self.journal_health.unwritten_records();
        GaugeValues {
            in_progress,
            known,
            skipped: unavailable + state.dispatcher.down_endpoints(),
            list_age,
            unwritten_records,
        }
    }

    /// Whether a job has not ended.
    pub fn is_open(&self, id: &str) -> bool {
        self.state.borrow().ids.contains_key(id)
    }

    /// Continues a job from the journal after a restart.
    pub fn recover(self: &Rc<Self>, open: OpenJob) {
        self.continue_job(JobProgress::after_restart(open));
    }

    /// Continues a job that another process has handed over.
    fn continue_handed_over(self: &Rc<Self>, open: OpenJob) {
        self.continue_job(JobProgress::from_journal(open));
    }

    fn continue_job(self: &Rc<Self>, (job, progress): (Job, JobProgress)) {
        let (id, left) = (&job.id, job.time_left());
        tracing::debug!(
            id,
            dest = job.dest,
            tries = progress.tries(),
            ?left,
            "continuing the job from the journal"
        );
        self.state.borrow_mut().ids.insert(job.id.clone(), true);
        self.decisions.notify_waiters();
        actix_rt::spawn(self.clone().run_job(job, progress, None));
    }

    fn count(&self, change: impl FnOnce(&mut Tally)) {
        let mut tally = self.tally.get();
        change(&mut tally);
        self.tally.set(tally);
    }

    /// Logs a summary of jobs and claims at regular intervals, if there were any.
    pub async fn log_tally(&self, front: &'static str) {
        loop {
            sleep(TALLY_INTERVAL).await;
            let tally = self.tally.take();
            let Tally { latest_round, .. } = tally;
            if tally != (Tally { latest_round, ..Tally::default() }) {
                let Tally { accepted, refused, claims, delivered, returned, failed, replaced, .. } = tally;
                let list_age = self.lease_clock.age(Instant::now());
                let (open, kept) = {
                    let state = self.state.borrow();
                    (state.ids.len(), state.dispatcher.record_counts())
                };
                tracing::info!(
                    front,
                    taken = accepted,
                    turned_away = refused,
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

    /// Waits until the decision module requests the list.
    pub async fn list_requested(&self) {
        self.list_request.notified().await;
    }

    /// Stops the rounds and waits for claims in flight, at most for this time; jobs still open stay in the journal.
    pub async fn wind_down(&self, limit: Duration) {
        self.winding_down.set(true);
        self.rounds_stopped.notify_waiters();
        let end = Instant::now() + limit;
        while !self.no_claims_in_flight() && Instant::now() < end {
            sleep(Duration::from_millis(10)).await;
        }
        let state = self.state.borrow();
        tracing::info!(
            claims = state.in_flight.len(),
            jobs = state.ids.len(),
            "wound down; open jobs stay journaled"
        );
    }

    /// Waits until there are no more rounds.
    async fn no_more_rounds(&self) {
        while !self.winding_down.get() {
            self.rounds_stopped.notified().await;
        }
    }
}

/// Counts of jobs and claims since the last summary in the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Tally {
    accepted: u32,
    refused: u32,
    claims: u32,
    delivered: u32,
    returned: u32,
    failed: u32,
    replaced: u32,
    /// The longest delay of a round.
    latest_round: Duration,
}
