//! Whether the rules are kept: a checker that is told all that happens, as partners and submitters see it.
//!
//! Owns what was told to whom and when, and what is open. It may know neither sockets nor the relay: whatever plays
//! an experiment reports to it, in the order of time.
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use crate::model::At;

/// Calls that arrive so soon after a told wait began were on their way.
const ON_THE_WAY: Duration = Duration::from_millis(100);
/// Nothing new goes to a draining node so long after that was told.
pub const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// What is told over one connection may overtake what was sent over another by so much.
const OVERTAKES: Duration = Duration::from_millis(50);
/// Ends may come so long after a deadline, measured where submitters are.
const END_SLACK: Duration = Duration::from_millis(350);

/// What a rule says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Never two claims out for one message.
    TwoOut,
    /// What may have run and may not be repeated is never sent again.
    Repeated,
    /// Nothing in a told wait.
    InWait,
    /// Nothing new to a draining node.
    Draining,
    /// A cold partner is not pushed over.
    PushedOver,
    /// A message goes to its own destination only.
    Astray,
    /// Each message taken is ended.
    Lost,
    /// ... and once.
    EndedTwice,
    /// Nothing is sent of a message whose end or refusal was told.
    AfterEnd,
}

/// A rule that was broken.
#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    pub rule: Rule,
    pub at_s: f64,
    pub what: String,
}

#[derive(Default)]
struct Message {
    dest: u64,
    /// Until when it may be delivered.
    deadline: At,
    /// It may run once only.
    once: bool,
    taken: bool,
    ended: bool,
    delivered: bool,
    /// How a notice ended it: returned, or failed.
    returned: Option<bool>,
    /// When its end, or its refusal, was first told.
    over: Option<At>,
    may_have_run: bool,
    out: u32,
    /// No end of it is overdue before that: its relay is being restarted.
    not_overdue_before: At,
}

/// A call that reached a node while the node was draining or gone, by the list service's word.
#[derive(Clone, Copy, Debug, Serialize, PartialEq)]
pub struct DrainedCall {
    pub msg: u64,
    pub node: u32,
    /// When the list service told the drain.
    pub drained: At,
    /// When the call's first byte came.
    pub first: At,
}

/// Watches an experiment.
#[derive(Default)]
pub struct Checker {
    /// Calls to draining nodes are kept for a judge that knows what each relay was told, and are no breaches here.
    drains_judged_elsewhere: bool,
    drained_calls: Vec<DrainedCall>,
    messages: HashMap<u64, Message>,
    /// Begin and end of the waits told, by destination.
    waits: HashMap<u64, (At, At)>,
    /// When nodes were told to drain.
    drains: HashMap<u32, At>,
    falls: HashMap<u32, u32>,
    breaches: Vec<Breach>,
    counts: BTreeMap<Rule, usize>,
}

/// Breaches told one by one; further ones are only counted.
const TOLD: usize = 100;

impl Checker {
    fn broken(&mut self, rule: Rule, at: At, what: String) {
        *self.counts.entry(rule).or_default() += 1;
        if self.breaches.len() < TOLD {
            self.breaches.push(Breach { rule, at_s: at.as_secs_f64(), what });
        }
    }

    /// Keeps calls to draining nodes for another judge, in place of holding each drain to have been heard by all at once.
    pub fn keep_drained_calls(&mut self) {
        self.drains_judged_elsewhere = true;
    }

    /// Those that were kept.
    pub fn drained_calls(&self) -> &[DrainedCall] {
        &self.drained_calls
    }

    /// A message is handed in.
    pub fn handed_in(&mut self, msg: u64, dest: u64, deadline: At, once: bool) {
        self.messages.insert(msg, Message { dest, deadline, once, ..Message::default() });
    }

    /// The relay has taken it on.
    pub fn taken(&mut self, msg: u64) {
        self.messages.entry(msg).or_default().taken = true;
    }

    /// The relay has turned it away, or nobody heard its answer: nothing is owed.
    pub fn not_taken(&mut self, msg: u64) {
        if let Some(message) = self.messages.get_mut(&msg).filter(|m| !m.taken) {
            message.ended = true;
        }
    }

    /// The relay has refused it: it is over, and nothing of it may be sent.
    pub fn refused(&mut self, msg: u64, now: At) {
        self.not_taken(msg);
        if let Some(message) = self.messages.get_mut(&msg).filter(|m| !m.taken) {
            message.over.get_or_insert(now);
        }
    }

    /// Nothing is owed for a message any more, whatever becomes of it: who held it has lost its memory.
    pub fn exempt(&mut self, msg: u64) {
        self.messages.remove(&msg);
    }

    /// A call has come in whole at a node of a destination; its first byte came at `first`.
    pub fn called(&mut self, msg: u64, node: u32, dest: u64, first: At, now: At) {
        if let Some((from, until)) = self.waits.get(&dest).copied()
            && now > from + ON_THE_WAY
            && now < until
        {
            self.broken(Rule::InWait, now, format!("message {msg} at destination {dest}"));
        }
        if let Some(drained) =
            self.drains.get(&node).copied().filter(|drained| first > *drained + DRAIN_GRACE)
        {
            if self.drains_judged_elsewhere {
                self.drained_calls.push(DrainedCall { msg, node, drained, first });
            } else {
                self.broken(Rule::Draining, now, format!("message {msg} at node {node}"));
            }
        }
        let Some(message) = self.messages.get_mut(&msg) else { return };
        let late = message.over.and_then(|over| first.checked_sub(over + OVERTAKES));
        let found = [
            (message.dest != dest, Rule::Astray),
            (message.out > 0, Rule::TwoOut),
            (message.once && message.may_have_run, Rule::Repeated),
            (late.is_some_and(|late| !late.is_zero()), Rule::AfterEnd),
        ];
        message.out += 1;
        for (_, rule) in found.into_iter().filter(|(broken, _)| *broken) {
            self.broken(rule, now, format!("message {msg} at node {node}"));
        }
    }

    /// A call is over: answered, or its connection has ended. `ran` says whether it may have run.
    pub fn call_over(&mut self, msg: u64, ran: bool) {
        if let Some(message) = self.messages.get_mut(&msg) {
            message.out = message.out.saturating_sub(1);
            message.may_have_run |= ran;
        }
    }

    /// A call was answered as delivered.
    pub fn delivered(&mut self, msg: u64) -> bool {
        let Some(message) = self.messages.get_mut(&msg) else { return false };
        message.ended = true;
        !std::mem::replace(&mut message.delivered, true)
    }

    /// A node told its destination's wait.
    pub fn told_wait(&mut self, dest: u64, now: At, wait: Duration) {
        let until = now + wait;
        let entry = self.waits.entry(dest).or_insert((now, until));
        if until > entry.1 || now >= entry.1 {
            // A longer wait goes on from the first word of it.
            *entry = (if now < entry.1 { entry.0 } else { now }, until);
        }
    }

    /// A node is told to drain, or to serve again.
    pub fn drain(&mut self, node: u32, told: Option<At>) {
        match told {
            Some(at) => drop(self.drains.insert(node, at)),
            None => drop(self.drains.remove(&node)),
        }
    }

    /// A node has fallen over so often by now.
    pub fn falls(&mut self, node: u32, falls: u32, now: At) {
        let known = self.falls.entry(node).or_default();
        if falls > *known {
            *known = falls;
            self.broken(Rule::PushedOver, now, format!("node {node}"));
        }
    }

    /// No end of a message is overdue before a time: from the end of its relay's process until a while after it serves again.
    pub fn defer_end(&mut self, msg: u64, until: At) {
        if let Some(message) = self.messages.get_mut(&msg) {
            message.not_overdue_before = until;
        }
    }

    /// A notice ends a message; one for a message that was delivered does no harm, nor does the same one again: its answer may have been
    /// lost on a link that was cut.
    pub fn noticed(&mut self, msg: u64, returned: bool, now: At) {
        let Some(message) = self.messages.get_mut(&msg) else { return };
        let again = message.returned.is_some_and(|before| before == returned);
        let twice = message.ended && !message.delivered && message.taken && !again;
        (message.ended, message.returned) = (true, Some(returned));
        message.over.get_or_insert(now);
        if twice {
            self.broken(Rule::EndedTwice, now, format!("message {msg}"));
        }
    }

    /// Looks for messages whose end is overdue, and forgets those that are over.
    pub fn look(&mut self, now: At) {
        let overdue: Vec<u64> = self
            .messages
            .iter()
            .filter(|(_, m)| m.taken && !m.ended && now > (m.deadline + END_SLACK).max(m.not_overdue_before))
            .map(|(id, _)| *id)
            .collect();
        for msg in overdue {
            self.messages.get_mut(&msg).expect("just found").ended = true;
            self.broken(Rule::Lost, now, format!("message {msg}"));
        }
        let kept = END_SLACK + Duration::from_secs(5);
        self.messages.retain(|_, m| !m.ended || m.out > 0 || now < m.deadline + kept);
    }

    /// Messages taken and not ended.
    pub fn open(&self) -> usize {
        self.messages.values().filter(|m| m.taken && !m.ended).count()
    }

    pub fn counts(&self) -> &BTreeMap<Rule, usize> {
        &self.counts
    }

    pub fn total(&self) -> usize {
        self.counts.values().sum()
    }

    pub fn breaches(&self) -> &[Breach] {
        &self.breaches
    }

    /// The messages known, for tests.
    pub fn known(&self) -> HashSet<u64> {
        self.messages.keys().copied().collect()
    }
}

#[cfg(test)]
mod tests;
