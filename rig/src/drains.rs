//! Judges calls to draining endpoints by what each relay had been told when the call's first byte came.
//!
//! A drain counts as told to a relay at the earliest of: an answer with that version or a later one that was written to its process
//! since it started, the process's own word that it holds such a version, and the spans of the platform's rules after which it counts
//! as told whether or not it came. Where lists pass between relays this is not judged here: the checker holds the drain to have been
//! heard by all at once there.
use onyxglade_lab::rules::{DRAIN_GRACE, DrainedCall};
use std::time::Duration;

use crate::history::{At, History, What};

/// A change counts as told so long after the list service had it and could be reached.
const TOLD_ANYWAY: Duration = Duration::from_secs(6);
/// ... and so long after a SIGHUP.
const TOLD_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// Every time limit is longer by this on sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);

/// The calls that came too late, the first ones by name; none if all came in time.
pub fn broken(history: &History) -> Option<String> {
    let late: Vec<_> = history
        .drained_calls
        .iter()
        .filter_map(|(relay, call)| Some((relay, call, lateness(history, *relay, call)?)))
        .collect();
    let (relay, call, late_by) = late.first()?;
    let relays = late.iter().map(|(relay, ..)| relay).collect::<std::collections::BTreeSet<_>>().len();
    Some(format!(
        "{} calls of {relays} relays, first message {} of r{relay} at node {} at {:.2} s, {:.2} s after the drain, {:.2} s too late",
        late.len(),
        call.msg,
        call.node,
        call.first.as_secs_f64(),
        (call.first - call.drained).as_secs_f64(),
        late_by.as_secs_f64(),
    ))
}

/// How much later a call came than it may have, if it did.
fn lateness(history: &History, relay: usize, call: &DrainedCall) -> Option<Duration> {
    let allowed = told(history, relay, call) + DRAIN_GRACE + SOCKET_SLACK;
    call.first.checked_sub(allowed).filter(|late| !late.is_zero())
}

/// When a drain counts as told to the relay that made a call.
fn told(history: &History, relay: usize, call: &DrainedCall) -> At {
    let mine = || history.events.iter().filter(|event| event.relay == relay && event.at <= call.first);
    let started = mine().rev().find(|event| event.what == What::Started).map_or(At::ZERO, |event| event.at);
    // Versions count anew after the service lost its memory: then only the rules' spans can be held against a relay.
    let version = history.told.iter().find(|(_, at)| *at == call.drained).map(|(version, _)| *version);
    let written = history.list_answers.iter().find(|answer| {
        let whole = answer.who == relay && answer.at >= started.max(call.drained);
        whole && version.is_some_and(|version| answer.generation >= version)
    });
    let said = mine().find(|event| {
        let lists =
            matches!(event.what, What::Listed(held) if version.is_some_and(|version| held >= version));
        lists && event.at >= started.max(call.drained)
    });
    let reloaded = mine().find(|event| {
        event.what == What::Reloaded && event.at >= started && event.at + TOLD_AFTER_RELOAD >= call.drained
    });
    let anyway = reachable(history, call.drained) + TOLD_ANYWAY.min(history.must_ask_in);
    let words = [
        written.map(|answer| answer.at),
        said.map(|event| event.at),
        reloaded.map(|event| event.at + TOLD_AFTER_RELOAD),
        // A process that starts later is told at its start.
        Some(anyway.max(started)),
    ];
    words.into_iter().flatten().min().unwrap_or(anyway)
}

/// When the list service could be reached with a change: at once, or when its outage was over.
fn reachable(history: &History, changed: At) -> At {
    let outage = history.outages.iter().find(|(from, to)| (*from..*to).contains(&changed));
    outage.map_or(changed, |(_, to)| *to)
}

#[cfg(test)]
mod tests;
