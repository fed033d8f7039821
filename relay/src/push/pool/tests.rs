use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::time::Duration;

const LIMITS: PoolLimits = PoolLimits {
    max_streams: 4,
    max_connections: 3,
    ping_after: Duration::from_secs(5),
    pong_timeout: Duration::from_secs(2),
    idle_timeout: Duration::from_secs(60),
    connect_timeout: Duration::from_secs(1),
};

struct Harness {
    pool: Pool,
    now: Instant,
}

impl Harness {
    fn new() -> Self {
        Harness { pool: Pool::new(LIMITS), now: Instant::now() }
    }

    fn advance(
        &mut self,
        seconds: u64,
        event: impl FnOnce(&mut Pool, Instant, &mut Vec<Action>),
    ) -> Vec<Action> {
        self.now += Duration::from_secs(seconds);
        let mut actions = Vec::new();
        event(&mut self.pool, self.now, &mut actions);
        actions
    }

    fn request(&mut self, count: usize) -> Vec<Action> {
        self.advance(0, |pool, now, actions| (0..count).for_each(|_| _ = pool.request_stream(now, actions)))
    }

    /// Opens a connection with `streams` streams on it.
    fn open(&mut self, streams: usize) -> (ConnectionId, Vec<ClaimId>) {
        let dial = self.request(streams);
        let Some(Action::Dial(connection)) = dial.first().copied() else { panic!("{dial:?}") };
        let actions = self.advance(0, |pool, now, actions| pool.connected(now, connection, 100, actions));
        (connection, grants_in(&actions))
    }
}

fn grants_in(actions: &[Action]) -> Vec<ClaimId> {
    actions.iter().filter_map(|o| if let Action::Grant(claim, _) = o { Some(*claim) } else { None }).collect()
}

fn dials_in(actions: &[Action]) -> usize {
    actions.iter().filter(|o| matches!(o, Action::Dial(_))).count()
}

#[test]
fn opens_as_many_connections_as_needed_up_to_the_limit() {
    let mut harness = Harness::new();
    assert_eq!(dials_in(&harness.request(4)), 1);
    assert_eq!(dials_in(&harness.request(1)), 1);
    assert_eq!(dials_in(&harness.request(100)), 1, "limited to three");
    assert_eq!((harness.pool.connections.len(), harness.pool.assignments.len()), (3, 0));
}

#[test]
fn failed_attempt_denies_only_claims_that_no_other_attempt_can_serve() {
    let mut harness = Harness::new();
    let dials = harness.request(5);
    let [Action::Dial(first), Action::Dial(second)] = dials[..] else { panic!("{dials:?}") };
    let actions = harness.advance(0, |pool, now, actions| pool.connect_failed(now, first, actions));
    assert!(
        matches!(actions[..], [Action::Deny(_, Denial::NoConnection)]),
        "only the claim beyond the capacity of the other attempt: {actions:?}"
    );
    let actions = harness.advance(0, |pool, now, actions| pool.connect_failed(now, second, actions));
    assert!(actions.len() == 4 && actions.iter().all(|o| matches!(o, Action::Deny(..))), "{actions:?}");
}

#[test]
fn does_not_keep_dialing_a_gateway_that_allows_no_further_connection() {
    let mut harness = Harness::new();
    harness.open(4);
    let dial = harness.request(2);
    let [Action::Dial(second)] = dial[..] else { panic!("{dial:?}") };
    assert_eq!(harness.advance(0, |pool, now, actions| pool.connect_failed(now, second, actions)), []);
    assert_eq!(harness.request(1), []);
    assert!(matches!(
        harness.advance(1, |pool, now, actions| pool.tick(now, actions))[..],
        [Action::Dial(_)]
    ));
}

#[test]
fn draining_connection_gets_no_new_streams_and_closes_with_its_last_stream() {
    let mut harness = Harness::new();
    let (connection, claims) = harness.open(2);
    assert_eq!(harness.advance(0, |pool, now, actions| pool.going_away(now, connection, actions)), []);
    let actions = harness.request(1);
    assert!(matches!(actions[..], [Action::Dial(other)] if other != connection), "{actions:?}");
    // Reporting it twice changes nothing.
    assert_eq!(harness.advance(0, |pool, now, actions| pool.going_away(now, connection, actions)), []);
    let mut actions = Vec::new();
    for claim in claims {
        actions = harness
            .advance(0, |pool, now, actions| pool.release(now, claim, ClaimResult::Responded, actions));
    }
    assert_eq!(actions, [Action::Close(connection)]);
}

#[test]
fn no_streams_are_opened_while_the_gateway_allows_none() {
    let mut harness = Harness::new();
    let (connection, claims) = harness.open(2);
    harness.pool.set_limits(PoolLimits { max_connections: 1, ..LIMITS });
    harness.advance(0, |pool, now, actions| pool.set_peer_max_streams(now, connection, 0, actions));
    assert_eq!(harness.request(3), []);
    for claim in claims {
        let actions = harness
            .advance(0, |pool, now, actions| pool.release(now, claim, ClaimResult::Responded, actions));
        assert_eq!(actions, []);
    }
    let actions =
        harness.advance(0, |pool, now, actions| pool.set_peer_max_streams(now, connection, 2, actions));
    assert_eq!(grants_in(&actions).len(), 2);
}

#[test]
fn quiet_connection_is_pinged_and_unresponsive_one_aborted() {
    let mut harness = Harness::new();
    let (connection, _) = harness.open(1);
    assert_eq!(harness.advance(4, |pool, now, actions| pool.tick(now, actions)), []);
    assert_eq!(harness.advance(1, |pool, now, actions| pool.tick(now, actions)), [Action::Ping(connection)]);
    assert_eq!(harness.advance(1, |pool, now, actions| pool.activity(now, connection, actions)), []);
    assert_eq!(harness.advance(5, |pool, now, actions| pool.tick(now, actions)), [Action::Ping(connection)]);
    assert_eq!(harness.advance(1, |pool, now, actions| pool.tick(now, actions)), []);
    assert_eq!(harness.advance(1, |pool, now, actions| pool.tick(now, actions)), [Action::Abort(connection)]);
    assert!(matches!(harness.request(1)[..], [Action::Dial(_)]));
}

#[test]
fn suspect_connection_gets_no_new_streams_until_it_responds() {
    let mut harness = Harness::new();
    let (connection, claims) = harness.open(1);
    harness.advance(1, |pool, now, actions| pool.activity(now, connection, actions));
    let second = grants_in(&harness.request(1))[0];
    // Something was received after the claim began: the connection is not suspect.
    let actions = harness.advance(1, |pool, now, actions| {
        pool.activity(now, connection, actions);
        pool.release(now, claims[0], ClaimResult::NoResponse, actions);
    });
    assert_eq!(actions, []);
    let third = grants_in(&harness.request(1))[0];
    harness.advance(1, |pool, now, actions| pool.release(now, second, ClaimResult::Responded, actions));
    let fourth = {
        harness.now += Duration::from_secs(1);
        grants_in(&harness.request(1))[0]
    };
    harness.advance(0, |pool, now, actions| pool.release(now, third, ClaimResult::Responded, actions));
    harness.now += Duration::from_secs(1);
    let fifth = grants_in(&harness.request(1))[0];
    let actions =
        harness.advance(1, |pool, now, actions| pool.release(now, fifth, ClaimResult::NoResponse, actions));
    assert_eq!(actions, [Action::Ping(connection)]);
    assert!(
        matches!(harness.request(1)[..], [Action::Dial(_)]),
        "the next claim does not go on the suspect connection"
    );
    let actions = harness.advance(1, |pool, now, actions| pool.activity(now, connection, actions));
    assert_eq!(grants_in(&actions).len(), 1);
    harness.advance(0, |pool, now, actions| pool.release(now, fourth, ClaimResult::Responded, actions));
}

#[test]
fn idle_connections_close_and_load_concentrates_on_the_oldest() {
    let mut harness = Harness::new();
    let (first, _) = harness.open(4);
    let (second, claims) = harness.open(2);
    for claim in claims {
        harness.advance(0, |pool, now, actions| pool.release(now, claim, ClaimResult::Responded, actions));
    }
    let close = harness.advance(60, |pool, now, actions| pool.tick(now, actions));
    assert!(close.contains(&Action::Close(second)) && !close.contains(&Action::Close(first)), "{close:?}");
}

#[test]
fn removed_gateway_gets_no_new_streams_or_connections() {
    let mut harness = Harness::new();
    let (connection, claims) = harness.open(4);
    let dial = harness.request(1);
    let Some(Action::Dial(late)) = dial.first().copied() else { panic!("{dial:?}") };
    let actions = harness.advance(0, |pool, _, actions| pool.remove_gateway(actions));
    assert!(matches!(actions[..], [Action::Deny(_, Denial::GatewayRemoved)]), "{actions:?}");
    let actions = harness.advance(0, |pool, now, actions| pool.connected(now, late, 100, actions));
    assert_eq!(actions, [Action::Close(late)]);
    let actions = harness.advance(0, |pool, now, actions| {
        claims.iter().for_each(|c| pool.release(now, *c, ClaimResult::Responded, actions));
    });
    assert_eq!(actions, [Action::Close(connection)]);
    assert!(harness.pool.is_empty());
}

proptest! {
    /// For random sequences of events: a claim has at most one stream, granted on a connection that is open, not draining
    /// and below its limit; it is granted or denied once; and after all claims are released and time has passed, the pool is
    /// empty.
    #[test]
    fn random_events_never_lose_or_double_count_a_stream(
        events in prop::collection::vec((0u8..12, 0usize..8, 0usize..7, 0u64..4), 1..300)
    ) {
        let mut harness = Harness::new();
        let mut waiting: BTreeSet<ClaimId> = BTreeSet::new();
        let mut streams: BTreeMap<ClaimId, ConnectionId> = BTreeMap::new();
        // Connections as the owner of the pool sees them: being established, or open with the allowed number of streams
        // and whether it accepts new ones.
        let mut connecting: Vec<ConnectionId> = Vec::new();
        let mut open: BTreeMap<ConnectionId, (usize, bool)> = BTreeMap::new();
        for (event, which, number, seconds) in events {
            harness.now += Duration::from_secs(seconds);
            let (now, mut actions) = (harness.now, Vec::new());
            let pool = &mut harness.pool;
            let connection = open.keys().nth(which % open.len().max(1)).copied();
            match event {
                0..=2 => _ = waiting.insert(pool.request_stream(now, &mut actions)),
                3 | 4 => {
                    let claim = streams.keys().nth(which % streams.len().max(1)).copied();
                    if let Some(claim) = claim {
                        streams.remove(&claim);
                        let result = if number > 2 { ClaimResult::Responded } else { ClaimResult::NoResponse };
                        pool.release(now, claim, result, &mut actions);
                    }
                }
                5 => if let Some(claim) = waiting.pop_first() {
                    pool.release(now, claim, ClaimResult::NoResponse, &mut actions);
                },
                6 => if let Some(id) = connecting.pop() {
                    open.insert(id, (number, true));
                    pool.connected(now, id, number, &mut actions);
                },
                7 => if let Some(id) = connecting.pop() {
                    pool.connect_failed(now, id, &mut actions);
                },
                8 => if let Some(id) = connection {
                    open.get_mut(&id).expect("just seen").0 = number;
                    pool.set_peer_max_streams(now, id, number, &mut actions);
                },
                9 => if let Some(id) = connection {
                    match number {
                        0 | 1 => {
                            open.get_mut(&id).expect("just seen").1 = false;
                            pool.going_away(now, id, &mut actions);
                        }
                        2 => {
                            open.remove(&id);
                            pool.closed(now, id, &mut actions);
                        }
                        _ => pool.activity(now, id, &mut actions),
                    }
                },
                10 => pool.tick(now, &mut actions),
                _ if number == 0 => {
                    pool.remove_gateway(&mut actions);
                    open.values_mut().for_each(|connection| connection.1 = false);
                }
                _ => pool.close_idle(now, &mut actions),
            }
            for action in actions {
                match action {
                    Action::Dial(id) => connecting.push(id),
                    Action::Ping(id) => prop_assert!(open.contains_key(&id)),
                    Action::Close(id) => {
                        prop_assert!(open.remove(&id).is_some(), "closed twice");
                        prop_assert!(!streams.values().any(|l| *l == id), "closed with streams");
                    }
                    Action::Abort(id) => prop_assert!(open.remove(&id).is_some()),
                    Action::Grant(claim, id) => {
                        // `request_stream` returns the claim together with its own grant.
                        prop_assert!(waiting.remove(&claim), "granted twice");
                        let (allowed, accepts_more) = open.get(&id).copied().expect("an open connection");
                        prop_assert!(accepts_more, "granted on a draining connection");
                        let used = streams.values().filter(|l| **l == id).count();
                        prop_assert!(used < allowed.min(LIMITS.max_streams), "granted beyond the limit");
                        prop_assert!(streams.insert(claim, id).is_none());
                    }
                    Action::Deny(claim, _) => prop_assert!(waiting.remove(&claim), "denied twice"),
                }
            }
            prop_assert_eq!(harness.pool.assignments.len(), streams.len());
            prop_assert_eq!(harness.pool.waiting.len(), waiting.len());
            let live = harness.pool.connections.values().filter(|l| l.is_live()).count();
            prop_assert!(live <= LIMITS.max_connections);
            prop_assert!(waiting.is_empty() || live > 0, "claims wait although no connection is open or being established");
        }
        let (now, mut actions) = (harness.now + Duration::from_secs(100), Vec::new());
        waiting.into_iter().chain(streams.into_keys()).for_each(|claim| {
            harness.pool.release(now, claim, ClaimResult::Responded, &mut actions);
        });
        connecting.into_iter().for_each(|id| harness.pool.connect_failed(now, id, &mut actions));
        (0..3).for_each(|i| harness.pool.tick(now + Duration::from_secs(100 * i), &mut actions));
        prop_assert!(harness.pool.is_empty(), "{} connections left", harness.pool.connections.len());
    }
}
