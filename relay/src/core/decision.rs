//! What a submitter is answered. That a message is taken on can only be said with the receipt of what has it.
use std::time::Duration;

use crate::job::Answer;
use crate::journal::TakenOn;

/// What was decided on a new job.
#[derive(Debug)]
pub(super) enum Decision {
    Taken(TakenOn),
    Refused(Refusal),
    /// The process that has taken over has decided.
    ByAnother(Answer),
}

/// Why a job is not taken on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// Handing it in again is harmless, after that time if one is told.
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
    /// What the submitter hears of it.
    pub fn told(&self) -> Answer {
        match self {
            Decision::Taken(_) => Answer::Accepted,
            Decision::Refused(refusal) => (*refusal).into(),
            Decision::ByAnother(answer) => *answer,
        }
    }
}
