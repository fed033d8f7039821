//! What an experiment's partners, list and submitters share: the partners as they are, who is listed, the checker of
//! the rules and the record. Free of sockets; whatever plays the experiment calls it with the time.
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use crate::experiment::{Event, Experiment};
use crate::message_number;
use crate::model::{At, Fate, Partner, Trouble};
use crate::record::{Called, Record};
use crate::rules::Checker;

/// An endpoint as the list has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The endpoint's place among all.
    pub endpoint: u32,
    pub dest: usize,
    /// New with each replacement.
    pub generation: u32,
    /// New with each move.
    pub moved: u32,
    pub state: State,
    /// Calls a second, if told.
    pub weight: Option<f64>,
    /// When it last started, if that is told and not long ago.
    pub started: Option<At>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Serving,
    Draining,
    Gone,
}

impl Entry {
    pub fn name(&self) -> String {
        match self.generation {
            0 => format!("n{}", self.endpoint),
            generation => format!("n{}-{generation}", self.endpoint),
        }
    }
}

/// Endpoints have addresses in 127/8 in their order; those that move have others, further on.
const FIRST: u32 = 0x7f10_0001;
const MOVED: u32 = 1 << 22;
const MOVES: u32 = 3;

/// An endpoint's address.
pub fn address(endpoint: u32, moved: u32, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(FIRST + endpoint + MOVED * (moved % MOVES)), port))
}

/// The endpoint at an address.
pub fn endpoint_at(address: Ipv4Addr) -> Option<u32> {
    Some(u32::from(address).checked_sub(FIRST)? % MOVED)
}

/// A change of the list, and when it is told.
pub type Told = (At, Entry);

/// A message on its way.
#[derive(Clone, Copy, Debug)]
struct OnItsWay {
    intended: At,
    deadline: At,
}

pub struct World {
    pub checker: Checker,
    pub record: Record,
    /// Only of endpoints that were called or had something happen to them.
    partners: HashMap<u32, Partner>,
    /// Entries that differ from the plain one.
    entries: HashMap<u32, Entry>,
    messages: HashMap<u64, OnItsWay>,
    /// What the second front calls messages, and notices that came before that was heard: whether returned.
    ids: HashMap<String, u64>,
    early: HashMap<String, bool>,
    experiment: Experiment,
    /// Destinations listed.
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
            ids: HashMap::new(),
            early: HashMap::new(),
            experiment: experiment.clone(),
            dests,
            seed,
        }
    }

    /// The endpoints of a destination.
    pub fn endpoints_of(&self, dest: usize) -> std::ops::Range<u32> {
        let (first, partners) = self.experiment.locate(dest);
        first as u32..(first + partners.endpoints) as u32
    }

    /// An endpoint as it would be listed now.
    pub fn entry(&self, dest: usize, endpoint: u32) -> Entry {
        let partners = self.experiment.partners_of(dest);
        let weight =
            self.experiment.relay.weights.then(|| partners.nature.listed() * partners.endpoints as f64);
        let plain =
            Entry { endpoint, dest, generation: 0, moved: 0, state: State::Serving, weight, started: None };
        self.entries.get(&endpoint).cloned().unwrap_or(plain)
    }

    /// The whole list.
    pub fn list(&self) -> impl Iterator<Item = Entry> {
        (0..self.dests)
            .flat_map(move |dest| self.endpoints_of(dest).map(move |endpoint| self.entry(dest, endpoint)))
    }

    pub fn partner(&mut self, dest: usize, endpoint: u32) -> &mut Partner {
        let nature = &self.experiment.partners_of(dest).nature;
        let seed = self.seed ^ u64::from(endpoint).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        self.partners.entry(endpoint).or_insert_with(|| Partner::new(nature.clone(), seed))
    }

    /// Carries out what the file has happen; gives what the list has to tell, and when.
    pub fn apply_event(
        &mut self,
        now: At,
        event: Event,
        dest: usize,
        seconds: f64,
        unlisted: bool,
    ) -> Vec<Told> {
        let until = now + Duration::from_secs_f64(seconds);
        let starts = self.experiment.list.starts;
        let mut told = Vec::new();
        for endpoint in self.endpoints_of(dest) {
            let mut entry = self.entry(dest, endpoint);
            let gone = Entry { state: State::Gone, ..entry.clone() };
            let partner = self.partner(dest, endpoint);
            match event {
                Event::Trouble(trouble) => {
                    partner.begin(trouble, until);
                    if trouble == Trouble::Down {
                        partner.start(until);
                    }
                    continue;
                }
                Event::Drain => {
                    let draining = Entry { state: State::Draining, ..entry.clone() };
                    // It serves on while it drains: its trouble begins at the end.
                    partner.begin_at(Trouble::Down, until, until + Duration::from_secs(86_400));
                    told.push((now, draining));
                    told.push((until, gone));
                    continue;
                }
                Event::Restart => {}
                Event::Replace => entry.generation += 1,
                Event::Move => entry.moved += 1,
            }
            partner.begin(Trouble::Down, until);
            partner.start(until);
            entry.started = starts.then_some(until);
            self.entries.insert(endpoint, entry.clone());
            if !unlisted {
                told.push((now, gone));
                told.push((until, entry));
            }
        }
        told
    }

    /// A message is handed in at `intended`, for a destination.
    pub fn hand_in(&mut self, msg: u64, dest: usize, intended: At, patience: Duration, order: bool) {
        let deadline = intended + patience;
        self.checker.handed_in(msg, dest as u64, deadline, order);
        self.messages.insert(msg, OnItsWay { intended, deadline });
        self.record.second(intended).handed_in += 1;
    }

    /// The relay's answer: taken on, refused, or none in time.
    pub fn answer(&mut self, msg: u64, now: At, answer: Option<bool>) {
        let Some(intended) = self.messages.get(&msg).map(|m| m.intended) else { return };
        let second = self.record.second(now);
        match answer {
            Some(true) => second.taken += 1,
            Some(false) => second.refused += 1,
            None => second.unanswered += 1,
        }
        if answer.is_some() {
            self.record.answered(now.saturating_sub(intended));
        }
        if answer == Some(true) {
            self.checker.taken(msg);
            let name = self.early.keys().find(|id| self.ids.get(*id) == Some(&msg)).cloned();
            if let Some(returned) = name.and_then(|id| self.early.remove(&id)) {
                self.notice(msg, now, returned);
            }
        } else {
            match answer {
                Some(_) => self.checker.refused(msg, now),
                None => self.checker.not_taken(msg),
            }
            self.messages.remove(&msg);
        }
    }

    /// A call has come in whole; gives what becomes of it.
    pub fn call(&mut self, msg: u64, dest: usize, endpoint: u32, first: At, now: At) -> Fate {
        self.checker.called(msg, endpoint, dest as u64, first, now);
        let partner = self.partner(dest, endpoint);
        let fate = partner.call(now);
        let (takes, falls) = (partner.takes(now), partner.falls);
        self.checker.falls(endpoint, falls, now);
        let what = match fate {
            Fate::Served(_) => Called::Served,
            Fate::Full(_) => Called::TurnedAway,
            Fate::Failed | Fate::Lost | Fate::Silent => Called::Broken,
        };
        self.record.called(now, dest, what, takes);
        fate
    }

    /// A call is over, with its fate as far as that came about; `None` if the caller gave up before.
    pub fn call_over(&mut self, msg: u64, dest: usize, now: At, fate: Option<Fate>) {
        match fate {
            Some(Fate::Full(wait)) => {
                self.checker.call_over(msg, false);
                if let Some(wait) = wait {
                    self.checker.told_wait(dest as u64, now, wait);
                }
            }
            Some(Fate::Served(_)) => {
                self.checker.call_over(msg, true);
                let message = self.messages.get(&msg).copied();
                if self.checker.delivered(msg)
                    && let Some(message) = message.filter(|m| now <= m.deadline)
                {
                    self.record.delivered(now, now.saturating_sub(message.intended));
                }
                self.messages.remove(&msg);
            }
            _ => self.checker.call_over(msg, true),
        }
    }

    /// The relay has ended a message by a notice.
    pub fn notice(&mut self, msg: u64, now: At, returned: bool) {
        self.checker.noticed(msg, returned, now);
        let second = self.record.second(now);
        if returned {
            second.returned += 1
        } else {
            second.failed += 1
        }
        self.messages.remove(&msg);
    }

    /// The relay has told what it calls a message.
    pub fn named(&mut self, id: &str, msg: u64) {
        self.ids.insert(id.to_owned(), msg);
    }

    /// Takes notices, a JSON object on a line; false if one cannot be read.
    pub fn report(&mut self, body: &[u8], now: At) -> bool {
        String::from_utf8_lossy(body).lines().filter(|line| !line.trim().is_empty()).all(|line| {
            let Ok(notice) = serde_json::from_str::<serde_json::Value>(line) else { return false };
            let (Some(id), Some(state)) = (notice["id"].as_str(), notice["state"].as_str()) else {
                return false;
            };
            let returned = state == "returned";
            match message_number(id).or_else(|| self.ids.remove(id)) {
                Some(msg) => self.notice(msg, now, returned),
                None => drop(self.early.insert(id.to_owned(), returned)),
            }
            returned || state == "failed"
        })
    }

    /// To be called once a second.
    pub fn tick(&mut self, now: At) {
        self.checker.look(now);
        let open = self.checker.open() as u32;
        self.record.second(now).open = open;
        let old = now.saturating_sub(Duration::from_secs(60));
        self.messages.retain(|_, m| m.deadline > old);
        self.ids.retain(|_, msg| self.messages.contains_key(msg));
    }
}

#[cfg(test)]
mod tests;
