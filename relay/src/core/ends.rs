//! The ends of jobs: each is recorded in the journal, then reported by a notice, then released.
use std::io;
use std::time::{Duration, Instant};
use tokio::time::sleep;

use super::job_task::JobProgress;
use super::{Core, Transport};
use crate::job::{Answer, Job, Notice, NoticeEnd};
use crate::journal::{FinalNotice, Key};
use crate::metrics::MessageResult;

/// Shortest and longest delay between two attempts to deliver a notice.
const NOTICE_MIN_DELAY: Duration = Duration::from_millis(50);
const NOTICE_MAX_DELAY: Duration = Duration::from_secs(2);
/// Delay between two attempts to write a failing journal.
const JOURNAL_RETRY_DELAY: Duration = Duration::from_millis(20);

impl<C: Transport> Core<C> {
    /// Records and delivers the notice of a job's end, if it has one, and releases the job.
    pub(super) async fn finish(&self, job: &Job, progress: &JobProgress, notice: Option<Notice>) {
        if let Some(notice) = notice {
            let Some(end) = self.record_end(job, progress.key(), notice).await else { return };
            self.count_end(job, progress, end.notice());
            if !self.deliver_notice(job, &end).await {
                return;
            }
        }
        if !self.is_handed_over() {
            self.release_job(job, progress);
        }
    }

    /// Records an end, retrying until the job's deadline. After the deadline the job counts as failed, whatever was
    /// decided before, since a later process that finds no record comes to the same result. `None` if another process
    /// has taken over meanwhile.
    async fn record_end(&self, job: &Job, key: Key, notice: Notice) -> Option<FinalNotice> {
        loop {
            if self.is_handed_over() {
                return None;
            }
            let error = match self.journal.borrow_mut().record_notice(key, &notice) {
                Ok(end) => return Some(end),
                Err(error) => error,
            };
            let left = job.time_left();
            tracing::debug!(
                id = job.id,
                ?left,
                %error,
                end = ?notice.end,
                "journal cannot record the end of a job; its notice is delayed"
            );
            if left.is_zero() {
                return Some(self.journal.borrow_mut().expire_job(key, job));
            }
            tokio::select! {
                () = self.journal_health.wait_for_recovery() => {}
                () = sleep(left) => {}
                () = self.handed_over.cancelled() => {}
            }
        }
    }

    fn count_end(&self, job: &Job, progress: &JobProgress, notice: &Notice) {
        self.count(|tally| match notice.end {
            NoticeEnd::Failed { .. } => tally.failed += 1,
            NoticeEnd::Returned { .. } => tally.returned += 1,
            NoticeEnd::Replaced => tally.replaced += 1,
        });
        let failed = matches!(notice.end, NoticeEnd::Failed { .. });
        if !progress.counted_as_delivered() {
            let result = if failed { MessageResult::Failed } else { MessageResult::Refused };
            self.metrics.message_ended(&job.class, result);
        }
        let label = job.label.as_deref().unwrap_or("");
        tracing::debug!(id = job.id, dest = job.dest, end = ?notice.end, label, "job ended undelivered");
    }

    /// Delivers a notice, retrying until it is received. False if another process has taken over, which delivers it.
    async fn deliver_notice(&self, job: &Job, end: &FinalNotice) -> bool {
        let started = Instant::now();
        let mut delay = NOTICE_MIN_DELAY;
        while let Err(e) = self.transport.notify(end).await {
            // Its records stay in the journal meanwhile. During a long outage of the receiver the journal fills up, and
            // new jobs are refused.
            if delay == NOTICE_MIN_DELAY {
                tracing::warn!(id = job.id, error = e, "could not deliver a notice; retrying");
            }
            tokio::select! {
                () = sleep(delay) => {}
                () = self.handed_over.cancelled() => return false,
            }
            delay = (delay * 2).min(NOTICE_MAX_DELAY);
        }
        tracing::debug!(id = job.id, after = ?started.elapsed(), "notice delivered");
        true
    }

    /// Releases a job that has ended. Its id is kept for a while, also for a later process: a copy of the request is answered as accepted.
    fn release_job(&self, job: &Job, progress: &JobProgress) {
        let removed = self.journal.borrow_mut().remove_ended_job(progress.key(), &job.id);
        self.log_unrecorded_release(job, removed);
        self.close_id(&job.id, Some(Answer::Accepted));
    }

    /// Releases a job whose submitter was not answered: it may be submitted again.
    pub(super) fn release_unanswered_job(&self, job: &Job, progress: &JobProgress) {
        let removed = self.journal.borrow_mut().remove_job(progress.key());
        self.log_unrecorded_release(job, removed);
        self.close_id(&job.id, None);
    }

    fn log_unrecorded_release(&self, job: &Job, removed: io::Result<()>) {
        if let Err(error) = removed {
            tracing::debug!(id = job.id, %error, "journal cannot record the release of a job yet");
        }
    }

    /// Records that the latest claim of a job never ran.
    pub(super) fn record_never_ran(&self, key: Key, id: &str) {
        if let Err(error) = self.journal.borrow_mut().record_never_ran(key) {
            tracing::debug!(id, %error, "journal cannot record yet that a claim never ran");
        }
    }

    /// Retries the journal whenever it cannot be written. Returns only once another process has taken over.
    pub async fn retry_journal(&self) {
        loop {
            self.journal_health.wait_for_failure().await;
            // The next round pauses all claims: none may be sent before it is recorded.
            self.wake.notify_one();
            while self.journal_health.is_failing() && !self.is_handed_over() {
                sleep(JOURNAL_RETRY_DELAY).await;
                let _ = self.journal.borrow_mut().retry();
            }
            if self.is_handed_over() {
                return;
            }
            self.wake.notify_one();
        }
    }

    /// Closes an id and wakes up resubmissions of it that wait for its decision.
    pub(super) fn close_id(&self, id: &str, answer: Option<Answer>) {
        let mut state = self.state.borrow_mut();
        state.ids.remove(id);
        answer.into_iter().for_each(|answer| state.recent.add(id, answer));
        self.decisions.notify_waiters();
    }
}
