//! Checker of the delivery rules. It is notified of all events as partners and submitters observe them.
//!
//! It records what was requested of whom and when, and which messages are open. It must depend neither on
//! sockets nor on the relay: whatever runs an experiment reports to it, in order of time.
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use crate::model::At;

/// Calls that arrive within this time after the start of a requested wait were already in flight.
const WAIT_GRACE: Duration = Duration::from_millis(100);
/// Time after a drain is published until which new calls may still reach the node.
pub const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// Time by which data on one connection may overtake data on another.
const REORDER_SLACK: Duration = Duration::from_millis(50);
/// Time after its deadline until which the end of a message may arrive at the submitters.
const END_SLACK: Duration = Duration::from_millis(350);

/// The rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// A message has at most one claim in flight.
    TwoOut,
    /// A message that may run only once is not sent again after it may have run.
    Repeated,
    /// No calls are made during a wait that a destination has requested.
    InWait,
    /// No new calls are made to a draining node.
    Draining,
    /// No partner crashes from calls that it receives while cold.
    PushedOver,
    /// A message is sent only to its own destination.
    Astray,
    /// Each accepted message ends.
    Lost,
    /// Each accepted message ends only once.
    EndedTwice,
    /// No call is made for a message after its end or its refusal was reported.
    AfterEnd,
    /// A message that may run only once is not handed back after it may have run.
    HandedBack,
}

/// A violation of a rule.
#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    pub rule: Rule,
    pub at_s: f64,
    pub what: String,
}

#[derive(Default)]
struct Message {
    dest: u64,
    /// Time until which it may be delivered.
    deadline: At,
    /// It may run only once.
    once: bool,
    accepted: bool,
    ended: bool,
    delivered: bool,
    /// How a notice ended it: returned (true) or failed (false).
    returned: Option<bool>,
    /// When its end or its refusal was first reported.
    end_reported: Option<At>,
    may_have_run: bool,
    in_flight: u32,
    /// Its end is not overdue before this time, because its relay is restarting.
    not_overdue_before: At,
}

/// A call that reached a node while the list service had published the node as draining or removed.
#[derive(Clone, Copy, Debug, Serialize, PartialEq)]
pub struct DrainedCall {
    pub msg: u64,
    pub node: u32,
    /// When the list service published the drain.
    pub drained: At,
    /// When the first byte of the call arrived.
    pub first: At,
}

/// Checks the rules during an experiment.
#[derive(Default)]
pub struct Checker {
    /// Calls to draining nodes are collected instead of being reported as breaches. They are evaluated
    /// elsewhere, with the knowledge of when each relay was notified.
    collect_drained_calls: bool,
    drained_calls: Vec<DrainedCall>,
    messages: HashMap<u64, Message>,
    /// Start and end of the requested waits, by destination.
    waits: HashMap<u64, (At, At)>,
    /// When each draining node was published as such.
    drains: HashMap<u32, At>,
    crashes: HashMap<u32, u32>,
    breaches: Vec<Breach>,
    counts: BTreeMap<Rule, usize>,
}

/// Number of breaches that are stored; further ones are only counted.
const MAX_REPORTED_BREACHES: usize = 100;

impl Checker {
    fn record_breach(&mut self, rule: Rule, at: At, what: String) {
        *self.counts.entry(rule).or_default() += 1;
        if self.breaches.len() < MAX_REPORTED_BREACHES {
            self.breaches.push(Breach { rule, at_s: at.as_secs_f64(), what });
        }
    }

    /// Collects calls to draining nodes for a separate evaluation, instead of assuming that every relay is
    /// notified of a drain at once.
    pub fn keep_drained_calls(&mut self) {
        self.collect_drained_calls = true;
    }

    /// Returns the collected calls to draining nodes.
    pub fn drained_calls(&self) -> &[DrainedCall] {
        &self.drained_calls
    }

    /// A message is submitted.
    pub fn handed_in(&mut self, msg: u64, dest: u64, deadline: At, once: bool) {
        self.messages.insert(msg, Message { dest, deadline, once, ..Message::default() });
    }

    /// The relay has accepted the message.
    pub fn accepted(&mut self, msg: u64) {
        self.messages.entry(msg).or_default().accepted = true;
    }

    /// The relay has rejected the message, or its answer was lost: the message need not end.
    pub fn not_accepted(&mut self, msg: u64) {
        if let Some(message) = self.messages.get_mut(&msg).filter(|m| !m.accepted) {
            message.ended = true;
        }
    }

    /// The relay has refused the message: it has ended, and no call may be made for it.
    pub fn refused(&mut self, msg: u64, now: At) {
        self.not_accepted(msg);
        if let Some(message) = self.messages.get_mut(&msg).filter(|m| !m.accepted) {
            message.end_reported.get_or_insert(now);
        }
    }

    /// Stops tracking a message, so that none of its rules applies, because the relay that had accepted it has lost its state.
    pub fn exempt(&mut self, msg: u64) {
        self.messages.remove(&msg);
    }

    /// A call was received completely at a node of a destination; its first byte arrived at `first`.
    pub fn call_arrived(&mut self, msg: u64, node: u32, dest: u64, first: At, now: At) {
        if let Some((from, until)) = self.waits.get(&dest).copied()
            && now > from + WAIT_GRACE
            && now < until
        {
            self.record_breach(Rule::InWait, now, format!("message {msg} at destination {dest}"));
        }
        if let Some(drained) =
            self.drains.get(&node).copied().filter(|drained| first > *drained + DRAIN_GRACE)
        {
            if self.collect_drained_calls {
                self.drained_calls.push(DrainedCall { msg, node, drained, first });
            } else {
                self.record_breach(Rule::Draining, now, format!("message {msg} at node {node}"));
            }
        }
        let Some(message) = self.messages.get_mut(&msg) else { return };
        let after_end =
            message.end_reported.and_then(|end_reported| first.checked_sub(end_reported + REORDER_SLACK));
        let found = [
            (message.dest != dest, Rule::Astray),
            (message.in_flight > 0, Rule::TwoOut),
            (message.once && message.may_have_run, Rule::Repeated),
            (after_end.is_some_and(|time| !time.is_zero()), Rule::AfterEnd),
        ];
        message.in_flight += 1;
        for (_, rule) in found.into_iter().filter(|(broken, _)| *broken) {
            self.record_breach(rule, now, format!("message {msg} at node {node}"));
        }
    }

    /// A call was answered, or its connection ended. `may_have_run` says whether it may have run.
    pub fn call_ended(&mut self, msg: u64, may_have_run: bool) {
        if let Some(message) = self.messages.get_mut(&msg) {
            message.in_flight = message.in_flight.saturating_sub(1);
            message.may_have_run |= may_have_run;
        }
    }

    /// A call was answered as delivered. Returns false if the message was already delivered.
    pub fn delivered(&mut self, msg: u64) -> bool {
        let Some(message) = self.messages.get_mut(&msg) else { return false };
        message.ended = true;
        !std::mem::replace(&mut message.delivered, true)
    }

    /// A node has requested a wait for its destination.
    pub fn wait_requested(&mut self, dest: u64, now: At, wait: Duration) {
        let until = now + wait;
        let entry = self.waits.entry(dest).or_insert((now, until));
        if until > entry.1 || now >= entry.1 {
            // A longer wait extends the current one, and keeps its start.
            *entry = (if now < entry.1 { entry.0 } else { now }, until);
        }
    }

    /// A node starts to drain at the given time, or serves again.
    pub fn drain(&mut self, node: u32, since: Option<At>) {
        match since {
            Some(at) => drop(self.drains.insert(node, at)),
            None => drop(self.drains.remove(&node)),
        }
    }

    /// Updates the number of crashes of a node; an increase is a breach.
    pub fn crashed(&mut self, node: u32, crashes: u32, now: At) {
        let known = self.crashes.entry(node).or_default();
        if crashes > *known {
            *known = crashes;
            self.record_breach(Rule::PushedOver, now, format!("node {node}"));
        }
    }

    /// Defers the time from which the end of a message is overdue. Used from the end of its relay's process
    /// until some time after the relay serves again.
    pub fn defer_end(&mut self, msg: u64, until: At) {
        if let Some(message) = self.messages.get_mut(&msg) {
            message.not_overdue_before = until;
        }
    }

    /// A notice has ended a message. Notices for a delivered message are permitted, as are repeated ones:
    /// the answer to the first may have been lost on a broken link.
    pub fn ended_by_notice(&mut self, msg: u64, returned: bool, now: At) {
        let Some(message) = self.messages.get_mut(&msg) else { return };
        let again = message.returned.is_some_and(|before| before == returned);
        let twice = message.ended && !message.delivered && message.accepted && !again;
        let may_have_run = message.may_have_run || message.in_flight > 0;
        let handed_back = returned && message.once && may_have_run;
        (message.ended, message.returned) = (true, Some(returned));
        message.end_reported.get_or_insert(now);
        if twice {
            self.record_breach(Rule::EndedTwice, now, format!("message {msg}"));
        }
        if handed_back {
            self.record_breach(Rule::HandedBack, now, format!("message {msg}"));
        }
    }

    /// Reports messages whose end is overdue, and removes those that have ended.
    pub fn check_overdue(&mut self, now: At) {
        let overdue: Vec<u64> = self
            .messages
            .iter()
            .filter(|(_, m)| {
                m.accepted && !m.ended && now > (m.deadline + END_SLACK).max(m.not_overdue_before)
            })
            .map(|(id, _)| *id)
            .collect();
        for msg in overdue {
            self.messages.get_mut(&msg).expect("collected above").ended = true;
            self.record_breach(Rule::Lost, now, format!("message {msg}"));
        }
        let kept = END_SLACK + Duration::from_secs(5);
        self.messages.retain(|_, m| !m.ended || m.in_flight > 0 || now < m.deadline + kept);
    }

    /// Number of messages that were accepted and have not ended.
    pub fn open(&self) -> usize {
        self.messages.values().filter(|m| m.accepted && !m.ended).count()
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

    /// Returns the numbers of the messages that are stored. For tests.
    pub fn known(&self) -> HashSet<u64> {
        self.messages.keys().copied().collect()
    }
}

#[cfg(test)]
mod tests;
