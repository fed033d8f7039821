//! The threads that run hook scripts. A thread cannot be ended from outside: one whose call does not return is counted until it does,
//! and no other takes its place.
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

use super::schedule::{Partner, Schedule, Skipped};
use super::script::HookProgram;
use super::{HookCall, HookDecision};
use crate::metrics::HookMetrics;

/// Stack of a thread: room for the deepest recursion that a script is allowed, also in a build that is not optimized.
const STACK_BYTES: usize = 8 * 1024 * 1024;

/// What became of a call that ran.
#[derive(Debug, PartialEq)]
pub enum Reply {
    Decision(HookDecision),
    /// The script failed, for this reason.
    Failed(String),
    /// It ran over its time, and its decision is discarded.
    OverTime,
}

/// A call that waits for a thread. Dropping it tells its job that it is not run.
struct Waiting {
    call: HookCall,
    reply: oneshot::Sender<Reply>,
}

/// The threads, and the calls that wait for them. Dropping it ends the threads that are idle.
pub struct ThreadPool {
    shared: Arc<Shared>,
}

struct Shared {
    schedule: Mutex<State>,
    changed: Condvar,
    program: Arc<dyn HookProgram>,
    metrics: HookMetrics,
    start: Instant,
}

struct State {
    schedule: Schedule<Waiting>,
    ended: bool,
}

impl ThreadPool {
    /// Starts the threads; fewer if the system has none left. Without any, no call is run.
    pub fn start(
        threads: usize,
        program: Arc<dyn HookProgram>,
        time_limit: Duration,
        metrics: HookMetrics,
    ) -> ThreadPool {
        let schedule = Schedule::new(threads, time_limit);
        let shared = Arc::new(Shared {
            schedule: Mutex::new(State { schedule, ended: false }),
            changed: Condvar::new(),
            program,
            metrics,
            start: Instant::now(),
        });
        let started = (0..threads).take_while(|thread| spawn(&shared, *thread)).count();
        if started < threads {
            shared.lock().schedule = Schedule::new(started, time_limit);
        }
        ThreadPool { shared }
    }

    /// Queues a call. Its reply comes once it has run; the sender is dropped if it is not run after all.
    ///
    /// # Errors
    /// It is not run.
    pub fn submit(&self, call: HookCall) -> Result<oneshot::Receiver<Reply>, Skipped> {
        let (reply, receiver) = oneshot::channel();
        let partner = call.dest;
        let now = self.shared.now();
        self.shared.lock().schedule.add(now, partner, Waiting { call, reply })?;
        self.shared.changed.notify_one();
        Ok(receiver)
    }

    /// Suspends a partner whose call is still running over its time. Returns whether there is such a call.
    pub fn suspend_if_overdue(&self, partner: Partner) -> bool {
        let now = self.shared.now();
        let mut state = self.shared.lock();
        let overdue = state.schedule.is_overdue(now, partner);
        if overdue {
            drop(state.schedule.suspend(now, partner));
        }
        self.shared.metrics.set_threads_over_time(state.schedule.overdue_threads(now));
        overdue
    }
}

impl Drop for ThreadPool {
    fn drop(&mut self) {
        self.shared.lock().ended = true;
        self.shared.changed.notify_all();
    }
}

impl Shared {
    /// Time since the start, as the schedule counts it.
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // Nothing that may panic runs under the lock.
        self.schedule.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Waits for the next call of a thread; `None` once the pool has ended.
    fn next(&self, thread: usize) -> Option<Waiting> {
        let mut state = self.lock();
        loop {
            if state.ended {
                return None;
            }
            if let Some(waiting) = state.schedule.begin(self.now(), thread) {
                return Some(waiting);
            }
            state = self.changed.wait(state).unwrap_or_else(|poisoned| poisoned.into_inner());
        }
    }

    /// Notes that a thread's call has ended. Returns whether it ran over its time.
    fn end(&self, thread: usize) -> bool {
        let now = self.now();
        let mut state = self.lock();
        let over_time = state.schedule.end(now, thread);
        self.metrics.set_threads_over_time(state.schedule.overdue_threads(now));
        drop(state);
        // The partner's next call may run now, on any thread.
        self.changed.notify_one();
        over_time
    }
}

/// Starts a thread. Returns false, and logs it, if there is none.
fn spawn(shared: &Arc<Shared>, thread: usize) -> bool {
    let shared = shared.clone();
    let builder = std::thread::Builder::new().name(format!("hook-{thread}")).stack_size(STACK_BYTES);
    let spawned = builder.spawn(move || run_calls(&shared, thread));
    spawned.inspect_err(|error| tracing::error!(%error, "a thread for scripts could not be started")).is_ok()
}

fn run_calls(shared: &Shared, thread: usize) {
    while let Some(Waiting { call, reply }) = shared.next(thread) {
        let started = Instant::now();
        // Nobody waits for a call whose job has gone on.
        let result = (!reply.is_closed()).then(|| run(&*shared.program, &call));
        let over_time = shared.end(thread);
        let Some(result) = result else { continue };
        shared.metrics.observe(started.elapsed());
        // Fails if the job has gone on meanwhile: a late decision is discarded.
        let _ = reply.send(match result {
            _ if over_time => Reply::OverTime,
            Ok(decision) => Reply::Decision(decision),
            Err(fault) => Reply::Failed(fault),
        });
    }
}

fn run(program: &dyn HookProgram, call: &HookCall) -> Result<HookDecision, String> {
    // The program is not changed by a call, so that it can be used again after a panic.
    catch_unwind(AssertUnwindSafe(|| program.run(call))).unwrap_or_else(|_| Err("the script panicked".into()))
}
