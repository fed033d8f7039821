//! Checks calls to draining endpoints against what each relay knew when the first byte of the call arrived.
//!
//! A relay counts as knowing of a drain from the earliest of these times: a list response with that version or a later one was
//! written to its process since the process started; the process logged that it has such a version; a time limit of the platform's
//! rules ran out, after which the relay counts as informed whether or not it received the change. This check does not apply where
//! relays exchange lists: there the checker takes the drain as known to all relays at once.
use onyxglade_lab::rules::{DRAIN_GRACE, DrainedCall};
use std::time::Duration;

use crate::history::{Elapsed, EventKind, History};

/// A relay counts as knowing a change this long after the list service had it and was reachable.
const KNOWN_AFTER_ANNOUNCEMENT: Duration = Duration::from_secs(6);
/// A relay counts as knowing a change this long after a SIGHUP.
const KNOWN_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// Added to every time limit, since calls go over real sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);

/// The number of calls that came too late, and the first of them; `None` if all were in time.
pub fn violation(history: &History) -> Option<String> {
    let late_calls: Vec<_> = history
        .drained_calls
        .iter()
        .filter_map(|(relay, call)| Some((relay, call, lateness(history, *relay, call)?)))
        .collect();
    let (relay, call, late_by) = late_calls.first()?;
    let relays = late_calls.iter().map(|(relay, ..)| relay).collect::<std::collections::BTreeSet<_>>().len();
    Some(format!(
        "{} calls of {relays} relays, first message {} of r{relay} at node {} at {:.2} s, {:.2} s after the drain, {:.2} s too late",
        late_calls.len(),
        call.msg,
        call.node,
        call.first.as_secs_f64(),
        (call.first - call.drained).as_secs_f64(),
        late_by.as_secs_f64(),
    ))
}

/// By how much a call came too late; `None` if it was in time.
fn lateness(history: &History, relay: usize, call: &DrainedCall) -> Option<Duration> {
    let allowed = known_since(history, relay, call) + DRAIN_GRACE + SOCKET_SLACK;
    call.first.checked_sub(allowed).filter(|late| !late.is_zero())
}

/// Since when the relay that made a call counts as knowing of the drain.
fn known_since(history: &History, relay: usize, call: &DrainedCall) -> Elapsed {
    let own_events = || history.events.iter().filter(|event| event.relay == relay && event.at <= call.first);
    let started = own_events()
        .rev()
        .find(|event| event.kind == EventKind::Started)
        .map_or(Elapsed::ZERO, |event| event.at);
    // After the service lost its state, versions start from 1 again, and only the rules' time limits apply.
    let version = history.changes.iter().find(|(_, at)| *at == call.drained).map(|(version, _)| *version);
    let answered = history.list_answers.iter().find(|answer| {
        let new_enough = answer.who == relay && answer.at >= started.max(call.drained);
        new_enough && version.is_some_and(|version| answer.generation >= version)
    });
    let reported = own_events().find(|event| {
        let new_enough =
            matches!(event.kind, EventKind::Listed(generation) if version.is_some_and(|version| generation >= version));
        new_enough && event.at >= started.max(call.drained)
    });
    let reloaded = own_events().find(|event| {
        event.kind == EventKind::Reloaded
            && event.at >= started
            && event.at + KNOWN_AFTER_RELOAD >= call.drained
    });
    let by_rule =
        service_reachable_at(history, call.drained) + KNOWN_AFTER_ANNOUNCEMENT.min(history.must_ask_in);
    let candidates = [
        answered.map(|answer| answer.at),
        reported.map(|event| event.at),
        reloaded.map(|event| event.at + KNOWN_AFTER_RELOAD),
        // A process that starts later gets the list at its start.
        Some(by_rule.max(started)),
    ];
    candidates.into_iter().flatten().min().unwrap_or(by_rule)
}

/// When relays could get a change from the list service: at once, or at the end of its outage.
fn service_reachable_at(history: &History, changed: Elapsed) -> Elapsed {
    let outage = history.outages.iter().find(|(from, to)| (*from..*to).contains(&changed));
    outage.map_or(changed, |(_, to)| *to)
}

#[cfg(test)]
mod tests;
