//! What hook scripts decide about jobs, and for how long a job waits for that.
use std::time::Duration;
use tokio::time::sleep;

use super::{Core, Transport};
use crate::clock;
use crate::count_guard::CountGuard;
use crate::hook::{HookCall, HookDecision, Moment};
use crate::job::Job;

/// Whether the admission hook lets a new job in.
pub(super) enum HookAdmission {
    Admitted,
    Refused {
        after: Option<Duration>,
    },
    /// The jobs belong to another process now, which asks its own hook.
    HandedOver,
}

impl<C: Transport> Core<C> {
    /// Asks the admission hook, if there is one, about a new job, and applies its time limit and label.
    pub(super) async fn admit_by_hook(&self, job: &mut Job) -> HookAdmission {
        let Some(hooks) = &self.hooks else { return HookAdmission::Admitted };
        // The decision module does not know of the job yet, and it takes memory already.
        let _waiting = CountGuard::new(&self.jobs_in_hooks);
        let decision = hooks.decide(HookCall::new(job, Moment::Admission));
        let Some(decision) = self.await_hook(job, decision).await else { return HookAdmission::HandedOver };
        if decision.refuse {
            return HookAdmission::Refused { after: decision.retry_after };
        }
        job.deadline = decision.time_left.map_or(job.deadline, |left| job.deadline.min(clock::now() + left));
        job.label = decision.label;
        HookAdmission::Admitted
    }

    /// Waits for a hook's decision. There is none if the job's time or the process ends first. Returns `None` once the jobs belong to
    /// another process.
    pub(super) async fn await_hook(
        &self,
        job: &Job,
        decision: impl Future<Output = HookDecision>,
    ) -> Option<HookDecision> {
        tokio::select! {
            biased;
            () = self.handed_over.cancelled() => None,
            decision = decision => Some(decision),
            () = self.no_more_rounds() => Some(HookDecision::default()),
            () = sleep(job.time_left()) => Some(HookDecision::default()),
        }
    }
}
