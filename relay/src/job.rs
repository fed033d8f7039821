//! What a job, a claim's outcome and a notice are.
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use slatethread::Nanos;
use std::time::{Duration, SystemTime};

use crate::clock;

/// A message that a submitter hands in: what the core reads of it, and what passes through unread.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    pub id: String,
    pub class: String,
    /// Which destination.
    pub dest: u64,
    pub deadline: SystemTime,
    /// The submitter marked it as another try.
    pub retry: bool,
    /// A relay that had it has died.
    pub reconnect: bool,
    /// What a plug-in calls it, for the log.
    pub label: Option<String>,
    /// What passes through unchanged and only the front reads.
    pub fields: Vec<(String, Bytes)>,
    pub body: Bytes,
}

/// The answer to a submitter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// From now on the relay owes the job its end.
    Taken,
    /// Handing it in again is harmless, after that time if one is told.
    Refused {
        after: Option<Duration>,
    },
    Failed,
}

/// How one claim ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    Delivered,
    /// Answered for good that it cannot be delivered, with the status that said so.
    Rejected(u16),
    /// The message is over; nothing more is owed for it.
    Over,
    /// Not sent: it never reached the node, or the node says that it did not count.
    NotSent,
    Full {
        wait: Option<Duration>,
    },
    Error,
    TimedOut,
    Reset,
    Unconnected,
    Cancelled,
    /// Not sent, by a fault of this machine: it never reached the node, which is not to blame.
    LocalFault,
}

impl Outcome {
    pub fn never_ran(self) -> bool {
        use Outcome::*;
        matches!(self, Over | NotSent | Full { .. } | Unconnected | LocalFault)
    }

    pub fn ends_job(self) -> bool {
        matches!(self, Outcome::Delivered | Outcome::Over | Outcome::Rejected(_))
    }

    pub fn for_module(self) -> slatethread::Outcome {
        use slatethread::Outcome as To;
        match self {
            // The node served the call; that nobody can deliver the message is no fault of the node's.
            Outcome::Delivered | Outcome::Rejected(_) => To::Ok,
            Outcome::Over | Outcome::NotSent => To::NotSent,
            Outcome::Full { wait } => To::Overloaded { retry_after: wait.map(nanos) },
            Outcome::Error => To::Error,
            Outcome::TimedOut => To::Timeout,
            Outcome::Reset => To::Reset,
            Outcome::Unconnected => To::ConnectFailed,
            Outcome::Cancelled => To::Cancelled,
            Outcome::LocalFault => To::LocalFault,
        }
    }
}

/// The end of a job that was taken on and not delivered, as it is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    pub id: String,
    pub end: NoticeEnd,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NoticeEnd {
    /// Given up; with the status by which a node rejected it, if one did.
    Failed { status: Option<u16> },
    /// A requeue notice: handing the job in again is harmless, after that time if one is told.
    Returned { after: Option<Duration> },
    /// A later job took its place before it was delivered.
    Replaced,
}

impl Job {
    /// The value of a field, if it has that.
    pub fn field(&self, name: &str) -> Option<&[u8]> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_ref())
    }

    pub fn left(&self) -> Duration {
        self.deadline.duration_since(clock::now()).unwrap_or_default()
    }

    pub fn failed(&self, status: Option<u16>) -> Notice {
        Notice { id: self.id.clone(), end: NoticeEnd::Failed { status } }
    }

    pub fn replaced(&self) -> Notice {
        Notice { id: self.id.clone(), end: NoticeEnd::Replaced }
    }

    pub fn returned(&self, after: Option<Duration>) -> Notice {
        Notice { id: self.id.clone(), end: NoticeEnd::Returned { after } }
    }
}

/// A span as the module has it.
pub fn nanos(span: Duration) -> Nanos {
    span.as_nanos().min(u128::from(u64::MAX)) as u64
}

/// Longest wait that is believed.
const LONGEST_WAIT: Duration = Duration::from_secs(24 * 3600);

/// A told wait, as it is kept to. Guards against figures past the end of the clock.
pub fn told_wait(wait: Duration) -> Duration {
    wait.min(LONGEST_WAIT)
}

/// A wait told in seconds, with or without decimals.
pub fn told_seconds(text: &str) -> Option<Duration> {
    let seconds: f64 = text.trim().parse().ok().filter(|s: &f64| *s > 0.0)?;
    Some(told_wait(Duration::try_from_secs_f64(seconds).unwrap_or(LONGEST_WAIT)))
}
