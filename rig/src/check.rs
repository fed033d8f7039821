//! What is promised of a fleet, each as a check of what was seen from outside. A check that fails says by which events.
use onyxglade_lab::discovery::{FALSE_GENERATION, ListCallOutcome};

use crate::drains;
use crate::history::{History, Unanswered, What};
use std::time::Duration;

/// A promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Promise {
    /// The relay's rules hold over all processes together.
    Rules,
    /// No process ends by itself.
    NoneCrashes,
    /// Each relay that runs at the end holds the list.
    AllHoldTheList,
    /// Relays that talk to one another end up seeing all who run, and nobody else.
    AllSeeAll,
    /// In one process's life, no list is replaced by an older one.
    NoOlderList,
    /// The list service's time goes into answers, at least two thirds of it.
    ServiceTimeIsUseful,
    /// Nothing new goes to an endpoint that drains, by what each relay was told.
    Drains,
    /// No endpoint has to open more connections in a second than it takes.
    EndpointsSpared,
    /// Whoever hands a message in on a connection of its own gets an answer there, unless the process is killed meanwhile.
    Answered,
}

/// Relays that a check names, at most.
const TOLD: usize = 10;

pub const ALL: [(Promise, &str); 9] = [
    (Promise::Rules, "rules"),
    (Promise::NoneCrashes, "none-crashes"),
    (Promise::AllHoldTheList, "all-hold-the-list"),
    (Promise::AllSeeAll, "all-see-all"),
    (Promise::NoOlderList, "no-older-list"),
    (Promise::ServiceTimeIsUseful, "service-time-is-useful"),
    (Promise::Drains, "drains"),
    (Promise::EndpointsSpared, "endpoints-spared"),
    (Promise::Answered, "answered"),
];

/// Why a promise is not kept.
pub fn broken(history: &History, promise: Promise) -> Option<String> {
    match promise {
        Promise::Rules => {
            let first =
                history.breaches.first().map(|b| format!("{:?} at {:.2} s: {}", b.rule, b.at_s, b.what));
            (history.rules_broken > 0).then(|| format!("{} times, first {first:?}", history.rules_broken))
        }
        Promise::NoneCrashes => history.events.iter().find_map(|e| match e.what {
            What::Crashed(code) => Some(format!("r{} at {:.2} s with {code:?}", e.relay, e.at.as_secs_f64())),
            _ => None,
        }),
        Promise::AllHoldTheList => {
            let listed = history.listed();
            let runs = history.running();
            let without: Vec<_> = (0..history.relays).filter(|r| runs[*r] && listed[*r].is_none()).collect();
            let first = &without[..without.len().min(TOLD)];
            (!without.is_empty()).then(|| format!("{} have none, the first: {first:?}", without.len()))
        }
        Promise::AllSeeAll if !history.instances => None,
        Promise::AllSeeAll => {
            let (runs, views) = (history.running(), history.views());
            let wrong = (0..history.relays).filter(|r| runs[*r]).find_map(|r| {
                let other = (0..history.relays).find(|o| *o != r && runs[*o] != views[r].contains(o))?;
                Some((r, other))
            });
            wrong.map(|(r, other)| match runs[other] {
                true => format!("r{r} does not see r{other}, which runs"),
                false => format!("r{r} sees r{other}, which does not run"),
            })
        }
        Promise::NoOlderList => {
            let mut held = vec![(0, 0.0, 0); history.relays];
            history.events.iter().find_map(|e| {
                let at = e.at.as_secs_f64();
                let (had, since, lost) = held[e.relay];
                match e.what {
                    What::Started => held[e.relay] = (0, at, 0),
                    // Told to some by a service that lies: neither older nor newer than what is true.
                    What::Listed(FALSE_GENERATION) => {}
                    What::Listed(generation) => {
                        // A service that lost its memory counts anew; what it had counted before is older from then on.
                        let before =
                            history.forgot[..lost].last().is_some_and(|(_, last)| generation >= *last);
                        let anew = history.forgot.get(lost).is_some_and(|(at, _)| e.at >= *at);
                        if generation < had && !anew || before && generation > had {
                            let relay = e.relay;
                            return Some(format!(
                                "r{relay} held {had} from {since:.2} s, {generation} from {at:.2} s"
                            ));
                        }
                        held[e.relay] = (generation, at, lost + usize::from(generation < had));
                    }
                    _ => {}
                }
                None
            })
        }
        Promise::ServiceTimeIsUseful => {
            let (useful, useless) = (history.answering.as_secs_f64(), history.throwing.as_secs_f64());
            let thrown = history.list_calls.iter().filter(|c| c.outcome == ListCallOutcome::Thrown).count();
            (useful < 2.0 * useless)
                .then(|| format!("{useful:.1} s answering, {useless:.1} s on {thrown} thrown away"))
        }
        Promise::Drains => drains::broken(history),
        Promise::Answered => unanswered(history),
        Promise::EndpointsSpared => {
            let (most, taken, refused) = (history.opens_most, history.opens_taken, history.opens_refused);
            (taken > 0 && (most > taken || refused > 0))
                .then(|| format!("{most} in a second where {taken} are taken, {refused} refused"))
        }
    }
}

/// What a process's end does to its connections may be read so much before or after it is known to be gone.
const END_READ: Duration = Duration::from_millis(100);

/// After SIGTERM new connections arrive for so long (the platform's page, "Figures"): what connects later may find nobody.
const STILL_ARRIVING: Duration = Duration::from_millis(400);

fn unanswered(history: &History) -> Option<String> {
    let of = |request: &Unanswered| {
        let relay = request.relay;
        history.events.iter().filter(move |event| event.relay == relay)
    };
    let killed = |request: &Unanswered| {
        let mut gone = of(request).filter(|event| event.what == What::Gone);
        gone.any(|event| event.at + END_READ >= request.connected && event.at <= request.ended + END_READ)
    };
    let came_too_late = |request: &Unanswered| {
        let last = of(request)
            .filter(|event| event.at <= request.connected)
            .rfind(|event| matches!(event.what, What::Started | What::Ended));
        let told_to_end = last.filter(|event| event.what == What::Ended);
        told_to_end.is_some_and(|event| request.connected > event.at + STILL_ARRIVING)
    };
    let owed = |request: &&Unanswered| !killed(request) && !came_too_late(request);
    let lost: Vec<_> = history.unanswered.iter().filter(owed).collect();
    lost.first().map(|first| {
        let Unanswered { relay, msg, ended, why, .. } = first;
        let at = ended.as_secs_f64();
        format!("{} requests, first message {msg} at r{relay} at {at:.2} s: {why}", lost.len())
    })
}

/// The promises that are not kept, by name, and why.
pub fn all(history: &History) -> Vec<(&'static str, String)> {
    ALL.iter().filter_map(|(promise, name)| Some((*name, broken(history, *promise)?))).collect()
}

#[cfg(test)]
mod tests;
