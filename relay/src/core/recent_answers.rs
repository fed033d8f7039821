//! Answers to recent requests by their ids, so that a request that comes again gets the answer of the first one and is not run twice.
//!
//! Bounded in time, number and bytes. Accepted requests and others are kept apart: a client that is refused under ever new ids takes
//! nothing from the memory of those that ran.
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::job::Answer;
use crate::journal::{ENDED_ID_TTL, MAX_ENDED_IDS};

/// Most memory that the ids of either kind take, in bytes.
const MAX_BYTES: usize = 512 * 1024;
/// What an entry takes beside its id, in bytes: its places in the map and in the queue.
const ENTRY_BYTES: usize = 96;

/// Recent answers, by id.
#[derive(Default)]
pub(super) struct RecentAnswers {
    accepted: AnswerLog,
    /// Refused or failed: nothing was run.
    rejected: AnswerLog,
}

impl RecentAnswers {
    /// Keeps the answer that a request just got, or, if it was accepted, whose job just ended.
    pub fn add(&mut self, id: &str, answer: Answer) {
        self.add_at(Instant::now(), id, answer);
    }

    /// Keeps an accepted request whose job ended so long ago.
    pub fn add_ended(&mut self, id: &str, age: Duration) {
        if let Some(ended) = Instant::now().checked_sub(age) {
            self.add_at(ended, id, Answer::Accepted);
        }
    }

    fn add_at(&mut self, at: Instant, id: &str, answer: Answer) {
        match answer {
            Answer::Accepted => self.accepted.add(at, id, answer),
            Answer::Refused { .. } | Answer::Failed => self.rejected.add(at, id, answer),
        }
    }

    pub fn answer(&mut self, id: &str) -> Option<Answer> {
        self.accepted.answer(id).or_else(|| self.rejected.answer(id))
    }

    /// All answers that are still kept, oldest first.
    pub fn all(&mut self) -> Vec<(String, Answer)> {
        self.accepted.all().chain(self.rejected.all()).collect()
    }
}

/// Answers in the order of their times.
#[derive(Default)]
struct AnswerLog {
    answers: HashMap<Rc<str>, Answer>,
    order: VecDeque<(Instant, Rc<str>)>,
    bytes: usize,
}

impl AnswerLog {
    /// An id that is kept already keeps its first time.
    fn add(&mut self, at: Instant, id: &str, answer: Answer) {
        let id = Rc::<str>::from(id);
        if self.answers.insert(id.clone(), answer).is_none() {
            self.bytes += entry_bytes(&id);
            self.order.push_back((at, id));
        }
        self.drop_old();
    }

    fn answer(&mut self, id: &str) -> Option<Answer> {
        self.drop_old();
        self.answers.get(id).copied()
    }

    fn all(&mut self) -> impl Iterator<Item = (String, Answer)> {
        self.drop_old();
        self.order.iter().filter_map(|(_, id)| Some((id.to_string(), *self.answers.get(id)?)))
    }

    fn drop_old(&mut self) {
        while self.bytes > MAX_BYTES || self.order.len() > MAX_ENDED_IDS || self.oldest_is_past() {
            let Some((_, id)) = self.order.pop_front() else { return };
            self.answers.remove(&id);
            self.bytes -= entry_bytes(&id);
        }
    }

    fn oldest_is_past(&self) -> bool {
        self.order.front().is_some_and(|(at, _)| at.elapsed() > ENDED_ID_TTL)
    }
}

fn entry_bytes(id: &str) -> usize {
    id.len() + ENTRY_BYTES
}

#[cfg(test)]
mod tests;
