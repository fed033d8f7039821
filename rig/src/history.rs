//! What was seen of a fleet from outside, in the order of time: by the stand-ins, and in what the processes logged. Knows nothing of
//! how it came about.
use onyxglade_lab::discovery::{ListAnswer, ListCall};
use onyxglade_lab::rules::{Breach, DrainedCall};
use serde::Serialize;
use std::collections::BTreeSet;
use std::time::Duration;

/// Time since the first process was started.
pub type At = Duration;

/// Something that one relay did or that was done to it.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Event {
    pub at: At,
    pub relay: usize,
    pub what: What,
}

#[derive(Clone, Debug, Serialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    Started,
    /// It says that it can serve.
    Ready,
    /// It says that it holds a list, of such a generation.
    Listed(u64),
    /// It says that it sees another relay, or no longer.
    Sees(usize),
    Misses(usize),
    /// It was ended, stopped or set going by the schedule.
    Ended,
    Stopped,
    GoesOn,
    /// It was told to read its configuration anew.
    Reloaded,
    /// It has ended by itself, with such a code.
    Crashed(Option<i32>),
    /// Its process is gone, whatever ended it.
    Gone,
}

/// A request on a connection of its own that ended without an answer.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Unanswered {
    pub relay: usize,
    pub msg: u64,
    /// How the connection ended.
    pub why: String,
    pub connected: At,
    pub ended: At,
}

/// All of it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct History {
    pub relays: usize,
    /// What they knew of the list when they first started.
    pub known: bool,
    /// They talk to one another.
    pub instances: bool,
    pub events: Vec<Event>,
    pub list_calls: Vec<ListCall>,
    /// Answers that the list service wrote.
    pub list_answers: Vec<ListAnswer>,
    /// Spans in which the list service could not be reached by anybody.
    pub outages: Vec<(At, At)>,
    /// Longest that a relay may go without asking for the list, by the settings.
    pub must_ask_in: Duration,
    /// Calls to draining endpoints, and whose they were; kept only where relays learn the list each by itself.
    pub drained_calls: Vec<(usize, DrainedCall)>,
    /// Changes that the list service told of: generations, and when.
    pub told: Vec<(u64, At)>,
    /// When the list service lost its memory, and how far it had counted then.
    pub forgot: Vec<(At, u64)>,
    /// What the list service's time went into.
    pub answering: Duration,
    pub throwing: Duration,
    /// Most connections opened at one endpoint in a second, those that it takes (0 is any number), and those refused.
    pub opens_most: u32,
    pub opens_taken: u32,
    pub opens_refused: u32,
    /// All that were opened, at all endpoints.
    pub opens_all: u32,
    /// The relay's rules, over all processes together.
    pub breaches: Vec<Breach>,
    pub rules_broken: usize,
    pub handed_in: u32,
    pub delivered: u32,
    /// Requests that got no answer.
    pub unanswered: Vec<Unanswered>,
}

impl History {
    /// When the last relay was first ready.
    pub fn up(&self) -> Option<At> {
        let first =
            |relay| self.events.iter().find(|e| e.relay == relay && e.what == What::Ready).map(|e| e.at);
        (0..self.relays).map(first).collect::<Option<Vec<_>>>()?.into_iter().max()
    }

    /// Which relays run at the end.
    pub fn running(&self) -> Vec<bool> {
        let mut running = vec![false; self.relays];
        for event in &self.events {
            match event.what {
                What::Started => running[event.relay] = true,
                What::Ended | What::Crashed(_) => running[event.relay] = false,
                _ => {}
            }
        }
        running
    }

    /// Whom each relay sees at the end.
    pub fn views(&self) -> Vec<BTreeSet<usize>> {
        let mut views = vec![BTreeSet::new(); self.relays];
        for event in &self.events {
            let view = &mut views[event.relay];
            match event.what {
                What::Started => view.clear(),
                What::Sees(other) => drop(view.insert(other)),
                What::Misses(other) => drop(view.remove(&other)),
                _ => {}
            }
        }
        views
    }

    /// From the last thing that was done to a process until the last view changed.
    pub fn views_agree(&self) -> At {
        let last = |of: fn(&What) -> bool| self.events.iter().filter(|e| of(&e.what)).map(|e| e.at).max();
        let done = last(|w| matches!(w, What::Started | What::Ended | What::GoesOn)).unwrap_or_default();
        let changed = last(|w| matches!(w, What::Sees(_) | What::Misses(_))).unwrap_or_default();
        changed.saturating_sub(done)
    }

    /// How long each change took to be heard, by each relay that held a list when it was told and ran on: the time until it said that
    /// it holds that list or a later one; none where it never did.
    pub fn heard(&self) -> Vec<Option<At>> {
        let mut heard = Vec::new();
        for (generation, told) in &self.told {
            for relay in 0..self.relays {
                let mine = || self.events.iter().filter(|e| e.relay == relay);
                let over = |what: &What| matches!(what, What::Started | What::Ended | What::Crashed(_));
                let after = || mine().filter(|e| e.at >= *told);
                let held = mine().rev().filter(|e| e.at < *told);
                let held = held.map(|e| &e.what).find(|what| over(what) || matches!(what, What::Listed(_)));
                if !matches!(held, Some(What::Listed(_))) {
                    continue;
                }
                let first =
                    after().find(|e| over(&e.what) || matches!(e.what, What::Listed(g) if g >= *generation));
                match first {
                    Some(Event { what: What::Listed(_), at, .. }) => heard.push(Some(*at - *told)),
                    // It ended before: that is not its failing.
                    Some(_) => {}
                    None => heard.push(None),
                }
            }
        }
        heard.sort_unstable_by_key(|at| at.unwrap_or(At::MAX));
        heard
    }

    /// When each relay that runs at the end came to hold a list in its present life; none if it does not.
    pub fn listed(&self) -> Vec<Option<At>> {
        let mut listed = vec![None; self.relays];
        for event in &self.events {
            let here = &mut listed[event.relay];
            match event.what {
                What::Started => *here = self.known.then_some(event.at),
                What::Listed(_) => *here = here.or(Some(event.at)),
                _ => {}
            }
        }
        listed
    }
}
