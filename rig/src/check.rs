//! Invariants of a fleet, checked against what was observed from outside. A violation names the events that show it.
use onyxglade_lab::discovery::{FALSE_GENERATION, ListCallOutcome};

use crate::drains;
use crate::history::{EventKind, History, UnansweredRequest};
use std::time::Duration;

/// An invariant that a fleet keeps under any fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// The relay's rules hold over all processes together.
    Rules,
    /// No process ends except by the schedule.
    NoneCrashes,
    /// Each relay that runs at the end has the list.
    AllHoldTheList,
    /// Where relays exchange membership, each one in the end sees exactly those that run.
    AllSeeAll,
    /// During the lifetime of a process, no list is replaced by an older one.
    NoOlderList,
    /// The list service spends at least two thirds of its time on calls that it answers.
    ServiceTimeIsUseful,
    /// No new call goes to a draining endpoint once the relay knows of the drain.
    Drains,
    /// No endpoint sees more new connections in a second than it accepts.
    EndpointsSpared,
    /// No process, with the files in its folder, takes more memory than its configuration allows.
    WithinMemory,
    /// Each request on a connection of its own gets a response there, unless the process is killed meanwhile.
    Answered,
}

/// Maximum number of relays that a violation lists.
const MAX_NAMED: usize = 10;

/// All invariants, with the names under which results report them.
pub const INVARIANTS: [(Invariant, &str); 10] = [
    (Invariant::Rules, "rules"),
    (Invariant::NoneCrashes, "none-crashes"),
    (Invariant::AllHoldTheList, "all-hold-the-list"),
    (Invariant::AllSeeAll, "all-see-all"),
    (Invariant::NoOlderList, "no-older-list"),
    (Invariant::ServiceTimeIsUseful, "service-time-is-useful"),
    (Invariant::Drains, "drains"),
    (Invariant::EndpointsSpared, "endpoints-spared"),
    (Invariant::Answered, "answered"),
    (Invariant::WithinMemory, "within-memory"),
];

/// How an invariant is violated; `None` if it holds.
pub fn violation(history: &History, invariant: Invariant) -> Option<String> {
    match invariant {
        Invariant::Rules => {
            let first =
                history.breaches.first().map(|b| format!("{:?} at {:.2} s: {}", b.rule, b.at_s, b.what));
            (history.rules_broken > 0)
                .then(|| format!("{} violations, first {first:?}", history.rules_broken))
        }
        Invariant::NoneCrashes => history.events.iter().find_map(|e| match e.kind {
            EventKind::Crashed(code) => {
                Some(format!("r{} at {:.2} s with {code:?}", e.relay, e.at.as_secs_f64()))
            }
            _ => None,
        }),
        Invariant::AllHoldTheList => {
            let listed_since = history.listed_since();
            let running = history.running();
            let without: Vec<_> =
                (0..history.relays).filter(|r| running[*r] && listed_since[*r].is_none()).collect();
            let first = &without[..without.len().min(MAX_NAMED)];
            (!without.is_empty()).then(|| format!("{} relays have no list, first {first:?}", without.len()))
        }
        Invariant::AllSeeAll if !history.instances => None,
        Invariant::AllSeeAll => {
            let (running, views) = (history.running(), history.views());
            let wrong = (0..history.relays).filter(|r| running[*r]).find_map(|r| {
                let other = (0..history.relays).find(|o| *o != r && running[*o] != views[r].contains(o))?;
                Some((r, other))
            });
            wrong.map(|(r, other)| match running[other] {
                true => format!("r{r} does not see r{other}, which runs"),
                false => format!("r{r} sees r{other}, which does not run"),
            })
        }
        Invariant::NoOlderList => {
            let mut newest = vec![(0, 0.0, 0); history.relays];
            history.events.iter().find_map(|e| {
                let at = e.at.as_secs_f64();
                let (previous, since, losses) = newest[e.relay];
                match e.kind {
                    EventKind::Started => newest[e.relay] = (0, at, 0),
                    // The false generation of `list-lies` is neither older nor newer than a true one.
                    EventKind::Listed(FALSE_GENERATION) => {}
                    EventKind::Listed(generation) => {
                        // A service that lost its state numbers generations from 1 again; those before the loss are older from then on.
                        let older_numbering =
                            history.state_losses[..losses].last().is_some_and(|(_, last)| generation >= *last);
                        let restarted = history.state_losses.get(losses).is_some_and(|(at, _)| e.at >= *at);
                        if generation < previous && !restarted || older_numbering && generation > previous {
                            let relay = e.relay;
                            return Some(format!(
                                "r{relay} had list {previous} from {since:.2} s and list {generation} from {at:.2} s"
                            ));
                        }
                        newest[e.relay] = (generation, at, losses + usize::from(generation < previous));
                    }
                    _ => {}
                }
                None
            })
        }
        Invariant::ServiceTimeIsUseful => {
            let (useful, useless) = (history.answering.as_secs_f64(), history.discarding.as_secs_f64());
            let discarded_calls =
                history.list_calls.iter().filter(|c| c.outcome == ListCallOutcome::Thrown).count();
            (useful < 2.0 * useless).then(|| {
                format!(
                    "{useful:.1} s on answered calls, {useless:.1} s on {discarded_calls} discarded calls"
                )
            })
        }
        Invariant::Drains => drains::violation(history),
        Invariant::Answered => unanswered_violation(history),
        Invariant::WithinMemory => history.events.iter().find_map(|event| match event.kind {
            EventKind::OverMemory(megabytes) => {
                Some(format!("r{} at {:.2} s: {megabytes:.1} MB", event.relay, event.at.as_secs_f64()))
            }
            _ => None,
        }),
        Invariant::EndpointsSpared => {
            let (most, limit, refused) = (history.opens_most, history.opens_taken, history.opens_refused);
            (limit > 0 && (most > limit || refused > 0))
                .then(|| format!("{most} connections in a second, limit {limit}, {refused} refused"))
        }
    }
}

/// Clients may see the connections of an exiting process close this much before or after the rig records the exit.
const EXIT_SLACK: Duration = Duration::from_millis(100);

/// New connections keep arriving for this long after SIGTERM (the platform's page, "Figures"). A later one may find no listener.
const ACCEPTS_AFTER_SIGTERM: Duration = Duration::from_millis(400);

fn unanswered_violation(history: &History) -> Option<String> {
    let events_of = |request: &UnansweredRequest| {
        let relay = request.relay;
        history.events.iter().filter(move |event| event.relay == relay)
    };
    let killed = |request: &UnansweredRequest| {
        let mut exits = events_of(request).filter(|event| event.kind == EventKind::Exited);
        exits
            .any(|event| event.at + EXIT_SLACK >= request.connected && event.at <= request.ended + EXIT_SLACK)
    };
    let connected_too_late = |request: &UnansweredRequest| {
        let last = events_of(request)
            .filter(|event| event.at <= request.connected)
            .rfind(|event| matches!(event.kind, EventKind::Started | EventKind::Ended));
        let end_requested = last.filter(|event| event.kind == EventKind::Ended);
        end_requested.is_some_and(|event| request.connected > event.at + ACCEPTS_AFTER_SIGTERM)
    };
    let answer_due = |request: &&UnansweredRequest| !killed(request) && !connected_too_late(request);
    let missing: Vec<_> = history.unanswered.iter().filter(answer_due).collect();
    missing.first().map(|first| {
        let UnansweredRequest { relay, msg, ended, why, .. } = first;
        let at = ended.as_secs_f64();
        format!(
            "{} requests got no response, first message {msg} at r{relay} at {at:.2} s: {why}",
            missing.len()
        )
    })
}

/// The violated invariants, by name, with how each is violated.
pub fn violations(history: &History) -> Vec<(&'static str, String)> {
    INVARIANTS.iter().filter_map(|(invariant, name)| Some((*name, violation(history, *invariant)?))).collect()
}

#[cfg(test)]
mod tests;
