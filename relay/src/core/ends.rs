//! The ends of jobs: recorded, then told, then forgotten.
use std::time::{Duration, Instant};
use tokio::time::sleep;

use super::life::Course;
use super::{Core, Transport};
use crate::job::{Answer, Job, Notice, NoticeEnd};
use crate::journal::{Key, SettledEnd};
use crate::metrics::MessageResult;

/// Shortest and longest time between two tries to tell an end.
const NOTICE_FIRST_PAUSE: Duration = Duration::from_millis(50);
const NOTICE_PAUSE: Duration = Duration::from_secs(2);
/// Pause between two tries whether the journal can be written again.
const JOURNAL_PAUSE: Duration = Duration::from_millis(20);

impl<C: Transport> Core<C> {
    /// Tells the end of a job, if it has one to tell, and forgets it.
    pub(super) async fn finish(&self, job: &Job, course: &Course, notice: Option<Notice>) {
        if let Some(notice) = notice {
            let Some(end) = self.settle_end(job, course.key(), notice).await else { return };
            self.count_end(job, end.notice());
            if !self.tell_end(job, &end).await {
                return;
            }
        }
        if !self.is_handed() {
            self.forget(job, course, Some(Answer::Accepted));
        }
    }

    /// Records an end. While that cannot be done it is tried again, until the job's time is over: then it has failed, whatever was
    /// decided on it, since that is what a later process would come to. None if the job is another process's meanwhile.
    async fn settle_end(&self, job: &Job, key: Key, notice: Notice) -> Option<SettledEnd> {
        loop {
            if self.is_handed() {
                return None;
            }
            let error = match self.journal.borrow_mut().ending(key, &notice) {
                Ok(end) => return Some(end),
                Err(error) => error,
            };
            let left = job.left();
            tracing::debug!(id = job.id, ?left, %error, end = ?notice.end, "journal cannot record an end; it is not told yet");
            if left.is_zero() {
                return Some(self.journal.borrow_mut().out_of_time(key, job));
            }
            tokio::select! {
                () = self.journal_health.works() => {}
                () = sleep(left) => {}
                () = self.handed.cancelled() => {}
            }
        }
    }

    fn count_end(&self, job: &Job, notice: &Notice) {
        self.count(|tally| match notice.end {
            NoticeEnd::Failed { .. } => tally.failed += 1,
            NoticeEnd::Returned { .. } => tally.returned += 1,
            NoticeEnd::Replaced => tally.replaced += 1,
        });
        let failed = matches!(notice.end, NoticeEnd::Failed { .. });
        self.figures.ended(&job.class, if failed { MessageResult::Failed } else { MessageResult::Refused });
        let label = job.label.as_deref().unwrap_or("");
        tracing::debug!(id = job.id, dest = job.dest, end = ?notice.end, label, "ended undelivered");
    }

    /// Tells an end until it is heard. False if whoever has the journal by then tells it.
    async fn tell_end(&self, job: &Job, end: &SettledEnd) -> bool {
        let begun = Instant::now();
        let mut pause = NOTICE_FIRST_PAUSE;
        while let Err(e) = self.transport.notify(end).await {
            // Its room in the journal is kept: should nobody listen for long, new jobs are refused.
            if pause == NOTICE_FIRST_PAUSE {
                tracing::warn!(id = job.id, error = e, "an end could not be told; trying on");
            }
            tokio::select! {
                () = sleep(pause) => {}
                () = self.handed.cancelled() => return false,
            }
            pause = (pause * 2).min(NOTICE_PAUSE);
        }
        tracing::debug!(id = job.id, after = ?begun.elapsed(), "an end was heard");
        true
    }

    /// Nothing more is owed for a job; its id may have been `told` an answer that goes on to hold.
    pub(super) fn forget(&self, job: &Job, course: &Course, told: Option<Answer>) {
        if let Err(error) = self.journal.borrow_mut().end(course.key()) {
            tracing::debug!(id = job.id, %error, "journal cannot record yet that nothing more is owed");
        }
        self.decided(&job.id, told);
    }

    /// The latest claim of a job never ran.
    pub(super) fn record_never_ran(&self, key: Key, id: &str) {
        if let Err(error) = self.journal.borrow_mut().never_ran(key) {
            tracing::debug!(id, %error, "journal cannot record yet that a claim never ran");
        }
    }

    /// Tries a journal that cannot be written until it can. Has no end.
    pub async fn retry_journal(&self) {
        loop {
            self.journal_health.failed().await;
            // What waits for a place is not sent before that.
            self.wake.notify_one();
            while self.journal_health.is_failing() && !self.is_handed() {
                sleep(JOURNAL_PAUSE).await;
                let _ = self.journal.borrow_mut().retry();
            }
            if self.is_handed() {
                return;
            }
            self.wake.notify_one();
        }
    }

    /// An id is no longer open.
    pub(super) fn decided(&self, id: &str, told: Option<Answer>) {
        let mut state = self.state.borrow_mut();
        state.ids.remove(id);
        told.into_iter().for_each(|told| state.recent.add(id, told));
        self.decisions.notify_waiters();
    }
}
