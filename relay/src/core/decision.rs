//! The decision on a new job. Accepting one requires the receipt of the journal or backlog that has stored it.
use std::time::Duration;

use crate::job::Answer;
use crate::journal::Acceptance;

/// The decision on a new job.
#[derive(Debug)]
pub(super) enum Decision {
    Accepted(Acceptance),
    Refused(Refusal),
    /// Decided by the process that has taken over.
    FromSuccessor(Answer),
}

/// Why a job is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// Submitting it again is harmless, after the given time if there is one.
    Refused {
        after: Option<Duration>,
    },
    Failed,
}

impl From<Refusal> for Answer {
    fn from(refusal: Refusal) -> Answer {
        match refusal {
            Refusal::Refused { after } => Answer::Refused { after },
            Refusal::Failed => Answer::Failed,
        }
    }
}

impl Decision {
    /// The answer to the submitter.
    pub fn answer(&self) -> Answer {
        match self {
            Decision::Accepted(_) => Answer::Accepted,
            Decision::Refused(refusal) => (*refusal).into(),
            Decision::FromSuccessor(answer) => *answer,
        }
    }
}
