//! Fleets with lists lose all their watches at once, or start at once, while one discovery service answers one
//! call after another.
mod common;
use common::*;
use slatethread::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A call that waited this long at discovery is discarded.
const MAX_WAIT: Nanos = 2 * SECOND;
/// When the watches break.
const BREAK: Nanos = 100 * SECOND;

/// What discovery does with calls that would wait too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Overload {
    /// It discards them when they reach the head of the queue, at half of their cost.
    DiscardsAtHead,
    /// It rejects them on arrival, at no cost.
    RejectsOnArrival,
}

/// State of discovery at the start of a run.
#[derive(Clone, Copy, Debug)]
struct Discovery {
    /// Time for one call.
    cost: Nanos,
    overload: Overload,
    /// Until when it is down: calls are rejected after their wait.
    down_until: Nanos,
}

/// How a run begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Beginning {
    /// All watches break.
    Break,
    /// All relays start with a list. `confirmed` says whether it was confirmed just then.
    Start { confirmed: bool },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Begins,
    Timer(u64),
    /// A call ended: answered or rejected.
    Over(u64, bool),
    /// The relay stops waiting for a call.
    StopsWaiting(u64),
}

/// The dispatcher of one relay, its lease, and its call in flight with the time of its start.
struct Relay {
    dispatcher: Dispatcher,
    lease: ListLease,
    call: Option<(u64, Nanos)>,
    confirmed: bool,
}

/// Results of a run.
#[derive(Debug, Default)]
struct Renewal {
    calls: u64,
    /// Time from the break, or from the return of discovery, until the list of the last relay is confirmed.
    last: Nanos,
    /// Time that discovery spent on answers that a relay still waited for, and on everything else.
    useful: Nanos,
    useless: Nanos,
}

fn run(count: u32, discovery: Discovery, beginning: Beginning, seed: u64) -> Renewal {
    let settings = Settings { list_on_request: true, relays: Some(count), ..settings() };
    let mut steps = BinaryHeap::new();
    let mut relays: Vec<_> = (0..count)
        .map(|index| {
            let mut dispatcher = Dispatcher::new(settings.clone(), u64::from(index) * 7919 + seed);
            let mut lease = ListLease::new(ListSource::Polled { poll_interval: 10 * SECOND });
            let started = BREAK - u64::from(index * 37 % 1000) * MS;
            if beginning == Beginning::Break {
                lease.confirm(started, started);
                dispatcher.on_round(started - SECOND, &[known_list()], &mut Vec::new());
                dispatcher.on_round(started, &[Event::Timer { nonce: 2 }], &mut Vec::new());
                let no_changes = Event::List { scope: ListScope::Patch, entries: vec![] };
                dispatcher.on_round(started, &[no_changes], &mut Vec::new());
            } else if beginning == (Beginning::Start { confirmed: true }) {
                lease.restore(BREAK);
            }
            steps.push(Reverse((BREAK, index, Step::Begins)));
            Relay { dispatcher, lease, call: None, confirmed: false }
        })
        .collect();
    let mut free_at = 0;
    let mut renewal = Renewal::default();
    let mut unconfirmed = count;
    while let Some(Reverse((now, index, step))) = steps.pop().filter(|_| unconfirmed > 0) {
        assert!(
            now < BREAK + 3600 * SECOND,
            "{unconfirmed} of {count} are not confirmed: {discovery:?} {renewal:?}"
        );
        let relay = &mut relays[index as usize];
        let event = match step {
            Step::Begins if beginning == Beginning::Break => failed(ListScope::Rejected),
            Step::Begins => known_list(),
            Step::Timer(nonce) => Event::Timer { nonce },
            Step::StopsWaiting(call) if relay.call.is_some_and(|(own, _)| own == call) => {
                failed(ListScope::TimedOut)
            }
            Step::Over(call, true) if relay.call.is_some_and(|(own, _)| own == call) => {
                let started = relay.call.expect("its call is in flight").1;
                renewal.useful += discovery.cost;
                renewal.useless -= discovery.cost;
                relay.lease.confirm(started, now);
                unconfirmed -= u32::from(!std::mem::replace(&mut relay.confirmed, true));
                renewal.last = now - BREAK;
                Event::List { scope: ListScope::Patch, entries: vec![] }
            }
            Step::Over(call, false) if relay.call.is_some_and(|(own, _)| own == call) => {
                failed(ListScope::Rejected)
            }
            Step::StopsWaiting(_) | Step::Over(..) => continue,
        };
        if matches!(event, Event::List { .. }) {
            relay.call = None;
        }
        if let Event::List { scope, .. } = &event
            && scope.is_failure()
        {
            relay.lease.call_failed(now, *scope);
        }
        relay.dispatcher.set_list_lease(relay.lease.ends_at());
        let mut actions = Vec::new();
        relay.dispatcher.on_round(now, &[event], &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { nonce, after } => {
                    steps.push(Reverse((now + after, index, Step::Timer(nonce))))
                }
                Action::Subscribe { open: true } if relay.call.is_none() && !relay.confirmed => {
                    renewal.calls += 1;
                    relay.call = Some((renewal.calls, now));
                    let timeout = relay.dispatcher.list_timeout(true);
                    steps.push(Reverse((now + timeout, index, Step::StopsWaiting(renewal.calls))));
                    let end = schedule_call(discovery, now, &mut free_at, &mut renewal);
                    steps.push(Reverse((end.0, index, Step::Over(renewal.calls, end.1))));
                }
                _ => {}
            }
        }
    }
    renewal
}

fn known_list() -> Event {
    Event::List { scope: ListScope::Patch, entries: vec![endpoint(1, 5)] }
}

fn failed(scope: ListScope) -> Event {
    Event::List { scope, entries: vec![] }
}

/// When a call that arrives now ends, and whether it is answered.
fn schedule_call(
    discovery: Discovery,
    now: Nanos,
    free_at: &mut Nanos,
    renewal: &mut Renewal,
) -> (Nanos, bool) {
    if now < discovery.down_until {
        return ((now + MAX_WAIT).min(discovery.down_until.max(now)), false);
    }
    let begin = (*free_at).max(now);
    if begin - now <= MAX_WAIT {
        *free_at = begin + discovery.cost;
        renewal.useless += discovery.cost;
        return (*free_at, true);
    }
    if discovery.overload == Overload::RejectsOnArrival {
        return (now + 200 * MS, false);
    }
    *free_at = begin + discovery.cost / 2;
    renewal.useless += discovery.cost / 2;
    (*free_at, false)
}

/// Runs each fleet size against each kind of discovery and initial outage.
fn check_all(counts: &[u32], costs: &[u64], check: impl Fn(u32, Nanos, Discovery, Renewal)) {
    for &count in counts {
        for &cost in costs {
            for overload in [Overload::DiscardsAtHead, Overload::RejectsOnArrival] {
                for down in [0, 8, 60] {
                    let down_until = BREAK + down * SECOND;
                    let discovery = Discovery { cost: cost * MS, overload, down_until };
                    let mut renewal = run(count, discovery, Beginning::Break, 1);
                    renewal.last -= down * SECOND;
                    check(count, u64::from(count) * cost * MS, discovery, renewal);
                }
            }
        }
    }
}

/// Discovery at its planned speed, and less than half as fast.
#[test]
fn a_fleet_whose_watches_all_break_is_confirmed_soon_whatever_its_size() {
    check_all(&[3, 30, 300], &[17, 40], |count, need, discovery, renewal| {
        let bound = 2 * need + 10 * SECOND;
        assert!(renewal.last <= bound, "{count}, {discovery:?}: {need} needed, {renewal:?}");
        assert!(renewal.useful > 2 * renewal.useless, "{count}, {discovery:?}: {renewal:?}");
    });
}

/// The speed of discovery is unknown; a discarded call costs half of an answered one, or nothing.
#[test]
fn a_fleet_recovers_from_any_initial_outage_of_a_discovery_a_tenth_as_fast() {
    check_all(&[3, 30, 300, 900], &[170], |count, need, discovery, renewal| {
        let times = if discovery.overload == Overload::RejectsOnArrival { 2 } else { 5 };
        assert!(
            renewal.last <= times * need + 15 * SECOND,
            "{count}, {discovery:?}: {need} needed, {renewal:?}"
        );
    });
}

/// However long discovery is down, the fleet calls it as often as it could answer, and not more.
#[test]
fn a_fleet_does_not_call_more_often_the_longer_discovery_is_down() {
    check_all(&[3, 30, 300, 900], &[40], |count, _, discovery, renewal| {
        let down = (discovery.down_until - BREAK) / SECOND;
        let most = u64::from(count) * 4 + down * 60;
        assert!(renewal.calls <= most, "{count}, {discovery:?}: {renewal:?}");
    });
}

/// A fleet's first start looks like lost machines to each relay: nobody has confirmed the list in its configuration.
/// Without a lease to keep, relays have no reason to call sooner.
#[test]
fn a_fleet_whose_lists_nobody_confirmed_calls_discovery_no_more_than_one_with_leases() {
    for count in [3, 30, 300, 900] {
        for cost in [17, 24, 40] {
            for overload in [Overload::DiscardsAtHead, Overload::RejectsOnArrival] {
                for down in [0, 8, 60] {
                    let down_until = BREAK + down * SECOND;
                    let discovery = Discovery { cost: cost * MS, overload, down_until };
                    let start = |confirmed| run(count, discovery, Beginning::Start { confirmed }, 1);
                    let (leased, unconfirmed) = (start(true), start(false));
                    assert!(
                        unconfirmed.calls <= leased.calls,
                        "{count}, {discovery:?}: {unconfirmed:?}, {leased:?}"
                    );
                }
            }
        }
    }
}
