//! State shared by the partners, the list and the submitters of an experiment: the partners themselves, the
//! listed entries, the rule checker and the record. Free of sockets; whatever runs the experiment passes in
//! the time.
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use crate::experiment::{Event, Experiment};
use crate::message_number;
use crate::model::{At, CallOutcome, Partner, Trouble};
use crate::record::{CallCategory, Record};
use crate::rules::Checker;

/// An endpoint as it appears in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Index among all endpoints.
    pub endpoint: u32,
    pub dest: usize,
    /// Incremented with each replacement.
    pub generation: u32,
    /// Incremented with each move.
    pub moved: u32,
    pub state: State,
    /// Calls per second, if the list contains it.
    pub weight: Option<f64>,
    /// When it last started, if the list contains it and it has restarted.
    pub started: Option<At>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Serving,
    Draining,
    Removed,
}

impl Entry {
    pub fn name(&self) -> String {
        match self.generation {
            0 => format!("n{}", self.endpoint),
            generation => format!("n{}-{generation}", self.endpoint),
        }
    }
}

/// Endpoints have consecutive addresses in 127/8. An endpoint that moves gets an address in another range of
/// the same size.
const FIRST_ADDRESS: u32 = 0x7f10_0001;
const ADDRESSES_PER_MOVE: u32 = 1 << 22;
const MOVE_RANGES: u32 = 3;

/// Returns an endpoint's address.
pub fn address(endpoint: u32, moved: u32, port: u16) -> SocketAddr {
    SocketAddr::from((ip(endpoint, moved), port))
}

/// Returns an endpoint's IP address.
pub fn ip(endpoint: u32, moved: u32) -> Ipv4Addr {
    Ipv4Addr::from(FIRST_ADDRESS + endpoint + ADDRESSES_PER_MOVE * (moved % MOVE_RANGES))
}

/// Returns the index of the endpoint at an address.
pub fn endpoint_at(address: Ipv4Addr) -> Option<u32> {
    Some(u32::from(address).checked_sub(FIRST_ADDRESS)? % ADDRESSES_PER_MOVE)
}

/// A change of the list and the time of its publication.
pub type ListChange = (At, Entry);

/// A submitted message that has not ended yet.
#[derive(Clone, Copy, Debug)]
struct PendingMessage {
    intended: At,
    deadline: At,
}

pub struct World {
    pub checker: Checker,
    pub record: Record,
    /// Created on demand: contains only endpoints that were called or affected by an event.
    partners: HashMap<u32, Partner>,
    /// Entries that differ from their initial state.
    entries: HashMap<u32, Entry>,
    messages: HashMap<u64, PendingMessage>,
    /// Ids that the relay assigned on the push interface, and notices that arrived before the id was known,
    /// with whether the message was returned.
    message_ids: HashMap<String, u64>,
    early_notices: HashMap<String, bool>,
    experiment: Experiment,
    /// Number of destinations listed.
    pub dests: usize,
    seed: u64,
}

impl World {
    pub fn new(experiment: &Experiment, dests: usize, seed: u64) -> Self {
        World {
            checker: Checker::default(),
            record: Record::default(),
            partners: HashMap::new(),
            entries: HashMap::new(),
            messages: HashMap::new(),
            message_ids: HashMap::new(),
            early_notices: HashMap::new(),
            experiment: experiment.clone(),
            dests,
            seed,
        }
    }

    /// Returns the indices of a destination's endpoints.
    pub fn endpoints_of(&self, dest: usize) -> std::ops::Range<u32> {
        let (first, partners) = self.experiment.locate(dest);
        first as u32..(first + partners.endpoints) as u32
    }

    /// Returns the current entry of an endpoint.
    pub fn entry(&self, dest: usize, endpoint: u32) -> Entry {
        let partners = self.experiment.partners_of(dest);
        let weight = self
            .experiment
            .relay
            .weights
            .then(|| partners.nature.advertised_rate() * partners.endpoints as f64);
        let plain =
            Entry { endpoint, dest, generation: 0, moved: 0, state: State::Serving, weight, started: None };
        self.entries.get(&endpoint).cloned().unwrap_or(plain)
    }

    /// Returns the full list.
    pub fn list(&self) -> impl Iterator<Item = Entry> {
        (0..self.dests)
            .flat_map(move |dest| self.endpoints_of(dest).map(move |endpoint| self.entry(dest, endpoint)))
    }

    pub fn partner(&mut self, dest: usize, endpoint: u32) -> &mut Partner {
        let nature = &self.experiment.partners_of(dest).nature;
        let seed = self.seed ^ u64::from(endpoint).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        self.partners.entry(endpoint).or_insert_with(|| Partner::new(nature.clone(), seed))
    }

    /// Applies an event of the experiment and returns the resulting changes of the list.
    pub fn apply_event(
        &mut self,
        now: At,
        event: Event,
        dest: usize,
        seconds: f64,
        unlisted: bool,
    ) -> Vec<ListChange> {
        let until = now + Duration::from_secs_f64(seconds);
        let starts = self.experiment.list.starts;
        let mut changes = Vec::new();
        for endpoint in self.endpoints_of(dest) {
            let mut entry = self.entry(dest, endpoint);
            let removed = Entry { state: State::Removed, ..entry.clone() };
            let partner = self.partner(dest, endpoint);
            match event {
                Event::Trouble(trouble) => {
                    partner.begin_trouble(trouble, until);
                    if trouble == Trouble::Down {
                        partner.start(until);
                    }
                    continue;
                }
                Event::Drain => {
                    let draining = Entry { state: State::Draining, ..entry.clone() };
                    // It continues to serve while it drains, and is down only afterwards.
                    partner.begin_trouble_at(Trouble::Down, until, until + Duration::from_secs(86_400));
                    changes.push((now, draining));
                    changes.push((until, removed));
                    continue;
                }
                Event::Restart => {}
                Event::Replace => entry.generation += 1,
                Event::Move => entry.moved += 1,
            }
            partner.begin_trouble(Trouble::Down, until);
            partner.start(until);
            entry.started = starts.then_some(until);
            self.entries.insert(endpoint, entry.clone());
            if !unlisted {
                changes.push((now, removed));
                changes.push((until, entry));
            }
        }
        changes
    }

    /// Records that a message is submitted, at its scheduled time `intended`.
    pub fn hand_in(&mut self, msg: u64, dest: usize, intended: At, patience: Duration, order: bool) {
        let deadline = intended + patience;
        self.checker.handed_in(msg, dest as u64, deadline, order);
        self.messages.insert(msg, PendingMessage { intended, deadline });
        self.record.second(intended).handed_in += 1;
    }

    /// Records the relay's answer: accepted, refused, or none in time.
    pub fn answer(&mut self, msg: u64, now: At, answer: Option<bool>) {
        let Some(intended) = self.messages.get(&msg).map(|m| m.intended) else { return };
        let second = self.record.second(now);
        match answer {
            Some(true) => second.taken += 1,
            Some(false) => second.refused += 1,
            None => second.unanswered += 1,
        }
        if answer.is_some() {
            self.record.count_answer(now.saturating_sub(intended));
        }
        if answer == Some(true) {
            self.checker.accepted(msg);
            let relay_id =
                self.early_notices.keys().find(|id| self.message_ids.get(*id) == Some(&msg)).cloned();
            if let Some(returned) = relay_id.and_then(|id| self.early_notices.remove(&id)) {
                self.notice(msg, now, returned);
            }
        } else {
            match answer {
                Some(_) => self.checker.refused(msg, now),
                None => self.checker.not_accepted(msg),
            }
            self.messages.remove(&msg);
        }
    }

    /// Handles a call that was received completely and returns its outcome.
    pub fn call(&mut self, msg: u64, dest: usize, endpoint: u32, first: At, now: At) -> CallOutcome {
        self.checker.call_arrived(msg, endpoint, dest as u64, first, now);
        let partner = self.partner(dest, endpoint);
        let outcome = partner.call(now);
        let (capacity, crashes) = (partner.capacity(now), partner.crashes);
        self.checker.crashed(endpoint, crashes, now);
        let category = match outcome {
            CallOutcome::Served(_) => CallCategory::Served,
            CallOutcome::Overloaded(_) => CallCategory::TurnedAway,
            CallOutcome::Failed | CallOutcome::ConnectionLost | CallOutcome::Unanswered => {
                CallCategory::Broken
            }
        };
        self.record.count_call(now, dest, category, capacity);
        outcome
    }

    /// Records the end of a call with the outcome that the caller observed; `None` if the call broke or the
    /// caller gave up first.
    pub fn call_ended(&mut self, msg: u64, dest: usize, now: At, outcome: Option<CallOutcome>) {
        match outcome {
            Some(CallOutcome::Overloaded(wait)) => {
                self.checker.call_ended(msg, false);
                if let Some(wait) = wait {
                    self.checker.wait_requested(dest as u64, now, wait);
                }
            }
            Some(CallOutcome::Served(_)) => {
                self.checker.call_ended(msg, true);
                let message = self.messages.get(&msg).copied();
                if self.checker.delivered(msg)
                    && let Some(message) = message.filter(|m| now <= m.deadline)
                {
                    self.record.count_delivery(now, now.saturating_sub(message.intended));
                }
                self.messages.remove(&msg);
            }
            _ => self.checker.call_ended(msg, true),
        }
    }

    /// Records that the relay ended a message with a notice.
    pub fn notice(&mut self, msg: u64, now: At, returned: bool) {
        self.checker.ended_by_notice(msg, returned, now);
        let second = self.record.second(now);
        if returned {
            second.returned += 1
        } else {
            second.failed += 1
        }
        self.messages.remove(&msg);
    }

    /// Records the id that the relay assigned to a message.
    pub fn assign_id(&mut self, id: &str, msg: u64) {
        self.message_ids.insert(id.to_owned(), msg);
    }

    /// Processes notices, one JSON object per line. Returns false if one is invalid.
    pub fn receive_notices(&mut self, body: &[u8], now: At) -> bool {
        String::from_utf8_lossy(body).lines().filter(|line| !line.trim().is_empty()).all(|line| {
            let Ok(notice) = serde_json::from_str::<serde_json::Value>(line) else { return false };
            let (Some(id), Some(state)) = (notice["id"].as_str(), notice["state"].as_str()) else {
                return false;
            };
            let returned = state == "returned";
            match message_number(id).or_else(|| self.message_ids.remove(id)) {
                Some(msg) => self.notice(msg, now, returned),
                None => drop(self.early_notices.insert(id.to_owned(), returned)),
            }
            returned || state == "failed"
        })
    }

    /// Must be called once per second.
    pub fn tick(&mut self, now: At) {
        self.checker.check_overdue(now);
        let open = self.checker.open() as u32;
        self.record.second(now).open = open;
        let old = now.saturating_sub(Duration::from_secs(60));
        self.messages.retain(|_, m| m.deadline > old);
        self.message_ids.retain(|_, msg| self.messages.contains_key(msg));
    }
}

#[cfg(test)]
mod tests;
