use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::time::Duration;

const LIMITS: Limits = Limits {
    streams: 4,
    connections: 3,
    quiet: Duration::from_secs(5),
    pong: Duration::from_secs(2),
    idle: Duration::from_secs(60),
    dial: Duration::from_secs(1),
};

struct Played {
    pool: Pool,
    now: Instant,
}

impl Played {
    fn new() -> Self {
        Played { pool: Pool::new(LIMITS), now: Instant::now() }
    }

    fn after(&mut self, seconds: u64, event: impl FnOnce(&mut Pool, Instant, &mut Vec<Order>)) -> Vec<Order> {
        self.now += Duration::from_secs(seconds);
        let mut orders = Vec::new();
        event(&mut self.pool, self.now, &mut orders);
        orders
    }

    fn want(&mut self, count: usize) -> Vec<Order> {
        self.after(0, |pool, now, orders| (0..count).for_each(|_| _ = pool.want(now, orders)))
    }

    /// A connection with so many streams.
    fn open(&mut self, streams: usize) -> (LineId, Vec<ClaimId>) {
        let dial = self.want(streams);
        let Some(Order::Dial(line)) = dial.first().copied() else { panic!("{dial:?}") };
        let orders = self.after(0, |pool, now, orders| pool.connected(now, line, 100, orders));
        (line, granted(&orders))
    }
}

fn granted(orders: &[Order]) -> Vec<ClaimId> {
    orders.iter().filter_map(|o| if let Order::Grant(claim, _) = o { Some(*claim) } else { None }).collect()
}

fn dialled(orders: &[Order]) -> usize {
    orders.iter().filter(|o| matches!(o, Order::Dial(_))).count()
}

#[test]
fn as_many_are_dialled_as_are_needed_and_allowed() {
    let mut played = Played::new();
    assert_eq!(dialled(&played.want(4)), 1);
    assert_eq!(dialled(&played.want(1)), 1);
    assert_eq!(dialled(&played.want(100)), 1, "three at most");
    assert_eq!((played.pool.lines.len(), played.pool.places.len()), (3, 0));
}

#[test]
fn one_that_fails_ends_the_wait_only_where_no_other_is_on_its_way() {
    let mut played = Played::new();
    let dials = played.want(5);
    let [Order::Dial(first), Order::Dial(second)] = dials[..] else { panic!("{dials:?}") };
    let orders = played.after(0, |pool, now, orders| pool.failed(now, first, orders));
    assert!(
        matches!(orders[..], [Order::Deny(_, Denial::Unconnected)]),
        "one more than it is for: {orders:?}"
    );
    let orders = played.after(0, |pool, now, orders| pool.failed(now, second, orders));
    assert!(orders.len() == 4 && orders.iter().all(|o| matches!(o, Order::Deny(..))), "{orders:?}");
}

#[test]
fn a_gateway_that_allows_no_further_connection_is_not_dialled_on_and_on() {
    let mut played = Played::new();
    played.open(4);
    let dial = played.want(2);
    let [Order::Dial(second)] = dial[..] else { panic!("{dial:?}") };
    assert_eq!(played.after(0, |pool, now, orders| pool.failed(now, second, orders)), []);
    assert_eq!(played.want(1), []);
    assert!(matches!(played.after(1, |pool, now, orders| pool.tick(now, orders))[..], [Order::Dial(_)]));
}

#[test]
fn nothing_new_goes_on_a_connection_that_is_going_away_and_the_last_stream_closes_it() {
    let mut played = Played::new();
    let (line, claims) = played.open(2);
    assert_eq!(played.after(0, |pool, now, orders| pool.going_away(now, line, orders)), []);
    let orders = played.want(1);
    assert!(matches!(orders[..], [Order::Dial(other)] if other != line), "{orders:?}");
    // Told twice, it changes nothing.
    assert_eq!(played.after(0, |pool, now, orders| pool.going_away(now, line, orders)), []);
    let mut orders = Vec::new();
    for claim in claims {
        orders = played.after(0, |pool, now, orders| pool.leave(now, claim, Left::Heard, orders));
    }
    assert_eq!(orders, [Order::Close(line)]);
}

#[test]
fn a_gateway_that_allows_none_gets_none_until_it_allows_some() {
    let mut played = Played::new();
    let (line, claims) = played.open(2);
    played.pool.settle(Limits { connections: 1, ..LIMITS });
    played.after(0, |pool, now, orders| pool.allows(now, line, 0, orders));
    assert_eq!(played.want(3), []);
    for claim in claims {
        let orders = played.after(0, |pool, now, orders| pool.leave(now, claim, Left::Heard, orders));
        assert_eq!(orders, []);
    }
    let orders = played.after(0, |pool, now, orders| pool.allows(now, line, 2, orders));
    assert_eq!(granted(&orders).len(), 2);
}

#[test]
fn a_quiet_one_is_pinged_and_a_silent_one_broken_off() {
    let mut played = Played::new();
    let (line, _) = played.open(1);
    assert_eq!(played.after(4, |pool, now, orders| pool.tick(now, orders)), []);
    assert_eq!(played.after(1, |pool, now, orders| pool.tick(now, orders)), [Order::Ping(line)]);
    assert_eq!(played.after(1, |pool, now, orders| pool.heard(now, line, orders)), []);
    assert_eq!(played.after(5, |pool, now, orders| pool.tick(now, orders)), [Order::Ping(line)]);
    assert_eq!(played.after(1, |pool, now, orders| pool.tick(now, orders)), []);
    assert_eq!(played.after(1, |pool, now, orders| pool.tick(now, orders)), [Order::Break(line)]);
    assert!(matches!(played.want(1)[..], [Order::Dial(_)]));
}

#[test]
fn one_on_which_a_claim_was_given_up_unheard_gets_nothing_until_it_answers() {
    let mut played = Played::new();
    let (line, claims) = played.open(1);
    played.after(1, |pool, now, orders| pool.heard(now, line, orders));
    let second = granted(&played.want(1))[0];
    // Something came since: not its fault.
    let orders = played.after(1, |pool, now, orders| {
        pool.heard(now, line, orders);
        pool.leave(now, claims[0], Left::Unheard, orders);
    });
    assert_eq!(orders, []);
    let third = granted(&played.want(1))[0];
    played.after(1, |pool, now, orders| pool.leave(now, second, Left::Heard, orders));
    let fourth = {
        played.now += Duration::from_secs(1);
        granted(&played.want(1))[0]
    };
    played.after(0, |pool, now, orders| pool.leave(now, third, Left::Heard, orders));
    played.now += Duration::from_secs(1);
    let fifth = granted(&played.want(1))[0];
    let orders = played.after(1, |pool, now, orders| pool.leave(now, fifth, Left::Unheard, orders));
    assert_eq!(orders, [Order::Ping(line)]);
    assert!(matches!(played.want(1)[..], [Order::Dial(_)]), "the next is not risked on it");
    let orders = played.after(1, |pool, now, orders| pool.heard(now, line, orders));
    assert_eq!(granted(&orders).len(), 1);
    played.after(0, |pool, now, orders| pool.leave(now, fourth, Left::Heard, orders));
}

#[test]
fn what_is_idle_closes_and_the_load_gathers_on_the_oldest() {
    let mut played = Played::new();
    let (first, _) = played.open(4);
    let (second, claims) = played.open(2);
    for claim in claims {
        played.after(0, |pool, now, orders| pool.leave(now, claim, Left::Heard, orders));
    }
    let close = played.after(60, |pool, now, orders| pool.tick(now, orders));
    assert!(close.contains(&Order::Close(second)) && !close.contains(&Order::Close(first)), "{close:?}");
}

#[test]
fn a_gateway_that_is_withdrawn_gets_nothing_new() {
    let mut played = Played::new();
    let (line, claims) = played.open(4);
    let dial = played.want(1);
    let Some(Order::Dial(late)) = dial.first().copied() else { panic!("{dial:?}") };
    let orders = played.after(0, |pool, _, orders| pool.withdraw(orders));
    assert!(matches!(orders[..], [Order::Deny(_, Denial::Withdrawn)]), "{orders:?}");
    let orders = played.after(0, |pool, now, orders| pool.connected(now, late, 100, orders));
    assert_eq!(orders, [Order::Close(late)]);
    let orders = played.after(0, |pool, now, orders| {
        claims.iter().for_each(|c| pool.leave(now, *c, Left::Heard, orders));
    });
    assert_eq!(orders, [Order::Close(line)]);
    assert!(played.pool.is_empty());
}

proptest! {
    /// Whatever happens in whatever order: a claim has one stream at most, on a connection that is up, takes nothing
    /// new and has room; it is granted or denied once; and when all have left and time has passed, nothing is left.
    #[test]
    fn no_stream_is_lost_or_counted_twice(
        events in prop::collection::vec((0u8..12, 0usize..8, 0usize..7, 0u64..4), 1..300)
    ) {
        let mut played = Played::new();
        let mut waits: BTreeSet<ClaimId> = BTreeSet::new();
        let mut on: BTreeMap<ClaimId, LineId> = BTreeMap::new();
        // Connections as the adapter has them: being opened, or up with the streams allowed and whether more may come.
        let mut dials: Vec<LineId> = Vec::new();
        let mut up: BTreeMap<LineId, (usize, bool)> = BTreeMap::new();
        for (what, which, number, seconds) in events {
            played.now += Duration::from_secs(seconds);
            let (now, mut orders) = (played.now, Vec::new());
            let pool = &mut played.pool;
            let line = up.keys().nth(which % up.len().max(1)).copied();
            match what {
                0..=2 => _ = waits.insert(pool.want(now, &mut orders)),
                3 | 4 => {
                    let claim = on.keys().nth(which % on.len().max(1)).copied();
                    if let Some(claim) = claim {
                        on.remove(&claim);
                        let how = if number > 2 { Left::Heard } else { Left::Unheard };
                        pool.leave(now, claim, how, &mut orders);
                    }
                }
                5 => if let Some(claim) = waits.pop_first() {
                    pool.leave(now, claim, Left::Unheard, &mut orders);
                },
                6 => if let Some(id) = dials.pop() {
                    up.insert(id, (number, true));
                    pool.connected(now, id, number, &mut orders);
                },
                7 => if let Some(id) = dials.pop() {
                    pool.failed(now, id, &mut orders);
                },
                8 => if let Some(id) = line {
                    up.get_mut(&id).expect("just seen").0 = number;
                    pool.allows(now, id, number, &mut orders);
                },
                9 => if let Some(id) = line {
                    match number {
                        0 | 1 => {
                            up.get_mut(&id).expect("just seen").1 = false;
                            pool.going_away(now, id, &mut orders);
                        }
                        2 => {
                            up.remove(&id);
                            pool.closed(now, id, &mut orders);
                        }
                        _ => pool.heard(now, id, &mut orders),
                    }
                },
                10 => pool.tick(now, &mut orders),
                _ if number == 0 => {
                    pool.withdraw(&mut orders);
                    up.values_mut().for_each(|line| line.1 = false);
                }
                _ => pool.close_idle(now, &mut orders),
            }
            for order in orders {
                match order {
                    Order::Dial(id) => dials.push(id),
                    Order::Ping(id) => prop_assert!(up.contains_key(&id)),
                    Order::Close(id) => {
                        prop_assert!(up.remove(&id).is_some(), "closed twice");
                        prop_assert!(!on.values().any(|l| *l == id), "closed with streams");
                    }
                    Order::Break(id) => prop_assert!(up.remove(&id).is_some()),
                    Order::Grant(claim, id) => {
                        // A want's own grant comes with its return value.
                        prop_assert!(waits.remove(&claim), "granted twice");
                        let (allowed, more) = up.get(&id).copied().expect("a connection that is up");
                        prop_assert!(more, "granted on one that is going away");
                        let used = on.values().filter(|l| **l == id).count();
                        prop_assert!(used < allowed.min(LIMITS.streams), "granted beyond what is allowed");
                        prop_assert!(on.insert(claim, id).is_none());
                    }
                    Order::Deny(claim, _) => prop_assert!(waits.remove(&claim), "denied twice"),
                }
            }
            prop_assert_eq!(played.pool.places.len(), on.len());
            prop_assert_eq!(played.pool.waiting.len(), waits.len());
            let live = played.pool.lines.values().filter(|l| l.is_live()).count();
            prop_assert!(live <= LIMITS.connections);
            prop_assert!(waits.is_empty() || live > 0, "somebody waits for nothing");
        }
        let (now, mut orders) = (played.now + Duration::from_secs(100), Vec::new());
        waits.into_iter().chain(on.into_keys()).for_each(|claim| {
            played.pool.leave(now, claim, Left::Heard, &mut orders);
        });
        dials.into_iter().for_each(|id| played.pool.failed(now, id, &mut orders));
        (0..3).for_each(|i| played.pool.tick(now + Duration::from_secs(100 * i), &mut orders));
        prop_assert!(played.pool.is_empty(), "{} connections left", played.pool.lines.len());
    }
}
