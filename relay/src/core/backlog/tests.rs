use super::super::nodes::tests::entry;
use super::*;
use crate::backlog::BacklogClass;
use crate::clock;
use crate::config::{self, Rules};
use crate::core::{Node, Ticket};
use crate::disabled::Disabled;
use crate::figures::{BacklogFigures, Figures};
use crate::job::Outcome;
use crate::journal::Journal;
use crate::list::{Lifecycle, NodeList};
use bytes::Bytes;
use onyxglade_backlog::memory_store::{Fault, MemoryDisk};
use onyxglade_backlog::store::BacklogStore;
use onyxglade_backlog::worker::Worker;
use slatethread::{Class, Effect, Settings};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;

const DESTINATION: u64 = 7;
const CLASS: &str = "c";
/// Requests that the relay may hold: the windows have three quarters of it.
const MOST_HELD: u32 = 12;
/// Calls that may be out at once.
const CALLS: u32 = 3;
const JOURNAL_BYTES: u64 = 1_000_000;
/// Longest wait for something that has to come; nothing depends on how long it took.
const PATIENCE: Duration = Duration::from_secs(10);
const LONG_LIFE: Duration = Duration::from_secs(600);

/// What the partner and the clients have seen, over all processes.
#[derive(Default)]
struct World {
    taken: Vec<String>,
    /// Calls that the partner answered with a delivery.
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

/// What the partner does with a call.
#[derive(Clone, Copy, PartialEq)]
enum Mode {
    /// It cannot be reached.
    Down,
    /// It has the call and does not answer.
    Silent,
    Up,
}

struct Partner {
    world: Arc<Mutex<World>>,
    control: Rc<Control>,
}

/// What the test tells the partner.
struct Control {
    mode: Cell<Mode>,
    /// After so many deliveries it is silent.
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

impl Carrier for Partner {
    async fn claim(&self, job: &Job, _: &Node, _: Duration, ticket: &Rc<Ticket>) -> Outcome {
        let control = &self.control;
        if control.mode.get() == Mode::Down {
            return Outcome::Unconnected;
        }
        if !ticket.begin() {
            return Outcome::NotSent;
        }
        ticket.mark_sent();
        control.calls.set(control.calls.get() + 1);
        while control.mode.get() == Mode::Silent {
            control.changed.notified().await;
        }
        self.world.lock().expect("whole").delivered.push(job.id.clone());
        ticket.mark_delivered();
        control.deliveries_left.set(control.deliveries_left.get().saturating_sub(1));
        if control.deliveries_left.get() == 0 {
            control.mode.set(Mode::Silent);
        }
        Outcome::Delivered
    }

    async fn notify(&self, end: &SettledEnd) -> Result<(), String> {
        let notice = end.notice();
        self.world.lock().expect("whole").notices.push(notice.clone());
        Ok(())
    }

    fn close_idle(&self, _: &Node) {}

    fn forget(&self, _: &Node) {}
}

fn rules(classes: &[&str]) -> Rules {
    let class = Class {
        effect: Effect::Unsafe,
        give_up: LONG_LIFE.as_nanos() as u64,
        aim: 1_000_000_000,
        ..Class::default()
    };
    let settings = Settings {
        classes: vec![class; classes.len()],
        max_held: Some(MOST_HELD),
        slots: Some(CALLS),
        max_tries: Some(1_000),
        ..Settings::default()
    };
    let classes = classes.iter().map(|class| (*class).to_owned()).collect();
    Rules {
        settings,
        names: slatethread_wirehost::wire_settings::SettingNames { classes, ..Default::default() },
    }
}

/// A worker; with `killed` its process is killed with the first fault: what its thread would answer then is held back.
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

/// What outlasts processes.
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

    /// One life of the relay's process: until the script is done, or until the store's process crashes (`None`). Then
    /// nothing more of it runs.
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
            let life = async { script(&Process::start(self, crash, classes).await).await };
            let mut life = std::pin::pin!(life);
            let outcome = tokio::select! {
                biased;
                () = crashed.notified() => None,
                outcome = &mut life => Some(outcome),
            };
            // Before what may wait for the thread is dropped.
            drop(kill);
            outcome
        });
        drop(system);
        outcome
    }

    /// Goes on after a crash with a partner that is up, until everything has ended.
    fn finish(&self) {
        // A crash that the first life did not come to hits a later one.
        while self
            .run(true, async |process| {
                process.control.set(Mode::Up, usize::MAX);
                process.until("all ends", || process.all_ended()).await;
                // Also of those whose client was not answered any more.
                process.until("no open request", || process.core.state.borrow().ids.is_empty()).await;
                process.until("an empty disk", || self.disk.messages().is_empty()).await;
                process.until("no open request", || process.core.state.borrow().ids.is_empty()).await;
            })
            .is_none()
        {}
        let (_, open) = Journal::open(self.folder.path(), self.journal_bytes).expect("it opens");
        assert!(
            open.is_empty(),
            "still owed: {:?}",
            open.iter().map(|open| &open.job.id).collect::<Vec<_>>()
        );
    }

    /// Every request that was taken on has one end. The notice of one whose time is over (`expires`) may be repeated:
    /// it is told before the message is removed, and says the same again.
    fn check_ends(&self, expires: impl Fn(&str) -> bool) {
        let world = self.world.lock().expect("whole");
        for id in &world.taken {
            let (deliveries, notices) = (world.deliveries(id), world.notices(id));
            let one = match notices.as_slice() {
                [] => deliveries == 1,
                [first, rest @ ..] => {
                    deliveries == 0 && rest.iter().all(|end| end == first) && (rest.is_empty() || expires(id))
                }
            };
            assert!(one, "{id}: delivered {deliveries} times, told {notices:?}");
        }
    }
}

/// One life of the relay's process.
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
        let (journal, open) = Journal::open(site.folder.path(), site.journal_bytes).expect("it opens");
        let figures = Figures::new(&[]);
        let backlog_figures = BacklogFigures::register(&figures);
        let disabled = Disabled::open(site.folder.path());
        let core = Core::new(partner, rules(classes), None, 1, journal, disabled, figures);
        let settings =
            config::Backlog { folder: "unused".into(), memory_bytes: 32 << 20, disk_bytes: 1 << 30 };
        let classes: Vec<_> =
            classes.iter().map(|name| BacklogClass { name: (*name).into(), worth: 1.0 }).collect();
        let worker = worker(&site.disk, crash);
        let opened =
            Backlog::over(worker, &settings, &classes, Some(MOST_HELD), &open, backlog_figures).await;
        let (backlog, actions) = match opened {
            Ok(opened) => opened,
            // Killed while it opens.
            Err(error) => panic!("{error}"),
        };
        core.attach_backlog(backlog, actions).expect("written");
        open.into_iter().for_each(|open| core.recover(open));
        let node = entry(DESTINATION as usize, 1, Lifecycle::Serving);
        let mut list = NodeList::of(vec![node]);
        list.reset = true;
        core.take_list(&list).await;
        let rounds = core.clone();
        actix_rt::spawn(async move { rounds.rounds().await });
        let backlog = core.backlog().expect("attached");
        Process { core, backlog, world: site.world.clone(), control }
    }

    fn job(&self, id: &str, class: &str, life: Duration) -> Job {
        Job {
            id: id.into(),
            class: class.into(),
            dest: DESTINATION,
            deadline: clock::now() + life,
            retry: false,
            reconnect: false,
            label: None,
            fields: Vec::new(),
            body: Bytes::from_static(b"body"),
        }
    }

    async fn admit(&self, id: &str, life: Duration) -> Answer {
        let answer = self.core.admit(self.job(id, CLASS, life)).await;
        if answer == Answer::Taken {
            self.world.lock().expect("whole").taken.push(id.to_owned());
        }
        answer
    }

    async fn admit_all(&self, name: &str, count: usize, life: Duration) {
        for number in 0..count {
            let answer = self.admit(&format!("{name}{number}"), life).await;
            assert_eq!(answer, Answer::Taken, "{name}{number}");
        }
    }

    fn all_ended(&self) -> bool {
        let world = self.world.lock().expect("whole");
        world.taken.iter().all(|id| world.has_ended(id))
    }

    fn delivered(&self) -> usize {
        self.world.lock().expect("whole").delivered.len()
    }

    async fn until(&self, what: &str, condition: impl Fn() -> bool) {
        let end = Instant::now() + PATIENCE;
        while !condition() {
            assert!(Instant::now() < end, "no {what}");
            sleep(Duration::from_millis(2)).await;
        }
    }
}

/// Spills, fetches, removes, puts back and lets messages expire; then all goes on to its end.
async fn history(process: &Process) {
    process.control.set(Mode::Silent, usize::MAX);
    process.admit_all("m", 14, LONG_LIFE).await;
    process.admit_all("s", 3, Duration::from_millis(300)).await;
    process.control.set(Mode::Up, 4);
    process.until("deliveries", || process.delivered() >= 4).await;
    let out = || process.core.state.borrow().out.len();
    process.until("calls that are out", || out() > 0).await;
    process.until("a fetch", || process.backlog.fetched(DESTINATION).len() > out()).await;
    process.core.clone().park(process.backlog.clone(), DESTINATION).await;
    process.control.set(Mode::Up, usize::MAX);
    process.until("all ends", || process.all_ended()).await;
}

fn is_short_lived(id: &str) -> bool {
    id.starts_with('s')
}

fn crash_at(operation: u64, fault: Fault) -> bool {
    let site = Site::new();
    site.disk.fail(operation, fault);
    let crashed = site.run(true, history).is_none();
    site.finish();
    site.check_ends(is_short_lived);
    crashed
}

#[test]
fn every_request_has_one_end_whatever_operation_of_the_store_a_crash_comes_at() {
    const AT_ONCE: usize = 32;
    let site = Site::new();
    assert!(site.run(true, history).is_some());
    let operations = site.disk.operations();
    site.finish();
    site.check_ends(|_| false);
    let crashes = |number| [(number, Fault::CrashBefore), (number, Fault::CrashAfter)];
    let points: Vec<_> = (0..operations).flat_map(crashes).collect();
    let mut crashed = 0;
    for some in points.chunks(AT_ONCE) {
        std::thread::scope(|scope| {
            let run = |&(number, fault)| scope.spawn(move || ((number, fault), crash_at(number, fault)));
            let runs: Vec<_> = some.iter().map(run).collect();
            crashed +=
                runs.into_iter().map(|run| run.join().expect("one end")).filter(|(_, hit)| *hit).count();
        });
    }
    println!("{crashed} crashes at {} points", points.len());
    assert!(crashed > points.len() / 2, "{crashed} of {}", points.len());
}

/// Messages of which some wait on disk, with a partner that has calls and does not answer them.
async fn with_backlog(process: &Process) {
    process.control.set(Mode::Silent, usize::MAX);
    process.admit_all("m", 16, LONG_LIFE).await;
    assert!(process.backlog.on_disk() > 0);
}

#[test]
fn a_client_that_is_gone_before_its_answer_can_hand_its_request_in_again() {
    let site = Site::new();
    site.run(false, async |process| {
        with_backlog(process).await;
        site.disk.fail(site.disk.operations(), Fault::Stall(Duration::from_millis(300)));
        let gone = process.core.admit(process.job("gone", CLASS, LONG_LIFE));
        assert!(tokio::time::timeout(Duration::from_millis(20), gone).await.is_err());
        let again = tokio::time::timeout(PATIENCE, process.admit("gone", LONG_LIFE)).await;
        assert_eq!(again.expect("an answer"), Answer::Taken);
        let copies = site.disk.messages().iter().filter(|message| &*message.id == "gone").count();
        assert_eq!(copies, 1);
    });
    site.finish();
    site.check_ends(|_| false);
}

#[test]
fn a_request_that_was_refused_though_the_store_has_it_is_removed_there() {
    let site = Site::new();
    site.run(false, async |process| {
        with_backlog(process).await;
        // The first is the look for the same id.
        let append = site.disk.operations() + 1;
        site.disk.fail(append, Fault::ErrorAfter);
        site.disk.fail(append + 1, Fault::Error);
        assert_eq!(process.admit("doubt", LONG_LIFE).await, refused(STORE_RETRY).told());
        process.until("certainty", || !process.backlog.is_in_doubt("doubt")).await;
        assert!(site.disk.messages().iter().all(|message| &*message.id != "doubt"));
    });
    site.finish();
    assert_eq!(site.world.lock().expect("whole").deliveries("doubt"), 0);
    site.check_ends(|_| false);
}

#[test]
fn a_fetch_with_a_full_journal_is_put_off() {
    let site = Site::new();
    site.run(false, async |process| {
        with_backlog(process).await;
        process.core.settle(rules(&[CLASS]), 1);
        let waiting = site.disk.messages();
        let lane = waiting[0].place.lane;
        process.core.clone().fetch(process.backlog.clone(), lane, 512).await;
        assert_eq!(site.disk.messages(), waiting);
        process.core.settle(rules(&[CLASS]), JOURNAL_BYTES);
        process.control.set(Mode::Up, usize::MAX);
        process.until("all ends", || process.all_ended()).await;
    });
    site.finish();
    site.check_ends(|_| false);
}
