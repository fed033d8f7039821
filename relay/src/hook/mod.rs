//! Hook scripts in Rhai: one hook is called at admission, and one after each outcome that does not end the job.
//!
//! A script may refuse a job, shorten its deadline and label it. It cannot send, extend or repeat a job: it returns a
//! [`HookDecision`], which the core applies within its own rules. A script runs with fixed resource limits, has no access
//! to files or the network, and keeps no state between calls.
//!
//! A script is foreign code: a step of it may be a library call of any length. So it runs on threads of its own, and a job waits for a
//! decision for a bounded time. If there is none by then, or the script fails, the job proceeds without it. [`script`] runs a call,
//! [`schedule`] decides which one is next, [`threads`] has the threads.
mod schedule;
mod script;
mod threads;

use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

use crate::config::HookTable;
use crate::job::{Job, Outcome};
use crate::metrics::{HookMetrics, HookResult};
use schedule::{Partner, SUSPENSION, Skipped};
pub use script::Script;
use threads::{Reply, ThreadPool};

/// How many threads run scripts. Of one partner at most one call runs at a time, so that several partners have to be slow at once to
/// take all of them.
const THREADS: usize = 4;
/// How often the time limit of a call a job waits for its decision: once for a thread, and once for the call.
const WAIT_FACTOR: u32 = 2;

/// The decision of a script about a job.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HookDecision {
    pub refuse: bool,
    /// With a refusal: the time after which the submitter may retry.
    pub retry_after: Option<Duration>,
    /// Upper bound of the time that the job has from now on.
    pub time_left: Option<Duration>,
    pub label: Option<String>,
}

/// A call of a hook: what the script is told of the job, and when.
#[derive(Clone, Debug)]
pub struct HookCall {
    pub id: String,
    pub class: String,
    pub dest: u64,
    /// Size of the body in bytes.
    pub size: usize,
    pub time_left: Duration,
    pub label: String,
    pub moment: Moment,
}

/// When a hook is called.
#[derive(Clone, Debug)]
pub enum Moment {
    /// Before the decision module sees a new job.
    Admission,
    /// After an outcome that does not end the job.
    Outcome { outcome: Outcome, tries: u32, node: String },
}

impl HookCall {
    pub fn new(job: &Job, moment: Moment) -> HookCall {
        HookCall {
            id: job.id.clone(),
            class: job.class.to_string(),
            dest: job.dest,
            size: job.body.len(),
            time_left: job.time_left(),
            label: job.label.clone().unwrap_or_default(),
            moment,
        }
    }

    fn hook(&self) -> &'static str {
        match self.moment {
            Moment::Admission => "admit",
            Moment::Outcome { .. } => "outcome",
        }
    }
}

/// The script of a process, which all fronts share.
pub struct Hooks {
    threads: ThreadPool,
    time_limit: Duration,
    metrics: HookMetrics,
}

impl Hooks {
    /// Starts the threads that run a script.
    pub fn start(script: Script, table: &HookTable, metrics: HookMetrics) -> Hooks {
        Hooks::with_program(Arc::new(script), table.time_limit(), metrics)
    }

    fn with_program(
        program: Arc<dyn script::HookProgram>,
        time_limit: Duration,
        metrics: HookMetrics,
    ) -> Hooks {
        let threads = ThreadPool::start(THREADS, program, time_limit, metrics.clone());
        Hooks { threads, time_limit, metrics }
    }

    /// Calls a hook. The decision is empty if there is none within twice the time limit of a call.
    pub async fn decide(&self, call: HookCall) -> HookDecision {
        let (id, hook, partner) = (call.id.clone(), call.hook(), call.dest);
        let reply = match self.threads.submit(call) {
            Ok(reply) => reply,
            Err(skipped) => return self.skip(&id, partner, skipped),
        };
        match timeout(self.time_limit * WAIT_FACTOR, reply).await {
            Ok(Ok(Reply::Decision(decision))) => {
                self.metrics.count(HookResult::Decided);
                decision
            }
            Ok(Ok(Reply::Failed(fault))) => {
                self.metrics.count(HookResult::Failed);
                tracing::warn!(id, hook, fault, "script failed; the job proceeds without its decision");
                HookDecision::default()
            }
            Ok(Ok(Reply::OverTime)) => self.over_time(&id, hook, partner),
            // The call was dropped since another one for the same partner ran over its time.
            Ok(Err(_)) => self.skip(&id, partner, Skipped::Suspended),
            Err(_) if self.threads.suspend_if_overdue(partner) => self.over_time(&id, hook, partner),
            Err(_) => self.skip(&id, partner, Skipped::Busy),
        }
    }

    fn over_time(&self, id: &str, hook: &str, partner: Partner) -> HookDecision {
        self.metrics.count(HookResult::OverTime);
        tracing::warn!(
            id,
            hook,
            dest = partner,
            limit = ?self.time_limit,
            suspended_for = ?SUSPENSION,
            "script ran over its time; its partner's jobs proceed without decisions for a while"
        );
        HookDecision::default()
    }

    fn skip(&self, id: &str, partner: Partner, why: Skipped) -> HookDecision {
        self.metrics.count(HookResult::Skipped(why.label()));
        tracing::debug!(id, dest = partner, why = why.label(), "script not asked; the job proceeds");
        HookDecision::default()
    }
}

/// The labels of skipped calls in figures.
pub fn skip_labels() -> impl Iterator<Item = &'static str> {
    Skipped::ALL.into_iter().map(Skipped::label)
}

#[cfg(test)]
mod tests;
