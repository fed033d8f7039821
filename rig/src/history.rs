//! What was seen of a fleet from outside, in the order of time: by the stand-ins, and in what the processes logged. Knows nothing of
//! how it came about.
use onyxglade_lab::discovery::ListCall;
use onyxglade_lab::rules::Breach;
use serde::Serialize;
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
    /// It was ended, stopped or set going by the schedule.
    Ended,
    Stopped,
    GoesOn,
    /// It has ended by itself, with such a code.
    Crashed(Option<i32>),
}

/// All of it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct History {
    pub relays: usize,
    /// What they knew of the list when they first started.
    pub known: bool,
    pub events: Vec<Event>,
    pub list_calls: Vec<ListCall>,
    /// What the list service's time went into.
    pub answering: Duration,
    pub throwing: Duration,
    /// Most connections opened at one endpoint in a second, those that it takes (0 is any number), and those refused.
    pub opens_most: u32,
    pub opens_taken: u32,
    pub opens_refused: u32,
    /// The relay's rules, over all processes together.
    pub breaches: Vec<Breach>,
    pub rules_broken: usize,
    pub handed_in: u32,
    pub delivered: u32,
}

impl History {
    /// When the last relay was first ready.
    pub fn up(&self) -> Option<At> {
        let first =
            |relay| self.events.iter().find(|e| e.relay == relay && e.what == What::Ready).map(|e| e.at);
        (0..self.relays).map(first).collect::<Option<Vec<_>>>()?.into_iter().max()
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
