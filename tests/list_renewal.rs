//! Fleets that hold a list and lose all their watches at once, before one discovery that takes a call at a time.
mod common;
use common::*;
use slatethread::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What has waited so long at discovery is thrown away.
const WAITS: Nanos = 2 * SECOND;
/// When the watches break.
const BREAK: Nanos = 100 * SECOND;

/// What discovery does with calls that would wait too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Crowded {
    /// It throws them away at their turn, for half of their cost.
    AtTheirTurn,
    /// It turns them away when they come, at no cost.
    AtTheDoor,
}

/// Discovery as the fleet finds it.
#[derive(Clone, Copy, Debug)]
struct Discovery {
    /// A call's time.
    cost: Nanos,
    crowded: Crowded,
    /// It is down until then: all calls are turned away once they have waited.
    down_until: Nanos,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Breaks,
    Timer(u64),
    /// What became of a call: answered or turned away.
    Over(u64, bool),
    /// It waits no longer for a call.
    Late(u64),
}

/// One relay's decisions, its lease, and its call that is out with its beginning.
struct Relay {
    courier: Dispatcher,
    lease: ListLease,
    call: Option<(u64, Nanos)>,
    confirmed: bool,
}

/// What came of it.
#[derive(Debug, Default)]
struct Renewal {
    calls: u64,
    /// From the break, or discovery's return, until the last relay's list is confirmed.
    last: Nanos,
    /// Discovery's time that went to answers somebody waited for, and to all else.
    useful: Nanos,
    useless: Nanos,
}

fn play(count: u32, discovery: Discovery, seed: u64) -> Renewal {
    let settings = Settings { list_on_request: true, relays: Some(count), ..settings() };
    let mut steps = BinaryHeap::new();
    let mut relays: Vec<_> = (0..count)
        .map(|who| {
            let mut courier = Dispatcher::new(settings.clone(), u64::from(who) * 7919 + seed);
            let mut lease = ListLease::for_polled_list(10 * SECOND);
            let begun = BREAK - u64::from(who * 37 % 1000) * MS;
            lease.confirm(begun, begun);
            let known = Event::List { scope: ListScope::Patch, entries: vec![endpoint(1, 5)] };
            courier.on_round(begun - SECOND, &[known], &mut Vec::new());
            courier.on_round(begun, &[Event::Timer { nonce: 2 }], &mut Vec::new());
            let told = Event::List { scope: ListScope::Patch, entries: vec![] };
            courier.on_round(begun, &[told], &mut Vec::new());
            steps.push(Reverse((BREAK, who, Step::Breaks)));
            Relay { courier, lease, call: None, confirmed: false }
        })
        .collect();
    let mut free = 0;
    let mut renewal = Renewal::default();
    let mut left = count;
    while let Some(Reverse((now, who, step))) = steps.pop().filter(|_| left > 0) {
        assert!(
            now < BREAK + 3600 * SECOND,
            "{left} of {count} are not confirmed: {discovery:?} {renewal:?}"
        );
        let relay = &mut relays[who as usize];
        let event = match step {
            Step::Breaks => failed(ListScope::Rejected),
            Step::Timer(nonce) => Event::Timer { nonce },
            Step::Late(call) if relay.call.is_some_and(|(own, _)| own == call) => failed(ListScope::TimedOut),
            Step::Over(call, true) if relay.call.is_some_and(|(own, _)| own == call) => {
                let begun = relay.call.expect("it is out").1;
                renewal.useful += discovery.cost;
                renewal.useless -= discovery.cost;
                relay.lease.confirm(begun, now);
                left -= u32::from(!std::mem::replace(&mut relay.confirmed, true));
                renewal.last = now - BREAK;
                Event::List { scope: ListScope::Patch, entries: vec![] }
            }
            Step::Over(call, false) if relay.call.is_some_and(|(own, _)| own == call) => {
                failed(ListScope::Rejected)
            }
            Step::Late(_) | Step::Over(..) => continue,
        };
        if matches!(event, Event::List { .. }) {
            relay.call = None;
        }
        if let Event::List { scope, .. } = &event
            && scope.is_failure()
        {
            relay.lease.call_failed(now, *scope);
        }
        relay.courier.set_list_lease(relay.lease.ends_at());
        let mut actions = Vec::new();
        relay.courier.on_round(now, &[event], &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { nonce, after } => {
                    steps.push(Reverse((now + after, who, Step::Timer(nonce))))
                }
                Action::Subscribe { open: true } if relay.call.is_none() && !relay.confirmed => {
                    renewal.calls += 1;
                    relay.call = Some((renewal.calls, now));
                    let patience = relay.courier.list_timeout(true);
                    steps.push(Reverse((now + patience, who, Step::Late(renewal.calls))));
                    let over = deal(discovery, now, &mut free, &mut renewal);
                    steps.push(Reverse((over.0, who, Step::Over(renewal.calls, over.1))));
                }
                _ => {}
            }
        }
    }
    renewal
}

fn failed(scope: ListScope) -> Event {
    Event::List { scope, entries: vec![] }
}

/// When a call that comes now is over, and whether it is answered.
fn deal(discovery: Discovery, now: Nanos, free: &mut Nanos, renewal: &mut Renewal) -> (Nanos, bool) {
    if now < discovery.down_until {
        return ((now + WAITS).min(discovery.down_until.max(now)), false);
    }
    let begin = (*free).max(now);
    if begin - now <= WAITS {
        *free = begin + discovery.cost;
        renewal.useless += discovery.cost;
        return (*free, true);
    }
    if discovery.crowded == Crowded::AtTheDoor {
        return (now + 200 * MS, false);
    }
    *free = begin + discovery.cost / 2;
    renewal.useless += discovery.cost / 2;
    (*free, false)
}

/// Each fleet before each discovery, from each beginning.
fn all(counts: &[u32], costs: &[u64], check: impl Fn(u32, Nanos, Discovery, Renewal)) {
    for &count in counts {
        for &cost in costs {
            for crowded in [Crowded::AtTheirTurn, Crowded::AtTheDoor] {
                for down in [0, 8, 60] {
                    let down_until = BREAK + down * SECOND;
                    let discovery = Discovery { cost: cost * MS, crowded, down_until };
                    let mut renewal = play(count, discovery, 1);
                    renewal.last -= down * SECOND;
                    check(count, u64::from(count) * cost * MS, discovery, renewal);
                }
            }
        }
    }
}

/// A discovery at its planned speed, and one that is less than half as fast.
#[test]
fn a_fleet_whose_watches_all_break_is_confirmed_soon_whatever_its_size() {
    all(&[3, 30, 300], &[17, 40], |count, need, discovery, renewal| {
        let bound = 2 * need + 10 * SECOND;
        assert!(renewal.last <= bound, "{count}, {discovery:?}: {need} needed, {renewal:?}");
        assert!(renewal.useful > 2 * renewal.useless, "{count}, {discovery:?}: {renewal:?}");
    });
}

/// Nobody knows how fast it is; a call in vain costs half of one that is answered, or nothing.
#[test]
fn a_fleet_recovers_from_any_initial_outage_of_a_discovery_a_tenth_as_fast() {
    all(&[3, 30, 300, 900], &[170], |count, need, discovery, renewal| {
        let times = if discovery.crowded == Crowded::AtTheDoor { 2 } else { 5 };
        assert!(
            renewal.last <= times * need + 15 * SECOND,
            "{count}, {discovery:?}: {need} needed, {renewal:?}"
        );
    });
}

/// However long it is down, it is asked by the fleet as often as it could answer, and no more.
#[test]
fn a_fleet_does_not_call_more_often_the_longer_discovery_is_down() {
    all(&[3, 30, 300, 900], &[40], |count, _, discovery, renewal| {
        let down = (discovery.down_until - BREAK) / SECOND;
        let most = u64::from(count) * 4 + down * 60;
        assert!(renewal.calls <= most, "{count}, {discovery:?}: {renewal:?}");
    });
}
