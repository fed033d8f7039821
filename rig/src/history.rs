//! Observations of a fleet from outside, in order of time: from the emulated partners and list service, and from the logs of the
//! relay processes. Causes are not recorded.
use onyxglade_lab::discovery::{ListAnswer, ListCall};
use onyxglade_lab::rules::{Breach, DrainedCall};
use serde::Serialize;
use std::collections::BTreeSet;
use std::time::Duration;

/// Time since the first process was started.
pub type Elapsed = Duration;

/// Something that a relay did, or that the schedule did to it.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Event {
    pub at: Elapsed,
    pub relay: usize,
    #[serde(rename = "what")]
    pub kind: EventKind,
}

#[derive(Clone, Debug, Serialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    Started,
    /// It logged that it is ready to serve.
    Ready,
    /// It logged that it has a list, of this generation.
    Listed(u64),
    /// It logged that another relay is a member.
    Sees(usize),
    /// It logged that another relay is no longer a member.
    Misses(usize),
    /// The schedule ended it.
    Ended,
    /// The schedule stopped it with SIGSTOP.
    Stopped,
    /// The schedule continued it with SIGCONT.
    #[serde(rename = "goes-on")]
    Resumed,
    /// It was sent SIGHUP to reload its configuration.
    Reloaded,
    /// It ended though the schedule did not end it, with this exit code.
    Crashed(Option<i32>),
    /// Its process and the files in its folder took more memory than configured; how much, in MB.
    OverMemory(f64),
    /// Its process has exited, for whatever reason.
    #[serde(rename = "gone")]
    Exited,
}

/// A request on a connection of its own that closed without a response.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct UnansweredRequest {
    pub relay: usize,
    pub msg: u64,
    /// How the connection closed.
    pub why: String,
    pub connected: Elapsed,
    pub ended: Elapsed,
}

/// All observations of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct History {
    pub relays: usize,
    /// Whether all relays had a list when they first started.
    pub known: bool,
    /// Whether the relays exchange membership with one another.
    pub instances: bool,
    pub events: Vec<Event>,
    pub list_calls: Vec<ListCall>,
    /// Responses that the list service wrote.
    pub list_answers: Vec<ListAnswer>,
    /// Spans in which no relay could reach the list service.
    pub outages: Vec<(Elapsed, Elapsed)>,
    /// Longest time that a relay may go without requesting the list, by the settings.
    pub must_ask_in: Duration,
    /// Calls to draining endpoints, with the relay that made each. They are recorded only where each relay fetches the list itself.
    pub drained_calls: Vec<(usize, DrainedCall)>,
    /// Changes that the list service published: generation and time.
    #[serde(rename = "told")]
    pub changes: Vec<(u64, Elapsed)>,
    /// When the list service lost its state, and the last generation before that.
    #[serde(rename = "forgot")]
    pub state_losses: Vec<(Elapsed, u64)>,
    /// Time that the list service spent on calls that it answered.
    pub answering: Duration,
    /// Time that the list service spent on calls that it then discarded.
    #[serde(rename = "throwing")]
    pub discarding: Duration,
    /// Most connections opened at one endpoint in a second.
    pub opens_most: u32,
    /// Connections that an endpoint accepts in a second; 0 is unlimited.
    pub opens_taken: u32,
    /// Connections that endpoints refused.
    pub opens_refused: u32,
    /// Connections opened at all endpoints together.
    pub opens_all: u32,
    /// Violations of the relay's rules, over all processes together.
    pub breaches: Vec<Breach>,
    pub rules_broken: usize,
    pub handed_in: u32,
    pub delivered: u32,
    /// Requests that got no response.
    pub unanswered: Vec<UnansweredRequest>,
}

impl History {
    /// When the last relay became ready for the first time; `None` unless all did.
    pub fn all_ready_at(&self) -> Option<Elapsed> {
        let first =
            |relay| self.events.iter().find(|e| e.relay == relay && e.kind == EventKind::Ready).map(|e| e.at);
        (0..self.relays).map(first).collect::<Option<Vec<_>>>()?.into_iter().max()
    }

    /// Which relays run at the end.
    pub fn running(&self) -> Vec<bool> {
        let mut running = vec![false; self.relays];
        for event in &self.events {
            match event.kind {
                EventKind::Started => running[event.relay] = true,
                EventKind::Ended | EventKind::Crashed(_) => running[event.relay] = false,
                _ => {}
            }
        }
        running
    }

    /// The members that each relay sees at the end.
    pub fn views(&self) -> Vec<BTreeSet<usize>> {
        let mut views = vec![BTreeSet::new(); self.relays];
        for event in &self.events {
            let view = &mut views[event.relay];
            match event.kind {
                EventKind::Started => view.clear(),
                EventKind::Sees(other) => drop(view.insert(other)),
                EventKind::Misses(other) => drop(view.remove(&other)),
                _ => {}
            }
        }
        views
    }

    /// Time from the last start, end or resumption of a process until the last change of a membership view.
    pub fn view_convergence_time(&self) -> Elapsed {
        let last =
            |of: fn(&EventKind) -> bool| self.events.iter().filter(|e| of(&e.kind)).map(|e| e.at).max();
        let last_action = last(|w| matches!(w, EventKind::Started | EventKind::Ended | EventKind::Resumed))
            .unwrap_or_default();
        let last_change =
            last(|w| matches!(w, EventKind::Sees(_) | EventKind::Misses(_))).unwrap_or_default();
        last_change.saturating_sub(last_action)
    }

    /// How long each list change took to reach each relay that had a list when the change was published and that went on running:
    /// the time until the relay logged that list or a later one, `None` if it never did. In ascending order.
    pub fn propagation_times(&self) -> Vec<Option<Elapsed>> {
        let mut times = Vec::new();
        for (generation, published) in &self.changes {
            for relay in 0..self.relays {
                let own_events = || self.events.iter().filter(|e| e.relay == relay);
                let ends_life = |kind: &EventKind| {
                    matches!(kind, EventKind::Started | EventKind::Ended | EventKind::Crashed(_))
                };
                let after = || own_events().filter(|e| e.at >= *published);
                let last_before = own_events().rev().filter(|e| e.at < *published);
                let last_before = last_before
                    .map(|e| &e.kind)
                    .find(|kind| ends_life(kind) || matches!(kind, EventKind::Listed(_)));
                if !matches!(last_before, Some(EventKind::Listed(_))) {
                    continue;
                }
                let first = after().find(|e| {
                    ends_life(&e.kind) || matches!(e.kind, EventKind::Listed(g) if g >= *generation)
                });
                match first {
                    Some(Event { kind: EventKind::Listed(_), at, .. }) => times.push(Some(*at - *published)),
                    // The process ended before it could receive the change.
                    Some(_) => {}
                    None => times.push(None),
                }
            }
        }
        times.sort_unstable_by_key(|at| at.unwrap_or(Elapsed::MAX));
        times
    }

    /// Since when the current process of each relay has had a list; `None` if it has none.
    pub fn listed_since(&self) -> Vec<Option<Elapsed>> {
        let mut listed_since = vec![None; self.relays];
        for event in &self.events {
            let since = &mut listed_since[event.relay];
            match event.kind {
                EventKind::Started => *since = self.known.then_some(event.at),
                EventKind::Listed(_) => *since = since.or(Some(event.at)),
                _ => {}
            }
        }
        listed_since
    }
}
