//! Decides which call of a hook runs next: a state machine without threads or clocks.
//!
//! Each partner has a queue of its own. The queues take turns, and of one partner at most one call runs at a time, so that a partner whose
//! calls are slow takes one thread and no more. A partner with a call that ran over its time is not served for a while.
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

/// How long the script is not asked for a partner after a call for it ran over its time.
pub const SUSPENSION: Duration = Duration::from_secs(10);
/// Most calls that wait, over all partners, and for one of them.
const MAX_WAITING: usize = 256;
const MAX_WAITING_PER_PARTNER: usize = 64;

/// Number of a destination.
pub type Partner = u64;

/// Why a call is not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Skipped {
    /// A call for the same partner ran over its time a short while ago.
    Suspended,
    /// Too many calls wait.
    Busy,
    /// All threads run calls that are over their time.
    NoThread,
}

impl Skipped {
    pub const ALL: [Skipped; 3] = [Skipped::Suspended, Skipped::Busy, Skipped::NoThread];

    /// The label in figures.
    pub fn label(self) -> &'static str {
        match self {
            Skipped::Suspended => "suspended",
            Skipped::Busy => "busy",
            Skipped::NoThread => "no-thread",
        }
    }
}

/// A call that runs.
#[derive(Clone, Copy, Debug)]
struct Running {
    partner: Partner,
    since: Duration,
}

/// The waiting and running calls; `T` is what a call carries. Times are since the start of the process.
pub struct Schedule<T> {
    time_limit: Duration,
    waiting: HashMap<Partner, VecDeque<T>>,
    waiting_count: usize,
    /// Partners with waiting calls, the next first.
    turns: VecDeque<Partner>,
    /// By thread.
    running: Vec<Option<Running>>,
    suspended_until: BTreeMap<Partner, Duration>,
}

impl<T> Schedule<T> {
    pub fn new(threads: usize, time_limit: Duration) -> Self {
        Schedule {
            time_limit,
            waiting: HashMap::new(),
            waiting_count: 0,
            turns: VecDeque::new(),
            running: vec![None; threads],
            suspended_until: BTreeMap::new(),
        }
    }

    /// Adds a call.
    ///
    /// # Errors
    /// It is not to be run, and the job proceeds at once.
    pub fn add(&mut self, now: Duration, partner: Partner, call: T) -> Result<(), Skipped> {
        self.suspended_until.retain(|_, until| *until > now);
        if self.suspended_until.contains_key(&partner) {
            return Err(Skipped::Suspended);
        }
        if self.overdue_threads(now) == self.running.len() {
            return Err(Skipped::NoThread);
        }
        let queue = self.waiting.entry(partner).or_default();
        if self.waiting_count >= MAX_WAITING || queue.len() >= MAX_WAITING_PER_PARTNER {
            if queue.is_empty() {
                self.waiting.remove(&partner);
            }
            return Err(Skipped::Busy);
        }
        if queue.is_empty() {
            self.turns.push_back(partner);
        }
        queue.push_back(call);
        self.waiting_count += 1;
        Ok(())
    }

    /// Takes the next call for a thread that is idle.
    pub fn begin(&mut self, now: Duration, thread: usize) -> Option<T> {
        let runs =
            |partner: &Partner| self.running.iter().flatten().any(|running| running.partner == *partner);
        let place = self.turns.iter().position(|partner| !runs(partner))?;
        let partner = self.turns.remove(place)?;
        let queue = self.waiting.get_mut(&partner)?;
        let call = queue.pop_front();
        match queue.is_empty() {
            true => _ = self.waiting.remove(&partner),
            false => self.turns.push_back(partner),
        }
        self.waiting_count -= 1;
        self.running[thread] = Some(Running { partner, since: now });
        call
    }

    /// A thread's call has ended. Returns whether it took longer than its time.
    pub fn end(&mut self, now: Duration, thread: usize) -> bool {
        let Some(running) = self.running[thread].take() else { return false };
        let over_time = now.saturating_sub(running.since) >= self.time_limit;
        if over_time {
            self.suspend(now, running.partner);
        }
        over_time
    }

    /// Suspends a partner whose call is still running over its time. Returns its waiting calls, which are not run.
    pub fn suspend(&mut self, now: Duration, partner: Partner) -> Vec<T> {
        self.suspended_until.insert(partner, now + SUSPENSION);
        self.turns.retain(|other| *other != partner);
        let dropped: Vec<T> = self.waiting.remove(&partner).into_iter().flatten().collect();
        self.waiting_count -= dropped.len();
        dropped
    }

    /// Whether the partner's running call is over its time.
    pub fn is_overdue(&self, now: Duration, partner: Partner) -> bool {
        self.running
            .iter()
            .flatten()
            .any(|running| running.partner == partner && self.is_over_time(now, running))
    }

    /// How many threads run a call that is over its time.
    pub fn overdue_threads(&self, now: Duration) -> usize {
        self.running.iter().flatten().filter(|running| self.is_over_time(now, running)).count()
    }

    fn is_over_time(&self, now: Duration, running: &Running) -> bool {
        now.saturating_sub(running.since) >= self.time_limit
    }
}

#[cfg(test)]
mod tests;
