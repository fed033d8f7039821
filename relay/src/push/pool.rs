//! The connections to one gateway: how many there are, which one a claim's stream goes on, and when one ends. Free of
//! I/O and clocks: what happened goes in, with the time; what is to be done comes out as [`Order`]s.
//!
//! A claim is in one place at a time: it waits, or it has a stream on one connection, until it leaves. A connection that
//! is going away, is doubted, or has as many streams as it may have gets no new one.
use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use crate::config::PoolLimits as Limits;

/// A connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LineId(u64);

/// A claim that waits for a stream or has one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimId(u64);

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Open a connection; [`Pool::connected`] or [`Pool::failed`] tells what came of it.
    Dial(LineId),
    /// Ping it; [`Pool::heard`] tells that the answer came.
    Ping(LineId),
    /// Close it: it has no streams.
    Close(LineId),
    /// Break it off: it is silent. Its claims find out by themselves.
    Break(LineId),
    /// The claim may open a stream there.
    Grant(ClaimId, LineId),
    /// The claim gets no stream.
    Deny(ClaimId, Denial),
}

/// Why a claim gets no stream. It never ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// No connection came up.
    Unconnected,
    /// The gateway is listed no more.
    Withdrawn,
}

/// How a claim left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Left {
    /// Something of the gateway's came for it.
    Heard,
    /// It was given up, or ended with its connection.
    Unheard,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Dialling,
    Open,
    /// Nothing new goes on it.
    Leaving,
    /// The connection is no more; claims on it have not all found out yet.
    Ended,
}

struct Line {
    state: State,
    /// Streams that the gateway allows.
    allowed: usize,
    /// Claims with a stream on it, and since when.
    streams: BTreeMap<ClaimId, Instant>,
    /// When something last came on it.
    heard: Instant,
    /// A ping is out since then.
    pinged: Option<Instant>,
    /// A claim was given up on it of which nothing was heard.
    doubted: bool,
    /// When its last stream ended.
    idle: Instant,
}

impl Line {
    fn room(&self, limits: &Limits) -> usize {
        let usable = self.state == State::Open && !self.doubted;
        if usable { limits.streams.min(self.allowed).saturating_sub(self.streams.len()) } else { 0 }
    }

    fn is_live(&self) -> bool {
        matches!(self.state, State::Dialling | State::Open)
    }
}

/// The connections to one gateway.
pub struct Pool {
    limits: Limits,
    lines: BTreeMap<LineId, Line>,
    waiting: VecDeque<ClaimId>,
    /// Where each claim with a stream has it.
    places: BTreeMap<ClaimId, LineId>,
    /// When a connection last did not come up.
    refused: Option<Instant>,
    next: u64,
}

impl Pool {
    pub fn new(limits: Limits) -> Self {
        let (lines, places) = (BTreeMap::new(), BTreeMap::new());
        Pool { limits, lines, waiting: VecDeque::new(), places, refused: None, next: 0 }
    }

    /// Takes up other limits. What is over them ends by itself.
    pub fn settle(&mut self, limits: Limits) {
        self.limits = limits;
    }

    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Whether there is nothing left to look after.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty() && self.waiting.is_empty()
    }

    /// A claim wants a stream; it is granted or denied one sooner or later, unless it leaves before.
    pub fn want(&mut self, now: Instant, orders: &mut Vec<Order>) -> ClaimId {
        self.next += 1;
        let claim = ClaimId(self.next);
        self.waiting.push_back(claim);
        self.serve(now, orders);
        claim
    }

    /// A claim has no more use of its stream, or of its wait for one.
    pub fn leave(&mut self, now: Instant, claim: ClaimId, how: Left, orders: &mut Vec<Order>) {
        let Some(id) = self.places.remove(&claim) else {
            return self.waiting.retain(|c| *c != claim);
        };
        let line = self.lines.get_mut(&id).expect("claims have streams on known lines");
        let since = line.streams.remove(&claim);
        line.idle = now;
        match how {
            Left::Heard => self.hear(now, id),
            // Guards against a connection that has died without a word taking claim after claim with it.
            Left::Unheard if since.is_some_and(|since| line.heard < since) && line.state == State::Open => {
                line.doubted = true;
                if line.pinged.is_none() {
                    line.pinged = Some(now);
                    orders.push(Order::Ping(id));
                }
            }
            Left::Unheard => {}
        }
        self.end_if_done(id, orders);
        self.serve(now, orders);
    }

    /// A connection is up; the gateway allows so many streams.
    pub fn connected(&mut self, now: Instant, id: LineId, allowed: usize, orders: &mut Vec<Order>) {
        match self.lines.get_mut(&id).filter(|line| line.state == State::Dialling) {
            Some(line) => {
                (line.state, line.allowed, line.heard, line.idle) = (State::Open, allowed, now, now);
                self.serve(now, orders);
            }
            // Withdrawn meanwhile.
            None => orders.push(Order::Close(id)),
        }
    }

    /// A connection did not come up. Where no other is up or on its way, nobody waits in vain.
    pub fn failed(&mut self, now: Instant, id: LineId, orders: &mut Vec<Order>) {
        if self.lines.get(&id).is_some_and(|line| line.state == State::Dialling) {
            self.lines.remove(&id);
        }
        self.refused = Some(now);
        if !self.lines.values().any(|line| line.state == State::Open) {
            // Those that it was for: the others have another on its way.
            let lost = self.waiting.len().saturating_sub(self.awaited());
            orders.extend(self.waiting.drain(..lost).map(|claim| Order::Deny(claim, Denial::Unconnected)));
        }
        self.serve(now, orders);
    }

    /// Streams that the connections on their way are good for.
    fn awaited(&self) -> usize {
        let dialling = self.lines.values().filter(|l| l.state == State::Dialling).count();
        dialling.saturating_mul(self.limits.streams.max(1))
    }

    /// The gateway allows so many streams now; none at all is possible.
    pub fn allows(&mut self, now: Instant, id: LineId, allowed: usize, orders: &mut Vec<Order>) {
        if let Some(line) = self.lines.get_mut(&id).filter(|line| line.allowed != allowed) {
            line.allowed = allowed;
            self.serve(now, orders);
        }
    }

    /// A ping was answered, or something else came.
    pub fn heard(&mut self, now: Instant, id: LineId, orders: &mut Vec<Order>) {
        self.hear(now, id);
        self.serve(now, orders);
    }

    fn hear(&mut self, now: Instant, id: LineId) {
        if let Some(line) = self.lines.get_mut(&id) {
            (line.heard, line.pinged, line.doubted) = (now, None, false);
        }
    }

    /// The gateway takes nothing more on this connection (GOAWAY, or an answer that says so). What is open goes on.
    pub fn going_away(&mut self, now: Instant, id: LineId, orders: &mut Vec<Order>) {
        if let Some(line) = self.lines.get_mut(&id).filter(|line| line.state == State::Open) {
            line.state = State::Leaving;
            self.end_if_done(id, orders);
            self.serve(now, orders);
        }
    }

    /// The connection has ended.
    pub fn closed(&mut self, now: Instant, id: LineId, orders: &mut Vec<Order>) {
        if let Some(line) = self.lines.get_mut(&id) {
            line.state = State::Ended;
            self.end_if_done(id, orders);
            self.serve(now, orders);
        }
    }

    /// The gateway is listed no more, or elsewhere: nothing new, and what is idle is closed.
    pub fn withdraw(&mut self, orders: &mut Vec<Order>) {
        orders.extend(self.waiting.drain(..).map(|claim| Order::Deny(claim, Denial::Withdrawn)));
        self.lines.retain(|_, line| line.state != State::Dialling);
        for id in self.lines.keys().copied().collect::<Vec<_>>() {
            let line = self.lines.get_mut(&id).expect("just seen");
            line.state = if line.state == State::Open { State::Leaving } else { line.state };
            self.end_if_done(id, orders);
        }
    }

    /// Closes what has no streams.
    pub fn close_idle(&mut self, now: Instant, orders: &mut Vec<Order>) {
        self.close_if(orders, |_| true);
        // Claims may wait although there was one: the gateway allowed no stream on it.
        self.serve(now, orders);
    }

    /// Time has passed: idle connections are closed, quiet ones pinged, silent ones broken off.
    pub fn tick(&mut self, now: Instant, orders: &mut Vec<Order>) {
        let Limits { quiet, pong, idle, .. } = self.limits;
        self.close_if(orders, |line| now >= line.idle + idle);
        let mut silent = Vec::new();
        for (id, line) in &mut self.lines {
            if !matches!(line.state, State::Open | State::Leaving) {
                continue;
            }
            match line.pinged {
                Some(since) if now >= since + pong => silent.push(*id),
                None if !line.streams.is_empty() && now >= line.heard + quiet => {
                    line.pinged = Some(now);
                    orders.push(Order::Ping(*id));
                }
                _ => {}
            }
        }
        for id in silent {
            orders.push(Order::Break(id));
            self.closed(now, id, orders);
        }
        self.serve(now, orders);
    }

    fn close_if(&mut self, orders: &mut Vec<Order>, unwanted: impl Fn(&Line) -> bool) {
        self.lines.retain(|id, line| {
            let close = line.state == State::Open && line.streams.is_empty() && unwanted(line);
            orders.extend(close.then_some(Order::Close(*id)));
            !close
        });
    }

    fn end_if_done(&mut self, id: LineId, orders: &mut Vec<Order>) {
        let done =
            |line: &Line| line.streams.is_empty() && matches!(line.state, State::Leaving | State::Ended);
        if self.lines.get(&id).is_some_and(done) {
            let line = self.lines.remove(&id).expect("just seen");
            orders.extend((line.state == State::Leaving).then_some(Order::Close(id)));
        }
    }

    /// Grants streams, oldest claim first, and dials where there are more claims than room.
    fn serve(&mut self, now: Instant, orders: &mut Vec<Order>) {
        while let Some(claim) = self.waiting.front().copied()
            && let Some(id) = self.pick()
        {
            self.waiting.pop_front();
            self.lines.get_mut(&id).expect("picked").streams.insert(claim, now);
            self.places.insert(claim, id);
            orders.push(Order::Grant(claim, id));
        }
        loop {
            let live = self.lines.values().filter(|l| l.is_live()).count();
            if self.awaited() >= self.waiting.len() || live >= self.limits.connections.max(1) {
                return;
            }
            // Guards against dialling on and on at a gateway that allows no further connection.
            let open = self.lines.values().any(|line| line.state == State::Open);
            if open && self.refused.is_some_and(|at| now < at + self.limits.dial) {
                return;
            }
            self.next += 1;
            let (id, streams) = (LineId(self.next), BTreeMap::new());
            let line = Line {
                state: State::Dialling,
                allowed: 0,
                streams,
                heard: now,
                pinged: None,
                doubted: false,
                idle: now,
            };
            self.lines.insert(id, line);
            orders.push(Order::Dial(id));
        }
    }

    /// The connection for the next stream: the oldest that is less than half full, so that the others come to stand idle
    /// and are closed, else the one with the most room.
    fn pick(&self) -> Option<LineId> {
        let mut open = self.lines.iter().map(|(id, line)| (line.room(&self.limits), line.streams.len(), *id));
        let spacious = open.clone().find(|(room, used, _)| room > used);
        let best =
            spacious.or_else(|| open.by_ref().max_by_key(|(room, _, id)| (*room, std::cmp::Reverse(*id))));
        best.filter(|(room, _, _)| *room > 0).map(|(_, _, id)| id)
    }
}

#[cfg(test)]
mod tests {
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

        fn after(
            &mut self,
            seconds: u64,
            event: impl FnOnce(&mut Pool, Instant, &mut Vec<Order>),
        ) -> Vec<Order> {
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
        orders
            .iter()
            .filter_map(|o| if let Order::Grant(claim, _) = o { Some(*claim) } else { None })
            .collect()
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
}
