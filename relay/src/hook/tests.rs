use super::script::HookProgram;
use super::*;
use crate::metrics::{GaugeValues, Metrics};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Mutex, MutexGuard};

/// Where a call does not return the test waits for it; a call that returns takes far less, also on a busy machine.
const LIMIT: Duration = Duration::from_millis(400);
/// Where every call returns.
const NO_LIMIT: Duration = Duration::from_secs(60);

/// What the double of a script does, by partner.
const STUCK: u64 = 1;
const PANICS: u64 = 2;
const FAILS: u64 = 3;
const REFUSES: u64 = 4;

/// A program whose calls for some partners do not return until they are released.
struct Double {
    begun: SyncSender<u64>,
    release: Mutex<Receiver<()>>,
}

impl HookProgram for Double {
    fn run(&self, call: &HookCall) -> Result<HookDecision, String> {
        match call.dest {
            PANICS => panic!("as a native function may"),
            FAILS => Err("no".into()),
            REFUSES => Ok(HookDecision { refuse: true, ..HookDecision::default() }),
            _ => {
                self.begun.send(call.dest).expect("the test waits");
                let release: MutexGuard<_> = self.release.lock().unwrap_or_else(|p| p.into_inner());
                let _ = release.recv();
                Ok(HookDecision { refuse: true, ..HookDecision::default() })
            }
        }
    }
}

struct Site {
    hooks: Hooks,
    metrics: std::rc::Rc<Metrics>,
    begun: Receiver<u64>,
    release: SyncSender<()>,
}

fn site(time_limit: Duration) -> Site {
    let (begun, begun_receiver) = sync_channel(100);
    let (release, release_receiver) = sync_channel(100);
    let program = Double { begun, release: Mutex::new(release_receiver) };
    let metrics = Metrics::new(&[]);
    let hooks = Hooks::with_program(Arc::new(program), time_limit, HookMetrics::register(&metrics));
    Site { hooks, metrics, begun: begun_receiver, release }
}

impl Site {
    async fn decide(&self, partner: u64) -> HookDecision {
        let call = HookCall {
            id: "j".into(),
            class: "order".into(),
            dest: partner,
            size: 0,
            time_left: Duration::from_secs(9),
            label: String::new(),
            moment: Moment::Admission,
        };
        self.hooks.decide(call).await
    }

    /// The value of a series of the hooks' figures.
    fn figure(&self, series: &str) -> f64 {
        let text = self.metrics.render(GaugeValues::default());
        let line = text.lines().find_map(|line| line.strip_prefix(&format!("edge_balancer_hook_{series} ")));
        line.expect("a series").parse().expect("a number")
    }
}

#[tokio::test]
async fn a_call_that_does_not_return_holds_up_no_other_partner_and_its_late_decision_is_discarded() {
    let site = site(LIMIT);
    assert_eq!(site.decide(STUCK).await, HookDecision::default());
    assert_eq!(site.begun.try_recv(), Ok(STUCK));
    assert_eq!(site.figure("threads_over_time"), 1.0);
    for _ in 0..3 {
        assert!(site.decide(REFUSES).await.refuse, "others are asked");
        assert_eq!(site.decide(STUCK).await, HookDecision::default());
    }
    assert!(site.begun.try_recv().is_err(), "it is not asked again for a while");
    assert_eq!(site.figure("calls_total{result=\"over-time\"}"), 1.0);
    assert_eq!(site.figure("calls_total{result=\"suspended\"}"), 3.0);
    site.release.send(()).expect("it waits");
    while site.figure("threads_over_time") > 0.0 {
        tokio::task::yield_now().await;
    }
    assert!(site.decide(REFUSES).await.refuse);
}

#[tokio::test]
async fn with_all_threads_stuck_jobs_proceed_at_once() {
    let site = site(LIMIT);
    let stuck = (0..THREADS as u64).map(|partner| site.decide(100 + partner));
    for decision in futures_util::future::join_all(stuck).await {
        assert_eq!(decision, HookDecision::default());
    }
    assert_eq!(site.figure("threads_over_time"), THREADS as f64);
    assert_eq!(site.decide(REFUSES).await, HookDecision::default());
    assert_eq!(site.figure("calls_total{result=\"no-thread\"}"), 1.0);
    (0..THREADS).for_each(|_| site.release.send(()).expect("they wait"));
    while site.figure("threads_over_time") > 0.0 {
        tokio::task::yield_now().await;
    }
    assert!(site.decide(REFUSES).await.refuse, "threads that returned are used again");
}

#[tokio::test]
async fn a_panic_or_a_failure_ends_neither_the_thread_nor_the_job() {
    let site = site(NO_LIMIT);
    for _ in 0..2 * THREADS {
        assert_eq!(site.decide(PANICS).await, HookDecision::default());
        assert_eq!(site.decide(FAILS).await, HookDecision::default());
    }
    assert!(site.decide(REFUSES).await.refuse);
    assert_eq!(site.figure("calls_total{result=\"failed\"}"), 4.0 * THREADS as f64);
    assert_eq!(site.figure("call_seconds_count"), 4.0 * THREADS as f64 + 1.0);
}

#[tokio::test]
async fn dropping_the_hooks_waits_for_no_call() {
    let Site { hooks, begun, release, .. } = site(LIMIT);
    let call = HookCall {
        id: "j".into(),
        class: "order".into(),
        dest: STUCK,
        size: 0,
        time_left: Duration::from_secs(9),
        label: String::new(),
        moment: Moment::Admission,
    };
    assert_eq!(hooks.decide(call).await, HookDecision::default());
    drop(hooks);
    assert_eq!(begun.recv(), Ok(STUCK), "its call still runs");
    release.send(()).expect("it still waits");
}
