use super::super::nodes::tests::entry;
use super::*;
use crate::backlog::BacklogClass;
use crate::clock;
use crate::config::{self, Rules};
use crate::core::{Node, SendPermit, StoredState};
use crate::disabled::DisabledNodes;
use crate::job::Outcome;
use crate::journal::open_journal;
use crate::list::{Lifecycle, NodeList};
use crate::metrics::{BacklogMetrics, Metrics};
use bytes::Bytes;
use onyxglade_backlog::memory_store::{Fault, MemoryDisk};
use onyxglade_backlog::store::BacklogStore;
use onyxglade_backlog::worker::Worker;
use slatethread::{Class, Effect, ListSource, Settings};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;

const DESTINATION: u64 = 7;
const CLASS: &str = "c";
/// Limit of requests in memory, of which the planner's windows get three quarters.
const MAX_IN_MEMORY: u32 = 12;
/// Limit of calls in flight.
const CALLS: u32 = 3;
const JOURNAL_BYTES: u64 = 1_000_000;
/// Timeout for events that must happen; no assertion depends on how long they take.
const TIMEOUT: Duration = Duration::from_secs(10);
const LONG_TTL: Duration = Duration::from_secs(600);

/// What the partner and the submitters have observed, over all processes.
#[derive(Default)]
struct World {
    accepted: Vec<String>,
    /// Calls for which the partner confirmed delivery.
    delivered: Vec<String>,
    notices: Vec<Notice>,
}

impl World {
    fn deliveries(&self, id: &str) -> usize {
        self.delivered.iter().filter(|delivered| *delivered == id).count()
    }

    fn notices(&self, id: &str) -> Vec<NoticeEnd> {
        self.notices.iter().filter(|notice| notice.id == id).map(|notice| notice.end).collect()
    }

    fn has_ended(&self, id: &str) -> bool {
        self.deliveries(id) > 0 || !self.notices(id).is_empty()
    }
}

/// How the partner handles a call.
#[derive(Clone, Copy, PartialEq)]
enum Mode {
    /// It cannot be reached.
    Down,
    /// It accepts the call and does not answer.
    Silent,
    Up,
}

struct Partner {
    world: Arc<Mutex<World>>,
    control: Rc<Control>,
}

/// The test's control of the partner.
struct Control {
    mode: Cell<Mode>,
    /// Deliveries after which the partner becomes silent.
    deliveries_left: Cell<usize>,
    calls: Cell<usize>,
    changed: Notify,
}

impl Control {
    fn set(&self, mode: Mode, deliveries: usize) {
        self.mode.set(mode);
        self.deliveries_left.set(deliveries);
        self.changed.notify_waiters();
    }
}

impl Transport for Partner {
    async fn claim(&self, job: &Job, _: &Node, _: Duration, permit: &Rc<SendPermit>) -> Outcome {
        let control = &self.control;
        if control.mode.get() == Mode::Down {
            return Outcome::Unconnected;
        }
        if !permit.begin() {
            return Outcome::NotSent;
        }
        permit.mark_sent();
        control.calls.set(control.calls.get() + 1);
        while control.mode.get() == Mode::Silent {
            control.changed.notified().await;
        }
        self.world.lock().expect("not poisoned").delivered.push(job.id.clone());
        permit.mark_delivered();
        control.deliveries_left.set(control.deliveries_left.get().saturating_sub(1));
        if control.deliveries_left.get() == 0 {
            control.mode.set(Mode::Silent);
        }
        Outcome::Delivered
    }

    async fn notify(&self, end: &FinalNotice) -> Result<(), String> {
        let notice = end.notice();
        self.world.lock().expect("not poisoned").notices.push(notice.clone());
        Ok(())
    }

    fn close_idle(&self, _: &Node) {}

    fn node_removed(&self, _: &Node) {}
}

fn rules(classes: &[&str]) -> Rules {
    let class = Class {
        effect: Effect::Unsafe,
        lifetime: LONG_TTL.as_nanos() as u64,
        target_latency: 1_000_000_000,
        ..Class::default()
    };
    let settings = Settings {
        classes: vec![class; classes.len()],
        max_open_messages: Some(MAX_IN_MEMORY),
        slots: Some(CALLS),
        max_attempts: Some(1_000),
        ..Settings::default()
    };
    let classes = classes.iter().map(|class| (*class).to_owned()).collect();
    Rules {
        settings,
        names: slatethread_wirehost::wire_settings::SettingNames { classes, ..Default::default() },
    }
}

/// Starts a store worker. With `crash`, the first fault of the store kills the process: the worker's thread notifies
/// the test and sends no answer.
fn worker(disk: &MemoryDisk, crash: Option<(Arc<Notify>, Receiver<()>)>) -> Worker {
    let (disk, mut opened) = (disk.clone(), false);
    let open = move || {
        if let Some((crashed, killed)) = crash.as_ref().filter(|_| opened) {
            crashed.notify_one();
            let _ = killed.recv();
            return Err(StoreError::Closed);
        }
        opened = true;
        Ok(Box::new(disk.open()) as Box<dyn BacklogStore>)
    };
    Worker::start(Box::new(open), 4096).expect("it opens")
}

/// The state that survives a process.
struct Site {
    folder: tempfile::TempDir,
    disk: MemoryDisk,
    world: Arc<Mutex<World>>,
    journal_bytes: u64,
}

impl Site {
    fn new() -> Site {
        let folder = tempfile::tempdir().expect("a folder");
        Site { folder, disk: MemoryDisk::default(), world: Arc::default(), journal_bytes: JOURNAL_BYTES }
    }

    /// Runs a relay process until the script ends, or until the process crashes (`None`), after which none of its tasks
    /// runs.
    fn run<T>(&self, may_crash: bool, script: impl AsyncFnOnce(&Process) -> T) -> Option<T> {
        self.run_with(may_crash, &[CLASS], script)
    }

    fn run_with<T>(
        &self,
        may_crash: bool,
        classes: &[&str],
        script: impl AsyncFnOnce(&Process) -> T,
    ) -> Option<T> {
        let system = actix_rt::System::new();
        let (kill, killed) = channel();
        let crashed = Arc::new(Notify::new());
        let crash = may_crash.then(|| (crashed.clone(), killed));
        let outcome = system.block_on(async {
            let process = async { script(&Process::start(self, crash, classes).await).await };
            let mut process = std::pin::pin!(process);
            let outcome = tokio::select! {
                biased;
                () = crashed.notified() => None,
                outcome = &mut process => Some(outcome),
            };
            // Ends the worker's thread before the values that wait for it are dropped.
            drop(kill);
            outcome
        });
        drop(system);
        outcome
    }

    /// Continues after a crash with a partner that is up, until all requests have ended.
    fn finish(&self) {
        // A fault that the first process did not reach crashes a later one.
        while self
            .run(true, async |process| {
                process.control.set(Mode::Up, usize::MAX);
                process.until("all ends", || process.all_ended()).await;
                // Includes requests whose submitter got no answer.
                process.until("no open request", || process.core.state.borrow().ids.is_empty()).await;
                process.until("an empty disk", || self.disk.messages().is_empty()).await;
                process.until("no open request", || process.core.state.borrow().ids.is_empty()).await;
            })
            .is_none()
        {}
        let (_, open) = open_journal(self.folder.path(), self.journal_bytes).expect("it opens");
        assert!(
            open.is_empty(),
            "still open: {:?}",
            open.iter().map(|open| &open.job.id).collect::<Vec<_>>()
        );
    }

    /// Checks that every accepted request has exactly one end. The notice of an expired request (`expires`) may be
    /// repeated with the same content, since it is delivered before the message is removed.
    fn check_ends(&self, expires: impl Fn(&str) -> bool) {
        let world = self.world.lock().expect("not poisoned");
        for id in &world.accepted {
            let (deliveries, notices) = (world.deliveries(id), world.notices(id));
            let ended_once = match notices.as_slice() {
                [] => deliveries == 1,
                [first, others @ ..] => {
                    deliveries == 0
                        && others.iter().all(|end| end == first)
                        && (others.is_empty() || expires(id))
                }
            };
            assert!(ended_once, "{id}: delivered {deliveries} times, notices {notices:?}");
        }
    }
}

/// A relay process.
struct Process {
    core: Rc<Core<Partner>>,
    backlog: Rc<Backlog>,
    world: Arc<Mutex<World>>,
    control: Rc<Control>,
}

impl Process {
    async fn start(site: &Site, crash: Option<(Arc<Notify>, Receiver<()>)>, classes: &[&str]) -> Process {
        let (mode, changed) = (Cell::new(Mode::Down), Notify::new());
        let control = Control { mode, deliveries_left: Cell::new(0), calls: Cell::new(0), changed };
        let control = Rc::new(control);
        let partner = Partner { world: site.world.clone(), control: control.clone() };
        let (journal, open) = open_journal(site.folder.path(), site.journal_bytes).expect("it opens");
        let metrics = Metrics::new(&[]);
        let backlog_metrics = BacklogMetrics::register(&metrics);
        let stored = StoredState { journal, disabled: DisabledNodes::open(site.folder.path()) };
        let core = Core::new(partner, ListSource::File, rules(classes), None, 1, stored, metrics);
        let settings =
            config::BacklogConfig { folder: "unused".into(), memory_bytes: 32 << 20, disk_bytes: 1 << 30 };
        let classes: Vec<_> =
            classes.iter().map(|name| BacklogClass { name: (*name).into(), worth: 1.0 }).collect();
        let worker = worker(&site.disk, crash);
        let opened =
            Backlog::with_worker(worker, &settings, &classes, Some(MAX_IN_MEMORY), &open, backlog_metrics)
                .await;
        let (backlog, actions) = match opened {
            Ok(opened) => opened,
            // Not reached by a crash during opening, which ends the run first.
            Err(error) => panic!("{error}"),
        };
        core.attach_backlog(backlog, actions).expect("written");
        open.into_iter().for_each(|open| core.recover(open));
        let node = entry(DESTINATION as usize, 1, Lifecycle::Serving);
        let mut list = NodeList::from_entries(vec![node]);
        list.reset = true;
        core.apply_list(&list).await;
        let rounds = core.clone();
        actix_rt::spawn(async move { rounds.run_rounds().await });
        let backlog = core.backlog().expect("attached");
        Process { core, backlog, world: site.world.clone(), control }
    }

    fn job(&self, id: &str, class: &str, ttl: Duration) -> Job {
        Job {
            id: id.into(),
            class: class.into(),
            dest: DESTINATION,
            deadline: clock::now() + ttl,
            retry: false,
            reconnect: false,
            label: None,
            fields: Vec::new(),
            body: Bytes::from_static(b"body"),
        }
    }

    async fn admit(&self, id: &str, ttl: Duration) -> Answer {
        let answer = self.core.admit(self.job(id, CLASS, ttl)).await;
        if answer == Answer::Accepted {
            self.world.lock().expect("not poisoned").accepted.push(id.to_owned());
        }
        answer
    }

    async fn admit_all(&self, name: &str, count: usize, ttl: Duration) {
        for number in 0..count {
            let answer = self.admit(&format!("{name}{number}"), ttl).await;
            assert_eq!(answer, Answer::Accepted, "{name}{number}");
        }
    }

    fn all_ended(&self) -> bool {
        let world = self.world.lock().expect("not poisoned");
        world.accepted.iter().all(|id| world.has_ended(id))
    }

    fn delivered(&self) -> usize {
        self.world.lock().expect("not poisoned").delivered.len()
    }

    async fn until(&self, what: &str, condition: impl Fn() -> bool) {
        let end = Instant::now() + TIMEOUT;
        while !condition() {
            assert!(Instant::now() < end, "no {what}");
            sleep(Duration::from_millis(2)).await;
        }
    }
}

/// Spills, fetches, removes, puts back and expires messages, then completes the rest.
async fn history(process: &Process) {
    process.control.set(Mode::Silent, usize::MAX);
    process.admit_all("m", 14, LONG_TTL).await;
    process.admit_all("s", 3, Duration::from_millis(300)).await;
    process.control.set(Mode::Up, 4);
    process.until("deliveries", || process.delivered() >= 4).await;
    let in_flight = || process.core.state.borrow().in_flight.len();
    process.until("calls in flight", || in_flight() > 0).await;
    process.until("a fetch", || process.backlog.fetched(DESTINATION).len() > in_flight()).await;
    process.core.clone().evict(process.backlog.clone(), DESTINATION).await;
    process.control.set(Mode::Up, usize::MAX);
    process.until("all ends", || process.all_ended()).await;
}

fn is_short_lived(id: &str) -> bool {
    id.starts_with('s')
}

fn crash_at(operation: u64, fault: Fault) -> bool {
    let site = Site::new();
    site.disk.inject_fault(operation, fault);
    let crashed = site.run(true, history).is_none();
    site.finish();
    site.check_ends(is_short_lived);
    crashed
}

#[test]
fn every_request_ends_exactly_once_if_the_relay_crashes_at_any_store_operation() {
    const PARALLEL_RUNS: usize = 32;
    let site = Site::new();
    assert!(site.run(true, history).is_some());
    let operations = site.disk.operations();
    site.finish();
    site.check_ends(|_| false);
    let crashes = |number| [(number, Fault::CrashBefore), (number, Fault::CrashAfter)];
    let points: Vec<_> = (0..operations).flat_map(crashes).collect();
    let mut crashed = 0;
    for batch in points.chunks(PARALLEL_RUNS) {
        std::thread::scope(|scope| {
            let run = |&(number, fault)| scope.spawn(move || ((number, fault), crash_at(number, fault)));
            let runs: Vec<_> = batch.iter().map(run).collect();
            crashed +=
                runs.into_iter().map(|run| run.join().expect("one end")).filter(|(_, hit)| *hit).count();
        });
    }
    println!("{crashed} crashes at {} points", points.len());
    assert!(crashed > points.len() / 2, "{crashed} of {}", points.len());
}

/// Accepts messages of which some wait on disk, with a partner that does not answer its calls.
async fn with_backlog(process: &Process) {
    process.control.set(Mode::Silent, usize::MAX);
    process.admit_all("m", 16, LONG_TTL).await;
    assert!(process.backlog.on_disk() > 0);
}

#[test]
fn a_client_that_disconnects_before_its_answer_can_submit_its_request_again() {
    let site = Site::new();
    site.run(false, async |process| {
        with_backlog(process).await;
        site.disk.inject_fault(site.disk.operations(), Fault::Stall(Duration::from_millis(300)));
        let disconnected = process.core.admit(process.job("gone", CLASS, LONG_TTL));
        assert!(tokio::time::timeout(Duration::from_millis(20), disconnected).await.is_err());
        let again = tokio::time::timeout(TIMEOUT, process.admit("gone", LONG_TTL)).await;
        assert_eq!(again.expect("an answer"), Answer::Accepted);
        let copies = site.disk.messages().iter().filter(|message| &*message.id == "gone").count();
        assert_eq!(copies, 1);
    });
    site.finish();
    site.check_ends(|_| false);
}

#[test]
fn a_request_that_is_refused_although_it_was_stored_is_removed_from_the_store() {
    let site = Site::new();
    site.run(false, async |process| {
        with_backlog(process).await;
        // The next operation looks up the id.
        let append = site.disk.operations() + 1;
        site.disk.inject_fault(append, Fault::ErrorAfter);
        site.disk.inject_fault(append + 1, Fault::Error);
        assert_eq!(process.admit("doubt", LONG_TTL).await, refused_decision(STORE_RETRY_AFTER).answer());
        process.until("resolved doubt", || !process.backlog.is_in_doubt("doubt")).await;
        assert!(site.disk.messages().iter().all(|message| &*message.id != "doubt"));
    });
    site.finish();
    assert_eq!(site.world.lock().expect("not poisoned").deliveries("doubt"), 0);
    site.check_ends(|_| false);
}

#[test]
fn a_fetch_with_a_full_journal_leaves_messages_on_disk() {
    let site = Site::new();
    site.run(false, async |process| {
        with_backlog(process).await;
        process.core.apply_rules(rules(&[CLASS]), 1);
        let waiting = site.disk.messages();
        let lane = waiting[0].position.lane;
        process.core.clone().fetch(process.backlog.clone(), lane, 512).await;
        assert_eq!(site.disk.messages(), waiting);
        process.core.apply_rules(rules(&[CLASS]), JOURNAL_BYTES);
        process.control.set(Mode::Up, usize::MAX);
        process.until("all ends", || process.all_ended()).await;
    });
    site.finish();
    site.check_ends(|_| false);
}
