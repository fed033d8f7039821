//! The basic types: jobs, answers to submitters, outcomes of claims, and notices.
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use slatethread::Nanos;
use std::time::{Duration, SystemTime};

use crate::clock;

/// A message from a submitter: the fields that the core reads, and those that it passes through unchanged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    pub id: String,
    pub class: String,
    /// The id of the destination.
    pub dest: u64,
    pub deadline: SystemTime,
    /// Whether the submitter marked it as a retry.
    pub retry: bool,
    /// Whether a relay that had accepted it before has crashed.
    pub reconnect: bool,
    /// A label set by a hook, for the log.
    pub label: Option<String>,
    /// Name-value pairs that only the front reads; the core passes them through unchanged.
    pub fields: Vec<(String, Bytes)>,
    pub body: Bytes,
}

/// The answer to a submitter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The relay is now responsible for the job until it ends.
    Accepted,
    /// Submitting the job again is harmless, after the given time if there is one.
    Refused {
        after: Option<Duration>,
    },
    Failed,
}

/// How one claim ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    Delivered,
    /// The node rejected the message permanently, with this status.
    Rejected(u16),
    /// The message is no longer wanted: the job ends without a notice.
    Over,
    /// The claim was not sent, or the node reports that it did not count.
    NotSent,
    /// The node refused the claim because it is at its limit; `wait` is how long it asked callers to wait.
    Full {
        wait: Option<Duration>,
    },
    Error,
    TimedOut,
    Reset,
    Unconnected,
    Cancelled,
    /// The claim was not sent because of a fault of this machine, which says nothing about the node.
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

    /// How long the node asked callers to wait.
    pub fn requested_wait(self) -> Option<Duration> {
        match self {
            Outcome::Full { wait } => wait,
            _ => None,
        }
    }

    /// The same outcome, this much later: less is left of a requested wait.
    pub fn after(self, elapsed: Duration) -> Outcome {
        match self {
            Outcome::Full { wait: Some(wait) } => Outcome::Full { wait: Some(wait.saturating_sub(elapsed)) },
            outcome => outcome,
        }
    }

    pub fn for_module(self) -> slatethread::Outcome {
        use slatethread::Outcome as To;
        match self {
            // The node served the call; a permanent rejection concerns the message, not the node's health.
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

/// Reports the end of a job that was accepted and not delivered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    pub id: String,
    pub end: NoticeEnd,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NoticeEnd {
    /// The job failed; `status` is set if a node rejected it.
    Failed { status: Option<u16> },
    /// A requeue notice: submitting the job again is harmless, after the given time if there is one.
    Returned { after: Option<Duration> },
    /// A later job replaced it before it was delivered.
    Replaced,
}

impl Job {
    /// The value of a field, if the job has it.
    pub fn field(&self, name: &str) -> Option<&[u8]> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_ref())
    }

    /// Time until the deadline; zero once it has passed.
    pub fn time_left(&self) -> Duration {
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

/// Converts a duration to the decision module's nanoseconds, saturating.
pub fn nanos(span: Duration) -> Nanos {
    span.as_nanos().min(u128::from(u64::MAX)) as u64
}

/// Upper bound on the waits that nodes and hooks request.
const MAX_WAIT: Duration = Duration::from_secs(24 * 3600);

/// Limits a requested wait to `MAX_WAIT`, since a huge value would overflow the clock.
pub fn cap_wait(wait: Duration) -> Duration {
    wait.min(MAX_WAIT)
}

/// Parses a wait in seconds, with or without decimals; `None` if it is not a positive number.
pub fn parse_wait_seconds(text: &str) -> Option<Duration> {
    let seconds: f64 = text.trim().parse().ok().filter(|s: &f64| *s > 0.0)?;
    Some(cap_wait(Duration::try_from_secs_f64(seconds).unwrap_or(MAX_WAIT)))
}
